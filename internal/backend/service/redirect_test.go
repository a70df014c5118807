package service_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/backend/service"
	"github.com/endivespoke/endivespoke/internal/lab/loopback"
)

// TestCallThatIsAnsweredWithARedirectIsNotMadeAgain: a server may redirect after it has run the call.
func TestCallThatIsAnsweredWithARedirectIsNotMadeAgain(t *testing.T) {
	closed, err := loopback.Listen()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, closed.Close(), qt.IsNil)
	for _, test := range []struct{ name, location string }{
		{"to itself", "/done"},
		{"to an address that refuses", "http://" + closed.Addr().String() + "/done"},
	} {
		for _, status := range []int{http.StatusSeeOther, http.StatusTemporaryRedirect, http.StatusPermanentRedirect} {
			t.Run(test.name+" "+strconv.Itoa(status), func(t *testing.T) {
				runs := atomic.Int64{}
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					runs.Add(1)
					w.Header().Set("Location", test.location)
					w.WriteHeader(status)
				}))
				t.Cleanup(server.Close)
				client := service.New(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
				reply, err := client.Call(context.Background(), strings.TrimPrefix(server.URL, "http://"),
					service.Call{Method: http.MethodPost, Path: "/bookings", Body: []byte("book")})
				qt.Check(t, runs.Load(), qt.Equals, int64(1))
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, reply.Status, qt.Equals, status)
			})
		}
	}
}
