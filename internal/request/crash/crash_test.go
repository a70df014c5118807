package crash_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/request/crash"
)

// fleet is some VMs that tell each other of crashes when deliver is called.
type fleet struct {
	now     time.Time
	vms     []*crash.Record
	waiting []crash.Report
}

func newFleet(count int) *fleet {
	f := &fleet{now: time.Unix(0, 0)}
	for range count {
		f.vms = append(f.vms, crash.New(crash.Options{
			Now:      func() time.Time { return f.now },
			Announce: func(note crash.Report) { f.waiting = append(f.waiting, note) },
		}))
	}
	return f
}

func (f *fleet) deliver() {
	for _, vm := range f.vms {
		vm.Merge(f.waiting)
	}
	f.waiting = nil
}

// server gives one that fails alone.
func server(id string) pool.Server {
	return pool.Server{ID: id, Service: "s", FailureDomain: "of " + id}
}

func refuses(vm *crash.Record, content string) bool {
	_, refused := vm.BlockedUntil(content)
	return refused
}

// TestCrashesCountOverVMs has each of three VMs see one server die.
func TestCrashesCountOverVMs(t *testing.T) {
	f := newFleet(3)
	for i, vm := range f.vms {
		for _, other := range f.vms {
			qt.Assert(t, refuses(other, "c"), qt.IsFalse)
		}
		vm.Terminated("c", server(fmt.Sprint("server ", i)), f.now)
		f.deliver()
	}
	for _, vm := range f.vms {
		qt.Assert(t, refuses(vm, "c"), qt.IsTrue)
		qt.Assert(t, refuses(vm, "other"), qt.IsFalse)
	}
	f.now = f.now.Add(2 * time.Minute)
	qt.Assert(t, refuses(f.vms[0], "c"), qt.IsFalse)
}

// TestCrashesSeenAtOnceAddUp has three VMs see one server each die before they hear of the
// others.
func TestCrashesSeenAtOnceAddUp(t *testing.T) {
	f := newFleet(3)
	for i, vm := range f.vms {
		vm.Terminated("c", server(fmt.Sprint("server ", i)), f.now)
	}
	f.deliver()
	for _, vm := range f.vms {
		qt.Check(t, refuses(vm, "c"), qt.IsTrue)
	}
}

// TestOneServerUnderManyRunsCountsOnce has one server die under runs of the same content at
// several VMs.
func TestOneServerUnderManyRunsCountsOnce(t *testing.T) {
	f := newFleet(3)
	for _, vm := range f.vms {
		vm.Terminated("c", server("server"), f.now)
		vm.Terminated("c", server("server"), f.now)
	}
	f.deliver()
	for _, vm := range f.vms {
		qt.Check(t, refuses(vm, "c"), qt.IsFalse)
	}
}

// TestContentThatRanToItsEndIsInnocent has a content meet two crashes, run well, and meet two
// more.
func TestContentThatRanToItsEndIsInnocent(t *testing.T) {
	f := newFleet(2)
	for round := range 2 {
		for i := range 2 {
			f.vms[i].Terminated("c", server(fmt.Sprint("server ", round, i)), f.now)
		}
		f.deliver()
		qt.Check(t, refuses(f.vms[0], "c"), qt.IsFalse)
		f.vms[1].Completed("c")
		f.deliver()
	}
}

// TestLossesOfAFailureDomainAreNotHeldAgainstARequest plays four losses of a failure domain of
// six servers, with a content that ran on some of them each time.
func TestLossesOfAFailureDomainAreNotHeldAgainstARequest(t *testing.T) {
	for _, c := range []struct {
		ran     int
		refused bool
	}{{1, false}, {3, false}, {4, true}, {6, true}} {
		now := time.Unix(0, 0)
		vm := crash.New(crash.Options{
			Now:              func() time.Time { return now },
			Announce:         func(crash.Report) {},
			HasTerminated:    func(pool.Server, time.Time) bool { return true },
			CorrelatedLosses: func(pool.Server) int { return 6 },
		})
		for round := range 4 {
			for i := range c.ran {
				vm.Interrupted("c", pool.Server{ID: fmt.Sprint(round, i), Service: "s", FailureDomain: "a"}, now, now)
			}
			for range 3 {
				now = now.Add(700 * time.Millisecond)
				vm.Poll()
			}
		}
		qt.Check(t, refuses(vm, "c"), qt.Equals, c.refused, qt.Commentf("it ran on %d of 6", c.ran))
	}
}

// TestRunThatBeganAfterAProcessHadEndedIsNotHeldForIt has servers crash under one request, and
// others sent to them until that is found out, at this VM and at another one.
func TestRunThatBeganAfterAProcessHadEndedIsNotHeldForIt(t *testing.T) {
	f := newFleet(0)
	found := false
	for range 2 {
		f.vms = append(f.vms, crash.New(crash.Options{
			Now:           func() time.Time { return f.now },
			Announce:      func(note crash.Report) { f.waiting = append(f.waiting, note) },
			HasTerminated: func(pool.Server, time.Time) bool { return found },
		}))
	}
	for i := range 4 {
		began := f.now
		f.now = f.now.Add(50 * time.Millisecond)
		f.vms[0].Interrupted("culprit", server(fmt.Sprint(i)), began, f.now)
		if i > 0 {
			f.vms[0].Interrupted("beside it", server(fmt.Sprint(i)), began, f.now)
		}
		for _, vm := range f.vms {
			vm.Interrupted("sent later", server(fmt.Sprint(i)), f.now.Add(10*time.Millisecond), f.now.Add(20*time.Millisecond))
		}
	}
	f.now = f.now.Add(time.Second)
	found = true
	for _, vm := range f.vms {
		vm.Poll()
		f.deliver()
	}
	for _, vm := range f.vms {
		qt.Check(t, refuses(vm, "culprit"), qt.IsTrue)
		qt.Check(t, refuses(vm, "beside it"), qt.IsFalse)
		qt.Check(t, refuses(vm, "sent later"), qt.IsFalse)
	}
}

// TestContentThatRunsWellElsewhereIsInnocent has three servers end at once under a content
// that many ask for, and that ran to its end a moment before.
func TestContentThatRunsWellElsewhereIsInnocent(t *testing.T) {
	for _, c := range []struct {
		ago     time.Duration
		refused bool
	}{{time.Second, false}, {20 * time.Second, true}} {
		now := time.Unix(0, 0)
		vm := crash.New(crash.Options{
			Now:           func() time.Time { return now },
			Announce:      func(crash.Report) {},
			HasTerminated: func(pool.Server, time.Time) bool { return true },
		})
		vm.Completed("c")
		now = now.Add(c.ago)
		for i := range 3 {
			vm.Interrupted("c", server(fmt.Sprint(i)), now, now)
		}
		qt.Check(t, refuses(vm, "c"), qt.Equals, c.refused, qt.Commentf("%v after it ran to its end", c.ago))
	}
}

// TestContentMayRunAgainOnceAndIsRefusedForLonger has a content crash a fourth server after
// its refusal.
func TestContentMayRunAgainOnceAndIsRefusedForLonger(t *testing.T) {
	f := newFleet(1)
	vm := f.vms[0]
	for i := range 3 {
		vm.Terminated("c", server(fmt.Sprint("server ", i)), f.now)
	}
	first, refused := vm.BlockedUntil("c")
	qt.Assert(t, refused, qt.IsTrue)
	began := f.now
	f.now = first
	qt.Assert(t, refuses(vm, "c"), qt.IsFalse)
	vm.Terminated("c", server("server 3"), f.now)
	second, refused := vm.BlockedUntil("c")
	qt.Assert(t, refused, qt.IsTrue)
	qt.Assert(t, second.Sub(first), qt.Equals, 2*first.Sub(began))
}

// TestManyContentsDropNoCondemnedOne has one server die under more contents than are kept.
func TestManyContentsDropNoCondemnedOne(t *testing.T) {
	f := newFleet(1)
	vm := f.vms[0]
	for i := range 3 {
		vm.Terminated("c", server(fmt.Sprint("server ", i)), f.now)
	}
	for i := range 20_000 {
		vm.Terminated(fmt.Sprint("other ", i), server("server"), f.now)
	}
	qt.Check(t, refuses(vm, "c"), qt.IsTrue)
}

// TestNotesInAnyOrderGiveTheSame has VMs see ends and survivals, and hear of them late, twice
// and in any order. Then each holds the same, and refuses the contents under which three
// processes ended that no survival cleared.
func TestNotesInAnyOrderGiveTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 4).Draw(t, "VMs"))
		notes := []crash.Report{}
		ended, cleared := map[string]bool{}, map[string]bool{}
		seen := make([]map[string]bool, len(f.vms)) // What each VM knows of.
		for i := range seen {
			seen[i] = map[string]bool{}
		}
		hear := func(vm int, note crash.Report) {
			f.vms[vm].Merge([]crash.Report{note})
			for _, e := range note.Terminations {
				seen[vm][e.Process] = true
			}
		}
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			vm := rapid.IntRange(0, len(f.vms)-1).Draw(t, "VM")
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "millis")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				process := fmt.Sprint(rapid.IntRange(0, 7).Draw(t, "process"))
				f.vms[vm].Terminated("c", server(process), f.now)
				ended[server(process).Process()], seen[vm][server(process).Process()] = true, true
			case 2:
				f.vms[vm].Completed("c")
				maps.Copy(cleared, seen[vm])
			default:
				if len(notes) > 0 {
					hear(vm, notes[rapid.IntRange(0, len(notes)-1).Draw(t, "note")])
				}
			}
			notes = append(notes, f.waiting...)
			f.waiting = nil
		}
		for i := range f.vms {
			for _, at := range rapid.Permutation(indices(len(notes))).Draw(t, "order") {
				hear(i, notes[at])
			}
		}
		count := 0
		for process := range ended {
			if !cleared[process] {
				count++
			}
		}
		for _, vm := range f.vms {
			if refuses(vm, "c") != (count >= 3) {
				t.Fatalf("%d ends count, refused: %t", count, refuses(vm, "c"))
			}
		}
	})
}

func indices(count int) []int {
	all := make([]int, count)
	for i := range all {
		all[i] = i
	}
	return all
}

// TestCutCountsOnceItsServerIsFoundToHaveEnded has that known at once, later, too late, and
// never.
func TestCutCountsOnceItsServerIsFoundToHaveEnded(t *testing.T) {
	now := time.Unix(0, 0)
	ended := map[string]bool{"at once": true}
	vm := crash.New(crash.Options{
		Now:           func() time.Time { return now },
		Announce:      func(crash.Report) {},
		HasTerminated: func(server pool.Server, _ time.Time) bool { return ended[server.ID] },
	})
	counted := func() (count int) { // Up to the limit, by what it takes to have it refused.
		for i := range 3 {
			if refuses(vm, "c") {
				return 3 - i
			}
			vm.Terminated("c", server(fmt.Sprint("other ", i)), now)
		}
		return 0
	}
	for _, id := range []string{"at once", "later", "too late", "never"} {
		vm.Interrupted("c", pool.Server{ID: id}, now, now)
	}
	now = now.Add(5 * time.Second)
	ended["later"] = true
	vm.Poll()
	now = now.Add(5 * time.Second)
	vm.Poll()
	ended["too late"] = true
	vm.Poll()
	qt.Assert(t, counted(), qt.Equals, 2)
}
