package owner

import (
	"slices"
	"time"

	"github.com/endivespoke/endivespoke/internal/backend/fleet"
	"github.com/endivespoke/endivespoke/internal/caller/problem"
	"github.com/endivespoke/endivespoke/internal/node/control"
	"github.com/endivespoke/endivespoke/internal/node/event"
)

// crashed notes that an engine died under this request. It returns the final
// error when the request is to blame.
func (rc *recovery) crashed(server string) *problem.Problem {
	r := rc.running
	r.mu.Lock()
	r.journal.Crashed(server)
	crashes := slices.Clone(r.journal.Crashes)
	r.mu.Unlock()
	rc.madeAtCrash = rc.made
	rc.owner.noteCrashes(r.contentHash, crashes)
	if len(crashes) < condemnAfter || !rc.suspectAlone {
		return nil
	}
	event.ContentCondemned.Warn(rc.owner.options.Logger, "content", r.contentHash, "servers", crashes)
	rc.owner.options.Condemn(r.contentHash)
	return condemnedProblem(rc.owner.options.Now().Add(control.BlockedFor))
}

// ask describes the work to the fleet. A request that crashed several servers
// waits a while for one without other suspects, then shares.
func (rc *recovery) ask() fleet.Criteria {
	r := rc.running
	r.mu.Lock()
	defer r.mu.Unlock()
	ask := fleet.Criteria{
		Version:   r.journal.Spec.Version,
		Exclude:   slices.Clone(rc.excluded),
		Suspicion: len(r.journal.Crashes),
		Prefix:    r.prefix(),
	}
	if ask.Suspicion < lonelyAfter {
		return ask
	}
	now := rc.owner.options.Now()
	if rc.lonelyUntil.IsZero() {
		rc.lonelyUntil = now.Add(lonelyWait)
	}
	if now.After(rc.lonelyUntil) {
		ask.Suspicion = 1
	}
	return ask
}

// askElsewhere describes work that must not go to the server it is on. That one
// has the prompt in its cache, so affinity alone would choose it again.
func (rc *recovery) askElsewhere() fleet.Criteria {
	ask := rc.ask()
	rc.running.mu.Lock()
	defer rc.running.mu.Unlock()
	ask.Exclude = append(ask.Exclude, rc.running.journal.Server)
	return ask
}

// prefixBytes of a prompt are what affinity goes by.
const prefixBytes = 256

// prefix names the beginning of the prompt. Callers hold mu.
func (r *Running) prefix() string {
	text := r.journal.Spec.Prompt
	if len(r.journal.Spec.Messages) > 0 {
		text = r.journal.Spec.Messages[0].Content
	}
	if len(text) < prefixBytes {
		return ""
	}
	return r.journal.Spec.Version + "\x00" + text[:prefixBytes]
}

// madeTokens clears a suspect that got clearly further than where its engine
// died. Callers hold the generation's mu.
func (rc *recovery) madeTokens(tokens int) {
	if rc.made == 0 && tokens > 0 && rc.lease != nil {
		rc.owner.serverWorked(rc.lease.Server.Name)
	}
	rc.made += tokens
	journal := rc.running.journal
	if len(journal.Crashes) == 0 || rc.made < max(clearTokens, 2*rc.madeAtCrash) {
		return
	}
	journal.Crashes = nil
	rc.owner.noteCrashes(rc.running.contentHash, nil)
	if rc.lease != nil {
		rc.lease.ClearSuspicion()
	}
}

func (o *Owner) serverFailed(server string, cause error) {
	if o.options.Fleet.RecordFailure(server) {
		event.ServerEjected.Warn(o.options.Logger, "server", server, "cause", cause)
	}
}

func (o *Owner) serverWorked(server string) {
	if o.options.Fleet.RecordSuccess(server) {
		event.ServerReturned.Info(o.options.Logger, "server", server)
	}
}

// suspectLog counts the servers that died while running one content.
type suspectLog struct {
	crashes []string
	until   time.Time
}

// suspectsKept is how long crashes count against a content.
const suspectsKept = 2 * time.Minute

func (o *Owner) knownCrashes(contentHash string) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]string(nil), o.suspects[contentHash].crashes...)
}

func (o *Owner) noteCrashes(contentHash string, crashes []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(crashes) == 0 {
		delete(o.suspects, contentHash)
		return
	}
	o.suspects[contentHash] = suspectLog{
		crashes: append([]string(nil), crashes...),
		until:   o.options.Now().Add(suspectsKept),
	}
}
