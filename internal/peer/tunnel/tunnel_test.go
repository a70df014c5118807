package tunnel_test

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/lab/loopback"
	"github.com/endivespoke/endivespoke/internal/peer/tunnel"
)

const testLimit = 5 * time.Second

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{}
	return dialer.DialContext(ctx, "tcp", address)
}

// startPeer starts a VM that accepts tunnels, and returns its address.
func startPeer(t *testing.T, change func(h *tunnel.Handler)) (peer *httptest.Server, address string) {
	handler := &tunnel.Handler{IsAllowed: func(string) bool { return true }, Dial: dialTCP, MaxTunnels: 1, OnOpen: func(string) {}}
	if change != nil {
		change(handler)
	}
	peer = httptest.NewUnstartedServer(handler)
	peer.Config.ReadTimeout = 300 * time.Millisecond
	peer.Config.WriteTimeout = 300 * time.Millisecond
	peer.Start()
	t.Cleanup(peer.Close)
	return peer, peer.Listener.Addr().String()
}

// startServer accepts connections and hands each to serve.
func startServer(t *testing.T, serve func(connection *net.TCPConn)) (address string) {
	listener, err := loopback.Listen()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer accepted.Close()
				serve(accepted.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}

func open(t *testing.T, peer, server string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	return tunnel.Dial(ctx, dialTCP, peer, server)
}

func TestTunnelCarriesBothDirections(t *testing.T) {
	server := startServer(t, func(c *net.TCPConn) {
		_, _ = io.Copy(struct{ io.Writer }{c}, c)
	})
	_, peer := startPeer(t, nil)
	c, err := open(t, peer, server)
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	time.Sleep(400 * time.Millisecond) // Longer than the timeouts of the peer's http.Server.
	text := strings.Repeat("0123456789", 20_000)
	go func() { _, _ = io.WriteString(c, text) }()
	read := make([]byte, len(text))
	_, err = io.ReadFull(c, read)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(read) == text, qt.IsTrue)
}

// TestEndOfATunnelIsNotTheServersEnd guards against an answer without a length that looks complete.
func TestEndOfATunnelIsNotTheServersEnd(t *testing.T) {
	reset := make(chan struct{})
	for name, test := range map[string]struct {
		serve func(c *net.TCPConn)
		cut   func(peer *httptest.Server)
		whole bool
	}{
		"the server closes": {serve: func(*net.TCPConn) {}, whole: true},
		"the server resets": {serve: func(c *net.TCPConn) {
			<-reset
			_ = c.SetLinger(0)
		}, cut: func(*httptest.Server) { close(reset) }},
		"the peer ends": {serve: func(*net.TCPConn) { time.Sleep(testLimit) }, cut: func(*httptest.Server) {}},
	} {
		t.Run(name, func(t *testing.T) {
			server := startServer(t, func(c *net.TCPConn) {
				_, _ = io.ReadFull(c, make([]byte, len("request")))
				_, _ = io.WriteString(c, "part")
				test.serve(c)
			})
			var held []net.Conn
			handler, peer := startPeer(t, func(h *tunnel.Handler) {
				h.Dial = func(ctx context.Context, address string) (net.Conn, error) {
					c, err := dialTCP(ctx, address)
					held = append(held, c)
					return c, err
				}
			})
			c, err := open(t, peer, server)
			qt.Assert(t, err, qt.IsNil)
			defer c.Close()
			_, err = io.WriteString(c, "request")
			qt.Assert(t, err, qt.IsNil)
			part := make([]byte, len("part"))
			_, err = io.ReadFull(c, part)
			qt.Assert(t, err, qt.IsNil)
			if test.cut != nil {
				test.cut(handler)
			}
			if name == "the peer ends" {
				_ = held[0].Close() // As when the peer's process exits, whose connections the kernel closes.
			}
			_, err = io.ReadAll(c)
			qt.Check(t, err == nil, qt.Equals, test.whole, qt.Commentf("error %v", err))
		})
	}
}

// resetServer is a connection whose server sends a part of an answer and resets it: a write gets the error, and
// the read sees a clean end.
type resetServer struct {
	net.Conn
	sent  bool
	reset chan struct{}
}

func (c *resetServer) Read(to []byte) (int, error) {
	<-c.reset
	if !c.sent {
		c.sent = true
		return copy(to, "part"), nil
	}
	return 0, io.EOF
}

func (c *resetServer) Write([]byte) (int, error) {
	defer time.Sleep(20 * time.Millisecond) // The read is the first to return.
	close(c.reset)
	return 0, syscall.ECONNRESET
}

// TestResetThatAWriteGotIsNoEndOfTheAnswer guards against a part of an answer that is taken for all of it.
func TestResetThatAWriteGotIsNoEndOfTheAnswer(t *testing.T) {
	server := startServer(t, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) })
	_, peer := startPeer(t, func(h *tunnel.Handler) {
		h.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			c, err := dialTCP(ctx, address)
			return &resetServer{Conn: c, reset: make(chan struct{})}, err
		}
	})
	c, err := open(t, peer, server)
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	_, err = io.WriteString(c, "a long upload")
	qt.Assert(t, err, qt.IsNil)
	body, err := io.ReadAll(c)
	qt.Check(t, string(body), qt.Equals, "part")
	qt.Check(t, err, qt.ErrorIs, io.ErrUnexpectedEOF)
}

// TestCloseReachesTheServer guards against servers that work on for callers that have left.
func TestCloseReachesTheServer(t *testing.T) {
	ended := make(chan struct{})
	server := startServer(t, func(c *net.TCPConn) {
		_, _ = io.Copy(io.Discard, c)
		close(ended)
	})
	_, peer := startPeer(t, nil)
	c, err := open(t, peer, server)
	qt.Assert(t, err, qt.IsNil)
	_ = c.Close()
	select {
	case <-ended:
	case <-time.After(testLimit):
		t.Fatal("the server's connection stays open")
	}
}

func TestErrorsTellThePeerFromTheServer(t *testing.T) {
	server := startServer(t, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) })
	refusing, err := loopback.Addresses(1)
	qt.Assert(t, err, qt.IsNil)
	_, peer := startPeer(t, nil)
	_, strict := startPeer(t, func(h *tunnel.Handler) { h.IsAllowed = func(string) bool { return false } })
	_, full := startPeer(t, func(h *tunnel.Handler) { h.MaxTunnels = 0 })
	_, partitioned := startPeer(t, func(h *tunnel.Handler) {
		h.Dial = func(context.Context, string) (net.Conn, error) { return nil, errors.New("no way") }
	})
	_, doubtful := startPeer(t, func(h *tunnel.Handler) {
		h.Dial = func(context.Context, string) (net.Conn, error) {
			return nil, errors.Annotate(tunnel.ErrUnavailable, "connection refused")
		}
	})
	for name, test := range map[string]struct {
		peer, server         string
		unavailable, refused bool
	}{
		"no peer":                 {peer: refusing[0], server: server, unavailable: true},
		"not a server":            {peer: strict, server: server, unavailable: true},
		"too many tunnels":        {peer: full, server: server, unavailable: true},
		"server refuses":          {peer: peer, server: refusing[0], refused: true},
		"peer may be partitioned": {peer: doubtful, server: server, unavailable: true},
		"peer does not reach it":  {peer: partitioned, server: server},
		"peer speaks another way": {peer: server, server: server, unavailable: true},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			_, err := tunnel.Dial(ctx, dialTCP, test.peer, test.server)
			qt.Assert(t, err, qt.IsNotNil)
			qt.Check(t, errors.Is(err, tunnel.ErrUnavailable), qt.Equals, test.unavailable, qt.Commentf("%v", err))
			qt.Check(t, errors.Is(err, syscall.ECONNREFUSED), qt.Equals, test.refused, qt.Commentf("%v", err))
		})
	}
	t.Run("no time is left", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := tunnel.Dial(ctx, dialTCP, peer, server)
		qt.Check(t, errors.Is(err, tunnel.ErrUnavailable), qt.IsTrue, qt.Commentf("%v", err))
	})
}
