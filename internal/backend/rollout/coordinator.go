package rollout

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// Coordinator decides on the roll-out of one service. It is safe for concurrent use.
type Coordinator struct {
	options CoordinatorOptions
	writer  uint32 // Identifies this coordinator in the states that it writes.

	mu         sync.Mutex
	order      Order
	hasOrder   bool
	identities []Order // The order as it was written at different times.
	superseded bool    // The row holds the state of a newer order.
	row        *State  // What the row holds; nil if it is empty.
	state      *State  // The newest of the order; nil if it has not begun.

	received  *received
	judgement *judgement
	against   string // The evidence against the new version; empty if there is none.
	isMarked  bool   // Evidence for it counts from canaryMark on.
	rate      requestRate

	// Credits.
	reserved int // Credits that this coordinator may issue.
	attempt  attempt
	atStage  int // Credits that may have been issued when the stage began.

	// What was observed, in milliseconds of the store's clock; 0 if it was not.
	view         View
	beganAt      int64 // First decision on this order.
	stageAt      int64 // First decision in this stage.
	newServersAt int64 // When the new version last had servers.
}

// attempt is a state that Decide returned last. Base is the number of credits before those that it
// reserves.
type attempt struct {
	serial uint64
	base   int
}

// NewCoordinator returns a Coordinator without an order: it grants nothing and decides nothing.
func NewCoordinator(options CoordinatorOptions) *Coordinator {
	return &Coordinator{options: options, writer: rand.Uint32(), received: newReceived(), judgement: newJudgement()}
}

// Begin takes up an order. Found is the state in its row, nil if there is none; it may be of an
// earlier order, or of this one before the store came back from an older copy, and known is the newest
// state that the VMs know.
func (c *Coordinator) Begin(order Order, found, known *State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasOrder || !order.isSameAs(c.order) {
		c.reset()
	}
	c.order, c.hasOrder = order, true
	if !slices.Contains(c.identities, order) {
		c.identities = append(c.identities, order)
	}
	c.setRow(found)
	if known != nil && c.concerns(*known) {
		c.adopt(*known)
	}
}

// reset forgets an order. Called with the lock held.
func (c *Coordinator) reset() {
	c.identities, c.superseded, c.row, c.state = nil, false, nil, nil
	c.received, c.judgement, c.against = newReceived(), newJudgement(), ""
	c.rate = requestRate{}
	c.reserved, c.attempt, c.atStage, c.isMarked = 0, attempt{}, 0, false
	c.view, c.beganAt, c.stageAt, c.newServersAt = View{}, 0, 0, 0
}

// concerns reports whether a state is of the order, or of the one that it withdraws. Called with the
// lock held.
func (c *Coordinator) concerns(state State) bool {
	if c.order.Withdrawn {
		return !state.Order.isNewerThan(c.order)
	}
	return state.Order.isSameAs(c.order)
}

// setRow notes what the row holds. Called with the lock held.
func (c *Coordinator) setRow(found *State) {
	if found == nil {
		c.row = nil
		return
	}
	row := *found
	c.row = &row
	c.superseded = row.Order.isNewerThan(c.order) && !row.Order.isSameAs(c.order)
	if c.concerns(row) {
		c.adopt(row)
	}
	if row.Writer == c.writer && row.Serial == c.attempt.serial {
		c.reserved += max(row.Exposed-c.attempt.base, 0)
		c.attempt = attempt{}
	}
}

// adopt takes over a state that is newer than the known one. Called with the lock held.
func (c *Coordinator) adopt(state State) {
	if c.state != nil && !state.isNewerThan(*c.state) {
		return
	}
	if c.state == nil || c.state.Stage != state.Stage {
		c.stageAt, c.atStage = 0, state.Exposed
		c.judgement.mark(c.elapsed())
	}
	c.state = &state
}

// Order returns the order that was taken up last.
func (c *Coordinator) Order() (order Order, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.order, c.hasOrder
}

// Written reports that the row holds a state: the one of Decide, or another VM's.
func (c *Coordinator) Written(state State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasOrder {
		return
	}
	c.setRow(&state)
}

// ApplyTally applies what a VM has counted. Tallies of other orders are ignored.
func (c *Coordinator) ApplyTally(tally Tally) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isOfOrder(tally.Service, tally.Era, tally.Revision) {
		return
	}
	since := c.received.apply(tally)
	c.judgement.sends.add(since.Exposed, since.Requests, c.elapsed())
	for _, delta := range since.Routes {
		c.judgement.apply(delta, c.elapsed(), c.judgesSlowness())
	}
	c.judge()
}

// isOfOrder reports whether a message is about the order. Called with the lock held.
func (c *Coordinator) isOfOrder(service string, era, revision uint64) bool {
	return c.hasOrder && slices.ContainsFunc(c.identities, func(o Order) bool {
		return o.Service == service && o.Era == era && o.Revision == revision
	})
}

// judgesSlowness reports whether latencies can be compared: until all traffic shifts, servers of both
// versions have their usual load. Called with the lock held.
func (c *Coordinator) judgesSlowness() bool {
	return c.state == nil || c.state.Stage == StageCanary || c.state.Stage == StageLoad
}

// judge notes evidence against the new version. It stays, whatever comes after it. Called with the
// lock held.
func (c *Coordinator) judge() {
	if c.against == "" && c.judgement.isAgainst(c.elapsed()) {
		c.against = c.judgement.reason(c.elapsed())
	}
}

// Grant decides on a credit.
func (c *Coordinator) Grant(request CreditRequest) CreditReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isOfOrder(request.Service, request.Era, request.Revision) || c.state == nil || c.superseded {
		return CreditReply{}
	}
	c.received.noteRequests(request.VM, request.Instance, request.Requests)
	c.rate.observe(c.view.NowMillis, c.received.requests())
	if c.against != "" || c.state.Stage == StageRolledBack {
		return CreditReply{Suspended: true}
	}
	share := c.share()
	if !c.mayIssue() {
		return CreditReply{Share: share}
	}
	c.reserved--
	return CreditReply{Granted: true, Share: share, Servers: serversFor(c.state.Stage, share, c.view.NewServers)}
}

// mayIssue reports whether a credit may be issued now. Called with the lock held.
func (c *Coordinator) mayIssue() bool {
	if c.order.Withdrawn || c.reserved == 0 || c.view.NewServers == 0 {
		return false
	}
	now := c.moment()
	return c.issued() < min(c.options.pacedCredits(now), c.options.maxCredits(now))
}

// issued returns how many credits may have been issued by all coordinators. Called with the lock held.
func (c *Coordinator) issued() int {
	return c.state.Exposed - c.reserved
}

// share returns the share of their requests for which VMs are to ask for a credit. Called with the
// lock held.
func (c *Coordinator) share() float64 {
	now := c.moment()
	then := now.later(reserveTime, c.rate.perSecond)
	credits := c.options.pacedCredits(then) - c.issued()
	return shareOf(float64(credits), max(reserveTime*now.duration, 0.001), c.rate.perSecond)
}

// moment returns what the number of credits depends on now. Called with the lock held.
func (c *Coordinator) moment() moment {
	duration := float64(c.state.Deadline-c.state.StartedAt) / 1000
	return moment{
		stage:    c.state.Stage,
		elapsed:  c.elapsed(),
		inStage:  c.inStage(),
		duration: duration,
		requests: float64(c.received.requests()),
		atStart:  c.atStage,
	}
}

// elapsed returns the fraction of the roll-out's time that has passed. Called with the lock held.
func (c *Coordinator) elapsed() float64 {
	if c.state == nil {
		return 0
	}
	return c.fractionSince(c.state.StartedAt)
}

// inStage returns the fraction of the roll-out's time for which this coordinator knows the stage.
// Called with the lock held.
func (c *Coordinator) inStage() float64 {
	if c.stageAt == 0 {
		return 0
	}
	return c.fractionSince(c.stageAt)
}

func (c *Coordinator) fractionSince(at int64) float64 {
	return float64(max(c.view.NowMillis-at, 0)) / float64(max(c.state.Deadline-c.state.StartedAt, 1))
}
