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
	go w.follow(lease, s.relay.options.Now, func() bool { return s.move(ctx, lease) })
	return w
}

// follow ends the run when the server is found down, and has it checked when it
// is quiet.
func (w *watch) follow(lease *pool.Lease, now func() time.Time, move func() (done bool)) {
	defer close(w.ended)
	ticker := time.NewTicker(quietEvery)
	defer ticker.Stop()
	began := now()
	copyLost := lease.CopyLost
	moveDue := false
	movePause := time.Time{}
	for {
		if moveDue && w.begun.Load() && now().After(movePause) {
			moveDue = !move()
			movePause = now().Add(moveAgain)
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
	close(w.stopped)
	<-w.ended
}
