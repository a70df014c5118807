package owner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/endivespoke/endivespoke/internal/backend/engine"
	"github.com/endivespoke/endivespoke/internal/caller/problem"
	"github.com/endivespoke/endivespoke/internal/lab/property"
	"github.com/endivespoke/endivespoke/internal/peer/gossip"
)

const (
	crashingContent = "crashing"
	tick            = 100 * time.Millisecond
	tokensPerTick   = 7
	// crashingTime is the time within which a crashing content must be blocked.
	crashingTime = 60 * time.Second
)

// play runs generations of several VMs on engines that never return once they have crashed.
type play struct {
	*vms
	random  *rand.Rand
	begins  bool // All prompts begin alike.
	runs    []*playedRun
	crashed map[string]bool
	refused []string // Harmless generations that were given up.
}

// playedRun is a generation, which waits for a server while server is "".
type playedRun struct {
	*recovery
	vm      int
	content string
	server  string
	left    int // Tokens until it ends.
	done    bool
}

func (p *play) start(vm int, content string, tokens int) *playedRun {
	r := &playedRun{recovery: p.newRecovery(vm, content), vm: vm, content: content, left: tokens}
	p.runs = append(p.runs, r)
	return r
}

// tokens draws the length of a harmless generation.
func (p *play) tokens() int {
	return 20 + p.random.IntN(180)
}

func (p *play) newRecovery(vm int, content string) *recovery {
	rc := p.run(vm, content)
	if !p.begins {
		rc.generation.spec.Prompt = content
	}
	return rc
}

// dispatch is what dispatchOrPause does, without a network.
func (p *play) dispatch(r *playedRun) {
	if r.dispatchableAt().After(p.at) {
		return
	}
	err := r.checkNotBlocked()
	if errors.Is(err, errBeginningBlocked) {
		return
	}
	if err != nil {
		p.end(r, err)
		return
	}
	criteria := r.criteria()
	lease, err := r.owner.options.Fleet.Pick(criteria)
	if err != nil {
		r.excluded = nil
		return
	}
	c := candidate{server: lease.Server.Name, lease: lease, isolated: criteria.Suspicion >= isolateAfterCrashes}
	if p.crashed[c.server] {
		lease.Release()
		c.refused, c.err = true, errors.Trace(engine.ErrBroken)
		r.recordResult(c)
		return
	}
	r.server = c.server
	r.beginDispatch(c)
}

// crash ends the server of a run and all runs there.
func (p *play) crash(server string) {
	p.crashed[server] = true
	for _, r := range p.runs {
		if r.server != server {
			continue
		}
		r.server, r.engineLost, r.excluded = "", true, []string{server}
		r.owner.serverFailed(server, engine.ErrBroken)
		if final := r.recordCrash(server); final != nil {
			p.end(r, final)
		}
	}
}

func (p *play) end(r *playedRun, final error) {
	r.release()
	r.server, r.done = "", true
	if r.content != crashingContent {
		p.refused = append(p.refused, fmt.Sprintf("%s, %d crashes: %v", r.content, len(r.generation.journal.Crashes), final))
	}
}

// step lets a tick pass.
func (p *play) step() {
	p.at = p.at.Add(tick)
	if p.at.UnixMilli()%gossip.HeartbeatInterval.Milliseconds() == 0 {
		p.merge()
	}
	for _, i := range p.random.Perm(len(p.runs)) {
		r := p.runs[i]
		switch {
		case r.done:
		case r.server == "":
			p.dispatch(r)
		case r.content == crashingContent:
			p.crash(r.server)
		default:
			p.progress(r)
		}
	}
}

// progress adds tokens to a harmless run. Another one follows it.
func (p *play) progress(r *playedRun) {
	r.addTokens(tokensPerTick)
	if r.left -= tokensPerTick; r.left > 0 {
		return
	}
	r.owner.options.Crashes.Completed(r.generation.traits()...)
	r.owner.recordCrashes(r.content, nil)
	r.release()
	r.content += "'"
	r.recovery, r.server, r.left = p.newRecovery(r.vm, r.content), "", p.tokens()
}

// TestCrashingContentLosesFewEnginesBesideOthers sends a content that crashes engines to several VMs at
// once, beside harmless ones at all VMs.
func TestCrashingContentLosesFewEnginesBesideOthers(t *testing.T) {
	playCrashingContent(t, false)
}

// TestHarmlessGenerationsThatBeginLikeACrashingOneComplete does so where all prompts begin alike.
func TestHarmlessGenerationsThatBeginLikeACrashingOneComplete(t *testing.T) {
	playCrashingContent(t, true)
}

func playCrashingContent(t *testing.T, begins bool) {
	rapid.Check(t, func(t *rapid.T) {
		vmCount := rapid.IntRange(1, 4).Draw(t, "vms")
		allowed := max(blockAfterCrashes, 2*vmCount+1)
		servers := allowed + rapid.IntRange(2, 6).Draw(t, "more servers")
		seed := rapid.Uint64().Draw(t, "seed")
		p := &play{vms: newVMs(vmCount, servers, seed), random: rand.New(rand.NewPCG(seed, 0)), begins: begins, crashed: map[string]bool{}}
		for vm := range vmCount {
			for i := range rapid.IntRange(0, 10).Draw(t, "harmless") {
				p.start(vm, fmt.Sprintf("harmless %d.%d", vm, i), p.tokens())
			}
		}
		for range 10 {
			p.step()
		}
		crashing := []*playedRun{}
		for vm := range vmCount {
			crashing = append(crashing, p.start(vm, crashingContent, 0))
		}
		ended := func() bool {
			for _, r := range crashing {
				if !r.done {
					return false
				}
			}
			return true
		}
		for until := p.at.Add(crashingTime); !ended() && p.at.Before(until); {
			p.step()
		}
		property.Assert(t, ended(), qt.IsTrue, qt.Commentf("%d engines lost, and the content is not blocked", len(p.crashed)))
		property.Assert(t, len(p.crashed) <= allowed, qt.IsTrue, qt.Commentf("%d engines lost, %d allowed", len(p.crashed), allowed))
		property.Assert(t, p.refused, qt.HasLen, 0)
	})
}

// TestSuspectsGetServersThatDidNotCrash has two to four contents under which three of eight servers crashed.
func TestSuspectsGetServersThatDidNotCrash(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := newVMs(2, 8, rapid.Uint64().Draw(t, "seed"))
		suspects := []*recovery{}
		for i := range rapid.IntRange(2, 4).Draw(t, "suspects") {
			suspects = append(suspects, v.run(i%2, fmt.Sprint("content ", i, rapid.Uint64().Draw(t, "content"))))
		}
		for _, server := range []string{"s0", "s1", "s2"} {
			for _, rc := range suspects {
				property.Assert(t, rc.recordCrash(server) == nil, qt.IsTrue)
			}
		}
		v.exchange()
		v.exchange()
		for _, rc := range suspects {
			lease, err := rc.owner.options.Fleet.Pick(rc.criteria())
			property.Assert(t, err, qt.IsNil)
			property.Assert(t, lease.Server.Name > "s2", qt.IsTrue, qt.Commentf("%s", lease.Server.Name))
		}
	})
}

// TestBlockedContentsLeaveServersToOtherSuspects has seven contents blocked after crashes of the same servers.
func TestBlockedContentsLeaveServersToOtherSuspects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := newVMs(2, 8, rapid.Uint64().Draw(t, "seed"))
		rc := v.run(0, "content")
		contents := []*recovery{rc}
		for i := range 7 {
			contents = append(contents, v.run(1, fmt.Sprint("blocked ", i, rapid.Uint64().Draw(t, "content"))))
		}
		for _, server := range []string{"s0", "s1"} {
			for _, each := range contents {
				property.Assert(t, each.recordCrash(server) == nil, qt.IsTrue)
			}
		}
		for _, each := range contents[1:] {
			each.owner.options.BlockContent(each.generation.contentHash)
		}
		v.exchange()
		v.exchange()
		lease, err := rc.owner.options.Fleet.Pick(rc.criteria())
		property.Assert(t, err, qt.IsNil)
		property.Assert(t, lease.Server.Name > "s1", qt.IsTrue)
	})
}

// TestContentWithThreeCrashesIsNeverDispatchedAsHarmless has no server free of other suspects.
func TestContentWithThreeCrashesIsNeverDispatchedAsHarmless(t *testing.T) {
	v := newVMsAfterTwoCrashes(t, "content")
	rc := v.run(0, "content")
	rc.recordCrash("s2")
	for range 20 {
		qt.Assert(t, rc.criteria().Suspicion >= isolateAfterCrashes, qt.IsTrue, qt.Commentf("after %v", v.at))
		v.at = v.at.Add(isolationWait)
	}
	rc.isolated = rc.criteria().Suspicion >= isolateAfterCrashes
	final := rc.recordCrash("s3")
	qt.Assert(t, final != nil, qt.IsTrue)
	qt.Check(t, final.Code, qt.Equals, problem.CrashesServers)
}
