// Package fleet chooses a backend server for each piece of work.
//
// # Usage
//
//	pool := fleet.New(fleet.Options{Now: time.Now, Random: rand.New(...)})
//	pool.Update(set) // A new configuration.
//	lease, err := pool.Pick(fleet.Criteria{Version: "v1"}) // errors.Is(err, fleet.ErrNone)
//	defer lease.Release()
//	pool.RecordSuccess(lease.Server.Name) // Or pool.RecordFailure.
//
// Two servers are drawn at random and the one with less work is chosen (power of two
// choices, Mitzenmacher 2001). Work is the larger of this VM's own count and the load
// that the server reported, which lags. A server that keeps failing is ejected for a
// limited time, then gets one probe and returns with a slow start.
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
	// ejectAfter is the number of consecutive failures that eject a server.
	ejectAfter = 2
	// initialEjection is doubled with each further consecutive ejection, up to
	// maxEjection.
	initialEjection = time.Second
	maxEjection     = 15 * time.Second
	// slowStart is how long a returned server gets less than its share.
	slowStart = 5 * time.Second
	// maxEjectedFraction is the largest fraction of a pool that is ejected at any time.
	maxEjectedFraction = 0.5
	// isolationThreshold is the number of crashes from which a request is isolated from
	// other suspects.
	isolationThreshold = 2
	// affinitySlack is how much higher the load of a server with the prefix in its cache
	// may be, as a fraction of its capacity, for it to be preferred.
	affinitySlack = 0.25
)

// Options configures a Fleet. Random need not be safe for concurrent use.
type Options struct {
	Now    func() time.Time
	Random *rand.Rand
}

// Criteria describes what the work requires. Either Version or Service is set. Suspicion
// is the number of servers that crashed while running the request. Content identifies what
// the request asks for. Suspects are the contents, at all VMs, that are to be isolated from
// each other, the likeliest cause of crashes first; its own may be among them. Crashed lists the
// servers that crashed lately, which suspects get last. Prefix, when set, identifies the
// beginning of the prompt for cache affinity. With PinnedSoftware, only servers of
// SoftwareVersion may take the work.
type Criteria struct {
	Version   string
	Service   string
	Exclude   []string
	Suspicion int
	Content   string
	Suspects  []string
	Crashed   []string
	Isolation Isolation
	Prefix    string

	SoftwareVersion string
	PinnedSoftware  bool
}

// Isolation is which requests may not run on the server of a request at or above
// isolationThreshold. Requests of this VM at or above it never may.
type Isolation int

// The kinds of isolation, the strictest first.
const (
	// FromAllSuspects excludes all requests of this VM under which a server crashed.
	FromAllSuspects Isolation = iota
	// FromSuspectsOfAllVMs excludes the Suspects.
	FromSuspectsOfAllVMs
	// FromSuspectsOfThisVM excludes no others.
	FromSuspectsOfThisVM
)

// server is the state of one backend server on this VM.
type server struct {
	object.BackendServer
	inFlight     int
	suspects     int // Requests in flight that crashed at least one server.
	isolated     int // Requests in flight that have to be isolated.
	reported     int // Work that the server itself reported.
	failures     int // Consecutive.
	ejections    int // Consecutive.
	ejectedUntil time.Time
	returnedAt   time.Time
	probing      bool
	prefixes     map[string]time.Time // Until when each prefix is assumed to be cached.
}

// Fleet is the state of all backend servers as seen by this VM. It is safe for concurrent
// use.
type Fleet struct {
	options Options

	mu      sync.Mutex
	servers map[string]*server
}

// Lease is a reservation of capacity on one server. Release must be called at the end.
type Lease struct {
	Server   object.BackendServer
	fleet    *Fleet
	server   *server
	suspect  bool
	isolated bool
	released bool
}

// Release returns the capacity. Further calls have no effect.
func (l *Lease) Release() {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	if l.released {
		return
	}
	l.released = true
	l.server.inFlight--
	l.clearSuspicion()
}

// ClearSuspicion records that the request is no longer suspected of crashing servers, so
// that others need not be isolated from it.
func (l *Lease) ClearSuspicion() {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.clearSuspicion()
}

func (l *Lease) clearSuspicion() {
	if l.suspect {
		l.server.suspects--
	}
	if l.isolated {
		l.server.isolated--
	}
	l.suspect = false
	l.isolated = false
}

// New returns an empty fleet.
func New(options Options) *Fleet {
	return &Fleet{options: options, servers: map[string]*server{}}
}

// Update applies a configuration. The state of servers that stay is kept, unless their
// address changed.
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

// Pick chooses a server and reserves capacity on it.
func (f *Fleet) Pick(criteria Criteria) (*Lease, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Now()
	candidates := f.candidates(criteria, now)
	if len(candidates) == 0 {
		return nil, errors.Trace(ErrNone)
	}
	chosen := f.choose(candidates, criteria, now)
	return f.acquire(chosen, criteria, now), nil
}

// candidates lists the servers that may take the work, in an order that is always the same, so
// that a seeded source of random numbers gives the same choices.
func (f *Fleet) candidates(criteria Criteria, now time.Time) []*server {
	candidates := []*server{}
	ejected, usable := 0, 0
	matching := []*server{}
	for _, s := range f.servers {
		if s.serves(criteria) {
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
		if !criteria.allows(s) {
			continue
		}
		usable++
		if !s.admits(now) {
			ejected++
		}
	}
	fitting := []*server{}
	// Suspects are assigned servers of all software versions: others may choose among all of them.
	for _, s := range assigned(matching, criteria) {
		if !criteria.allows(s) || slices.Contains(criteria.Exclude, s.Name) {
			continue
		}
		if s.fits(criteria) {
			fitting = append(fitting, s)
		}
		if s.admits(now) && s.fits(criteria) {
			candidates = append(candidates, s)
		}
		if s.admits(now) && criteria.isIsolated() {
			break // It waits for this one: other VMs send requests with its content there too.
		}
	}
	if float64(ejected) > maxEjectedFraction*float64(usable) {
		return f.earliestEjected(fitting, candidates, now)
	}
	return candidates
}

func (s *server) serves(criteria Criteria) bool {
	if s.State == object.ServerLeaving {
		return false
	}
	if criteria.Service != "" {
		return s.Service == criteria.Service
	}
	return slices.Contains(s.Versions, criteria.Version)
}

// allows reports whether the work may go to a server's software.
func (c *Criteria) allows(s *server) bool {
	return !c.PinnedSoftware || s.SoftwareVersion == c.SoftwareVersion
}

// fits reports whether the request may share the server with what runs there.
func (s *server) fits(criteria Criteria) bool {
	if criteria.isIsolated() && criteria.Isolation == FromAllSuspects {
		return s.suspects == 0
	}
	return criteria.Suspicion == 0 || s.isolated == 0
}

func (f *Fleet) acquire(s *server, criteria Criteria, now time.Time) *Lease {
	s.inFlight++
	if s.ejections > 0 {
		s.probing = true
	}
	if criteria.Prefix != "" {
		s.recordPrefix(criteria.Prefix, now)
	}
	lease := &Lease{Server: s.BackendServer, fleet: f, server: s}
	lease.suspect = criteria.Suspicion > 0
	lease.isolated = criteria.Suspicion >= isolationThreshold
	if lease.suspect {
		s.suspects++
	}
	if lease.isolated {
		s.isolated++
	}
	return lease
}

// RecordLoad records the amount of work that a server reported, which lags.
func (f *Fleet) RecordLoad(name string, work int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.servers[name]; s != nil {
		s.reported = work
	}
}

// Server returns a server by name, even if it is leaving.
func (f *Fleet) Server(name string) (object.BackendServer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[name]
	if s == nil {
		return object.BackendServer{}, false
	}
	return s.BackendServer, true
}

// Status is the state of one server as shown to operators.
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

// Capacity returns how much work all servers of a version or service take concurrently.
func (f *Fleet) Capacity(criteria Criteria) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	capacity := 0
	for _, s := range f.servers {
		if s.serves(criteria) && criteria.allows(s) {
			capacity += s.MaxConcurrent
		}
	}
	return capacity
}
