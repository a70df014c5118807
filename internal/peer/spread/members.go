package spread

import (
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/endivespoke/endivespoke/internal/backend/placement"
)

// forgetAfter is how long a member that is down is remembered and tried again.
const forgetAfter = 30 * time.Second

// member is what this VM knows of another.
type member struct {
	Member
	downAt time.Time // Since when it is down; zero if it is not.
}

// members is the membership as this VM knows it. It is owned by the loop.
type members struct {
	self    Member
	others  map[string]*member
	changed map[string]bool // IDs that others have not been told of yet.
	joined  []Member        // Heard of for the first time since takeJoined.
	// What is derived from the entries, kept until one changes: each message needs it.
	upNow   []Member
	hashNow uint64
	cell    int      // This VM's; see placement.Cells.
	cells   int      // How many there are.
	mates   []Member // See topology.go, as are the next ones.
	near    []Member
	leads   []Member
	keepers []Member
	gone    []string // Went down, or were replaced, since takeGone.
}

func newMembers(self Member) *members {
	return &members{self: self, others: map[string]*member{}, changed: map[string]bool{self.ID: true}}
}

// setSelf changes this VM's own entry.
func (ms *members) setSelf(change func(self *Member)) (changed bool) {
	before := ms.self
	change(&ms.self)
	if ms.self == before {
		return false
	}
	ms.self.Version++
	ms.touch(ms.self.ID)
	return true
}

// touch notes that an entry changed.
func (ms *members) touch(id string) {
	ms.changed[id] = true
	ms.upNow = nil
}

// hear takes in entries that another VM told. A higher version wins; at the same
// version, down wins over up.
func (ms *members) hear(told []Member, now time.Time) (changed bool) {
	for _, t := range told {
		if t.ID == ms.self.ID {
			changed = ms.refute(t) || changed
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
	ms.self.Version = told.Version + 1
	ms.touch(ms.self.ID)
	return true
}

func (ms *members) hearOne(told Member, now time.Time) (changed bool) {
	known := ms.others[told.ID]
	if known == nil && told.Down {
		return false
	}
	if known != nil && (told.Version < known.Version || told.Version == known.Version && (known.Down || !told.Down)) {
		return false
	}
	entry := &member{Member: told}
	if told.Down {
		entry.downAt = now
		ms.gone = append(ms.gone, told.ID)
	}
	if known == nil {
		ms.joined = append(ms.joined, told)
	}
	ms.others[told.ID] = entry
	ms.touch(told.ID)
	ms.supersede(told)
	return true
}

// supersede drops earlier processes at the address of a new one.
func (ms *members) supersede(newest Member) {
	if newest.Down {
		return
	}
	for id, other := range ms.others {
		if id != newest.ID && other.PeerAddress == newest.PeerAddress {
			delete(ms.others, id)
			ms.gone = append(ms.gone, id)
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

// up lists this VM and the others that are not down, by ID. The list is shared
// and must not be changed.
func (ms *members) up() []Member {
	if ms.upNow == nil {
		ms.upNow = ms.listUp()
		ms.hashNow = hashOf(ms.upNow)
		ms.arrange()
	}
	return ms.upNow
}

// arrange finds this VM's cell among those that are up, and whom it talks to.
func (ms *members) arrange() {
	ms.cells = placement.CellCount(len(ms.upNow))
	byDomain := map[string][]string{}
	for _, m := range ms.upNow {
		byDomain[m.FailureDomain] = append(byDomain[m.FailureDomain], m.PeerAddress)
	}
	cellOf := map[string]int{}
	for _, addresses := range byDomain {
		maps.Copy(cellOf, placement.Cells(addresses, ms.cells))
	}
	ms.cell = cellOf[ms.self.PeerAddress]
	cells := make([][]Member, ms.cells)
	ms.mates = nil
	for _, m := range ms.upNow {
		cell := cellOf[m.PeerAddress]
		cells[cell] = append(cells[cell], m)
		if cell == ms.cell && m.ID != ms.self.ID {
			ms.mates = append(ms.mates, m)
		}
	}
	ms.near = nearOf(ms.self, ringOf(ms.upNow))
	ms.leads = leadsOf(ms.self, cells, ms.cell)
	ms.keepers = keepersOf(cells)
}

// neighbours lists the VMs that are near. The list is shared and must not be changed.
func (ms *members) neighbours() []Member {
	ms.up()
	return ms.near
}

// inCell lists the others of this VM's cell, and the leads of the other cells. The lists
// are shared and must not be changed.
func (ms *members) inCell() (mates, leads []Member) {
	ms.up()
	return ms.mates, ms.leads
}

func (ms *members) listUp() []Member {
	up := []Member{ms.self}
	for _, m := range ms.others {
		if !m.Down {
			up = append(up, m.Member)
		}
	}
	slices.SortFunc(up, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return up
}

// peers lists the others that are not down, by ID.
func (ms *members) peers() []Member {
	return slices.DeleteFunc(slices.Clone(ms.up()), func(m Member) bool { return m.ID == ms.self.ID })
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
	ms.up()
	return ms.hashNow
}

func hashOf(up []Member) uint64 {
	sum := fnv.New64a()
	for _, m := range up {
		_, _ = sum.Write([]byte(m.ID)) // A hash never fails to write.
		_, _ = sum.Write(binary.LittleEndian.AppendUint64(nil, m.Version))
	}
	return sum.Sum64()
}

// takeJoined gives the members that were heard of for the first time since the last call.
func (ms *members) takeJoined() []Member {
	joined := ms.joined
	ms.joined = nil
	return joined
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
			changed = append(changed, ms.self)
		} else if m := ms.others[id]; m != nil {
			changed = append(changed, m.Member)
		}
	}
	ms.changed = map[string]bool{}
	return changed
}
