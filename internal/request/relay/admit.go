package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/endivespoke/endivespoke/internal/request/crash"
)

// holdFraction of the latency objective is how long a request waits while another one with the
// same traits runs as a test. The rest is left for its own run.
const holdFraction = 0.4

// admit returns the refusal of a request that may not be sent to a server because of servers that
// crashed under requests with its traits, and nil if it may be sent. A request that may be sound
// waits for its turn, until enough of its latency objective is left only to be refused.
func (r *Relay) admit(ctx context.Context, request *Request) *NotRun {
	holdUntil := r.options.Now().Add(time.Duration(holdFraction * float64(request.Route.LatencyObjective)))
	check := r.options.Crashes.Check
	for {
		if request.checked {
			check = r.options.Crashes.Recheck
		}
		verdict := check(request.Traits...)
		request.checked = true
		switch {
		case verdict.Decision == crash.Run:
			request.isTrial = request.isTrial || verdict.IsTrial
			return nil
		case verdict.Decision == crash.Refuse:
			return refusalFor(verdict.Trait, "%s crashes the servers that run it", verdict.Until)
		case verdict.RecheckAt.After(holdUntil) || !sleepUntil(ctx, r.options.Now(), verdict.RecheckAt):
			return refusalFor(verdict.Trait, "%s may be what crashes the servers that run it, and another request is a test of it", verdict.Until)
		}
	}
}

// endTrial reports that a request which no server runs now has shown nothing as a trial, unless an
// outcome was recorded: it was not sent, or its server answered without running it to completion.
func (r *Relay) endTrial(request *Request) {
	if !request.isTrial {
		return
	}
	request.isTrial = false
	r.options.Crashes.Inconclusive(request.Traits...)
}

// refusalFor returns a refusal because of a trait, whose description the reason contains.
func refusalFor(trait crash.Trait, reason string, retryAt time.Time) *NotRun {
	refusal := &NotRun{Kind: RefusalCrashes, RetryAt: retryAt, Reason: fmt.Sprintf(reason, "its content")}
	if trait.IsPart() {
		_, id := trait.Field()
		refusal.Kind, refusal.Reason = RefusalPart, fmt.Sprintf(reason, "part "+id+" of its prompt")
	}
	return refusal
}

// sleepUntil reports whether the time came before the context ended.
func sleepUntil(ctx context.Context, now, until time.Time) bool {
	timer := time.NewTimer(until.Sub(now))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
