package gossip_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/endivespoke/endivespoke/internal/lab/property"
	"github.com/endivespoke/endivespoke/internal/peer/gossip"
	"github.com/endivespoke/endivespoke/internal/peer/wire"
	"github.com/endivespoke/endivespoke/internal/platform/vmlist"
)

func init() { property.FixSeed() }

// group is a set of memberships that exchange heartbeats in rounds, without a
// clock or network.
type group struct {
	now         time.Time
	vms         map[string]*gossip.Membership
	order       []string
	partitioned func(from, to string) bool
}

func newGroup(count int) *group {
	g := &group{now: time.Unix(1000, 0), vms: map[string]*gossip.Membership{}, partitioned: func(string, string) bool { return false }}
	listed := []vmlist.VM{}
	for i := range count {
		id := fmt.Sprintf("vm-%03d", i)
		g.order = append(g.order, id)
		g.vms[id] = gossip.NewMembership(wire.Member{ID: id, Incarnation: 1, State: wire.MemberLive, FailureDomain: fmt.Sprint("domain-", i%4), PeerAddress: id})
		listed = append(listed, vmlist.VM{ID: id, PeerAddress: id, FailureDomain: fmt.Sprint("domain-", i%4), State: vmlist.StateLive})
	}
	for _, id := range g.order {
		g.vms[id].ApplyList(listed, g.now)
	}
	return g
}

// round sends one heartbeat from every VM to each of its targets.
func (g *group) round() {
	g.now = g.now.Add(gossip.HeartbeatInterval)
	for _, id := range g.order {
		membership := g.vms[id]
		for _, target := range membership.Targets() {
			other := g.vms[target.ID]
			if other == nil || g.partitioned(id, target.ID) || g.partitioned(target.ID, id) {
				membership.HeartbeatMissed(target.ID, g.now)
				continue
			}
			other.Merge(membership.Digest(), g.now)
			membership.HeartbeatAnswered(target.ID)
			membership.Merge(other.RecentChanges(), g.now)
		}
	}
}

// agree reports whether all other VMs that list a VM have it in the given state.
func (g *group) agree(id string, want wire.MemberState) bool {
	for _, other := range g.order {
		if other == id || g.vms[other] == nil {
			continue
		}
		for _, member := range g.vms[other].Members() {
			if member.ID == id && member.State != want {
				return false
			}
		}
	}
	return true
}

func (g *group) remove(id string) {
	delete(g.vms, id)
	for at, known := range g.order {
		if known == id {
			g.order = append(g.order[:at], g.order[at+1:]...)
			return
		}
	}
}

// countRounds runs rounds until done, at most limit, and returns their number.
func (g *group) countRounds(limit int, done func() bool) int {
	for round := range limit {
		if done() {
			return round
		}
		g.round()
	}
	return limit
}

func TestLossReachesAllVMs(t *testing.T) {
	for _, count := range []int{3, 9, 100, 430} {
		g := newGroup(count)
		g.round()
		g.remove("vm-001")
		rounds := g.countRounds(20, func() bool { return g.agree("vm-001", wire.MemberDown) })
		t.Logf("%d VMs: %d rounds", count, rounds)
		qt.Assert(t, time.Duration(rounds)*gossip.HeartbeatInterval <= 8*time.Second, qt.IsTrue)
	}
}

func TestLeavingReachesAllVMsWithinTwoSeconds(t *testing.T) {
	for _, count := range []int{9, 430} {
		g := newGroup(count)
		g.round()
		g.vms["vm-002"].Leave()
		rounds := g.countRounds(20, func() bool { return g.agree("vm-002", wire.MemberLeaving) })
		qt.Assert(t, time.Duration(rounds)*gossip.HeartbeatInterval <= 2*time.Second, qt.IsTrue, qt.Commentf("%d VMs: %d rounds", count, rounds))
	}
}

// TestPartitionHeals partitions a third of the VMs. Each side marks the other as
// down and only the larger one sees a majority; afterwards all list all as live.
func TestPartitionHeals(t *testing.T) {
	g := newGroup(30)
	side := func(id string) bool { return id < "vm-010" }
	g.partitioned = func(from, to string) bool { return side(from) != side(to) }
	for range 20 {
		g.round()
	}
	qt.Assert(t, g.vms["vm-000"].SeesMajority(), qt.IsFalse)
	qt.Assert(t, g.vms["vm-020"].SeesMajority(), qt.IsTrue)
	g.partitioned = func(string, string) bool { return false }
	rounds := g.countRounds(60, func() bool {
		for _, id := range g.order {
			if !g.agree(id, wire.MemberLive) {
				return false
			}
		}
		return true
	})
	qt.Assert(t, rounds < 60, qt.IsTrue, qt.Commentf("%d rounds", rounds))
}

// TestPausedVMRefutesDown checks that a VM that was marked as down is live again
// for all soon after it resumes.
func TestPausedVMRefutesDown(t *testing.T) {
	g := newGroup(9)
	g.partitioned = func(from, to string) bool { return from == "vm-004" || to == "vm-004" }
	g.countRounds(20, func() bool { return g.agree("vm-004", wire.MemberDown) })
	g.partitioned = func(string, string) bool { return false }
	rounds := g.countRounds(20, func() bool { return g.agree("vm-004", wire.MemberLive) })
	qt.Assert(t, rounds < 20, qt.IsTrue)
}

// TestHeartbeatTrafficStaysWithinLimit checks what one VM sends at 430 VMs, the fleet size
// of the next two years: heartbeats and replies must stay within 14 KB/s, of which a
// fifth is reserved for configurations.
func TestHeartbeatTrafficStaysWithinLimit(t *testing.T) {
	g := newGroup(430)
	for range 30 {
		g.round() // Changes of the start are no longer sent.
	}
	membership := g.vms["vm-100"]
	size := func(members []wire.Member) int {
		for i := range members {
			members[i].FailureDomain = "failure-domain"
			members[i].CallerAddress = "10.100.200.1:8080"
			members[i].PeerAddress = "10.100.200.1:8081"
		}
		body, err := wire.Encode(wire.Frame{Call: 1 << 30, Heartbeat: &wire.Heartbeat{From: "vm-100", Revision: 1 << 20, FreshMillis: 6000, Members: members}})
		qt.Assert(t, err, qt.IsNil)
		return len(body)
	}
	heartbeatsReceived := 0
	for _, id := range g.order {
		for _, target := range g.vms[id].Targets() {
			if target.ID == "vm-100" {
				heartbeatsReceived++
			}
		}
	}
	sent := len(membership.Targets())*size(membership.Digest()) + heartbeatsReceived*size(membership.RecentChanges())
	perSecond := float64(sent) / gossip.HeartbeatInterval.Seconds()
	t.Logf("%d targets, heartbeats from %d: %.0f bytes per second", len(membership.Targets()), heartbeatsReceived, perSecond)
	qt.Assert(t, perSecond <= 0.8*14_000, qt.IsTrue)
}

// TestRankMovesOnlyTheLostVMsKeys checks the defining property of rendezvous hashing.
func TestRankMovesOnlyTheLostVMsKeys(t *testing.T) {
	members := []wire.Member{}
	for i := range 12 {
		members = append(members, wire.Member{ID: fmt.Sprint("vm-", i), State: wire.MemberLive})
	}
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.String().Draw(t, "key")
		lost := rapid.IntRange(0, 11).Draw(t, "lost")
		before := gossip.Rank(key, members)
		fewer := append(append([]wire.Member{}, members[:lost]...), members[lost+1:]...)
		after := gossip.Rank(key, fewer)
		kept := []wire.Member{}
		for _, member := range before {
			if member.ID != members[lost].ID {
				kept = append(kept, member)
			}
		}
		property.Assert(t, after, qt.DeepEquals, kept)
	})
}

func TestHoldersPreferOtherFailureDomains(t *testing.T) {
	self := wire.Member{ID: "vm-0", FailureDomain: "a", State: wire.MemberLive}
	members := []wire.Member{
		self,
		{ID: "vm-1", FailureDomain: "a", State: wire.MemberLive},
		{ID: "vm-2", FailureDomain: "b", State: wire.MemberLive},
		{ID: "vm-3", FailureDomain: "b", State: wire.MemberDown},
		{ID: "vm-4", FailureDomain: "c", State: wire.MemberLeaving},
	}
	ids := []string{}
	for _, holder := range gossip.Holders("key", self, members) {
		ids = append(ids, holder.ID)
	}
	qt.Assert(t, ids, qt.DeepEquals, []string{"vm-2", "vm-1"})
}
