// Package problem defines the errors of all HTTP interfaces and writes them as
// RFC 9457 problem documents.
//
// # Usage
//
//	problem.Write(w, &problem.Problem{Code: problem.UnknownModel, Outcome: problem.NotRun, Detail: "..."})
//
// Code is stable, for programs to match. Outcome guarantees what happened to the
// request: notRun means that it has not run and never will under this key.
package problem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Outcome states whether the failed request was executed.
type Outcome string

const (
	// OutcomeUnset is for problems that concern no request, such as a wrong path.
	OutcomeUnset Outcome = ""
	// NotRun guarantees that the request did not run and will not.
	NotRun Outcome = "notRun"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "outcomeUnknown"
	// Failed means that the request ran and did not succeed.
	Failed Outcome = "failed"
	// StateNotKnown means that this VM can't determine the state of the request. The
	// caller should send it again with the same key.
	StateNotKnown Outcome = "stateNotKnown"
)

// Code is the stable identifier of a type of problem.
type Code string

// The HTTP status of each code is in statusByCode.
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

var statusByCode = map[Code]int{
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

// Problem is the content of one problem document. RetryAt, when set, is sent as
// Retry-After in whole seconds.
type Problem struct {
	Code    Code
	Outcome Outcome
	Detail  string
	RetryAt time.Time
	Faults  any // Structured details, such as the faults of a configuration.
}

// Error implements error.
func (p *Problem) Error() string {
	return string(p.Code) + ": " + p.Detail
}

// Status returns the HTTP status of the problem's code.
func (p *Problem) Status() int {
	return statusByCode[p.Code]
}

// Document is the JSON form of a problem.
type Document struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail"`
	Code    Code    `json:"code"`
	Outcome Outcome `json:"outcome,omitempty"`
	Faults  any     `json:"faults,omitempty"`
}

// Document returns the JSON form of the problem.
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
	_, _ = w.Write(append(body, '\n')) // A write fails only if the caller has disconnected.
}
