package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/endivespoke/endivespoke/internal/backend/placement"
)

func TestStreamTakesTheServerWithTheLeastDelay(t *testing.T) {
	need := placement.Demand{PromptTokens: 5000, OutputTokens: 1000}
	at, found := placement.ChooseForStream([]placement.Candidate{
		{ID: "reads a prompt", PendingTokens: 5000, CacheTokens: 50_000},
		{ID: "runs one", Running: 1, CacheTokens: 50_000},
		{ID: "runs two", Running: 2, CacheTokens: 50_000},
	}, need)
	qt.Assert(t, found, qt.IsTrue)
	qt.Assert(t, at, qt.Equals, 1)
}

// TestFullServerGoesBeforeOneThatIsDown: on a day with a failure domain left, all
// servers that were up looked full, and streams were sent to those that were dark.
func TestFullServerGoesBeforeOneThatIsDown(t *testing.T) {
	need := placement.Demand{PromptTokens: 5000, OutputTokens: 1000}
	for _, need.AfterLoss = range []bool{false, true} {
		at, found := placement.ChooseForStream([]placement.Candidate{
			{ID: "down", Avoided: true, CacheTokens: 50_000},
			{ID: "fuller", MemoryTokens: 49_000, CacheTokens: 50_000},
			{ID: "full", MemoryTokens: 48_000, CacheTokens: 50_000},
		}, need)
		qt.Assert(t, found, qt.IsTrue)
		qt.Assert(t, at, qt.Equals, 2)
	}
}

func TestStreamLargerThanAServerFindsNone(t *testing.T) {
	need := placement.Demand{PromptTokens: 50_000, OutputTokens: 1000}
	_, found := placement.ChooseForStream([]placement.Candidate{{ID: "small", CacheTokens: 50_000}}, need)
	qt.Assert(t, found, qt.IsFalse)
}

// TestBackupIsInAnotherFailureDomain holds for any servers.
func TestBackupIsInAnotherFailureDomain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := []placement.Candidate{}
		for i := range rapid.IntRange(0, 8).Draw(t, "servers") {
			candidates = append(candidates, placement.Candidate{
				ID:            fmt.Sprint(i),
				FailureDomain: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"),
				MemoryTokens:  rapid.IntRange(0, 50_000).Draw(t, "memory"),
				CacheTokens:   50_000,
				Avoided:       rapid.Bool().Draw(t, "avoided"),
			})
		}
		need := placement.Demand{PromptTokens: 5000, OutputTokens: 1000}
		at, found := placement.ChooseCopyHolder(candidates, "a", need)
		possible := slices.ContainsFunc(candidates, func(c placement.Candidate) bool {
			return c.FailureDomain != "a" && c.MemoryTokens+need.Tokens() <= 45_000
		})
		if found != possible {
			t.Fatalf("found %v, possible %v", found, possible)
		}
		if found && candidates[at].FailureDomain == "a" {
			t.Fatal("the backup is in the stream's failure domain")
		}
	})
}

func TestCallPassesOverAvoidedServersWhileOthersAreThere(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	candidates := []placement.Candidate{{ID: "down", Avoided: true, Slots: 6}, {ID: "up", Slots: 6}}
	for range 100 {
		at, found := placement.ChooseForCall(candidates, random.Float64)
		qt.Assert(t, found, qt.IsTrue)
		qt.Assert(t, at, qt.Equals, 1)
	}
	at, found := placement.ChooseForCall(candidates[:1], random.Float64)
	qt.Assert(t, found, qt.IsTrue)
	qt.Assert(t, at, qt.Equals, 0)
}

// engine is a model server in a played load: prompts are read one after the
// other, and running streams get next to nothing done meanwhile.
type engine struct {
	prompts []float64 // What is left of each, in ms.
	streams []float64
}

const (
	promptMillis = 1000.0
	streamMillis = 4000.0
	// besidePrompt is the part of a stream's speed beside a prompt: a step of 3.4 ms
	// becomes one of 28 ms.
	besidePrompt = 0.12
	stepMillis   = 10.0
)

func (e *engine) step() (finished int) {
	speed := 1.0
	if len(e.prompts) > 0 {
		speed = besidePrompt
		e.prompts[0] -= stepMillis
		if e.prompts[0] <= 0 {
			e.prompts = e.prompts[1:]
			e.streams = append(e.streams, streamMillis)
		}
	}
	kept := e.streams[:0]
	for _, left := range e.streams {
		if left -= stepMillis * speed; left > 0 {
			kept = append(kept, left)
		} else {
			finished++
		}
	}
	e.streams = kept
	return finished
}

// play sends streams to engines at random moments and gives the mean time in ms
// that one is in the system (Little's law).
func play(seed uint64, engines int, perSecond float64, choose func([]placement.Candidate, *rand.Rand) int) float64 {
	random := rand.New(rand.NewPCG(seed, 1))
	fleet := make([]engine, engines)
	inSystem, finished := 0.0, 0
	for range 60_000 / int(stepMillis) {
		if random.Float64() < perSecond*stepMillis/1000 {
			candidates := []placement.Candidate{}
			for i, e := range fleet {
				candidates = append(candidates, placement.Candidate{
					ID: fmt.Sprint(i), PendingTokens: 5000 * len(e.prompts), Running: len(e.streams), CacheTokens: 1 << 30,
				})
			}
			at := choose(candidates, random)
			fleet[at].prompts = append(fleet[at].prompts, promptMillis)
		}
		for i := range fleet {
			inSystem += float64(len(fleet[i].prompts) + len(fleet[i].streams))
			finished += fleet[i].step()
		}
	}
	return inSystem * stepMillis / float64(finished)
}

// TestStreamsAreShorterThanWithRandomChoice plays prompts beside running
// streams on 18 engines at a quarter of what they could read.
func TestStreamsAreShorterThanWithRandomChoice(t *testing.T) {
	need := placement.Demand{PromptTokens: 5000, OutputTokens: 1000}
	chosen, random := 0.0, 0.0
	const seeds = 10
	for seed := range uint64(seeds) {
		chosen += play(seed, 18, 4.7, func(c []placement.Candidate, _ *rand.Rand) int {
			at, _ := placement.ChooseForStream(c, need)
			return at
		})
		random += play(seed, 18, 4.7, func(c []placement.Candidate, r *rand.Rand) int { return r.IntN(len(c)) })
	}
	t.Logf("mean time of a stream: %.0f ms chosen, %.0f ms at random", chosen/seeds, random/seeds)
	qt.Assert(t, chosen < random, qt.IsTrue)
	// Alone, a stream takes 5,000 ms. What callers may lose to others' prompts is
	// a quarter of that.
	qt.Assert(t, chosen/seeds < 1.25*(promptMillis+streamMillis), qt.IsTrue)
}

// TestVMsThatLoseStreamsTogetherSpread has 24 VMs place a stream each at the same
// moment, with the same picture of 12 servers.
func TestVMsThatLoseStreamsTogetherSpread(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	candidates := []placement.Candidate{}
	for i := range 12 {
		candidates = append(candidates, placement.Candidate{ID: fmt.Sprint(i), Running: 1 + i%3, CacheTokens: 50_000})
	}
	candidates[5].Running = 0 // The one that all would take.
	need := placement.Demand{PromptTokens: 5000, OutputTokens: 1000, AfterLoss: true}
	counts := map[string]int{}
	for range 24 {
		shuffled := slices.Clone(candidates)
		random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		at, found := placement.ChooseForStream(shuffled, need)
		qt.Assert(t, found, qt.IsTrue)
		counts[shuffled[at].ID]++
	}
	// A prompt takes about a second; a queue of more than half of them would take
	// longer than the objective for the first event.
	for id, count := range counts {
		qt.Assert(t, count <= 12, qt.IsTrue, qt.Commentf("%d of 24 on server %s", count, id))
	}
}
