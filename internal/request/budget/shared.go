package budget

import (
	"math"
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
	// retries of other VMs whose usage has not arrived yet, and startFraction.
	usableFraction = 0.75
	// startFraction is the fraction of the allowance that VMs may use in the window after a loss
	// of all VMs, growing from 0 with their age: they cannot know what the VMs before them used.
	// With usableFraction it stays below 1, however often all VMs are lost.
	startFraction = 0.2
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
	// KnownSince is when this VM started: it cannot know the retries before, unless a peer does.
	// Zero means that there were none.
	KnownSince time.Time
}

// Usage counts the requests and retries of one VM in the last window.
type Usage struct {
	Requests int `cbor:"1,keyasint"`
	Retries  int `cbor:"2,keyasint"`
	// FleetRequests and FleetRetries are those of all VMs in its view, also of VMs that were
	// lost since. KnowsWindow means that they cover the whole window.
	FleetRequests int  `cbor:"3,keyasint,omitempty"`
	FleetRetries  int  `cbor:"4,keyasint,omitempty"`
	KnowsWindow   bool `cbor:"5,keyasint,omitempty"`
}

// Shared is a retry budget that all VMs share. Each VM announces its Usage to the
// others, so that one VM can use what the others leave. It is safe for concurrent
// use.
//
// A VM that starts receives the usage of VMs that were lost from its peers. If all VMs were
// lost nobody has it, and the VMs that replace them have a smaller allowance for one window.
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
	allowance := s.fullAllowance()
	if !s.knowsWindow() {
		allowance = s.startAllowance() * float64(s.options.Now().Sub(s.options.KnownSince)) / float64(s.options.Window)
	}
	if float64(total.Retries+1) > fraction*(usableFraction*s.options.Ratio*float64(total.Requests)+allowance) {
		return false
	}
	s.history[s.current].Retries++
	return true
}

// RetryAt returns when the allowance of a VM that has just started suffices for one more retry, if
// nothing else changes; zero if the age of the VM is not what it lacks.
func (s *Shared) RetryAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := s.total()
	lacking := float64(total.Retries+1) - usableFraction*s.options.Ratio*float64(total.Requests)
	if s.knowsWindow() || lacking <= 0 || lacking > s.startAllowance() {
		return time.Time{}
	}
	age := time.Duration(math.Ceil(lacking / s.startAllowance() * float64(s.options.Window)))
	return s.options.KnownSince.Add(age)
}

// fullAllowance is the part of the allowance that the VMs of a cell use.
func (s *Shared) fullAllowance() float64 {
	return usableFraction * s.options.Allowance / float64(max(s.options.Cells(), 1))
}

// startAllowance is what they use of it if nobody knows the usage before, one window after their start.
func (s *Shared) startAllowance() float64 {
	return startFraction / usableFraction * s.fullAllowance()
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
	total := s.total()
	usage := s.own()
	usage.FleetRequests, usage.FleetRetries, usage.KnowsWindow = total.Requests, total.Retries, s.knowsWindow()
	return usage
}

// hasRunForWindow reports whether this VM has received all usage of the last window itself.
func (s *Shared) hasRunForWindow() bool {
	return s.options.KnownSince.IsZero() || s.options.Now().Sub(s.options.KnownSince) >= s.options.Window
}

// knowsWindow reports whether this VM or a peer has received all usage of the last window.
// Called with the lock held, after total.
func (s *Shared) knowsWindow() bool {
	if s.hasRunForWindow() {
		return true
	}
	for _, peer := range s.peers {
		if peer.KnowsWindow {
			return true
		}
	}
	return false
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
	if s.hasRunForWindow() {
		return sum
	}
	for _, peer := range s.peers {
		sum.Requests = max(sum.Requests, peer.FleetRequests)
		sum.Retries = max(sum.Retries, peer.FleetRetries)
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
