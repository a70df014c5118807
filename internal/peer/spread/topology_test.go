package spread

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/lab/property"
)

var time0 = time.Unix(0, 0)

func membersOf(count int) []Member {
	members := []Member{}
	for i := range count {
		members = append(members, Member{ID: fmt.Sprint("vm-", i), PeerAddress: fmt.Sprintf("10.%d.%d.%d:80", i%5, i/250, i), FailureDomain: fmt.Sprint(i % 5), Version: 1})
	}
	return members
}

// TestNearIsSmallAndReachesAll: news that each VM passes to those near it reaches all in few
// steps, also after 55 of 100 VMs are lost together.
func TestNearIsSmallAndReachesAll(t *testing.T) {
	for _, c := range []struct{ vms, near, steps int }{{2, 1, 1}, {6, 5, 1}, {13, 12, 1}, {30, 8, 4}, {100, 10, 6}, {300, 12, 7}, {430, 12, 8}} {
		all := membersOf(c.vms)
		for _, left := range [][]Member{all, all[:(c.vms*45+99)/100]} {
			ms := newMembers(left[0])
			ms.hear(left[1:], time0)
			ring := ms.ring()
			near := map[string][]Member{}
			for _, m := range ring {
				near[m.ID] = entriesOf(nearOf(m, ring))
				qt.Assert(t, len(near[m.ID]) <= c.near, qt.IsTrue, qt.Commentf("%d of %d VMs are near", len(near[m.ID]), c.vms))
			}
			known := map[string]bool{left[0].ID: true}
			for range c.steps {
				told := []Member{}
				for id := range known {
					told = append(told, near[id]...)
				}
				for _, m := range told {
					known[m.ID] = true
				}
			}
			qt.Assert(t, known, qt.HasLen, len(left), qt.Commentf("of %d VMs after %d steps", len(left), c.steps))
		}
	}
}

// TestWatchersAreInDifferentDomainsAndStable: VMs agree on them, a leaving VM is the last
// choice, and one that goes leaves others that go on.
func TestWatchersAreInDifferentDomainsAndStable(t *testing.T) {
	live := membersOf(100)
	watched := map[string]int{}
	for i := range 50 {
		group := fmt.Sprint("model/", i)
		watchers := watchersOf(group, live)
		qt.Assert(t, watchers, qt.HasLen, watchersOfGroup)
		domains := map[string]bool{}
		for _, m := range watchers {
			domains[m.FailureDomain] = true
			watched[m.ID]++
		}
		qt.Assert(t, domains, qt.HasLen, watchersOfGroup)
		fewer := []Member{}
		for _, m := range live {
			if m.ID != watchers[0].ID {
				fewer = append(fewer, m)
			}
		}
		after := watchersOf(group, fewer)
		stayed := 0
		for _, m := range after {
			if slices.Contains(watchers, m) {
				stayed++
			}
		}
		qt.Assert(t, stayed >= watchersOfGroup-2, qt.IsTrue, qt.Commentf("%d of those that are left go on", stayed))
	}
	qt.Assert(t, len(watched) > 60, qt.IsTrue, qt.Commentf("only %d of 100 VMs watch 50 groups", len(watched)))
}

// TestReconcileNeedsOneQuestion: two VMs that know any members know the same after one has
// told its digests and the other has answered, down ones and newer versions included.
func TestReconcileNeedsOneQuestion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := membersOf(12)
		a, b := newMembers(all[0]), newMembers(all[1])
		for _, ms := range []*members{a, b} {
			for _, m := range all[2:] {
				switch rapid.IntRange(0, 3).Draw(t, "known") {
				case 1:
					ms.hear([]Member{m}, time0)
				case 2:
					m.Version = 2
					ms.hear([]Member{m}, time0)
				case 3:
					ms.hear([]Member{m}, time0)
					ms.lost(m.ID, time0)
				}
			}
		}
		lacking, wanted := b.compare(a.digests())
		a.hear(lacking, time0)
		b.hear(a.named(wanted), time0)
		downOnce := map[string]bool{}
		for _, ms := range []*members{a, b} {
			for id, m := range ms.others {
				if m.Down {
					downOnce[id] = true
				}
			}
		}
		for _, m := range b.up() {
			known := a.others[m.ID]
			if m.ID == a.self.ID || downOnce[m.ID] {
				continue // A peer that one of them takes as down is left to its own word.
			}
			property.Assert(t, known != nil && known.Version == m.Version, qt.IsTrue, qt.Commentf("%s", m.ID))
		}
		for _, m := range a.up() {
			if m.ID != b.self.ID && !downOnce[m.ID] {
				property.Assert(t, b.others[m.ID] != nil && b.others[m.ID].Version == m.Version, qt.IsTrue, qt.Commentf("%s", m.ID))
			}
		}
		for id, m := range b.others {
			if known := a.others[id]; m.Down && known != nil && known.Version == m.Version {
				property.Assert(t, known.Down, qt.IsTrue, qt.Commentf("%s is down", id))
			}
		}
	})
}

// TestEntriesThatAPeerLacksAreTakenIn: a peer that found this VM to lack entries sends just
// those.
func TestEntriesThatAPeerLacksAreTakenIn(t *testing.T) {
	all := membersOf(3)
	s := New(Options{Self: all[0], Now: time.Now, Logger: hclog.NewNullLogger(), Post: func(string, string, []byte) {},
		Call: func(context.Context, string, string, []byte) ([]byte, error) {
			return nil, errors.New("nobody is there")
		},
		Disconnect: func(string) {}, Copies: func() []CopyLocation { return nil }, Departures: func() []pool.Departure { return nil },
		Loads: func() []pool.Load { return nil }, ServiceUsage: func() []ServiceUsage { return nil }})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = s.Serve(ctx) }()
	lacking := message{From: all[1].ID, Members: all[1:], NoAnswer: true}
	qt.Assert(t, s.OnMessage(lacking.encode()), qt.HasLen, 0)
	for end := time.Now().Add(2 * time.Second); len(s.Snapshot().Live) < 3 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, s.Snapshot().Live, qt.HasLen, 3)
}

// TestProcessThatStartsAtOnceReplacesTheOneBefore: nobody has seen the old process down, and
// what others tell of it arrives before and after the new one's own word, in any order. Once
// the new process has heard of the old one, all settle on it for good.
func TestProcessThatStartsAtOnceReplacesTheOneBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := membersOf(4)
		before := all[3]
		before.Version = 2 // It told that it is leaving.
		again := Member{ID: "vm-3-again", PeerAddress: before.PeerAddress, FailureDomain: before.FailureDomain, Version: 1}
		fleet := []*members{newMembers(all[0]), newMembers(all[1]), newMembers(all[2]), newMembers(again)}
		for i, ms := range fleet[:3] {
			ms.hear(all[:3], time0)
			if i < 2 {
				ms.hear([]Member{before}, time0)
			}
		}
		tell := func(from, to *members) { to.hear(from.up(), time0) }
		tell(fleet[0], fleet[3])
		for range rapid.IntRange(0, 30).Draw(t, "messages") {
			tell(fleet[rapid.IntRange(0, 3).Draw(t, "from")], fleet[rapid.IntRange(0, 3).Draw(t, "to")])
		}
		for _, ms := range fleet {
			tell(fleet[3], ms)
		}
		for _, from := range fleet {
			for _, to := range fleet {
				tell(from, to)
			}
		}
		for _, ms := range fleet {
			ids := []string{}
			for _, m := range ms.up() {
				ids = append(ids, m.ID)
			}
			slices.Sort(ids)
			property.Assert(t, ids, qt.DeepEquals, []string{"vm-0", "vm-1", "vm-2", "vm-3-again"})
			property.Assert(t, ms.hash(), qt.Equals, fleet[0].hash())
		}
	})
}

// TestArrangementIsThatOfTheEntries: whatever is heard, lost and looked at in between, whom
// a VM deals with is the same as for a VM that learns all entries at once, with the entries
// as they are now.
func TestArrangementIsThatOfTheEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := membersOf(rapid.SampledFrom([]int{5, 20, 60, 130}).Draw(t, "VMs"))
		ms := newMembers(all[0])
		ms.hear(all[1:rapid.IntRange(1, len(all)).Draw(t, "known")], time0)
		for range rapid.IntRange(1, 6).Draw(t, "steps") {
			m := all[rapid.IntRange(1, len(all)-1).Draw(t, "who")]
			if known := ms.others[m.ID]; known != nil {
				m = known.Member
				m.Version += 1
			}
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0:
				ms.lost(m.ID, time0)
			case 1:
				m.Down = true
				ms.hear([]Member{m}, time0)
			case 2:
				m.Down, m.StoreUnreachable = false, !m.StoreUnreachable
				ms.hear([]Member{m}, time0)
			case 3:
				m.Down, m.ID = false, m.ID+"'" // Another process at the address.
				ms.hear([]Member{m}, time0)
			case 4:
				m.Down, m.FailureDomain = false, "other"
				ms.hear([]Member{m}, time0)
			case 5:
				ms.setSelf(func(self *Member) { self.Ready = !self.Ready })
			case 6:
				ms.forget(time0.Add(2 * forgetAfter))
			default:
				m.Down = false
				ms.hear([]Member{m}, time0)
			}
			if rapid.Bool().Draw(t, "look") {
				ms.up()
			}
		}
		anew := newMembers(ms.self.Member)
		for _, m := range ms.others {
			if !m.Down {
				anew.hear([]Member{m.Member}, time0)
			}
		}
		now, from0 := ms.arranged(), anew.arranged()
		for _, c := range [][2][]Member{{now.up, from0.up}, {now.mates, from0.mates}, {now.near, from0.near}, {now.leads, from0.leads}, {now.keepers, from0.keepers}} {
			property.Assert(t, c[0], qt.DeepEquals, c[1])
		}
		property.Assert(t, now.hash, qt.Equals, from0.hash)
		property.Assert(t, ms.self.cell, qt.Equals, anew.self.cell)
	})
}

// BenchmarkArrange works out cell, neighbours and leads after a change of membership.
func BenchmarkArrange(b *testing.B) {
	for _, vms := range []int{100, 300, 1500} {
		b.Run(fmt.Sprint(vms, " VMs"), func(b *testing.B) {
			all := membersOf(vms)
			ms := newMembers(all[0])
			ms.hear(all[1:], time0)
			for _, isMoved := range []bool{true, false} {
				b.Run(fmt.Sprint("moved ", isMoved), func(b *testing.B) {
					for b.Loop() {
						ms.isMoved, ms.isStale = isMoved, true
						ms.up()
					}
				})
			}
		})
	}
}
