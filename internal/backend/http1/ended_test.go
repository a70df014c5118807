package http1_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/backend/http1"
)

// TestNothingIsSentOnAnIdleConnectionOnceTheContextHasEnded: the goroutine that sends may run late.
func TestNothingIsSentOnAnIdleConnectionOnceTheContextHasEnded(t *testing.T) {
	arrived := atomic.Int32{}
	ended := make(chan struct{}, 1)
	address, _ := peer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		defer func() { ended <- struct{}{} }()
		if _, err := http.ReadRequest(r); err == nil {
			arrived.Add(1)
		}
	})
	p := http1.New(http1.Options{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 20 {
		qt.Assert(t, p.Check(context.Background(), address), qt.IsNil)
		request := &http.Request{Method: http.MethodPost, Host: "a.example", URL: &url.URL{Opaque: "/x/1"}, Header: http.Header{"X-Id": {"r0"}}}
		_, err := p.Send(ctx, http1.Request{Address: address, HTTP: request, ID: "r0", IDHeader: "X-Id"})
		qt.Assert(t, err, qt.IsNotNil)
		p.CloseIdle(address)
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
			t.Fatal("the server's connection is open")
		}
	}
	qt.Assert(t, arrived.Load(), qt.Equals, int32(0))
}
