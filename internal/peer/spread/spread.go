// Package spread keeps what VMs have to know alike: the configuration, the list
// of backend servers, and which VMs live. A few VMs read the platform's store;
// the others learn from their peers, as do VMs that the store turns away.
//
// # Usage
//
//	s := spread.New(spread.Options{Self: member, Seeds: addresses, Call: peers.Call, ...})
//	supervisor.Add(s)
//	s.LearnConfiguration(configuration, raw, readAt)   // from the store
//	s.LearnServers(changes, readAt)
//	snapshot := s.Snapshot()                           // immutable, for any goroutine
//	reply := s.OnMessage(body)                         // a peer's message
//
// Each tick a VM exchanges its versions with a few peers in turn, and each side
// gets what it lacks (anti-entropy, Demers et al. 1987). News also goes out at
// once to the live peers. Versions only grow within one process.
package spread

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/config/routing"
	"github.com/endivespoke/endivespoke/internal/node/event"
)

const (
	// tickEvery is the pause between exchanges.
	tickEvery = 250 * time.Millisecond
	// exchangesPerTick is how many live peers are asked each tick.
	exchangesPerTick = 3
	// pushLimit is how many peers get news at once. They pass it on.
	pushLimit = 16
	// pushEvery gathers the news of that time into one message.
	pushEvery = 30 * time.Millisecond
	// callLimit bounds an exchange. VMs are a few milliseconds from each other.
	callLimit = 400 * time.Millisecond
	// lonelyTicks is how often a VM asks its seeds, in ticks, even if it knows peers.
	lonelyTicks = 20
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
	Self            Member
	Live            []Member // With this VM, by ID.
}

// Options shapes a Spread. Call sends a message to a peer and returns its
// answer; Drop ends the connection to it. The On functions run on the loop's
// goroutine and must not block.
type Options struct {
	Self   Member
	Seeds  []string
	Now    func() time.Time
	Logger hclog.Logger
	Call   func(ctx context.Context, peer, address string, body []byte) ([]byte, error)
	Drop   func(peer string)
	// DecodeConfiguration reads a configuration as the store holds it.
	DecodeConfiguration func(raw []byte) (*routing.Configuration, error)
	OnConfiguration     func(configuration *routing.Configuration)
	OnServers           func(servers []pool.Server)
	Loads               func() []pool.Load
	OnLoads             func(peer string, loads []pool.Load)
	OnCopies            func(notes []CopyNote)
	OnCrashes           func(notes []CrashNote)
	OnLosses            func(notes []LossNote)
}

// Spread is safe for concurrent use.
type Spread struct {
	options  Options
	inbox    chan func(*state)
	news     chan struct{}
	snapshot atomic.Pointer[Snapshot]
	notes    chan note
	turn     int
}

// New makes a spread. It does nothing until it is served.
func New(options Options) *Spread {
	s := &Spread{
		options: options,
		inbox:   make(chan func(*state), inboxSize),
		news:    make(chan struct{}, 1),
		notes:   make(chan note, inboxSize),
	}
	s.snapshot.Store(&Snapshot{Self: options.Self, Live: []Member{options.Self}})
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

// Serve owns the state until the context ends.
func (s *Spread) Serve(ctx context.Context) error {
	st := &state{self: s.options.Self, seeds: s.options.Seeds, members: map[string]*member{}, servers: map[string]ServerRow{}}
	s.resume(st)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	s.tick(ctx, st)
	var pushDue <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case do := <-s.inbox:
			do(st)
		case <-s.news:
			if pushDue == nil {
				pushDue = time.After(pushEvery)
			}
		case <-pushDue:
			pushDue = nil
			s.push(ctx, st)
		case <-ticker.C:
			s.tick(ctx, st)
		}
	}
}

// resume takes over what a loop before this one knew, if it was restarted.
func (s *Spread) resume(st *state) {
	before := s.Snapshot()
	st.self = before.Self
	st.config, st.configAt = before.Configuration, time.Time{}
	for _, m := range before.Live {
		if m.ID != st.self.ID {
			st.members[m.ID] = &member{Member: m, heardAt: s.options.Now()}
		}
	}
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
	s.snapshot.Store(&Snapshot{
		Configuration:   st.config,
		ConfigurationAt: st.configAt,
		Servers:         st.listed(),
		ServersKnown:    st.serversVersion > 0,
		ServersVersion:  st.serversVersion,
		ServersAt:       st.serversAt,
		Self:            st.self,
		Live:            st.live(s.options.Now()),
	})
}

// announce has news sent soon.
func (s *Spread) announce() {
	select {
	case s.news <- struct{}{}:
	default:
	}
}

// LearnConfiguration takes in what the store held at readAt. A raw of nil means
// that the known version is still the newest.
func (s *Spread) LearnConfiguration(ctx context.Context, raw []byte, readAt time.Time) {
	s.do(ctx, func(st *state) {
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
	if st.config != nil && configuration.Version <= st.config.Version {
		return true
	}
	before := uint64(0)
	if st.config != nil {
		before = st.config.Version
	}
	st.config, st.configRaw = configuration, raw
	event.ConfigInForce.Info(s.options.Logger, "version", configuration.Version, "before", before, "from", from,
		"routes", len(configuration.Routes), "keys", len(configuration.Keys))
	s.options.OnConfiguration(configuration)
	s.announce()
	return true
}

// LearnServers takes in changes that the store told at readAt.
func (s *Spread) LearnServers(ctx context.Context, changes ServerChanges, readAt time.Time) {
	s.do(ctx, func(st *state) {
		st.serversAt = readAt
		if st.applyServers(&changes) {
			s.serversChanged(st, "store")
		}
		s.publish(st)
	})
}

func (s *Spread) serversChanged(st *state, from string) {
	listed := st.listed()
	event.ServersChanged.Info(s.options.Logger, "version", st.serversVersion, "from", from, "servers", len(listed))
	s.options.OnServers(listed)
	s.announce()
}

// LearnMembers takes in VMs that the store lists, which may be down.
func (s *Spread) LearnMembers(ctx context.Context, addresses []string) {
	s.do(ctx, func(st *state) { st.seeds = addresses })
}

// SetReady tells others whether callers may use this VM.
func (s *Spread) SetReady(ctx context.Context, ready, leaving bool) {
	s.do(ctx, func(st *state) {
		if st.self.Ready == ready && st.self.Leaving == leaving {
			return
		}
		st.self.Ready, st.self.Leaving = ready, leaving
		st.self.Beat++
		s.publish(st)
		s.announce()
	})
}

// LoadsChanged has this VM's work on the servers told soon.
func (s *Spread) LoadsChanged() {
	s.announce()
}

// note is one thing to tell all live peers once. One field is set.
type note struct {
	copied  *CopyNote
	crashed *CrashNote
	lost    *LossNote
}

// tell queues a note. When too many wait it is dropped: each only saves work
// that the peers can also do without it.
func (s *Spread) tell(n note) {
	select {
	case s.notes <- n:
		s.announce()
	default:
		s.options.Logger.Warn("a note to the peers was dropped: too many wait")
	}
}

// TellCopy tells others where a stream's memory is copied to.
func (s *Spread) TellCopy(copied CopyNote) {
	s.tell(note{copied: &copied})
}

// TellCrash tells others of a server that died with a content.
func (s *Spread) TellCrash(crashed CrashNote) {
	s.tell(note{crashed: &crashed})
}

// TellLoss tells others of a server that is down.
func (s *Spread) TellLoss(lost LossNote) {
	s.tell(note{lost: &lost})
}

// tick exchanges with a few peers.
func (s *Spread) tick(ctx context.Context, st *state) {
	now := s.options.Now()
	st.self.Beat++
	st.forget(now)
	s.publish(st)
	s.turn++
	peers := s.peers(st, now)
	for i := range min(exchangesPerTick, len(peers)) {
		peer := peers[(s.turn*exchangesPerTick+i)%len(peers)]
		s.exchange(ctx, st, peer.ID, peer.PeerAddress, message{})
	}
	if len(peers) == 0 || s.turn%lonelyTicks == 0 {
		s.askSeeds(ctx, st)
	}
	s.askOneDown(ctx, st, now)
}

// peers lists the live others by ID.
func (s *Spread) peers(st *state, now time.Time) []Member {
	peers := []Member{}
	for _, m := range st.live(now) {
		if m.ID != st.self.ID {
			peers = append(peers, m)
		}
	}
	return peers
}

func (s *Spread) askSeeds(ctx context.Context, st *state) {
	known := map[string]bool{st.self.PeerAddress: true}
	for _, m := range st.members {
		if m.isLive(s.options.Now()) {
			known[m.PeerAddress] = true
		}
	}
	for _, address := range st.seeds {
		if !known[address] {
			s.exchange(ctx, st, "seed "+address, address, message{})
		}
	}
}

// askOneDown tries a member that is taken as down, which may only have been cut off.
func (s *Spread) askOneDown(ctx context.Context, st *state, now time.Time) {
	for _, m := range st.members {
		if !m.isLive(now) {
			s.exchange(ctx, st, m.ID, m.PeerAddress, message{})
			return
		}
	}
}

// push sends news to the live peers.
func (s *Spread) push(ctx context.Context, st *state) {
	extra := message{HasLoads: true, Loads: s.options.Loads()}
	s.addNotes(&extra)
	peers := s.peers(st, s.options.Now())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(pushLimit, len(peers))] {
		s.exchange(ctx, st, peer.ID, peer.PeerAddress, extra)
	}
}

// addNotes moves the notes that wait into a message.
func (s *Spread) addNotes(m *message) {
	for {
		select {
		case n := <-s.notes:
			switch {
			case n.copied != nil:
				m.Copies = append(m.Copies, *n.copied)
			case n.crashed != nil:
				m.Crashes = append(m.Crashes, *n.crashed)
			case n.lost != nil:
				m.Losses = append(m.Losses, *n.lost)
			}
		default:
			return
		}
	}
}

// exchange sends what the peer lacks and takes in its answer later.
func (s *Spread) exchange(ctx context.Context, st *state, peer, address string, extra message) {
	now := s.options.Now()
	m := st.summary(now)
	m.Loads, m.HasLoads, m.Copies, m.Crashes, m.Losses = extra.Loads, extra.HasLoads, extra.Copies, extra.Crashes, extra.Losses
	if known := st.members[peer]; known != nil {
		m = st.withNews(m, known.configVersion, known.serversVersion)
	}
	body := m.encode()
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, callLimit)
		defer cancel()
		reply, err := s.options.Call(callCtx, peer, address, body)
		if err != nil {
			if callCtx.Err() != nil && ctx.Err() == nil {
				s.options.Drop(peer)
			}
			return // Seen by the member's beat, which stands still.
		}
		s.take(ctx, reply)
	}()
}

// take takes in a peer's message without an answer to it.
func (s *Spread) take(ctx context.Context, body []byte) {
	told, err := decode(body)
	if err != nil {
		s.options.Logger.Warn("a peer's message could not be read", "error", err)
		return
	}
	s.do(ctx, func(st *state) { s.learn(st, told) })
}

// OnMessage takes in a peer's message and gives the answer.
func (s *Spread) OnMessage(body []byte) []byte {
	told, err := decode(body)
	if err != nil {
		s.options.Logger.Warn("a peer's message could not be read", "error", err)
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	answer := message{}
	s.do(ctx, func(st *state) {
		s.learn(st, told)
		answer = st.withNews(st.summary(s.options.Now()), told.ConfigVersion, told.ServersVersion)
	})
	return answer.encode()
}

// learn takes in all that a message tells.
func (s *Spread) learn(st *state, told message) {
	now := s.options.Now()
	changed := st.hear(told.Members, now)
	if told.Config != nil && (st.config == nil || told.ConfigVersion > st.config.Version) {
		changed = s.adopt(st, told.Config, told.From) || changed
	}
	if st.config != nil && told.ConfigVersion == st.config.Version {
		if at := momentOf(told.ConfigAge, now); at.After(st.configAt) {
			st.configAt = at
			changed = true
		}
	}
	if st.applyServers(told.Servers) {
		s.serversChanged(st, told.From)
		changed = true
	}
	if told.ServersVersion <= st.serversVersion && told.ServersVersion > 0 {
		if at := momentOf(told.ServersAge, now); at.After(st.serversAt) && told.ServersVersion == st.serversVersion {
			st.serversAt = at
			changed = true
		}
	}
	if from := st.members[told.From]; from != nil {
		from.configVersion = max(from.configVersion, told.ConfigVersion)
		from.serversVersion = max(from.serversVersion, told.ServersVersion)
	}
	s.learnWork(told)
	if changed {
		s.publish(st)
	}
}

func (s *Spread) learnWork(told message) {
	if told.HasLoads {
		s.options.OnLoads(told.From, told.Loads)
	}
	if len(told.Copies) > 0 {
		s.options.OnCopies(told.Copies)
	}
	if len(told.Crashes) > 0 {
		s.options.OnCrashes(told.Crashes)
	}
	if len(told.Losses) > 0 {
		s.options.OnLosses(told.Losses)
	}
}
