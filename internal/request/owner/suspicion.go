package owner

import (
	"slices"
	"time"

	"github.com/endivespoke/endivespoke/internal/backend/fleet"
	"github.com/endivespoke/endivespoke/internal/caller/problem"
	"github.com/endivespoke/endivespoke/internal/node/control"
	"github.com/endivespoke/endivespoke/internal/node/event"
)

// recordCrash records that an engine crashed while running this request. It
// returns the final error if the content is blocked from now on.
func (rc *recovery) recordCrash(server string) *problem.Problem {
	g := rc.generation
	g.mu.Lock()
	g.journal.AddCrash(server)
	crashes := slices.Clone(g.journal.Crashes)
	g.mu.Unlock()
	rc.tokensAtCrash = rc.dispatchTokens
	rc.owner.recordCrashes(g.contentHash, crashes)
	if len(crashes) < blockAfterCrashes || !rc.isolated {
		return nil
	}
	event.ContentCondemned.Warn(rc.owner.options.Logger, "content", g.contentHash, "servers", crashes)
	rc.owner.options.BlockContent(g.contentHash)
	return blockedProblem(rc.owner.options.Now().Add(control.BlockedFor))
}

// criteria returns the criteria for the server of the next dispatch. A request
// under which several servers crashed waits for up to isolationWait for a server
// without other suspected requests, and then shares one.
func (rc *recovery) criteria() fleet.Criteria {
	g := rc.generation
	g.mu.Lock()
	defer g.mu.Unlock()
	criteria := fleet.Criteria{
		Version:   g.journal.Spec.Version,
		Exclude:   slices.Clone(rc.excluded),
		Suspicion: len(g.journal.Crashes),
		Prefix:    g.prefix(),
	}
	if criteria.Suspicion < isolateAfterCrashes {
		return criteria
	}
	now := rc.owner.options.Now()
	if rc.isolationDeadline.IsZero() {
		rc.isolationDeadline = now.Add(isolationWait)
	}
	if now.After(rc.isolationDeadline) {
		criteria.Suspicion = 1
	}
	return criteria
}

// criteriaElsewhere returns criteria that exclude the current server. Affinity
// alone would choose that server again, since it has the prompt in its cache.
func (rc *recovery) criteriaElsewhere() fleet.Criteria {
	criteria := rc.criteria()
	rc.generation.mu.Lock()
	defer rc.generation.mu.Unlock()
	criteria.Exclude = append(criteria.Exclude, rc.generation.journal.Server)
	return criteria
}

// prefixBytes of a prompt determine its cache affinity.
const prefixBytes = 256

// prefix identifies the beginning of the prompt. It is empty for a shorter prompt.
// Callers hold mu.
func (g *Generation) prefix() string {
	text := g.journal.Spec.Prompt
	if len(g.journal.Spec.Messages) > 0 {
		text = g.journal.Spec.Messages[0].Content
	}
	if len(text) < prefixBytes {
		return ""
	}
	return g.journal.Spec.Version + "\x00" + text[:prefixBytes]
}

// addTokens counts tokens of the current dispatch. It dismisses the crashes of the
// request once the dispatch has dismissAfterTokens tokens and twice as many as the
// one whose engine crashed last. Callers hold the generation's mu.
func (rc *recovery) addTokens(tokens int) {
	if rc.dispatchTokens == 0 && tokens > 0 && rc.lease != nil {
		rc.owner.serverSucceeded(rc.lease.Server.Name)
	}
	rc.dispatchTokens += tokens
	journal := rc.generation.journal
	if len(journal.Crashes) == 0 || rc.dispatchTokens < max(dismissAfterTokens, 2*rc.tokensAtCrash) {
		return
	}
	journal.Crashes = nil
	rc.owner.recordCrashes(rc.generation.contentHash, nil)
	if rc.lease != nil {
		rc.lease.ClearSuspicion()
	}
}

func (o *Owner) serverFailed(server string, cause error) {
	if o.options.Fleet.RecordFailure(server) {
		event.ServerEjected.Warn(o.options.Logger, "server", server, "cause", cause)
	}
}

func (o *Owner) serverSucceeded(server string) {
	if o.options.Fleet.RecordSuccess(server) {
		event.ServerReturned.Info(o.options.Logger, "server", server)
	}
}

// crashRecord lists the servers that crashed while running one content.
type crashRecord struct {
	crashes []string
	until   time.Time
}

// crashRecordTTL is how long crashes count against a content.
const crashRecordTTL = 2 * time.Minute

func (o *Owner) knownCrashes(contentHash string) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]string(nil), o.crashesByContent[contentHash].crashes...)
}

func (o *Owner) recordCrashes(contentHash string, crashes []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(crashes) == 0 {
		delete(o.crashesByContent, contentHash)
		return
	}
	o.crashesByContent[contentHash] = crashRecord{
		crashes: append([]string(nil), crashes...),
		until:   o.options.Now().Add(crashRecordTTL),
	}
}
