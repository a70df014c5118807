package crash

import "time"

// generations are contents that ran to their end within recentFor or twice that.
type generations struct {
	newest, before map[string]bool
	turnAt         time.Time
}

func (g *generations) add(content string, now time.Time) {
	g.turn(now, len(g.newest) >= maxRecent)
	g.newest[content] = true
}

func (g *generations) has(content string, now time.Time) bool {
	g.turn(now, false)
	return g.newest[content] || g.before[content]
}

// turn begins a new generation if it is time or the present one is full.
func (g *generations) turn(now time.Time, full bool) {
	if !full && now.Before(g.turnAt) {
		return
	}
	g.before = g.newest
	if now.Sub(g.turnAt) > recentFor {
		g.before = nil
	}
	g.newest = map[string]bool{}
	g.turnAt = now.Add(recentFor)
}
