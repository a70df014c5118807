package relay_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/config/routing"
	"github.com/endivespoke/endivespoke/internal/request/relay"
)

// TestRequestIsNotSentAgainAfterItsCallerLeft: its context may still be active, and the caller at another VM.
func TestRequestIsNotSentAgainAfterItsCallerLeft(t *testing.T) {
	for _, test := range []struct {
		name string
		kind routing.Kind
		end  func() // How the first run ends.
	}{
		{"stream", routing.KindStreaming, abort},
		{"call", routing.KindIdempotent, abort},
	} {
		t.Run(test.name, func(t *testing.T) {
			gone := atomic.Bool{}
			breaks := func(w http.ResponseWriter, r *http.Request) {
				gone.Store(true)
				events(3, test.end)(w, r)
			}
			g := newRig(t, map[string]script{"a1": breaks, "b1": breaks})
			r := request(test.kind)
			r.IsCallerGone = gone.Load
			var err error
			if test.kind == routing.KindStreaming {
				err = g.relay.Stream(context.Background(), r, (&caller{}).sink())
			} else {
				_, err = g.relay.Call(context.Background(), r)
			}
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, g.seen(), qt.HasLen, 1)
		})
	}
}

// TestRequestIsNotSentAfterItsCallerLeft: a VM may reach a request late.
func TestRequestIsNotSentAfterItsCallerLeft(t *testing.T) {
	for _, kind := range []routing.Kind{routing.KindStreaming, routing.KindNonIdempotent} {
		t.Run(kind.String(), func(t *testing.T) {
			g := newRig(t, map[string]script{"a1": respond(http.StatusOK, "a1")})
			r := request(kind)
			r.IsCallerGone = func() bool { return true }
			var err error
			if kind == routing.KindStreaming {
				err = g.relay.Stream(context.Background(), r, (&caller{}).sink())
			} else {
				_, err = g.relay.Call(context.Background(), r)
			}
			var notRun *relay.NotRun
			qt.Assert(t, errors.As(err, &notRun), qt.IsTrue, qt.Commentf("%v", err))
			qt.Assert(t, g.seen(), qt.HasLen, 0)
		})
	}
}
