package spread

import (
	"time"

	"github.com/endivespoke/endivespoke/internal/backend/placement"
)

// downRetention is how long a member that is down is kept and contacted again.
const downRetention = 30 * time.Second

// member is the state that this VM holds for another VM, or for itself.
type member struct {
	Member
	position    uint64 // On the hash ring.
	versionHash uint64 // Hash of ID and version.
	cell        int
	downAt      time.Time // When it was marked as down; zero if it is up.
}

// set replaces the entry.
func (m *member) set(entry Member) {
	if m.PeerAddress != entry.PeerAddress || m.position == 0 {
		m.position = placement.Hash(entry.PeerAddress)
	}
	m.Member, m.versionHash = entry, entry.versionHash()
}

// versionHash differs between entries of different IDs or versions.
func (m Member) versionHash() uint64 {
	return placement.Mix(placement.Hash(m.ID) + m.Version)
}

// members is this VM's view of the membership. It is owned by the event loop.
type members struct {
	self    member
	others  map[string]*member
	changed map[string]bool // IDs of entries not yet sent in a hint.
	lostIDs []string        // Went down, or were replaced, since takeLostIDs.
	// topology and current are caches, since each message needs them. entriesChanged is set
	// by any change of an entry. topologyChanged is set only by a change of which VMs are up,
	// of an address or of a failure domain, which is more expensive to process. Most changes
	// are of Ready or StoreUnreachable.
	entriesChanged  bool
	topologyChanged bool
	topology        topology
	current         peerLists
}

func newMembers(self Member) *members {
	ms := &members{others: map[string]*member{}, changed: map[string]bool{self.ID: true}, topologyChanged: true}
	ms.self.set(self)
	return ms
}

// add inserts a member that is not among the others yet.
func (ms *members) add(known Member) {
	m := &member{}
	m.set(known)
	ms.others[known.ID] = m
	ms.topologyChanged = true
}

// setSelf changes this VM's own entry and increments its version.
func (ms *members) setSelf(change func(self *Member)) (changed bool) {
	own := ms.self.Member
	change(&own)
	if own == ms.self.Member {
		return false
	}
	own.Version++
	ms.setOwn(own)
	return true
}

func (ms *members) setOwn(own Member) {
	ms.topologyChanged = ms.topologyChanged || own.topologyChanged(ms.self.Member)
	ms.self.set(own)
	ms.markChanged(own.ID)
}

// topologyChanged reports whether an entry differs from the one before in a field that the
// topology depends on.
func (m Member) topologyChanged(before Member) bool {
	return m.Down != before.Down || m.PeerAddress != before.PeerAddress || m.FailureDomain != before.FailureDomain
}

// markChanged records that an entry changed.
func (ms *members) markChanged(id string) {
	ms.changed[id] = true
	ms.entriesChanged = true
}

// merge applies entries received from another VM. A higher version wins; at the same
// version, down wins over up.
func (ms *members) merge(received []Member, now time.Time) (changed bool) {
	for _, entry := range received {
		if entry.ID == ms.self.ID {
			changed = ms.refute(entry) || changed
			continue
		}
		if entry.PeerAddress == ms.self.PeerAddress {
			changed = ms.raiseIncarnation(entry) || changed
			continue
		}
		changed = ms.mergeOne(entry, now) || changed
	}
	return changed
}

// refute raises this VM's version above that of an entry that reports it as down.
func (ms *members) refute(entry Member) (changed bool) {
	if !entry.Down || entry.Version < ms.self.Version {
		return false
	}
	own := ms.self.Member
	own.Version = entry.Version + 1
	ms.setOwn(own)
	return true
}

// raiseIncarnation raises this VM's incarnation above that of an earlier process at its
// address. Otherwise VMs that receive both entries repeatedly, in different orders, would
// never agree on which process is current.
func (ms *members) raiseIncarnation(entry Member) (changed bool) {
	if entry.Incarnation < ms.self.Incarnation {
		return false
	}
	own := ms.self.Member
	own.Incarnation = entry.Incarnation + 1
	own.Version++
	ms.setOwn(own)
	return true
}

func (ms *members) mergeOne(entry Member, now time.Time) (changed bool) {
	known := ms.others[entry.ID]
	if known == nil && entry.Down || !entry.Down && ms.isReplaced(entry) {
		return false
	}
	if known != nil && (entry.Version < known.Version || entry.Version == known.Version && (known.Down || !entry.Down)) {
		return false
	}
	if known == nil {
		ms.add(entry)
	} else {
		ms.topologyChanged = ms.topologyChanged || entry.topologyChanged(known.Member)
		known.set(entry)
		known.downAt = time.Time{}
	}
	if entry.Down {
		known.downAt = now
		ms.lostIDs = append(ms.lostIDs, entry.ID)
	}
	ms.markChanged(entry.ID)
	ms.removeSuperseded(entry)
	return true
}

// isReplaced reports whether a process with a higher incarnation is known at the entry's address.
func (ms *members) isReplaced(entry Member) bool {
	for _, other := range ms.others {
		if other.PeerAddress == entry.PeerAddress && other.Incarnation > entry.Incarnation {
			return true
		}
	}
	return false
}

// removeSuperseded removes earlier processes at the address of a new one.
func (ms *members) removeSuperseded(newest Member) {
	if newest.Down {
		return
	}
	for id, other := range ms.others {
		if id != newest.ID && other.PeerAddress == newest.PeerAddress && other.Incarnation <= newest.Incarnation {
			delete(ms.others, id)
			ms.lostIDs = append(ms.lostIDs, id)
			ms.topologyChanged = true
		}
	}
}

// markDown marks a member that does not answer.
func (ms *members) markDown(id string, now time.Time) (changed bool) {
	known := ms.others[id]
	if known == nil || known.Down {
		return false
	}
	known.Down, known.downAt = true, now
	ms.lostIDs = append(ms.lostIDs, id)
	ms.topologyChanged = true
	ms.markChanged(id)
	return true
}

// removeExpired removes members that have been down for longer than downRetention.
func (ms *members) removeExpired(now time.Time) {
	for id, m := range ms.others {
		if m.Down && now.Sub(m.downAt) > downRetention {
			delete(ms.others, id)
		}
	}
}

// up returns this VM and the others that are not down. The list is shared and must not be
// changed.
func (ms *members) up() []Member {
	return ms.peerLists().up
}

// peerLists returns the peer lists, rebuilt if an entry has changed.
func (ms *members) peerLists() *peerLists {
	if ms.topologyChanged {
		ms.topology = ms.newTopology()
	}
	if ms.topologyChanged || ms.entriesChanged {
		ms.current = ms.topology.lists()
		ms.topologyChanged, ms.entriesChanged = false, false
	}
	return &ms.current
}

// ring returns the members that are up, ordered by position on the hash ring.
func (ms *members) ring() []*member {
	ring := make([]*member, 0, len(ms.others)+1)
	ring = append(ring, &ms.self)
	for _, m := range ms.others {
		if !m.Down {
			ring = append(ring, m)
		}
	}
	sortRing(ring)
	return ring
}

// neighbours returns the VMs to exchange summaries with. The list is shared and must not be
// changed.
func (ms *members) neighbours() []Member {
	return ms.peerLists().neighbours
}

// cellAndForwarders returns the other VMs of this VM's cell and the forwarders in the other
// cells. The lists are shared and must not be changed.
func (ms *members) cellAndForwarders() (cellPeers, forwarders []Member) {
	lists := ms.peerLists()
	return lists.cellPeers, lists.forwarders
}

// hasSeveralCells reports whether the fleet has more than one cell.
func (ms *members) hasSeveralCells() bool {
	ms.peerLists()
	return ms.topology.cells > 1
}

// anyDown returns a member that is down, if there is one.
func (ms *members) anyDown() (m Member, found bool) {
	for _, other := range ms.others {
		if other.Down {
			return other.Member, true
		}
	}
	return Member{}, false
}

// hash is equal on two VMs that have the same entries of the members that are up.
func (ms *members) hash() uint64 {
	return ms.peerLists().hash
}

// takeLostIDs returns the members that went down, or were replaced, since the last call.
func (ms *members) takeLostIDs() []string {
	lostIDs := ms.lostIDs
	ms.lostIDs = nil
	return lostIDs
}

// takeChanged returns the entries that changed since the last call.
func (ms *members) takeChanged() []Member {
	changed := []Member{}
	for id := range ms.changed {
		if id == ms.self.ID {
			changed = append(changed, ms.self.Member)
		} else if m := ms.others[id]; m != nil {
			changed = append(changed, m.Member)
		}
	}
	ms.changed = map[string]bool{}
	return changed
}
