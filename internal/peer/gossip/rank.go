package gossip

import (
	"cmp"
	"slices"

	"github.com/endivespoke/endivespoke/internal/peer/wire"
)

// Rank orders VMs for a key by highest random weight (Thaler, Ravishankar
// 1998), so that every VM names the same few for it and the loss of one moves
// only its keys.
func Rank(key string, members []wire.Member) []wire.Member {
	ranked := slices.Clone(members)
	weights := make(map[string]uint64, len(members))
	for _, member := range members {
		weights[member.ID] = hashOf(key + "\x00" + member.ID)
	}
	slices.SortFunc(ranked, func(a, b wire.Member) int { return cmp.Compare(weights[b.ID], weights[a.ID]) })
	return ranked
}

// IsAmongFirst reports whether a VM is one of the first live ones in a key's rank.
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

// Holders orders the VMs that may hold the copy of a request that self owns:
// live ones in other failure domains first, then live ones in its own.
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
