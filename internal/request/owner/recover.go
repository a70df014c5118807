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
	"github.com/endivespoke/endivespoke/internal/peer/gossip"
	"github.com/endivespoke/endivespoke/internal/request/generation"
)

const (
	// retryInterval is the wait before all servers are tried again.
	retryInterval = 100 * time.Millisecond
	// isolationWait bounds the wait of a suspected request for a server without
	// other suspected requests of this VM, and assignmentWait that for a server that
	// is assigned to it among the suspects of all VMs: these may all be unreachable.
	isolationWait  = 2 * time.Second
	assignmentWait = 10 * time.Second
	// crashedPeriod is how long a server that crashed is the last choice for a suspected
	// request. Engines restart within seconds.
	crashedPeriod = time.Minute
	// isolateAfterCrashes is the number of servers that crashed while running a
	// content, at all VMs, from which on its requests are isolated from other suspected
	// ones.
	isolateAfterCrashes = 2
	// blockAfterCrashes is the number of servers that crashed while running a
	// content, at all VMs, from which on it is blocked if the last one crashed while
	// the request was isolated. Fewer crashes also occur under harmless requests,
	// when several servers fail at the same time.
	blockAfterCrashes = 4
	// reportTime is the time after which all VMs know of a crash: until the next heartbeat,
	// and until one to a VM that answered it.
	reportTime = 2 * gossip.HeartbeatInterval
	// dismissAfterTokens is the least number of tokens of a dispatch after which
	// the crashes are no longer counted against its request.
	dismissAfterTokens = 32
	// maxStalledConnections in a row without a token, of a dispatch that had
	// produced some, mean that the engine answers but makes no progress.
	maxStalledConnections = 2
	// maxSilence is how long an engine may be silent whose generation no other can continue.
	// Engines are paused or out of reach for seconds; one that was lost without a trace would
	// keep its callers waiting.
	maxSilence = 30 * time.Second
	// cancelTimeout bounds the cancellation of work at an engine.
	cancelTimeout = 10 * time.Second
)

// connection is one open stream that feeds the journal as one attempt.
type connection struct {
	stream   *engine.Stream
	attempt  int
	detector *idleDetector
	recovery *recovery
	tokens   int
}

// addTokens counts tokens that were appended to the journal.
func (c *connection) addTokens(tokens int, now time.Time, first bool) {
	if tokens > 0 && c.tokens == 0 {
		c.recovery.recordResume(now, first)
	}
	c.tokens += tokens
	c.recovery.addTokens(tokens)
}

// recovery finds a generation's next connection after each failure. It is used
// only by the generation's driving goroutine.
type recovery struct {
	owner      *Owner
	generation *Generation

	lease              *fleet.Lease
	engineLost         bool // The current engine generation can't be resumed.
	dispatchTokens     int  // Tokens of the current dispatch.
	tokensAtCrash      int  // Tokens of the dispatch whose engine crashed last.
	stalledConnections int  // Connections in a row without a token.
	excluded           []string
	lostAt             time.Time // Time of the last event of the stream that was lost.
	sameEngine         bool      // The connection resumes the engine's stream.
	waitsSince         time.Time // When a suspected request began to wait for a server; zero while it has one.
	isolated           bool      // The current dispatch is isolated from other suspected requests.
	passed             bool      // The current dispatch has outlived the crashes of the content.
	refusedAt          time.Time // When a server last refused an isolated dispatch.
	everConnected      bool
	broken             bool // The last connection broke, rather than reaching its idle timeout.
}

// candidate is the result of one attempt to open a stream.
type candidate struct {
	stream   *engine.Stream
	server   string
	software string // The software version of the server.
	request  string
	base     int // Offset in the answer of a new dispatch's first token.
	resume   bool
	lease    *fleet.Lease // Nil for a resumed stream.
	isolated bool
	refused  bool // The server did not accept new work; others should be tried.
	err      error
}

// connect returns the next connection, or the final error.
func (rc *recovery) connect(ctx context.Context) (*connection, error) {
	for ctx.Err() == nil {
		found := rc.nextCandidate(ctx)
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

// nextCandidate first tries the cheaper way, a new connection to the same engine,
// and races a dispatch to another engine against it after the profile's hedge
// delay.
func (rc *recovery) nextCandidate(ctx context.Context) candidate {
	if !rc.resumable() {
		return rc.dispatchOrPause(ctx)
	}
	if !rc.mayLeave() {
		return rc.resumeOrPause(ctx)
	}
	results := make(chan candidate, 2)
	go func() { results <- rc.tryResume(ctx) }()
	hedgeTimer := time.NewTimer(rc.hedgeDelay())
	defer hedgeTimer.Stop()
	select {
	case resumed := <-results:
		return rc.recordResumeResult(resumed)
	case <-hedgeTimer.C:
	}
	criteria := rc.criteriaElsewhere()
	go func() { results <- rc.tryDispatch(ctx, criteria) }()
	return rc.race(results)
}

// mayLeave reports whether the generation may leave an engine because it is silent: another engine
// can continue the answer, or this one has been silent for too long.
func (rc *recovery) mayLeave() bool {
	rc.generation.mu.Lock()
	canContinue := rc.generation.journal.CanContinue()
	required := rc.generation.requiredServers()
	rc.generation.mu.Unlock()
	if required.PinnedSoftware && rc.owner.options.Fleet.Capacity(required) == 0 {
		canContinue = false
	}
	return canContinue || (!rc.lostAt.IsZero() && rc.owner.options.Now().Sub(rc.lostAt) > maxSilence)
}

// resumeOrPause resumes at the same engine, the only one that can go on. If that is silent it waits for
// the retry interval; an engine that answers otherwise, or whose process has ended, has lost the
// generation.
func (rc *recovery) resumeOrPause(ctx context.Context) candidate {
	c := rc.tryResume(ctx)
	isSilent := errors.Is(c.err, engine.ErrBroken) || errors.Is(c.err, engine.ErrUnreachable)
	if !isSilent {
		return rc.recordResumeResult(c)
	}
	select {
	case <-time.After(retryInterval):
	case <-ctx.Done():
	}
	return c
}

// race returns the first of two candidates that succeeds and undoes the other.
func (rc *recovery) race(results chan candidate) candidate {
	first := rc.recordResult(<-results)
	if first.err == nil {
		go rc.discardLoser(results)
		return first
	}
	second := rc.recordResult(<-results)
	var final *problem.Problem
	if second.err != nil && errors.As(first.err, &final) {
		return first
	}
	return second
}

// recordResult records the result of a candidate.
func (rc *recovery) recordResult(c candidate) candidate {
	if c.resume {
		return rc.recordResumeResult(c)
	}
	if c.err != nil && c.refused {
		if c.isolated {
			rc.refusedAt = rc.owner.options.Now()
		}
		rc.excluded = append(rc.excluded, c.server)
		rc.owner.serverFailed(c.server, c.err)
	}
	return c
}

// discardLoser undoes the candidate that lost the race.
func (rc *recovery) discardLoser(results chan candidate) {
	loser := <-results
	if loser.err != nil {
		return
	}
	loser.stream.Close()
	if loser.lease != nil {
		loser.lease.Release()
		rc.owner.cancelEngine(loser.lease.Server.Address, loser.request)
	}
}

// recordResumeResult records the result of a resume at the same engine.
func (rc *recovery) recordResumeResult(c candidate) candidate {
	if c.err == nil {
		return c
	}
	rc.engineLost = true
	// A stream that broke and can't be resumed means that the engine crashed under
	// this request. After an idle timeout, the engine may only have been
	// disconnected or paused. The kind of the second error is no evidence:
	// something between the two ends may answer in place of a crashed engine.
	if rc.broken || errors.Is(c.err, engine.ErrGone) && rc.everConnected {
		if final := rc.recordCrash(c.server); final != nil {
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
	rc.generation.mu.Lock()
	defer rc.generation.mu.Unlock()
	return rc.generation.journal.EngineRequest != "" && !rc.engineLost
}

// hedgeDelay returns the profile's hedge delay, or the time until a dispatch may start if that is
// longer.
func (rc *recovery) hedgeDelay() time.Duration {
	delay := rc.owner.options.Timing.HedgeDelayLatency
	if rc.owner.profile() == object.ProfileResourceUse {
		delay = rc.owner.options.Timing.HedgeDelayResources
	}
	return max(delay, rc.dispatchableAt().Sub(rc.owner.options.Now()))
}

// tryResume requests the rest of the engine's stream over a new connection.
func (rc *recovery) tryResume(ctx context.Context) candidate {
	g := rc.generation
	g.mu.Lock()
	c := candidate{resume: true, server: g.journal.Server, request: g.journal.EngineRequest}
	offset := len(g.journal.Tokens)
	base := rc.engineOffset(offset)
	c.software = g.journal.SoftwareVersion
	g.mu.Unlock()
	server, found := rc.owner.options.Fleet.Server(c.server)
	if !found {
		c.err = errors.Annotatef(engine.ErrGone, "server %s is not published any more", c.server)
		return c
	}
	if server.SoftwareVersion != c.software {
		c.err = errors.Annotatef(engine.ErrGone, "server %s is published with other software now", c.server)
		return c
	}
	c.stream, c.err = rc.openWithin(ctx, rc.owner.options.Timing.ResumeTimeout, func(ctx context.Context) (*engine.Stream, error) {
		return rc.owner.options.Engines.Resume(ctx, server.Address, c.request, base, offset)
	})
	return c
}

// engineOffset converts an offset in the journal to one in the engine's own
// generation, since a continuation starts at 0 on its engine.
func (rc *recovery) engineOffset(offset int) int {
	return offset - rc.generation.journal.EngineBase
}

// openWithin bounds the time to open a stream, not the life of the stream.
func (rc *recovery) openWithin(ctx context.Context, limit time.Duration, open func(context.Context) (*engine.Stream, error)) (*engine.Stream, error) {
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

// dispatchOrPause dispatches. After a failure that is not final it waits for the
// retry interval, unless a server refused the work and the retry budget allows
// another dispatch at once.
func (rc *recovery) dispatchOrPause(ctx context.Context) candidate {
	if !rc.awaitReports(ctx) {
		return candidate{err: errors.Trace(ctx.Err())}
	}
	c := rc.recordResult(rc.tryDispatch(ctx, rc.criteria()))
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
	case <-time.After(retryInterval):
	case <-ctx.Done():
	}
	return c
}

// tryDispatch starts a new engine generation that continues at the end of the
// journal. It may run concurrently with a resume, so it modifies no field of the
// recovery.
func (rc *recovery) tryDispatch(ctx context.Context, criteria fleet.Criteria) (c candidate) {
	o := rc.owner
	if c.err = rc.checkContinuable(); c.err != nil {
		return c
	}
	if c.err = rc.checkNotBlocked(); c.err != nil {
		return c
	}
	if c.lease, c.err = o.options.Fleet.Pick(criteria); c.err != nil {
		switch {
		case o.options.Fleet.Capacity(criteria) > 0:
		case o.options.Fleet.Capacity(fleet.Criteria{Version: criteria.Version}) > 0:
			c.err = &problem.Problem{Code: problem.RestartRequired, Outcome: problem.Failed, Detail: "no backend server runs the software version that began the answer; send the request again under a new key"}
		default:
			c.err = &problem.Problem{Code: problem.NoServer, Outcome: rc.dispatchFailureOutcome(), Detail: "no backend server is published for version " + criteria.Version, RetryAt: o.options.Now().Add(5 * time.Second)}
		}
		return c
	}
	c.isolated = criteria.Suspicion >= isolateAfterCrashes
	c.server = c.lease.Server.Name
	c.software = c.lease.Server.SoftwareVersion
	request, base := rc.engineRequest()
	c.request, c.base = request.ID, base
	c.stream, c.err = rc.openWithin(ctx, o.options.Timing.DispatchTimeout, func(ctx context.Context) (*engine.Stream, error) {
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

// checkContinuable returns the final error of an answer that no other engine can
// continue.
func (rc *recovery) checkContinuable() error {
	rc.generation.mu.Lock()
	defer rc.generation.mu.Unlock()
	if rc.generation.journal.CanContinue() {
		return nil
	}
	return &problem.Problem{Code: problem.BackendFailed, Outcome: problem.Failed, Detail: "the engine was lost and had not told the prompt's token ids, without which no other can go on"}
}

// dispatchFailureOutcome returns the outcome of a final error: a request that was
// never dispatched did not run.
func (rc *recovery) dispatchFailureOutcome() problem.Outcome {
	rc.generation.mu.Lock()
	defer rc.generation.mu.Unlock()
	if rc.generation.journal.Dispatches == 0 && len(rc.generation.journal.Tokens) == 0 {
		return notRun(rc.generation.keyGiven)
	}
	return problem.Failed
}

// engineRequest returns the request for a new engine generation, and the offset in
// the journal of its first token.
func (rc *recovery) engineRequest() (engine.Request, int) {
	g := rc.generation
	g.mu.Lock()
	defer g.mu.Unlock()
	spec := g.journal.Spec
	input := g.journal.Continuation()
	base := len(g.journal.Tokens)
	if rc.owner.options.Timing.RestartFromZero {
		input = generation.Input{Prompt: spec.Prompt, Messages: spec.Messages, MaxTokens: spec.MaxTokens}
		base = 0
	}
	return engine.Request{
		ID:        g.journal.NextEngineRequestID(),
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

// begin makes the stream that was found the journal's current attempt.
func (rc *recovery) begin(found candidate) *connection {
	g := rc.generation
	rc.sameEngine = found.resume
	g.mu.Lock()
	previousServer, previousRequest := g.journal.Server, g.journal.EngineRequest
	if !rc.sameEngine {
		g.journal.EngineBase = found.base
	}
	attempt := g.journal.BeginAttempt(found.server, found.request)
	g.journal.SetSoftwareVersion(found.software)
	rc.owner.sendUpdateLocked(g, true)
	g.mu.Unlock()
	if !rc.sameEngine {
		if rc.everConnected && !rc.engineLost && previousRequest != "" {
			rc.cancelPrevious(previousServer, previousRequest)
		}
		rc.beginDispatch(found)
	}
	rc.everConnected = true
	idle := &idleDetector{timing: rc.owner.options.Timing}
	return &connection{stream: found.stream, attempt: attempt, detector: idle, recovery: rc}
}

func (rc *recovery) beginDispatch(found candidate) {
	rc.release()
	rc.lease = found.lease
	rc.isolated = found.isolated
	rc.passed = false
	rc.engineLost = false
	rc.dispatchTokens = 0
	rc.stalledConnections = 0
	rc.waitsSince = time.Time{}
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

// connectionLost records how a connection ended.
func (rc *recovery) connectionLost(c *connection, why outcome) {
	if why == outcomeEnded || why == outcomeStopped {
		return
	}
	streamsLost.Inc()
	rc.broken = why == outcomeBroken
	rc.lostAt = c.detector.lastEventAt
	if rc.lostAt.IsZero() {
		rc.lostAt = rc.owner.options.Now()
	}
	rc.stalledConnections++
	if c.tokens > 0 {
		rc.stalledConnections = 0
		rc.excluded = nil
	}
	event.StreamLost.Info(rc.owner.options.Logger, "generation", rc.generation.ID(), "silent", why == outcomeIdle)
	if rc.dispatchTokens > 0 && rc.stalledConnections >= maxStalledConnections && rc.mayLeave() {
		rc.leaveStalledEngine()
	}
}

// leaveStalledEngine abandons an engine that answers but produces no tokens.
func (rc *recovery) leaveStalledEngine() {
	g := rc.generation
	g.mu.Lock()
	server, request := g.journal.Server, g.journal.EngineRequest
	g.mu.Unlock()
	rc.engineLost = true
	rc.excluded = append(rc.excluded, server)
	rc.cancelPrevious(server, request)
}

// recordResume measures the interruption of the output.
func (rc *recovery) recordResume(now time.Time, first bool) {
	if first {
		firstSeconds.Update(now.Sub(rc.generation.acceptedAt).Seconds())
	}
	if rc.lostAt.IsZero() {
		return
	}
	latency := now.Sub(rc.lostAt)
	resumeSeconds.Update(latency.Seconds())
	if rc.sameEngine {
		resumedSameEngine.Inc()
	} else {
		resumedOtherEngine.Inc()
	}
	event.GenerationContinued.Info(rc.owner.options.Logger, "generation", rc.generation.journal.ID, "sameEngine", rc.sameEngine, "after", latency)
	rc.lostAt = time.Time{}
}

// finish releases the generation's lease. It dismisses the crashes of a completed
// generation, and cancels the engine's work for a failed one.
func (rc *recovery) finish() {
	rc.release()
	g := rc.generation
	g.mu.Lock()
	moved, failed := g.moved, g.journal.Failure != nil
	server, request := g.journal.Server, g.journal.EngineRequest
	complete := g.journal.Finish != ""
	g.mu.Unlock()
	if complete {
		rc.owner.recordCrashes(g.contentHash, nil)
		rc.owner.options.Crashes.Completed(g.traits()...)
	}
	if failed && !moved && request != "" {
		rc.cancelPrevious(server, request)
	}
}

// cancelEngine cancels work at an engine.
func (o *Owner) cancelEngine(address, request string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = o.options.Engines.Cancel(ctx, address, request) // An engine that is gone has nothing to cancel.
}
