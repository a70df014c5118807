package pool

import (
	"time"
)

// A server's own word goes before the platform's list and before what peers say of
// the server. A server that said it is leaving gets no new work from this VM until
// another process is known to have its address, however stale the lists are that
// still name it:
//
//	server says that it leaves     list: leaving     list: gone     a stale list names it
//	|------------------------------|-----------------|--------------|------------------->
//	no new work from here on

const (
	// departureKept is for how long the word of a server that is no longer listed is
	// remembered. Lists that are older than that are not used.
	departureKept = 5 * time.Minute
	// longestRest bounds the time that a server may ask not to be sent anything, against
	// values that make no sense.
	longestRest = time.Hour
)

// ServerNotice is what a server said of itself in an answer.
type ServerNotice struct {
	// Leaving means that its process will end soon.
	Leaving bool
	// BackoffUntil is until when it wants no requests from this VM; zero if it didn't say.
	BackoffUntil time.Time
}

// Departure names a process of a server that said it is leaving.
type Departure struct {
	ServerID string `cbor:"1,keyasint"`
	Started  int64  `cbor:"2,keyasint,omitempty"` // See Server.Started.
}

type departure struct {
	Departure
	heardAt time.Time
}

// ApplyNotice takes in what a server said of itself.
func (p *Pool) ApplyNotice(from Server, word ServerNotice) {
	if word == (ServerNotice{}) {
		return
	}
	p.mu.Lock()
	now := p.options.Now()
	if known := p.servers[from.ID]; known != nil && known.isProcess(from) && word.BackoffUntil.After(known.restUntil) {
		known.restUntil = now.Add(min(word.BackoffUntil.Sub(now), longestRest))
	}
	isNews := word.Leaving && p.noteDeparture(Departure{ServerID: from.ID, Started: from.Started}, now)
	p.mu.Unlock()
	if isNews {
		p.options.OnDeparture(from)
	}
}

// ApplyPeerDepartures takes in which servers told a peer that they are leaving. In a fleet of
// several cells the watchers of a server pass that on.
func (p *Pool) ApplyPeerDepartures(told []Departure) {
	p.mu.Lock()
	now := p.options.Now()
	passOn := []Server{}
	for _, d := range told {
		isNews := p.noteDeparture(d, now)
		if known := p.servers[d.ServerID]; isNews && known != nil && p.cells > 1 && p.watches(known) {
			passOn = append(passOn, known.Server)
		}
	}
	p.mu.Unlock()
	for _, server := range passOn {
		p.options.OnDeparture(server)
	}
}

// Departures lists the listed servers that said they are leaving, for VMs that join.
func (p *Pool) Departures() []Departure {
	p.mu.Lock()
	defer p.mu.Unlock()
	told := []Departure{}
	for _, d := range p.departures {
		if known := p.servers[d.ServerID]; known != nil && known.listed && known.saidLeaving {
			told = append(told, d.Departure)
		}
	}
	return told
}

// noteDeparture reports whether it is news. Called with the lock held.
func (p *Pool) noteDeparture(d Departure, now time.Time) (isNews bool) {
	before, found := p.departures[d.ServerID]
	if found && before.Started > d.Started {
		return false // It is of an earlier process.
	}
	p.departures[d.ServerID] = departure{Departure: d, heardAt: now}
	if known := p.servers[d.ServerID]; known != nil && d.isOf(known) {
		known.saidLeaving = true
	}
	p.leaveTogether()
	return !found || before.Started != d.Started
}

// recallDeparture applies what a server said before its entry was made. Called with the
// lock held.
func (p *Pool) recallDeparture(s *server) {
	if d, found := p.departures[s.ID]; found && d.isOf(s) {
		s.saidLeaving = true
	}
}

// forgetDepartures drops those that no list may name any more. Called with the lock held.
func (p *Pool) forgetDepartures(now time.Time) {
	for id, d := range p.departures {
		if known := p.servers[id]; (known == nil || !known.listed) && now.Sub(d.heardAt) > departureKept {
			delete(p.departures, id)
		}
	}
}

// isOf reports whether the word is of the process that an entry names. Only a start that
// is known to be another tells two processes of one id apart.
func (d Departure) isOf(s *server) bool {
	return d.Started == s.Started || d.Started == 0 || s.Started == 0 || s.isUnlisted()
}

// isProcess reports whether this is the process that a server was when it was chosen.
func (s *server) isProcess(chosen Server) bool {
	return s.Address == chosen.Address && (s.Started == chosen.Started || s.isUnlisted())
}

// isLeaving reports whether the server ends soon, by its own word or its entry.
func (s *server) isLeaving() bool {
	return s.Leaving || s.saidLeaving
}

// rests reports whether the server wants no requests from this VM now.
func (s *server) rests(now time.Time) bool {
	return now.Before(s.restUntil)
}

// Availability tells what a service has to offer. RestUntil is when the first server wants
// requests again, if all that are up rest; zero otherwise.
type Availability struct {
	Listed       int // They may take work.
	Up           int // Of these, they are not down.
	BackingOff   int // Of these, they want no requests now.
	BackoffUntil time.Time
}

// Availability counts the servers of a service.
func (p *Pool) Availability(service string) Availability {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	standing := Availability{}
	for _, s := range p.servers {
		if s.Service != service || !s.takesWork() {
			continue
		}
		standing.Listed++
		if s.down {
			continue
		}
		standing.Up++
		if !s.rests(now) {
			continue
		}
		standing.BackingOff++
		if standing.BackoffUntil.IsZero() || s.restUntil.Before(standing.BackoffUntil) {
			standing.BackoffUntil = s.restUntil
		}
	}
	if standing.BackingOff < standing.Up {
		standing.BackoffUntil = time.Time{}
	}
	return standing
}

// AcceptsRequests reports whether a server wants requests that serve no caller, such as moves.
func (p *Pool) AcceptsRequests(server Server) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.servers[server.ID]
	return known == nil || !known.rests(p.options.Now())
}
