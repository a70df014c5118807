package entry

import (
	"cmp"
	"context"
	"math/rand/v2"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/endivespoke/endivespoke/internal/backend/rollout"
	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/peer/spread"
)

// Roll-outs: the readers of the store pass on operators' orders, each VM follows their states, and
// the VM that ranks first for a service coordinates its roll-out; see rolloutrun.go. The decisions
// are in package rollout, the design is in docs/design/rollouts.md.

const (
	// rolloutInterval is how often the coordinator of a roll-out decides, and idleRolloutInterval how
	// often a VM checks whether it has become one.
	rolloutInterval     = 100 * time.Millisecond
	idleRolloutInterval = 500 * time.Millisecond
	// tallyInterval is how often a VM sends its tallies, if they changed.
	tallyInterval = 250 * time.Millisecond
	// tallyResendInterval is how often it sends them unchanged: messages may be lost.
	tallyResendInterval = time.Second
	// orderReturnTime is how long after a restore of the store an order holds that the older copy
	// lacks. The operator writes it again.
	orderReturnTime = 5 * time.Second
)

// rollouts is a VM's part in the roll-outs of all services.
type rollouts struct {
	vm        *VM
	follower  *rollout.Follower
	store     RolloutStore
	clock     storeClock
	knows     atomic.Bool   // Some order is known, which may have been withdrawn.
	isActive  atomic.Bool   // There are orders that hold, or states.
	statesDue atomic.Bool   // The store has an order and no state of it is known.
	wake      chan struct{} // Holds a value when there is something new to decide on.

	mu   sync.Mutex
	runs map[string]*rolloutRun // By service: those that this VM coordinates.
	// tallies has the newest tally by service and VM. A VM that does not coordinate the roll-out
	// keeps them too: it may succeed the coordinator.
	tallies map[string]map[string]rollout.Tally
	// missing has, by service, until when an order holds that a restored store lacks.
	missing   map[string]time.Time
	posted    map[string]postedTally   // By service.
	suspended map[string]rollout.Order // By service: the order whose exposure was last suspended.

	// isIsolated reports whether no peer answers this VM, so that it hears of no states.
	isIsolated func() bool

	// Owned by the goroutine of Serve.
	statesReadAt time.Time
	failingSince time.Time // When a call about states first failed since one succeeded.
	isRefused    bool      // Failures have lasted, and the other VMs know.
	retryAt      time.Time
	retryDelay   time.Duration
}

// postedTally is a tally as it was last sent.
type postedTally struct {
	tally    rollout.Tally
	watchers []string
	at       time.Time
}

func newRollouts(vm *VM) *rollouts {
	r := &rollouts{
		vm:        vm,
		store:     vm.options.Rollouts,
		wake:      make(chan struct{}, 1),
		runs:      map[string]*rolloutRun{},
		tallies:   map[string]map[string]rollout.Tally{},
		missing:   map[string]time.Time{},
		posted:    map[string]postedTally{},
		suspended: map[string]rollout.Order{},
	}
	r.isIsolated = func() bool {
		return len(vm.spread.Snapshot().Live) > 1 && vm.Now().Sub(vm.spread.LastPeerReplyAt()) > isolatedAfter
	}
	r.follower = rollout.NewFollower(rollout.FollowerOptions{
		VM:         vm.spread.Snapshot().Self.ID,
		Draw:       rand.Float64,
		TakeCredit: r.takeCredit,
		OldWork:    vm.servers.OldWork,
	})
	return r
}

// spreadRollouts connects the roll-outs to the other VMs.
func (v *VM) spreadRollouts() spread.Rollouts {
	if !v.settings.Load().Rollouts {
		return spread.Rollouts{}
	}
	return spread.Rollouts{
		Digest:    func() uint64 { return v.rollouts.follower.Digest() },
		News:      func() spread.RolloutNews { return v.rollouts.news() },
		OnNews:    func(news spread.RolloutNews) { v.rollouts.applyNews(news) },
		OnTallies: func(tallies []rollout.Tally) { v.rollouts.applyTallies(tallies) },
		Grant:     func(request rollout.CreditRequest) rollout.CreditReply { return v.rollouts.grant(request) },
	}
}

// chooseVersion returns the rule for the choice of a server for a send. What was rolled back is
// avoided also after its order was withdrawn.
func (v *VM) chooseVersion(service string, send rollout.Send) rollout.Rule {
	return v.rollouts.follower.Choose(service, send)
}

// recordResult counts the end of a send while roll-outs are known.
func (v *VM) recordResult(result rollout.Result) {
	if !v.rollouts.knows.Load() {
		return
	}
	v.counters.rolloutResult(result)
	v.rollouts.follower.Record(result)
}

// rolloutsKnown reports whether this VM knows the state of each order, or has waited long enough.
func (v *VM) rolloutsKnown() bool {
	if !v.rollouts.isActive.Load() || v.Now().After(v.started.Add(startHold)) {
		return true
	}
	return !v.rollouts.lacksState()
}

func (r *rollouts) news() spread.RolloutNews {
	return r.withTime(spread.RolloutNews{Orders: r.follower.Orders(), States: r.follower.States()})
}

// withTime adds the time of the store's clock: a successor of the coordinator may not reach the store.
func (r *rollouts) withTime(news spread.RolloutNews) spread.RolloutNews {
	if r.clock.isSet() {
		news.NowMillis, news.Era = r.clock.now(r.vm.Now())
	}
	return news
}

// announce tells the other VMs of changes.
func (r *rollouts) announce(orders []rollout.Order, states []rollout.State) {
	r.vm.spread.AnnounceRollouts(r.withTime(spread.RolloutNews{Orders: orders, States: states}))
}

// lacksState reports whether the state of some order is not known.
func (r *rollouts) lacksState() bool {
	known := map[string]bool{}
	for _, state := range r.follower.States() {
		known[state.Order.Service] = true
	}
	return slices.ContainsFunc(r.follower.Orders(), func(o rollout.Order) bool { return !o.Withdrawn && !known[o.Service] })
}

// applyRows applies rows of the configuration's table.
func (r *rollouts) applyRows(rows Rows, full bool, at time.Time) {
	r.clock.set(rows.NowMillis, rows.Version.Era, at)
	orders := []rollout.Order{}
	listed := map[string]bool{}
	for _, row := range rows.Rows {
		order, isOrder := r.store.DecodeOrder(row)
		if !isOrder {
			continue
		}
		order.Era = rows.Version.Era
		listed[order.Service] = true
		orders = append(orders, order)
		if order.Withdrawn && !row.Deleted && r.isNews(order) {
			event.RolloutOrderRefused.Warn(r.vm.logger, "service", order.Service, "key", row.Key, "revision", order.Revision)
		}
	}
	if full {
		orders = append(orders, r.lackingOrders(listed, rows.Version, at)...)
	}
	r.markListed(listed)
	changed := r.applyOrders(orders, "store")
	r.announce(changed, nil)
	if len(changed) > 0 && r.lacksState() {
		r.statesDue.Store(true)
		r.wakeUp()
	}
}

// isNews reports whether an order is newer than the one that is known for its service.
func (r *rollouts) isNews(order rollout.Order) bool {
	known, found := r.order(order.Service)
	return !found || compareOrders(order, known) > 0
}

func (r *rollouts) order(service string) (order rollout.Order, found bool) {
	for _, known := range r.follower.Orders() {
		if known.Service == service {
			return known, true
		}
	}
	return rollout.Order{}, false
}

// compareOrders compares the times at which two orders were written.
func compareOrders(a, b rollout.Order) int {
	return cmp.Or(cmp.Compare(a.Era, b.Era), cmp.Compare(a.Revision, b.Revision))
}

// lackingOrders withdraws the orders that a full read of the table lacks. One from before a restore
// of the store holds for orderReturnTime more.
func (r *rollouts) lackingOrders(listed map[string]bool, version spread.StoreVersion, at time.Time) []rollout.Order {
	r.mu.Lock()
	defer r.mu.Unlock()
	lacking := []rollout.Order{}
	for _, known := range r.follower.Orders() {
		if known.Withdrawn || listed[known.Service] {
			continue
		}
		if known.Era < version.Era {
			if _, found := r.missing[known.Service]; !found {
				r.missing[known.Service] = at.Add(orderReturnTime)
			}
			continue
		}
		lacking = append(lacking, withdrawal(known, version))
	}
	return lacking
}

// withdrawal returns the order that withdraws another one as of a version of the store.
func withdrawal(order rollout.Order, version spread.StoreVersion) rollout.Order {
	order.Era, order.Revision, order.Withdrawn = version.Era, version.Rev, true
	return order
}

func (r *rollouts) markListed(listed map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service := range listed {
		delete(r.missing, service)
	}
}

// withdrawMissing withdraws the orders that the operator has not written again after a restore.
func (r *rollouts) withdrawMissing() {
	now := r.vm.Now()
	version := spread.StoreVersion{Era: r.vm.storeEra.Load()}
	orders := []rollout.Order{}
	r.mu.Lock()
	for service, until := range r.missing {
		if now.Before(until) {
			continue
		}
		delete(r.missing, service)
		if known, found := r.order(service); found && !known.Withdrawn && known.Era < version.Era {
			orders = append(orders, withdrawal(known, version))
		}
	}
	r.mu.Unlock()
	changed := r.applyOrders(orders, "end of the wait for its return")
	r.announce(changed, nil)
}

// applyNews applies what a peer sent.
func (r *rollouts) applyNews(news spread.RolloutNews) {
	if news.NowMillis > 0 {
		r.clock.learn(news.NowMillis, news.Era, r.vm.Now())
	}
	r.applyOrders(news.Orders, "peer")
	r.applyStates(news.States, "peer")
}

// applyOrders returns the orders that are in force now and were not before.
func (r *rollouts) applyOrders(orders []rollout.Order, from string) (changed []rollout.Order) {
	before := r.follower.Orders()
	if len(orders) == 0 || !r.follower.ApplyOrders(orders) {
		return nil
	}
	for _, order := range r.follower.Orders() {
		if slices.Contains(before, order) {
			continue
		}
		changed = append(changed, order)
		e := event.RolloutOrdered
		if order.Withdrawn {
			e = event.RolloutWithdrawn
		}
		e.Info(r.vm.logger, "service", order.Service, "to", order.To, "durationMillis", order.DurationMillis,
			"revision", order.Revision, "era", order.Era, "from", from)
	}
	r.knows.Store(true)
	r.updateActive()
	r.wakeUp()
	return changed
}

func (r *rollouts) updateActive() {
	holds := slices.ContainsFunc(r.follower.Orders(), func(o rollout.Order) bool { return !o.Withdrawn })
	r.isActive.Store(holds || len(r.follower.States()) > 0)
}

// applyStates reports whether any state, or its order, is new to this VM.
func (r *rollouts) applyStates(states []rollout.State, from string) (changed bool) {
	orders := []rollout.Order{}
	for _, state := range states {
		orders = append(orders, state.Order)
	}
	changed = len(r.applyOrders(orders, from)) > 0
	before := r.follower.States()
	if len(states) == 0 || !r.follower.ApplyStates(states) {
		return changed
	}
	for _, state := range r.follower.States() {
		if !state.Stage.IsFinal() || slices.ContainsFunc(before, func(b rollout.State) bool { return isSameState(b, state) }) {
			continue
		}
		pairs := []any{"service", state.Order.Service, "to", state.Order.To, "reason", state.Reason, "serial", state.Serial}
		if state.Stage == rollout.StageCompleted {
			event.RolloutCompleted.Info(r.vm.logger, pairs...)
		} else {
			event.RolloutRolledBack.Warn(r.vm.logger, pairs...)
		}
	}
	r.updateActive()
	r.wakeUp()
	return true
}

// isSameState reports whether two states are the same one of the same order.
func isSameState(a, b rollout.State) bool {
	return a.Order == b.Order && a.Serial == b.Serial && a.Stage == b.Stage && a.Writer == b.Writer
}

// publish applies a state from the store, or one that is due there, and tells the other VMs.
func (r *rollouts) publish(state rollout.State) {
	if r.applyStates([]rollout.State{state}, "store") {
		r.announce([]rollout.Order{state.Order}, []rollout.State{state})
	}
}

func (r *rollouts) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// takeCredit asks the coordinator for a credit.
func (r *rollouts) takeCredit(request rollout.CreditRequest) rollout.CreditReply {
	reply, err := r.vm.spread.TakeCredit(request)
	r.vm.counters.rolloutCredit(request.Service, reply, err)
	if err != nil {
		r.vm.logger.Debug("no reply from the coordinator of a roll-out", "service", request.Service, "error", err)
	}
	if reply.Suspended {
		r.logSuspended(request)
	}
	return reply
}

// logSuspended logs the first refusal that suspends an order's exposure.
func (r *rollouts) logSuspended(request rollout.CreditRequest) {
	order := rollout.Order{Service: request.Service, Era: request.Era, Revision: request.Revision}
	r.mu.Lock()
	isKnown := r.suspended[order.Service] == order
	r.suspended[order.Service] = order
	r.mu.Unlock()
	if !isKnown {
		event.RolloutSuspended.Info(r.vm.logger, "service", order.Service, "revision", order.Revision, "era", order.Era)
	}
}

// grant decides on a peer's or this VM's own request for a credit.
func (r *rollouts) grant(request rollout.CreditRequest) rollout.CreditReply {
	r.mu.Lock()
	run := r.runs[request.Service]
	r.mu.Unlock()
	if run == nil || !run.isCoordinated() {
		return rollout.CreditReply{}
	}
	return run.coordinator.Grant(request)
}

// applyTallies keeps the tallies of VMs for the coordinator, which may be a later one.
func (r *rollouts) applyTallies(tallies []rollout.Tally) {
	for _, tally := range tallies {
		if run := r.keepTally(tally); run != nil {
			run.coordinator.ApplyTally(tally)
		}
	}
}

// keepTally returns the run of the tally's service, nil if there is none here.
func (r *rollouts) keepTally(tally rollout.Tally) *rolloutRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	byVM := r.tallies[tally.Service]
	if byVM == nil {
		byVM = map[string]rollout.Tally{}
		r.tallies[tally.Service] = byVM
	}
	if last := byVM[tally.VM]; last.Instance != tally.Instance || last.Sequence < tally.Sequence {
		byVM[tally.VM] = tally
	}
	return r.runs[tally.Service]
}

// talliesOf returns the tallies of a service's roll-out.
func (r *rollouts) talliesOf(service string) []rollout.Tally {
	r.mu.Lock()
	defer r.mu.Unlock()
	tallies := []rollout.Tally{}
	for _, tally := range r.tallies[service] {
		tallies = append(tallies, tally)
	}
	return tallies
}

// postTallies sends the tallies that changed to the VMs that watch the roll-outs.
func (r *rollouts) postTallies(context.Context) {
	if !r.isActive.Load() {
		return
	}
	for _, tally := range r.follower.Tallies() {
		watchers := []string{}
		for _, watcher := range r.vm.spread.RolloutWatchers(tally.Service) {
			watchers = append(watchers, watcher.ID)
		}
		next := postedTally{tally: tally, watchers: watchers, at: r.vm.Now()}
		if r.isDue(next) {
			r.vm.spread.PostTallies(tally.Service, []rollout.Tally{tally})
		}
	}
}

// isDue reports whether a tally has to be sent, and records it as sent then.
func (r *rollouts) isDue(next postedTally) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, found := r.posted[next.tally.Service]
	counts := next.tally
	counts.Sequence = last.tally.Sequence
	isKnown := found && reflect.DeepEqual(last.tally, counts) && slices.Equal(last.watchers, next.watchers)
	if isKnown && next.at.Sub(last.at) < tallyResendInterval {
		return false
	}
	r.posted[next.tally.Service] = next
	return true
}

// storeClock estimates the time of the store's steady clock between its answers.
type storeClock struct {
	mu     sync.Mutex
	era    uint64
	millis int64
	at     time.Time
}

// set records the time in an answer. One that was delayed does not set the clock back.
func (c *storeClock) set(millis int64, era uint64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if era == c.era && !c.at.IsZero() {
		millis = max(millis, c.estimate(at))
	}
	c.millis, c.era, c.at = millis, era, at
}

// isSet reports whether the store has told its time.
func (c *storeClock) isSet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.at.IsZero()
}

// learn records the time that a peer has told, for a VM that has no answer of the store in that era.
func (c *storeClock) learn(millis int64, era uint64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at.IsZero() || era > c.era {
		c.millis, c.era, c.at = millis, era, at
	}
}

// now returns the time of the store's clock, and the era in which the store told it.
func (c *storeClock) now(at time.Time) (millis int64, era uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.estimate(at), c.era
}

// age returns how long ago the time was told.
func (c *storeClock) age(at time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return at.Sub(c.at)
}

func (c *storeClock) estimate(at time.Time) int64 {
	return c.millis + at.Sub(c.at).Milliseconds()
}
