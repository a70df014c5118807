package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/placement"
)

// Criteria describes a stream that needs a server. ServerID names the server that must
// take it, because that server holds a copy of the stream's memory; it is empty for a
// free choice.
type Criteria struct {
	Service   string
	Demand    placement.Demand
	Tried     map[string]bool
	ServerID  string
	Prefilled bool // Its prompt need not be processed again.
	Versions  VersionRule
	// RequireHeadroom limits the choice to servers with headroom for a new stream whose first event is due
	// at FirstEventBy. WithoutCopy saves the headroom for a copy of its memory.
	RequireHeadroom bool
	FirstEventBy    time.Time
	WithoutCopy     bool
	// Reservation is of the server that the stream waits for; nil if it takes any.
	Reservation *Reservation
	Account     string
	Rank        int
}

// continues reports whether the stream has run before.
func (c *Criteria) continues() bool {
	return c.ServerID != "" || (c.Demand.AfterLoss && !c.Prefilled)
}

// AcquireForCall chooses a server for a short call, none of those tried.
func (p *Pool) AcquireForCall(service string, tried map[string]bool, versions VersionRule) (lease *Lease, err error) {
	return p.acquire(false, false, versions, func(now time.Time, withLimit bool) *server {
		filter := p.versionFilter(service, versions)
		usable := p.usableServers(service, tried, filter, now, withLimit)
		return p.chooseForCall(usable.inOrder(filter))
	}, func(chosen *server, _ time.Time) *Lease {
		chosen.calls++
		return p.newLease(chosen, &Lease{})
	})
}

// chooseForCall chooses from the first part with a server that is not avoided, and from the last one
// if there is none.
func (p *Pool) chooseForCall(parts []choices) *server {
	for i, part := range parts {
		at, found := placement.ChooseForCall(part.candidates, p.options.Draw)
		if found && (i == len(parts)-1 || !part.candidates[at].Avoided) {
			return part.servers[at]
		}
	}
	return nil
}

// AcquireForStream chooses a server for a stream, and one in another failure domain for
// the copy of its memory; copyHolder is nil if no such server has capacity. The error is ErrNone,
// or ErrNoHeadroom for criteria that require it.
func (p *Pool) AcquireForStream(criteria Criteria) (lease *Lease, copyHolder *Server, err error) {
	lacksHeadroom := false
	lease, err = p.acquire(true, criteria.continues(), criteria.Versions, func(now time.Time, withLimit bool) *server {
		if chosen := p.requestedServer(criteria, now); chosen != nil && (withLimit || (!chosen.limited && !p.needsPlace(chosen, now))) {
			return chosen
		}
		if criteria.RequireHeadroom {
			if chosen, isUp := p.chooseWithHeadroom(criteria, now, withLimit); isUp {
				lacksHeadroom = chosen == nil
				return chosen
			}
			lacksHeadroom = p.lacksPlaces(criteria.Service)
		}
		return p.chooseForStream(criteria, now, withLimit)
	}, func(chosen *server, now time.Time) (lease *Lease) {
		lease, copyHolder = p.leaseForStream(criteria, chosen, now)
		return lease
	})
	if lacksHeadroom && errors.Is(err, ErrNone) {
		return nil, nil, errors.Trace(ErrNoHeadroom)
	}
	return lease, copyHolder, err
}

// leaseForStream places a stream on a server, and its copy on another one. Called with the
// lock held.
func (p *Pool) leaseForStream(criteria Criteria, chosen *server, now time.Time) (lease *Lease, copyHolder *Server) {
	lease = p.newLease(chosen, &Lease{stream: true, demand: criteria.Demand, started: criteria.ServerID != "" || criteria.Prefilled, Load: p.candidate(chosen, now), account: criteria.Account, chosenAt: now})
	capacity := p.capacities[criteria.Service]
	lease.CanMove = capacity.SupportsMoves && capacity.SupportsCopies
	if !capacity.SupportsCopies || criteria.WithoutCopy {
		return lease, nil
	}
	lease.copyHolder = p.chooseForCopy(criteria, chosen, now)
	if lease.copyHolder == nil {
		lease.signalCopyLost()
		return lease, nil
	}
	lease.copyHolder.copyTokens += criteria.Demand.Tokens()
	copied := lease.copyHolder.Server
	return lease, &copied
}

// requestedServer returns the server that the criteria name, or nil if it may not take
// work or is down.
func (p *Pool) requestedServer(criteria Criteria, now time.Time) *server {
	s := p.servers[criteria.ServerID]
	if s == nil || !s.takesRequests(now) || !s.terminatedAt.IsZero() || p.versionFilter(criteria.Service, criteria.Versions.unbounded()).excludes(s) {
		return nil
	}
	return s
}

// chooseForStream chooses a server of the first part of the choices that has capacity. Called with
// the lock held.
func (p *Pool) chooseForStream(criteria Criteria, now time.Time, withLimit bool) *server {
	filter := p.versionFilter(criteria.Service, criteria.Versions)
	usable := p.usableServers(criteria.Service, criteria.Tried, filter, now, withLimit)
	parts := usable.inOrder(filter)
	for i := range parts {
		chosen, fits := p.chooseFrom(&parts[i], criteria.Demand)
		if chosen != nil && (fits || i == len(parts)-1) {
			return chosen
		}
	}
	return nil
}

// chooseFrom chooses among the servers of this VM's cell, and among all servers if those of
// the cell are down or have no capacity. Fits reports whether the chosen one is up and has
// capacity. Called with the lock held.
func (p *Pool) chooseFrom(usable *choices, demand placement.Demand) (chosen *server, fits bool) {
	cell := p.inCell(usable)
	if at, found := placement.ChooseForStream(cell.candidates, demand); found && isFree(cell.candidates[at], demand) {
		return cell.servers[at], true
	}
	if at, found := placement.ChooseForStream(usable.candidates, demand); found {
		return usable.servers[at], isFree(usable.candidates[at], demand)
	}
	return nil, false
}

func isFree(c placement.Candidate, demand placement.Demand) bool {
	return !c.Avoided && placement.Fits(c, demand)
}

// chooseForCopy chooses the holder of a stream's copy in the same way; nil if no server
// has capacity. It has the version of the stream's server, as the stream can't go on at another.
// Called with the lock held.
func (p *Pool) chooseForCopy(criteria Criteria, chosen *server, now time.Time) *server {
	if p.versionFilter(criteria.Service, VersionRule{Exact: true, Only: chosen.exactVersion()}).excludes(chosen) {
		return nil
	}
	usable := p.usableServers(criteria.Service, map[string]bool{chosen.ID: true}, nil, now, true)
	usable = usable.ofExactVersion(chosen.exactVersion())
	for i, s := range usable.servers {
		// The stream could not continue there once the limit is reached.
		usable.candidates[i].Avoided = usable.candidates[i].Avoided || s.limited
	}
	cell := p.inCell(&usable)
	if at, found := placement.ChooseCopyHolder(cell.candidates, chosen.FailureDomain, criteria.Demand); found && !cell.candidates[at].Avoided {
		return cell.servers[at]
	}
	if at, found := placement.ChooseCopyHolder(usable.candidates, chosen.FailureDomain, criteria.Demand); found && !usable.candidates[at].Avoided {
		return usable.servers[at]
	}
	return nil
}

// usableServers lists the servers of a service that may take new work, with a candidate
// for each. The order is random, so that VMs with the same view don't all choose the
// first. Called with the lock held.
func (p *Pool) usableServers(service string, tried map[string]bool, filter *versionFilter, now time.Time, withLimit bool) choices {
	p.forgetExpiredPeers(now)
	usable := []*server{}
	for _, s := range p.servers {
		if s.Service == service && s.acceptsWork() && !s.inBackoff(now) && !s.isDenied(now) && !tried[s.ID] && (withLimit || (!s.limited && !p.needsPlace(s, now))) && !filter.excludes(s) {
			usable = append(usable, s)
		}
	}
	slices.SortFunc(usable, byID)
	for i := len(usable) - 1; i > 0; i-- {
		j := int(p.options.Draw() * float64(i+1))
		usable[i], usable[j] = usable[j], usable[i]
	}
	candidates := make([]placement.Candidate, len(usable))
	for i, s := range usable {
		candidates[i] = p.candidate(s, now)
	}
	return choices{usable, candidates}
}

// candidate describes a server to package placement.
func (p *Pool) candidate(s *server, now time.Time) placement.Candidate {
	load := s.load()
	fromPeers := p.peerTotals[s.ID]
	load.PendingTokens += fromPeers.PendingTokens
	load.Running += fromPeers.Running
	load.Pending += fromPeers.Pending
	load.MemoryTokens += fromPeers.MemoryTokens
	return placement.Candidate{
		ID:            s.ID,
		FailureDomain: s.FailureDomain,
		Slots:         s.Slots,
		Avoided:       s.down || now.Before(s.avoidUntil) || now.Sub(s.terminatedAt) < terminationTTL || p.isSuspect(s, now),
		Pending:       load.Pending,
		PendingTokens: load.PendingTokens,
		Running:       load.Running,
		MemoryTokens:  load.MemoryTokens,
		CacheTokens:   p.capacities[s.Service].CacheTokens,
		Calls:         s.calls,
		FailureRate:   s.decayedFailures(now),
		LatencyMillis: s.decayedLatency(now),
		Connected:     p.options.HasIdle(s.Address),
	}
}

// isSuspect reports whether another server of the failure domain was lost within
// suspicionTTL and nothing was received from this one since.
func (p *Pool) isSuspect(s *server, now time.Time) bool {
	lossAt := p.lossAt[s.group]
	return now.Sub(lossAt) < suspicionTTL && s.lastActivityAt.Before(lossAt)
}

// SetCell sets the cell of this VM and the number of cells; see placement.Cells.
func (p *Pool) SetCell(cell, cells int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cells != cells {
		p.cellOf = nil
	}
	p.cell, p.cells = cell, cells
}

// inCell returns those of the servers that are in this VM's cell. Called with the lock
// held.
func (p *Pool) inCell(usable *choices) (found choices) {
	if p.cells <= 1 {
		return *usable
	}
	if p.cellOf == nil {
		p.assignCells()
	}
	for i, s := range usable.servers {
		if p.cellOf[s.Address] == p.cell {
			found.add(s, usable.candidates[i])
		}
	}
	return found
}

// assignCells assigns all listed servers to cells, separately for each service and
// failure domain. Called with the lock held.
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
