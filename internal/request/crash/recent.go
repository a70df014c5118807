package crash

import "time"

// recentContents holds the contents that ran to completion within the last one to two times
// recentPeriod. It consists of two sets, the older of which is dropped when a new one is started.
type recentContents struct {
	current, previous map[string]bool
	rotateAt          time.Time
}

func (r *recentContents) add(content string, now time.Time) {
	r.rotate(now, len(r.current) >= maxRecent)
	r.current[content] = true
}

func (r *recentContents) has(content string, now time.Time) bool {
	r.rotate(now, false)
	return r.current[content] || r.previous[content]
}

// rotate starts a new set if the current one is due or full.
func (r *recentContents) rotate(now time.Time, full bool) {
	if !full && now.Before(r.rotateAt) {
		return
	}
	r.previous = r.current
	if now.Sub(r.rotateAt) > recentPeriod {
		r.previous = nil
	}
	r.current = map[string]bool{}
	r.rotateAt = now.Add(recentPeriod)
}
