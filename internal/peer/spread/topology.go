package spread

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/endivespoke/endivespoke/internal/backend/placement"
)

// The overlay network of the VMs. The traffic and the connections of one VM must not grow with
// the product of VMs and events, so each kind of message has its own receivers:
//
//	neighbours    exchanges and hints. Up to fullMeshPeers other VMs these are all others; in
//	              larger fleets they are the successors on a hash ring at half of it,
//	              a quarter and so on (Stoica et al., Chord, 2001), so that a message crosses
//	              300 VMs in some five steps.
//	cell peers    loads on servers and locations of copies: the other VMs of this VM's cell.
//	forwarders    one VM of each other cell. Announcements to all VMs go to the cell peers and
//	              the forwarders, and each forwarder sends them to its own cell peers.
//	watchers      three VMs for each failure domain of a service. Others report losses to them;
//	              they check the servers there and announce the result to all. See package pool.
//	copy index    two VMs of each cell that are queried for locations of copies.
//
// A fleet of one cell has no forwarders: its cell peers are all others, and each VM is a watcher.

const (
	// fullMeshPeers is the number of other VMs up to which all are neighbours: log2 of 300 and
	// some more.
	fullMeshPeers = 12
	// directSuccessors is the number of next successors that are neighbours in addition to the
	// fingers, so that enough are left after a few simultaneous losses.
	directSuccessors = 3
	// watchersPerGroup is the number of VMs that watch a group of servers, in different failure
	// domains if possible: two failure domains may be lost together.
	watchersPerGroup = 3
	// copyIndexPerCell is the number of VMs of a cell that are queried for locations of copies.
	copyIndexPerCell = 2
)

// topology holds the receivers of this VM's messages. It depends on which VMs are up, and on
// their addresses and failure domains.
type topology struct {
	ring                                            []*member // All members that are up, by position.
	cells                                           int       // Number of cells; see placement.CellCount.
	cellPeers, neighbours, forwarders, copyIndexVMs []*member
	copyIndexCells                                  []int // The cells of copyIndexVMs.
}

// peerLists is the topology as lists of entries, which are shared and must not be changed.
type peerLists struct {
	up                                              []Member // By position on the hash ring.
	hash                                            uint64
	cellPeers, neighbours, forwarders, copyIndexVMs []Member
	copyIndexCells                                  []int
}

// newTopology assigns the members to cells and selects the receivers of this VM's messages.
func (ms *members) newTopology() topology {
	ring := ms.ring()
	t := topology{ring: ring, cells: placement.CellCount(len(ring))}
	cells := assignCells(ring, t.cells)
	t.cellPeers = slices.DeleteFunc(slices.Clone(cells[ms.self.cell]), func(m *member) bool { return m == &ms.self })
	t.neighbours = neighboursOf(&ms.self, ring)
	t.forwarders = forwardersOf(&ms.self, cells)
	t.copyIndexVMs, t.copyIndexCells = copyIndexOf(cells)
	return t
}

// lists returns the current entries of the topology's members.
func (t *topology) lists() peerLists {
	hash := uint64(0)
	for _, m := range t.ring {
		hash += m.versionHash
	}
	return peerLists{
		up:           entriesOf(t.ring),
		hash:         hash,
		cellPeers:    entriesOf(t.cellPeers),
		neighbours:   entriesOf(t.neighbours),
		forwarders:   entriesOf(t.forwarders),
		copyIndexVMs: entriesOf(t.copyIndexVMs),

		copyIndexCells: t.copyIndexCells,
	}
}

func entriesOf(members []*member) []Member {
	entries := make([]Member, len(members))
	for i, m := range members {
		entries[i] = m.Member
	}
	return entries
}

// sortRing sorts members by position on the hash ring.
func sortRing(members []*member) {
	slices.SortFunc(members, func(a, b *member) int { return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.ID, b.ID)) })
}

// assignCells distributes the members of each failure domain evenly over the cells, in ring
// order. VMs with the same ring get the same cells.
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

// neighboursOf returns the VMs that a VM exchanges with. With 300 VMs these are 9 fingers and
// the next successors.
func neighboursOf(self *member, ring []*member) []*member {
	if len(ring) <= fullMeshPeers+1 {
		return slices.DeleteFunc(slices.Clone(ring), func(m *member) bool { return m == self })
	}
	neighbours := []*member{}
	add := func(m *member) {
		if m != self && !slices.Contains(neighbours, m) {
			neighbours = append(neighbours, m)
		}
	}
	for span, left := uint64(1)<<63, len(ring); left > 1; span, left = span/2, left/2 {
		at, _ := slices.BinarySearchFunc(ring, self.position+span, func(m *member, at uint64) int { return cmp.Compare(m.position, at) })
		add(ring[at%len(ring)])
	}
	at := slices.Index(ring, self)
	for i := range directSuccessors {
		add(ring[(at+1+i)%len(ring)])
	}
	return neighbours
}

// forwardersOf returns one VM of each cell but a VM's own. The choice depends on a hash of both
// VMs, which spreads the forwarding over the VMs of a cell.
func forwardersOf(self *member, cells [][]*member) []*member {
	forwarders := []*member{}
	for cell, members := range cells {
		if cell == self.cell || len(members) == 0 {
			continue
		}
		forwarders = append(forwarders, slices.MinFunc(members, func(a, b *member) int {
			return cmp.Compare(placement.Mix(self.position^a.position), placement.Mix(self.position^b.position))
		}))
	}
	return forwarders
}

// copyIndexOf returns the copy index VMs of all cells, and the cell of each.
func copyIndexOf(cells [][]*member) (copyIndexVMs []*member, cellOf []int) {
	for cell, members := range cells {
		for _, m := range members[:min(copyIndexPerCell, len(members))] {
			copyIndexVMs, cellOf = append(copyIndexVMs, m), append(cellOf, cell)
		}
	}
	return copyIndexVMs, cellOf
}

// watchersOf ranks VMs by a hash of group and address (rendezvous hashing, Thaler and
// Ravishankar 1998) and returns the first ones. A VM that is leaving, or in the failure domain
// of one before it, is used only if there are too few others.
func watchersOf(group string, live []Member) []Member {
	type rankedMember struct {
		rank uint64
		*Member
	}
	ranked := make([]rankedMember, len(live))
	groupHash := placement.Hash(group)
	for i := range live {
		ranked[i] = rankedMember{rank: placement.Mix(groupHash ^ placement.Hash(live[i].PeerAddress)), Member: &live[i]}
	}
	slices.SortFunc(ranked, func(a, b rankedMember) int { return cmp.Compare(a.rank, b.rank) })
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
	return watchers[:min(watchersPerGroup, len(watchers))]
}

// watcherCache holds the watchers of each group for one list of live VMs.
type watcherCache struct {
	live     []Member
	watchers map[string][]Member
}

// Watchers returns the VMs that watch a group of servers.
func (s *Spread) Watchers(group string) []Member {
	snapshot := s.Snapshot()
	s.watchersMu.Lock()
	defer s.watchersMu.Unlock()
	if !snapshot.SharesLive(s.watcherCache.live) {
		s.watcherCache = watcherCache{live: snapshot.Live, watchers: map[string][]Member{}}
	}
	known, found := s.watcherCache.watchers[group]
	if !found {
		known = watchersOf(group, snapshot.Live)
		s.watcherCache.watchers[group] = known
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

// Reconciliation of members: a VM whose member hash differs from a peer's receives the digests
// of the peer's entries, and both then exchange only the entries that one of them lacks. When
// 300 VMs start together, each receives some hundred replies with entries; whole lists of 27 KB
// in each would saturate their links.

// digestSize is the size of one digest in bytes.
const digestSize = 4

// digest is a short hash that identifies an entry's ID and version.
func (m *member) digest() [digestSize]byte {
	digest := [digestSize]byte{}
	binary.LittleEndian.PutUint32(digest[:], uint32(m.versionHash))
	return digest
}

// digests returns those of the members that are up.
func (ms *members) digests() []byte {
	ms.peerLists()
	digests := make([]byte, 0, digestSize*len(ms.topology.ring))
	for _, m := range ms.topology.ring {
		d := m.digest()
		digests = append(digests, d[:]...)
	}
	return digests
}

// diff returns the entries that a peer with these digests lacks, including those that are down,
// and the digests of those that this VM lacks.
func (ms *members) diff(digests []byte) (lacking []Member, wanted []byte) {
	ms.peerLists()
	theirs := digestSet(digests)
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

// byDigests returns the entries with the given digests.
func (ms *members) byDigests(digests []byte) []Member {
	if len(digests) == 0 {
		return nil
	}
	ms.peerLists()
	wanted := digestSet(digests)
	entries := []Member{}
	for _, m := range ms.topology.ring {
		if wanted[m.digest()] {
			entries = append(entries, m.Member)
		}
	}
	return entries
}

func digestSet(digests []byte) map[[digestSize]byte]bool {
	set := make(map[[digestSize]byte]bool, len(digests)/digestSize)
	for d := range slices.Chunk(digests, digestSize) {
		if len(d) == digestSize {
			set[[digestSize]byte(d)] = true
		}
	}
	return set
}
