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

// lookup runs an idempotent call on one server after another until one answers,
// and asks a second one early when the first is slower than usual.
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
	if !h.waitForRoom(ctx, ticket, parsed.deadline.Add(-answerMargin)) {
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

// tried is the end of one try.
type tried struct {
	server string
	reply  service.Reply
	err    error
	after  time.Duration
}

// race makes tries until one answers. A failed try is followed by the next at
// once; a slow one gets company. Both cost the hedge budget, so that a service
// in trouble isn't asked many times as much.
func (h *Handler) race(ctx context.Context, parsed request) (service.Reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan tried, maxTries)
	used := []string{}
	running := 0
	launch := func() error {
		lease, err := h.options.Fleet.Pick(fleet.Criteria{Service: parsed.service, Exclude: used})
		if err != nil {
			return err
		}
		used = append(used, lease.Server.Name)
		running++
		go h.try(ctx, lease, parsed.call, results)
		return nil
	}
	last := launch()
	hedge := time.NewTimer(h.latency.slow(parsed.service))
	defer hedge.Stop()
	for running > 0 {
		select {
		case result := <-results:
			running--
			if result.err == nil && result.reply.Status < http.StatusInternalServerError {
				h.latency.add(parsed.service, result.after)
				return result.reply, nil
			}
			last = failureOf(result)
			if len(used) < maxTries && h.options.HedgeBudget.Withdraw() {
				_ = launch() // With no other server, the tries that run go on.
			}
		case <-hedge.C:
			if len(used) < maxTries && h.options.HedgeBudget.Withdraw() && launch() == nil {
				lookupsHedged.Inc()
			}
		case <-ctx.Done():
			return service.Reply{}, errors.Annotate(ctx.Err(), "deadline")
		}
	}
	return service.Reply{}, last
}

// maxTries bounds the servers that one lookup asks.
const maxTries = 3

func failureOf(result tried) error {
	if result.err != nil {
		return result.err
	}
	return errors.Errorf("%s answered %d", result.server, result.reply.Status)
}

func (h *Handler) try(ctx context.Context, lease *fleet.Lease, call service.Call, results chan<- tried) {
	start := h.options.Now()
	reply, err := h.call(ctx, lease, call)
	results <- tried{server: lease.Server.Name, reply: reply, err: err, after: h.options.Now().Sub(start)}
}

const (
	// firstHedge is the hedging delay before a service's latency is known.
	firstHedge = 100 * time.Millisecond
	// minHedge and maxHedge bound it.
	minHedge = 5 * time.Millisecond
	maxHedge = time.Second
	// hedgeStep moves the estimate; hedgeQuantile is what it settles at.
	hedgeStep     = 0.05
	hedgeQuantile = 0.95
)

// latencies estimates, for each service, the latency that only few calls
// exceed. It moves the estimate up or down by a step with each call so that it
// settles at the quantile, in constant memory (Frugal streaming: Ma,
// Muthukrishnan, Sandler 2013).
type latencies struct {
	mu       sync.Mutex
	estimate map[string]time.Duration
}

func newLatencies() *latencies {
	return &latencies{estimate: map[string]time.Duration{}}
}

func (l *latencies) add(name string, latency time.Duration) {
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
	l.estimate[name] = time.Duration(math.Max(float64(current)*factor, float64(minHedge)))
}

// slow gives the delay after which a call of the service is hedged.
func (l *latencies) slow(name string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	current, known := l.estimate[name]
	if !known {
		return firstHedge
	}
	return min(current, maxHedge)
}
