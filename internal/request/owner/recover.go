package owner

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/engine"
	"github.com/endivespoke/endivespoke/internal/backend/fleet"
	"github.com/endivespoke/endivespoke/internal/caller/problem"
	"github.com/endivespoke/endivespoke/internal/config/object"
	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/request/generation"
)

const (
	// retryPause is the wait before all servers are tried again.
	retryPause = 100 * time.Millisecond
	// lonelyWait bounds the wait of a suspected request for a server without
	// other suspects.
	lonelyWait = 2 * time.Second
	// lonelyAfter servers died running a request, it is kept apart from other
	// suspects.
	lonelyAfter = 2
	// condemnAfter servers died running a request, two of them while it was apart,
	// the request is given up. Fewer deaths happen to innocent requests too, when
	// several servers fail at the same time.
	condemnAfter = 4
	// clearTokens is the least progress that clears a request of suspicion.
	clearTokens = 32
	// stuckConnections in a row without a token, of a dispatch that had made
	// some, mean that the engine answers but does not work.
	stuckConnections = 2
	// cancelLimit bounds the telling of an engine that its work is not wanted.
	cancelLimit = 10 * time.Second
)

// connection is one open stream that feeds the journal as one attempt.
type connection struct {
	stream   *engine.Stream
	attempt  int
	detector *detector
	recovery *recovery
	tokens   int
}

// progressed counts tokens that the journal took.
func (c *connection) progressed(tokens int, now time.Time, first bool) {
	if tokens > 0 && c.tokens == 0 {
		c.recovery.resumed(now, first)
	}
	c.tokens += tokens
	c.recovery.madeTokens(tokens)
}

// recovery finds a generation's next connection after each loss. It belongs to
// the generation's driving goroutine.
type recovery struct {
	owner   *Owner
	running *Running

	lease         *fleet.Lease
	engineLost    bool // The current engine generation can't be resumed.
	made          int  // Tokens of the current dispatch.
	madeAtCrash   int  // Tokens that the dispatch before made until its engine died.
	idle          int  // Connections in a row without a token.
	excluded      []string
	lostAt        time.Time // When the stream that broke was last heard.
	sameEngine    bool      // The connection resumes the engine's stream.
	lonelyUntil   time.Time // Until when a suspect waits for a server of its own.
	suspectAlone  bool      // The current dispatch had no other suspect beside it.
	everConnected bool
	brokeOff      bool // The last connection broke rather than fell silent.
}

// candidate is the end of one try to get a stream.
type candidate struct {
	stream  *engine.Stream
	server  string
	request string
	base    int // The offset in the answer of a new dispatch's first token.
	resume  bool
	lease   *fleet.Lease // Nil for a resumed stream.
	alone   bool
	refused bool // The server did not take new work; others should be tried.
	err     error
}

// connect gives the next connection, or the final error.
func (rc *recovery) connect(ctx context.Context) (*connection, error) {
	for ctx.Err() == nil {
		found := rc.next(ctx)
		if found.err == nil {
			return rc.begin(found), nil
		}
		var final *problem.Problem
		if errors.As(found.err, &final) {
			return nil, final
		}
	}
	return nil, errors.Trace(ctx.Err())
}

// next tries the cheap way first, the same engine over a new connection, and
// races another engine when that takes longer than the profile's head start.
func (rc *recovery) next(ctx context.Context) candidate {
	if !rc.resumable() {
		return rc.dispatchOrPause(ctx)
	}
	results := make(chan candidate, 2)
	go func() { results <- rc.tryResume(ctx) }()
	headStart := time.NewTimer(rc.headStart())
	defer headStart.Stop()
	select {
	case resumed := <-results:
		return rc.settleResume(resumed)
	case <-headStart.C:
	}
	ask := rc.askElsewhere()
	go func() { results <- rc.tryDispatch(ctx, ask) }()
	return rc.raceOf(results)
}

// raceOf takes the first of two tries that succeeds and undoes the other.
func (rc *recovery) raceOf(results chan candidate) candidate {
	first := rc.settle(<-results)
	if first.err == nil {
		go rc.discard(results)
		return first
	}
	second := rc.settle(<-results)
	var final *problem.Problem
	if second.err != nil && errors.As(first.err, &final) {
		return first
	}
	return second
}

// settle takes note of how a try ended.
func (rc *recovery) settle(c candidate) candidate {
	if c.resume {
		return rc.settleResume(c)
	}
	if c.err != nil && c.refused {
		rc.excluded = append(rc.excluded, c.server)
		rc.owner.serverFailed(c.server, c.err)
	}
	return c
}

// discard undoes a try that came second.
func (rc *recovery) discard(results chan candidate) {
	late := <-results
	if late.err != nil {
		return
	}
	late.stream.Close()
	if late.lease != nil {
		late.lease.Release()
		rc.owner.cancelEngine(late.lease.Server.Address, late.request)
	}
}

// settleResume takes note of how a resume of the same engine ended.
func (rc *recovery) settleResume(c candidate) candidate {
	if c.err == nil {
		return c
	}
	rc.engineLost = true
	// A stream that broke and can't be resumed means that the engine died under
	// this request. One that fell silent may only have been cut off or paused. The
	// kind of the second error tells nothing: between the two ends something may
	// answer for a dead engine.
	if rc.brokeOff || errors.Is(c.err, engine.ErrGone) && rc.everConnected {
		if final := rc.crashed(c.server); final != nil {
			c.err = final
		}
	}
	if !errors.Is(c.err, engine.ErrGone) {
		rc.excluded = append(rc.excluded, c.server)
		rc.owner.serverFailed(c.server, c.err)
	}
	return c
}

func (rc *recovery) resumable() bool {
	timing := rc.owner.options.Timing
	if (timing.FailoverOnlyByTimer || timing.RestartFromZero) && rc.everConnected {
		return false
	}
	rc.running.mu.Lock()
	defer rc.running.mu.Unlock()
	return rc.running.journal.EngineRequest != "" && !rc.engineLost
}

func (rc *recovery) headStart() time.Duration {
	if rc.owner.profile() == object.ProfileResourceUse {
		return rc.owner.options.Timing.HeadStartResources
	}
	return rc.owner.options.Timing.HeadStartLatency
}

// tryResume asks the engine for the rest of its stream over a new connection.
func (rc *recovery) tryResume(ctx context.Context) candidate {
	r := rc.running
	r.mu.Lock()
	c := candidate{resume: true, server: r.journal.Server, request: r.journal.EngineRequest}
	offset := len(r.journal.Tokens)
	base := rc.engineOffset(offset)
	r.mu.Unlock()
	server, found := rc.owner.options.Fleet.Server(c.server)
	if !found {
		c.err = errors.Annotatef(engine.ErrGone, "server %s is not published any more", c.server)
		return c
	}
	c.stream, c.err = rc.within(ctx, rc.owner.options.Timing.ProbeLimit, func(ctx context.Context) (*engine.Stream, error) {
		return rc.owner.options.Engines.Resume(ctx, server.Address, c.request, base, offset)
	})
	return c
}

// engineOffset gives how many tokens the engine's own generation has made when
// the journal has that many: a continuation starts at 0 again on its engine.
func (rc *recovery) engineOffset(offset int) int {
	return offset - rc.running.journal.EngineBase
}

// within bounds the opening of a stream, not the stream.
func (rc *recovery) within(ctx context.Context, limit time.Duration, open func(context.Context) (*engine.Stream, error)) (*engine.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(limit, cancel)
	stream, err := open(ctx)
	if !timer.Stop() && err == nil {
		stream.Close()
		err = errors.Trace(engine.ErrBroken)
	}
	if err != nil {
		cancel()
		return nil, err
	}
	stream.OnClose(cancel)
	return stream, nil
}

// dispatchOrPause dispatches, and waits a moment if no server took the work.
func (rc *recovery) dispatchOrPause(ctx context.Context) candidate {
	c := rc.settle(rc.tryDispatch(ctx, rc.ask()))
	if c.err == nil || (c.refused && rc.owner.retries.Withdraw()) {
		return c
	}
	var final *problem.Problem
	if errors.As(c.err, &final) {
		return c
	}
	if errors.Is(c.err, fleet.ErrNone) {
		rc.excluded = nil
	}
	select {
	case <-time.After(retryPause):
	case <-ctx.Done():
	}
	return c
}

// tryDispatch starts a new engine generation that goes on where the journal ends.
// It may run beside a resume, so it changes nothing of the recovery itself.
func (rc *recovery) tryDispatch(ctx context.Context, ask fleet.Criteria) (c candidate) {
	o := rc.owner
	if c.err = rc.continuable(); c.err != nil {
		return c
	}
	if c.lease, c.err = o.options.Fleet.Pick(ask); c.err != nil {
		if o.options.Fleet.Capacity(fleet.Criteria{Version: ask.Version}) == 0 {
			c.err = &problem.Problem{Code: problem.NoServer, Outcome: rc.outcomeBefore(), Detail: "no backend server is published for version " + ask.Version, RetryAt: o.options.Now().Add(5 * time.Second)}
		}
		return c
	}
	c.alone = ask.Suspicion >= lonelyAfter
	c.server = c.lease.Server.Name
	request, base := rc.engineRequest()
	c.request, c.base = request.ID, base
	c.stream, c.err = rc.within(ctx, o.options.Timing.DispatchLimit, func(ctx context.Context) (*engine.Stream, error) {
		return o.options.Engines.Start(ctx, c.lease.Server.Address, request, base)
	})
	if c.err == nil {
		return c
	}
	c.lease.Release()
	if errors.Is(c.err, engine.ErrRejected) {
		c.err = &problem.Problem{Code: problem.BackendFailed, Outcome: problem.Failed, Detail: c.err.Error()}
		return c
	}
	if ctx.Err() == nil {
		c.refused = true
		go o.cancelEngine(c.lease.Server.Address, c.request) // It may have been accepted.
	}
	return c
}

// continuable gives the final error of an answer that no other engine can go on
// with.
func (rc *recovery) continuable() error {
	rc.running.mu.Lock()
	defer rc.running.mu.Unlock()
	if rc.running.journal.CanContinue() {
		return nil
	}
	return &problem.Problem{Code: problem.BackendFailed, Outcome: problem.Failed, Detail: "the engine was lost and had not told the prompt's token ids, without which no other can go on"}
}

// outcomeBefore says what a final error means: a request that was never
// dispatched did not run.
func (rc *recovery) outcomeBefore() problem.Outcome {
	rc.running.mu.Lock()
	defer rc.running.mu.Unlock()
	if rc.running.journal.Dispatches == 0 && len(rc.running.journal.Tokens) == 0 {
		return notRun(rc.running.keyGiven)
	}
	return problem.Failed
}

// engineRequest builds the request for a new engine generation, and the offset
// in the journal at which its first token belongs.
func (rc *recovery) engineRequest() (engine.Request, int) {
	r := rc.running
	r.mu.Lock()
	defer r.mu.Unlock()
	spec := r.journal.Spec
	input := r.journal.Continuation()
	base := len(r.journal.Tokens)
	if rc.owner.options.Timing.RestartFromZero {
		input = generation.Input{Prompt: spec.Prompt, Messages: spec.Messages, MaxTokens: spec.MaxTokens}
		base = 0
	}
	return engine.Request{
		ID:        r.journal.NextEngineRequest(),
		Model:     spec.EngineModel,
		Prompt:    input.Prompt,
		Messages:  input.Messages,
		TokenIDs:  input.TokenIDs,
		Seed:      spec.Seed,
		MaxTokens: input.MaxTokens,
		Priority:  spec.Rank,
		Sampling:  spec.Sampling,
	}, base
}

// begin makes a found stream the journal's current attempt.
func (rc *recovery) begin(found candidate) *connection {
	r := rc.running
	rc.sameEngine = found.resume
	r.mu.Lock()
	previousServer, previousRequest := r.journal.Server, r.journal.EngineRequest
	if !rc.sameEngine {
		r.journal.EngineBase = found.base
	}
	attempt := r.journal.Begin(found.server, found.request)
	rc.owner.offerLocked(r, true)
	r.mu.Unlock()
	if !rc.sameEngine {
		if rc.everConnected && !rc.engineLost && previousRequest != "" {
			rc.cancelPrevious(previousServer, previousRequest)
		}
		rc.newDispatch(found)
	}
	rc.everConnected = true
	watch := &detector{timing: rc.owner.options.Timing}
	return &connection{stream: found.stream, attempt: attempt, detector: watch, recovery: rc}
}

func (rc *recovery) newDispatch(found candidate) {
	rc.release()
	rc.lease = found.lease
	rc.suspectAlone = found.alone
	rc.engineLost = false
	rc.made = 0
	rc.idle = 0
	rc.lonelyUntil = time.Time{}
}

func (rc *recovery) cancelPrevious(server, request string) {
	published, found := rc.owner.options.Fleet.Server(server)
	if found {
		go rc.owner.cancelEngine(published.Address, request)
	}
}

func (rc *recovery) release() {
	if rc.lease != nil {
		rc.lease.Release()
		rc.lease = nil
	}
}

// lost takes note of how a connection ended.
func (rc *recovery) lost(c *connection, why outcome) {
	if why == outcomeEnded || why == outcomeStopped {
		return
	}
	streamsLost.Inc()
	rc.brokeOff = why == outcomeBroken
	rc.lostAt = c.detector.heardAt
	if rc.lostAt.IsZero() {
		rc.lostAt = rc.owner.options.Now()
	}
	rc.idle++
	if c.tokens > 0 {
		rc.idle = 0
		rc.excluded = nil
	}
	event.StreamLost.Info(rc.owner.options.Logger, "generation", rc.running.ID(), "silent", why == outcomeSilent)
	if rc.made > 0 && rc.idle >= stuckConnections {
		rc.leaveStuckEngine()
	}
}

// leaveStuckEngine gives up an engine that answers but makes no tokens.
func (rc *recovery) leaveStuckEngine() {
	r := rc.running
	r.mu.Lock()
	server, request := r.journal.Server, r.journal.EngineRequest
	r.mu.Unlock()
	rc.engineLost = true
	rc.excluded = append(rc.excluded, server)
	rc.cancelPrevious(server, request)
}

// resumed measures how long the output stood still.
func (rc *recovery) resumed(now time.Time, first bool) {
	if first {
		firstSeconds.Update(now.Sub(rc.running.acceptedAt).Seconds())
	}
	if rc.lostAt.IsZero() {
		return
	}
	latency := now.Sub(rc.lostAt)
	resumeSeconds.Update(latency.Seconds())
	if rc.sameEngine {
		sameEngine.Inc()
	} else {
		otherEngine.Inc()
	}
	event.GenerationContinued.Info(rc.owner.options.Logger, "generation", rc.running.journal.ID, "sameEngine", rc.sameEngine, "after", latency)
	rc.lostAt = time.Time{}
}

// finish gives back what the generation holds, and frees the engine if nobody
// wants the rest.
func (rc *recovery) finish() {
	rc.release()
	r := rc.running
	r.mu.Lock()
	moved, failed := r.moved, r.journal.Failure != nil
	server, request := r.journal.Server, r.journal.EngineRequest
	complete := r.journal.Finish != ""
	r.mu.Unlock()
	if complete {
		rc.owner.noteCrashes(r.contentHash, nil)
	}
	if failed && !moved && request != "" {
		rc.cancelPrevious(server, request)
	}
}

// cancelEngine tells an engine that its work is not wanted any more.
func (o *Owner) cancelEngine(address, request string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelLimit)
	defer cancel()
	_ = o.options.Engines.Cancel(ctx, address, request) // An engine that is gone has nothing to cancel.
}
