package rollout

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const exploreMillis = 100_000

// exploreClocks are the relevant times, as fractions of the order's time.
var exploreClocks = []float64{0, 0.75, 0.76, 0.83, 0.84, 0.88, 0.92, 1.1}

var (
	exploreOrder     = Order{Service: "booking", To: "v2", DurationMillis: exploreMillis, Era: 1, Revision: 1}
	exploreWithdrawn = Order{Service: "booking", Era: 1, Revision: 2, Withdrawn: true}
)

// worldVM is one of two VMs, each with a coordinator of the same service, as they are while the fleet is
// in two halves or does not agree on its members.
type worldVM struct {
	coordinator *Coordinator
	readVersion int
	mustRead    bool // The answer to its write was lost.
	known       State
	hasOldWork  bool
	instance    uint64
	sequence    uint64
}

type worldWrite struct {
	state    State
	expected int
}

// world is two VMs and one row, with all possible faults. It is copied for each branch.
type world struct {
	vms       [2]worldVM
	rows      []State // Of all versions of the row.
	version   int     // Of the row; 0 if it is empty.
	delayed   []worldWrite
	clock     int
	faults    int
	withdrawn bool
	noServers bool
	isBad     bool

	completed  bool // The row held it once.
	rolledBack bool
	wrong      string
}

func newWorld() *world {
	w := &world{}
	for i := range w.vms {
		w.vms[i].hasOldWork = true
		w.start(i)
	}
	return w
}

func (w *world) clone() *world {
	c := *w
	c.rows, c.delayed = slices.Clone(w.rows), slices.Clone(w.delayed)
	for i := range c.vms {
		c.vms[i].coordinator = w.vms[i].coordinator.clone()
	}
	return &c
}

// clone copies what changes after Begin in a world without outcomes of routes.
func (c *Coordinator) clone() *Coordinator {
	d := &Coordinator{
		options: c.options, writer: c.writer, order: c.order, hasOrder: c.hasOrder, identities: slices.Clone(c.identities),
		superseded: c.superseded, row: c.row, state: c.state, received: newReceived(), judgement: newJudgement(), against: c.against,
		rate: c.rate, reserved: c.reserved, attempt: c.attempt, atStage: c.atStage, isMarked: c.isMarked,
		view: c.view, beganAt: c.beganAt, stageAt: c.stageAt, newServersAt: c.newServersAt,
	}
	for name, vm := range c.received.vms {
		copied := &vmTallies{processes: map[uint64]*processTally{}, missingSince: vm.missingSince}
		for instance, process := range vm.processes {
			p := *process
			copied.processes[instance] = &p
			if process == vm.current {
				copied.current = &p
			}
		}
		d.received.vms[name] = copied
	}
	return d
}

// key identifies worlds that go on alike.
func (w *world) key() string {
	key := fmt.Sprint(w.version, w.clock, w.faults, w.withdrawn, w.noServers, w.isBad, w.completed, w.rolledBack, w.row(), w.delayed)
	for i := range w.vms {
		vm := &w.vms[i]
		c := vm.coordinator
		key += fmt.Sprint("|", vm.readVersion, vm.mustRead, vm.known, vm.hasOldWork, c.order, c.row, c.state, c.against, c.attempt, c.beganAt, c.stageAt, c.newServersAt)
		for _, name := range slices.Sorted(maps.Keys(c.received.vms)) {
			t := c.received.vms[name]
			key += fmt.Sprint(name, t.missingSince, t.current.told, t.current.tally.Serial, t.current.tally.OldWork, vm.instance)
		}
	}
	return key
}

func (w *world) row() *State {
	if w.version == 0 {
		return nil
	}
	row := w.rows[w.version-1]
	return &row
}

func (w *world) order() Order {
	if w.withdrawn {
		return exploreWithdrawn
	}
	return exploreOrder
}

// start starts the process of a VM, which reads the row.
func (w *world) start(i int) {
	vm := &w.vms[i]
	vm.coordinator = NewCoordinator(CoordinatorOptions{})
	vm.coordinator.writer = uint32(i + 1)
	w.read(i, w.version)
}

// restart starts another process of a VM. It reads the row, and hears from the other VM, before it takes
// requests.
func (w *world) restart(i int) {
	vm := &w.vms[i]
	vm.known, vm.hasOldWork, vm.sequence = w.vms[1-i].known, false, 0
	vm.instance++
	w.start(i)
}

// read lets a VM read the row as it is or was at some version.
func (w *world) read(i, version int) {
	vm := &w.vms[i]
	vm.readVersion, vm.mustRead = version, false
	var found, known *State
	if version > 0 {
		state := w.rows[version-1]
		found = &state
	}
	if vm.known.Serial > 0 {
		state := vm.known
		known = &state
	}
	vm.coordinator.Begin(w.order(), found, known)
	if found != nil {
		w.learn(i, *found)
	}
}

// learn lets a VM follow a state, if it is newer than the one that it follows.
func (w *world) learn(i int, state State) {
	vm := &w.vms[i]
	if vm.known.Serial > 0 && !state.isNewerThan(vm.known) {
		return
	}
	vm.known = state
}

// apply performs a conditional write and reports whether its condition held.
func (w *world) apply(write worldWrite) bool {
	if write.expected != w.version {
		return false
	}
	w.rows = append(w.rows, write.state)
	w.version = len(w.rows)
	switch write.state.Stage {
	case StageCompleted:
		w.checkCompletion()
		w.completed = true
	case StageRolledBack:
		w.rolledBack = true
	}
	return true
}

func (w *world) checkCompletion() {
	for i := range w.vms {
		vm := &w.vms[i]
		if vm.hasOldWork || !vm.keepsOffOldServers() {
			w.wrong = fmt.Sprintf("completed while vm-%d may have work at old servers", i+1)
		}
	}
}

// keepsOffOldServers reports whether a VM follows a state in which it sends the old version nothing.
func (vm *worldVM) keepsOffOldServers() bool {
	return vm.known.Stage == StageRetire || vm.known.Stage == StageCompleted
}

func (w *world) violation() string {
	if w.completed && w.rolledBack {
		return "completed and rolled back"
	}
	return w.wrong
}

func (w *world) view() View {
	servers := 3
	if w.noServers {
		servers = 0
	}
	now := 1000 + int64(exploreClocks[w.clock]*exploreMillis)
	return View{NowMillis: now, Members: []string{"vm-1", "vm-2"}, NewServers: servers, OldServers: 3, From: []string{"v1"}}
}

// move is one possible next step.
type move struct {
	name string
	do   func(w *world)
}

func (w *world) moves(maxFaults int) []move {
	var moves []move
	faulty := w.faults < maxFaults
	add := func(name string, fault bool, do func(w *world)) {
		if fault && !faulty {
			return
		}
		moves = append(moves, move{name, func(w *world) {
			if fault {
				w.faults++
			}
			do(w)
		}})
	}
	for i := range w.vms {
		w.addMovesOfVM(i, add)
	}
	if len(w.delayed) > 0 {
		add("delayed write takes effect", false, func(w *world) {
			write := w.delayed[0]
			w.delayed = w.delayed[1:]
			w.apply(write)
		})
	}
	if w.clock < len(exploreClocks)-1 {
		add("time passes", false, func(w *world) { w.clock++ })
	}
	if !w.withdrawn {
		add("order is withdrawn", true, func(w *world) { w.withdrawn = true })
	}
	if !w.noServers {
		add("new servers stop", true, func(w *world) { w.noServers = true })
	}
	if w.version > 1 && w.isRowKnown() {
		add("store comes back from an older copy", true, func(w *world) { w.restore() })
	}
	return moves
}

// isRowKnown reports whether a VM knows what the row holds. What nobody knows is lost with the store.
func (w *world) isRowKnown() bool {
	row := w.row()
	return len(w.delayed) == 0 && (w.vms[0].known.Serial >= row.Serial || w.vms[1].known.Serial >= row.Serial)
}

// restore restores the row before its last write. The VMs tell each other what they know before they
// write again.
func (w *world) restore() {
	w.rows = append(w.rows, w.rows[w.version-2])
	w.version = len(w.rows)
	w.learn(0, w.vms[1].known)
	w.learn(1, w.vms[0].known)
	for i := range w.vms {
		w.vms[i].mustRead = true
	}
}

func (w *world) addMovesOfVM(i int, add func(name string, fault bool, do func(w *world))) {
	vm, other := &w.vms[i], 1-i
	name := fmt.Sprintf("vm-%d ", i+1)
	add(name+"reads", false, func(w *world) { w.read(i, w.version) })
	if w.version > 1 {
		add(name+"reads what is no longer there", true, func(w *world) { w.read(i, w.version-1) })
	}
	add(name+"stops and starts", true, func(w *world) { w.restart(i) })
	if vm.hasOldWork {
		add(name+"has no more work at old servers", false, func(w *world) { w.vms[i].hasOldWork = false })
	}
	if !vm.hasOldWork && !vm.keepsOffOldServers() {
		add(name+"sends to an old server", false, func(w *world) { w.vms[i].hasOldWork = true })
	}
	if w.vms[other].known.Serial > 0 {
		add(name+"learns what the other one knows", false, func(w *world) { w.learn(i, w.vms[other].known) })
	}
	for to := range w.vms {
		add(fmt.Sprintf("%stells vm-%d a tally", name, to+1), false, func(w *world) {
			w.vms[to].coordinator.ApplyTally(w.tally(i))
		})
	}
	if vm.coordinator.against == "" {
		add(name+"sees evidence", true, func(w *world) {
			w.isBad = true
			w.vms[i].coordinator.against = "most answers fail"
		})
	}
	if !vm.mustRead {
		w.addWrites(i, add)
	}
}

func (w *world) tally(i int) Tally {
	vm := &w.vms[i]
	vm.sequence++
	t := Tally{VM: fmt.Sprintf("vm-%d", i+1), Service: "booking", Era: 1, Revision: 1, Serial: vm.known.Serial, Instance: vm.instance, Sequence: vm.sequence}
	if vm.hasOldWork {
		t.OldWork = 1
	}
	return t
}

// addWrites adds what may happen to the write that is due at a VM.
func (w *world) addWrites(i int, add func(name string, fault bool, do func(w *world))) {
	if _, due := w.vms[i].coordinator.clone().Decide(w.view()); !due {
		add(fmt.Sprintf("vm-%d decides nothing", i+1), false, func(w *world) { w.vms[i].coordinator.Decide(w.view()) })
		return
	}
	decide := func(w *world) worldWrite {
		next, _ := w.vms[i].coordinator.Decide(w.view())
		if next.Stage == StageCompleted && !w.completed && w.vms[i].coordinator.against != "" {
			w.wrong = "completes after evidence against the version"
		}
		return worldWrite{state: next, expected: w.vms[i].readVersion}
	}
	name := fmt.Sprintf("vm-%d ", i+1)
	add(name+"writes", false, func(w *world) {
		write := decide(w)
		w.apply(write)
		w.vms[i].readVersion = w.version
		w.vms[i].coordinator.Written(*w.row())
		w.learn(i, *w.row())
	})
	add(name+"writes, answer lost", true, func(w *world) {
		w.apply(decide(w))
		w.vms[i].mustRead = true
	})
	add(name+"write delayed", true, func(w *world) {
		w.delayed = append(w.delayed, decide(w))
		w.vms[i].mustRead = true
	})
	stage := w.vms[i].known.Stage
	if stage == StageCanary || stage == StageLoad || stage == StageShift {
		add(name+"spreads a rollback before it is written", false, func(w *world) {
			if write := decide(w); write.state.Stage == StageRolledBack {
				w.learn(i, write.state)
			}
		})
	}
}

// explore visits every world up to a depth, counts them in seen, and returns the path to a violated
// guarantee, or nil.
func explore(w *world, depth, maxFaults int, seen map[string]int, path []string) []string {
	if why := w.violation(); why != "" {
		return append(path, why)
	}
	key := w.key()
	if left, visited := seen[key]; visited && left >= depth {
		return nil
	}
	seen[key] = depth
	if depth == 0 {
		return nil
	}
	for _, next := range w.moves(maxFaults) {
		branch := w.clone()
		next.do(branch)
		if violation := explore(branch, depth-1, maxFaults, seen, append(path[:len(path):len(path)], next.name)); violation != nil {
			return violation
		}
	}
	return nil
}

// atStage returns a world in which the first VM has led the order to a stage.
func atStage(stage Stage) *world {
	w := newWorld()
	for clock := range exploreClocks {
		w.clock = clock
		for _, next := range w.moves(0) {
			if next.name == "vm-1 writes" || next.name == "vm-1 decides nothing" {
				next.do(w)
			}
		}
		if w.row().Stage == stage {
			return w
		}
	}
	return nil
}

// nearCompletion returns a world in the stage retire in which only the second VM has work at old servers.
func nearCompletion() *world {
	w := atStage(StageRetire)
	w.learn(1, w.vms[0].known)
	w.read(1, w.version)
	w.vms[0].hasOldWork = false
	for i := range w.vms {
		w.vms[i].coordinator.Decide(w.view())
		w.vms[i].coordinator.ApplyTally(w.tally(0))
		w.vms[i].coordinator.ApplyTally(w.tally(1))
	}
	return w
}

// TestCoordinatorExhaustively visits every interleaving of two VMs that decide on one order, up to a
// depth, with up to two faults at any point, from each stage on.
func TestCoordinatorExhaustively(t *testing.T) {
	starts := map[string]func() *world{
		"canary":          func() *world { return atStage(StageCanary) },
		"load":            func() *world { return atStage(StageLoad) },
		"shift":           func() *world { return atStage(StageShift) },
		"retire":          func() *world { return atStage(StageRetire) },
		"near completion": nearCompletion,
	}
	const depth = 4
	for name, start := range starts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seen := map[string]int{}
			violation := explore(start(), depth, 2, seen, nil)
			qt.Assert(t, violation, qt.IsNil)
			t.Logf("%d states to depth %d", len(seen), depth)
		})
	}
}

// TestCoordinatorRandomly goes deeper on random paths, with more faults. Each end has to be reached in
// some of them.
func TestCoordinatorRandomly(t *testing.T) {
	completed, rolledBack := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		if rapid.Bool().Draw(t, "isNearCompletion") {
			w = nearCompletion()
		}
		maxFaults := rapid.IntRange(0, 8).Draw(t, "faults")
		var path []string
		for range 120 {
			moves := w.moves(maxFaults)
			next := moves[rapid.IntRange(0, len(moves)-1).Draw(t, "move")]
			next.do(w)
			path = append(path, next.name)
			if why := w.violation(); why != "" {
				t.Fatalf("%s, after %q", why, path)
			}
		}
		completed += count(w.completed)
		rolledBack += count(w.rolledBack)
	})
	t.Logf("%d completed, %d rolled back", completed, rolledBack)
	qt.Assert(t, completed > 0 && rolledBack > 0, qt.IsTrue)
}
