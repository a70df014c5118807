package spread

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/endivespoke/endivespoke/internal/backend/placement"
)

// Who talks to whom. What a VM sends, and how many connections it holds, must not grow
// with the product of VMs and events, so each kind of news has receivers of its own:
//
//	near      exchanges and hints. Up to allNear VMs these are all others; in larger fleets
//	          they are the successors on a hash ring at half of it, a quarter and so on
//	          (Stoica et al., Chord, 2001), so that news crosses 300 VMs in some five steps.
//	mates     work on servers and places of copies: the other VMs of this VM's cell.
//	leads     one VM of each other cell. What all must know goes to the mates and the
//	          leads, and each lead passes it on to its own mates.
//	watchers  three VMs for each failure domain of a service. Others report losses to them;
//	          they check the servers there and tell all. See package pool.
//	keepers   two VMs of each cell that are asked where copies are.
//
// A fleet of one cell has no leads: its mates are all others, and each VM is a watcher.

const (
	// allNear is the size of a fleet up to which all others are near: log2 of 300 and some.
	allNear = 12
	// nextSuccessors are near beside the fingers, so that a few losses at once leave enough.
	nextSuccessors = 3
	// watchersOfGroup is how many VMs watch a group of servers, in as many failure domains
	// of VMs as there are; two failure domains may be lost together.
	watchersOfGroup = 3
	// keepersOfCell is how many VMs of a cell are asked where copies are.
	keepersOfCell = 2
)

// place is a member on the hash ring.
type place struct {
	Member
	at uint64
}

// ringOf orders members by their place on the ring.
func ringOf(members []Member) []place {
	ring := make([]place, len(members))
	for i, m := range members {
		ring[i] = place{Member: m, at: placement.Hash(m.PeerAddress)}
	}
	slices.SortFunc(ring, func(a, b place) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.ID, b.ID)) })
	return ring
}

// nearOf gives the VMs that a VM exchanges with. With 300 VMs these are 9 fingers and the
// next successors.
func nearOf(self Member, ring []place) []Member {
	near := []Member{}
	seen := map[string]bool{self.ID: true}
	add := func(m Member) {
		if !seen[m.ID] {
			seen[m.ID] = true
			near = append(near, m)
		}
	}
	if len(ring) <= allNear+1 {
		for _, p := range ring {
			add(p.Member)
		}
		return near
	}
	own := placement.Hash(self.PeerAddress)
	for span, left := uint64(1)<<63, len(ring); left > 1; span, left = span/2, left/2 {
		at, _ := slices.BinarySearchFunc(ring, own+span, func(p place, at uint64) int { return cmp.Compare(p.at, at) })
		add(ring[at%len(ring)].Member)
	}
	at := slices.IndexFunc(ring, func(p place) bool { return p.ID == self.ID })
	for i := range nextSuccessors {
		add(ring[(at+1+i)%len(ring)].Member)
	}
	return near
}

// leadsOf gives one VM of each cell but this VM's. Two VMs seldom choose the same.
func leadsOf(self Member, cells [][]Member, own int) []Member {
	leads := []Member{}
	for cell, members := range cells {
		if cell == own || len(members) == 0 {
			continue
		}
		leads = append(leads, slices.MinFunc(members, func(a, b Member) int {
			return cmp.Compare(placement.Hash(self.PeerAddress+a.PeerAddress), placement.Hash(self.PeerAddress+b.PeerAddress))
		}))
	}
	return leads
}

// keepersOf gives the keepers of each cell.
func keepersOf(cells [][]Member) []Member {
	keepers := []Member{}
	for _, members := range cells {
		ranked := ringOf(members)
		for _, p := range ranked[:min(keepersOfCell, len(ranked))] {
			keepers = append(keepers, p.Member)
		}
	}
	return keepers
}

// watchersOf ranks VMs by a hash of group and address (rendezvous hashing, Thaler and
// Ravishankar 1998) and gives the first, those in other failure domains than the ones
// before them first.
func watchersOf(group string, live []Member) []Member {
	ranked := slices.Clone(live)
	rank := make(map[string]uint64, len(live))
	for _, m := range live {
		rank[m.ID] = placement.Hash(group + "|" + m.PeerAddress)
	}
	slices.SortFunc(ranked, func(a, b Member) int { return cmp.Compare(rank[a.ID], rank[b.ID]) })
	watchers, rest := []Member{}, []Member{}
	domains := map[string]bool{}
	for _, m := range ranked {
		if m.Leaving || domains[m.FailureDomain] {
			rest = append(rest, m)
			continue
		}
		domains[m.FailureDomain] = true
		watchers = append(watchers, m)
	}
	watchers = append(watchers, rest...)
	return watchers[:min(watchersOfGroup, len(watchers))]
}

// watchList is the watchers of each group among the same live VMs.
type watchList struct {
	live     []Member
	watchers map[string][]Member
}

// Watchers gives the VMs that watch a group of servers.
func (s *Spread) Watchers(group string) []Member {
	live := s.Snapshot().Live
	s.watchMu.Lock()
	defer s.watchMu.Unlock()
	if len(s.watched.live) != len(live) || &s.watched.live[0] != &live[0] {
		s.watched = watchList{live: live, watchers: map[string][]Member{}}
	}
	known, found := s.watched.watchers[group]
	if !found {
		known = watchersOf(group, live)
		s.watched.watchers[group] = known
	}
	return known
}

// Watches reports whether this VM watches a group of servers.
func (s *Spread) Watches(group string) bool {
	if s.Snapshot().Cells <= 1 {
		return true
	}
	return slices.ContainsFunc(s.Watchers(group), func(m Member) bool { return m.ID == s.options.Self.ID })
}

// A VM that finds that it knows other members than a peer gets the digests of what the
// peer knows, and then only the entries that one of them lacks. When 300 VMs start
// together, each hears of the others in some hundred answers; whole lists of 27 KB in
// each would fill their links.

// digestSize is the size of one digest in bytes.
const digestSize = 4

// digest names an entry of a member that is up.
func (m Member) digest() [digestSize]byte {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(m.ID)) // A hash never fails to write.
	_, _ = sum.Write([]byte{byte(m.Version), byte(m.Version >> 8), byte(m.Version >> 16), byte(m.Version >> 24)})
	return [digestSize]byte(sum.Sum(nil))
}

// digests lists those of the members that are up.
func (ms *members) digests() []byte {
	told := []byte{}
	for _, m := range ms.up() {
		d := m.digest()
		told = append(told, d[:]...)
	}
	return told
}

// compare gives the entries that a peer with these digests lacks, down ones included, and
// the digests of those that this VM lacks.
func (ms *members) compare(digests []byte) (lacking []Member, wanted []byte) {
	theirs := setOf(digests)
	ours := map[[digestSize]byte]bool{}
	for _, m := range ms.up() {
		d := m.digest()
		ours[d] = true
		if !theirs[d] {
			lacking = append(lacking, m)
		}
	}
	for _, m := range ms.others {
		if m.Down && theirs[m.digest()] {
			lacking = append(lacking, m.Member)
			ours[m.digest()] = true
		}
	}
	for d := range theirs {
		if !ours[d] {
			wanted = append(wanted, d[:]...)
		}
	}
	return lacking, wanted
}

// named gives the entries of digests.
func (ms *members) named(digests []byte) []Member {
	wanted := setOf(digests)
	entries := []Member{}
	for _, m := range ms.up() {
		if wanted[m.digest()] {
			entries = append(entries, m)
		}
	}
	return entries
}

func setOf(digests []byte) map[[digestSize]byte]bool {
	set := make(map[[digestSize]byte]bool, len(digests)/digestSize)
	for d := range slices.Chunk(digests, digestSize) {
		if len(d) == digestSize {
			set[[digestSize]byte(d)] = true
		}
	}
	return set
}
