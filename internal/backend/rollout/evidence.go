package rollout

import "math"

const (
	// firstStartWeight is the weight of the hypothesis that a version was bad from its start, and
	// markStartWeight that of one that turned bad just before canaryMark. The rest is spread over all
	// other moments.
	firstStartWeight = 0.4
	markStartWeight  = 0.3
	// maxEvidence keeps products of likelihood ratios finite.
	maxEvidence = 1e100
	// minIntervalOutcomes is the number of outcomes of each version after which an interval ends.
	// Each interval has an estimate of its own of the new version's fraction.
	minIntervalOutcomes = 20
	// unknownRate is the rate of bad answers before anything is known, and usualOutcomes the number of
	// outcomes that a usual rate counts for.
	unknownRate   = 0.5
	usualOutcomes = 1
	// maxFraction keeps the likelihoods of answers of the old version above 0.
	maxFraction = 0.99
	// maxRate does so for good answers.
	maxRate = 0.98
	// A fraction of the sends is measured over sendsTime of a roll-out's time and minSends sends, or
	// minOpenSends if there was none before. The largest of the last sendsKept of them is used.
	sendsTime    = 0.02
	minSends     = 50
	minOpenSends = 8
	sendsKept    = 3
)

// tolerance is up to what a new version counts as no worse than the old one: its rate of bad answers
// is at most ratio times the old one's, or not above it by more than allowance.
type tolerance struct {
	ratio     float64
	allowance float64
}

// worseRatio is a hypothesis of how many times more bad answers than the old version a bad version
// gives, and worseRate of how many more, as a share of its answers.
type (
	worseRatio struct{ ratio, weight float64 }
	worseRate  struct{ rate, weight float64 }
)

// There are hypotheses for a version that gives somewhat more bad answers than the old one, and for one
// where the old version gives hardly any.
var (
	worseRatios = [2]worseRatio{{ratio: 3, weight: 0.4}, {ratio: 40, weight: 0.6}}
	worseRates  = [2]worseRate{{rate: 0.2, weight: 0.4}, {rate: 0.5, weight: 0.6}}
)

// logs are log-likelihood ratios: for each of worseRatios, given how many answers of both versions were
// bad, and for each of worseRates, given how many answers the new version gave.
type logs struct {
	ratios [len(worseRatios)]float64
	rates  [len(worseRates)]float64
}

func (l *logs) add(more logs) {
	for n := range l.ratios {
		l.ratios[n] += more.ratios[n]
	}
	for n := range l.rates {
		l.rates[n] += more.rates[n]
	}
}

// interval counts the outcomes of both versions on one route, and those of them that were bad.
type interval struct {
	newOutcomes, newBad int
	oldOutcomes, oldBad int
}

func (i *interval) add(more interval) {
	i.newOutcomes += more.newOutcomes
	i.newBad += more.newBad
	i.oldOutcomes += more.oldOutcomes
	i.oldBad += more.oldBad
}

// isComplete reports whether the interval estimates the new version's fraction well enough.
func (i *interval) isComplete() bool {
	return i.newOutcomes >= minIntervalOutcomes && i.oldOutcomes >= minIntervalOutcomes
}

// fraction returns the new version's fraction of the outcomes.
func (i *interval) fraction() float64 {
	return float64(i.newOutcomes) / float64(max(i.newOutcomes+i.oldOutcomes, 1))
}

// oldRate estimates the old version's rate of bad answers. Few outcomes hardly move it from what is
// usual.
func (i *interval) oldRate(usual float64) float64 {
	return (float64(i.oldBad) + usualOutcomes*usual) / (float64(i.oldOutcomes) + usualOutcomes)
}

// logs compares the hypotheses of a bad version with that of one that is as bad as is tolerated.
// Fraction is the new version's of the requests.
func (i *interval) logs(t tolerance, fraction, oldRate float64) logs {
	return logs{ratios: i.logsOfRatios(t, fraction), rates: i.logsOfRates(t, oldRate)}
}

// logsOfRatios takes the number of bad answers as given: each of them is of the new version with its
// fraction of the requests, weighted by the ratio. The rate of bad answers cancels, so that overload
// and faults that hit both versions alike are evidence for nothing.
func (i *interval) logsOfRatios(t tolerance, fraction float64) (logs [len(worseRatios)]float64) {
	fraction = math.Min(fraction, maxFraction)
	if fraction == 0 {
		return logs
	}
	tolerated := fractionOfBad(fraction, t.ratio)
	for n, worse := range worseRatios {
		expected := fractionOfBad(fraction, worse.ratio)
		logs[n] = float64(i.newBad)*math.Log(expected/tolerated) + float64(i.oldBad)*math.Log((1-expected)/(1-tolerated))
	}
	return logs
}

// fractionOfBad returns the new version's expected fraction of the bad answers, given its fraction of
// the requests.
func fractionOfBad(fraction, ratio float64) float64 {
	return fraction * ratio / (1 + fraction*(ratio-1))
}

// logsOfRates takes the old version's rate as given. A few bad answers where the old version has none
// are an infinite ratio, but a small rate.
func (i *interval) logsOfRates(t tolerance, oldRate float64) (logs [len(worseRates)]float64) {
	tolerated := math.Min(t.ratio*oldRate+t.allowance, maxRate)
	good := float64(i.newOutcomes - i.newBad)
	for n, worse := range worseRates {
		expected := math.Min(math.Max(oldRate+worse.rate, tolerated), maxRate)
		logs[n] = float64(i.newBad)*math.Log(expected/tolerated) + good*math.Log((1-expected)/(1-tolerated))
	}
	return logs
}

// evidence accumulates the likelihood ratios of the hypotheses that a version is bad, from its start or
// from a later moment on. Under the hypothesis that it is not, the value exceeds 1/a at any time with
// probability a at most (Ville's inequality).
type evidence struct {
	ratios  [len(worseRatios)]float64 // Sums over the starts until now, each multiplied by what came after it.
	rates   [len(worseRates)]float64
	started float64 // The weight of these starts.
}

// with returns the evidence after an interval. Start is the weight of the starts until its end.
func (e evidence) with(logs logs, start float64) evidence {
	added := math.Max(start-e.started, 0)
	for n, worse := range worseRatios {
		e.ratios[n] = multiply(e.ratios[n]+added*worse.weight, logs.ratios[n])
	}
	for n, worse := range worseRates {
		e.rates[n] = multiply(e.rates[n]+added*worse.weight, logs.rates[n])
	}
	e.started = math.Max(e.started, start)
	return e
}

func multiply(value, log float64) float64 {
	return math.Min(value*math.Exp(math.Min(log, 200)), maxEvidence)
}

// value returns the evidence. Bad versions have both a higher ratio and a higher rate.
func (e evidence) value() float64 {
	ratios, rates := 1-e.started, 1-e.started
	for _, sum := range e.ratios {
		ratios += sum
	}
	for _, sum := range e.rates {
		rates += sum
	}
	return math.Min(ratios, rates)
}

// startWeight is the weight of the starts until a fraction of a roll-out's time.
func startWeight(elapsed float64) float64 {
	weight := firstStartWeight
	if elapsed >= canaryMark {
		weight += markStartWeight
	}
	return weight + (1-firstStartWeight-markStartWeight)*math.Min(elapsed/loadEnd, 1)
}

// isClearlyWorseExcluded reports whether counts exclude, with an error rate of passRate, a version of
// which clearlyWorse more of the answers are bad than of the old one.
func (i *interval) isClearlyWorseExcluded() bool {
	bad := math.Min(i.oldRate(unknownRate)+clearlyWorse, maxRate)
	return binomialTail(i.newOutcomes, i.newBad, bad) <= passRate
}

// binomialTail returns the probability of at most k of n events of probability p.
func binomialTail(n, k int, p float64) float64 {
	total := 0.0
	logP, logQ := math.Log(p), math.Log1p(-p)
	logN, _ := math.Lgamma(float64(n + 1))
	for j := 0; j <= k; j++ {
		logJ, _ := math.Lgamma(float64(j + 1))
		logRest, _ := math.Lgamma(float64(n - j + 1))
		total += math.Exp(logN - logJ - logRest + float64(j)*logP + float64(n-j)*logQ)
	}
	return math.Min(total, 1)
}

// sends measures which fraction of the requests is sent to the new version.
type sends struct {
	new, all  int
	since     float64
	fractions []float64
}

func (s *sends) add(toNew, all int, elapsed float64) {
	s.new += toNew
	s.all += all
	if s.all >= minSends && elapsed-s.since >= sendsTime {
		s.end(elapsed)
	}
}

// end begins a new measurement.
func (s *sends) end(elapsed float64) {
	if s.all >= minOpenSends {
		s.fractions = append(s.fractions, s.open())
		s.fractions = s.fractions[max(len(s.fractions)-sendsKept, 0):]
	}
	s.new, s.all, s.since = 0, 0, elapsed
}

// open returns the fraction less one standard deviation, so that the largest of several fractions is no
// overestimate.
func (s *sends) open() float64 {
	if s.all < minOpenSends {
		return 0
	}
	fraction := math.Min(float64(s.new)/float64(s.all), 1)
	return math.Max(fraction-math.Sqrt(fraction*(1-fraction)/float64(s.all)), 0)
}

// fraction returns the largest fraction of the new version lately, 0 if it is not known.
func (s *sends) fraction() float64 {
	fraction := s.open()
	for _, f := range s.fractions {
		fraction = math.Max(fraction, f)
	}
	return fraction
}
