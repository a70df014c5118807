package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/http1"
	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/node/event"
)

const (
	// silencePart of the gap objective may pass between two events before the
	// stream goes on elsewhere. The rest is for going on.
	silencePart = 0.5
	// resumePart of the gap objective may pass until the first event of a run that
	// goes on from a copy.
	resumePart = 0.8
	// longestSilence is the longest time for an event in gap objectives. Callers give a
	// stream up after eight.
	longestSilence = 4
	// pausedFor is how late a timer fires that this VM was paused for.
	pausedFor = 100 * time.Millisecond
	// quietLimit is how long a server that reads a prompt may be silent to this VM
	// until it is checked.
	quietLimit = 400 * time.Millisecond
	// moveAgain is the pause until a stream without a copy is tried to be moved again.
	moveAgain = 500 * time.Millisecond
	// mostCopyFailures is how often a run from one copy is tried again after a failure of
	// its server. Each takes some 5 ms, and the last attempt is left for the prompt.
	mostCopyFailures = 2
	// begunLimit is how long after its first event a run has just begun. Only such a run may
	// be what ended its server.
	begunLimit = 250 * time.Millisecond
	// mostCrashed is how many servers may be down just after a stream began to run there,
	// until it is not sent on: it may be what crashes them.
	mostCrashed = 3
	// quietEvery is how often that is looked at.
	quietEvery = 100 * time.Millisecond
)

// stream is the state of one streamed answer.
type stream struct {
	relay        *Relay
	request      *Request
	sink         Sink
	begun        bool
	last         string // Id of the last event that the caller has.
	events       int
	sentAt       time.Time // When the present run was sent.
	begunAt      time.Time // When the first event of the present run came; zero before.
	sends        int       // Sends that may have run.
	crashed      int       // Of these, their server was found down at once, just after they had begun.
	refused      int       // Sends that no server ran.
	silences     int       // Runs that were ended because nothing came for too long.
	repeats      int       // Sends that were paid from the budget.
	tried        map[string]bool
	copied       Copy
	copyFailures int // Runs from its copy that failed at the server, which kept the copy.
	moveFailures int
	moves        chan moved // What a move of the present run came to, once it has.
	renewed      Copy       // Of the run that ended last, if its copy had been renewed.
	lostAt       time.Time
	reason       string
}

// runEnd is how one run at a server ended.
type runEnd struct {
	done     bool
	noServer bool    // No server may take it.
	answer   *Answer // A server's own failure, before any event.
	failure  bool    // The server answered with a failure of its own, and it may be tried again.
	notSent  bool
	notRun   bool
	replaced bool
	silent   bool // It was ended here, for silence or since the server is down.
	overdue  bool // Of these, an event was overdue.
	moved    bool // Its memory was moved, and it goes on elsewhere.
	err      error
	caller   error // The caller is gone.
}

// Stream relays a stream. It returns nil if the caller got all of it, or a
// server's own failure, through the sink.
func (r *Relay) Stream(ctx context.Context, request *Request, sink Sink) error {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	s := &stream{relay: r, request: request, sink: sink, last: request.LastEventID, tried: map[string]bool{}}
	defer s.releaseMove()
	if request.LastEventID != "" && request.CopyKey != "" {
		s.copied, _ = r.options.Copies.Find(ctx, request.CopyKey)
	}
	for {
		if until, refused := r.options.Crashes.BlockedUntil(request.Content); refused || s.crashed >= mostCrashed {
			return s.giveUp(RefusalCrashes, reasonCrashes, until)
		}
		end := s.run(ctx)
		if end.done {
			r.options.Crashes.Completed(request.Content)
			return nil
		}
		if end.answer != nil {
			return s.deliver(end.answer)
		}
		if end.caller != nil || ctx.Err() != nil {
			return s.ended(ctx, end)
		}
		if final := s.next(end); final != nil {
			return final
		}
	}
}

// next decides after a run that did not finish: nil means that the stream goes on.
func (s *stream) next(end runEnd) error {
	now := s.relay.options.Now()
	soon := now.Add(retryPause)
	if s.lostAt.IsZero() && s.begun {
		s.lostAt = now
	}
	s.reason = fmt.Sprint(end.err)
	if end.moved {
		s.repeats++
		return nil // Paid when the move began.
	}
	if end.overdue {
		s.silences++
	}
	if end.notSent || end.notRun {
		s.sends--
		s.refused++
	}
	if end.notSent && s.repeats > 0 {
		s.repeats--
		s.relay.options.Refund(s.request.Service)
	}
	switch {
	case end.noServer && !s.begun && s.sends == 0:
		return end.err // It tells when there may be a server.
	case end.noServer:
		return s.giveUp(RefusalNoServer, s.reason, soon)
	case s.refused > maxSends:
		return s.giveUp(RefusalByServers, "servers refused it: "+s.reason, soon)
	case s.sends > 0 && !s.request.Route.Retryable():
		return s.giveUp(RefusalByServers, s.reason, soon)
	case s.sends >= s.request.Route.MaxAttempts:
		return s.giveUp(RefusalByServers, "all attempts are used: "+s.reason, soon)
	case !s.relay.options.Withdraw(s.request.Service):
		return s.giveUp(RefusalBudget, "the retry budget of the service is spent", soon)
	}
	s.repeats++
	return nil
}

// giveUp gives the outcome of a stream that does not go on. Its caller may come back at the
// given time.
func (s *stream) giveUp(kind Refusal, reason string, retryAt time.Time) error {
	switch {
	case s.begun:
		return &Interrupted{Reason: reason}
	case s.sends > 0:
		return &Unknown{Reason: reason}
	default:
		return &NotRun{Kind: kind, Reason: reason, RetryAt: retryAt}
	}
}

func (s *stream) ended(ctx context.Context, end runEnd) error {
	switch {
	case end.caller != nil:
		return &Interrupted{Reason: "caller is gone: " + end.caller.Error()}
	case s.begun:
		return &Interrupted{Reason: context.Cause(ctx).Error()}
	case s.sends == 0:
		return &NotRun{Kind: RefusalDeadline, Reason: "time is up"}
	default:
		return &TimedOut{Reason: context.Cause(ctx).Error()}
	}
}

func (s *stream) deliver(answer *Answer) error {
	if s.begun {
		return &Interrupted{Reason: fmt.Sprintf("server answered %d", answer.Status)}
	}
	s.sink.Begin(answer.Status, answer.Header)
	if err := s.sink.Event(answer.Body); err != nil {
		return &Interrupted{Reason: "caller is gone: " + err.Error()}
	}
	return nil
}

// choose gives the server of the next run, the one for the copy of its memory,
// and the copy that the run goes on from, if any.
func (s *stream) choose() (lease *pool.Lease, backup *pool.Server, from Copy, err error) {
	select {
	case m := <-s.moves:
		return m.lease, m.backup, m.from, nil
	default:
	}
	ask := pool.Criteria{Service: s.request.Service, Demand: s.request.Demand, Tried: s.tried, ServerID: s.copied.ServerID}
	ask.Demand.AfterLoss = s.sends > 0
	lease, backup, err = s.relay.options.Servers.AcquireForStream(ask)
	if errors.Is(err, pool.ErrNone) && len(s.tried) > 0 {
		s.tried = map[string]bool{} // A server that failed is better than none.
		ask.Tried = s.tried
		lease, backup, err = s.relay.options.Servers.AcquireForStream(ask)
	}
	if err != nil {
		return nil, nil, Copy{}, err
	}
	if s.copied.ServerID == lease.Server.ID {
		from = s.copied
	}
	return lease, backup, from, nil
}

// run sends the request to one server and relays what comes.
func (s *stream) run(ctx context.Context) (end runEnd) {
	lease, backup, from, err := s.choose()
	if err != nil {
		return runEnd{noServer: true, err: s.relay.noServer(s.request)}
	}
	defer lease.Release()
	dispatch := Dispatch{Request: s.request, Server: lease.Server, Deadline: s.request.Deadline, LastEventID: s.last}
	dispatch.CopyAddress, dispatch.CopyRunID = from.Address, from.RunID
	resumed := from != Copy{}
	s.copied = Copy{}
	if backup != nil {
		dispatch.BackupAddress, dispatch.BackupID = backup.Address, backup.ID
	}
	s.sends++
	s.request.Servers = append(s.request.Servers, lease.Server.ID)
	event.StreamPlaced.Info(s.relay.options.Logger, "request", s.request.ID, "server", lease.Server.ID, "backup", dispatch.BackupID,
		"fromCopy", resumed, "lastEvent", s.last, "promptTokens", s.request.Demand.PromptTokens, "load", lease.Load)
	s.sentAt, s.begunAt = s.relay.options.Now(), time.Time{}
	s.relay.options.LoadAdded()
	defer s.relay.options.LoadReduced()
	end = s.exchange(ctx, lease, dispatch, resumed)
	s.settle(ctx, lease, end, resumed)
	switch {
	case s.renewed != Copy{} && (end.done || end.caller != nil || ctx.Err() != nil || end.moved):
		s.free(ctx, s.renewed, lease.Server)
	case s.renewed != Copy{}:
		s.copied = s.renewed
	case backup != nil && !s.begunAt.IsZero():
		s.copied = Copy{RunID: s.request.ID, ServerID: backup.ID, Address: backup.Address}
	case resumed && end.failure && s.copyFailures < mostCopyFailures:
		s.copyFailures++
		s.copied = from // It is kept until a run has ended well.
	}
	return end
}

// settle tells the pool how the server did, and remembers where not to go again.
func (s *stream) settle(ctx context.Context, lease *pool.Lease, end runEnd, resumed bool) {
	if end.done || end.moved {
		return
	}
	now := s.relay.options.Now()
	justBegun := s.begunAt.IsZero() || now.Sub(s.begunAt) <= begunLimit
	if end.caller != nil || ctx.Err() != nil {
		s.cut(ctx, lease, end, now, justBegun)
		return
	}
	s.relay.options.Counts.EndedEarly(end.earlyEnd())
	event.RunEnded.Info(s.relay.options.Logger, "request", s.request.ID, "server", lease.Server.ID,
		"fromCopy", resumed, "lastEvent", s.last, "notRun", end.notRun, "silent", end.silent, "reason", fmt.Sprint(end.err))
	switch {
	case end.replaced:
		lease.MarkReplaced()
	case end.notRun && resumed:
		return // It lacks the copy, but may read the prompt.
	case end.notRun || end.answer != nil:
	case end.notSent:
		lease.ReportUnreachable(end.err)
	case justBegun && !end.silent:
		if !lease.Check(ctx) {
			s.crashed++
		}
	default:
		lease.ReportBroken()
	}
	s.cut(ctx, lease, end, now, justBegun)
	s.tried[lease.Server.ID] = true
}

// cut notes a run that may be what ended its server.
func (s *stream) cut(ctx context.Context, lease *pool.Lease, end runEnd, at time.Time, justBegun bool) {
	if end.notSent || end.notRun || end.failure || end.answer != nil {
		return
	}
	s.relay.cut(ctx, s.request, lease, s.sentAt, at, justBegun)
}

// exchange is one run: send, await the head, relay the events.
func (s *stream) exchange(ctx context.Context, lease *pool.Lease, dispatch Dispatch, resumed bool) (end runEnd) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := s.watch(ctx, cancel, lease, resumed)
	s.moves = make(chan moved, 1)
	defer func() {
		end.moved = s.finishMove(watch, end)
		s.renewed = watch.guard.copied
	}()
	response, verdict, err := s.relay.send(ctx, dispatch)
	if err != nil {
		return runEnd{notSent: errors.Is(err, http1.ErrNotSent), silent: watch.fired(), err: err}
	}
	defer response.Close()
	switch {
	case verdict.Replaced:
		return runEnd{notRun: true, replaced: true, err: errors.New("another server has the address")}
	case verdict.NotRun:
		return runEnd{notRun: true, err: errors.Errorf("server refused it with %d", verdict.Status)}
	case !verdict.Success:
		return s.failed(response, verdict)
	case !verdict.Signed || !verdict.EventsOnly:
		return runEnd{err: errors.New("answer is unsigned or no stream")}
	}
	return s.relayEvents(response, verdict, lease, dispatch, watch)
}

// failed reads a server's own failure.
func (s *stream) failed(response *http1.Response, verdict Verdict) runEnd {
	body, err := s.relay.readAnswer(response)
	if err != nil {
		return runEnd{err: err}
	}
	retry := verdict.Status >= http.StatusInternalServerError && s.request.Route.Retryable() && s.sends < s.request.Route.MaxAttempts
	if retry {
		return runEnd{failure: true, err: errors.Errorf("server answered %d", verdict.Status)}
	}
	return runEnd{answer: &Answer{Status: verdict.Status, Header: verdict.Header, Body: body}}
}

// started notes a run's first event.
func (s *stream) started(lease *pool.Lease, dispatch Dispatch, watch *watch) {
	lease.MarkStarted()
	s.begunAt = s.relay.options.Now()
	s.relay.options.LoadReduced()
	watch.begun.Store(true)
	if dispatch.BackupAddress != "" && s.request.CopyKey != "" {
		s.relay.options.Copies.Put(s.request.CopyKey, Copy{RunID: s.request.ID, ServerID: dispatch.BackupID, Address: dispatch.BackupAddress})
	}
}

func (s *stream) relayEvents(response *http1.Response, verdict Verdict, lease *pool.Lease, dispatch Dispatch, watch *watch) (end runEnd) {
	reader := bufio.NewReader(response.Body)
	comments := 0 // Bytes since the last event.
	for first := true; ; {
		e, err := readEvent(reader)
		if err == io.EOF && (!first || s.hadAll(response)) {
			s.begin(verdict)
			response.MarkComplete()
			return runEnd{done: true}
		}
		if err != nil {
			return runEnd{silent: watch.fired(), overdue: watch.fired() && !watch.down.Load(), err: errors.Annotate(http1.ErrBroken, err.Error())}
		}
		if e.comment {
			if comments += len(e.raw); comments > maxComments {
				return runEnd{err: errors.Annotatef(http1.ErrBroken, "more than %d bytes without an event", maxComments)}
			}
			s.begin(verdict)
			if err = s.sink.Event(e.raw); err != nil {
				return runEnd{caller: err}
			}
			continue // It is no progress.
		}
		comments = 0
		watch.pause()
		lease.RecordActivity()
		if first {
			s.started(lease, dispatch, watch)
		}
		first = false
		s.begin(verdict)
		if err = s.sink.Event(e.raw); err != nil {
			return runEnd{caller: err}
		}
		watch.heard()
		s.events++
		if e.id != "" {
			s.last = e.id
		}
		if !s.lostAt.IsZero() {
			s.wentOn(lease, dispatch, e.id)
		}
	}
}

// hadAll reports whether a server that went on and sent no event says with that that the
// caller had all of them: the server before was lost between its last event and its end.
func (s *stream) hadAll(response *http1.Response) bool {
	return s.last != "" && response.IsFramed()
}

// begin gives the caller the head, unless it has one.
func (s *stream) begin(verdict Verdict) {
	if s.begun {
		return
	}
	s.begun = true
	s.sink.Begin(verdict.Status, verdict.Header)
}

// wentOn notes the first event that the caller got after a loss.
func (s *stream) wentOn(lease *pool.Lease, dispatch Dispatch, eventID string) {
	gap := s.relay.options.Now().Sub(s.lostAt)
	s.lostAt = time.Time{}
	s.relay.options.Counts.Resumed(dispatch.CopyAddress != "", gap)
	event.StreamResumed.Info(s.relay.options.Logger, "request", s.request.ID, "server", lease.Server.ID,
		"fromCopy", dispatch.CopyAddress != "", "nextEvent", eventID, "gapMillis", gap.Milliseconds())
}
