package relay_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/placement"
	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/backend/rollout"
	"github.com/endivespoke/endivespoke/internal/config/routing"
	"github.com/endivespoke/endivespoke/internal/request/admission"
	"github.com/endivespoke/endivespoke/internal/request/relay"
)

// largeDemand leaves no headroom for a second stream of its kind on a server of these tests.
var largeDemand = placement.Demand{PromptTokens: 60_000, OutputTokens: 1000}

// admit lets the rig's relay admit new streams.
func (g *rig) admit() {
	g.admitter = admission.NewAdmitter(admission.AdmitterOptions{
		Now:  time.Now,
		Draw: func() float64 { return 0.5 },
		Headroom: func(service string, stream admission.Stream) admission.Headroom {
			demand := placement.Demand{PromptTokens: stream.PromptTokens, OutputTokens: stream.OutputTokens}
			return admission.Headroom(g.servers.Headroom(service, pool.Need{Demand: demand, FirstEventBy: stream.FirstEventBy}))
		},
		Held:       g.servers.HeldByAccount,
		OnChange:   func() {},
		OnAdmitted: func(string, time.Time) {},
		OnRefused:  func(string, admission.Reason) {},
	})
	g.relay = g.vm(g.servers)
}

func largeRequest(objective time.Duration) *relay.Request {
	r := request(routing.KindStreaming)
	r.Demand, r.Route.LatencyObjective = largeDemand, objective
	return r
}

// TestNewStreamIsRefusedWithoutHeadroom fills the only server. A new stream waits for half of its
// objective, and is refused without having been sent.
func TestNewStreamIsRefusedWithoutHeadroom(t *testing.T) {
	g := newRig(t, map[string]script{"a1": events(3, complete)})
	g.admit()
	other, _, err := g.servers.AcquireForStream(pool.Criteria{Service: "s", Demand: largeDemand})
	qt.Assert(t, err, qt.IsNil)
	defer other.Release()
	c := &caller{}
	err = g.relay.Stream(context.Background(), largeRequest(100*time.Millisecond), c.sink())
	var refusal *relay.NotRun
	qt.Assert(t, errors.As(err, &refusal), qt.IsTrue, qt.Commentf("%v", err))
	qt.Check(t, refusal.Kind, qt.Equals, relay.RefusalNoHeadroom)
	qt.Check(t, refusal.RetryAt.IsZero(), qt.IsFalse)
	qt.Check(t, g.seen(), qt.HasLen, 0)
}

// TestNewStreamWaitsForHeadroom: it is sent once the stream ends that fills the only server.
func TestNewStreamWaitsForHeadroom(t *testing.T) {
	g := newRig(t, map[string]script{"a1": events(3, complete)})
	g.admit()
	other, _, err := g.servers.AcquireForStream(pool.Criteria{Service: "s", Demand: largeDemand})
	qt.Assert(t, err, qt.IsNil)
	time.AfterFunc(50*time.Millisecond, other.Release)
	c := &caller{}
	qt.Assert(t, g.relay.Stream(context.Background(), largeRequest(time.Minute), c.sink()), qt.IsNil)
	qt.Check(t, c.words(), qt.Equals, wordsTo(3))
}

// TestContinuedStreamNeedsNoHeadroom: a caller that returns for the rest of its stream is sent to a
// full server.
func TestContinuedStreamNeedsNoHeadroom(t *testing.T) {
	g := newRig(t, map[string]script{"a1": events(3, complete)})
	g.admit()
	other, _, err := g.servers.AcquireForStream(pool.Criteria{Service: "s", Demand: largeDemand})
	qt.Assert(t, err, qt.IsNil)
	defer other.Release()
	r := largeRequest(100 * time.Millisecond)
	r.LastEventID = "1"
	c := &caller{}
	qt.Assert(t, g.relay.Stream(context.Background(), r, c.sink()), qt.IsNil)
	qt.Check(t, c.words(), qt.Equals, "word2 word3")
}

// TestCallerThatLeavesFreesItsPlace: a caller that leaves while it waits is not sent, and nothing
// waits any more.
func TestCallerThatLeavesFreesItsPlace(t *testing.T) {
	g := newRig(t, map[string]script{"a1": events(3, complete)})
	g.admit()
	other, _, err := g.servers.AcquireForStream(pool.Criteria{Service: "s", Demand: largeDemand})
	qt.Assert(t, err, qt.IsNil)
	defer other.Release()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	c := &caller{}
	err = g.relay.Stream(ctx, largeRequest(time.Minute), c.sink())
	var refusal *relay.NotRun
	qt.Assert(t, errors.As(err, &refusal), qt.IsTrue, qt.Commentf("%v", err))
	qt.Check(t, g.admitter.Len(), qt.Equals, 0)
	qt.Check(t, g.seen(), qt.HasLen, 0)
}

// TestStreamThatIsBlockedWhileItWaitsIsNotSent: servers crash under a part of its prompt while it
// waits for headroom.
func TestStreamThatIsBlockedWhileItWaitsIsNotSent(t *testing.T) {
	g := newRig(t, map[string]script{"a1": events(3, complete)})
	g.admit()
	other, _, err := g.servers.AcquireForStream(pool.Criteria{Service: "s", Demand: largeDemand})
	qt.Assert(t, err, qt.IsNil)
	time.AfterFunc(30*time.Millisecond, func() {
		g.blockPart()
		other.Release()
	})
	r := requestWithPart(routing.KindStreaming)
	r.Demand, r.Route.LatencyObjective = largeDemand, time.Minute
	c := &caller{}
	err = g.relay.Stream(context.Background(), r, c.sink())
	var refusal *relay.NotRun
	qt.Assert(t, errors.As(err, &refusal), qt.IsTrue, qt.Commentf("%v", err))
	qt.Check(t, refusal.Kind, qt.Equals, relay.RefusalPart)
	qt.Check(t, g.seen(), qt.HasLen, 0)
}

// TestWaitingStreamsAreSentWhenTheCellIsDown: the only server of the VM's cell is full, and then
// lost, while a stream waits. Servers of other cells are up and take it.
func TestWaitingStreamsAreSentWhenTheCellIsDown(t *testing.T) {
	g := newRig(t, map[string]script{"a1": events(3, complete), "a2": events(3, complete)})
	g.servers.SetCell(0, 2)
	g.admit()
	other, _, err := g.servers.AcquireForStream(pool.Criteria{Service: "s", Demand: largeDemand})
	qt.Assert(t, err, qt.IsNil)
	defer other.Release()
	time.AfterFunc(30*time.Millisecond, func() { other.ReportUnreachable(errors.New("connection refused")) })
	c := &caller{}
	qt.Assert(t, g.relay.Stream(context.Background(), largeRequest(2*time.Second), c.sink()), qt.IsNil)
	qt.Check(t, c.words(), qt.Equals, wordsTo(3))
	qt.Check(t, g.seen(), qt.HasLen, 1)
}

// TestWaitingStreamFollowsTheRollOut: the version that a stream was to go to is rolled back while it
// waits for headroom. It goes to the other one.
func TestWaitingStreamFollowsTheRollOut(t *testing.T) {
	g := newRig(t, map[string]script{"a1": events(3, complete), "b1": events(3, complete)})
	for i := range g.listed {
		g.listed[i].Version = map[string]string{"a1": "v2", "b1": "v1"}[g.listed[i].ID]
	}
	g.servers.Update(g.listed)
	var isRolledBack atomic.Bool
	g.versions = relay.Versions{
		Choose: func(string, rollout.Send) pool.VersionRule { return pool.VersionRule{Prefer: "v2"} },
		Usual: func(string) pool.VersionRule {
			if isRolledBack.Load() {
				return pool.VersionRule{Avoid: []string{"v2"}}
			}
			return pool.VersionRule{Prefer: "v2"}
		},
	}
	g.admit()
	leases := map[string]*pool.Lease{}
	for range 2 {
		lease, _, err := g.servers.AcquireForStream(pool.Criteria{Service: "s", Demand: largeDemand, WithoutCopy: true, RequireHeadroom: true})
		qt.Assert(t, err, qt.IsNil)
		leases[lease.Server.ID] = lease
	}
	time.AfterFunc(50*time.Millisecond, func() {
		isRolledBack.Store(true)
		for _, lease := range leases {
			lease.Release()
		}
	})
	c := &caller{}
	qt.Assert(t, g.relay.Stream(context.Background(), largeRequest(time.Minute), c.sink()), qt.IsNil)
	arrivals := g.seen()
	qt.Assert(t, arrivals, qt.HasLen, 1)
	qt.Check(t, arrivals[0].server, qt.Equals, "b1")
}
