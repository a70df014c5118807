package engine_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/engine"
	"github.com/endivespoke/endivespoke/internal/lab/loopback"
)

// TestRedirectedStartIsNotMadeAgain guards against an engine that runs a request and counts as refusing connections.
func TestRedirectedStartIsNotMadeAgain(t *testing.T) {
	closed, err := loopback.Listen()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, closed.Close(), qt.IsNil)
	for _, location := range []string{"/elsewhere", "http://" + closed.Addr().String() + "/elsewhere"} {
		runs := atomic.Int64{}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			runs.Add(1)
			w.Header().Set("Location", location)
			w.WriteHeader(http.StatusTemporaryRedirect)
		}))
		t.Cleanup(server.Close)
		_, err = engine.New(server.Client()).Start(context.Background(), strings.TrimPrefix(server.URL, "http://"), engine.Request{}, 0)
		qt.Check(t, err, qt.IsNotNil)
		qt.Check(t, errors.Is(err, engine.ErrRefused), qt.IsFalse)
		qt.Check(t, runs.Load(), qt.Equals, int64(1))
	}
}
