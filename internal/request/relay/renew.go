package relay

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/node/rescue"
)

// A stream whose copy was lost gets a new one while it continues to run. Unlike a move, this
// pauses nothing for the caller and takes no retry from the service's budget. But the server
// copies only the memory of that moment, and the copy expires after some seconds:
//
//	copy lost      renewed        renewed        server lost
//	|--------------|--------------|--------------x
//	               to another     same holder    continues from the copy and
//	               server         again          reads what came since

const (
	// renewInterval is the time between two renewals. Servers keep a copy for some 4 s. Tokens
	// after the last renewal are read again: 400 at most, in 0.1 s.
	renewInterval = 1500 * time.Millisecond
	// renewRetryInterval is the time after a renewal that failed, for lack of capacity or
	// because the new holder was lost too.
	renewRetryInterval = 250 * time.Millisecond
	// renewTimeout bounds a renewal. Copying takes some 10 ms, and more when copies queue.
	// The stream does not wait for it.
	renewTimeout = 400 * time.Millisecond
	// freeTimeout bounds the call that frees a copy.
	freeTimeout = time.Second
)

// Renewals copies the memory of runs that continue; the functions are nil if servers do not
// support it. Copy copies the memory of a run to a holder, and only the new part if the
// holder has an earlier copy. Free drops the copy at both servers.
type Renewals struct {
	Copy func(ctx context.Context, runID string, from, to pool.Server) (Copy, error)
	Free func(ctx context.Context, copied Copy, from pool.Server) error
}

// renewal is the state of the renewed copy of one run. It belongs to the goroutine that
// watches the run until that returns.
type renewal struct {
	holder *pool.Server
	copied Copy      // Zero until the first renewal has succeeded.
	nextAt time.Time // Zero while the server itself updates the first copy.
}

// canRenew reports whether a lost copy can be renewed. A run whose server is leaving is moved
// instead, as it has to leave the server anyway.
func (s *stream) canRenew(lease *pool.Lease) bool {
	return s.relay.options.Renewals.Copy != nil && lease.CanMove && s.request.Route.Retryable() && !lease.IsLeaving()
}

// renew copies the run to its holder, or to a new one if that is lost or there is none. If it
// chose a new holder, it returns a channel that is closed when that is lost, and nil otherwise.
func (s *stream) renew(ctx context.Context, lease *pool.Lease, r *renewal, lost bool) (copyLost chan struct{}) {
	now := s.relay.options.Now()
	r.nextAt = now.Add(renewRetryInterval)
	if lost || r.holder == nil {
		r.copied = Copy{}
		if r.holder, copyLost = lease.ReplaceCopyHolder(); r.holder == nil {
			return nil
		}
	}
	if !s.relay.options.Servers.AcceptsRequests(lease.Server) {
		return copyLost
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	copied, err := s.relay.options.Renewals.Copy(ctx, s.request.ID, lease.Server, *r.holder)
	if errors.Is(err, pool.ErrNoPermit) {
		return copyLost
	}
	if err != nil {
		event.CopyNotRenewed.Info(s.relay.options.Logger, "request", s.request.ID, "server", lease.Server.ID, "holder", r.holder.ID, "reason", err.Error())
		r.holder = nil // Another holder may have capacity.
		return copyLost
	}
	if r.copied == (Copy{}) {
		event.CopyRenewed.Info(s.relay.options.Logger, "request", s.request.ID, "server", lease.Server.ID, "holder", r.holder.ID)
	}
	r.copied = copied
	r.nextAt = now.Add(renewInterval)
	if s.request.CopyKey != "" {
		s.relay.options.Copies.Put(s.request, copied)
	}
	return copyLost
}

// freeCopy drops a renewed copy that is no longer needed.
func (s *stream) freeCopy(ctx context.Context, copied Copy, from pool.Server) {
	if copied == (Copy{}) || s.relay.options.Renewals.Free == nil || !s.relay.options.Servers.AcceptsRequests(from) {
		return // The copy expires after some seconds.
	}
	rescue.Go(s.relay.options.Logger, "freeing of a copy", func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), freeTimeout)
		defer cancel()
		if err := s.relay.options.Renewals.Free(ctx, copied, from); err != nil {
			// The copy expires after some seconds.
			s.relay.options.Logger.Debug("a copy could not be freed", "request", s.request.ID, "error", err)
		}
	})
}
