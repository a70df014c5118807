package relay

import (
	"context"
	"time"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/node/event"
)

// moveLimit bounds a move. Memory of a long run takes some 10 ms on the servers'
// links, more when moves queue.
const moveLimit = 300 * time.Millisecond

// mostMoveFailures is how often a move of one stream may fail, for lack of room at the
// target or because it ended, until the stream stays without a copy.
const mostMoveFailures = 4

// moved is where a run goes on whose memory was moved.
type moved struct {
	lease  *pool.Lease
	backup *pool.Server
	from   Copy
}

// move takes a run that has lost its copy to another server, where it gets a new
// one. It costs a pause of some 10 ms; without it, the loss of the run's own server
// would cost reading the whole prompt again. It runs beside the relay of events,
// which ends when the server closes the stream. It reports whether that was
// tried, or need not be: with no place for run and copy yet it may be later.
func (s *stream) move(ctx context.Context, lease *pool.Lease) (done bool) {
	if !s.relay.options.Servers.AcceptsRequests(lease.Server) {
		return false
	}
	if s.relay.options.Move == nil || !lease.CanMove || !s.request.Route.Retryable() {
		return true
	}
	need := s.request.Demand
	need.AfterLoss = true
	target, backup, err := s.relay.options.Servers.AcquireForStream(pool.Criteria{
		Service:   s.request.Service,
		Demand:    need,
		Tried:     map[string]bool{lease.Server.ID: true},
		Prefilled: true,
	})
	if err != nil {
		return false
	}
	if backup == nil || !s.relay.options.WithdrawPreventive(s.request.Service) {
		target.Release()
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, moveLimit)
	defer cancel()
	from, err := s.relay.options.Move(ctx, s.request.ID, lease.Server, target.Server)
	if err != nil {
		target.Release()
		s.relay.options.Refund(s.request.Service)
		s.moveFailures++
		event.StreamNotMoved.Info(s.relay.options.Logger, "request", s.request.ID, "server", lease.Server.ID, "to", target.Server.ID, "reason", err.Error())
		return s.moveFailures >= mostMoveFailures
	}
	s.moves <- moved{lease: target, backup: backup, from: from}
	return true
}

// finishMove reports whether the run goes on where its memory was moved, after
// its events have ended.
func (s *stream) finishMove(watch *watch, end runEnd) bool {
	watch.stop()
	return len(s.moves) > 0 && !end.done && end.caller == nil
}

// releaseMove gives back the place of a move that came too late to be used.
func (s *stream) releaseMove() {
	select {
	case m := <-s.moves:
		m.lease.Release()
	default:
	}
}
