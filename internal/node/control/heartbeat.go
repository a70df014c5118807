package control

import (
	"context"
	"slices"
	"time"

	"github.com/endivespoke/endivespoke/internal/peer/wire"
)

// sendHeartbeats sends a heartbeat to each neighbour. Replies are applied as changes.
func (l *Loop) sendHeartbeats(ctx context.Context, s *state) {
	for _, target := range s.membership.Targets() {
		heartbeat := l.heartbeatRequest(s)
		go l.sendHeartbeat(ctx, target, heartbeat)
	}
}

// heartbeatRequest returns the heartbeat to send to a peer.
func (l *Loop) heartbeatRequest(s *state) wire.Heartbeat {
	heartbeat := l.newHeartbeat(s, s.membership.Digest())
	heartbeat.Demands = l.options.Demands()
	return heartbeat
}

// newHeartbeat returns the fields that heartbeats and their replies have in common.
func (l *Loop) newHeartbeat(s *state, members []wire.Member) wire.Heartbeat {
	now := l.options.Now()
	heartbeat := wire.Heartbeat{
		From:        s.membership.Self().ID,
		Revision:    s.inForce.Head.Revision,
		Hash:        s.inForce.Head.Hash,
		FreshMillis: max(0, s.inForce.FreshUntil.Sub(now).Milliseconds()),
		Members:     members,
	}
	for hash, until := range s.blocked {
		heartbeat.Blocked = append(heartbeat.Blocked, wire.BlockedContent{ContentHash: hash, Until: until})
	}
	slices.SortFunc(heartbeat.Blocked, func(a, b wire.BlockedContent) int { return b.Until.Compare(a.Until) })
	heartbeat.Blocked = heartbeat.Blocked[:min(maxBlockedPerHeartbeat, len(heartbeat.Blocked))]
	heartbeat.Crashes = l.options.Crashes(now.Add(-crashReportPeriod), maxFreshCrashes, maxRecurringCrashes)
	return heartbeat
}

func (l *Loop) sendHeartbeat(ctx context.Context, target wire.Member, heartbeat wire.Heartbeat) {
	requestedAt := l.options.Now()
	callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	reply, err := l.options.Pool.Call(callCtx, target.ID, target.PeerAddress, wire.Frame{Heartbeat: &heartbeat})
	if err != nil || reply.Heartbeat == nil {
		l.do(ctx, func(s *state) { s.membership.HeartbeatMissed(target.ID, l.options.Now()) })
		return
	}
	l.do(ctx, func(s *state) {
		s.membership.HeartbeatAnswered(target.ID)
		l.merge(ctx, s, *reply.Heartbeat)
		s.extendQuorum(reply.Heartbeat.Revision, requestedAt)
		// Only a reply confirms the revision, as of the time of the request: a heartbeat
		// that was received before a pause of this VM and read after it must not make an
		// old revision count as fresh.
		fresh := time.Duration(reply.Heartbeat.FreshMillis) * time.Millisecond
		s.inForce.Confirm(reply.Heartbeat.Revision, reply.Heartbeat.Hash, requestedAt.Add(fresh))
	})
}

// extendQuorum records that a peer answered a heartbeat. A peer with a newer revision does
// not count: this VM has to wait for that revision instead of using the old one.
func (s *state) extendQuorum(revision uint64, requestedAt time.Time) {
	if revision > s.inForce.Head.Revision || !s.membership.SeesMajority() {
		return
	}
	if until := requestedAt.Add(quorumValidity); until.After(s.quorumUntil) {
		s.quorumUntil = until
	}
}

// OnHeartbeat answers a peer's heartbeat. It runs on the goroutine of the peer connection.
func (l *Loop) OnHeartbeat(heartbeat wire.Heartbeat) wire.Heartbeat {
	answer := make(chan wire.Heartbeat, 1)
	select {
	case l.changes <- func(s *state) {
		l.merge(context.Background(), s, heartbeat)
		answer <- l.newHeartbeat(s, s.membership.RecentChanges())
	}:
	case <-time.After(heartbeatTimeout):
		return wire.Heartbeat{}
	}
	select {
	case reply := <-answer:
		return reply
	case <-time.After(heartbeatTimeout):
		return wire.Heartbeat{}
	}
}

// merge applies a peer's heartbeat, and fetches its configuration if that is newer
// than the one in force.
func (l *Loop) merge(ctx context.Context, s *state, heartbeat wire.Heartbeat) {
	s.membership.Merge(heartbeat.Members, l.options.Now())
	l.options.OnDemands(heartbeat.From, heartbeat.Demands)
	for _, content := range heartbeat.Blocked {
		s.block(content)
	}
	if len(heartbeat.Crashes) > 0 {
		l.options.OnCrashes(heartbeat.Crashes)
	}
	if heartbeat.Revision <= s.inForce.Head.Revision || s.fetching {
		return
	}
	from, found := l.Snapshot().Member(heartbeat.From)
	if !found {
		return
	}
	s.fetching = true
	go l.fetchFromPeer(ctx, from, heartbeat.Hash)
}
