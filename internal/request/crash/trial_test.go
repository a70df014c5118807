package crash_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/peer/permit"
	"github.com/endivespoke/endivespoke/internal/request/crash"
)

// Callers send the content to each of six VMs in each second; a crash is reported a second later.
func TestBlockedContentIsTriedOnceByAllVMsTogether(t *testing.T) {
	f := &fleet{now: time.Unix(0, 0)}
	issuer := permit.NewIssuer(func() time.Time { return f.now })
	for i := range 6 {
		f.vms = append(f.vms, crash.New(crash.Options{
			Now:      func() time.Time { return f.now },
			Announce: func(report crash.Report) { f.waiting = append(f.waiting, report) },
			TakePermit: func(request permit.Request) permit.Reply {
				request.VM = fmt.Sprint("vm-", i)
				return issuer.Take(request)
			},
		}))
	}
	for i := range 3 {
		f.vms[i].Terminated("c", server(fmt.Sprint("server ", i)), f.now)
	}
	sends := 0
	for second := range 170 { // The blocks last 60 s and then 120 s.
		f.now = time.Unix(int64(second), 0)
		f.deliver()
		for _, vm := range f.vms {
			verdict := vm.Check("c")
			if verdict.Decision == crash.Run {
				sends++
				vm.Terminated("c", server(fmt.Sprint("server of send ", sends)), f.now)
				continue
			}
			qt.Assert(t, verdict.Until.After(f.now), qt.IsTrue)
		}
	}
	qt.Assert(t, sends, qt.Equals, 1)
	for f.now = f.now.Add(time.Minute); blocks(f.vms[0], "c"); f.now = f.now.Add(time.Second) {
		qt.Assert(t, f.now.Before(time.Unix(300, 0)), qt.IsTrue)
	}
	f.vms[0].Completed("c")
	f.deliver()
	for _, vm := range f.vms {
		qt.Check(t, blocks(vm, "c"), qt.IsFalse)
	}
}

func TestPartsThatAlwaysComeTogetherAreToldApart(t *testing.T) {
	f := newFleet(1)
	vm := f.vms[0]
	for i := range 3 {
		for _, trait := range []crash.Trait{"part/aa", "part/dd"} {
			vm.Terminated(trait, server(fmt.Sprint("server ", i)), f.now)
		}
	}
	f.now = f.now.Add(time.Second)
	qt.Check(t, vm.Check("c1", "part/aa", "part/dd").Decision, qt.Equals, crash.Refuse)
	qt.Check(t, vm.Check("c2", "part/aa").Decision, qt.Equals, crash.Run) // A test: it has one of the two.
	vm.Completed("c2", "part/aa")
	verdict := vm.Check("c3", "part/aa", "part/dd")
	qt.Check(t, verdict.Decision, qt.Equals, crash.Refuse)
	qt.Check(t, verdict.Trait, qt.Equals, crash.Trait("part/dd"))
	qt.Check(t, vm.Check("c4", "part/aa").Decision, qt.Equals, crash.Run)
}

// A harmless request runs at the same three servers as one that crashes them, at another VM.
func TestHarmlessContentBesideACrashingOneIsNotRefused(t *testing.T) {
	f := newFleet(2)
	for i := range 3 {
		f.vms[0].Terminated("crashing", server(fmt.Sprint("server ", i)), f.now)
		f.vms[1].Terminated("harmless", server(fmt.Sprint("server ", i)), f.now)
		f.deliver()
	}
	f.now = f.now.Add(time.Second)
	for _, vm := range f.vms {
		qt.Check(t, vm.Check("harmless").Decision, qt.Equals, crash.Run)
	}
	f.vms[0].Terminated("crashing", server("server 3"), f.now)
	f.vms[1].Completed("harmless")
	f.deliver()
	f.now = f.now.Add(time.Second)
	for _, vm := range f.vms {
		qt.Check(t, vm.Check("harmless").Decision, qt.Equals, crash.Run)
		qt.Check(t, vm.Check("crashing").Decision, qt.Equals, crash.Refuse)
	}
}

// A content that crashed one of the three servers is sent first after the block of the part.
func TestPartIsNotTriedWithAContentThatCrashedBefore(t *testing.T) {
	f := newFleet(1)
	vm := f.vms[0]
	vm.Terminated("crashing", server("server 0"), f.now)
	for i := range 3 {
		vm.Terminated("part/aa", server(fmt.Sprint("server ", i)), f.now)
	}
	f.now = f.now.Add(time.Second)
	block := vm.Check("sound", "part/aa")
	qt.Assert(t, block.Decision, qt.Equals, crash.Refuse)
	f.now = block.Until
	qt.Check(t, vm.Check("crashing", "part/aa").Decision, qt.Equals, crash.Hold)
	qt.Check(t, vm.Check("another sound", "part/aa").Decision, qt.Equals, crash.Run)
}

// Two contents that are not known to crash servers are sent after the block of a part, one of them for
// the second time.
func TestPartIsNotTriedWithAContentThatCameBefore(t *testing.T) {
	f := newFleet(1)
	vm := f.vms[0]
	for i := range 3 {
		vm.Terminated("part/aa", server(fmt.Sprint("server ", i)), f.now)
	}
	f.now = f.now.Add(time.Second)
	vm.Check("first", "part/aa")
	f.now = vm.Check("again", "part/aa").Until
	qt.Check(t, vm.Check("again", "part/aa").Decision, qt.Equals, crash.Hold)
	qt.Check(t, vm.Recheck("first", "part/aa").Decision, qt.Equals, crash.Run)
}

// The caller of the request that is the likelier sound does not send it again.
func TestPartIsTriedWithAContentThatCameBeforeIfNoOtherOneComes(t *testing.T) {
	f := newFleet(1)
	vm := f.vms[0]
	for i := range 3 {
		vm.Terminated("part/aa", server(fmt.Sprint("server ", i)), f.now)
	}
	f.now = f.now.Add(time.Second)
	vm.Check("again", "part/aa")
	blockEnd := vm.Check("again", "part/aa").Until
	f.now = blockEnd.Add(-time.Second)
	qt.Assert(t, vm.Check("gone", "part/aa").Decision, qt.Equals, crash.Refuse)
	for f.now = blockEnd; vm.Check("again", "part/aa").Decision != crash.Run; f.now = f.now.Add(100 * time.Millisecond) {
		qt.Assert(t, f.now.Sub(blockEnd) < contactBound, qt.IsTrue, qt.Commentf("not tried %v after the block", f.now.Sub(blockEnd)))
	}
}

// The request of a trial is not run, and one at another VM, which was denied a permit meanwhile, is.
func TestPermitOfATrialThatShowedNothingIsReturned(t *testing.T) {
	f := &fleet{now: time.Unix(0, 0)}
	issuer := permit.NewIssuer(func() time.Time { return f.now })
	for range 2 {
		f.vms = append(f.vms, crash.New(crash.Options{
			Now:          func() time.Time { return f.now },
			Announce:     func(crash.Report) {},
			TakePermit:   issuer.Take,
			ReturnPermit: func(key string) { issuer.Observe(permit.Observation{Key: key, Unused: true}) },
		}))
	}
	for i := range 3 {
		for _, vm := range f.vms {
			vm.Terminated("part/aa", server(fmt.Sprint("server ", i)), f.now)
		}
	}
	f.now = f.vms[0].Check("c1", "part/aa").Until
	qt.Assert(t, f.vms[0].Recheck("c1", "part/aa").IsTrial, qt.IsTrue)
	qt.Assert(t, f.vms[1].Check("c2", "part/aa").Decision, qt.Equals, crash.Hold)
	f.vms[0].Inconclusive("c1", "part/aa")
	f.vms[0].Inconclusive("c1", "part/aa") // There is no second permit.
	f.now = f.now.Add(time.Second)
	qt.Check(t, f.vms[1].Recheck("c2", "part/aa").Decision, qt.Equals, crash.Run)
	qt.Check(t, f.vms[0].Check("c3", "part/aa").Decision, qt.Equals, crash.Hold)
}

// One request needs two permits and is denied the second.
func TestPermitsOfARequestThatGetsNotAllAreReturned(t *testing.T) {
	f := &fleet{now: time.Unix(0, 0)}
	issuer := permit.NewIssuer(func() time.Time { return f.now })
	denied := false
	vm := crash.New(crash.Options{
		Now:      func() time.Time { return f.now },
		Announce: func(crash.Report) {},
		TakePermit: func(request permit.Request) permit.Reply {
			if request.Key == "content/part/aa" { // The second one.
				denied = true
				return permit.Reply{Wait: time.Minute}
			}
			return issuer.Take(request)
		},
		ReturnPermit: func(key string) { issuer.Observe(permit.Observation{Key: key, Unused: true}) },
	})
	for i := range 3 {
		vm.Terminated("part/aa", server(fmt.Sprint("server a", i)), f.now)
		vm.Terminated("part/bb", server(fmt.Sprint("server b", i)), f.now)
	}
	f.now = f.now.Add(6 * time.Second)
	qt.Assert(t, vm.Check("c1", "part/aa", "part/bb").Decision, qt.Equals, crash.Hold)
	qt.Assert(t, denied, qt.IsTrue)
	qt.Check(t, vm.Check("c2", "part/bb").Decision, qt.Equals, crash.Run)
}

// The content of a failed trial comes again, so that it may have crashed the server instead of the part.
func TestPartIsTriedAgainIfTheContentOfItsTrialComesAgain(t *testing.T) {
	for _, again := range []bool{false, true} {
		f := newFleet(1)
		vm := crash.New(crash.Options{
			Now:           func() time.Time { return f.now },
			Announce:      func(crash.Report) {},
			HasTerminated: func(pool.Server, time.Time) bool { return true },
		})
		for i := range 3 {
			vm.Terminated("part/aa", server(fmt.Sprint("server ", i)), f.now)
		}
		f.now = vm.Check("c1", "part/aa").Until
		qt.Assert(t, vm.Recheck("c1", "part/aa").Decision, qt.Equals, crash.Run)
		vm.Interrupted(crash.Traits("c1", []string{"aa"}), server("server of the trial"), f.now, f.now)
		f.now = f.now.Add(time.Second)
		if again {
			qt.Check(t, vm.Check("c1", "part/aa").Decision, qt.Equals, crash.Refuse)
		}
		want := map[bool]crash.Decision{false: crash.Refuse, true: crash.Run}[again]
		qt.Check(t, vm.Check("c2", "part/aa").Decision, qt.Equals, want, qt.Commentf("it came again: %v", again))
	}
}

func TestRecurringContentIsTriedAtOneServerAtATime(t *testing.T) {
	f := &fleet{now: time.Unix(0, 0)}
	issuer := permit.NewIssuer(func() time.Time { return f.now })
	vm := crash.New(crash.Options{Now: func() time.Time { return f.now }, Announce: func(crash.Report) {}, TakePermit: issuer.Take})
	for i := range 2 {
		qt.Check(t, vm.Check("c").Decision, qt.Equals, crash.Run)
		vm.Terminated("c", server(fmt.Sprint("server ", i)), f.now)
		vm.Terminated("c1", server(fmt.Sprint("server ", i)), f.now)
	}
	qt.Check(t, vm.Check("c").Decision, qt.Equals, crash.Run)
	qt.Check(t, vm.Check("c").Decision, qt.Equals, crash.Hold)
	for range 2 { // Sends of one request.
		qt.Check(t, vm.Recheck("c1").Decision, qt.Equals, crash.Run)
	}
}

func TestFailedTrialsOfAPartAreRarer(t *testing.T) {
	f := newFleet(1)
	vm := f.vms[0]
	for i := range 5 {
		vm.Terminated("part/dd", server(fmt.Sprint("server ", i)), f.now)
	}
	block := vm.Check("c", "part/dd").Until.Sub(f.now)
	for i := range 3 {
		verdict := vm.Check("c", "part/dd")
		qt.Assert(t, verdict.Decision, qt.Equals, crash.Refuse)
		f.now = verdict.Until
		qt.Assert(t, vm.Check("c", "part/dd").Decision, qt.Equals, crash.Run)
		vm.Terminated("part/dd", server(fmt.Sprint("server of trial ", i)), f.now)
		next := vm.Check("c", "part/dd").Until.Sub(f.now)
		qt.Assert(t, next >= 2*block, qt.IsTrue, qt.Commentf("%v after %v", next, block))
		block = next
	}
}

// One VM holds no more traits than it may, whatever callers send.
func TestPartsOfCallersAreBounded(t *testing.T) {
	parts := []string{}
	for i := range 5000 {
		parts = append(parts, fmt.Sprint("p", i))
	}
	qt.Check(t, len(crash.Traits("c", parts)) <= 64, qt.IsTrue)
	qt.Check(t, len(crash.Part(strings.Repeat("p", 100_000))) < 100, qt.IsTrue)
	qt.Check(t, crash.Part("dd"), qt.Equals, crash.Trait("part/dd"))
}

func BenchmarkCheck(b *testing.B) {
	for _, known := range []int{1000, 100_000} {
		for _, c := range []struct {
			name   string
			traits []crash.Trait
		}{
			{"sound", crash.Traits("sound", []string{"aa", "bb"})},
			{"refused", crash.Traits("refused", []string{"aa", "dd"})},
		} {
			b.Run(fmt.Sprint(known, " known, ", c.name), func(b *testing.B) {
				f := newFleet(1)
				vm := f.vms[0]
				for i := range known {
					vm.Terminated(crash.Part(fmt.Sprint("part ", i)), server(fmt.Sprint("server ", i%50)), f.now)
				}
				for i := range 3 {
					vm.Terminated("part/dd", server(fmt.Sprint("crashed ", i)), f.now)
				}
				b.ReportAllocs()
				for b.Loop() {
					vm.Check(c.traits...)
				}
			})
		}
	}
}

// TestContentThatAPartExplainsIsKnownToVMsThatStart has all VMs restart while a part is blocked that
// explains the crashes under a content too, and the part turn out to be sound.
func TestContentThatAPartExplainsIsKnownToVMsThatStart(t *testing.T) {
	f := newFleet(2)
	before, after := f.vms[0], f.vms[1]
	for i := range 6 {
		before.Terminated("part/aa", server(fmt.Sprint("server ", i)), f.now)
		if i < 3 {
			before.Terminated("c", server(fmt.Sprint("server ", i)), f.now)
		}
	}
	reports, _ := before.Suspects()
	after.Merge(reports)
	after.Completed("part/aa")
	verdict := after.Check("c", "part/aa")
	qt.Check(t, verdict.Decision, qt.Equals, crash.Refuse)
	qt.Check(t, verdict.Trait, qt.Equals, crash.Trait("c"))
}
