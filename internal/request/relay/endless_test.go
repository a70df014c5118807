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

// endless sends something until its connection is closed.
func endless(first, again string, sent *atomic.Int64) script {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerSigned, "1")
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, first)
		for {
			n, err := fmt.Fprint(w, again)
			if sent.Add(int64(n)); err != nil {
				return
			}
			w.(http.Flusher).Flush()
		}
	}
}

// TestAnswersThatAreReadShareTheirRoom has servers answer without end to many calls at once.
func TestAnswersThatAreReadShareTheirRoom(t *testing.T) {
	sent := atomic.Int64{}
	g := newRig(t, map[string]script{"a1": endless("", "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa", &sent)})
	const room = 1 << 20
	g.answers = nodecaller.NewBodies(room)
	g.relay = g.vm(g.servers)
	waiting := sync.WaitGroup{}
	for range 8 {
		waiting.Go(func() {
			_, err := g.relay.Call(context.Background(), request(routing.KindNonIdempotent))
			var unknown *relay.Unknown
			qt.Check(t, errors.As(err, &unknown), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
	waiting.Wait()
	qt.Check(t, g.answers.Held(), qt.Equals, int64(0))
}
