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

// holderAnswerTimeout bounds the wait for the holder's first answer before a
// request whose key other VMs may have is sent to an engine.
const holderAnswerTimeout = 150 * time.Millisecond

// start runs a generation. ticket is nil if the generation was accepted on another
// VM.
func (o *Owner) start(g *Generation, ticket *admission.Ticket) {
	o.assignHolder(g)
	go o.drive(g, ticket)
}

// drive runs a generation from admission to its end.
func (o *Owner) drive(g *Generation, ticket *admission.Ticket) {
	defer g.cancel()
	ctx, span := trace.Span(g.ctx, "generation")
	span.SetAttributes(attribute.String("generation", g.ID()))
	defer span.End()
	if ticket != nil {
		defer ticket.Release()
		if !o.waitForCapacity(g, ticket) {
			return
		}
	}
	if !o.waitForHolder(g) {
		return
	}
	o.runAttempts(ctx, g)
}

func (o *Owner) waitForCapacity(g *Generation, ticket *admission.Ticket) bool {
	select {
	case <-ticket.Granted:
		return true
	case <-g.ctx.Done():
	}
	if !g.ended() {
		o.fail(g, generation.Failure{Code: string(problem.DeadlinePassed), Outcome: string(notRun(g.keyGiven)), Detail: "the deadline passed before there was room", RetryAt: o.options.Now().Add(time.Second)})
	}
	return false
}

// waitForHolder waits for the holder's first answer. If it reports that the
// request already runs elsewhere, that generation is taken over. The result is
// whether to continue driving.
func (o *Owner) waitForHolder(g *Generation) bool {
	g.mu.Lock()
	maybeDuplicate := g.maybeDuplicate
	g.mu.Unlock()
	if !maybeDuplicate {
		return true
	}
	select {
	case <-g.holderAnswered:
	case <-time.After(holderAnswerTimeout):
	case <-g.ctx.Done():
	}
	g.mu.Lock()
	duplicateFound := g.duplicateFound
	g.mu.Unlock()
	if duplicateFound {
		return o.adoptExisting(g)
	}
	return true
}

// abandon ends a generation whose callers are gone for longer than the grace, and
// frees its engine.
func (o *Owner) abandon(g *Generation) {
	event.GenerationCancelled.Info(o.options.Logger, "generation", g.ID())
	o.fail(g, generation.Failure{Code: string(problem.DeadlinePassed), Outcome: string(problem.Failed), Detail: "the caller was gone for longer than the grace"})
	g.cancel()
}

// runAttempts connects to engines until the answer has ended.
func (o *Owner) runAttempts(ctx context.Context, g *Generation) {
	recovery := &recovery{owner: o, generation: g}
	defer recovery.finish()
	for {
		if o.closeIfFull(g) || g.ended() {
			return
		}
		connection, err := recovery.connect(ctx)
		if err != nil {
			o.failWith(g, err)
			return
		}
		outcome := o.readStream(ctx, g, connection)
		recovery.connectionLost(connection, outcome)
	}
}

func (o *Owner) closeIfFull(g *Generation) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.journal.Ended() || !g.journal.CloseIfFull() {
		return false
	}
	o.endLocked(g)
	return true
}

// failWith ends a generation with its final error.
func (o *Owner) failWith(g *Generation, err error) {
	if g.ended() {
		return
	}
	failure := generation.Failure{Code: string(problem.BackendFailed), Outcome: string(problem.Failed), Detail: err.Error()}
	var typed *problem.Problem
	switch {
	case errors.As(err, &typed):
		failure = generation.Failure{Code: string(typed.Code), Outcome: string(typed.Outcome), Detail: typed.Detail, RetryAt: typed.RetryAt}
	case g.ctx.Err() != nil:
		failure.Code = string(problem.DeadlinePassed)
		failure.Detail = "the deadline passed before the answer was complete"
	}
	o.fail(g, failure)
}

func (o *Owner) fail(g *Generation, failure generation.Failure) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.journal.Ended() || g.moved {
		return
	}
	event.GenerationFailed.Warn(o.options.Logger, "generation", g.journal.ID, "code", failure.Code, "detail", failure.Detail)
	g.journal.Fail(failure)
	o.endLocked(g)
}

// endLocked sends the end to the holder and notifies the callers. Callers hold
// g.mu.
func (o *Owner) endLocked(g *Generation) {
	g.keepUntil = o.options.Now().Add(endedRetention)
	o.sendUpdateLocked(g, true)
	g.notify()
}

// outcome is the reason why reading from a connection ended.
type outcome int

const (
	outcomeUnset outcome = iota
	outcomeEnded
	outcomeBroken
	outcomeIdle
	outcomeStopped
)

// readStream appends events to the journal until the stream ends.
func (o *Owner) readStream(ctx context.Context, g *Generation, c *connection) outcome {
	defer c.stream.Close()
	var idle atomic.Bool
	watchdog := time.AfterFunc(c.detector.timeout(), func() {
		idle.Store(true)
		c.stream.Close()
	})
	defer watchdog.Stop()
	for {
		received, err := c.stream.Next()
		if err != nil {
			return streamOutcome(ctx, g, &idle)
		}
		now := o.options.Now()
		c.detector.observe(now)
		watchdog.Reset(c.detector.timeout())
		if ended := o.appendEvent(g, c, received, now); ended != outcomeUnset {
			return ended
		}
	}
}

func streamOutcome(ctx context.Context, g *Generation, idle *atomic.Bool) outcome {
	switch {
	case ctx.Err() != nil || g.ended():
		return outcomeStopped
	case idle.Load():
		return outcomeIdle
	}
	return outcomeBroken
}

// appendEvent offers one event to the journal.
func (o *Owner) appendEvent(g *Generation, c *connection, received engine.Event, now time.Time) outcome {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.moved {
		return outcomeStopped
	}
	g.journal.SetPromptTokens(received.PromptTokenIDs)
	first := len(g.journal.Tokens) == 0
	withState := first || received.Finish != "" || len(received.PromptTokenIDs) > 0
	if len(received.Tokens) > 0 {
		verdict := g.journal.Append(c.attempt, received.Offset, received.Tokens)
		if verdict == generation.Duplicate && o.options.Timing.RestartFromZero {
			return outcomeUnset // The restart baseline regenerates the beginning, which is dropped.
		}
		if verdict != generation.Accepted {
			staleEvents.Inc()
			return outcomeOf(verdict)
		}
	}
	c.addTokens(len(received.Tokens), now, first)
	if received.Finish != "" {
		end := received.Offset + len(received.Tokens)
		if verdict := g.journal.Complete(c.attempt, end, received.Finish); verdict != generation.Accepted {
			return outcomeOf(verdict)
		}
		o.endLocked(g)
		return outcomeEnded
	}
	o.sendUpdateLocked(g, withState)
	if g.holder.ID == "" {
		g.notify()
	}
	return outcomeUnset
}

// outcomeOf maps the verdict on a refused event to the outcome of its connection:
// a gap or a duplicate is the engine's fault and is treated as a broken stream;
// any other verdict means that the connection is no longer needed.
func outcomeOf(verdict generation.Verdict) outcome {
	switch verdict {
	case generation.Gap, generation.Duplicate:
		return outcomeBroken
	default:
		return outcomeStopped
	}
}
