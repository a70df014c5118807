package caller

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// maxFuzzedBytes bounds the time for one input.
const maxFuzzedBytes = 12 << 10

// FuzzRequests sends bytes to a port in pieces of a given size. Each head that reaches the handler has
// to be counted, and nothing may be held once the connection is closed.
func FuzzRequests(f *testing.F) {
	fields := strings.Repeat("a:\r\n", 1000)
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n"+fields+"\r\n"), 4096)
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\nHost: a\n"+fields+"\n\n"), 50)
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n3;b=c\r\nabc\r\n0\r\nA: d\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n"+fields+"\r\n"), 1)
	f.Add([]byte("POST / HTTP/1.0\r\nContent-Length: 2000\r\nExpect: 100-continue\r\n\r\n"+fields), 700)
	f.Fuzz(func(t *testing.T, sent []byte, piece int) {
		if len(sent) > maxFuzzedBytes || piece <= 0 {
			return
		}
		ports, bodies := NewPorts(time.Now, 1<<30), NewBodies(1<<20)
		ours, theirs := net.Pipe()
		port := ports.Listen(&pipeListener{accepted: ours}, "fuzz", 1)
		ended := make(chan struct{})
		server := &http.Server{
			ConnContext: port.Context,
			ConnState: func(connection net.Conn, state http.ConnState) {
				port.Track(connection, state)
				if state == http.StateClosed {
					close(ended)
				}
			},
			Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { handleFuzzed(t, bodies, r) }),
		}
		go func() { _ = server.Serve(port) }() // The listener ends it.
		go func() { _, _ = io.Copy(io.Discard, theirs) }()
		for len(sent) > 0 {
			count := min(piece, len(sent))
			if _, err := theirs.Write(sent[:count]); err != nil {
				break // The server has closed the connection.
			}
			sent = sent[count:]
		}
		_ = theirs.Close() // Never fails.
		<-ended
		if held, open := ports.HeldByHeads(), ports.Open()["fuzz"]; held != 0 || open != 0 || bodies.Held() != 0 {
			t.Fatalf("%d bytes of heads, %d of bodies and %d connections are held", held, bodies.Held(), open)
		}
	})
}

// uncountedFields are those of a byte that net/http reads on its own while a request is handled.
const uncountedFields = 2

func handleFuzzed(t *testing.T, bodies *Bodies, r *http.Request) {
	connection := ConnectionOf(r.Context())
	if !connection.ReadBody(r.ContentLength) {
		panic(http.ErrAbortHandler)
	}
	fields := 0
	for _, values := range r.Header {
		fields += len(values)
	}
	connection.port.ports.mu.Lock()
	held := connection.held
	connection.port.ports.mu.Unlock()
	if need := int64(fields-uncountedFields) * headFieldBytes; need > freeHeadBytes && held < need {
		t.Errorf("a head of %d fields holds %d bytes", fields, held)
	}
	_, release, err := bodies.Read(r.Body, 1000)
	defer release()
	if err != nil || !connection.Serve() {
		panic(http.ErrAbortHandler)
	}
	connection.Answer()
}

// pipeListener accepts one connection, and then returns an error.
type pipeListener struct {
	accepted net.Conn
}

// Accept returns the connection.
func (l *pipeListener) Accept() (net.Conn, error) {
	accepted := l.accepted
	l.accepted = nil
	if accepted == nil {
		return nil, net.ErrClosed
	}
	return accepted, nil
}

// Close does nothing.
func (l *pipeListener) Close() error { return nil }

// Addr returns no address.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
