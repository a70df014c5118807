package owner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"

	"github.com/endivespoke/endivespoke/internal/backend/engine"
	"github.com/endivespoke/endivespoke/internal/caller/problem"
	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/node/trace"
	"github.com/endivespoke/endivespoke/internal/request/admission"
	"github.com/endivespoke/endivespoke/internal/request/generation"
)

// openWait bounds the wait for the holder's first word before a request whose
// key may be known elsewhere is sent to an engine.
const openWait = 150 * time.Millisecond

// start runs a generation. ticket is nil for one that was accepted elsewhere.
func (o *Owner) start(running *Running, ticket *admission.Ticket) {
	o.protect(running)
	go o.drive(running, ticket)
}

// drive takes a generation from admission to its end.
func (o *Owner) drive(r *Running, ticket *admission.Ticket) {
	defer r.cancel()
	ctx, span := trace.Span(r.ctx, "generation")
	span.SetAttributes(attribute.String("generation", r.ID()))
	defer span.End()
	if ticket != nil {
		defer ticket.Release()
		if !o.waitForRoom(r, ticket) {
			return
		}
	}
	if !o.waitForHolder(r) {
		return
	}
	o.attempts(ctx, r)
}

func (o *Owner) waitForRoom(r *Running, ticket *admission.Ticket) bool {
	select {
	case <-ticket.Granted:
		return true
	case <-r.ctx.Done():
	}
	if !r.ended() {
		o.fail(r, generation.Failure{Code: string(problem.DeadlinePassed), Outcome: string(notRun(r.keyGiven)), Detail: "the deadline passed before there was room", RetryAt: o.options.Now().Add(time.Second)})
	}
	return false
}

// waitForHolder gives the holder a moment to say that the request already runs
// elsewhere, and then takes that generation over.
func (o *Owner) waitForHolder(r *Running) bool {
	r.mu.Lock()
	fresh := r.fresh
	r.mu.Unlock()
	if !fresh {
		return true
	}
	select {
	case <-r.opened:
	case <-time.After(openWait):
	case <-r.ctx.Done():
	}
	r.mu.Lock()
	exists := r.exists
	r.mu.Unlock()
	if exists {
		return o.adoptExisting(r)
	}
	return true
}

// abandon ends a generation whose caller is gone for good, and frees its engine.
func (o *Owner) abandon(r *Running) {
	event.GenerationCancelled.Info(o.options.Logger, "generation", r.ID())
	o.fail(r, generation.Failure{Code: string(problem.DeadlinePassed), Outcome: string(problem.Failed), Detail: "the caller was gone for longer than the grace"})
	r.cancel()
}

// attempts connects to engines until the answer has ended.
func (o *Owner) attempts(ctx context.Context, r *Running) {
	recovery := &recovery{owner: o, running: r}
	defer recovery.finish()
	for {
		if o.closeIfFull(r) || r.ended() {
			return
		}
		connection, err := recovery.connect(ctx)
		if err != nil {
			o.giveUp(r, err)
			return
		}
		outcome := o.read(ctx, r, connection)
		recovery.lost(connection, outcome)
	}
}

func (o *Owner) closeIfFull(r *Running) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.journal.Ended() || !r.journal.CloseIfFull() {
		return false
	}
	o.endLocked(r)
	return true
}

// giveUp ends a generation with its final error.
func (o *Owner) giveUp(r *Running, err error) {
	if r.ended() {
		return
	}
	failure := generation.Failure{Code: string(problem.BackendFailed), Outcome: string(problem.Failed), Detail: err.Error()}
	var typed *problem.Problem
	switch {
	case errors.As(err, &typed):
		failure = generation.Failure{Code: string(typed.Code), Outcome: string(typed.Outcome), Detail: typed.Detail, RetryAt: typed.RetryAt}
	case r.ctx.Err() != nil:
		failure.Code = string(problem.DeadlinePassed)
		failure.Detail = "the deadline passed before the answer was complete"
	}
	o.fail(r, failure)
}

func (o *Owner) fail(r *Running, failure generation.Failure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.journal.Ended() || r.moved {
		return
	}
	event.GenerationFailed.Warn(o.options.Logger, "generation", r.journal.ID, "code", failure.Code, "detail", failure.Detail)
	r.journal.Fail(failure)
	o.endLocked(r)
}

// endLocked tells the holder and the callers of the end. Callers hold r.mu.
func (o *Owner) endLocked(r *Running) {
	r.keepUntil = o.options.Now().Add(keepEnded)
	o.offerLocked(r, true)
	r.notify()
}

// outcome says why reading from a connection ended.
type outcome int

const (
	outcomeUnset outcome = iota
	outcomeEnded
	outcomeBroken
	outcomeSilent
	outcomeStopped
)

// read takes events into the journal until the stream ends one way or another.
func (o *Owner) read(ctx context.Context, r *Running, c *connection) outcome {
	defer c.stream.Close()
	var silent atomic.Bool
	watch := time.AfterFunc(c.detector.limit(), func() {
		silent.Store(true)
		c.stream.Close()
	})
	defer watch.Stop()
	for {
		received, err := c.stream.Next()
		if err != nil {
			return whyEnded(ctx, r, &silent)
		}
		now := o.options.Now()
		c.detector.heard(now)
		watch.Reset(c.detector.limit())
		if ended := o.take(r, c, received, now); ended != outcomeUnset {
			return ended
		}
	}
}

func whyEnded(ctx context.Context, r *Running, silent *atomic.Bool) outcome {
	switch {
	case ctx.Err() != nil || r.ended():
		return outcomeStopped
	case silent.Load():
		return outcomeSilent
	}
	return outcomeBroken
}

// take offers one event to the journal.
func (o *Owner) take(r *Running, c *connection, received engine.Event, now time.Time) outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.moved {
		return outcomeStopped
	}
	r.journal.LearnPrompt(received.PromptTokenIDs)
	first := len(r.journal.Tokens) == 0
	withState := received.Finish != "" || len(received.PromptTokenIDs) > 0
	if len(received.Tokens) > 0 {
		verdict := r.journal.Append(c.attempt, received.Offset, received.Tokens)
		if verdict == generation.Repeated && o.options.Timing.RestartFromZero {
			return outcomeUnset // The baseline makes the beginning again and drops it.
		}
		if verdict != generation.Taken {
			lateTokens.Inc()
			return outcomeOf(verdict)
		}
	}
	c.progressed(len(received.Tokens), now, first)
	if received.Finish != "" {
		end := received.Offset + len(received.Tokens)
		if verdict := r.journal.Complete(c.attempt, end, received.Finish); verdict != generation.Taken {
			return outcomeOf(verdict)
		}
		o.endLocked(r)
		return outcomeEnded
	}
	o.offerLocked(r, withState)
	if r.holder.ID == "" {
		r.notify()
	}
	return outcomeUnset
}

// outcomeOf says what a refused event means for its connection: a gap is the
// engine's fault and is treated as a break, the rest means that it is over.
func outcomeOf(verdict generation.Verdict) outcome {
	switch verdict {
	case generation.Gap, generation.Repeated:
		return outcomeBroken
	default:
		return outcomeStopped
	}
}
