package pool_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
)

// TestBackoffOfASharedConnectionHoldsForAllVMs guards against requests of several VMs that a server takes as one, which
// it has asked for none.
func TestBackoffOfASharedConnectionHoldsForAllVMs(t *testing.T) {
	server := pool.Server{ID: "a", Address: "a:1", Service: "s", FailureDomain: "f", Slots: 4, Started: 7}
	now := time.Unix(1000, 0)
	newPool := func(isDetour bool, announced *[]pool.Backoff) *pool.Pool {
		p := pool.New(pool.Options{
			Now: func() time.Time { return now }, Draw: func() float64 { return 0 }, Go: func(do func()) { do() },
			IsDetour:        func() bool { return isDetour },
			AnnounceBackoff: func(backoff pool.Backoff) { *announced = append(*announced, backoff) },
		})
		p.Update([]pool.Server{server})
		return p
	}
	for name, test := range map[string]struct{ isDetour, shared, want bool }{
		"direct":                   {},
		"through another VM":       {shared: true, want: true},
		"at the VM between others": {isDetour: true, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			announced := []pool.Backoff{}
			told, other := newPool(test.isDetour, &announced), newPool(false, &announced)
			told.ApplyNotice(server, pool.ServerNotice{BackoffUntil: now.Add(2 * time.Second), Shared: test.shared})
			other.ApplyPeerBackoffs(announced)
			_, err := other.AcquireForCall("s", nil, pool.VersionRule{})
			qt.Check(t, err != nil, qt.Equals, test.want)
			now = now.Add(2 * time.Second)
			lease, err := other.AcquireForCall("s", nil, pool.VersionRule{})
			qt.Assert(t, err, qt.IsNil)
			lease.Release()
			other.ApplyPeerBackoffs([]pool.Backoff{{ServerID: "a", Started: 6, Millis: 5000}})
			_, err = other.AcquireForCall("s", nil, pool.VersionRule{})
			qt.Check(t, err, qt.IsNil, qt.Commentf("an earlier process asked for it"))
		})
	}
}
