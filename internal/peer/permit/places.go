package permit

import (
	"maps"
	"slices"
	"time"
)

// Brittle servers crash if they refuse too many requests in a second because they are full. The issuer
// bounds the concurrent requests of all VMs to such a server. A server whose process has just started, and one that an issuer has just taken over, begin with one place:
//
//	one place | +1 for each request that it runs, up to the slots | a refusal: half of them, and none for a while
//
// A place is held until its holder reports the end of the request or goes down, or until it expires.

const (
	// refusalWindow is the time in which a server counts the requests that it turns away.
	refusalWindow = time.Second
	// refusalFraction is the fraction of the refusals that a server bears from which on it gets no more
	// requests in that time. The rest is for requests that are on their way, and for VMs that have not heard
	// that it is brittle.
	refusalFraction = 0.5
	// placeExpiry and lastingExpiry are how long the places of calls and of streams are held whose holder
	// does not report the end.
	placeExpiry   = 4 * time.Second
	lastingExpiry = 30 * time.Second
	// placeWait is when a VM that was denied a place is to ask again.
	placeWait = 10 * time.Millisecond
)

// places are those of one server.
type places struct {
	allowed  float64
	held     map[uint64]heldPlace // By serial.
	serial   uint64
	refusals []time.Time // Within the last refusalWindow.
	limit    float64     // Places at half of which the last refusal came; 0 if none did.
	usedAt   time.Time
}

type heldPlace struct {
	holder string
	until  time.Time
}

// takePlace takes a place at a server.
func (i *Issuer) takePlace(request Request, now time.Time) Reply {
	p := i.placesOf(request.Key, now)
	p.expire(now)
	if wait := p.restUntil(request.Tolerated).Sub(now); wait > 0 {
		return Reply{Wait: wait}
	}
	if float64(len(p.held)) >= max(min(p.allowed, float64(request.Places)), 1) {
		return Reply{Wait: placeWait}
	}
	expiry := placeExpiry
	if request.Lasting {
		expiry = lastingExpiry
	}
	p.serial++
	p.held[p.serial] = heldPlace{holder: request.Holder, until: now.Add(expiry)}
	return Reply{Granted: true, Serial: p.serial}
}

// Release returns the places of processes that went down.
func (i *Issuer) Release(holders []string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, p := range i.places {
		maps.DeleteFunc(p.held, func(_ uint64, held heldPlace) bool { return slices.Contains(holders, held.holder) })
	}
}

// observePlace applies what became of a request that has a place.
func (i *Issuer) observePlace(o Observation, now time.Time) {
	p := i.placesOf(o.Key, now)
	if o.Ended {
		delete(p.held, o.Serial)
	}
	switch {
	case o.Refused:
		p.refusals = append(p.refusals, now)
		p.allowed = max(p.allowed/2, 1)
		p.limit = p.allowed
	case o.Served && p.limit > 0 && p.allowed >= p.limit:
		p.allowed += 1 / p.allowed // Additive increase above the last known capacity.
	case o.Served:
		p.allowed++
	}
	p.allowed = min(p.allowed, maxPlaces)
}

// maxPlaces bounds the places of a server, whose slots only requests name.
const maxPlaces = 1024

func (i *Issuer) placesOf(key string, now time.Time) *places {
	i.expire(now)
	p := i.places[key]
	if p == nil {
		p = &places{allowed: 1, held: map[uint64]heldPlace{}, serial: uint64(now.UnixNano())} // Serials of another issuer are unknown here.
		i.places[key] = p
	}
	p.usedAt = now
	return p
}

// expire ends places whose holders are lost, and forgets old refusals.
func (p *places) expire(now time.Time) {
	maps.DeleteFunc(p.held, func(_ uint64, held heldPlace) bool { return now.After(held.until) })
	for len(p.refusals) > 0 && now.Sub(p.refusals[0]) >= refusalWindow {
		p.refusals = p.refusals[1:]
	}
}

// restUntil returns until when the server gets no request, since it has turned away enough of them.
func (p *places) restUntil(tolerated int) time.Time {
	bound := max(int(refusalFraction*float64(tolerated)), 1)
	if len(p.refusals) < bound {
		return time.Time{}
	}
	return p.refusals[len(p.refusals)-bound].Add(refusalWindow)
}
