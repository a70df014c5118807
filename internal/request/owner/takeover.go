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
	// findTimeout bounds the search for a journal on other VMs.
	findTimeout = 250 * time.Millisecond
	// ownerReplyWait is how long the earlier owner may still answer after a copy
	// that covers the cursor was found.
	ownerReplyWait = 30 * time.Millisecond
	// rankedPeersAsked is the number of VMs that are asked in addition to those in
	// the cursor.
	rankedPeersAsked = 4
)

// Resume finds the generation of a request, on this or another VM. It returns nil
// if no VM that answers has it.
func (o *Owner) Resume(ctx context.Context, request generation.RequestID, cursor *generation.Cursor) *Generation {
	if g := o.generationByRequest(request); g != nil {
		return g
	}
	return o.takeOver(ctx, request, cursor)
}

// takeOver moves a generation from another VM to this one.
func (o *Owner) takeOver(ctx context.Context, request generation.RequestID, cursor *generation.Cursor) *Generation {
	journal := o.fetchJournal(ctx, request, cursor)
	if journal == nil {
		return nil
	}
	journal.PinSoftwareVersion(cursor)
	g := o.newGeneration(ctx, journal)
	g.contentHash = journal.Spec.ContentHash()
	if journal.Ended() {
		g.keepUntil = o.options.Now().Add(endedRetention)
	}
	if existing := o.register(g); existing != g {
		return existing
	}
	takeOvers.Inc()
	event.GenerationTakenOver.Info(o.options.Logger, "generation", journal.ID, "epoch", journal.Epoch, "tokens", len(journal.Tokens))
	if journal.Ended() {
		o.assignHolder(g)
		return g
	}
	o.start(g, nil)
	return g
}

// adoptExisting replaces a new, still empty generation by the one that the request
// already has on another VM. It reports whether to continue driving.
func (o *Owner) adoptExisting(g *Generation) bool {
	journal := o.fetchJournal(g.ctx, g.request, nil)
	g.mu.Lock()
	defer g.mu.Unlock()
	if journal == nil { // It ended and was removed in the meantime.
		g.maybeDuplicate = false
		o.assignHolderLocked(g)
		return true
	}
	if !journal.Spec.SameBody(g.spec) {
		g.journal.Fail(generation.Failure{Code: string(problem.KeyReused), Outcome: string(problem.NotRun), Detail: "the key was used before with another body"})
		g.holder = wire.Member{} // The copy there belongs to the other generation.
		o.endLocked(g)
		return false
	}
	o.mu.Lock()
	delete(o.byID, g.journal.ID)
	o.byID[journal.ID] = g
	o.mu.Unlock()
	takeOvers.Inc()
	event.GenerationTakenOver.Info(o.options.Logger, "generation", journal.ID, "epoch", journal.Epoch, "tokens", len(journal.Tokens))
	g.journal = journal
	g.maybeDuplicate = false
	o.assignHolderLocked(g)
	if journal.Ended() {
		g.keepUntil = o.options.Now().Add(endedRetention)
		g.notify()
		return false
	}
	return true
}

// fetchJournal asks the VMs that may have a request's journal concurrently, and
// fences its earlier owner. Of several answers it takes the one with the most
// tokens, in the highest epoch of all.
func (o *Owner) fetchJournal(ctx context.Context, request generation.RequestID, cursor *generation.Cursor) *generation.Journal {
	handover := wire.Handover{Request: request}
	best := o.options.Store.Handover(handover, o.options.Now())
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	peers := o.journalPeers(request, cursor)
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
	timer := time.NewTimer(findTimeout)
	defer timer.Stop()
	if covers(best, cursor) {
		timer.Reset(ownerReplyWait)
	}
	for range peers {
		select {
		case answer := <-answers:
			best = betterJournal(best, answer.Journal)
			if answer.FromOwner {
				return best
			}
			if covers(best, cursor) {
				timer.Reset(ownerReplyWait)
			}
		case <-timer.C:
			return best
		}
	}
	return best
}

// covers reports whether a copy has at least the tokens that the caller has.
func covers(journal *generation.Journal, cursor *generation.Cursor) bool {
	return journal != nil && cursor != nil && len(journal.Tokens) >= cursor.Offset
}

func betterJournal(a, b *generation.Journal) *generation.Journal {
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

// journalPeers returns the owner and holder from the cursor, and the best-ranked
// VMs, from which holders are chosen.
func (o *Owner) journalPeers(request generation.RequestID, cursor *generation.Cursor) []wire.Member {
	snapshot := o.options.Snapshot()
	seen := map[string]bool{snapshot.Self.ID: true}
	peers := []wire.Member{}
	add := func(member wire.Member) {
		if !seen[member.ID] {
			seen[member.ID] = true
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
		if added < rankedPeersAsked && member.State != wire.MemberDown {
			add(member)
			added++
		}
	}
	return peers
}

// OnHandover hands a journal over to another VM: that of a generation which this
// VM owns and then stops driving, or that of a copy.
func (o *Owner) OnHandover(_ string, handover wire.Handover) wire.HandoverReply {
	if g := o.generationByRequest(handover.Request); g != nil {
		if journal := o.handOver(g); journal != nil {
			return wire.HandoverReply{Journal: journal, FromOwner: true}
		}
	}
	return wire.HandoverReply{Journal: o.options.Store.Handover(handover, o.options.Now())}
}

func (o *Owner) handOver(g *Generation) *generation.Journal {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.moved {
		return nil
	}
	journal := g.journal.Clone()
	journal.Epoch++
	event.GenerationMoved.Info(o.options.Logger, "generation", journal.ID)
	g.markMovedLocked()
	o.unregister(g, journal.ID)
	return journal
}
