package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
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
				g.crashes.Terminated("content", crashed, time.Now())
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

func TestCondemnedContentIsRefusedAtOnce(t *testing.T) {
	g := newRig(t, map[string]script{"a1": events(3, complete)})
	for i := range 3 {
		g.crashes.Terminated("content", pool.Server{ID: fmt.Sprint("server ", i), FailureDomain: fmt.Sprint(i)}, time.Now())
	}
	c := &caller{}
	err := g.relay.Stream(context.Background(), request(routing.KindStreaming), c.sink())
	var notRun *relay.NotRun
	qt.Assert(t, errors.As(err, &notRun), qt.IsTrue)
	qt.Assert(t, g.seen(), qt.HasLen, 0)
}

func TestActionThatHangsTimesOut(t *testing.T) {
	g := newRig(t, map[string]script{"a1": hang, "b1": hang})
	r := request(routing.KindNonIdempotent)
	r.Deadline = time.Now().Add(100 * time.Millisecond)
	_, err := g.relay.Call(context.Background(), r)
	var timedOut *relay.TimedOut
	qt.Assert(t, errors.As(err, &timedOut), qt.IsTrue)
	qt.Assert(t, g.seen(), qt.HasLen, 1)
}

func TestStreamEndsWhenItsCallerLeaves(t *testing.T) {
	ended := make(chan struct{})
	g := newRig(t, map[string]script{"a1": func(w http.ResponseWriter, r *http.Request) {
		events(3, complete)(w, r)
		hang(w, r)
		close(ended)
	}})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	c := &caller{}
	err := g.relay.Stream(ctx, request(routing.KindStreaming), c.sink())
	var cut *relay.Interrupted
	qt.Assert(t, errors.As(err, &cut), qt.IsTrue)
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the server still works for a caller that has left")
	}
}
