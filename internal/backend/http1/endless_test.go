package http1_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/http1"
)

// endlessLimit is more than any valid response, including the buffers of the sockets.
const endlessLimit = 32 << 20

// TestEndlessResponseEndsTheExchange has a server send one part of its response until the
// connection is closed. The exchange must end before the caller's deadline.
func TestEndlessResponseEndsTheExchange(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: r0\r\n"
	filler := strings.Repeat("a", 1000)
	cases := []struct{ name, first, again string }{
		{"status line", "HTTP/1.1 200 ", filler},
		{"one header line", head + "X-A: ", filler},
		{"header lines", head, "X-A: " + filler + "\r\n"},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"interim answers with headers", "", "HTTP/1.1 103 Early Hints\r\nLink: " + filler + "\r\n\r\n"},
		{"body of another request's answer", "HTTP/1.1 200 OK\r\nX-Id: earlier\r\n\r\n", filler},
		{"chunks of another request's answer", "HTTP/1.1 200 OK\r\nX-Id: earlier\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + filler + "\r\n"},
		{"answers to other requests", "", "HTTP/1.1 200 OK\r\nX-Id: earlier\r\nContent-Length: 0\r\n\r\n"},
		{"body without a length", head + "\r\n", filler},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + filler + "\r\n"},
		{"chunks of a byte", head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
		{"chunk size", head + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 1000)},
		{"chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n1;", filler},
		{"trailers", head + "Transfer-Encoding: chunked\r\nTrailer: X-B\r\n\r\n0\r\n", "X-B: " + filler + "\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sent := make(chan int, 1)
			address, _ := peer(t, func(_ int, connection net.Conn, r *bufio.Reader) {
				_, _ = http.ReadRequest(r)
				total, _ := io.WriteString(connection, c.first)
				for total < 4*endlessLimit {
					n, err := io.WriteString(connection, c.again)
					if total += n; err != nil {
						break
					}
				}
				sent <- total
			})
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			request := &http.Request{Method: http.MethodGet, Host: "a.example", URL: &url.URL{Opaque: "/x/1"}, Header: http.Header{}}
			response, err := http1.New(http1.Options{}).Send(ctx, http1.Request{Address: address, HTTP: request, ID: "r0", IDHeader: "X-Id"})
			if err == nil {
				_, err = response.ReadAll(1 << 20)
				response.Close()
			}
			qt.Check(t, errors.Is(err, http1.ErrBroken), qt.IsTrue, qt.Commentf("%v", err))
			qt.Check(t, ctx.Err(), qt.IsNil)
			select {
			case total := <-sent:
				qt.Check(t, total < endlessLimit, qt.IsTrue, qt.Commentf("%d bytes were read", total))
			case <-time.After(5 * time.Second):
				t.Fatal("the connection is still open")
			}
		})
	}
}

// TestEndlessUnsolicitedBytesAreNotRead has a server send endless bytes on a connection
// that was opened to check it, and after a complete response.
func TestEndlessUnsolicitedBytesAreNotRead(t *testing.T) {
	for _, first := range []string{"", "HTTP/1.1 200 OK\r\nX-Id: r0\r\nContent-Length: 2\r\n\r\nok"} {
		t.Run(fmt.Sprintf("after %q", first), func(t *testing.T) {
			address, opened := peer(t, func(number int, connection net.Conn, r *bufio.Reader) {
				if number > 1 {
					serveAll(connection, r, func(string) {})
					return
				}
				if first != "" {
					_, _ = http.ReadRequest(r)
				}
				_, _ = io.WriteString(connection, first)
				for {
					if _, err := io.WriteString(connection, strings.Repeat("a", 1000)); err != nil {
						return
					}
				}
			})
			p := http1.New(http1.Options{})
			if first == "" {
				qt.Assert(t, p.Check(context.Background(), address), qt.IsNil)
			} else {
				body, err := send(p, address, "r0", nil)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, body, qt.Equals, "ok")
			}
			time.Sleep(50 * time.Millisecond) // Until some of the bytes have arrived.
			body, err := send(p, address, "r1", nil)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, body, qt.Equals, "for r1")
			qt.Assert(t, opened.Load(), qt.Equals, int32(2))
		})
	}
}
