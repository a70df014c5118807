package crash

import (
	"slices"
	"time"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
)

// interruption is a run that was interrupted at a server.
type interruption struct {
	traits    []Trait
	tested    []Trait // The suspects if the run was a trial.
	server    pool.Server
	startedAt time.Time
	at        time.Time
}

// Interrupted records that a run of a request was interrupted at a server shortly after its
// start. If the server process has terminated, or is found to have within detectionTimeout, that
// counts against the request's traits, unless the same termination had already interrupted another
// run when this one started. It does not count against traits that ran to completion here a moment
// before. Interrupted reports whether the process is known to have terminated.
func (r *Record) Interrupted(traits []Trait, server pool.Server, startedAt, at time.Time) (terminated bool) {
	now := r.options.Now()
	r.mu.Lock()
	c := interruption{server: server, startedAt: startedAt, at: at}
	for _, trait := range traits {
		if t, found := r.trials[trait]; found {
			c.tested = t.tested
			delete(r.trials, trait)
		}
		if !r.recent.has(trait, now) {
			c.traits = append(c.traits, trait)
		}
	}
	r.mu.Unlock()
	if r.resolve(c) {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(c.traits) > 0 {
		r.pending = appendBounded(r.pending, c)
	}
	return false
}

// Poll resolves interruptions whose servers were meanwhile found to have terminated, and
// dismisses terminations that are part of the failure of a whole failure domain, or
// that other VMs count against a part with which requests run to completion here.
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
		r.dismissIfCorrelated(c.traits, c.server)
		return true
	})
	r.mu.Lock()
	r.pending = append(pending, r.pending...)
	r.resolved = append(resolved, r.resolved...)
	sound := r.soundSuspects(now)
	r.mu.Unlock()
	r.dismiss(sound)
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
	for _, trait := range c.traits {
		r.options.OnTerminated(trait, c.server, now.Sub(c.at))
	}
	r.terminated(c.traits, c.tested, c.server, c.at)
	r.mu.Lock()
	defer r.mu.Unlock()
	c.at = now // Correlated losses are detected from now on.
	r.resolved = appendBounded(r.resolved, c)
	return true
}

// dismissIfCorrelated dismisses the termination of a server that was lost with most of its
// failure domain, unless requests with one of the traits ran on most of the servers lost: then these
// may have crashed. That of a trial takes minTrialLosses, since crashes under several causes may be
// most of a small failure domain.
func (r *Record) dismissIfCorrelated(traits []Trait, server pool.Server) {
	lost := r.options.CorrelatedLosses(server)
	if lost == 0 {
		return
	}
	reports := []Report{}
	r.mu.Lock()
	if slices.ContainsFunc(traits, func(trait Trait) bool { return r.explains(trait, server, lost) }) {
		r.mu.Unlock()
		return
	}
	for _, trait := range traits {
		own, found := r.traits[trait][server.Process()]
		if !found || own.dismissed || (own.tested && lost < minTrialLosses) {
			continue
		}
		own.dismissed = true
		dismissed := map[string]termination{server.Process(): own}
		r.merge(trait, dismissed)
		reports = append(reports, r.report(trait, dismissed))
	}
	findings := r.attributeIfChanged()
	r.mu.Unlock()
	for _, report := range reports {
		r.options.Announce(report)
		r.options.OnDismissed(report.Trait, "server "+server.ID+" was lost with its failure domain")
	}
	r.notify(findings)
}

// explains reports whether requests with a trait ran on most of the servers that were lost together
// with one. Called with the lock held.
func (r *Record) explains(trait Trait, server pool.Server, lost int) bool {
	one, found := r.traits[trait][server.Process()]
	return found && 2*r.traits[trait].correlatedWith(one) > lost
}

// appendBounded drops the oldest interruption if there are maxInterruptions.
func appendBounded(interruptions []interruption, c interruption) []interruption {
	if len(interruptions) >= maxInterruptions {
		interruptions = interruptions[1:]
	}
	return append(interruptions, c)
}
