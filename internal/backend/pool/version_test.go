package pool_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/endivespoke/endivespoke/internal/backend/placement"
	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/peer/permit"
)

func versionServer(id, domain, version string) pool.Server {
	s := server(id, domain)
	s.Version = version
	return s
}

// oldAndNew are three servers of each of two versions, in three failure domains.
func oldAndNew() []pool.Server {
	servers := []pool.Server{}
	for _, domain := range []string{"a", "b", "c"} {
		servers = append(servers, versionServer(domain+"-old", domain, "v1"), versionServer(domain+"-new", domain, "v2"))
	}
	return servers
}

// versionsOf returns the versions that a number of calls and streams are sent to.
func versionsOf(t *testing.T, g *rig, rule pool.VersionRule) (versions []string) {
	t.Helper()
	for range 6 {
		call, err := g.AcquireForCall("s", nil, rule)
		qt.Assert(t, err, qt.IsNil)
		versions = append(versions, call.Server.Version)
		call.Release()
		restricted := criteria
		restricted.Versions = rule
		stream, _, err := g.AcquireForStream(restricted)
		qt.Assert(t, err, qt.IsNil)
		versions = append(versions, stream.Server.Version)
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}

func TestPreferredVersionIsChosenWhileItTakesTheWork(t *testing.T) {
	g := newRig(oldAndNew()...)
	rule := pool.VersionRule{Prefer: "v2"}
	qt.Check(t, versionsOf(t, g, rule), qt.DeepEquals, []string{"v2"})
	for _, id := range []string{"a-new", "b-new", "c-new"} {
		g.ApplyPeerLoss(id, true)
	}
	qt.Check(t, versionsOf(t, g, rule), qt.DeepEquals, []string{"v1"})
}

func TestFullServersOfThePreferredVersionLeaveStreamsToOthers(t *testing.T) {
	g := newRig(oldAndNew()...)
	g.MergePeerLoads("peer", []pool.Load{{ServerID: "a-new", MemoryTokens: 90_000}, {ServerID: "b-new", MemoryTokens: 90_000}, {ServerID: "c-new", MemoryTokens: 90_000}})
	restricted := criteria
	restricted.Versions = pool.VersionRule{Prefer: "v2"}
	lease, _, err := g.AcquireForStream(restricted)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, lease.Server.Version, qt.Equals, "v1")
	restricted.Versions.AvoidOthers = true
	lease, _, err = g.AcquireForStream(restricted)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, lease.Server.Version, qt.Equals, "v2")
}

func TestAvoidedVersionIsUsedIfNoOtherIsListed(t *testing.T) {
	g := newRig(oldAndNew()...)
	rule := pool.VersionRule{Avoid: []string{"v1"}}
	for _, id := range []string{"a-new", "b-new", "c-new"} {
		g.ApplyPeerLoss(id, true)
	}
	qt.Check(t, versionsOf(t, g, rule), qt.DeepEquals, []string{"v2"}, qt.Commentf("they are down but listed"))
	g.Update([]pool.Server{versionServer("a-old", "a", "v1"), versionServer("b-old", "b", "v1")})
	qt.Check(t, versionsOf(t, g, rule), qt.DeepEquals, []string{"v1"})
}

// TestBoundedRuleChoosesTheSameServersOnAllVMs has VMs that know the servers in different orders, one
// of which has found one of them down.
func TestBoundedRuleChoosesTheSameServersOnAllVMs(t *testing.T) {
	rule := pool.VersionRule{Prefer: "v2", Servers: 2}
	listed := []pool.Server{versionServer("old", "a", "v1")}
	for i := range 20 {
		listed = append(listed, versionServer(fmt.Sprint("new-", i), "b", "v2"))
	}
	chosenBy := func(g *rig) map[string]bool {
		ids := map[string]bool{}
		tried := map[string]bool{}
		for {
			lease, err := g.AcquireForCall("s", tried, rule)
			if err != nil {
				return ids
			}
			tried[lease.Server.ID] = true
			ids[lease.Server.ID] = true
		}
	}
	first := chosenBy(newRig(listed...))
	qt.Check(t, first, qt.HasLen, 3, qt.Commentf("two of the preferred version and the other one"))
	slices.Reverse(listed)
	second := newRig(listed...)
	for id := range first {
		second.ApplyPeerLoss(id, true)
	}
	qt.Check(t, chosenBy(second), qt.DeepEquals, first)
}

func TestCopyHasTheVersionOfTheStreamsServer(t *testing.T) {
	g := newRig(oldAndNew()...)
	for _, version := range []string{"v1", "v2"} {
		restricted := criteria
		restricted.Versions = pool.VersionRule{Prefer: version}
		lease, holder, err := g.AcquireForStream(restricted)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, lease.Server.Version, qt.Equals, version)
		qt.Check(t, holder.Version, qt.Equals, version)
		holder, _ = lease.ReplaceCopyHolder()
		qt.Check(t, holder.Version, qt.Equals, version, qt.Commentf("another holder"))
	}
}

func TestCopyAtAnAvoidedVersionIsNotUsed(t *testing.T) {
	g := newRig(oldAndNew()...)
	restricted := criteria
	restricted.ServerID = "a-new"
	lease, _, err := g.AcquireForStream(restricted)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, lease.Server.ID, qt.Equals, "a-new")
	restricted.Versions = pool.VersionRule{Avoid: []string{"v2"}}
	lease, _, err = g.AcquireForStream(restricted)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, lease.Server.Version, qt.Equals, "v1")
}

func TestAvoidedServersAreNotAvailable(t *testing.T) {
	g := newRig(oldAndNew()...)
	avoidNew := pool.VersionRule{Avoid: []string{"v2"}}
	qt.Check(t, g.Availability("s", avoidNew).Up, qt.Equals, 3)
	for _, id := range []string{"b-old", "c-old"} {
		lease, _, err := g.AcquireForStream(pool.Criteria{Service: "s", ServerID: id})
		qt.Assert(t, err, qt.IsNil)
		lease.ReportUnreachable(errors.New("no answer"))
	}
	qt.Check(t, g.HasOther("s", "a-old", pool.VersionRule{}), qt.IsTrue)
	qt.Check(t, g.HasOther("s", "a-old", avoidNew), qt.IsFalse)
}

func TestOldWorkCountsWhatIsLeftOnOtherVersions(t *testing.T) {
	g := newRig(oldAndNew()...)
	qt.Assert(t, g.OldWork("s", "v2"), qt.Equals, 0)
	call, err := g.AcquireForCall("s", nil, pool.VersionRule{Prefer: "v1"})
	qt.Assert(t, err, qt.IsNil)
	onOld, onNew := criteria, criteria
	onOld.Versions, onNew.Versions = pool.VersionRule{Prefer: "v1"}, pool.VersionRule{Prefer: "v2"}
	old, _, err := g.AcquireForStream(onOld)
	qt.Assert(t, err, qt.IsNil)
	current, _, err := g.AcquireForStream(onNew)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, g.OldWork("s", "v2"), qt.Equals, 3, qt.Commentf("a call, a stream and its copy"))
	qt.Check(t, g.OldWork("s", "v1"), qt.Equals, 2, qt.Commentf("a stream and its copy"))
	g.Update([]pool.Server{versionServer("a-new", "a", "v2"), versionServer("b-new", "b", "v2")})
	qt.Check(t, g.OldWork("s", "v2"), qt.Equals, 3, qt.Commentf("servers that are no longer listed count too"))
	call.Release()
	old.Release()
	qt.Check(t, g.OldWork("s", "v2"), qt.Equals, 0)
	current.Release()
	qt.Check(t, g.OldWork("s", "v1"), qt.Equals, 0)
	qt.Check(t, g.OldWork("other", "v1"), qt.Equals, 0)
}

func TestUnusedAddressesAreThoseOfServersWithoutWork(t *testing.T) {
	g := newRig(oldAndNew()...)
	lease, err := g.AcquireForCall("s", map[string]bool{"b-old": true, "c-old": true}, pool.VersionRule{Prefer: "v1"})
	qt.Assert(t, err, qt.IsNil)
	addresses := func() []string {
		found := g.UnusedAddresses("s", func(version string) bool { return version != "v2" })
		slices.Sort(found)
		return found
	}
	qt.Check(t, addresses(), qt.DeepEquals, []string{"b-old:1", "c-old:1"})
	lease.Release()
	qt.Check(t, addresses(), qt.HasLen, 3)
}

// TestRuleIsKept checks over servers in any state that no server of an avoided version is chosen
// while another one is listed, and that work finds a server under a rule wherever it does without one
// and a permitted server takes work.
func TestRuleIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := rapid.SampledFrom([]string{"", "v1", "v2", "v3"})
		listed := []pool.Server{}
		for i := range rapid.IntRange(1, 8).Draw(t, "servers") {
			s := versionServer(fmt.Sprint("s", i), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"), versions.Draw(t, "version"))
			s.Leaving = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
			listed = append(listed, s)
		}
		rule := pool.VersionRule{
			Prefer:      versions.Draw(t, "prefer"),
			Avoid:       rapid.SliceOfN(versions, 0, 2).Draw(t, "avoid"),
			AvoidOthers: rapid.Bool().Draw(t, "avoidOthers"),
			Servers:     rapid.IntRange(0, 3).Draw(t, "bound"),
		}
		isAvoided := func(s pool.Server) bool {
			return slices.Contains(rule.Avoid, s.Version) || (rule.AvoidOthers && s.Version != rule.Prefer)
		}
		hasPermitted := slices.ContainsFunc(listed, func(s pool.Server) bool { return !s.Leaving && !isAvoided(s) })
		g := newRig(listed...)
		g.SetCell(rapid.IntRange(0, 1).Draw(t, "cell"), rapid.IntRange(1, 2).Draw(t, "cells"))
		for _, s := range listed {
			switch rapid.IntRange(0, 3).Draw(t, "state") {
			case 0:
				g.ApplyPeerLoss(s.ID, true)
			case 1:
				g.MergePeerLoads(s.ID, []pool.Load{{ServerID: s.ID, MemoryTokens: 95_000}})
			}
		}
		expect := func(s pool.Server) {
			if hasPermitted && isAvoided(s) {
				t.Fatalf("%s of version %q was chosen", s.ID, s.Version)
			}
		}
		held := 0
		for range 10 {
			call, err := g.AcquireForCall("s", nil, rule)
			_, withoutRule := g.AcquireForCall("s", nil, pool.VersionRule{})
			if (err == nil) != (withoutRule == nil) {
				t.Fatalf("with the rule: %v, without: %v", err, withoutRule)
			}
			if err != nil {
				continue
			}
			expect(call.Server)
			stream, holder, err := g.AcquireForStream(pool.Criteria{Service: "s", Demand: placement.Demand{PromptTokens: 2000}, ServerID: listed[0].ID, Versions: rule})
			if err != nil {
				t.Fatalf("a call finds a server, and a stream does not: %v", err)
			}
			expect(stream.Server)
			held++
			if holder != nil {
				expect(*holder)
				if hasPermitted && !rule.IsZero() && holder.Version != stream.Server.Version {
					t.Fatalf("a stream on version %q has its copy on %q", stream.Server.Version, holder.Version)
				}
			}
		}
		if held > 0 && g.OldWork("s", "none") < held {
			t.Fatalf("%d streams are held, and %d are counted", held, g.OldWork("s", "none"))
		}
	})
}

// TestZeroRuleDrawsAsBefore guards the reproducibility of simulations: servers that name one version
// are chosen by the same random numbers as servers that name none, and those of several versions by as
// many.
func TestZeroRuleDrawsAsBefore(t *testing.T) {
	choices := func(servers []pool.Server) (ids []string, draws int) {
		random := rand.New(rand.NewPCG(1, 2))
		p := pool.New(pool.Options{
			Now:  func() time.Time { return time.Unix(1000, 0) },
			Draw: func() float64 { draws++; return random.Float64() },
		})
		p.SetCapacities(map[string]pool.Capacity{"s": {CacheTokens: 100_000, SupportsCopies: true}})
		p.Update(servers)
		for range 10 {
			call, err := p.AcquireForCall("s", nil, pool.VersionRule{})
			qt.Assert(t, err, qt.IsNil)
			stream, holder, err := p.AcquireForStream(criteria)
			qt.Assert(t, err, qt.IsNil)
			ids = append(ids, call.Server.ID, stream.Server.ID, holder.ID)
		}
		return ids, draws
	}
	plain, named := oldAndNew(), oldAndNew()
	for i := range plain {
		plain[i].Version, named[i].Version = "", "v1"
	}
	withVersion, draws := choices(named)
	without, drawsWithout := choices(plain)
	qt.Check(t, withVersion, qt.DeepEquals, without)
	qt.Check(t, draws, qt.Equals, drawsWithout)
	_, draws = choices(oldAndNew())
	qt.Check(t, draws, qt.Equals, drawsWithout)
}

// TestRuleThatChangesDuringTheWaitForAPermit has an old server with a limit: while a call waits for its
// permit, the old version comes to be avoided.
func TestRuleThatChangesDuringTheWaitForAPermit(t *testing.T) {
	now := time.Unix(1000, 0)
	current := pool.VersionRule{Avoid: []string{"v2"}}
	p := pool.New(pool.Options{
		Now:         func() time.Time { return now },
		Draw:        func() float64 { return 0 },
		CurrentRule: func(string, pool.VersionRule) pool.VersionRule { return current },
		TakePermit: func(permit.Request) permit.Reply {
			current = pool.VersionRule{Avoid: []string{"v1"}}
			return permit.Reply{Granted: true, Serial: 1}
		},
		ObservePermit: func(permit.Observation) {},
	})
	p.Update([]pool.Server{versionServer("a-old", "a", "v1"), versionServer("a-new", "a", "v2")})
	p.ApplyLimit(versionServer("a-old", "a", "v1"), pool.Reply{}, named)
	lease, err := p.AcquireForCall("s", nil, pool.VersionRule{})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, current.Avoid, qt.DeepEquals, []string{"v1"}, qt.Commentf("a permit was asked for"))
	qt.Check(t, lease.Server.Version, qt.Equals, "v2")
}
