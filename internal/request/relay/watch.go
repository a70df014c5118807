package relay

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/node/rescue"
)

// watch ends a run whose events stop or whose server is down, if its stream can go on at another
// server; otherwise only if the server's process is gone. While the server reads the prompt, no event
// is due. The server is then checked if this VM receives no data from it.
type watch struct {
	cancel      func()
	claim       func() bool // Takes what another send of the request needs.
	now         func() time.Time
	idleTimeout time.Duration
	dueAt       atomic.Int64 // When the next event is overdue, in Unix nanoseconds.
	aborted     atomic.Bool
	down        atomic.Bool // The server was found to be down.
	blocked     atomic.Bool // Requests with the run's traits are refused, and it has not begun to answer.
	timer       *time.Timer
	stopped     chan struct{}
	started     atomic.Bool   // The run's first event has arrived.
	done        chan struct{} // Closed when monitor has returned.
	renewal     renewal       // Owned by monitor until then.
	// cancelRenewal cancels a renewal in progress once the run has ended.
	cancelRenewal func()

	mu      sync.Mutex
	ended   bool // The run has ended, or is being ended.
	claimed bool // Another send has been claimed.
}

func (s *stream) watch(ctx context.Context, cancel func(), lease *pool.Lease, resumed bool) *watch {
	w := &watch{
		cancel:      cancel,
		claim:       func() bool { return s.claimResend(ctx, lease) == nil },
		now:         s.relay.options.Now,
		idleTimeout: s.idleLimit(idleFraction),
		stopped:     make(chan struct{}),
		done:        make(chan struct{}),
	}
	w.timer = time.AfterFunc(time.Hour, w.onTimeout)
	w.timer.Stop()
	if resumed {
		w.arm(s.idleLimit(resumeFraction))
	}
	renewing, cancelRenewal := context.WithCancel(ctx)
	w.cancelRenewal = cancelRenewal
	rescue.Go(s.relay.options.Logger, "watch of a run", func() { s.monitor(ctx, renewing, w, lease) })
	return w
}

// idleLimit returns the idle timeout of a run. It doubles with each run that it ended, so that slow
// but healthy servers are abandoned only a few times. A run whose request may not be sent again has
// none: its server may still complete it until the caller's deadline.
func (s *stream) idleLimit(fraction float64) time.Duration {
	gap := float64(s.request.Route.GapObjective)
	if !s.request.mayResend(s.sends) {
		return 0
	}
	return time.Duration(min(fraction*math.Pow(2, float64(s.idleTimeouts)), maxIdleGaps) * gap)
}

// monitor ends the run when its server is found down, checks an inactive server, and renews a
// lost copy or moves the run. The context renewing is cancelled when the run ends, and ctx
// later, so that a move that stopped the run can complete.
func (s *stream) monitor(ctx, renewing context.Context, w *watch, lease *pool.Lease) {
	defer close(w.done)
	now := s.relay.options.Now
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	startedAt := now()
	copyLost := lease.CopyLost
	moveDue := false
	nextMoveAt := time.Time{}
	down := lease.Down
	for {
		switch r := &w.renewal; {
		case !w.started.Load() || len(s.moves) > 0:
		case moveDue && s.canRenew(lease):
			if lost := s.renew(renewing, lease, r, true); lost != nil {
				copyLost = lost
			}
			moveDue = false
		case moveDue && now().After(nextMoveAt):
			_, moveDue = s.move(ctx, lease, s.chooseElsewhere(lease.Server))
			nextMoveAt = now().Add(moveRetryInterval)
		case !r.nextAt.IsZero() && lease.IsLeaving():
			r.nextAt = time.Time{}
			moveDue = true
		case !r.nextAt.IsZero() && now().After(r.nextAt):
			if lost := s.renew(renewing, lease, r, false); lost != nil {
				copyLost = lost
			}
		}
		select {
		case <-w.stopped:
			return
		case <-down:
			down = nil
			if s.endIfDown(w, lease) {
				return
			}
		case <-copyLost:
			copyLost = nil
			moveDue = true // Takes effect after the first event: before it there is little to move.
		case <-ticker.C:
			if _, blocked := s.relay.options.Crashes.IsBlocked(s.request.Traits...); blocked && !w.started.Load() {
				w.blocked.Store(true) // It would crash its server once it begins to answer.
				w.abort()
				return
			}
			if down == nil && s.endIfDown(w, lease) {
				return
			}
			if since := now().Add(-inactivityLimit); since.After(startedAt) {
				lease.CheckIfInactive(since)
			}
		}
	}
}

// endIfDown ends a run whose server is down, if its stream can go on or the server is gone.
func (s *stream) endIfDown(w *watch, lease *pool.Lease) (ended bool) {
	if !lease.IsDown() && !lease.IsGone() {
		return false // It is up again.
	}
	w.down.Store(true)
	if w.tryAbort(lease.IsGone()) {
		return true
	}
	w.down.Store(false)
	return false
}

// tryAbort ends the run if its request can be sent again, or if its server is gone.
func (w *watch) tryAbort(isGone bool) (aborted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return true
	}
	w.claimed = w.claim()
	if !w.claimed && !isGone {
		return false
	}
	w.ended = true
	w.abort()
	return true
}

// abort ends the run.
func (w *watch) abort() {
	w.aborted.Store(true)
	w.cancel()
}

// onTimeout ends a run whose next event is overdue, or tries again later if its stream can't go on
// elsewhere now. If this VM was paused meanwhile, it restarts the timer: the event may have arrived
// but not been read.
func (w *watch) onTimeout() {
	if late := w.now().Sub(time.Unix(0, w.dueAt.Load())); late > pauseThreshold {
		w.arm(w.idleTimeout)
		return
	}
	if !w.tryAbort(false) {
		w.arm(w.idleTimeout)
	}
}

// restart restarts the timer for the next event.
func (w *watch) restart() {
	w.arm(w.idleTimeout)
}

// arm sets the timer, unless the limit is zero.
func (w *watch) arm(limit time.Duration) {
	if limit > 0 {
		w.dueAt.Store(w.now().Add(limit).UnixNano())
		w.timer.Reset(limit)
	}
}

// pause stops the timer while an event is written to the caller, as the caller may be slow.
func (w *watch) pause() {
	w.timer.Stop()
}

func (w *watch) hasAborted() bool {
	return w.aborted.Load()
}

// stop ends the watch and waits for a move in progress.
func (w *watch) stop() {
	w.mu.Lock()
	w.ended = true
	w.mu.Unlock()
	w.timer.Stop()
	w.cancelRenewal()
	close(w.stopped)
	<-w.done
}
