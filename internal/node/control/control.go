// Package control owns the control state of one VM: the configuration in
// force, the membership and the condemned requests. One goroutine changes the
// state; traffic reads an immutable snapshot and never waits for it.
//
// # Usage
//
//	loop := control.New(control.Options{Self: member, Pool: pool, Publisher: publisher, ...})
//	supervisor.Add(loop)                // runs until its context ends
//	snapshot := loop.Snapshot()         // for traffic
//	beat := loop.OnHeartbeat(peerBeat)  // for the peer server
//	loop.Leave()                        // the VM is about to stop
//
// Reading order: snapshot.go (what traffic sees), this file (the loop),
// heartbeat.go, configuration.go.
package control

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

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
	// BlockedFor is how long a content that crashes engines is refused.
	BlockedFor = 10 * time.Minute
	// unpublished is a membership version that no membership has.
	unpublished = math.MaxUint64
	// maxCondemned bounds the contents remembered, toldCondemned those of them,
	// the newest, that are told in one heartbeat.
	maxCondemned  = 64
	toldCondemned = 4
)

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
	Uses      func() []wire.AccountDemand
	OnUses    func(from string, uses []wire.AccountDemand)
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
	content     wire.Content
	condemned   map[string]time.Time
	nextHead    time.Time
	nextList    time.Time
	nextBeat    time.Time
	mostUntil   time.Time
	readingHead bool
	readingList bool
	fetching    bool
	leaving     bool
	outdated    bool
	down        map[string]bool
	dirty       bool   // There is something to publish.
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
		content:    last.content,
		condemned:  map[string]time.Time{},
		leaving:    last.Leaving,
		down:       map[string]bool{},
		version:    unpublished,
		dirty:      true,
	}
	ticker := time.NewTicker(gossip.HeartbeatInterval / 10)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case change := <-l.changes:
			change(s)
			s.dirty = true
		case <-ticker.C:
			l.tick(ctx, s)
		}
		if s.dirty {
			s.dirty = false
			l.publish(s)
		}
		l.logOutdated(s, l.Snapshot(), l.options.Now())
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
	if now.After(s.nextHead) && !s.readingHead {
		s.nextHead = now.Add(headReadEvery) // Also when it is another's turn: whose it is need not be asked at each tick.
		if l.readsHead(s, now) {
			s.readingHead = true
			go l.readHead(ctx, s.inForce.Head.Revision)
		}
	}
	if now.After(s.nextBeat) {
		s.nextBeat = now.Add(gossip.HeartbeatInterval)
		l.sendBeats(ctx, s)
	}
	if s.membership.HasNoPeers() {
		s.mostUntil = now.Add(mostLimit) // There is nobody to see.
		s.dirty = true
	}
	for hash, until := range s.condemned {
		if now.After(until) {
			delete(s.condemned, hash)
			s.dirty = true
		}
	}
}

// publish makes the state visible to traffic.
func (l *Loop) publish(s *state) {
	previous := l.Snapshot()
	next := &Snapshot{
		Self:         s.membership.Self(),
		Members:      previous.Members,
		Head:         s.inForce.Head,
		Set:          s.inForce.Set,
		FreshUntil:   s.inForce.FreshUntil,
		QuorumUntil:  s.mostUntil,
		BlockedUntil: s.condemnedCopy(),
		content:      s.content,
		Leaving:      s.leaving,
		accounts:     previous.accounts,
		operators:    previous.operators,
	}
	if next.Set != previous.Set {
		next.index()
	}
	if s.version != s.membership.Version() {
		s.version = s.membership.Version()
		next.Members = s.membership.Members()
	}
	l.snapshot.Store(next)
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

// Block refuses a request content on every VM for a while.
func (l *Loop) Block(contentHash string) {
	until := l.options.Now().Add(BlockedFor)
	l.changes <- func(s *state) { s.condemn(wire.BlockedContent{ContentHash: contentHash, Until: until}) }
}

func (s *state) condemn(condemned wire.BlockedContent) {
	if len(s.condemned) < maxCondemned || !s.condemned[condemned.ContentHash].IsZero() {
		s.condemned[condemned.ContentHash] = condemned.Until
	}
}

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
		s.membership.ApplyList(vms, l.options.Now())
	})
}
