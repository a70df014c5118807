// Package spread replicates the state that all VMs share: the configuration, the list of
// backend servers and the membership of the fleet. A few VMs read the platform's store; the
// others, and those that the store rejects, receive the state from their peers.
//
// # Usage
//
//	s := spread.New(spread.Options{Self: member, Seeds: addresses, Call: peers.Call, ...})
//	supervisor.Add(s)
//	s.ApplyConfiguration(ctx, raw, readAt)   // from the store
//	s.ApplyServers(ctx, rows, readAt)
//	snapshot := s.Snapshot()                 // immutable, for any goroutine
//	reply := s.OnMessage(body)               // a peer's message
//
// At each tick a VM exchanges summaries with a few of its neighbours (anti-entropy, Demers et
// al. 1987); topology.go defines the neighbours and the receivers of other messages. A peer
// that does not answer two calls in a row is gossiped as down, and refutes that if it is up
// (SWIM, Das et al. 2002). A VM that gets a new version sends a hint to a few peers. They fetch
// the content from it if they lack it, each content once. Versions only increase within one
// process; a process that starts at the address of another one has the higher incarnation.
package spread

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/config/routing"
	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/peer/permit"
	"github.com/endivespoke/endivespoke/internal/request/admission"
	"github.com/endivespoke/endivespoke/internal/request/crash"
)

const (
	// tickInterval is the time between rounds of exchanges.
	tickInterval = 250 * time.Millisecond
	// exchangesPerTick is the number of neighbours to exchange with in each tick.
	exchangesPerTick = 2
	// hintFanout is the number of peers that get a hint. They send hints in turn, so that it
	// reaches all of 400 VMs in four steps.
	hintFanout = 6
	// hintDelay batches the changes of that time into one hint.
	hintDelay = 15 * time.Millisecond
	// membersFanout is the fanout of hints that only have changes of other VMs' entries, in a
	// fleet of several cells. VMs that they do not reach get the entries by exchanges.
	membersFanout = 3
	// joinInterval is how often a VM without known peers contacts one of its seeds, for
	// joinTicks after its start: seeds may start slightly later.
	joinInterval = 40 * time.Millisecond
	joinTicks    = 4
	// downTicks is how often, in ticks, a VM contacts a member that is down, in a fleet of
	// several cells.
	downTicks = 8
	// membersDelay batches changes of other VMs' entries. When many VMs start at once, each
	// receives the entries of all others, and gossips them in a few hints instead of one each.
	membersDelay = 100 * time.Millisecond
	// loadsDelay batches the changes of this VM's loads. Until peers receive them they may
	// place a prompt on the same server, so it is about the network latency between two VMs.
	loadsDelay = 3 * time.Millisecond
	// loadsLaterDelay batches changes that only free capacity: peers that receive them late
	// place requests elsewhere, which costs little.
	loadsLaterDelay = 150 * time.Millisecond
	// callTimeout bounds an exchange. The latency between VMs is a few milliseconds, and TCP
	// retransmits a lost packet after 200 ms.
	callTimeout = 400 * time.Millisecond
	// fetchTimeout bounds the fetch of a configuration over a slow link.
	fetchTimeout = 1500 * time.Millisecond
	// fetchPatience is how long one fetch may take before another peer is asked for the same content.
	fetchPatience = 200 * time.Millisecond
	// partitionedAfter is the time without any reply after which a VM takes itself as cut off
	// from the network, and no longer marks peers as down.
	partitionedAfter = time.Second
	// locateTimeout bounds LocateCopy. The alternative, another prefill of the prompt, takes a
	// second.
	locateTimeout = 80 * time.Millisecond
	// pauseThreshold is the time without any event after which this process is taken as paused until now, and
	// queuedTime how long after that messages may have come before. Ticks are events.
	pauseThreshold = tickInterval + 100*time.Millisecond
	queuedTime     = 100 * time.Millisecond
	// flushTimeout bounds FlushAnnouncements, for which the first event of a stream waits.
	flushTimeout = 50 * time.Millisecond
	// seedTicks is how often, in ticks, a VM contacts its seeds even if it has peers.
	seedTicks = 20
	// inboxSize bounds the queues of the event loop.
	inboxSize = 1024
)

// Snapshot is a VM's view of the shared state at one moment. It is immutable.
type Snapshot struct {
	Configuration   *routing.Configuration // nil if none is known yet.
	ConfigurationAt time.Time              // When it was last known to be the newest.
	Servers         []pool.Server
	ServersKnown    bool
	ServersVersion  StoreVersion
	ServersAt       time.Time
	// Fetching means that a fetch of newer content from a peer is in progress.
	Fetching bool
	Self     Member
	Live     []Member // Includes this VM, in hash ring order, which is equal on all VMs.
	// Cell is the index of this VM's cell among Cells; see placement.CellCount.
	Cell  int
	Cells int
	// CellPeers are the other VMs of the cell, and CopyIndexVMs the VMs of all cells that are
	// queried for locations of copies; see topology.go.
	CellPeers    []Member
	CopyIndexVMs []Member
	// CopyIndexCells are the cells of the CopyIndexVMs, in the same order.
	CopyIndexCells []int
}

// SharesLive reports whether live is the same slice as s.Live, not just an equal one. Caches
// derived from the slice stay valid as long as it is.
func (s *Snapshot) SharesLive(live []Member) bool {
	return len(live) == len(s.Live) && &live[0] == &s.Live[0]
}

// Options configures a Spread. Call sends a message to a peer and returns its reply, Post
// sends one without a reply, Flush waits until those posted so far are written to the connections, and
// Disconnect closes the connection. The On functions are called on the event loop or on the goroutine of a
// peer's message, and must not block.
type Options struct {
	Self       Member
	Seeds      []string
	Now        func() time.Time
	Logger     hclog.Logger
	Call       func(ctx context.Context, peer, address string, body []byte) ([]byte, error)
	Post       func(peer, address string, body []byte)
	Flush      func(ctx context.Context)
	Disconnect func(peer string)
	// DecodeConfiguration decodes a configuration from its format in the store.
	DecodeConfiguration func(raw []byte) (*routing.Configuration, error)
	// ServerHeartbeat is the interval at which a backend server writes its entry in the store;
	// 0 if that is not known.
	ServerHeartbeat time.Duration
	OnConfiguration func(configuration *routing.Configuration)
	OnServers       func(servers []pool.Server)
	Loads           func() []pool.Load
	OnLoads         func(peer string, loads []pool.Load)
	// Admission returns what this VM tells its cell of the streams that wait for headroom.
	Admission   func() []admission.Report
	OnAdmission func(peer string, reports []admission.Report)
	// Copies returns those of the streams that run here. They are sent to VMs that join the cell.
	Copies    func() []CopyLocation // Of the streams that run or lately ran on this VM.
	OnCopies  func(locations []CopyLocation)
	OnCrashes func(reports []crash.Report)
	// CrashesHash is equal on VMs that have the same crash reports. Crashes are the reports to
	// send to a VM with another hash: announcements are sent once and may be lost.
	CrashesHash func() uint64
	Crashes     func() []crash.Report
	OnLosses    func(reports []LossReport)
	// FindCopies returns the known runs that are asked for; known is false if runs may be missing
	// that this VM will know once its start is complete.
	FindCopies func(queries []CopyQuery) (locations []CopyLocation, known bool)
	// Versions returns the versions that servers of each service were listed with lately, nil while some
	// may be missing, and OnVersions applies another VM's.
	Versions   func() pool.VersionAges
	OnVersions func(ages pool.VersionAges)
	// OnMembersLost receives the VMs that went down or were replaced by another process.
	OnMembersLost func(peers []string)
	// Departures returns those of the listed servers that reported that they are leaving. They
	// are sent to VMs that join the cell.
	Departures   func() []pool.Departure
	OnDepartures func(departures []pool.Departure)
	// Limits returns those that servers named, for VMs that join the cell.
	Limits         func() []pool.ServerLimit
	OnLimits       func(limits []pool.ServerLimit)
	OnBackoffs     func(backoffs []pool.Backoff)
	ServiceUsage   func() []ServiceUsage
	OnServiceUsage func(peer string, usage []ServiceUsage)
	// OnEra is called when the list of servers is of a new era of the store; see StoreVersion.
	OnEra func(era uint64)
	// OnCell is called when this VM's cell or the number of cells changes.
	OnCell func(cell, cells int)
	// Rollouts is empty if the VM follows none.
	Rollouts Rollouts
}

// Spread is safe for concurrent use.
type Spread struct {
	options       Options
	inbox         chan func(*state)
	loads         chan struct{}
	loadsLater    chan struct{}
	announcements chan announcement
	snapshot      atomic.Pointer[Snapshot]
	// lastReplyAt is when a peer last replied, in Unix nanoseconds of Options.Now.
	lastReplyAt atomic.Int64

	watchersMu   sync.Mutex
	watcherCache watcherCache

	permits *permit.Issuer
	// unansweredSince is, by issuer, since when it has not replied to requests for permits.
	permitsMu       sync.Mutex
	unansweredSince map[string]time.Time
}

// state is owned by the event loop's goroutine.
type state struct {
	members    *members
	seeds      []string
	config     *routing.Configuration
	compressed []byte    // The configuration, compressed.
	configAt   time.Time // When it was last known to be the newest.
	// configBehind means that the store's row is older than the known configuration, as after a
	// restore from an older copy: it confirms nothing until the operator has written it again.
	configBehind bool
	servers      servers

	configFetches  fetches
	serversFetches fetches
	sources        []message       // Summaries of peers that have newer content and were not asked yet, oldest first.
	loadsSentAt    time.Time       // When this VM's loads were last sent.
	loadsSent      []byte          // The encoded message that was sent then.
	cellPeersSeen  map[string]bool // IDs of the cell peers that have been sent the copies.
	hintDue        bool            // Changes of the store's content or of this VM are to be hinted.
	membersDue     bool            // Changes of other VMs' entries are to be hinted.
	ticks          int
	lastEventAt    time.Time
	resumedAt      time.Time // When this process went on after a pause.
}

// New makes a Spread. It is idle until Serve runs.
func New(options Options) *Spread {
	if options.OnMembersLost == nil {
		options.OnMembersLost = func([]string) {}
	}
	if options.Admission == nil {
		options.Admission = func() []admission.Report { return nil }
	}
	if options.OnAdmission == nil {
		options.OnAdmission = func(string, []admission.Report) {}
	}
	if options.Versions == nil {
		options.Versions = func() pool.VersionAges { return nil }
	}
	if options.OnVersions == nil {
		options.OnVersions = func(pool.VersionAges) {}
	}
	if options.CrashesHash == nil {
		options.CrashesHash = func() uint64 { return 0 }
	}
	if options.Limits == nil {
		options.Limits = func() []pool.ServerLimit { return nil }
	}
	if options.OnLimits == nil {
		options.OnLimits = func([]pool.ServerLimit) {}
	}
	if options.OnBackoffs == nil {
		options.OnBackoffs = func([]pool.Backoff) {}
	}
	if options.OnEra == nil {
		options.OnEra = func(uint64) {}
	}
	options.Rollouts = options.Rollouts.withDefaults()
	if options.OnCell == nil {
		options.OnCell = func(int, int) {}
	}
	s := &Spread{
		options:       options,
		inbox:         make(chan func(*state), inboxSize),
		loads:         make(chan struct{}, 1),
		loadsLater:    make(chan struct{}, 1),
		announcements: make(chan announcement, inboxSize),

		permits:         permit.NewIssuer(options.Now),
		unansweredSince: map[string]time.Time{},
	}
	s.snapshot.Store(&Snapshot{Self: options.Self, Live: []Member{options.Self}, Cells: 1})
	return s
}

// String names the service in the supervisor's messages.
func (s *Spread) String() string {
	return "spread"
}

// Snapshot returns the current snapshot.
func (s *Spread) Snapshot() *Snapshot {
	return s.snapshot.Load()
}

// LastPeerReplyAt is when a peer last replied; zero if none ever has.
func (s *Spread) LastPeerReplyAt() time.Time {
	if at := s.lastReplyAt.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// Serve runs the event loop until the context ends.
func (s *Spread) Serve(ctx context.Context) error {
	st := s.resume()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	s.tick(ctx, st)
	var loadsDue, loadsLaterDue, hintDue, membersDue, graceDue, joinDue <-chan time.Time
	for {
		if joinDue == nil && st.ticks <= joinTicks && len(st.members.others) == 0 {
			joinDue = time.After(joinInterval)
		}
		select {
		case <-joinDue:
			joinDue = nil
			if len(st.members.others) == 0 {
				s.exchangeWithSeeds(ctx, st, 1)
			}
		case <-ctx.Done():
			return ctx.Err()
		case do := <-s.inbox:
			st.detectPause(s.options.Now())
			do(st)
		case <-s.loads:
			if loadsDue == nil {
				loadsDue = time.After(loadsDelay)
			}
		case <-s.loadsLater:
			if loadsLaterDue == nil {
				loadsLaterDue = time.After(loadsLaterDelay)
			}
		case <-loadsDue:
			loadsDue, loadsLaterDue = nil, nil
			s.sendLoads(st)
		case <-loadsLaterDue:
			loadsLaterDue = nil
			s.sendLoads(st)
		case <-hintDue:
			hintDue = nil
			s.sendHint(st)
		case <-membersDue:
			membersDue = nil
			s.sendHint(st)
		case <-graceDue:
			graceDue = nil
			s.endGrace(st, s.options.Now())
			s.publish(st)
		case <-ticker.C:
			st.detectPause(s.options.Now())
			s.tick(ctx, st)
		}
		if due := st.servers.nextExpiry(); !due.IsZero() && graceDue == nil {
			graceDue = time.After(due.Sub(s.options.Now()))
		}
		if st.hintDue && hintDue == nil {
			hintDue = time.After(hintDelay)
		}
		if st.membersDue && membersDue == nil {
			membersDue = time.After(membersDelay)
		}
	}
}

// detectPause notes an event, and whether this process was paused before it.
func (st *state) detectPause(now time.Time) {
	if !st.lastEventAt.IsZero() && now.Sub(st.lastEventAt) > pauseThreshold {
		st.resumedAt = now
	}
	st.lastEventAt = now
}

// resume restores the state from the last snapshot, for an event loop that was restarted.
func (s *Spread) resume() *state {
	before := s.Snapshot()
	st := &state{members: newMembers(before.Self), seeds: s.options.Seeds, servers: newServers(before.Servers, before.ServersVersion, s.options.ServerHeartbeat)}
	st.config = before.Configuration
	for _, m := range before.Live {
		if m.ID != before.Self.ID {
			st.members.add(m)
		}
	}
	return st
}

// do runs a function on the event loop and waits for it.
func (s *Spread) do(ctx context.Context, change func(*state)) {
	done := make(chan struct{})
	select {
	case s.inbox <- func(st *state) { change(st); close(done) }:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (s *Spread) publish(st *state) {
	before := s.Snapshot()
	peerLists := st.members.peerLists()
	now := &Snapshot{
		Configuration:   st.config,
		ConfigurationAt: st.configAt,
		Servers:         st.servers.listed(),
		ServersKnown:    !st.servers.version.IsZero(),
		ServersVersion:  st.servers.version,
		ServersAt:       st.servers.currentAt,
		Fetching:        st.configFetches.areInProgress() || st.serversFetches.areInProgress(),
		Self:            st.members.self.Member,
		Live:            peerLists.up,
		Cell:            st.members.self.cell,
		Cells:           st.members.topology.cells,
		CellPeers:       peerLists.cellPeers,
		CopyIndexVMs:    peerLists.copyIndexVMs,
		CopyIndexCells:  peerLists.copyIndexCells,
	}
	s.snapshot.Store(now)
	if lost := st.members.takeLostIDs(); len(lost) > 0 {
		s.permits.Release(lost)
		s.options.OnMembersLost(lost)
	}
	if before.Cell != now.Cell || before.Cells != now.Cells {
		s.options.OnCell(now.Cell, now.Cells)
	}
}

// ApplyConfiguration applies the configuration that was read from the store at readAt. A raw
// of nil means that the known version is still the newest.
func (s *Spread) ApplyConfiguration(ctx context.Context, raw []byte, readAt time.Time) {
	s.do(ctx, func(st *state) {
		if raw == nil && st.config == nil {
			return
		}
		if raw != nil {
			version, decoded := s.adoptConfiguration(st, raw, "store")
			st.configBehind = !decoded || version < st.configVersion()
		}
		if !st.configBehind {
			st.configAt = readAt
		}
		s.publish(st)
	})
}

// adoptConfiguration applies a configuration if it is newer. It returns its version, and whether
// it could be decoded.
func (s *Spread) adoptConfiguration(st *state, raw []byte, from string) (version uint64, decoded bool) {
	configuration, err := s.options.DecodeConfiguration(raw)
	if err != nil {
		event.ConfigUnreadable.Warn(s.options.Logger, "from", from, "error", err)
		return 0, false
	}
	before := st.configVersion()
	if configuration.Version <= before {
		return configuration.Version, true
	}
	st.config, st.compressed = configuration, compress(raw)
	event.ConfigInForce.Info(s.options.Logger, "version", configuration.Version, "before", before, "from", from,
		"routes", len(configuration.Routes), "keys", len(configuration.Keys))
	s.options.OnConfiguration(configuration)
	st.hintDue = true
	return configuration.Version, true
}

func (st *state) configVersion() uint64 {
	if st.config == nil {
		return 0
	}
	return st.config.Version
}

// ApplyServers applies the rows that were read from the store at readAt.
func (s *Spread) ApplyServers(ctx context.Context, rows StoreRows, readAt time.Time) {
	s.do(ctx, func(st *state) {
		if rows.Version.Era < st.servers.version.Era {
			return // A peer has received a newer era's list.
		}
		st.servers.markCurrent(readAt)
		s.endGrace(st, readAt)
		before := st.servers.version
		if changes, changed := st.servers.applyStore(rows, readAt); changed {
			s.eraChanged(st, before, "store")
			s.serversChanged(st, "store", len(changes.Rows))
			st.hintDue = true
		}
		s.publish(st)
	})
}

// eraChanged logs and reports that the list of servers is of a new era of the store.
func (s *Spread) eraChanged(st *state, before StoreVersion, from string) {
	now := st.servers.version
	if before.Era == 0 || now.Era == before.Era {
		return
	}
	event.StoreRestored.Warn(s.options.Logger, "era", now.Era, "before", before.Era, "version", now.Rev, "versionBefore", before.Rev, "from", from,
		"servers", len(st.servers.rows), "missing", len(st.servers.expired), "held", len(st.servers.held))
	s.options.OnEra(now.Era)
}

// serversChanged logs a change of the server list and calls OnServers.
func (s *Spread) serversChanged(st *state, from string, changed int) {
	listed := st.servers.listed()
	event.ServersChanged.Info(s.options.Logger, "version", st.servers.version.Rev, "era", st.servers.version.Era, "from", from, "servers", len(listed), "changed", changed,
		"lapsed", len(st.servers.expired))
	s.options.OnServers(listed)
}

// endGrace removes servers whose entries expired and were not renewed in time, and uses servers
// again whose rows were held back.
func (s *Spread) endGrace(st *state, now time.Time) {
	expired := len(st.servers.expired)
	if st.servers.endGrace(now) {
		s.serversChanged(st, "end of the grace", expired)
	}
	held := len(st.servers.held)
	if st.servers.endHold(now) {
		s.serversChanged(st, "end of the hold", held)
	}
}

// SetSeeds replaces the seeds, with addresses of VMs that may be down.
func (s *Spread) SetSeeds(ctx context.Context, addresses []string) {
	s.do(ctx, func(st *state) { st.seeds = addresses })
}

// SetSelf changes this VM's own entry and gossips it.
func (s *Spread) SetSelf(ctx context.Context, change func(self *Member)) {
	s.do(ctx, func(st *state) {
		if st.members.setSelf(change) {
			st.hintDue = true
			s.publish(st)
		}
	})
}

// AnnounceLoads sends this VM's loads and the queued announcements after loadsDelay.
func (s *Spread) AnnounceLoads() {
	select {
	case s.loads <- struct{}{}:
	default:
	}
}

// AnnounceLoadsLater sends them after loadsLaterDelay, for loads that have ended or decreased.
func (s *Spread) AnnounceLoadsLater() {
	select {
	case s.loadsLater <- struct{}{}:
	default:
	}
}

// sample returns up to count random members.
func sample(members []Member, count int) []Member {
	members = slices.Clone(members)
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(count, len(members))]
}
