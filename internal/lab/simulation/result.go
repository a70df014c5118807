package simulation

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/placement"
)

// Policy is a variant of the VMs' decisions. The zero value is the product's behaviour;
// each field turns off or changes one part of it.
type Policy struct {
	Name          string
	NoCopies      bool
	NoMoves       bool // Streams without a copy are not moved.
	NoLoadReports bool // VMs don't announce their load to each other.
	NoSampling    bool // After an engine failure, all candidates are considered instead of a sample.
	// LoadDelayMillis is the delay of announcements of new load, ReleaseDelayMillis that of
	// load that has ended, and Fanout the number of VMs drawn to receive announcements; 0
	// for the product's values. LoadDelayMillis also delays announcements of engine failures.
	LoadDelayMillis    float64
	ReleaseDelayMillis float64
	Fanout             int
	Cells              int // Number of cells of the fleet; 0 for the product's.
}

// Policies are the policies that are compared by default. The first is the product's.
var Policies = []Policy{
	{Name: "product"},
	{Name: "no copies", NoCopies: true},
	{Name: "no moves", NoMoves: true},
	{Name: "no sample after a loss", NoSampling: true},
	{Name: "work told after 40 ms", LoadDelayMillis: 40},
	{Name: "work not told", NoLoadReports: true},
	{Name: "ended work told after 1 s", ReleaseDelayMillis: 1000},
	{Name: "work told to 16 peers", Fanout: 16},
	{Name: "one cell", Cells: 1},
}

// PoliciesNamed returns the policies with these names, or all if no names are given.
func PoliciesNamed(names []string) ([]Policy, error) {
	if len(names) == 0 {
		return Policies, nil
	}
	chosen := []Policy{}
	for _, name := range names {
		i := slices.IndexFunc(Policies, func(p Policy) bool { return p.Name == name })
		if i < 0 {
			known := []string{}
			for _, policy := range Policies {
				known = append(known, policy.Name)
			}
			return nil, errors.Errorf("no policy %q; there are %q", name, known)
		}
		chosen = append(chosen, Policies[i])
	}
	return chosen, nil
}

// loadDelayMillis and releaseDelayMillis are the delays in package spread: new load is
// announced after the first, load that has ended after the second.
const (
	loadDelayMillis    = 3
	releaseDelayMillis = 150
)

func (p Policy) loadDelay() time.Duration {
	return millis(cmp.Or(p.LoadDelayMillis, loadDelayMillis))
}

func (p Policy) releaseDelay() time.Duration {
	return millis(cmp.Or(p.ReleaseDelayMillis, releaseDelayMillis))
}

func (p Policy) cells(vms int) int {
	return cmp.Or(p.Cells, placement.CellCount(vms))
}

// Outcome is the result of one stream. Times are from the start of the trial.
type Outcome struct {
	RequestedAt   time.Duration
	FirstEvent    time.Duration // After the request; 0 if there was none.
	Length        time.Duration // From the request to completion; 0 if it was not completed.
	LongestPause  time.Duration // Between two events.
	Worth         float64
	Bound         float64 // Upper limit of Worth, with perfect knowledge.
	PromptTokens  int     // Tokens.
	PrefillTokens int     // Prompt tokens that engines prefilled for it.
}

// Result is the result of one trial.
type Result struct {
	Seed     uint64
	Outcomes []Outcome
	Resumed  int // Number of times that streams continued from copies.
	Moved    int
	Messages int // Announcements between VMs.
}

func (sim *simulation) result(begin time.Time) Result {
	result := Result{Messages: sim.messages}
	for _, s := range sim.streams {
		result.Outcomes = append(result.Outcomes, sim.outcome(s, begin))
		result.Resumed += s.resumed
		result.Moved += s.moved
	}
	return result
}

func (sim *simulation) outcome(s *stream, begin time.Time) Outcome {
	load := sim.scenario.Load
	o := Outcome{RequestedAt: s.requestedAt.Sub(begin), LongestPause: s.longestPause, PromptTokens: s.prompt, PrefillTokens: s.prefillTokens}
	if !s.firstEventAt.IsZero() {
		o.FirstEvent = s.firstEventAt.Sub(s.requestedAt)
	}
	if !s.completedAt.IsZero() {
		o.Length = s.completedAt.Sub(s.requestedAt)
	}
	onTime := o.FirstEvent <= millis(load.FirstEventAimMillis) && o.LongestPause <= millis(load.GapAimMillis)
	switch {
	case o.Length == 0 || o.Length > millis(load.DeadlineMillis):
	case onTime:
		o.Worth = 1
	default:
		o.Worth = load.LateWorth
	}
	if o.RequestedAt+sim.scenario.idleDuration(s.prompt, s.tokens/sim.scenario.Engines.TokensPerEvent) <= sim.scenario.end() {
		o.Bound = 1
	}
	return o
}

// end returns the time at which streams stop: the end of all VMs, or of the trial.
func (s *Scenario) end() time.Duration {
	end := s.length()
	for _, fault := range s.Faults {
		if fault.Kind == FaultEnd {
			end = min(end, seconds(fault.AtSeconds))
		}
	}
	return end
}

// Results are the trials of one policy, one for each seed.
type Results struct {
	Policy Policy
	Trials []Result
}

// Compare simulates a scenario with each policy and seed, and returns the results in the
// order of the policies. At most workers trials run at a time.
func Compare(ctx context.Context, scenario *Scenario, policies []Policy, seeds []uint64, workers int) ([]Results, error) {
	results := make([]Results, len(policies))
	slots := make(chan struct{}, max(workers, 1))
	var trials sync.WaitGroup
	for i, policy := range policies {
		results[i] = Results{Policy: policy, Trials: make([]Result, len(seeds))}
		for j, seed := range seeds {
			trials.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				if ctx.Err() != nil {
					return
				}
				results[i].Trials[j] = runTrial(scenario, policy, seed)
				results[i].Trials[j].Seed = seed
			})
		}
	}
	trials.Wait()
	return results, errors.Trace(ctx.Err())
}

// Figures summarizes the trials of one policy.
type Figures struct {
	Worth           float64 // Per stream, 0 to 1.
	WorthError      float64 // Standard error of the mean over the seeds.
	Bound           float64
	FirstMedian     time.Duration
	First99         time.Duration
	LengthMean      time.Duration
	Length99        time.Duration
	LongPauses      float64 // Fraction of the streams with a pause over the objective.
	Unfinished      float64 // Fraction of the streams.
	RepeatedPrefill float64 // Prompt tokens prefilled again, as a fraction of all prompt tokens.
	Resumed         float64 // Per trial.
	Moved           float64 // Per trial.
	Messages        float64 // Per trial and second.
}

// Figures computes the figures of all trials.
func (r *Results) Figures(scenario *Scenario) Figures {
	f := Figures{}
	worths := []float64{}
	first, lengths := []time.Duration{}, []time.Duration{}
	streams, prompts, prefillTokens := 0, 0, 0
	for _, trial := range r.Trials {
		worth := 0.0
		for _, o := range trial.Outcomes {
			worth += o.Worth
			f.Bound += o.Bound
			prompts += o.PromptTokens
			prefillTokens += max(o.PrefillTokens-o.PromptTokens, 0)
			if o.FirstEvent > 0 {
				first = append(first, o.FirstEvent)
			}
			if o.Length > 0 {
				lengths = append(lengths, o.Length)
			} else {
				f.Unfinished++
			}
			if o.LongestPause > millis(scenario.Load.GapAimMillis) {
				f.LongPauses++
			}
		}
		streams += len(trial.Outcomes)
		worths = append(worths, worth/float64(max(len(trial.Outcomes), 1)))
		f.Resumed += float64(trial.Resumed) / float64(len(r.Trials))
		f.Moved += float64(trial.Moved) / float64(len(r.Trials))
		f.Messages += float64(trial.Messages) / float64(len(r.Trials)) / scenario.Seconds
	}
	all := float64(max(streams, 1))
	f.Bound, f.Unfinished, f.LongPauses = f.Bound/all, f.Unfinished/all, f.LongPauses/all
	f.RepeatedPrefill = float64(prefillTokens) / float64(max(prompts, 1))
	f.Worth, f.WorthError = meanAndError(worths)
	f.FirstMedian, f.First99 = quantile(first, 0.5), quantile(first, 0.99)
	f.LengthMean, f.Length99 = mean(lengths), quantile(lengths, 0.99)
	return f
}

func meanAndError(values []float64) (mean, deviation float64) {
	if len(values) == 0 {
		return 0, 0
	}
	for _, value := range values {
		mean += value / float64(len(values))
	}
	if len(values) == 1 {
		return mean, 0
	}
	squares := 0.0
	for _, value := range values {
		squares += (value - mean) * (value - mean)
	}
	return mean, math.Sqrt(squares / float64(len(values)-1) / float64(len(values)))
}

func mean(spans []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, span := range spans {
		sum += span
	}
	return sum / time.Duration(max(len(spans), 1))
}

// quantile returns the value below which a fraction of the spans lies; 0 if there are none.
func quantile(spans []time.Duration, fraction float64) time.Duration {
	if len(spans) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(spans))
	return sorted[min(int(fraction*float64(len(sorted))), len(sorted)-1)]
}
