package crash

import (
	"slices"
	"time"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
)

// interruption is a run that was interrupted at a server.
type interruption struct {
	content   string
	server    pool.Server
	startedAt time.Time
	at        time.Time
}

// Interrupted records that a run of the content was interrupted at a server shortly after its
// start. If the server process has terminated, or is found to have within detectionTimeout, that
// counts against the content, unless the same termination had already interrupted another run
// when this one started.
func (r *Record) Interrupted(content string, server pool.Server, startedAt, at time.Time) {
	r.mu.Lock()
	completedRecently := r.recent.has(content, r.options.Now())
	r.mu.Unlock()
	c := interruption{content: content, server: server, startedAt: startedAt, at: at}
	if completedRecently || r.resolve(c) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = appendBounded(r.pending, c)
}

// Poll resolves interruptions whose servers were meanwhile found to have terminated, and
// dismisses terminations that turned out to be part of the failure of a whole failure domain.
func (r *Record) Poll() {
	r.mu.Lock()
	pending, resolved := r.pending, r.resolved
	r.pending, r.resolved = nil, nil
	r.mu.Unlock()
	now := r.options.Now()
	r.expire(now)
	pending = slices.DeleteFunc(pending, func(c interruption) bool { return r.resolve(c) || now.Sub(c.at) > detectionTimeout })
	resolved = slices.DeleteFunc(resolved, func(c interruption) bool {
		if now.Sub(c.at) < correlationDelay {
			return false
		}
		r.dismissIfCorrelated(c)
		return true
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = append(pending, r.pending...)
	r.resolved = append(resolved, r.resolved...)
}

// resolve reports whether the server process of an interruption is known to have terminated. If
// so, it records the termination.
func (r *Record) resolve(c interruption) bool {
	if !r.options.HasTerminated(c.server, c.at) {
		return false
	}
	r.mu.Lock()
	terminatedAt, found := r.terminatedAt[c.server.Process()]
	r.mu.Unlock()
	if found && c.startedAt.After(terminatedAt) {
		return true // The process had terminated before the run started.
	}
	now := r.options.Now()
	r.options.OnTerminated(c.content, c.server, now.Sub(c.at))
	r.Terminated(c.content, c.server, c.at)
	r.mu.Lock()
	defer r.mu.Unlock()
	c.at = now // Correlated losses are detected from now on.
	r.resolved = appendBounded(r.resolved, c)
	return true
}

// dismissIfCorrelated dismisses the termination of a server that was lost with most of its
// failure domain, unless the content ran on most of the servers lost.
func (r *Record) dismissIfCorrelated(c interruption) {
	lost := r.options.CorrelatedLosses(c.server)
	r.mu.Lock()
	own, found := r.contents[c.content][c.server.Process()]
	if lost == 0 || !found || own.dismissed || 2*r.contents[c.content].correlatedWith(own) > lost {
		r.mu.Unlock()
		return
	}
	own.dismissed = true
	r.merge(c.content, map[string]termination{c.server.Process(): own})
	report := r.report(c.content)
	r.mu.Unlock()
	r.options.Announce(report)
	r.options.OnDismissed(c.content, "server "+c.server.ID+" was lost with its failure domain")
}

// appendBounded drops the oldest interruption if there are maxInterruptions.
func appendBounded(interruptions []interruption, c interruption) []interruption {
	if len(interruptions) >= maxInterruptions {
		interruptions = interruptions[1:]
	}
	return append(interruptions, c)
}
