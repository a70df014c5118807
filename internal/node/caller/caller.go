// Package caller bounds what callers hold of a VM: memory for the bodies of their
// requests, and connections that they leave idle.
//
// # Usage
//
//	bodies := caller.NewBodies(limitBytes)
//	body, release, err := bodies.Read(request.Body, maxBytes) // errors.Is(err, caller.ErrNoMemory)
//	defer release()
//
//	connections := caller.NewConnections(time.Now)
//	server := &http.Server{ConnState: connections.Track, ...}
//	connections.CloseIdle(limit) // Call it often.
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
	// ErrNoMemory means that the bodies that are held leave no room for this one.
	ErrNoMemory = errors.ConstError("the bodies of other requests take all the room there is")
	// ErrTooLong means that a body is longer than allowed.
	ErrTooLong = errors.ConstError("the body is too long")
)

// Bodies bounds the memory of all request bodies together. It is safe for
// concurrent use.
type Bodies struct {
	limit int64
	held  atomic.Int64
}

// NewBodies makes a bound in bytes.
func NewBodies(limit int64) *Bodies {
	return &Bodies{limit: limit}
}

// Held is the size of the bodies that are held, in bytes.
func (b *Bodies) Held() int64 {
	return b.held.Load()
}

// Read reads a body of up to a size. Only what has arrived counts, so that a
// caller that announces much and sends little takes no room from others. Release
// gives the room back; it is never nil.
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

// Read reads and counts.
func (r *countedReader) Read(into []byte) (count int, err error) {
	count, err = r.from.Read(into)
	r.size += int64(count)
	if r.bodies.held.Add(int64(count)) > r.bodies.limit {
		return count, ErrNoMemory
	}
	return count, err
}

// Connections knows which connections of callers are idle. It is safe for
// concurrent use.
type Connections struct {
	now func() time.Time

	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
}

// NewConnections makes an empty set.
func NewConnections(now func() time.Time) *Connections {
	return &Connections{now: now, idleSince: map[net.Conn]time.Time{}}
}

// Track is for the ConnState field of an http.Server.
func (c *Connections) Track(connection net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.idleSince[connection] = c.now()
		return
	}
	delete(c.idleSince, connection)
}

// CloseIdle closes the connections that were idle for longer than a limit. No
// request is handled on a closed one: the server calls Track, which waits for the
// lock, before it handles a request.
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
			_ = connection.Close() // The caller may have closed it.
		}
	}
}

// Idle counts the idle connections.
func (c *Connections) Idle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idleSince)
}
