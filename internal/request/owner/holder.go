package owner

import (
	"time"

	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/peer/gossip"
	"github.com/endivespoke/endivespoke/internal/peer/wire"
	"github.com/endivespoke/endivespoke/internal/request/generation"
)

// holderBackoff is how long a holder that stopped answering is not chosen again.
const holderBackoff = 3 * time.Second

// assignHolder chooses a holder for a generation and sends it the whole journal.
// If there is no VM to hold it, the generation continues without a copy.
func (o *Owner) assignHolder(g *Generation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	o.assignHolderLocked(g)
}

func (o *Owner) assignHolderLocked(g *Generation) {
	g.holder = wire.Member{}
	if g.moved {
		return
	}
	if !g.journal.Spec.Lookup {
		g.holder = o.chooseHolder(g.journal.Request)
	}
	if g.holder.ID == "" {
		g.acked = len(g.journal.Tokens)
		generationsWithoutCopy.Inc()
		g.markHolderAnswered()
		g.notify()
		return
	}
	o.sendJournalLocked(g)
}

// assignMissingHolder assigns a holder to a running generation without a copy, if
// a VM is available by now.
func (o *Owner) assignMissingHolder(g *Generation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.holder.ID != "" || g.moved || g.journal.Ended() || g.journal.Spec.Lookup {
		return
	}
	if g.holder = o.chooseHolder(g.request); g.holder.ID != "" {
		o.sendJournalLocked(g)
	}
}

// chooseHolder returns the best-ranked VM that is not in back-off.
func (o *Owner) chooseHolder(request generation.RequestID) wire.Member {
	snapshot := o.options.Snapshot()
	now := o.options.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, member := range gossip.Holders(placementKey(request), snapshot.Self, snapshot.Members) {
		if now.After(o.holderBackoffUntil[member.ID]) {
			return member
		}
	}
	return wire.Member{}
}

// placementKey is the key by which all VMs rank holders.
func placementKey(request generation.RequestID) string {
	return request.Account + "\x00" + request.Key
}

// sendJournalLocked sends the whole journal to the holder. Callers hold g.mu.
func (o *Owner) sendJournalLocked(g *Generation) {
	entry := wire.Entry{
		Generation: g.journal.ID,
		Epoch:      g.journal.Epoch,
		Open:       g.journal.Clone(),
		NewRequest: g.maybeDuplicate && !g.holderHasAnswered,
		KeepUntil:  g.copyExpiry(),
	}
	g.acked = min(g.acked, len(g.journal.Tokens))
	g.sentToHolder = len(g.journal.Tokens)
	o.options.Pool.Enqueue(g.holder.ID, g.holder.PeerAddress, entry)
}

// sendUpdateLocked sends the holder the tokens that were not sent yet, and the
// rest of the state if withState is set. Callers hold g.mu.
func (o *Owner) sendUpdateLocked(g *Generation, withState bool) {
	if g.holder.ID == "" {
		g.acked = len(g.journal.Tokens)
		return
	}
	entry := wire.Entry{
		Generation: g.journal.ID,
		Epoch:      g.journal.Epoch,
		Offset:     g.sentToHolder,
		Tokens:     g.journal.Tokens[g.sentToHolder:len(g.journal.Tokens):len(g.journal.Tokens)],
	}
	if withState {
		entry.State = wire.StateOf(g.journal)
		entry.KeepUntil = g.copyExpiry()
	}
	g.sentToHolder = len(g.journal.Tokens)
	o.options.Pool.Enqueue(g.holder.ID, g.holder.PeerAddress, entry)
}

// copyExpiry returns the time after which a holder may drop the copy. Callers hold
// g.mu.
func (g *Generation) copyExpiry() time.Time {
	if g.journal.Ended() {
		return g.keepUntil
	}
	return g.journal.Spec.Deadline.Add(endedRetention)
}

// markHolderAnswered unblocks waitForHolder. Callers hold mu.
func (g *Generation) markHolderAnswered() {
	if !g.holderHasAnswered {
		g.holderHasAnswered = true
		close(g.holderAnswered)
	}
}

// OnAcks handles a holder's acknowledgements. It runs on the connection's
// goroutine.
func (o *Owner) OnAcks(peer string, acks []wire.Ack) {
	for _, ack := range acks {
		if g := o.generationByID(ack.Generation); g != nil {
			o.onAck(g, peer, ack)
		}
	}
}

func (o *Owner) onAck(g *Generation, peer string, ack wire.Ack) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.holder.ID != peer || ack.Epoch != g.journal.Epoch || g.moved {
		return // Not of the current holder and epoch, or no longer needed.
	}
	switch ack.Verdict {
	case wire.AckHeld:
		g.acked = max(g.acked, min(ack.Held, len(g.journal.Tokens)))
		g.markHolderAnswered()
		g.notify()
	case wire.AckNeedFull:
		o.sendJournalLocked(g)
	case wire.AckExists:
		g.duplicateFound = true
		g.markHolderAnswered()
	case wire.AckFenced:
		event.GenerationMoved.Info(o.options.Logger, "generation", g.journal.ID, "fencedBy", peer)
		g.markMovedLocked()
		o.unregister(g, g.journal.ID) // A caller that returns is served by the new owner.
	}
}

// markMovedLocked stops driving a generation that another VM owns now. The
// engine's stream is not cancelled, since the new owner may resume it. Callers
// hold mu.
func (g *Generation) markMovedLocked() {
	g.moved = true
	g.cancel()
	g.markHolderAnswered()
	g.notify()
}

// OnDown replaces the holder of every copy on a VM that stopped answering.
func (o *Owner) OnDown(peer string) {
	o.mu.Lock()
	o.holderBackoffUntil[peer] = o.options.Now().Add(holderBackoff)
	o.mu.Unlock()
	for _, g := range o.all() {
		o.replaceHolder(g, peer)
	}
}

func (o *Owner) replaceHolder(g *Generation, peer string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.holder.ID != peer || g.moved {
		return
	}
	if g.journal.Ended() && g.acked == len(g.journal.Tokens) && g.callers == 0 {
		g.holder = wire.Member{} // Ended, acknowledged and without callers: a new copy would not be used.
		return
	}
	o.assignHolderLocked(g)
	event.HolderChanged.Info(o.options.Logger, "generation", g.journal.ID, "from", peer, "to", g.holder.ID)
}
