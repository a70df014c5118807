package owner

import (
	"context"
	"time"

	"github.com/endivespoke/endivespoke/internal/caller/problem"
	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/peer/gossip"
	"github.com/endivespoke/endivespoke/internal/peer/wire"
	"github.com/endivespoke/endivespoke/internal/request/generation"
)

const (
	// findLimit bounds the search for a journal on other VMs.
	findLimit = 250 * time.Millisecond
	// ownerHeadStart is how long the earlier owner may answer after a copy that
	// is good enough was found.
	ownerHeadStart = 30 * time.Millisecond
	// askedByRank VMs are asked besides those that the cursor names.
	askedByRank = 4
)

// Resume finds the generation of a request, here or on another VM. It returns
// nil if no VM that answers has it.
func (o *Owner) Resume(ctx context.Context, request generation.RequestID, cursor *generation.Cursor) *Running {
	if running := o.local(request); running != nil {
		return running
	}
	return o.takeOver(ctx, request, cursor)
}

// takeOver moves a generation from another VM to this one.
func (o *Owner) takeOver(ctx context.Context, request generation.RequestID, cursor *generation.Cursor) *Running {
	journal := o.find(ctx, request, cursor)
	if journal == nil {
		return nil
	}
	running := o.newRunning(ctx, journal)
	running.contentHash = journal.Spec.ContentHash()
	if journal.Ended() {
		running.keepUntil = o.options.Now().Add(keepEnded)
	}
	if existing := o.register(running); existing != running {
		return existing
	}
	takeOvers.Inc()
	event.GenerationTakenOver.Info(o.options.Logger, "generation", journal.ID, "epoch", journal.Epoch, "tokens", len(journal.Tokens))
	if journal.Ended() {
		o.protect(running)
		return running
	}
	o.start(running, nil)
	return running
}

// adoptExisting replaces a new, still empty generation by the one that the
// request already has elsewhere. It reports whether to go on driving.
func (o *Owner) adoptExisting(r *Running) bool {
	journal := o.find(r.ctx, r.request, nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	if journal == nil { // It ended and was forgotten a moment ago.
		r.fresh = false
		o.protectLocked(r)
		return true
	}
	if !journal.Spec.SameBody(r.spec) {
		r.journal.Fail(generation.Failure{Code: string(problem.KeyReused), Outcome: string(problem.NotRun), Detail: "the key was used before with another body"})
		r.holder = wire.Member{} // The copy there is the other generation's.
		o.endLocked(r)
		return false
	}
	o.mu.Lock()
	delete(o.byID, r.journal.ID)
	o.byID[journal.ID] = r
	o.mu.Unlock()
	takeOvers.Inc()
	event.GenerationTakenOver.Info(o.options.Logger, "generation", journal.ID, "epoch", journal.Epoch, "tokens", len(journal.Tokens))
	r.journal = journal
	r.fresh = false
	o.protectLocked(r)
	if journal.Ended() {
		r.keepUntil = o.options.Now().Add(keepEnded)
		r.notify()
		return false
	}
	return true
}

// find asks the VMs that may have a request's journal, all at once, and fences
// its earlier owner. Of several answers the one with most tokens is taken, in
// an epoch above them all.
func (o *Owner) find(ctx context.Context, request generation.RequestID, cursor *generation.Cursor) *generation.Journal {
	handover := wire.Handover{Request: request}
	best := o.options.Store.Handover(handover, o.options.Now())
	ctx, cancel := context.WithTimeout(ctx, findLimit)
	defer cancel()
	peers := o.whomToAsk(request, cursor)
	answers := make(chan wire.HandoverReply, len(peers))
	for _, peer := range peers {
		go func() {
			reply, err := o.options.Pool.Call(ctx, peer.ID, peer.PeerAddress, wire.Frame{Handover: &handover})
			if err != nil || reply.HandoverReply == nil {
				answers <- wire.HandoverReply{}
				return
			}
			answers <- *reply.HandoverReply
		}()
	}
	enough := time.NewTimer(findLimit)
	defer enough.Stop()
	if reaches(best, cursor) {
		enough.Reset(ownerHeadStart)
	}
	for range peers {
		select {
		case answer := <-answers:
			best = better(best, answer.Journal)
			if answer.FromOwner {
				return best
			}
			if reaches(best, cursor) {
				enough.Reset(ownerHeadStart)
			}
		case <-enough.C:
			return best
		}
	}
	return best
}

// reaches reports whether a copy has at least what the caller has.
func reaches(journal *generation.Journal, cursor *generation.Cursor) bool {
	return journal != nil && cursor != nil && len(journal.Tokens) >= cursor.Offset
}

func better(a, b *generation.Journal) *generation.Journal {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	}
	epoch := max(a.Epoch, b.Epoch)
	best := a
	if len(b.Tokens) > len(a.Tokens) || (len(b.Tokens) == len(a.Tokens) && b.Ended()) {
		best = b
	}
	best.Epoch = epoch
	return best
}

// whomToAsk lists the owner and holder that the cursor names, and the VMs that
// holders are chosen from.
func (o *Owner) whomToAsk(request generation.RequestID, cursor *generation.Cursor) []wire.Member {
	snapshot := o.options.Snapshot()
	asked := map[string]bool{snapshot.Self.ID: true}
	peers := []wire.Member{}
	add := func(member wire.Member) {
		if !asked[member.ID] {
			asked[member.ID] = true
			peers = append(peers, member)
		}
	}
	if cursor != nil {
		for _, id := range []string{cursor.Owner, cursor.Holder} {
			if member, found := snapshot.Member(id); found {
				add(member)
			}
		}
	}
	ranked := gossip.Rank(placementKey(request), snapshot.Members)
	added := 0
	for _, member := range ranked {
		if added < askedByRank && member.State != wire.MemberDown {
			add(member)
			added++
		}
	}
	return peers
}

// OnHandover gives a journal to another VM: of a generation that this one owns,
// which it then stops driving, or of a copy.
func (o *Owner) OnHandover(_ string, handover wire.Handover) wire.HandoverReply {
	if running := o.local(handover.Request); running != nil {
		if journal := o.release(running); journal != nil {
			return wire.HandoverReply{Journal: journal, FromOwner: true}
		}
	}
	return wire.HandoverReply{Journal: o.options.Store.Handover(handover, o.options.Now())}
}

func (o *Owner) release(r *Running) *generation.Journal {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.moved {
		return nil
	}
	journal := r.journal.Clone()
	journal.Epoch++
	event.GenerationMoved.Info(o.options.Logger, "generation", journal.ID)
	r.moveLocked()
	o.forget(r, journal.ID)
	return journal
}
