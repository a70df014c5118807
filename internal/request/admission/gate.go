// Package admission decides which requests a VM accepts, and in what order they
// run.
//
// # Usage
//
//	gate := admission.New(admission.Options{Now: time.Now})
//	gate.Configure(admission.Limits{Capacity: 64, Accounts: map[string]admission.Limit{...}})
//	ticket, refusal := gate.Admit(admission.Request{Account: "a", Rank: 1, Deadline: deadline})
//	if refusal != nil { ... }        // immediately, with the time for a retry
//	<-ticket.Granted                 // or give up at the deadline with ticket.Release()
//	defer ticket.Release()
//
// New streams for servers whose memory is known wait in an Admitter instead, which all VMs of a
// cell report to each other:
//
//	admitter := admission.NewAdmitter(admission.AdmitterOptions{...})
//	err := admitter.Admit(ctx, service, stream, attempt) // *NoHeadroom, or what attempt.Take returned
//
// At a Gate, each account has a rate limit, a concurrency limit and a weight. Queued requests
// are served by rank, and within a rank by start-time fair queueing (Goyal, Vin,
// Cheng 1996), so that an account gets the share of its weight no matter how much
// it requests. A fraction of the capacity is reserved for lookups. A request that
// can't be served before its deadline is refused on arrival, not after waiting in
// the queue.
//
// An Admitter orders streams by rank, then by what their accounts hold of the servers' memory in
// the cell, and then by how long their callers have waited. A stream that is expected to wait too long for its latency
// objective is refused on arrival, and one that waits as soon as that shows; see queue.go.
package admission

import (
	"container/heap"
	"math"
	"sync"
	"time"
)

const (
	// lookupFraction of the capacity is reserved for lookups.
	lookupFraction = 0.1
	// burstSeconds of an account's rate may arrive at once.
	burstSeconds = 2
	// maxQueueFactor bounds the length of the queue, as a multiple of the
	// capacity.
	maxQueueFactor = 64
	// serviceSmoothing is the weight of a new service time in the moving average.
	serviceSmoothing = 0.1
	// initialServiceTime is the first value of the moving average.
	initialServiceTime = time.Second
)

// Reason is the reason of a refusal.
type Reason int

const (
	// ReasonUnset is never returned.
	ReasonUnset Reason = iota
	// RateExceeded means that the account exceeds its requests per second.
	RateExceeded
	// ConcurrencyExceeded means that the account has too many open requests.
	ConcurrencyExceeded
	// WouldMissDeadline means that the request could not be served before its
	// deadline.
	WouldMissDeadline
	// QueueFull means that the VM's queue is full.
	QueueFull
	// Overtaken means that what goes before a waiting stream grew until it could not be in time.
	Overtaken
	// WaitedTooLong means that a stream found no headroom until it had to have a server.
	WaitedTooLong
	// Stopped means that the VM is leaving and lets no stream wait any more.
	Stopped
)

// String returns the reason's name in logs and counters.
func (r Reason) String() string {
	switch r {
	case RateExceeded:
		return "rateExceeded"
	case ConcurrencyExceeded:
		return "concurrencyExceeded"
	case WouldMissDeadline:
		return "wouldMissDeadline"
	case QueueFull:
		return "queueFull"
	case Overtaken:
		return "overtaken"
	case WaitedTooLong:
		return "waitedTooLong"
	case Stopped:
		return "stopped"
	default:
		return "unset"
	}
}

// Refusal is a final answer: the request did not run. RetryAt is a
// suggested time for a retry.
type Refusal struct {
	Reason  Reason
	RetryAt time.Time
}

// Limit is this VM's share of one account's limits.
type Limit struct {
	Rate       float64 // Requests per second.
	Concurrent int
	Weight     int
}

// Limits configures a gate. Capacity is the number of requests that run
// concurrently.
type Limits struct {
	Capacity int
	Accounts map[string]Limit
}

// Request describes one request to admit. A lower Rank is served first.
type Request struct {
	Account  string
	Rank     int
	Lookup   bool
	Deadline time.Time
}

// Ticket is one admitted request. Granted is closed when the request may run.
type Ticket struct {
	Granted   chan struct{}
	gate      *Gate
	request   Request
	startTag  float64 // Start tag of start-time fair queueing.
	sequence  int
	index     int // In the heap, or -1.
	running   bool
	released  bool
	grantedAt time.Time
}

// Options configures a Gate.
type Options struct {
	Now func() time.Time
}

type account struct {
	tokens     float64
	refilledAt time.Time
	open       int
	finishTag  float64
}

// Gate controls the admission of one VM. It is safe for concurrent use.
type Gate struct {
	options Options

	mu           sync.Mutex
	limits       Limits
	accounts     map[string]*account
	queue        ticketHeap
	running      int
	lookups      int // Running lookups.
	virtualTime  float64
	lastSequence int
	serviceTime  time.Duration // Moving average of the time from grant to release.
}

// New returns a gate that refuses all requests until it is configured.
func New(options Options) *Gate {
	return &Gate{options: options, accounts: map[string]*account{}, serviceTime: initialServiceTime}
}

// Configure replaces the limits. Admitted requests stay admitted.
func (g *Gate) Configure(limits Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = limits
	g.grantWaiting()
}

// Admit admits or refuses a request without blocking. An admitted request may
// still have to wait until its ticket is granted.
func (g *Gate) Admit(request Request) (*Ticket, *Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Now()
	limit := g.limits.Accounts[request.Account]
	a := g.account(request.Account, limit, now)
	if refusal := g.refuse(request, a, limit, now); refusal != nil {
		return nil, refusal
	}
	a.tokens--
	a.open++
	g.lastSequence++
	ticket := &Ticket{Granted: make(chan struct{}), gate: g, request: request, sequence: g.lastSequence}
	ticket.startTag = max(g.virtualTime, a.finishTag)
	a.finishTag = ticket.startTag + 1/float64(max(limit.Weight, 1))
	heap.Push(&g.queue, ticket)
	g.grantWaiting()
	return ticket, nil
}

func (g *Gate) account(name string, limit Limit, now time.Time) *account {
	a := g.accounts[name]
	if a == nil {
		a = &account{tokens: max(limit.Rate*burstSeconds, 1), refilledAt: now}
		g.accounts[name] = a
	}
	refill := now.Sub(a.refilledAt).Seconds() * limit.Rate
	a.tokens = min(a.tokens+refill, max(limit.Rate*burstSeconds, 1))
	a.refilledAt = now
	return a
}

func (g *Gate) refuse(request Request, a *account, limit Limit, now time.Time) *Refusal {
	switch {
	case a.tokens < 1:
		return &Refusal{Reason: RateExceeded, RetryAt: now.Add(timeToNextToken(a.tokens, limit.Rate))}
	case a.open >= limit.Concurrent:
		return &Refusal{Reason: ConcurrencyExceeded, RetryAt: now.Add(g.serviceTime)}
	case len(g.queue) >= maxQueueFactor*max(g.limits.Capacity, 1):
		return &Refusal{Reason: QueueFull, RetryAt: now.Add(g.serviceTime)}
	}
	if wait := g.estimateWait(request); !request.Deadline.IsZero() && now.Add(wait).After(request.Deadline) {
		return &Refusal{Reason: WouldMissDeadline, RetryAt: now.Add(wait / 2)}
	}
	return nil
}

func timeToNextToken(tokens, rate float64) time.Duration {
	if rate <= 0 {
		return time.Minute
	}
	return time.Duration((1 - tokens) / rate * float64(time.Second))
}

// estimateWait estimates the queueing delay of a request: the requests ahead of it
// are served in rounds of the capacity, each of which takes the average service
// time.
func (g *Gate) estimateWait(request Request) time.Duration {
	if g.fits(request) {
		return 0
	}
	ahead := 1
	for _, ticket := range g.queue {
		if ticket.request.Rank <= request.Rank {
			ahead++
		}
	}
	rounds := math.Ceil(float64(ahead) / float64(max(g.limits.Capacity, 1)))
	return expectedWait(rounds, 1, g.serviceTime)
}

// fits reports whether there is free capacity for a request. The reserved fraction
// is for lookups only.
func (g *Gate) fits(request Request) bool {
	reserved := int(math.Ceil(lookupFraction * float64(g.limits.Capacity)))
	if g.limits.Capacity <= 1 {
		reserved = 0
	}
	if request.Lookup {
		return g.running < g.limits.Capacity
	}
	return g.running < g.limits.Capacity && g.running-g.lookups < g.limits.Capacity-reserved
}

// grantWaiting grants queued tickets while there is free capacity.
func (g *Gate) grantWaiting() {
	skipped := []*Ticket{}
	for len(g.queue) > 0 && g.running < g.limits.Capacity {
		ticket := heap.Pop(&g.queue).(*Ticket)
		if !g.fits(ticket.request) {
			skipped = append(skipped, ticket) // The free capacity is reserved for lookups.
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
	if ticket.request.Lookup {
		g.lookups++
	}
	g.virtualTime = max(g.virtualTime, ticket.startTag)
	close(ticket.Granted)
}

// Release ends a request, whether it ran or gave up waiting. Further calls do
// nothing.
func (t *Ticket) Release() {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.released {
		return
	}
	t.released = true
	g.accounts[t.request.Account].open--
	if !t.running {
		heap.Remove(&g.queue, t.index)
		return
	}
	g.running--
	if t.request.Lookup {
		g.lookups--
	}
	held := g.options.Now().Sub(t.grantedAt)
	g.serviceTime += time.Duration(serviceSmoothing * float64(held-g.serviceTime))
	g.grantWaiting()
}

// Load returns the numbers of running and queued requests.
func (g *Gate) Load() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running, len(g.queue)
}

// ticketHeap orders tickets by rank, then start tag, then arrival.
type ticketHeap []*Ticket

func (h ticketHeap) Len() int { return len(h) }

func (h ticketHeap) Less(i, j int) bool {
	return h[i].place().isBefore(h[j].place())
}

// place leaves out the time: the accounts' shares go before it.
func (t *Ticket) place() place {
	return place{rank: t.request.Rank, usage: t.startTag, sequence: t.sequence}
}

func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *ticketHeap) Push(x any) {
	ticket := x.(*Ticket)
	ticket.index = len(*h)
	*h = append(*h, ticket)
}

// Pop implements heap.Interface.
func (h *ticketHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	last.index = -1
	*h = old[:len(old)-1]
	return last
}
