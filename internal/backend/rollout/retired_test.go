package rollout_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/backend/rollout"
)

func TestRetired(t *testing.T) {
	for name, c := range map[string]struct {
		stage   rollout.Stage
		retired []string // Of the versions v0, v1, v2 and v3.
		rule    rollout.Rule
	}{
		"canary":      {stage: rollout.StageCanary, retired: []string{"v0"}, rule: rollout.Rule{Avoid: []string{"v0", "v2"}}},
		"shift":       {stage: rollout.StageShift, retired: []string{"v0"}, rule: rollout.Rule{Avoid: []string{"v0", "v2"}}},
		"retire":      {stage: rollout.StageRetire, retired: []string{"v0", "v1", "v3"}, rule: rollout.Rule{Prefer: "v2", Avoid: []string{"v0"}, AvoidOthers: true}},
		"completed":   {stage: rollout.StageCompleted, retired: []string{"v0", "v1"}, rule: rollout.Rule{Avoid: []string{"v0", "v1"}}},
		"rolled back": {stage: rollout.StageRolledBack, retired: []string{"v0", "v2"}, rule: rollout.Rule{Avoid: []string{"v0", "v2"}}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFollower(0, rollout.CreditReply{})
			order := orderTo("v2", 1, 2)
			state := stateOf(order, c.stage, 3)
			state.Rejected = []string{"v0"}
			f.ApplyOrders([]rollout.Order{order})
			f.ApplyStates([]rollout.State{state})
			retired := []string{}
			for _, version := range []string{"v0", "v1", "v2", "v3"} {
				if rule, ok := f.Retired(service, version); ok {
					retired = append(retired, version)
					qt.Check(t, rule, qt.DeepEquals, c.rule)
				}
			}
			qt.Check(t, retired, qt.DeepEquals, c.retired)
		})
	}
	f := newFollower(0, rollout.CreditReply{})
	_, retired := f.Retired(service, "v1")
	qt.Check(t, retired, qt.IsFalse)
}

// TestWithdrawnOrderStaysInRetire checks that VMs do not return to old servers before the rollback is
// written: the coordinator may just be writing that the roll-out is completed.
func TestWithdrawnOrderStaysInRetire(t *testing.T) {
	f := newFollower(0, rollout.CreditReply{})
	order := orderTo("v2", 1, 2)
	f.ApplyOrders([]rollout.Order{order})
	f.ApplyStates([]rollout.State{stateOf(order, rollout.StageRetire, 3)})
	withdrawn := rollout.Order{Service: service, Era: 1, Revision: 4, Withdrawn: true}
	f.ApplyOrders([]rollout.Order{withdrawn})
	qt.Check(t, f.Choose(service, rollout.SendNew), qt.DeepEquals, rollout.Rule{Prefer: "v2", AvoidOthers: true})
	f.ApplyStates([]rollout.State{stateOf(order, rollout.StageRolledBack, 4)})
	qt.Check(t, f.Choose(service, rollout.SendNew), qt.DeepEquals, rollout.Rule{Avoid: []string{"v2"}})
}

// TestOrderThatIsReplacedInRetireIsKeptTo checks that VMs do not return to old servers before the state of
// the next order is written: until then the order before it may still be written as completed.
func TestOrderThatIsReplacedInRetireIsKeptTo(t *testing.T) {
	f := newFollower(0, rollout.CreditReply{})
	f.ApplyStates([]rollout.State{stateOf(orderTo("v2", 1, 1), rollout.StageRetire, 3)})
	before := f.Choose(service, rollout.SendNew)
	next := orderTo("v3", 1, 2)
	f.ApplyOrders([]rollout.Order{next})
	only := rollout.Rule{Prefer: "v2", AvoidOthers: true}
	qt.Check(t, before, qt.DeepEquals, only)
	qt.Check(t, f.Choose(service, rollout.SendNew), qt.DeepEquals, only)
	qt.Check(t, f.Choose(service, rollout.SendAgain), qt.DeepEquals, only)
	qt.Check(t, f.CurrentRule(service, rollout.Rule{Prefer: "v3"}), qt.DeepEquals, only)
	for _, version := range []string{"v1", "v2", "v3"} {
		rule, retired := f.Retired(service, version)
		qt.Check(t, rule, qt.DeepEquals, only)
		qt.Check(t, retired, qt.Equals, version != "v2")
	}
	state := stateOf(next, rollout.StageCanary, 4)
	state.Rejected = []string{"v2"}
	f.ApplyStates([]rollout.State{state})
	qt.Check(t, f.Choose(service, rollout.SendAgain), qt.DeepEquals, rollout.Rule{Avoid: []string{"v2", "v3"}})
	_, retired := f.Retired(service, "v1")
	qt.Check(t, retired, qt.IsFalse)
}

// TestWithdrawnOrderEndsWhatItReplaced has a new order that is withdrawn before it has begun: none will
// be written for it.
func TestWithdrawnOrderEndsWhatItReplaced(t *testing.T) {
	f := newFollower(0, rollout.CreditReply{})
	f.ApplyStates([]rollout.State{stateOf(orderTo("v2", 1, 1), rollout.StageRetire, 3)})
	f.ApplyOrders([]rollout.Order{orderTo("v3", 1, 2)})
	f.ApplyOrders([]rollout.Order{{Service: service, Era: 1, Revision: 3, Withdrawn: true}})
	qt.Check(t, f.Choose(service, rollout.SendNew), qt.DeepEquals, rollout.Rule{Avoid: []string{"v2", "v3"}})
}
