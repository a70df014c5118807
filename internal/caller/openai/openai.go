// Package openai serves generations to callers over the OpenAI-compatible API, with
// additions for resuming an answer after its connection has failed.
//
// # Usage
//
//	handler := &openai.Handler{Owner: owner, Snapshot: loop.Snapshot, Sealer: sealer, Now: time.Now}
//	handler.Register(mux)
//
// Routes: POST /v1/completions, POST /v1/chat/completions, GET /v1/models, and
// GET /v1/requests/{key}. Idempotency-Key identifies the request. Every SSE event
// has an id. A caller resumes a stream at any VM by sending the last id it received
// as Last-Event-ID, with the same POST or with GET /v1/requests/{key}.
package openai

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"

	"github.com/endivespoke/endivespoke/internal/caller/bearer"
	"github.com/endivespoke/endivespoke/internal/caller/problem"
	"github.com/endivespoke/endivespoke/internal/config/object"
	"github.com/endivespoke/endivespoke/internal/node/caller"
	"github.com/endivespoke/endivespoke/internal/node/control"
	"github.com/endivespoke/endivespoke/internal/node/trace"
	"github.com/endivespoke/endivespoke/internal/request/generation"
	"github.com/endivespoke/endivespoke/internal/request/owner"
)

var (
	requestsStarted = metrics.NewCounter(`endivespoke_caller_generations_total`)
	requestsRefused = metrics.NewCounter(`endivespoke_caller_generations_refused_total`)
)

// Handler serves the routes.
type Handler struct {
	Owner         *owner.Owner
	Snapshot      func() *control.Snapshot
	RecordArrival func(account string)
	Sealer        generation.Sealer
	Now           func() time.Time
}

// Register adds the routes to a mux.
func (h *Handler) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { h.complete(w, r, false) })
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { h.complete(w, r, true) })
	mux.HandleFunc("GET /v1/requests/{key}", h.resume)
	mux.HandleFunc("GET /v1/models", h.models)
}

// complete serves a POST, which is a new request or resumes one after a cursor.
func (h *Handler) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	ctx, span := trace.Incoming(r, "caller")
	defer span.End()
	snapshot := h.Snapshot()
	account, p := bearer.Account(r, snapshot)
	if p != nil {
		problem.Write(w, p)
		return
	}
	body, p := ReadBody(r)
	if p != nil {
		problem.Write(w, p)
		return
	}
	parsed, p := parse(r, body, chat, account, snapshot.Set, h.Now())
	if p != nil {
		problem.Write(w, p)
		return
	}
	cursor, p := h.cursor(r, account)
	if p != nil {
		problem.Write(w, p)
		return
	}
	requestsStarted.Inc()
	h.RecordArrival(account.Name)
	span.SetAttributes(attribute.String("account", account.Name), attribute.String("model", parsed.spec.Model))
	g, p := h.Owner.Submit(ctx, owner.Submission{Request: parsed.request, Spec: parsed.spec, KeyGiven: parsed.keyGiven, Cursor: cursor})
	if p != nil {
		requestsRefused.Inc()
		problem.Write(w, p)
		return
	}
	w.Header().Set("Idempotency-Key", parsed.request.Key)
	h.answer(ctx, w, g, account, parsed.stream, chat, cursor)
}

// resume serves GET /v1/requests/{key}.
func (h *Handler) resume(w http.ResponseWriter, r *http.Request) {
	ctx, span := trace.Incoming(r, "callerResume")
	defer span.End()
	account, p := bearer.Account(r, h.Snapshot())
	if p != nil {
		problem.Write(w, p)
		return
	}
	cursor, p := h.cursor(r, account)
	if p != nil {
		problem.Write(w, p)
		return
	}
	key := r.PathValue("key")
	if p = CheckKey(key); p != nil {
		problem.Write(w, p)
		return
	}
	g := h.Owner.Resume(ctx, generation.RequestID{Account: account.Name, Key: key}, cursor)
	if g == nil {
		problem.Write(w, &problem.Problem{Code: problem.NotFound, Outcome: problem.StateNotKnown, Detail: "no VM that answers has this request; send it again with the same key and Last-Event-ID"})
		return
	}
	stream := strings.Contains(r.Header.Get("Accept"), "text/event-stream") || cursor != nil
	h.answer(ctx, w, g, account, stream, len(g.Spec().Messages) > 0, cursor)
}

// bodiesRetryDelay is the retry delay for callers when bodies use all the memory for them.
const bodiesRetryDelay = time.Second

// ReadBody reads a request's body of at most problem.MaxBodyBytes.
func ReadBody(r *http.Request) ([]byte, *problem.Problem) {
	body, err := caller.ReadAll(r, problem.MaxBodyBytes)
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, caller.ErrTooLong):
		return nil, &problem.Problem{Code: problem.BodyTooLarge, Outcome: problem.NotRun, Detail: "the body is larger than 4 MiB"}
	case errors.Is(err, caller.ErrNoMemory), errors.Is(err, caller.ErrStalled):
		return nil, &problem.Problem{Code: problem.Overloaded, Outcome: problem.NotRun, Detail: err.Error(), RetryAt: time.Now().Add(bodiesRetryDelay)}
	default:
		return nil, badRequest("body: " + err.Error())
	}
}

func (h *Handler) cursor(r *http.Request, account *object.ClientAccount) (*generation.Cursor, *problem.Problem) {
	text := r.Header.Get("Last-Event-ID")
	if text == "" {
		return nil, nil
	}
	cursor, err := h.Sealer.Open(account.Name, text)
	if err != nil {
		return nil, &problem.Problem{Code: problem.CursorInvalid, Outcome: problem.NotRun, Detail: "Last-Event-ID is not a cursor of this client account: " + err.Error()}
	}
	return &cursor, nil
}

// answer delivers a generation, starting after the cursor if there is one.
func (h *Handler) answer(ctx context.Context, w http.ResponseWriter, g *owner.Generation, account *object.ClientAccount, stream, chat bool, cursor *generation.Cursor) {
	changed := g.Attach()
	defer g.Detach(changed)
	start := generation.Cursor{}
	if cursor != nil {
		start.Offset, start.Hash = cursor.Offset, cursor.Hash
		if err := g.VerifyCursor(ctx, *cursor, changed); err != nil {
			problem.Write(w, cursorProblem(err))
			return
		}
	}
	d := &delivery{handler: h, generation: g, sealer: h.Sealer.ForAccount(account.Name), chat: chat, changed: changed, offset: start.Offset, hash: generation.HashFrom(start.Hash)}
	if stream {
		d.stream(ctx, w)
		return
	}
	d.collect(ctx, w)
}

func cursorProblem(err error) *problem.Problem {
	if errors.Is(err, owner.ErrMoved) {
		return endProblem(owner.End{Moved: true})
	}
	if errors.Is(err, generation.ErrGenerationMismatch) || errors.Is(err, generation.ErrCursorAhead) {
		return &problem.Problem{Code: problem.RestartRequired, Outcome: problem.Failed, Detail: "the part of the answer that was delivered can't be continued; drop it and send the request again without Last-Event-ID"}
	}
	return &problem.Problem{Code: problem.DeadlinePassed, Outcome: problem.StateNotKnown, Detail: err.Error()}
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// models lists the models that the account may use.
func (h *Handler) models(w http.ResponseWriter, r *http.Request) {
	account, p := bearer.Account(r, h.Snapshot())
	if p != nil {
		problem.Write(w, p)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range account.Models {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "endivespoke"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list) // A write fails only if the caller has disconnected.
}
