package relay

import (
	"context"
	"time"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/node/rescue"
)

// A stream whose copy was lost gets another while it runs on. Unlike a move this costs its
// caller no pause and the service no repeat, but the server copies only what there is at
// that moment, and drops the copy some seconds after:
//
//	copy lost      renewed        renewed        server lost
//	|--------------|--------------|--------------x
//	               to another     same holder    goes on from the copy and
//	               server         again          reads what came since

const (
	// renewEvery is the pause between two renewals. Servers keep a copy for some 4 s, and
	// what came after the last one is read again: 400 tokens at most, in 0.1 s.
	renewEvery = 1500 * time.Millisecond
	// renewAgain is the pause after a renewal that failed, for lack of room or since the
	// new holder was lost too.
	renewAgain = 250 * time.Millisecond
	// renewLimit bounds a renewal. Copying takes some 10 ms, more when others wait before
	// it; nobody waits for it.
	renewLimit = 400 * time.Millisecond
	// freeLimit bounds the call that frees a copy.
	freeLimit = time.Second
)

// Renewals asks servers for copies of runs that go on; the functions are nil if servers
// can't. Copy has the memory of a run copied, or only what is new if the same holder has
// it already, and Free drops the copy at both ends.
type Renewals struct {
	Copy func(ctx context.Context, runID string, from, to pool.Server) (Copy, error)
	Free func(ctx context.Context, copied Copy, from pool.Server) error
}

// guard keeps a copy of one run. Only the goroutine that watches the run uses it, until
// that has ended.
type guard struct {
	holder  *pool.Server
	copied  Copy      // Zero until the first renewal has succeeded.
	renewAt time.Time // Zero while the server itself keeps a copy up to date.
}

// mayRenew reports whether a lost copy can be renewed. A run whose server leaves is moved
// instead: it has to go anyway.
func (s *stream) mayRenew(lease *pool.Lease) bool {
	return s.relay.options.Renewals.Copy != nil && lease.CanMove && s.request.Route.Retryable() && !lease.IsLeaving()
}

// renew copies the run to the holder, or to a new one if that is lost. The channel is
// closed when the holder is lost; nil if there is none.
func (s *stream) renew(ctx context.Context, lease *pool.Lease, g *guard, lost bool) (copyLost chan struct{}) {
	now := s.relay.options.Now()
	g.renewAt = now.Add(renewAgain)
	if lost || g.holder == nil {
		g.copied = Copy{}
		if g.holder, copyLost = lease.ReplaceCopyHolder(); g.holder == nil {
			return nil
		}
	}
	if !s.relay.options.Servers.AcceptsRequests(lease.Server) {
		return copyLost
	}
	ctx, cancel := context.WithTimeout(ctx, renewLimit)
	defer cancel()
	copied, err := s.relay.options.Renewals.Copy(ctx, s.request.ID, lease.Server, *g.holder)
	if err != nil {
		event.CopyNotRenewed.Info(s.relay.options.Logger, "request", s.request.ID, "server", lease.Server.ID, "holder", g.holder.ID, "reason", err.Error())
		g.holder = nil // Another one may have room.
		return copyLost
	}
	if g.copied == (Copy{}) {
		event.CopyRenewed.Info(s.relay.options.Logger, "request", s.request.ID, "server", lease.Server.ID, "holder", g.holder.ID)
	}
	g.copied = copied
	g.renewAt = now.Add(renewEvery)
	if s.request.CopyKey != "" {
		s.relay.options.Copies.Put(s.request.CopyKey, copied)
	}
	return copyLost
}

// free drops a renewed copy that is not needed any more.
func (s *stream) free(ctx context.Context, copied Copy, from pool.Server) {
	if copied == (Copy{}) || s.relay.options.Renewals.Free == nil || !s.relay.options.Servers.AcceptsRequests(from) {
		return // The holder drops it by itself after some seconds.
	}
	rescue.Go(s.relay.options.Logger, "freeing of a copy", func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), freeLimit)
		defer cancel()
		if err := s.relay.options.Renewals.Free(ctx, copied, from); err != nil {
			// The holder drops it by itself after some seconds.
			s.relay.options.Logger.Debug("a copy could not be freed", "request", s.request.ID, "error", err)
		}
	})
}
