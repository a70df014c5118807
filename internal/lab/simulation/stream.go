package simulation

import (
	"context"
	"syscall"
	"time"

	"github.com/juju/errors"

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
	// spreadTick is how often package spread looks whether peers must be told again.
	spreadTick = 250 * time.Millisecond
	// placeAgain is the pause until a stream that found no engine asks again, as callers do.
	placeAgain = 500 * time.Millisecond
)

var errLost = errors.Wrap(errors.New("the engine is gone"), syscall.ECONNREFUSED)

// vm is one VM: a real pool of engines.
type vm struct {
	world    *world
	index    int
	servers  *pool.Pool
	streams  map[*stream]bool
	newsDue  bool
	easedDue bool
	toldAt   time.Time // When peers were last told of its work.
	ended    bool
}

func (w *world) startVMs() {
	for i := range w.scenario.VMs {
		v := &vm{world: w, index: i, streams: map[*stream]bool{}}
		v.servers = pool.New(pool.Options{
			Now:   func() time.Time { return w.now },
			Draw:  w.random.Float64,
			Check: func(_ context.Context, address string) error { return w.check(address) },
			Go: func(do func()) {
				w.after(2*millis(w.scenario.Network.HopMillis), do)
			},
			OnChange: v.serverChanged,
			Tell:     func(id string, ended bool) { v.tellLoss(id, ended) },
		})
		v.servers.SetRooms(map[string]pool.Room{serviceName: {
			CacheTokens: w.scenario.Engines.MemoryTokens,
			Copies:      !w.policy.NoCopies,
			Moves:       !w.policy.NoMoves,
		}})
		w.vms = append(w.vms, v)
	}
	w.list()
	w.recheck()
	w.tellAll()
}

// tellAll has each VM tell its work even if nothing changes, as package spread does.
func (w *world) tellAll() {
	for _, v := range w.vms {
		if w.now.Sub(v.toldAt) >= pool.LoadsEvery {
			v.tellWork()
		}
	}
	w.after(spreadTick, w.tellAll)
}

// list has all VMs list the engines that are there.
func (w *world) list() {
	listed := []pool.Server{}
	for i := range w.nextEngine() {
		if e := w.engines[address(i)]; !e.lost {
			listed = append(listed, e.Server)
		}
	}
	for _, v := range w.vms {
		v.servers.Update(listed)
	}
}

// recheck has the pools look at what is down, as VMs do five times a second.
func (w *world) recheck() {
	for _, v := range w.vms {
		v.servers.Recheck(context.Background())
	}
	w.after(200*time.Millisecond, w.recheck)
}

func (w *world) check(address string) error {
	if e := w.engines[address]; e == nil || e.lost {
		return errLost
	}
	return nil
}

// serverChanged has the streams on a server that is down go on elsewhere.
func (v *vm) serverChanged(server pool.Server, down bool, _ string) {
	if !down {
		return
	}
	for _, s := range v.ordered() {
		if r := s.run; r != nil && r.engine.ID == server.ID {
			v.world.after(0, func() { s.goOn(r, false) })
		}
	}
}

func (v *vm) tellLoss(id string, ended bool) {
	for _, other := range v.world.vms {
		if other != v {
			v.world.after(millis(v.world.scenario.Network.HopMillis)+v.world.policy.newsAfter(), func() { other.servers.PeerLost(id, ended) })
		}
	}
}

// workChanged tells the peers of this VM's work, soon if it grew.
func (v *vm) workChanged() {
	if !v.newsDue {
		v.newsDue = true
		v.world.after(v.world.policy.newsAfter(), func() { v.newsDue = false; v.tellWork() })
	}
}

func (v *vm) workEased() {
	if !v.easedDue {
		v.easedDue = true
		v.world.after(v.world.policy.easedAfter(), func() { v.easedDue = false; v.tellWork() })
	}
}

func (v *vm) tellWork() {
	if v.world.policy.NoNews {
		return
	}
	v.toldAt = v.world.now
	loads := v.servers.Loads()
	for _, i := range v.world.told() {
		if other := v.world.vms[i]; other != v {
			v.world.messages++
			v.world.after(millis(v.world.scenario.Network.HopMillis), func() { other.servers.PeerLoads(v.name(), loads) })
		}
	}
}

// told gives the numbers of the VMs that hear of a VM's work.
func (w *world) told() []int {
	all := w.random.Perm(len(w.vms))
	if w.policy.Fanout == 0 {
		return all
	}
	return all[:min(w.policy.Fanout, len(all))]
}

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
	lease, backup, err := s.vm.servers.Stream(pool.Ask{
		Service: serviceName,
		Need:    placement.Need{PromptTokens: s.prompt + s.tokens - s.left, OutputTokens: s.left, AfterLoss: s.attempts > 0 && !s.world.policy.NoSample},
		Tried:   s.tried,
		On:      on,
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
	r := &run{stream: s, attempt: s.attempts, tokensLeft: s.left}
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
			lease.Unreachable(errLost)
			s.goOn(r, true)
		case there.ID != lease.Server.ID:
			lease.Replaced()
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
	s.lease.Heard()
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
	s.lease.Started()
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
	lease, backup, err := s.vm.servers.Stream(pool.Ask{
		Service: serviceName,
		Need:    placement.Need{PromptTokens: s.prompt, OutputTokens: s.tokens, AfterLoss: true},
		Tried:   map[string]bool{s.lease.Server.ID: true},
		Begun:   true,
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
		s.lease.Broke()
		s.goOn(r, true)
		return
	}
	limit := quietLimit
	if r.began {
		limit = time.Duration(silencePart * s.world.scenario.Load.GapAimMillis * float64(time.Millisecond))
	}
	s.world.after(limit, func() {
		if s.run == r {
			s.lease.Broke()
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
