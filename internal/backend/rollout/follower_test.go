package rollout_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/endivespoke/endivespoke/internal/backend/rollout"
	"github.com/endivespoke/endivespoke/internal/lab/property"
)

func init() { property.FixSeed() }

const service = "booking"

func orderTo(version string, era, revision uint64) rollout.Order {
	return rollout.Order{Service: service, To: version, DurationMillis: 12_000, Era: era, Revision: revision}
}

func stateOf(order rollout.Order, stage rollout.Stage, serial uint64) rollout.State {
	return rollout.State{Order: order, From: []string{"v1"}, Stage: stage, Serial: serial, StartedAt: 1000, Deadline: 13_000}
}

// newFollower returns a Follower whose draws are all draw, and which gets reply for a credit.
func newFollower(draw float64, reply rollout.CreditReply) *rollout.Follower {
	return rollout.NewFollower(rollout.FollowerOptions{
		VM:         "vm-1",
		Draw:       func() float64 { return draw },
		TakeCredit: func(rollout.CreditRequest) rollout.CreditReply { return reply },
		OldWork:    func(string, string) int { return 3 },
	})
}

func TestFollowerWithoutOrders(t *testing.T) {
	f := newFollower(0, rollout.CreditReply{Granted: true})
	qt.Assert(t, f.Choose(service, rollout.SendNew), qt.DeepEquals, rollout.Rule{})
	f.Record(rollout.Result{Service: service, Outcome: rollout.Failed})
	qt.Assert(t, f.Digest(), qt.Equals, uint64(0))
	qt.Assert(t, f.Tallies(), qt.HasLen, 0)
	f.ApplyOrders([]rollout.Order{orderTo("v2", 1, 1)})
	qt.Assert(t, f.Choose("another", rollout.SendNew), qt.DeepEquals, rollout.Rule{})
}

func TestFollowerChoose(t *testing.T) {
	granted := rollout.CreditReply{Granted: true, Servers: 2, Share: 0.3}
	denied := rollout.CreditReply{Share: 0.3}
	avoid := rollout.Rule{Avoid: []string{"v2"}}
	few := rollout.Rule{Prefer: "v2", Servers: 2}
	prefer := rollout.Rule{Prefer: "v2"}
	only := rollout.Rule{Prefer: "v2", AvoidOthers: true}
	noOld := rollout.Rule{Avoid: []string{"v1"}}
	cases := map[string]struct {
		stage rollout.Stage
		send  rollout.Send
		draw  float64
		reply rollout.CreditReply
		want  rollout.Rule
	}{
		"unknown state":        {"", rollout.SendNew, 0, granted, avoid},
		"canary, granted":      {rollout.StageCanary, rollout.SendNew, 0, granted, few},
		"canary, denied":       {rollout.StageCanary, rollout.SendNew, 0, denied, avoid},
		"canary, not drawn":    {rollout.StageCanary, rollout.SendNew, 0.99, granted, avoid},
		"canary, again":        {rollout.StageCanary, rollout.SendAgain, 0, granted, avoid},
		"load, granted":        {rollout.StageLoad, rollout.SendNew, 0, granted, few},
		"load, again":          {rollout.StageLoad, rollout.SendAgain, 0, granted, avoid},
		"shift":                {rollout.StageShift, rollout.SendNew, 0.5, denied, prefer},
		"shift, control group": {rollout.StageShift, rollout.SendNew, 0, denied, avoid},
		"shift, again":         {rollout.StageShift, rollout.SendAgain, 0, denied, prefer},
		"retire":               {rollout.StageRetire, rollout.SendNew, 0, denied, only},
		"retire, again":        {rollout.StageRetire, rollout.SendAgain, 0, denied, only},
		"completed":            {rollout.StageCompleted, rollout.SendNew, 0, denied, noOld},
		"rolled back":          {rollout.StageRolledBack, rollout.SendNew, 0, granted, avoid},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFollower(test.draw, test.reply)
			f.ApplyOrders([]rollout.Order{orderTo("v2", 1, 1)})
			if test.stage != "" {
				f.ApplyStates([]rollout.State{stateOf(orderTo("v2", 1, 1), test.stage, 1)})
			}
			qt.Assert(t, f.Choose(service, test.send), qt.DeepEquals, test.want)
		})
	}
}

func TestFollowerSuspendedUntilLaterState(t *testing.T) {
	reply := rollout.CreditReply{Suspended: true}
	asked := 0
	f := rollout.NewFollower(rollout.FollowerOptions{
		VM:   "vm-1",
		Draw: func() float64 { return 0 },
		TakeCredit: func(rollout.CreditRequest) rollout.CreditReply {
			asked++
			return reply
		},
	})
	order := orderTo("v2", 1, 1)
	f.ApplyStates([]rollout.State{stateOf(order, rollout.StageCanary, 1)})
	for range 3 {
		qt.Assert(t, f.Choose(service, rollout.SendNew), qt.DeepEquals, rollout.Rule{Avoid: []string{"v2"}})
	}
	qt.Assert(t, asked, qt.Equals, 1)
	f.ApplyStates([]rollout.State{stateOf(order, rollout.StageCanary, 1)})
	f.Choose(service, rollout.SendNew)
	qt.Assert(t, asked, qt.Equals, 1)
	reply = rollout.CreditReply{Granted: true}
	f.ApplyStates([]rollout.State{stateOf(order, rollout.StageCanary, 2)})
	qt.Assert(t, f.Choose(service, rollout.SendNew), qt.DeepEquals, rollout.Rule{Prefer: "v2"})
}

func TestFollowerOrderWrittenAgainGoesOn(t *testing.T) {
	f := newFollower(0.9, rollout.CreditReply{})
	f.ApplyOrders([]rollout.Order{orderTo("v2", 1, 7)})
	f.ApplyStates([]rollout.State{stateOf(orderTo("v2", 1, 7), rollout.StageShift, 3)})
	f.Choose(service, rollout.SendNew)
	qt.Assert(t, f.ApplyOrders([]rollout.Order{orderTo("v2", 2, 5)}), qt.IsTrue)
	qt.Assert(t, f.ApplyOrders([]rollout.Order{orderTo("v2", 1, 9)}), qt.IsFalse)
	tally := f.Tallies()[0]
	qt.Assert(t, tally.Requests, qt.Equals, 1)
	qt.Assert(t, tally.Era, qt.Equals, uint64(2))
	qt.Assert(t, tally.Serial, qt.Equals, uint64(3))
	qt.Assert(t, f.States(), qt.HasLen, 1)
}

func TestFollowerNewOrderReplaces(t *testing.T) {
	f := newFollower(0, rollout.CreditReply{Granted: true})
	f.ApplyStates([]rollout.State{stateOf(orderTo("v2", 1, 1), rollout.StageShift, 3)})
	f.Choose(service, rollout.SendNew)

	// The same content in the same era is another order.
	qt.Assert(t, f.ApplyOrders([]rollout.Order{orderTo("v2", 1, 2)}), qt.IsTrue)
	qt.Assert(t, f.States(), qt.HasLen, 0)
	qt.Assert(t, f.Tallies()[0].Requests, qt.Equals, 0)
	qt.Assert(t, f.Choose(service, rollout.SendNew), qt.DeepEquals, rollout.Rule{Avoid: []string{"v2"}})

	// A version that was not completed gets nothing after another order.
	f.ApplyOrders([]rollout.Order{orderTo("v3", 1, 3)})
	qt.Assert(t, f.Choose(service, rollout.SendNew), qt.DeepEquals, rollout.Rule{Avoid: []string{"v2", "v3"}})
	f.ApplyStates([]rollout.State{stateOf(orderTo("v3", 1, 3), rollout.StageCanary, 1)})
	qt.Assert(t, f.Choose(service, rollout.SendNew), qt.DeepEquals, rollout.Rule{Prefer: "v3", Avoid: []string{"v2"}})
}

func TestFollowerNewOrderAfterCompletion(t *testing.T) {
	f := newFollower(0, rollout.CreditReply{Granted: true})
	f.ApplyStates([]rollout.State{stateOf(orderTo("v2", 1, 1), rollout.StageCompleted, 3)})
	f.ApplyOrders([]rollout.Order{orderTo("v3", 1, 2)})
	qt.Assert(t, f.Choose(service, rollout.SendNew), qt.DeepEquals, rollout.Rule{Avoid: []string{"v3"}})
}

func TestFollowerWithdrawnOrder(t *testing.T) {
	f := newFollower(0, rollout.CreditReply{Granted: true})
	order := orderTo("v2", 1, 1)
	f.ApplyStates([]rollout.State{stateOf(order, rollout.StageShift, 3)})
	withdrawn := rollout.Order{Service: service, Era: 1, Revision: 2, Withdrawn: true}
	f.ApplyOrders([]rollout.Order{withdrawn})
	qt.Assert(t, f.Orders(), qt.DeepEquals, []rollout.Order{withdrawn})
	qt.Assert(t, f.Choose(service, rollout.SendAgain), qt.DeepEquals, rollout.Rule{Avoid: []string{"v2"}})
	qt.Assert(t, f.Tallies(), qt.HasLen, 0)
	qt.Assert(t, f.States(), qt.DeepEquals, []rollout.State{stateOf(order, rollout.StageShift, 3)})
	f.ApplyStates([]rollout.State{stateOf(order, rollout.StageRolledBack, 4)})
	qt.Assert(t, f.States()[0].Stage, qt.Equals, rollout.StageRolledBack)
	qt.Assert(t, f.Choose(service, rollout.SendNew), qt.DeepEquals, rollout.Rule{Avoid: []string{"v2"}})
}

func TestFollowerWithdrawnOrderBeforeAny(t *testing.T) {
	f := newFollower(0, rollout.CreditReply{Granted: true})
	f.ApplyOrders([]rollout.Order{{Service: service, Era: 1, Revision: 2, Withdrawn: true}})
	qt.Assert(t, f.Choose(service, rollout.SendNew), qt.DeepEquals, rollout.Rule{})
	qt.Assert(t, f.Tallies(), qt.HasLen, 0)
	f.Record(rollout.Result{Service: service, Outcome: rollout.Failed})
}

// TestFollowerFinalStateStays checks that a state from a store that came back from an older copy does
// not replace one that is final.
func TestFollowerFinalStateStays(t *testing.T) {
	f := newFollower(0, rollout.CreditReply{})
	f.ApplyStates([]rollout.State{stateOf(orderTo("v2", 1, 1), rollout.StageRolledBack, 5)})
	changed := f.ApplyStates([]rollout.State{stateOf(orderTo("v2", 2, 1), rollout.StageShift, 6)})
	qt.Assert(t, changed, qt.IsTrue) // The order's new era.
	qt.Assert(t, f.States()[0].Stage, qt.Equals, rollout.StageRolledBack)
	changed = f.ApplyStates([]rollout.State{stateOf(orderTo("v2", 2, 1), rollout.StageShift, 6)})
	qt.Assert(t, changed, qt.IsFalse)
}

func TestFollowerTallies(t *testing.T) {
	f := newFollower(0, rollout.CreditReply{Granted: true, Share: 0.3})
	f.ApplyStates([]rollout.State{stateOf(orderTo("v2", 1, 1), rollout.StageCanary, 2)})
	f.Choose(service, rollout.SendNew)
	f.Choose(service, rollout.SendAgain)
	record := func(version string, outcome rollout.Outcome, took time.Duration) {
		f.Record(rollout.Result{Service: service, Route: "book", Version: version, Outcome: outcome, Took: took})
	}
	record("v1", rollout.Answered, time.Millisecond)
	record("v2", rollout.Answered, 2*time.Millisecond)
	record("v2", rollout.Failed, time.Second)
	record("v2", rollout.Abandoned, time.Millisecond)
	record("v2", rollout.NoEvidence, time.Millisecond)
	want := []rollout.Tally{{
		VM: "vm-1", Service: service, Era: 1, Revision: 1, Requests: 1, Exposed: 1, Serial: 2, OldWork: 3, Sequence: 1,
		Routes: []rollout.RouteTally{{
			Route: "book",
			Old:   rollout.Sample{Answered: 1, Latencies: []int{1}},
			New:   rollout.Sample{Answered: 1, Failed: 1, Latencies: []int{0, 0, 0, 0, 1}, Abandoned: []int{1}},
		}},
	}}
	qt.Assert(t, f.Tallies(), qt.DeepEquals, want)
	f.ApplyStates([]rollout.State{stateOf(orderTo("v2", 1, 1), rollout.StageCompleted, 3)})
	qt.Assert(t, f.Tallies(), qt.HasLen, 0)
}

func TestFollowerRetiring(t *testing.T) {
	f := newFollower(0, rollout.CreditReply{})
	_, ok := f.Retiring(service)
	qt.Assert(t, ok, qt.IsFalse)
	f.ApplyStates([]rollout.State{stateOf(orderTo("v2", 1, 1), rollout.StageShift, 1)})
	_, ok = f.Retiring(service)
	qt.Assert(t, ok, qt.IsFalse)
	f.ApplyStates([]rollout.State{stateOf(orderTo("v2", 1, 1), rollout.StageRetire, 2)})
	keep, ok := f.Retiring(service)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, keep, qt.Equals, "v2")
}

// TestFollowersConverge checks that VMs that hear of the same orders and states in any order, some of
// them repeatedly, end with the same digest and rules.
func TestFollowersConverge(t *testing.T) {
	versions := []string{"v2", "v3"}
	stages := []rollout.Stage{rollout.StageCanary, rollout.StageLoad, rollout.StageShift, rollout.StageRetire, rollout.StageCompleted, rollout.StageRolledBack}
	rapid.Check(t, func(t *rapid.T) {
		type news struct {
			order *rollout.Order
			state *rollout.State
		}
		var all []news
		for range rapid.IntRange(1, 8).Draw(t, "news") {
			revision := uint64(rapid.IntRange(1, 4).Draw(t, "revision"))
			order := orderTo(versions[revision%2], 1, revision)
			if rapid.Bool().Draw(t, "isOrder") {
				all = append(all, news{order: &order})
				continue
			}
			state := stateOf(order, rapid.SampledFrom(stages).Draw(t, "stage"), uint64(rapid.IntRange(1, 5).Draw(t, "serial")))
			all = append(all, news{state: &state})
		}
		apply := func(f *rollout.Follower, n news) {
			if n.order != nil {
				f.ApplyOrders([]rollout.Order{*n.order})
				return
			}
			f.ApplyStates([]rollout.State{*n.state})
		}
		first, second := newFollower(0, rollout.CreditReply{}), newFollower(0, rollout.CreditReply{})
		for _, n := range all {
			apply(first, n)
		}
		for _, n := range rapid.Permutation(all).Draw(t, "permutation") {
			apply(second, n)
		}
		for _, n := range slices.Backward(all) {
			apply(second, n)
		}
		property.Assert(t, second.Digest(), qt.Equals, first.Digest())
		property.Assert(t, second.States(), qt.DeepEquals, first.States())
		property.Assert(t, second.Orders(), qt.DeepEquals, first.Orders())
	})
}

// TestFollowerCallsForFewCredits checks that a VM asks for the share that the coordinator tells, and
// goes on asking after calls that fail.
func TestFollowerCallsForFewCredits(t *testing.T) {
	reply, asked, drawn := rollout.CreditReply{Share: 0.01}, 0, 0
	f := rollout.NewFollower(rollout.FollowerOptions{
		VM: "vm-1",
		Draw: func() float64 {
			drawn++
			return float64(drawn%1000) / 1000
		},
		TakeCredit: func(rollout.CreditRequest) rollout.CreditReply {
			asked++
			return reply
		},
	})
	f.ApplyStates([]rollout.State{stateOf(orderTo("v2", 1, 1), rollout.StageCanary, 1)})
	for range 10_000 {
		f.Choose(service, rollout.SendNew)
	}
	qt.Assert(t, asked <= 110, qt.IsTrue, qt.Commentf("%d calls", asked))
	asked, reply = 0, rollout.CreditReply{}
	for range 10_000 {
		f.Choose(service, rollout.SendNew)
	}
	qt.Assert(t, asked > 0, qt.IsTrue)
}

// TestMissedCompletionDoesNotRejectTheVersion has a VM that was away as an order was completed and the
// next one given. The state of the next one tells that the version was not given up.
func TestMissedCompletionDoesNotRejectTheVersion(t *testing.T) {
	for name, c := range map[string]struct {
		first    []rollout.State
		rejected []string // By the second order's state.
		avoid    []string
	}{
		"completed":   {first: []rollout.State{stateOf(orderTo("v2", 1, 1), rollout.StageShift, 4)}, avoid: []string{"v3"}},
		"replaced":    {first: []rollout.State{stateOf(orderTo("v2", 1, 1), rollout.StageShift, 4)}, rejected: []string{"v2"}, avoid: []string{"v2", "v3"}},
		"not begun":   {rejected: []string{"v2"}, avoid: []string{"v2", "v3"}},
		"rolled back": {first: []rollout.State{stateOf(orderTo("v2", 1, 1), rollout.StageRolledBack, 4)}, avoid: []string{"v2", "v3"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFollower(0.9, rollout.CreditReply{})
			f.ApplyOrders([]rollout.Order{orderTo("v2", 1, 1)})
			f.ApplyStates(c.first)
			next := orderTo("v3", 1, 2)
			f.ApplyOrders([]rollout.Order{next})
			qt.Check(t, f.Choose(service, rollout.SendNew).Avoid, qt.DeepEquals, []string{"v2", "v3"}, qt.Commentf("as long as nothing is known"))
			state := stateOf(next, rollout.StageCanary, 5)
			state.From, state.Rejected = []string{"v2"}, c.rejected
			f.ApplyStates([]rollout.State{state})
			qt.Check(t, f.Choose(service, rollout.SendNew).Avoid, qt.DeepEquals, c.avoid)
		})
	}
}

// TestFollowerUsualCountsNothing: it is the rule of sends that go again, and is no send itself. The
// judgement of a roll-out depends on the part of the sends that were exposed.
func TestFollowerUsualCountsNothing(t *testing.T) {
	for _, stage := range []rollout.Stage{rollout.StageCanary, rollout.StageLoad, rollout.StageShift, rollout.StageRetire, rollout.StageCompleted, rollout.StageRolledBack} {
		f := newFollower(0, rollout.CreditReply{Granted: true, Servers: 2, Share: 0.3})
		f.ApplyOrders([]rollout.Order{orderTo("v2", 1, 1)})
		f.ApplyStates([]rollout.State{stateOf(orderTo("v2", 1, 1), stage, 1)})
		before := f.Tallies()
		usual := f.Usual(service)
		after := f.Tallies()
		qt.Assert(t, after, qt.HasLen, len(before))
		for i := range after {
			qt.Check(t, after[i].Exposed, qt.Equals, before[i].Exposed, qt.Commentf("%s", stage))
			qt.Check(t, after[i].Requests, qt.Equals, before[i].Requests, qt.Commentf("%s", stage))
		}
		qt.Check(t, usual, qt.DeepEquals, f.Choose(service, rollout.SendAgain), qt.Commentf("%s", stage))
	}
	qt.Check(t, newFollower(0, rollout.CreditReply{}).Usual(service), qt.DeepEquals, rollout.Rule{})
}
