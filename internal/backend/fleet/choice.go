package fleet

import (
	"time"
)

func (f *Fleet) choose(candidates []*server, ask Criteria, now time.Time) *server {
	first := candidates[f.options.Random.IntN(len(candidates))]
	second := candidates[f.options.Random.IntN(len(candidates))]
	chosen := first
	if second.load(now) < first.load(now) {
		chosen = second
	}
	if ask.Prefix == "" {
		return chosen
	}
	return withPrefix(candidates, chosen, ask.Prefix, now)
}

// withPrefix prefers a server that has the prefix in its cache, as long as it
// is not much more loaded than the one that load alone would choose.
func withPrefix(candidates []*server, chosen *server, prefix string, now time.Time) *server {
	best := chosen
	bestLoad := chosen.load(now) + affinitySlack
	for _, s := range candidates {
		if now.Before(s.prefixes[prefix]) && s.load(now) <= bestLoad {
			best = s
			bestLoad = s.load(now)
		}
	}
	return best
}

// load is the work on a server as a part of its room. A server in its slow
// start looks fuller than it is.
func (s *server) load(now time.Time) float64 {
	work := float64(max(s.inFlight, s.reported)) / float64(max(s.MaxConcurrent, 1))
	if since := now.Sub(s.returnedAt); since < slowStart {
		return work + 1 - since.Seconds()/slowStart.Seconds()
	}
	return work
}

// prefixKept is how long a prefix is taken to stay in a server's cache.
const prefixKept = 30 * time.Second

// maxPrefixes bounds the prefixes remembered for one server.
const maxPrefixes = 512

func (s *server) remember(prefix string, now time.Time) {
	if len(s.prefixes) >= maxPrefixes {
		s.prefixes = map[string]time.Time{} // Cheap, and wrong only towards too little affinity.
	}
	s.prefixes[prefix] = now.Add(prefixKept)
}
