package pool_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/placement"
	"github.com/endivespoke/endivespoke/internal/backend/pool"
)

var demandOfTest = placement.Demand{PromptTokens: 40_000, OutputTokens: 2000}

// TestNewStreamNeedsHeadroom fills two servers. A further new stream gets ErrNoHeadroom until one ends, a
// stream that has run before goes to a full server.
func TestNewStreamNeedsHeadroom(t *testing.T) {
	g := newRig(pool.Server{ID: "a", Address: "h1:1", Service: "s", FailureDomain: "x", Slots: 8}, pool.Server{ID: "b", Address: "h2:1", Service: "s", FailureDomain: "x", Slots: 8})
	criteria := pool.Criteria{Service: "s", Demand: demandOfTest, RequireHeadroom: true, FirstEventBy: g.now.Add(time.Minute), Account: "acme"}
	leases := []*pool.Lease{}
	for range 4 {
		lease, _, err := g.AcquireForStream(criteria)
		qt.Assert(t, err, qt.IsNil)
		leases = append(leases, lease)
	}
	qt.Check(t, g.Headroom("s", pool.Need{Demand: demandOfTest, FirstEventBy: criteria.FirstEventBy}), qt.Equals, pool.Headroom{FreeTokens: 6000})
	qt.Check(t, g.HeldByAccount("s"), qt.DeepEquals, map[string]int{"acme": 4 * 42_000})
	_, _, err := g.AcquireForStream(criteria)
	qt.Assert(t, errors.Is(err, pool.ErrNoHeadroom), qt.IsTrue, qt.Commentf("%v", err))
	resumed, _, err := g.AcquireForStream(pool.Criteria{Service: "s", Demand: demandOfTest})
	qt.Assert(t, err, qt.IsNil)
	resumed.Release()
	leases[0].Release()
	again, _, err := g.AcquireForStream(criteria)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, again.Server.ID, qt.Equals, leases[0].Server.ID)
}

// TestHeadroomIsNoCriterionWithoutServers: servers that are down, a service without servers and a
// stream larger than any server get the same answer as without RequireHeadroom.
func TestHeadroomIsNoCriterionWithoutServers(t *testing.T) {
	g := newRig(pool.Server{ID: "a", Address: "h1:1", Service: "s", FailureDomain: "x", Slots: 8})
	large := pool.Criteria{Service: "s", Demand: placement.Demand{PromptTokens: 200_000}, RequireHeadroom: true}
	_, _, err := g.AcquireForStream(large)
	qt.Check(t, errors.Is(err, pool.ErrNone), qt.IsTrue)
	_, _, err = g.AcquireForStream(pool.Criteria{Service: "other", RequireHeadroom: true})
	qt.Check(t, errors.Is(err, pool.ErrNone), qt.IsTrue)
	lease, _, err := g.AcquireForStream(pool.Criteria{Service: "s", Demand: demandOfTest})
	qt.Assert(t, err, qt.IsNil)
	lease.ReportUnreachable(errors.New("refused"))
	_, _, err = g.AcquireForStream(pool.Criteria{Service: "s", Demand: demandOfTest, RequireHeadroom: true})
	qt.Check(t, err, qt.IsNil, qt.Commentf("a server that is down may be back"))
}

// TestHeadroomLearnsFromStreams: the time to a first event tells how fast prompts are read, and the
// time to the end how fast memory is freed. A stream whose prompt would be read after its first
// event is due has no headroom then.
func TestHeadroomLearnsFromStreams(t *testing.T) {
	g := newRig(pool.Server{ID: "a", Address: "h1:1", Service: "s", FailureDomain: "x", Slots: 8})
	g.SetCapacities(map[string]pool.Capacity{"s": {CacheTokens: 15_000}})
	short := placement.Demand{PromptTokens: 4000, OutputTokens: 1000}
	first, _, err := g.AcquireForStream(pool.Criteria{Service: "s", Demand: short, RequireHeadroom: true})
	qt.Assert(t, err, qt.IsNil)
	g.now = g.now.Add(time.Second)
	first.MarkStarted()
	g.now = g.now.Add(3 * time.Second)
	first.Release()
	second, _, err := g.AcquireForStream(pool.Criteria{Service: "s", Demand: short, RequireHeadroom: true, FirstEventBy: g.now.Add(1900 * time.Millisecond)})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, g.Headroom("s", pool.Need{Demand: short, FirstEventBy: g.now.Add(2600 * time.Millisecond)}), qt.Equals, pool.Headroom{Streams: 1, FreedPerSecond: 1250, FreeTokens: 8500})
	_, _, err = g.AcquireForStream(pool.Criteria{Service: "s", Demand: short, RequireHeadroom: true, FirstEventBy: g.now.Add(1900 * time.Millisecond)})
	qt.Check(t, errors.Is(err, pool.ErrNoHeadroom), qt.IsTrue, qt.Commentf("%v", err))
	second.Release()
}

// TestHeadroomSignal: the end of a stream here, and reports of peers, signal headroom.
func TestHeadroomSignal(t *testing.T) {
	signals := 0
	p := pool.New(pool.Options{Now: time.Now, Draw: func() float64 { return 0 }, OnHeadroom: func() { signals++ }})
	p.Update([]pool.Server{{ID: "a", Address: "h1:1", Service: "s", FailureDomain: "x", Slots: 8}})
	lease, _, err := p.AcquireForStream(pool.Criteria{Service: "s"})
	qt.Assert(t, err, qt.IsNil)
	lease.Release()
	qt.Check(t, signals, qt.Equals, 1)
	p.MergePeerLoads("peer", nil)
	p.ForgetPeers([]string{"peer"})
	qt.Check(t, signals, qt.Equals, 3)
}

// TestStreamWithoutCopy: it has no holder, and is not told that it lost one.
func TestStreamWithoutCopy(t *testing.T) {
	g := newRig(pool.Server{ID: "a", Address: "h1:1", Service: "s", FailureDomain: "x", Slots: 8}, pool.Server{ID: "b", Address: "h2:1", Service: "s", FailureDomain: "y", Slots: 8})
	lease, holder, err := g.AcquireForStream(pool.Criteria{Service: "s", Demand: demandOfTest, WithoutCopy: true})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, holder, qt.IsNil)
	qt.Check(t, isClosed(lease.CopyLost), qt.IsFalse)
}

// TestLargeStreamReservesHeadroom: small streams leave it no headroom on any of two servers, until it
// reserves some. They see less headroom there then, and it begins when enough of them have ended.
func TestLargeStreamReservesHeadroom(t *testing.T) {
	g := newRig(pool.Server{ID: "a", Address: "h1:1", Service: "s", FailureDomain: "x", Slots: 8}, pool.Server{ID: "b", Address: "h2:1", Service: "s", FailureDomain: "x", Slots: 8})
	small := pool.Criteria{Service: "s", Demand: placement.Demand{PromptTokens: 25_000}, RequireHeadroom: true}
	large := pool.Criteria{Service: "s", Demand: placement.Demand{PromptTokens: 50_000}, RequireHeadroom: true}
	qt.Assert(t, g.Reserve(large), qt.IsNil, qt.Commentf("it is not known what is usual"))
	leases := map[string][]*pool.Lease{}
	for range 6 {
		lease, _, err := g.AcquireForStream(small)
		qt.Assert(t, err, qt.IsNil)
		g.now = g.now.Add(time.Second)
		lease.MarkStarted()
		leases[lease.Server.ID] = append(leases[lease.Server.ID], lease)
	}
	leases["a"][0].Release()
	qt.Check(t, g.Reserve(small), qt.IsNil)
	large.Reservation = g.Reserve(large)
	qt.Assert(t, large.Reservation, qt.IsNotNil)
	for range 2 {
		_, _, err := g.AcquireForStream(small)
		qt.Assert(t, errors.Is(err, pool.ErrNoHeadroom), qt.IsTrue, qt.Commentf("%v", err))
		_, _, err = g.AcquireForStream(large)
		qt.Assert(t, errors.Is(err, pool.ErrNoHeadroom), qt.IsTrue, qt.Commentf("%v", err))
	}
	leases["a"][1].Release()
	lease, _, err := g.AcquireForStream(large)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, lease.Server.ID, qt.Equals, "a")
	large.Reservation.Release()
	lease.Release()
	leases["a"][2].Release()
	qt.Check(t, g.Loads(), qt.HasLen, 1, qt.Commentf("nothing is left reserved"))
}

// TestHeadroomIsUnboundedWithoutServers: streams that wait are told that headroom is no criterion in the same
// cases as those that arrive.
func TestHeadroomIsUnboundedWithoutServers(t *testing.T) {
	g := newRig(pool.Server{ID: "a", Address: "h1:1", Service: "s", FailureDomain: "x", Slots: 8})
	need := pool.Need{Demand: demandOfTest}
	qt.Check(t, g.Headroom("s", need).Unbounded, qt.IsFalse)
	qt.Check(t, g.Headroom("s", pool.Need{Demand: placement.Demand{PromptTokens: 200_000}}).Unbounded, qt.IsTrue)
	qt.Check(t, g.Headroom("other", need).Unbounded, qt.IsTrue)
	lease, _, err := g.AcquireForStream(pool.Criteria{Service: "s", Demand: demandOfTest})
	qt.Assert(t, err, qt.IsNil)
	lease.ReportUnreachable(errors.New("refused"))
	qt.Check(t, g.Headroom("s", need).Unbounded, qt.IsTrue)
}

// TestReservationsLeaveEachOtherHeadroom: two large streams that each fill most of a server don't reserve
// the same one, where neither could begin.
func TestReservationsLeaveEachOtherHeadroom(t *testing.T) {
	g := newRig(pool.Server{ID: "a", Address: "h1:1", Service: "s", FailureDomain: "x", Slots: 8})
	usual, _, err := g.AcquireForStream(pool.Criteria{Service: "s", Demand: placement.Demand{PromptTokens: 25_000}, RequireHeadroom: true})
	qt.Assert(t, err, qt.IsNil)
	usual.MarkStarted()
	usual.Release()
	large := pool.Criteria{Service: "s", Demand: placement.Demand{PromptTokens: 50_000}, RequireHeadroom: true}
	first := large
	first.Reservation = g.Reserve(large)
	qt.Assert(t, first.Reservation, qt.IsNotNil)
	qt.Check(t, g.Reserve(large), qt.IsNil)
	lease, _, err := g.AcquireForStream(first)
	qt.Assert(t, err, qt.IsNil, qt.Commentf("the server is empty"))
	lease.Release()
	second := g.Reserve(large)
	qt.Assert(t, second, qt.IsNotNil)
	second.Release()
	g.MergePeerLoads("peer", []pool.Load{{ServerID: "a", MemoryTokens: 50_000, ReservedTokens: 50_000}})
	qt.Check(t, g.Reserve(large), qt.IsNil, qt.Commentf("a peer's reservation"))
	g.ForgetPeers([]string{"peer"})
	qt.Check(t, g.Reserve(large), qt.IsNotNil)
	qt.Check(t, g.Loads(), qt.DeepEquals, []pool.Load{{ServerID: "a", MemoryTokens: 50_000, ReservedTokens: 50_000}})
}

// TestReservationOfALostServerEnds: its stream may then reserve on another one, and nothing is left
// reserved on the first.
func TestReservationOfALostServerEnds(t *testing.T) {
	g := newRig(pool.Server{ID: "a", Address: "h1:1", Service: "s", FailureDomain: "x", Slots: 8}, pool.Server{ID: "b", Address: "h2:1", Service: "s", FailureDomain: "y", Slots: 8})
	small := pool.Criteria{Service: "s", Demand: placement.Demand{PromptTokens: 25_000}}
	large := pool.Criteria{Service: "s", Demand: placement.Demand{PromptTokens: 50_000}, RequireHeadroom: true}
	leases := map[string]*pool.Lease{}
	for range 6 {
		lease, _, err := g.AcquireForStream(small)
		qt.Assert(t, err, qt.IsNil)
		g.now = g.now.Add(time.Second)
		lease.MarkStarted()
		leases[lease.Server.ID] = lease
	}
	leases["a"].Release()
	large.Reservation = g.Reserve(large)
	qt.Assert(t, large.Reservation.IsHeld(), qt.IsTrue)
	leases["a"].Release()
	other, _, err := g.AcquireForStream(pool.Criteria{Service: "s", Demand: placement.Demand{PromptTokens: 10}, ServerID: "a"})
	qt.Assert(t, err, qt.IsNil)
	other.ReportUnreachable(errors.New("connection refused"))
	_, _, err = g.AcquireForStream(large)
	qt.Assert(t, errors.Is(err, pool.ErrNoHeadroom), qt.IsTrue, qt.Commentf("%v", err))
	qt.Check(t, large.Reservation.IsHeld(), qt.IsFalse)
	large.Reservation = g.Reserve(large)
	qt.Check(t, large.Reservation.IsHeld(), qt.IsTrue)
}

// TestHeadroomTellsOfTheLargestFreePart: a stream that does not fit waits for the rest only.
func TestHeadroomTellsOfTheLargestFreePart(t *testing.T) {
	g := newRig(pool.Server{ID: "a", Address: "h1:1", Service: "s", FailureDomain: "x", Slots: 8}, pool.Server{ID: "b", Address: "h2:1", Service: "s", FailureDomain: "x", Slots: 8})
	for _, tokens := range []int{30_000, 20_000} {
		_, _, err := g.AcquireForStream(pool.Criteria{Service: "s", Demand: placement.Demand{PromptTokens: tokens}})
		qt.Assert(t, err, qt.IsNil)
	}
	headroom := g.Headroom("s", pool.Need{Demand: placement.Demand{PromptTokens: 80_000}})
	qt.Check(t, headroom.Streams, qt.Equals, 0)
	qt.Check(t, headroom.FreeTokens, qt.Equals, 70_000)
}

// TestSlotsAreCountedInStreams: a long prompt that is being read takes one slot, also if a peer has sent
// it, however short the prompts are that come next.
func TestSlotsAreCountedInStreams(t *testing.T) {
	g := newRig(pool.Server{ID: "a", Address: "h1:1", Service: "s", FailureDomain: "x", Slots: 4})
	need := pool.Need{Demand: placement.Demand{PromptTokens: 100}}
	g.MergePeerLoads("peer", []pool.Load{{ServerID: "a", Pending: 1, PendingTokens: 5000, MemoryTokens: 6000}})
	qt.Check(t, g.Headroom("s", need).Streams, qt.Equals, 3)
	_, _, err := g.AcquireForStream(pool.Criteria{Service: "s", Demand: placement.Demand{PromptTokens: 5000}, RequireHeadroom: true})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, g.Headroom("s", need).Streams, qt.Equals, 2)
	qt.Check(t, g.Loads(), qt.DeepEquals, []pool.Load{{ServerID: "a", Pending: 1, PendingTokens: 5000, MemoryTokens: 5000}})
	g.ForgetPeers([]string{"peer"})
	qt.Check(t, g.Headroom("s", need).Streams, qt.Equals, 3)
}
