// Package relay carries one caller's request to backend servers and the answer
// back. It decides when a request is sent again, where a stream goes on after a
// loss, and what the caller may be told; it knows no header and no status code
// of the platform.
//
// # Usage
//
//	r := relay.New(relay.Options{Servers: servers, Connections: connections, Encode: ..., Decode: ...})
//	answer, err := r.Call(ctx, request)
//	err = r.Stream(ctx, request, sink)
//	var refusal *relay.NotRun
//	if errors.As(err, &refusal) { ... } // It has not run, and never will.
//
// Call answers a plain request with one whole answer. Stream relays numbered
// events and goes on with another server when one is lost. An error is one of
// *NotRun, *Unknown, *TimedOut and *Cut.
package relay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/http1"
	"github.com/endivespoke/endivespoke/internal/backend/placement"
	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/config/routing"
	"github.com/endivespoke/endivespoke/internal/node/event"
)

// Request is one attempt of a caller. Header and Target are passed on as they
// are. Deadline is when the caller stops waiting or the route's timeout ends it,
// whichever is first.
type Request struct {
	ID          string
	Method      string
	Host        string
	Target      string // Path and query as sent.
	Header      http.Header
	Body        []byte
	Route       *routing.Route
	Service     string
	Account     string
	Priority    int
	Received    time.Time
	Deadline    time.Time
	LastEventID string
	Demand      placement.Demand
	CopyKey     string // The same for each attempt, and of no other request; "" if unknown.
	Content     string // Hash of account, path and body, which requests that are alike share.
	// Servers are those that it was sent to, in order, for the log. Only the
	// goroutine that relays the request touches it.
	Servers []string
}

// Dispatch is one send of a request to one server.
type Dispatch struct {
	Request     *Request
	Server      pool.Server
	Deadline    time.Time
	LastEventID string
	// BackupAddress is the address of the server that gets a copy of the run's memory.
	BackupAddress string
	BackupID      string
	// CopyAddress is the address of the server that holds a copy, of the run CopyOf.
	CopyAddress string
	CopyRunID   string
}

// Verdict is what a server's response says of the request.
type Verdict struct {
	Status     int
	Header     http.Header // What the caller gets.
	Success    bool
	Signed     bool
	NotRun     bool
	Replaced   bool // Another instance has the address.
	EventsOnly bool // The body is a stream of events.
	Notice     pool.ServerNotice
}

// Answer is a whole answer of a server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Sink is where a stream's parts go. Events are whole.
type Sink struct {
	Begin func(status int, header http.Header)
	Event func(event []byte) error
}

// Refusal names why a request was not run, for counters.
type Refusal string

// Why requests are not run.
const (
	RefusalNoConfiguration Refusal = "noConfiguration"
	RefusalOutdated        Refusal = "configurationOutdated"
	RefusalLeaving         Refusal = "vmLeaving"
	RefusalMemory          Refusal = "vmMemory"
	RefusalNoServer        Refusal = "noServer"
	RefusalByServers       Refusal = "serversRefused"
	RefusalBackoff         Refusal = "serversRest"
	RefusalBudget          Refusal = "retryBudget"
	RefusalCrashes         Refusal = "crashesServers"
	RefusalDeadline        Refusal = "timeIsUp"
)

// NotRun means that no server has run the request or ever will. RetryAt is when
// a server may have room for it; zero if that is not known.
type NotRun struct {
	Kind    Refusal
	Reason  string
	RetryAt time.Time
}

// Unknown means that a server may have run the request.
type Unknown struct{ Reason string }

// TimedOut means that the request's time ended while a server may have run it.
type TimedOut struct{ Reason string }

// Interrupted means that a stream ended before its last event.
type Interrupted struct{ Reason string }

// Error gives the reason.
func (e *NotRun) Error() string { return "not run: " + e.Reason }

// Error gives the reason.
func (e *Unknown) Error() string { return "outcome unknown: " + e.Reason }

// Error gives the reason.
func (e *TimedOut) Error() string { return "timed out: " + e.Reason }

// Error gives the reason.
func (e *Interrupted) Error() string { return "stream cut: " + e.Reason }

// Options shapes a Relay.
type Options struct {
	Servers     *pool.Pool
	Connections *http1.Pool
	Logger      hclog.Logger
	Now         func() time.Time
	// Encode gives the HTTP request of a dispatch.
	Encode func(Dispatch) *http.Request
	// Decode reads the head of a response.
	Decode func(*http.Response) Verdict
	// Move stops a run and moves its memory to another server, where it can go on
	// from the copy that is returned; nil if servers can't.
	Move     func(ctx context.Context, runID string, from, to pool.Server) (Copy, error)
	Renewals Renewals
	// ReadAnswer reads a whole answer of up to a size, within the room that all answers share
	// while they are read. Release gives the room back.
	ReadAnswer func(body io.Reader, limit int64) (answer []byte, release func(), err error)
	// IDHeader is the header in which servers echo the request's id.
	IDHeader string
	// Withdraw takes one repeat of the service's shared budget. Refund gives it back
	// for one that never reached a server.
	// SpendSpare is for one that no request needs yet.
	Withdraw           func(service string) bool
	WithdrawPreventive func(service string) bool
	Refund             func(service string)
	Counts             Counts
	// LoadAdded is told when a stream was placed, LoadEased when its prompt was read or
	// it left its server.
	LoadAdded   func()
	LoadReduced func()
	// Copies remembers where the copies of streams are; see Copy.
	Copies Copies
	// Crashes remembers the contents that crash servers.
	Crashes Crashes
}

// Copy tells where a run's memory is. RunID and Address name it to the server
// ServerID that holds it.
type Copy struct {
	RunID    string
	ServerID string
	Address  string
}

// Copies finds the copy of a stream whose caller comes back after its VM was lost.
type Copies struct {
	Put  func(copyKey string, copied Copy)
	Find func(ctx context.Context, copyKey string) (copied Copy, found bool)
}

// Crashes remembers under which contents servers ended; see package crash.
type Crashes struct {
	Interrupted  func(content string, server pool.Server, began, at time.Time)
	Completed    func(content string)
	BlockedUntil func(content string) (until time.Time, refused bool)
}

// Relay is safe for concurrent use.
type Relay struct {
	options Options
}

// New makes a relay.
func New(options Options) *Relay {
	return &Relay{options: options}
}

const (
	// reasonCrashes is why a content is refused under which servers ended.
	reasonCrashes = "it crashes the servers that run it"
	// retryPause is when a caller may come back if no server is up. A server that
	// restarts needs about a second.
	retryPause = 500 * time.Millisecond
	// answerLimit bounds the answer of a plain service, in bytes.
	answerLimit = 8 << 20
)

// send dispatches once. The caller closes the response.
func (r *Relay) send(ctx context.Context, dispatch Dispatch) (response *http1.Response, verdict Verdict, err error) {
	response, err = r.options.Connections.Send(ctx, http1.Request{
		Address:  dispatch.Server.Address,
		HTTP:     r.options.Encode(dispatch),
		Body:     dispatch.Request.Body,
		ID:       dispatch.Request.ID,
		IDHeader: r.options.IDHeader,
	})
	if err != nil {
		return nil, Verdict{}, err
	}
	verdict = r.options.Decode(response.Response)
	if !verdict.Replaced { // Else the word is another process's.
		r.options.Servers.ApplyNotice(dispatch.Server, verdict.Notice)
	}
	return response, verdict, nil
}

// readAnswer reads a server's whole answer.
func (r *Relay) readAnswer(response *http1.Response) (body []byte, err error) {
	body, release, err := r.options.ReadAnswer(response.Body, answerLimit)
	release()
	if err != nil {
		return nil, errors.Annotate(http1.ErrBroken, err.Error())
	}
	response.MarkComplete()
	return body, nil
}

// cut notes a run of a request that was cut at a server. One that ended because its caller
// left or its time is up may be what ended the server too; a server that leaves ends anyway.
func (r *Relay) cut(ctx context.Context, request *Request, lease *pool.Lease, began, at time.Time, justBegun bool) {
	leaving := lease.IsLeaving()
	if ctx.Err() == nil {
		event.RunCut.Info(r.options.Logger, "request", request.ID, "kind", request.Route.Kind.String(), "content", request.Content,
			"server", lease.Server.ID, "justBegun", justBegun, "leaving", leaving)
	}
	if justBegun && !leaving {
		r.options.Crashes.Interrupted(request.Content, lease.Server, began, at)
	}
}

// noServer is the refusal when no server may take the request. If all servers rest,
// callers come back once the first wants requests again, and not all at the same moment.
func (r *Relay) noServer(request *Request) error {
	standing := r.options.Servers.Availability(request.Service)
	refusal := &NotRun{Kind: RefusalNoServer, RetryAt: r.options.Now().Add(retryPause)}
	refusal.Reason = fmt.Sprintf("no server of service %s may take it: %d listed, %d up, %d resting", request.Service, standing.Listed, standing.Up, standing.BackingOff)
	if !standing.BackoffUntil.IsZero() {
		refusal.Kind = RefusalBackoff
		refusal.RetryAt = standing.BackoffUntil.Add(rand.N(retryPause))
	}
	return refusal
}
