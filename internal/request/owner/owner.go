// Package owner drives the generations that this VM owns: admission, the
// engine's stream, recovery from losses, the copy at a holder, take-over from
// and by other VMs, and delivery to callers.
//
// # Usage
//
//	o := owner.New(owner.Options{...})
//	running, failure := o.Submit(ctx, owner.Submission{Request: request, Spec: spec})
//	tokens, end := running.Next(ctx, offset, changed)
//	o.OnHandover(peer, handover)   // another VM takes over
//	o.Drain(ctx)                   // wait until nothing runs
//
// Reading order: this file (the book of generations), running.go (one
// generation and its callers), drive.go (engine attempts), recover.go (how the
// next connection is found), holder.go (the copy), takeover.go.
package owner

import (
	"context"
	"encoding/base64"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"github.com/endivespoke/endivespoke/internal/backend/engine"
	"github.com/endivespoke/endivespoke/internal/backend/fleet"
	"github.com/endivespoke/endivespoke/internal/caller/problem"
	"github.com/endivespoke/endivespoke/internal/config/object"
	"github.com/endivespoke/endivespoke/internal/node/control"
	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/node/trace"
	"github.com/endivespoke/endivespoke/internal/peer/replica"
	"github.com/endivespoke/endivespoke/internal/peer/wire"
	"github.com/endivespoke/endivespoke/internal/request/admission"
	"github.com/endivespoke/endivespoke/internal/request/budget"
	"github.com/endivespoke/endivespoke/internal/request/generation"
)

const (
	// DefaultGrace is how long a generation without a caller goes on.
	DefaultGrace = 30 * time.Second
	// keepEnded is how long an ended answer is kept for a caller that asks again.
	keepEnded = time.Minute
	// retryPart of the accepted requests, and retryReserve at once, may be sent to
	// another server at once when one did not take them. Beyond that they wait.
	retryPart    = 0.2
	retryReserve = 20
	// SweepEvery is the time between two looks for generations to forget.
	SweepEvery = time.Second
)

var (
	lateTokens     = metrics.NewCounter(`endivespoke_generation_late_events_total`)
	takeOvers      = metrics.NewCounter(`endivespoke_generation_takeovers_total`)
	streamsLost    = metrics.NewCounter(`endivespoke_generation_streams_lost_total`)
	sameEngine     = metrics.NewCounter(`endivespoke_generation_resumed_same_engine_total`)
	otherEngine    = metrics.NewCounter(`endivespoke_generation_resumed_other_engine_total`)
	resumeSeconds  = metrics.NewHistogram(`endivespoke_generation_resume_seconds`)
	firstSeconds   = metrics.NewHistogram(`endivespoke_generation_first_token_seconds`)
	unprotectedRun = metrics.NewCounter(`endivespoke_generation_without_copy_total`)
)

// Options shapes an Owner. All function fields must be set.
type Options struct {
	Engines  *engine.Client
	Fleet    *fleet.Fleet
	Gate     *admission.Gate
	Pool     *wire.Pool
	Store    *replica.Store
	Snapshot func() *control.Snapshot
	Condemn  func(contentHash string)
	Logger   hclog.Logger
	Now      func() time.Time
	Grace    time.Duration
	Timing   Timing
}

// Owner is the book of the generations that this VM owns. It is safe for
// concurrent use.
type Owner struct {
	options Options

	mu        sync.Mutex
	byRequest map[generation.RequestID]*Running
	byID      map[string]*Running
	shunned   map[string]time.Time  // Holders not to be chosen until then.
	suspects  map[string]suspectLog // By content hash.
	retries   *budget.Budget        // Of dispatches that a server did not take.
}

// New makes an empty book.
func New(options Options) *Owner {
	if options.Grace == 0 {
		options.Grace = DefaultGrace
	}
	if options.Timing == (Timing{}) {
		options.Timing = DefaultTiming
	}
	return &Owner{
		options:   options,
		byRequest: map[generation.RequestID]*Running{},
		byID:      map[string]*Running{},
		shunned:   map[string]time.Time{},
		suspects:  map[string]suspectLog{},
		retries:   budget.New(budget.Options{Ratio: retryPart, Burst: retryReserve}),
	}
}

// Submission is a request as it reached this VM. KeyGiven says that the caller
// chose the key, so that the request may be known elsewhere. Cursor, when set,
// is what the caller already has.
type Submission struct {
	Request  generation.RequestID
	Spec     generation.Spec
	KeyGiven bool
	Cursor   *generation.Cursor
}

// Submit accepts a request, or finds the generation that the key already has,
// here or on another VM. The problem, if any, is the final answer.
func (o *Owner) Submit(ctx context.Context, submission Submission) (*Running, *problem.Problem) {
	if running := o.local(submission.Request); running != nil {
		return running.sameBody(submission.Spec)
	}
	if submission.KeyGiven {
		if running := o.takeOver(ctx, submission.Request, submission.Cursor); running != nil {
			return running.sameBody(submission.Spec)
		}
	}
	snapshot := o.options.Snapshot()
	hash := submission.Spec.ContentHash()
	if until, condemned := snapshot.BlockedUntil[hash]; condemned {
		return nil, condemnedProblem(until)
	}
	if !snapshot.Accepting(o.options.Now()) {
		return nil, &problem.Problem{Code: problem.ConfigurationOutdated, Outcome: notRun(submission.KeyGiven), Detail: "this VM can't tell whether its configuration is current; use another", RetryAt: o.options.Now().Add(time.Second)}
	}
	if submission.Cursor != nil && submission.Cursor.Offset > 0 {
		event.GenerationRegenerate.Warn(o.options.Logger, "generation", submission.Cursor.Generation, "offset", submission.Cursor.Offset)
	}
	return o.accept(ctx, submission, hash)
}

// accept passes admission and starts a new generation. A caller who was
// accepted before and lost every copy is not put to the end of the queue twice:
// its request asks like any other, since this VM can't tell the difference.
func (o *Owner) accept(ctx context.Context, submission Submission, contentHash string) (*Running, *problem.Problem) {
	o.retries.Deposit()
	ticket, refusal := o.options.Gate.Admit(admission.Request{
		Account:  submission.Request.Account,
		Rank:     submission.Spec.Rank,
		Lookup:   submission.Spec.Lookup,
		Deadline: submission.Spec.Deadline,
	})
	if refusal != nil {
		p := RefusalProblem(refusal)
		p.Outcome = notRun(submission.KeyGiven)
		return nil, p
	}
	journal := generation.New(newID(), submission.Request, submission.Spec)
	running := o.newRunning(ctx, journal)
	running.contentHash = contentHash
	running.fresh = submission.KeyGiven
	running.keyGiven = submission.KeyGiven
	if cursor := submission.Cursor; cursor != nil && cursor.EngineBase == 0 {
		// The engine may still have the stream that the lost journal was fed by. One
		// that continued an earlier engine's lacks the beginning, and is of no use.
		journal.Server = cursor.Server
		journal.EngineRequest = cursor.EngineRequest
	}
	journal.Crashes = o.knownCrashes(contentHash)
	if existing := o.register(running); existing != running {
		ticket.Release()
		return existing.sameBody(submission.Spec)
	}
	o.start(running, ticket)
	return running, nil
}

// newID gives a random id of 128 bits, shorter than a UUID's text since it goes
// with every token.
func newID() string {
	id := uuid.New()
	return base64.RawURLEncoding.EncodeToString(id[:])
}

// notRun gives the outcome of a request that this VM did not run. A key that the
// caller chose may have been sent before, and be running through a VM that can't
// be asked just now; of such a request nothing can be promised.
func notRun(keyGiven bool) problem.Outcome {
	if keyGiven {
		return problem.StateNotKnown
	}
	return problem.NotRun
}

// RefusalProblem turns an admission refusal into the caller's answer.
func RefusalProblem(refusal *admission.Refusal) *problem.Problem {
	p := &problem.Problem{Code: problem.Overloaded, Outcome: problem.NotRun, RetryAt: refusal.RetryAt}
	switch refusal.Reason {
	case admission.RateExceeded:
		p.Code = problem.AccountLimit
		p.Detail = "the client account is over its requests per second"
	case admission.ConcurrencyExceeded:
		p.Code = problem.AccountLimit
		p.Detail = "the client account has too many requests open"
	case admission.WouldMissDeadline:
		p.Detail = "the request could not be served before its deadline"
	default:
		p.Detail = "too much is waiting"
	}
	return p
}

func condemnedProblem(until time.Time) *problem.Problem {
	return &problem.Problem{Code: problem.CrashesServers, Outcome: problem.Failed, Detail: "every engine that ran this content crashed; it is not run again for now", RetryAt: until}
}

func (o *Owner) newRunning(ctx context.Context, journal *generation.Journal) *Running {
	ctx, cancel := context.WithDeadline(trace.Detached(ctx), journal.Spec.Deadline)
	return &Running{
		owner:      o,
		request:    journal.Request,
		spec:       journal.Spec,
		journal:    journal,
		ctx:        ctx,
		cancel:     cancel,
		acceptedAt: o.options.Now(),
		opened:     make(chan struct{}),
		gone:       o.options.Now().Add(o.options.Grace),
	}
}

// register books a generation, unless the request has one already.
func (o *Owner) register(running *Running) *Running {
	o.mu.Lock()
	defer o.mu.Unlock()
	if existing := o.byRequest[running.request]; existing != nil {
		return existing
	}
	o.byRequest[running.request] = running
	o.byID[running.journal.ID] = running
	return running
}

func (o *Owner) local(request generation.RequestID) *Running {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.byRequest[request]
}

func (o *Owner) byGeneration(id string) *Running {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.byID[id]
}

// forget takes a generation out of the book. id is its journal's.
func (o *Owner) forget(running *Running, id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byRequest[running.request] == running {
		delete(o.byRequest, running.request)
	}
	if o.byID[id] == running {
		delete(o.byID, id)
	}
}

func (o *Owner) all() []*Running {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := make([]*Running, 0, len(o.byID))
	for _, running := range o.byID {
		all = append(all, running)
	}
	return all
}

// Counts tells how many generations run and how many ended ones are kept.
func (o *Owner) Counts() (active, kept int) {
	for _, running := range o.all() {
		if running.ended() {
			kept++
		} else {
			active++
		}
	}
	return active, kept
}

// Drain waits until no generation runs and no caller reads, or the context ends.
func (o *Owner) Drain(ctx context.Context) {
	for o.busy() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (o *Owner) busy() bool {
	for _, running := range o.all() {
		if running.busy() {
			return true
		}
	}
	return false
}

// Sweep forgets what is over. It is to be called every SweepEvery.
func (o *Owner) Sweep(context.Context) {
	now := o.options.Now()
	for _, running := range o.all() {
		if running.overAt(now) {
			running.cancel()
			o.forget(running, running.ID())
			continue
		}
		if running.abandoned(now) {
			o.abandon(running)
		}
		o.protectLater(running)
	}
	o.options.Store.Expire(now)
	o.mu.Lock()
	defer o.mu.Unlock()
	for hash, log := range o.suspects {
		if now.After(log.until) {
			delete(o.suspects, hash)
		}
	}
	for peer, until := range o.shunned {
		if now.After(until) {
			delete(o.shunned, peer)
		}
	}
}

func (o *Owner) profile() object.Profile {
	snapshot := o.options.Snapshot()
	if snapshot.Set == nil || snapshot.Set.Profile == object.ProfileUnset {
		return object.ProfileResumeLatency
	}
	return snapshot.Set.Profile
}
