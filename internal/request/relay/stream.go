package relay

import (
	"bufio"
	"cmp"
	"context"
	cryptorand "crypto/rand"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/http1"
	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/request/crash"
)

const (
	// idleFraction of the gap objective is the idle timeout between two events. The rest
	// of the objective is left for continuing at another server.
	idleFraction = 0.5
	// resumeFraction of the gap objective is the idle timeout until the first event of a
	// run that continues from a copy.
	resumeFraction = 0.8
	// maxIdleGaps is the longest idle timeout, in gap objectives. Callers give up a stream
	// after eight.
	maxIdleGaps = 4
	// pauseThreshold is the delay of a timer above which this VM is taken to have been paused.
	pauseThreshold = 100 * time.Millisecond
	// inactivityLimit is the time without any data from a server to this VM after which
	// the server is checked. It covers the reading of a prompt, during which no event is due.
	inactivityLimit = 400 * time.Millisecond
	// moveRetryInterval is the time between two attempts to move a stream without a copy.
	moveRetryInterval = 500 * time.Millisecond
	// maxCopyFailures bounds the retries of a run from one copy after failures of its
	// server. Each takes some 5 ms, and the last attempt is left for reading the prompt.
	maxCopyFailures = 2
	// startWindow is the time after its first event for which a run counts as just started.
	// Only such a run may have crashed its server.
	startWindow = 250 * time.Millisecond
	// passedAfter and passedEvents are the time since its first event and the number of events
	// from which on a run can't have crashed its server at its start. Both are needed: events
	// that a VM reads after a pause arrived before it.
	passedAfter  = 2 * startWindow
	passedEvents = 16
	// maxCrashes is the number of servers that may stop responding just after a stream started
	// there. Then it is not sent again, as it may have crashed them. Servers that are known to
	// have terminated are left to the crash record, which knows the runs beside it too.
	maxCrashes = 3
	// watchInterval is how often a run's server is checked for inactivity.
	watchInterval = 100 * time.Millisecond
)

// stream is the state of one streamed answer.
type stream struct {
	relay          *Relay
	request        *Request
	sink           Sink
	delivered      context.Context // Ends when Stream returns.
	headSent       bool
	lastEventID    string // Of the last event that the caller has.
	events         int
	send           sendRecord // Of the current run.
	verdict        Verdict    // Of the current run; zero before its head.
	sentAt         time.Time  // When the current run was sent.
	firstEventAt   time.Time  // When the first event of the current run arrived; zero before.
	sends          int        // Sends that may have run.
	lastEventAt    time.Time  // When the last event of the current run arrived.
	runEvents      int        // Events of the current run.
	passed         bool       // A run of it has outlived its start by passedAfter.
	crashes        int        // Of these, the ones whose server stopped responding just after their start.
	refused        int        // Sends that no server ran.
	idleTimeouts   int        // Runs that were ended by an idle timeout.
	chargedRetries int        // Sends that were charged to the retry budget.
	claimed        bool       // The next send was charged before the run was ended.
	tried          map[string]bool
	resumeFrom     Copy
	versions       runVersions
	version        streamVersion
	copyFailures   int // Runs from a copy that failed while their server kept the copy.
	moveFailures   int
	moves          chan movedRun // The completed move of the current run, if any.
	stopSent       bool          // Its server may have stopped the current run for a move. Owned by monitor until that returns.
	renewedCopy    Copy          // Renewed copy of the run that ended last, if any.
	isRecorded     bool          // The index of copies knows its origin.
	recordedBackup string        // The server that this VM recorded last as the holder of its copy.
	// recordedService and recordedVersion are those with which the index of copies knows it.
	recordedService, recordedVersion string
	interruptedAt                    time.Time
	waitedSince                      time.Time // When it first found no server that takes requests, since its last run.
	reason                           string
}

// runResult is how one run at a server ended.
type runResult struct {
	done      bool
	noServer  bool    // No server can take it.
	answer    *Answer // A server's own failure, before any event.
	failure   bool    // The server answered with a failure of its own, and a retry is permitted.
	notSent   bool
	notRun    bool
	replaced  bool
	aborted   bool // The watch ended it: it was idle, or the server is down.
	idle      bool // The watch ended it since an event was overdue.
	blocked   bool // The watch ended it since requests with its traits crash servers.
	moved     bool // Its memory was moved, and it continues at another server.
	unmarked  bool // It ended between two events, where nothing but its connection marks the end.
	err       error
	callerErr error // The caller's connection failed.
}

// wasAnswered reports whether the server answered without running the request.
func (e *runResult) wasAnswered() bool {
	return e.answer != nil || e.failure || e.notRun
}

// Stream relays a stream. It returns nil if the sink received all of it or a server's
// own failure.
func (r *Relay) Stream(ctx context.Context, request *Request, sink Sink) error {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	request.Origin = cmp.Or(request.ID, cryptorand.Text())
	s := &stream{relay: r, request: request, sink: sink, delivered: ctx, lastEventID: request.LastEventID, tried: map[string]bool{}}
	defer s.releaseMove()
	defer s.refundClaim()
	if request.LastEventID != "" {
		if refusal := s.takeUp(ctx); refusal != nil {
			return refusal
		}
	}
	for {
		if s.crashes >= maxCrashes {
			return s.fail(refusalFor(crash.Trait(request.Content), "%s may be what made servers stop responding that ran it", time.Time{}))
		}
		if refusal := r.admit(ctx, request); refusal != nil {
			return s.fail(refusal)
		}
		end := s.run(ctx)
		if end.done {
			r.options.Crashes.Completed(request.Traits...)
			return nil
		}
		if end.wasAnswered() || end.notSent || end.noServer {
			r.endTrial(request)
		}
		if end.answer != nil {
			return s.deliver(end.answer)
		}
		if end.callerErr != nil || ctx.Err() != nil {
			return s.contextError(ctx, end)
		}
		if end.blocked {
			if refusal := r.admit(ctx, request); refusal != nil {
				return s.fail(refusal)
			}
		}
		if final := s.decide(ctx, end); final != nil {
			return final
		}
	}
}

// decide returns the final error after a run that did not complete, or nil if the stream is
// to continue.
func (s *stream) decide(ctx context.Context, end runResult) error {
	now := s.relay.options.Now()
	soon := now.Add(retryDelay)
	if s.interruptedAt.IsZero() && s.headSent {
		s.interruptedAt = now
	}
	s.reason = fmt.Sprint(end.err)
	if end.moved {
		s.refundClaim()
		s.versions.claimed = nil
		s.chargedRetries++
		return nil // The budget was charged when the move started.
	}
	if end.idle {
		s.idleTimeouts++
	}
	if end.notSent || end.notRun {
		s.sends--
		s.refused++
	}
	if end.notSent {
		s.refundSend()
	}
	switch {
	case end.noServer && !s.headSent && s.sends == 0:
		return end.err // It includes the time to retry at.
	case end.noServer && s.awaitServer(ctx):
		return nil // The budget was charged before.
	case end.noServer:
		return s.fail(&NotRun{Kind: RefusalNoServer, Reason: s.reason, RetryAt: soon})
	case s.refused > maxSends:
		return s.fail(&NotRun{Kind: RefusalByServers, Reason: "servers refused it: " + s.reason, RetryAt: soon})
	}
	if !s.claimed {
		if refusal := s.claimResend(ctx, nil); refusal != nil {
			return s.fail(refusal)
		}
	}
	s.claimed = false
	s.chargedRetries++
	return nil
}

// awaitServer waits until a server takes requests again if all are in backoff or at their limits,
// and reports whether one does soon enough for the caller. A request that has not run is refused
// instead.
func (s *stream) awaitServer(ctx context.Context) bool {
	until := s.relay.options.Servers.Availability(s.request.Service, s.versions.rule).BackoffUntil
	now := s.relay.options.Now()
	if s.waitedSince.IsZero() {
		s.waitedSince = now
	}
	if until.IsZero() || until.After(s.waitedSince.Add(time.Duration(maxIdleGaps*float64(s.request.Route.GapObjective)))) {
		return false
	}
	return sleepUntil(ctx, now, until)
}

// fail returns the error of a stream that does not continue: the refusal, if it has not run.
func (s *stream) fail(refusal *NotRun) error {
	switch {
	case s.headSent:
		return &Interrupted{Reason: refusal.Reason}
	case s.sends > 0:
		return &Unknown{Reason: refusal.Reason}
	default:
		return refusal
	}
}

// contextError returns the error of a stream whose caller is gone or whose context is done.
func (s *stream) contextError(ctx context.Context, end runResult) error {
	switch {
	case end.callerErr != nil && !s.headSent && s.sends == 0:
		return &NotRun{Kind: RefusalDeadline, Reason: end.callerErr.Error()}
	case end.callerErr != nil:
		return &Interrupted{Reason: "caller is gone: " + end.callerErr.Error()}
	case s.headSent:
		return &Interrupted{Reason: context.Cause(ctx).Error()}
	case s.sends == 0:
		return &NotRun{Kind: RefusalDeadline, Reason: "time is up"}
	default:
		return &TimedOut{Reason: context.Cause(ctx).Error()}
	}
}

// deliver sends a server's own failure to the caller.
func (s *stream) deliver(answer *Answer) error {
	if s.headSent {
		return &Interrupted{Reason: fmt.Sprintf("server answered %d", answer.Status)}
	}
	s.sink.Begin(answer.Status, answer.Header)
	if err := s.sink.Event(answer.Body); err != nil {
		return &Interrupted{Reason: "caller is gone: " + err.Error()}
	}
	return nil
}

// chooseServer returns the server of the next run, the one for the copy of its memory, and
// the copy that the run continues from, if any.
func (s *stream) chooseServer(ctx context.Context) (lease *pool.Lease, backup *pool.Server, from Copy, err error) {
	select {
	case m := <-s.moves:
		s.versions.rule = m.rule
		return m.lease, m.backup, m.from, nil
	default:
	}
	s.versions.rule = s.chooseVersions()
	criteria := pool.Criteria{Service: s.request.Service, Demand: s.request.Demand, Tried: s.tried, ServerID: s.resumeFrom.ServerID, Versions: s.versions.rule}
	criteria.Demand.AfterLoss = s.sends > 0
	lease, backup, err = s.acquire(ctx, criteria)
	if errors.Is(err, pool.ErrNone) && len(s.tried) > 0 {
		s.tried = map[string]bool{} // Servers that have failed are permitted if there is no other.
		criteria.Tried = s.tried
		lease, backup, err = s.acquire(ctx, criteria)
	}
	if err != nil {
		return nil, nil, Copy{}, err
	}
	if s.resumeFrom.ServerID == lease.Server.ID {
		from = s.resumeFrom
	}
	return lease, backup, from, nil
}

// run sends the request to one server and relays the answer.
func (s *stream) run(ctx context.Context) (end runResult) {
	lease, backup, from, err := s.chooseServer(ctx)
	if err != nil {
		return runResult{noServer: true, err: s.noServer(ctx, err)}
	}
	defer lease.Release()
	// A busy VM may find that a run has ended before it finds that the caller left, who may have
	// returned at another VM.
	if s.request.callerGone() {
		s.refundSend()
		return runResult{callerErr: errCallerGone}
	}
	dispatch := Dispatch{Request: s.request, Server: lease.Server, Deadline: s.request.Deadline, LastEventID: s.lastEventID, Purpose: pool.PurposeStream, Permit: lease.Permit}
	if s.sends > 0 || s.lastEventID != "" {
		dispatch.Purpose = pool.PurposeResume
	}
	dispatch.CopyAddress, dispatch.CopyRunID = from.Address, from.RunID
	resumed := from != Copy{}
	s.resumeFrom = Copy{}
	if backup != nil {
		dispatch.BackupAddress, dispatch.BackupID = backup.Address, backup.ID
	}
	s.sends++
	s.waitedSince = time.Time{}
	s.beginVersion(lease)
	if s.request.CopyKey != "" && (!s.isRecorded || s.recordedService != s.request.Service || s.recordedVersion != s.request.Version) {
		s.recordBackup(dispatch) // Before the send: other VMs have to know the run before its caller can return.
	}
	s.request.Servers = append(s.request.Servers, lease.Server.ID)
	s.sentAt, s.firstEventAt, s.lastEventAt, s.runEvents = s.relay.options.Now(), time.Time{}, time.Time{}, 0
	s.send, s.verdict = sendRecord{number: len(s.request.Servers), sentAt: s.sentAt}, Verdict{}
	event.StreamPlaced.Info(s.relay.options.Logger, append([]any{"request", s.request.ID, "server", lease.Server.ID, "version", s.request.Version, "backup", dispatch.BackupID,
		"fromCopy", resumed, "lastEvent", s.lastEventID, "origin", s.request.Origin, "promptTokens", s.request.Demand.PromptTokens, "load", lease.Load}, s.send.placed(lease.Server)...)...)
	s.relay.options.LoadAdded()
	defer s.relay.options.LoadReduced()
	end = s.exchange(ctx, lease, dispatch, resumed)
	s.reportOutcome(ctx, lease, end, resumed)
	s.recordRun(lease, end, end.callerErr != nil || ctx.Err() != nil, resumed)
	switch {
	case s.renewedCopy != Copy{} && (end.done || end.callerErr != nil || ctx.Err() != nil || end.moved):
		s.freeCopy(ctx, s.renewedCopy, lease.Server)
	case s.renewedCopy != Copy{}:
		s.resumeFrom = s.renewedCopy
	case backup != nil && !s.firstEventAt.IsZero():
		s.resumeFrom = Copy{RunID: s.request.ID, ServerID: backup.ID, Address: backup.Address}
	case resumed && end.failure && s.copyFailures < maxCopyFailures:
		s.copyFailures++
		s.resumeFrom = from // The server keeps the copy until a run from it has completed.
	}
	return end
}

// reportOutcome reports the outcome of a run to the server pool and the crash record, and
// excludes the server from the next runs if it failed.
func (s *stream) reportOutcome(ctx context.Context, lease *pool.Lease, end runResult, resumed bool) {
	if end.done || end.moved {
		return
	}
	if end.notRun && !end.replaced {
		lease.MarkRefused()
	}
	now := s.relay.options.Now()
	justBegun := s.lastEventAt.Sub(s.firstEventAt) <= startWindow
	if end.callerErr != nil || ctx.Err() != nil {
		s.reportInterruption(ctx, lease, end, now, justBegun)
		return
	}
	s.relay.options.Counts.EndedEarly(end.earlyEnd())
	event.RunEnded.Info(s.relay.options.Logger, append([]any{"request", s.request.ID, "server", lease.Server.ID,
		"fromCopy", resumed, "lastEvent", s.lastEventID, "silent", end.aborted, "reason", fmt.Sprint(end.err)}, s.send.ended(lease.Server, s.verdict, end.err)...)...)
	stopped := false
	switch {
	case end.replaced:
		lease.MarkReplaced()
	case end.notRun && resumed:
		return // The server lacks the copy, but can still read the prompt.
	case end.notRun || end.answer != nil:
	case end.blocked || errors.Is(end.err, http1.ErrAbandoned):
	case end.notSent:
		lease.ReportUnreachable(end.err)
	case justBegun && !end.aborted:
		stopped = !lease.Check(ctx)
	default:
		lease.ReportBroken()
	}
	if terminated := s.reportInterruption(ctx, lease, end, now, justBegun); stopped && !terminated {
		s.crashes++
	}
	s.tried[lease.Server.ID] = true
}

// reportInterruption reports a run that may have crashed its server.
func (s *stream) reportInterruption(ctx context.Context, lease *pool.Lease, end runResult, at time.Time, justBegun bool) (terminated bool) {
	if end.notSent || end.notRun || end.failure || end.blocked || end.answer != nil {
		return false
	}
	return s.relay.reportInterruption(ctx, s.request, lease, s.sentAt, at, justBegun)
}

// exchange sends the dispatch, awaits the head and relays the events.
func (s *stream) exchange(ctx context.Context, lease *pool.Lease, dispatch Dispatch, resumed bool) (end runResult) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := s.watch(ctx, cancel, lease, resumed)
	s.moves, s.stopSent = make(chan movedRun, 1), false
	defer func() {
		s.send.closedAt = s.relay.options.Now()
		end = s.finishMove(ctx, watch, lease, end)
		s.claimed = s.claimed || watch.claimed
		s.renewedCopy = watch.renewal.copied
		end.blocked = watch.blocked.Load() && !end.done && end.callerErr == nil
	}()
	response, verdict, err := s.relay.send(ctx, dispatch)
	if errors.Is(err, http1.ErrAbandoned) && s.request.callerGone() {
		s.sends--
		s.refundSend()
		return runResult{notSent: true, callerErr: errCallerGone, err: err}
	}
	if err != nil {
		return runResult{notSent: errors.Is(err, http1.ErrNotSent), aborted: watch.hasAborted(), err: err}
	}
	defer response.Close()
	s.verdict, s.send.named, s.send.via = verdict, response.NamesRequest(), response.Via()
	s.request.recordVia(s.send.via)
	switch {
	case verdict.Replaced:
		return runResult{notRun: true, replaced: true, err: errors.New("another server has the address")}
	case verdict.NotRun:
		return runResult{notRun: true, err: errors.Errorf("server refused it with %d", verdict.Status)}
	case !verdict.Success:
		return s.readFailure(ctx, lease, response, verdict)
	case !verdict.Signed || !verdict.EventsOnly:
		return runResult{err: errors.New("answer is unsigned or no stream")}
	}
	return s.relayEvents(ctx, response, verdict, lease, dispatch, watch)
}

// readFailure reads the body of a server's own failure.
func (s *stream) readFailure(ctx context.Context, lease *pool.Lease, response *http1.Response, verdict Verdict) runResult {
	body, err := s.relay.readAnswer(ctx, s.delivered, lease, response)
	if err != nil {
		return runResult{err: err}
	}
	if verdict.Status >= http.StatusInternalServerError && s.claimResend(ctx, nil) == nil {
		s.claimed = true
		return runResult{failure: true, err: errors.Errorf("server answered %d", verdict.Status)}
	}
	return runResult{answer: &Answer{Status: verdict.Status, Header: verdict.Header, Body: body}}
}

// onFirstEvent handles the arrival of a run's first event.
func (s *stream) onFirstEvent(ctx context.Context, lease *pool.Lease, dispatch Dispatch, watch *watch) {
	lease.MarkStarted()
	s.confirmVersion()
	s.firstEventAt = s.relay.options.Now()
	s.relay.options.LoadReduced()
	watch.started.Store(true)
	s.recordFirstEvent(lease, dispatch.CopyAddress != "")
	if s.request.CopyKey == "" {
		return
	}
	isVersionNew := s.recordedVersion != s.request.Version
	if (dispatch.BackupAddress != "" && dispatch.BackupID != s.recordedBackup) || isVersionNew {
		s.recordBackup(dispatch)
	}
	if isVersionNew {
		s.relay.options.Copies.AwaitAnnounced(ctx) // Without the version, the other VMs refuse the caller that returns.
	}
	s.relay.options.Copies.AwaitAmbiguous(ctx, s.request.CopyKey)
}

// recordBackup records the run, and the server to which its memory is copied while it runs.
func (s *stream) recordBackup(dispatch Dispatch) {
	s.isRecorded, s.recordedBackup = true, dispatch.BackupID
	s.recordedService, s.recordedVersion = s.request.Service, s.request.Version
	copied := Copy{}
	if dispatch.BackupID != "" {
		copied = Copy{RunID: s.request.ID, ServerID: dispatch.BackupID, Address: dispatch.BackupAddress}
	}
	s.relay.options.Copies.Put(s.request, copied)
}

// recordProgress records an event of the run. A run that outlived its start by far has shown that
// its traits crash no server that begins to answer; its end may be seconds away.
func (s *stream) recordProgress() {
	s.lastEventAt = s.relay.options.Now()
	s.runEvents++
	if !s.passed && s.runEvents >= passedEvents && s.lastEventAt.Sub(s.firstEventAt) >= passedAfter {
		s.passed = true
		s.relay.options.Crashes.Completed(s.request.Traits...)
	}
}

// relayEvents relays events until the run ends.
func (s *stream) relayEvents(ctx context.Context, response *http1.Response, verdict Verdict, lease *pool.Lease, dispatch Dispatch, watch *watch) (end runResult) {
	reader := &eventReader{reader: bufio.NewReader(response.Body), takeMemory: s.relay.options.TakeMemory, returnMemory: s.relay.options.ReturnMemory}
	defer reader.release()
	comments := 0 // Bytes since the last event.
	for first := true; ; {
		e, err := reader.next()
		if err == io.EOF && !first && !response.IsFramed() {
			return runResult{unmarked: true, err: errors.Annotate(http1.ErrBroken, "connection was closed")}
		}
		if err == io.EOF && (!first || s.callerHasAll(response)) {
			s.sendHead(verdict)
			response.MarkComplete()
			return runResult{done: true}
		}
		if err != nil {
			return runResult{aborted: watch.hasAborted(), idle: watch.hasAborted() && !watch.down.Load(), err: errors.Annotate(http1.ErrBroken, err.Error())}
		}
		if e.comment {
			if comments += len(e.raw); comments > maxComments {
				return runResult{err: errors.Annotatef(http1.ErrBroken, "more than %d bytes without an event", maxComments)}
			}
			s.sendHead(verdict)
			if err = s.sink.Event(e.raw); err != nil {
				return runResult{callerErr: err}
			}
			continue // Comments are no progress.
		}
		comments = 0
		if !follows(e, s.lastEventID, first) {
			return runResult{err: errors.Annotatef(http1.ErrBroken, "event %q does not follow event %q", e.id, s.lastEventID)}
		}
		watch.pause()
		lease.RecordActivity()
		if first {
			s.onFirstEvent(ctx, lease, dispatch, watch)
		}
		first = false
		s.recordProgress()
		s.sendHead(verdict)
		if err = s.sink.Event(e.raw); err != nil {
			return runResult{callerErr: err}
		}
		watch.restart()
		s.events++
		if e.id != "" {
			s.lastEventID = e.id
		}
		if !s.interruptedAt.IsZero() {
			s.recordResume(lease, dispatch, e.id)
		}
	}
}

// callerHasAll reports whether a run that continued a stream and ended without an event means
// that the caller has all events. The server before it was then lost between its last event and
// the end of its answer.
func (s *stream) callerHasAll(response *http1.Response) bool {
	return s.lastEventID != "" && response.IsFramed()
}

// sendHead sends the head to the caller unless it was sent before.
func (s *stream) sendHead(verdict Verdict) {
	if s.headSent {
		return
	}
	s.headSent = true
	s.sink.Begin(verdict.Status, verdict.Header)
}

// recordResume logs and counts the first event that the caller received after an interruption.
func (s *stream) recordResume(lease *pool.Lease, dispatch Dispatch, eventID string) {
	gap := s.relay.options.Now().Sub(s.interruptedAt)
	s.interruptedAt = time.Time{}
	s.relay.options.Counts.Resumed(dispatch.CopyAddress != "", gap)
	event.StreamResumed.Info(s.relay.options.Logger, "request", s.request.ID, "server", lease.Server.ID,
		"fromCopy", dispatch.CopyAddress != "", "nextEvent", eventID, "gapMillis", gap.Milliseconds())
}
