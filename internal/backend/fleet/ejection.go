package fleet

import (
	"time"
)

// admits reports whether ejection lets work through. After the end of an ejection one
// probe at a time is admitted.
func (s *server) admits(now time.Time) bool {
	if s.ejections == 0 {
		return true
	}
	return now.After(s.ejectedUntil) && !s.probing
}

// earliestEjected returns the ejected server that returns first if there are no
// candidates, so that at most maxEjectedFraction of a pool stays ejected.
func (f *Fleet) earliestEjected(fitting, candidates []*server, now time.Time) []*server {
	if len(candidates) > 0 {
		return candidates
	}
	var first *server
	for _, s := range fitting {
		if s.admits(now) || s.inFlight > 0 {
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

// RecordFailure records that a server interrupted or refused work for reasons of its own.
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
	pause := min(initialEjection<<min(s.ejections, 10), maxEjection)
	s.ejections++
	s.ejectedUntil = now.Add(pause)
	s.prefixes = map[string]time.Time{}
	return s.ejections == 1
}

// RecordSuccess records a success of a server. It reports whether this ended an ejection.
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
