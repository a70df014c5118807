package owner

import (
	"math"
	"time"
)

// Timing configures the detection of failures and the recovery of a generation.
//
// IdleTimeout is the longest gap between two events of a stream before its
// connection is suspected; FirstEventTimeout is the same before a dispatch's first
// event. A false suspicion costs a new connection to the same engine, but no
// computation. The hedge delay is how long that engine alone may answer before a
// dispatch to another engine is raced against it.
type Timing struct {
	IdleTimeout         time.Duration
	FirstEventTimeout   time.Duration
	ResumeTimeout       time.Duration // For the same engine's answer.
	DispatchTimeout     time.Duration // For an engine's acceptance of new work.
	HedgeDelayLatency   time.Duration // Hedge delay under the profile resumeLatency.
	HedgeDelayResources time.Duration // Hedge delay under the profile resourceUse.
	Adaptive            bool          // Derive the idle timeout from the stream's own gaps.
	RestartFromZero     bool          // Baseline for benchmarks: no continuation.
	FailoverOnlyByTimer bool          // Baseline for benchmarks: never resume at the same engine.
}

// DefaultTiming is used unless Options sets another one.
var DefaultTiming = Timing{
	IdleTimeout:         400 * time.Millisecond,
	FirstEventTimeout:   time.Second,
	ResumeTimeout:       600 * time.Millisecond,
	DispatchTimeout:     time.Second,
	HedgeDelayLatency:   100 * time.Millisecond,
	HedgeDelayResources: 400 * time.Millisecond,
}

const (
	// minIdleTimeout is the lower bound of an adaptive timeout.
	minIdleTimeout = 150 * time.Millisecond
	// idleDeviations is the number of standard deviations above the mean gap at
	// which an adaptive timeout expires.
	idleDeviations = 8
	// minSamples is the number of gaps that an adaptive timeout requires.
	minSamples = 16
)

// idleDetector determines the idle timeout of one stream. The adaptive timeout
// needs only the first two moments of the gaps, in constant memory (Welford 1962).
type idleDetector struct {
	timing      Timing
	lastEventAt time.Time
	hasEvent    bool
	samples     int
	mean        float64 // Seconds.
	sumSquares  float64 // Of deviations from the mean.
}

// observe records one event.
func (d *idleDetector) observe(now time.Time) {
	if d.hasEvent {
		gap := now.Sub(d.lastEventAt).Seconds()
		d.samples++
		delta := gap - d.mean
		d.mean += delta / float64(d.samples)
		d.sumSquares += delta * (gap - d.mean)
	}
	d.hasEvent = true
	d.lastEventAt = now
}

// timeout returns how long the stream may be idle from now on.
func (d *idleDetector) timeout() time.Duration {
	if !d.hasEvent {
		return d.timing.FirstEventTimeout
	}
	if !d.timing.Adaptive || d.samples < minSamples {
		return d.timing.IdleTimeout
	}
	deviation := math.Sqrt(d.sumSquares / float64(d.samples))
	limit := time.Duration((d.mean + idleDeviations*deviation) * float64(time.Second))
	return min(max(limit, minIdleTimeout), d.timing.IdleTimeout)
}
