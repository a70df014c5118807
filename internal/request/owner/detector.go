package owner

import (
	"math"
	"time"
)

// Timing is how a generation's losses are noticed and mended.
//
// IdleTimeout is the longest gap between two events of a stream before its
// connection is doubted; FirstEventTimeout the same before a dispatch's first event.
// Doubt costs a new connection to the same engine and no computing. HedgeDelay
// is how long that engine alone may answer before another engine is raced.
type Timing struct {
	IdleTimeout         time.Duration
	FirstEventTimeout   time.Duration
	ResumeTimeout       time.Duration // For the same engine's answer.
	DispatchTimeout     time.Duration // For an engine's acceptance of new work.
	HedgeDelayLatency   time.Duration // Under the profile resumeLatency.
	HedgeDelayResources time.Duration // Under the profile resourceUse.
	Adaptive            bool          // Derive the gap limit from the stream's own gaps.
	RestartFromZero     bool          // Baseline for benches: no continuation.
	FailoverOnlyByTimer bool          // Baseline for benches: never ask the same engine.
}

// DefaultTiming is what the product runs with.
var DefaultTiming = Timing{
	IdleTimeout:         400 * time.Millisecond,
	FirstEventTimeout:   time.Second,
	ResumeTimeout:       600 * time.Millisecond,
	DispatchTimeout:     time.Second,
	HedgeDelayLatency:   100 * time.Millisecond,
	HedgeDelayResources: 400 * time.Millisecond,
}

const (
	// minSilence is the least that an adaptive limit comes down to.
	minSilence = 150 * time.Millisecond
	// silenceDeviations above the mean gap make a gap doubtful.
	silenceDeviations = 8
	// minSamples of gaps are needed before an adaptive limit is used.
	minSamples = 16
)

// detector judges the silence of one stream. The adaptive limit keeps only the
// first two moments of the gaps, in constant memory (Welford 1962).
type detector struct {
	timing     Timing
	heardAt    time.Time
	heardFirst bool
	samples    int
	mean       float64 // Seconds.
	sumSquares float64 // Of deviations from the mean.
}

// heard notes one event.
func (d *detector) heard(now time.Time) {
	if d.heardFirst {
		gap := now.Sub(d.heardAt).Seconds()
		d.samples++
		delta := gap - d.mean
		d.mean += delta / float64(d.samples)
		d.sumSquares += delta * (gap - d.mean)
	}
	d.heardFirst = true
	d.heardAt = now
}

// limit gives how long the stream may be silent from now on.
func (d *detector) limit() time.Duration {
	if !d.heardFirst {
		return d.timing.FirstEventTimeout
	}
	if !d.timing.Adaptive || d.samples < minSamples {
		return d.timing.IdleTimeout
	}
	deviation := math.Sqrt(d.sumSquares / float64(d.samples))
	limit := time.Duration((d.mean + silenceDeviations*deviation) * float64(time.Second))
	return min(max(limit, minSilence), d.timing.IdleTimeout)
}
