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

// TestNeighboursAreFewAndReachAll checks that a message that each VM sends to its neighbours reaches
// all in few steps, also after 55 of 100 VMs are lost together.
func TestNeighboursAreFewAndReachAll(t *testing.T) {
	for _, c := range []struct{ vms, neighbours, steps int }{{2, 1, 1}, {6, 5, 1}, {13, 12, 1}, {30, 8, 4}, {100, 10, 6}, {300, 12, 7}, {430, 12, 8}} {
		all := membersOf(c.vms)
		for _, left := range [][]Member{all, all[:(c.vms*45+99)/100]} {
			ms := newMembers(left[0])
			ms.merge(left[1:], time0)
			ring := ms.ring()
			neighbours := map[string][]Member{}
			for _, m := range ring {
				neighbours[m.ID] = entriesOf(neighboursOf(m, ring))
				qt.Assert(t, len(neighbours[m.ID]) <= c.neighbours, qt.IsTrue, qt.Commentf("%d of %d VMs are neighbours", len(neighbours[m.ID]), c.vms))
			}
			known := map[string]bool{left[0].ID: true}
			for range c.steps {
				reached := []Member{}
				for id := range known {
					reached = append(reached, neighbours[id]...)
				}
				for _, m := range reached {
					known[m.ID] = true
				}
			}
			qt.Assert(t, known, qt.HasLen, len(left), qt.Commentf("of %d VMs after %d steps", len(left), c.steps))
		}
	}
}

// TestWatchersAreInDifferentDomainsAndStable checks that the watchers of a group are in different
// failure domains, that most of them stay when one is lost, and that groups are spread over VMs.
func TestWatchersAreInDifferentDomainsAndStable(t *testing.T) {
	live := membersOf(100)
	groupsWatched := map[string]int{}
	for i := range 50 {
		group := fmt.Sprint("model/", i)
		watchers := watchersOf(group, live)
		qt.Assert(t, watchers, qt.HasLen, watchersPerGroup)
		domains := map[string]bool{}
		for _, m := range watchers {
			domains[m.FailureDomain] = true
			groupsWatched[m.ID]++
		}
		qt.Assert(t, domains, qt.HasLen, watchersPerGroup)
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
		qt.Assert(t, stayed >= watchersPerGroup-2, qt.IsTrue, qt.Commentf("%d of the remaining watchers stay", stayed))
	}
	qt.Assert(t, len(groupsWatched) > 60, qt.IsTrue, qt.Commentf("only %d of 100 VMs watch 50 groups", len(groupsWatched)))
}

// TestReconcileNeedsOneRequest checks that two VMs with any entries have the same ones after one
// has sent its digests and the other has replied, including members that are down and newer
// versions.
func TestReconcileNeedsOneRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := membersOf(12)
		a, b := newMembers(all[0]), newMembers(all[1])
		for _, ms := range []*members{a, b} {
			for _, m := range all[2:] {
				switch rapid.IntRange(0, 3).Draw(t, "known") {
				case 1:
					ms.merge([]Member{m}, time0)
				case 2:
					m.Version = 2
					ms.merge([]Member{m}, time0)
				case 3:
					ms.merge([]Member{m}, time0)
					ms.markDown(m.ID, time0)
				}
			}
		}
		lacking, wanted := b.diff(a.digests())
		a.merge(lacking, time0)
		b.merge(a.byDigests(wanted), time0)
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
				continue // The member itself has to refute that it is down.
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

// TestEntriesSentByAPeerAreMerged checks that a message with nothing but the entries that this VM
// lacks is merged.
func TestEntriesSentByAPeerAreMerged(t *testing.T) {
	all := membersOf(3)
	s := New(Options{Self: all[0], Now: time.Now, Logger: hclog.NewNullLogger(), Post: func(string, string, []byte) {},
		Call: func(context.Context, string, string, []byte) ([]byte, error) {
			return nil, errors.New("no peer at this address")
		},
		Disconnect: func(string) {}, Copies: func() []CopyLocation { return nil }, Departures: func() []pool.Departure { return nil },
		Loads: func() []pool.Load { return nil }, ServiceUsage: func() []ServiceUsage { return nil }})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = s.Serve(ctx) }()
	lacking := message{From: all[1].ID, Members: all[1:], NoReply: true}
	qt.Assert(t, s.OnMessage(lacking.encode()), qt.HasLen, 0)
	for end := time.Now().Add(2 * time.Second); len(s.Snapshot().Live) < 3 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, s.Snapshot().Live, qt.HasLen, 3)
}

// TestRestartedProcessReplacesTheOldOne restarts a process before any VM has marked the old one as
// down, so that entries of both arrive in any order. Once the new process has received the old
// one's entry, all VMs converge on the new one.
func TestRestartedProcessReplacesTheOldOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := membersOf(4)
		before := all[3]
		before.Version = 2 // It has announced that it is leaving.
		again := Member{ID: "vm-3-again", PeerAddress: before.PeerAddress, FailureDomain: before.FailureDomain, Version: 1}
		fleet := []*members{newMembers(all[0]), newMembers(all[1]), newMembers(all[2]), newMembers(again)}
		for i, ms := range fleet[:3] {
			ms.merge(all[:3], time0)
			if i < 2 {
				ms.merge([]Member{before}, time0)
			}
		}
		send := func(from, to *members) { to.merge(from.up(), time0) }
		send(fleet[0], fleet[3])
		for range rapid.IntRange(0, 30).Draw(t, "messages") {
			send(fleet[rapid.IntRange(0, 3).Draw(t, "from")], fleet[rapid.IntRange(0, 3).Draw(t, "to")])
		}
		for _, ms := range fleet {
			send(fleet[3], ms)
		}
		for _, from := range fleet {
			for _, to := range fleet {
				send(from, to)
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

// TestCachedPeerListsMatchTheEntries checks the caches of members: after any sequence of changes
// and reads, the peer lists equal those of a VM that receives all current entries at once.
func TestCachedPeerListsMatchTheEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := membersOf(rapid.SampledFrom([]int{5, 20, 60, 130}).Draw(t, "VMs"))
		ms := newMembers(all[0])
		ms.merge(all[1:rapid.IntRange(1, len(all)).Draw(t, "known")], time0)
		for range rapid.IntRange(1, 6).Draw(t, "steps") {
			m := all[rapid.IntRange(1, len(all)-1).Draw(t, "who")]
			if known := ms.others[m.ID]; known != nil {
				m = known.Member
				m.Version += 1
			}
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0:
				ms.markDown(m.ID, time0)
			case 1:
				m.Down = true
				ms.merge([]Member{m}, time0)
			case 2:
				m.Down, m.StoreUnreachable = false, !m.StoreUnreachable
				ms.merge([]Member{m}, time0)
			case 3:
				m.Down, m.ID = false, m.ID+"'" // Another process at the address.
				ms.merge([]Member{m}, time0)
			case 4:
				m.Down, m.FailureDomain = false, "other"
				ms.merge([]Member{m}, time0)
			case 5:
				ms.setSelf(func(self *Member) { self.Ready = !self.Ready })
			case 6:
				ms.removeExpired(time0.Add(2 * downRetention))
			default:
				m.Down = false
				ms.merge([]Member{m}, time0)
			}
			if rapid.Bool().Draw(t, "look") {
				ms.up()
			}
		}
		rebuilt := newMembers(ms.self.Member)
		for _, m := range ms.others {
			if !m.Down {
				rebuilt.merge([]Member{m.Member}, time0)
			}
		}
		now, want := ms.peerLists(), rebuilt.peerLists()
		for _, c := range [][2][]Member{{now.up, want.up}, {now.cellPeers, want.cellPeers}, {now.neighbours, want.neighbours}, {now.forwarders, want.forwarders}, {now.copyIndexVMs, want.copyIndexVMs}} {
			property.Assert(t, c[0], qt.DeepEquals, c[1])
		}
		property.Assert(t, now.hash, qt.Equals, want.hash)
		property.Assert(t, ms.self.cell, qt.Equals, rebuilt.self.cell)
	})
}

// BenchmarkPeerLists rebuilds the cell, neighbours and forwarders after a change of membership.
func BenchmarkPeerLists(b *testing.B) {
	for _, vms := range []int{100, 300, 1500} {
		b.Run(fmt.Sprint(vms, " VMs"), func(b *testing.B) {
			all := membersOf(vms)
			ms := newMembers(all[0])
			ms.merge(all[1:], time0)
			for _, topologyChanged := range []bool{true, false} {
				b.Run(fmt.Sprint("topology changed ", topologyChanged), func(b *testing.B) {
					for b.Loop() {
						ms.topologyChanged, ms.entriesChanged = topologyChanged, true
						ms.up()
					}
				})
			}
		})
	}
}
