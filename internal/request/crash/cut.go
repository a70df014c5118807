package crash

import (
	"slices"
	"time"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
)

// cut is a run that was cut at a server of which it isn't known yet whether it has ended.
type cut struct {
	content string
	server  pool.Server
	began   time.Time
	at      time.Time
}

// Interrupted notes that a run of the content was cut at a server at a moment, before it had run for
// long. If the server's process has ended, or is found to have within knownAfter, that is held
// against the content, unless the run began after another one was cut by that.
func (r *Record) Interrupted(content string, server pool.Server, began, at time.Time) {
	r.mu.Lock()
	isSound := r.recent.has(content, r.options.Now())
	r.mu.Unlock()
	c := cut{content: content, server: server, began: began, at: at}
	if isSound || r.decide(c) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts = appendBounded(r.cuts, c)
}

// Poll decides on cuts whose servers were found to have ended meanwhile, and on ends that may
// be of a whole failure domain.
func (r *Record) Poll() {
	r.mu.Lock()
	cuts, ended := r.cuts, r.ended
	r.cuts, r.ended = nil, nil
	r.mu.Unlock()
	now := r.options.Now()
	r.forget(now)
	cuts = slices.DeleteFunc(cuts, func(c cut) bool { return r.decide(c) || now.Sub(c.at) > knownAfter })
	ended = slices.DeleteFunc(ended, func(c cut) bool {
		if now.Sub(c.at) < togetherAfter {
			return false
		}
		r.clearIfLostTogether(c)
		return true
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts = append(cuts, r.cuts...)
	r.ended = append(ended, r.ended...)
}

// decide reports whether the server has ended by now.
func (r *Record) decide(c cut) bool {
	if !r.options.HasTerminated(c.server, c.at) {
		return false
	}
	r.mu.Lock()
	endedAt, found := r.endedAt[c.server.Process()]
	r.mu.Unlock()
	if found && c.began.After(endedAt) {
		return true // The process had ended before.
	}
	now := r.options.Now()
	r.options.OnTerminated(c.content, c.server, now.Sub(c.at))
	r.Terminated(c.content, c.server, c.at)
	r.mu.Lock()
	defer r.mu.Unlock()
	c.at = now // Those that are lost with it are found lost from now on.
	r.ended = appendBounded(r.ended, c)
	return true
}

// clearIfLostTogether clears the end of a server that was lost with most of its failure
// domain, if the content didn't run on most of those.
func (r *Record) clearIfLostTogether(c cut) {
	lost := r.options.CorrelatedLosses(c.server)
	r.mu.Lock()
	own, found := r.contents[c.content][c.server.Process()]
	if lost == 0 || !found || own.cleared || 2*r.contents[c.content].endedWith(own) > lost {
		r.mu.Unlock()
		return
	}
	own.cleared = true
	r.merge(c.content, map[string]end{c.server.Process(): own})
	note := r.note(c.content)
	r.mu.Unlock()
	r.options.Announce(note)
	r.options.OnDismissed(c.content, "server "+c.server.ID+" was lost with its failure domain")
}

// appendBounded drops the oldest if there are too many.
func appendBounded(cuts []cut, c cut) []cut {
	if len(cuts) >= maxCuts {
		cuts = cuts[1:]
	}
	return append(cuts, c)
}
