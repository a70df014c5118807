package relay

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/http1"
	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/node/rescue"
)

// hedgePart of the latency objective is waited for an idempotent answer before
// a second server is asked, so that its answer can still meet the objective.
const hedgePart = 0.4

// call is the state of one plain request.
type call struct {
	relay   *Relay
	request *Request
	tried   map[string]bool
	sent    int // Servers that may have run it.
	flying  int
	results chan callResult
	failure *Answer // A server's own failure, if nothing better comes.
	reason  string
}

type callResult struct {
	server  pool.Server
	answer  *Answer
	verdict Verdict
	err     error
}

// Call sends a request and gives the answer of a server. A request that may
// not be repeated is sent again only if the server has not run it.
func (r *Relay) Call(ctx context.Context, request *Request) (answer *Answer, err error) {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	c := &call{relay: r, request: request, tried: map[string]bool{}, results: make(chan callResult, maxSends)}
	if err = c.start(ctx); err != nil {
		return nil, err
	}
	hedge := time.NewTimer(time.Duration(hedgePart * float64(request.Route.LatencyObjective)))
	defer hedge.Stop()
	for {
		select {
		case result := <-c.results:
			c.flying--
			if answer, err = c.judge(ctx, result); answer != nil || err != nil {
				return answer, err
			}
		case <-hedge.C:
			c.hedge(ctx)
		case <-ctx.Done():
			return nil, c.ended(ctx)
		}
	}
}

// maxSends bounds the sends of one request, those that servers refused included.
const maxSends = 8

// start sends the request to one more server.
func (c *call) start(ctx context.Context) error {
	if len(c.tried) >= maxSends {
		return c.relay.noServer(c.request)
	}
	if until, refused := c.relay.options.Crashes.BlockedUntil(c.request.Content); refused {
		return &NotRun{Kind: RefusalCrashes, Reason: reasonCrashes, RetryAt: until}
	}
	lease, err := c.relay.options.Servers.AcquireForCall(c.request.Service, c.tried)
	if err != nil {
		return c.relay.noServer(c.request)
	}
	if len(c.tried) > 0 && !c.relay.options.Withdraw(c.request.Service) {
		lease.Release()
		return &NotRun{Kind: RefusalBudget, Reason: "the retry budget of the service is spent", RetryAt: c.relay.options.Now().Add(retryPause)}
	}
	c.tried[lease.Server.ID] = true
	c.request.Servers = append(c.request.Servers, lease.Server.ID)
	c.sent++
	c.flying++
	rescue.Go(c.relay.options.Logger, "exchange with a server", func() { c.results <- c.exchange(ctx, lease) })
	return nil
}

// hedge asks a second server while the first has not answered.
func (c *call) hedge(ctx context.Context) {
	if !c.mayRepeat() || c.flying != 1 {
		return
	}
	if err := c.start(ctx); err == nil {
		event.SecondServerAsked.Info(c.relay.options.Logger, "request", c.request.ID, "servers", c.request.Servers,
			"waitedMillis", c.relay.options.Now().Sub(c.request.Received).Milliseconds())
	}
}

func (c *call) mayRepeat() bool {
	return c.request.Route.Retryable() && c.sent < c.request.Route.MaxAttempts
}

// exchange sends once and reads the whole answer.
func (c *call) exchange(ctx context.Context, lease *pool.Lease) callResult {
	defer lease.Release()
	result := callResult{server: lease.Server}
	began := c.relay.options.Now()
	var response *http1.Response
	response, result.verdict, result.err = c.relay.send(ctx, Dispatch{
		Request:     c.request,
		Server:      lease.Server,
		Deadline:    c.request.Deadline,
		LastEventID: c.request.LastEventID,
	})
	if result.err == nil {
		defer response.Close()
		result.answer = &Answer{Status: result.verdict.Status, Header: result.verdict.Header}
		result.answer.Body, result.err = c.relay.readAnswer(response)
	}
	c.note(ctx, lease, result, began)
	c.log(ctx, result)
	return result
}

// log writes a line for an exchange that gave no answer to pass on.
func (c *call) log(ctx context.Context, result callResult) {
	if ctx.Err() != nil || (result.err == nil && !result.verdict.NotRun && result.verdict.Status < http.StatusInternalServerError) {
		return
	}
	c.relay.options.Counts.EndedEarly(result.earlyEnd())
	event.RunEnded.Info(c.relay.options.Logger, "request", c.request.ID, "server", result.server.ID,
		"status", result.verdict.Status, "notRun", result.verdict.NotRun, "reason", fmt.Sprint(result.err))
}

// note tells the pool how the server did.
func (c *call) note(ctx context.Context, lease *pool.Lease, result callResult, began time.Time) {
	now := c.relay.options.Now()
	took := now.Sub(began)
	if result.err != nil && !errors.Is(result.err, http1.ErrNotSent) {
		c.relay.cut(ctx, c.request, lease, began, now, true)
	}
	switch {
	case result.err != nil && ctx.Err() != nil:
		// The caller left, another server was sooner, or time is up.
		if took > c.request.Route.LatencyObjective {
			lease.RecordCall(took, true)
		}
	case errors.Is(result.err, http1.ErrNotSent):
		lease.ReportUnreachable(result.err)
	case result.err != nil:
		lease.ReportBroken()
	case result.verdict.Replaced:
		lease.MarkReplaced()
	default:
		lease.RecordCall(took, result.verdict.Status >= http.StatusInternalServerError)
	}
	if result.err == nil && result.verdict.Success && result.verdict.Signed {
		c.relay.options.Crashes.Completed(c.request.Content)
	}
}

// judge decides what a result means: an answer, an error, or neither when the
// request goes on.
func (c *call) judge(ctx context.Context, result callResult) (answer *Answer, err error) {
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
		return nil, c.ended(ctx)
	}
	if c.flying > 0 {
		return nil, nil
	}
	return c.again(ctx)
}

// isFailure reports whether another server may answer better.
func (c *call) isFailure(result callResult) bool {
	return result.verdict.Status >= http.StatusInternalServerError && c.request.Route.Retryable()
}

// again sends the request once more, or gives the final outcome.
func (c *call) again(ctx context.Context) (answer *Answer, err error) {
	if c.sent == 0 || c.mayRepeat() {
		if err = c.start(ctx); err == nil {
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

func (c *call) ended(ctx context.Context) error {
	if c.sent == 0 && c.flying == 0 {
		return &NotRun{Kind: RefusalDeadline, Reason: "time is up: " + c.reason}
	}
	if c.failure != nil {
		c.reason = "a server failed, and no other answered in time"
	}
	return &TimedOut{Reason: ctx.Err().Error() + " " + c.reason}
}
