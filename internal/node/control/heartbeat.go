package control

import (
	"context"
	"slices"
	"time"

	"github.com/endivespoke/endivespoke/internal/peer/wire"
)

// sendBeats asks each neighbour. The answers come back as changes.
func (l *Loop) sendBeats(ctx context.Context, s *state) {
	for _, target := range s.membership.Targets() {
		beat := l.question(s)
		go l.sendBeat(ctx, target, beat)
	}
}

// question gives the heartbeat to send to a peer.
func (l *Loop) question(s *state) wire.Heartbeat {
	beat := l.beat(s, s.membership.Digest())
	beat.Demands = l.options.Uses()
	return beat
}

// beat gives what heartbeats and their answers share.
func (l *Loop) beat(s *state, members []wire.Member) wire.Heartbeat {
	now := l.options.Now()
	beat := wire.Heartbeat{
		From:        s.membership.Self().ID,
		Revision:    s.inForce.Head.Revision,
		Hash:        s.inForce.Head.Hash,
		FreshMillis: max(0, s.inForce.FreshUntil.Sub(now).Milliseconds()),
		Members:     members,
	}
	for hash, until := range s.condemned {
		beat.Blocked = append(beat.Blocked, wire.BlockedContent{ContentHash: hash, Until: until})
	}
	slices.SortFunc(beat.Blocked, func(a, b wire.BlockedContent) int { return b.Until.Compare(a.Until) })
	beat.Blocked = beat.Blocked[:min(toldCondemned, len(beat.Blocked))]
	return beat
}

func (l *Loop) sendBeat(ctx context.Context, target wire.Member, beat wire.Heartbeat) {
	askedAt := l.options.Now()
	callCtx, cancel := context.WithTimeout(ctx, beatLimit)
	defer cancel()
	reply, err := l.options.Pool.Call(callCtx, target.ID, target.PeerAddress, wire.Frame{Heartbeat: &beat})
	if err != nil || reply.Heartbeat == nil {
		l.do(ctx, func(s *state) { s.membership.HeartbeatMissed(target.ID, l.options.Now()) })
		return
	}
	l.do(ctx, func(s *state) {
		s.membership.HeartbeatAnswered(target.ID)
		l.hear(ctx, s, *reply.Heartbeat)
		s.sawPeer(reply.Heartbeat.Revision, askedAt)
		// Only an answer confirms, counted from when it was asked for: a beat that
		// lay unread through a pause must not make an old revision look fresh.
		fresh := time.Duration(reply.Heartbeat.FreshMillis) * time.Millisecond
		s.inForce.Confirm(reply.Heartbeat.Revision, askedAt.Add(fresh))
	})
}

// sawPeer notes that a peer answered at a time, and which revision it had. A peer
// with a newer one is a reason to wait for that, not to go on with the old.
func (s *state) sawPeer(revision uint64, askedAt time.Time) {
	if revision > s.inForce.Head.Revision || !s.membership.SeesMajority() {
		return
	}
	if until := askedAt.Add(mostLimit); until.After(s.mostUntil) {
		s.mostUntil = until
	}
}

// OnHeartbeat answers a peer's heartbeat. It runs on the peer connection's goroutine.
func (l *Loop) OnHeartbeat(beat wire.Heartbeat) wire.Heartbeat {
	answer := make(chan wire.Heartbeat, 1)
	select {
	case l.changes <- func(s *state) {
		l.hear(context.Background(), s, beat)
		answer <- l.beat(s, s.membership.RecentChanges())
	}:
	case <-time.After(beatLimit):
		return wire.Heartbeat{}
	}
	select {
	case reply := <-answer:
		return reply
	case <-time.After(beatLimit):
		return wire.Heartbeat{}
	}
}

// hear takes in what a peer told, and fetches a configuration that is newer
// than the one in force.
func (l *Loop) hear(ctx context.Context, s *state, beat wire.Heartbeat) {
	s.membership.Merge(beat.Members, l.options.Now())
	l.options.OnUses(beat.From, beat.Demands)
	for _, condemned := range beat.Blocked {
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
