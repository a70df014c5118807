package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/rollout"
	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/peer/spread"
)

const (
	// storeClockMaxAge is the age of the store's time at which a coordinator reads it again: the
	// clock of a machine that was suspended is behind.
	storeClockMaxAge = 5 * time.Second
	// reservationInterval is how often states that only reserve credits are announced. Other VMs
	// need them for the case that the store loses them.
	reservationInterval = time.Second
	// refusedAfter is how long the store answers no call about states until another VM is to
	// coordinate. Single answers may be lost, and each change of the coordinator costs the credits
	// that it has reserved.
	refusedAfter = 1500 * time.Millisecond
	// isolatedReadInterval is how often a VM reads the states while no peer answers it.
	isolatedReadInterval = time.Second
)

// String names the service in the supervisor's messages.
func (r *rollouts) String() string {
	return "roll-outs"
}

// Serve coordinates roll-outs until the context ends. It is idle while there are no orders.
func (r *rollouts) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		var next <-chan time.Time
		switch isUnderWay := r.step(ctx); {
		case isUnderWay || r.isRefused:
			next = time.After(rolloutInterval)
		case r.isActive.Load():
			next = time.After(idleRolloutInterval)
		}
		select {
		case <-ctx.Done():
		case <-r.wake:
		case <-next:
		}
	}
	return ctx.Err()
}

// step decides on each roll-out that this VM coordinates, and reports whether one is under way.
func (r *rollouts) step(ctx context.Context) (isUnderWay bool) {
	r.withdrawMissing()
	r.readStates(ctx)
	isCoordinator := false
	for _, order := range r.follower.Orders() {
		run := r.runOf(order)
		if run == nil {
			continue
		}
		isCoordinator = true
		if !r.vm.Now().Before(r.retryAt) {
			run.step(ctx)
		}
		isUnderWay = isUnderWay || !run.last.Stage.IsFinal()
	}
	if isCoordinator {
		return isUnderWay
	}
	r.failingSince = time.Time{}
	if r.isRefused {
		r.probe(ctx)
	}
	return false
}

// runOf returns the run of an order that this VM coordinates, or nil. A run is kept while another VM
// coordinates: this one may do so again.
func (r *rollouts) runOf(order rollout.Order) *rolloutRun {
	_, isSelf := r.vm.spread.Coordinator(order.Service)
	isSettled := !r.vm.Now().Before(r.vm.started.Add(settleTime)) // Before, this VM may not know the others.
	r.mu.Lock()
	defer r.mu.Unlock()
	run := r.runs[order.Service]
	if !isSelf || !isSettled {
		if run != nil {
			run.isReadDue = true
		}
		return nil
	}
	if run == nil {
		if order.Withdrawn && !r.hasState(order.Service) {
			return nil // It never began.
		}
		run = newRolloutRun(r, order)
		r.runs[order.Service] = run
	}
	if run.order != order {
		run.replace(order)
	}
	return run
}

func (r *rollouts) hasState(service string) bool {
	return slices.ContainsFunc(r.follower.States(), func(s rollout.State) bool { return s.Order.Service == service })
}

// readStates reads the states of all roll-outs once if orders are known without them, as after a loss
// of all VMs, and again and again while a roll-out is under way and this VM is isolated.
func (r *rollouts) readStates(ctx context.Context) {
	now := r.vm.Now()
	isStale := r.isUnderWay() && r.isIsolated() && now.Sub(r.statesReadAt) >= isolatedReadInterval
	if (!isStale && !r.statesDue.Load()) || now.Before(r.retryAt) {
		return
	}
	r.statesReadAt = now
	rows, err := r.store.States.Read(ctx)
	if err = r.recordCall(ctx, rows, err); err != nil {
		return
	}
	r.statesDue.Store(false)
	for _, row := range rows.Rows {
		if state := r.decodeState(row); state != nil {
			r.publish(*state)
		}
	}
}

// isUnderWay reports whether some order has not come to its end as far as this VM knows.
func (r *rollouts) isUnderWay() bool {
	return r.lacksState() || slices.ContainsFunc(r.follower.States(), func(s rollout.State) bool { return !s.Stage.IsFinal() })
}

// probe finds out whether the store answers this VM again.
func (r *rollouts) probe(ctx context.Context) {
	if r.vm.Now().Before(r.retryAt) {
		return
	}
	rows, err := r.store.States.Read(ctx)
	_ = r.recordCall(ctx, rows, err) // Recorded, and tried again after a delay.
}

// recordCall records the result of a call of the store. The error is that of the call, or
// errOlderEra. After a failure the next call waits. If failures last, the other VMs are told, and
// another one coordinates.
func (r *rollouts) recordCall(ctx context.Context, rows Rows, err error) error {
	isAnswered := err == nil || errors.Is(err, ErrConflict)
	if isAnswered {
		if eraErr := r.vm.checkEra(rows.Version.Era); eraErr != nil {
			isAnswered, err = false, eraErr
		}
	}
	if isAnswered {
		r.clock.set(rows.NowMillis, rows.Version.Era, r.vm.Now())
		r.retryDelay, r.failingSince = 0, time.Time{}
		r.setRefused(ctx, false)
		return err
	}
	if r.failingSince.IsZero() {
		r.failingSince = r.vm.Now()
	}
	if ctx.Err() == nil && r.vm.Now().Sub(r.failingSince) >= refusedAfter {
		r.setRefused(ctx, true)
	}
	r.retryDelay = min(max(2*r.retryDelay, minRetryDelay), maxRetryDelay)
	r.retryAt = r.vm.Now().Add(r.retryDelay + time.Duration(rand.Int64N(int64(minRetryDelay))))
	return err
}

func (r *rollouts) setRefused(ctx context.Context, refused bool) {
	if r.isRefused == refused {
		return
	}
	r.isRefused = refused
	change := int64(-1)
	if refused {
		change = 1
	}
	r.vm.countUnreachableTables(ctx, change)
}

// decodeState reads a state from its row; nil if it can't be read.
func (r *rollouts) decodeState(row Row) *rollout.State {
	state := rollout.State{}
	err := json.Unmarshal(row.Value, &state)
	if err == nil && (state.Order.Service != row.Key || state.Stage == "" || state.Serial == 0) {
		err = errors.New("it is no state of this service's roll-out")
	}
	if err != nil {
		event.RolloutStateUnread.Warn(r.vm.logger, "service", row.Key, "error", err)
		return nil
	}
	return &state
}

// view returns what a coordinator decides by.
func (r *rollouts) view(order rollout.Order) rollout.View {
	snapshot := r.vm.spread.Snapshot()
	view := rollout.View{}
	view.NowMillis, _ = r.clock.now(r.vm.Now())
	for _, member := range snapshot.Live {
		view.Members = append(view.Members, member.ID)
	}
	for _, server := range snapshot.Servers {
		switch {
		case server.Service != order.Service || server.Leaving:
		case server.Version == order.To:
			view.NewServers++
		default:
			view.OldServers++
			view.From = append(view.From, server.Version)
		}
	}
	slices.Sort(view.From)
	view.From = slices.Compact(view.From)
	return view
}

// decider is the part of a rollout.Coordinator that a run follows.
type decider struct {
	begin   func(order rollout.Order, found, known *rollout.State)
	decide  func(view rollout.View) (next rollout.State, due bool)
	written func(state rollout.State)
}

// rolloutRun carries the decisions on one order to the store and to the other VMs. The row of the
// states is changed only from a version that this VM has seen, so that of two VMs that both take
// themselves for the coordinator one fails.
type rolloutRun struct {
	rollouts    *rollouts
	order       rollout.Order // May be withdrawn.
	coordinator *rollout.Coordinator
	decider     decider
	begun       atomic.Bool // The coordinator has the state that the store held.
	isBlind     bool        // It has begun with what the VMs know, since the store does not answer.
	isOutdated  bool        // The row has a state of a later order.
	isReadDue   bool        // What the row holds is not known.
	row         spread.StoreVersion
	last        rollout.State // The newest state that the row is known to have held.
	publishedAt time.Time     // When a state was last announced.
}

func newRolloutRun(r *rollouts, order rollout.Order) *rolloutRun {
	settings := r.vm.settings.Load()
	c := rollout.NewCoordinator(rollout.CoordinatorOptions{ExposureShare: settings.ExposureShare, ExposureSlack: settings.ExposureSlack})
	return &rolloutRun{
		rollouts:    r,
		order:       order,
		coordinator: c,
		decider:     decider{begin: c.Begin, decide: c.Decide, written: c.Written},
		isReadDue:   true,
	}
}

// replace takes up another order, or the same one as the operator wrote it again.
func (r *rolloutRun) replace(order rollout.Order) {
	r.order = order
	r.begun.Store(false)
	r.isBlind, r.isReadDue = false, true
}

// isCoordinated reports whether the coordinator may grant credits.
func (r *rolloutRun) isCoordinated() bool {
	return r.begun.Load()
}

// step reads the row if it is not known, and writes the state that is due.
func (r *rolloutRun) step(ctx context.Context) {
	if r.needsRead() && !r.read(ctx) {
		r.decideWithoutStore()
		return
	}
	if r.isOutdated {
		return
	}
	next, due := r.decider.decide(r.rollouts.view(r.order))
	if due {
		r.write(ctx, next)
	}
}

func (r *rolloutRun) needsRead() bool {
	if r.isReadDue || r.row.Era != r.rollouts.vm.storeEra.Load() {
		return true
	}
	age := r.rollouts.clock.age(r.rollouts.vm.Now())
	return age > storeClockMaxAge && !r.last.Stage.IsFinal()
}

// decideWithoutStore announces a rollback that is due. Any other step waits for the store.
func (r *rolloutRun) decideWithoutStore() {
	if !r.rollouts.clock.isSet() {
		return
	}
	if !r.begun.Load() && !r.isBlind {
		known := r.known()
		if known == nil {
			return
		}
		r.isBlind = true
		r.beginWith(nil, known)
	}
	next, due := r.decider.decide(r.rollouts.view(r.order))
	if due {
		r.publishEarly(next)
	}
}

// publishEarly announces a rollback before it is written: the other VMs need not wait for the store to
// stop sending to the version. In the stage retire they must: a write of completed may still be performed,
// and stop the servers that they would send to.
func (r *rolloutRun) publishEarly(next rollout.State) {
	known := r.known()
	isRetiring := known != nil && known.Stage == rollout.StageRetire
	if next.Stage == rollout.StageRolledBack && !isRetiring {
		r.rollouts.publish(next)
	}
}

// read adopts the state in the row, and reports whether it is known.
func (r *rolloutRun) read(ctx context.Context) bool {
	all := r.rollouts
	rows, err := all.store.States.Get(ctx, r.order.Service)
	if err = all.recordCall(ctx, rows, err); err != nil {
		all.vm.logger.Debug("the state of a roll-out could not be read", "service", r.order.Service, "error", err)
		return false
	}
	found, version := r.present(rows)
	isNewEra := r.row.Era != rows.Version.Era
	r.row = spread.StoreVersion{Era: rows.Version.Era, Rev: version}
	r.isReadDue = false
	if !r.begun.Load() || isNewEra {
		r.begin(found)
		return true
	}
	r.adopt(found)
	return true
}

// present returns the state in an answer's row and its version; 0 if there is no row.
func (r *rolloutRun) present(rows Rows) (found *rollout.State, version uint64) {
	for _, row := range rows.Rows {
		if row.Key == r.order.Service && !row.Deleted {
			return r.rollouts.decodeState(row), row.Version
		}
	}
	return nil, 0
}

// begin gives the coordinator what is known of the order.
func (r *rolloutRun) begin(found *rollout.State) {
	all := r.rollouts
	known := r.known()
	r.beginWith(found, known)
	isFirst := !r.begun.Swap(true)
	if isFirst {
		event.RolloutCoordinated.Info(all.vm.logger, "service", r.order.Service, "to", r.order.To, "revision", r.order.Revision, "era", r.order.Era,
			"foundStage", stageOf(found), "knownStage", stageOf(known))
	}
	r.isOutdated = found != nil && compareOrders(found.Order, r.order) > 0
	if found == nil {
		return
	}
	if !r.isOutdated {
		r.last = *found
	}
	all.publish(*found)
}

// known returns the newest state that the VMs know; nil if they know none.
func (r *rolloutRun) known() *rollout.State {
	for _, state := range r.rollouts.follower.States() {
		if state.Order.Service == r.order.Service {
			return &state
		}
	}
	return nil
}

func (r *rolloutRun) beginWith(found, known *rollout.State) {
	r.decider.begin(r.order, found, known)
	for _, tally := range r.rollouts.talliesOf(r.order.Service) {
		r.coordinator.ApplyTally(tally)
	}
}

func stageOf(state *rollout.State) rollout.Stage {
	if state == nil {
		return ""
	}
	return state.Stage
}

// adopt follows a state that stands in the row.
func (r *rolloutRun) adopt(found *rollout.State) {
	if found == nil {
		return
	}
	r.isOutdated = compareOrders(found.Order, r.order) > 0
	if !isSameState(*found, r.last) {
		r.follow(*found)
	}
}

// write writes a state and its status for the operator.
func (r *rolloutRun) write(ctx context.Context, next rollout.State) {
	all := r.rollouts
	value, err := json.Marshal(next)
	if err != nil {
		panic(err) // Strings and numbers can always be encoded as JSON.
	}
	wasFailing := !all.failingSince.IsZero()
	rows, err := all.store.Write(ctx, StateWrite{State: next, Value: value, Expected: r.row.Rev})
	err = all.recordCall(ctx, rows, err)
	switch {
	case err == nil:
		r.confirm(next, rows.Version)
		return
	case errors.Is(err, ErrConflict):
		found, version := r.present(rows)
		r.row.Rev = version
		r.adopt(found)
	case errors.Is(err, ErrRefused):
	default:
		r.isReadDue = true // It may have been written, or may be later.
	}
	if !wasFailing {
		event.RolloutNotWritten.Info(all.vm.logger, "service", r.order.Service, "to", r.order.To, "stage", next.Stage, "serial", next.Serial,
			"isKnown", !r.isReadDue, "error", err)
	}
	if !errors.Is(err, ErrConflict) {
		r.publishEarly(next)
	}
}

// confirm follows a state that was written.
func (r *rolloutRun) confirm(state rollout.State, version spread.StoreVersion) {
	if version.Era != r.row.Era {
		r.isReadDue = true // The store was restored; whether it has kept the row is not known.
		return
	}
	r.row = version
	r.follow(state)
}

// follow follows a state that the row has come to hold.
func (r *rolloutRun) follow(state rollout.State) {
	isNewStage := state.Stage != r.last.Stage || state.Order != r.last.Order
	r.last = state
	r.decider.written(state)
	if isNewStage {
		event.RolloutStageEntered.Info(r.rollouts.vm.logger, "service", state.Order.Service, "to", state.Order.To, "stage", state.Stage,
			"serial", state.Serial, "reason", state.Reason, "exposed", state.Exposed, "startedAt", state.StartedAt, "deadline", state.Deadline)
	}
	if now := r.rollouts.vm.Now(); isNewStage || now.Sub(r.publishedAt) >= reservationInterval {
		r.publishedAt = now
		r.rollouts.publish(state)
	}
}
