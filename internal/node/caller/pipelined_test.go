package caller_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/node/caller"
)

// TestCallerThatLeftAfterAPipelinedRequestIsGone guards against a peek that sees the second request only.
func TestCallerThatLeftAfterAPipelinedRequestIsGone(t *testing.T) {
	r := newPortRig(t, 4, 1<<20)
	arrived, left, ended := make(chan bool), make(chan bool), make(chan bool, 2)
	server := &http.Server{ConnContext: r.port.Context, Handler: http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		if request.URL.Path != "/slow" {
			return
		}
		arrived <- true
		<-left
		gone := false
		for until := time.Now().Add(2 * time.Second); time.Now().Before(until) && !gone; time.Sleep(time.Millisecond) {
			gone = caller.ConnectionOf(request.Context()).IsGone() || request.Context().Err() != nil
		}
		ended <- gone
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	port := r.ports.Listen(listener, "other", 4)
	go func() { _ = server.Serve(port) }() // Returns when the server is closed.
	t.Cleanup(func() { _ = server.Close() })
	connection, err := net.Dial("tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	_, err = io.WriteString(connection, getSlow)
	qt.Assert(t, err, qt.IsNil)
	<-arrived
	_, err = io.WriteString(connection, "GET /next HTTP/1.1\r\nHost: a\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, connection.Close(), qt.IsNil)
	left <- true
	qt.Assert(t, <-ended, qt.IsTrue)
}
