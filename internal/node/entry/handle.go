package entry

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/config/routing"
	"github.com/endivespoke/endivespoke/internal/node/caller"
	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/node/trace"
	"github.com/endivespoke/endivespoke/internal/peer/spread"
	"github.com/endivespoke/endivespoke/internal/request/accept"
	"github.com/endivespoke/endivespoke/internal/request/relay"
)

// leavingStreamsFraction is the fraction of the grace period in which a leaving VM still
// accepts new streams. Later ones could not end in time.
const leavingStreamsFraction = 0.125

const (
	// bodiesFraction bounds the share of the VM's memory for bodies of running requests.
	bodiesFraction = 0.2
	// answersFraction bounds the share for what servers send, until callers have it. A server
	// that sends endless responses may do so to many requests at once.
	answersFraction = 0.15
	// freeBodyBytes is the size up to which a body needs no part of bodiesFraction. It is part of
	// what counts for a connection.
	freeBodyBytes = 4 << 10
	// freeAnswerBytes is the size up to which an answer needs no part of that share: answers of
	// sound servers are mostly small, and have to reach their callers beside endless ones.
	freeAnswerBytes = 4 << 10
	// defaultBodyLimit bounds a body while no configuration is known, in bytes.
	defaultBodyLimit = 4 << 20
	// bodiesRetryDelay is the retry delay for callers when bodies use all the memory for
	// them. Most bodies belong to plain requests and are held for a fraction of a second.
	bodiesRetryDelay = 500 * time.Millisecond
)

// startHold is how long after its start a VM holds requests that it can't serve yet: a
// little more than joinTimeout for its peers and copyIndexReadTimeout for the store.
const startHold = 250 * time.Millisecond

// ErrBodyRead means that the request body could not be read to its end.
const ErrBodyRead = errors.ConstError("the body could not be read")

// ErrBodyLate means that the request body was not complete at the request's deadline.
const ErrBodyLate = errors.ConstError("the body was not complete in time")

// BodyDeadline returns when the body of a request has to be complete.
func (v *VM) BodyDeadline(incoming accept.Incoming) time.Time {
	return accept.Deadline(v.spread.Snapshot().Configuration, incoming)
}

// ReadBody reads a request's body within the limits of the configuration and of
// the VM's memory. Stop makes the read fail soon. Call release once the request is answered; it is
// never nil. The error is meant for the caller.
func (v *VM) ReadBody(incoming accept.Incoming, from io.Reader, stop func()) (body []byte, release func(), err error) {
	limit := int64(defaultBodyLimit)
	if c := v.spread.Snapshot().Configuration; c != nil && c.Limits.BodyBytes > 0 {
		limit = c.Limits.BodyBytes
	}
	if body, release, err = v.bodies.ReadFrom(caller.Body{From: from, Limit: limit, Stop: stop}); err == nil {
		return body, release, nil
	}
	switch {
	case errors.Is(err, caller.ErrTooLong):
		err = errors.Trace(accept.ErrTooLarge)
	case errors.Is(err, caller.ErrNoMemory), errors.Is(err, caller.ErrStalled):
		err = &relay.NotRun{Kind: relay.RefusalMemory, Reason: err.Error(), RetryAt: v.Now().Add(bodiesRetryDelay)}
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = errors.Trace(ErrBodyLate)
	default:
		err = errors.Annotate(ErrBodyRead, err.Error())
	}
	v.logRequest(incoming.ID, nil, incoming.Received, err, 0)
	return nil, release, err
}

// Handle accepts and relays one request. The error is meant for the caller; nil means
// that the sink received the whole response.
func (v *VM) Handle(ctx context.Context, incoming accept.Incoming, sink relay.Sink) (err error) {
	ctx, span := trace.Span(ctx, "caller")
	defer span.End()
	v.awaitStart(ctx)
	now := v.Now()
	request, err := accept.Accept(v.view(), incoming, now, rand.Float64())
	if err == nil {
		err = v.admit(request, now)
	}
	if err != nil {
		v.logRequest(incoming.ID, request, incoming.Received, err, 0)
		return err
	}
	defer v.finished()
	v.budgetOf(request.Service).Deposit()
	status := 0
	counted := relay.Sink{
		Begin: func(code int, header http.Header) {
			status = code
			v.counters.firstByte(request.Route.Kind, v.Now().Sub(request.Received))
			sink.Begin(code, header)
		},
		Event: sink.Event,
	}
	if request.Route.Kind == routing.KindStreaming {
		err = v.stream(ctx, request, counted)
	} else {
		err = v.call(ctx, request, counted)
	}
	v.logRequest(incoming.ID, request, incoming.Received, err, status)
	return err
}

func (v *VM) stream(ctx context.Context, request *relay.Request, sink relay.Sink) (err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(v.stopContext, func() { cancel(context.Cause(v.stopContext)) })()
	hasBegun := false
	defer func() { v.forgetCopy(request, hasBegun, hasBegun && err == nil) }()
	begin := sink.Begin
	sink.Begin = func(status int, header http.Header) {
		hasBegun = status < http.StatusMultipleChoices
		begin(status, header)
	}
	return v.relay.Stream(ctx, request, sink)
}

func (v *VM) call(ctx context.Context, request *relay.Request, sink relay.Sink) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil) // Until then the answer's memory counts.
	defer context.AfterFunc(v.stopContext, func() { cancel(context.Cause(v.stopContext)) })()
	answer, err := v.relay.Call(ctx, request)
	if err != nil {
		return err
	}
	sink.Begin(answer.Status, answer.Header)
	if err = sink.Event(answer.Body); err != nil {
		return &relay.Interrupted{Reason: "caller is gone: " + err.Error()}
	}
	return nil
}

// awaitStart holds a request that arrives before this VM has the data to serve it, which
// takes 30 to 80 ms from its start. After a loss of all VMs the callers of long streams
// reconnect at once, and most have only one retry left.
func (v *VM) awaitStart(ctx context.Context) {
	left := v.started.Add(startHold).Sub(v.Now())
	if left <= 0 {
		return
	}
	limit := time.NewTimer(left)
	defer limit.Stop()
	select {
	case <-v.firstReady:
	case <-limit.C:
	case <-ctx.Done():
	}
}

// admit counts the request as running, or refuses it if this VM is leaving and may not complete it.
func (v *VM) admit(request *relay.Request, now time.Time) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.isClosed || (v.stop != nil && !v.stop.accepts(request, now)) {
		return leavingRefusal(now)
	}
	v.active++
	return nil
}

// RefuseUnread returns the refusal of a request whose body need not be read: this VM accepts none any
// more. It returns nil if the request may be accepted.
func (v *VM) RefuseUnread(id string, received time.Time) (err error) {
	v.mu.Lock()
	isClosed := v.isClosed
	v.mu.Unlock()
	if !isClosed {
		return nil
	}
	err = leavingRefusal(received)
	v.logRequest(id, nil, received, err, 0)
	return err
}

func leavingRefusal(now time.Time) error {
	return &relay.NotRun{Kind: relay.RefusalLeaving, Reason: "this VM is leaving", RetryAt: now}
}

// accepts reports whether a leaving VM still accepts a request, for callers with an old locate answer.
// A call whose deadline is before the VM's end can't outlast it. Others are accepted as long as most
// of the grace period is left, but for streams that may not go on at another VM.
func (s *stop) accepts(request *relay.Request, now time.Time) bool {
	isStream, mayOutlast := request.Route.Kind == routing.KindStreaming, request.Deadline.After(s.latest)
	switch {
	case isStream && mayOutlast && !request.Route.Retryable():
		return false
	case isStream:
		return !now.After(s.streamsUntil)
	case mayOutlast:
		return !now.After(s.longCallsUntil)
	default:
		return !now.After(s.callsUntil)
	}
}

func (v *VM) finished() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.active--
}

// logRequest counts a finished request and writes its only log line.
func (v *VM) logRequest(id string, request *relay.Request, received time.Time, err error, status int) {
	took := v.Now().Sub(received)
	outcome := outcomeOf(err)
	v.counters.ended(request, outcome, took)
	v.counters.refused(err)
	pairs := []any{"request", id, "outcome", outcome, "millis", took.Milliseconds(), "status", status}
	if request != nil {
		pairs = append(pairs, "route", request.Route.Name, "kind", request.Route.Kind.String(), "account", request.Account, "priority", request.Priority, "service", request.Service, "servers", request.Servers, "content", request.Content, "parts", request.PromptParts)
	}
	if request != nil && len(request.Via) > 0 {
		pairs = append(pairs, "via", request.Via)
	}
	if err != nil {
		snapshot := v.spread.Snapshot()
		pairs = append(pairs, "reason", err, "serversVersion", snapshot.ServersVersion.Rev, "storeEra", snapshot.ServersVersion.Era,
			"serversAgeMillis", v.Now().Sub(snapshot.ServersAt).Milliseconds(),
			"configurationVersion", configurationVersion(snapshot), "configurationAgeMillis", v.Now().Sub(snapshot.ConfigurationAt).Milliseconds())
	}
	event.RequestEnded.Info(v.logger, pairs...)
}

// outcomeOf returns the name of an outcome in logs and counters.
func outcomeOf(err error) string {
	switch err := err.(type) {
	case nil:
		return "answered"
	case *relay.NotRun:
		return "notRun"
	case *relay.Unknown:
		return "unknown"
	case *relay.TimedOut:
		return "timedOut"
	case *relay.Interrupted:
		return "cut"
	default:
		if errors.Is(err, ErrBodyRead) || errors.Is(err, ErrBodyLate) {
			return "unread"
		}
		if deniedFor(err) != "" {
			return "denied"
		}
		return fmt.Sprintf("%T", err)
	}
}

func configurationVersion(snapshot *spread.Snapshot) uint64 {
	if snapshot.Configuration == nil {
		return 0
	}
	return snapshot.Configuration.Version
}
