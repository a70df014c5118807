package fleet

import (
	"time"
)

// open reports whether ejection lets work through. After an ejection's
// deadline one probe passes at a time.
func (s *server) open(now time.Time) bool {
	if s.ejections == 0 {
		return true
	}
	return now.After(s.ejectedUntil) && !s.probing
}

// forgiven adds the ejected servers that would return first, so that no more
// than the set part of a pool stays ejected. They come last in line: they are
// taken only if nothing else fits.
func (f *Fleet) forgiven(matching, candidates []*server, ask Criteria, now time.Time) []*server {
	if len(candidates) > 0 {
		return candidates
	}
	var first *server
	for _, s := range matching {
		if s.open(now) || !s.fits(ask) || s.inFlight > 0 {
			continue
		}
		if first == nil || s.ejectedUntil.Before(first.ejectedUntil) {
			first = s
		}
	}
	if first == nil {
		return nil
	}
	return []*server{first}
}

// RecordFailure notes that a server broke off or refused work for reasons of its own.
// It reports whether this ejected a server that was not ejected before.
func (f *Fleet) RecordFailure(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[name]
	if s == nil {
		return false
	}
	now := f.options.Now()
	s.failures++
	probeFailed := s.probing
	s.probing = false
	if !probeFailed && (s.failures < ejectAfter || now.Before(s.ejectedUntil)) {
		return false
	}
	pause := min(firstEjection<<min(s.ejections, 10), longestEjection)
	s.ejections++
	s.ejectedUntil = now.Add(pause)
	s.prefixes = map[string]time.Time{}
	return s.ejections == 1
}

// RecordSuccess notes that a server did what it should. It reports whether the
// server returned from an ejection by this.
func (f *Fleet) RecordSuccess(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[name]
	if s == nil {
		return false
	}
	s.failures = 0
	if s.ejections == 0 {
		return false
	}
	s.ejections = 0
	s.probing = false
	s.returnedAt = f.options.Now()
	return true
}
