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
func (l *Loop) question(s *state) wire.Beat {
	beat := l.beat(s, s.membership.Digest())
	beat.Uses = l.options.Uses()
	return beat
}

// beat gives what heartbeats and their answers share.
func (l *Loop) beat(s *state, members []wire.Member) wire.Beat {
	now := l.options.Now()
	beat := wire.Beat{
		From:        s.membership.Self().ID,
		Revision:    s.inForce.Head.Revision,
		Hash:        s.inForce.Head.Hash,
		FreshMillis: max(0, s.inForce.FreshUntil.Sub(now).Milliseconds()),
		Members:     members,
	}
	for hash, until := range s.condemned {
		beat.Condemned = append(beat.Condemned, wire.Condemned{ContentHash: hash, Until: until})
	}
	slices.SortFunc(beat.Condemned, func(a, b wire.Condemned) int { return b.Until.Compare(a.Until) })
	beat.Condemned = beat.Condemned[:min(toldCondemned, len(beat.Condemned))]
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

// OnHeartbeat answers a peer's heartbeat. It runs on the peer connection's goroutine.
func (l *Loop) OnHeartbeat(beat wire.Beat) wire.Beat {
	answer := make(chan wire.Beat, 1)
	select {
	case l.changes <- func(s *state) {
		l.hear(context.Background(), s, beat)
		answer <- l.beat(s, s.membership.News())
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
