// Package caller bounds the resources that callers use on a VM: connections, memory for the heads
// and bodies of requests, memory for what servers send, and the time that connections are idle.
//
// # Usage
//
//	bodies := caller.NewBodies(limitBytes)
//	body, release, err := bodies.Read(request.Body, maxBytes) // errors.Is(err, caller.ErrNoMemory)
//	defer release()
//	if err := bodies.Take(size); err == nil { defer bodies.Return(size) } // Memory of another kind.
//
//	body, release, err := bodies.ReadFrom(caller.Body{From: request.Body, Limit: maxBytes, Stop: stop})
//
//	ports := caller.NewPorts(time.Now, headBytes)
//	port := ports.Listen(listener, "callers", maxConnections)
//	server := &http.Server{Handler: port.Handler(handler), ConnState: port.Track, ConnContext: port.Context}
//	go server.Serve(port)
//
//	connections := caller.NewConnections(time.Now)
//	server := &http.Server{ConnState: connections.Track, ...}
//	connections.CloseIdle(limit) // Call it periodically.
package caller

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const (
	// ErrNoMemory means that the limit of the memory for all bodies is reached.
	ErrNoMemory = errors.ConstError("the bodies of other requests take all the room there is")
	// ErrStalled means that other bodies needed the memory of a body that made no progress.
	ErrStalled = errors.ConstError("the body made no progress, and others needed its memory")
	// ErrTooLong means that a body is longer than allowed.
	ErrTooLong = errors.ConstError("the body is too long")
)

// firstBufferBytes is the size of the buffer that a body is read into at first. It doubles when it
// is full.
const firstBufferBytes = 512

const (
	// stallTime is how long a body has made no progress when others may take its memory.
	stallTime = time.Second
	// progressBytes is the least that a body has to grow within stallTime.
	progressBytes = 4 << 10
)

// Bodies bounds the total memory of bodies, of callers' requests or of servers' answers. It is safe
// for concurrent use.
type Bodies struct {
	// FreeBytes is the size of a buffer up to which it does not count, so that small bodies
	// can be read when others use up the limit. It is set before the first use.
	FreeBytes int64
	// Now is the clock. It is set before the first use.
	Now func() time.Time

	limit int64
	held  atomic.Int64

	mu       sync.Mutex
	readings map[*reading]struct{} // Those that can be stopped.
}

// Body is a body that is to be read, of at most Limit bytes. Stop, if set, makes From return an error
// soon. It is called when other bodies need the memory and this one makes no progress.
type Body struct {
	From  io.Reader
	Limit int64
	Stop  func()
}

// reading is a body that is being read. Its fields are guarded by Bodies.mu.
type reading struct {
	stop         func()
	held         int64
	length       int       // At the last progress.
	progressedAt time.Time // When it was progressBytes longer than at the progress before.
	isStopped    bool
}

// NewBodies creates a Bodies with a limit in bytes.
func NewBodies(limit int64) *Bodies {
	return &Bodies{limit: limit, Now: time.Now, readings: map[*reading]struct{}{}}
}

// Held returns the memory that is in use, in bytes.
func (b *Bodies) Held() int64 {
	return b.held.Load()
}

// Take takes memory for something else than a body, unless the limit is reached. It is to be taken
// before it is used.
func (b *Bodies) Take(size int64) error {
	if b.held.Add(size) > b.limit {
		b.held.Add(-size)
		return ErrNoMemory
	}
	return nil
}

// Return returns memory that Take took.
func (b *Bodies) Return(size int64) {
	b.held.Add(-size)
}

// Read reads a body of at most limit bytes, as ReadFrom does, that can't be stopped.
func (b *Bodies) Read(from io.Reader, limit int64) (body []byte, release func(), err error) {
	return b.ReadFrom(Body{From: from, Limit: limit})
}

// ReadFrom reads a body. The buffers that it is read into count, not its Content-Length, so that a
// caller who announces much and sends little takes no memory. If there is none, it takes that of the
// body that has made no progress for longest. Release returns the memory to the limit once; it is
// never nil.
func (b *Bodies) ReadFrom(source Body) (body []byte, release func(), err error) {
	r := &reading{stop: source.Stop, progressedAt: b.Now()}
	release = sync.OnceFunc(func() { _ = b.resize(r, 0) }) // Needs no memory, so it can't fail.
	if source.Stop != nil {
		b.add(r)
		defer b.remove(r)
	}
	for {
		if len(body) == cap(body) {
			if body, err = b.grow(r, body, source.Limit+1); err != nil {
				return body, release, errors.Trace(err)
			}
		}
		count, err := source.From.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		switch {
		case int64(len(body)) > source.Limit:
			return body, release, errors.Trace(ErrTooLong)
		case err != nil && b.wasStopped(r):
			return body, release, errors.Trace(ErrStalled)
		case err == io.EOF:
			return body, release, nil
		case err != nil:
			return body, release, errors.Trace(err)
		}
		b.recordProgress(r, len(body))
	}
}

func (b *Bodies) add(r *reading) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readings[r] = struct{}{}
}

func (b *Bodies) remove(r *reading) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.readings, r)
}

func (b *Bodies) wasStopped(r *reading) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return r.isStopped
}

func (b *Bodies) recordProgress(r *reading, length int) {
	if r.stop == nil || length-r.length < progressBytes {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r.length, r.progressedAt = length, b.Now()
}

// grow returns a larger copy of a body. Both count while it is copied.
func (b *Bodies) grow(r *reading, body []byte, limit int64) (larger []byte, err error) {
	size := min(max(2*int64(cap(body)), firstBufferBytes), limit)
	both := b.counted(int64(cap(body))) + b.counted(size)
	for b.resize(r, both) != nil {
		if !b.stopStalled() {
			return body, ErrNoMemory
		}
	}
	larger = make([]byte, len(body), size)
	copy(larger, body)
	return larger, b.resize(r, b.counted(size))
}

// counted returns how much of a buffer counts.
func (b *Bodies) counted(size int64) int64 {
	if size > b.FreeBytes {
		return size
	}
	return 0
}

// resize changes the memory that a body holds, unless that reaches the limit or the body was stopped.
func (b *Bodies) resize(r *reading, size int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.isStopped {
		size = 0
	}
	if size > r.held {
		if err := b.Take(size - r.held); err != nil {
			return err
		}
	} else {
		b.Return(r.held - size)
	}
	r.held = size
	return nil
}

// stopStalled stops the body that has made no progress for longest and takes its memory. It returns
// false if all make progress.
func (b *Bodies) stopStalled() (stopped bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var stalled *reading
	before := b.Now().Add(-stallTime)
	for r := range b.readings {
		if r.held > 0 && r.progressedAt.Before(before) && (stalled == nil || r.progressedAt.Before(stalled.progressedAt)) {
			stalled = r
		}
	}
	if stalled == nil {
		return false
	}
	stalled.isStopped = true
	b.Return(stalled.held)
	stalled.held = 0
	stalled.stop()
	return true
}

// Connections tracks the idle connections of callers. It is safe for concurrent use.
type Connections struct {
	now func() time.Time

	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
}

// NewConnections creates an empty Connections.
func NewConnections(now func() time.Time) *Connections {
	return &Connections{now: now, idleSince: map[net.Conn]time.Time{}}
}

// Track is the ConnState hook of an http.Server.
func (c *Connections) Track(connection net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.idleSince[connection] = c.now()
		return
	}
	delete(c.idleSince, connection)
}

// CloseIdle closes the connections that have been idle for longer than limit. No request is
// handled on a closed connection: the server calls Track, which waits for the lock, before
// it handles a request.
func (c *Connections) CloseIdle(limit time.Duration) {
	if limit <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	oldest := c.now().Add(-limit)
	for connection, since := range c.idleSince {
		if since.Before(oldest) {
			delete(c.idleSince, connection)
			_ = connection.Close() // The caller may already have closed it.
		}
	}
}

// Idle returns the number of idle connections.
func (c *Connections) Idle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idleSince)
}
