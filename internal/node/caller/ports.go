package caller

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Closure names why a caller's connection was closed.
type Closure string

// The reasons for closing a connection.
const (
	ClosedIdle       Closure = "idle"       // Another connection needed its place; it had no request.
	ClosedUnfinished Closure = "unfinished" // The same; its request was not complete.
	ClosedUntaken    Closure = "untaken"    // The same; its caller took no part of an answer for untakenTime.
	ClosedNew        Closure = "new"        // All others had requests that run.
	ClosedHead       Closure = "head"       // Heads needed memory; its request was not complete and its head the largest.
	ClosedNoMemory   Closure = "noMemory"   // Its head needed memory, and all others were complete.
	ClosedSlowHead   Closure = "slowHead"   // Its head was not complete in time.
	ClosedNotRead    Closure = "notRead"    // Its caller took no part of an answer for a long time.
)

const (
	// headFieldBytes and headByteFactor estimate the memory of a parsed head, with the copies that
	// are made to forward it.
	headFieldBytes = 256
	headByteFactor = 2
	// freeHeadBytes is the estimate up to which a head needs no part of the limit. It is part of
	// ConnectionBytes.
	freeHeadBytes = 8 << 10
	// ConnectionBytes estimates the memory of a connection: stack, buffers, a small head and body.
	ConnectionBytes = 32 << 10
	// headSlack is added to the limit of the time for a head, for its way.
	headSlack = time.Second
	// notReadTimeout is how long a caller may take no part of an answer.
	notReadTimeout = time.Minute
	// untakenTime is how long a caller has taken no part of an answer when its connection may be
	// closed for another one.
	untakenTime = time.Second
	// writeChunkBytes is the largest part of an answer that counts as one step of progress.
	writeChunkBytes = 32 << 10
	// refusalWriteTimeout bounds the write of a refusal, which fits into an empty send buffer.
	refusalWriteTimeout = 20 * time.Millisecond
)

// refusal answers a request whose head has not been parsed for lack of memory.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// phase is what a connection waits for.
type phase int

const (
	phaseIdle    phase = iota // The first byte of a request.
	phaseHead                 // The rest of a head.
	phaseBody                 // The rest of a body.
	phaseServing              // A server, or the peer of an upgraded connection.
	phaseAnswer               // The caller, which has not taken the whole answer; no server is involved.
	phaseEnded                // The caller's end of the connection.
)

// Ports bounds the connections of a VM's listeners and the memory of the heads of requests. It is
// safe for concurrent use.
type Ports struct {
	now       func() time.Time
	headBytes int64

	mu     sync.Mutex
	held   int64 // By heads.
	ports  []*Port
	closed map[string]map[Closure]int // By name of the port, since Closed was called.
}

// NewPorts creates a Ports with a limit of the memory of all heads, in bytes.
func NewPorts(now func() time.Time, headBytes int64) *Ports {
	return &Ports{now: now, headBytes: headBytes, closed: map[string]map[Closure]int{}}
}

// Port is one listener. Its connections make room for each other, not for those of other ports.
type Port struct {
	net.Listener
	Name string

	ports *Ports
	limit int
	open  map[*Connection]struct{} // Guarded by ports.mu.
}

// Listen bounds the connections of a listener.
func (p *Ports) Listen(listener net.Listener, name string, connections int) *Port {
	port := &Port{Listener: listener, Name: name, ports: p, limit: connections, open: map[*Connection]struct{}{}}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ports = append(p.ports, port)
	return port
}

// HeldByHeads returns the memory that heads hold, in bytes.
func (p *Ports) HeldByHeads() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}

// Open returns the number of connections by the name of their port.
func (p *Ports) Open() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := map[string]int{}
	for _, port := range p.ports {
		open[port.Name] = len(port.open)
	}
	return open
}

// Closed returns how many connections were closed since the last call, by port and reason.
func (p *Ports) Closed() (closed map[string]map[Closure]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	closed = p.closed
	p.closed = map[string]map[Closure]int{}
	return closed
}

// Sweep closes connections whose head has not been complete for longer than headLimit, 0 for no limit,
// and those whose caller has taken no part of an answer for notReadTimeout.
func (p *Ports) Sweep(headLimit time.Duration) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, port := range p.ports {
		for c := range port.open {
			switch {
			case c.phase == phaseHead && headLimit > 0 && now.Sub(c.since) > headLimit+headSlack:
				c.end(ClosedSlowHead)
			case !c.writingSince.IsZero() && now.Sub(c.writingSince) > notReadTimeout:
				c.end(ClosedNotRead)
			}
		}
	}
}

// Accept returns the next connection. Beyond the limit the least deserving one is closed.
func (p *Port) Accept() (net.Conn, error) {
	for {
		accepted, err := p.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Connection{Conn: accepted, port: p, since: p.ports.now()}
		if p.admit(c) {
			return c, nil
		}
		_ = accepted.Close() // The caller may already have closed it.
	}
}

func (p *Port) admit(c *Connection) (admitted bool) {
	p.ports.mu.Lock()
	defer p.ports.mu.Unlock()
	if len(p.open) >= p.limit {
		victim, reason := p.leastDeserving()
		if victim == nil {
			p.count(ClosedNew)
			return false
		}
		victim.end(reason)
	}
	p.open[c] = struct{}{}
	return true
}

// leastDeserving returns the connection that makes room for another: the one that has been idle for
// longest, or else that has taken longest to send a request, or else to take an answer. One whose
// request is with a server makes no room.
func (p *Port) leastDeserving() (victim *Connection, reason Closure) {
	untakenSince := p.ports.now().Add(-untakenTime)
	ranks := []struct {
		reason Closure
		holds  func(c *Connection) bool
	}{
		{ClosedIdle, func(c *Connection) bool { return c.phase == phaseIdle || c.phase == phaseEnded }},
		{ClosedUnfinished, func(c *Connection) bool { return c.phase == phaseHead || c.phase == phaseBody }},
		{ClosedUntaken, func(c *Connection) bool {
			return c.phase == phaseAnswer && !c.writingSince.IsZero() && c.writingSince.Before(untakenSince)
		}},
	}
	for _, rank := range ranks {
		for c := range p.open {
			if rank.holds(c) && (victim == nil || c.since.Before(victim.since)) {
				victim = c
			}
		}
		if victim != nil {
			return victim, rank.reason
		}
	}
	return nil, ""
}

// count counts a closed connection. The lock is held.
func (p *Port) count(reason Closure) {
	if p.ports.closed[p.Name] == nil {
		p.ports.closed[p.Name] = map[Closure]int{}
	}
	p.ports.closed[p.Name][reason]++
}

// Track is the ConnState hook of the port's http.Server.
func (p *Port) Track(connection net.Conn, state http.ConnState) {
	c, isPlain := connection.(*Connection)
	if encrypted, ok := connection.(*tls.Conn); ok {
		c, _ = encrypted.NetConn().(*Connection)
	}
	switch {
	case c == nil:
		return
	case state == http.StateIdle:
		c.awaitRequest()
	case state == http.StateHijacked, state == http.StateActive && !isPlain:
		c.upgrade()
	}
}

type contextKey struct{}

// Context is the ConnContext hook of the port's http.Server.
func (p *Port) Context(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, connection)
}

// ConnectionOf returns the connection of a request, nil if no Port accepted it or it is encrypted: several
// requests may share such a connection.
func ConnectionOf(ctx context.Context) *Connection {
	c, _ := ctx.Value(contextKey{}).(*Connection)
	return c
}

// Handler wraps a handler that answers without a server.
func (p *Port) Handler(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		connection := ConnectionOf(r.Context())
		if !connection.ReadBody(r.ContentLength) || !connection.Answer() {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	})
}

// Connection is one connection of a caller. Methods that begin a phase do nothing on a nil
// Connection.
type Connection struct {
	net.Conn
	port *Port

	// Guarded by port.ports.mu.
	phase        phase
	since        time.Time // When the phase began.
	head         headCounter
	held         int64       // Of the memory for heads.
	unsorted     []byte      // What was read together with a head, before the length of its body is known.
	framing      bodyFraming // Of the request whose head was read last.
	isUpgraded   bool        // What it carries is not read as heads and bodies.
	writingSince time.Time   // The last progress of the write that is waiting; zero if none is.
	isClosed     bool
}

// Read counts heads as they arrive, before they are parsed.
func (c *Connection) Read(to []byte) (count int, err error) {
	if count, err = c.Conn.Read(to); count == 0 {
		return count, err
	}
	if c.countHead(to[:count]) {
		return count, err
	}
	_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTimeout)) // The refusal is sent if possible.
	_, _ = c.Conn.Write([]byte(refusal))
	_ = c.Close()
	return 0, net.ErrClosed
}

// countHead counts what has been read of heads. It returns false if there is no memory for them.
func (c *Connection) countHead(read []byte) (accepted bool) {
	c.port.ports.mu.Lock()
	defer c.port.ports.mu.Unlock()
	switch c.phase {
	case phaseIdle:
		c.begin(phaseHead)
		c.unsorted = append(c.unsorted, c.head.add(read)...)
		return c.takeHeads()
	case phaseHead:
		c.unsorted = append(c.unsorted, c.head.add(read)...)
		return c.takeHeads()
	default:
		c.countAhead(read)
		return true
	}
}

// countAhead counts what has been read after the head of a request: the rest of its body, and heads
// that follow. The memory for these is taken when the request has been answered. The lock is held.
func (c *Connection) countAhead(read []byte) {
	if c.isUpgraded {
		return
	}
	following := c.framing.skip(read)
	if len(following) == 0 {
		return
	}
	earlier := c.head.largest
	c.head.addAll(following)
	c.head.largest = max(c.head.largest, earlier)
	c.head.ahead = int64(len(following))
}

// takeHeads takes the memory for the heads that were read. The lock is held.
func (c *Connection) takeHeads() (taken bool) {
	p := c.port.ports
	need := c.head.cost()
	if need <= freeHeadBytes {
		need = 0
	}
	for need > c.held && p.held+need-c.held > p.headBytes {
		largest := p.largestUnfinished()
		if largest == nil || largest == c || largest.held <= c.held {
			c.port.count(ClosedNoMemory)
			return false
		}
		largest.end(ClosedHead)
	}
	p.held += need - c.held
	c.held = need
	return true
}

// largestUnfinished returns the connection whose request is not complete and whose head holds most, of
// equal ones the one that began first. The lock is held.
func (p *Ports) largestUnfinished() (largest *Connection) {
	for _, port := range p.ports {
		for c := range port.open {
			if (c.phase != phaseHead && c.phase != phaseBody) || c.held == 0 {
				continue
			}
			if largest == nil || c.held > largest.held || (c.held == largest.held && c.since.Before(largest.since)) {
				largest = c
			}
		}
	}
	return largest
}

// Write records how long the caller has taken no part of an answer.
func (c *Connection) Write(answer []byte) (written int, err error) {
	defer c.setWriting(false)
	for chunk := range slices.Chunk(answer, writeChunkBytes) {
		c.setWriting(true)
		count, err := c.Conn.Write(chunk)
		written += count
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

func (c *Connection) setWriting(isWriting bool) {
	c.port.ports.mu.Lock()
	defer c.port.ports.mu.Unlock()
	c.writingSince = time.Time{}
	if isWriting {
		c.writingSince = c.port.ports.now()
	}
}

// IsGone reports whether the caller has closed the connection, as the kernel knows it: an http.Server
// learns it from a goroutine of its own, which may run late.
func (c *Connection) IsGone() bool {
	if c == nil {
		return false
	}
	withSyscalls, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := withSyscalls.SyscallConn()
	if err != nil {
		return false
	}
	gone := false
	// Control, unlike Read, does not wait for the http.Server's own read.
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		count, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		gone = count == 0 && peekErr == nil || peekErr != nil && peekErr != syscall.EAGAIN && peekErr != syscall.EINTR
	})
	return gone || err != nil
}

// CloseWrite closes the connection for writing.
func (c *Connection) CloseWrite() error {
	c.enter(phaseEnded)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close closes the connection and returns what it holds.
func (c *Connection) Close() error {
	c.port.ports.mu.Lock()
	c.leave()
	c.port.ports.mu.Unlock()
	return c.Conn.Close()
}

// end closes the connection for a reason. The lock is held.
func (c *Connection) end(reason Closure) {
	c.port.count(reason)
	c.leave()
	_ = c.Conn.Close() // The caller may already have closed it.
}

// leave returns what the connection holds. The lock is held.
func (c *Connection) leave() {
	c.isClosed = true
	c.port.ports.held -= c.held
	c.held = 0
	delete(c.port.open, c)
}

// ReadBody begins the phase in which the body of a request is read, whose length is -1 if it is not
// known. It returns false if the connection was closed: the request is not to be handled.
func (c *Connection) ReadBody(length int64) (open bool) {
	if c == nil {
		return true
	}
	c.port.ports.mu.Lock()
	defer c.port.ports.mu.Unlock()
	c.begin(phaseBody)
	c.framing = newBodyFraming(length)
	if c.unsorted != nil {
		c.head = headCounter{largest: c.head.largest}
		c.countAhead(c.unsorted)
		c.unsorted = nil
	}
	return !c.isClosed
}

// Serve begins the phase in which a request is with a server. It returns false if the connection was
// closed: the request is not to be passed on.
func (c *Connection) Serve() (open bool) {
	return c.enter(phaseServing)
}

// Answer begins the phase in which an answer is sent. It returns false if the connection was closed.
func (c *Connection) Answer() (open bool) {
	return c.enter(phaseAnswer)
}

func (c *Connection) enter(next phase) (open bool) {
	if c == nil {
		return true
	}
	c.port.ports.mu.Lock()
	defer c.port.ports.mu.Unlock()
	c.begin(next)
	return !c.isClosed
}

// begin begins a phase. The lock is held.
func (c *Connection) begin(next phase) {
	c.phase, c.since = next, c.port.ports.now()
}

// awaitRequest begins the idle phase and returns the memory of the request's head. Heads that have
// been read ahead need memory instead.
func (c *Connection) awaitRequest() {
	c.port.ports.mu.Lock()
	defer c.port.ports.mu.Unlock()
	c.begin(phaseIdle)
	c.isUpgraded = false
	if c.unsorted != nil { // Its handler has asked for no body.
		c.head.addAll(c.unsorted)
		c.head.ahead, c.unsorted = int64(len(c.unsorted)), nil
	}
	if c.head.ahead == 0 {
		c.head = headCounter{}
	}
	if !c.takeHeads() {
		c.leave()
		_ = c.Conn.Close() // The caller may already have closed it.
	}
}

func (c *Connection) upgrade() {
	c.port.ports.mu.Lock()
	defer c.port.ports.mu.Unlock()
	c.begin(phaseServing)
	c.isUpgraded = true
}
