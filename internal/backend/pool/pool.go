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
// a later check succeeds.
package pool

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/placement"
)

// ErrNone means that no server may take the work.
const ErrNone = errors.ConstError("no backend server may take the work")

const (
	// checkLimit bounds a check. Servers are a few milliseconds away.
	checkLimit = 200 * time.Millisecond
	// recheckEvery is the pause between checks of a server that is down.
	recheckEvery = 400 * time.Millisecond
	// callMemory is the weight of the newest call in a server's averages.
	callMemory = 0.15
	// failureHalfLife is how soon a server's failures count half, so that one that
	// gets no calls is tried again.
	failureHalfLife = 2 * time.Second
	// endedLife is how long a server whose process was gone is avoided under its old
	// entry. A process that started again has a new one; the entry of the old one
	// lapses after three heartbeats.
	endedLife = 5 * time.Second
	// doubtLife is how long the servers of a failure domain that lost one are
	// avoided until they were heard of. Their checks need checkLimit.
	doubtLife = time.Second
	// tellPause keeps VMs from telling each other again what they were told.
	tellPause = 2 * time.Second
	// peerLoadLife is how long what a peer told of its work counts. Peers tell it
	// every LoadsEvery even if nothing changes; one message may be lost.
	peerLoadLife = 3 * time.Second
	// LoadsEvery is the longest pause between two messages about a VM's work.
	LoadsEvery = 1200 * time.Millisecond
)

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

// Load is the work that one VM has on a server.
type Load struct {
	ServerID      string `cbor:"1,keyasint"`
	PendingTokens int    `cbor:"2,keyasint,omitempty"`
	Running       int    `cbor:"3,keyasint,omitempty"`
	MemoryTokens  int    `cbor:"4,keyasint,omitempty"`
}

// Options shapes a Pool. Draw gives random numbers in [0, 1) and must be safe
// for concurrent use. OnChange is told when a server went down or came back, and
// Tell has the peers told of a loss that this VM found itself.
type Options struct {
	Now      func() time.Time
	Draw     func() float64
	Check    func(ctx context.Context, address string) error
	OnChange func(server Server, down bool, reason string)
	Tell     func(serverID string, ended bool)
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

	mu      sync.Mutex
	servers map[string]*server
	peers   map[string]peerLoads
	others  map[string]Load // The peers' work by server, summed.
	rooms   map[string]Room // By service.
	lossAt  map[group]time.Time
	cell    int            // This VM's.
	cells   int            // 0 and 1 for a fleet that is not split.
	cellOf  map[string]int // Of the servers, by address; nil until it is needed.

	recheckedAt time.Time
	pausedAt    time.Time // When this process last went on after a pause.
}

// group is the servers that are likely to fail together.
type group struct {
	service       string
	failureDomain string
}

func (s *server) group() group {
	return group{service: s.Service, failureDomain: s.FailureDomain}
}

type peerLoads struct {
	loads      []Load
	validUntil time.Time
}

type server struct {
	Server
	listed      bool
	replaced    bool      // Another instance has the address.
	endedAt     time.Time // When its process was found to be gone; zero if it was not.
	toldAt      time.Time // When a peer told that it is down.
	down        bool
	checking    bool
	recheckAt   time.Time
	heardAt     time.Time // From its address: also when a check succeeded.
	answeredAt  time.Time // From its process.
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

// Lease is work on a server. Down is closed when the server is found down, and
// CopyLost when the holder of the stream's copy is, or if there is none. Load is
// what was known of the server when it was chosen, for the log. Moves tells
// whether the stream can be moved.
type Lease struct {
	Server   Server
	Down     chan struct{}
	CopyLost chan struct{}
	Load     placement.Candidate
	Moves    bool

	pool    *Pool
	server  *server
	stream  bool
	need    placement.Need
	started bool // The first event has arrived.
	backup  *server
	told    bool // Down is closed.
	lost    bool // CopyLost is closed.
	ended   bool
}

func (l *Lease) tellCopyLost() {
	if !l.lost {
		l.lost = true
		close(l.CopyLost)
	}
}

func (l *Lease) tellDown() {
	if !l.told {
		l.told = true
		close(l.Down)
	}
}

// New makes an empty pool.
func New(options Options) *Pool {
	if options.Tell == nil {
		options.Tell = func(string, bool) {}
	}
	if options.Go == nil {
		options.Go = func(do func()) { go do() }
	}
	if options.HasIdle == nil {
		options.HasIdle = func(string) bool { return false }
	}
	if options.OnChange == nil {
		options.OnChange = func(Server, bool, string) {}
	}
	return &Pool{options: options, servers: map[string]*server{}, peers: map[string]peerLoads{}, others: map[string]Load{}, lossAt: map[group]time.Time{}}
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
			known = &server{leases: map[*Lease]bool{}}
			p.servers[entry.ID] = known
		}
		known.Server = entry
		known.listed = true
		known.foundAt = time.Time{}
	}
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
	return s.Leaving || !s.listed
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
			s.replaced = true
		}
	}
}

// Room is what each server of a service offers to streams: its memory in tokens,
// whether it holds copies of other servers' runs, and whether it moves runs.
type Room struct {
	CacheTokens int
	Copies      bool
	Moves       bool
}

// SetRooms takes in what the services offer.
func (p *Pool) SetRooms(rooms map[string]Room) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rooms = rooms
}

// PeerLoads takes in what a peer has on the servers.
func (p *Pool) PeerLoads(peer string, loads []Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forgetPeer(peer)
	p.peers[peer] = peerLoads{loads: loads, validUntil: p.options.Now().Add(peerLoadLife)}
	for _, load := range loads {
		p.addOthers(load, 1)
	}
}

// forgetPeer drops what a peer told. Called with the lock held.
func (p *Pool) forgetPeer(peer string) {
	for _, load := range p.peers[peer].loads {
		p.addOthers(load, -1)
	}
	delete(p.peers, peer)
}

// addOthers adds to the sums of the peers' work, or takes away from them.
func (p *Pool) addOthers(load Load, sign int) {
	sum := p.others[load.ServerID]
	sum.PendingTokens += sign * load.PendingTokens
	sum.Running += sign * load.Running
	sum.MemoryTokens += sign * load.MemoryTokens
	p.others[load.ServerID] = sum
	if sum == (Load{}) {
		delete(p.others, load.ServerID)
	}
}

// forgetSilentPeers drops what was told too long ago. Called with the lock held.
func (p *Pool) forgetSilentPeers(now time.Time) {
	for peer, told := range p.peers {
		if now.After(told.validUntil) {
			p.forgetPeer(peer)
		}
	}
}

// Loads lists the stream work of this VM.
func (p *Pool) Loads() []Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	loads := []Load{}
	for id, s := range p.servers {
		load := s.load()
		if load != (Load{}) {
			load.ServerID = id
			loads = append(loads, load)
		}
	}
	return loads
}

func (s *server) load() Load {
	load := Load{MemoryTokens: s.copies}
	for lease := range s.leases {
		if !lease.stream {
			continue
		}
		load.MemoryTokens += lease.need.Tokens()
		if lease.started {
			load.Running++
		} else {
			load.PendingTokens += lease.need.PromptTokens
		}
	}
	return load
}

// candidate describes a server to package placement.
func (p *Pool) candidate(s *server, now time.Time) placement.Candidate {
	load := s.load()
	theirs := p.others[s.ID]
	load.PendingTokens += theirs.PendingTokens
	load.Running += theirs.Running
	load.MemoryTokens += theirs.MemoryTokens
	return placement.Candidate{
		ID:            s.ID,
		FailureDomain: s.FailureDomain,
		Slots:         s.Slots,
		Avoided:       s.down || now.Sub(s.endedAt) < endedLife || p.isDoubtful(s, now),
		PendingTokens: load.PendingTokens,
		Running:       load.Running,
		MemoryTokens:  load.MemoryTokens,
		CacheTokens:   p.rooms[s.Service].CacheTokens,
		Calls:         s.calls,
		FailureRate:   s.decayedFailures(now),
		LatencyMillis: s.latency,
		Connected:     p.options.HasIdle(s.Address),
	}
}

// isDoubtful reports whether another server of the failure domain was lost a
// moment ago and nothing was heard of this one since.
func (p *Pool) isDoubtful(s *server, now time.Time) bool {
	lossAt := p.lossAt[s.group()]
	return now.Sub(lossAt) < doubtLife && s.heardAt.Before(lossAt)
}

// candidates lists the servers of a service that may take new work, in random
// order, so that VMs with the same picture don't all take the first.
func (p *Pool) candidates(service string, tried map[string]bool, now time.Time) ([]*server, []placement.Candidate) {
	p.forgetSilentPeers(now)
	usable := []*server{}
	for _, s := range p.servers {
		if s.Service == service && s.takesWork() && !tried[s.ID] {
			usable = append(usable, s)
		}
	}
	slices.SortFunc(usable, byID)
	for i := len(usable) - 1; i > 0; i-- {
		j := int(p.options.Draw() * float64(i+1))
		usable[i], usable[j] = usable[j], usable[i]
	}
	described := make([]placement.Candidate, len(usable))
	for i, s := range usable {
		described[i] = p.candidate(s, now)
	}
	return usable, described
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
	return s.listed && !s.Leaving && !s.replaced
}

// Call chooses a server for a short call, none of those tried.
func (p *Pool) Call(service string, tried map[string]bool) (lease *Lease, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable, described := p.candidates(service, tried, p.options.Now())
	at, found := placement.Call(described, p.options.Draw)
	if !found {
		return nil, errors.Trace(ErrNone)
	}
	usable[at].calls++
	return p.lease(usable[at], &Lease{}), nil
}

// Ask is a stream that wants a server. On names the server that must take it,
// because it holds a copy of the stream's memory.
type Ask struct {
	Service string
	Need    placement.Need
	Tried   map[string]bool
	On      string
	Begun   bool // Its prompt need not be read.
}

// Stream chooses a server for a stream, and one in another failure domain for
// the copy of its memory; backup is nil if there is none with room.
func (p *Pool) Stream(ask Ask) (lease *Lease, backup *Server, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	chosen := p.holder(ask)
	if chosen == nil {
		if chosen = p.chooseForStream(ask, now); chosen == nil {
			return nil, nil, errors.Trace(ErrNone)
		}
	}
	lease = p.lease(chosen, &Lease{stream: true, need: ask.Need, started: ask.On != "" || ask.Begun, Load: p.candidate(chosen, now)})
	room := p.rooms[ask.Service]
	lease.Moves = room.Moves && room.Copies
	if !room.Copies {
		return lease, nil, nil
	}
	lease.backup = p.chooseForCopy(ask, chosen, now)
	if lease.backup == nil {
		lease.tellCopyLost()
		return lease, nil, nil
	}
	lease.backup.copies += ask.Need.Tokens()
	copied := lease.backup.Server
	return lease, &copied, nil
}

// chooseForStream chooses among the servers of this VM's cell, and among all if those
// are down or have no room. Called with the lock held.
func (p *Pool) chooseForStream(ask Ask, now time.Time) *server {
	usable, described := p.candidates(ask.Service, ask.Tried, now)
	near, nearDescribed := p.inCell(usable, described)
	if at, found := placement.Stream(nearDescribed, ask.Need); found && !nearDescribed[at].Avoided && placement.Fits(nearDescribed[at], ask.Need) {
		return near[at]
	}
	if at, found := placement.Stream(described, ask.Need); found {
		return usable[at]
	}
	return nil
}

// chooseForCopy chooses the holder of a stream's copy in the same way; nil if none has
// room. Called with the lock held.
func (p *Pool) chooseForCopy(ask Ask, chosen *server, now time.Time) *server {
	usable, described := p.candidates(ask.Service, map[string]bool{chosen.ID: true}, now)
	near, nearDescribed := p.inCell(usable, described)
	if at, found := placement.Backup(nearDescribed, chosen.FailureDomain, ask.Need); found && !nearDescribed[at].Avoided {
		return near[at]
	}
	if at, found := placement.Backup(described, chosen.FailureDomain, ask.Need); found && !described[at].Avoided {
		return usable[at]
	}
	return nil
}

// SetCell tells which cell of how many this VM is in; see placement.Cells.
func (p *Pool) SetCell(cell, cells int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cells != cells {
		p.cellOf = nil
	}
	p.cell, p.cells = cell, cells
}

// inCell gives those of the servers that are in this VM's cell. Called with the lock
// held.
func (p *Pool) inCell(usable []*server, described []placement.Candidate) (near []*server, nearDescribed []placement.Candidate) {
	if p.cells <= 1 {
		return usable, described
	}
	if p.cellOf == nil {
		p.assignCells()
	}
	for i, s := range usable {
		if p.cellOf[s.Address] == p.cell {
			near = append(near, s)
			nearDescribed = append(nearDescribed, described[i])
		}
	}
	return near, nearDescribed
}

// assignCells assigns all servers, those of each service and failure domain for
// themselves. Called with the lock held.
func (p *Pool) assignCells() {
	groups := map[group][]string{}
	for _, s := range p.servers {
		if s.listed {
			groups[s.group()] = append(groups[s.group()], s.Address)
		}
	}
	p.cellOf = map[string]int{}
	for _, addresses := range groups {
		maps.Copy(p.cellOf, placement.Cells(addresses, p.cells))
	}
}

// holder gives the server that the ask names, if it is there and not down. A
// leaving server may go on with what it holds.
func (p *Pool) holder(ask Ask) *server {
	s := p.servers[ask.On]
	if s == nil || s.down || !s.endedAt.IsZero() || s.replaced || !s.listed || s.Leaving {
		return nil
	}
	return s
}

func (p *Pool) lease(s *server, lease *Lease) *Lease {
	lease.Server = s.Server
	lease.Down = make(chan struct{})
	lease.CopyLost = make(chan struct{})
	lease.pool = p
	lease.server = s
	s.leases[lease] = true
	return lease
}

// Started tells that the first event of the stream arrived.
func (l *Lease) Started() {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.started = true
}

// Heard tells that the server sent something.
func (l *Lease) Heard() {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	now := l.pool.options.Now()
	l.server.heardAt = now
	l.server.answeredAt = now
}

// Release gives the room back. Calling it again does nothing.
func (l *Lease) Release() {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	if l.ended {
		return
	}
	l.ended = true
	delete(l.server.leases, l)
	if !l.stream {
		l.server.calls--
	}
	if l.backup != nil {
		l.backup.copies -= l.need.Tokens()
	}
}

// Answered notes how a short call went.
func (l *Lease) Answered(took time.Duration, failed bool) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	s := l.server
	now := l.pool.options.Now()
	s.heardAt = now
	s.note(now, failed)
	if failed {
		return
	}
	s.answeredAt = now
	millis := float64(took) / float64(time.Millisecond)
	if s.latency == 0 {
		s.latency = millis
	}
	s.latency += callMemory * (millis - s.latency)
}

func (s *server) note(now time.Time, failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	rate := s.decayedFailures(now)
	s.failureRate = rate + callMemory*(value-rate)
	s.failureAt = now
}

func (s *server) decayedFailures(now time.Time) float64 {
	halves := float64(now.Sub(s.failureAt)) / float64(failureHalfLife)
	return s.failureRate / (1 + halves)
}

// Replaced tells that another instance has the server's address. Peers are told
// that this one is gone.
func (l *Lease) Replaced() {
	l.pool.mu.Lock()
	known := l.server.replaced
	l.server.replaced = true
	l.pool.startIdentify(l.server)
	l.pool.mu.Unlock()
	if !known {
		l.pool.options.Tell(l.Server.ID, true)
	}
}

// Broke tells that a connection to the server broke, or that nothing arrives on
// it. The server is checked, unless a check already runs.
func (l *Lease) Broke() {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.server.note(l.pool.options.Now(), true)
	l.pool.startCheck(l.server)
}

// Unreachable tells that no connection to the server could be opened.
func (l *Lease) Unreachable(cause error) {
	l.pool.checked(l.server, cause)
}

// Verify opens a connection to learn at once whether the server is up.
func (l *Lease) Verify(ctx context.Context) (up bool) {
	return l.pool.check(ctx, l.server, l.Server.Address)
}

// VerifyIfQuiet checks the server if nothing was heard of it since a moment.
func (l *Lease) VerifyIfQuiet(since time.Time) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	if l.server.heardAt.Before(since) {
		l.pool.startCheck(l.server)
	}
}

// startCheck opens a connection to learn whether the server is up. Called with
// the lock held.
func (p *Pool) startCheck(s *server) {
	if s.checking {
		return
	}
	s.checking = true
	address := s.Address
	p.options.Go(func() { p.check(context.Background(), s, address) })
}

func (p *Pool) check(ctx context.Context, s *server, address string) (up bool) {
	ctx, cancel := context.WithTimeout(ctx, checkLimit)
	defer cancel()
	err := p.options.Check(ctx, address)
	p.checked(s, err)
	return err == nil
}

// checked takes in what a check found.
func (p *Pool) checked(s *server, failure error) {
	p.mu.Lock()
	now := p.options.Now()
	s.checking = false
	s.recheckAt = now.Add(recheckEvery)
	changed := s.down != (failure != nil)
	s.down = failure != nil
	ended := errors.Is(failure, syscall.ECONNREFUSED)
	if failure == nil {
		s.heardAt = now
	}
	if ended {
		s.endedAt = now
		s.identified = false
	}
	if changed && s.down {
		p.lost(s, now)
	}
	p.seekSuccessor(s)
	tell := changed && s.down && now.Sub(s.toldAt) > tellPause
	described := s.Server
	p.mu.Unlock()
	if !changed {
		return
	}
	if tell {
		p.options.Tell(described.ID, ended)
	}
	reason := "accepts connections"
	if failure != nil {
		reason = failure.Error()
	}
	p.options.OnChange(described, failure != nil, reason)
}

// lost tells the leases of a server, and has the others of its failure domain
// checked: they often fail together. Called with the lock held.
//
// Only the VM that found the loss has them all checked, and tells what it finds. The
// others check those on which they have work: with 91 VMs and 18 servers in a failure
// domain, one loss would otherwise cost 1,600 connections.
func (p *Pool) lost(s *server, now time.Time) {
	for lease := range s.leases {
		lease.tellDown()
	}
	p.copiesLost(s)
	doubted := now.Sub(p.lossAt[s.group()]) < doubtLife
	if doubted {
		return // They are being checked already.
	}
	p.lossAt[s.group()] = now
	wasTold := now.Sub(s.toldAt) < tellPause
	for _, other := range p.ordered() {
		if other.group() == s.group() && other.takesWork() && !other.down && (!wasTold || len(other.leases) > 0) {
			p.startCheck(other)
		}
	}
}

// copiesLost tells the streams whose copy a server held. Called with the lock held.
func (p *Pool) copiesLost(holder *server) {
	for _, s := range p.servers {
		for lease := range s.leases {
			if lease.backup == holder {
				lease.tellCopyLost()
			}
		}
	}
}

// PeerLost takes in that a peer found a server down. Ended means that its process is
// gone: this VM then avoids it, and checks it only if it has work there.
func (p *Pool) PeerLost(serverID string, ended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[serverID]
	if s == nil || s.down {
		return
	}
	s.toldAt = p.options.Now()
	if ended {
		s.endedAt = s.toldAt
		p.lossAt[s.group()] = s.toldAt
		p.copiesLost(s)
		if len(s.leases) == 0 {
			return
		}
	}
	p.startCheck(s)
}

// Recheck checks the servers that are down and still listed. Call it often.
//
// One whose process is gone comes back as another entry. It is only checked while
// the list may lack that entry, and when the old one has stayed for too long.
func (p *Pool) Recheck(context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	p.notePause(now)
	for _, s := range p.ordered() {
		p.dropUnlisted(s)
		p.seekSuccessor(s)
		isGone := now.Sub(s.endedAt) < endedLife && !p.isListOld(now)
		if s.down && s.takesWork() && now.After(s.recheckAt) && !isGone {
			p.startCheck(s)
		}
	}
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

// Room tells how many servers of a service may take work, and how many of them
// are not down.
func (p *Pool) Room(service string) (listed, up int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		if s.Service != service || !s.takesWork() {
			continue
		}
		listed++
		if !s.down {
			up++
		}
	}
	return listed, up
}
