package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/config/routing"
	nodecaller "github.com/endivespoke/endivespoke/internal/node/caller"
	"github.com/endivespoke/endivespoke/internal/request/relay"
)

// endless sends first once and then repeated until its connection is closed.
func endless(first, repeated string, sent *atomic.Int64) script {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerSigned, "1")
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, first)
		for {
			n, err := fmt.Fprint(w, repeated)
			if sent.Add(int64(n)); err != nil {
				return
			}
			w.(http.Flusher).Flush()
		}
	}
}

// TestStreamLeavesAServerThatSendsEndlessNonEvents has a server send data that completes no
// event until its connection is closed, before its first event and after one.
func TestStreamLeavesAServerThatSendsEndlessNonEvents(t *testing.T) {
	for name, repeated := range map[string]string{
		"comments":    ": wait\n\n",
		"blank lines": "\n",
		"one event":   "data: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\n",
		"one line":    "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
	} {
		for _, first := range []string{"", "id: 1\ndata: word1\n\n"} {
			t.Run(fmt.Sprintf("%s after %q", name, first), func(t *testing.T) {
				sent := atomic.Int64{}
				runs := atomic.Int32{}
				run := func(w http.ResponseWriter, r *http.Request) {
					if runs.Add(1) == 1 {
						endless(first, repeated, &sent)(w, r)
					}
					events(12, complete)(w, r)
				}
				g := newRig(t, map[string]script{"a1": run, "b1": run})
				c := &sinkCounter{}
				ctx := context.Background()
				r := request(routing.KindStreaming)
				qt.Assert(t, g.relay.Stream(ctx, r, c.sink()), qt.IsNil)
				qt.Check(t, c.other < 256<<10, qt.IsTrue, qt.Commentf("the caller received %d bytes other than events", c.other))
				qt.Check(t, r.Servers, qt.HasLen, 2)
			})
		}
	}
}

// sinkCounter counts the bytes that a caller received other than events.
type sinkCounter struct{ other int }

func (c *sinkCounter) sink() relay.Sink {
	return relay.Sink{
		Begin: func(int, http.Header) {},
		Event: func(event []byte) error {
			if len(event) < 4 || string(event[:4]) != "id: " {
				c.other += len(event)
			}
			return nil
		},
	}
}

// TestConcurrentAnswersShareTheMemoryLimit has servers send endless answers to many calls at
// the same time.
func TestConcurrentAnswersShareTheMemoryLimit(t *testing.T) {
	sent := atomic.Int64{}
	g := newRig(t, map[string]script{"a1": endless("", "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa", &sent)})
	const capacity = 1 << 20
	g.answers = nodecaller.NewBodies(capacity)
	g.relay = g.vm(g.servers)
	calls := sync.WaitGroup{}
	for range 8 {
		calls.Go(func() {
			_, err := g.relay.Call(context.Background(), request(routing.KindNonIdempotent))
			var unknown *relay.Unknown
			qt.Check(t, errors.As(err, &unknown), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
	calls.Wait()
	qt.Check(t, g.answers.Held(), qt.Equals, int64(0))
}
