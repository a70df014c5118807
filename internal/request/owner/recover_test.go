package owner

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/engine"
	"github.com/endivespoke/endivespoke/internal/backend/fleet"
	"github.com/endivespoke/endivespoke/internal/caller/problem"
	"github.com/endivespoke/endivespoke/internal/config/object"
	"github.com/endivespoke/endivespoke/internal/node/control"
)

// newSlowServer starts a server that answers every call with a status after a
// delay.
func newSlowServer(t *testing.T, status int, after time.Duration) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(after)
		w.WriteHeader(status)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// newTestOwner returns an owner of the servers in set, with a short hedge delay.
func newTestOwner(set *object.Set) *Owner {
	servers := fleet.New(fleet.Options{Now: time.Now, Random: rand.New(rand.NewPCG(1, 1))})
	servers.Update(set)
	timing := DefaultTiming
	timing.HedgeDelayLatency = 10 * time.Millisecond
	return New(Options{
		Engines:  engine.New(http.DefaultClient),
		Fleet:    servers,
		Snapshot: func() *control.Snapshot { return &control.Snapshot{Set: set} },
		Logger:   hclog.NewNullLogger(),
		Now:      time.Now,
		Timing:   timing,
	})
}

// TestRaceOfResumeAndDispatch has both a resume and a dispatch fail concurrently,
// so that the race detector can check the state that they share.
func TestRaceOfResumeAndDispatch(t *testing.T) {
	set := &object.Set{BackendServers: []object.BackendServer{
		{Name: "a", Address: newSlowServer(t, http.StatusInternalServerError, 15*time.Millisecond), Versions: []string{"v"}, MaxConcurrent: 1},
		{Name: "b", Address: newSlowServer(t, http.StatusServiceUnavailable, 20*time.Millisecond), Versions: []string{"v"}, MaxConcurrent: 1},
		{Name: "c", Address: newSlowServer(t, http.StatusServiceUnavailable, 20*time.Millisecond), Versions: []string{"v"}, MaxConcurrent: 1},
	}}
	o := newTestOwner(set)
	for range 10 {
		g := newTestGeneration(3)
		g.owner = o
		g.journal.PromptTokens = []int{1} // Otherwise no dispatch could continue the answer.
		g.journal.Spec.Version = "v"
		g.journal.Server, g.journal.EngineRequest = "a", "g.1.1"
		rc := &recovery{owner: o, generation: g}
		found := rc.nextCandidate(context.Background())
		qt.Assert(t, found.err, qt.IsNotNil)
		qt.Assert(t, rc.resumable(), qt.IsFalse)
	}
}

// TestRaceGoesElsewhere guards against a raced dispatch that goes to the engine
// that hangs. That engine has the prompt in its cache, so that affinity prefers
// it, and the output then stands still for the dispatch timeout as well.
func TestRaceGoesElsewhere(t *testing.T) {
	set := &object.Set{BackendServers: []object.BackendServer{
		{Name: "a", Address: newSlowServer(t, http.StatusOK, time.Second), Versions: []string{"v"}, MaxConcurrent: 8},
		{Name: "b", Address: newSlowServer(t, http.StatusOK, 0), Versions: []string{"v"}, MaxConcurrent: 8},
	}}
	o := newTestOwner(set)
	for range 10 {
		g := newTestGeneration(3)
		g.owner = o
		g.journal.PromptTokens = []int{1}
		g.journal.Spec.Version = "v"
		g.journal.Spec.Prompt = strings.Repeat("wall ", 100)
		g.journal.Server, g.journal.EngineRequest = "a", "g.1.1"
		lease, err := o.options.Fleet.Pick(fleet.Criteria{Version: "v", Exclude: []string{"b"}, Prefix: g.prefix()})
		qt.Assert(t, err, qt.IsNil)
		lease.Release()
		rc := &recovery{owner: o, generation: g}
		found := rc.nextCandidate(context.Background())
		qt.Assert(t, found.err, qt.IsNil)
		qt.Assert(t, found.server, qt.Equals, "b")
		found.stream.Close()
	}
}

// TestSilentEngineKeepsAGenerationThatNoOtherCanContinue guards against giving up a generation whose
// engine is silent for longer than a resume may take, when no other engine can go on: the engine
// still runs it. An engine that does not know it any more has lost it.
func TestSilentEngineKeepsAGenerationThatNoOtherCanContinue(t *testing.T) {
	for _, c := range []struct {
		name   string
		silent time.Duration
		status int
		lost   bool
	}{
		{"silent once", 700 * time.Millisecond, http.StatusOK, false},
		{"not known any more", 0, http.StatusNotFound, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			silentUntil := time.Now().Add(c.silent)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(time.Until(silentUntil))
				w.WriteHeader(c.status)
			}))
			defer server.Close()
			o := newTestOwner(&object.Set{BackendServers: []object.BackendServer{
				{Name: "a", Address: strings.TrimPrefix(server.URL, "http://"), Versions: []string{"v"}, MaxConcurrent: 8},
				{Name: "b", Address: newSlowServer(t, http.StatusOK, 0), Versions: []string{"v"}, MaxConcurrent: 8},
			}})
			g := newTestGeneration(3)
			g.owner = o
			g.journal.Spec.Version = "v"
			g.journal.Server, g.journal.EngineRequest = "a", "g.1.1"
			rc := &recovery{owner: o, generation: g, lostAt: time.Now()}
			var found candidate
			for range 20 {
				if found = rc.nextCandidate(context.Background()); found.err == nil || !rc.resumable() {
					break
				}
			}
			if c.lost {
				qt.Assert(t, rc.resumable(), qt.IsFalse)
				return
			}
			qt.Assert(t, found.err, qt.IsNil)
			qt.Check(t, found.server, qt.Equals, "a")
			found.stream.Close()
		})
	}
}

// TestSilentEngineKeepsAnAnswerOfItsSoftwareVersion guards against giving an answer up because its engine,
// the last of its software version and leaving, is silent for a moment.
func TestSilentEngineKeepsAnAnswerOfItsSoftwareVersion(t *testing.T) {
	silentUntil := time.Now().Add(700 * time.Millisecond)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(time.Until(silentUntil))
		w.WriteHeader(http.StatusOK)
	}))
	defer server.Close()
	o := newTestOwner(&object.Set{BackendServers: []object.BackendServer{
		{Name: "a", Address: strings.TrimPrefix(server.URL, "http://"), Versions: []string{"v"}, MaxConcurrent: 8, SoftwareVersion: "1.0", State: object.ServerLeaving},
		{Name: "b", Address: newSlowServer(t, http.StatusOK, 0), Versions: []string{"v"}, MaxConcurrent: 8, SoftwareVersion: "1.1"},
	}})
	g := newTestGeneration(3)
	g.owner = o
	g.journal.PromptTokens = []int{1}
	g.journal.SoftwareVersion = "1.0"
	g.journal.Spec.Version = "v"
	g.journal.Server, g.journal.EngineRequest = "a", "g.1.1"
	rc := &recovery{owner: o, generation: g, lostAt: time.Now()}
	var found candidate
	for range 20 {
		if found = rc.nextCandidate(context.Background()); found.err == nil || !rc.resumable() {
			break
		}
	}
	qt.Assert(t, found.err, qt.IsNil)
	qt.Check(t, found.server, qt.Equals, "a")
	found.stream.Close()
}

// TestServerWithOtherSoftwareIsNotResumed guards against the stream of a server that was published again
// with other software under its name.
func TestServerWithOtherSoftwareIsNotResumed(t *testing.T) {
	for _, c := range []struct {
		version string // Of the weights that the server has.
		code    problem.Code
	}{
		{"v", problem.RestartRequired},
		{"w", problem.NoServer},
	} {
		o := newTestOwner(&object.Set{BackendServers: []object.BackendServer{
			{Name: "a", Address: newSlowServer(t, http.StatusOK, 0), Versions: []string{c.version}, MaxConcurrent: 8, SoftwareVersion: "1.1"},
		}})
		g := newTestGeneration(3)
		g.owner = o
		g.journal.PromptTokens = []int{1}
		g.journal.SoftwareVersion = "1.0"
		g.journal.Spec.Version = "v"
		g.journal.Server, g.journal.EngineRequest = "a", "g.1.1"
		rc := &recovery{owner: o, generation: g, lostAt: time.Now()}
		_, err := rc.connect(context.Background())
		var final *problem.Problem
		qt.Assert(t, errors.As(err, &final), qt.IsTrue)
		qt.Check(t, final.Code, qt.Equals, c.code)
		qt.Check(t, final.Outcome, qt.Equals, problem.Failed)
	}
}

// TestThreeCrashesDoNotBlock guards against blocking a harmless request when three
// of four engines fail within a second: three engines crash under one request, the
// last of them while it is isolated.
func TestThreeCrashesDoNotBlock(t *testing.T) {
	o := newTestOwner(&object.Set{})
	o.options.BlockContent = func(string) {}
	rc := &recovery{owner: o, generation: newTestGeneration(3)}
	qt.Assert(t, rc.recordCrash("a") == nil, qt.IsTrue)
	qt.Assert(t, rc.recordCrash("b") == nil, qt.IsTrue)
	rc.isolated = true
	qt.Assert(t, rc.recordCrash("c") == nil, qt.IsTrue)
	qt.Assert(t, rc.recordCrash("d") != nil, qt.IsTrue)
}
