package relay

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/request/admission"
)

// waitFraction of the latency objective is how long a new stream waits for a server with room at
// most. The rest is for its prompt, which is read beside others.
const waitFraction = 0.5

// acquire acquires a server for the next run. A new stream may have to wait for one with room. One
// that continues something has waited before, and would cost more if it were given up.
func (s *stream) acquire(ctx context.Context, criteria pool.Criteria) (lease *pool.Lease, backup *pool.Server, err error) {
	criteria.Account = s.request.Account
	if s.relay.options.Admitter == nil || s.sends > 0 || s.lastEventID != "" {
		return s.relay.options.Servers.AcquireForStream(criteria)
	}
	firstEventBy := s.request.Received.Add(s.request.Route.LatencyObjective)
	criteria.RequireRoom, criteria.FirstEventBy, criteria.Rank = true, firstEventBy, s.request.Priority
	stream := admission.Stream{
		Account:      s.request.Account,
		Rank:         s.request.Priority,
		PromptTokens: s.request.Demand.PromptTokens,
		OutputTokens: s.request.Demand.OutputTokens,
		FirstEventBy: firstEventBy,
		StartBy:      s.request.Received.Add(time.Duration(waitFraction * float64(s.request.Route.LatencyObjective))),
	}
	err = s.relay.options.Admitter.Admit(ctx, s.request.Service, stream, func(copied bool) (taken bool, err error) {
		criteria.WithoutCopy = !copied
		lease, backup, err = s.relay.options.Servers.AcquireForStream(criteria)
		if errors.Is(err, pool.ErrNoRoom) {
			return false, nil
		}
		return err == nil, err
	})
	return lease, backup, err
}

// noServer returns the refusal of a stream that got no server because of err.
func (s *stream) noServer(err error) error {
	var refusal *admission.NoRoom
	if errors.As(err, &refusal) {
		return &NotRun{Kind: RefusalNoRoom, Reason: refusal.Error(), RetryAt: refusal.RetryAt}
	}
	return s.relay.noServer(s.request)
}
