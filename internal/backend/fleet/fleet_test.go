package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/endivespoke/endivespoke/internal/backend/fleet"
	"github.com/endivespoke/endivespoke/internal/config/object"
	"github.com/endivespoke/endivespoke/internal/lab/property"
)

func init() { property.FixSeed() }

type clock struct {
	at time.Time
}

func (c *clock) now() time.Time { return c.at }

func newFleet(count int) (*fleet.Fleet, *clock, *object.Set) {
	c := &clock{at: time.Unix(1000, 0)}
	f := fleet.New(fleet.Options{Now: c.now, Random: rand.New(rand.NewPCG(1, 2))})
	set := &object.Set{}
	for i := range count {
		set.BackendServers = append(set.BackendServers, object.BackendServer{Name: fmt.Sprint("s", i), Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), Versions: []string{"v"}, MaxConcurrent: 10})
	}
	f.Update(set)
	return f, c, set
}

var criteria = fleet.Criteria{Version: "v"}

func pick(t testing.TB, f *fleet.Fleet, criteria fleet.Criteria) *fleet.Lease {
	lease, err := f.Pick(criteria)
	qt.Assert(t, err, qt.IsNil)
	return lease
}

// TestLeavingServerGetsNothingNew picks many times while one server is leaving.
func TestLeavingServerGetsNothingNew(t *testing.T) {
	f, _, set := newFleet(3)
	set.BackendServers[1].State = object.ServerLeaving
	f.Update(set)
	for range 100 {
		qt.Assert(t, pick(t, f, criteria).Server.Name, qt.Not(qt.Equals), "s1")
	}
	server, found := f.Server("s1")
	qt.Assert(t, found, qt.IsTrue)
	qt.Assert(t, server.State, qt.Equals, object.ServerLeaving)
}

func TestLoadSpreads(t *testing.T) {
	f, _, _ := newFleet(5)
	counts := map[string]int{}
	for range 100 {
		counts[pick(t, f, criteria).Server.Name]++
	}
	for name, count := range counts {
		qt.Assert(t, count >= 15 && count <= 25, qt.IsTrue, qt.Commentf("%s got %d of 100", name, count))
	}
}

// TestEjectionProbeAndReturn follows one server through a failure: it is ejected, probed
// by one request, and returns.
func TestEjectionProbeAndReturn(t *testing.T) {
	f, c, _ := newFleet(3)
	qt.Assert(t, f.RecordFailure("s0"), qt.IsFalse)
	qt.Assert(t, f.RecordFailure("s0"), qt.IsTrue)
	for range 50 {
		lease := pick(t, f, criteria)
		qt.Assert(t, lease.Server.Name, qt.Not(qt.Equals), "s0")
		lease.Release()
	}
	c.at = c.at.Add(1100 * time.Millisecond)
	probes := 0
	for range 50 {
		if pick(t, f, criteria).Server.Name == "s0" {
			probes++
		}
	}
	qt.Assert(t, probes, qt.Equals, 1)
	qt.Assert(t, f.RecordSuccess("s0"), qt.IsTrue)
	qt.Assert(t, f.RecordSuccess("s0"), qt.IsFalse)
}

// TestWholePoolIsNeverEjected fails every server and expects that one is still tried.
func TestWholePoolIsNeverEjected(t *testing.T) {
	f, _, _ := newFleet(3)
	for i := range 3 {
		f.RecordFailure(fmt.Sprint("s", i))
		f.RecordFailure(fmt.Sprint("s", i))
	}
	lease := pick(t, f, criteria)
	qt.Assert(t, lease, qt.IsNotNil)
}

// TestSuspectsAreKeptApart draws requests of any suspicion. An isolated one never shares
// a server with another suspect.
func TestSuspectsAreKeptApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, _, _ := newFleet(4)
		type held struct {
			lease     *fleet.Lease
			suspicion int
		}
		open := []held{}
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(t *rapid.T) {
				suspicion := rapid.IntRange(0, 3).Draw(t, "suspicion")
				lease, err := f.Pick(fleet.Criteria{Version: "v", Suspicion: suspicion})
				if errors.Is(err, fleet.ErrNone) {
					property.Assert(t, suspicion > 0, qt.IsTrue)
					return
				}
				open = append(open, held{lease, suspicion})
			},
			"release": func(t *rapid.T) {
				if len(open) > 0 {
					open[0].lease.Release()
					open = open[1:]
				}
			},
			"": func(t *rapid.T) {
				suspects := map[string]int{}
				isolated := map[string]int{}
				for _, one := range open {
					if one.suspicion > 0 {
						suspects[one.lease.Server.Name]++
					}
					if one.suspicion > 1 {
						isolated[one.lease.Server.Name]++
					}
				}
				for server, count := range isolated {
					property.Assert(t, count, qt.Equals, 1)
					property.Assert(t, suspects[server], qt.Equals, 1)
				}
			},
		})
	})
}

// TestAffinityStaysOnOneServer sends one prefix, a request at a time: all go to the
// server that has it cached.
func TestAffinityStaysOnOneServer(t *testing.T) {
	f, _, _ := newFleet(4)
	first := pick(t, f, fleet.Criteria{Version: "v", Prefix: "p"})
	first.Release()
	for range 30 {
		lease := pick(t, f, fleet.Criteria{Version: "v", Prefix: "p"})
		qt.Assert(t, lease.Server.Name, qt.Equals, first.Server.Name)
		lease.Release()
	}
}

// TestAffinityNeverOverloads sends one prefix only and lets all requests run. No server
// gets more than a bounded number above another.
func TestAffinityNeverOverloads(t *testing.T) {
	f, _, _ := newFleet(4)
	counts := map[string]int{}
	for range 24 {
		counts[pick(t, f, fleet.Criteria{Version: "v", Prefix: "p"}).Server.Name]++
	}
	most, least := 0, 24
	for i := range 4 {
		most = max(most, counts[fmt.Sprint("s", i)])
		least = min(least, counts[fmt.Sprint("s", i)])
	}
	qt.Assert(t, most-least <= 4, qt.IsTrue, qt.Commentf("%v", counts))
}

func TestNoServerForUnknownVersion(t *testing.T) {
	f, _, _ := newFleet(2)
	_, err := f.Pick(fleet.Criteria{Version: "other"})
	qt.Assert(t, errors.Is(err, fleet.ErrNone), qt.IsTrue)
	qt.Assert(t, f.Capacity(fleet.Criteria{Version: "other"}), qt.Equals, 0)
	qt.Assert(t, f.Capacity(criteria), qt.Equals, 20)
}

// TestPinnedWorkStaysAtItsSoftwareVersion draws picks, failures and changes of the published versions.
func TestPinnedWorkStaysAtItsSoftwareVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, c, set := newFleet(6)
		version := rapid.SampledFrom([]string{"", "1.0", "1.1"})
		name := rapid.SampledFrom([]string{"s0", "s1", "s2", "s3", "s4", "s5"})
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				for i := range set.BackendServers {
					set.BackendServers[i].SoftwareVersion = version.Draw(t, "version")
				}
				f.Update(set)
			},
			"fail": func(t *rapid.T) { f.RecordFailure(name.Draw(t, "server")) },
			"wait": func(*rapid.T) { c.at = c.at.Add(time.Second) },
			"pick": func(t *rapid.T) {
				pinned := fleet.Criteria{Version: "v", PinnedSoftware: true, SoftwareVersion: version.Draw(t, "version"), Suspicion: rapid.IntRange(0, 3).Draw(t, "suspicion"), Content: "c", Suspects: []string{"d", "c"}}
				lease, err := f.Pick(pinned)
				if err != nil {
					property.Assert(t, errors.Is(err, fleet.ErrNone), qt.IsTrue)
					return
				}
				property.Assert(t, lease.Server.SoftwareVersion, qt.Equals, pinned.SoftwareVersion)
				property.Assert(t, f.Capacity(pinned) > 0, qt.IsTrue)
				lease.Release()
			},
		})
	})
}

// TestEjectedServersOfAVersionGetItsWork guards against pinned work that waits while half of the
// servers of its version are ejected, since most servers of other versions are not.
func TestEjectedServersOfAVersionGetItsWork(t *testing.T) {
	f, _, set := newFleet(6)
	for i := range set.BackendServers {
		set.BackendServers[i].SoftwareVersion = "1.1"
	}
	set.BackendServers[0].SoftwareVersion = "1.0"
	f.Update(set)
	f.RecordFailure("s0")
	f.RecordFailure("s0")
	lease := pick(t, f, fleet.Criteria{Version: "v", PinnedSoftware: true, SoftwareVersion: "1.0"})
	qt.Assert(t, lease.Server.Name, qt.Equals, "s0")
}
