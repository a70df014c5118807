package wire

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/request/generation"
)

var testKey = []byte("0123456789abcdef0123456789abcdef")

func startServer(t *testing.T, server *Server) string {
	mux := http.NewServeMux()
	mux.Handle(Path, server)
	listener := httptest.NewServer(mux)
	t.Cleanup(listener.Close)
	return strings.TrimPrefix(listener.URL, "http://")
}

func TestFrameKeepsDeadlines(t *testing.T) {
	deadline := time.Date(2026, 1, 2, 3, 4, 5, 678901234, time.UTC)
	journal := generation.New("g", generation.RequestID{Account: "a", Key: "k"}, generation.Spec{Deadline: deadline})
	body, err := Encode(Frame{Entries: []Entry{{Generation: "g", Open: journal, KeepUntil: deadline}}})
	qt.Assert(t, err, qt.IsNil)
	frame, err := Decode(body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, frame.Entries[0].Open.Spec.Deadline.Equal(deadline), qt.IsTrue)
	qt.Assert(t, frame.Entries[0].KeepUntil.Equal(deadline), qt.IsTrue)
}

func TestServerRefusesPeersWithoutTheKey(t *testing.T) {
	address := startServer(t, &Server{Key: testKey})
	pool := NewPool(PoolOptions{Self: "vm-1", Key: []byte("wrong"), OnDown: func(string) {}})
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := pool.Call(ctx, "vm-2", address, Frame{Heartbeat: &Heartbeat{}})
	qt.Assert(t, err, qt.ErrorMatches, ".*no reply from peer")
}

func TestProofExpiresAndNamesThePeer(t *testing.T) {
	now := time.Unix(1000000, 0)
	header := http.Header{}
	signHeader(header, testKey, "vm-1", now)
	peer, ok := verifyHeader(header, testKey, now.Add(maxProofAge))
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, peer, qt.Equals, "vm-1")
	_, ok = verifyHeader(header, testKey, now.Add(maxProofAge+2*time.Second))
	qt.Assert(t, ok, qt.IsFalse)
	header.Set("Authorization", strings.Replace(header.Get("Authorization"), "vm-1", "vm-9", 1))
	_, ok = verifyHeader(header, testKey, now)
	qt.Assert(t, ok, qt.IsFalse)
}

// TestPoolMergesTokensOfOneGeneration checks that entries enqueued while a peer
// is slow are sent as fewer entries, with all tokens in order.
func TestPoolMergesTokensOfOneGeneration(t *testing.T) {
	var mu sync.Mutex
	got := []generation.Token{}
	entries := 0
	address := startServer(t, &Server{Key: testKey, OnEntries: func(_ string, received []Entry) []Ack {
		mu.Lock()
		defer mu.Unlock()
		for _, entry := range received {
			entries++
			qt.Check(t, entry.Offset, qt.Equals, len(got))
			got = append(got, entry.Tokens...)
		}
		return []Ack{{Generation: "g", Verdict: AckHeld, Held: len(got)}}
	}})
	const total = 500
	done := make(chan struct{})
	pool := NewPool(PoolOptions{Self: "vm-1", Key: testKey, AckTimeout: 10 * time.Second, OnDown: func(string) {}, OnAcks: func(_ string, acks []Ack) {
		if acks[0].Held == total {
			close(done)
		}
	}})
	defer pool.Close()
	for i := range total {
		pool.Enqueue("vm-2", address, Entry{Generation: "g", Offset: i, Tokens: []generation.Token{{ID: i}}})
	}
	<-done
	mu.Lock()
	defer mu.Unlock()
	for i, token := range got {
		qt.Assert(t, token.ID, qt.Equals, i)
	}
	qt.Assert(t, entries < total, qt.IsTrue)
}

// TestMissingAcksMarkPeerDown checks that a peer that accepts entries and never
// acknowledges them is reported as down.
func TestMissingAcksMarkPeerDown(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	address := startServer(t, &Server{Key: testKey, OnEntries: func(string, []Entry) []Ack {
		<-release
		return nil
	}})
	down := make(chan string, 10)
	pool := NewPool(PoolOptions{Self: "vm-1", Key: testKey, AckTimeout: 50 * time.Millisecond, OnDown: func(peer string) { down <- peer }})
	defer pool.Close()
	pool.Enqueue("vm-2", address, Entry{Generation: "g"})
	qt.Assert(t, <-down, qt.Equals, "vm-2")
}

// TestFlushAwaitsThePosts guards against a wait that ends while posts are still queued: for a connection
// that is being opened, or between two writes.
func TestFlushAwaitsThePosts(t *testing.T) {
	var received atomic.Int64
	address := startServer(t, &Server{Key: testKey, OnSync: func([]byte) []byte { received.Add(1); return nil }})
	var written atomic.Int64
	client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		time.Sleep(20 * time.Millisecond)
		connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{Conn: connection, written: &written}, err
	}}}
	pool := NewPool(PoolOptions{Self: "vm-1", Key: testKey, HTTP: client, OnDown: func(string) {}})
	defer pool.Close()
	const posts, postBytes = 20, 4096
	for i := range posts {
		pool.Post("vm-2", address, Frame{Sync: make([]byte, postBytes)})
		pool.Flush(context.Background())
		qt.Assert(t, written.Load() >= int64((i+1)*postBytes), qt.IsTrue)
	}
	pool.Flush(context.Background()) // Nothing is queued.
	for received.Load() < posts {
		time.Sleep(time.Millisecond)
	}
}

// countingConn counts the bytes that have been written.
type countingConn struct {
	net.Conn
	written *atomic.Int64
}

func (c countingConn) Write(b []byte) (n int, err error) {
	n, err = c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// TestFlushEndsWithItsContext guards against a wait for a peer that can't be reached.
func TestFlushEndsWithItsContext(t *testing.T) {
	client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}}}
	pool := NewPool(PoolOptions{Self: "vm-1", Key: testKey, HTTP: client, OnDown: func(string) {}})
	defer pool.Close()
	pool.Post("vm-2", "192.0.2.1:1", Frame{Sync: []byte("news")})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	pool.Flush(ctx)
}

func FuzzFrame(f *testing.F) {
	for _, frame := range []Frame{{Call: 1, Heartbeat: &Heartbeat{From: "vm-1"}}, {Entries: []Entry{{Generation: "g", Tokens: []generation.Token{{ID: 1, Text: "a"}}}}}} {
		body, err := Encode(frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		frame, err := Decode(body)
		if err != nil {
			return
		}
		if _, err := Encode(frame); err != nil {
			t.Fatalf("a decoded frame can't be encoded: %v", err)
		}
	})
}
