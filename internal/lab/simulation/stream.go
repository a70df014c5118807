package simulation

import (
	"time"

	"github.com/endivespoke/endivespoke/internal/backend/placement"
	"github.com/endivespoke/endivespoke/internal/backend/pool"
)

// serviceName is the one service of a scenario.
const serviceName = "engines"

const (
	// idleFraction and inactivityLimit are those of package relay: the fraction of the gap
	// objective that is the idle timeout between events, and the idle timeout before the
	// first event.
	idleFraction    = 0.5
	inactivityLimit = 400 * time.Millisecond
	// moveRetryInterval is that of package relay: the time between two attempts to move a
	// stream without a copy. copyCheckInterval is the interval of checks for a lost copy.
	moveRetryInterval = 500 * time.Millisecond
	copyCheckInterval = 20 * time.Millisecond
	// placeRetryInterval is the time until the caller of a stream that got no engine retries.
	placeRetryInterval = 500 * time.Millisecond
)

// stream is one caller's request.
type stream struct {
	sim           *simulation
	vm            *vm
	number        int
	prompt        int
	tokens        int // Output tokens.
	left          int // Output tokens that the caller has not received.
	requestedAt   time.Time
	firstEventAt  time.Time
	lastEventAt   time.Time // Time of the latest event.
	completedAt   time.Time
	longestPause  time.Duration // Between two events.
	prefillTokens int           // Prompt tokens prefilled for it.
	attempts      int
	resumed       int // Number of times that it continued from its copy.
	moved         int
	tried         map[string]bool
	lease         *pool.Lease
	backup        *engine
	copyAt        time.Time // Time from which the copy can be used; zero if there is none.
	run           *run
}

// place acquires a lease from the pool and sends the stream to its engine. A server id is
// that of the engine with the copy; it is empty if there is none.
func (s *stream) place(serverID string) {
	if s.vm.ended || !s.completedAt.IsZero() {
		return
	}
	lease, backup, err := s.vm.servers.AcquireForStream(pool.Criteria{
		Service:  serviceName,
		Demand:   placement.Demand{PromptTokens: s.prompt + s.tokens - s.left, OutputTokens: s.left, AfterLoss: s.attempts > 0 && !s.sim.policy.NoSampling},
		Tried:    s.tried,
		ServerID: serverID,
	})
	if err != nil {
		s.tried = map[string]bool{}
		s.sim.after(placeRetryInterval, func() { s.place("") })
		return
	}
	s.attempts++
	fromCopy := serverID != "" && lease.Server.ID == serverID
	s.assign(lease, backup)
	s.run = s.newRun(fromCopy)
	s.send(s.run, lease, fromCopy)
}

// assign stores the lease and the engine that receives the copy.
func (s *stream) assign(lease *pool.Lease, backup *pool.Server) {
	s.release()
	s.lease = lease
	if backup != nil {
		s.backup = s.sim.engines[backup.Address]
	}
	s.vm.announceLoadsSoon()
}

func (s *stream) release() {
	if s.lease != nil {
		s.lease.Release()
		s.vm.announceLoadsLater()
	}
	if s.backup != nil {
		s.backup.deleteCopy(s)
	}
	s.lease, s.backup, s.copyAt = nil, nil, time.Time{}
}

func (s *stream) newRun(fromCopy bool) *run {
	r := &run{stream: s, tokensLeft: s.left}
	if context := s.prompt + s.tokens - s.left; fromCopy {
		r.context = context
	} else {
		r.promptLeft = context
	}
	return r
}

// send delivers a run to its engine after the network delay.
func (s *stream) send(r *run, lease *pool.Lease, fromCopy bool) {
	delay := millis(s.sim.scenario.Network.HopMillis)
	if fromCopy {
		delay += millis(s.sim.scenario.Engines.MoveMillis)
	}
	r.engine = s.sim.engines[lease.Server.Address]
	s.sim.after(delay, func() {
		if s.run != r {
			return
		}
		switch target := s.sim.engines[lease.Server.Address]; {
		case target.failed:
			lease.ReportUnreachable(errEngineFailed)
			s.failOver(r, true)
		case target.ID != lease.Server.ID:
			lease.MarkReplaced()
			s.failOver(r, true)
		default:
			target.accept(r)
		}
	})
}

// receiveEvent handles an event of a run.
func (s *stream) receiveEvent(r *run, last bool) {
	if s.run != r || s.vm.ended {
		return
	}
	now := s.sim.now
	s.lease.RecordActivity()
	if s.copyAt.IsZero() {
		s.onFirstEvent()
	}
	if s.firstEventAt.IsZero() {
		s.firstEventAt = now
	} else {
		s.longestPause = max(s.longestPause, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
	s.left = r.tokensLeft
	if last {
		s.complete()
	}
}

// onFirstEvent starts the copy of a run's memory after its first event.
func (s *stream) onFirstEvent() {
	s.lease.MarkStarted()
	s.vm.announceLoadsLater()
	s.copyAt = s.sim.now.Add(millis(s.sim.scenario.Engines.CopyMillis))
	if s.backup != nil {
		s.backup.storeCopy(s, s.prompt+s.tokens)
	}
	s.watchCopy(s.run)
}

// watchCopy moves a run that has lost its copy to an engine where it gets a new one.
func (s *stream) watchCopy(r *run) {
	if s.run != r || s.vm.ended || s.sim.policy.NoMoves || s.sim.policy.NoCopies {
		return
	}
	select {
	case <-s.lease.CopyLost:
		if s.move(r) {
			return
		}
		s.sim.after(moveRetryInterval, func() { s.watchCopy(r) })
	default:
		s.sim.after(copyCheckInterval, func() { s.watchCopy(r) })
	}
}

// move tries to move a run to another engine with a new copy, and reports whether it did.
func (s *stream) move(r *run) bool {
	lease, backup, err := s.vm.servers.AcquireForStream(pool.Criteria{
		Service:   serviceName,
		Demand:    placement.Demand{PromptTokens: s.prompt, OutputTokens: s.tokens, AfterLoss: true},
		Tried:     map[string]bool{s.lease.Server.ID: true},
		Prefilled: true,
	})
	if err != nil {
		return false
	}
	target := s.sim.engines[lease.Server.Address]
	if backup == nil || target.failed || r.engine.failed {
		lease.Release()
		return false
	}
	r.engine.removeRun(r)
	s.prefillTokens += r.prefilled
	s.moved++
	s.assign(lease, backup)
	s.run = s.newRun(true)
	s.send(s.run, lease, true)
	return true
}

func (s *stream) complete() {
	s.prefillTokens += s.run.prefilled
	s.completedAt = s.sim.now
	s.run = nil
	s.release()
	delete(s.vm.streams, s)
}

// onEngineFailure handles the failure of a run's engine: a broken connection is detected at
// once, a hung engine after the idle timeout.
func (s *stream) onEngineFailure(r *run) {
	if s.run != r {
		return
	}
	if !r.engine.hung {
		s.lease.ReportBroken()
		s.failOver(r, true)
		return
	}
	limit := inactivityLimit
	if r.started {
		limit = millis(idleFraction * s.sim.scenario.Load.GapAimMillis)
	}
	s.sim.after(limit, func() {
		if s.run == r {
			s.lease.ReportBroken()
			s.failOver(r, true)
		}
	})
}

// failOver continues a stream whose engine has failed: from its copy, or by prefilling the
// prompt again on another engine.
func (s *stream) failOver(r *run, tried bool) {
	if s.run != r || s.vm.ended {
		return
	}
	s.prefillTokens += r.prefilled
	s.run = nil
	if !r.engine.failed {
		r.engine.removeRun(r)
	}
	if tried || r.engine.failed {
		s.tried[s.lease.Server.ID] = true
	}
	serverID := ""
	if s.backup != nil && !s.copyAt.IsZero() && s.sim.now.After(s.copyAt) && !s.backup.failed {
		serverID = s.backup.ID
		s.resumed++
	}
	if s.attempts >= s.sim.scenario.Load.Attempts {
		s.release()
		delete(s.vm.streams, s)
		return // All attempts are used: the stream stays incomplete.
	}
	s.place(serverID)
}
