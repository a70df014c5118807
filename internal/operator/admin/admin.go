// Package admin serves the HTTP interface for operators: check, publish, show,
// history and status.
//
// # Usage
//
//	handler := &admin.Handler{Publisher: publisher, Loop: loop, Fleet: fleet, ...}
//	handler.Register(mux)
//
// Routes, which all require an operator's bearer token:
//
//	POST /v1/admin/configuration/check       all violations of rules, each with its path
//	PUT  /v1/admin/configuration             publish; If-Match is the revision that it replaces
//	GET  /v1/admin/configuration             the newest one, with its revision as ETag
//	GET  /v1/admin/configuration/{revision}  an earlier one
//	GET  /v1/admin/history                   the published revisions, newest first
//	GET  /v1/admin/status                    this VM's view of the system
package admin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/fleet"
	"github.com/endivespoke/endivespoke/internal/caller/bearer"
	"github.com/endivespoke/endivespoke/internal/caller/openai"
	"github.com/endivespoke/endivespoke/internal/caller/problem"
	"github.com/endivespoke/endivespoke/internal/config/object"
	"github.com/endivespoke/endivespoke/internal/config/revision"
	"github.com/endivespoke/endivespoke/internal/node/control"
	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/peer/wire"
	"github.com/endivespoke/endivespoke/internal/request/owner"
)

// historyLimit bounds the number of revisions that are listed and searched.
const historyLimit = 100

// Handler serves the routes.
type Handler struct {
	Publisher     *revision.Publisher
	Loop          *control.Loop
	Fleet         *fleet.Fleet
	Owner         *owner.Owner
	BootstrapHash string // Hash of the token that may publish the first configuration.
	Logger        hclog.Logger
	Now           func() time.Time
}

// Register adds the routes to a mux.
func (h *Handler) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/admin/configuration/check", h.authenticate(h.check))
	mux.HandleFunc("PUT /v1/admin/configuration", h.authenticate(h.publish))
	mux.HandleFunc("GET /v1/admin/configuration", h.authenticate(h.show))
	mux.HandleFunc("GET /v1/admin/configuration/{revision}", h.authenticate(h.showEarlier))
	mux.HandleFunc("GET /v1/admin/history", h.authenticate(h.history))
	mux.HandleFunc("GET /v1/admin/status", h.authenticate(h.status))
}

type handlerFunc func(w http.ResponseWriter, r *http.Request, operator string)

func (h *Handler) authenticate(next handlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		operator, p := bearer.Operator(r, h.Loop.Snapshot(), h.BootstrapHash)
		if p != nil {
			problem.Write(w, p)
			return
		}
		next(w, r, operator)
	}
}

// CheckResult is the answer to a check.
type CheckResult struct {
	Valid  bool           `json:"valid"`
	Hash   string         `json:"hash,omitempty"`
	Faults []object.Fault `json:"faults"`
}

// Published is a configuration with its head.
type Published struct {
	Head          revision.Head `json:"head"`
	Configuration object.Set    `json:"configuration"`
}

// read parses and validates the configuration in a request's body.
func (h *Handler) read(w http.ResponseWriter, r *http.Request) (set object.Set, p *problem.Problem) {
	body, p := openai.ReadBody(r)
	if p != nil {
		return object.Set{}, p
	}
	var err error
	if set, err = object.Parse(body); err != nil {
		return object.Set{}, &problem.Problem{Code: problem.BadRequest, Detail: err.Error()}
	}
	if faults := object.Check(set); len(faults) > 0 {
		return set, &problem.Problem{Code: problem.ConfigurationInvalid, Detail: "the configuration breaks " + strconv.Itoa(len(faults)) + " rules", Faults: faults}
	}
	return set, nil
}

func (h *Handler) check(w http.ResponseWriter, r *http.Request, _ string) {
	set, p := h.read(w, r)
	if p != nil && p.Code != problem.ConfigurationInvalid {
		problem.Write(w, p)
		return
	}
	result := CheckResult{Valid: p == nil, Faults: []object.Fault{}}
	if p != nil {
		result.Faults = object.Check(set)
	} else {
		result.Hash = object.Hash(set)
	}
	writeJSON(w, result)
}

func (h *Handler) publish(w http.ResponseWriter, r *http.Request, operator string) {
	set, p := h.read(w, r)
	if p != nil {
		problem.Write(w, p)
		return
	}
	base, p := baseRevision(r)
	if p != nil {
		problem.Write(w, p)
		return
	}
	startedAt := h.Now()
	head, err := h.Publisher.Publish(r.Context(), set, base, operator)
	if err != nil {
		problem.Write(w, h.publishProblem(r, err, base, head))
		return
	}
	event.ConfigPublished.Info(h.Logger, "revision", head.Revision, "operator", operator)
	h.Loop.Offer(r.Context(), head, &set, startedAt)
	w.Header().Set("ETag", etag(head))
	writeJSON(w, head)
}

func etag(head revision.Head) string {
	return strconv.Quote(strconv.FormatUint(head.Revision, 10))
}

// baseRevision returns the revision that a publish replaces. It is 0 without
// If-Match: then the publish succeeds only if nothing has been published.
func baseRevision(r *http.Request) (uint64, *problem.Problem) {
	match := r.Header.Get("If-Match")
	if match == "" {
		return 0, nil
	}
	base, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	if err != nil {
		return 0, &problem.Problem{Code: problem.BadRequest, Detail: "If-Match is not the ETag of a configuration"}
	}
	return base, nil
}

// publishProblem returns the problem of a failed publish. After a conflict with
// another operator it includes the changes since the base revision.
func (h *Handler) publishProblem(r *http.Request, err error, base uint64, newer revision.Head) *problem.Problem {
	switch {
	case errors.Is(err, revision.ErrConflict):
		p := &problem.Problem{Code: problem.ConfigurationConflict, Outcome: problem.NotRun, Detail: err.Error()}
		p.Faults = h.changesSince(r, base, newer)
		return p
	case errors.Is(err, revision.ErrOutcomeUnknown):
		return &problem.Problem{Code: problem.PlatformUnavailable, Outcome: problem.OutcomeUnknown, Detail: err.Error() + "; look at the history before publishing again", RetryAt: h.Now().Add(5 * time.Second)}
	}
	return &problem.Problem{Code: problem.PlatformUnavailable, Outcome: problem.NotRun, Detail: err.Error(), RetryAt: h.Now().Add(5 * time.Second)}
}

func (h *Handler) changesSince(r *http.Request, base uint64, newer revision.Head) []object.Change {
	before, err := h.find(r, base)
	if err != nil {
		return nil
	}
	after, err := h.Publisher.Content(r.Context(), newer)
	if err != nil {
		return nil
	}
	return object.Diff(before.Configuration, after)
}

// find returns a published configuration by its revision.
func (h *Handler) find(r *http.Request, wanted uint64) (published Published, err error) {
	if wanted == 0 {
		return Published{}, nil
	}
	var heads []revision.Head
	if heads, err = h.Publisher.History(r.Context(), historyLimit); err != nil {
		return Published{}, errors.Trace(err)
	}
	for _, head := range heads {
		if head.Revision != wanted {
			continue
		}
		published.Head = head
		published.Configuration, err = h.Publisher.Content(r.Context(), head)
		return published, errors.Trace(err)
	}
	return Published{}, errors.NotFoundf("revision %d among the last %d", wanted, historyLimit)
}

func (h *Handler) show(w http.ResponseWriter, r *http.Request, _ string) {
	head, err := h.Publisher.Head(r.Context())
	if err != nil {
		problem.Write(w, h.platformProblem(err))
		return
	}
	if head.Revision == 0 {
		problem.Write(w, &problem.Problem{Code: problem.NotFound, Detail: "nothing was published yet"})
		return
	}
	set, err := h.Publisher.Content(r.Context(), head)
	if err != nil {
		problem.Write(w, h.platformProblem(err))
		return
	}
	w.Header().Set("ETag", etag(head))
	writeJSON(w, Published{Head: head, Configuration: set})
}

func (h *Handler) showEarlier(w http.ResponseWriter, r *http.Request, _ string) {
	wanted, err := strconv.ParseUint(r.PathValue("revision"), 10, 64)
	if err != nil || wanted == 0 {
		problem.Write(w, &problem.Problem{Code: problem.BadRequest, Detail: "the revision is not a number from 1 on"})
		return
	}
	published, err := h.find(r, wanted)
	switch {
	case errors.Is(err, errors.NotFound):
		problem.Write(w, &problem.Problem{Code: problem.NotFound, Detail: err.Error()})
	case err != nil:
		problem.Write(w, h.platformProblem(err))
	default:
		writeJSON(w, published)
	}
}

func (h *Handler) platformProblem(err error) *problem.Problem {
	return &problem.Problem{Code: problem.PlatformUnavailable, Detail: err.Error(), RetryAt: h.Now().Add(5 * time.Second)}
}

func (h *Handler) history(w http.ResponseWriter, r *http.Request, _ string) {
	heads, err := h.Publisher.History(r.Context(), historyLimit)
	if err != nil {
		problem.Write(w, h.platformProblem(err))
		return
	}
	writeJSON(w, heads)
}

// MemberStatus is the state of a VM in another VM's view.
type MemberStatus struct {
	ID            string `json:"id"`
	State         string `json:"state"`
	FailureDomain string `json:"failureDomain"`
	CallerAddress string `json:"callerAddress"`
}

// Status is one VM's view of the system.
type Status struct {
	VM                string         `json:"vm"`
	Revision          uint64         `json:"revision"`
	Hash              string         `json:"hash"`
	FreshUntil        time.Time      `json:"freshUntil"`
	Accepting         bool           `json:"accepting"`
	ActiveGenerations int            `json:"activeGenerations"`
	KeptGenerations   int            `json:"keptGenerations"`
	Members           []MemberStatus `json:"members"`
	BackendServers    []fleet.Status `json:"backendServers"`
}

var memberStates = map[wire.MemberState]string{
	wire.MemberLive:    "live",
	wire.MemberLeaving: "leaving",
	wire.MemberDown:    "down",
}

func (h *Handler) status(w http.ResponseWriter, _ *http.Request, _ string) {
	snapshot := h.Loop.Snapshot()
	active, kept := h.Owner.Counts()
	status := Status{
		VM:                snapshot.Self.ID,
		Revision:          snapshot.Head.Revision,
		Hash:              snapshot.Head.Hash,
		FreshUntil:        snapshot.FreshUntil,
		Accepting:         snapshot.Accepting(h.Now()),
		ActiveGenerations: active,
		KeptGenerations:   kept,
		BackendServers:    h.Fleet.Status(),
	}
	for _, member := range snapshot.Members {
		status.Members = append(status.Members, MemberStatus{
			ID:            member.ID,
			State:         memberStates[member.State],
			FailureDomain: member.FailureDomain,
			CallerAddress: member.CallerAddress,
		})
	}
	writeJSON(w, status)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value) // A write fails only if the operator's client has disconnected.
}
