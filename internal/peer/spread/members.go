package spread

import (
	"time"

	"github.com/endivespoke/endivespoke/internal/backend/placement"
)

// forgetAfter is how long a member that is down is remembered and tried again.
const forgetAfter = 30 * time.Second

// member is what this VM knows of another, or of itself.
type member struct {
	Member
	at     uint64 // Its place on the hash ring.
	sum    uint64 // Of its ID and version.
	cell   int
	downAt time.Time // Since when it is down; zero if it is not.
}

// set takes over an entry.
func (m *member) set(entry Member) {
	if m.PeerAddress != entry.PeerAddress || m.at == 0 {
		m.at = placement.Hash(entry.PeerAddress)
	}
	m.Member, m.sum = entry, entry.sum()
}

// sum tells entries of different IDs or versions apart.
func (m Member) sum() uint64 {
	return placement.Mix(placement.Hash(m.ID) + m.Version)
}

// members is the membership as this VM knows it. It is owned by the loop.
type members struct {
	self    member
	others  map[string]*member
	changed map[string]bool // IDs that others have not been told of yet.
	gone    []string        // Went down, or were replaced, since takeGone.
	// What is derived from the entries is kept until one changes: each message needs it.
	// isStale is set by any change. isMoved is set by one of who is up, or where, which
	// needs more work; most changes are of readiness or of the store's answers.
	isStale  bool
	isMoved  bool
	topology topology
	now      arrangement
}

func newMembers(self Member) *members {
	ms := &members{others: map[string]*member{}, changed: map[string]bool{self.ID: true}, isMoved: true}
	ms.self.set(self)
	return ms
}

// add takes in a member that is not among the others yet.
func (ms *members) add(known Member) {
	m := &member{}
	m.set(known)
	ms.others[known.ID] = m
	ms.isMoved = true
}

// setSelf changes this VM's own entry.
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
	ms.isMoved = ms.isMoved || own.isMoved(ms.self.Member)
	ms.self.set(own)
	ms.touch(own.ID)
}

// isMoved reports whether an entry differs from the one before in what the topology depends
// on.
func (m Member) isMoved(before Member) bool {
	return m.Down != before.Down || m.PeerAddress != before.PeerAddress || m.FailureDomain != before.FailureDomain
}

// touch notes that an entry changed.
func (ms *members) touch(id string) {
	ms.changed[id] = true
	ms.isStale = true
}

// hear takes in entries that another VM told. A higher version wins; at the same
// version, down wins over up.
func (ms *members) hear(told []Member, now time.Time) (changed bool) {
	for _, t := range told {
		if t.ID == ms.self.ID {
			changed = ms.refute(t) || changed
			continue
		}
		if t.PeerAddress == ms.self.PeerAddress {
			changed = ms.outlive(t) || changed
			continue
		}
		changed = ms.hearOne(t, now) || changed
	}
	return changed
}

// refute answers another VM's word that this one is down.
func (ms *members) refute(told Member) (changed bool) {
	if !told.Down || told.Version < ms.self.Version {
		return false
	}
	own := ms.self.Member
	own.Version = told.Version + 1
	ms.setOwn(own)
	return true
}

// outlive takes the next incarnation after that of a process that had this VM's address
// before. Without it VMs that are told of both again and again, in different orders, would
// never agree which one is there.
func (ms *members) outlive(told Member) (changed bool) {
	if told.Incarnation < ms.self.Incarnation {
		return false
	}
	own := ms.self.Member
	own.Incarnation = told.Incarnation + 1
	own.Version++
	ms.setOwn(own)
	return true
}

func (ms *members) hearOne(told Member, now time.Time) (changed bool) {
	known := ms.others[told.ID]
	if known == nil && told.Down || !told.Down && ms.isReplaced(told) {
		return false
	}
	if known != nil && (told.Version < known.Version || told.Version == known.Version && (known.Down || !told.Down)) {
		return false
	}
	if known == nil {
		ms.add(told)
	} else {
		ms.isMoved = ms.isMoved || told.isMoved(known.Member)
		known.set(told)
		known.downAt = time.Time{}
	}
	if told.Down {
		known.downAt = now
		ms.gone = append(ms.gone, told.ID)
	}
	ms.touch(told.ID)
	ms.supersede(told)
	return true
}

// isReplaced reports whether a later process is known at a process's address.
func (ms *members) isReplaced(told Member) bool {
	for _, other := range ms.others {
		if other.PeerAddress == told.PeerAddress && other.Incarnation > told.Incarnation {
			return true
		}
	}
	return false
}

// supersede drops earlier processes at the address of a new one.
func (ms *members) supersede(newest Member) {
	if newest.Down {
		return
	}
	for id, other := range ms.others {
		if id != newest.ID && other.PeerAddress == newest.PeerAddress && other.Incarnation <= newest.Incarnation {
			delete(ms.others, id)
			ms.gone = append(ms.gone, id)
			ms.isMoved = true
		}
	}
}

// lost marks a member that does not answer.
func (ms *members) lost(id string, now time.Time) (changed bool) {
	known := ms.others[id]
	if known == nil || known.Down {
		return false
	}
	known.Down, known.downAt = true, now
	ms.gone = append(ms.gone, id)
	ms.isMoved = true
	ms.touch(id)
	return true
}

// forget drops members that have been down for long.
func (ms *members) forget(now time.Time) {
	for id, m := range ms.others {
		if m.Down && now.Sub(m.downAt) > forgetAfter {
			delete(ms.others, id)
		}
	}
}

// up lists this VM and the others that are not down. The list is shared and must not be
// changed.
func (ms *members) up() []Member {
	return ms.arranged().up
}

// arranged gives what is derived from the entries as they are now.
func (ms *members) arranged() *arrangement {
	if ms.isMoved {
		ms.topology = ms.newTopology()
	}
	if ms.isMoved || ms.isStale {
		ms.now = ms.topology.arrange()
		ms.isMoved, ms.isStale = false, false
	}
	return &ms.now
}

// ring lists those that are up by their place on the hash ring.
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

// neighbours lists the VMs that are near. The list is shared and must not be changed.
func (ms *members) neighbours() []Member {
	return ms.arranged().near
}

// inCell lists the others of this VM's cell, and the leads of the other cells. The lists
// are shared and must not be changed.
func (ms *members) inCell() (mates, leads []Member) {
	now := ms.arranged()
	return now.mates, now.leads
}

// isSplit reports whether there are several cells.
func (ms *members) isSplit() bool {
	ms.arranged()
	return ms.topology.cells > 1
}

// oneDown gives a member that is down, if there is any.
func (ms *members) oneDown() (m Member, found bool) {
	for _, other := range ms.others {
		if other.Down {
			return other.Member, true
		}
	}
	return Member{}, false
}

// hash is the same on two VMs that know the same of those that are up.
func (ms *members) hash() uint64 {
	return ms.arranged().hash
}

// takeGone gives the members that went down, or were replaced, since the last call.
func (ms *members) takeGone() []string {
	gone := ms.gone
	ms.gone = nil
	return gone
}

// takeChanged gives the entries that changed since the last call.
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
