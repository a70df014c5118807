package simulation

import (
	"time"

	"github.com/endivespoke/endivespoke/internal/backend/placement"
	"github.com/endivespoke/endivespoke/internal/backend/pool"
)

// serviceName is the one service of a scenario.
const serviceName = "engines"

const (
	// silencePart and quietLimit are those of package relay: the part of the gap aim
	// after which a silent stream goes on elsewhere, and how long the engine of a prompt
	// may be silent until it is checked.
	silencePart = 0.5
	quietLimit  = 400 * time.Millisecond
	// moveAgain is that of package relay: the pause until a stream without a copy is tried
	// to be moved again. copyWatch is how often it is looked whether a copy is lost.
	moveAgain = 500 * time.Millisecond
	copyWatch = 20 * time.Millisecond
	// placeAgain is the pause until a stream that found no engine asks again, as callers do.
	placeAgain = 500 * time.Millisecond
)

// stream is one caller's request.
type stream struct {
	world    *world
	vm       *vm
	number   int
	prompt   int
	tokens   int // Of its output.
	left     int // Tokens that the caller lacks.
	askedAt  time.Time
	firstAt  time.Time
	lastAt   time.Time // Of its newest event.
	endedAt  time.Time
	longest  time.Duration // The longest pause between two events.
	reads    int           // Prompt tokens read for it.
	attempts int
	resumed  int // Times that it went on from its copy.
	moved    int
	tried    map[string]bool
	lease    *pool.Lease
	backup   *engine
	copyAt   time.Time // From when the copy can be used; zero if there is none.
	run      *run
}

// place asks the pool for an engine and sends the stream there.
func (s *stream) place(on string) {
	if s.vm.ended || !s.endedAt.IsZero() {
		return
	}
	lease, backup, err := s.vm.servers.AcquireForStream(pool.Criteria{
		Service:  serviceName,
		Demand:   placement.Demand{PromptTokens: s.prompt + s.tokens - s.left, OutputTokens: s.left, AfterLoss: s.attempts > 0 && !s.world.policy.NoSample},
		Tried:    s.tried,
		ServerID: on,
	})
	if err != nil {
		s.tried = map[string]bool{}
		s.world.after(placeAgain, func() { s.place("") })
		return
	}
	s.attempts++
	fromCopy := on != "" && lease.Server.ID == on
	s.settle(lease, backup)
	s.run = s.newRun(fromCopy)
	s.send(s.run, lease, fromCopy)
}

// settle keeps the lease and where the copy goes.
func (s *stream) settle(lease *pool.Lease, backup *pool.Server) {
	s.release()
	s.lease = lease
	if backup != nil {
		s.backup = s.world.engines[backup.Address]
	}
	s.vm.workChanged()
}

func (s *stream) release() {
	if s.lease != nil {
		s.lease.Release()
		s.vm.workEased()
	}
	if s.backup != nil {
		s.backup.letGo(s)
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

// send brings a run to its engine.
func (s *stream) send(r *run, lease *pool.Lease, fromCopy bool) {
	way := millis(s.world.scenario.Network.HopMillis)
	if fromCopy {
		way += millis(s.world.scenario.Engines.MoveMillis)
	}
	r.engine = s.world.engines[lease.Server.Address]
	s.world.after(way, func() {
		if s.run != r {
			return
		}
		switch there := s.world.engines[lease.Server.Address]; {
		case there.lost:
			lease.ReportUnreachable(errLost)
			s.goOn(r, true)
		case there.ID != lease.Server.ID:
			lease.MarkReplaced()
			s.goOn(r, true)
		default:
			there.accept(r)
		}
	})
}

// heard takes in an event.
func (s *stream) heard(r *run, last bool) {
	if s.run != r || s.vm.ended {
		return
	}
	now := s.world.now
	s.lease.RecordActivity()
	if s.copyAt.IsZero() {
		s.begun()
	}
	if s.firstAt.IsZero() {
		s.firstAt = now
	} else {
		s.longest = max(s.longest, now.Sub(s.lastAt))
	}
	s.lastAt = now
	s.left = r.tokensLeft
	if last {
		s.end()
	}
}

// begun notes the first event of a run: from then on its memory is copied.
func (s *stream) begun() {
	s.lease.MarkStarted()
	s.vm.workEased()
	s.copyAt = s.world.now.Add(millis(s.world.scenario.Engines.CopyMillis))
	if s.backup != nil {
		s.backup.hold(s, s.prompt+s.tokens)
	}
	s.watchCopy(s.run)
}

// watchCopy moves a run that has no copy any more to an engine where it gets one.
func (s *stream) watchCopy(r *run) {
	if s.run != r || s.vm.ended || s.world.policy.NoMoves || s.world.policy.NoCopies {
		return
	}
	select {
	case <-s.lease.CopyLost:
		if s.move(r) {
			return
		}
		s.world.after(moveAgain, func() { s.watchCopy(r) })
	default:
		s.world.after(copyWatch, func() { s.watchCopy(r) })
	}
}

// move reports whether the run goes on elsewhere.
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
	target := s.world.engines[lease.Server.Address]
	if backup == nil || target.lost || r.engine.lost {
		lease.Release()
		return false
	}
	r.engine.drop(r)
	s.reads += r.read
	s.moved++
	s.settle(lease, backup)
	s.run = s.newRun(true)
	s.send(s.run, lease, true)
	return true
}

func (s *stream) end() {
	s.reads += s.run.read
	s.endedAt = s.world.now
	s.run = nil
	s.release()
	delete(s.vm.streams, s)
}

// engineLost is told with the loss of an engine: a broken connection is noticed at once,
// silence after a while.
func (s *stream) engineLost(r *run) {
	if s.run != r {
		return
	}
	if !r.engine.silent {
		s.lease.ReportBroken()
		s.goOn(r, true)
		return
	}
	limit := quietLimit
	if r.began {
		limit = millis(silencePart * s.world.scenario.Load.GapAimMillis)
	}
	s.world.after(limit, func() {
		if s.run == r {
			s.lease.ReportBroken()
			s.goOn(r, true)
		}
	})
}

// goOn has a stream whose engine is lost go on: where its copy is, or by reading the
// prompt again.
func (s *stream) goOn(r *run, tried bool) {
	if s.run != r || s.vm.ended {
		return
	}
	s.reads += r.read
	s.run = nil
	if !r.engine.lost {
		r.engine.drop(r)
	}
	if tried || r.engine.lost {
		s.tried[s.lease.Server.ID] = true
	}
	on := ""
	if s.backup != nil && !s.copyAt.IsZero() && s.world.now.After(s.copyAt) && !s.backup.lost {
		on = s.backup.ID
		s.resumed++
	}
	if s.attempts >= s.world.scenario.Load.Attempts {
		s.release()
		delete(s.vm.streams, s)
		return // It is cut.
	}
	s.place(on)
}
