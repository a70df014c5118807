package pool_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
)

// fleetRig is VMs of a fleet of several cells that hear of each other's findings at once.
// The first three watch all servers.
type fleetRig struct {
	mu     sync.Mutex
	now    time.Time
	lost   map[string]error // By address.
	vms    []*pool.Pool
	checks []int // By VM.
	tells  []int
}

const watchers = 3

func newFleetRig(vms int, servers ...pool.Server) *fleetRig {
	g := &fleetRig{now: time.Unix(1000, 0), lost: map[string]error{}, checks: make([]int, vms), tells: make([]int, vms)}
	for i := range vms {
		vm := pool.New(pool.Options{
			Now:     func() time.Time { g.mu.Lock(); defer g.mu.Unlock(); return g.now },
			Draw:    func() float64 { return 0 },
			Go:      func(do func()) { go do() },
			Watches: func(string) bool { return i < watchers },
			Check: func(_ context.Context, address string) error {
				g.mu.Lock()
				defer g.mu.Unlock()
				g.checks[i]++
				return g.lost[address]
			},
			AnnounceLoss: func(s pool.Server, ended bool) { g.tell(i, func(vm *pool.Pool) { vm.ApplyPeerLoss(s.ID, ended) }) },
			AnnounceUp:   func(s pool.Server) { g.tell(i, func(vm *pool.Pool) { vm.ApplyPeerUp(s.ID) }) },
		})
		vm.SetCell(0, 2)
		vm.Update(servers)
		g.vms = append(g.vms, vm)
	}
	return g
}

// tell has the watchers hear of what a VM found, and all VMs if it is one of them.
func (g *fleetRig) tell(from int, hear func(vm *pool.Pool)) {
	g.mu.Lock()
	g.tells[from]++
	g.mu.Unlock()
	receivers := g.vms[:watchers]
	if from < watchers {
		receivers = g.vms
	}
	for i, vm := range receivers {
		if i != from {
			hear(vm)
		}
	}
}

func (g *fleetRig) settle() {
	for range 10 {
		time.Sleep(3 * time.Millisecond)
		g.mu.Lock()
		g.now = g.now.Add(100 * time.Millisecond)
		g.mu.Unlock()
		for _, vm := range g.vms {
			vm.Recheck(context.Background())
		}
	}
}

func (g *fleetRig) setLost(servers []pool.Server, cause error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range servers {
		g.lost[s.Address] = cause
	}
}

// TestLossOfADomainIsCheckedByItsWatchers plays the loss of a failure domain of 48 servers
// before 100 VMs, 20 of which have work there. Without watchers each of the 20 checked all
// 48 servers, and each VM told of one that hangs checked it too.
func TestLossOfADomainIsCheckedByItsWatchers(t *testing.T) {
	for name, cause := range map[string]error{"processes end": syscall.ECONNREFUSED, "servers hang": syscall.ETIMEDOUT} {
		t.Run(name, func(t *testing.T) {
			lost, other := []pool.Server{}, []pool.Server{}
			for i := range 48 {
				lost = append(lost, server(fmt.Sprint("a", i), "a"))
				other = append(other, server(fmt.Sprint("b", i), "b"))
			}
			g := newFleetRig(100, slices.Concat(lost, other)...)
			leases := []*pool.Lease{}
			for i := range 20 {
				lease, _, err := g.vms[50+i].AcquireForStream(pool.Criteria{Service: "s", ServerID: lost[i].ID, Demand: ask.Demand})
				qt.Assert(t, err, qt.IsNil)
				leases = append(leases, lease)
			}
			g.setLost(lost, cause)
			for _, lease := range leases {
				lease.ReportBroken()
			}
			g.settle()
			g.mu.Lock()
			sum, others := 0, 0
			for i, checks := range g.checks {
				sum += checks
				if i >= watchers {
					others += checks
				}
			}
			g.mu.Unlock()
			// Each VM checks the servers of its own work, and the watchers all, again each
			// 0.4 s those that hang.
			qt.Check(t, others <= 2*len(leases), qt.IsTrue, qt.Commentf("%d checks of VMs that don't watch", others))
			qt.Check(t, sum <= 2*len(leases)+4*watchers*len(lost), qt.IsTrue, qt.Commentf("%d checks", sum))
			for i, vm := range g.vms {
				lease, _, err := vm.AcquireForStream(pool.Criteria{Service: "s", Demand: ask.Demand})
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, lease.Server.FailureDomain, qt.Equals, "b", qt.Commentf("VM %d", i))
				lease.Release()
			}
			if cause == syscall.ECONNREFUSED {
				return // Processes that ended come back as other entries.
			}
			g.setLost(lost, nil)
			g.settle()
			for i, vm := range g.vms[50:] {
				lease, _, err := vm.AcquireForStream(pool.Criteria{Service: "s", Tried: tried(other), Demand: ask.Demand})
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, lease.Load.Avoided, qt.IsFalse, qt.Commentf("VM %d avoids a server that is up again", 50+i))
				lease.Release()
			}
		})
	}
}

func tried(servers []pool.Server) map[string]bool {
	names := map[string]bool{}
	for _, s := range servers {
		names[s.ID] = true
	}
	return names
}
