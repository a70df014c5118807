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

// quietScenario has streams that seldom meet on an engine, and no faults.
func quietScenario(t *testing.T) *Scenario {
	scenario := scenarioOf(t, "domain-losses.json")
	scenario.Faults = nil
	scenario.Load.StreamsPerSecond = 0.05
	scenario.Load.PromptSpread, scenario.Load.EventsSpread = 0, 0
	scenario.Seconds = 300
	return scenario
}

func TestSeedPlaysTheSame(t *testing.T) {
	scenario := scenarioOf(t, "common-end.json")
	qt.Assert(t, play(scenario, Policy{}, 5), qt.DeepEquals, play(scenario, Policy{}, 5))
}

// TestPoliciesMeetTheSameLoad: else their difference would be that of the loads too.
func TestPoliciesMeetTheSameLoad(t *testing.T) {
	scenario := scenarioOf(t, "common-end.json")
	product, other := play(scenario, Policy{}, 5), play(scenario, Policy{NoNews: true}, 5)
	qt.Assert(t, len(product.Outcomes), qt.Equals, len(other.Outcomes))
	for i := range product.Outcomes {
		qt.Assert(t, product.Outcomes[i].AskedAt, qt.Equals, other.Outcomes[i].AskedAt)
		qt.Assert(t, product.Outcomes[i].Prompt, qt.Equals, other.Outcomes[i].Prompt)
	}
}

// TestStreamAloneTakesWhatTheEngineNeeds: 5,200 tokens at 5 a ms, then 130 events of 9
// steps.
func TestStreamAloneTakesWhatTheEngineNeeds(t *testing.T) {
	scenario := quietScenario(t)
	result := play(scenario, Policy{}, 1)
	qt.Assert(t, len(result.Outcomes) > 2, qt.IsTrue)
	want := scenario.alone(5200, 130)
	for _, o := range result.Outcomes {
		if o.Length == 0 {
			continue // It was asked for just before the end.
		}
		off := (o.Length - want).Abs()
		qt.Check(t, off < want/50, qt.IsTrue, qt.Commentf("took %v, want %v", o.Length, want))
		qt.Check(t, o.Read, qt.Equals, o.Prompt)
	}
}

// TestPromptsOfOneEngineAreReadInTurn: the second of two prompts waits for the first,
// and the first stream's events are slow until the second has been read.
func TestPromptsOfOneEngineAreReadInTurn(t *testing.T) {
	scenario := quietScenario(t)
	scenario.Engines.FailureDomains, scenario.Engines.PerFailureDomain = []string{"a"}, 1
	scenario.VMs = 1
	w := &world{clock: newClock(), scenario: scenario, random: newRandom(1, decisionStream), engines: map[string]*engine{}}
	w.startEngines()
	w.startVMs()
	for i := range 2 {
		s := &stream{world: w, vm: w.vms[0], number: i, prompt: 5200, tokens: 1170, left: 1170, tried: map[string]bool{}, askedAt: w.now}
		w.streams = append(w.streams, s)
		s.place("")
	}
	begin := w.now
	w.run(begin.Add(20 * time.Second))
	first, second := w.streams[0].firstAt.Sub(begin), w.streams[1].firstAt.Sub(begin)
	qt.Check(t, first > time.Second && first < 1300*time.Millisecond, qt.IsTrue, qt.Commentf("%v", first))
	qt.Check(t, second > 2*time.Second && second < 2500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", second))
	qt.Check(t, w.streams[0].longest > 200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", w.streams[0].longest))
	qt.Check(t, w.engines["engine-0:1"].memory, qt.Equals, 0)
}

// TestCopiesSaveStreamsOfLostEngines answers the load of examples/domain-losses.json:
// streams of 5 s while one failure domain after the other is lost. With copies and moves
// callers get more, and fewer pauses over the aim.
func TestCopiesSaveStreamsOfLostEngines(t *testing.T) {
	scenario := scenarioOf(t, "domain-losses.json")
	product := figuresOf(t, scenario, Policy{})
	for _, without := range []Policy{{NoCopies: true}, {NoMoves: true}} {
		f := figuresOf(t, scenario, without)
		qt.Check(t, product.Worth > f.Worth+0.05, qt.IsTrue, qt.Commentf("%.3f and %.3f", product.Worth, f.Worth))
		qt.Check(t, product.LongPauses < f.LongPauses, qt.IsTrue, qt.Commentf("%.3f and %.3f", product.LongPauses, f.LongPauses))
	}
}

// TestVMsThatKnowEachOthersWorkPlaceBetter answers the load of
// examples/common-end.json: prompts from nine VMs on 24 engines.
func TestVMsThatKnowEachOthersWorkPlaceBetter(t *testing.T) {
	scenario := scenarioOf(t, "common-end.json")
	product := figuresOf(t, scenario, Policy{})
	alone := figuresOf(t, scenario, Policy{NoNews: true})
	qt.Check(t, product.First99 < alone.First99, qt.IsTrue, qt.Commentf("%v and %v", product.First99, alone.First99))
	qt.Check(t, product.LengthMean < alone.LengthMean, qt.IsTrue, qt.Commentf("%v and %v", product.LengthMean, alone.LengthMean))
	qt.Check(t, product.Worth > alone.Worth, qt.IsTrue, qt.Commentf("%.3f and %.3f", product.Worth, alone.Worth))
	qt.Check(t, product.Worth < product.Bound, qt.IsTrue, qt.Commentf("%.3f and %.3f", product.Worth, product.Bound))
}

func figuresOf(t *testing.T, scenario *Scenario, policy Policy) Figures {
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
