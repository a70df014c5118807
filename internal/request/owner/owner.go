// Package owner drives the generations that this VM owns: admission, the engine's
// stream, recovery after failures, the copy at a holder, take-over from and by
// other VMs, and delivery to callers.
//
// # Usage
//
//	o := owner.New(owner.Options{...})
//	g, failure := o.Submit(ctx, owner.Submission{Request: request, Spec: spec})
//	changed := g.Attach()
//	tokens, end := g.Next(ctx, offset, changed, nil)
//	g.Detach(changed)
//	o.OnHandover(peer, handover)   // another VM takes over
//	o.Drain(ctx)                   // wait until nothing runs
//
// Reading order: this file (the registry of generations), running.go (one
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
	"github.com/endivespoke/endivespoke/internal/request/crash"
	"github.com/endivespoke/endivespoke/internal/request/generation"
)

const (
	// DefaultGrace is how long a generation continues without a caller.
	DefaultGrace = 30 * time.Second
	// endedRetention is how long an ended answer is kept for a caller that
	// retries.
	endedRetention = time.Minute
	// retryRatio of the accepted requests, and retryBurst at once, may be sent to
	// another server immediately when one did not accept them. Further retries
	// wait for retryInterval.
	retryRatio = 0.2
	retryBurst = 20
	// SweepInterval is the time between two calls of Sweep.
	SweepInterval = time.Second
)

var (
	staleEvents            = metrics.NewCounter(`endivespoke_generation_late_events_total`)
	takeOvers              = metrics.NewCounter(`endivespoke_generation_takeovers_total`)
	streamsLost            = metrics.NewCounter(`endivespoke_generation_streams_lost_total`)
	resumedSameEngine      = metrics.NewCounter(`endivespoke_generation_resumed_same_engine_total`)
	resumedOtherEngine     = metrics.NewCounter(`endivespoke_generation_resumed_other_engine_total`)
	resumeSeconds          = metrics.NewHistogram(`endivespoke_generation_resume_seconds`)
	firstSeconds           = metrics.NewHistogram(`endivespoke_generation_first_token_seconds`)
	generationsWithoutCopy = metrics.NewCounter(`endivespoke_generation_without_copy_total`)
)

// Options configures an Owner. All function fields must be set.
type Options struct {
	Engines      *engine.Client
	Fleet        *fleet.Fleet
	Gate         *admission.Gate
	Pool         *wire.Pool
	Store        *replica.Store
	Snapshot     func() *control.Snapshot
	BlockContent func(contentHash string)
	Crashes      *crash.Record // Nil for one of its own.
	Logger       hclog.Logger
	Now          func() time.Time
	Grace        time.Duration
	Timing       Timing
}

// Owner is the registry of the generations that this VM owns. It is safe for
// concurrent use.
type Owner struct {
	options Options

	mu                 sync.Mutex
	byRequest          map[generation.RequestID]*Generation
	byID               map[string]*Generation
	holderBackoffUntil map[string]time.Time   // Holders that are not chosen until then, by VM.
	crashesByContent   map[string]crashRecord // By content hash.
	retries            *budget.Budget         // Budget for retries of dispatches that a server did not accept.
}

// New returns an empty registry.
func New(options Options) *Owner {
	if options.Grace == 0 {
		options.Grace = DefaultGrace
	}
	if options.Timing == (Timing{}) {
		options.Timing = DefaultTiming
	}
	if options.Crashes == nil {
		options.Crashes = crash.New(crash.Options{Now: options.Now, Announce: func(crash.Report) {}})
	}
	return &Owner{
		options:            options,
		byRequest:          map[generation.RequestID]*Generation{},
		byID:               map[string]*Generation{},
		holderBackoffUntil: map[string]time.Time{},
		crashesByContent:   map[string]crashRecord{},
		retries:            budget.New(budget.Options{Ratio: retryRatio, Burst: retryBurst}),
	}
}

// Submission is a request as it reached this VM. KeyGiven means that the caller
// chose the key, so that other VMs may have the request. Cursor, if set, is the
// caller's position in the answer.
type Submission struct {
	Request  generation.RequestID
	Spec     generation.Spec
	KeyGiven bool
	Cursor   *generation.Cursor
}

// Submit accepts a request, or finds the generation that already has the key, here
// or on another VM. The problem, if any, is the final answer.
func (o *Owner) Submit(ctx context.Context, submission Submission) (*Generation, *problem.Problem) {
	if g := o.generationByRequest(submission.Request); g != nil {
		return g.sameBody(submission.Spec)
	}
	if submission.KeyGiven {
		if g := o.takeOver(ctx, submission.Request, submission.Cursor); g != nil {
			return g.sameBody(submission.Spec)
		}
	}
	snapshot := o.options.Snapshot()
	hash := submission.Spec.ContentHash()
	if until, blocked := snapshot.BlockedUntil[hash]; blocked {
		return nil, blockedProblem(until)
	}
	if !snapshot.Accepting(o.options.Now()) {
		return nil, &problem.Problem{Code: problem.ConfigurationOutdated, Outcome: notRun(submission.KeyGiven), Detail: "this VM can't tell whether its configuration is current; use another", RetryAt: o.options.Now().Add(time.Second)}
	}
	traits := crash.Traits(hash, submission.Spec.Beginnings())
	verdict := o.options.Crashes.Check(traits...)
	if verdict.Trait.IsPart() {
		return nil, beginningProblem(verdict.Until)
	}
	if submission.Cursor != nil && submission.Cursor.Offset > 0 {
		event.GenerationRegenerate.Warn(o.options.Logger, "generation", submission.Cursor.Generation, "offset", submission.Cursor.Offset)
	}
	g, refusal := o.accept(ctx, submission, hash)
	if refusal != nil && verdict.IsTrial {
		o.options.Crashes.Inconclusive(traits...)
	}
	return g, refusal
}

// accept passes admission and starts a new generation. A request that was accepted
// before and lost every copy passes admission like any other, since this VM can't
// distinguish it.
func (o *Owner) accept(ctx context.Context, submission Submission, contentHash string) (*Generation, *problem.Problem) {
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
	g := o.newGeneration(ctx, journal)
	g.contentHash = contentHash
	g.maybeDuplicate = submission.KeyGiven
	g.keyGiven = submission.KeyGiven
	if cursor := submission.Cursor; cursor != nil && cursor.EngineBase == 0 {
		// The engine may still have the stream of the lost journal. If it
		// continued the stream of an earlier engine, it lacks the beginning and
		// can't be used.
		journal.Server = cursor.Server
		journal.EngineRequest = cursor.EngineRequest
		journal.SoftwareVersion = cursor.SoftwareVersion
	}
	journal.PinSoftwareVersion(submission.Cursor)
	journal.Crashes = o.knownCrashes(contentHash)
	if existing := o.register(g); existing != g {
		ticket.Release()
		return existing.sameBody(submission.Spec)
	}
	o.start(g, ticket)
	return g, nil
}

// newID returns a random id of 128 bits. It is shorter than the text of a UUID
// since it is sent with every token.
func newID() string {
	id := uuid.New()
	return base64.RawURLEncoding.EncodeToString(id[:])
}

// notRun returns the outcome of a request that this VM did not run. If the caller
// chose the key, the request may have been sent before and may run through a VM
// that can't be reached at present, so its state is not known.
func notRun(keyGiven bool) problem.Outcome {
	if keyGiven {
		return problem.StateNotKnown
	}
	return problem.NotRun
}

// RefusalProblem converts an admission refusal into the caller's answer.
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

func blockedProblem(until time.Time) *problem.Problem {
	return &problem.Problem{Code: problem.CrashesServers, Outcome: problem.Failed, Detail: "every engine that ran this content crashed; it is not run again for now", RetryAt: until}
}

// beginningProblem refuses a request that begins like others under which engines crashed.
func beginningProblem(until time.Time) *problem.Problem {
	return &problem.Problem{Code: problem.CrashesServers, Outcome: problem.Failed, Detail: "engines crashed under prompts that begin like this one; it is not run for now", RetryAt: until}
}

func (o *Owner) newGeneration(ctx context.Context, journal *generation.Journal) *Generation {
	ctx, cancel := context.WithDeadline(trace.Detached(ctx), journal.Spec.Deadline)
	return &Generation{
		owner:          o,
		request:        journal.Request,
		spec:           journal.Spec,
		journal:        journal,
		ctx:            ctx,
		cancel:         cancel,
		acceptedAt:     o.options.Now(),
		holderAnswered: make(chan struct{}),
		graceEnds:      o.options.Now().Add(o.options.Grace),
	}
}

// register adds a generation to the registry and returns it. If the request
// already has one, that one is returned instead.
func (o *Owner) register(g *Generation) *Generation {
	o.mu.Lock()
	defer o.mu.Unlock()
	if existing := o.byRequest[g.request]; existing != nil {
		return existing
	}
	o.byRequest[g.request] = g
	o.byID[g.journal.ID] = g
	return g
}

func (o *Owner) generationByRequest(request generation.RequestID) *Generation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.byRequest[request]
}

func (o *Owner) generationByID(id string) *Generation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.byID[id]
}

// unregister removes a generation from the registry. id is its journal's.
func (o *Owner) unregister(g *Generation, id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byRequest[g.request] == g {
		delete(o.byRequest, g.request)
	}
	if o.byID[id] == g {
		delete(o.byID, id)
	}
}

func (o *Owner) all() []*Generation {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := make([]*Generation, 0, len(o.byID))
	for _, g := range o.byID {
		all = append(all, g)
	}
	return all
}

// Counts returns the numbers of active generations and of kept ended ones.
func (o *Owner) Counts() (active, kept int) {
	for _, g := range o.all() {
		if g.ended() {
			kept++
		} else {
			active++
		}
	}
	return active, kept
}

// Drain waits until no generation runs and no caller is attached, or the context
// ends.
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
	for _, g := range o.all() {
		if g.busy() {
			return true
		}
	}
	return false
}

// Sweep removes expired generations, copies and back-offs, cancels generations
// whose callers are gone, and assigns missing holders. It must be called every
// SweepInterval.
func (o *Owner) Sweep(context.Context) {
	now := o.options.Now()
	for _, g := range o.all() {
		if g.expired(now) {
			g.cancel()
			o.unregister(g, g.ID())
			continue
		}
		if g.abandoned(now) {
			o.abandon(g)
		}
		o.assignMissingHolder(g)
	}
	o.options.Store.Expire(now)
	o.mu.Lock()
	defer o.mu.Unlock()
	for hash, record := range o.crashesByContent {
		if now.After(record.until) {
			delete(o.crashesByContent, hash)
		}
	}
	for peer, until := range o.holderBackoffUntil {
		if now.After(until) {
			delete(o.holderBackoffUntil, peer)
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
