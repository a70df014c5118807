package pool_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
)

// newSeededPool returns a pool whose random choices are the same in each run.
func newSeededPool(now *time.Time, servers ...pool.Server) *pool.Pool {
	random := rand.New(rand.NewPCG(1, 2))
	p := pool.New(pool.Options{
		Now:   func() time.Time { return *now },
		Draw:  random.Float64,
		Check: func(context.Context, string) error { return nil },
	})
	p.Update(servers)
	return p
}

// callsByServer simulates 50 calls a second, one after another; latency returns how long the
// i-th of all calls takes.
func callsByServer(length time.Duration, latency func(serverID string, i int) time.Duration, servers ...pool.Server) (calls map[string]int) {
	now := time.Unix(1000, 0)
	p := newSeededPool(&now, servers...)
	calls = map[string]int{}
	const interval = 20 * time.Millisecond
	for i := range int(length / interval) {
		now = now.Add(interval)
		lease, err := p.AcquireForCall("s", nil, pool.VersionRule{})
		if err != nil {
			continue
		}
		calls[lease.Server.ID]++
		lease.RecordCall(latency(lease.Server.ID, i), false)
		lease.Release()
	}
	return calls
}

// The first call to a server may take longer, for example because it connects.
func TestServerThatAnsweredSlowlyOnceIsUsedAgain(t *testing.T) {
	first := true
	calls := callsByServer(20*time.Second, func(serverID string, _ int) time.Duration {
		if serverID == "a1" && first {
			first = false
			return 80 * time.Millisecond
		}
		return 5 * time.Millisecond
	}, server("a1", "a"), server("b1", "b"))
	qt.Check(t, calls["a1"] > 300, qt.IsTrue, qt.Commentf("%v", calls))
}

func TestServerThatIsSlowGetsFewCalls(t *testing.T) {
	calls := callsByServer(60*time.Second, func(serverID string, _ int) time.Duration {
		if serverID == "a1" {
			return 200 * time.Millisecond
		}
		return 5 * time.Millisecond
	}, server("a1", "a"), server("b1", "b"), server("c1", "c"))
	qt.Check(t, calls["a1"] > 0, qt.IsTrue)
	qt.Check(t, calls["a1"] < 3000/100, qt.IsTrue, qt.Commentf("%v", calls))
}

// A server that recovers gets its share of the calls back.
func TestServerThatWasSlowGetsItsShareAgain(t *testing.T) {
	calls := callsByServer(60*time.Second, func(serverID string, i int) time.Duration {
		if serverID == "a1" && i < 1000 {
			return 200 * time.Millisecond
		}
		return 5 * time.Millisecond
	}, server("a1", "a"), server("b1", "b"))
	qt.Check(t, calls["a1"] > 500, qt.IsTrue, qt.Commentf("%v of the 2,000 calls since", calls))
}

// A server that is tried again gets one call, and the others when it has answered that.
func TestServerThatWasSlowIsTriedWithOneCall(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newSeededPool(&now, server("a1", "a"), server("b1", "b"))
	for range 4 {
		slow, err := p.AcquireForCall("s", map[string]bool{"b1": true}, pool.VersionRule{})
		qt.Assert(t, err, qt.IsNil)
		slow.RecordCall(500*time.Millisecond, false)
		slow.Release()
	}
	now = now.Add(20 * time.Second)
	running := map[string]int{}
	for range 40 { // All are sent before the first is answered.
		lease, err := p.AcquireForCall("s", nil, pool.VersionRule{})
		qt.Assert(t, err, qt.IsNil)
		if running[lease.Server.ID]++; lease.Server.ID == "b1" {
			lease.RecordCall(5*time.Millisecond, false)
			lease.Release()
		}
	}
	qt.Check(t, running["a1"], qt.Equals, 1)
}
