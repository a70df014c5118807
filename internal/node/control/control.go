// Package control owns the control state of one VM: the configuration in
// force, the membership and the blocked contents. One goroutine changes the
// state; request handling reads an immutable snapshot without blocking.
//
// # Usage
//
//	loop := control.New(control.Options{Self: member, Pool: pool, Publisher: publisher, ...})
//	supervisor.Add(loop)                // runs until its context ends
//	snapshot := loop.Snapshot()         // for request handling
//	reply := loop.OnHeartbeat(received) // for the peer server
//	loop.Leave()                        // the VM is about to stop
//
// Reading order: snapshot.go (the state that request handling reads), this file
// (the loop), heartbeat.go, configuration.go.
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
	"github.com/endivespoke/endivespoke/internal/request/crash"
)

const (
	// headReadInterval is the time between two reads of the head by a head reader.
	headReadInterval = time.Second
	// listReadInterval is the time between two reads of the platform's VM list.
	listReadInterval = 2 * time.Second
	// headReadersPerDomain is the number of VMs of each failure domain that read the head.
	headReadersPerDomain = 2
	// quorumValidity is how long an answered heartbeat counts as contact with a quorum of VMs.
	quorumValidity = 2 * time.Second
	// heartbeatTimeout bounds the wait for the answer to a heartbeat.
	heartbeatTimeout = 400 * time.Millisecond
	// storeTimeout bounds one read of the platform.
	storeTimeout = 2 * time.Second
	// BlockedFor is how long a content that crashes engines is blocked.
	BlockedFor = 10 * time.Minute
	// unpublished is a version that no membership has.
	unpublished = math.MaxUint64
	// maxBlocked bounds the blocked contents. A heartbeat carries the newest
	// maxBlockedPerHeartbeat of them.
	maxBlocked             = 64
	maxBlockedPerHeartbeat = 4
	// crashReportPeriod is how long heartbeats carry each crash, so that crashes under one
	// content at different VMs are counted together. maxFreshCrashes bounds these reports in a
	// heartbeat: an engine runs some 50 requests, each with a few beginnings.
	// maxRecurringCrashes bounds the reports of contents under which several engines crashed.
	crashReportPeriod   = 3 * gossip.HeartbeatInterval
	maxFreshCrashes     = 128
	maxRecurringCrashes = 16
)

// Options configures a Loop. OnConfiguration is called on the loop's goroutine with each
// configuration that comes into force.
type Options struct {
	Self            wire.Member
	Pool            *wire.Pool
	Publisher       *revision.Publisher
	List            *vmlist.Client
	Logger          hclog.Logger
	Now             func() time.Time
	OnConfiguration func(set *object.Set, live int)
	OnDown          func(vm string)
	Demands         func() []wire.AccountDemand
	OnDemands       func(from string, demands []wire.AccountDemand)
	Crashes         func(since time.Time, maxFresh, maxRecurring int) []crash.Report
	OnCrashes       func(reports []crash.Report)
}

// Loop is the goroutine that owns the control state.
type Loop struct {
	options  Options
	changes  chan func(*state)
	snapshot atomic.Pointer[Snapshot]
}

// state is accessed by the loop's goroutine only.
type state struct {
	membership    *gossip.Membership
	inForce       revision.InForce
	content       wire.Content
	blocked       map[string]time.Time
	nextHead      time.Time
	nextList      time.Time
	nextHeartbeat time.Time
	quorumUntil   time.Time
	readingHead   bool
	readingList   bool
	fetching      bool
	leaving       bool
	outdated      bool
	down          map[string]bool
	dirty         bool   // There are unpublished changes.
	version       uint64 // Of the last published membership.
}

// New creates a loop. Its snapshot is empty until it runs.
func New(options Options) *Loop {
	loop := &Loop{options: options, changes: make(chan func(*state), 256)}
	loop.snapshot.Store(&Snapshot{Self: options.Self, Members: []wire.Member{options.Self}})
	return loop
}

// Snapshot returns the last published state.
func (l *Loop) Snapshot() *Snapshot {
	return l.snapshot.Load()
}

// String names the service in the supervisor's messages.
func (l *Loop) String() string {
	return "control"
}

// Serve runs the loop until the context ends. After a restart by the supervisor it
// starts without members, but with the configuration that was in force.
func (l *Loop) Serve(ctx context.Context) error {
	last := l.Snapshot()
	s := &state{
		membership: gossip.NewMembership(last.Self),
		inForce:    revision.InForce{Head: last.Head, Set: last.Set, FreshUntil: last.FreshUntil},
		content:    last.content,
		blocked:    map[string]time.Time{},
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
		s.nextList = now.Add(listReadInterval)
		s.readingList = true
		go l.readList(ctx)
	}
	if now.After(s.nextHead) && !s.readingHead {
		s.nextHead = now.Add(headReadInterval) // Also if this VM is no head reader, so that this is not checked at each tick.
		if l.isHeadReader(s, now) {
			s.readingHead = true
			go l.readHead(ctx, s.inForce.Head.Revision)
		}
	}
	if now.After(s.nextHeartbeat) {
		s.nextHeartbeat = now.Add(gossip.HeartbeatInterval)
		l.sendHeartbeats(ctx, s)
	}
	if s.membership.HasNoPeers() {
		s.quorumUntil = now.Add(quorumValidity) // There are no other VMs.
		s.dirty = true
	}
	for hash, until := range s.blocked {
		if now.After(until) {
			delete(s.blocked, hash)
			s.dirty = true
		}
	}
}

// publish makes the state visible to request handling.
func (l *Loop) publish(s *state) {
	previous := l.Snapshot()
	next := &Snapshot{
		Self:         s.membership.Self(),
		Members:      previous.Members,
		Head:         s.inForce.Head,
		Set:          s.inForce.Set,
		FreshUntil:   s.inForce.FreshUntil,
		QuorumUntil:  s.quorumUntil,
		BlockedUntil: s.blockedCopy(),
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

func (s *state) blockedCopy() map[string]time.Time {
	copied := make(map[string]time.Time, len(s.blocked))
	for hash, until := range s.blocked {
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

// Leave announces to all VMs that this VM is about to stop.
func (l *Loop) Leave() {
	l.changes <- func(s *state) {
		s.leaving = true
		s.membership.Leave()
	}
}

// Block blocks a request content on every VM for BlockedFor.
func (l *Loop) Block(contentHash string) {
	until := l.options.Now().Add(BlockedFor)
	l.changes <- func(s *state) { s.block(wire.BlockedContent{ContentHash: contentHash, Until: until}) }
}

// block blocks a content. If there are too many, the one whose block ends first is dropped.
func (s *state) block(content wire.BlockedContent) {
	if !s.blocked[content.ContentHash].Before(content.Until) {
		return
	}
	s.blocked[content.ContentHash] = content.Until
	if len(s.blocked) <= maxBlocked {
		return
	}
	first := content
	for hash, until := range s.blocked {
		if until.Before(first.Until) {
			first = wire.BlockedContent{ContentHash: hash, Until: until}
		}
	}
	delete(s.blocked, first.ContentHash)
}

func (l *Loop) readList(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, storeTimeout)
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
