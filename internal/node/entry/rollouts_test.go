package entry

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/endivespoke/endivespoke/internal/backend/rollout"
	"github.com/endivespoke/endivespoke/internal/lab/golden"
	"github.com/endivespoke/endivespoke/internal/peer/spread"
)

// orderRig applies rows of orders. The value of a row is the version, "odd" or "" if it was deleted.
type orderRig struct {
	*rollouts
	now time.Time
}

// newOrderRig creates a VM that is idle.
func newOrderRig() *orderRig {
	vm := New(Options{Settings: Settings{Name: "vm-1", Rollouts: true}, Logger: hclog.NewNullLogger()})
	g := &orderRig{rollouts: vm.rollouts, now: vm.Now()}
	g.store.DecodeOrder = func(row Row) (rollout.Order, bool) {
		service, isOrder := strings.CutPrefix(row.Key, "order/")
		order := rollout.Order{Service: service, Revision: row.Version, Withdrawn: row.Deleted || string(row.Value) == "odd"}
		if !order.Withdrawn {
			order.To, order.DurationMillis = string(row.Value), 40_000
		}
		return order, isOrder
	}
	return g
}

// apply applies rows as of a version of the store.
func (g *orderRig) apply(era, rev uint64, full bool, rows ...Row) {
	g.applyRows(Rows{Version: spread.StoreVersion{Era: era, Rev: rev}, Rows: rows}, full, g.now)
}

func orderRowOf(service, value string, version uint64) Row {
	return Row{Key: "order/" + service, Value: []byte(value), Version: version, Deleted: value == ""}
}

func (g *orderRig) known() string {
	known := []string{}
	for _, order := range g.follower.Orders() {
		text := fmt.Sprintf("%s to %s %d/%d", order.Service, order.To, order.Era, order.Revision)
		if order.Withdrawn {
			text += " withdrawn"
		}
		known = append(known, text)
	}
	return strings.Join(known, ", ")
}

func TestGoldenOrders(t *testing.T) {
	transcript := strings.Builder{}
	for _, c := range []struct {
		name string
		play func(g *orderRig)
	}{
		{"no orders", func(g *orderRig) { g.apply(1, 5, true, Row{Key: "config", Version: 3}) }},
		{"a full read", func(g *orderRig) {
			g.apply(1, 9, true, orderRowOf("desk", "v2", 5), orderRowOf("model", "v7", 8), Row{Key: "config", Version: 3})
		}},
		{"a change", func(g *orderRig) {
			g.apply(1, 9, true, orderRowOf("desk", "v2", 5))
			g.apply(1, 12, false, orderRowOf("desk", "v3", 12))
		}},
		{"an order is removed", func(g *orderRig) {
			g.apply(1, 9, true, orderRowOf("desk", "v2", 5))
			g.apply(1, 12, false, orderRowOf("desk", "", 12))
		}},
		{"an order is replaced by an odd row", func(g *orderRig) {
			g.apply(1, 9, true, orderRowOf("desk", "v2", 5))
			g.apply(1, 12, false, orderRowOf("desk", "odd", 12))
		}},
		{"a full read lacks an order", func(g *orderRig) {
			g.apply(1, 9, true, orderRowOf("desk", "v2", 5), orderRowOf("model", "v7", 8))
			g.apply(1, 12, true, orderRowOf("model", "v7", 8))
		}},
		{"a change without the order", func(g *orderRig) {
			g.apply(1, 9, true, orderRowOf("desk", "v2", 5))
			g.apply(1, 12, false, Row{Key: "config", Version: 12})
		}},
		{"a delayed full read lacks an order of a peer", func(g *orderRig) {
			g.applyNews(spread.RolloutNews{Orders: []rollout.Order{{Service: "desk", To: "v2", DurationMillis: 40_000, Era: 1, Revision: 15}}})
			g.apply(1, 12, true)
		}},
		{"a restored store lacks an order that comes back", func(g *orderRig) {
			g.apply(1, 9, true, orderRowOf("desk", "v2", 5))
			g.vm.raiseEra(2)
			g.apply(2, 4, true)
			g.apply(2, 6, false, orderRowOf("desk", "v2", 6))
			g.missingUntil(0)
			g.withdrawMissing()
		}},
		{"a restored store lacks an order for long", func(g *orderRig) {
			g.apply(1, 9, true, orderRowOf("desk", "v2", 5))
			g.vm.raiseEra(2)
			g.apply(2, 4, true)
			g.withdrawMissing()
			fmt.Fprintf(&transcript, "\tat first: %s\n", g.known())
			g.missingUntil(-time.Second)
			g.withdrawMissing()
		}},
	} {
		g := newOrderRig()
		fmt.Fprintf(&transcript, "%s:\n", c.name)
		c.play(g)
		fmt.Fprintf(&transcript, "\t%s; is active: %t\n", g.known(), g.isActive.Load())
	}
	golden.Compare(t, "testdata/orders.golden", transcript.String())
}

// missingUntil sets until when orders hold that a restored store lacks, from now on.
func (g *orderRig) missingUntil(wait time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for service := range g.missing {
		g.missing[service] = g.vm.Now().Add(wait)
	}
}

// TestStartingVMWaitsForTheStatesOfOrders checks readiness as long as requests are held.
func TestStartingVMWaitsForTheStatesOfOrders(t *testing.T) {
	g := newOrderRig()
	g.vm.started = g.vm.started.Add(time.Hour) // The time for which requests are held does not end.
	qt.Check(t, g.vm.rolloutsKnown(), qt.IsTrue)
	g.apply(1, 9, true, orderRowOf("desk", "v2", 5))
	qt.Check(t, g.vm.rolloutsKnown(), qt.IsFalse)
	qt.Check(t, g.statesDue.Load(), qt.IsTrue)
	order, _ := g.order("desk")
	g.applyNews(spread.RolloutNews{States: []rollout.State{deskState(order, rollout.StageCanary, 1)}})
	qt.Check(t, g.vm.rolloutsKnown(), qt.IsTrue)
	g.apply(1, 12, false, orderRowOf("model", "v7", 12))
	qt.Check(t, g.vm.rolloutsKnown(), qt.IsFalse)
	g.apply(1, 13, false, orderRowOf("model", "", 13))
	qt.Check(t, g.vm.rolloutsKnown(), qt.IsTrue)
	g.vm.started = g.vm.started.Add(-2 * time.Hour)
	g.apply(1, 14, false, orderRowOf("model", "v8", 14))
	qt.Check(t, g.vm.rolloutsKnown(), qt.IsTrue)
}

// TestNewerTalliesAreKeptForASuccessor also checks that unchanged tallies are not sent again at once.
func TestNewerTalliesAreKeptForASuccessor(t *testing.T) {
	g := newOrderRig()
	tally := rollout.Tally{VM: "a", Service: "desk", Revision: 5, Requests: 10, Instance: 1, Sequence: 3}
	older := tally
	older.Requests, older.Sequence = 4, 2
	restarted := rollout.Tally{VM: "b", Service: "desk", Revision: 5, Requests: 1, Instance: 9, Sequence: 1}
	g.applyTallies([]rollout.Tally{tally, older, restarted})
	kept := g.talliesOf("desk")
	slices.SortFunc(kept, func(a, b rollout.Tally) int { return strings.Compare(a.VM, b.VM) })
	qt.Check(t, kept, qt.DeepEquals, []rollout.Tally{tally, restarted})

	next := postedTally{tally: tally, watchers: []string{"x"}, at: g.now}
	qt.Check(t, g.isDue(next), qt.IsTrue)
	next.tally.Sequence++
	qt.Check(t, g.isDue(next), qt.IsFalse)
	next.watchers = []string{"y"}
	qt.Check(t, g.isDue(next), qt.IsTrue)
	next.tally.Requests++
	qt.Check(t, g.isDue(next), qt.IsTrue)
	next.at = g.now.Add(2 * tallyResendInterval)
	qt.Check(t, g.isDue(next), qt.IsTrue)
}

func TestOnlyARunThatKnowsItsRowGrantsCredits(t *testing.T) {
	g := newRunRig(t)
	all := g.rollouts
	request := rollout.CreditRequest{Service: "desk", Era: 1, Revision: 5}
	qt.Check(t, all.grant(request), qt.Equals, rollout.CreditReply{})
	all.runs["desk"] = g.rolloutRun
	g.store.isAway = true
	g.steps(1)
	qt.Check(t, all.grant(request), qt.Equals, rollout.CreditReply{})
}
