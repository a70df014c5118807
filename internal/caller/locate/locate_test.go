package locate_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/endivespoke/endivespoke/internal/caller/locate"
	"github.com/endivespoke/endivespoke/internal/lab/property"
	"github.com/endivespoke/endivespoke/internal/peer/wire"
)

func init() { property.FixSeed() }

// TestEntriesSpreadOverFailureDomains draws memberships. Entries are live,
// distinct, and of as many domains as there are places for.
func TestEntriesSpreadOverFailureDomains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := []wire.Member{}
		live := map[string]bool{}
		domains := map[string]bool{}
		for i := range rapid.IntRange(0, 20).Draw(t, "members") {
			member := wire.Member{ID: fmt.Sprint(i), CallerAddress: fmt.Sprint("10.0.0.", i), FailureDomain: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain")}
			member.State = rapid.SampledFrom([]wire.MemberState{wire.MemberLive, wire.MemberLeaving, wire.MemberDown}).Draw(t, "state")
			members = append(members, member)
			if member.State == wire.MemberLive {
				live[member.CallerAddress] = true
				domains[member.FailureDomain] = true
			}
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		entries := locate.Choose(members, random.Perm)
		seen := map[string]bool{}
		spread := map[string]bool{}
		for _, entry := range entries {
			property.Assert(t, live[entry.Address] && !seen[entry.Address], qt.IsTrue)
			seen[entry.Address] = true
			spread[entry.FailureDomain] = true
		}
		property.Assert(t, len(entries), qt.Equals, min(4, len(live)))
		property.Assert(t, len(spread), qt.Equals, len(domains))
	})
}
