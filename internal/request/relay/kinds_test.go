package relay_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/config/routing"
	"github.com/endivespoke/endivespoke/internal/request/relay"
)

// The protections of docs/PROOFS.md that hold for each kind of request.

// ask sends a request of any kind.
func (g *rig) ask(ctx context.Context, r *relay.Request) error {
	if r.Route.Kind == routing.KindStreaming {
		return g.relay.Stream(ctx, r, (&caller{}).sink())
	}
	_, err := g.relay.Call(ctx, r)
	return err
}

var kinds = []routing.Kind{routing.KindStreaming, routing.KindNonIdempotent, routing.KindIdempotent}

func TestEachKindEndsAtItsTime(t *testing.T) {
	for _, kind := range kinds {
		t.Run(kind.String(), func(t *testing.T) {
			g := newRig(t, map[string]script{"a1": hang, "b1": hang})
			r := request(kind)
			r.Deadline = time.Now().Add(100 * time.Millisecond)
			err := g.ask(context.Background(), r)
			var timedOut *relay.TimedOut
			qt.Assert(t, errors.As(err, &timedOut), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

func TestEachKindEndsAtItsServerWhenItsCallerLeaves(t *testing.T) {
	for _, kind := range kinds {
		t.Run(kind.String(), func(t *testing.T) {
			began, ended := make(chan struct{}, 4), make(chan struct{}, 4)
			g := newRig(t, map[string]script{"a1": func(w http.ResponseWriter, r *http.Request) {
				began <- struct{}{}
				hang(w, r)
				ended <- struct{}{}
			}})
			ctx, leave := context.WithCancel(context.Background())
			go func() {
				<-began
				leave()
			}()
			qt.Assert(t, g.ask(ctx, request(kind)), qt.IsNotNil)
			select {
			case <-ended:
			case <-time.After(2 * time.Second):
				t.Fatal("the server still works on it")
			}
		})
	}
}

func TestEachKindIsRefusedIfItCrashesServers(t *testing.T) {
	for _, kind := range kinds {
		t.Run(kind.String(), func(t *testing.T) {
			g := newRig(t, map[string]script{"a1": events(3, complete)})
			for _, s := range []string{"x", "y", "z"} {
				crashed := g.listed[0]
				crashed.ID = s
				g.crashes.Ended("content", crashed, time.Now())
			}
			err := g.ask(context.Background(), request(kind))
			var notRun *relay.NotRun
			qt.Assert(t, errors.As(err, &notRun), qt.IsTrue, qt.Commentf("%v", err))
			qt.Check(t, notRun.Kind, qt.Equals, relay.RefusalCrashes)
			qt.Check(t, time.Until(notRun.RetryAt) > 50*time.Second, qt.IsTrue, qt.Commentf("%v", notRun.RetryAt))
			qt.Check(t, g.seen(), qt.HasLen, 0)
		})
	}
}
