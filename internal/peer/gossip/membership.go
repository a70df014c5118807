// Package gossip maintains one VM's view of the membership: the platform's list,
// which lags, combined with heartbeats to a bounded set of peers. Changes of state
// are gossiped with the heartbeats.
//
// # Usage
//
//	membership := gossip.NewMembership(self)
//	membership.ApplyList(vms, now)           // the platform's list
//	for _, peer := range membership.Targets() { ... } // receivers of heartbeats
//	membership.Merge(heartbeat.Members, now) // entries from a peer
//	membership.HeartbeatMissed(peer, now)    // a heartbeat without a reply
//	membership.Leave()                       // this VM is about to stop
//
// The order of states is that of SWIM (Das, Gupta, Motivala 2002): a higher
// incarnation overrides a lower one, within one the worse state overrides, and
// only a VM itself raises its incarnation. The package does no I/O.
package gossip

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/endivespoke/endivespoke/internal/peer/wire"
	"github.com/endivespoke/endivespoke/internal/platform/vmlist"
)

const (
	// HeartbeatInterval is the time between heartbeats to one peer.
	HeartbeatInterval = 500 * time.Millisecond
	// maxMissedHeartbeats is the number of missed heartbeats at which a VM is marked as down.
	maxMissedHeartbeats = 3
	// ringNeighbours and farNeighbours bound the peers of each kind that get heartbeats.
	ringNeighbours = 3
	farNeighbours  = 5
	// MaxNeighbours bounds all peers that get heartbeats.
	MaxNeighbours = ringNeighbours + farNeighbours
	// maxDigestMembers bounds the members in one heartbeat.
	maxDigestMembers = 24
	// maxUnchangedMembers bounds those of them without a recent change.
	maxUnchangedMembers = 2
	// maxTransmissions is how often a change is sent.
	maxTransmissions = 12
	// downRetention is how long a VM that is down and unlisted is kept.
	downRetention = time.Minute
)

type member struct {
	wire.Member
	listed            bool
	missedHeartbeats  int
	transmissionsLeft int
	removeAt          time.Time
}

// Membership is one VM's view of the fleet. It is not safe for concurrent use.
type Membership struct {
	self           wire.Member
	members        map[string]*member // All but self.
	order          []string           // The keys of members, sorted.
	neighbours     []string
	down           []string // The members that are down, in order.
	stale          bool     // neighbours and down have to be recomputed.
	pendingChanges int      // Members with transmissionsLeft > 0.
	version        uint64
	downCursor     int
	digestCursor   int
}

// Version changes with every change of the result of Members.
func (m *Membership) Version() uint64 {
	return m.version
}

// markChanged records that a member was added, removed or changed its state.
func (m *Membership) markChanged() {
	m.stale = true
	m.version++
}

// NewMembership makes a membership of the VM itself only.
func NewMembership(self wire.Member) *Membership {
	return &Membership{self: self, members: map[string]*member{}}
}

// Self returns this VM's own entry.
func (m *Membership) Self() wire.Member {
	return m.self
}

// Leave marks this VM as leaving.
func (m *Membership) Leave() {
	m.self.State = wire.MemberLeaving
	m.self.Incarnation++
	m.markChanged()
}

// ApplyList merges the platform's list. The list lags, so a VM that is not on it
// is kept while it answers, and a new one is assumed to be live.
func (m *Membership) ApplyList(vms []vmlist.VM, now time.Time) {
	listed := map[string]bool{}
	for _, vm := range vms {
		if vm.ID == m.self.ID {
			continue
		}
		listed[vm.ID] = true
		m.applyListed(vm)
	}
	for id, known := range m.members {
		known.listed = listed[id]
		m.scheduleRemoval(known, now)
	}
}

func (m *Membership) applyListed(vm vmlist.VM) {
	known := m.members[vm.ID]
	if known == nil {
		known = &member{Member: wire.Member{
			ID:            vm.ID,
			State:         wire.MemberLive,
			FailureDomain: vm.FailureDomain,
			CallerAddress: vm.CallerAddress,
			PeerAddress:   vm.PeerAddress,
		}}
		m.add(known)
	}
	if vm.State == vmlist.StateLeaving && known.State == wire.MemberLive {
		known.State = wire.MemberLeaving
		m.markChanged()
	}
}

func (m *Membership) add(known *member) {
	m.members[known.ID] = known
	at, _ := slices.BinarySearch(m.order, known.ID)
	m.order = slices.Insert(m.order, at, known.ID)
	m.markChanged()
}

func (m *Membership) remove(id string) {
	if m.members[id].transmissionsLeft > 0 {
		m.pendingChanges--
	}
	delete(m.members, id)
	if at, found := slices.BinarySearch(m.order, id); found {
		m.order = slices.Delete(m.order, at, at+1)
	}
	m.markChanged()
}

// scheduleRemoval sets when a VM that is down and unlisted is removed, and removes
// it when that time has passed.
func (m *Membership) scheduleRemoval(known *member, now time.Time) {
	unlistedDown := known.State == wire.MemberDown && !known.listed
	switch {
	case !unlistedDown:
		known.removeAt = time.Time{}
	case known.removeAt.IsZero():
		known.removeAt = now.Add(downRetention)
	case now.After(known.removeAt):
		m.remove(known.ID)
	}
}

// Merge applies entries received from a peer. A wrong state of this VM itself is
// refuted with a higher incarnation.
func (m *Membership) Merge(received []wire.Member, now time.Time) {
	for _, entry := range received {
		if entry.ID == m.self.ID {
			m.refute(entry)
			continue
		}
		m.mergeOne(entry, now)
	}
}

func (m *Membership) refute(entry wire.Member) {
	if entry.Incarnation >= m.self.Incarnation && entry.State != m.self.State {
		m.self.Incarnation = entry.Incarnation + 1
		m.markChanged()
	}
}

func (m *Membership) mergeOne(entry wire.Member, now time.Time) {
	known := m.members[entry.ID]
	if known != nil && !newer(entry, known.Member) {
		return
	}
	if known == nil {
		if entry.State == wire.MemberDown {
			return // An unknown member that is down is not worth an entry.
		}
		known = &member{Member: entry}
		m.add(known)
	}
	if entry.PeerAddress == "" { // The entry only has a state.
		entry.FailureDomain = known.FailureDomain
		entry.CallerAddress = known.CallerAddress
		entry.PeerAddress = known.PeerAddress
	}
	known.Member = entry
	known.missedHeartbeats = 0
	m.queueChange(known)
	m.scheduleRemoval(known, now)
}

// queueChange queues a member's change for transmission.
func (m *Membership) queueChange(known *member) {
	if known.transmissionsLeft == 0 {
		m.pendingChanges++
	}
	known.transmissionsLeft = maxTransmissions
	m.markChanged()
}

func newer(entry, known wire.Member) bool {
	if entry.Incarnation != known.Incarnation {
		return entry.Incarnation > known.Incarnation
	}
	return entry.State > known.State
}

// HeartbeatAnswered records that a peer answered a heartbeat.
func (m *Membership) HeartbeatAnswered(id string) {
	if known := m.members[id]; known != nil {
		known.missedHeartbeats = 0
	}
}

// HeartbeatMissed records a heartbeat without a reply. After maxMissedHeartbeats the
// peer is marked as down.
func (m *Membership) HeartbeatMissed(id string, now time.Time) {
	known := m.members[id]
	if known == nil {
		return
	}
	known.missedHeartbeats++
	if known.missedHeartbeats < maxMissedHeartbeats || known.State == wire.MemberDown {
		return
	}
	known.State = wire.MemberDown
	m.queueChange(known)
	m.scheduleRemoval(known, now)
}

// Digest returns the entries for a heartbeat: this VM, recent changes, and a few
// of the other members in turn, so that each is resent after some time.
func (m *Membership) Digest() []wire.Member {
	digest := m.RecentChanges()
	for range min(maxUnchangedMembers, len(m.order)) {
		if len(digest) >= maxDigestMembers {
			break
		}
		m.digestCursor = (m.digestCursor + 1) % len(m.order)
		known := m.members[m.order[m.digestCursor]]
		if known.Incarnation > 0 && known.transmissionsLeft == 0 {
			digest = append(digest, known.Member)
		}
	}
	return digest
}

// RecentChanges returns the entries for the reply to a heartbeat: this VM and recent
// changes.
func (m *Membership) RecentChanges() []wire.Member {
	changes := []wire.Member{m.self}
	if m.pendingChanges == 0 {
		return changes // The usual case, without a scan of the members.
	}
	for _, id := range m.order {
		known := m.members[id]
		if known.transmissionsLeft == 0 || len(changes) == maxDigestMembers {
			continue
		}
		changes = append(changes, known.Member)
		known.transmissionsLeft--
		if known.transmissionsLeft == 0 {
			m.pendingChanges--
		}
	}
	return changes
}

// Targets returns the receivers of heartbeats: the neighbours, and in turn one VM
// that is down, so that the end of a partition is detected.
func (m *Membership) Targets() []wire.Member {
	m.refresh()
	targets := []wire.Member{}
	for _, id := range m.neighbours {
		if known := m.members[id]; known != nil {
			targets = append(targets, known.Member)
		}
	}
	if len(m.down) > 0 {
		m.downCursor = (m.downCursor + 1) % len(m.down)
		targets = append(targets, m.members[m.down[m.downCursor]].Member)
	}
	return targets
}

// refresh recomputes neighbours and down if a member has changed.
func (m *Membership) refresh() {
	if !m.stale {
		return
	}
	m.stale = false
	alive := []string{}
	m.down = m.down[:0]
	for _, id := range m.order {
		if m.members[id].State == wire.MemberDown {
			m.down = append(m.down, id)
		} else {
			alive = append(alive, id)
		}
	}
	m.chooseNeighbours(alive)
}

// chooseNeighbours selects the next VMs on a hash ring, so that each VM is watched
// by the same number, and some by rendezvous hashing, so that changes reach all
// VMs in few steps.
func (m *Membership) chooseNeighbours(alive []string) {
	own := hashOf(m.self.ID)
	ring := sortedBy(alive, func(id string) uint64 { return hashOf(id) - own })
	chosen := ring[:min(ringNeighbours, len(ring))]
	far := sortedBy(ring[len(chosen):], func(id string) uint64 { return hashOf(m.self.ID + id) })
	m.neighbours = slices.Concat(chosen, far[:min(farNeighbours, len(far))])
}

// sortedBy sorts IDs by a weight, which is computed once for each.
func sortedBy(ids []string, weight func(id string) uint64) []string {
	weights := make(map[string]uint64, len(ids))
	for _, id := range ids {
		weights[id] = weight(id)
	}
	sorted := slices.Clone(ids)
	slices.SortFunc(sorted, func(a, b string) int { return cmp.Compare(weights[a], weights[b]) })
	return sorted
}

// Members returns every VM including this one, sorted by ID.
func (m *Membership) Members() []wire.Member {
	all := make([]wire.Member, 0, len(m.order)+1)
	at, _ := slices.BinarySearch(m.order, m.self.ID)
	for i, id := range m.order {
		if i == at {
			all = append(all, m.self)
		}
		all = append(all, m.members[id].Member)
	}
	if at == len(m.order) {
		all = append(all, m.self)
	}
	return all
}

// HasNoPeers reports whether no other VM is known.
func (m *Membership) HasNoPeers() bool {
	return len(m.members) == 0
}

// SeesMajority reports whether more than half of the known VMs, this one included,
// are not down.
func (m *Membership) SeesMajority() bool {
	m.refresh()
	all := len(m.members) + 1
	return 2*(all-len(m.down)) > all
}

func hashOf(text string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text)) // Writes to a hash do not fail.
	return mix(hash.Sum64())
}

// mix is the finalizer of splitmix64. FNV alone orders similar names alike.
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9
	x = (x ^ (x >> 27)) * 0x94D049BB133111EB
	return x ^ (x >> 31)
}
