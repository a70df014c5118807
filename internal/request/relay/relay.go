// Package relay forwards one caller's request to backend servers and returns the answer.
// It decides when a request is retried, where a stream continues after the loss of a
// server, and which outcome the caller is told. It does not depend on the platform's
// headers or status codes.
//
// # Usage
//
//	r := relay.New(relay.Options{Servers: servers, Connections: connections, Encode: ..., Decode: ...})
//	answer, err := r.Call(ctx, request)
//	err = r.Stream(ctx, request, sink)
//	var refusal *relay.NotRun
//	if errors.As(err, &refusal) { ... } // It has not run, and never will.
//
// Call returns one complete answer, whose memory counts until its context ends. Stream relays numbered events and continues at
// another server when one is lost. Errors are of type *NotRun, *Unknown, *TimedOut or
// *Interrupted.
package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/http1"
	"github.com/endivespoke/endivespoke/internal/backend/placement"
	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/config/routing"
	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/request/admission"
	"github.com/endivespoke/endivespoke/internal/request/crash"
)

// Request is one attempt of a caller. Header and Target are forwarded unchanged.
// Deadline is the caller's deadline or the end of the route's timeout, whichever is
// earlier.
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
	CopyKey     string // The same for each attempt, and for equal requests of others; "" if no attempt continues another.
	SharesKey   bool   // Many requests may have the CopyKey: attempts are known by the id that callers name only.
	// Resumes is the id of the attempt that brought the caller's first event, as the caller names it; ""
	// if it names none.
	Resumes string
	// Origin is the id of the request's first attempt as far as it is known, and OriginKnown
	// whether an attempt before this one is. Version is that of the servers it was sent to. Stream sets
	// them.
	Origin      string
	OriginKnown bool
	Version     string
	Content     string // Hash of account, path and body, which different requests may share.
	// PromptParts are the IDs of the parts of the prompt that other requests may share. Traits
	// are what the crash record knows the request by.
	PromptParts []string
	Traits      []crash.Trait
	// Servers lists the servers that the request was sent to, in order, for the log. Only
	// the goroutine that relays the request accesses it.
	Servers []string
	// Via lists the VMs through which servers were reached, for the log.
	Via []string

	// IsCallerGone reports whether the caller has closed its connection, which the request's context may
	// tell later; nil if that can't be known.
	IsCallerGone func() bool

	checked bool // The crash record was asked about it.
	isTrial bool // The crash record let it pass as a trial.
}

// recordVia records that an answer came through another VM; "" if it came directly.
func (r *Request) recordVia(peer string) {
	if peer != "" {
		r.Via = append(r.Via, peer)
	}
}

// callerGone reports whether the caller is known to have left.
func (r *Request) callerGone() bool {
	return r.IsCallerGone != nil && r.IsCallerGone()
}

// errCallerGone means that the caller has closed its connection.
const errCallerGone = errors.ConstError("the caller has closed its connection")

// Dispatch is the send of a request to one server.
type Dispatch struct {
	Request     *Request
	Server      pool.Server
	Deadline    time.Time
	LastEventID string
	// BackupAddress and BackupID are those of the server that receives a copy of the
	// run's memory.
	BackupAddress string
	BackupID      string
	// CopyAddress is the address of the server that holds a copy of the run CopyRunID, from
	// which this run continues.
	CopyAddress string
	CopyRunID   string
	Purpose     pool.Purpose
	Permit      uint64 // See pool.Lease.
}

// Verdict is what the head of a server's response tells of the request.
type Verdict struct {
	Status     int
	Header     http.Header // For the caller.
	Success    bool
	Signed     bool
	NotRun     bool
	Replaced   bool   // Another instance answers at the address.
	InstanceID string // Id of the server that answers, if it reports it.
	EventsOnly bool   // The body is a stream of events.
	Notice     pool.ServerNotice
}

// Answer is a complete answer of a server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Sink receives the head of an answer and then its events, each complete.
type Sink struct {
	Begin func(status int, header http.Header)
	Event func(event []byte) error
}

// Refusal is the reason why a request was not run, for counters.
type Refusal string

// Reasons why requests are not run.
const (
	RefusalNoConfiguration Refusal = "noConfiguration"
	RefusalOutdated        Refusal = "configurationOutdated"
	RefusalLeaving         Refusal = "vmLeaving"
	RefusalMemory          Refusal = "vmMemory"
	RefusalNoServer        Refusal = "noServer"
	RefusalByServers       Refusal = "serversRefused"
	RefusalBackoff         Refusal = "serversRest"
	RefusalLimit           Refusal = "serversAtLimit"
	RefusalBudget          Refusal = "retryBudget"
	RefusalCrashes         Refusal = "crashesServers"
	RefusalPart            Refusal = "partCrashesServers"
	RefusalDeadline        Refusal = "timeIsUp"
	RefusalNoHeadroom      Refusal = "noHeadroom"
	RefusalVersion         Refusal = "streamVersionUnknown"
)

// NotRun means that no server has run the request or ever will. RetryAt is when a server
// may have capacity for it; zero if that is not known.
type NotRun struct {
	Kind    Refusal
	Reason  string
	RetryAt time.Time
}

// Unknown means that a server may have run the request.
type Unknown struct{ Reason string }

// TimedOut means that the request's deadline passed while a server may have run it.
type TimedOut struct{ Reason string }

// Interrupted means that a stream ended before its last event.
type Interrupted struct{ Reason string }

// Error implements error.
func (e *NotRun) Error() string { return "not run: " + e.Reason }

// Error implements error.
func (e *Unknown) Error() string { return "outcome unknown: " + e.Reason }

// Error implements error.
func (e *TimedOut) Error() string { return "timed out: " + e.Reason }

// Error implements error.
func (e *Interrupted) Error() string { return "stream cut: " + e.Reason }

// Options configures a Relay.
type Options struct {
	Servers *pool.Pool
	// Admitter lets new streams wait until a server has headroom; nil sends them at once.
	Admitter    *admission.Admitter
	Connections *http1.Pool
	Logger      hclog.Logger
	Now         func() time.Time
	// Encode returns the HTTP request of a dispatch.
	Encode func(Dispatch) *http.Request
	// Decode reads the head of a response.
	Decode func(*http.Response) Verdict
	// Move stops a run and moves its memory to another server, where the run can continue
	// from the returned copy; nil if servers do not support it. ErrNotStopped means that the run goes on or has
	// ended by itself.
	Move     func(ctx context.Context, runID string, from, to pool.Server) (Copy, error)
	Renewals Renewals
	// ReadAnswer reads an answer of up to limit bytes, within a memory limit that all answers
	// share. Release frees the memory; further calls have no effect.
	ReadAnswer func(body io.Reader, limit int64) (answer []byte, release func(), err error)
	// TakeMemory takes memory for a long event from the same limit, and ReturnMemory returns it.
	TakeMemory   func(size int64) error
	ReturnMemory func(size int64)
	// IDHeader is the header in which servers echo the request's id.
	IDHeader string
	// Withdraw takes one retry from the service's shared budget and reports whether it was
	// available. WithdrawPreventive does so for a retry that only protects a stream against
	// a later loss. RetryAt is when the budget of a VM that has just started suffices for a
	// retry; zero if that is not what it lacks. Refund gives back the withdrawal of a retry that
	// never reached a server.
	Withdraw           func(service string) bool
	WithdrawPreventive func(service string) bool
	RetryAt            func(service string) time.Time
	Refund             func(service string)
	Counts             Counts
	// LoadAdded is called when a stream is placed on a server, and LoadReduced when its
	// prompt has been read and when it leaves the server.
	LoadAdded   func()
	LoadReduced func()
	Copies      Copies
	Crashes     Crashes
	Versions    Versions
}

// ErrNotStopped means that a server has not stopped a run that was to be moved: it runs no such
// request, or moves it already.
const ErrNotStopped = errors.ConstError("server has not stopped the run")

// Copy is the location of a copy of a run's memory: the server ServerID holds it, which
// identifies it by RunID and Address.
type Copy struct {
	RunID    string
	ServerID string
	Address  string
}

// Earlier is what is known of the attempts of a request before the present one: the id of the first
// one, the newest copy, and the service and the version of the servers that wrote the caller's events,
// "" if they are not known.
type Earlier struct {
	Origin  string
	Copy    Copy
	Service string
	Version string
}

// Copies is the index of the runs of streams and of the copies of their memory. Put records a run
// before it is sent, with the place that its memory is copied to, if any, and each later copy. Find
// serves a caller that reconnects after the loss of its VM: it returns what is known of the attempt
// that the caller names, or else of the only request with the key. AwaitAmbiguous waits until other VMs
// would know that a request is one of several with its key, and AwaitAnnounced until what was put has been
// written to the connections to the other VMs; nil waits for nothing.
type Copies struct {
	Put            func(request *Request, copied Copy)
	Find           func(ctx context.Context, copyKey, origin string) (earlier Earlier, found bool)
	AwaitAmbiguous func(ctx context.Context, copyKey string)
	AwaitAnnounced func(ctx context.Context)
}

// Crashes records the traits of requests under which servers crash; see package crash.
type Crashes struct {
	Interrupted func(traits []crash.Trait, server pool.Server, startedAt, at time.Time) (terminated bool)
	Completed   func(traits ...crash.Trait)
	Check       func(traits ...crash.Trait) crash.Verdict
	Recheck     func(traits ...crash.Trait) crash.Verdict
	IsBlocked   func(traits ...crash.Trait) (by crash.Trait, blocked bool)
	// Inconclusive is called for requests that were let pass as a trial; see crash.Record.
	Inconclusive func(traits ...crash.Trait)
}

// Relay is safe for concurrent use.
type Relay struct {
	options Options
}

// New returns a Relay.
func New(options Options) *Relay {
	if options.Counts.Sent == nil {
		options.Counts.Sent = func(pool.Purpose) {}
	}
	if options.Copies.AwaitAnnounced == nil {
		options.Copies.AwaitAnnounced = func(context.Context) {}
	}
	options.Versions.setDefaults()
	return &Relay{options: options}
}

const (
	// retryDelay is the time after which a caller may retry if no server is up. A server
	// takes about a second to restart.
	retryDelay = 500 * time.Millisecond
	// answerLimit bounds the answer of a plain service, in bytes.
	answerLimit = 8 << 20
)

// send sends a dispatch and decodes the head of the response. The caller closes the response.
func (r *Relay) send(ctx context.Context, dispatch Dispatch) (response *http1.Response, verdict Verdict, err error) {
	r.options.Servers.RecordSent(dispatch.Server, dispatch.Purpose)
	r.options.Counts.Sent(dispatch.Purpose)
	response, err = r.options.Connections.Send(ctx, http1.Request{
		Address:  dispatch.Server.Address,
		HTTP:     r.options.Encode(dispatch),
		Body:     dispatch.Request.Body,
		ID:       dispatch.Request.ID,
		IDHeader: r.options.IDHeader,

		IsAbandoned: dispatch.Request.IsCallerGone,
	})
	if err != nil {
		return nil, Verdict{}, err
	}
	verdict = r.options.Decode(response.Response)
	if verdict.NotRun && dispatch.Request.ID != "" && !response.NamesRequest() {
		response.Close()
		return nil, Verdict{}, errors.Annotatef(http1.ErrBroken, "%s: status %d says that it has not run, but names no request", dispatch.Server.Address, verdict.Status)
	}
	reply := pool.Reply{Purpose: dispatch.Purpose, Status: verdict.Status, Refused: verdict.NotRun, Permit: dispatch.Permit}
	if verdict.Replaced {
		r.options.Servers.ApplySuccessorNotice(verdict.InstanceID, reply, verdict.Notice)
		return response, verdict, nil
	}
	verdict.Notice.Shared = response.Via() != ""
	r.options.Servers.ApplyNotice(dispatch.Server, verdict.Notice)
	r.options.Servers.ApplyLimit(dispatch.Server, reply, verdict.Notice)
	return response, verdict, nil
}

// readAnswer reads a server's complete answer. The end of one without a length or chunks is marked
// by its connection only, and so is its truncation by a server that terminates.
//
// Its memory counts until delivered ends: a caller may take it slowly.
func (r *Relay) readAnswer(ctx, delivered context.Context, lease *pool.Lease, response *http1.Response) (body []byte, err error) {
	body, release, err := r.options.ReadAnswer(response.Body, answerLimit)
	context.AfterFunc(delivered, release)
	if err != nil {
		release()
		return nil, errors.Annotate(http1.ErrBroken, err.Error())
	}
	if !response.IsFramed() && !lease.Check(ctx) {
		return nil, errors.Annotate(http1.ErrBroken, "server is down since its answer, whose end is not marked")
	}
	response.MarkComplete()
	return body, nil
}

// reportInterruption records that a run of a request was interrupted at a server. A run that
// ended because its caller left or its deadline passed may have crashed the server too. A server
// that is leaving terminates anyway. It reports whether the server is known to have terminated.
func (r *Relay) reportInterruption(ctx context.Context, request *Request, lease *pool.Lease, startedAt, at time.Time, justBegun bool) (terminated bool) {
	leaving := lease.IsLeaving()
	if ctx.Err() == nil {
		event.RunCut.Info(r.options.Logger, "request", request.ID, "kind", request.Route.Kind.String(), "content", request.Content, "parts", request.PromptParts,
			"server", lease.Server.ID, "justBegun", justBegun, "leaving", leaving)
	}
	return justBegun && !leaving && r.options.Crashes.Interrupted(request.Traits, lease.Server, startedAt, at)
}

// noServer returns the refusal for a request that no server may take. If all servers are in
// backoff or at their limits, callers are asked to return when one takes requests again, spread
// over time.
func (r *Relay) noServer(request *Request, versions pool.VersionRule) error {
	availability := r.options.Servers.Availability(request.Service, versions)
	refusal := &NotRun{Kind: RefusalNoServer, RetryAt: r.options.Now().Add(retryDelay)}
	refusal.Reason = fmt.Sprintf("no server of service %s may take it: %d listed, %d up, %d resting, %d of these at their limits", request.Service, availability.Listed, availability.Up, availability.BackingOff, availability.AtLimit)
	if versions.Exact {
		refusal.Reason += fmt.Sprintf(", of version %q only", versions.Only)
		if availability.Listed == 0 {
			refusal.RetryAt = time.Time{} // The version is mostly gone for good.
		}
	}
	if !availability.BackoffUntil.IsZero() {
		refusal.Kind = RefusalBackoff
		if availability.AtLimit > 0 {
			refusal.Kind = RefusalLimit
		}
		refusal.RetryAt = r.options.Servers.ReturnAt(request.Service, availability.BackoffUntil)
	}
	return refusal
}
