package owner

import (
	"time"

	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/peer/gossip"
	"github.com/endivespoke/endivespoke/internal/peer/wire"
	"github.com/endivespoke/endivespoke/internal/request/generation"
)

// shunFor is how long a holder that fell silent is not chosen again.
const shunFor = 3 * time.Second

// protect chooses a holder for a generation and sends it the whole journal.
// With no VM to hold it, the generation goes on without a copy.
func (o *Owner) protect(r *Running) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o.protectLocked(r)
}

func (o *Owner) protectLocked(r *Running) {
	r.holder = wire.Member{}
	if r.moved {
		return
	}
	if !r.journal.Spec.Lookup {
		r.holder = o.chooseHolder(r.journal.Request)
	}
	if r.holder.ID == "" {
		r.acked = len(r.journal.Tokens)
		unprotectedRun.Inc()
		r.markOpened()
		r.notify()
		return
	}
	o.openLocked(r)
}

// protectLater gives a running generation without a copy a holder, if there is
// one by now.
func (o *Owner) protectLater(r *Running) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holder.ID != "" || r.moved || r.journal.Ended() || r.journal.Spec.Lookup {
		return
	}
	if r.holder = o.chooseHolder(r.request); r.holder.ID != "" {
		o.openLocked(r)
	}
}

// chooseHolder takes the best-ranked VM that answered lately.
func (o *Owner) chooseHolder(request generation.RequestID) wire.Member {
	snapshot := o.options.Snapshot()
	now := o.options.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, member := range gossip.Holders(placementKey(request), snapshot.Self, snapshot.Members) {
		if now.After(o.shunned[member.ID]) {
			return member
		}
	}
	return wire.Member{}
}

// placementKey is what all VMs rank holders by.
func placementKey(request generation.RequestID) string {
	return request.Account + "\x00" + request.Key
}

// openLocked sends the whole journal. Callers hold r.mu.
func (o *Owner) openLocked(r *Running) {
	entry := wire.Entry{
		Generation: r.journal.ID,
		Epoch:      r.journal.Epoch,
		Open:       r.journal.Clone(),
		NewRequest: r.fresh && !r.wasOpened,
		KeepUntil:  r.copyUntil(),
	}
	r.acked = min(r.acked, len(r.journal.Tokens))
	r.holderSent = len(r.journal.Tokens)
	o.options.Pool.Enqueue(r.holder.ID, r.holder.PeerAddress, entry)
}

// offerLocked sends the holder what it lacks. Callers hold r.mu.
func (o *Owner) offerLocked(r *Running, withState bool) {
	if r.holder.ID == "" {
		r.acked = len(r.journal.Tokens)
		return
	}
	entry := wire.Entry{
		Generation: r.journal.ID,
		Epoch:      r.journal.Epoch,
		Offset:     r.holderSent,
		Tokens:     r.journal.Tokens[r.holderSent:len(r.journal.Tokens):len(r.journal.Tokens)],
	}
	if withState {
		entry.State = wire.StateOf(r.journal)
		entry.KeepUntil = r.copyUntil()
	}
	r.holderSent = len(r.journal.Tokens)
	o.options.Pool.Enqueue(r.holder.ID, r.holder.PeerAddress, entry)
}

// copyUntil is the deadline after which a holder may forget the copy. Callers
// hold r.mu.
func (r *Running) copyUntil() time.Time {
	if r.journal.Ended() {
		return r.keepUntil
	}
	return r.journal.Spec.Deadline.Add(keepEnded)
}

// markOpened releases whoever waits for the holder's first word. Callers hold mu.
func (r *Running) markOpened() {
	if !r.wasOpened {
		r.wasOpened = true
		close(r.opened)
	}
}

// OnAcks takes in a holder's answers. It runs on the connection's goroutine.
func (o *Owner) OnAcks(peer string, acks []wire.Ack) {
	for _, ack := range acks {
		if r := o.byGeneration(ack.Generation); r != nil {
			o.onAck(r, peer, ack)
		}
	}
}

func (o *Owner) onAck(r *Running, peer string, ack wire.Ack) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holder.ID != peer || ack.Epoch != r.journal.Epoch || r.moved {
		return // An answer to an earlier state of things.
	}
	switch ack.Verdict {
	case wire.AckHeld:
		r.acked = max(r.acked, min(ack.Held, len(r.journal.Tokens)))
		r.markOpened()
		r.notify()
	case wire.AckNeedFull:
		o.openLocked(r)
	case wire.AckExists:
		r.exists = true
		r.markOpened()
	case wire.AckFenced:
		event.GenerationMoved.Info(o.options.Logger, "generation", r.journal.ID, "fencedBy", peer)
		r.moveLocked()
		o.forget(r, r.journal.ID) // A caller that comes back has to look elsewhere.
	}
}

// moveLocked stops driving a generation that another VM owns now. The engine's
// stream is left running, since the new owner may resume it.
func (r *Running) moveLocked() {
	r.moved = true
	r.cancel()
	r.markOpened()
	r.notify()
}

// OnDown moves every copy away from a VM that fell silent.
func (o *Owner) OnDown(peer string) {
	o.mu.Lock()
	o.shunned[peer] = o.options.Now().Add(shunFor)
	o.mu.Unlock()
	for _, r := range o.all() {
		o.leaveHolder(r, peer)
	}
}

func (o *Owner) leaveHolder(r *Running, peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holder.ID != peer || r.moved {
		return
	}
	if r.journal.Ended() && r.acked == len(r.journal.Tokens) && r.callers == 0 {
		r.holder = wire.Member{} // Delivered and over; a new copy would help nobody.
		return
	}
	o.protectLocked(r)
	event.HolderChanged.Info(o.options.Logger, "generation", r.journal.ID, "from", peer, "to", r.holder.ID)
}
