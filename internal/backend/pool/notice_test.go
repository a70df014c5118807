package pool_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/lab/property"
)

// TestOwnReportOfAServerTakesPrecedence simulates a server whose processes start and
// terminate under one id, and whose state is reported by itself, by peers and by lists in
// any order, stale ones included. No process may get work after it reported that it is
// leaving.
func TestOwnReportOfAServerTakesPrecedence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newRig(server("other", "b"))
		reported := map[int64]bool{} // By start of the process.
		listed := func(started int64, leaving bool) []pool.Server {
			entry := server("a1", "a")
			entry.Started, entry.Leaving = started, leaving
			return []pool.Server{server("other", "b"), entry}
		}
		var chosen *pool.Lease
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			started := rapid.Int64Range(1, 3).Draw(t, "process")
			switch rapid.SampledFrom([]string{"list", "list", "gone", "say", "peer", "work", "wait"}).Draw(t, "step") {
			case "list":
				g.Update(listed(started, rapid.Bool().Draw(t, "leaving")))
			case "gone":
				g.Update(listed(started, false)[:1])
			case "say":
				if chosen != nil {
					g.ApplyNotice(chosen.Server, pool.ServerNotice{Leaving: true})
					reported[chosen.Server.Started] = true
				}
			case "peer":
				g.ApplyPeerDepartures([]pool.Departure{{ServerID: "a1", Started: started}})
				reported[started] = true
			case "wait":
				g.pass(time.Duration(rapid.IntRange(0, 3000).Draw(t, "millis")) * time.Millisecond)
			}
			lease, err := g.AcquireForCall("s", map[string]bool{"other": true}, pool.VersionRule{})
			if err != nil {
				continue
			}
			latest := int64(0)
			for process := range reported {
				latest = max(latest, process)
			}
			property.Assert(t, reported[lease.Server.Started] && lease.Server.Started == latest, qt.IsFalse,
				qt.Commentf("process %d got work after it reported that it is leaving", lease.Server.Started))
			chosen = lease
			lease.Release()
		}
	})
}

// TestNoticeAppliesToStreamsCopiesAndResumes: a server that is leaving or in backoff gets
// no new work of any kind.
func TestNoticeAppliesToStreamsCopiesAndResumes(t *testing.T) {
	for name, notice := range map[string]pool.ServerNotice{"leaving": {Leaving: true}, "in backoff": {BackoffUntil: time.Unix(1010, 0)}} {
		g := newRig(server("a1", "a"), server("b1", "b"), server("c1", "c"))
		lease, _, err := g.AcquireForStream(pool.Criteria{Service: "s", Demand: criteria.Demand, ServerID: "a1"})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, lease.Server.ID, qt.Equals, "a1")
		g.ApplyNotice(lease.Server, notice)
		for range 6 {
			lease, copyHolder, err := g.AcquireForStream(pool.Criteria{Service: "s", Demand: criteria.Demand, ServerID: "a1"})
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, lease.Server.ID != "a1" && copyHolder.ID != "a1", qt.IsTrue, qt.Commentf("%s: on %s, copy on %s", name, lease.Server.ID, copyHolder.ID))
		}
		qt.Check(t, g.AcceptsRequests(lease.Server), qt.Equals, name == "leaving")
	}
}

// TestBackoffEndsAtItsTime: a later deadline extends a backoff, an earlier one does not
// end it.
func TestBackoffEndsAtItsTime(t *testing.T) {
	g := newRig(server("a1", "a"), server("b1", "b"))
	for i, id := range []string{"a1", "b1"} {
		g.ApplyNotice(server(id, id[:1]), pool.ServerNotice{BackoffUntil: time.Unix(1002+int64(i), 0)})
	}
	g.ApplyNotice(server("a1", "a"), pool.ServerNotice{BackoffUntil: time.Unix(1001, 0)})
	availability := g.Availability("s", pool.VersionRule{})
	qt.Assert(t, availability, qt.DeepEquals, pool.Availability{Listed: 2, Up: 2, BackingOff: 2, BackoffUntil: time.Unix(1002, 0)})
	_, err := g.AcquireForCall("s", nil, pool.VersionRule{})
	qt.Assert(t, errors.Is(err, pool.ErrNone), qt.IsTrue)
	g.pass(2 * time.Second)
	lease, err := g.AcquireForCall("s", nil, pool.VersionRule{})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, lease.Server.ID, qt.Equals, "a1")
	qt.Assert(t, g.Availability("s", pool.VersionRule{}).BackoffUntil.IsZero(), qt.IsTrue)
	g.ApplyNotice(server("b1", "b"), pool.ServerNotice{BackoffUntil: time.Unix(1e9, 0)})
	g.pass(time.Hour + 2*time.Second)
	qt.Assert(t, fmt.Sprint(g.Availability("s", pool.VersionRule{}).BackingOff), qt.Equals, "0")
}
