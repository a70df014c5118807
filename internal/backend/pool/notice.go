package pool

import (
	"time"
)

// What a server reports of itself takes precedence over the platform's list and over the
// reports of peers. A server that reported that it is leaving gets no new work from this
// VM until another process is known to have its address, even if stale lists still name
// it:
//
//	server reports leaving         list: leaving     list: gone     a stale list names it
//	|------------------------------|-----------------|--------------|------------------->
//	no new work from here on

const (
	// departureRetention is how long the departure of a server that is no longer listed
	// is kept. Lists that are older than that are not used.
	departureRetention = 5 * time.Minute
	// maxBackoff bounds the time for which a server may ask for no requests, as a guard
	// against invalid values.
	maxBackoff = time.Hour
)

// ServerNotice is what a server reported of itself in an answer.
type ServerNotice struct {
	// Leaving means that its process will terminate soon.
	Leaving bool
	// BackoffUntil is the time until which it asks for no requests from this VM; zero if
	// it asks for none such.
	BackoffUntil time.Time
	// Shared means that the answer came through another VM: the server may take both as one.
	Shared bool
	// Limited means that it names a limit: Limit is the number of requests a second that
	// it takes from all VMs together.
	Limited bool
	Limit   float64
	// Brittle means that servers of its service crash if they refuse more than Tolerated requests in a second
	// because they are full.
	Brittle   bool
	Tolerated int
}

// Departure identifies a process of a server that reported that it is leaving.
type Departure struct {
	ServerID string `cbor:"1,keyasint"`
	Started  int64  `cbor:"2,keyasint,omitempty"` // See Server.Started.
}

type departure struct {
	Departure
	receivedAt time.Time
}

// ApplyNotice applies what a server reported of itself.
func (p *Pool) ApplyNotice(from Server, notice ServerNotice) {
	if notice == (ServerNotice{Shared: notice.Shared}) {
		return
	}
	p.mu.Lock()
	now := p.options.Now()
	if notice.Brittle {
		p.recordBrittle(from.Service, notice.Tolerated, now)
	}
	if known := p.servers[from.ID]; known != nil && known.isSameProcess(from) && notice.BackoffUntil.After(known.backoffUntil) {
		left := min(notice.BackoffUntil.Sub(now), maxBackoff)
		known.backoffUntil = now.Add(left)
		if notice.Shared || p.options.IsDetour() {
			backoff := Backoff{ServerID: from.ID, Started: from.Started, Millis: left.Milliseconds()}
			p.options.Go(func() { p.options.AnnounceBackoff(backoff) })
		}
	}
	isNew := notice.Leaving && p.recordDeparture(Departure{ServerID: from.ID, Started: from.Started}, now)
	p.mu.Unlock()
	if isNew {
		p.options.OnDeparture(from)
	}
}

// Backoff is the time for which a server asked for no requests.
type Backoff struct {
	ServerID string `cbor:"1,keyasint"`
	Started  int64  `cbor:"2,keyasint,omitempty"` // See Server.Started.
	Millis   int64  `cbor:"3,keyasint"`
}

// ApplyPeerBackoffs applies what servers asked of VMs that share connections with others.
func (p *Pool) ApplyPeerBackoffs(reported []Backoff) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	for _, b := range reported {
		until := now.Add(min(time.Duration(max(b.Millis, 0))*time.Millisecond, maxBackoff))
		if known := p.servers[b.ServerID]; known != nil && known.isProcess(b.Started) && until.After(known.backoffUntil) {
			known.backoffUntil = until
		}
	}
}

// ApplyPeerDepartures applies the departures that a peer reported. In a fleet of several
// cells the watchers of a server forward them.
func (p *Pool) ApplyPeerDepartures(reported []Departure) {
	p.mu.Lock()
	now := p.options.Now()
	forward := []Server{}
	for _, d := range reported {
		isNew := p.recordDeparture(d, now)
		if known := p.servers[d.ServerID]; isNew && known != nil && p.cells > 1 && p.watches(known) {
			forward = append(forward, known.Server)
		}
	}
	p.mu.Unlock()
	for _, server := range forward {
		p.options.OnDeparture(server)
	}
}

// Departures lists the listed servers that reported that they are leaving, for VMs that
// join.
func (p *Pool) Departures() []Departure {
	p.mu.Lock()
	defer p.mu.Unlock()
	reported := []Departure{}
	for _, d := range p.departures {
		if known := p.servers[d.ServerID]; known != nil && known.listed && known.reportedLeaving {
			reported = append(reported, d.Departure)
		}
	}
	return reported
}

// recordDeparture records a departure and reports whether it was unknown. Called with the
// lock held.
func (p *Pool) recordDeparture(d Departure, now time.Time) (isNew bool) {
	previous, found := p.departures[d.ServerID]
	if found && previous.Started > d.Started {
		return false // It is of an earlier process.
	}
	p.departures[d.ServerID] = departure{Departure: d, receivedAt: now}
	if known := p.servers[d.ServerID]; known != nil && d.matches(known) {
		known.reportedLeaving = true
	}
	p.signalJointDepartures()
	return !found || previous.Started != d.Started
}

// applyDeparture applies a departure that was reported before the server's entry was
// created. Called with the lock held.
func (p *Pool) applyDeparture(s *server) {
	if d, found := p.departures[s.ID]; found && d.matches(s) {
		s.reportedLeaving = true
	}
}

// forgetDepartures drops the departures that no list can name any more. Called with the
// lock held.
func (p *Pool) forgetDepartures(now time.Time) {
	for id, d := range p.departures {
		if known := p.servers[id]; (known == nil || !known.listed) && now.Sub(d.receivedAt) > departureRetention {
			delete(p.departures, id)
		}
	}
}

// matches reports whether the departure is of the process that an entry names.
func (d Departure) matches(s *server) bool {
	return s.isProcess(d.Started)
}

// isProcess reports whether an entry names the process that started at a time. Two
// processes with the same id are distinguished only if both start times are known.
func (s *server) isProcess(started int64) bool {
	return started == s.Started || started == 0 || s.Started == 0 || s.isUnlisted()
}

// isSameProcess reports whether the server still has the process that it had when it was
// chosen.
func (s *server) isSameProcess(chosen Server) bool {
	return s.Address == chosen.Address && (s.Started == chosen.Started || s.isUnlisted())
}

// isLeaving reports whether the server will terminate soon, by its own report or its
// entry.
func (s *server) isLeaving() bool {
	return s.Leaving || s.reportedLeaving
}

// inBackoff reports whether the server asks for no requests from this VM now.
func (s *server) inBackoff(now time.Time) bool {
	return now.Before(s.backoffUntil)
}

// Availability counts the servers of a service by state. BackoffUntil is the earliest time
// at which a server takes requests again if all that are up take none now: they are in
// backoff, or their limits permit no more. It is zero otherwise.
type Availability struct {
	Listed       int // They may take work.
	Up           int // Those of Listed that are not down.
	BackingOff   int // Those of Up that take no requests now.
	AtLimit      int // Those of BackingOff whose limit permits no more.
	BackoffUntil time.Time
}

// Availability counts the servers of a service by state, without those that the rule excludes.
func (p *Pool) Availability(service string, versions VersionRule) Availability {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	filter := p.versionFilter(service, versions)
	availability := Availability{}
	for _, s := range p.servers {
		if s.Service != service || !s.acceptsWork() || filter.excludes(s) {
			continue
		}
		availability.Listed++
		if s.down {
			continue
		}
		availability.Up++
		if !s.inBackoff(now) && !s.isDenied(now) {
			continue
		}
		availability.BackingOff++
		until := s.backoffUntil
		if s.isDenied(now) {
			availability.AtLimit++
			if s.deniedUntil.After(until) {
				until = s.deniedUntil
			}
		}
		if availability.BackoffUntil.IsZero() || until.Before(availability.BackoffUntil) {
			availability.BackoffUntil = until
		}
	}
	if availability.BackingOff < availability.Up {
		availability.BackoffUntil = time.Time{}
	}
	return availability
}

// HasOther reports whether a server of a service takes requests now, other than the one with an ID
// and those that the rule excludes.
func (p *Pool) HasOther(service, serverID string, versions VersionRule) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	filter := p.versionFilter(service, versions)
	for _, s := range p.servers {
		if s.Service == service && s.ID != serverID && s.takesRequests(now) && !filter.excludes(s) {
			return true
		}
	}
	return false
}

// AcceptsRequests reports whether a server takes requests that serve no caller, such as
// moves: it is not in backoff, and its limit permits them.
func (p *Pool) AcceptsRequests(server Server) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.servers[server.ID]
	if known == nil {
		return true
	}
	now := p.options.Now()
	return !known.inBackoff(now) && !known.isDenied(now)
}
