package pool_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/placement"
	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/backend/reach"
)

// rig is a pool with a clock and a network that tests control.
type rig struct {
	*pool.Pool
	mu        sync.Mutex
	now       time.Time
	fails     map[string]error // By address.
	announced []string
	// onCheck is called on each check, if set.
	onCheck func(address string)
}

func newRig(servers ...pool.Server) *rig {
	return newRigWith(pool.Successors{}, servers...)
}

func newRigWith(successors pool.Successors, servers ...pool.Server) *rig {
	g := &rig{now: time.Unix(1000, 0), fails: map[string]error{}}
	g.Pool = pool.New(pool.Options{
		Now:        func() time.Time { g.mu.Lock(); defer g.mu.Unlock(); return g.now },
		Draw:       func() float64 { return 0 },
		Check:      g.check,
		Successors: successors,
		AnnounceLoss: func(s pool.Server, _ bool) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.announced = append(g.announced, s.ID)
		},
	})
	g.SetCapacities(map[string]pool.Capacity{"s": {CacheTokens: 100_000, SupportsCopies: true, SupportsMoves: true}})
	g.Update(servers)
	return g
}

// TestStreamOnAReplacedServerIsNotified: the server's machine lost power, so that the
// connection is idle, and another process has the address before any check. Checks
// succeed from then on, and a stream whose prompt is being processed has no event that
// could be overdue.
func TestStreamOnAReplacedServerIsNotified(t *testing.T) {
	old := pool.Server{ID: "a", Address: "h1:1", Service: "s", FailureDomain: "x", Started: 1}
	other := pool.Server{ID: "b", Address: "h2:1", Service: "s", FailureDomain: "y", Started: 1}
	g := newRig(old, other)
	onOld, _, err := g.AcquireForStream(pool.Criteria{Service: "s", ServerID: "a"})
	qt.Assert(t, err, qt.IsNil)
	withCopy, holder, err := g.AcquireForStream(pool.Criteria{Service: "s", ServerID: "b"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, holder.ID, qt.Equals, "a")
	successor := old
	successor.ID, successor.Started = "c", 2
	g.Update([]pool.Server{old, other, successor})
	qt.Check(t, isClosed(onOld.Down), qt.IsTrue)
	qt.Check(t, isClosed(withCopy.CopyLost), qt.IsTrue, qt.Commentf("its memory is lost with the process"))
	qt.Check(t, isClosed(withCopy.Down), qt.IsFalse)
	again := other
	again.Started = 3 // Another process under the same ID.
	g.Update([]pool.Server{successor, again})
	qt.Check(t, isClosed(withCopy.Down), qt.IsTrue)
}

// TestCheckThatIsThisVMsFailureIsNoLoss guards against sound servers that all VMs avoid since one is partitioned.
func TestCheckThatIsThisVMsFailureIsNoLoss(t *testing.T) {
	g := newRig(server("a", "x"), server("b", "y"))
	lease, _, err := g.AcquireForStream(pool.Criteria{Service: "s", ServerID: "a"})
	qt.Assert(t, err, qt.IsNil)
	g.fail("a:1", errors.Annotate(reach.ErrDoubtful, syscall.ECONNREFUSED.Error()))
	qt.Check(t, lease.Check(context.Background()), qt.IsFalse)
	qt.Check(t, lease.IsDown() || lease.IsGone(), qt.IsFalse)
	qt.Check(t, g.announced, qt.HasLen, 0)
	g.fail("a:1", syscall.ECONNREFUSED)
	qt.Check(t, lease.Check(context.Background()), qt.IsFalse)
	qt.Check(t, lease.IsGone(), qt.IsTrue)
	qt.Check(t, g.announced, qt.DeepEquals, []string{"a"})
}

func isClosed(signal chan struct{}) bool {
	select {
	case <-signal:
		return true
	default:
		return false
	}
}

func (g *rig) check(_ context.Context, address string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.onCheck != nil {
		g.onCheck(address)
	}
	return g.fails[address]
}

func (g *rig) pass(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.now = g.now.Add(d)
}

func (g *rig) fail(address string, cause error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fails[address] = cause
}

func server(id, domain string) pool.Server {
	return pool.Server{ID: id, Address: id + ":1", Service: "s", FailureDomain: domain, Slots: 4, Started: 1}
}

var criteria = pool.Criteria{Service: "s", Demand: placement.Demand{PromptTokens: 5000, OutputTokens: 1000}}

func TestLeavingServerGetsNoNewWork(t *testing.T) {
	leaving := server("a1", "a")
	leaving.Leaving = true
	g := newRig(leaving)
	_, _, err := g.AcquireForStream(criteria)
	qt.Assert(t, errors.Is(err, pool.ErrNone), qt.IsTrue)
	_, err = g.AcquireForCall("s", nil, pool.VersionRule{})
	qt.Assert(t, errors.Is(err, pool.ErrNone), qt.IsTrue)
}

func TestServerThatIsNoLongerListedGetsNoNewWork(t *testing.T) {
	g := newRig(server("a1", "a"))
	lease, err := g.AcquireForCall("s", nil, pool.VersionRule{})
	qt.Assert(t, err, qt.IsNil)
	g.Update(nil)
	_, err = g.AcquireForCall("s", nil, pool.VersionRule{})
	qt.Assert(t, errors.Is(err, pool.ErrNone), qt.IsTrue)
	lease.Release()
}

// TestStreamWhoseServerAndCopyLeaveIsMovedBefore removes several servers at once. A
// stream whose server and copy holder terminated within the same moment had its prompt
// processed again, with a pause of 1.3 to 1.9 s.
func TestStreamWhoseServerAndCopyLeaveIsMovedBefore(t *testing.T) {
	for _, how := range []string{"both report it", "one removes its entry"} {
		t.Run(how, func(t *testing.T) {
			listed := map[string]pool.Server{}
			for _, s := range []pool.Server{server("a1", "a"), server("b1", "b"), server("c1", "c")} {
				listed[s.ID] = s
			}
			update := func(g *rig) { g.Update(slices.Collect(maps.Values(listed))) }
			g := newRig()
			update(g)
			lease, copyHolder, err := g.AcquireForStream(pool.Criteria{Service: "s", Demand: placement.Demand{PromptTokens: 100}})
			qt.Assert(t, err, qt.IsNil)
			isSignalled := func() bool {
				select {
				case <-lease.CopyLost:
					return true
				default:
					return false
				}
			}
			leaving := listed[lease.Server.ID]
			leaving.Leaving = true
			listed[leaving.ID] = leaving
			update(g)
			qt.Assert(t, isSignalled(), qt.IsFalse) // It can be resumed from its copy.
			if holder := listed[copyHolder.ID]; how == "both report it" {
				holder.Leaving = true
				listed[holder.ID] = holder
			} else {
				delete(listed, holder.ID)
			}
			update(g)
			qt.Assert(t, isSignalled(), qt.IsTrue)
		})
	}
}

func TestLaterProcessSupersedesAnAddress(t *testing.T) {
	old, replacement := server("a1", "a"), server("a2", "a")
	replacement.Address, replacement.Started = old.Address, 2
	g := newRig(old, replacement)
	for range 4 {
		lease, _, err := g.AcquireForStream(criteria)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, lease.Server.ID, qt.Equals, "a2")
	}
}

func TestLossOfAServerIsAnnouncedToItsLeasesAndPeers(t *testing.T) {
	g := newRig(server("a1", "a"))
	lease, _, err := g.AcquireForStream(criteria)
	qt.Assert(t, err, qt.IsNil)
	lease.ReportUnreachable(syscall.ECONNREFUSED)
	select {
	case <-lease.Down:
	default:
		t.Fatal("the lease was not notified")
	}
	qt.Assert(t, g.announced, qt.DeepEquals, []string{"a1"})
}

// TestFailureDomainThatLostAServerIsSuspected has one server of a domain fail while
// nothing is known of the others. Neither streams nor copies are placed there until
// something is received from them.
func TestFailureDomainThatLostAServerIsSuspected(t *testing.T) {
	g := newRig(server("a1", "a"), server("a2", "a"), server("b1", "b"), server("c1", "c"))
	hangs := make(chan struct{})
	defer close(hangs)
	g.fail("a2:1", errors.New("i/o timeout"))
	g.ApplyPeerLoss("a1", true)
	for range 6 {
		lease, copyHolder, err := g.AcquireForStream(criteria)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, lease.Server.FailureDomain, qt.Not(qt.Equals), "a")
		qt.Assert(t, copyHolder.FailureDomain, qt.Not(qt.Equals), "a")
		lease.Release()
	}
	g.pass(10 * time.Second)
	_, err := g.AcquireForCall("s", map[string]bool{"a1": true, "b1": true, "c1": true}, pool.VersionRule{})
	qt.Assert(t, err, qt.IsNil, qt.Commentf("suspicion must end"))
}

// TestReportedLossCostsFewConnections simulates the loss of a failure domain of eighteen
// servers that a peer found: this VM checks those on which it has work, and no others.
func TestReportedLossCostsFewConnections(t *testing.T) {
	servers := []pool.Server{}
	for i := range 18 {
		servers = append(servers, server(fmt.Sprint("a", i), "a"))
	}
	checked := make(chan string, 100)
	g := newRigWith(pool.Successors{ListedAt: func() time.Time { return time.Unix(1_000_000, 0) }}, servers...)
	g.onCheck = func(address string) { checked <- address }
	lease, err := g.AcquireForCall("s", nil, pool.VersionRule{})
	qt.Assert(t, err, qt.IsNil)
	for _, s := range servers {
		g.fail(s.Address, syscall.ECONNREFUSED)
		g.ApplyPeerLoss(s.ID, true)
	}
	select {
	case <-lease.Down:
	case <-time.After(time.Second):
		t.Fatal("the lease was not notified")
	}
	for range 20 {
		g.pass(100 * time.Millisecond)
		g.Recheck(context.Background())
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, checked, qt.HasLen, 1)
}

// TestServerWhoseEntryStaysIsCheckedAgain: its process was gone for a moment only, and
// the platform lists it as before.
func TestServerWhoseEntryStaysIsCheckedAgain(t *testing.T) {
	g := newRigWith(pool.Successors{ListedAt: func() time.Time { return time.Unix(1_000_000, 0) }}, server("a1", "a"))
	lease, _, err := g.AcquireForStream(criteria)
	qt.Assert(t, err, qt.IsNil)
	lease.ReportUnreachable(syscall.ECONNREFUSED)
	lease.Release()
	for range 60 {
		g.pass(100 * time.Millisecond)
		g.Recheck(context.Background())
		time.Sleep(time.Millisecond)
	}
	up := g.Availability("s", pool.VersionRule{}).Up
	qt.Assert(t, up, qt.Equals, 1)
}

func TestLoadOfPeersCounts(t *testing.T) {
	g := newRig(server("a1", "a"), server("b1", "b"))
	g.MergePeerLoads("vm-2", []pool.Load{{ServerID: "a1", Running: 3}})
	lease, _, err := g.AcquireForStream(criteria)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, lease.Server.ID, qt.Equals, "b1")
	lease.Release()
	g.MergePeerLoads("vm-2", []pool.Load{{ServerID: "b1", Running: 3}})
	lease, _, err = g.AcquireForStream(criteria)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, lease.Server.ID, qt.Equals, "a1")
}

func TestReleasedWorkIsNotCounted(t *testing.T) {
	g := newRig(server("a1", "a"), server("b1", "b"))
	lease, _, err := g.AcquireForStream(criteria)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, g.Loads(), qt.HasLen, 2) // The stream, and its copy.
	lease.Release()
	lease.Release()
	qt.Assert(t, g.Loads(), qt.HasLen, 0)
}

// TestGreyServerGetsFewCalls simulates calls to three servers, one of which fails nearly
// half of them while it accepts connections.
func TestGreyServerGetsFewCalls(t *testing.T) {
	draws := []float64{0.1, 0.5, 0.9, 0.3, 0.7}
	next := 0
	p := pool.New(pool.Options{
		Now:   func() time.Time { return time.Unix(1000, 0) },
		Draw:  func() float64 { next++; return draws[next%len(draws)] },
		Check: func(context.Context, string) error { return nil },
	})
	p.Update([]pool.Server{server("a1", "a"), server("b1", "b"), server("c1", "c")})
	failed := 0
	const calls = 1000
	for i := range calls {
		lease, err := p.AcquireForCall("s", nil, pool.VersionRule{})
		qt.Assert(t, err, qt.IsNil)
		bad := lease.Server.ID == "a1" && i%2 == 0
		if bad {
			failed++
		}
		lease.RecordCall(15*time.Millisecond, bad)
		lease.Release()
	}
	// If failures were ignored, a sixth of the calls would fail.
	qt.Assert(t, failed < calls/20, qt.IsTrue, qt.Commentf("%d calls failed", failed))
}

// TestStreamOfAPlainServiceHasNoMemoryBound: a service without engines may stream too,
// and holds no copies.
func TestStreamOfAPlainServiceHasNoMemoryBound(t *testing.T) {
	g := newRig(server("a1", "a"), server("b1", "b"))
	g.SetCapacities(map[string]pool.Capacity{"s": {}})
	for range 10 {
		_, copyHolder, err := g.AcquireForStream(criteria)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, copyHolder, qt.IsNil)
	}
}
