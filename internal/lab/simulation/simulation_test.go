package simulation

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/lab/golden"
)

func scenarioOf(t *testing.T, name string) *Scenario {
	t.Helper()
	scenario, err := ReadScenario(filepath.Join("../../../examples", name))
	qt.Assert(t, err, qt.IsNil)
	return scenario
}

// quietScenario has streams that rarely overlap on an engine, and no faults.
func quietScenario(t *testing.T) *Scenario {
	scenario := scenarioOf(t, "domain-losses.json")
	scenario.Faults = nil
	scenario.Load.StreamsPerSecond = 0.05
	scenario.Load.PromptSpread, scenario.Load.EventsSpread = 0, 0
	scenario.Seconds = 300
	return scenario
}

func TestSeedIsReproducible(t *testing.T) {
	scenario := scenarioOf(t, "common-end.json")
	qt.Assert(t, runTrial(scenario, Policy{}, 5), qt.DeepEquals, runTrial(scenario, Policy{}, 5))
}

// TestPoliciesGetTheSameLoad guards against comparisons in which the loads differ too.
func TestPoliciesGetTheSameLoad(t *testing.T) {
	scenario := scenarioOf(t, "common-end.json")
	product, other := runTrial(scenario, Policy{}, 5), runTrial(scenario, Policy{NoLoadReports: true}, 5)
	qt.Assert(t, len(product.Outcomes), qt.Equals, len(other.Outcomes))
	for i := range product.Outcomes {
		qt.Assert(t, product.Outcomes[i].RequestedAt, qt.Equals, other.Outcomes[i].RequestedAt)
		qt.Assert(t, product.Outcomes[i].PromptTokens, qt.Equals, other.Outcomes[i].PromptTokens)
	}
}

// TestStreamOnIdleEngineTakesModelledTime compares with the engine model: 5,200 prompt
// tokens at 5 per ms, then 130 events of 9 steps.
func TestStreamOnIdleEngineTakesModelledTime(t *testing.T) {
	scenario := quietScenario(t)
	result := runTrial(scenario, Policy{}, 1)
	qt.Assert(t, len(result.Outcomes) > 2, qt.IsTrue)
	want := scenario.idleDuration(5200, 130)
	for _, o := range result.Outcomes {
		if o.Length == 0 {
			continue // It was requested just before the end of the trial.
		}
		off := (o.Length - want).Abs()
		qt.Check(t, off < want/50, qt.IsTrue, qt.Commentf("took %v, want %v", o.Length, want))
		qt.Check(t, o.PrefillTokens, qt.Equals, o.PromptTokens)
	}
}

// TestPromptsOfOneEngineArePrefilledInTurn checks that the second of two prompts waits for
// the first, and that the first stream's events are slow until the second is prefilled.
func TestPromptsOfOneEngineArePrefilledInTurn(t *testing.T) {
	scenario := quietScenario(t)
	scenario.Engines.FailureDomains, scenario.Engines.PerFailureDomain = []string{"a"}, 1
	scenario.VMs = 1
	sim := &simulation{clock: newClock(), scenario: scenario, decisionRandom: newRandom(1, decisionSequence), engines: map[string]*engine{}}
	sim.startEngines()
	sim.startVMs()
	for i := range 2 {
		s := &stream{sim: sim, vm: sim.vms[0], number: i, prompt: 5200, tokens: 1170, left: 1170, tried: map[string]bool{}, requestedAt: sim.now}
		sim.streams = append(sim.streams, s)
		s.place("")
	}
	begin := sim.now
	sim.run(begin.Add(20 * time.Second))
	first, second := sim.streams[0].firstEventAt.Sub(begin), sim.streams[1].firstEventAt.Sub(begin)
	qt.Check(t, first > time.Second && first < 1300*time.Millisecond, qt.IsTrue, qt.Commentf("%v", first))
	qt.Check(t, second > 2*time.Second && second < 2500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", second))
	qt.Check(t, sim.streams[0].longestPause > 200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", sim.streams[0].longestPause))
	qt.Check(t, sim.engines["engine-0:1"].memory, qt.Equals, 0)
}

// TestCopiesSaveStreamsOfLostEngines simulates examples/domain-losses.json: streams of 5 s
// while one failure domain after the other fails. Copies and moves must each increase the
// worth and reduce the pauses over the objective.
func TestCopiesSaveStreamsOfLostEngines(t *testing.T) {
	scenario := scenarioOf(t, "domain-losses.json")
	product := figuresFor(t, scenario, Policy{})
	for _, policy := range []Policy{{NoCopies: true}, {NoMoves: true}} {
		f := figuresFor(t, scenario, policy)
		qt.Check(t, product.Worth > f.Worth+0.05, qt.IsTrue, qt.Commentf("%.3f and %.3f", product.Worth, f.Worth))
		qt.Check(t, product.LongPauses < f.LongPauses, qt.IsTrue, qt.Commentf("%.3f and %.3f", product.LongPauses, f.LongPauses))
	}
}

// TestLoadReportsImprovePlacement simulates examples/common-end.json: prompts from nine VMs
// on 24 engines. With load reports, first events are earlier, streams shorter and the worth
// higher.
func TestLoadReportsImprovePlacement(t *testing.T) {
	scenario := scenarioOf(t, "common-end.json")
	product := figuresFor(t, scenario, Policy{})
	withoutReports := figuresFor(t, scenario, Policy{NoLoadReports: true})
	qt.Check(t, product.First99 < withoutReports.First99, qt.IsTrue, qt.Commentf("%v and %v", product.First99, withoutReports.First99))
	qt.Check(t, product.LengthMean < withoutReports.LengthMean, qt.IsTrue, qt.Commentf("%v and %v", product.LengthMean, withoutReports.LengthMean))
	qt.Check(t, product.Worth > withoutReports.Worth, qt.IsTrue, qt.Commentf("%.3f and %.3f", product.Worth, withoutReports.Worth))
	qt.Check(t, product.Worth < product.Bound, qt.IsTrue, qt.Commentf("%.3f and %.3f", product.Worth, product.Bound))
}

func figuresFor(t *testing.T, scenario *Scenario, policy Policy) Figures {
	t.Helper()
	results, err := Compare(context.Background(), scenario, []Policy{policy}, []uint64{1, 2, 3, 4, 5, 6}, 3)
	qt.Assert(t, err, qt.IsNil)
	return results[0].Figures(scenario)
}

func TestTableGolden(t *testing.T) {
	scenario := scenarioOf(t, "domain-losses.json")
	results, err := Compare(context.Background(), scenario, Policies[:2], []uint64{1, 2}, 2)
	qt.Assert(t, err, qt.IsNil)
	table := bytes.Buffer{}
	qt.Assert(t, WriteTable(&table, scenario, results), qt.IsNil)
	golden.Compare(t, "testdata/table.golden", table.String())
}

func TestReportHasTableAndPlots(t *testing.T) {
	scenario := scenarioOf(t, "domain-losses.json")
	results, err := Compare(context.Background(), scenario, Policies[:2], []uint64{1}, 1)
	qt.Assert(t, err, qt.IsNil)
	path := filepath.Join(t.TempDir(), "report.html")
	qt.Assert(t, WriteReport(path, scenario, results), qt.IsNil)
	page, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, strings.Count(string(page), "<svg"), qt.Equals, 3)
	qt.Check(t, strings.Contains(string(page), "<td>no copies</td>"), qt.IsTrue)
}

func TestScenarioFaultsAreListedAtOnce(t *testing.T) {
	path := filepath.Join(t.TempDir(), "scenario.json")
	text := `{"seconds": 10, "vms": 0, "faults": [{"atSeconds": 1, "kind": "flood"}]}`
	qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	_, err := ReadScenario(path)
	qt.Assert(t, err, qt.ErrorMatches, `.*vms: a number above 0 is needed; .*engines.speeds: at least one.*faults\[0\].kind: "flood" is none of .*`)
}

func TestUnknownPolicyIsNamed(t *testing.T) {
	_, err := PoliciesNamed([]string{"product", "best"})
	qt.Assert(t, err, qt.ErrorMatches, `no policy "best"; there are \["product" .*`)
}
