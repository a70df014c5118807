package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/placement"
)

// Criteria is a stream that wants a server. On names the server that must take it,
// because it holds a copy of the stream's memory.
type Criteria struct {
	Service   string
	Demand    placement.Demand
	Tried     map[string]bool
	ServerID  string
	Prefilled bool // Its prompt need not be read.
}

// AcquireForCall chooses a server for a short call, none of those tried.
func (p *Pool) AcquireForCall(service string, tried map[string]bool) (lease *Lease, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable, described := p.candidates(service, tried, p.options.Now())
	at, found := placement.ChooseForCall(described, p.options.Draw)
	if !found {
		return nil, errors.Trace(ErrNone)
	}
	usable[at].calls++
	return p.lease(usable[at], &Lease{}), nil
}

// AcquireForStream chooses a server for a stream, and one in another failure domain for
// the copy of its memory; backup is nil if there is none with room.
func (p *Pool) AcquireForStream(ask Criteria) (lease *Lease, backup *Server, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	chosen := p.holder(ask, now)
	if chosen == nil {
		if chosen = p.chooseForStream(ask, now); chosen == nil {
			return nil, nil, errors.Trace(ErrNone)
		}
	}
	lease = p.lease(chosen, &Lease{stream: true, need: ask.Demand, started: ask.ServerID != "" || ask.Prefilled, Load: p.candidate(chosen, now)})
	room := p.rooms[ask.Service]
	lease.CanMove = room.SupportsMoves && room.SupportsCopies
	if !room.SupportsCopies {
		return lease, nil, nil
	}
	lease.backup = p.chooseForCopy(ask, chosen, now)
	if lease.backup == nil {
		lease.tellCopyLost()
		return lease, nil, nil
	}
	lease.backup.copies += ask.Demand.Tokens()
	copied := lease.backup.Server
	return lease, &copied, nil
}

// holder gives the server that the ask names, if it may take work and is not down.
func (p *Pool) holder(ask Criteria, now time.Time) *server {
	s := p.servers[ask.ServerID]
	if s == nil || s.down || !s.endedAt.IsZero() || !s.takesWork() || s.rests(now) {
		return nil
	}
	return s
}

// chooseForStream chooses among the servers of this VM's cell, and among all if those
// are down or have no room. Called with the lock held.
func (p *Pool) chooseForStream(ask Criteria, now time.Time) *server {
	usable, described := p.candidates(ask.Service, ask.Tried, now)
	near, nearDescribed := p.inCell(usable, described)
	if at, found := placement.ChooseForStream(nearDescribed, ask.Demand); found && !nearDescribed[at].Avoided && placement.Fits(nearDescribed[at], ask.Demand) {
		return near[at]
	}
	if at, found := placement.ChooseForStream(described, ask.Demand); found {
		return usable[at]
	}
	return nil
}

// chooseForCopy chooses the holder of a stream's copy in the same way; nil if none has
// room. Called with the lock held.
func (p *Pool) chooseForCopy(ask Criteria, chosen *server, now time.Time) *server {
	usable, described := p.candidates(ask.Service, map[string]bool{chosen.ID: true}, now)
	near, nearDescribed := p.inCell(usable, described)
	if at, found := placement.ChooseCopyHolder(nearDescribed, chosen.FailureDomain, ask.Demand); found && !nearDescribed[at].Avoided {
		return near[at]
	}
	if at, found := placement.ChooseCopyHolder(described, chosen.FailureDomain, ask.Demand); found && !described[at].Avoided {
		return usable[at]
	}
	return nil
}

// candidates lists the servers of a service that may take new work, in random
// order, so that VMs with the same picture don't all take the first.
func (p *Pool) candidates(service string, tried map[string]bool, now time.Time) ([]*server, []placement.Candidate) {
	p.forgetSilentPeers(now)
	usable := []*server{}
	for _, s := range p.servers {
		if s.Service == service && s.takesWork() && !s.rests(now) && !tried[s.ID] {
			usable = append(usable, s)
		}
	}
	slices.SortFunc(usable, byID)
	for i := len(usable) - 1; i > 0; i-- {
		j := int(p.options.Draw() * float64(i+1))
		usable[i], usable[j] = usable[j], usable[i]
	}
	described := make([]placement.Candidate, len(usable))
	for i, s := range usable {
		described[i] = p.candidate(s, now)
	}
	return usable, described
}

// candidate describes a server to package placement.
func (p *Pool) candidate(s *server, now time.Time) placement.Candidate {
	load := s.load()
	theirs := p.others[s.ID]
	load.PendingTokens += theirs.PendingTokens
	load.Running += theirs.Running
	load.MemoryTokens += theirs.MemoryTokens
	return placement.Candidate{
		ID:            s.ID,
		FailureDomain: s.FailureDomain,
		Slots:         s.Slots,
		Avoided:       s.down || now.Before(s.avoidUntil) || now.Sub(s.endedAt) < endedLife || p.isDoubtful(s, now),
		PendingTokens: load.PendingTokens,
		Running:       load.Running,
		MemoryTokens:  load.MemoryTokens,
		CacheTokens:   p.rooms[s.Service].CacheTokens,
		Calls:         s.calls,
		FailureRate:   s.decayedFailures(now),
		LatencyMillis: s.latency,
		Connected:     p.options.HasIdle(s.Address),
	}
}

// isDoubtful reports whether another server of the failure domain was lost a
// moment ago and nothing was heard of this one since.
func (p *Pool) isDoubtful(s *server, now time.Time) bool {
	lossAt := p.lossAt[s.group]
	return now.Sub(lossAt) < doubtLife && s.heardAt.Before(lossAt)
}

// SetCell tells which cell of how many this VM is in; see placement.Cells.
func (p *Pool) SetCell(cell, cells int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cells != cells {
		p.cellOf = nil
	}
	p.cell, p.cells = cell, cells
}

// inCell gives those of the servers that are in this VM's cell. Called with the lock
// held.
func (p *Pool) inCell(usable []*server, described []placement.Candidate) (near []*server, nearDescribed []placement.Candidate) {
	if p.cells <= 1 {
		return usable, described
	}
	if p.cellOf == nil {
		p.assignCells()
	}
	for i, s := range usable {
		if p.cellOf[s.Address] == p.cell {
			near = append(near, s)
			nearDescribed = append(nearDescribed, described[i])
		}
	}
	return near, nearDescribed
}

// assignCells assigns all servers, those of each service and failure domain for
// themselves. Called with the lock held.
func (p *Pool) assignCells() {
	groups := map[string][]string{}
	for _, s := range p.servers {
		if s.listed {
			groups[s.group] = append(groups[s.group], s.Address)
		}
	}
	p.cellOf = map[string]int{}
	for _, addresses := range groups {
		maps.Copy(p.cellOf, placement.Cells(addresses, p.cells))
	}
}
