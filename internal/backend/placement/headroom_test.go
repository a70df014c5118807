package placement_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/endivespoke/endivespoke/internal/backend/placement"
	"github.com/endivespoke/endivespoke/internal/lab/property"
)

func TestHasHeadroom(t *testing.T) {
	headroom := placement.Headroom{Demand: placement.Demand{PromptTokens: 5200, OutputTokens: 1000}, ReadTokens: 20_000}
	for name, test := range map[string]struct {
		server   placement.Candidate
		headroom placement.Headroom
		has      bool
	}{
		"empty":                      {placement.Candidate{CacheTokens: 55_000, Slots: 32}, headroom, true},
		"plain service":              {placement.Candidate{MemoryTokens: 1 << 40, Slots: 4}, headroom, true},
		"memory is left":             {placement.Candidate{CacheTokens: 55_000, Slots: 32, MemoryTokens: 43_000}, headroom, true},
		"only the reserve is left":   {placement.Candidate{CacheTokens: 55_000, Slots: 32, MemoryTokens: 46_000}, headroom, false},
		"slots are used":             {placement.Candidate{CacheTokens: 55_000, Slots: 4, Running: 3, Pending: 1, PendingTokens: 5200, MemoryTokens: 20_000}, headroom, false},
		"a slot is left":             {placement.Candidate{CacheTokens: 55_000, Slots: 4, Running: 2, Pending: 1, PendingTokens: 5200, MemoryTokens: 20_000}, headroom, true},
		"small beside a long prompt": {placement.Candidate{CacheTokens: 55_000, Slots: 32, Pending: 1, PendingTokens: 5200, MemoryTokens: 6200}, placement.Headroom{Demand: placement.Demand{PromptTokens: 100, OutputTokens: 50}, ReadTokens: 20_000}, true},
		"long beside small prompts":  {placement.Candidate{CacheTokens: 55_000, Slots: 8, Pending: 8, PendingTokens: 800, MemoryTokens: 1200}, headroom, false},
		"prompts are read in time":   {placement.Candidate{CacheTokens: 55_000, Slots: 32, PendingTokens: 14_000, MemoryTokens: 30_000}, headroom, true},
		"prompts are read too late":  {placement.Candidate{CacheTokens: 55_000, Slots: 32, PendingTokens: 16_000, MemoryTokens: 30_000}, headroom, false},
		"most memory is free":        {placement.Candidate{CacheTokens: 55_000, Slots: 32, PendingTokens: 16_000, MemoryTokens: 20_000}, headroom, true},
		"reading rate is unknown":    {placement.Candidate{CacheTokens: 55_000, Slots: 32, PendingTokens: 30_000, MemoryTokens: 40_000}, placement.Headroom{Demand: headroom.Demand}, true},
		"long prompt, empty server":  {placement.Candidate{CacheTokens: 55_000, Slots: 32}, placement.Headroom{Demand: placement.Demand{PromptTokens: 53_000}, ReadTokens: 20_000}, true},
		"long prompt, another reads": {placement.Candidate{CacheTokens: 55_000, Slots: 32, PendingTokens: 1}, placement.Headroom{Demand: placement.Demand{PromptTokens: 30_000}, ReadTokens: 20_000}, false},
		"larger than the memory":     {placement.Candidate{CacheTokens: 55_000, Slots: 32}, placement.Headroom{Demand: placement.Demand{PromptTokens: 60_000}}, false},
	} {
		qt.Check(t, placement.HasHeadroom(test.server, test.headroom), qt.Equals, test.has, qt.Commentf(name))
	}
}

// TestChoiceWithHeadroomIsTheChoiceWithout draws servers and streams. If the server that is chosen
// without regard to headroom has headroom, it is also chosen with it.
func TestChoiceWithHeadroomIsTheChoiceWithout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := make([]placement.Candidate, rapid.IntRange(1, 6).Draw(t, "servers"))
		for i := range candidates {
			candidates[i] = placement.Candidate{
				CacheTokens:   55_000,
				Slots:         12,
				Avoided:       rapid.Bool().Draw(t, "avoided"),
				PendingTokens: rapid.IntRange(0, 30_000).Draw(t, "pending"),
				Pending:       rapid.IntRange(0, 6).Draw(t, "pending streams"),
				Running:       rapid.IntRange(0, 12).Draw(t, "running"),
				MemoryTokens:  rapid.IntRange(0, 55_000).Draw(t, "memory"),
			}
		}
		headroom := placement.Headroom{Demand: placement.Demand{PromptTokens: 5200, OutputTokens: 1000}, ReadTokens: rapid.IntRange(0, 30_000).Draw(t, "read")}
		without, _ := placement.ChooseForStream(candidates, headroom.Demand)
		with, found, isUp := placement.ChooseWithHeadroom(candidates, headroom)
		if found {
			property.Assert(t, isUp && placement.HasHeadroom(candidates[with], headroom) && placement.Fits(candidates[with], headroom.Demand), qt.IsTrue)
		}
		if !candidates[without].Avoided && placement.HasHeadroom(candidates[without], headroom) {
			property.Assert(t, found, qt.IsTrue)
			property.Assert(t, with, qt.Equals, without)
		}
	})
}
