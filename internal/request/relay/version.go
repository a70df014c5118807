package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/backend/rollout"
)

// Versions decides which versions of servers requests go to while a roll-out is under way; see
// package rollout. Nil functions limit nothing. Choose is called before each choice of a server, and
// Record at the end of each send. Usual returns the rule of most sends, which changes with the stages of
// a roll-out. Retired reports whether a version of a service is to keep no work,
// and returns the rule for what leaves it.
type Versions struct {
	Choose  func(service string, send rollout.Send) pool.VersionRule
	Usual   func(service string) pool.VersionRule
	Record  func(result rollout.Result)
	Retired func(service, version string) (rule pool.VersionRule, retired bool)
	// RefreshList makes the list of servers one that was requested at a time or later, and reports whether
	// it is.
	RefreshList func(ctx context.Context, asOf time.Time) bool
}

func (v *Versions) setDefaults() {
	if v.Choose == nil {
		v.Choose = func(string, rollout.Send) pool.VersionRule { return pool.VersionRule{} }
	}
	if v.Usual == nil {
		v.Usual = func(string) pool.VersionRule { return pool.VersionRule{} }
	}
	if v.Record == nil {
		v.Record = func(rollout.Result) {}
	}
	if v.RefreshList == nil {
		v.RefreshList = func(context.Context, time.Time) bool { return true }
	}
	if v.Retired == nil {
		v.Retired = func(string, string) (pool.VersionRule, bool) { return pool.VersionRule{}, false }
	}
}

// recordOutcome records what a send tells of its server's version. A server that is cold when it is
// chosen tells nothing.
func (r *Relay) recordOutcome(request *Request, server pool.Server, outcome rollout.Outcome, took time.Duration) {
	if server.Cold {
		outcome = rollout.NoEvidence
	}
	r.options.Versions.Record(rollout.Result{Service: request.Service, Route: request.Route.Name, Version: server.Version, Outcome: outcome, Took: took})
}

// outcomeOf returns the outcome of a complete answer. One that is unsigned may not be the server's.
func outcomeOf(verdict Verdict) rollout.Outcome {
	switch {
	case verdict.NotRun || verdict.Replaced:
		return rollout.NoEvidence
	case verdict.Status >= http.StatusInternalServerError:
		return rollout.Failed
	case verdict.Signed:
		return rollout.Answered
	default:
		return rollout.NoEvidence
	}
}

// outcome returns the outcome of a call's exchange. Over means that the call no longer waited for it.
func (r *callResult) outcome(over, isDown bool) rollout.Outcome {
	switch {
	case r.err == nil:
		return outcomeOf(r.verdict)
	case over && !isDown && !r.isNotSent():
		return rollout.Abandoned
	default:
		return rollout.NoEvidence
	}
}

// recordRun records a run that ended before its first event. Over means that the caller no longer
// waited for it.
func (s *stream) recordRun(lease *pool.Lease, end runResult, over, resumed bool) {
	if !s.firstEventAt.IsZero() {
		return
	}
	took := s.relay.options.Now().Sub(s.sentAt)
	outcome := rollout.NoEvidence
	switch {
	case end.failure || (end.answer != nil && end.answer.Status >= http.StatusInternalServerError):
		outcome = rollout.Failed
	case (over || end.idle) && !end.notSent && !end.notRun && !end.blocked && !resumed && !lease.IsDown():
		outcome = rollout.Abandoned
	}
	s.relay.recordOutcome(s.request, lease.Server, outcome, took)
}

// recordFirstEvent records the first event of a run. One that continues from a copy has processed no
// prompt: its latency can't be compared.
func (s *stream) recordFirstEvent(lease *pool.Lease, resumed bool) {
	outcome := rollout.Answered
	if resumed {
		outcome = rollout.NoEvidence
	}
	s.relay.recordOutcome(s.request, lease.Server, outcome, s.firstEventAt.Sub(s.sentAt))
}

// runVersions has the rule of a stream's current run, with the usual one of then, and the one by which
// its next send was claimed, if it was.
type runVersions struct {
	rule    pool.VersionRule
	usual   pool.VersionRule
	claimed *pool.VersionRule
}

// sendKind returns what the next send of a stream is.
func (s *stream) sendKind() rollout.Send {
	if s.sends == 0 && s.refused == 0 && s.request.LastEventID == "" {
		return rollout.SendNew
	}
	return rollout.SendAgain
}

// chooseVersions returns the rule for a send of the stream: the one of its version from its first event
// on, and before it the one by which the send was claimed, if any. A request that is sent again before
// its first event stays at its version if it can, as its record may name that one.
func (s *stream) chooseVersions() pool.VersionRule {
	claimed := s.versions.claimed
	s.versions.claimed = nil
	if s.version.isFixed.Load() {
		return s.fixedRule()
	}
	s.versions.usual = s.relay.options.Versions.Usual(s.request.Service)
	if claimed != nil {
		return *claimed
	}
	return s.preferLast(s.relay.options.Versions.Choose(s.request.Service, s.sendKind()))
}

// preferLast returns a rule that prefers the version of the send before, unless a roll-out decides.
func (s *stream) preferLast(rule pool.VersionRule) pool.VersionRule {
	if rule.IsZero() {
		rule.Prefer = s.version.name
	}
	return rule
}

// chooseElsewhere returns the rule for what leaves a server.
func (s *stream) chooseElsewhere(server pool.Server) pool.VersionRule {
	if s.version.isFixed.Load() {
		return s.fixedRule()
	}
	if rule, retired := s.relay.options.Versions.Retired(s.request.Service, server.Version); retired {
		return rule
	}
	return s.preferLast(s.relay.options.Versions.Choose(s.request.Service, rollout.SendAgain))
}

// renewVersions returns the rule for a stream that has waited since the last choice: the usual one if
// that has changed meanwhile, since the roll-out is at another stage.
func (s *stream) renewVersions() pool.VersionRule {
	if usual := s.relay.options.Versions.Usual(s.request.Service); !usual.Equal(s.versions.usual) {
		s.versions.rule, s.versions.usual = usual, usual
	}
	return s.versions.rule
}
