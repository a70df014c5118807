package relay_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/config/routing"
	"github.com/endivespoke/endivespoke/internal/request/budget"
	"github.com/endivespoke/endivespoke/internal/request/relay"
)

// The allowance of a VM that starts reaches one retry after 100 ms.
func TestRetryWaitsForTheBudgetOfAStartedVM(t *testing.T) {
	for name, send := range map[string]func(g *rig) error{
		"call": func(g *rig) error {
			_, err := g.relay.Call(context.Background(), request(routing.KindNonIdempotent))
			return err
		},
		"stream": func(g *rig) error {
			c := &caller{}
			return g.relay.Stream(context.Background(), request(routing.KindStreaming), c.sink())
		},
	} {
		t.Run(name, func(t *testing.T) {
			refused := atomic.Bool{}
			refuseFirst := func(w http.ResponseWriter, r *http.Request) {
				if refused.CompareAndSwap(false, true) {
					refuse(w, r)
					return
				}
				events(3, complete)(w, r)
			}
			g := newRig(t, map[string]script{"a1": refuseFirst, "b1": refuseFirst})
			g.retries = budget.NewShared(budget.SharedOptions{Allowance: 500, Window: 10 * time.Second, Now: time.Now, KnownSince: time.Now()})
			qt.Assert(t, send(g), qt.IsNil)
			qt.Check(t, g.seen(), qt.HasLen, 2)
		})
	}
}

func TestRequestIsRefusedAtOnceIfTheBudgetIsSpent(t *testing.T) {
	g := newRig(t, map[string]script{"a1": refuse, "b1": refuse})
	g.retries = budget.NewShared(budget.SharedOptions{Allowance: 0, Window: 10 * time.Second, Now: time.Now, KnownSince: time.Now()})
	began := time.Now()
	_, err := g.relay.Call(context.Background(), request(routing.KindIdempotent))
	var refusal *relay.NotRun
	qt.Assert(t, errors.As(err, &refusal), qt.IsTrue, qt.Commentf("%v", err))
	qt.Check(t, refusal.Kind, qt.Equals, relay.RefusalBudget)
	qt.Check(t, time.Since(began) < 200*time.Millisecond, qt.IsTrue)
}
