// Package http1 sends requests to backend servers over HTTP/1.1 connections
// that it keeps. It uses the message codec of net/http and not its Transport,
// because the caller has to know whether a request may have reached the server,
// and because unsolicited responses may arrive on a kept connection.
//
// # Usage
//
//	pool := http1.New(http1.Options{})
//	response, err := pool.Send(ctx, http1.Request{Address: "10.0.0.7:8080", HTTP: request, ID: id, IDHeader: "X-Request-Id"})
//	if errors.Is(err, http1.ErrNotSent) { ... } // The server has seen nothing of it.
//	defer response.Close()                      // Keeps the connection if the body was read whole.
//
// A response is returned when its head is read. The connection is closed when
// the context ends before the body does.
package http1

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// ErrNotSent means that no byte of the request was sent.
const ErrNotSent = errors.ConstError("request was not sent")

// NotSent is an ErrNotSent with its cause.
type NotSent struct {
	Address string
	Cause   error
}

// Error gives the address and the cause.
func (e *NotSent) Error() string {
	return "request was not sent to " + e.Address + ": " + e.Cause.Error()
}

// Unwrap lets errors.Is find both ErrNotSent and the cause.
func (e *NotSent) Unwrap() []error {
	return []error{ErrNotSent, e.Cause}
}

// ErrBroken means that the request may have reached the server, and that no
// usable answer came back.
const ErrBroken = errors.ConstError("connection broke after the request was sent")

const (
	// DefaultDialLimit bounds the opening of a connection. Servers are a few
	// milliseconds away; one that needs longer is taken as unreachable.
	DefaultDialLimit = 250 * time.Millisecond
	// defaultIdle is how long a connection is kept if the server does not say.
	defaultIdle = 4 * time.Second
	// idlePart of what the server says is used. The rest is for the way of the next
	// request and for the time being told in whole seconds.
	idlePart = 0.8
	// maxIdle bounds the connections kept to one address.
	maxIdle = 16
	// keepAliveAfter, keepAliveEvery and keepAliveCount make the kernel find
	// connections that went silent. One second is its finest unit.
	keepAliveAfter = time.Second
	keepAliveEvery = time.Second
	keepAliveCount = 2
	// maxStale bounds the answers to other requests that are read past.
	maxStale = 3
	// maxHead bounds the head of a response with the interim responses before it, in bytes.
	maxHead = 64 << 10
	// maxStaleBody bounds the body of an answer to another request, in bytes.
	maxStaleBody = 1 << 20
	// readBuffer holds a whole answer of a plain service.
	readBuffer = 4 << 10
	// inlineBody is the largest body that is written before the answer is awaited.
	// It fits a socket's buffers, so that writing it never waits for the server.
	inlineBody = 2 << 10
)

// Options shapes a Pool. Zero values take the defaults.
type Options struct {
	DialLimit time.Duration
	Dial      func(ctx context.Context, address string) (net.Conn, error)
	Now       func() time.Time
	OnOpen    func(address string) // Told of each new connection.
}

// Request is one HTTP request to an address. Body is sent with its length. ID
// is the value that the server echoes in the header IDHeader; answers with
// another one are read past.
type Request struct {
	Address  string
	HTTP     *http.Request
	Body     []byte
	ID       string
	IDHeader string
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	options Options

	mu   sync.Mutex
	idle map[string][]*connection
}

type connection struct {
	net.Conn
	reader     *bufio.Reader
	left       int64 // Bytes that may be read until the part of a response that is bounded has ended.
	idleUntil  time.Time
	used       bool // It has carried a request.
	unreusable bool
}

// Read reads from the connection, within the bound for a head or a stale body while one is read.
func (c *connection) Read(to []byte) (n int, err error) {
	if c.left <= 0 {
		return 0, errors.New("a head or the answer to another request is too long")
	}
	n, err = c.Conn.Read(to[:min(int64(len(to)), c.left)])
	c.left -= int64(n)
	return n, err
}

// Response is a response whose body is still to be read.
type Response struct {
	*http.Response
	pool       *Pool
	address    string
	connection *connection
	written    chan error
	stop       func() bool
	complete   bool
}

// New makes an empty pool.
func New(options Options) *Pool {
	if options.DialLimit == 0 {
		options.DialLimit = DefaultDialLimit
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.OnOpen == nil {
		options.OnOpen = func(string) {}
	}
	if options.Dial == nil {
		options.Dial = dial
	}
	return &Pool{options: options, idle: map[string][]*connection{}}
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveAfter,
		Interval: keepAliveEvery,
		Count:    keepAliveCount,
	}}
	return dialer.DialContext(ctx, "tcp", address)
}

// Send writes the request and reads the head of its response.
func (p *Pool) Send(ctx context.Context, request Request) (response *Response, err error) {
	var c *connection
	if c, err = p.take(ctx, request); err != nil {
		return nil, &NotSent{Address: request.Address, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	written := make(chan error, 1)
	if len(request.Body) <= inlineBody {
		written <- c.write(request)
	} else {
		go func() { written <- c.write(request) }()
	}
	var head *http.Response
	if head, err = c.readHead(request); err != nil {
		stop()
		_ = c.Close()
		return nil, errors.Annotatef(ErrBroken, "%s: %v", request.Address, err)
	}
	return &Response{Response: head, pool: p, address: request.Address, connection: c, written: written, stop: stop}, nil
}

// Check opens a connection to learn whether the address accepts any, and keeps
// it for the next request.
func (p *Pool) Check(ctx context.Context, address string) (err error) {
	var c *connection
	if c, err = p.open(ctx, address); err != nil {
		return errors.Trace(err)
	}
	c.idleUntil = p.options.Now().Add(defaultIdle)
	p.keep(address, c)
	return nil
}

// HasIdle reports whether a connection to the address is kept.
func (p *Pool) HasIdle(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address]) > 0
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// Sweep closes connections that were idle for too long.
func (p *Pool) Sweep() {
	now := p.options.Now()
	expired := []*connection{}
	p.mu.Lock()
	for address, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// take gives the connection that was used last, since it is the least likely to
// have been closed meanwhile, or a new one.
func (p *Pool) take(ctx context.Context, request Request) (*connection, error) {
	for {
		c := p.pop(request.Address)
		if c == nil {
			break
		}
		if p.options.Now().Before(c.idleUntil) && c.isQuiet() {
			return c, nil
		}
		_ = c.Close()
	}
	return p.open(ctx, request.Address)
}

func (p *Pool) pop(address string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	p.idle[address] = idle[:len(idle)-1]
	return c
}

func (p *Pool) open(ctx context.Context, address string) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, p.options.DialLimit)
	defer cancel()
	raw, err := p.options.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p.options.OnOpen(address)
	c := &connection{Conn: raw, left: math.MaxInt64}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c, nil
}

func (p *Pool) keep(address string, c *connection) {
	p.mu.Lock()
	if len(p.idle[address]) < maxIdle {
		p.idle[address] = append(p.idle[address], c)
		c = nil
	}
	p.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
}

// isQuiet reports whether an idle connection is open and has nothing to read.
// Anything readable is its end or an unsolicited response.
func (c *connection) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	withSyscalls, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := withSyscalls.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = peekErr == syscall.EAGAIN
		return true // Never wait: the peek has told all there is.
	})
	return err == nil && quiet
}

// write sends head and body in one piece, so that a small request is one packet.
func (c *connection) write(request Request) error {
	buffer := bytes.Buffer{}
	r := request.HTTP
	r.Body = nil
	r.ContentLength = 0
	if len(request.Body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(request.Body))
		r.ContentLength = int64(len(request.Body))
	}
	if r.Header["User-Agent"] == nil {
		r.Header["User-Agent"] = []string{""} // Keeps net/http from adding its own.
	}
	if err := r.Write(&buffer); err != nil {
		return err
	}
	_, err := c.Conn.Write(buffer.Bytes())
	return err
}

// readHead reads past interim responses, and past answers to other requests
// that arrive where this one's is expected.
func (c *connection) readHead(request Request) (*http.Response, error) {
	defer func() { c.left = math.MaxInt64 }()
	c.left = maxHead
	for stale := 0; ; {
		head, err := http.ReadResponse(c.reader, request.HTTP)
		if err != nil {
			return nil, err
		}
		if head.StatusCode < http.StatusOK {
			continue
		}
		echoed := head.Header.Get(request.IDHeader)
		if request.ID != "" && echoed == "" && c.used {
			return nil, errors.New("an answer names no request: it may be of an earlier one")
		}
		if request.ID == "" || echoed == "" || echoed == request.ID {
			return head, nil
		}
		if stale++; stale > maxStale {
			return nil, errors.New("only answers to other requests arrive")
		}
		c.unreusable = true
		c.left = maxStaleBody
		if _, err = io.Copy(io.Discard, head.Body); err != nil {
			return nil, err
		}
		c.left = maxHead
	}
}

// ReadAll reads the body whole. More than limit bytes are an error.
func (r *Response) ReadAll(limit int64) (body []byte, err error) {
	if body, err = io.ReadAll(io.LimitReader(r.Body, limit+1)); err != nil {
		return nil, errors.Annotate(ErrBroken, err.Error())
	}
	if int64(len(body)) > limit {
		return nil, errors.Annotatef(ErrBroken, "body has more than %d bytes", limit)
	}
	r.complete = true
	return body, nil
}

// MarkComplete tells that the body was read to its end.
func (r *Response) MarkComplete() {
	r.complete = true
}

// Close ends the exchange. The connection is kept if the request was written
// and the response read, both whole, and the server does not close it.
func (r *Response) Close() {
	c := r.connection
	if !r.stop() || !r.complete || c.unreusable || r.Response.Close || !r.IsFramed() || !r.isWritten() || c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	c.used = true
	c.idleUntil = r.pool.options.Now().Add(idleTime(r.Header))
	r.pool.keep(r.address, c)
}

// IsFramed reports whether the body's end is marked. Otherwise it ends with the
// connection, which a loss of the server looks like too.
func (r *Response) IsFramed() bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0
}

func (r *Response) isWritten() bool {
	select {
	case err := <-r.written:
		return err == nil
	default:
		return false
	}
}

// idleTime reads "Keep-Alive: timeout=5".
func idleTime(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(idlePart * float64(seconds) * float64(time.Second))
		}
	}
	return defaultIdle
}
