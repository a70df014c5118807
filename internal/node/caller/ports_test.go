package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/node/caller"
)

// portRig serves a port whose clock the test advances. Requests for /slow are with a server until
// finish is closed. Requests for /body are announced before their bodies are read.
type portRig struct {
	t      *testing.T
	ports  *caller.Ports
	port   *caller.Port
	serves chan string // Paths of requests that are with a server.
	finish chan struct{}
	end    func()       // Closes finish.
	idle   atomic.Int64 // How often a connection has become idle.

	mu  sync.Mutex
	now time.Time
}

func newPortRig(t *testing.T, connections int, headBytes int64) *portRig {
	r := &portRig{t: t, now: time.Unix(1000, 0), serves: make(chan string, 10), finish: make(chan struct{})}
	r.ports = caller.NewPorts(func() time.Time { r.mu.Lock(); defer r.mu.Unlock(); return r.now }, headBytes)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	r.port = r.ports.Listen(listener, "test", connections)
	server := &http.Server{Handler: http.HandlerFunc(r.serve), ConnState: r.track, ConnContext: r.port.Context, MaxHeaderBytes: 1 << 20}
	go func() { _ = server.Serve(r.port) }() // Returns when the server is closed.
	t.Cleanup(func() { _ = server.Close() })
	r.end = sync.OnceFunc(func() { close(r.finish) })
	t.Cleanup(r.end)
	return r
}

func (r *portRig) track(connection net.Conn, state http.ConnState) {
	r.port.Track(connection, state)
	if state == http.StateIdle {
		r.idle.Add(1)
	}
}

func (r *portRig) serve(w http.ResponseWriter, request *http.Request) {
	connection := caller.ConnectionOf(request.Context())
	if !connection.ReadBody(request.ContentLength) {
		panic(http.ErrAbortHandler)
	}
	if request.URL.Path == "/body" {
		r.serves <- request.URL.Path
	}
	_, err := io.Copy(io.Discard, request.Body)
	if err != nil || !connection.Serve() {
		panic(http.ErrAbortHandler)
	}
	if request.URL.Path == "/slow" {
		r.serves <- request.URL.Path
		<-r.finish
	}
	connection.Answer()
	_, _ = io.WriteString(w, "answer") // Fails only if the caller has disconnected.
}

// advance has time pass.
func (r *portRig) advance(by time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.now = r.now.Add(by)
}

// client is a caller's end of a connection.
type client struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

// connect opens a connection and sends text. It waits until the port has accepted it.
func (r *portRig) connect(text string) *client {
	r.advance(time.Millisecond)
	connection, err := net.Dial("tcp", r.port.Addr().String())
	qt.Assert(r.t, err, qt.IsNil)
	r.t.Cleanup(func() { _ = connection.Close() })
	c := &client{connection, r.t, bufio.NewReader(connection)}
	c.send(text)
	return c
}

func (c *client) send(text string) {
	_, err := io.WriteString(c, text)
	qt.Assert(c.t, err, qt.IsNil)
}

// status returns the status of the next answer, or "closed".
func (c *client) status() string {
	qt.Assert(c.t, c.SetReadDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		var timeout net.Error
		qt.Assert(c.t, errors.As(err, &timeout) && timeout.Timeout(), qt.IsFalse)
		return "closed"
	}
	_, _ = io.Copy(io.Discard, response.Body) // Its end is not of interest.
	return response.Status
}

// waitFor waits until a condition holds.
func (r *portRig) waitFor(what string, holds func() bool) {
	r.t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("never: %s", what)
		}
	}
}

func (r *portRig) waitOpen(count int) {
	r.t.Helper()
	r.waitFor(fmt.Sprint(count, " connections are open"), func() bool { return r.ports.Open()["test"] == count })
}

const getSlow = "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"

// TestCallerThatLeftIsGoneAtOnce: a handler need not wait until the http.Server tells it.
func TestCallerThatLeftIsGoneAtOnce(t *testing.T) {
	for _, leave := range []struct {
		name  string
		close func(c *net.TCPConn) error
	}{
		{"closes", (*net.TCPConn).Close},
		{"resets", func(c *net.TCPConn) error { _ = c.SetLinger(0); return c.Close() }},
	} {
		t.Run(leave.name, func(t *testing.T) {
			r := newPortRig(t, 4, 1<<20)
			left := make(chan bool)
			server := &http.Server{ConnContext: r.port.Context, Handler: http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
				left <- caller.ConnectionOf(request.Context()).IsGone()
				<-left
				left <- caller.ConnectionOf(request.Context()).IsGone()
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
			qt.Assert(t, <-left, qt.IsFalse)
			qt.Assert(t, leave.close(connection.(*net.TCPConn)), qt.IsNil)
			left <- true
			qt.Assert(t, <-left, qt.IsTrue)
		})
	}
}

// TestLeastDeservingConnectionMakesRoom opens a connection of each kind, and one more after another.
func TestLeastDeservingConnectionMakesRoom(t *testing.T) {
	r := newPortRig(t, 4, 1<<20)
	served := r.connect(getSlow)
	<-r.serves
	unfinished := r.connect(manyFields("/", 100))
	r.waitFor("the head is counted", func() bool { return r.ports.HeldByHeads() > 0 })
	idle := r.connect("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	qt.Assert(t, idle.status(), qt.Equals, "200 OK")
	r.waitFor("it is idle", func() bool { return r.idle.Load() == 1 })
	silent := r.connect("")
	r.waitOpen(4)

	r.connect(getSlow)
	<-r.serves
	qt.Assert(t, idle.status(), qt.Equals, "closed")
	r.connect(getSlow)
	<-r.serves
	qt.Assert(t, silent.status(), qt.Equals, "closed")
	r.connect(getSlow)
	<-r.serves
	qt.Assert(t, unfinished.status(), qt.Equals, "closed")
	qt.Assert(t, r.connect("").status(), qt.Equals, "closed")
	qt.Assert(t, r.ports.Closed(), qt.DeepEquals, map[string]map[caller.Closure]int{
		"test": {caller.ClosedIdle: 2, caller.ClosedUnfinished: 1, caller.ClosedNew: 1},
	})
	r.end()
	qt.Assert(t, served.status(), qt.Equals, "200 OK")
}

// manyFields is the beginning of a head with count fields.
func manyFields(path string, count int) string {
	return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("b:\r\n", count)
}

// TestLargestUnfinishedHeadMakesRoom sends heads of 300 fields or less, which need up to 79,000 bytes
// of the 120,000 that there are.
func TestLargestUnfinishedHeadMakesRoom(t *testing.T) {
	r := newPortRig(t, 10, 120_000)
	large := r.connect(manyFields("/", 300))
	r.waitFor("the head is counted", func() bool { return r.ports.HeldByHeads() > 70_000 })
	qt.Assert(t, r.connect(manyFields("/slow", 200)+"\r\n"), qt.IsNotNil)
	<-r.serves
	qt.Assert(t, large.status(), qt.Equals, "closed")
	refused := r.connect(manyFields("/", 300) + "\r\n")
	qt.Assert(t, refused.status(), qt.Equals, "503 Service Unavailable")
	qt.Assert(t, r.connect("GET / HTTP/1.1\r\nHost: a\r\n\r\n").status(), qt.Equals, "200 OK") // Small heads need none.
	r.end()
	r.waitFor("answered requests hold nothing", func() bool { return r.ports.HeldByHeads() == 0 })
	qt.Assert(t, r.ports.Closed(), qt.DeepEquals, map[string]map[caller.Closure]int{
		"test": {caller.ClosedHead: 1, caller.ClosedNoMemory: 1},
	})
}

// TestHeadsThatAreSentAheadCount guards against heads that are not counted because they were read
// together with the one before.
func TestHeadsThatAreSentAheadCount(t *testing.T) {
	r := newPortRig(t, 10, 10_000)
	c := r.connect("GET / HTTP/1.1\r\nHost: a\r\n\r\n" + manyFields("/", 300))
	qt.Assert(t, c.status(), qt.Equals, "503 Service Unavailable")
	c = r.connect("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 30\r\n\r\n" + strings.Repeat("\n", 30) + "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	qt.Assert(t, c.status(), qt.Equals, "200 OK")
	qt.Assert(t, c.status(), qt.Equals, "200 OK")
	r.waitFor("nothing is held", func() bool { return r.ports.HeldByHeads() == 0 })
}

// TestHeadsThatAreReadWithABodyCount is the same for a head that is read together with the body of the
// request before.
func TestHeadsThatAreReadWithABodyCount(t *testing.T) {
	r := newPortRig(t, 10, 10_000)
	c := r.connect("POST /body HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n")
	<-r.serves
	c.send("abc" + manyFields("/", 300) + "\r\n")
	qt.Assert(t, c.status(), qt.Equals, "200 OK")
	qt.Assert(t, c.status(), qt.Equals, "closed")
	qt.Assert(t, r.ports.Closed(), qt.DeepEquals, map[string]map[caller.Closure]int{"test": {caller.ClosedNoMemory: 1}})
	qt.Assert(t, r.ports.HeldByHeads(), qt.Equals, int64(0))
}

// TestOverdueConnectionsAreClosed uses a fake clock.
func TestOverdueConnectionsAreClosed(t *testing.T) {
	r := newPortRig(t, 10, 1<<20)
	slow := r.connect(manyFields("/", 100))
	r.waitFor("the head is counted", func() bool { return r.ports.HeldByHeads() > 0 })
	served := r.connect(getSlow)
	<-r.serves
	r.waitOpen(2)
	r.advance(5 * time.Second)
	r.ports.Sweep(5 * time.Second)
	qt.Assert(t, r.ports.Open(), qt.DeepEquals, map[string]int{"test": 2})
	r.ports.Sweep(3 * time.Second)
	qt.Assert(t, slow.status(), qt.Equals, "closed")
	r.end()
	qt.Assert(t, served.status(), qt.Equals, "200 OK")
}

// TestAnswerThatIsNotReadIsClosed writes to a caller that reads nothing.
func TestAnswerThatIsNotReadIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ports := caller.NewPorts(time.Now, 1<<20)
		ours, theirs := net.Pipe()
		port := ports.Listen(&oneConnection{ours}, "test", 1)
		accepted, err := port.Accept()
		qt.Assert(t, err, qt.IsNil)
		ended := make(chan error, 1)
		go func() {
			_, err := accepted.Write(make([]byte, 100_000))
			ended <- err
		}()
		time.Sleep(40 * time.Second)
		_, err = io.ReadFull(theirs, make([]byte, 40_000)) // Progress.
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(40 * time.Second)
		ports.Sweep(0)
		synctest.Wait()
		qt.Assert(t, ports.Open()["test"], qt.Equals, 1)
		time.Sleep(40 * time.Second)
		ports.Sweep(0)
		qt.Assert(t, <-ended, qt.IsNotNil)
		qt.Assert(t, ports.Open()["test"], qt.Equals, 0)
	})
}

// oneConnection is a listener that accepts one connection at once.
type oneConnection struct{ net.Conn }

// Accept returns the connection.
func (o *oneConnection) Accept() (net.Conn, error) { return o.Conn, nil }

// Addr returns the address of the connection.
func (o *oneConnection) Addr() net.Addr { return o.LocalAddr() }

// TestRequestOfClosedConnectionIsNotPassedOn closes a connection between its head and its handler.
func TestRequestOfClosedConnectionIsNotPassedOn(t *testing.T) {
	ports := caller.NewPorts(time.Now, 1<<20)
	ours, _ := net.Pipe()
	port := ports.Listen(&oneConnection{ours}, "test", 1)
	first, err := port.Accept()
	qt.Assert(t, err, qt.IsNil)
	connection := caller.ConnectionOf(port.Context(context.Background(), first))
	qt.Assert(t, connection.ReadBody(0), qt.IsTrue)
	qt.Assert(t, first.Close(), qt.IsNil)
	qt.Assert(t, connection.Serve(), qt.IsFalse)
	var unknown *caller.Connection
	qt.Assert(t, unknown.Serve(), qt.IsTrue)
}

// TestStalledBodyMakesRoom uses a fake clock: a body takes the memory of one that makes no progress,
// but not of one that does.
func TestStalledBodyMakesRoom(t *testing.T) {
	now := time.Unix(1000, 0)
	mu := sync.Mutex{}
	bodies := caller.NewBodies(30_000)
	bodies.Now = func() time.Time { mu.Lock(); defer mu.Unlock(); return now }
	from, stalling := io.Pipe()
	ended := make(chan error, 1)
	go func() {
		_, release, err := bodies.ReadFrom(caller.Body{From: from, Limit: 16_000, Stop: func() { _ = from.CloseWithError(io.ErrClosedPipe); _ = stalling.CloseWithError(io.ErrUnexpectedEOF) }})
		release()
		ended <- err
	}()
	_, err := stalling.Write(make([]byte, 9000))
	qt.Assert(t, err, qt.IsNil)
	read := func() error {
		_, release, err := bodies.Read(strings.NewReader(strings.Repeat("a", 9000)), 16_000)
		release()
		return err
	}
	qt.Assert(t, errors.Is(read(), caller.ErrNoMemory), qt.IsTrue)
	mu.Lock()
	now = now.Add(2 * time.Second)
	mu.Unlock()
	qt.Assert(t, read(), qt.IsNil)
	qt.Assert(t, errors.Is(<-ended, caller.ErrStalled), qt.IsTrue)
	qt.Assert(t, bodies.Held(), qt.Equals, int64(0))
}

// TestPortsTakeTheirPartOfMemoryAndDescriptors has VMs of 64 MB.
func TestPortsTakeTheirPartOfMemoryAndDescriptors(t *testing.T) {
	part := caller.Part{Name: "test", Descriptors: 0.25, Memory: 0.5}
	qt.Check(t, part.Connections(64<<20, 0), qt.Equals, 1024)
	qt.Check(t, part.Connections(64<<20, 1200), qt.Equals, 250)
	qt.Check(t, part.Connections(64<<20, 210), qt.Equals, 8)
}

// TestBodiesOfHandlersShareTheLimit uses two handlers, one of which holds its body.
func TestBodiesOfHandlersShareTheLimit(t *testing.T) {
	bodies := caller.NewBodies(30_000)
	holds, finish := make(chan bool), make(chan bool)
	server := httptest.NewServer(caller.BodyHandler(bodies, time.Minute, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := caller.ReadAll(r, 10_000)
		if r.URL.Path == "/hold" {
			holds <- true
			<-finish
		}
		_, _ = fmt.Fprint(w, len(body), " ", errors.Cause(err)) // Fails only if the caller has disconnected.
	})))
	defer server.Close()
	post := func(path string, length int) string {
		response, err := http.Post(server.URL+path, "text/plain", strings.NewReader(strings.Repeat("a", length)))
		qt.Assert(t, err, qt.IsNil)
		defer response.Body.Close()
		answer, err := io.ReadAll(response.Body)
		qt.Assert(t, err, qt.IsNil)
		return string(answer)
	}
	qt.Assert(t, post("/", 10_000), qt.Equals, "10000 <nil>")
	qt.Assert(t, post("/", 10_001), qt.Equals, "0 "+caller.ErrTooLong.Error())
	qt.Assert(t, post("/", 0), qt.Equals, "0 <nil>")
	held := make(chan string)
	go func() { held <- post("/hold", 10_000) }()
	<-holds
	go func() { held <- post("/hold", 10_000) }()
	<-holds
	qt.Assert(t, post("/", 10_000), qt.Equals, "0 "+caller.ErrNoMemory.Error())
	close(finish)
	qt.Assert(t, <-held, qt.Equals, "10000 <nil>")
	qt.Assert(t, <-held, qt.Equals, "10000 <nil>")
	qt.Assert(t, bodies.Held(), qt.Equals, int64(0))

	body, err := caller.ReadAll(httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("a", 10_000))), 10_000)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body, qt.HasLen, 10_000)
}

// TestBodiesDoNotCountAsHeads guards against bodies of many short lines that need memory meant for heads,
// of which there is less than they would need. Each is sent in one piece with its head, and after it.
func TestBodiesDoNotCountAsHeads(t *testing.T) {
	lines := strings.Repeat("a\n", 300)
	chunks := strings.Repeat(fmt.Sprintf("%x;b=c\r\n%s\r\n", len(lines), lines), 20)
	bodies := []struct{ name, head, body string }{
		{"length", fmt.Sprintf("Content-Length: %d\r\n\r\n", len(lines)), lines},
		{"chunks", "Transfer-Encoding: chunked\r\n\r\n", chunks + "0\r\n\r\n"},
		{"trailers", "Transfer-Encoding: chunked\r\nTrailer: D\r\n\r\n", chunks + "0\r\nD: e\r\n\r\n"},
	}
	next := "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	for _, b := range bodies {
		t.Run(b.name, func(t *testing.T) {
			r := newPortRig(t, 10, 10_000)
			head := "POST / HTTP/1.1\r\nHost: a\r\n" + b.head
			c := r.connect(head + b.body)
			qt.Assert(t, c.status(), qt.Equals, "200 OK")
			r.waitFor("it is idle", func() bool { return r.idle.Load() == 1 })
			qt.Assert(t, r.ports.HeldByHeads(), qt.Equals, int64(0))
			c.send(strings.Replace(head, "/", "/body", 1))
			<-r.serves
			c.send(b.body + next + next)
			for range 3 {
				qt.Assert(t, c.status(), qt.Equals, "200 OK")
			}
			qt.Assert(t, r.ports.Closed(), qt.DeepEquals, map[string]map[caller.Closure]int{})
		})
	}
}

// TestHeadsThatFollowChunksCount guards against heads that are not counted because they were read together
// with a body whose length is not known.
func TestHeadsThatFollowChunksCount(t *testing.T) {
	for _, trailer := range []string{"", "Trailer: B\r\n"} {
		r := newPortRig(t, 10, 10_000)
		body := "3\r\nabc\r\n0\r\n" + strings.Replace(trailer, "Trailer: B", "B: c", 1) + "\r\n"
		head := "POST /body HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n" + trailer + "\r\n"
		c := r.connect(head)
		<-r.serves
		c.send(body + manyFields("/", 300) + "\r\n")
		qt.Assert(t, c.status(), qt.Equals, "200 OK")
		qt.Assert(t, c.status(), qt.Equals, "closed")
		qt.Assert(t, r.ports.Closed(), qt.DeepEquals, map[string]map[caller.Closure]int{"test": {caller.ClosedNoMemory: 1}})
		qt.Assert(t, r.ports.HeldByHeads(), qt.Equals, int64(0))
	}
}
