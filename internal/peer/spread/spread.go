// Package spread keeps what VMs have to know alike: the configuration, the list
// of backend servers, and which VMs live. A few VMs read the platform's store;
// the others learn from their peers, as do VMs that the store turns away.
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
// Each tick a VM asks a few of the peers near it for a summary (anti-entropy, Demers et
// al. 1987); topology.go tells who is near, and who hears of what else. A peer that doesn't
// answer twice is told to the others as down, and refutes that if it lives (SWIM, Das et al.
// 2002). A VM that learns something new hints it to a few peers, who fetch it from there if
// they lack it, each content once. Versions only grow within one process; a process that
// starts at the address of another one has the higher incarnation.
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
	"github.com/endivespoke/endivespoke/internal/request/crash"
)

const (
	// tickEvery is the pause between exchanges.
	tickEvery = 250 * time.Millisecond
	// exchangesPerTick is how many peers are asked each tick.
	exchangesPerTick = 2
	// hintFanout is how many peers get a hint of news. They pass it on, so that all
	// of 400 VMs have it after four steps.
	hintFanout = 6
	// hintEvery gathers the news of that time into one hint.
	hintEvery = 15 * time.Millisecond
	// membersFanout is the same for news of other VMs only, in a fleet of several cells:
	// what some VMs miss, they get by exchanges.
	membersFanout = 3
	// joinEvery is how often a VM that knows no other asks one of its seeds, for joinTicks
	// after its start: seeds may start a moment later.
	joinEvery = 40 * time.Millisecond
	joinTicks = 4
	// downTicks is how often, in ticks, a fleet of several cells asks a member that is down.
	downTicks = 8
	// membersEvery gathers what is heard of other VMs. When many start at once, each
	// hears of all the others, and passes that on a few times instead of each time.
	membersEvery = 100 * time.Millisecond
	// workEvery gathers the changes of this VM's work. Until they arrive, peers may
	// place a prompt on the same server, so it is about the way between two VMs.
	workEvery = 3 * time.Millisecond
	// easedEvery gathers changes that only make room: those that hear of them late
	// place work elsewhere, which costs little.
	easedEvery = 150 * time.Millisecond
	// callLimit bounds an exchange. VMs are a few milliseconds from each other, and
	// a lost packet is sent again after 200 ms.
	callLimit = 400 * time.Millisecond
	// fetchLimit bounds the fetch of a configuration over a slow link.
	fetchLimit = 1500 * time.Millisecond
	// isolatedAfter is how long no peer may have answered until a VM doubts its own
	// link and not its peers.
	isolatedAfter = time.Second
	// copyLimit bounds the question where a copy is. Reading a prompt again takes a second.
	copyLimit = 80 * time.Millisecond
	// seedTicks is how often a VM asks its seeds, in ticks, even if it knows peers.
	seedTicks = 20
	// inboxSize bounds the messages that wait for the loop.
	inboxSize = 1024
)

// Snapshot is the picture at one moment. It never changes.
type Snapshot struct {
	Configuration   *routing.Configuration // nil if none is known yet.
	ConfigurationAt time.Time              // When it was last known to be the newest.
	Servers         []pool.Server
	ServersKnown    bool
	ServersVersion  uint64
	ServersAt       time.Time
	// Fetching means that a peer that has newer content is being asked for it.
	Fetching bool
	Self     Member
	Live     []Member // With this VM, in an order that all VMs agree on.
	// Cell is this VM's of Cells; see placement.Cells.
	Cell  int
	Cells int
	// CellPeers are the others of the cell, and CopyIndexVMs the VMs of all cells that are asked
	// where copies are; see topology.go.
	CellPeers    []Member
	CopyIndexVMs []Member
}

// SharesLive reports whether a list is this picture's of the live VMs, and not only one that is
// equal. What is derived from it is kept until there is another.
func (s *Snapshot) SharesLive(live []Member) bool {
	return len(live) == len(s.Live) && &live[0] == &s.Live[0]
}

// Options shapes a Spread. Call sends a message to a peer and returns its
// answer, Post sends one without an answer, and Drop ends the connection. The On
// functions run on the loop's goroutine and must not block.
type Options struct {
	Self       Member
	Seeds      []string
	Now        func() time.Time
	Logger     hclog.Logger
	Call       func(ctx context.Context, peer, address string, body []byte) ([]byte, error)
	Post       func(peer, address string, body []byte)
	Disconnect func(peer string)
	// DecodeConfiguration reads a configuration as the store holds it.
	DecodeConfiguration func(raw []byte) (*routing.Configuration, error)
	// ServerHeartbeat is how often a backend server writes its entry in the store; 0 if
	// that is not known.
	ServerHeartbeat time.Duration
	OnConfiguration func(configuration *routing.Configuration)
	OnServers       func(servers []pool.Server)
	Loads           func() []pool.Load
	OnLoads         func(peer string, loads []pool.Load)
	// Copies are those of the streams that run here. A VM that joins is told of them.
	Copies    func() []CopyLocation
	OnCopies  func(notes []CopyLocation)
	OnCrashes func(notes []crash.Report)
	// CrashesHash is the same for VMs that know of the same crashes, and Crashes are those to
	// tell a VM that has another one. Notes are told once, and may be missed.
	CrashesHash func() uint64
	Crashes     func() []crash.Report
	OnLosses    func(notes []LossReport)
	// FindCopies gives those of the copies that this VM knows.
	FindCopies func(keys []string) []CopyLocation
	// OnMembersLost is told of VMs that went down or were replaced by another process.
	OnMembersLost func(peers []string)
	// Departures are of the listed servers that said they are leaving. A VM that joins is
	// told of them.
	Departures     func() []pool.Departure
	OnDepartures   func(departures []pool.Departure)
	ServiceUsage   func() []ServiceUsage
	OnServiceUsage func(peer string, uses []ServiceUsage)
	// OnCell is told when this VM is in another cell, or the fleet is split anew.
	OnCell func(cell, cells int)
}

// Spread is safe for concurrent use.
type Spread struct {
	options  Options
	inbox    chan func(*state)
	work     chan struct{}
	eased    chan struct{}
	notes    chan note
	snapshot atomic.Pointer[Snapshot]
	// heardAt is when a peer answered last, in Unix nanoseconds of Options.Now.
	heardAt atomic.Int64

	watchMu sync.Mutex
	watched watchList
}

// state is owned by the loop's goroutine.
type state struct {
	members  *members
	seeds    []string
	config   *routing.Configuration
	packed   []byte    // The configuration, compressed.
	configAt time.Time // When it was last known to be the newest.
	servers  servers
	// Until when a fetch may take; zero if none runs.
	configFetch  time.Time
	serversFetch time.Time
	workToldAt   time.Time       // When peers were last told of this VM's work.
	workTold     []byte          // What they were told.
	matesKnown   map[string]bool // The cell's VMs when they were last told of copies, by ID.
	hintDue      bool            // News of the store or of this VM itself wait.
	membersDue   bool            // News of other VMs wait.
	ticks        int
}

// New makes a spread. It does nothing until it is served.
func New(options Options) *Spread {
	if options.OnMembersLost == nil {
		options.OnMembersLost = func([]string) {}
	}
	if options.CrashesHash == nil {
		options.CrashesHash = func() uint64 { return 0 }
	}
	if options.OnCell == nil {
		options.OnCell = func(int, int) {}
	}
	s := &Spread{
		options: options,
		inbox:   make(chan func(*state), inboxSize),
		work:    make(chan struct{}, 1),
		eased:   make(chan struct{}, 1),
		notes:   make(chan note, inboxSize),
	}
	s.snapshot.Store(&Snapshot{Self: options.Self, Live: []Member{options.Self}, Cells: 1})
	return s
}

// String names the service in the supervisor's messages.
func (s *Spread) String() string {
	return "spread"
}

// Snapshot gives the newest picture.
func (s *Spread) Snapshot() *Snapshot {
	return s.snapshot.Load()
}

// LastPeerReplyAt is when a peer answered last; zero if none ever did.
func (s *Spread) LastPeerReplyAt() time.Time {
	if at := s.heardAt.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// Serve owns the state until the context ends.
func (s *Spread) Serve(ctx context.Context) error {
	st := s.resume()
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	s.tick(ctx, st)
	var workDue, easedDue, hintDue, membersDue, graceDue, joinDue <-chan time.Time
	for {
		if joinDue == nil && st.ticks <= joinTicks && len(st.members.others) == 0 {
			joinDue = time.After(joinEvery)
		}
		select {
		case <-joinDue:
			joinDue = nil
			if len(st.members.others) == 0 {
				s.askSeeds(ctx, st, 1)
			}
		case <-ctx.Done():
			return ctx.Err()
		case do := <-s.inbox:
			do(st)
		case <-s.work:
			if workDue == nil {
				workDue = time.After(workEvery)
			}
		case <-s.eased:
			if easedDue == nil {
				easedDue = time.After(easedEvery)
			}
		case <-workDue:
			workDue, easedDue = nil, nil
			s.tellWork(st)
		case <-easedDue:
			easedDue = nil
			s.tellWork(st)
		case <-hintDue:
			hintDue = nil
			s.hint(st)
		case <-membersDue:
			membersDue = nil
			s.hint(st)
		case <-graceDue:
			graceDue = nil
			s.endGrace(st, s.options.Now())
			s.publish(st)
		case <-ticker.C:
			s.tick(ctx, st)
		}
		if len(st.servers.lapsed) > 0 && graceDue == nil {
			graceDue = time.After(st.servers.graceUntil.Sub(s.options.Now()))
		}
		if st.hintDue && hintDue == nil {
			hintDue = time.After(hintEvery)
		}
		if st.membersDue && membersDue == nil {
			membersDue = time.After(membersEvery)
		}
	}
}

// resume starts from what a loop before this one published, if it was restarted.
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

// do runs a function on the loop and waits for it.
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
	arranged := st.members.arranged()
	now := &Snapshot{
		Configuration:   st.config,
		ConfigurationAt: st.configAt,
		Servers:         st.servers.listed(),
		ServersKnown:    st.servers.version > 0,
		ServersVersion:  st.servers.version,
		ServersAt:       st.servers.currentAt,
		Fetching:        !st.configFetch.IsZero() || !st.serversFetch.IsZero(),
		Self:            st.members.self.Member,
		Live:            arranged.up,
		Cell:            st.members.self.cell,
		Cells:           st.members.topology.cells,
		CellPeers:       arranged.mates,
		CopyIndexVMs:    arranged.keepers,
	}
	s.snapshot.Store(now)
	if gone := st.members.takeGone(); len(gone) > 0 {
		s.options.OnMembersLost(gone)
	}
	if before.Cell != now.Cell || before.Cells != now.Cells {
		s.options.OnCell(now.Cell, now.Cells)
	}
}

// ApplyConfiguration takes in what the store held at readAt. A raw of nil means
// that the known version is still the newest.
func (s *Spread) ApplyConfiguration(ctx context.Context, raw []byte, readAt time.Time) {
	s.do(ctx, func(st *state) {
		if raw == nil && st.config == nil {
			return
		}
		if raw == nil || s.adopt(st, raw, "store") {
			st.configAt = readAt
		}
		s.publish(st)
	})
}

// adopt takes in a configuration if it is newer. It reports whether it could be read.
func (s *Spread) adopt(st *state, raw []byte, from string) bool {
	configuration, err := s.options.DecodeConfiguration(raw)
	if err != nil {
		event.ConfigUnreadable.Warn(s.options.Logger, "from", from, "error", err)
		return false
	}
	before := st.configVersion()
	if configuration.Version <= before {
		return true
	}
	st.config, st.packed = configuration, compress(raw)
	event.ConfigInForce.Info(s.options.Logger, "version", configuration.Version, "before", before, "from", from,
		"routes", len(configuration.Routes), "keys", len(configuration.Keys))
	s.options.OnConfiguration(configuration)
	st.hintDue = true
	return true
}

func (st *state) configVersion() uint64 {
	if st.config == nil {
		return 0
	}
	return st.config.Version
}

// ApplyServers takes in what the store told at readAt.
func (s *Spread) ApplyServers(ctx context.Context, rows StoreRows, readAt time.Time) {
	s.do(ctx, func(st *state) {
		st.servers.noteCurrent(readAt)
		s.endGrace(st, readAt)
		if changes, changed := st.servers.learn(rows, readAt); changed {
			s.serversChanged(st, "store", len(changes.Rows))
			st.hintDue = true
		}
		s.publish(st)
	})
}

// serversChanged has this VM use the changed list.
func (s *Spread) serversChanged(st *state, from string, changed int) {
	listed := st.servers.listed()
	event.ServersChanged.Info(s.options.Logger, "version", st.servers.version, "from", from, "servers", len(listed), "changed", changed,
		"lapsed", len(st.servers.lapsed))
	s.options.OnServers(listed)
}

// endGrace drops servers whose entries lapsed and were not back in time.
func (s *Spread) endGrace(st *state, now time.Time) {
	lapsed := len(st.servers.lapsed)
	if st.servers.endGrace(now) {
		s.serversChanged(st, "end of the grace", lapsed)
	}
}

// SetSeeds takes in the addresses of VMs that the store lists, which may be down.
func (s *Spread) SetSeeds(ctx context.Context, addresses []string) {
	s.do(ctx, func(st *state) { st.seeds = addresses })
}

// SetSelf changes this VM's own entry and tells the others.
func (s *Spread) SetSelf(ctx context.Context, change func(self *Member)) {
	s.do(ctx, func(st *state) {
		if st.members.setSelf(change) {
			st.hintDue = true
			s.publish(st)
		}
	})
}

// AnnounceLoads has this VM's work on the servers told at once.
func (s *Spread) AnnounceLoads() {
	select {
	case s.work <- struct{}{}:
	default:
	}
}

// AnnounceLoadsLater has it told soon, for work that has ended or takes less than before.
func (s *Spread) AnnounceLoadsLater() {
	select {
	case s.eased <- struct{}{}:
	default:
	}
}

// some gives up to count of the members, chosen at random.
func some(members []Member, count int) []Member {
	members = slices.Clone(members)
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(count, len(members))]
}
