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

// TestRefusalThatNamesNoRequestUsesAnAttempt guards against requests that are not sent again although
// they may be, and against more sends than their attempts: each may have run.
func TestRefusalThatNamesNoRequestUsesAnAttempt(t *testing.T) {
	for _, kind := range []routing.Kind{routing.KindIdempotent, routing.KindStreaming} {
		for name, refusals := range map[string]int32{"one refusal": 1, "two refusals": 2} {
			t.Run(kind.String()+", "+name, func(t *testing.T) {
				sends := atomic.Int32{}
				run := func(w http.ResponseWriter, r *http.Request) {
					switch {
					case sends.Add(1) <= refusals:
						w.Header().Del(headerID)
						refuse(w, r)
					case kind == routing.KindStreaming:
						events(12, complete)(w, r)
					default:
						respond(http.StatusOK, "done")(w, r)
					}
				}
				g := newRig(t, map[string]script{"a1": run, "b1": run, "c1": run})
				r := request(kind)
				r.Route.MaxAttempts = 2
				err := g.send(context.Background(), r)
				qt.Assert(t, sends.Load(), qt.Equals, int32(2))
				if refusals == 1 {
					qt.Assert(t, err, qt.IsNil)
					return
				}
				var unknown *relay.Unknown
				qt.Assert(t, errors.As(err, &unknown), qt.IsTrue, qt.Commentf("%v", err))
			})
		}
	}
}
