// Package pool tracks the state of each backend server as seen by this VM: the entry in
// the platform's list, the work that this VM and its peers have there, and the results of
// requests. It chooses servers by package placement.
//
// # Usage
//
//	servers := pool.New(pool.Options{Check: connections.Check, Now: time.Now, Draw: rand.Float64})
//	servers.Update(listed)
//	lease, err := servers.AcquireForCall("booking", tried, pool.VersionRule{}) // errors.Is(err, pool.ErrNone)
//	lease, copyHolder, err := servers.AcquireForStream(criteria) // errors.Is(err, pool.ErrNoHeadroom) if they require headroom
//	defer lease.Release()
//
// A server whose connection broke is checked by opening a new one. If that fails, the
// server is down: all its leases are notified, and it is avoided until a later check
// succeeds. loss.go describes which VM checks which server in a large fleet. What a
// server reports of itself takes precedence over all other sources; see notice.go.
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

	"github.com/endivespoke/endivespoke/internal/peer/permit"
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
	// Started is when its process started, in Unix milliseconds of its own clock; 0 if it
	// is not reported.
	Started int64
	// Version is that of its software; empty if versions make no difference.
	Version string `cbor:",omitempty"`
	// Cold means that it is slower than usual, since it has just started.
	Cold bool `cbor:",omitempty"`
}

// VersionRule limits a choice to servers of some versions: for a stream that has begun, and while a
// roll-out is under way. The zero value limits nothing. Servers of version Prefer are chosen if one of
// them takes the work, and others if none does. Servers of the versions Avoid are chosen only if no
// other server is listed.
type VersionRule struct {
	// Exact limits the choice to servers of version Only, also while none is listed. Versions in Avoid
	// are then excluded, and the other fields have no effect.
	Exact bool
	Only  string

	Prefer string
	Avoid  []string
	// AvoidOthers avoids all versions but Prefer.
	AvoidOthers bool
	// Servers bounds the choice to that many servers of version Prefer, the same on all VMs; 0
	// for all.
	Servers int
}

// Options configures a Pool. Draw returns random numbers in [0, 1) and must be safe for
// concurrent use. OnChange is called when a server went down or came back. AnnounceLoss
// sends a loss that this VM detected to its peers.
type Options struct {
	Now      func() time.Time
	Draw     func() float64
	Check    func(ctx context.Context, address string) error
	OnChange func(server Server, down bool, reason string)
	// In a fleet of several cells only the watchers of a group of servers check those on
	// which they have no work. Watches reports whether this VM is a watcher of the group;
	// nil means that it watches all. AnnounceUp sends to the peers that a server accepts
	// connections.
	AnnounceLoss func(server Server, terminated bool)
	AnnounceUp   func(server Server)
	Watches      func(group string) bool
	// OnDeparture is called when a server reports to this VM that it is leaving, and in a
	// fleet of several cells also when a peer reports it of a server that this VM
	// watches.
	OnDeparture func(server Server)
	// Go runs a check concurrently with the caller; nil starts a goroutine. Simulations
	// run it as an event of simulated time.
	Go func(do func())
	// TakePermit asks for the permit of a request, and ObservePermit reports what its answer
	// says of the limit; nil for a fleet of one VM. AnnounceLimit sends the limit that a server
	// named to the peers.
	TakePermit    func(request permit.Request) permit.Reply
	ObservePermit func(observation permit.Observation)
	AnnounceLimit func(server Server, limit ServerLimit)
	// OnLimit is called when the limit of a server changes, and OnSent at most once a second
	// for each server with a limit, with the requests that this VM sent to it since.
	OnLimit func(change LimitChange)
	OnSent  func(sent Sent)
	// IsDetour reports whether other VMs reach servers through this one, and AnnounceBackoff tells all VMs
	// for how long a server asked for no requests.
	IsDetour        func() bool
	AnnounceBackoff func(backoff Backoff)
	// OnBrittle is called when the servers of a service begin to say that they are brittle.
	OnBrittle func(service string, tolerated int)
	// OnHeadroom is called when memory of servers may have been freed: a stream of this VM or of a
	// peer has ended.
	OnHeadroom func()
	// HasIdle reports whether an idle connection to an address is open.
	HasIdle func(address string) bool
	// CurrentRule returns what a rule for the servers of a service is to be now: requests wait between
	// the choice of their rule and that of a server. It is called with the lock of the pool held; nil
	// keeps rules as they are.
	CurrentRule func(service string, rule VersionRule) VersionRule
	Successors  Successors
}

// Pool is safe for concurrent use.
type Pool struct {
	options Options

	mu         sync.Mutex
	servers    map[string]*server
	peers      map[string]peerLoads
	peerTotals map[string]Load                 // The load of all peers, by server ID.
	capacities map[string]Capacity             // By service.
	lossAt     map[string]time.Time            // By group.
	departures map[string]departure            // By server ID.
	returnAt   map[string]time.Time            // When the last refused caller of a service is to return.
	early      map[string]earlyNotice          // By server id.
	averages   map[string]*streamAverages      // By service.
	versions   map[string]map[string]time.Time // Until when a server was listed, by service and version.
	brittle    map[string]brittleness          // By service.
	cell       int                             // The cell of this VM.
	cells      int                             // 0 and 1 for a fleet that is not split.
	cellOf     map[string]int                  // The cells of the servers, by address; nil until needed.

	// versionsKnownAt is from when on the history has all versions that streams may have begun at.
	versionsKnownAt time.Time

	recheckedAt    time.Time
	sentReportedAt time.Time
	pausedAt       time.Time // When this process last resumed after a pause.
}

// Group identifies the servers that are likely to fail together.
func (s Server) Group() string {
	return s.Service + "/" + s.FailureDomain
}

// Process identifies the server's process: one that restarts under the same ID has
// another value.
func (s Server) Process() string {
	return fmt.Sprintf("%s/%d", s.ID, s.Started)
}

// ProcessServerID returns the ID of the server of a Process.
func ProcessServerID(process string) string {
	if i := strings.LastIndexByte(process, '/'); i >= 0 {
		return process[:i]
	}
	return process
}

type server struct {
	Server
	limitState
	group           string // Server.Group, cached because each choice reads it for each server.
	listed          bool
	replaced        bool      // Another process has the address.
	reportedLeaving bool      // It reported to this VM or a peer that it is leaving.
	backoffUntil    time.Time // It asked for no requests from this VM until then.
	terminatedAt    time.Time // When its process was found terminated; zero if it was not.
	peerLossAt      time.Time // When a peer last reported it down.
	avoidUntil      time.Time // A peer reported it down, and this VM has not checked it.
	announcedAt     time.Time // When this VM, as a watcher, last announced that it is down.
	down            bool
	checking        bool
	recheckAt       time.Time
	lastActivityAt  time.Time // When something was last received from its address, or a check succeeded.
	answeredAt      time.Time // When something was last received from its process.
	upAt            time.Time // When a check last succeeded.
	lossFoundAt     time.Time // When it, or the process before it, was found lost; zero if neither was.
	identifying     bool      // A request for the id of the process at its address is running.
	identified      bool      // The process at its address has returned its id.
	foundAt         time.Time // When it was found before the list had it; zero if it is listed.
	dropAt          time.Time
	versionUnknown  bool // It was found before the list had it: Version is that of the process before.
	leases          map[*Lease]bool
	copyTokens      int // Tokens of the copies that this VM placed there.
	reservedTokens  int // Tokens that streams of this VM reserved there.
	calls           int
	failureRate     float64
	failureAt       time.Time
	latencyMillis   float64
	latencyAt       time.Time // Time of the last update of latencyMillis.
}

// New returns an empty pool.
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
	if options.CurrentRule == nil {
		options.CurrentRule = func(_ string, rule VersionRule) VersionRule { return rule }
	}
	if options.OnDeparture == nil {
		options.OnDeparture = func(Server) {}
	}
	if options.TakePermit == nil {
		issuer := permit.NewIssuer(options.Now)
		options.TakePermit, options.ObservePermit = issuer.Take, issuer.Observe
	}
	if options.AnnounceLimit == nil {
		options.AnnounceLimit = func(Server, ServerLimit) {}
	}
	if options.OnLimit == nil {
		options.OnLimit = func(LimitChange) {}
	}
	if options.OnSent == nil {
		options.OnSent = func(Sent) {}
	}
	if options.IsDetour == nil {
		options.IsDetour = func() bool { return false }
	}
	if options.AnnounceBackoff == nil {
		options.AnnounceBackoff = func(Backoff) {}
	}
	if options.OnBrittle == nil {
		options.OnBrittle = func(string, int) {}
	}
	if options.OnHeadroom == nil {
		options.OnHeadroom = func() {}
	}
	if options.OnChange == nil {
		options.OnChange = func(Server, bool, string) {}
	}
	return &Pool{options: options, servers: map[string]*server{}, peers: map[string]peerLoads{}, peerTotals: map[string]Load{}, lossAt: map[string]time.Time{}, departures: map[string]departure{}, returnAt: map[string]time.Time{}, early: map[string]earlyNotice{}, averages: map[string]*streamAverages{}, versions: map[string]map[string]time.Time{}, brittle: map[string]brittleness{}, versionsKnownAt: options.Now().Add(versionRetention)}
}

// Update replaces the list of servers. The state of servers that stay in the list is
// kept.
func (p *Pool) Update(listed []Server) {
	p.update(listed)
	p.applyEarlyNotices()
}

func (p *Pool) update(listed []Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordVersions(p.options.Now())
	for _, s := range p.servers {
		s.listed = s.isUnlisted()
	}
	for _, entry := range listed {
		known := p.servers[entry.ID]
		if known == nil || known.Address != entry.Address || known.Service != entry.Service || (known.Started != entry.Started && !known.isUnlisted()) {
			lossFoundAt := time.Time{}
			if known != nil {
				p.markReplaced(known)
				lossFoundAt = known.lossFoundAt
			}
			known = &server{leases: map[*Lease]bool{}, lossFoundAt: lossFoundAt}
			p.servers[entry.ID] = known
		}
		known.Server, known.group = entry, entry.Group()
		known.listed = true
		known.foundAt = time.Time{}
		known.versionUnknown = false
		p.applyDeparture(known)
	}
	p.forgetDepartures(p.options.Now())
	p.markSuperseded()
	p.cellOf = nil
	p.signalJointDepartures()
	for id, s := range p.servers {
		if !s.listed && len(s.leases) == 0 {
			delete(p.servers, id)
		}
	}
}

// signalJointDepartures notifies the streams whose server and whose copy's holder are
// both leaving: they may terminate within the same moment, and the prompt would have to
// be processed again. Called with the lock held.
func (p *Pool) signalJointDepartures() {
	for _, s := range p.servers {
		for lease := range s.leases {
			if lease.copyHolder != nil && s.isDeparting() && lease.copyHolder.isDeparting() {
				lease.signalCopyLost()
			}
		}
	}
}

// isDeparting reports whether the server will terminate soon: it is marked as leaving, or
// its entry is gone.
func (s *server) isDeparting() bool {
	return s.isLeaving() || !s.listed
}

// markSuperseded marks the entries as replaced whose address has a process that started
// later. Called with the lock held.
func (p *Pool) markSuperseded() {
	newest := map[string]*server{}
	for _, s := range p.servers {
		if other := newest[s.Address]; s.listed && (other == nil || s.Started > other.Started) {
			newest[s.Address] = s
		}
	}
	for _, s := range p.servers {
		if other := newest[s.Address]; other != nil && other.Started > s.Started {
			p.markReplaced(s)
		}
	}
}

// markReplaced records that another process has a server's address. The work there has
// ended, even if its connection is only idle, and the copies that it held are lost.
// Called with the lock held.
func (p *Pool) markReplaced(s *server) {
	if s.replaced {
		return
	}
	s.replaced = true
	s.recordLossTime(p.options.Now())
	p.signalLoss(s)
}

// Capacity describes what each server of a service offers to streams: its memory in
// tokens, whether it holds copies of other servers' streams, and whether it can move
// streams. UrgentRank and UrgentObjective are the most urgent rank of its streams, and their
// latency objective; 0 if that is not known.
type Capacity struct {
	CacheTokens     int
	UrgentRank      int
	UrgentObjective time.Duration
	SupportsCopies  bool
	SupportsMoves   bool
}

// SetCapacities sets the capacity of each service.
func (p *Pool) SetCapacities(capacities map[string]Capacity) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.capacities = capacities
}

// sortedServers lists the servers by ID, so that what follows depends on Draw alone and
// not on the iteration order of a map: a simulation with the same seed is then
// reproducible.
func (p *Pool) sortedServers() []*server {
	return slices.SortedFunc(maps.Values(p.servers), byID)
}

func byID(a, b *server) int {
	return strings.Compare(a.ID, b.ID)
}

func (s *server) acceptsWork() bool {
	return s.listed && !s.isLeaving() && !s.replaced
}

// ServiceOf returns the service of a server, "" if the server is not known.
func (p *Pool) ServiceOf(serverID string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[serverID]; s != nil {
		return s.Service
	}
	return ""
}

// Calls returns the number of short calls in flight from this VM.
func (p *Pool) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	calls := 0
	for _, s := range p.servers {
		calls += s.calls
	}
	return calls
}
