package pool_test

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
)

// TestEndIsRecognizedHoweverItIsLearned cuts a run at a server, and has this VM learn of the
// server's end, or of its being well, in each way and order.
func TestEndIsRecognizedHoweverItIsLearned(t *testing.T) {
	server := pool.Server{ID: "a", Address: "h1:1", Service: "s", FailureDomain: "x", Started: 1}
	other := pool.Server{ID: "b", Address: "h2:1", Service: "s", FailureDomain: "y", Started: 1}
	successor := server
	successor.ID, successor.Started = "a2", 2
	sameID := server
	sameID.Started = 2
	wait := func(g *rig, pause time.Duration) { g.mu.Lock(); defer g.mu.Unlock(); g.now = g.now.Add(pause) }
	check := func(g *rig, lease *pool.Lease, failure error) {
		g.mu.Lock()
		g.fails[server.Address] = failure
		g.mu.Unlock()
		lease.Check(context.Background())
	}
	cases := []struct {
		name  string
		ended bool
		after func(g *rig, lease *pool.Lease)
	}{
		{"nothing is known", false, func(*rig, *pool.Lease) {}},
		{"a check finds it down", true, func(g *rig, l *pool.Lease) { check(g, l, syscall.ECONNREFUSED) }},
		{"a check times out", true, func(g *rig, l *pool.Lease) { check(g, l, context.DeadlineExceeded) }},
		{"a check finds it up", false, func(g *rig, l *pool.Lease) { check(g, l, nil) }},
		{"it is well first, and down later", false, func(g *rig, l *pool.Lease) {
			check(g, l, nil)
			wait(g, time.Second)
			check(g, l, syscall.ECONNREFUSED)
		}},
		{"a peer tells of its end", true, func(g *rig, l *pool.Lease) {
			l.Release()
			g.ApplyPeerLoss("a", true)
		}},
		{"it is back at once, and listed later", true, func(g *rig, l *pool.Lease) {
			check(g, l, nil)
			wait(g, time.Second)
			g.Update([]pool.Server{server, successor, other})
		}},
		{"it is back at once under the same id", true, func(g *rig, l *pool.Lease) {
			check(g, l, nil)
			wait(g, time.Second)
			g.Update([]pool.Server{sameID, other})
		}},
		{"a request finds another process there", true, func(g *rig, l *pool.Lease) {
			check(g, l, nil)
			l.MarkReplaced()
		}},
		{"it answers others, and is replaced later", false, func(g *rig, l *pool.Lease) {
			wait(g, time.Second)
			l.RecordCall(time.Millisecond, false)
			g.Update([]pool.Server{server, successor, other})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newRig(server, other)
			lease, _, err := g.AcquireForStream(pool.Criteria{Service: "s", ServerID: "a"})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, lease.Server.ID, qt.Equals, "a")
			cutAt := g.now
			wait(g, time.Millisecond)
			c.after(g, lease)
			qt.Assert(t, g.HasTerminated(server, cutAt), qt.Equals, c.ended)
		})
	}
}

// TestServersThatAreLostTogetherAreToldFromOthers loses some of the servers of a failure
// domain within a second.
func TestServersThatAreLostTogetherAreToldFromOthers(t *testing.T) {
	for _, c := range []struct{ servers, lost, want int }{
		{1, 1, 0}, {2, 2, 0}, {3, 2, 0}, {3, 3, 3}, {6, 3, 0}, {6, 4, 4}, {6, 6, 6},
	} {
		listed := []pool.Server{{ID: "other", Address: "h:1", Service: "s", FailureDomain: "y"}}
		for i := range c.servers {
			listed = append(listed, pool.Server{ID: fmt.Sprint(i), Address: fmt.Sprint("h:", 10+i), Service: "s", FailureDomain: "x"})
		}
		g := newRig(listed...)
		for i := range c.lost {
			g.ApplyPeerLoss(fmt.Sprint(i), true)
		}
		qt.Check(t, g.CorrelatedLosses(listed[1]), qt.Equals, c.want, qt.Commentf("%d of %d", c.lost, c.servers))
		for i := range c.lost { // All are back at their addresses.
			listed = append(listed, listed[1+i])
			listed[len(listed)-1].ID += "-again"
			listed[len(listed)-1].Started = 1
		}
		g.Update(listed)
		qt.Check(t, g.CorrelatedLosses(listed[1]), qt.Equals, c.want, qt.Commentf("%d of %d, once they are back", c.lost, c.servers))
	}
}
