package pool

import (
	"time"

	"github.com/endivespoke/endivespoke/internal/backend/placement"
)

// Small streams take the headroom of a full fleet as soon as some is free on any server, so that there
// is never enough for a large one. It reserves its memory on one server instead, where others then
// see less headroom, and begins there when the streams that fill it have ended.

// largeFactor is how many times the usual memory a stream needs to be large.
const largeFactor = 1.5

// Reservation is the memory that a large stream reserves on a server while it waits.
type Reservation struct {
	pool     *Pool
	server   *server
	tokens   int
	released bool
}

// Reserve reserves the memory of a large stream on the server of this VM's cell that has the most
// left; nil if the stream is not large, or no such server is up.
func (p *Pool) Reserve(criteria Criteria) *Reservation {
	p.mu.Lock()
	defer p.mu.Unlock()
	usual, tokens := p.averagesOf(criteria.Service).tokens, criteria.Demand.Tokens()
	if usual == 0 || float64(tokens) < largeFactor*usual || p.capacities[criteria.Service].CacheTokens < tokens {
		return nil
	}
	usable := p.usableServers(criteria.Service, criteria.Tried, p.versionFilter(criteria.Service, criteria.Versions), p.options.Now(), false)
	cell := p.inCell(&usable)
	cell = p.reservable(&cell, criteria.Demand)
	at, found := placement.ChooseLeastMemory(cell.candidates)
	if !found {
		return nil
	}
	cell.servers[at].reservedTokens += tokens
	return &Reservation{pool: p, server: cell.servers[at], tokens: tokens}
}

// reservable returns the servers on which the demand fits beside what is reserved there: streams whose
// reservations exceed a server together would wait for each other. Called with the lock held.
func (p *Pool) reservable(usable *choices, demand placement.Demand) (found choices) {
	for i, s := range usable.servers {
		reserved := s.reservedTokens + p.peerTotals[s.ID].ReservedTokens
		if reserved == 0 || placement.Fits(placement.Candidate{MemoryTokens: reserved, CacheTokens: usable.candidates[i].CacheTokens}, demand) {
			found.add(s, usable.candidates[i])
		}
	}
	return found
}

// IsHeld reports whether memory is still reserved. It is not if the server was lost since, or takes no
// more work.
func (r *Reservation) IsHeld() bool {
	if r == nil {
		return false
	}
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	return !r.released
}

// Release gives the memory back. Further calls have no effect.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	defer r.pool.options.OnHeadroom()
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	r.release()
}

func (r *Reservation) release() {
	if !r.released {
		r.released = true
		r.server.reservedTokens -= r.tokens
	}
}

// takeReserved returns the reserved server if it has headroom now, and nil otherwise. The lease takes
// the place of the reservation, which ends if the server is lost or takes no more work. Called with the
// lock held.
func (p *Pool) takeReserved(criteria Criteria, now time.Time) *server {
	r := criteria.Reservation
	if r == nil || r.released {
		return nil
	}
	isListed := p.servers[r.server.ID] == r.server && r.server.acceptsWork()
	if !isListed || r.server.down || p.versionFilter(criteria.Service, criteria.Versions).excludes(r.server) {
		r.release()
		return nil
	}
	if r.server.inBackoff(now) || r.server.limited {
		return nil
	}
	candidate := p.candidate(r.server, now)
	candidate.MemoryTokens -= r.tokens
	headroom := p.headroomFor(criteria.Service, Need{Demand: criteria.Demand, Rank: criteria.Rank, FirstEventBy: criteria.FirstEventBy}, now)
	if candidate.Avoided || !placement.HasHeadroom(candidate, headroom) {
		return nil
	}
	r.release()
	return r.server
}
