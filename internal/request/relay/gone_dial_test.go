package relay_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/backend/http1"
	"github.com/endivespoke/endivespoke/internal/config/routing"
)

// TestRequestIsNotSentIfItsCallerLeavesWhileAConnectionIsOpened: opening one may take 250 ms.
func TestRequestIsNotSentIfItsCallerLeavesWhileAConnectionIsOpened(t *testing.T) {
	for _, kind := range []routing.Kind{routing.KindStreaming, routing.KindNonIdempotent} {
		t.Run(kind.String(), func(t *testing.T) {
			g := newRig(t, map[string]script{"a1": respond(http.StatusOK, "a1")})
			gone := atomic.Bool{}
			g.connections = http1.New(http1.Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
				gone.Store(true)
				return (&net.Dialer{}).DialContext(ctx, "tcp", address)
			}})
			r := request(kind)
			r.IsCallerGone = gone.Load
			var err error
			if kind == routing.KindStreaming {
				err = g.vm(g.servers).Stream(context.Background(), r, (&caller{}).sink())
			} else {
				_, err = g.vm(g.servers).Call(context.Background(), r)
			}
			qt.Check(t, g.seen(), qt.HasLen, 0)
			qt.Assert(t, err, qt.IsNotNil)
		})
	}
}

// TestStreamWhoseCallerLeftTakesNoRetryFromTheBudget: nothing reaches a server.
func TestStreamWhoseCallerLeftTakesNoRetryFromTheBudget(t *testing.T) {
	gone := atomic.Bool{}
	breaks := func(w http.ResponseWriter, r *http.Request) {
		gone.Store(true)
		events(3, abort)(w, r)
	}
	g := newRig(t, map[string]script{"a1": breaks, "b1": breaks})
	r := request(routing.KindStreaming)
	r.IsCallerGone = gone.Load
	qt.Assert(t, g.relay.Stream(context.Background(), r, (&caller{}).sink()), qt.IsNotNil)
	qt.Assert(t, g.seen(), qt.HasLen, 1)
	qt.Assert(t, g.retries.Usage().Retries, qt.Equals, 0)
}
