package gossip

import (
	"cmp"
	"slices"

	"github.com/endivespoke/endivespoke/internal/peer/wire"
)

// Rank sorts VMs for a key by highest random weight (rendezvous hashing, Thaler and
// Ravishankar 1998): every VM computes the same order, and the loss of a VM moves
// only its own keys.
func Rank(key string, members []wire.Member) []wire.Member {
	ranked := slices.Clone(members)
	weights := make(map[string]uint64, len(members))
	for _, member := range members {
		weights[member.ID] = hashOf(key + "\x00" + member.ID)
	}
	slices.SortFunc(ranked, func(a, b wire.Member) int { return cmp.Compare(weights[b.ID], weights[a.ID]) })
	return ranked
}

// IsAmongFirst reports whether a VM is among the first count live ones in a key's rank.
func IsAmongFirst(self, key string, members []wire.Member, count int) bool {
	live := []wire.Member{}
	for _, member := range members {
		if member.State == wire.MemberLive {
			live = append(live, member)
		}
	}
	ranked := Rank(key, live)
	for _, member := range ranked[:min(count, len(ranked))] {
		if member.ID == self {
			return true
		}
	}
	return false
}

// Holders returns the VMs that may hold the copy of a request that self owns:
// the live ones in other failure domains by rank, then those in its own.
func Holders(key string, self wire.Member, members []wire.Member) []wire.Member {
	other := []wire.Member{}
	same := []wire.Member{}
	for _, member := range Rank(key, members) {
		switch {
		case member.ID == self.ID || member.State != wire.MemberLive:
		case member.FailureDomain != self.FailureDomain:
			other = append(other, member)
		default:
			same = append(same, member)
		}
	}
	return append(other, same...)
}
