package fleet

import (
	"time"
)

func (f *Fleet) choose(candidates []*server, criteria Criteria, now time.Time) *server {
	first := candidates[f.options.Random.IntN(len(candidates))]
	second := candidates[f.options.Random.IntN(len(candidates))]
	chosen := first
	if second.load(now) < first.load(now) {
		chosen = second
	}
	if criteria.Prefix == "" {
		return chosen
	}
	return preferPrefix(candidates, chosen, criteria.Prefix, now)
}

// preferPrefix prefers a server that has the prefix in its cache, as long as its load is
// at most affinitySlack above that of the server chosen by load alone.
func preferPrefix(candidates []*server, chosen *server, prefix string, now time.Time) *server {
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

// load returns the work on a server as a fraction of its capacity. A server in its slow
// start counts as more loaded than it is.
func (s *server) load(now time.Time) float64 {
	work := float64(max(s.inFlight, s.reported)) / float64(max(s.MaxConcurrent, 1))
	if since := now.Sub(s.returnedAt); since < slowStart {
		return work + 1 - since.Seconds()/slowStart.Seconds()
	}
	return work
}

// prefixTTL is how long a prefix is assumed to stay in a server's cache.
const prefixTTL = 30 * time.Second

// maxPrefixes bounds the prefixes recorded for one server.
const maxPrefixes = 512

func (s *server) recordPrefix(prefix string, now time.Time) {
	if len(s.prefixes) >= maxPrefixes {
		s.prefixes = map[string]time.Time{} // Dropping all is cheap and only costs affinity.
	}
	s.prefixes[prefix] = now.Add(prefixTTL)
}
