package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/endivespoke/endivespoke/internal/lab/property"
)

func init() { property.FixSeed() }

// trial is a roll-out of which only the outcomes are drawn, until the end of the stage load. Times are
// fractions of its time.
type trial struct {
	rate     float64 // Requests a second.
	seconds  float64
	share    float64 // Of the requests that go to the new version.
	routes   int
	failing  float64 // Share of the answers that fail at both versions.
	worse    float64 // Share of the other answers that fail at the new version when it is bad.
	slower   float64 // Factor on the new version's latency when it is bad; 0 for 1.
	badFrom  float64
	badRoute bool    // The new version is bad on the first route only.
	lag      float64 // How much later answers come than failures.
	newFrom  float64 // Before this, all requests go to the old version.
	overload bool    // From 0.2 to 0.4, 7 of 10 answers of both versions fail, and the others take 8 times as long.
}

const trialTicks = 100

// verdict is how a trial ended.
type verdict struct {
	against float64 // When the evidence was enough to roll back; 0 if it never was.
	leans   bool    // The evidence leaned against the version at the end.
	good    bool    // It excluded a version that is clearly bad.
	bad     int     // Bad answers of the new version until then.
}

func (v verdict) isRolledBack() bool { return v.against > 0 || v.leans }

// outcomes are those of one tick, by route.
type outcomes struct {
	routes []RouteTally
	toNew  int
	all    int
	bad    int
}

func (r trial) run(random *rand.Rand) verdict {
	j, v := newJudgement(), verdict{}
	ticks := make([]outcomes, 2*trialTicks)
	for tick := range ticks {
		ticks[tick].routes = make([]RouteTally, r.routes)
	}
	pending, marked := 0.0, false
	for tick := range trialTicks {
		elapsed := loadEnd * float64(tick+1) / trialTicks
		if !marked && elapsed >= canaryMark {
			marked = true
			j.mark(elapsed)
		}
		pending += r.rate * r.seconds * loadEnd / trialTicks
		for ; pending >= 1; pending-- {
			r.send(random, elapsed, &ticks[tick], &ticks[tick+int(r.lag/loadEnd*trialTicks)])
		}
		now := ticks[tick]
		v.bad += now.bad
		j.sends.add(now.toNew, now.all, elapsed)
		for n, delta := range now.routes {
			delta.Route = fmt.Sprint("route ", n)
			j.apply(delta, elapsed, true)
		}
		if j.isAgainst(elapsed) {
			v.against = elapsed
			return v
		}
	}
	v.leans, v.good = j.leansAgainst(loadEnd), j.isGood(true)
	return v
}

// send draws the outcome of one request: a failure comes now, an answer later.
func (r trial) send(random *rand.Rand, elapsed float64, now, later *outcomes) {
	n := random.IntN(r.routes)
	isNew := random.Float64() < r.share && elapsed >= r.newFrom
	isBad := isNew && elapsed >= r.badFrom && (n == 0 || !r.badRoute)
	failing, took := r.failing, 0.030*math.Exp(0.35*random.NormFloat64()) // 1 in 40 is slow by nature.
	if r.overload && elapsed >= 0.2 && elapsed < 0.4 {
		failing, took = 0.7, took*8
	}
	now.all++
	fromNow, fromLater := &now.routes[n].Old, &later.routes[n].Old
	if isNew {
		now.toNew++
		fromNow, fromLater = &now.routes[n].New, &later.routes[n].New
	}
	if random.Float64() < failing || (isBad && random.Float64() < r.worse) {
		fromNow.Failed++
		now.bad += count(isBad)
		return
	}
	if isBad && r.slower > 1 {
		took *= r.slower
		later.bad++
	}
	fromLater.Answered++
	fromLater.Latencies = addToBucket(fromLater.Latencies, time.Duration(took*float64(time.Second)))
}

func count(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// summary is what some runs of a trial came to.
type summary struct {
	runs       int
	against    int
	rolledBack int
	good       int
	maxBad     int
	seen       float64 // Mean time of the evidence.
}

func (r trial) summary(runs int, seed uint64) summary {
	s := summary{runs: runs}
	for run := range runs {
		v := r.run(rand.New(rand.NewPCG(seed, uint64(run))))
		s.against += count(v.against > 0)
		s.rolledBack += count(v.isRolledBack())
		s.good += count(v.good)
		s.maxBad = max(s.maxBad, v.bad)
		s.seen += v.against / float64(runs)
	}
	return s
}

func (s summary) rate(number int) float64 { return float64(number) / float64(s.runs) }

func (s summary) String() string {
	return fmt.Sprintf("evidence against %.3f, rolled back %.3f, good %.3f, most bad answers %d", s.rate(s.against), s.rate(s.rolledBack), s.rate(s.good), s.maxBad)
}

// traffic is a rate with the share that credits allow at it in 12 seconds.
type traffic struct{ rate, share float64 }

var traffics = map[string]traffic{
	"4 a second":    {4, 0.3},
	"40 a second":   {40, 0.2},
	"180 a second":  {180, 0.1},
	"1000 a second": {1000, 0.07},
}

// runsOf is the number of runs of a trial, fewer for more requests.
func runsOf(t traffic, runs int) int {
	return min(runs, int(20_000/t.rate))
}

// busy is the traffic whose credits are bounded by their rate.
var busy = traffic{18_000, maxCreditRate / 18_000}

// TestGoodVersionIsKept checks how often a version that is like the old one is rolled back, on evidence
// and in all, whatever share of the answers of both fails.
func TestGoodVersionIsKept(t *testing.T) {
	const (
		runs       = 100
		maxAgainst = falseRollbackRate / 2
		maxTotal   = falseRollbackRate
	)
	for name, traffic := range traffics {
		for _, failing := range []float64{0, 0.02, 0.14, 0.5} {
			for _, routes := range []int{1, 4} {
				r := trial{rate: traffic.rate, share: traffic.share, seconds: 12, routes: routes, failing: failing}
				t.Run(fmt.Sprintf("%s, %d routes, %v failing", name, routes, failing), func(t *testing.T) {
					s := r.summary(runsOf(traffic, runs), 1)
					t.Log(s)
					qt.Assert(t, s.rate(s.against) <= maxAgainst, qt.IsTrue)
					qt.Assert(t, s.rate(s.rolledBack) <= maxTotal, qt.IsTrue)
				})
			}
		}
	}
}

// TestGoodVersionIsKeptInAnyTraffic does so for any share, traffic and faults of both versions, with
// answers that come later than failures.
func TestGoodVersionIsKeptInAnyTraffic(t *testing.T) {
	const runs = 20
	rapid.Check(t, func(t *rapid.T) {
		r := trial{
			rate:     rapid.Float64Range(1, 100).Draw(t, "rate"),
			seconds:  rapid.Float64Range(8, 30).Draw(t, "seconds"),
			share:    rapid.Float64Range(0.01, maxShare).Draw(t, "share"),
			routes:   rapid.IntRange(1, 5).Draw(t, "routes"),
			failing:  rapid.Float64Range(0, 0.6).Draw(t, "failing"),
			lag:      rapid.Float64Range(0, 0.4).Draw(t, "lag"),
			overload: rapid.Bool().Draw(t, "overload"),
		}
		s := r.summary(runs, rapid.Uint64().Draw(t, "seed"))
		property.Assert(t, s.rolledBack <= 4, qt.IsTrue, qt.Commentf("%v", s))
	})
}

// TestGoodVersionIsKeptBesideOldOnes checks cases in which a new version that is not bad differs from the
// old one, or its outcomes come at other times.
func TestGoodVersionIsKeptBesideOldOnes(t *testing.T) {
	const runs = 30
	cases := map[string]trial{
		"servers are somewhat slower":              {slower: 1.3},
		"a few answers fail":                       {worse: 0.02},
		"share rises while old answers still come": {failing: 0.14, newFrom: 0.3, lag: 0.25, share: 0.3},
	}
	for name, r := range cases {
		t.Run(name, func(t *testing.T) {
			r.rate, r.seconds, r.routes = 180, 12, 1
			if r.share == 0 {
				r.share = 0.1
			}
			s := r.summary(runs, 8)
			t.Log(s)
			qt.Assert(t, s.rate(s.rolledBack) <= falseRollbackRate, qt.IsTrue)
		})
	}
}

// TestBadVersionIsFound checks how often versions that are bad in different ways are found in time, by
// traffic, and after how many bad answers. At 4 requests a second the new version gets 9 of them.
func TestBadVersionIsFound(t *testing.T) {
	const runs = 100
	half, halfFails := trial{worse: 0.5}, trial{worse: 0.5, failing: 0.14}
	late, slow := trial{worse: 0.5, badFrom: 0.4}, trial{slower: 4}
	lateSlow, oneRoute := trial{slower: 4, badFrom: 0.4}, trial{worse: 0.5, badRoute: true}
	cases := map[string]struct {
		trial  trial
		routes int
		found  map[string]float64 // The least share of the runs, by traffic.
	}{
		"half fails":              {half, 1, map[string]float64{"4 a second": 0.85, "40 a second": 1, "180 a second": 1, "1000 a second": 1}},
		"half fails, 4 routes":    {half, 4, map[string]float64{"4 a second": 0.75, "40 a second": 1, "180 a second": 1, "1000 a second": 1}},
		"half more than 14% fail": {halfFails, 1, map[string]float64{"40 a second": 0.95, "180 a second": 1, "1000 a second": 1}},
		"half fails late":         {late, 1, map[string]float64{"40 a second": 0.9, "180 a second": 1, "1000 a second": 1}},
		"slow":                    {slow, 1, map[string]float64{"4 a second": 0.9, "40 a second": 1, "180 a second": 1, "1000 a second": 1}},
		"slow, 4 routes":          {slow, 4, map[string]float64{"4 a second": 0.85, "40 a second": 1, "180 a second": 1, "1000 a second": 1}},
		"slow late":               {lateSlow, 1, map[string]float64{"40 a second": 0.95, "180 a second": 1, "1000 a second": 1}},
		"one route of 4":          {oneRoute, 4, map[string]float64{"40 a second": 0.75, "180 a second": 0.95, "1000 a second": 1}},
	}
	for name, test := range cases {
		for load, found := range test.found {
			r := test.trial
			r.rate, r.share, r.seconds, r.routes = traffics[load].rate, traffics[load].share, 12, test.routes
			t.Run(name+", "+load, func(t *testing.T) {
				s := r.summary(runsOf(traffics[load], runs), 2)
				t.Log(s)
				qt.Assert(t, s.rate(s.rolledBack) >= found, qt.IsTrue)
				qt.Assert(t, s.rate(s.good) <= passRate, qt.IsTrue)
				qt.Assert(t, s.maxBad <= 50, qt.IsTrue)
			})
		}
	}
}

// TestBusyService checks both at 18,000 requests a second, of which few get credits.
func TestBusyService(t *testing.T) {
	const runs = 3
	base := trial{rate: busy.rate, share: busy.share, seconds: 12, routes: 3, failing: 0.14}
	good := base.summary(runs, 3)
	qt.Assert(t, good.rolledBack, qt.Equals, 0)
	for _, bad := range []trial{{worse: 0.5}, {slower: 4}, {worse: 0.5, badFrom: 0.4}, {worse: 0.5, badRoute: true}} {
		r := base
		r.worse, r.slower, r.badFrom, r.badRoute = bad.worse, bad.slower, bad.badFrom, bad.badRoute
		s := r.summary(runs, 4)
		t.Log(s)
		qt.Assert(t, s.against, qt.Equals, runs)
		qt.Assert(t, s.maxBad <= 50, qt.IsTrue)
	}
}

// TestEvidenceIsMartingale checks that the expected evidence against a version that is as bad as is
// tolerated does not grow: its mean over many runs stays at 1 or below.
func TestEvidenceIsMartingale(t *testing.T) {
	const runs, rounds, outcomes = 4000, 6, 30
	tolerated := tolerances[kindFailure]
	for _, share := range []float64{0.05, 0.3} {
		for _, failing := range []float64{0.02, 0.14} {
			random, sum := rand.New(rand.NewPCG(5, 6)), 0.0
			for range runs {
				e := evidence{}
				for round := range rounds {
					i := interval{}
					for range outcomes {
						isNew := random.Float64() < share
						rate := failing
						if isNew {
							rate *= tolerated.ratio
						}
						isBad := random.Float64() < rate
						i.add(interval{newOutcomes: count(isNew), newBad: count(isNew && isBad), oldOutcomes: count(!isNew), oldBad: count(!isNew && isBad)})
					}
					e = e.with(i.logs(tolerated, share, failing), startWeight(float64(round)/rounds))
				}
				sum += e.value()
			}
			qt.Assert(t, sum/runs < 1.1, qt.IsTrue, qt.Commentf("share %v, failing %v: %v", share, failing, sum/runs))
		}
	}
}

func TestAbandonedCountsIfSlow(t *testing.T) {
	s := Sample{Latencies: []int{0, 4, 1}, Abandoned: []int{2, 0, 0, 0, 3}}
	outcomes, slow := s.countSlow(1)
	qt.Assert(t, outcomes, qt.Equals, 8)
	qt.Assert(t, slow, qt.Equals, 4)
}

func TestBucketOf(t *testing.T) {
	qt.Assert(t, BucketOf(0), qt.Equals, 0)
	qt.Assert(t, BucketOf(time.Millisecond), qt.Equals, 0)
	qt.Assert(t, BucketOf(2*time.Millisecond), qt.Equals, bucketsPerOctave)
	qt.Assert(t, BucketOf(240*time.Hour), qt.Equals, maxBuckets-1)
	rapid.Check(t, func(t *rapid.T) {
		took := time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(time.Minute)).Draw(t, "took"))
		property.Assert(t, BucketOf(2*took)-BucketOf(took), qt.Equals, slowBuckets)
	})
}
