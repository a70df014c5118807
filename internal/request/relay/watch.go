package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
)

// watch ends a run whose server is silent or down. While the prompt is read no
// event is due, so the server is checked instead when nothing at all is heard
// of it.
type watch struct {
	cancel  func()
	limit   time.Duration
	silent  atomic.Bool
	timer   *time.Timer
	stopped chan struct{}
	begun   atomic.Bool   // The run's first event has arrived.
	ended   chan struct{} // Closed when follow has returned.
	guard   guard         // Owned by follow until then.
	// endRenewal ends the renewal of a copy that runs: the run has ended.
	endRenewal func()
}

func (s *stream) watch(ctx context.Context, cancel func(), lease *pool.Lease, resumed bool) *watch {
	gap := s.request.Route.GapObjective
	w := &watch{
		cancel:  cancel,
		limit:   time.Duration(silencePart * float64(gap)),
		stopped: make(chan struct{}),
		ended:   make(chan struct{}),
	}
	w.timer = time.AfterFunc(time.Hour, w.expire)
	w.timer.Stop()
	if gap > 0 && resumed {
		w.timer.Reset(time.Duration(resumePart * float64(gap)))
	}
	renewing, endRenewal := context.WithCancel(ctx)
	w.endRenewal = endRenewal
	go s.follow(ctx, renewing, w, lease)
	return w
}

// follow ends the run when the server is found down, has it checked when it is quiet, and
// sees to it that there is a copy. Renewing ends with the run, and ctx later, so that a
// move that stopped the run can be finished.
func (s *stream) follow(ctx, renewing context.Context, w *watch, lease *pool.Lease) {
	defer close(w.ended)
	now := s.relay.options.Now
	ticker := time.NewTicker(quietEvery)
	defer ticker.Stop()
	began := now()
	copyLost := lease.CopyLost
	moveDue := false
	movePause := time.Time{}
	for {
		switch g := &w.guard; {
		case !w.begun.Load():
		case moveDue && s.mayRenew(lease):
			if lost := s.renew(renewing, lease, g, true); lost != nil {
				copyLost = lost
			}
			moveDue = false
		case moveDue && now().After(movePause):
			moveDue = !s.move(ctx, lease)
			movePause = now().Add(moveAgain)
		case !g.renewAt.IsZero() && lease.IsLeaving():
			g.renewAt = time.Time{}
			moveDue = true
		case !g.renewAt.IsZero() && now().After(g.renewAt):
			if lost := s.renew(renewing, lease, g, false); lost != nil {
				copyLost = lost
			}
		}
		select {
		case <-w.stopped:
			return
		case <-lease.Down:
			w.expire()
			return
		case <-copyLost:
			copyLost = nil
			moveDue = true // At once, or after the first event: before it there is little to move.
		case <-ticker.C:
			if since := now().Add(-quietLimit); since.After(began) {
				lease.VerifyIfQuiet(since)
			}
		}
	}
}

func (w *watch) expire() {
	w.silent.Store(true)
	w.cancel()
}

// heard starts the time for the next event.
func (w *watch) heard() {
	if w.limit > 0 {
		w.timer.Reset(w.limit)
	}
}

// pause stops the time while an event is written to the caller, which may be
// slow itself.
func (w *watch) pause() {
	w.timer.Stop()
}

func (w *watch) fired() bool {
	return w.silent.Load()
}

// stop ends the watch and waits for a move that runs.
func (w *watch) stop() {
	w.timer.Stop()
	w.endRenewal()
	close(w.stopped)
	<-w.ended
}
