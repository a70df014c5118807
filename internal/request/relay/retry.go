package relay

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
)

// maxBudgetWait bounds how long a request waits for the retry budget of a VM that has just
// started, whose allowance grows from zero.
const maxBudgetWait = 250 * time.Millisecond

// mayResend reports whether a request of which this many sends may have run may be sent again, by its
// kind and its attempts.
func (r *Request) mayResend(sends int) bool {
	return sends == 0 || (r.Route.Retryable() && sends < r.Route.MaxAttempts)
}

// claimResend takes what another send of the stream needs, and returns the reason if it can't be
// sent again. It decides both whether a silent run is ended, at its running lease, and whether the
// stream goes on after a run has ended, with running nil: were the two to differ, a run would be
// ended whose stream can't go on.
func (s *stream) claimResend(ctx context.Context, running *pool.Lease) *NotRun {
	service := s.request.Service
	refusal := &NotRun{Kind: RefusalByServers, Reason: s.reason, RetryAt: s.relay.options.Now().Add(retryDelay)}
	switch {
	case !s.request.mayResend(s.sends) && s.request.Route.Retryable():
		refusal.Reason = "all attempts are used: " + s.reason
		return refusal
	case !s.request.mayResend(s.sends):
		return refusal
	case running == nil && !s.relay.withdraw(ctx, service):
		return s.relay.budgetSpent()
	case running == nil:
		return nil
	}
	rule := s.chooseElsewhere(running.Server)
	switch {
	case !s.relay.options.Servers.HasOther(service, running.Server.ID, rule):
		refusal.Kind = RefusalNoServer
		return refusal
	case !s.relay.options.Withdraw(service):
		return s.relay.budgetSpent()
	}
	s.versions.claimed = &rule
	return nil
}

// refundClaim returns a claim that no send has used.
func (s *stream) refundClaim() {
	if s.claimed {
		s.claimed = false
		s.relay.options.Refund(s.request.Service)
	}
}

// refundSend returns the charge of a send that reached no server, if it was charged.
func (s *stream) refundSend() {
	if s.chargedRetries > 0 {
		s.chargedRetries--
		s.relay.options.Refund(s.request.Service)
	}
}

// budgetSpent returns the refusal of a request whose service has no retry left. As a new request it
// takes none, so the caller may return soon.
func (r *Relay) budgetSpent() *NotRun {
	return &NotRun{Kind: RefusalBudget, Reason: "the retry budget of the service is spent", RetryAt: r.options.Now().Add(retryDelay)}
}

func isBudgetSpent(err error) bool {
	var refusal *NotRun
	return errors.As(err, &refusal) && refusal.Kind == RefusalBudget
}

// awaitBudget waits until the budget of a VM that has just started suffices for a retry. It reports
// whether that was before a time.
func (r *Relay) awaitBudget(ctx context.Context, service string, before time.Time) bool {
	at := r.options.RetryAt(service)
	if at.IsZero() || at.After(before) {
		return false
	}
	return sleepUntil(ctx, r.options.Now(), at)
}

// withdraw takes a retry from the service's budget, and reports whether there was one.
func (r *Relay) withdraw(ctx context.Context, service string) bool {
	waitUntil := r.options.Now().Add(maxBudgetWait)
	for !r.options.Withdraw(service) {
		if !r.awaitBudget(ctx, service, waitUntil) {
			return false
		}
	}
	return true
}
