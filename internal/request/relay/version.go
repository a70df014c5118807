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

// chooseVersions returns the rule for a send of the stream: the one by which it was claimed, if any.
func (s *stream) chooseVersions() pool.VersionRule {
	s.versions.usual = s.relay.options.Versions.Usual(s.request.Service)
	if rule := s.versions.claimed; rule != nil {
		s.versions.claimed = nil
		return *rule
	}
	return s.relay.options.Versions.Choose(s.request.Service, s.sendKind())
}

// isRetired reports whether a server is to keep no work, and returns the rule for what leaves it.
func (s *stream) isRetired(server pool.Server) (rule pool.VersionRule, retired bool) {
	return s.relay.options.Versions.Retired(s.request.Service, server.Version)
}

// chooseElsewhere returns the rule for what leaves a server.
func (s *stream) chooseElsewhere(server pool.Server) pool.VersionRule {
	if rule, retired := s.isRetired(server); retired {
		return rule
	}
	return s.relay.options.Versions.Choose(s.request.Service, rollout.SendAgain)
}

// hasRetiredCopy reports whether the copy of a run is to leave its holder.
func (s *stream) hasRetiredCopy(lease *pool.Lease) bool {
	holder, found := lease.CopyHolder()
	if !found {
		return false
	}
	_, retired := s.isRetired(holder)
	return retired
}

// copyRule returns the rule for a new holder of the copy of a run.
func (s *stream) copyRule(lease *pool.Lease) pool.VersionRule {
	if rule, retired := s.isRetired(lease.Server); retired {
		return rule
	}
	if holder, found := lease.CopyHolder(); found {
		if rule, retired := s.isRetired(holder); retired {
			return rule
		}
	}
	return s.versions.rule
}

// leaveSpread is the time over which the streams of a VM leave the servers of a version, so that
// their moves don't queue there.
const leaveSpread = time.Second

// leaveVersion moves a run away from a server whose version is retired. If it can't be moved, it ends
// the run, and the stream goes on elsewhere. A stream that may not be sent again stays.
func (s *stream) leaveVersion(ctx context.Context, w *watch, lease *pool.Lease, rule pool.VersionRule) (ended bool) {
	if s.moveFailures < maxMoveFailures {
		if moved, mayRetry := s.move(ctx, lease, rule, true); moved || mayRetry {
			return false
		}
	}
	w.leaving.Store(true)
	if w.tryAbort(false) {
		return true
	}
	w.leaving.Store(false)
	return false
}

// renewVersions returns the rule for a stream that has waited since the last choice: the usual one if
// that has changed meanwhile, since the roll-out is at another stage.
func (s *stream) renewVersions() pool.VersionRule {
	if usual := s.relay.options.Versions.Usual(s.request.Service); !usual.Equal(s.versions.usual) {
		s.versions.rule, s.versions.usual = usual, usual
	}
	return s.versions.rule
}
