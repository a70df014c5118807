package spread_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/peer/permit"
	"github.com/endivespoke/endivespoke/internal/peer/spread"
)

const (
	permitKey  = "server/s/1"
	permitRate = 10.0
)

// takePermits has VMs ask as often as the replies permit, and returns when they got permits.
func takePermits(vms []*vm, length time.Duration) (granted []time.Time) {
	var mu sync.Mutex
	var asking sync.WaitGroup
	for _, v := range vms {
		asking.Go(func() {
			for end := time.Now().Add(length); time.Now().Before(end); {
				reply, err := v.TakePermit(permit.Request{Key: permitKey, Rate: permitRate, VM: v.address})
				if err == nil && reply.Granted {
					mu.Lock()
					granted = append(granted, time.Now())
					mu.Unlock()
					continue
				}
				time.Sleep(max(reply.Wait, time.Millisecond))
			}
		})
	}
	asking.Wait()
	return granted
}

func issuerOf(vms []*vm) (issuer *vm, others []*vm) {
	id := vms[0].Watchers(permitKey)[0].ID
	for _, v := range vms {
		if v.Snapshot().Self.ID == id {
			issuer = v
		} else {
			others = append(others, v)
		}
	}
	return issuer, others
}

func TestPermitsAreIssuedByOneVM(t *testing.T) {
	vms := fleet(t, newNetwork(), 9)
	granted := len(takePermits(vms, 2*time.Second))
	qt.Check(t, granted >= 15 && granted <= 27, qt.IsTrue, qt.Commentf("%d permits in 2 s at %v a second", granted, permitRate))
}

func TestPermitsGoOnAfterLossOfTheirIssuer(t *testing.T) {
	n := newNetwork()
	vms := fleet(t, n, 9)
	issuer, others := issuerOf(vms)
	takePermits(vms, time.Second)
	issuer.stop()
	n.setPartitioned(issuer.address, true)
	waitFor(t, 3*time.Second, "another VM issues them", func() bool {
		next, _ := issuerOf(others)
		return next != nil
	})
	granted := len(takePermits(others, 2*time.Second))
	qt.Check(t, granted >= 10 && granted <= 27, qt.IsTrue, qt.Commentf("%d permits in 2 s at %v a second", granted, permitRate))
}

// TestPartitionedIssuerIssuesNoPermits also covers the time until the others choose another one.
func TestPartitionedIssuerIssuesNoPermits(t *testing.T) {
	n := newNetwork()
	vms := fleet(t, n, 9)
	issuer, others := issuerOf(vms)
	takePermits(vms, time.Second)
	n.setPartitioned(issuer.address, true)
	const length = 4 * time.Second
	var own, theirs []time.Time
	var asking sync.WaitGroup
	asking.Go(func() { own = takePermits([]*vm{issuer}, length) })
	asking.Go(func() { theirs = takePermits(others, length) })
	asking.Wait()
	qt.Check(t, len(theirs) > 0, qt.IsTrue)
	all := slices.SortedFunc(slices.Values(append(own, theirs...)), time.Time.Compare)
	allowed := int(1.5*permitRate*length.Seconds()) + 5
	qt.Check(t, len(all) <= allowed, qt.IsTrue, qt.Commentf("%d permits, %d of them of the VM that is cut off; %d allowed", len(all), len(own), allowed))
	late := slices.DeleteFunc(own, func(at time.Time) bool { return at.Before(all[0].Add(2 * time.Second)) })
	qt.Check(t, late, qt.HasLen, 0)
	n.setPartitioned(issuer.address, false)
	waitFor(t, 3*time.Second, "it issues permits again", func() bool {
		reply, err := issuer.TakePermit(permit.Request{Key: permitKey, Rate: permitRate, VM: issuer.address})
		return err == nil && reply.Granted
	})
}

func TestLimitsReachAllVMsOfSeveralCells(t *testing.T) {
	vms := fleet(t, newNetwork(), 60)
	for _, v := range vms {
		v.servers.Store(1)
	}
	const group = "s/a"
	watcher := slices.IndexFunc(vms, func(v *vm) bool { return v.Watches(group) })
	qt.Assert(t, watcher >= 0, qt.IsTrue)
	vms[watcher].AnnounceLimit(group, pool.ServerLimit{ServerID: "s1", Limit: 2})
	waitFor(t, 2*time.Second, "all have received it", func() bool {
		return !slices.ContainsFunc(vms, func(v *vm) bool {
			_, received := v.limits.Load("s1")
			return !received && v != vms[watcher]
		})
	})
}

// A limit says nothing to a VM that does not list its server yet.
func TestStartingVMReceivesLimitsWithTheServers(t *testing.T) {
	n := newNetwork()
	vms := fleet(t, n, 3)
	rows := []spread.ServerRow{{Server: pool.Server{ID: "s1"}, Changed: 1}}
	for _, v := range vms {
		v.ApplyServers(context.Background(), spread.StoreRows{Version: spread.StoreVersion{Rev: 1}, Full: true, Rows: rows}, time.Now())
		v.named.Store(&pool.ServerLimit{ServerID: "s1", Limit: 2})
	}
	n.losesPosts.Store(true) // Announcements of the limit are lost.
	starting := n.start(t, "c9", "a0:1", "b1:1", "c2:1")
	waitFor(t, 2*time.Second, "it lists the server", func() bool { return starting.servers.Load() > 0 })
	waitFor(t, 2*time.Second, "it has the limit", func() bool {
		_, received := starting.limits.Load("s1")
		return received
	})
}
