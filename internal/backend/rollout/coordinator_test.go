package rollout_test

import (
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/backend/rollout"
)

// desk is a coordinator whose writes all succeed.
type desk struct {
	coordinator *rollout.Coordinator
	now         int64
	members     []string
	newServers  int
	row         *rollout.State
}

func newDesk(order rollout.Order, found, known *rollout.State) *desk {
	d := &desk{now: 1000, members: []string{"vm-1"}, newServers: 3, row: found}
	d.coordinator = rollout.NewCoordinator(rollout.CoordinatorOptions{ExposureShare: 0.1, ExposureSlack: 50})
	d.coordinator.Begin(order, found, known)
	return d
}

// at decides at a time after the start and writes what is due.
func (d *desk) at(millis int64) *rollout.State {
	d.now = 1000 + millis
	view := rollout.View{NowMillis: d.now, Members: d.members, NewServers: d.newServers, OldServers: 3, From: []string{"v1"}}
	if next, due := d.coordinator.Decide(view); due {
		d.row = &next
		d.coordinator.Written(next)
	}
	return d.row
}

// until decides every 100 ms until a time after the start.
func (d *desk) until(from, to int64) *rollout.State {
	for millis := from; millis < to; millis += 100 {
		d.at(millis)
	}
	return d.at(to)
}

func retireState(order rollout.Order) rollout.State {
	return stateOf(order, rollout.StageRetire, 9)
}

func (d *desk) tell(vm string, sequence, serial uint64, oldWork int) {
	d.coordinator.ApplyTally(rollout.Tally{VM: vm, Service: service, Era: 1, Revision: 1, Serial: serial, OldWork: oldWork, Sequence: sequence})
}

func TestCoordinatorBegins(t *testing.T) {
	d := newDesk(orderTo("v2", 1, 1), nil, nil)
	state := d.at(0)
	qt.Assert(t, state.Stage, qt.Equals, rollout.StageCanary)
	qt.Assert(t, state.Serial, qt.Equals, uint64(1))
	qt.Assert(t, state.StartedAt, qt.Equals, int64(1000))
	qt.Assert(t, state.Deadline, qt.Equals, int64(13_000))
	qt.Assert(t, state.From, qt.DeepEquals, []string{"v1"})
}

func TestCoordinatorWithoutOrder(t *testing.T) {
	c := rollout.NewCoordinator(rollout.CoordinatorOptions{})
	_, due := c.Decide(rollout.View{NowMillis: 1})
	qt.Assert(t, due, qt.IsFalse)
	_, ok := c.Order()
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, c.Grant(rollout.CreditRequest{Service: service}), qt.DeepEquals, rollout.CreditReply{})
	c.ApplyTally(rollout.Tally{Service: service})
	c.Written(rollout.State{})
}

// TestCoordinatorWithoutTraffic checks that a version that answers nothing is completed late, in case
// that there will be traffic.
func TestCoordinatorWithoutTraffic(t *testing.T) {
	d := newDesk(orderTo("v2", 1, 1), nil, nil)
	qt.Assert(t, d.until(0, 8300).Stage, qt.Equals, rollout.StageCanary)
	state := d.until(8400, 10_500)
	qt.Assert(t, state.Stage, qt.Equals, rollout.StageRetire)
	d.tell("vm-1", 1, state.Serial, 0)
	qt.Assert(t, d.at(10_600).Stage, qt.Equals, rollout.StageCompleted)
	qt.Assert(t, d.at(13_000).Stage, qt.Equals, rollout.StageCompleted)
}

func TestCoordinatorRollsBack(t *testing.T) {
	order := orderTo("v2", 1, 1)
	shift := stateOf(order, rollout.StageShift, 4)
	canary := stateOf(order, rollout.StageCanary, 1)
	withdrawn := rollout.Order{Service: service, Era: 1, Revision: 2, Withdrawn: true}
	cases := map[string]struct {
		order  rollout.Order
		found  *rollout.State
		play   func(d *desk)
		reason string
	}{
		"withdrawn":                 {withdrawn, &shift, func(d *desk) { d.at(7000) }, "the order was withdrawn"},
		"no server by the deadline": {order, &canary, func(d *desk) { d.newServers = 0; d.until(0, 12_000) }, "the new version had no server by the deadline"},
		"servers are lost":          {order, &canary, func(d *desk) { d.at(0); d.newServers = 0; d.until(100, 3100) }, "no server of the new version accepts work"},
		"outcomes were lost": {order, &canary, func(d *desk) {
			for now := int64(0); now <= 12_000; now += 100 {
				d.coordinator.ApplyTally(rollout.Tally{VM: "vm-1", Service: service, Era: order.Era, Revision: order.Revision, Sequence: uint64(now + 1), Requests: int(now / 50)})
				d.at(now)
			}
		}, "the version was not judged by the deadline"},
		"not judged, the store was off": {order, &canary, func(d *desk) { d.at(12_500) }, "the version was not judged by the deadline"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDesk(test.order, test.found, nil)
			test.play(d)
			qt.Assert(t, d.row.Stage, qt.Equals, rollout.StageRolledBack)
			qt.Assert(t, d.row.Reason, qt.Equals, test.reason)
			qt.Assert(t, d.row.Order, qt.Equals, order)
			serial := d.row.Serial
			qt.Assert(t, d.at(13_000).Serial, qt.Equals, serial) // Written once.
		})
	}
}

func TestCoordinatorWithdrawnAfterEnd(t *testing.T) {
	completed := stateOf(orderTo("v2", 1, 1), rollout.StageCompleted, 6)
	d := newDesk(rollout.Order{Service: service, Era: 1, Revision: 2, Withdrawn: true}, &completed, nil)
	qt.Assert(t, d.at(5000).Serial, qt.Equals, uint64(6))
	d = newDesk(rollout.Order{Service: service, Era: 1, Revision: 2, Withdrawn: true}, nil, nil)
	qt.Assert(t, d.at(5000), qt.IsNil)
}

// TestCoordinatorNewOrder checks that an order replaces one that has not ended, whose version gets
// nothing more, and that a coordinator that has not heard of it writes nothing.
func TestCoordinatorNewOrder(t *testing.T) {
	earlier := stateOf(orderTo("v2", 1, 1), rollout.StageShift, 4)
	d := newDesk(orderTo("v3", 1, 2), &earlier, nil)
	state := d.at(0)
	qt.Assert(t, state.Stage, qt.Equals, rollout.StageCanary)
	qt.Assert(t, state.Serial, qt.Equals, uint64(5))
	qt.Assert(t, state.Rejected, qt.DeepEquals, []string{"v2"})

	late := newDesk(orderTo("v2", 1, 1), state, nil)
	qt.Assert(t, late.at(7000), qt.Equals, state)
}

// TestCoordinatorAfterOlderCopy checks that the newest state that a VM knows is written again, and that
// the order written again in a newer era is the same.
func TestCoordinatorAfterOlderCopy(t *testing.T) {
	found := stateOf(orderTo("v2", 1, 7), rollout.StageCanary, 2)
	known := stateOf(orderTo("v2", 1, 7), rollout.StageRolledBack, 5)
	d := newDesk(orderTo("v2", 2, 3), &found, &known)
	state := d.at(1000)
	qt.Assert(t, state.Stage, qt.Equals, rollout.StageRolledBack)
	qt.Assert(t, state.Serial > known.Serial, qt.IsTrue)
	qt.Assert(t, state.Order, qt.Equals, orderTo("v2", 2, 3))
	serial := state.Serial
	qt.Assert(t, d.at(2000).Serial, qt.Equals, serial)
}

// TestCoordinatorOrderAgainInNewerEra checks that an order that was written again keeps its end, and that
// the same order given once more begins.
func TestCoordinatorOrderAgainInNewerEra(t *testing.T) {
	found := stateOf(orderTo("v2", 1, 7), rollout.StageRolledBack, 5)
	d := newDesk(orderTo("v2", 2, 3), &found, nil)
	for range 2 {
		state := d.at(1000)
		qt.Assert(t, state.Stage, qt.Equals, rollout.StageRolledBack)
		qt.Assert(t, state.Serial, qt.Equals, uint64(6))
	}
	late := newDesk(orderTo("v2", 1, 7), d.row, nil) // It has not heard of the new era.
	qt.Assert(t, late.at(1500).Serial, qt.Equals, uint64(6))

	d.coordinator.Begin(orderTo("v2", 2, 4), d.row, nil)
	state := d.at(2000)
	qt.Assert(t, state.Stage, qt.Equals, rollout.StageCanary)
	qt.Assert(t, state.Order, qt.Equals, orderTo("v2", 2, 4))
	qt.Assert(t, state.Serial, qt.Equals, uint64(7))
}

func TestCoordinatorWaitsForVMs(t *testing.T) {
	order := orderTo("v2", 1, 1)
	found := retireState(order)
	d := newDesk(order, &found, nil)
	d.members = []string{"vm-1", "vm-2"}
	d.at(8000)
	d.tell("vm-3", 1, 8, 1) // It is no member any more.
	d.tell("vm-1", 1, 9, 0)
	d.tell("vm-2", 1, 8, 0)
	qt.Assert(t, d.at(11_000).Stage, qt.Equals, rollout.StageRetire) // vm-2 follows an earlier state.
	d.tell("vm-2", 2, 9, 1)
	qt.Assert(t, d.at(11_100).Stage, qt.Equals, rollout.StageRetire)
	d.tell("vm-2", 3, 9, 0)
	qt.Assert(t, d.at(11_200).Stage, qt.Equals, rollout.StageRetire) // vm-3 has not been gone for long.
	qt.Assert(t, d.at(14_100).Stage, qt.Equals, rollout.StageCompleted)
}

// TestCoordinatorTakesOver checks that a coordinator that took over does not complete before VMs that
// went before it knew of them have been gone for long, and that a process that restarted counts anew.
func TestCoordinatorTakesOver(t *testing.T) {
	order := orderTo("v2", 1, 1)
	found := retireState(order)
	d := newDesk(order, &found, nil)
	d.tell("vm-1", 5, 9, 0)
	qt.Assert(t, d.at(8000).Stage, qt.Equals, rollout.StageRetire)
	d.coordinator.ApplyTally(rollout.Tally{VM: "vm-1", Service: service, Era: 1, Revision: 1, Serial: 9, OldWork: 1, Instance: 2, Sequence: 1})
	qt.Assert(t, d.at(11_500).Stage, qt.Equals, rollout.StageRetire)
	d.coordinator.ApplyTally(rollout.Tally{VM: "vm-1", Service: service, Era: 1, Revision: 1, Serial: 9, Instance: 2, Sequence: 2})
	qt.Assert(t, d.at(11_600).Stage, qt.Equals, rollout.StageCompleted)
}

// TestConcurrentUse lets the race detector see requests, tallies and decisions at once.
func TestConcurrentUse(t *testing.T) {
	order := orderTo("v2", 1, 1)
	d := newDesk(order, nil, nil)
	f := rollout.NewFollower(rollout.FollowerOptions{VM: "vm-1", Draw: func() float64 { return 0 }, TakeCredit: d.coordinator.Grant})
	var done sync.WaitGroup
	for range 4 {
		done.Go(func() {
			for range 200 {
				rule := f.Choose(service, rollout.SendNew)
				version := "v1"
				if rule.Prefer != "" {
					version = rule.Prefer
				}
				f.Record(rollout.Result{Service: service, Route: "book", Version: version, Outcome: rollout.Answered, Took: 1})
				f.Digest()
			}
		})
	}
	for millis := int64(0); millis < 12_000; millis += 100 {
		f.ApplyStates([]rollout.State{*d.at(millis)})
		for _, tally := range f.Tallies() {
			d.coordinator.ApplyTally(tally)
		}
	}
	done.Wait()
	qt.Assert(t, f.States(), qt.HasLen, 1)
}
