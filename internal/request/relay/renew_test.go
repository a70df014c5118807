package relay_test

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/config/routing"
)

// untilStopped sends 10 events, goes on until stop is closed, and ends. A run that goes on
// from a copy completes.
func untilStopped(stop chan struct{}, end func()) script {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerCopy) != "" {
			events(30, complete)(w, r)
			return
		}
		events(10, complete)(w, r)
		<-stop
		end()
	}
}

// newRenewingRig has servers whose first run goes on until stop is closed and then ends
// as end says. Runs that go on from a copy complete.
func newRenewingRig(t *testing.T, stop chan struct{}, end func()) *rig {
	run := untilStopped(stop, end)
	g := newRig(t, map[string]script{"a1": run, "b1": run, "c1": run, "d1": run})
	g.renews = true
	g.relay = g.vm(g.servers)
	return g
}

// patient is a stream whose silence is no sign of a loss.
func patient() time.Duration { return 20 * time.Second }

// TestLostCopyIsRenewedWithoutAPause: the holder of the copy is lost, and later the server.
// The stream goes on from the renewed copy, and its run was not stopped for it.
func TestLostCopyIsRenewedWithoutAPause(t *testing.T) {
	for name, faults := range map[string]int{"at once": 0, "after a refusal": 1} {
		t.Run(name, func(t *testing.T) {
			stop := make(chan struct{})
			g := newRenewingRig(t, stop, abort)
			g.copyFaults = faults
			time.AfterFunc(100*time.Millisecond, func() { g.servers.ApplyPeerLoss(g.seen()[0].backup, true) })
			time.AfterFunc(900*time.Millisecond, func() { close(stop) })
			c := &caller{}
			r := request(routing.KindStreaming)
			r.Route.GapObjective = patient()
			qt.Assert(t, g.relay.Stream(context.Background(), r, c.sink()), qt.IsNil)
			qt.Assert(t, c.words(), qt.Equals, wordsTo(30))
			seen, calls := g.seen(), g.copyCalls()
			qt.Assert(t, seen, qt.HasLen, 2)
			qt.Assert(t, g.moves, qt.HasLen, 0)
			qt.Assert(t, calls, qt.HasLen, 1+faults)
			qt.Assert(t, calls[faults], qt.Equals, seen[0].server+" "+seen[1].server)
			qt.Assert(t, seen[1].copied, qt.Equals, "copy of r1")
			qt.Assert(t, seen[1].server, qt.Not(qt.Equals), seen[0].backup)
		})
	}
}

// TestRenewedCopyIsKeptUpToDateAndFreed: the copy is renewed at the same holder while the
// stream runs, at another one if that is lost too, and freed at the stream's end.
func TestRenewedCopyIsKeptUpToDateAndFreed(t *testing.T) {
	stop := make(chan struct{})
	g := newRenewingRig(t, stop, complete)
	time.AfterFunc(100*time.Millisecond, func() { g.servers.ApplyPeerLoss(g.seen()[0].backup, true) })
	time.AfterFunc(2200*time.Millisecond, func() {
		_, holder, _ := strings.Cut(g.copyCalls()[0], " ")
		g.servers.ApplyPeerLoss(holder, true)
	})
	time.AfterFunc(2700*time.Millisecond, func() { close(stop) })
	c := &caller{}
	r := request(routing.KindStreaming)
	r.Route.GapObjective = patient()
	qt.Assert(t, g.relay.Stream(context.Background(), r, c.sink()), qt.IsNil)
	qt.Assert(t, c.words(), qt.Equals, wordsTo(10))
	for end := time.Now().Add(time.Second); !slices.Contains(g.copyCalls(), "free copy of r1") && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	calls := g.copyCalls()
	qt.Assert(t, calls, qt.HasLen, 4, qt.Commentf("%v", calls))
	qt.Assert(t, calls[1], qt.Equals, calls[0])
	qt.Assert(t, calls[2], qt.Not(qt.Equals), calls[0])
	qt.Assert(t, calls[3], qt.Equals, "free copy of r1")
	qt.Assert(t, g.seen(), qt.HasLen, 1)
	qt.Assert(t, g.servers.Loads(), qt.HasLen, 0)
}

// TestServerThatRestsIsNotAskedToFreeACopy: it wants no requests at all.
func TestServerThatRestsIsNotAskedToFreeACopy(t *testing.T) {
	stop := make(chan struct{})
	g := newRenewingRig(t, stop, complete)
	time.AfterFunc(100*time.Millisecond, func() { g.servers.ApplyPeerLoss(g.seen()[0].backup, true) })
	time.AfterFunc(500*time.Millisecond, func() {
		for _, s := range g.listed {
			g.servers.ApplyNotice(s, pool.ServerNotice{BackoffUntil: time.Now().Add(time.Minute)})
		}
		close(stop)
	})
	r := request(routing.KindStreaming)
	r.Route.GapObjective = patient()
	qt.Assert(t, g.relay.Stream(context.Background(), r, (&caller{}).sink()), qt.IsNil)
	time.Sleep(300 * time.Millisecond)
	calls := g.copyCalls()
	qt.Assert(t, calls, qt.HasLen, 1, qt.Commentf("%v", calls))
}
