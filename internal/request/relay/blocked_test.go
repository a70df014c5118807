package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/config/routing"
	"github.com/endivespoke/endivespoke/internal/request/crash"
	"github.com/endivespoke/endivespoke/internal/request/relay"
)

// sharedPart is a part of the prompts of requests that crash servers.
const sharedPart = "p1"

// blockPart reports that servers of other VMs terminated under sharedPart.
func (g *rig) blockPart() {
	report := crash.Report{Trait: crash.Part(sharedPart)}
	for i := range 5 {
		report.Terminations = append(report.Terminations, crash.Termination{Process: fmt.Sprint("process ", i), Group: fmt.Sprint("s/", i)})
	}
	g.crashes.Merge([]crash.Report{report})
}

// requestWithPart returns a request with sharedPart that no idle timeout or hedge ends first.
func requestWithPart(kind routing.Kind) *relay.Request {
	r := request(kind)
	r.Traits = crash.Traits("content", []string{sharedPart})
	r.Route.LatencyObjective = 4 * time.Second
	return r
}

// waiting accepts requests and answers none of them. It sends to arrived when one arrives, and to
// closed when its connection was closed.
func waiting(arrived, closed chan<- struct{}) script {
	return func(_ http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-r.Context().Done()
		closed <- struct{}{}
	}
}

func TestWaitingRunIsEndedWhenItsPartIsBlocked(t *testing.T) {
	for name, send := range map[string]func(g *rig) error{
		"stream": func(g *rig) error {
			c := &caller{}
			return g.relay.Stream(context.Background(), requestWithPart(routing.KindStreaming), c.sink())
		},
		"idempotent call": func(g *rig) error {
			_, err := g.relay.Call(context.Background(), requestWithPart(routing.KindIdempotent))
			return err
		},
		"non-idempotent call": func(g *rig) error {
			_, err := g.relay.Call(context.Background(), requestWithPart(routing.KindNonIdempotent))
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			arrived, closed := make(chan struct{}, 9), make(chan struct{}, 9)
			server := waiting(arrived, closed)
			g := newRig(t, map[string]script{"a1": server, "b1": server})
			ended := make(chan error)
			go func() { ended <- send(g) }()
			<-arrived
			g.blockPart()
			select {
			case err := <-ended:
				var unknown *relay.Unknown
				qt.Assert(t, errors.As(err, &unknown), qt.IsTrue, qt.Commentf("%v", err))
				qt.Check(t, unknown.Reason, qt.Contains, "part "+sharedPart+" of its prompt crashes")
			case <-time.After(2 * time.Second):
				t.Fatal("it still waits")
			}
			<-closed
			qt.Check(t, g.seen(), qt.HasLen, 1)
		})
	}
}

func TestRunThatHasBegunToAnswerGoesOnWhenItsPartIsBlocked(t *testing.T) {
	g := newRig(t, map[string]script{"a1": slowly(20, 30*time.Millisecond)})
	c := &caller{}
	sink := c.sink()
	collect := sink.Event
	sink.Event = func(event []byte) error {
		if c.body.Len() == 0 {
			g.blockPart()
		}
		return collect(event)
	}
	qt.Assert(t, g.relay.Stream(context.Background(), requestWithPart(routing.KindStreaming), sink), qt.IsNil)
	qt.Check(t, c.words(), qt.Equals, wordsTo(20))
	qt.Check(t, g.seen(), qt.HasLen, 1)
}

// TestInterruptedStreamIsNotSentAgainWhenItsPartIsBlocked has a stream break off after its part was
// blocked.
func TestInterruptedStreamIsNotSentAgainWhenItsPartIsBlocked(t *testing.T) {
	var g *rig
	breakOff := events(3, func() { g.blockPart(); abort() })
	g = newRig(t, map[string]script{"a1": breakOff, "b1": breakOff})
	c := &caller{}
	err := g.relay.Stream(context.Background(), requestWithPart(routing.KindStreaming), c.sink())
	var interrupted *relay.Interrupted
	qt.Assert(t, errors.As(err, &interrupted), qt.IsTrue, qt.Commentf("%v", err))
	qt.Check(t, interrupted.Reason, qt.Contains, "part "+sharedPart+" of its prompt crashes")
	qt.Check(t, c.words(), qt.Equals, wordsTo(3))
	qt.Check(t, g.seen(), qt.HasLen, 1)
}
