package pool_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/endivespoke/endivespoke/internal/backend/placement"
	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/lab/property"
	"github.com/endivespoke/endivespoke/internal/peer/permit"
)

// limitFleet is a fleet of VMs with a clock that the test controls and one issuer of permits.
type limitFleet struct {
	mu     sync.Mutex
	now    time.Time
	issuer *permit.Issuer
	vms    []*pool.Pool
	asked  int
}

func (f *limitFleet) clock() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *limitFleet) pass(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}

func newLimitFleet(vms int, servers ...pool.Server) *limitFleet {
	f := &limitFleet{now: time.Unix(1000, 0)}
	f.issuer = permit.NewIssuer(f.clock)
	for range vms {
		f.addVM(servers)
	}
	return f
}

func (f *limitFleet) addVM(servers []pool.Server) *pool.Pool {
	name := fmt.Sprint("vm-", len(f.vms))
	p := pool.New(pool.Options{
		Now: f.clock, Draw: func() float64 { return 0 },
		TakePermit: func(request permit.Request) permit.Reply {
			f.asked++
			request.VM = name
			return f.issuer.Take(request)
		},
		ObservePermit: f.issuer.Observe,
	})
	p.SetCapacities(map[string]pool.Capacity{"s": {CacheTokens: 1_000_000, SupportsCopies: true, SupportsMoves: true}})
	p.Update(servers)
	f.vms = append(f.vms, p)
	return p
}

var named = pool.ServerNotice{Limited: true, Limit: 2}

func TestEveryKindOfRequestNeedsAPermit(t *testing.T) {
	limited := server("a1", "a")
	demand := placement.Demand{PromptTokens: 100}
	kinds := map[string]func(p *pool.Pool) error{
		"call": func(p *pool.Pool) error { _, err := p.AcquireForCall("s", nil, pool.VersionRule{}); return err },
		"retry": func(p *pool.Pool) error {
			_, err := p.AcquireForCall("s", map[string]bool{"other": true}, pool.VersionRule{})
			return err
		},
		"stream": func(p *pool.Pool) error {
			_, _, err := p.AcquireForStream(pool.Criteria{Service: "s", Demand: demand})
			return err
		},
		"resume": func(p *pool.Pool) error {
			_, _, err := p.AcquireForStream(pool.Criteria{Service: "s", Demand: demand, ServerID: limited.ID})
			return err
		},
		"move":     func(p *pool.Pool) error { _, err := p.TakePermit(limited, pool.PurposeMove); return err },
		"copy":     func(p *pool.Pool) error { _, err := p.TakePermit(limited, pool.PurposeCopy); return err },
		"free":     func(p *pool.Pool) error { _, err := p.TakePermit(limited, pool.PurposeFree); return err },
		"identify": func(p *pool.Pool) error { _, err := p.TakePermit(limited, pool.PurposeIdentify); return err },
	}
	for name, send := range kinds {
		f := newLimitFleet(1, limited)
		qt.Check(t, send(f.vms[0]), qt.IsNil, qt.Commentf("%s without a limit", name))
		qt.Check(t, f.asked, qt.Equals, 0)
		f.vms[0].ApplyLimit(limited, pool.Reply{Purpose: pool.PurposeCall, Status: 200}, named)
		sent := 0
		for range 4000 { // 40 s at up to 100 a second.
			f.pass(10 * time.Millisecond)
			if err := send(f.vms[0]); err == nil {
				sent++
			}
		}
		qt.Check(t, sent > 2 && sent <= 82, qt.IsTrue, qt.Commentf("%s: %d in 40 s at 2 a second", name, sent))
	}
}

func TestOtherServersTakeTheLoad(t *testing.T) {
	f := newLimitFleet(6, server("a1", "a"), server("b1", "b"), server("c1", "c"))
	for _, vm := range f.vms {
		vm.ApplyPeerLimits([]pool.ServerLimit{{ServerID: "a1", Limit: 1}, {ServerID: "b1", Limit: 1}})
	}
	sent := map[string]int{}
	for i := range 1000 {
		f.pass(10 * time.Millisecond)
		lease, err := f.vms[i%len(f.vms)].AcquireForCall("s", nil, pool.VersionRule{})
		qt.Assert(t, err, qt.IsNil)
		sent[lease.Server.ID]++
		lease.Release()
	}
	qt.Check(t, sent["a1"] <= 12 && sent["b1"] <= 12, qt.IsTrue, qt.Commentf("%v in 10 s", sent))
}

func TestCopiesAreNotPlacedOnServersWithALimit(t *testing.T) {
	f := newLimitFleet(1, server("a1", "a"), server("b1", "b"), server("c1", "c"))
	f.vms[0].ApplyPeerLimits([]pool.ServerLimit{{ServerID: "b1", Limit: 1}})
	for range 20 {
		lease, holder, err := f.vms[0].AcquireForStream(pool.Criteria{Service: "s", Demand: placement.Demand{PromptTokens: 10}, ServerID: "a1"})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, holder, qt.IsNotNil)
		qt.Check(t, holder.ID, qt.Equals, "c1")
		lease.Release()
	}
}

// Six VMs refuse callers at once; the returns in each second are counted.
func TestRefusedCallersReturnAtTheRateOfThePermits(t *testing.T) {
	f := newLimitFleet(6, server("a1", "a"), server("b1", "b"))
	const limit = 5.0
	for _, vm := range f.vms {
		vm.ApplyPeerLimits([]pool.ServerLimit{{ServerID: "a1", Limit: limit}, {ServerID: "b1", Limit: limit}})
	}
	returns := map[int64]int{} // By second.
	refused := 0
	for i := range 600 { // 200 requests a second for 3 s.
		f.pass(5 * time.Millisecond)
		vm := f.vms[i%len(f.vms)]
		lease, err := vm.AcquireForCall("s", nil, pool.VersionRule{})
		if err == nil {
			lease.Release()
			continue
		}
		refused++
		availability := vm.Availability("s", pool.VersionRule{})
		if availability.BackoffUntil.IsZero() {
			continue // A permit may be available.
		}
		at := vm.ReturnAt("s", availability.BackoffUntil)
		qt.Assert(t, at.After(f.now), qt.IsTrue)
		returns[at.Unix()]++
	}
	qt.Check(t, refused > 500, qt.IsTrue)
	for second, count := range returns {
		qt.Check(t, float64(count) <= 2*2*limit, qt.IsTrue, qt.Commentf("%d callers return in second %d, for %v permits", count, second, 2*limit))
	}
}

// TestLimitIsOfOneProcess has servers restart under one id, with and without a limit.
func TestLimitIsOfOneProcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entry := server("a1", "a")
		f := newLimitFleet(1, entry)
		p := f.vms[0]
		limited := map[int64]bool{}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"restart", "name", "peer", "late"}).Draw(t, "step") {
			case "restart":
				entry.Started++
				p.Update([]pool.Server{entry})
			case "name":
				p.ApplyLimit(entry, pool.Reply{}, named)
				limited[entry.Started] = true
			case "peer":
				p.ApplyPeerLimits([]pool.ServerLimit{{ServerID: "a1", Started: entry.Started, Limit: 2}})
				limited[entry.Started] = true
			case "late":
				before := entry
				before.Started--
				p.ApplyLimit(before, pool.Reply{}, named) // An answer of the process before.
			}
			asked := f.asked
			_, err := p.TakePermit(entry, pool.PurposeCall)
			property.Assert(t, f.asked > asked, qt.Equals, limited[entry.Started])
			property.Assert(t, err == nil || errors.Is(err, pool.ErrNoPermit), qt.IsTrue)
		}
	})
}

// TestWatchersForwardTheLimitOfEachServer has a watcher of one of two servers receive both limits.
func TestWatchersForwardTheLimitOfEachServer(t *testing.T) {
	forwarded := map[string]float64{}
	p := pool.New(pool.Options{
		Now: time.Now, Draw: func() float64 { return 0 },
		Watches:       func(group string) bool { return group == "s/b" },
		AnnounceLimit: func(s pool.Server, limit pool.ServerLimit) { forwarded[s.ID] = limit.Limit },
	})
	p.SetCell(0, 2)
	p.Update([]pool.Server{server("a1", "a"), server("b1", "b")})
	p.ApplyPeerLimits([]pool.ServerLimit{{ServerID: "a1", Limit: 1}, {ServerID: "b1", Limit: 2}})
	qt.Check(t, forwarded, qt.DeepEquals, map[string]float64{"b1": 2})
}

func TestLimitsOfAnySizeAreHandled(t *testing.T) {
	for _, limit := range []float64{0, 1e-300, 1e9, 1e300} {
		f := newLimitFleet(1, server("a1", "a"), server("b1", "b"), server("c1", "c"))
		vm := f.vms[0]
		vm.ApplyPeerLimits([]pool.ServerLimit{{ServerID: "a1", Limit: limit}, {ServerID: "b1", Limit: limit}, {ServerID: "c1", Limit: limit}})
		for range 100 {
			f.pass(time.Millisecond)
			if lease, err := vm.AcquireForCall("s", nil, pool.VersionRule{}); err == nil {
				lease.Release()
			}
			qt.Assert(t, vm.ReturnAt("s", f.now).Before(f.now.Add(3*time.Minute)), qt.IsTrue)
		}
	}
}

// The issuer of the permits replies late, with a denial.
func TestOtherServersAreChosenWhenAPermitTakesLong(t *testing.T) {
	now := time.Unix(1000, 0)
	p := pool.New(pool.Options{
		Now:   func() time.Time { return now },
		Draw:  func() float64 { return 0.5 },
		Check: func(context.Context, string) error { return nil },
		TakePermit: func(permit.Request) permit.Reply {
			now = now.Add(200 * time.Millisecond)
			return permit.Reply{Wait: 50 * time.Millisecond}
		},
	})
	limited := server("a1", "a")
	p.Update([]pool.Server{limited, server("b1", "b")})
	p.ApplyPeerLimits([]pool.ServerLimit{{ServerID: "a1", Limit: 2}})
	for i := range 40 {
		now = now.Add(time.Second)
		call, err := p.AcquireForCall("s", nil, pool.VersionRule{})
		qt.Assert(t, err, qt.IsNil, qt.Commentf("call %d", i))
		qt.Check(t, call.Server.ID, qt.Equals, "b1")
		call.Release()
		stream, _, err := p.AcquireForStream(criteria)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("stream %d", i))
		qt.Check(t, stream.Server.ID, qt.Equals, "b1")
		if i%2 == 0 {
			stream.Release() // The others make a1 the cheaper one.
		}
	}
}
