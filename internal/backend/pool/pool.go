// Package pool holds what this VM knows of each backend server: what the
// platform lists, the work this VM and its peers have there, and how the server
// answered. It chooses servers by package placement.
//
// # Usage
//
//	servers := pool.New(pool.Options{Check: connections.Check, Now: time.Now, Draw: rand.Float64})
//	servers.Update(listed)
//	lease, err := servers.Call("booking", tried)       // errors.Is(err, pool.ErrNone)
//	lease, backup, err := servers.Stream(ask)
//	defer lease.Release()
//
// A server whose connection broke is checked by opening a new one. If that
// fails, the server is down: every lease on it is told, and it is avoided until
// a later check succeeds; loss.go tells who checks what in a large fleet. What a
// server says of itself goes before all that; see word.go.
package pool

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
)

// ErrNone means that no server may take the work.
const ErrNone = errors.ConstError("no backend server may take the work")

// Server is one backend server as the platform lists it.
type Server struct {
	ID            string
	Address       string
	Service       string
	FailureDomain string
	Slots         int
	Leaving       bool
	// Started is when its process started, in Unix milliseconds of its own clock; 0
	// if it does not tell.
	Started int64
}

// Options shapes a Pool. Draw gives random numbers in [0, 1) and must be safe
// for concurrent use. OnChange is told when a server went down or came back, and
// Tell has the peers told of a loss that this VM found itself.
type Options struct {
	Now      func() time.Time
	Draw     func() float64
	Check    func(ctx context.Context, address string) error
	OnChange func(server Server, down bool, reason string)
	//
	// In a fleet of several cells only the watchers of a group of servers check those on
	// which they have no work: Watches tells whether this VM is one, nil for yes, and
	// TellUp has the others told that a server accepts connections.
	AnnounceLoss func(server Server, ended bool)
	AnnounceUp   func(server Server)
	Watches      func(group string) bool
	// OnDeparture is told of a server that told this VM that it is leaving.
	OnDeparture func(server Server)
	// Go runs a check beside the caller; nil for a goroutine. Simulations run it as an
	// event of their own time.
	Go func(do func())
	// HasIdle reports whether an open connection to an address is kept.
	HasIdle    func(address string) bool
	Successors Successors
}

// Pool is safe for concurrent use.
type Pool struct {
	options Options

	mu         sync.Mutex
	servers    map[string]*server
	peers      map[string]peerLoads
	others     map[string]Load      // The peers' work by server, summed.
	rooms      map[string]Capacity  // By service.
	lossAt     map[string]time.Time // By group.
	departures map[string]departure // By server ID.
	cell       int                  // This VM's.
	cells      int                  // 0 and 1 for a fleet that is not split.
	cellOf     map[string]int       // Of the servers, by address; nil until it is needed.

	recheckedAt time.Time
	pausedAt    time.Time // When this process last went on after a pause.
}

// Group names the servers that are likely to fail together.
func (s Server) Group() string {
	return s.Service + "/" + s.FailureDomain
}

// Process names the server's process: one that starts again under the same ID has another.
func (s Server) Process() string {
	return fmt.Sprintf("%s/%d", s.ID, s.Started)
}

type server struct {
	Server
	group       string // Server.Group, which each choice needs of each server.
	listed      bool
	replaced    bool      // Another instance has the address.
	saidLeaving bool      // It told this VM or a peer that it is leaving.
	restUntil   time.Time // It wants no requests from this VM until then.
	endedAt     time.Time // When its process was found to be gone; zero if it was not.
	toldAt      time.Time // When a peer told that it is down.
	avoidUntil  time.Time // A peer told that it is down, and this VM has not checked it.
	announcedAt time.Time // When this VM, which watches it, last told that it is down.
	down        bool
	checking    bool
	recheckAt   time.Time
	heardAt     time.Time // From its address: also when a check succeeded.
	answeredAt  time.Time // From its process.
	upAt        time.Time // When a check succeeded last.
	lostAt      time.Time // When it, or the process before it, was found lost; zero if none was.
	identifying bool      // Its address is being asked for the id of the process there.
	identified  bool      // The process there has told its id.
	foundAt     time.Time // When it was found without the list; zero if it is listed.
	dropAt      time.Time
	leases      map[*Lease]bool
	copies      int // Tokens of copies that this VM placed there.
	calls       int
	failureRate float64
	failureAt   time.Time
	latency     float64
}

// New makes an empty pool.
func New(options Options) *Pool {
	if options.AnnounceLoss == nil {
		options.AnnounceLoss = func(Server, bool) {}
	}
	if options.AnnounceUp == nil {
		options.AnnounceUp = func(Server) {}
	}
	if options.Watches == nil {
		options.Watches = func(string) bool { return true }
	}
	if options.Go == nil {
		options.Go = func(do func()) { go do() }
	}
	if options.HasIdle == nil {
		options.HasIdle = func(string) bool { return false }
	}
	if options.OnDeparture == nil {
		options.OnDeparture = func(Server) {}
	}
	if options.OnChange == nil {
		options.OnChange = func(Server, bool, string) {}
	}
	return &Pool{options: options, servers: map[string]*server{}, peers: map[string]peerLoads{}, others: map[string]Load{}, lossAt: map[string]time.Time{}, departures: map[string]departure{}}
}

// Update replaces the list of servers. What is known of those that stay is kept.
func (p *Pool) Update(listed []Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		s.listed = s.isUnlisted()
	}
	for _, entry := range listed {
		known := p.servers[entry.ID]
		if known == nil || known.Address != entry.Address || known.Service != entry.Service || (known.Started != entry.Started && !known.isUnlisted()) {
			lostAt := time.Time{}
			if known != nil {
				p.replace(known)
				lostAt = known.lostAt
			}
			known = &server{leases: map[*Lease]bool{}, lostAt: lostAt}
			p.servers[entry.ID] = known
		}
		known.Server, known.group = entry, entry.Group()
		known.listed = true
		known.foundAt = time.Time{}
		p.recallDeparture(known)
	}
	p.forgetDepartures(p.options.Now())
	p.supersede()
	p.cellOf = nil
	p.leaveTogether()
	for id, s := range p.servers {
		if !s.listed && len(s.leases) == 0 {
			delete(p.servers, id)
		}
	}
}

// leaveTogether tells the streams whose server and whose copy's holder are both leaving:
// they may end within the same moment, and the prompt would have to be read again. Called
// with the lock held.
func (p *Pool) leaveTogether() {
	for _, s := range p.servers {
		for lease := range s.leases {
			if lease.backup != nil && s.leaves() && lease.backup.leaves() {
				lease.tellCopyLost()
			}
		}
	}
}

// leaves reports whether the server will end soon: it says so, or took its entry away.
func (s *server) leaves() bool {
	return s.isLeaving() || !s.listed
}

// supersede finds entries whose address has a process that started later.
func (p *Pool) supersede() {
	newest := map[string]*server{}
	for _, s := range p.servers {
		if other := newest[s.Address]; s.listed && (other == nil || s.Started > other.Started) {
			newest[s.Address] = s
		}
	}
	for _, s := range p.servers {
		if other := newest[s.Address]; other != nil && other.Started > s.Started {
			p.replace(s)
		}
	}
}

// replace notes that another process has a server's address. Work on it has ended, even if
// its connection is only silent, and the copies it held are gone. Called with the lock held.
func (p *Pool) replace(s *server) {
	if s.replaced {
		return
	}
	s.replaced = true
	s.noteLost(p.options.Now())
	p.endWork(s)
}

// Capacity is what each server of a service offers to streams: its memory in tokens,
// whether it holds copies of other servers' runs, and whether it moves runs.
type Capacity struct {
	CacheTokens    int
	SupportsCopies bool
	SupportsMoves  bool
}

// SetCapacities takes in what the services offer.
func (p *Pool) SetCapacities(rooms map[string]Capacity) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rooms = rooms
}

// ordered lists the servers by ID, so that what follows depends on Draw alone and not on
// the order of a map: a simulation's seed then plays the same each time.
func (p *Pool) ordered() []*server {
	return slices.SortedFunc(maps.Values(p.servers), byID)
}

func byID(a, b *server) int {
	return strings.Compare(a.ID, b.ID)
}

func (s *server) takesWork() bool {
	return s.listed && !s.isLeaving() && !s.replaced
}

// Calls is the number of short calls in flight from this VM.
func (p *Pool) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	calls := 0
	for _, s := range p.servers {
		calls += s.calls
	}
	return calls
}
