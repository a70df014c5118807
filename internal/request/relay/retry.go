package relay

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// maxBudgetWait bounds how long a request waits for the retry budget of a VM that has just
// started, whose allowance grows from zero.
const maxBudgetWait = 250 * time.Millisecond

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
