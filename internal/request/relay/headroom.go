package relay

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/request/admission"
)

// waitFraction of the time until its first event is due is how long a new stream waits for a server
// with headroom at most. The rest is for its prompt, which is read beside others.
const waitFraction = 0.5

// errBlocked means that requests with the traits of the stream crash servers.
const errBlocked = errors.ConstError("requests with its traits crash servers")

// acquire acquires a server for the next run. A new stream may have to wait for one with headroom. One
// that continues something has waited before, and would cost more if it were given up.
func (s *stream) acquire(ctx context.Context, criteria pool.Criteria) (lease *pool.Lease, backup *pool.Server, err error) {
	criteria.Account = s.request.Account
	if s.relay.options.Admitter == nil || s.sends > 0 || s.lastEventID != "" {
		return s.relay.options.Servers.AcquireForStream(criteria)
	}
	since, firstEventBy := waitingSince(s.request)
	rank := s.request.Route.Rank(s.request.Priority)
	criteria.RequireHeadroom, criteria.FirstEventBy, criteria.Rank = true, firstEventBy, rank
	stream := admission.Stream{
		Account:      s.request.Account,
		Rank:         rank,
		PromptTokens: s.request.Demand.PromptTokens,
		OutputTokens: s.request.Demand.OutputTokens,
		FirstEventBy: firstEventBy,
		StartBy:      startBy(s.request, firstEventBy),
		Since:        since,
	}
	// A request that is blocked already has a permit as a trial.
	_, isTrial := s.relay.options.Crashes.IsBlocked(s.request.Traits...)
	defer func() { criteria.Reservation.Release() }()
	err = s.relay.options.Admitter.Admit(ctx, s.request.Service, stream, admission.Attempt{
		Take: func(copied bool) (taken bool, err error) {
			if _, blocked := s.relay.options.Crashes.IsBlocked(s.request.Traits...); blocked && !isTrial {
				return false, errors.Trace(errBlocked) // It was not when the stream began to wait.
			}
			criteria.WithoutCopy, criteria.Versions = !copied, s.renewVersions()
			lease, backup, err = s.relay.options.Servers.AcquireForStream(criteria)
			if errors.Is(err, pool.ErrNoHeadroom) {
				return false, nil
			}
			return err == nil, err
		},
		Reserve: func() (reserved bool) {
			criteria.Reservation = s.relay.options.Servers.Reserve(criteria)
			return criteria.Reservation != nil
		},
		IsReserved: func() (reserved bool) { return criteria.Reservation.IsHeld() },
	})
	return lease, backup, err
}

// waitingSince returns when the caller of a request began to wait, and when its first event is due.
// A caller that returns after a refusal has less time left than the route's timeout. It goes before
// others as long as it can still be served within the objective.
func waitingSince(request *Request) (since, firstEventBy time.Time) {
	objective := request.Route.LatencyObjective
	if since = request.Deadline.Add(-request.Route.Timeout); since.Before(request.Received) && since.Add(objective).After(request.Received) {
		return since, since.Add(objective)
	}
	return request.Received, request.Received.Add(objective)
}

// startBy returns when a new stream has to have a server, so that its first event is in time for the
// objective and the caller's deadline.
func startBy(request *Request, firstEventBy time.Time) time.Time {
	if request.Deadline.Before(firstEventBy) {
		firstEventBy = request.Deadline
	}
	return request.Received.Add(time.Duration(waitFraction * float64(firstEventBy.Sub(request.Received))))
}

// noServer returns the refusal of a stream that got no server because of err.
func (s *stream) noServer(ctx context.Context, err error) error {
	if errors.Is(err, errBlocked) {
		if blocked := s.relay.admit(ctx, s.request); blocked != nil {
			return blocked
		}
		return &NotRun{Kind: RefusalCrashes, Reason: err.Error(), RetryAt: s.relay.options.Now().Add(retryDelay)}
	}
	var refusal *admission.NoHeadroom
	if errors.As(err, &refusal) && refusal.Reason == admission.Stopped {
		return &NotRun{Kind: RefusalLeaving, Reason: "this VM is leaving, and no server has headroom now", RetryAt: refusal.RetryAt}
	}
	if refusal != nil {
		return &NotRun{Kind: RefusalNoHeadroom, Reason: refusal.Error(), RetryAt: refusal.RetryAt}
	}
	return s.relay.noServer(s.request, s.versions.rule)
}
