package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/backend/http1"
	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/config/routing"
	nodecaller "github.com/endivespoke/endivespoke/internal/node/caller"
)

// isOpen reports whether the peer of a connection has not closed it.
func isOpen(c net.Conn) bool {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = peekErr == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

// slowClose is a connection whose first close unblocks readers and completes only later, as that of
// a goroutine which is not scheduled meanwhile.
type slowClose struct {
	net.Conn
	closing atomic.Bool
}

func (c *slowClose) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

func (c *slowClose) Close() error {
	if c.closing.Swap(true) {
		return net.ErrClosed
	}
	_ = c.Conn.SetDeadline(time.Unix(1, 0))
	time.Sleep(100 * time.Millisecond)
	return c.Conn.Close()
}

// unfinishedStreams are servers whose first run of a stream does not end by itself. At each send
// they check the connections of the runs before.
type unfinishedStreams struct {
	mu      sync.Mutex
	former  []net.Conn
	overlap int
	sends   int
	first   string // Sent after the first event of the first run.
}

func (s *unfinishedStreams) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.sends++
	isFirst := len(s.former) == 0
	for _, before := range s.former {
		if isOpen(before) {
			s.overlap++
		}
	}
	s.former = append(s.former, c)
	s.mu.Unlock()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", headerID, r.Header.Get(headerID), headerSigned)
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	if isFirst {
		_, _ = io.WriteString(c, head+chunk("id: 1\ndata: word1\n\n")+s.first)
		time.Sleep(time.Second) // Works on, and does not notice the end of the connection.
		return
	}
	_, _ = io.WriteString(c, head+chunk("id: 2\ndata: word2\n\n")+"0\r\n\r\n")
}

func checkFormerConnections(t *testing.T, first string, dial func(ctx context.Context, address string) (net.Conn, error)) {
	fake := &unfinishedStreams{first: first}
	listed := []pool.Server{}
	for _, id := range []string{"a1", "b1"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = listener.Close() })
		go func() {
			for {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				go fake.serve(c)
			}
		}()
		listed = append(listed, pool.Server{ID: id, Address: listener.Addr().String(), Service: "s", FailureDomain: id, Slots: 4})
	}
	connections := http1.New(http1.Options{Dial: dial})
	servers := pool.New(pool.Options{Now: time.Now, Draw: func() float64 { return 0 }, Check: func(context.Context, string) error { return nil }})
	servers.SetCapacities(map[string]pool.Capacity{"s": {CacheTokens: 100_000}})
	servers.Update(listed)
	g := &rig{answers: nodecaller.NewBodies(64 << 20), connections: connections}
	got := &caller{}
	qt.Assert(t, g.vm(servers).Stream(context.Background(), request(routing.KindStreaming), got.sink()), qt.IsNil)
	qt.Assert(t, got.words(), qt.Equals, wordsTo(2))
	qt.Assert(t, fake.sends, qt.Equals, 2)
	qt.Assert(t, fake.overlap, qt.Equals, 0, qt.Commentf("sends while the connection of the run before was open"))
}

// TestStreamIsSentAgainOnlyOnceItsFormerConnectionIsClosed covers runs that the relay itself ends.
func TestStreamIsSentAgainOnlyOnceItsFormerConnectionIsClosed(t *testing.T) {
	dialer := net.Dialer{}
	dials := map[string]func(ctx context.Context, address string) (net.Conn, error){
		"": func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		", slow close": func(ctx context.Context, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			return &slowClose{Conn: c}, nil
		},
	}
	for name, first := range map[string]string{"silent": "", "wrong event": "12\r\nid: 1\ndata: word1\n\n\r\n", "no chunk": "no chunk\r\n"} {
		for suffix, dial := range dials {
			t.Run(name+suffix, func(t *testing.T) { checkFormerConnections(t, first, dial) })
		}
	}
}
