package services

import (
	"context"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/fleet"
	"github.com/endivespoke/endivespoke/internal/backend/service"
	"github.com/endivespoke/endivespoke/internal/caller/problem"
	"github.com/endivespoke/endivespoke/internal/request/admission"
	"github.com/endivespoke/endivespoke/internal/request/owner"
)

var (
	lookupsStarted = metrics.NewCounter(`endivespoke_caller_lookups_total`)
	lookupsHedged  = metrics.NewCounter(`endivespoke_caller_lookups_hedged_total`)
	lookupSeconds  = metrics.NewHistogram(`endivespoke_caller_lookup_seconds`)
)

// lookup sends an idempotent call to one server after another until one answers. It
// sends a hedged request when the first server is slower than usual.
func (h *Handler) lookup(ctx context.Context, w http.ResponseWriter, parsed request) {
	lookupsStarted.Inc()
	start := h.options.Now()
	ticket, refusal := h.options.Gate.Admit(admission.Request{Account: parsed.account.Name, Rank: parsed.priority.Rank, Lookup: true, Deadline: parsed.deadline})
	if refusal != nil {
		problem.Write(w, owner.RefusalProblem(refusal))
		return
	}
	defer ticket.Release()
	ctx, cancel := context.WithDeadline(ctx, parsed.deadline.Add(-answerMargin))
	defer cancel()
	if !h.waitForCapacity(ctx, ticket, parsed.deadline.Add(-answerMargin)) {
		problem.Write(w, &problem.Problem{Code: problem.Overloaded, Outcome: problem.NotRun, Detail: "there was no room before the deadline", RetryAt: h.options.Now().Add(time.Second)})
		return
	}
	h.options.HedgeBudget.Deposit()
	reply, err := h.race(ctx, parsed)
	lookupSeconds.UpdateDuration(start)
	if err != nil {
		problem.Write(w, &problem.Problem{Code: problem.BackendFailed, Outcome: problem.Failed, Detail: "no server of the service answered: " + err.Error(), RetryAt: h.options.Now().Add(time.Second)})
		return
	}
	writeReply(w, reply)
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	server  string
	reply   service.Reply
	err     error
	latency time.Duration
}

// race starts attempts until one succeeds. A failed attempt is followed by the next
// one at once, a slow one is hedged. Both are withdrawn from the hedge budget, so
// that an overloaded service does not receive a multiple of its load.
func (h *Handler) race(ctx context.Context, parsed request) (service.Reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attemptResult, maxAttempts)
	asked := []string{}
	running := 0
	launch := func() error {
		lease, err := h.options.Fleet.Pick(fleet.Criteria{Service: parsed.service, Exclude: asked})
		if err != nil {
			return err
		}
		asked = append(asked, lease.Server.Name)
		running++
		go h.attempt(ctx, lease, parsed.call, results)
		return nil
	}
	lastErr := launch()
	hedge := time.NewTimer(h.latency.hedgeDelay(parsed.service))
	defer hedge.Stop()
	for running > 0 {
		select {
		case result := <-results:
			running--
			if result.err == nil && result.reply.Status < http.StatusInternalServerError {
				h.latency.record(parsed.service, result.latency)
				return result.reply, nil
			}
			lastErr = failureOf(result)
			if len(asked) < maxAttempts && h.options.HedgeBudget.Withdraw() {
				_ = launch() // If no other server is available, the running attempts continue.
			}
		case <-hedge.C:
			if len(asked) < maxAttempts && h.options.HedgeBudget.Withdraw() && launch() == nil {
				lookupsHedged.Inc()
			}
		case <-ctx.Done():
			return service.Reply{}, errors.Annotate(ctx.Err(), "deadline")
		}
	}
	return service.Reply{}, lastErr
}

// maxAttempts bounds the number of servers that one lookup is sent to.
const maxAttempts = 3

func failureOf(result attemptResult) error {
	if result.err != nil {
		return result.err
	}
	return errors.Errorf("%s answered %d", result.server, result.reply.Status)
}

func (h *Handler) attempt(ctx context.Context, lease *fleet.Lease, call service.Call, results chan<- attemptResult) {
	start := h.options.Now()
	reply, err := h.call(ctx, lease, call)
	results <- attemptResult{server: lease.Server.Name, reply: reply, err: err, latency: h.options.Now().Sub(start)}
}

const (
	// defaultHedgeDelay is the hedge delay before a service's latency is known.
	defaultHedgeDelay = 100 * time.Millisecond
	// minHedgeDelay and maxHedgeDelay bound the hedge delay.
	minHedgeDelay = 5 * time.Millisecond
	maxHedgeDelay = time.Second
	// hedgeStep is the relative step of the latency estimate; hedgeQuantile is the
	// quantile that it converges to.
	hedgeStep     = 0.05
	hedgeQuantile = 0.95
)

// latencies estimates a high quantile of the latency of each service in constant
// memory. Each call moves the estimate up or down by a step, such that it converges
// to the quantile (Frugal streaming: Ma, Muthukrishnan, Sandler 2013).
type latencies struct {
	mu       sync.Mutex
	estimate map[string]time.Duration
}

func newLatencies() *latencies {
	return &latencies{estimate: map[string]time.Duration{}}
}

func (l *latencies) record(name string, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current, known := l.estimate[name]
	if !known {
		l.estimate[name] = 2 * latency
		return
	}
	factor := 1 - hedgeStep*(1-hedgeQuantile)
	if latency > current {
		factor = 1 + hedgeStep*hedgeQuantile
	}
	l.estimate[name] = time.Duration(math.Max(float64(current)*factor, float64(minHedgeDelay)))
}

// hedgeDelay returns the delay after which a call of the service is hedged.
func (l *latencies) hedgeDelay(name string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	current, known := l.estimate[name]
	if !known {
		return defaultHedgeDelay
	}
	return min(current, maxHedgeDelay)
}
