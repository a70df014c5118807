package pool_test

import (
	"context"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
)

// successorRig has one server that crashes and is restarted under a new id, and a list
// that was last current at listedAt.
type successorRig struct {
	*rig
	listedAt time.Time // The list is always current if it is zero.
	found    chan string
	requests chan bool
	lease    *pool.Lease
	// duringRequest runs while the id is being requested, if set.
	duringRequest func()
}

const addressKept = 2 * time.Second

func newSuccessorRig(t *testing.T) *successorRig {
	g := &successorRig{found: make(chan string, 1), requests: make(chan bool, 8)}
	g.rig = newRigWith(pool.Successors{
		Identify: func(context.Context, pool.Server) (string, error) {
			g.requests <- true
			if g.duringRequest != nil {
				g.duringRequest()
			}
			return "a1-again", nil
		},
		ListedAt: func() time.Time {
			g.mu.Lock()
			defer g.mu.Unlock()
			if g.listedAt.IsZero() {
				return g.now
			}
			return g.listedAt
		},
		AddressReuseDelay: addressKept,
		OnFound:           func(_, successor pool.Server, _ time.Duration) { g.found <- successor.ID },
	}, server("a1", "a"))
	g.listedAt = g.now
	lease, _, err := g.AcquireForStream(criteria)
	qt.Assert(t, err, qt.IsNil)
	g.lease = lease
	g.pass(10 * time.Second) // The store is unavailable.
	g.recheckFor(100 * time.Millisecond)
	lease.RecordActivity()
	return g
}

// crash terminates the server and restarts it after the downtime.
func (g *successorRig) crash(downtime time.Duration) {
	g.fail("a1:1", syscall.ECONNREFUSED)
	g.lease.ReportUnreachable(syscall.ECONNREFUSED)
	g.lease.Release()
	g.recheckFor(downtime)
	g.fail("a1:1", nil)
}

// recheckFor advances the clock with a recheck each 100 ms, as the VM does. Checks run in
// goroutines, so each step waits a moment for them.
func (g *successorRig) recheckFor(d time.Duration) {
	for ; d > 0; d -= 100 * time.Millisecond {
		g.pass(100 * time.Millisecond)
		g.Recheck(context.Background())
		time.Sleep(5 * time.Millisecond)
	}
}

func (g *successorRig) isFound() bool {
	select {
	case <-g.found:
		return true
	case <-time.After(50 * time.Millisecond):
		return false
	}
}

func (g *successorRig) streamServer() string {
	lease, _, err := g.AcquireForStream(criteria)
	if err != nil {
		return ""
	}
	defer lease.Release()
	return lease.Server.ID
}

func TestRestartedServerIsFoundWhileTheListIsOld(t *testing.T) {
	g := newSuccessorRig(t)
	g.crash(time.Second)
	g.recheckFor(500 * time.Millisecond)
	qt.Assert(t, g.isFound(), qt.IsTrue)
	qt.Assert(t, g.streamServer(), qt.Equals, "a1-again")
	g.Update([]pool.Server{server("a1", "a")}) // The list as before.
	qt.Assert(t, g.streamServer(), qt.Equals, "a1-again")
}

// TestSuccessorThatIsFoundMayBeListedAtOnce guards against a data race: the list changes the server while
// the search reports it. Nothing may order the two here, so that the race detector sees it.
func TestSuccessorThatIsFoundMayBeListedAtOnce(t *testing.T) {
	g := newSuccessorRig(t)
	g.crash(time.Second)
	g.recheckFor(500 * time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	listed := server("a1", "a")
	listed.ID = "a1-again"
	g.Update([]pool.Server{listed})
	qt.Assert(t, g.streamServer(), qt.Equals, "a1-again")
}

func TestServerAtAnAddressThatMayBeReusedIsNotFound(t *testing.T) {
	g := newSuccessorRig(t)
	g.crash(addressKept)
	g.recheckFor(time.Second)
	qt.Assert(t, g.isFound(), qt.IsFalse)
	qt.Assert(t, g.requests, qt.HasLen, 0)
}

func TestServerIsNotQueriedWhileTheListIsCurrent(t *testing.T) {
	g := newSuccessorRig(t)
	g.listedAt = time.Time{}
	g.crash(500 * time.Millisecond)
	g.recheckFor(400 * time.Millisecond)
	qt.Assert(t, g.requests, qt.HasLen, 0)
}

// TestPauseInvalidatesEarlierActivity has this process paused between the sending of what
// the old server sent and the reading of it.
func TestPauseInvalidatesEarlierActivity(t *testing.T) {
	g := newSuccessorRig(t)
	g.pass(3 * time.Second)
	g.Recheck(context.Background())
	g.lease.RecordActivity()
	g.crash(time.Second)
	g.recheckFor(500 * time.Millisecond)
	qt.Assert(t, g.isFound(), qt.IsFalse)
}

// TestPauseDuringTheRequestInvalidatesItsAnswer has this process paused while it waits
// for the id; it reads what the old server sent before anything else.
func TestPauseDuringTheRequestInvalidatesItsAnswer(t *testing.T) {
	g := newSuccessorRig(t)
	g.duringRequest = func() {
		g.pass(3 * time.Second)
		g.lease.RecordActivity()
	}
	g.crash(time.Second)
	g.recheckFor(500 * time.Millisecond)
	qt.Assert(t, g.requests, qt.HasLen, 1)
	qt.Assert(t, g.isFound(), qt.IsFalse)
}

func TestFoundServerIsDroppedIfTheCurrentListLacksIt(t *testing.T) {
	g := newSuccessorRig(t)
	g.crash(time.Second)
	g.recheckFor(500 * time.Millisecond)
	qt.Assert(t, g.isFound(), qt.IsTrue)
	g.recheckFor(5 * time.Second) // The store stays unavailable.
	qt.Assert(t, g.streamServer(), qt.Equals, "a1-again")
	g.listedAt = g.now
	g.Update(nil)
	g.recheckFor(pool.ExpiryGrace)
	qt.Assert(t, g.streamServer(), qt.Equals, "a1-again")
	g.listedAt = g.now.Add(time.Millisecond)
	g.recheckFor(100 * time.Millisecond)
	qt.Assert(t, g.streamServer(), qt.Equals, "")
}

func TestPeerReportsARestartedServer(t *testing.T) {
	g := newSuccessorRig(t)
	g.ApplyPeerSuccessor("a1", "a1-again")
	qt.Assert(t, g.streamServer(), qt.Equals, "a1-again")
	g = newSuccessorRig(t)
	g.listedAt = g.now
	g.ApplyPeerSuccessor("a1", "a1-again")
	qt.Assert(t, g.streamServer(), qt.Equals, "a1", qt.Commentf("the list is current and has the old process"))
}

// TestFoundServerKeepsItsWorkWhenItIsListed: leases from before the listing are notified
// of a loss.
func TestFoundServerKeepsItsWorkWhenItIsListed(t *testing.T) {
	g := newSuccessorRig(t)
	g.crash(time.Second)
	g.recheckFor(500 * time.Millisecond)
	qt.Assert(t, g.isFound(), qt.IsTrue)
	lease, _, err := g.AcquireForStream(criteria)
	qt.Assert(t, err, qt.IsNil)
	listed := server("a1-again", "a")
	listed.Address, listed.Started = "a1:1", 77
	g.Update([]pool.Server{listed})
	g.fail("a1:1", syscall.ECONNREFUSED)
	again, _, err := g.AcquireForStream(criteria)
	qt.Assert(t, err, qt.IsNil)
	again.ReportUnreachable(syscall.ECONNREFUSED)
	select {
	case <-lease.Down:
	default:
		t.Fatal("the earlier lease was not notified")
	}
}
