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

	"github.com/endivespoke/endivespoke/internal/backend/engine"
	"github.com/endivespoke/endivespoke/internal/backend/fleet"
	"github.com/endivespoke/endivespoke/internal/config/object"
	"github.com/endivespoke/endivespoke/internal/node/control"
)

// slowServer answers every call with a status after a moment.
func slowServer(t *testing.T, status int, after time.Duration) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(after)
		w.WriteHeader(status)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// newTestOwner gives an owner of some servers, with a short head start.
func newTestOwner(set *object.Set) *Owner {
	servers := fleet.New(fleet.Options{Now: time.Now, Random: rand.New(rand.NewPCG(1, 1))})
	servers.Update(set)
	timing := DefaultTiming
	timing.HeadStartLatency = 10 * time.Millisecond
	return New(Options{
		Engines:  engine.New(http.DefaultClient),
		Fleet:    servers,
		Snapshot: func() *control.Snapshot { return &control.Snapshot{Set: set} },
		Logger:   hclog.NewNullLogger(),
		Now:      time.Now,
		Timing:   timing,
	})
}

// TestRaceOfResumeAndDispatch has both tries fail side by side, with the race
// detector watching what they share.
func TestRaceOfResumeAndDispatch(t *testing.T) {
	set := &object.Set{BackendServers: []object.BackendServer{
		{Name: "a", Address: slowServer(t, http.StatusInternalServerError, 15*time.Millisecond), Versions: []string{"v"}, MaxConcurrent: 1},
		{Name: "b", Address: slowServer(t, http.StatusServiceUnavailable, 20*time.Millisecond), Versions: []string{"v"}, MaxConcurrent: 1},
		{Name: "c", Address: slowServer(t, http.StatusServiceUnavailable, 20*time.Millisecond), Versions: []string{"v"}, MaxConcurrent: 1},
	}}
	o := newTestOwner(set)
	for range 10 {
		r := newTestRunning(3)
		r.owner = o
		r.journal.Spec.Version = "v"
		r.journal.Server, r.journal.EngineRequest = "a", "g.1.1"
		rc := &recovery{owner: o, running: r}
		found := rc.next(context.Background())
		qt.Assert(t, found.err, qt.IsNotNil)
		qt.Assert(t, rc.resumable(), qt.IsFalse)
	}
}

// TestRaceGoesElsewhere has the engine of a generation hang, with the prompt in
// its cache. It caught the raced dispatch choosing the same engine again, which
// made the output stand still for the dispatch limit as well.
func TestRaceGoesElsewhere(t *testing.T) {
	set := &object.Set{BackendServers: []object.BackendServer{
		{Name: "a", Address: slowServer(t, http.StatusOK, time.Second), Versions: []string{"v"}, MaxConcurrent: 8},
		{Name: "b", Address: slowServer(t, http.StatusOK, 0), Versions: []string{"v"}, MaxConcurrent: 8},
	}}
	o := newTestOwner(set)
	for range 10 {
		r := newTestRunning(3)
		r.owner = o
		r.journal.PromptTokens = []int{1}
		r.journal.Spec.Version = "v"
		r.journal.Spec.Prompt = strings.Repeat("wall ", 100)
		r.journal.Server, r.journal.EngineRequest = "a", "g.1.1"
		lease, err := o.options.Fleet.Pick(fleet.Criteria{Version: "v", Exclude: []string{"b"}, Prefix: r.prefix()})
		qt.Assert(t, err, qt.IsNil)
		lease.Release()
		rc := &recovery{owner: o, running: r}
		found := rc.next(context.Background())
		qt.Assert(t, found.err, qt.IsNil)
		qt.Assert(t, found.server, qt.Equals, "b")
		found.stream.Close()
	}
}

// TestThreeDeathsCondemnNobody kills three engines under one request, the last
// while it was apart. It caught an innocent request being given up when three
// of four engines failed within a second.
func TestThreeDeathsCondemnNobody(t *testing.T) {
	o := newTestOwner(&object.Set{})
	o.options.Condemn = func(string) {}
	rc := &recovery{owner: o, running: newTestRunning(3)}
	qt.Assert(t, rc.crashed("a") == nil, qt.IsTrue)
	qt.Assert(t, rc.crashed("b") == nil, qt.IsTrue)
	rc.suspectAlone = true
	qt.Assert(t, rc.crashed("c") == nil, qt.IsTrue)
	qt.Assert(t, rc.crashed("d") != nil, qt.IsTrue)
}
