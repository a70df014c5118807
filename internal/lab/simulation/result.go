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

// Policy is a way to decide. The zero value is what VMs do; each field takes one part
// away or changes it.
type Policy struct {
	Name     string
	NoCopies bool
	NoMoves  bool // Streams whose copy is lost stay where they are.
	NoNews   bool // VMs don't know each other's work.
	NoSample bool // After a loss all candidates are looked at, not a sample.
	// NewsMillis is how late peers hear of new work, EasedMillis how late of work that
	// ended, and Fanout how many peers hear of it; 0 for what VMs do.
	NewsMillis  float64
	EasedMillis float64
	Fanout      int
	Cells       int // Into how many the fleet is split; 0 for what VMs do.
}

// Policies are compared unless others are asked for. The first is the product's.
var Policies = []Policy{
	{Name: "product"},
	{Name: "no copies", NoCopies: true},
	{Name: "no moves", NoMoves: true},
	{Name: "no sample after a loss", NoSample: true},
	{Name: "work told after 40 ms", NewsMillis: 40},
	{Name: "work not told", NoNews: true},
	{Name: "ended work told after 1 s", EasedMillis: 1000},
	{Name: "work told to 16 peers", Fanout: 16},
	{Name: "one cell", Cells: 1},
}

// PoliciesNamed gives the policies of these names, all if there are none.
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

// newsMillis and easedMillis are package spread's: new work is told after the one, work
// that ended after the other.
const (
	newsMillis  = 3
	easedMillis = 150
)

func (p Policy) newsAfter() time.Duration {
	return millis(cmp.Or(p.NewsMillis, newsMillis))
}

func (p Policy) easedAfter() time.Duration {
	return millis(cmp.Or(p.EasedMillis, easedMillis))
}

func (p Policy) cells(vms int) int {
	return cmp.Or(p.Cells, placement.CellCount(vms))
}

// Outcome is what one stream's caller got. Times are from the start of the play.
type Outcome struct {
	AskedAt    time.Duration
	FirstEvent time.Duration // After it was asked for; 0 if none came.
	Length     time.Duration // Until it was complete; 0 if it was not.
	Pause      time.Duration // The longest.
	Worth      float64
	Bound      float64 // What perfect knowledge could have made of it.
	Prompt     int     // Tokens.
	Read       int     // Prompt tokens that engines read for it.
}

// Result is one play.
type Result struct {
	Seed     uint64
	Outcomes []Outcome
	Resumed  int // Times that streams went on from copies.
	Moved    int
	Messages int // Of VMs, about their work.
}

func (w *world) result(begin time.Time) Result {
	result := Result{Messages: w.messages}
	for _, s := range w.streams {
		result.Outcomes = append(result.Outcomes, w.outcome(s, begin))
		result.Resumed += s.resumed
		result.Moved += s.moved
	}
	return result
}

func (w *world) outcome(s *stream, begin time.Time) Outcome {
	load := w.scenario.Load
	o := Outcome{AskedAt: s.askedAt.Sub(begin), Pause: s.longest, Prompt: s.prompt, Read: s.reads}
	if !s.firstAt.IsZero() {
		o.FirstEvent = s.firstAt.Sub(s.askedAt)
	}
	if !s.endedAt.IsZero() {
		o.Length = s.endedAt.Sub(s.askedAt)
	}
	onTime := o.FirstEvent <= millis(load.FirstEventAimMillis) && o.Pause <= millis(load.GapAimMillis)
	switch {
	case o.Length == 0 || o.Length > millis(load.DeadlineMillis):
	case onTime:
		o.Worth = 1
	default:
		o.Worth = load.LateWorth
	}
	if o.AskedAt+w.scenario.alone(s.prompt, s.tokens/w.scenario.Engines.TokensPerEvent) <= w.scenario.end() {
		o.Bound = 1
	}
	return o
}

// end is when callers get nothing more: the end of all VMs, or of the play.
func (s *Scenario) end() time.Duration {
	end := s.length()
	for _, fault := range s.Faults {
		if fault.Kind == FaultEnd {
			end = min(end, seconds(fault.AtSeconds))
		}
	}
	return end
}

// Results are the plays of one policy, one for each seed.
type Results struct {
	Policy Policy
	Plays  []Result
}

// Compare plays a scenario with each policy and seed, and gives the results in the order
// of the policies. One play runs on each of workers goroutines.
func Compare(ctx context.Context, scenario *Scenario, policies []Policy, seeds []uint64, workers int) ([]Results, error) {
	results := make([]Results, len(policies))
	places := make(chan struct{}, max(workers, 1))
	var plays sync.WaitGroup
	for i, policy := range policies {
		results[i] = Results{Policy: policy, Plays: make([]Result, len(seeds))}
		for j, seed := range seeds {
			plays.Go(func() {
				places <- struct{}{}
				defer func() { <-places }()
				if ctx.Err() != nil {
					return
				}
				results[i].Plays[j] = play(scenario, policy, seed)
				results[i].Plays[j].Seed = seed
			})
		}
	}
	plays.Wait()
	return results, errors.Trace(ctx.Err())
}

// Figures sum up the plays of one policy.
type Figures struct {
	Worth       float64 // Per stream, 0 to 1.
	WorthError  float64 // Standard error of the mean over the seeds.
	Bound       float64
	FirstMedian time.Duration
	First99     time.Duration
	LengthMean  time.Duration
	Length99    time.Duration
	LongPauses  float64 // Part of the streams with a pause over the aim.
	Unfinished  float64 // Part of the streams.
	ReadTwice   float64 // Prompt tokens read beyond the prompts, as a part of them.
	Resumed     float64 // Per play.
	Moved       float64 // Per play.
	Messages    float64 // Per play and second.
}

// Figures sums up.
func (r *Results) Figures(scenario *Scenario) Figures {
	f := Figures{}
	worths := []float64{}
	first, lengths := []time.Duration{}, []time.Duration{}
	streams, prompts, reads := 0, 0, 0
	for _, play := range r.Plays {
		worth := 0.0
		for _, o := range play.Outcomes {
			worth += o.Worth
			f.Bound += o.Bound
			prompts += o.Prompt
			reads += max(o.Read-o.Prompt, 0)
			if o.FirstEvent > 0 {
				first = append(first, o.FirstEvent)
			}
			if o.Length > 0 {
				lengths = append(lengths, o.Length)
			} else {
				f.Unfinished++
			}
			if o.Pause > millis(scenario.Load.GapAimMillis) {
				f.LongPauses++
			}
		}
		streams += len(play.Outcomes)
		worths = append(worths, worth/float64(max(len(play.Outcomes), 1)))
		f.Resumed += float64(play.Resumed) / float64(len(r.Plays))
		f.Moved += float64(play.Moved) / float64(len(r.Plays))
		f.Messages += float64(play.Messages) / float64(len(r.Plays)) / scenario.Seconds
	}
	all := float64(max(streams, 1))
	f.Bound, f.Unfinished, f.LongPauses = f.Bound/all, f.Unfinished/all, f.LongPauses/all
	f.ReadTwice = float64(reads) / float64(max(prompts, 1))
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

// quantile gives the value below which a part of the spans lies; 0 if there are none.
func quantile(spans []time.Duration, part float64) time.Duration {
	if len(spans) == 0 {
		return 0
	}
	ordered := slices.Sorted(slices.Values(spans))
	return ordered[min(int(part*float64(len(ordered))), len(ordered)-1)]
}
