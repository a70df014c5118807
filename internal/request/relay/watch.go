package relay

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/node/rescue"
)

// watch ends a run whose server is silent or down. While the prompt is read no
// event is due, so the server is checked instead when nothing at all is heard
// of it.
type watch struct {
	cancel  func()
	now     func() time.Time
	limit   time.Duration
	dueAt   atomic.Int64 // When the next event is overdue, in Unix nanoseconds.
	silent  atomic.Bool
	down    atomic.Bool // The server was found down.
	timer   *time.Timer
	stopped chan struct{}
	begun   atomic.Bool   // The run's first event has arrived.
	ended   chan struct{} // Closed when follow has returned.
	guard   guard         // Owned by follow until then.
	// endRenewal ends the renewal of a copy that runs: the run has ended.
	endRenewal func()
}

func (s *stream) watch(ctx context.Context, cancel func(), lease *pool.Lease, resumed bool) *watch {
	w := &watch{
		cancel:  cancel,
		now:     s.relay.options.Now,
		limit:   s.silenceLimit(silencePart),
		stopped: make(chan struct{}),
		ended:   make(chan struct{}),
	}
	w.timer = time.AfterFunc(time.Hour, w.overdue)
	w.timer.Stop()
	if resumed {
		w.await(s.silenceLimit(resumePart))
	}
	renewing, endRenewal := context.WithCancel(ctx)
	w.endRenewal = endRenewal
	rescue.Go(s.relay.options.Logger, "watch of a run", func() { s.follow(ctx, renewing, w, lease) })
	return w
}

// silenceLimit is how long a run may be silent. A server that is slow and sound is left for
// another one a few times at most: the limit doubles with each run that was ended for it,
// and the last one that the stream may have gets longestSilence.
func (s *stream) silenceLimit(part float64) time.Duration {
	gap := float64(s.request.Route.GapObjective)
	if s.sends >= s.request.Route.MaxAttempts {
		return time.Duration(longestSilence * gap)
	}
	return time.Duration(min(part*math.Pow(2, float64(s.silences)), longestSilence) * gap)
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
			w.down.Store(true)
			w.expire()
			return
		case <-copyLost:
			copyLost = nil
			moveDue = true // At once, or after the first event: before it there is little to move.
		case <-ticker.C:
			if since := now().Add(-quietLimit); since.After(began) {
				lease.CheckIfInactive(since)
			}
		}
	}
}

func (w *watch) expire() {
	w.silent.Store(true)
	w.cancel()
}

// overdue ends a run whose next event is overdue, unless this VM was paused meanwhile: the
// event may have arrived and be about to be read.
func (w *watch) overdue() {
	if late := w.now().Sub(time.Unix(0, w.dueAt.Load())); late > pausedFor {
		w.await(w.limit)
		return
	}
	w.expire()
}

// heard starts the time for the next event.
func (w *watch) heard() {
	w.await(w.limit)
}

func (w *watch) await(limit time.Duration) {
	if limit > 0 {
		w.dueAt.Store(w.now().Add(limit).UnixNano())
		w.timer.Reset(limit)
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
