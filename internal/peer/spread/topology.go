package spread

import (
	"cmp"
	"encoding/binary"
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

// topology is whom this VM deals with. It depends on who is up, and on their addresses and failure domains.
type topology struct {
	ring                        []*member // All that are up, by place.
	cells                       int       // How many cells there are; see placement.Cells.
	mates, near, leads, keepers []*member
}

// arrangement is the same as entries, which are shared and must not be changed.
type arrangement struct {
	up                          []Member // By place on the hash ring.
	hash                        uint64
	mates, near, leads, keepers []Member
}

// newTopology finds out which cell each member is in, and whom this VM talks to.
func (ms *members) newTopology() topology {
	ring := ms.ring()
	t := topology{ring: ring, cells: placement.CellCount(len(ring))}
	cells := assignCells(ring, t.cells)
	t.mates = slices.DeleteFunc(slices.Clone(cells[ms.self.cell]), func(m *member) bool { return m == &ms.self })
	t.near = nearOf(&ms.self, ring)
	t.leads = leadsOf(&ms.self, cells)
	t.keepers = keepersOf(cells)
	return t
}

// arrange gives the entries as they are now.
func (t *topology) arrange() arrangement {
	hash := uint64(0)
	for _, m := range t.ring {
		hash += m.sum
	}
	return arrangement{
		up:      entriesOf(t.ring),
		hash:    hash,
		mates:   entriesOf(t.mates),
		near:    entriesOf(t.near),
		leads:   entriesOf(t.leads),
		keepers: entriesOf(t.keepers),
	}
}

func entriesOf(members []*member) []Member {
	entries := make([]Member, len(members))
	for i, m := range members {
		entries[i] = m.Member
	}
	return entries
}

// sortRing orders members by their place on the hash ring.
func sortRing(members []*member) {
	slices.SortFunc(members, func(a, b *member) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.ID, b.ID)) })
}

// assignCells spreads the members of each failure domain evenly over the cells, in the
// order of the ring. VMs with the same ring agree.
func assignCells(ring []*member, count int) (cells [][]*member) {
	sizes := map[string]int{}
	for _, m := range ring {
		sizes[m.FailureDomain]++
	}
	cells = make([][]*member, count)
	ranks := map[string]int{}
	for _, m := range ring {
		m.cell = placement.CellOf(ranks[m.FailureDomain], sizes[m.FailureDomain], count)
		ranks[m.FailureDomain]++
		cells[m.cell] = append(cells[m.cell], m)
	}
	return cells
}

// nearOf gives the VMs that a VM exchanges with. With 300 VMs these are 9 fingers and the
// next successors.
func nearOf(self *member, ring []*member) []*member {
	if len(ring) <= allNear+1 {
		return slices.DeleteFunc(slices.Clone(ring), func(m *member) bool { return m == self })
	}
	near := []*member{}
	add := func(m *member) {
		if m != self && !slices.Contains(near, m) {
			near = append(near, m)
		}
	}
	for span, left := uint64(1)<<63, len(ring); left > 1; span, left = span/2, left/2 {
		at, _ := slices.BinarySearchFunc(ring, self.at+span, func(m *member, at uint64) int { return cmp.Compare(m.at, at) })
		add(ring[at%len(ring)])
	}
	at := slices.Index(ring, self)
	for i := range nextSuccessors {
		add(ring[(at+1+i)%len(ring)])
	}
	return near
}

// leadsOf gives one VM of each cell but a VM's own. Two VMs seldom choose the same.
func leadsOf(self *member, cells [][]*member) []*member {
	leads := []*member{}
	for cell, members := range cells {
		if cell == self.cell || len(members) == 0 {
			continue
		}
		leads = append(leads, slices.MinFunc(members, func(a, b *member) int {
			return cmp.Compare(placement.Mix(self.at^a.at), placement.Mix(self.at^b.at))
		}))
	}
	return leads
}

// keepersOf gives the keepers of each cell.
func keepersOf(cells [][]*member) []*member {
	keepers := []*member{}
	for _, members := range cells {
		keepers = append(keepers, members[:min(keepersOfCell, len(members))]...)
	}
	return keepers
}

// watchersOf ranks VMs by a hash of group and address (rendezvous hashing, Thaler and
// Ravishankar 1998) and gives the first, those in other failure domains than the ones
// before them first.
func watchersOf(group string, live []Member) []Member {
	type place struct {
		rank uint64
		*Member
	}
	ranked := make([]place, len(live))
	of := placement.Hash(group)
	for i := range live {
		ranked[i] = place{rank: placement.Mix(of ^ placement.Hash(live[i].PeerAddress)), Member: &live[i]}
	}
	slices.SortFunc(ranked, func(a, b place) int { return cmp.Compare(a.rank, b.rank) })
	watchers, rest := []Member{}, []Member{}
	domains := map[string]bool{}
	for _, m := range ranked {
		if m.Leaving || domains[m.FailureDomain] {
			rest = append(rest, *m.Member)
			continue
		}
		domains[m.FailureDomain] = true
		watchers = append(watchers, *m.Member)
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
	snapshot := s.Snapshot()
	s.watchMu.Lock()
	defer s.watchMu.Unlock()
	if !snapshot.SharesLive(s.watched.live) {
		s.watched = watchList{live: snapshot.Live, watchers: map[string][]Member{}}
	}
	known, found := s.watched.watchers[group]
	if !found {
		known = watchersOf(group, snapshot.Live)
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

// digest names an entry.
func (m *member) digest() [digestSize]byte {
	digest := [digestSize]byte{}
	binary.LittleEndian.PutUint32(digest[:], uint32(m.sum))
	return digest
}

// digests lists those of the members that are up.
func (ms *members) digests() []byte {
	ms.arranged()
	told := make([]byte, 0, digestSize*len(ms.topology.ring))
	for _, m := range ms.topology.ring {
		d := m.digest()
		told = append(told, d[:]...)
	}
	return told
}

// compare gives the entries that a peer with these digests lacks, down ones included, and
// the digests of those that this VM lacks.
func (ms *members) compare(digests []byte) (lacking []Member, wanted []byte) {
	ms.arranged()
	theirs := setOf(digests)
	for _, m := range ms.topology.ring {
		d := m.digest()
		if !theirs[d] {
			lacking = append(lacking, m.Member)
		}
		delete(theirs, d)
	}
	for _, m := range ms.others {
		if d := m.digest(); m.Down && theirs[d] {
			lacking = append(lacking, m.Member)
			delete(theirs, d)
		}
	}
	for d := range theirs {
		wanted = append(wanted, d[:]...)
	}
	return lacking, wanted
}

// named gives the entries of digests.
func (ms *members) named(digests []byte) []Member {
	if len(digests) == 0 {
		return nil
	}
	ms.arranged()
	wanted := setOf(digests)
	entries := []Member{}
	for _, m := range ms.topology.ring {
		if wanted[m.digest()] {
			entries = append(entries, m.Member)
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
