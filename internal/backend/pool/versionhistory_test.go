package pool_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
)

// versionsRig is a pool whose servers' versions are listed.
type versionsRig struct {
	*pool.Pool
	now time.Time
}

func newVersionsRig() *versionsRig {
	g := &versionsRig{now: time.Unix(1000, 0)}
	g.Pool = pool.New(pool.Options{Now: func() time.Time { return g.now }, Draw: func() float64 { return 0 }})
	return g
}

func (g *versionsRig) list(versions ...string) {
	listed := []pool.Server{}
	for _, version := range versions {
		listed = append(listed, pool.Server{ID: "i-" + version, Address: version + ":1", Service: "s", FailureDomain: "a", Slots: 1, Version: version})
	}
	g.Update(listed)
}

func (g *versionsRig) only() string {
	version, known := g.OnlyVersionOfLate("s")
	if !known {
		return "unknown"
	}
	return version
}

func TestOnlyVersionIsKnownOnceStreamsOfOthersHaveEnded(t *testing.T) {
	g := newVersionsRig()
	g.list("v1")
	qt.Check(t, g.only(), qt.Equals, "unknown", qt.Commentf("others may have left before"))
	g.now = g.now.Add(time.Minute)
	qt.Check(t, g.only(), qt.Equals, "v1")
	g.list("v1", "v2")
	qt.Check(t, g.only(), qt.Equals, "unknown")
	g.now = g.now.Add(time.Minute)
	g.list("v2")
	g.now = g.now.Add(30 * time.Second)
	qt.Check(t, g.only(), qt.Equals, "unknown", qt.Commentf("a stream of v1 may last"))
	g.now = g.now.Add(6 * time.Second)
	qt.Check(t, g.only(), qt.Equals, "v2")
	g.list()
	g.now = g.now.Add(time.Minute)
	qt.Check(t, g.only(), qt.Equals, "unknown")
}

func TestVersionsOfAnotherVMCompleteTheHistory(t *testing.T) {
	for _, c := range []struct {
		name  string
		added pool.VersionAges
		want  string
	}{
		{"it knew none", nil, "v1"},
		{"it knew the same", pool.VersionAges{"s": {"v1": 0}, "other": {"v3": 0}}, "v1"},
		{"it knew another", pool.VersionAges{"s": {"v0": 34_000, "v1": 0}}, "unknown"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newVersionsRig()
			_, known := g.Versions()
			qt.Check(t, known, qt.IsFalse)
			g.AddVersions(c.added)
			g.list("v1")
			qt.Check(t, g.only(), qt.Equals, c.want)
			ages, known := g.Versions()
			qt.Check(t, known, qt.IsTrue)
			if c.added == nil {
				qt.Check(t, ages, qt.DeepEquals, pool.VersionAges{"s": {"v1": 0}})
			}
		})
	}
}

func TestProcessInPlaceOfALostOneHasNoKnownVersion(t *testing.T) {
	g := newVersionsRig()
	g.AddVersions(nil)
	g.list("v1")
	g.ApplyPeerSuccessor("i-v1", "i-found")
	exact := pool.VersionRule{Exact: true, Only: "v1"}
	_, _, err := g.AcquireForStream(pool.Criteria{Service: "s", Versions: exact})
	qt.Check(t, err, qt.ErrorIs, pool.ErrNone)
	lease, _, err := g.AcquireForStream(pool.Criteria{Service: "s"})
	qt.Assert(t, err, qt.IsNil)
	defer lease.Release()
	qt.Check(t, lease.Server.ID, qt.Equals, "i-found")
	qt.Check(t, lease.Version(), qt.Equals, "unlisted i-found")
	g.list("v1")
	qt.Check(t, g.ResolveVersion(lease.Version()), qt.Equals, "unlisted i-found")
	g.Update([]pool.Server{{ID: "i-found", Address: "v1:1", Service: "s", FailureDomain: "a", Slots: 1, Version: "v2"}})
	qt.Check(t, g.ResolveVersion("unlisted i-found"), qt.Equals, "v2")
}

func TestExactRuleIsKeptWithoutServers(t *testing.T) {
	g := newRig(oldAndNew()...)
	for _, rule := range []pool.VersionRule{{Exact: true, Only: "v3"}, {Exact: true, Only: "v1", Avoid: []string{"v1"}}} {
		restricted := criteria
		restricted.Versions, restricted.ServerID = rule, "a-old"
		_, _, err := g.AcquireForStream(restricted)
		qt.Check(t, err, qt.ErrorIs, pool.ErrNone)
		qt.Check(t, g.Availability("s", rule).Listed, qt.Equals, 0)
		qt.Check(t, g.HasOther("s", "a-old", rule), qt.IsFalse)
	}
}

func TestOnlyVersionIsNotKnownFromAnOldList(t *testing.T) {
	now := time.Unix(1000, 0)
	listedAt := now
	p := pool.New(pool.Options{Now: func() time.Time { return now }, Draw: func() float64 { return 0 }, Successors: pool.Successors{ListedAt: func() time.Time { return listedAt }}})
	p.AddVersions(nil)
	p.Update([]pool.Server{{ID: "i-v1", Address: "v1:1", Service: "s", FailureDomain: "a", Slots: 1, Version: "v1"}})
	_, known := p.OnlyVersionOfLate("s")
	qt.Assert(t, known, qt.IsTrue)
	now = now.Add(time.Minute)
	_, known = p.OnlyVersionOfLate("s")
	qt.Check(t, known, qt.IsFalse, qt.Commentf("a VM that is cut off lacks the versions of the last minute"))
	listedAt = now
	_, known = p.OnlyVersionOfLate("s")
	qt.Check(t, known, qt.IsTrue)
}

func TestStreamAtAProcessOfUnknownVersionDoesNotGoOnAtAnother(t *testing.T) {
	g := newVersionsRig()
	g.AddVersions(nil)
	g.list("v1", "v2")
	g.ApplyPeerSuccessor("i-v1", "found-1")
	g.ApplyPeerSuccessor("i-v2", "found-2")
	lease, _, err := g.AcquireForStream(pool.Criteria{Service: "s"})
	qt.Assert(t, err, qt.IsNil)
	defer lease.Release()
	exact := pool.VersionRule{Exact: true, Only: lease.Version()}
	_, _, err = g.AcquireForStream(pool.Criteria{Service: "s", Tried: map[string]bool{lease.Server.ID: true}, Versions: exact})
	qt.Check(t, err, qt.ErrorIs, pool.ErrNone, qt.Commentf("both are in place of lost ones, of versions that are not known"))
	qt.Check(t, g.HasOther("s", lease.Server.ID, exact), qt.IsFalse)
}

func TestVersionThatHasLeftIsForgottenByVMsThatTellEachOther(t *testing.T) {
	a, b := newVersionsRig(), newVersionsRig()
	for _, g := range []*versionsRig{a, b} {
		g.AddVersions(nil)
		g.list("v1", "v2")
		g.list("v2")
	}
	for range 12 {
		a.now, b.now = a.now.Add(10*time.Second), b.now.Add(10*time.Second)
		told, _ := a.Versions()
		b.AddVersions(told)
		told, _ = b.Versions()
		a.AddVersions(told)
	}
	qt.Check(t, a.only(), qt.Equals, "v2", qt.Commentf("no server of v1 was listed for two minutes"))
	qt.Check(t, b.only(), qt.Equals, "v2")
}

func TestProcessInPlaceOfOneOfAnAvoidedVersionGetsNothing(t *testing.T) {
	g := newVersionsRig()
	g.AddVersions(nil)
	g.list("v1", "v2")
	g.ApplyPeerSuccessor("i-v2", "found")
	rule := pool.VersionRule{Avoid: []string{"v2"}}
	_, err := g.AcquireForCall("s", map[string]bool{"i-v1": true}, rule)
	qt.Check(t, err, qt.ErrorIs, pool.ErrNone)
	_, _, err = g.AcquireForStream(pool.Criteria{Service: "s", Tried: map[string]bool{"i-v1": true}, Versions: rule})
	qt.Check(t, err, qt.ErrorIs, pool.ErrNone)
}
