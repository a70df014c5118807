package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/rollout"
	"github.com/endivespoke/endivespoke/internal/lab/golden"
	"github.com/endivespoke/endivespoke/internal/peer/spread"
)

var deskOrder = rollout.Order{Service: "desk", To: "v2", DurationMillis: 40_000, Era: 1, Revision: 5}

func deskState(order rollout.Order, stage rollout.Stage, serial uint64) rollout.State {
	return rollout.State{Order: order, From: []string{"v1"}, Stage: stage, Serial: serial, StartedAt: 100, Deadline: 40_100}
}

// stateTable is a store with one row of states.
type stateTable struct {
	log     *[]string
	version spread.StoreVersion
	row     Row // Version is 0 if there is none.
	// Each of these applies to the next calls until it is cleared. delayed is a write whose answer
	// was lost and that is performed by a test later.
	isAway, isRefusing, losesAnswers, delaysWrites bool
	delayed                                        *StateWrite
}

func (s *stateTable) say(format string, values ...any) {
	*s.log = append(*s.log, fmt.Sprintf(format, values...))
}

// put writes the row as another VM does.
func (s *stateTable) put(state rollout.State) {
	value, err := json.Marshal(state)
	if err != nil {
		panic(err)
	}
	s.set(value)
}

func (s *stateTable) set(value []byte) {
	s.version.Rev++
	s.row = Row{Key: "desk", Value: value, Version: s.version.Rev}
}

func (s *stateTable) answer() Rows {
	rows := Rows{Version: s.version, NowMillis: 1000}
	if s.row.Version != 0 {
		rows.Rows = []Row{s.row}
	}
	return rows
}

var errAway = errors.New("no answer")

func (s *stateTable) get(context.Context, string) (Rows, error) {
	if s.isAway {
		s.say("read: no answer")
		return Rows{}, errAway
	}
	s.say("read: version %d", s.row.Version)
	return s.answer(), nil
}

func (s *stateTable) write(_ context.Context, write StateWrite) (Rows, error) {
	text := fmt.Sprintf("write of %s %d over version %d", write.State.Stage, write.State.Serial, write.Expected)
	switch {
	case s.isAway:
		s.say("%s: no answer", text)
		return Rows{}, errAway
	case s.isRefusing:
		s.say("%s: refused", text)
		return Rows{}, errors.Trace(ErrRefused)
	case s.delaysWrites:
		s.say("%s: delayed", text)
		s.delayed = &write
		return Rows{}, errAway
	case write.Expected != s.row.Version:
		s.say("%s: conflict", text)
		return s.answer(), errors.Trace(ErrConflict)
	}
	s.set(write.Value)
	if s.losesAnswers {
		s.say("%s: written, answer lost", text)
		return Rows{}, errAway
	}
	s.say("%s: written", text)
	return s.answer(), nil
}

func (s *stateTable) table() RolloutStore {
	return RolloutStore{
		DecodeOrder: func(Row) (rollout.Order, bool) { return rollout.Order{}, false },
		States:      Table{Get: s.get, Read: func(ctx context.Context) (Rows, error) { return s.get(ctx, "") }},
		Write:       s.write,
	}
}

// runRig has a run whose decisions the test makes: due is written until the run follows it or a later
// state.
type runRig struct {
	*rolloutRun
	store *stateTable
	due   rollout.State
	log   []string
}

func newRunRig(t *testing.T) *runRig {
	g := &runRig{}
	g.store = &stateTable{log: &g.log, version: spread.StoreVersion{Era: 1, Rev: 10}}
	vm := New(Options{Settings: Settings{Name: "vm-1", Rollouts: true}, Logger: hclog.NewNullLogger(), Rollouts: g.store.table()})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = vm.spread.Serve(ctx) }()
	vm.rollouts.applyOrders([]rollout.Order{deskOrder}, "peer")
	g.rolloutRun = newRolloutRun(vm.rollouts, deskOrder)
	g.decider = decider{
		begin: func(_ rollout.Order, found, known *rollout.State) {
			g.store.say("begin: found %s, known %s", describe(found), describe(known))
		},
		decide: func(rollout.View) (rollout.State, bool) {
			return g.due, g.due.Serial > 0
		},
		written: func(state rollout.State) {
			g.store.say("follow %s", describe(&state))
			if state.Serial >= g.due.Serial {
				g.due = rollout.State{}
			}
		},
	}
	return g
}

func describe(state *rollout.State) string {
	if state == nil {
		return "none"
	}
	return fmt.Sprintf("%s %d of order %d/%d", state.Stage, state.Serial, state.Order.Era, state.Order.Revision)
}

func (g *runRig) steps(count int) {
	for range count {
		g.step(context.Background())
	}
}

// TestGoldenRuns plays faults of the store at each point of a run.
func TestGoldenRuns(t *testing.T) {
	canary, load := deskState(deskOrder, rollout.StageCanary, 1), deskState(deskOrder, rollout.StageLoad, 2)
	later := deskOrder
	later.Revision = 9
	transcript := strings.Builder{}
	for _, c := range []struct {
		name string
		play func(g *runRig)
	}{
		{"a new order", func(g *runRig) { g.due = canary; g.steps(2); g.due = load; g.steps(2) }},
		{"credits are reserved", func(g *runRig) {
			for serial := range uint64(4) {
				g.due = deskState(deskOrder, rollout.StageCanary, serial+1)
				g.due.Exposed = 10 * int(serial)
				g.steps(1)
				g.publishedAt = g.vm().Now().Add(time.Hour) // The next announcement is not due.
			}
		}},
		{"a successor", func(g *runRig) { g.store.put(canary); g.steps(1); g.due = load; g.steps(2) }},
		{"another VM has written before", func(g *runRig) { g.due = canary; g.steps(1); g.due = load; g.store.put(load); g.steps(3) }},
		{"another VM has decided otherwise", func(g *runRig) {
			g.due = canary
			g.steps(1)
			g.due = load
			g.store.put(deskState(deskOrder, rollout.StageRolledBack, 3))
			g.steps(3)
		}},
		{"the row has the state of a later order", func(g *runRig) {
			g.store.put(deskState(later, rollout.StageCanary, 1))
			g.due = canary
			g.steps(3)
		}},
		{"a later order comes between", func(g *runRig) {
			g.due = canary
			g.steps(1)
			g.due = load
			g.store.put(deskState(later, rollout.StageCanary, 1))
			g.steps(3)
		}},
		{"the row has the state of an earlier order", func(g *runRig) {
			earlier := deskOrder
			earlier.Revision = 2
			g.store.put(deskState(earlier, rollout.StageCompleted, 7))
			g.due = canary
			g.steps(2)
		}},
		{"the answer to a write is lost", func(g *runRig) {
			g.due, g.store.losesAnswers = canary, true
			g.steps(1)
			g.store.losesAnswers = false
			g.steps(2)
		}},
		{"a write is lost", func(g *runRig) {
			g.steps(1)
			g.due, g.store.isAway = canary, true
			g.steps(2)
			g.store.isAway = false
			g.steps(2)
		}},
		{"a write is performed late", func(g *runRig) {
			g.due, g.store.delaysWrites = canary, true
			g.steps(1)
			g.store.delaysWrites = false
			delayed := g.store.delayed
			g.due = deskState(deskOrder, rollout.StageRolledBack, 1)
			g.step(context.Background())
			_, err := g.store.write(context.Background(), *delayed)
			g.store.say("the delayed write: %v", err)
			g.steps(1)
		}},
		{"the store refuses writes", func(g *runRig) {
			g.due, g.store.isRefusing = canary, true
			g.steps(2)
			g.store.isRefusing = false
			g.steps(2)
		}},
		{"the store is away at the start", func(g *runRig) {
			g.due, g.store.isAway = canary, true
			g.steps(2)
			g.store.isAway = false
			g.steps(2)
		}},
		{"the version is found bad while the store is away", func(g *runRig) {
			g.due = canary
			g.steps(1)
			g.due, g.store.isAway = deskState(deskOrder, rollout.StageRolledBack, 2), true
			g.steps(2)
			g.store.isAway = false
			g.steps(1)
		}},
		{"a successor finds the version bad while the store is away", func(g *runRig) {
			g.rollouts.applyStates([]rollout.State{canary}, "peer")
			g.rollouts.clock.set(1000, 1, g.vm().Now())
			g.due, g.store.isAway = deskState(deskOrder, rollout.StageRolledBack, 2), true
			g.steps(2)
		}},
		{"a successor that does not know the store's time", func(g *runRig) {
			g.rollouts.applyStates([]rollout.State{canary}, "peer")
			g.due, g.store.isAway = deskState(deskOrder, rollout.StageRolledBack, 2), true
			g.steps(2)
		}},
		{"the version is found bad in retire while the store is away", func(g *runRig) {
			g.due = deskState(deskOrder, rollout.StageRetire, 1)
			g.steps(1)
			g.due, g.store.delaysWrites = deskState(deskOrder, rollout.StageCompleted, 2), true
			g.steps(1)
			g.due, g.store.isAway = deskState(deskOrder, rollout.StageRolledBack, 2), true
			g.steps(2)
			g.store.isAway, g.store.delaysWrites = false, false
			_, err := g.store.write(context.Background(), *g.store.delayed)
			g.store.say("the delayed write: %v", err)
			g.steps(1)
		}},
		{"the store refuses a rollback in retire", func(g *runRig) {
			g.due = deskState(deskOrder, rollout.StageRetire, 1)
			g.steps(1)
			g.due, g.store.isRefusing = deskState(deskOrder, rollout.StageRolledBack, 2), true
			g.steps(1)
		}},
		{"the order is withdrawn", func(g *runRig) {
			g.due = canary
			g.steps(1)
			withdrawn := rollout.Order{Service: "desk", Era: 1, Revision: 12, Withdrawn: true}
			g.rollouts.applyOrders([]rollout.Order{withdrawn}, "store")
			g.replace(withdrawn)
			g.due = deskState(deskOrder, rollout.StageRolledBack, 2)
			g.steps(2)
		}},
		{"a successor finds the version good while the store is away", func(g *runRig) {
			g.rollouts.applyStates([]rollout.State{canary}, "peer")
			g.rollouts.clock.set(1000, 1, g.vm().Now())
			g.due, g.store.isAway = load, true
			g.steps(2)
			g.store.isAway = false
			g.steps(1)
		}},
		{"the store comes back from an older copy", func(g *runRig) {
			g.due = canary
			g.steps(1)
			older := g.store.row
			g.due = load
			g.steps(1)
			g.store.version, g.store.row = spread.StoreVersion{Era: 2, Rev: older.Version}, older
			g.vm().raiseEra(2)
			g.due = load
			g.steps(2)
		}},
		{"an answer is of an older copy", func(g *runRig) {
			g.vm().raiseEra(2)
			g.due = canary
			g.steps(2)
		}},
		{"the store is restored at a write", func(g *runRig) {
			g.due = canary
			g.steps(1)
			g.due = load
			g.store.version.Era = 2
			g.steps(2)
		}},
		{"the row is removed", func(g *runRig) {
			g.due = canary
			g.steps(1)
			g.store.row = Row{}
			g.due = load
			g.steps(2)
		}},
		{"the row can't be read", func(g *runRig) {
			g.store.set([]byte("odd"))
			g.due = canary
			g.steps(1)
			g.store.put(deskState(rollout.Order{Service: "other"}, rollout.StageCanary, 1))
			g.due = load
			g.steps(2)
		}},
	} {
		g := newRunRig(t)
		c.play(g)
		fmt.Fprintf(&transcript, "%s:\n\t%s\n\tthe row: %s; the VMs know: %s\n", c.name, strings.Join(g.log, "\n\t"), describe(g.stored()), describe(g.known()))
	}
	golden.Compare(t, "testdata/runs.golden", transcript.String())
}

func (g *runRig) vm() *VM { return g.rollouts.vm }

// stored returns the state in the row.
func (g *runRig) stored() *rollout.State {
	if g.store.row.Version == 0 {
		return nil
	}
	return g.rollouts.decodeState(g.store.row)
}

// TestVMThatTheStoreRefusesTellsTheOthers checks that another VM may take over, until the store
// answers again.
func TestVMThatTheStoreRefusesTellsTheOthers(t *testing.T) {
	g := newRunRig(t)
	all := g.rollouts
	ctx := context.Background()
	isUnreachable := func() bool { return g.vm().spread.Snapshot().Self.StoreUnreachable }
	g.store.isAway = true
	g.steps(1)
	qt.Check(t, isUnreachable(), qt.IsFalse)
	all.failingSince = all.failingSince.Add(-refusedAfter)
	g.steps(1)
	qt.Check(t, isUnreachable(), qt.IsTrue)
	qt.Check(t, all.retryAt.After(g.vm().Now()), qt.IsTrue)
	all.retryAt = time.Time{}
	all.step(ctx) // It coordinates nothing, and only asks again.
	qt.Check(t, isUnreachable(), qt.IsTrue)
	g.store.isAway = false
	all.retryAt = time.Time{}
	all.step(ctx)
	qt.Check(t, isUnreachable(), qt.IsFalse)
}

// TestSuccessorKnowsTheTimeFromItsPeers has a VM that the store has never answered.
func TestSuccessorKnowsTheTimeFromItsPeers(t *testing.T) {
	teller, learner := newOrderRig(), newOrderRig()
	teller.apply(1, 9, true, orderRowOf("desk", "v2", 5))
	teller.clock.set(7000, 1, teller.vm.Now())
	qt.Check(t, learner.clock.isSet(), qt.IsFalse)
	learner.applyNews(teller.news())
	millis, era := learner.clock.now(learner.vm.Now())
	qt.Check(t, millis >= 7000, qt.IsTrue)
	qt.Check(t, era, qt.Equals, uint64(1))
}

func TestStoreClock(t *testing.T) {
	start := time.Unix(100, 0)
	c := storeClock{}
	c.set(5000, 1, start)
	c.learn(9999, 1, start.Add(time.Second)) // The store's own answer goes before what a peer tells.
	millis, era := c.now(start.Add(2 * time.Second))
	qt.Check(t, millis, qt.Equals, int64(7000))
	qt.Check(t, era, qt.Equals, uint64(1))
	qt.Check(t, c.age(start.Add(2*time.Second)), qt.Equals, 2*time.Second)
	c.set(6500, 1, start.Add(2*time.Second)) // A delayed answer.
	millis, _ = c.now(start.Add(2 * time.Second))
	qt.Check(t, millis, qt.Equals, int64(7000))
	c.set(9000, 1, start.Add(2*time.Second)) // This machine was suspended.
	millis, _ = c.now(start.Add(3 * time.Second))
	qt.Check(t, millis, qt.Equals, int64(10_000))
	c.set(4000, 2, start.Add(3*time.Second))
	millis, _ = c.now(start.Add(3 * time.Second))
	qt.Check(t, millis, qt.Equals, int64(4000))
}

// TestResultsAreCountedOnceAnOrderIsKnown checks that sends are not counted, and not limited to a
// version, before.
func TestResultsAreCountedOnceAnOrderIsKnown(t *testing.T) {
	vm := newOrderRig().vm
	result := rollout.Result{Service: "desk", Route: "book", Version: "v2", Outcome: rollout.Failed}
	count := func() string {
		text := strings.Builder{}
		vm.counters.set.WritePrometheus(&text)
		return text.String()
	}
	vm.recordResult(result)
	qt.Check(t, vm.chooseVersion("desk", rollout.SendNew), qt.DeepEquals, rollout.Rule{})
	qt.Check(t, count(), qt.Not(qt.Contains), "rollout_sends")
	vm.rollouts.applyOrders([]rollout.Order{deskOrder}, "store")
	vm.recordResult(result)
	qt.Check(t, vm.chooseVersion("desk", rollout.SendNew).Avoid, qt.DeepEquals, []string{"v2"})
	qt.Check(t, count(), qt.Contains, `endivespoke_rollout_sends_total{service="desk",version="v2",outcome="failed"} 1`)
}
