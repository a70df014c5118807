// Package problem writes the errors of every HTTP interface as RFC 9457
// problem documents.
//
// # Usage
//
//	problem.Write(w, problem.Problem{Code: problem.UnknownModel, Outcome: problem.NotRun, Detail: "..."})
//
// Code is stable and meant for programs. Outcome is a promise about the
// request: notRun means that it has not run and never will under this key.
package problem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Outcome says what is known about the request that failed.
type Outcome string

const (
	// OutcomeUnset is for problems that concern no request, such as a wrong path.
	OutcomeUnset Outcome = ""
	// NotRun promises that the request did not run and will not.
	NotRun Outcome = "notRun"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "outcomeUnknown"
	// Failed means that the request ran and did not succeed.
	Failed Outcome = "failed"
	// StateNotKnown means that this VM can't tell; ask again with the same key.
	StateNotKnown Outcome = "stateNotKnown"
)

// Code is a stable name of a kind of problem.
type Code string

// The codes, each with its HTTP status in statusOf.
const (
	BadRequest            Code = "badRequest"
	BodyTooLarge          Code = "bodyTooLarge"
	Unauthorized          Code = "unauthorized"
	Forbidden             Code = "forbidden"
	NotFound              Code = "notFound"
	UnknownModel          Code = "unknownModel"
	UnknownPriority       Code = "unknownPriority"
	UnknownService        Code = "unknownService"
	KeyRequired           Code = "keyRequired"
	KeyInvalid            Code = "keyInvalid"
	KeyReused             Code = "keyReused"
	KeyExpired            Code = "keyExpired"
	CursorInvalid         Code = "cursorInvalid"
	RestartRequired       Code = "restartRequired"
	Overloaded            Code = "overloaded"
	AccountLimit          Code = "accountLimit"
	NoServer              Code = "noServer"
	DeadlinePassed        Code = "deadlinePassed"
	CrashesServers        Code = "crashesServers"
	BackendFailed         Code = "backendFailed"
	PlatformUnavailable   Code = "platformUnavailable"
	ConfigurationOutdated Code = "configurationOutdated"
	ConfigurationInvalid  Code = "configurationInvalid"
	ConfigurationConflict Code = "configurationConflict"
	UnknownEnd            Code = "unknownEnd"
	Refused               Code = "refused"
	Moved                 Code = "moved"
)

var statusOf = map[Code]int{
	BadRequest:            http.StatusBadRequest,
	BodyTooLarge:          http.StatusRequestEntityTooLarge,
	Unauthorized:          http.StatusUnauthorized,
	Forbidden:             http.StatusForbidden,
	NotFound:              http.StatusNotFound,
	UnknownModel:          http.StatusNotFound,
	UnknownPriority:       http.StatusBadRequest,
	UnknownService:        http.StatusNotFound,
	KeyRequired:           http.StatusBadRequest,
	KeyInvalid:            http.StatusBadRequest,
	KeyReused:             http.StatusUnprocessableEntity,
	KeyExpired:            http.StatusGone,
	CursorInvalid:         http.StatusBadRequest,
	RestartRequired:       http.StatusConflict,
	Overloaded:            http.StatusServiceUnavailable,
	AccountLimit:          http.StatusTooManyRequests,
	NoServer:              http.StatusServiceUnavailable,
	DeadlinePassed:        http.StatusGatewayTimeout,
	CrashesServers:        http.StatusUnprocessableEntity,
	BackendFailed:         http.StatusBadGateway,
	PlatformUnavailable:   http.StatusServiceUnavailable,
	ConfigurationOutdated: http.StatusServiceUnavailable,
	ConfigurationInvalid:  http.StatusUnprocessableEntity,
	ConfigurationConflict: http.StatusPreconditionFailed,
	UnknownEnd:            http.StatusBadGateway,
	Refused:               http.StatusConflict,
	Moved:                 http.StatusConflict,
}

// MaxBodyBytes bounds every request body that callers and operators send.
const MaxBodyBytes = 4 << 20

// Problem is one RFC 9457 document. RetryAt, when set, becomes Retry-After in
// whole seconds.
type Problem struct {
	Code    Code
	Outcome Outcome
	Detail  string
	RetryAt time.Time
	Faults  any // Extra structured detail, such as the faults of a configuration.
}

// Error lets a Problem travel as a typed error.
func (p *Problem) Error() string {
	return string(p.Code) + ": " + p.Detail
}

// Status is the HTTP status of the problem's code.
func (p *Problem) Status() int {
	return statusOf[p.Code]
}

// Document is the JSON shape of a problem on the wire.
type Document struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail"`
	Code    Code    `json:"code"`
	Outcome Outcome `json:"outcome,omitempty"`
	Faults  any     `json:"faults,omitempty"`
}

// Document gives the wire form.
func (p *Problem) Document() Document {
	return Document{
		Type:    "urn:endivespoke:problem:" + string(p.Code),
		Title:   http.StatusText(p.Status()),
		Status:  p.Status(),
		Detail:  p.Detail,
		Code:    p.Code,
		Outcome: p.Outcome,
		Faults:  p.Faults,
	}
}

// Write answers a request with the problem.
func Write(w http.ResponseWriter, p *Problem) {
	w.Header().Set("Content-Type", "application/problem+json")
	if !p.RetryAt.IsZero() {
		seconds := math.Ceil(max(time.Until(p.RetryAt).Seconds(), 1))
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(p.Status())
	body, err := json.Marshal(p.Document())
	if err != nil {
		return
	}
	_, _ = w.Write(append(body, '\n')) // The caller may have gone; there is nobody left to tell.
}
