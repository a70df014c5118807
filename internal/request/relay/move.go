package relay

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/http1"
	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/node/event"
)

// moveTimeout bounds a move. The memory of a long run takes some 10 ms on the servers'
// links, and more when moves queue.
const moveTimeout = 300 * time.Millisecond

// maxMoveFailures is the number of failed moves after which a stream stays without a copy. A
// move fails if the target lacks capacity or terminates.
const maxMoveFailures = 4

// movedRun is the place at which a run continues after its memory was moved.
type movedRun struct {
	lease  *pool.Lease
	backup *pool.Server
	from   Copy
	rule   pool.VersionRule
}

// move moves a run that has lost its copy to another server, where it gets a new copy. It
// pauses the stream for some 10 ms; without it, the loss of the run's server would make the
// next one read the whole prompt again. It runs concurrently with the relay of events, which
// ends when the server closes the stream. MayRetry means that the move should be tried again
// later, such as when there is no capacity for the run and its copy yet.
func (s *stream) move(ctx context.Context, lease *pool.Lease, versions pool.VersionRule) (moved, mayRetry bool) {
	if s.relay.options.Move == nil || !lease.CanMove || !s.request.Route.Retryable() {
		return false, false
	}
	if !s.relay.options.Servers.AcceptsRequests(lease.Server) {
		return false, true
	}
	demand := s.request.Demand
	demand.AfterLoss = true
	target, backup, err := s.relay.options.Servers.AcquireForStream(pool.Criteria{
		Service:   s.request.Service,
		Demand:    demand,
		Tried:     map[string]bool{lease.Server.ID: true},
		Prefilled: true,
		Versions:  versions,
	})
	if err != nil {
		return false, true
	}
	if backup == nil || !s.relay.options.WithdrawPreventive(s.request.Service) {
		target.Release()
		return false, true
	}
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	s.stopSent = true
	from, err := s.relay.options.Move(ctx, s.request.ID, lease.Server, target.Server)
	if err != nil {
		s.stopSent = !isUnstopped(err)
		target.Release()
		s.relay.options.Refund(s.request.Service)
		if errors.Is(err, pool.ErrNoPermit) {
			return false, true
		}
		s.moveFailures++
		event.StreamNotMoved.Info(s.relay.options.Logger, "request", s.request.ID, "server", lease.Server.ID, "to", target.Server.ID, "reason", err.Error())
		return false, s.moveFailures < maxMoveFailures
	}
	s.moves <- movedRun{lease: target, backup: backup, from: from, rule: versions}
	return true, false
}

// isUnstopped reports whether a failed move can't have stopped the run at its server.
func isUnstopped(err error) bool {
	return errors.Is(err, pool.ErrNoPermit) || errors.Is(err, http1.ErrNotSent) || errors.Is(err, ErrNotStopped)
}

// finishMove stops the watch of a run whose events have ended. It finds out whether the run
// continues at the server that its memory was moved to, and whether an unmarked end is that of the
// stream: a server that was told to stop the run for a move, or that terminates, ends the connection
// in the same way.
func (s *stream) finishMove(ctx context.Context, watch *watch, lease *pool.Lease, end runResult) runResult {
	watch.stop()
	end.moved = len(s.moves) > 0 && !end.done && end.callerErr == nil
	end.done = end.done || (end.unmarked && !end.moved && !s.stopSent && lease.Check(ctx))
	return end
}

// releaseMove releases the lease of a move that completed too late to be used.
func (s *stream) releaseMove() {
	select {
	case m := <-s.moves:
		m.lease.Release()
	default:
	}
}
