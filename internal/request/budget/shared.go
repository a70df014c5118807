package budget

import (
	"sync"
	"time"
)

const (
	// windowBuckets is the number of buckets in the window of a Shared. The window slides
	// by one bucket at a time, and one more is kept for windows that do not start at a
	// bucket.
	windowBuckets = 20
	buckets       = windowBuckets + 1
	// usableFraction is the fraction of the bound that is used. The rest covers
	// retries of other VMs whose usage has not arrived yet.
	usableFraction = 0.75
	// preventiveFraction is the fraction of the usable bound that preventive
	// retries may fill. The rest stays free for retries that a request needs now.
	preventiveFraction = 0.7
)

// SharedOptions configures a Shared. In any Window, all VMs together make at most
// Ratio retries for each request plus Allowance.
//
// In a large fleet usage is exchanged only between the VMs of one cell. Cells returns
// the number of cells, each of which has an equal share of the Allowance. A nil Cells
// stands for one cell.
type SharedOptions struct {
	Ratio     float64
	Allowance float64
	Window    time.Duration
	Cells     func() int
	Now       func() time.Time
}

// Usage counts the requests and retries of one VM in the last window.
type Usage struct {
	Requests int `cbor:"1,keyasint"`
	Retries  int `cbor:"2,keyasint"`
}

// Shared is a retry budget that all VMs share. Each VM announces its Usage to the
// others, so that one VM can use what the others leave. It is safe for concurrent
// use.
//
//	retries := budget.NewShared(budget.SharedOptions{Ratio: 0.8, Allowance: 150, Window: 10 * time.Second, Now: time.Now})
//	retries.Deposit()              // for each request
//	if retries.Withdraw() { ... }  // before each retry
//	retries.ApplyUsage("vm-2", usage)
type Shared struct {
	options SharedOptions

	mu      sync.Mutex
	history [buckets]Usage
	newest  time.Time // Start of the newest bucket.
	current int       // Index of the newest bucket.
	peers   map[string]peerUsage
}

type peerUsage struct {
	Usage
	validUntil time.Time
}

// NewShared returns an unused budget.
func NewShared(options SharedOptions) *Shared {
	if options.Cells == nil {
		options.Cells = func() int { return 1 }
	}
	return &Shared{options: options, newest: options.Now(), peers: map[string]peerUsage{}}
}

// Deposit counts a request.
func (s *Shared) Deposit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slide()
	s.history[s.current].Requests++
}

// Withdraw takes one retry from the budget and reports whether it was available.
func (s *Shared) Withdraw() bool {
	return s.withdraw(1)
}

// WithdrawPreventive is Withdraw for a preventive retry: one that no request needs
// yet and that only protects a stream against a later loss.
func (s *Shared) WithdrawPreventive() bool {
	return s.withdraw(preventiveFraction)
}

func (s *Shared) withdraw(fraction float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := s.total()
	allowance := s.options.Allowance / float64(max(s.options.Cells(), 1))
	if float64(total.Retries+1) > fraction*usableFraction*(s.options.Ratio*float64(total.Requests)+allowance) {
		return false
	}
	s.history[s.current].Retries++
	return true
}

// Refund gives back the withdrawal of a retry that never reached a server.
func (s *Shared) Refund() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slide()
	if s.history[s.current].Retries > 0 {
		s.history[s.current].Retries--
	}
}

// ApplyUsage replaces the usage of another VM. It expires after one window.
func (s *Shared) ApplyUsage(vm string, usage Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers[vm] = peerUsage{Usage: usage, validUntil: s.options.Now().Add(s.options.Window)}
}

// Usage returns the usage of this VM in the last window.
func (s *Shared) Usage() Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slide()
	return s.own()
}

func (s *Shared) own() Usage {
	sum := Usage{}
	for _, bucket := range s.history {
		sum.Requests += bucket.Requests
		sum.Retries += bucket.Retries
	}
	return sum
}

// total returns the usage of all VMs.
func (s *Shared) total() Usage {
	s.slide()
	sum := s.own()
	now := s.options.Now()
	for vm, peer := range s.peers {
		if now.After(peer.validUntil) {
			delete(s.peers, vm)
			continue
		}
		sum.Requests += peer.Requests
		sum.Retries += peer.Retries
	}
	return sum
}

// slide empties the buckets that have left the window.
func (s *Shared) slide() {
	now := s.options.Now()
	width := s.options.Window / windowBuckets
	for steps := 0; now.Sub(s.newest) >= width && steps < buckets; steps++ {
		s.newest = s.newest.Add(width)
		s.current = (s.current + 1) % buckets
		s.history[s.current] = Usage{}
	}
	if now.Sub(s.newest) >= width {
		s.newest = now // The whole window has passed, and all buckets are empty.
	}
}
