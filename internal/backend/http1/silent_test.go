package http1_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/backend/http1"
)

// TestSilentConnectionsAreClosed guards against requests that wait out their deadline on a dead connection.
func TestSilentConnectionsAreClosed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer listener.Close()
	received := make(chan struct{}, 1)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = c.Read(make([]byte, 1))
				received <- struct{}{}
				_, _ = io.Copy(io.Discard, c) // It never answers.
			}()
		}
	}()
	pool := http1.New(http1.Options{})
	address := listener.Addr().String()
	qt.Assert(t, pool.Check(context.Background(), address), qt.IsNil)
	ended := make(chan error, 1)
	go func() {
		_, err := pool.Send(context.Background(), http1.Request{Address: address, HTTP: &http.Request{Method: http.MethodGet, Host: "h", URL: &url.URL{Path: "/"}, Header: http.Header{}}})
		ended <- err
	}()
	<-received
	qt.Check(t, pool.IsSilent(time.Now().Add(-time.Minute)), qt.IsFalse, qt.Commentf("it has not waited for so long"))
	time.Sleep(10 * time.Millisecond)
	qt.Check(t, pool.IsSilent(time.Now().Add(-time.Millisecond)), qt.IsTrue)
	qt.Assert(t, pool.Check(context.Background(), address), qt.IsNil)
	qt.Check(t, pool.CloseSilent(time.Now().Add(-time.Minute)), qt.Equals, 0)
	qt.Check(t, pool.CloseSilent(time.Now()), qt.Equals, 2)
	select {
	case err = <-ended:
		qt.Check(t, err, qt.ErrorIs, http1.ErrBroken)
	case <-time.After(5 * time.Second):
		t.Fatal("the request still waits")
	}
	qt.Check(t, pool.HasIdle(address), qt.IsFalse)
}
