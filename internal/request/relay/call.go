package relay

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/http1"
	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/backend/rollout"
	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/node/rescue"
)

// hedgeFraction of the latency objective is the delay of a hedged request. The second
// server can then still meet the objective.
const hedgeFraction = 0.4

// call is the state of one plain request.
type call struct {
	relay   *Relay
	request *Request
	// delivered is the context of the caller of Call, who delivers the answer before it ends.
	delivered context.Context
	tried     map[string]bool
	sent      int // Sends that may have run.
	inFlight  int
	results   chan callResult
	failure   *Answer // A server's own failure, returned if no other server answers.
	reason    string
}

type callResult struct {
	send    sendRecord
	server  pool.Server
	answer  *Answer
	verdict Verdict
	err     error
}

// Call sends a request and returns the answer of a server. A request that is not
// idempotent is sent again only if the server has not run it.
func (r *Relay) Call(ctx context.Context, request *Request) (answer *Answer, err error) {
	delivered := ctx
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	c := &call{relay: r, request: request, delivered: delivered, tried: map[string]bool{}, results: make(chan callResult, maxSends)}
	if err = c.start(ctx, pool.PurposeCall); err != nil {
		return nil, err
	}
	hedge := time.NewTimer(time.Duration(hedgeFraction * float64(request.Route.LatencyObjective)))
	defer hedge.Stop()
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if by, blocked := r.options.Crashes.IsBlocked(request.Traits...); blocked && by.IsPart() {
				return nil, &Unknown{Reason: refusalFor(by, "%s crashes the servers that run it", time.Time{}).Reason}
			}
		case result := <-c.results:
			c.inFlight--
			c.request.recordVia(result.send.via)
			if answer, err = c.evaluate(ctx, result); answer != nil || err != nil {
				return answer, err
			}
		case <-hedge.C:
			c.hedge(ctx)
		case <-ctx.Done():
			return nil, c.contextError(ctx)
		}
	}
}

// maxSends bounds the sends of one request, including those that servers refused.
const maxSends = 8

// start sends the request to one more server, if the crash record lets it pass.
func (c *call) start(ctx context.Context, purpose pool.Purpose) error {
	if len(c.tried) >= maxSends {
		return c.relay.noServer(c.request, pool.VersionRule{})
	}
	if refusal := c.relay.admit(ctx, c.request); refusal != nil {
		return refusal
	}
	if err := c.sendOnce(ctx, purpose); err != nil {
		if c.inFlight == 0 {
			c.relay.endTrial(c.request)
		}
		return err
	}
	return nil
}

// sendOnce sends the request to one more server, if there is one.
func (c *call) sendOnce(ctx context.Context, purpose pool.Purpose) error {
	if c.request.callerGone() {
		return &NotRun{Kind: RefusalDeadline, Reason: errCallerGone.Error()}
	}
	versions := c.relay.options.Versions.Choose(c.request.Service, c.sendKind())
	lease, err := c.relay.options.Servers.AcquireForCall(c.request.Service, c.tried, versions)
	if err != nil {
		return c.relay.noServer(c.request, versions)
	}
	if len(c.tried) > 0 && !c.relay.options.Withdraw(c.request.Service) {
		lease.Release()
		return c.relay.budgetSpent()
	}
	c.tried[lease.Server.ID] = true
	c.request.Servers = append(c.request.Servers, lease.Server.ID)
	c.sent++
	c.inFlight++
	send := sendRecord{number: len(c.request.Servers), sentAt: c.relay.options.Now()}
	if send.number > 1 {
		event.RequestResent.Info(c.relay.options.Logger, append([]any{"request", c.request.ID, "server", lease.Server.ID,
			"purpose", string(purpose)}, send.placed(lease.Server)...)...)
	}
	rescue.Go(c.relay.options.Logger, "exchange with a server", func() { c.results <- c.exchange(ctx, lease, purpose, send) })
	return nil
}

// sendKind returns what the next send is.
func (c *call) sendKind() rollout.Send {
	if len(c.tried) == 0 {
		return rollout.SendNew
	}
	return rollout.SendAgain
}

// hedge sends the request to a second server if the first has not answered.
func (c *call) hedge(ctx context.Context) {
	if !c.mayRetry() || c.inFlight != 1 {
		return
	}
	if err := c.start(ctx, pool.PurposeHedge); err == nil {
		event.SecondServerAsked.Info(c.relay.options.Logger, "request", c.request.ID, "servers", c.request.Servers,
			"waitedMillis", c.relay.options.Now().Sub(c.request.Received).Milliseconds())
	}
}

func (c *call) mayRetry() bool {
	return c.request.mayResend(c.sent)
}

// exchange sends the request once and reads the complete answer.
func (c *call) exchange(ctx context.Context, lease *pool.Lease, purpose pool.Purpose, send sendRecord) callResult {
	defer lease.Release()
	result := callResult{server: lease.Server, send: send}
	startedAt := c.relay.options.Now()
	var response *http1.Response
	response, result.verdict, result.err = c.relay.send(ctx, Dispatch{
		Request:     c.request,
		Server:      lease.Server,
		Deadline:    c.request.Deadline,
		LastEventID: c.request.LastEventID,
		Purpose:     purpose,
		Permit:      lease.Permit,
	})
	if result.err == nil {
		result.send.named, result.send.via = response.NamesRequest(), response.Via()
		result.answer = &Answer{Status: result.verdict.Status, Header: result.verdict.Header}
		result.answer.Body, result.err = c.relay.readAnswer(ctx, c.delivered, lease, response)
		response.Close()
	}
	result.send.closedAt = c.relay.options.Now()
	c.reportOutcome(ctx, lease, result, startedAt)
	c.relay.recordOutcome(c.request, lease.Server, result.outcome(ctx.Err() != nil, lease.IsDown()), c.relay.options.Now().Sub(startedAt))
	c.log(ctx, result)
	return result
}

// log logs and counts an exchange without an answer for the caller.
func (c *call) log(ctx context.Context, result callResult) {
	if ctx.Err() != nil || (result.err == nil && !result.verdict.NotRun && result.verdict.Status < http.StatusInternalServerError) {
		return
	}
	c.relay.options.Counts.EndedEarly(result.earlyEnd())
	event.RunEnded.Info(c.relay.options.Logger, append([]any{"request", c.request.ID, "server", result.server.ID,
		"reason", fmt.Sprint(result.err)}, result.send.ended(result.server, result.verdict, result.err)...)...)
}

// reportOutcome reports the outcome of an exchange to the server pool and the crash record.
func (c *call) reportOutcome(ctx context.Context, lease *pool.Lease, result callResult, startedAt time.Time) {
	now := c.relay.options.Now()
	took := now.Sub(startedAt)
	if result.err != nil && !errors.Is(result.err, http1.ErrNotSent) {
		c.relay.reportInterruption(ctx, c.request, lease, startedAt, now, true)
	}
	switch {
	case result.err != nil && ctx.Err() != nil:
		// The caller left, another server was faster, or the deadline passed.
		if took > c.request.Route.LatencyObjective {
			lease.RecordCall(took, true)
		}
	case errors.Is(result.err, http1.ErrAbandoned):
	case errors.Is(result.err, http1.ErrNotSent):
		lease.ReportUnreachable(result.err)
	case result.err != nil:
		lease.ReportBroken()
	case result.verdict.Replaced:
		lease.MarkReplaced()
	case result.verdict.NotRun:
		lease.MarkRefused()
		lease.RecordCall(took, result.verdict.Status >= http.StatusInternalServerError)
	default:
		lease.RecordCall(took, result.verdict.Status >= http.StatusInternalServerError)
	}
	if result.err == nil && result.verdict.Success && result.verdict.Signed {
		c.relay.options.Crashes.Completed(c.request.Traits...)
	}
}

// evaluate returns the answer or error that a result leads to, or neither if the request
// continues.
func (c *call) evaluate(ctx context.Context, result callResult) (answer *Answer, err error) {
	if c.inFlight == 0 && (result.err == nil || errors.Is(result.err, http1.ErrNotSent)) {
		c.relay.endTrial(c.request)
	}
	switch {
	case errors.Is(result.err, http1.ErrNotSent):
		c.sent--
		if len(c.tried) > 1 {
			c.relay.options.Refund(c.request.Service)
		}
		c.reason = result.err.Error()
	case result.err != nil:
		c.reason = result.err.Error()
	case result.verdict.NotRun:
		c.sent--
		c.reason = "server " + result.server.ID + " refused it"
	case result.verdict.Success && !result.verdict.Signed:
		c.reason = "unsigned answer of server " + result.server.ID
	case result.verdict.Success || !c.isFailure(result):
		return result.answer, nil
	default:
		c.failure = result.answer
	}
	if ctx.Err() != nil {
		return nil, c.contextError(ctx)
	}
	if c.inFlight > 0 {
		return nil, nil
	}
	return c.retry(ctx)
}

// isFailure reports whether the answer is a failure and another server may be tried.
func (c *call) isFailure(result callResult) bool {
	return result.verdict.Status >= http.StatusInternalServerError && c.request.Route.Retryable()
}

// retry sends the request once more, or returns the final outcome.
func (c *call) retry(ctx context.Context) (answer *Answer, err error) {
	if c.mayRetry() {
		waitUntil := c.relay.options.Now().Add(maxBudgetWait)
		err = c.start(ctx, pool.PurposeRetry)
		for isBudgetSpent(err) && c.relay.awaitBudget(ctx, c.request.Service, waitUntil) {
			err = c.start(ctx, pool.PurposeRetry)
		}
		if err == nil {
			return nil, nil
		}
	}
	switch {
	case c.failure != nil:
		return c.failure, nil
	case c.sent > 0:
		return nil, &Unknown{Reason: c.reason}
	default:
		return nil, err
	}
}

// contextError returns the error of a call whose context is done.
func (c *call) contextError(ctx context.Context) error {
	if c.sent == 0 && c.inFlight == 0 {
		return &NotRun{Kind: RefusalDeadline, Reason: "time is up: " + c.reason}
	}
	if c.failure != nil {
		c.reason = "a server failed, and no other answered in time"
	}
	return &TimedOut{Reason: context.Cause(ctx).Error() + " " + c.reason}
}
