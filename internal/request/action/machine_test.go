package action_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/endivespoke/endivespoke/internal/lab/property"
	"github.com/endivespoke/endivespoke/internal/request/action"
)

func init() { property.FixSeed() }

// exploreDepth is the number of steps, of all VMs together, that are explored.
const exploreDepth = 12

var (
	epoch  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	result = &action.Result{Status: 200, Body: []byte("ran")}
	// clocks are the relevant times: the start, after a request's Deadline, and
	// after another VM may treat the work as overdue.
	clocks = []time.Duration{0, 11 * time.Second, 30 * time.Second}
)

func newRequest(vm string, honours bool) action.Request {
	return action.Request{
		Account:    "a",
		Key:        "k",
		Attempt:    "attempt-" + vm,
		VM:         vm,
		BodyHash:   "body",
		HonoursKey: honours,
		Deadline:   epoch.Add(10 * time.Second),
		WaitUntil:  epoch.Add(time.Second),
		ExpiresAt:  epoch.Add(time.Hour),
	}
}

// delayedWrite is a write whose reply was lost and that may still take effect.
type delayedWrite struct {
	row      action.Row
	expected string
}

// world is two VMs working on one key, with all possible faults. It is copied by
// value for each branch.
type world struct {
	machines   [2]action.Machine
	crashed    [2]bool
	answers    [2]action.Answer
	waits      int
	faults     int
	row        action.Row
	version    int
	delayed    delayedWrite
	hasDelayed bool
	runs       int
	clock      int
	honours    bool
}

func newWorld(honours bool) world {
	w := world{honours: honours}
	first, second := newRequest("vm-1", honours), newRequest("vm-2", honours)
	// The caller retries later: when the first VM's work is overdue, the second VM
	// still has time to send, so that a second send of the work would be found.
	second.Deadline = epoch.Add(time.Minute)
	w.machines = [2]action.Machine{*action.NewMachine(first), *action.NewMachine(second)}
	return w
}

func (w *world) now() time.Time {
	return epoch.Add(clocks[w.clock])
}

func (w *world) etag() string {
	if w.version == 0 {
		return ""
	}
	return fmt.Sprint(w.version)
}

// apply executes a conditional write and reports whether its condition held.
func (w *world) apply(row action.Row, expected string) bool {
	if expected != w.etag() {
		return false
	}
	w.row = row
	w.version++
	return true
}

// execute runs the work at the service, which may deduplicate by key.
func (w *world) execute() {
	if w.honours && w.runs > 0 {
		return
	}
	w.runs++
}

// move is one possible next step.
type move struct {
	name string
	do   func(w *world)
}

// moves lists all possible next steps of this world.
func (w *world) moves(maxFaults int) []move {
	moves := []move{}
	faulty := w.faults < maxFaults
	for i := range w.machines {
		if !w.crashed[i] && w.answers[i].Kind == action.AnswerUnset {
			moves = append(moves, w.steps(i, faulty)...)
		}
	}
	if w.hasDelayed {
		moves = append(moves, move{"delayed write takes effect", func(w *world) {
			w.hasDelayed = false
			w.apply(w.delayed.row, w.delayed.expected)
		}})
	}
	if w.clock < len(clocks)-1 {
		moves = append(moves, move{"time passes", func(w *world) { w.clock++ }})
	}
	return moves
}

func (w *world) steps(i int, faulty bool) []move {
	op := w.machines[i].Next(w.now())
	name := fmt.Sprintf("vm-%d ", i+1)
	moves := []move{}
	add := func(text string, fault bool, do func(w *world, m *action.Machine)) {
		if fault && !faulty {
			return
		}
		moves = append(moves, move{name + text, func(w *world) {
			if fault {
				w.faults++
			}
			w.machines[i].Next(w.now()) // The step may depend on the time.
			do(w, &w.machines[i])
		}})
	}
	add("crashes", true, func(w *world, _ *action.Machine) { w.crashed[i] = true })
	switch op.Kind {
	case action.OpRead:
		add("reads", false, func(w *world, m *action.Machine) {
			if w.version == 0 {
				m.ReadDone(nil, "", false, w.now())
				return
			}
			row := w.row
			m.ReadDone(&row, w.etag(), false, w.now())
		})
		add("fails to read", true, func(w *world, m *action.Machine) { m.ReadDone(nil, "", true, w.now()) })
	case action.OpWrite:
		add("writes", false, func(w *world, m *action.Machine) {
			if w.apply(op.Row, op.Expected) {
				m.WriteDone(w.etag(), action.WriteOK, w.now())
				return
			}
			m.WriteDone("", action.WriteConflict, w.now())
		})
		add("writes, reply lost", true, func(w *world, m *action.Machine) {
			w.apply(op.Row, op.Expected)
			m.WriteDone("", action.WriteUnknown, w.now())
		})
		add("write lost", true, func(w *world, m *action.Machine) { m.WriteDone("", action.WriteUnknown, w.now()) })
		if !w.hasDelayed {
			add("write delayed", true, func(w *world, m *action.Machine) {
				w.hasDelayed = true
				w.delayed = delayedWrite{row: op.Row, expected: op.Expected}
				m.WriteDone("", action.WriteUnknown, w.now())
			})
		}
	case action.OpSend:
		add("sends, answered", false, func(w *world, m *action.Machine) {
			w.execute()
			m.SendDone(action.SendAnswered, result, w.now())
		})
		add("sends, runs, no answer", true, func(w *world, m *action.Machine) {
			w.execute()
			m.SendDone(action.SendUnknown, nil, w.now())
		})
		add("sends, lost", true, func(w *world, m *action.Machine) { m.SendDone(action.SendUnknown, nil, w.now()) })
		add("can't send", true, func(w *world, m *action.Machine) { m.SendDone(action.SendNotSent, nil, w.now()) })
	case action.OpWait:
		if w.waits < 3 {
			add("waits", false, func(w *world, m *action.Machine) {
				w.waits++
				m.WaitDone()
			})
		}
	case action.OpAnswer:
		add("answers", false, func(w *world, _ *action.Machine) { w.answers[i] = op.Answer })
	}
	return moves
}

// violation names the guarantee that this world violates, if any.
func (w *world) violation() string {
	if w.runs > 1 {
		return "the work ran twice"
	}
	saved := action.AnswerUnset
	for _, answer := range w.answers {
		if answer.Kind == action.AnswerNotRun && w.runs > 0 {
			return "notRun was answered, but the work ran"
		}
		if answer.Kind == action.AnswerResult && w.runs == 0 {
			return "a result was returned, but the work did not run"
		}
		if !answer.Saved || (w.honours && answer.Kind == action.AnswerOutcomeUnknown) {
			continue
		}
		if saved != action.AnswerUnset && saved != answer.Kind {
			return "two answers to one key differ"
		}
		saved = answer.Kind
	}
	return ""
}

// explore visits every world up to a depth, counts them in seen, and returns the
// path to a violated guarantee, or nil.
func explore(w world, depth, maxFaults int, seen map[world]int, path []string) []string {
	if why := w.violation(); why != "" {
		return append(path, why)
	}
	if left, visited := seen[w]; visited && left >= depth {
		return nil
	}
	seen[w] = depth
	if depth == 0 {
		return nil
	}
	for _, next := range w.moves(maxFaults) {
		branch := w
		next.do(&branch)
		if violation := explore(branch, depth-1, maxFaults, seen, append(path[:len(path):len(path)], next.name)); violation != nil {
			return violation
		}
	}
	return nil
}

// TestMachineExhaustively visits every interleaving of two VMs and one key up to a
// depth, with up to three faults at any point.
func TestMachineExhaustively(t *testing.T) {
	for _, honours := range []bool{false, true} {
		t.Run(fmt.Sprintf("serviceHonoursKeys=%v", honours), func(t *testing.T) {
			t.Parallel()
			seen := map[world]int{}
			violation := explore(newWorld(honours), exploreDepth, 3, seen, nil)
			qt.Assert(t, violation, qt.IsNil)
			t.Logf("%d states to depth %d", len(seen), exploreDepth)
		})
	}
}

// TestMachineRandomly goes deeper on random paths, with more faults.
func TestMachineRandomly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Bool().Draw(t, "honours"))
		for range 60 {
			moves := w.moves(12)
			if len(moves) == 0 {
				return
			}
			next := moves[rapid.IntRange(0, len(moves)-1).Draw(t, "move")]
			next.do(&w)
			if why := w.violation(); why != "" {
				t.Fatalf("%s, after %s", why, next.name)
			}
		}
	})
}

// TestMachineEndsWithoutTable checks that a table that never answers leads to a
// final answer after few calls, and that nothing is sent meanwhile.
func TestMachineEndsWithoutTable(t *testing.T) {
	machine := action.NewMachine(newRequest("vm-1", false))
	calls := 0
	for {
		op := machine.Next(epoch)
		if op.Kind == action.OpAnswer {
			qt.Assert(t, op.Answer.Kind, qt.Equals, action.AnswerStateNotKnown)
			break
		}
		calls++
		switch op.Kind {
		case action.OpRead:
			machine.ReadDone(nil, "", true, epoch)
		case action.OpWrite:
			machine.WriteDone("", action.WriteUnknown, epoch)
		default:
			t.Fatalf("unexpected step %v", op.Kind)
		}
	}
	qt.Assert(t, calls <= 2, qt.IsTrue, qt.Commentf("%d calls", calls))
}

func TestMachineAnswersFromOtherRows(t *testing.T) {
	row := func(state action.State) action.Row {
		return action.Row{State: state, Attempt: "other", BodyHash: "body", DispatchUntil: epoch.Add(time.Second), ExpiresAt: epoch.Add(time.Hour), Result: result}
	}
	reused := row(action.StateDone)
	reused.BodyHash = "another"
	expired := row(action.StateDone)
	expired.ExpiresAt = epoch.Add(-time.Second)
	cases := map[string]struct {
		row  action.Row
		want action.AnswerKind
	}{
		"done":    {row(action.StateDone), action.AnswerResult},
		"refused": {row(action.StateRefused), action.AnswerNotRun},
		"unknown": {row(action.StateUnknown), action.AnswerOutcomeUnknown},
		"reused":  {reused, action.AnswerKeyReused},
		"expired": {expired, action.AnswerKeyExpired},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			machine := action.NewMachine(newRequest("vm-1", false))
			machine.WriteDone("", action.WriteConflict, epoch)
			machine.ReadDone(&test.row, "7", false, epoch)
			qt.Assert(t, machine.Next(epoch).Answer.Kind, qt.Equals, test.want)
		})
	}
}
