// Package caller bounds the resources that callers use on a VM: memory for request
// bodies, and idle connections.
//
// # Usage
//
//	bodies := caller.NewBodies(limitBytes)
//	body, release, err := bodies.Read(request.Body, maxBytes) // errors.Is(err, caller.ErrNoMemory)
//	defer release()
//
//	connections := caller.NewConnections(time.Now)
//	server := &http.Server{ConnState: connections.Track, ...}
//	connections.CloseIdle(limit) // Call it periodically.
package caller

import (
	"bytes"
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
	// ErrTooLong means that a body is longer than allowed.
	ErrTooLong = errors.ConstError("the body is too long")
)

// Bodies bounds the total memory of request bodies. It is safe for concurrent use.
type Bodies struct {
	limit int64
	held  atomic.Int64
}

// NewBodies creates a Bodies with a limit in bytes.
func NewBodies(limit int64) *Bodies {
	return &Bodies{limit: limit}
}

// Held returns the total size of the bodies in memory, in bytes.
func (b *Bodies) Held() int64 {
	return b.held.Load()
}

// Read reads a body of at most limit bytes. Only received bytes count, so that a caller
// with a large Content-Length that sends little reserves no memory. Release returns the
// memory to the limit; it is never nil.
func (b *Bodies) Read(from io.Reader, limit int64) (body []byte, release func(), err error) {
	counted := &countedReader{from: from, bodies: b}
	release = func() { b.held.Add(-counted.size) }
	buffer := bytes.Buffer{}
	if _, err = buffer.ReadFrom(io.LimitReader(counted, limit+1)); err != nil {
		return nil, release, errors.Trace(err)
	}
	if counted.size > limit {
		return nil, release, errors.Trace(ErrTooLong)
	}
	return buffer.Bytes(), release, nil
}

type countedReader struct {
	from   io.Reader
	bodies *Bodies
	size   int64
}

// Read reads from the underlying reader and counts the bytes against the limit.
func (r *countedReader) Read(into []byte) (count int, err error) {
	count, err = r.from.Read(into)
	r.size += int64(count)
	if r.bodies.held.Add(int64(count)) > r.bodies.limit {
		return count, ErrNoMemory
	}
	return count, err
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
