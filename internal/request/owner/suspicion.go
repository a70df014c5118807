package owner

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/fleet"
	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/caller/problem"
	"github.com/endivespoke/endivespoke/internal/node/control"
	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/request/crash"
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
	rc.owner.recordTermination(g, server)
	count, _ := rc.owner.options.Crashes.Count(crash.Trait(g.contentHash))
	if max(len(crashes), count) < blockAfterCrashes || !rc.isolated {
		return nil
	}
	event.ContentCondemned.Warn(rc.owner.options.Logger, "content", g.contentHash, "servers", crashes, "atAllVMs", count)
	rc.owner.options.BlockContent(g.contentHash)
	return blockedProblem(rc.owner.options.Now().Add(control.BlockedFor))
}

// terminationWindow is the time within which crashes of an engine under several requests, as several
// VMs see them, are one termination.
const terminationWindow = 10 * time.Second

// recordTermination records that an engine crashed under a generation, for all that other prompts
// may have in common with it. Whether its content is blocked is left to recordCrash, which knows
// which requests shared the engine.
func (o *Owner) recordTermination(g *Generation, server string) {
	now := o.options.Now()
	process := pool.Server{ID: server, Started: now.Truncate(terminationWindow).UnixMilli()}
	for _, trait := range g.traits() {
		o.options.Crashes.Terminated(trait, process, now)
	}
}

// traits returns what the crash record knows the generation's prompt by.
func (g *Generation) traits() []crash.Trait {
	return crash.Traits(g.contentHash, g.spec.Beginnings())
}

// suspicion returns the number of servers that crashed under the generation's content at all
// VMs, as far as this one knows, and when the last one did. Callers hold the generation's mu.
func (rc *recovery) suspicion() (crashes int, last time.Time) {
	count, last := rc.owner.options.Crashes.Count(crash.Trait(rc.generation.contentHash))
	return max(count, len(rc.generation.journal.Crashes)), last
}

// dispatchableAt returns when the next dispatch may start. A content that is to be isolated waits
// until the other VMs have the report of its last crash, so that none of them sends another
// suspect to the same server. It also waits after a refusal: the server that all VMs send the
// content to may just have crashed under it.
func (rc *recovery) dispatchableAt() time.Time {
	rc.generation.mu.Lock()
	defer rc.generation.mu.Unlock()
	crashes, last := rc.suspicion()
	if crashes < isolateAfterCrashes {
		return time.Time{}
	}
	if rc.refusedAt.After(last) {
		last = rc.refusedAt
	}
	return last.Add(reportTime)
}

// errBeginningBlocked means that the next dispatch waits for reports on a beginning of the prompt.
const errBeginningBlocked = errors.ConstError("a beginning of the prompt may be what crashes engines")

// checkNotBlocked returns the final error of a generation whose content, or a beginning of whose
// prompt, was blocked since it was accepted. Another VM may know of a content that explains the
// crashes under the beginning, so the final error follows when its reports must have arrived.
func (rc *recovery) checkNotBlocked() error {
	o, g := rc.owner, rc.generation
	if until, blocked := o.options.Snapshot().BlockedUntil[g.contentHash]; blocked {
		return blockedProblem(until)
	}
	by, blocked := o.options.Crashes.IsBlocked(g.traits()...)
	if !blocked || !by.IsPart() {
		return nil
	}
	if _, last := o.options.Crashes.Count(by); o.options.Now().Before(last.Add(reportTime)) {
		return errors.Trace(errBeginningBlocked)
	}
	return beginningProblem(o.options.Crashes.Recheck(g.traits()...).Until)
}

// awaitReports waits until the next dispatch may start. It reports whether the context goes on.
func (rc *recovery) awaitReports(ctx context.Context) bool {
	timer := time.NewTimer(rc.dispatchableAt().Sub(rc.owner.options.Now()))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// criteria returns the criteria for the server of the next dispatch. A request under whose content
// several servers crashed waits for one without other suspected requests, and gets less isolation
// the longer it waits, but always some: a crash beside another suspect shows nothing, so any
// number of them could follow.
func (rc *recovery) criteria() fleet.Criteria {
	g := rc.generation
	g.mu.Lock()
	defer g.mu.Unlock()
	criteria := g.requiredServers()
	criteria.Exclude = slices.Clone(rc.excluded)
	criteria.Content = g.contentHash
	criteria.Prefix = g.prefix()
	criteria.Suspicion, _ = rc.suspicion()
	if criteria.Suspicion < isolateAfterCrashes {
		return criteria
	}
	now, blocked := rc.owner.options.Now(), rc.owner.options.Snapshot().BlockedUntil
	for _, content := range rc.owner.options.Crashes.RecurringContents() {
		if !blocked[string(content)].After(now) {
			criteria.Suspects = append(criteria.Suspects, string(content))
		}
	}
	criteria.Crashed = rc.owner.options.Crashes.TerminatedServers(now.Add(-crashedPeriod))
	if rc.waitsSince.IsZero() {
		rc.waitsSince = now
	}
	switch waited := now.Sub(rc.waitsSince); {
	case waited > assignmentWait:
		criteria.Isolation = fleet.FromSuspectsOfThisVM
	case waited > isolationWait:
		criteria.Isolation = fleet.FromSuspectsOfAllVMs
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

// requiredServers returns the criteria of the servers that may run the generation at all. Callers
// hold mu.
func (g *Generation) requiredServers() fleet.Criteria {
	return fleet.Criteria{
		Version:         g.journal.Spec.Version,
		SoftwareVersion: g.journal.SoftwareVersion,
		PinnedSoftware:  g.journal.HasSoftwareVersion(),
	}
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
// content, at all VMs, once the dispatch has dismissAfterTokens tokens and twice as many
// as the one whose engine crashed last. Callers hold the generation's mu.
func (rc *recovery) addTokens(tokens int) {
	if rc.dispatchTokens == 0 && tokens > 0 && rc.lease != nil {
		rc.owner.serverSucceeded(rc.lease.Server.Name)
	}
	rc.dispatchTokens += tokens
	if rc.passed || rc.dispatchTokens < max(dismissAfterTokens, 2*rc.tokensAtCrash) {
		return
	}
	rc.passed = true
	if crashes, _ := rc.suspicion(); crashes == 0 {
		return
	}
	rc.generation.journal.Crashes = nil
	rc.owner.recordCrashes(rc.generation.contentHash, nil)
	rc.owner.options.Crashes.Completed(rc.generation.traits()...)
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
