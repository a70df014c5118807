package relay_test

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/backend/rollout"
	"github.com/endivespoke/endivespoke/internal/config/routing"
	"github.com/endivespoke/endivespoke/internal/request/relay"
)

// rolloutFake decides on versions in place of a rollout.Follower.
type rolloutFake struct {
	mu      sync.Mutex
	rules   map[rollout.Send]pool.VersionRule
	retired string // The version that is to keep no work; "" for none.
	sends   []rollout.Send
	results []rollout.Result
}

func (f *rolloutFake) choose(_ string, send rollout.Send) pool.VersionRule {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sends = append(f.sends, send)
	return f.rules[send]
}

func (f *rolloutFake) record(result rollout.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.results = append(f.results, result)
}

func (f *rolloutFake) isRetired(_, version string) (rule pool.VersionRule, retired bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return pool.VersionRule{Avoid: []string{f.retired}}, version == f.retired
}

// retire retires a version after a time.
func (f *rolloutFake) retire(version string, after time.Duration) {
	time.AfterFunc(after, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.retired = version
		f.rules = map[rollout.Send]pool.VersionRule{rollout.SendNew: avoid(version), rollout.SendAgain: avoid(version)}
	})
}

// ended waits for the results of this many sends.
func (f *rolloutFake) ended(t *testing.T, count int) []rollout.Result {
	t.Helper()
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		f.mu.Lock()
		results := slices.Clone(f.results)
		f.mu.Unlock()
		if len(results) >= count {
			qt.Assert(t, results, qt.HasLen, count)
			return results
		}
	}
	t.Fatalf("%d results were recorded, %d expected", len(f.results), count)
	return nil
}

func avoid(version string) pool.VersionRule {
	return pool.VersionRule{Avoid: []string{version}}
}

func prefer(version string) pool.VersionRule {
	return pool.VersionRule{Prefer: version}
}

// newVersionRig returns a rig whose servers have the version that follows the hyphen in their id.
func newVersionRig(t *testing.T, fake *rolloutFake, scripts map[string]script) *rig {
	g := newRig(t, scripts)
	for i, s := range g.listed {
		_, g.listed[i].Version, _ = strings.Cut(s.ID, "-")
	}
	g.servers.Update(g.listed)
	g.versions = relay.Versions{Choose: fake.choose, Record: fake.record, Retired: fake.isRetired}
	g.renews = true
	g.relay = g.vm(g.servers)
	return g
}

// versionsSeen returns the versions of the servers that requests arrived at, in order.
func (g *rig) versionsSeen() (versions []string) {
	for _, a := range g.seen() {
		_, version, _ := strings.Cut(a.server, "-")
		versions = append(versions, version)
	}
	return versions
}

func TestFailedCallIsRepeatedAtTheVersionOfTheRule(t *testing.T) {
	fake := &rolloutFake{rules: map[rollout.Send]pool.VersionRule{rollout.SendNew: prefer("new"), rollout.SendAgain: avoid("new")}}
	bad, good := respond(500, "bad"), respond(200, "good")
	g := newVersionRig(t, fake, map[string]script{"a-new": bad, "b-new": bad, "c-new": bad, "a-old": good})
	r := request(routing.KindIdempotent)
	r.Route.Name = "look"
	answer, err := g.relay.Call(context.Background(), r)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(answer.Body), qt.Equals, "good")
	qt.Check(t, g.versionsSeen(), qt.DeepEquals, []string{"new", "old"})
	qt.Check(t, fake.sends, qt.DeepEquals, []rollout.Send{rollout.SendNew, rollout.SendAgain})
	results := fake.ended(t, 2)
	qt.Check(t, results[0].Outcome, qt.Equals, rollout.Failed)
	qt.Check(t, results[0].Version, qt.Equals, "new")
	qt.Check(t, results[1].Outcome, qt.Equals, rollout.Answered)
	qt.Check(t, results[1].Route, qt.Equals, "look")
	qt.Check(t, results[1].Took > 0, qt.IsTrue)
}

func TestSlowCallIsHedgedAtTheVersionOfTheRule(t *testing.T) {
	fake := &rolloutFake{rules: map[rollout.Send]pool.VersionRule{rollout.SendNew: prefer("new"), rollout.SendAgain: avoid("new")}}
	g := newVersionRig(t, fake, map[string]script{"a-new": hang, "b-new": hang, "a-old": respond(200, "good")})
	r := request(routing.KindIdempotent)
	_, err := g.relay.Call(context.Background(), r)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, g.versionsSeen(), qt.DeepEquals, []string{"new", "old"})
	results := fake.ended(t, 2)
	slices.SortFunc(results, func(a, b rollout.Result) int { return strings.Compare(a.Version, b.Version) })
	qt.Check(t, results[0].Outcome, qt.Equals, rollout.Abandoned)
	qt.Check(t, results[0].Took > 0, qt.IsTrue)
	qt.Check(t, results[1].Outcome, qt.Equals, rollout.Answered)
}

func TestOutcomesOfCalls(t *testing.T) {
	unsigned := func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("whose?")) }
	cutOff := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "100")
		respond(200, "begun")(w, r)
		panic(http.ErrAbortHandler)
	}
	for name, c := range map[string]struct {
		run     script
		outcome rollout.Outcome
	}{
		"answer":            {respond(200, "good"), rollout.Answered},
		"rejected content":  {respond(404, "none"), rollout.Answered},
		"failure":           {respond(500, "bad"), rollout.Failed},
		"refusal":           {refuse, rollout.NoEvidence},
		"broken connection": {reset, rollout.NoEvidence},
		"truncated answer":  {cutOff, rollout.NoEvidence},
		"unsigned answer":   {unsigned, rollout.NoEvidence},
		"deadline":          {hang, rollout.Abandoned},
	} {
		t.Run(name, func(t *testing.T) {
			fake := &rolloutFake{}
			g := newVersionRig(t, fake, map[string]script{"a-old": c.run})
			r := request(routing.KindNonIdempotent)
			r.Deadline = r.Received.Add(300 * time.Millisecond)
			_, _ = g.relay.Call(context.Background(), r) // What the caller is told is not of interest here.
			qt.Check(t, fake.ended(t, 1)[0].Outcome, qt.Equals, c.outcome)
		})
	}
}

func TestColdServersAreNoEvidence(t *testing.T) {
	for name, run := range map[string]script{"answer": respond(200, "good"), "failure": respond(500, "bad")} {
		t.Run(name, func(t *testing.T) {
			fake := &rolloutFake{}
			g := newVersionRig(t, fake, map[string]script{"a-old": run})
			g.listed[0].Cold = true
			g.servers.Update(g.listed)
			_, err := g.relay.Call(context.Background(), request(routing.KindNonIdempotent))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, fake.ended(t, 1)[0].Outcome, qt.Equals, rollout.NoEvidence)
		})
	}
}

func TestOutcomesOfStreams(t *testing.T) {
	for name, c := range map[string]struct {
		run      script
		outcomes []rollout.Outcome
	}{
		"whole stream":               {events(5, complete), []rollout.Outcome{rollout.Answered}},
		"failure":                    {respond(500, "bad"), []rollout.Outcome{rollout.Failed}},
		"rejected content":           {respond(404, "none"), []rollout.Outcome{rollout.NoEvidence}},
		"refusal":                    {refuse, []rollout.Outcome{rollout.NoEvidence}},
		"broken before its events":   {reset, []rollout.Outcome{rollout.NoEvidence}},
		"broken after its first one": {events(3, abort), []rollout.Outcome{rollout.Answered}},
		"deadline":                   {hang, []rollout.Outcome{rollout.Abandoned}},
	} {
		t.Run(name, func(t *testing.T) {
			fake := &rolloutFake{}
			g := newVersionRig(t, fake, map[string]script{"a-old": c.run})
			r := request(routing.KindStreaming)
			r.Route.MaxAttempts = 1
			r.Deadline = r.Received.Add(300 * time.Millisecond)
			_ = g.relay.Stream(context.Background(), r, (&caller{}).sink()) // What the caller is told is not of interest here.
			results := fake.ended(t, len(fake.sends))
			for i, outcome := range c.outcomes {
				qt.Check(t, results[i].Outcome, qt.Equals, outcome)
			}
		})
	}
}

// newRetiringRig returns a rig with streams on two old servers, which send the second part of their events
// after a pause in which the version is retired, and two new ones.
func newRetiringRig(t *testing.T, fake *rolloutFake, second func(http.ResponseWriter)) *rig {
	old := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerLast) == "" {
			events(10, complete)(w, r)
			time.Sleep(700 * time.Millisecond)
			second(w)
			r.Header.Set(headerLast, "10")
		}
		events(30, complete)(w, r)
	}
	fake.retire("old", 100*time.Millisecond)
	return newVersionRig(t, fake, map[string]script{"a-old": old, "b-old": old, "a-new": events(30, complete), "b-new": events(30, complete)})
}

func TestStreamThatHasBegunStaysAtARetiredVersion(t *testing.T) {
	for _, c := range []struct {
		name     string
		capacity pool.Capacity
	}{
		{"servers move streams", pool.Capacity{CacheTokens: 100_000, SupportsCopies: true, SupportsMoves: true}},
		{"servers move no streams", pool.Capacity{CacheTokens: 100_000, SupportsCopies: true}},
		{"servers keep no copies", pool.Capacity{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			fake := &rolloutFake{rules: map[rollout.Send]pool.VersionRule{rollout.SendNew: prefer("old")}}
			heldBack := atomic.Int32{}
			var g *rig
			g = newRetiringRig(t, fake, func(http.ResponseWriter) { heldBack.Store(int32(g.servers.OldWork("s", "new"))) })
			g.servers.SetCapacities(map[string]pool.Capacity{"s": c.capacity})
			got := &caller{}
			r := request(routing.KindStreaming)
			r.Route.GapObjective = longGapObjective()
			qt.Assert(t, g.relay.Stream(context.Background(), r, got.sink()), qt.IsNil)
			qt.Check(t, got.words(), qt.Equals, wordsTo(30))
			qt.Check(t, g.versionsSeen(), qt.DeepEquals, []string{"old"})
			qt.Check(t, g.moves, qt.HasLen, 0)
			qt.Check(t, g.retries.Usage().Retries, qt.Equals, 0)
			qt.Check(t, heldBack.Load() > 0, qt.IsTrue, qt.Commentf("the roll-out must not be completed before it has ended"))
			qt.Check(t, g.servers.OldWork("s", "new"), qt.Equals, 0)
		})
	}
}

func TestInterruptedStreamOfARetiredVersionGoesOnThere(t *testing.T) {
	fake := &rolloutFake{rules: map[rollout.Send]pool.VersionRule{rollout.SendNew: prefer("old")}}
	g := newRetiringRig(t, fake, func(http.ResponseWriter) { abort() })
	got := &caller{}
	r := request(routing.KindStreaming)
	r.Route.GapObjective = longGapObjective()
	qt.Assert(t, g.relay.Stream(context.Background(), r, got.sink()), qt.IsNil)
	qt.Check(t, got.words(), qt.Equals, wordsTo(30))
	qt.Check(t, g.versionsSeen(), qt.DeepEquals, []string{"old", "old"})
}

// TestStreamThatMayNotBeResumedStaysOnARetiredVersion checks that it isn't cut, and holds the
// completion of the roll-out back.
func TestStreamThatMayNotBeResumedStaysOnARetiredVersion(t *testing.T) {
	fake := &rolloutFake{rules: map[rollout.Send]pool.VersionRule{rollout.SendNew: prefer("old")}}
	var g *rig
	heldBack := atomic.Int32{}
	run := func(w http.ResponseWriter, r *http.Request) {
		events(5, complete)(w, r)
		time.Sleep(2 * time.Second)
		heldBack.Store(int32(g.servers.OldWork("s", "new")))
		r.Header.Set(headerLast, "5")
		events(12, complete)(w, r)
	}
	g = newVersionRig(t, fake, map[string]script{"a-old": run, "b-old": run, "a-new": run, "b-new": run})
	fake.retire("old", 50*time.Millisecond)
	got := &caller{}
	r := request(routing.KindStreaming)
	r.Route.Resumable = false
	qt.Assert(t, g.relay.Stream(context.Background(), r, got.sink()), qt.IsNil)
	qt.Check(t, got.words(), qt.Equals, wordsTo(12))
	qt.Check(t, g.versionsSeen(), qt.DeepEquals, []string{"old"})
	qt.Check(t, heldBack.Load() > 0, qt.IsTrue)
}
