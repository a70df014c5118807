package entry

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/endivespoke/endivespoke/internal/backend/placement"
	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/backend/rollout"
	"github.com/endivespoke/endivespoke/internal/config/routing"
	"github.com/endivespoke/endivespoke/internal/peer/spread"
)

func (g *orderRig) enter(stage rollout.Stage, serial uint64) {
	order, _ := g.order("desk")
	state := deskState(order, stage, serial)
	state.From = []string{"v1"}
	g.applyNews(spread.RolloutNews{States: []rollout.State{state}})
}

// TestRuleIsCurrentWhenALeaseIsTaken has sends whose rule was chosen before the VM learned of another
// stage, and that get their servers after it.
func TestRuleIsCurrentWhenALeaseIsTaken(t *testing.T) {
	for name, c := range map[string]struct {
		before, after rollout.Stage
		want          string
	}{
		"chosen before the order":       {after: rollout.StageCanary, want: "v1"},
		"of the control group":          {before: rollout.StageCanary, after: rollout.StageRetire, want: "v2"},
		"completed meanwhile":           {before: rollout.StageCanary, after: rollout.StageCompleted, want: "v2"},
		"rolled back meanwhile":         {before: rollout.StageRetire, after: rollout.StageRolledBack, want: "v1"},
		"that waits from retire to end": {before: rollout.StageRetire, after: rollout.StageCompleted, want: "v2"},
	} {
		t.Run(name, func(t *testing.T) {
			g := newOrderRig()
			servers := []pool.Server{}
			for _, version := range []string{"v1", "v2"} {
				for _, domain := range []string{"a", "b"} {
					servers = append(servers, pool.Server{ID: version + domain, Address: version + domain, Service: "desk", Version: version, FailureDomain: domain, Slots: 4})
				}
			}
			g.vm.servers.SetCapacities(map[string]pool.Capacity{"desk": {CacheTokens: 100_000, SupportsCopies: true, SupportsMoves: true}})
			g.vm.servers.Update(servers)
			if c.before != "" {
				g.apply(1, 9, true, orderRowOf("desk", "v2", 5))
				g.enter(c.before, 1)
			}
			rule := g.vm.chooseVersion("desk", rollout.SendAgain)
			if c.before == "" {
				g.apply(1, 9, true, orderRowOf("desk", "v2", 5))
			}
			g.enter(c.after, 2)
			for range 20 {
				call, err := g.vm.servers.AcquireForCall("desk", nil, rule)
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, call.Server.Version, qt.Equals, c.want)
				stream, holder, err := g.vm.servers.AcquireForStream(pool.Criteria{Service: "desk", Demand: placement.Demand{PromptTokens: 10}, Versions: rule})
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, stream.Server.Version, qt.Equals, c.want)
				qt.Assert(t, holder, qt.IsNotNil)
				qt.Check(t, holder.Version, qt.Equals, c.want)
				if c.after == rollout.StageRetire {
					qt.Check(t, g.vm.servers.OldWork("desk", "v2"), qt.Equals, 0)
				}
				call.Release()
				stream.Release()
			}
		})
	}
}

// TestIsolatedVMReadsStates has a VM that no peer answers while the store does: the coordinator has
// rolled the version back, and the VM would go on to send most requests to it.
func TestIsolatedVMReadsStates(t *testing.T) {
	g := newRunRig(t)
	all := g.rollouts
	ctx := context.Background()
	g.store.put(deskState(deskOrder, rollout.StageRolledBack, 3))
	all.applyStates([]rollout.State{deskState(deskOrder, rollout.StageShift, 2)}, "peer")
	all.readStates(ctx)
	qt.Check(t, g.log, qt.HasLen, 0, qt.Commentf("a VM that is alone has no peers that should have answered"))
	all.isIsolated = func() bool { return true }
	all.readStates(ctx)
	all.readStates(ctx)
	qt.Check(t, g.log, qt.DeepEquals, []string{"read: version 11"})
	qt.Check(t, g.known().Stage, qt.Equals, rollout.StageRolledBack)
}

// TestIsolatedVMReadsOnlyWhileARollOutIsUnderWay also checks how often it reads.
func TestIsolatedVMReadsOnlyWhileARollOutIsUnderWay(t *testing.T) {
	g := newRunRig(t)
	all := g.rollouts
	ctx := context.Background()
	all.isIsolated = func() bool { return true }
	g.store.put(deskState(deskOrder, rollout.StageShift, 2))
	all.readStates(ctx)
	all.statesReadAt = all.statesReadAt.Add(time.Hour) // The next read is not due.
	all.readStates(ctx)
	qt.Check(t, g.log, qt.HasLen, 1)
	all.statesReadAt = time.Time{}
	g.store.put(deskState(deskOrder, rollout.StageCompleted, 3))
	all.readStates(ctx)
	all.statesReadAt = time.Time{}
	all.readStates(ctx)
	qt.Check(t, g.log, qt.HasLen, 2)
}

// TestOrdersAreKnownBeforeTheConfiguration checks that a VM does not become ready between the two, and
// send requests to both versions.
func TestOrdersAreKnownBeforeTheConfiguration(t *testing.T) {
	vm := New(Options{
		Settings: Settings{Name: "vm-1", Rollouts: true}, Logger: hclog.NewNullLogger(), ConfigurationKey: "config",
		DecodeConfiguration: func([]byte) (*routing.Configuration, error) { return routing.New(routing.Content{Version: 1}), nil },
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = vm.spread.Serve(ctx) }()
	isConfigured := func() bool { return vm.spread.Snapshot().Configuration != nil }
	decoded := 0
	vm.rollouts.store.DecodeOrder = func(Row) (rollout.Order, bool) {
		decoded++
		qt.Check(t, isConfigured(), qt.IsFalse)
		return rollout.Order{}, false
	}
	vm.applyConfiguration(ctx, Rows{Version: spread.StoreVersion{Era: 1, Rev: 3}, Rows: []Row{{Key: "config", Value: []byte("x"), Version: 3}}}, true, vm.Now())
	qt.Check(t, isConfigured(), qt.IsTrue)
	qt.Check(t, decoded, qt.Equals, 1)
}
