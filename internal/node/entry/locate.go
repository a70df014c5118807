package entry

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/endivespoke/endivespoke/internal/peer/spread"
)

// minReachingFraction is the fraction of the VMs that take requests from which on callers are sent only to
// those that reach backend servers. Fewer would be overloaded; the others serve requests through them.
const minReachingFraction = 1.0 / 3

// Locate lists the caller addresses of the VMs that take requests. If there are more
// than fit in an answer, it returns a random selection.
func (v *VM) Locate() []string {
	members := preferred(v.spread.Snapshot().Live)
	addresses := make([]string, len(members))
	for i, member := range members {
		addresses[i] = member.CallerAddress
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(maxLocateAddresses, len(addresses))]
}

// preferred returns the VMs that callers are sent to.
func preferred(live []spread.Member) []spread.Member {
	ready := slices.DeleteFunc(slices.Clone(live), func(m spread.Member) bool { return !m.Ready || m.Leaving })
	reaching := slices.DeleteFunc(slices.Clone(ready), func(m spread.Member) bool { return m.ServersUnreachable })
	if float64(len(reaching)) < minReachingFraction*float64(len(ready)) {
		return ready
	}
	return reaching
}

// maxLocateAddresses is the number of addresses that callers use from one answer.
const maxLocateAddresses = 64

// LocateTTL returns how long callers may cache a locate answer. It is short, so that a
// leaving VM soon gets no new connections; some callers cache it three times as long.
func (v *VM) LocateTTL() time.Duration {
	return min(time.Second, v.settings.Load().MaxLocateTTL)
}
