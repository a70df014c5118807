// Package gossip keeps one VM's picture of the others: the platform's lagging
// list joined with heartbeats to a bounded set of peers, and changes of state
// passed on with them.
//
// # Usage
//
//	membership := gossip.NewMembership(self)
//	membership.ApplyList(vms, now)         // the platform's list
//	for _, peer := range membership.Targets() { ... } // whom to send a heartbeat to
//	membership.Merge(beat.Members, now)    // what a peer told
//	membership.HeartbeatMissed(peer, now)  // a heartbeat without an answer
//	membership.Leave()                     // this VM is about to stop
//
// The order of states is that of SWIM (Das, Gupta, Motivala 2002): a higher
// incarnation goes first, within one the worse state, and only a VM itself
// raises its incarnation. The aggregate does no I/O.
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
	// missedBeats without an answer make a VM count as down.
	missedBeats = 3
	// ringNeighbours and farNeighbours bound the peers that get heartbeats.
	ringNeighbours = 3
	farNeighbours  = 5
	// MaxNeighbours bounds the peers that get heartbeats in all.
	MaxNeighbours = ringNeighbours + farNeighbours
	// digestMembers bounds the members told in one heartbeat.
	digestMembers = 24
	// oldMembers bounds those of them that are no news.
	oldMembers = 2
	// tellTimes is how often a change is told before it is old news.
	tellTimes = 12
	// forgetAfter is how long a VM that is down and unlisted is remembered.
	forgetAfter = time.Minute
)

type member struct {
	wire.Member
	listed   bool
	missed   int
	tellLeft int
	forgetAt time.Time
}

// Membership is one VM's picture. It belongs to one goroutine.
type Membership struct {
	self       wire.Member
	members    map[string]*member // All but self.
	order      []string           // The keys of members, sorted.
	neighbours []string
	down       []string // The members that are down, in order.
	stale      bool     // neighbours and down have to be reckoned anew.
	news       int      // Members that are still news.
	version    uint64
	downCursor int
	tellCursor int
}

// Version changes with every change of what Members gives.
func (m *Membership) Version() uint64 {
	return m.version
}

// changed notes that a member came, went or changed its state.
func (m *Membership) changed() {
	m.stale = true
	m.version++
}

// NewMembership starts with the VM itself alone.
func NewMembership(self wire.Member) *Membership {
	return &Membership{self: self, members: map[string]*member{}}
}

// Self gives this VM as it tells itself to others.
func (m *Membership) Self() wire.Member {
	return m.self
}

// Leave marks this VM as leaving.
func (m *Membership) Leave() {
	m.self.State = wire.MemberLeaving
	m.self.Incarnation++
	m.changed()
}

// ApplyList takes in the platform's list. The list lags, so a VM that it lacks is
// kept while it answers, and one that it adds starts as live on trust.
func (m *Membership) ApplyList(vms []vmlist.VM, now time.Time) {
	listed := map[string]bool{}
	for _, vm := range vms {
		if vm.ID == m.self.ID {
			continue
		}
		listed[vm.ID] = true
		m.listedOne(vm)
	}
	for id, known := range m.members {
		known.listed = listed[id]
		m.plan(known, now)
	}
}

func (m *Membership) listedOne(vm vmlist.VM) {
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
		m.changed()
	}
}

func (m *Membership) add(known *member) {
	m.members[known.ID] = known
	at, _ := slices.BinarySearch(m.order, known.ID)
	m.order = slices.Insert(m.order, at, known.ID)
	m.changed()
}

func (m *Membership) remove(id string) {
	if m.members[id].tellLeft > 0 {
		m.news--
	}
	delete(m.members, id)
	if at, found := slices.BinarySearch(m.order, id); found {
		m.order = slices.Delete(m.order, at, at+1)
	}
	m.changed()
}

// plan sets when a VM that is down and unlisted is forgotten.
func (m *Membership) plan(known *member, now time.Time) {
	gone := known.State == wire.MemberDown && !known.listed
	switch {
	case !gone:
		known.forgetAt = time.Time{}
	case known.forgetAt.IsZero():
		known.forgetAt = now.Add(forgetAfter)
	case now.After(known.forgetAt):
		m.remove(known.ID)
	}
}

// Merge takes in what a peer told. A false word about this VM itself is
// answered with a higher incarnation.
func (m *Membership) Merge(told []wire.Member, now time.Time) {
	for _, news := range told {
		if news.ID == m.self.ID {
			m.refute(news)
			continue
		}
		m.mergeOne(news, now)
	}
}

func (m *Membership) refute(news wire.Member) {
	if news.Incarnation >= m.self.Incarnation && news.State != m.self.State {
		m.self.Incarnation = news.Incarnation + 1
		m.changed()
	}
}

func (m *Membership) mergeOne(news wire.Member, now time.Time) {
	known := m.members[news.ID]
	if known != nil && !newer(news, known.Member) {
		return
	}
	if known == nil {
		if news.State == wire.MemberDown {
			return // Nobody needs to hear of a stranger that is gone.
		}
		known = &member{Member: news}
		m.add(known)
	}
	if news.PeerAddress == "" { // Word of a state only.
		news.FailureDomain = known.FailureDomain
		news.CallerAddress = known.CallerAddress
		news.PeerAddress = known.PeerAddress
	}
	known.Member = news
	known.missed = 0
	m.tell(known)
	m.plan(known, now)
}

// tell makes a member's change news.
func (m *Membership) tell(known *member) {
	if known.tellLeft == 0 {
		m.news++
	}
	known.tellLeft = tellTimes
	m.changed()
}

func newer(news, known wire.Member) bool {
	if news.Incarnation != known.Incarnation {
		return news.Incarnation > known.Incarnation
	}
	return news.State > known.State
}

// HeartbeatAnswered notes that a peer answered a heartbeat.
func (m *Membership) HeartbeatAnswered(id string) {
	if known := m.members[id]; known != nil {
		known.missed = 0
	}
}

// HeartbeatMissed notes that a peer did not. After a few it counts as down.
func (m *Membership) HeartbeatMissed(id string, now time.Time) {
	known := m.members[id]
	if known == nil {
		return
	}
	known.missed++
	if known.missed < missedBeats || known.State == wire.MemberDown {
		return
	}
	known.State = wire.MemberDown
	m.tell(known)
	m.plan(known, now)
}

// Digest gives what to tell a peer in a heartbeat: this VM, fresh news, and a
// few of the rest in turn, so that in time all is told again.
func (m *Membership) Digest() []wire.Member {
	digest := m.RecentChanges()
	for range min(oldMembers, len(m.order)) {
		if len(digest) >= digestMembers {
			break
		}
		m.tellCursor = (m.tellCursor + 1) % len(m.order)
		known := m.members[m.order[m.tellCursor]]
		if known.Incarnation > 0 && known.tellLeft == 0 {
			digest = append(digest, known.Member)
		}
	}
	return digest
}

// RecentChanges gives what to answer a heartbeat with: this VM and fresh news.
func (m *Membership) RecentChanges() []wire.Member {
	news := []wire.Member{m.self}
	if m.news == 0 {
		return news // The usual case, in which nobody is looked at.
	}
	for _, id := range m.order {
		known := m.members[id]
		if known.tellLeft == 0 || len(news) == digestMembers {
			continue
		}
		news = append(news, known.Member)
		known.tellLeft--
		if known.tellLeft == 0 {
			m.news--
		}
	}
	return news
}

// Targets gives whom to send a heartbeat to: the neighbours, and in turn one VM
// that is down but may be back, so that a healed partition is noticed.
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

// refresh reckons anew what follows from the members' states, if any changed.
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

// chooseNeighbours takes the next VMs on a ring of hashes, so that each VM is
// watched by as many, and some that rendezvous hashing names, so that news
// crosses the ring in few steps.
func (m *Membership) chooseNeighbours(alive []string) {
	own := hashOf(m.self.ID)
	ring := sortedBy(alive, func(id string) uint64 { return hashOf(id) - own })
	chosen := ring[:min(ringNeighbours, len(ring))]
	far := sortedBy(ring[len(chosen):], func(id string) uint64 { return hashOf(m.self.ID + id) })
	m.neighbours = slices.Concat(chosen, far[:min(farNeighbours, len(far))])
}

// sortedBy orders ids by a weight that is reckoned once for each.
func sortedBy(ids []string, weight func(id string) uint64) []string {
	weights := make(map[string]uint64, len(ids))
	for _, id := range ids {
		weights[id] = weight(id)
	}
	sorted := slices.Clone(ids)
	slices.SortFunc(sorted, func(a, b string) int { return cmp.Compare(weights[a], weights[b]) })
	return sorted
}

// Members gives every VM including this one, sorted by id.
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
	_, _ = hash.Write([]byte(text)) // A hash never fails to write.
	return mix(hash.Sum64())
}

// mix is the finalizer of splitmix64; FNV alone orders similar names alike.
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9
	x = (x ^ (x >> 27)) * 0x94D049BB133111EB
	return x ^ (x >> 31)
}
