package rollout_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/endivespoke/endivespoke/internal/backend/rollout"
	"github.com/endivespoke/endivespoke/internal/lab/property"
)

// creditWorld is some VMs and coordinators of one service around one row of a store. Each VM talks to
// one coordinator, as the half that it is in does.
type creditWorld struct {
	now          int64
	order        rollout.Order
	row          *rollout.State
	rowVersion   int
	coordinators []*rollout.Coordinator
	read         []int           // The version of the row that each coordinator has read.
	pending      []*pendingWrite // By coordinator.
	delayed      []pendingWrite  // Writes whose answer was lost and that may take effect late.
	vms          []creditVM
	sentTallies  []rollout.Tally // For repeated and late delivery.
	requests     int
	granted      int
}

type creditVM struct {
	requests int
	exposed  int
	sequence uint64
	instance uint64
}

type pendingWrite struct {
	state    rollout.State
	expected int
}

const (
	testShare = 0.1
	testSlack = 20
)

func newCreditWorld(vms, coordinators int) *creditWorld {
	w := &creditWorld{now: 1000, order: rollout.Order{Service: service, To: "v2", DurationMillis: 20_000, Era: 1, Revision: 1}}
	w.vms = make([]creditVM, vms)
	w.pending = make([]*pendingWrite, coordinators)
	w.coordinators = make([]*rollout.Coordinator, coordinators)
	w.read = make([]int, coordinators)
	for c := range coordinators {
		w.start(c)
	}
	return w
}

// start starts a coordinator, which reads the row.
func (w *creditWorld) start(c int) {
	w.coordinators[c] = rollout.NewCoordinator(rollout.CoordinatorOptions{ExposureShare: testShare, ExposureSlack: testSlack})
	w.coordinators[c].Begin(w.order, w.row, nil)
	w.read[c], w.pending[c] = w.rowVersion, nil
}

func (w *creditWorld) tally(n int) rollout.Tally {
	vm := &w.vms[n]
	vm.sequence++
	return rollout.Tally{
		VM: vmName(n), Service: service, Era: 1, Revision: 1, Requests: vm.requests, Exposed: vm.exposed,
		Instance: vm.instance, Sequence: vm.sequence,
	}
}

// decide lets a coordinator decide, and keeps what it wants to write on the condition
// that the row is as it has read it.
func (w *creditWorld) decide(c int) {
	members := []string{}
	for n := range w.vms {
		members = append(members, vmName(n))
	}
	next, due := w.coordinators[c].Decide(rollout.View{NowMillis: w.now, Members: members, NewServers: 4, OldServers: 4, From: []string{"v1"}})
	w.pending[c] = nil
	if due {
		w.pending[c] = &pendingWrite{state: next, expected: w.read[c]}
	}
}

func (w *creditWorld) apply(write pendingWrite) bool {
	if write.expected != w.rowVersion {
		return false
	}
	state := write.state
	w.row = &state
	w.rowVersion++
	return true
}

// read tells a coordinator what the row holds.
func (w *creditWorld) readRow(c int) {
	w.read[c] = w.rowVersion
	if w.row != nil {
		w.coordinators[c].Written(*w.row)
	}
}

func (w *creditWorld) ask(n, c int) {
	vm := &w.vms[n]
	vm.requests++
	w.requests++
	reply := w.coordinators[c].Grant(rollout.CreditRequest{Service: service, Era: 1, Revision: 1, VM: vmName(n), Requests: vm.requests, Instance: vm.instance})
	if reply.Granted {
		vm.exposed++
		w.granted++
	}
}

// creditSteps are the steps of a creditWorld, as often as they are to be drawn.
var creditSteps = []string{
	"requests", "requests", "requests", "tally", "tally", "late tally", "vm restarts", "coordinator lost",
	"time", "time", "time", "decide and write", "decide and write", "decide", "write", "lose answer", "late write", "read",
}

func (w *creditWorld) step(t *rapid.T) {
	n := rapid.IntRange(0, len(w.vms)-1).Draw(t, "vm")
	c := rapid.IntRange(0, len(w.coordinators)-1).Draw(t, "coordinator")
	switch rapid.SampledFrom(creditSteps).Draw(t, "step") {
	case "requests":
		for range rapid.IntRange(1, 40).Draw(t, "number") {
			w.ask(n, c)
		}
	case "tally":
		tally := w.tally(n)
		w.sentTallies = append(w.sentTallies, tally)
		w.coordinators[c].ApplyTally(tally)
	case "late tally":
		if len(w.sentTallies) > 0 {
			w.coordinators[c].ApplyTally(rapid.SampledFrom(w.sentTallies).Draw(t, "tally"))
		}
	case "vm restarts":
		w.vms[n] = creditVM{instance: w.vms[n].instance + 1}
	case "coordinator lost":
		w.start(c)
	case "time":
		w.now += rapid.Int64Range(0, 800).Draw(t, "millis")
	case "decide and write":
		w.decide(c)
		w.write(c)
	case "decide":
		w.decide(c)
	case "write":
		w.write(c)
	case "lose answer":
		if write := w.pending[c]; write != nil {
			w.pending[c] = nil
			w.delayed = append(w.delayed, *write)
		}
	case "late write":
		if len(w.delayed) > 0 {
			w.apply(w.delayed[0])
			w.delayed = w.delayed[1:]
		}
	case "read":
		w.readRow(c)
	}
}

// write performs the pending write of a coordinator, which then reads what the row holds.
func (w *creditWorld) write(c int) {
	if write := w.pending[c]; write != nil {
		w.pending[c] = nil
		w.apply(*write)
		w.readRow(c)
	}
}

// TestCreditsBoundExposure checks that credits stay within the allowed exposure whatever happens to VMs,
// coordinators, tallies and writes, in one fleet or in halves with a coordinator each.
func TestCreditsBoundExposure(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newCreditWorld(rapid.IntRange(1, 6).Draw(t, "vms"), rapid.IntRange(1, 3).Draw(t, "coordinators"))
		for range rapid.IntRange(100, 400).Draw(t, "steps") {
			w.step(t)
			allowed := testShare*float64(w.requests) + testSlack
			property.Assert(t, float64(w.granted) <= allowed, qt.IsTrue, qt.Commentf("%d credits for %d requests", w.granted, w.requests))
		}
	})
}

// TestCreditsNeedReservation checks that a coordinator that can't write issues no more credits than the
// row has reserved for it, and another one none.
func TestCreditsNeedReservation(t *testing.T) {
	w := newCreditWorld(2, 2)
	for range 2 {
		w.decide(0)
		w.write(0)
	}
	w.readRow(1)
	w.now += 10_000
	for _, c := range []int{0, 1} {
		before := w.granted
		w.decide(c) // Not written.
		for range 500 {
			w.ask(c, c)
		}
		if c == 0 {
			qt.Assert(t, w.granted, qt.Equals, w.row.Exposed)
			qt.Assert(t, w.granted > 0, qt.IsTrue)
			continue
		}
		qt.Assert(t, w.granted, qt.Equals, before)
	}
}

// TestCreditsEndWithEvidence checks that no credit is issued after evidence against the version, neither
// before the rollback is written nor after it.
func TestCreditsEndWithEvidence(t *testing.T) {
	w := newCreditWorld(1, 1)
	w.decide(0)
	w.apply(*w.pending[0])
	w.readRow(0)
	tally := w.tally(0)
	tally.Requests = 2000
	tally.Routes = []rollout.RouteTally{{Route: "book", Old: rollout.Sample{Answered: 1900}, New: rollout.Sample{Answered: 50, Failed: 50}}}
	w.coordinators[0].ApplyTally(tally)
	for step := range 2 {
		reply := w.coordinators[0].Grant(rollout.CreditRequest{Service: service, Era: 1, Revision: 1, VM: vmName(0), Requests: 3000})
		qt.Assert(t, reply, qt.DeepEquals, rollout.CreditReply{Suspended: true}, qt.Commentf("step %d", step))
		w.now += 1000
		w.decide(0)
		if step == 0 {
			qt.Assert(t, w.pending[0].state.Stage, qt.Equals, rollout.StageRolledBack)
			w.apply(*w.pending[0])
			w.readRow(0)
		}
	}
}

// TestCreditsOfBusyFleet checks that 430 VMs with 18,000 requests a second make some 100 calls a second.
func TestCreditsOfBusyFleet(t *testing.T) {
	f := newFleet(1, 430)
	f.rate, f.routes, f.failing = 18_000, 2, 0.01
	bySecond := map[int64]int{}
	last := 0
	for second := range int64(6) {
		f.at(float64(1000*(second+1)), func() {
			bySecond[second] = f.credits - last
			last = f.credits
		})
	}
	state := f.play()
	qt.Assert(t, state.Stage, qt.Equals, rollout.StageCompleted)
	t.Log(bySecond)
	for second := int64(1); second < 6; second++ {
		calls := bySecond[second]
		qt.Assert(t, calls > 20 && calls < 200, qt.IsTrue, qt.Commentf("second %d: %d calls", second, calls))
	}
	qt.Assert(t, bySecond[0] < 1500, qt.IsTrue, qt.Commentf("%s", fmt.Sprint(bySecond)))
}
