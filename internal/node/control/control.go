// Package control owns the control state of one VM: the configuration in
// force, the membership and the condemned requests. One goroutine changes the
// state; traffic reads an immutable snapshot and never waits for it.
//
// # Usage
//
//	loop := control.New(control.Options{Self: member, Pool: pool, Publisher: publisher, ...})
//	supervisor.Add(loop)                // runs until its context ends
//	snapshot := loop.Snapshot()         // for traffic
//	beat := loop.OnBeat(peerBeat)       // for the peer server
//	loop.Leave()                        // the VM is about to stop
//
// Reading order: the snapshot, the loop, heartbeats, configuration, the list.
package control

import (
	"context"
	"encoding/json"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/config/object"
	"github.com/endivespoke/endivespoke/internal/config/revision"
	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/peer/gossip"
	"github.com/endivespoke/endivespoke/internal/peer/wire"
	"github.com/endivespoke/endivespoke/internal/platform/vmlist"
)

const (
	// headReadEvery is the time between two reads of the head by a VM whose turn it is.
	headReadEvery = time.Second
	// listReadEvery is the time between two reads of the platform's VM list.
	listReadEvery = 2 * time.Second
	// readersPerDomain VMs of each failure domain read the head.
	readersPerDomain = 2
	// mostLimit is how long an answered heartbeat counts for seeing most VMs.
	mostLimit = 2 * time.Second
	// beatLimit bounds the wait for the answer to a heartbeat.
	beatLimit = 400 * time.Millisecond
	// storeLimit bounds one read of the platform.
	storeLimit = 2 * time.Second
	// condemnedFor is how long a content that crashes engines is refused.
	condemnedFor = 10 * time.Minute
	// unpublished is a membership version that no membership has.
	unpublished = math.MaxUint64
	// maxCondemned bounds the contents remembered and told in a heartbeat.
	maxCondemned = 64
)

// Snapshot is what traffic reads. It is never changed after it was published.
type Snapshot struct {
	Self       wire.Member
	Members    []wire.Member
	Head       revision.Head
	Set        *object.Set // Nil before the first configuration.
	FreshUntil time.Time
	MostUntil  time.Time // Until when this VM counts as seeing most others.
	Condemned  map[string]time.Time
	Leaving    bool
	accounts   map[string]*object.ClientAccount
	operators  map[string]string
}

// Accepting reports whether new requests may be taken: the configuration is
// known to be the newest or, while the store answers nobody, most VMs were seen
// a moment ago, none of them with a newer one. Both are deadlines, so that a VM
// that was paused does not go by what it saw before.
func (s *Snapshot) Accepting(now time.Time) bool {
	if s.Set == nil {
		return false
	}
	return now.Before(s.FreshUntil) || now.Before(s.MostUntil)
}

// Account finds the client account of a bearer token's hash.
func (s *Snapshot) Account(tokenHash string) *object.ClientAccount {
	return s.accounts[tokenHash]
}

// Operator finds the name of the operator with a bearer token's hash.
func (s *Snapshot) Operator(tokenHash string) string {
	return s.operators[tokenHash]
}

// Member finds a VM by id.
func (s *Snapshot) Member(id string) (wire.Member, bool) {
	for _, member := range s.Members {
		if member.ID == id {
			return member, true
		}
	}
	return wire.Member{}, false
}

// Live counts the VMs that are not down.
func (s *Snapshot) Live() int {
	live := 0
	for _, member := range s.Members {
		if member.State != wire.MemberDown {
			live++
		}
	}
	return live
}

// Options shapes a Loop. OnSet is told on the loop's goroutine of each
// configuration that comes into force.
type Options struct {
	Self      wire.Member
	Pool      *wire.Pool
	Publisher *revision.Publisher
	List      *vmlist.Client
	Logger    hclog.Logger
	Now       func() time.Time
	OnSet     func(set *object.Set, live int)
	OnDown    func(vm string)
	Uses      func() []wire.AccountUse
	OnUses    func(from string, uses []wire.AccountUse)
}

// Loop is the goroutine that owns the control state.
type Loop struct {
	options  Options
	changes  chan func(*state)
	snapshot atomic.Pointer[Snapshot]
}

// state belongs to the loop's goroutine alone.
type state struct {
	membership  *gossip.Membership
	inForce     revision.InForce
	condemned   map[string]time.Time
	nextHead    time.Time
	nextList    time.Time
	nextBeat    time.Time
	mostUntil   time.Time
	readingHead bool
	readingList bool
	fetching    bool
	headRead    time.Time // When the head was last read by this VM.
	leaving     bool
	outdated    bool
	down        map[string]bool
	version     uint64 // Of the membership that was last published.
}

// New makes a loop. Its snapshot is empty until it runs.
func New(options Options) *Loop {
	loop := &Loop{options: options, changes: make(chan func(*state), 256)}
	loop.snapshot.Store(&Snapshot{Self: options.Self, Members: []wire.Member{options.Self}})
	return loop
}

// Snapshot gives the newest published state.
func (l *Loop) Snapshot() *Snapshot {
	return l.snapshot.Load()
}

// String names the service in the supervisor's messages.
func (l *Loop) String() string {
	return "control"
}

// Serve runs the loop until the context ends. After a restart it starts with
// no members but with the configuration that was in force.
func (l *Loop) Serve(ctx context.Context) error {
	last := l.Snapshot()
	s := &state{
		membership: gossip.NewMembership(last.Self),
		inForce:    revision.InForce{Head: last.Head, Set: last.Set, FreshUntil: last.FreshUntil},
		condemned:  map[string]time.Time{},
		leaving:    last.Leaving,
		down:       map[string]bool{},
		version:    unpublished,
	}
	ticker := time.NewTicker(gossip.BeatEvery / 10)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case change := <-l.changes:
			change(s)
		case <-ticker.C:
			l.tick(ctx, s)
		}
		l.publish(s)
	}
}

// do runs a change on the loop's goroutine, unless the process is stopping.
func (l *Loop) do(ctx context.Context, change func(*state)) {
	select {
	case l.changes <- change:
	case <-ctx.Done():
	}
}

func (l *Loop) tick(ctx context.Context, s *state) {
	now := l.options.Now()
	if now.After(s.nextList) && !s.readingList {
		s.nextList = now.Add(listReadEvery)
		s.readingList = true
		go l.readList(ctx)
	}
	if now.After(s.nextHead) && !s.readingHead && l.readsHead(s, now) {
		s.nextHead = now.Add(headReadEvery)
		s.readingHead = true
		go l.readHead(ctx, s.inForce.Head.Revision)
	}
	if now.After(s.nextBeat) {
		s.nextBeat = now.Add(gossip.BeatEvery)
		l.sendBeats(ctx, s)
	}
	if s.membership.Alone() {
		s.mostUntil = now.Add(mostLimit) // There is nobody to see.
	}
	for hash, until := range s.condemned {
		if now.After(until) {
			delete(s.condemned, hash)
		}
	}
}

// publish makes the state visible to traffic.
func (l *Loop) publish(s *state) {
	previous := l.Snapshot()
	now := l.options.Now()
	next := &Snapshot{
		Self:       s.membership.Self(),
		Members:    previous.Members,
		Head:       s.inForce.Head,
		Set:        s.inForce.Set,
		FreshUntil: s.inForce.FreshUntil,
		MostUntil:  s.mostUntil,
		Condemned:  s.condemnedCopy(),
		Leaving:    s.leaving,
		accounts:   previous.accounts,
		operators:  previous.operators,
	}
	if next.Set != previous.Set {
		next.index()
	}
	if s.version != s.membership.Version() {
		s.version = s.membership.Version()
		next.Members = s.membership.Members()
	}
	l.snapshot.Store(next)
	l.logOutdated(s, next, now)
	if len(next.Members) > 0 && &next.Members[0] != &previous.Members[0] {
		l.logMembers(s, next)
	}
}

func (s *state) condemnedCopy() map[string]time.Time {
	copied := make(map[string]time.Time, len(s.condemned))
	for hash, until := range s.condemned {
		copied[hash] = until
	}
	return copied
}

// index prepares the lookups by token. Tokens are compared by their hashes, so
// the time that a comparison takes tells nothing about a token.
func (s *Snapshot) index() {
	s.accounts = map[string]*object.ClientAccount{}
	s.operators = map[string]string{}
	for i := range s.Set.ClientAccounts {
		account := &s.Set.ClientAccounts[i]
		for _, hash := range account.TokenHashes {
			s.accounts[hash] = account
		}
	}
	for _, operator := range s.Set.Operators {
		for _, hash := range operator.TokenHashes {
			s.operators[hash] = operator.Name
		}
	}
}

func (l *Loop) logOutdated(s *state, next *Snapshot, now time.Time) {
	outdated := next.Set != nil && !next.Accepting(now)
	if outdated && !s.outdated {
		event.ConfigOutdated.Warn(l.options.Logger, "revision", next.Head.Revision)
	}
	if !outdated && s.outdated {
		event.ConfigCurrent.Info(l.options.Logger, "revision", next.Head.Revision)
	}
	s.outdated = outdated
}

func (l *Loop) logMembers(s *state, next *Snapshot) {
	for _, member := range next.Members {
		down := member.State == wire.MemberDown
		if down && !s.down[member.ID] {
			event.PeerDown.Warn(l.options.Logger, "vm", member.ID)
			l.options.OnDown(member.ID)
		}
		if !down && s.down[member.ID] {
			event.PeerBack.Info(l.options.Logger, "vm", member.ID)
		}
		s.down[member.ID] = down
	}
}

// Leave tells everyone that this VM is about to stop.
func (l *Loop) Leave() {
	l.changes <- func(s *state) {
		s.leaving = true
		s.membership.Leave()
	}
}

// Condemn refuses a request content on every VM for a while.
func (l *Loop) Condemn(contentHash string) {
	until := l.options.Now().Add(condemnedFor)
	l.changes <- func(s *state) { s.condemn(wire.Condemned{ContentHash: contentHash, Until: until}) }
}

func (s *state) condemn(condemned wire.Condemned) {
	if len(s.condemned) < maxCondemned || !s.condemned[condemned.ContentHash].IsZero() {
		s.condemned[condemned.ContentHash] = condemned.Until
	}
}

// Heartbeats.

// sendBeats asks each neighbour. The answers come back as changes.
func (l *Loop) sendBeats(ctx context.Context, s *state) {
	for _, target := range s.membership.Targets() {
		beat := l.beat(s)
		go l.sendBeat(ctx, target, beat)
	}
}

func (l *Loop) beat(s *state) wire.Beat {
	now := l.options.Now()
	beat := wire.Beat{
		From:        s.membership.Self().ID,
		Revision:    s.inForce.Head.Revision,
		Hash:        s.inForce.Head.Hash,
		FreshMillis: max(0, s.inForce.FreshUntil.Sub(now).Milliseconds()),
		Members:     s.membership.Digest(),
		Uses:        l.options.Uses(),
	}
	for hash, until := range s.condemned {
		beat.Condemned = append(beat.Condemned, wire.Condemned{ContentHash: hash, Until: until})
	}
	slices.SortFunc(beat.Condemned, func(a, b wire.Condemned) int { return b.Until.Compare(a.Until) })
	return beat
}

func (l *Loop) sendBeat(ctx context.Context, target wire.Member, beat wire.Beat) {
	askedAt := l.options.Now()
	callCtx, cancel := context.WithTimeout(ctx, beatLimit)
	defer cancel()
	reply, err := l.options.Pool.Call(callCtx, target.ID, target.PeerAddress, wire.Frame{Beat: &beat})
	if err != nil || reply.Beat == nil {
		l.do(ctx, func(s *state) { s.membership.Unanswered(target.ID, l.options.Now()) })
		return
	}
	l.do(ctx, func(s *state) {
		s.membership.Answered(target.ID)
		l.hear(ctx, s, *reply.Beat)
		s.sawPeer(reply.Beat.Revision, askedAt)
		// Only an answer confirms, counted from when it was asked for: a beat that
		// lay unread through a pause must not make an old revision look fresh.
		fresh := time.Duration(reply.Beat.FreshMillis) * time.Millisecond
		s.inForce.Confirm(reply.Beat.Revision, askedAt.Add(fresh))
	})
}

// sawPeer notes that a peer answered at a time, and which revision it had. A peer
// with a newer one is a reason to wait for that, not to go on with the old.
func (s *state) sawPeer(revision uint64, askedAt time.Time) {
	if revision > s.inForce.Head.Revision || !s.membership.SeesMost() {
		return
	}
	if until := askedAt.Add(mostLimit); until.After(s.mostUntil) {
		s.mostUntil = until
	}
}

// OnBeat answers a peer's heartbeat. It runs on the peer connection's goroutine.
func (l *Loop) OnBeat(beat wire.Beat) wire.Beat {
	answer := make(chan wire.Beat, 1)
	select {
	case l.changes <- func(s *state) {
		l.hear(context.Background(), s, beat)
		answer <- l.beat(s)
	}:
	case <-time.After(beatLimit):
		return wire.Beat{}
	}
	select {
	case reply := <-answer:
		return reply
	case <-time.After(beatLimit):
		return wire.Beat{}
	}
}

// hear takes in what a peer told, and fetches a configuration that is newer
// than the one in force.
func (l *Loop) hear(ctx context.Context, s *state, beat wire.Beat) {
	s.membership.Merge(beat.Members, l.options.Now())
	l.options.OnUses(beat.From, beat.Uses)
	for _, condemned := range beat.Condemned {
		s.condemn(condemned)
	}
	if beat.Revision <= s.inForce.Head.Revision || s.fetching {
		return
	}
	from, found := l.Snapshot().Member(beat.From)
	if !found {
		return
	}
	s.fetching = true
	go l.fetchFromPeer(ctx, from, beat.Hash)
}

// Configuration.

// readsHead reports whether it is this VM's turn to read the head: it is one
// of the few of its failure domain, or it has not heard of a fresh one.
func (l *Loop) readsHead(s *state, now time.Time) bool {
	if now.Add(revision.FreshLimit / 2).After(s.inForce.FreshUntil) {
		return true
	}
	self := s.membership.Self()
	same := []wire.Member{}
	for _, member := range s.membership.Members() {
		if member.FailureDomain == self.FailureDomain && member.State == wire.MemberLive {
			same = append(same, member)
		}
	}
	for _, reader := range gossip.Rank("headReader", same)[:min(readersPerDomain, len(same))] {
		if reader.ID == self.ID {
			return true
		}
	}
	return false
}

func (l *Loop) readHead(ctx context.Context, known uint64) {
	askedAt := l.options.Now()
	readCtx, cancel := context.WithTimeout(ctx, storeLimit)
	defer cancel()
	head, err := l.options.Publisher.Head(readCtx)
	if err != nil {
		l.do(ctx, func(s *state) { s.readingHead = false })
		return
	}
	if head.Revision > known {
		l.fetchFromStore(readCtx, head, askedAt)
	}
	l.do(ctx, func(s *state) {
		s.readingHead = false
		s.headRead = askedAt
		s.inForce.Confirm(head.Revision, askedAt.Add(revision.FreshLimit))
	})
}

func (l *Loop) fetchFromStore(ctx context.Context, head revision.Head, askedAt time.Time) {
	set, err := l.options.Publisher.Content(ctx, head)
	if err != nil {
		event.ConfigUnreadable.Warn(l.options.Logger, "revision", head.Revision, "error", err)
		return
	}
	l.Offer(ctx, head, &set, askedAt)
}

// fetchFromPeer asks the peer that told of a newer revision for its content,
// and the store if the peer fails.
func (l *Loop) fetchFromPeer(ctx context.Context, from wire.Member, hash string) {
	defer l.do(ctx, func(s *state) { s.fetching = false })
	callCtx, cancel := context.WithTimeout(ctx, storeLimit)
	defer cancel()
	reply, err := l.options.Pool.Call(callCtx, from.ID, from.PeerAddress, wire.Frame{Content: &wire.ContentRequest{Hash: hash}})
	if err != nil || reply.ContentIs == nil || len(reply.ContentIs.Body) == 0 {
		l.readHead(ctx, 0)
		return
	}
	head, set, err := decodeContent(*reply.ContentIs)
	if err != nil {
		event.ConfigUnreadable.Warn(l.options.Logger, "from", from.ID, "error", err)
		return
	}
	l.Offer(ctx, head, &set, time.Time{})
}

func decodeContent(content wire.Content) (head revision.Head, set object.Set, err error) {
	if err = json.Unmarshal(content.Head, &head); err != nil {
		return revision.Head{}, object.Set{}, errors.Annotate(err, "head from a peer")
	}
	if set, err = revision.Decode(head, content.Body); err != nil {
		return revision.Head{}, object.Set{}, errors.Trace(err)
	}
	return head, set, nil
}

// Offer puts a configuration in force if it is newer than the one that is.
// seenAt is when it was known to be the newest, or zero.
func (l *Loop) Offer(ctx context.Context, head revision.Head, set *object.Set, seenAt time.Time) {
	l.do(ctx, func(s *state) {
		if !s.inForce.Offer(head, set, seenAt) {
			return
		}
		event.ConfigInForce.Info(l.options.Logger, "revision", head.Revision, "publisher", head.Publisher)
		l.options.OnSet(set, l.Snapshot().Live())
	})
}

// OnContent answers a peer that lacks the configuration in force.
func (l *Loop) OnContent(request wire.ContentRequest) wire.Content {
	snapshot := l.Snapshot()
	if snapshot.Set == nil || snapshot.Head.Hash != request.Hash {
		return wire.Content{}
	}
	head, err := json.Marshal(snapshot.Head)
	if err != nil {
		return wire.Content{}
	}
	return wire.Content{Head: head, Body: object.Encode(*snapshot.Set)}
}

// The list.

func (l *Loop) readList(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, storeLimit)
	defer cancel()
	vms, err := l.options.List.List(readCtx)
	l.do(ctx, func(s *state) {
		s.readingList = false
		if err != nil {
			event.ListUnreadable.Warn(l.options.Logger, "error", err)
			return
		}
		s.membership.Listed(vms, l.options.Now())
	})
}
