// Package services serves calls to plain services: idempotent lookups, which
// are retried and hedged, and actions, which run at most once.
//
// # Usage
//
//	handler := services.New(services.Options{...})
//	handler.Register(mux) // /v1/services/{service}/{path...}
//
// The configuration declares the operations of each service and which of them are
// idempotent. A call of an operation that is not declared is rejected.
package services

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"

	"github.com/endivespoke/endivespoke/internal/backend/fleet"
	"github.com/endivespoke/endivespoke/internal/backend/service"
	"github.com/endivespoke/endivespoke/internal/caller/bearer"
	"github.com/endivespoke/endivespoke/internal/caller/openai"
	"github.com/endivespoke/endivespoke/internal/caller/problem"
	"github.com/endivespoke/endivespoke/internal/config/object"
	"github.com/endivespoke/endivespoke/internal/node/control"
	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/node/trace"
	"github.com/endivespoke/endivespoke/internal/platform/table"
	"github.com/endivespoke/endivespoke/internal/request/action"
	"github.com/endivespoke/endivespoke/internal/request/admission"
	"github.com/endivespoke/endivespoke/internal/request/budget"
	"github.com/endivespoke/endivespoke/internal/request/owner"
)

const (
	// defaultTimeout sets the deadline of requests that have none.
	defaultTimeout = 10 * time.Second
	// maxActionTimeout bounds the wait for a service's answer to an action.
	maxActionTimeout = 2 * time.Minute
	// keyRetention is how long an Idempotency-Key identifies its request.
	keyRetention = 7 * 24 * time.Hour
	// otherVMWait bounds the wait for another VM that is processing the same key.
	otherVMWait = 800 * time.Millisecond
	// answerMargin is the time before the caller's deadline that is reserved for
	// sending the final answer.
	answerMargin = 100 * time.Millisecond
)

var (
	actionsStarted = metrics.NewCounter(`endivespoke_caller_actions_total`)
	actionsUnknown = metrics.NewCounter(`endivespoke_caller_actions_unknown_total`)
	actionSeconds  = metrics.NewHistogram(`endivespoke_caller_action_seconds`)
)

// Options configures a Handler. All fields but FaultPoint are required.
type Options struct {
	Table         *table.Client
	Services      *service.Client
	Fleet         *fleet.Fleet
	Gate          *admission.Gate
	HedgeBudget   *budget.Budget
	Snapshot      func() *control.Snapshot
	RecordArrival func(account string)
	Logger        hclog.Logger
	Now           func() time.Time
	FaultPoint    func(op action.Op)
}

// Handler serves the calls.
type Handler struct {
	options       Options
	pendingWrites sync.WaitGroup // Results of actions that are being written to the table.
	latency       *latencies
}

func New(options Options) *Handler {
	return &Handler{options: options, latency: newLatencies()}
}

// Register adds the route to a mux.
func (h *Handler) Register(mux *http.ServeMux) {
	mux.HandleFunc("/v1/services/{service}/{path...}", h.serve)
}

// Drain waits until the results of all actions have been written to the table.
func (h *Handler) Drain() {
	h.pendingWrites.Wait()
}

// request is a call that has been validated.
type request struct {
	account   *object.ClientAccount
	service   string
	operation object.Operation
	call      service.Call
	priority  object.Priority
	deadline  time.Time
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request) {
	ctx, span := trace.Incoming(r, "callerService")
	defer span.End()
	parsed, p := h.parse(w, r)
	if p != nil {
		problem.Write(w, p)
		return
	}
	span.SetAttributes(attribute.String("service", parsed.service), attribute.Bool("idempotent", parsed.operation.Idempotent))
	h.options.RecordArrival(parsed.account.Name)
	if parsed.operation.Idempotent {
		h.lookup(ctx, w, parsed)
		return
	}
	h.act(ctx, w, parsed)
}

func (h *Handler) parse(w http.ResponseWriter, r *http.Request) (parsed request, p *problem.Problem) {
	snapshot := h.options.Snapshot()
	if parsed.account, p = bearer.Account(r, snapshot); p != nil {
		return request{}, p
	}
	parsed.service = r.PathValue("service")
	path := "/" + r.PathValue("path")
	found := false
	if parsed.operation, found = snapshot.Set.Operation(parsed.service, r.Method, path); !found {
		return request{}, &problem.Problem{Code: problem.UnknownService, Outcome: problem.NotRun, Detail: "no published operation " + r.Method + " " + path + " of service " + strconv.Quote(parsed.service)}
	}
	if !slices.Contains(parsed.account.Services, parsed.service) {
		return request{}, &problem.Problem{Code: problem.Forbidden, Outcome: problem.NotRun, Detail: "the client account may not use service " + strconv.Quote(parsed.service)}
	}
	if parsed.priority, p = openai.Priority(r.Header.Get("Request-Priority"), parsed.account, snapshot.Set); p != nil {
		return request{}, p
	}
	if parsed.deadline, p = openai.Deadline(r, h.options.Now(), defaultTimeout); p != nil {
		return request{}, p
	}
	parsed.call = service.Call{Method: r.Method, Path: path, Query: r.URL.RawQuery, ContentType: r.Header.Get("Content-Type")}
	if parsed.call.Body, p = openai.ReadBody(r); p != nil {
		return request{}, p
	}
	if parsed.call.Key, p = h.key(r, parsed.operation); p != nil {
		return request{}, p
	}
	if !snapshot.Accepting(h.options.Now()) {
		return request{}, h.outdated(parsed.operation)
	}
	return parsed, nil
}

// outdated returns the problem for a request to a VM whose configuration may be
// outdated. For an action the outcome can't be notRun, since another VM may be
// running the request with the same key.
func (h *Handler) outdated(operation object.Operation) *problem.Problem {
	p := &problem.Problem{Code: problem.ConfigurationOutdated, Outcome: problem.NotRun, Detail: "this VM can't tell whether its configuration is current; use another", RetryAt: h.options.Now().Add(time.Second)}
	if !operation.Idempotent {
		p.Outcome = problem.StateNotKnown
	}
	return p
}

func (h *Handler) key(r *http.Request, operation object.Operation) (string, *problem.Problem) {
	key := r.Header.Get("Idempotency-Key")
	if key == "" && !operation.Idempotent {
		return "", &problem.Problem{Code: problem.KeyRequired, Outcome: problem.NotRun, Detail: "a call that must not be repeated needs an Idempotency-Key"}
	}
	if key == "" {
		return "", nil
	}
	return key, openai.CheckKey(key)
}

// act runs a call that is not idempotent, at most once.
func (h *Handler) act(ctx context.Context, w http.ResponseWriter, parsed request) {
	now := h.options.Now()
	if issued, known := keyIssuedAt(parsed.call.Key); known && now.After(issued.Add(keyRetention)) {
		problem.Write(w, answerProblem(action.Answer{Kind: action.AnswerKeyExpired}, now))
		return
	}
	actionsStarted.Inc()
	ticket, refusal := h.options.Gate.Admit(admission.Request{Account: parsed.account.Name, Rank: parsed.priority.Rank, Lookup: true, Deadline: parsed.deadline})
	if refusal != nil {
		p := owner.RefusalProblem(refusal)
		p.Outcome = problem.StateNotKnown // Another VM may be running the request with the same key.
		problem.Write(w, p)
		return
	}
	defer ticket.Release()
	if !h.waitForCapacity(ctx, ticket, parsed.deadline) {
		problem.Write(w, &problem.Problem{Code: problem.Overloaded, Outcome: problem.StateNotKnown, Detail: "there was no room before the deadline", RetryAt: now.Add(time.Second)})
		return
	}
	runner := &action.Runner{
		Table:         h.options.Table,
		Send:          h.send(ctx, parsed),
		Now:           h.options.Now,
		FaultPoint:    h.options.FaultPoint,
		PendingWrites: &h.pendingWrites,
	}
	// An action that has started is completed also if the caller disconnects.
	answer := runner.Run(context.WithoutCancel(ctx), h.actionRequest(parsed))
	actionSeconds.UpdateDuration(now)
	h.answer(w, parsed, answer)
}

func (h *Handler) actionRequest(parsed request) action.Request {
	now := h.options.Now()
	deadline := parsed.deadline.Add(-answerMargin)
	if latest := now.Add(maxActionTimeout); deadline.After(latest) {
		deadline = latest
	}
	waitUntil := now.Add(otherVMWait)
	if waitUntil.After(deadline) {
		waitUntil = deadline
	}
	return action.Request{
		Account:    parsed.account.Name,
		Key:        parsed.call.Key,
		Attempt:    uuid.NewString(),
		VM:         h.options.Snapshot().Self.ID,
		BodyHash:   action.HashBody(parsed.service+" "+parsed.call.Method, parsed.call.Path+"?"+parsed.call.Query, parsed.call.Body),
		HonoursKey: parsed.operation.HonoursIdempotencyKey,
		Deadline:   deadline,
		WaitUntil:  waitUntil,
		ExpiresAt:  now.Add(keyRetention),
	}
}

func (h *Handler) waitForCapacity(ctx context.Context, ticket *admission.Ticket, deadline time.Time) bool {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	select {
	case <-ticket.Granted:
		return true
	case <-ctx.Done():
		return false
	}
}

// send returns a function that sends the call to one server after another until
// the request reached one.
func (h *Handler) send(ctx context.Context, parsed request) func(context.Context, time.Time) (action.SendOutcome, *action.Result) {
	return func(_ context.Context, deadline time.Time) (action.SendOutcome, *action.Result) {
		sendCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
		defer cancel()
		tried := []string{}
		for {
			lease, err := h.options.Fleet.Pick(fleet.Criteria{Service: parsed.service, Exclude: tried})
			if err != nil {
				return action.SendNotSent, nil
			}
			reply, err := h.call(sendCtx, lease, parsed.call)
			switch {
			case err == nil:
				return action.SendAnswered, &action.Result{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body}
			case errors.Is(err, service.ErrNotSent):
				tried = append(tried, lease.Server.Name)
			default:
				return action.SendUnknown, nil
			}
		}
	}
}

// call makes one call and records its success or failure with the fleet.
func (h *Handler) call(ctx context.Context, lease *fleet.Lease, call service.Call) (reply service.Reply, err error) {
	defer lease.Release()
	ctx, span := trace.Span(ctx, "serviceCall")
	defer span.End()
	span.SetAttributes(attribute.String("server", lease.Server.Name))
	if reply, err = h.options.Services.Call(ctx, lease.Server.Address, call); err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) && h.options.Fleet.RecordFailure(lease.Server.Name) {
			event.ServerEjected.Warn(h.options.Logger, "server", lease.Server.Name, "cause", err)
		}
		return service.Reply{}, err
	}
	if h.options.Fleet.RecordSuccess(lease.Server.Name) {
		event.ServerReturned.Info(h.options.Logger, "server", lease.Server.Name)
	}
	return reply, nil
}

func (h *Handler) answer(w http.ResponseWriter, parsed request, answer action.Answer) {
	if answer.Kind == action.AnswerResult {
		writeReply(w, service.Reply{Status: answer.Result.Status, ContentType: answer.Result.ContentType, Body: answer.Result.Body})
		return
	}
	if answer.Kind == action.AnswerOutcomeUnknown {
		actionsUnknown.Inc()
		event.ActionUnknown.Warn(h.options.Logger, "account", parsed.account.Name, "service", parsed.service, "reason", answer.Reason)
	}
	problem.Write(w, answerProblem(answer, h.options.Now()))
}

func answerProblem(answer action.Answer, now time.Time) *problem.Problem {
	switch answer.Kind {
	case action.AnswerNotRun:
		return &problem.Problem{Code: problem.Refused, Outcome: problem.NotRun, Detail: answer.Reason + "; use a new key to try again", RetryAt: now.Add(time.Second)}
	case action.AnswerOutcomeUnknown:
		return &problem.Problem{Code: problem.UnknownEnd, Outcome: problem.OutcomeUnknown, Detail: answer.Reason}
	case action.AnswerKeyReused:
		return &problem.Problem{Code: problem.KeyReused, Outcome: problem.NotRun, Detail: "the key was used before with another body"}
	case action.AnswerKeyExpired:
		return &problem.Problem{Code: problem.KeyExpired, Outcome: problem.StateNotKnown, Detail: "the key is too old to tell whether it ran"}
	}
	return &problem.Problem{Code: problem.PlatformUnavailable, Outcome: problem.StateNotKnown, Detail: answer.Reason + "; ask again with the same key", RetryAt: now.Add(time.Second)}
}

func writeReply(w http.ResponseWriter, reply service.Reply) {
	if reply.ContentType != "" {
		w.Header().Set("Content-Type", reply.ContentType)
	}
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body) // A write fails only if the caller has disconnected; it can send the request again.
}

// keyIssuedAt returns the time in a key that is a UUID of version 7.
func keyIssuedAt(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return time.Unix(seconds, nanoseconds), true
}
