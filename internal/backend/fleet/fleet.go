// Package fleet chooses a backend server for each piece of work.
//
// # Usage
//
//	pool := fleet.New(fleet.Options{Now: time.Now, Random: rand.New(...)})
//	pool.Update(set)                                  // a new configuration
//	lease, err := pool.Pick(fleet.Ask{Version: "v1"}) // errors.Is(err, fleet.ErrNone)
//	defer lease.Release()
//	pool.Succeeded(lease.Server.Name) / pool.Failed(lease.Server.Name)
//
// Two servers are drawn at random and the one with less work is taken (power
// of two choices, Mitzenmacher 2001). Work is this VM's own count plus what the
// server reported, which lags. A server that keeps failing is ejected until a
// deadline, gets one probe then and returns with a slow start.
package fleet

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/config/object"
)

// ErrNone means that no server may take the work now.
const ErrNone = errors.ConstError("no backend server may take the work")

const (
	// ejectAfter failures in a row eject a server.
	ejectAfter = 2
	// firstEjection is doubled with each further ejection in a row, up to longestEjection.
	firstEjection   = time.Second
	longestEjection = 15 * time.Second
	// slowStart is how long a returned server gets less than its share.
	slowStart = 5 * time.Second
	// maxEjectedPart of a pool at most is ejected at any time.
	maxEjectedPart = 0.5
	// lonelySuspicion is from how many crashes on a request is kept apart from
	// other suspects.
	lonelySuspicion = 2
	// affinitySlack is how much more work, as a part of its room, a server with
	// the prefix in its cache may have and still be preferred.
	affinitySlack = 0.25
)

// Options shapes a Fleet. Random need not be safe for concurrent use.
type Options struct {
	Now    func() time.Time
	Random *rand.Rand
}

// Criteria says what the work needs. Either Version or Service is set. Suspicion is
// the number of servers that died while running the request. Prefix, when set,
// names the prompt's beginning for cache affinity.
type Criteria struct {
	Version   string
	Service   string
	Exclude   []string
	Suspicion int
	Prefix    string
}

// server is the state of one backend server on this VM.
type server struct {
	object.BackendServer
	inFlight     int
	suspects     int // Requests in flight that crashed at least one server.
	lonely       int // Requests in flight that have to be kept apart.
	reported     int // Work that the server itself reported.
	failures     int // In a row.
	ejections    int // In a row.
	ejectedUntil time.Time
	returnedAt   time.Time
	probing      bool
	prefixes     map[string]time.Time // Until when a prefix is taken to be cached.
}

// Fleet is the picture of all backend servers. It is safe for concurrent use.
type Fleet struct {
	options Options

	mu      sync.Mutex
	servers map[string]*server
}

// Lease is one server's promise of room. Release must be called in the end.
type Lease struct {
	Server   object.BackendServer
	fleet    *Fleet
	server   *server
	suspect  bool
	lonely   bool
	released bool
}

// Release gives the room back. Calling it again does nothing.
func (l *Lease) Release() {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	if l.released {
		return
	}
	l.released = true
	l.server.inFlight--
	l.clear()
}

// ClearSuspicion tells that the request is no longer suspected of crashing servers, so
// that others need not be kept apart from it.
func (l *Lease) ClearSuspicion() {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.clear()
}

func (l *Lease) clear() {
	if l.suspect {
		l.server.suspects--
	}
	if l.lonely {
		l.server.lonely--
	}
	l.suspect = false
	l.lonely = false
}

// New makes an empty fleet.
func New(options Options) *Fleet {
	return &Fleet{options: options, servers: map[string]*server{}}
}

// Update takes in a configuration. What is known of servers that stay is kept,
// unless their address changed.
func (f *Fleet) Update(set *object.Set) {
	f.mu.Lock()
	defer f.mu.Unlock()
	servers := map[string]*server{}
	for _, published := range set.BackendServers {
		known := f.servers[published.Name]
		if known == nil || known.Address != published.Address {
			known = &server{prefixes: map[string]time.Time{}}
		}
		known.BackendServer = published
		servers[published.Name] = known
	}
	f.servers = servers
}

// Pick chooses a server and takes room on it.
func (f *Fleet) Pick(ask Criteria) (*Lease, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Now()
	candidates := f.candidates(ask, now)
	if len(candidates) == 0 {
		return nil, errors.Trace(ErrNone)
	}
	chosen := f.choose(candidates, ask, now)
	return f.take(chosen, ask, now), nil
}

// candidates lists the servers that may take the work, in name order so that a
// seeded source of random numbers gives the same choices.
func (f *Fleet) candidates(ask Criteria, now time.Time) []*server {
	candidates := []*server{}
	ejected := 0
	matching := []*server{}
	for _, s := range f.servers {
		if s.serves(ask) {
			matching = append(matching, s)
		}
	}
	slices.SortFunc(matching, func(a, b *server) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	for _, s := range matching {
		if !s.open(now) {
			ejected++
			continue
		}
		if s.fits(ask) {
			candidates = append(candidates, s)
		}
	}
	if float64(ejected) > maxEjectedPart*float64(len(matching)) {
		return f.forgiven(matching, candidates, ask, now)
	}
	return candidates
}

func (s *server) serves(ask Criteria) bool {
	if s.State == object.ServerLeaving {
		return false
	}
	if ask.Service != "" {
		return s.Service == ask.Service
	}
	return slices.Contains(s.Versions, ask.Version)
}

// fits reports whether the request may share the server with what it runs. A
// request under strong suspicion is kept apart from every other suspect.
func (s *server) fits(ask Criteria) bool {
	if slices.Contains(ask.Exclude, s.Name) {
		return false
	}
	if ask.Suspicion >= lonelySuspicion {
		return s.suspects == 0
	}
	return ask.Suspicion == 0 || s.lonely == 0
}

func (f *Fleet) take(s *server, ask Criteria, now time.Time) *Lease {
	s.inFlight++
	if s.ejections > 0 {
		s.probing = true
	}
	if ask.Prefix != "" {
		s.remember(ask.Prefix, now)
	}
	lease := &Lease{Server: s.BackendServer, fleet: f, server: s}
	lease.suspect = ask.Suspicion > 0
	lease.lonely = ask.Suspicion >= lonelySuspicion
	if lease.suspect {
		s.suspects++
	}
	if lease.lonely {
		s.lonely++
	}
	return lease
}

// RecordLoad takes in a server's own, lagging word on how much work it has.
func (f *Fleet) RecordLoad(name string, work int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.servers[name]; s != nil {
		s.reported = work
	}
}

// Server finds a server by name, also one that is leaving.
func (f *Fleet) Server(name string) (object.BackendServer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[name]
	if s == nil {
		return object.BackendServer{}, false
	}
	return s.BackendServer, true
}

// Status is one server as operators see it.
type Status struct {
	Name         string    `json:"name"`
	Address      string    `json:"address"`
	State        string    `json:"state"`
	InFlight     int       `json:"inFlight"`
	Reported     int       `json:"reported"`
	EjectedUntil time.Time `json:"ejectedUntil"`
}

// Status lists all servers by name.
func (f *Fleet) Status() []Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := []Status{}
	for _, s := range f.servers {
		status := Status{Name: s.Name, Address: s.Address, State: "active", InFlight: s.inFlight, Reported: s.reported}
		if s.State == object.ServerLeaving {
			status.State = "leaving"
		}
		if s.ejections > 0 {
			status.State = "ejected"
			status.EjectedUntil = s.ejectedUntil
		}
		all = append(all, status)
	}
	slices.SortFunc(all, func(a, b Status) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return all
}

// Capacity is how much work all servers of a version or service take side by side.
func (f *Fleet) Capacity(ask Criteria) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	room := 0
	for _, s := range f.servers {
		if s.serves(ask) {
			room += s.MaxConcurrent
		}
	}
	return room
}
