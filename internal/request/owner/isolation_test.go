package owner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/endivespoke/endivespoke/internal/backend/engine"
	"github.com/endivespoke/endivespoke/internal/backend/fleet"
	"github.com/endivespoke/endivespoke/internal/caller/problem"
	"github.com/endivespoke/endivespoke/internal/config/object"
	"github.com/endivespoke/endivespoke/internal/lab/property"
	"github.com/endivespoke/endivespoke/internal/node/control"
	"github.com/endivespoke/endivespoke/internal/peer/gossip"
	"github.com/endivespoke/endivespoke/internal/request/crash"
)

func init() { property.FixSeed() }

// beginning of all prompts. It is long enough to be one that crashes count against.
var beginning = strings.Repeat("wall ", 80)

// vms are owners that exchange crash reports, and have the same servers and clock.
type vms struct {
	owners  []*Owner
	at      time.Time
	blocked map[string]time.Time // Until when, by content; as all VMs know it.
}

func newVMs(count, servers int, seed uint64) *vms {
	set := &object.Set{}
	for i := range servers {
		// Nothing listens on the lowest ports.
		set.BackendServers = append(set.BackendServers, object.BackendServer{Name: fmt.Sprint("s", i), Address: fmt.Sprintf("127.0.0.1:%d", 1+i), Versions: []string{"v"}, MaxConcurrent: 8})
	}
	v := &vms{at: time.Unix(1000, 0), blocked: map[string]time.Time{}}
	now := func() time.Time { return v.at }
	for i := range count {
		f := fleet.New(fleet.Options{Now: now, Random: rand.New(rand.NewPCG(seed, uint64(i)))})
		f.Update(set)
		v.owners = append(v.owners, New(Options{
			Engines:      engine.New(http.DefaultClient),
			Fleet:        f,
			Logger:       hclog.NewNullLogger(),
			Now:          now,
			Snapshot:     func() *control.Snapshot { return &control.Snapshot{Set: set, BlockedUntil: v.blocked} },
			BlockContent: func(content string) { v.blocked[content] = v.at.Add(control.BlockedFor) },
			Crashes:      crash.New(crash.Options{Now: now, Announce: func(crash.Report) {}}),
		}))
	}
	return v
}

// exchange lets a round of heartbeats pass.
func (v *vms) exchange() {
	v.at = v.at.Add(gossip.HeartbeatInterval)
	v.merge()
}

// merge has each VM receive the crash reports of all others.
func (v *vms) merge() {
	for _, from := range v.owners {
		for _, to := range v.owners {
			to.options.Crashes.Merge(from.options.Crashes.Current(v.at.Add(-3*gossip.HeartbeatInterval), 128, 16))
		}
	}
}

// run starts a generation of a content at a VM, which is not dispatched yet.
func (v *vms) run(vm int, content string) *recovery {
	g := newTestGeneration(0)
	g.owner, g.contentHash, g.journal.Spec.Version = v.owners[vm], content, "v"
	g.spec.Prompt = beginning + content
	return &recovery{owner: v.owners[vm], generation: g}
}

// newVMsAfterTwoCrashes returns three VMs that know of two crashes under a content at the first.
func newVMsAfterTwoCrashes(t *testing.T, content string) *vms {
	v := newVMs(3, 8, 1)
	rc := v.run(0, content)
	for _, server := range []string{"s0", "s1"} {
		qt.Assert(t, rc.recordCrash(server) == nil, qt.IsTrue)
	}
	v.exchange()
	return v
}

// TestSuspectsOfSeveralVMsShareNoServer has two to four contents of several VMs, under which the same
// two servers crashed, run at the same time.
func TestSuspectsOfSeveralVMsShareNoServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := newVMs(rapid.IntRange(2, 4).Draw(t, "vms"), 8, rapid.Uint64().Draw(t, "seed"))
		suspects := []*recovery{}
		for i := range rapid.IntRange(2, 4).Draw(t, "suspects") {
			suspects = append(suspects, v.run(i%len(v.owners), fmt.Sprint("content ", rapid.Uint64().Draw(t, "content"))))
		}
		for _, server := range []string{"s0", "s1"} {
			for _, rc := range suspects {
				property.Assert(t, rc.recordCrash(server) == nil, qt.IsTrue)
			}
		}
		v.exchange()
		v.exchange()
		runsAt := map[string]string{}
		for _, rc := range suspects {
			lease, err := rc.owner.options.Fleet.Pick(rc.criteria())
			if errors.Is(err, fleet.ErrNone) {
				continue // It waits until another one has ended.
			}
			property.Assert(t, err, qt.IsNil)
			other, shared := runsAt[lease.Server.Name]
			property.Assert(t, shared && other != rc.generation.contentHash, qt.IsFalse, qt.Commentf("%s runs %s and %s", lease.Server.Name, other, rc.generation.contentHash))
			runsAt[lease.Server.Name] = rc.generation.contentHash
		}
		property.Assert(t, len(runsAt) > 0, qt.IsTrue)
	})
}

// TestSuspectsOfOneContentShareAServer has several VMs run a content under which servers crashed.
func TestSuspectsOfOneContentShareAServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := newVMs(4, 8, rapid.Uint64().Draw(t, "seed"))
		for i, rc := range []*recovery{v.run(0, "content"), v.run(1, "content")} {
			rc.recordCrash(fmt.Sprint("s", i))
		}
		v.exchange()
		v.exchange()
		servers := map[string]bool{}
		for vm := range v.owners {
			lease, err := v.owners[vm].options.Fleet.Pick(v.run(vm, "content").criteria())
			property.Assert(t, err, qt.IsNil)
			servers[lease.Server.Name] = true
		}
		property.Assert(t, servers, qt.HasLen, 1)
	})
}

// TestCrashesAtSeveralVMsBlockAContent has a content crash two servers at each of two VMs.
func TestCrashesAtSeveralVMsBlockAContent(t *testing.T) {
	v := newVMsAfterTwoCrashes(t, "content")
	second := v.run(1, "content")
	second.isolated = true
	qt.Assert(t, second.criteria().Suspicion, qt.Equals, 2)
	qt.Assert(t, second.recordCrash("s2") == nil, qt.IsTrue)
	qt.Assert(t, second.recordCrash("s3") != nil, qt.IsTrue)
	qt.Assert(t, v.blocked, qt.DeepEquals, map[string]time.Time{"content": v.at.Add(control.BlockedFor)})
}

// TestBlockedContentIsNotDispatched blocks the content, or a beginning of the prompt, of a generation
// that was accepted before. It waits for a server, or its stream is lost and can't be resumed.
func TestBlockedContentIsNotDispatched(t *testing.T) {
	for name, block := range map[string]func(v *vms){
		"content": func(v *vms) { v.owners[0].options.BlockContent("content") },
		"beginning": func(v *vms) {
			for i := range 5 {
				v.owners[0].recordTermination(v.run(0, fmt.Sprint("another ", i)).generation, fmt.Sprint("s", i))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for _, engineRequest := range []string{"", "g.1.1"} {
				v := newVMs(1, 8, 1)
				rc := v.run(0, "content")
				rc.generation.journal.Server, rc.generation.journal.EngineRequest = "unpublished", engineRequest
				block(v)
				c := rc.nextCandidate(context.Background())
				if errors.Is(c.err, engine.ErrGone) {
					c = rc.nextCandidate(context.Background())
				}
				if errors.Is(c.err, errBeginningBlocked) { // It waits for reports.
					v.at = v.at.Add(reportTime)
					c = rc.nextCandidate(context.Background())
				}
				var final *problem.Problem
				qt.Assert(t, errors.As(c.err, &final), qt.IsTrue, qt.Commentf("%v", c.err))
				qt.Check(t, final.Code, qt.Equals, problem.CrashesServers)
				qt.Check(t, final.RetryAt.After(v.at), qt.IsTrue)
			}
		})
	}
}

// TestContentThatPassesIsNoSuspectAtOtherVMs has a content run on at another VM than the one where
// servers crashed under it.
func TestContentThatPassesIsNoSuspectAtOtherVMs(t *testing.T) {
	v := newVMsAfterTwoCrashes(t, "content")
	second := v.run(1, "content")
	second.addTokens(dismissAfterTokens)
	v.exchange()
	for vm := range v.owners {
		qt.Check(t, v.run(vm, "content").criteria().Suspicion, qt.Equals, 0)
	}
}

// TestSuspectWaitsUntilOtherVMsKnowOfIt dispatches a content at once after the first crash, and after
// the second one only when the other VMs have the reports.
func TestSuspectWaitsUntilOtherVMsKnowOfIt(t *testing.T) {
	v := newVMs(2, 8, 1)
	rc := v.run(0, "content "+strings.Repeat("a", 64))
	qt.Assert(t, rc.dispatchableAt().After(v.at), qt.IsFalse)
	rc.recordCrash("s0")
	qt.Assert(t, rc.dispatchableAt().After(v.at), qt.IsFalse)
	rc.recordCrash("s1")
	qt.Assert(t, rc.dispatchableAt().After(v.at), qt.IsTrue)
	v.exchange()
	v.exchange()
	qt.Assert(t, rc.dispatchableAt().After(v.at), qt.IsFalse)
	qt.Assert(t, v.owners[1].options.Crashes.RecurringContents(), qt.HasLen, 1)
}

// TestRefusedSuspectWaitsForReports has the server refuse a content under which two others crashed.
func TestRefusedSuspectWaitsForReports(t *testing.T) {
	v := newVMsAfterTwoCrashes(t, "content")
	v.exchange()
	rc := v.run(1, "content")
	qt.Assert(t, rc.dispatchableAt().After(v.at), qt.IsFalse)
	c := rc.nextCandidate(context.Background()) // No server listens.
	qt.Assert(t, c.refused, qt.IsTrue, qt.Commentf("%v", c.err))
	qt.Assert(t, rc.dispatchableAt().After(v.at), qt.IsTrue)
	v.exchange()
	v.exchange()
	qt.Assert(t, rc.dispatchableAt().After(v.at), qt.IsFalse)
}

// TestHedgeOfASuspectWaitsForReports has two servers crash while the stream of a third may be resumed.
func TestHedgeOfASuspectWaitsForReports(t *testing.T) {
	v := newVMsAfterTwoCrashes(t, "content")
	rc := v.run(1, "content")
	qt.Assert(t, rc.hedgeDelay() > 0, qt.IsTrue)
	qt.Check(t, v.at.Add(rc.hedgeDelay()).Before(rc.dispatchableAt()), qt.IsFalse)
	v.exchange()
	qt.Check(t, rc.hedgeDelay(), qt.Equals, rc.owner.options.Timing.HedgeDelayLatency)
}
