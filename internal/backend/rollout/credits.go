package rollout

import "math"

const (
	// canaryPart and loadPart are the parts of the allowed exposure that may be used until the end
	// of the stages canary and load. The rest is for what goes to the new version in the stage
	// shift before a version that turns bad there is judged.
	canaryPart = 0.65
	loadPart   = 0.8
	// maxCreditRate bounds the credits, and so the calls for them, that all VMs together need in a
	// second.
	maxCreditRate = 100.0
	// minCallRate is the number of calls a second by which VMs keep learning their share while
	// there are no credits.
	minCallRate = 10.0
	// maxShare keeps enough requests at the old version to compare it with the new one.
	maxShare = 0.3
	// reserveTime is the part of a roll-out's time for which credits are reserved in advance.
	reserveTime = 0.1
	// minCanaryServers keeps the canary from depending on a single server.
	minCanaryServers = 2
	// rateInterval is the time in milliseconds over which the rate of requests is measured, and
	// minRateInterval that over which the first estimate is.
	rateInterval    = 1000
	minRateInterval = 100
)

// moment is what the number of credits depends on at some time.
type moment struct {
	stage    Stage
	elapsed  float64 // Fraction of the roll-out's time.
	inStage  float64 // Fraction of the roll-out's time since the stage began.
	duration float64 // Of the roll-out, in seconds.
	requests float64 // Requests that VMs have told of.
	atStart  int     // Credits that may have been issued when the stage began.
}

// maxCredits returns the number of credits that may be issued in a stage, by the requests until now.
func (o CoordinatorOptions) maxCredits(m moment) int {
	return int(stagePart(m.stage) * (o.ExposureShare*m.requests + float64(o.ExposureSlack)))
}

func stagePart(stage Stage) float64 {
	switch stage {
	case StageCanary:
		return canaryPart
	case StageLoad:
		return loadPart
	default:
		return 0
	}
}

// pacedCredits returns the number of credits to issue until a moment. They are spread over the stage,
// so that a version that turns bad late is seen too.
func (o CoordinatorOptions) pacedCredits(m moment) int {
	allowed := o.ExposureShare * m.requests
	slack := float64(o.ExposureSlack)
	paced := 0.0
	switch m.stage {
	case StageCanary:
		paced = canaryPart * (allowed + slack*math.Min(m.elapsed/canaryEnd, 1))
	case StageLoad:
		growth := (loadPart - canaryPart) * math.Min(m.inStage/loadTime, 1)
		paced = (canaryPart + growth) * (allowed + slack)
	}
	byRate := float64(m.atStart) + 1 + maxCreditRate*m.duration*m.inStage
	return int(math.Min(paced+1, byRate))
}

// later returns the moment after a fraction of the roll-out's time, if requests go on at a rate.
func (m moment) later(fraction, rate float64) moment {
	m.elapsed += fraction
	m.inStage += fraction
	m.requests += rate * fraction * m.duration
	return m
}

// shareOf returns the share of their requests for which VMs are to ask for a credit, so that all of
// them together ask for as many as there will be.
func shareOf(credits, seconds, rate float64) float64 {
	calls := math.Min(math.Max(credits/seconds, minCallRate), maxCreditRate)
	return math.Min(calls/math.Max(rate, 1), maxShare)
}

// serversFor returns the number of servers that a share of the requests fills as it will be when all
// go to the new version.
func serversFor(stage Stage, share float64, servers int) int {
	needed := int(math.Ceil(share * float64(servers)))
	if stage == StageCanary {
		needed = max(needed, minCanaryServers)
	}
	return min(max(needed, 1), servers)
}

// requestRate measures the requests a second of all VMs.
type requestRate struct {
	perSecond float64
	at        int64 // Milliseconds; 0 before the first measurement.
	requests  int
	isKnown   bool
}

// observe counts the requests that VMs have told of until now.
func (r *requestRate) observe(now int64, requests int) {
	if r.at == 0 {
		r.at = now
	}
	passed := now - r.at
	if passed >= rateInterval || !r.isKnown {
		r.perSecond = float64(requests-r.requests) * 1000 / float64(max(passed, minRateInterval))
	}
	if passed >= rateInterval {
		r.at, r.requests, r.isKnown = now, requests, true
	}
}
