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
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/http1"
)

// peer accepts connections and runs a script on each, with the connection's number.
func peer(t *testing.T, script func(number int, c net.Conn, r *bufio.Reader)) (address string, opened *atomic.Int32) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	opened = &atomic.Int32{}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			number := int(opened.Add(1))
			go func() {
				defer c.Close()
				script(number, c, bufio.NewReader(c))
			}()
		}
	}()
	return listener.Addr().String(), opened
}

func answer(c io.Writer, id, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// serveAll answers each request with its own id.
func serveAll(c net.Conn, r *bufio.Reader, after func(id string)) {
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		answer(c, request.Header.Get("X-Id"), "for "+request.Header.Get("X-Id"))
		after(request.Header.Get("X-Id"))
	}
}

func send(p *http1.Pool, address, id string, body []byte) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	request := &http.Request{Method: http.MethodPost, Host: "a.example", URL: &url.URL{Opaque: "/x/1"}, Header: http.Header{"X-Id": {id}}}
	response, err := p.Send(ctx, http1.Request{Address: address, HTTP: request, Body: body, ID: id, IDHeader: "X-Id"})
	if err != nil {
		return "", err
	}
	defer response.Close()
	read, err := response.ReadAll(1 << 20)
	return string(read), err
}

func TestConnectionIsKept(t *testing.T) {
	address, opened := peer(t, func(_ int, c net.Conn, r *bufio.Reader) { serveAll(c, r, func(string) {}) })
	p := http1.New(http1.Options{})
	for i := range 5 {
		id := fmt.Sprint("r", i)
		body, err := send(p, address, id, []byte("hello"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, body, qt.Equals, "for "+id)
	}
	qt.Assert(t, opened.Load(), qt.Equals, int32(1))
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := listener.Addr().String()
	qt.Assert(t, listener.Close(), qt.IsNil)
	_, err = send(http1.New(http1.Options{}), address, "r1", nil)
	qt.Assert(t, errors.Is(err, http1.ErrNotSent), qt.IsTrue)
}

func TestConnectionClosedAfterTheRequestIsBroken(t *testing.T) {
	address, _ := peer(t, func(_ int, c net.Conn, r *bufio.Reader) { _, _ = http.ReadRequest(r) })
	_, err := send(http1.New(http1.Options{}), address, "r1", nil)
	qt.Assert(t, errors.Is(err, http1.ErrBroken), qt.IsTrue)
	qt.Assert(t, errors.Is(err, http1.ErrNotSent), qt.IsFalse)
}

// TestResponseToAnotherRequestIsSkipped has the server send a second response to the
// first request after the second request has arrived.
func TestResponseToAnotherRequestIsSkipped(t *testing.T) {
	address, _ := peer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for _, id := range []string{"r0", "r1"} {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			if id == "r1" {
				answer(c, "r0", "late")
			}
			answer(c, id, "for "+id)
		}
		_, _ = r.ReadByte()
	})
	p := http1.New(http1.Options{})
	for _, id := range []string{"r0", "r1"} {
		body, err := send(p, address, id, nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, body, qt.Equals, "for "+id)
	}
}

// TestUnsolicitedBytesCloseTheConnection has the server send a second response at once,
// while no request is waiting.
func TestUnsolicitedBytesCloseTheConnection(t *testing.T) {
	sent := make(chan bool, 10)
	address, opened := peer(t, func(number int, c net.Conn, r *bufio.Reader) {
		serveAll(c, r, func(id string) {
			if number == 1 {
				answer(c, id, "again")
			}
			sent <- true
		})
	})
	p := http1.New(http1.Options{})
	_, err := send(p, address, "r0", nil)
	qt.Assert(t, err, qt.IsNil)
	<-sent
	time.Sleep(20 * time.Millisecond) // Until the extra bytes have arrived.
	body, err := send(p, address, "r1", nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body, qt.Equals, "for r1")
	qt.Assert(t, opened.Load(), qt.Equals, int32(2))
}

func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	address, opened := peer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		answer(c, request.Header.Get("X-Id"), "once")
	})
	p := http1.New(http1.Options{})
	for i := range 3 {
		_, err := send(p, address, fmt.Sprint("r", i), nil)
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(20 * time.Millisecond) // Until the end of the connection has arrived.
	}
	qt.Assert(t, opened.Load(), qt.Equals, int32(3))
}

// TestEarlyResponseClosesTheConnection has the server respond before it reads a long
// body. The rest of the body must not be taken for a request.
func TestEarlyResponseClosesTheConnection(t *testing.T) {
	address, opened := peer(t, func(number int, c net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		answer(c, request.Header.Get("X-Id"), "early")
		if number == 1 {
			time.Sleep(100 * time.Millisecond)
		}
	})
	p := http1.New(http1.Options{})
	long := []byte(strings.Repeat("x", 8<<20))
	body, err := send(p, address, "r0", long)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body, qt.Equals, "early")
	_, err = send(p, address, "r1", nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, opened.Load(), qt.Equals, int32(2))
}

func TestShortBodyIsBroken(t *testing.T) {
	address, _ := peer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: r0\r\nContent-Length: 10\r\n\r\nhalf")
	})
	_, err := send(http1.New(http1.Options{}), address, "r0", nil)
	qt.Assert(t, errors.Is(err, http1.ErrBroken), qt.IsTrue)
}

func TestUnframedResponseEndsWithItsConnection(t *testing.T) {
	address, opened := peer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: r0\r\n\r\nwhole")
	})
	p := http1.New(http1.Options{})
	for range 2 {
		body, err := send(p, address, "r0", nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, body, qt.Equals, "whole")
	}
	qt.Assert(t, opened.Load(), qt.Equals, int32(2))
}

func TestUnframedResponseThatIsResetIsBroken(t *testing.T) {
	address, _ := peer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: r0\r\n\r\nhalf")
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	_, err := send(http1.New(http1.Options{}), address, "r0", nil)
	qt.Assert(t, errors.Is(err, http1.ErrBroken), qt.IsTrue)
}

func TestEndOfTheContextClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	address, _ := peer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	request := &http.Request{Method: http.MethodGet, Host: "a.example", URL: &url.URL{Opaque: "/x/1"}, Header: http.Header{}}
	_, err := http1.New(http1.Options{}).Send(ctx, http1.Request{Address: address, HTTP: request})
	qt.Assert(t, errors.Is(err, http1.ErrBroken), qt.IsTrue)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the server does not see the connection close")
	}
}

// refuse writes a refusal of a request.
func refuse(c io.Writer, id string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nX-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nbusy", id)
}

// TestRefusalOfTheSameRequestIsNotReadAgain has a server refuse a request, and write the refusal
// once more when the request comes again on the same connection, before it runs it.
func TestRefusalOfTheSameRequestIsNotReadAgain(t *testing.T) {
	address, opened := peer(t, func(number int, c net.Conn, r *bufio.Reader) {
		for sent := 1; ; sent++ {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if number == 1 {
				refuse(c, request.Header.Get("X-Id")) // The second time, it is a stale one.
			}
			if number > 1 || sent > 1 {
				answer(c, request.Header.Get("X-Id"), "ran")
			}
		}
	})
	p := http1.New(http1.Options{})
	_, err := send(p, address, "r0", nil)
	qt.Assert(t, err, qt.IsNil)
	body, err := send(p, address, "r0", nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, body, qt.Equals, "ran")
	qt.Check(t, opened.Load(), qt.Equals, int32(2))
}

// TestResponseOfAnotherRequestIsNotThatOfACall has a server send a response that names a request
// when a call without an id is next on the connection.
func TestResponseOfAnotherRequestIsNotThatOfACall(t *testing.T) {
	address, _ := peer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for _, id := range []string{"r0", ""} {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			if id == "" {
				refuse(c, "r0")
			}
			answer(c, id, "for "+id)
		}
		_, _ = r.ReadByte()
	})
	p := http1.New(http1.Options{})
	for _, id := range []string{"r0", ""} {
		body, err := send(p, address, id, nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, body, qt.Equals, "for "+id)
	}
}

// TestResponseOfAnEarlierCallIsNotThatOfTheNext has a server write the response to a call without an
// id once more when the next such call is sent.
func TestResponseOfAnEarlierCallIsNotThatOfTheNext(t *testing.T) {
	address, _ := peer(t, func(number int, c net.Conn, r *bufio.Reader) {
		for sent := 1; ; sent++ {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			if sent > 1 {
				answer(c, "", fmt.Sprint("call ", number, ".", sent-1))
			}
			answer(c, "", fmt.Sprint("call ", number, ".", sent))
		}
	})
	p := http1.New(http1.Options{})
	seen := map[string]bool{}
	for range 4 {
		body, err := send(p, address, "", nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, seen[body], qt.IsFalse, qt.Commentf("%s", body))
		seen[body] = true
	}
}
