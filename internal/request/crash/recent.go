package crash

import "time"

// recentTraits holds the traits of requests that ran to completion within the last one to two
// times a period. It consists of two sets, the older of which is dropped when a new one is started.
type recentTraits struct {
	period            time.Duration
	limit             int // Bounds each set.
	current, previous map[Trait]bool
	rotateAt          time.Time
}

func (r *recentTraits) add(trait Trait, now time.Time) {
	r.rotate(now, len(r.current) >= r.limit && !r.current[trait])
	r.current[trait] = true
}

func (r *recentTraits) has(trait Trait, now time.Time) bool {
	r.rotate(now, false)
	return r.current[trait] || r.previous[trait]
}

// rotate starts a new set if the current one is due or full.
func (r *recentTraits) rotate(now time.Time, full bool) {
	if !full && now.Before(r.rotateAt) {
		return
	}
	r.previous = r.current
	if now.Sub(r.rotateAt) > r.period {
		r.previous = nil
	}
	r.current = map[Trait]bool{}
	r.rotateAt = now.Add(r.period)
}
