package pool

import (
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/peer/permit"
)

// The servers of a service may be brittle: one that refuses too many requests in a second because it is
// full crashes. Each request to such a service needs a place at its server, from an issuer that serves all
// VMs; see package permit. That holds for the service, since a server that comes back says
// that it is brittle only when it answers.

// brittleTTL is how long a service counts as brittle after the last answer that said so. All answers do.
const brittleTTL = 5 * time.Second

// brittleness is what the servers of a service said last.
type brittleness struct {
	tolerated int // Refusals in a second that a server bears.
	until     time.Time
}

// recordBrittle records that a server of a service said that it is brittle. Called with the lock held.
func (p *Pool) recordBrittle(service string, tolerated int, now time.Time) {
	if !now.Before(p.brittle[service].until) {
		p.options.Go(func() { p.options.OnBrittle(service, tolerated) })
	}
	p.brittle[service] = brittleness{tolerated: tolerated, until: now.Add(brittleTTL)}
}

// needsPlace reports whether requests to a server need a place. Called with the lock held.
func (p *Pool) needsPlace(s *server, now time.Time) bool {
	return now.Before(p.brittle[s.Service].until)
}

// lacksPlaces reports whether a server of a service had no place lately. Called with the lock held.
func (p *Pool) lacksPlaces(service string) bool {
	now := p.options.Now()
	for _, s := range p.servers {
		if s.Service == service && s.acceptsWork() && !s.down && now.Before(s.noPlaceUntil) {
			return true
		}
	}
	return false
}

// takePlace takes a place at a brittle server; 0 if it needs none. Called with the lock held, which is
// released meanwhile.
func (p *Pool) takePlace(chosen *server, versions VersionRule, isStream bool, now time.Time) (serial uint64, err error) {
	if !p.needsPlace(chosen, now) {
		return 0, nil
	}
	request := permit.Request{Key: placeKey(chosen.Server), Places: max(chosen.Slots, 1), Tolerated: p.brittle[chosen.Service].tolerated, Lasting: isStream}
	p.mu.Unlock()
	reply := p.options.TakePermit(request)
	p.mu.Lock()
	now = p.options.Now()
	switch {
	case !reply.Granted:
		chosen.noPlaceUntil = now.Add(max(reply.Wait, minPermitWait))
		return 0, errors.Trace(ErrNoPermit)
	case !p.mayStillTake(chosen, versions, now):
		p.observePlace(chosen.Server, permit.Observation{Serial: reply.Serial, Ended: true})
		return 0, errors.Trace(ErrNoPermit)
	}
	return reply.Serial, nil
}

// observePlace reports what became of a request that has a place.
func (p *Pool) observePlace(s Server, observation permit.Observation) {
	observation.Key, observation.Place = placeKey(s), true
	p.options.Go(func() { p.options.ObservePermit(observation) })
}

// endPlace returns the place of a lease. Called with the lock held.
func (l *Lease) endPlace() {
	if l.place > 0 {
		l.pool.observePlace(l.Server, permit.Observation{Serial: l.place, Ended: true, Served: !l.stream && !l.refused, Refused: l.refused})
	}
}

// beginPlace reports that the server runs a stream. Called with the lock held.
func (l *Lease) beginPlace() {
	if l.place > 0 && !l.begun {
		l.begun = true
		l.pool.observePlace(l.Server, permit.Observation{Serial: l.place, Served: true})
	}
}

func placeKey(s Server) string {
	return "places/" + s.Process()
}

// MarkRefused records that the server refused the request because it was full.
func (l *Lease) MarkRefused() {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.refused = true
}
