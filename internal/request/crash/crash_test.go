package crash_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/lab/property"
	"github.com/endivespoke/endivespoke/internal/request/crash"
)

func init() { property.FixSeed() }

// fleet is a group of VMs whose reports reach each other when deliver is called.
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
			Announce: func(report crash.Report) { f.waiting = append(f.waiting, report) },
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

// server returns the only server of its failure domain.
func server(id string) pool.Server {
	return pool.Server{ID: id, Service: "s", FailureDomain: "of " + id}
}

func blocks(vm *crash.Record, traits ...crash.Trait) bool {
	return vm.Check(traits...).Decision != crash.Run
}

// TestCrashesAddUpAcrossVMs has each of three VMs detect one crash, and receive the reports of
// the earlier ones before it.
func TestCrashesAddUpAcrossVMs(t *testing.T) {
	f := newFleet(3)
	for i, vm := range f.vms {
		for _, other := range f.vms {
			qt.Assert(t, blocks(other, "c"), qt.IsFalse)
		}
		vm.Terminated("c", server(fmt.Sprint("server ", i)), f.now)
		f.deliver()
	}
	for _, vm := range f.vms {
		qt.Assert(t, blocks(vm, "c"), qt.IsTrue)
		qt.Assert(t, blocks(vm, "other"), qt.IsFalse)
	}
	f.now = f.now.Add(2 * time.Minute)
	qt.Assert(t, blocks(f.vms[0], "c"), qt.IsFalse)
}

// TestConcurrentCrashesAddUp has three VMs detect one crash each before they receive each
// other's reports.
func TestConcurrentCrashesAddUp(t *testing.T) {
	f := newFleet(3)
	for i, vm := range f.vms {
		vm.Terminated("c", server(fmt.Sprint("server ", i)), f.now)
	}
	f.deliver()
	for _, vm := range f.vms {
		qt.Check(t, blocks(vm, "c"), qt.IsTrue)
	}
}

// TestOneServerUnderManyRunsCountsOnce has one server crash under runs of the same content of
// several VMs.
func TestOneServerUnderManyRunsCountsOnce(t *testing.T) {
	f := newFleet(3)
	for _, vm := range f.vms {
		vm.Terminated("c", server("server"), f.now)
		vm.Terminated("c", server("server"), f.now)
	}
	f.deliver()
	for _, vm := range f.vms {
		qt.Check(t, blocks(vm, "c"), qt.IsFalse)
	}
}

// TestCompletedContentIsNotBlocked has a content run at two crashes, complete, and run at two
// more.
func TestCompletedContentIsNotBlocked(t *testing.T) {
	f := newFleet(2)
	for round := range 2 {
		for i := range 2 {
			f.vms[i].Terminated("c", server(fmt.Sprint("server ", round, i)), f.now)
		}
		f.deliver()
		qt.Check(t, blocks(f.vms[0], "c"), qt.IsFalse)
		f.vms[1].Completed("c")
		f.deliver()
	}
}

// TestLossesOfAFailureDomainAreNotCounted has a failure domain of six servers fail four times,
// while a content runs on some of the servers. The losses count only if it ran on most of them.
func TestLossesOfAFailureDomainAreNotCounted(t *testing.T) {
	for _, c := range []struct {
		ran     int
		blocked bool
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
				vm.Interrupted([]crash.Trait{"c"}, pool.Server{ID: fmt.Sprint(round, i), Service: "s", FailureDomain: "a"}, now, now)
			}
			for range 3 {
				now = now.Add(700 * time.Millisecond)
				vm.Poll()
			}
		}
		qt.Check(t, blocks(vm, "c"), qt.Equals, c.blocked, qt.Commentf("it ran on %d of 6", c.ran))
	}
}

// Two contents with a common part crash the four servers of a failure domain, two each.
func TestCrashesUnderAPartAreNoLossOfAFailureDomain(t *testing.T) {
	now := time.Unix(0, 0)
	vm := crash.New(crash.Options{
		Now:              func() time.Time { return now },
		Announce:         func(crash.Report) {},
		HasTerminated:    func(pool.Server, time.Time) bool { return true },
		CorrelatedLosses: func(pool.Server) int { return 4 },
	})
	for i := range 4 {
		traits := crash.Traits(fmt.Sprint("c", i%2), []string{"aa"})
		vm.Interrupted(traits, pool.Server{ID: fmt.Sprint(i), Service: "s", FailureDomain: "a"}, now, now)
	}
	now = now.Add(700 * time.Millisecond)
	vm.Poll()
	for _, content := range []crash.Trait{"c0", "c1"} {
		terminations, _ := vm.Count(content)
		qt.Check(t, terminations, qt.Equals, 2)
	}
}

// TestRunThatStartedAfterATerminationIsNotCounted has servers crash under one request. This VM
// and another one send others to them until the crashes are detected.
func TestRunThatStartedAfterATerminationIsNotCounted(t *testing.T) {
	f := newFleet(0)
	detected := false
	for range 2 {
		f.vms = append(f.vms, crash.New(crash.Options{
			Now:           func() time.Time { return f.now },
			Announce:      func(report crash.Report) { f.waiting = append(f.waiting, report) },
			HasTerminated: func(pool.Server, time.Time) bool { return detected },
		}))
	}
	for i := range 4 {
		startedAt := f.now
		f.now = f.now.Add(50 * time.Millisecond)
		f.vms[0].Interrupted([]crash.Trait{"culprit"}, server(fmt.Sprint(i)), startedAt, f.now)
		if i > 0 {
			f.vms[0].Interrupted([]crash.Trait{"beside it"}, server(fmt.Sprint(i)), startedAt, f.now)
		}
		for _, vm := range f.vms {
			vm.Interrupted([]crash.Trait{"sent later"}, server(fmt.Sprint(i)), f.now.Add(10*time.Millisecond), f.now.Add(20*time.Millisecond))
		}
	}
	f.now = f.now.Add(time.Second)
	detected = true
	for _, vm := range f.vms {
		vm.Poll()
		f.deliver()
	}
	for _, vm := range f.vms {
		qt.Check(t, blocks(vm, "culprit"), qt.IsTrue)
		qt.Check(t, blocks(vm, "beside it"), qt.IsFalse)
		qt.Check(t, blocks(vm, "sent later"), qt.IsFalse)
	}
}

// TestRecentlyCompletedContentIsNotBlocked has three servers terminate at the same time under a
// content that many callers request and that completed elsewhere a moment before.
func TestRecentlyCompletedContentIsNotBlocked(t *testing.T) {
	for _, c := range []struct {
		ago     time.Duration
		blocked bool
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
			vm.Interrupted([]crash.Trait{"c"}, server(fmt.Sprint(i)), now, now)
		}
		qt.Check(t, blocks(vm, "c"), qt.Equals, c.blocked, qt.Commentf("%v after it ran to completion", c.ago))
	}
}

// TestBlockDoublesWithEachFurtherCrash has a content crash a fourth server once its block has
// ended.
func TestBlockDoublesWithEachFurtherCrash(t *testing.T) {
	f := newFleet(1)
	vm := f.vms[0]
	for i := range 3 {
		vm.Terminated("c", server(fmt.Sprint("server ", i)), f.now)
	}
	first := vm.Check("c")
	qt.Assert(t, first.Decision, qt.Equals, crash.Refuse)
	blockedAt := f.now
	f.now = first.Until
	qt.Assert(t, blocks(vm, "c"), qt.IsFalse)
	vm.Terminated("c", server("server 3"), f.now)
	second := vm.Check("c")
	qt.Assert(t, second.Decision, qt.Equals, crash.Refuse)
	qt.Assert(t, second.Until.Sub(first.Until), qt.Equals, 2*first.Until.Sub(blockedAt))
}

// TestEvictionKeepsBlockedContents has one server terminate under more contents than are kept.
func TestEvictionKeepsBlockedContents(t *testing.T) {
	f := newFleet(1)
	vm := f.vms[0]
	for i := range 3 {
		vm.Terminated("c", server(fmt.Sprint("server ", i)), f.now)
	}
	for i := range 20_000 {
		vm.Terminated(crash.Trait(fmt.Sprint("other ", i)), server("server"), f.now)
	}
	qt.Check(t, blocks(vm, "c"), qt.IsTrue)
}

// TestReportsInAnyOrderConverge has VMs detect terminations and completions, and receive the
// reports late, duplicated and in any order. Then each VM holds the same, and blocks the content
// if three processes terminated under it that no completion dismissed.
func TestReportsInAnyOrderConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 4).Draw(t, "VMs"))
		reports := []crash.Report{}
		terminated, dismissed := map[string]bool{}, map[string]bool{}
		seen := make([]map[string]bool, len(f.vms)) // The terminations that each VM has.
		for i := range seen {
			seen[i] = map[string]bool{}
		}
		receive := func(vm int, report crash.Report) {
			f.vms[vm].Merge([]crash.Report{report})
			for _, e := range report.Terminations {
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
				terminated[server(process).Process()], seen[vm][server(process).Process()] = true, true
			case 2:
				f.vms[vm].Completed("c")
				maps.Copy(dismissed, seen[vm])
			default:
				if len(reports) > 0 {
					receive(vm, reports[rapid.IntRange(0, len(reports)-1).Draw(t, "note")])
				}
			}
			reports = append(reports, f.waiting...)
			f.waiting = nil
		}
		for i := range f.vms {
			for _, at := range rapid.Permutation(indices(len(reports))).Draw(t, "order") {
				receive(i, reports[at])
			}
		}
		count := 0
		for process := range terminated {
			if !dismissed[process] {
				count++
			}
		}
		for _, vm := range f.vms {
			if blocks(vm, "c") != (count >= 3) {
				t.Fatalf("%d terminations count, blocked: %t", count, blocks(vm, "c"))
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

// TestInterruptionCountsOnceItsServerIsFoundTerminated has the termination detected at once,
// later, too late, and never.
func TestInterruptionCountsOnceItsServerIsFoundTerminated(t *testing.T) {
	now := time.Unix(0, 0)
	terminated := map[string]bool{"at once": true}
	vm := crash.New(crash.Options{
		Now:           func() time.Time { return now },
		Announce:      func(crash.Report) {},
		HasTerminated: func(server pool.Server, _ time.Time) bool { return terminated[server.ID] },
	})
	counted := func() (count int) { // The limit less the further terminations until the content is blocked.
		for i := range 3 {
			if blocks(vm, "c") {
				return 3 - i
			}
			vm.Terminated("c", server(fmt.Sprint("other ", i)), now)
		}
		return 0
	}
	for _, id := range []string{"at once", "later", "too late", "never"} {
		vm.Interrupted([]crash.Trait{"c"}, pool.Server{ID: id}, now, now)
	}
	now = now.Add(5 * time.Second)
	terminated["later"] = true
	vm.Poll()
	now = now.Add(5 * time.Second)
	vm.Poll()
	terminated["too late"] = true
	vm.Poll()
	qt.Assert(t, counted(), qt.Equals, 2)
}
