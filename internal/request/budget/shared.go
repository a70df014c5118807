package budget

import (
	"sync"
	"time"
)

const (
	// buckets divide the window of a Shared, which slides by one at a time.
	buckets = 20
	// caution is the part of the bound that is used. The rest is for what others
	// spend until this VM hears of it, and for windows that lie between buckets.
	caution = 0.75
	// sparePart of what may be used is for repeats that only guard against a later
	// loss, so that those that a request needs now find room.
	sparePart = 0.7
)

// SharedOptions shapes a Shared: in any Window, Ratio repeats for each request
// and Allowance beside, of all VMs together.
//
// In a large fleet only the VMs of one cell tell each other what they use. Parts is the
// number of cells then, and each has its part of the Allowance; nil for one.
type SharedOptions struct {
	Ratio     float64
	Allowance float64
	Window    time.Duration
	Parts     func() int
	Now       func() time.Time
}

// Usage is what one VM did in the last window.
type Usage struct {
	Requests int `cbor:"1,keyasint"`
	Repeats  int `cbor:"2,keyasint"`
}

// Shared is a budget for repeats that all VMs share. Each tells the others its
// Usage, so that one VM may use what the others leave. It is safe for concurrent
// use.
//
//	repeats := budget.NewShared(budget.SharedOptions{Ratio: 0.8, Allowance: 150, Window: 10 * time.Second, Now: time.Now})
//	repeats.Earn()              // for each request
//	if repeats.Spend() { ... }  // before each repeat
//	repeats.Heard("vm-2", usage)
type Shared struct {
	options SharedOptions

	mu      sync.Mutex
	history [buckets]Usage
	newest  time.Time // Start of the newest bucket.
	at      int
	peers   map[string]peerUsage
}

type peerUsage struct {
	Usage
	validUntil time.Time
}

// NewShared makes a budget that nothing was spent of.
func NewShared(options SharedOptions) *Shared {
	if options.Parts == nil {
		options.Parts = func() int { return 1 }
	}
	return &Shared{options: options, newest: options.Now(), peers: map[string]peerUsage{}}
}

// Earn counts a request.
func (s *Shared) Earn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slide()
	s.history[s.at].Requests++
}

// Spend takes room for one repeat and reports whether there was any.
func (s *Shared) Spend() bool {
	return s.spend(1)
}

// SpendSpare does the same for a repeat that no request needs yet.
func (s *Shared) SpendSpare() bool {
	return s.spend(sparePart)
}

func (s *Shared) spend(part float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := s.total()
	allowance := s.options.Allowance / float64(max(s.options.Parts(), 1))
	if float64(total.Repeats+1) > part*caution*(s.options.Ratio*float64(total.Requests)+allowance) {
		return false
	}
	s.history[s.at].Repeats++
	return true
}

// Refund gives back what was spent on a repeat that never reached a server.
func (s *Shared) Refund() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slide()
	if s.history[s.at].Repeats > 0 {
		s.history[s.at].Repeats--
	}
}

// Heard takes in what another VM did.
func (s *Shared) Heard(vm string, usage Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers[vm] = peerUsage{Usage: usage, validUntil: s.options.Now().Add(s.options.Window)}
}

// Usage is what this VM did in the last window.
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
		sum.Repeats += bucket.Repeats
	}
	return sum
}

// total sums up all VMs.
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
		sum.Repeats += peer.Repeats
	}
	return sum
}

// slide empties the buckets that left the window.
func (s *Shared) slide() {
	now := s.options.Now()
	width := s.options.Window / buckets
	for steps := 0; now.Sub(s.newest) >= width && steps < buckets; steps++ {
		s.newest = s.newest.Add(width)
		s.at = (s.at + 1) % buckets
		s.history[s.at] = Usage{}
	}
	if now.Sub(s.newest) >= width {
		s.newest = now // All buckets are empty.
	}
}
