package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/backend/http1"
)

// slowlyClosed is a connection whose first Close ends reads at once and returns later. As with one of
// package net, a second Close returns at once.
type slowlyClosed struct {
	*net.TCPConn
	begun, isClosed atomic.Bool
}

func (c *slowlyClosed) Close() error {
	if !c.begun.CompareAndSwap(false, true) {
		return net.ErrClosed
	}
	_ = c.SetReadDeadline(time.Unix(1, 0))
	time.Sleep(50 * time.Millisecond)
	c.isClosed.Store(true)
	return c.TCPConn.Close()
}

// TestExchangeEndsNotBeforeItsConnectionIsClosed: the server must not work on a request whose
// stream goes on at another one.
func TestExchangeEndsNotBeforeItsConnectionIsClosed(t *testing.T) {
	for _, test := range []struct {
		name string
		head string
	}{
		{name: "before the head"},
		{name: "within the body", head: "HTTP/1.1 200 OK\r\nX-Id: r0\r\nContent-Length: 100\r\n\r\nbegin"},
	} {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			address, _ := peer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(c, test.head)
				if test.head == "" {
					cancel()
				}
				_, _ = r.ReadByte()
			})
			var c *slowlyClosed
			p := http1.New(http1.Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
				raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
				if err != nil {
					return nil, err
				}
				c = &slowlyClosed{TCPConn: raw.(*net.TCPConn)}
				return c, nil
			}})
			request := &http.Request{Method: http.MethodPost, Host: "a.example", URL: &url.URL{Opaque: "/x/1"}, Header: http.Header{"X-Id": {"r0"}}}
			response, err := p.Send(ctx, http1.Request{Address: address, HTTP: request, ID: "r0", IDHeader: "X-Id"})
			if test.head != "" {
				qt.Assert(t, err, qt.IsNil)
				cancel()
				_, err = io.ReadAll(response.Body)
				response.Close()
			}
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, c.isClosed.Load(), qt.IsTrue)
		})
	}
}
