// Package admission decides which requests a VM takes, and in what order.
//
// # Usage
//
//	gate := admission.New(admission.Options{Now: time.Now})
//	gate.Configure(admission.Limits{Capacity: 64, Accounts: map[string]admission.Limit{...}})
//	ticket, refusal := gate.Admit(admission.Request{Account: "a", Rank: 1, Deadline: deadline})
//	if refusal != nil { ... }        // at once, with when to come back
//	<-ticket.Granted                 // or give up at the deadline with ticket.Release()
//	defer ticket.Release()
//
// Each account has a rate, a number of concurrent requests and a weight.
// Waiting requests are served by rank, and within a rank by start-time fair
// queueing (Goyal, Vin, Cheng 1996), so that an account gets its weight's part
// however much it asks. A part of the room is kept for lookups. A request that
// can't be served before its deadline is refused when it comes, not later.
package admission

import (
	"container/heap"
	"math"
	"sync"
	"time"
)

const (
	// lookupPart of the room is kept for lookups.
	lookupPart = 0.1
	// burst is how many seconds of an account's rate may come at once.
	burst = 2
	// maxWaiting bounds the queue, as a multiple of the room.
	maxWaiting = 64
	// serviceSmoothing weighs a new service time in the moving average.
	serviceSmoothing = 0.1
	// firstService is the service time assumed before any was seen.
	firstService = time.Second
)

// Reason says why a request was refused.
type Reason int

const (
	// ReasonUnset is never given.
	ReasonUnset Reason = iota
	// RateExceeded means that the account sends faster than its rate.
	RateExceeded
	// ConcurrencyExceeded means that the account has too many requests open.
	ConcurrencyExceeded
	// WouldMissDeadline means that the request could not be served before its deadline.
	WouldMissDeadline
	// QueueFull means that the VM has as much waiting as it can hold.
	QueueFull
)

// Refusal is a final answer: the request did not run.
type Refusal struct {
	Reason  Reason
	RetryAt time.Time
}

// Limit is one account's part on this VM.
type Limit struct {
	Rate       float64 // Requests a second.
	Concurrent int
	Weight     int
}

// Limits is all that a gate goes by. Capacity is how many requests run side by side.
type Limits struct {
	Capacity int
	Accounts map[string]Limit
}

// Request describes one request. A lower Rank is served first.
type Request struct {
	Account  string
	Rank     int
	Lookup   bool
	Deadline time.Time
}

// Ticket is one admitted request. Granted is closed when it may run.
type Ticket struct {
	Granted   chan struct{}
	gate      *Gate
	ask       Request
	start     float64 // The tag by which fair queueing orders it.
	number    int
	place     int // In the heap, or -1.
	running   bool
	left      bool
	grantedAt time.Time
}

// Options shapes a Gate.
type Options struct {
	Now func() time.Time
}

type account struct {
	tokens     float64
	filledAt   time.Time
	open       int
	lastFinish float64
}

// Gate is one VM's admission. It is safe for concurrent use.
type Gate struct {
	options Options

	mu       sync.Mutex
	limits   Limits
	accounts map[string]*account
	queue    ticketHeap
	running  int
	lookups  int // Of those running.
	virtual  float64
	sequence int
	service  time.Duration // Moving average of how long a request holds its room.
}

// New makes a gate that refuses everyone until it is configured.
func New(options Options) *Gate {
	return &Gate{options: options, accounts: map[string]*account{}, service: firstService}
}

// Configure replaces the limits. Requests that were taken stay taken.
func (g *Gate) Configure(limits Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = limits
	g.grant()
}

// Admit takes or refuses a request at once.
func (g *Gate) Admit(ask Request) (*Ticket, *Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Now()
	limit := g.limits.Accounts[ask.Account]
	a := g.account(ask.Account, limit, now)
	if refusal := g.refuse(ask, a, limit, now); refusal != nil {
		return nil, refusal
	}
	a.tokens--
	a.open++
	g.sequence++
	ticket := &Ticket{Granted: make(chan struct{}), gate: g, ask: ask, number: g.sequence}
	ticket.start = max(g.virtual, a.lastFinish)
	a.lastFinish = ticket.start + 1/float64(max(limit.Weight, 1))
	heap.Push(&g.queue, ticket)
	g.grant()
	return ticket, nil
}

func (g *Gate) account(name string, limit Limit, now time.Time) *account {
	a := g.accounts[name]
	if a == nil {
		a = &account{tokens: max(limit.Rate*burst, 1), filledAt: now}
		g.accounts[name] = a
	}
	grown := now.Sub(a.filledAt).Seconds() * limit.Rate
	a.tokens = min(a.tokens+grown, max(limit.Rate*burst, 1))
	a.filledAt = now
	return a
}

func (g *Gate) refuse(ask Request, a *account, limit Limit, now time.Time) *Refusal {
	switch {
	case a.tokens < 1:
		return &Refusal{Reason: RateExceeded, RetryAt: now.Add(secondsToNext(a.tokens, limit.Rate))}
	case a.open >= limit.Concurrent:
		return &Refusal{Reason: ConcurrencyExceeded, RetryAt: now.Add(g.service)}
	case len(g.queue) >= maxWaiting*max(g.limits.Capacity, 1):
		return &Refusal{Reason: QueueFull, RetryAt: now.Add(g.service)}
	}
	if wait := g.wait(ask); !ask.Deadline.IsZero() && now.Add(wait).After(ask.Deadline) {
		return &Refusal{Reason: WouldMissDeadline, RetryAt: now.Add(wait / 2)}
	}
	return nil
}

func secondsToNext(tokens, rate float64) time.Duration {
	if rate <= 0 {
		return time.Minute
	}
	return time.Duration((1 - tokens) / rate * float64(time.Second))
}

// wait estimates how long a request would wait: those before it, served by the
// room in turns of the average service time.
func (g *Gate) wait(ask Request) time.Duration {
	if g.fits(ask) {
		return 0
	}
	before := 1
	for _, ticket := range g.queue {
		if ticket.ask.Rank <= ask.Rank {
			before++
		}
	}
	turns := math.Ceil(float64(before) / float64(max(g.limits.Capacity, 1)))
	return time.Duration(turns * float64(g.service))
}

// fits reports whether there is room now. Only lookups use the last part.
func (g *Gate) fits(ask Request) bool {
	kept := int(math.Ceil(lookupPart * float64(g.limits.Capacity)))
	if g.limits.Capacity <= 1 {
		kept = 0
	}
	if ask.Lookup {
		return g.running < g.limits.Capacity
	}
	return g.running < g.limits.Capacity && g.running-g.lookups < g.limits.Capacity-kept
}

// grant starts waiting requests while there is room.
func (g *Gate) grant() {
	skipped := []*Ticket{}
	for len(g.queue) > 0 && g.running < g.limits.Capacity {
		ticket := heap.Pop(&g.queue).(*Ticket)
		if !g.fits(ticket.ask) {
			skipped = append(skipped, ticket) // Its room is kept for lookups.
			continue
		}
		g.start(ticket)
	}
	for _, ticket := range skipped {
		heap.Push(&g.queue, ticket)
	}
}

func (g *Gate) start(ticket *Ticket) {
	ticket.running = true
	ticket.grantedAt = g.options.Now()
	g.running++
	if ticket.ask.Lookup {
		g.lookups++
	}
	g.virtual = max(g.virtual, ticket.start)
	close(ticket.Granted)
}

// Release ends a request, whether it ran or gave up waiting. Calling it again
// does nothing.
func (t *Ticket) Release() {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.left {
		return
	}
	t.left = true
	g.accounts[t.ask.Account].open--
	if !t.running {
		heap.Remove(&g.queue, t.place)
		return
	}
	g.running--
	if t.ask.Lookup {
		g.lookups--
	}
	held := g.options.Now().Sub(t.grantedAt)
	g.service += time.Duration(serviceSmoothing * float64(held-g.service))
	g.grant()
}

// Load tells how much runs and waits.
func (g *Gate) Load() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running, len(g.queue)
}

// ticketHeap orders by rank, then fair-queueing tag, then arrival.
type ticketHeap []*Ticket

func (h ticketHeap) Len() int { return len(h) }

func (h ticketHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.ask.Rank != b.ask.Rank {
		return a.ask.Rank < b.ask.Rank
	}
	if a.start != b.start {
		return a.start < b.start
	}
	return a.number < b.number
}

func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place = i
	h[j].place = j
}

// Push is for container/heap.
func (h *ticketHeap) Push(x any) {
	ticket := x.(*Ticket)
	ticket.place = len(*h)
	*h = append(*h, ticket)
}

// Pop is for container/heap.
func (h *ticketHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	last.place = -1
	*h = old[:len(old)-1]
	return last
}
