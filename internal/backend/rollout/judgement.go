package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

const (
	// falseRollbackRate bounds the probability that a version that is no worse than tolerated is
	// rolled back on evidence, however often one looks.
	falseRollbackRate = 0.05
	// leaningRate bounds the probability that such a version is rolled back since the evidence
	// leans against it when there is no more time for a judgement.
	leaningRate = 0.4
	// clearlyWorse is the share of the answers on a route that are bad beyond those of the old
	// version, for a version that is clearly bad. One that is passes as good on evidence with a
	// probability of passRate at most.
	clearlyWorse = 0.25
	passRate     = 0.05
	// pooledWeight is the part of the evidence that comes from all routes together. The rest is
	// divided among the routes.
	pooledWeight = 0.7
	// slowBuckets is the number of buckets by which a slow answer lies above the old version's median:
	// it takes more than twice as long.
	slowBuckets = bucketsPerOctave
	// minMedianAnswers is the number of answers of the old version that a median needs.
	minMedianAnswers = 3
	// maxMedianAnswers is the number of answers after which older ones count half for the median.
	maxMedianAnswers = 500
)

// kind is a kind of bad answer.
type kind int

const (
	kindFailure kind = iota
	kindSlowness
	kindCount
)

// tolerances are those of the kinds of bad answers. Servers of one version differ in speed.
var tolerances = [kindCount]tolerance{
	kindFailure:  {ratio: 1.1, allowance: 0.03},
	kindSlowness: {ratio: 1.3, allowance: 0.15},
}

func (k kind) String() string {
	if k == kindFailure {
		return "failed answers"
	}
	return "slow answers"
}

// judgement judges a new version against the old one, by the outcomes of both on each route.
type judgement struct {
	routes map[string]*routeJudgement
	pooled [kindCount]evidence // Of all routes together.
	sends  sends
}

// routeJudgement is the judgement on one route. Recent counts since the last mark.
type routeJudgement struct {
	evidence [kindCount]evidence
	open     [kindCount]interval
	total    [kindCount]interval
	recent   [kindCount]interval
	median   []int      // Latencies of the old version.
	waiting  RouteTally // Outcomes from before the median is known.
}

func newJudgement() *judgement {
	return &judgement{routes: map[string]*routeJudgement{}}
}

// apply applies outcomes on one route at a fraction of the roll-out's time. Unless withSlow is set, only
// failures are judged.
func (j *judgement) apply(delta RouteTally, elapsed float64, withSlow bool) {
	route := j.routes[delta.Route]
	if route == nil {
		route = &routeJudgement{}
		j.routes[delta.Route] = route
	}
	j.add(route, kindFailure, failuresOf(delta), elapsed)
	if slow, ok := route.slownessOf(delta); ok && withSlow {
		j.add(route, kindSlowness, slow, elapsed)
	}
}

func (j *judgement) add(route *routeJudgement, k kind, counts interval, elapsed float64) {
	route.open[k].add(counts)
	route.total[k].add(counts)
	route.recent[k].add(counts)
	if route.open[k].isComplete() {
		j.endInterval(route, k, j.usual(k), elapsed)
	}
}

// usual is what all routes together tell of a route with few outcomes.
type usual struct {
	fraction float64 // The new version's, of the requests.
	oldRate  float64
}

// usual returns what the open intervals tell. The fraction is that of the sends at least: when it rises,
// the new version's failures are counted before its answers, which take longer.
func (j *judgement) usual(k kind) usual {
	all := interval{}
	for _, route := range j.routes {
		all.add(route.open[k])
	}
	return usual{fraction: math.Max(all.fraction(), j.sends.fraction()), oldRate: all.oldRate(unknownRate)}
}

// openLogs returns the likelihood ratios of an interval that has not ended.
func (r *routeJudgement) openLogs(k kind, u usual) logs {
	open, fraction := &r.open[k], u.fraction
	if open.isComplete() {
		fraction = math.Max(fraction, open.fraction())
	}
	oldRate := math.Max(open.oldRate(u.oldRate), r.recent[k].oldRate(u.oldRate))
	return open.logs(tolerances[k], fraction, oldRate)
}

func (j *judgement) endInterval(route *routeJudgement, k kind, u usual, elapsed float64) {
	ended := route.openLogs(k, u)
	route.evidence[k] = route.evidence[k].with(ended, startWeight(elapsed))
	j.pooled[k] = j.pooled[k].with(ended, startWeight(elapsed))
	route.open[k] = interval{}
}

func failuresOf(delta RouteTally) interval {
	return interval{
		newOutcomes: delta.New.Answered + delta.New.Failed,
		newBad:      delta.New.Failed,
		oldOutcomes: delta.Old.Answered + delta.Old.Failed,
		oldBad:      delta.Old.Failed,
	}
}

// slownessOf counts slow answers by the median of what was known before; ok is false as long as there
// is none.
func (r *routeJudgement) slownessOf(delta RouteTally) (slow interval, ok bool) {
	if totalOf(r.median) < minMedianAnswers {
		r.waiting.Old.add(delta.Old)
		r.waiting.New.add(delta.New)
		r.addToMedian(delta.Old.Latencies)
		if totalOf(r.median) < minMedianAnswers {
			return interval{}, false
		}
		delta, r.waiting = r.waiting, RouteTally{}
	} else {
		defer r.addToMedian(delta.Old.Latencies)
	}
	slowest := medianBucket(r.median) + slowBuckets
	slow.newOutcomes, slow.newBad = delta.New.countSlow(slowest)
	slow.oldOutcomes, slow.oldBad = delta.Old.countSlow(slowest)
	return slow, true
}

// add adds the latencies of another sample.
func (s *Sample) add(more Sample) {
	s.Latencies = addHistogram(s.Latencies, more.Latencies)
	s.Abandoned = addHistogram(s.Abandoned, more.Abandoned)
}

// countSlow counts the outcomes that tell whether a version is slow, and those that are. What was
// abandoned earlier than a slow answer tells nothing.
func (s Sample) countSlow(slowest int) (outcomes, slow int) {
	abandoned := countAbove(s.Abandoned, slowest)
	return totalOf(s.Latencies) + abandoned, countAbove(s.Latencies, slowest) + abandoned
}

func (r *routeJudgement) addToMedian(latencies []int) {
	if totalOf(r.median) > maxMedianAnswers {
		for bucket := range r.median {
			r.median[bucket] /= 2
		}
	}
	r.median = addHistogram(r.median, latencies)
}

// mark begins a stage: the intervals that have not ended do, since the new version's fraction of the
// requests changes, and recent counts begin anew.
func (j *judgement) mark(elapsed float64) {
	for k := range kindCount {
		u := j.usual(k)
		for _, route := range j.routes {
			j.endInterval(route, k, u, elapsed)
			route.recent[k] = interval{}
		}
	}
	j.sends.end(elapsed)
}

// value returns the evidence against the new version: the mean over all routes and kinds, so that it
// has the same bound as each.
func (j *judgement) value(elapsed float64) float64 {
	start, total := startWeight(elapsed), 0.0
	for k := range kindCount {
		u, pooled := j.usual(k), logs{}
		for _, route := range j.routes {
			open := route.openLogs(k, u)
			pooled.add(open)
			total += (1 - pooledWeight) / float64(len(j.routes)) * route.evidence[k].with(open, start).value()
		}
		total += pooledWeight * j.pooled[k].with(pooled, start).value()
	}
	return total / float64(kindCount)
}

// isAgainst reports whether there is enough evidence to roll back at once.
func (j *judgement) isAgainst(elapsed float64) bool {
	return j.value(elapsed) >= 1/falseRollbackRate
}

// leansAgainst reports whether the evidence is too much to go on when there is no time for more.
func (j *judgement) leansAgainst(elapsed float64) bool {
	return j.value(elapsed) >= 1/leaningRate
}

// isGood reports whether the outcomes since the last mark exclude a version that is clearly bad on any
// route with traffic. Unless withSlow is set, only failures are judged.
func (j *judgement) isGood(withSlow bool) bool {
	for _, route := range j.routes {
		if !route.recent[kindFailure].isClearlyWorseExcluded() {
			return false
		}
		if withSlow && !route.recent[kindSlowness].isClearlyWorseExcluded() {
			return false
		}
	}
	return len(j.routes) > 0
}

// newOutcomes returns how many answers of the new version are known.
func (j *judgement) newOutcomes() (count int) {
	for _, route := range j.routes {
		count += route.total[kindFailure].newOutcomes
	}
	return count
}

// reason describes the strongest evidence against the new version.
func (j *judgement) reason(elapsed float64) string {
	worst, reason := 0.0, "no outcomes"
	for _, name := range slices.Sorted(maps.Keys(j.routes)) {
		route := j.routes[name]
		for k := range kindCount {
			open := route.openLogs(k, j.usual(k))
			if value := route.evidence[k].with(open, startWeight(elapsed)).value(); value > worst {
				total := route.total[k]
				worst = value
				reason = fmt.Sprintf("%s on route %s: %d of %d of the new version, %d of %d of the old one", k, name, total.newBad, total.newOutcomes, total.oldBad, total.oldOutcomes)
			}
		}
	}
	return reason
}
