package spread_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// applyLimit is the shortest time in which a change has to be in force on all VMs.
const applyLimit = 2 * time.Second

// TestPeerThatSendsNoContentDelaysNoChange guards against VMs that wait for a lost peer while others have the change.
func TestPeerThatSendsNoContentDelaysNoChange(t *testing.T) {
	n := newNetwork()
	vms := fleet(t, n, 3)
	lost, other, late := vms[0], vms[1], vms[2]
	n.mu.Lock()
	n.hangs[lost.address] = true
	n.mu.Unlock()
	for version := uint64(1); version <= 6; version++ {
		lost.ApplyConfiguration(context.Background(), raw(version), time.Now())
		time.Sleep(300 * time.Millisecond) // The others have begun to fetch it.
		other.ApplyConfiguration(context.Background(), raw(version), time.Now())
		began := time.Now()
		waitFor(t, applyLimit, "the change is in force", inForce([]*vm{late}, version))
		t.Logf("version %d after %v", version, time.Since(began))
		qt.Check(t, late.Snapshot().Configuration.Version, qt.Equals, version)
	}
}

// TestChangeIsInForceInTimeWhileSomeSendNoContent has two VMs read a change, of which one is among the third
// that send no content.
func TestChangeIsInForceInTimeWhileSomeSendNoContent(t *testing.T) {
	for _, count := range []int{9, 30} {
		n := newNetwork()
		vms := fleet(t, n, count)
		for version := uint64(1); version <= 5; version++ {
			order := rand.Perm(count)
			n.mu.Lock()
			n.hangs = map[string]bool{}
			for _, i := range order[:count/3] {
				n.hangs[vms[i].address] = true
			}
			n.mu.Unlock()
			began := time.Now()
			vms[order[0]].ApplyConfiguration(context.Background(), raw(version), began)
			vms[order[count-1]].ApplyConfiguration(context.Background(), raw(version), began)
			waitFor(t, applyLimit, "the change is in force", inForce(vms, version))
			t.Logf("%d VMs, version %d after %v", count, version, time.Since(began))
		}
	}
}

// TestContentThatArrivesTwiceIsDecodedOnce has two slow peers send the same change.
func TestContentThatArrivesTwiceIsDecodedOnce(t *testing.T) {
	n := newNetwork()
	vms := fleet(t, n, 3)
	n.mu.Lock()
	n.contentDelay = 500 * time.Millisecond // Longer than a VM waits before it asks a second peer.
	n.mu.Unlock()
	vms[0].ApplyConfiguration(context.Background(), raw(1), time.Now())
	vms[1].ApplyConfiguration(context.Background(), raw(1), time.Now())
	waitFor(t, applyLimit, "the change is in force", inForce(vms, 1))
	time.Sleep(n.contentDelay) // The second answer arrives.
	vms[2].mu.Lock()
	defer vms[2].mu.Unlock()
	qt.Assert(t, vms[2].decoded, qt.Equals, 1)
}

// TestMessageReadAfterAPauseVouchesForNothing guards against a VM that denies an added route since it takes its
// configuration for the newest.
func TestMessageReadAfterAPauseVouchesForNothing(t *testing.T) {
	vms := fleet(t, newNetwork(), 2)
	readAt := time.Now()
	vms[0].ApplyConfiguration(context.Background(), raw(1), readAt)
	waitFor(t, applyLimit, "the configuration is in force", inForce(vms, 1))
	for range 3 {
		vms[1].Pause(700 * time.Millisecond)
		time.Sleep(300 * time.Millisecond)
		at := vms[1].Snapshot().ConfigurationAt
		qt.Assert(t, at.Before(readAt.Add(150*time.Millisecond)), qt.IsTrue, qt.Commentf("taken as current %v after the store was read", at.Sub(readAt)))
	}
}
