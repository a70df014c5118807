// Package http1 sends requests to backend servers over persistent HTTP/1.1 connections.
// It uses the message codec of net/http and not its Transport, because the caller has to
// know whether a request may have reached the server, and because unsolicited responses
// may arrive on an idle connection.
//
// # Usage
//
//	pool := http1.New(http1.Options{})
//	response, err := pool.Send(ctx, http1.Request{Address: "10.0.0.7:8080", HTTP: request, ID: id, IDHeader: "X-Request-Id"})
//	if errors.Is(err, http1.ErrNotSent) { ... } // The server has received nothing of it.
//	defer response.Close()                      // Keeps the connection if the whole body was read.
//
// A response is returned when its head has been read. The connection is closed if the
// context ends before the body does.
package http1

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// ErrNotSent means that no byte of the request was sent.
const ErrNotSent = errors.ConstError("request was not sent")

// ErrAbandoned means that a request was not sent since its sender had no use for it any more.
const ErrAbandoned = errors.ConstError("request was abandoned before it was sent")

// NotSent is an ErrNotSent with its cause.
type NotSent struct {
	Address string
	Cause   error
}

func (e *NotSent) Error() string {
	return "request was not sent to " + e.Address + ": " + e.Cause.Error()
}

// Unwrap lets errors.Is find both ErrNotSent and the cause.
func (e *NotSent) Unwrap() []error {
	return []error{ErrNotSent, e.Cause}
}

// ErrBroken means that the request may have reached the server, and that no usable
// response came back.
const ErrBroken = errors.ConstError("connection broke after the request was sent")

// Broken is an ErrBroken with its cause and what was sent before it.
type Broken struct {
	Address string
	Written int  // Bytes of the request that the kernel accepted.
	Reused  bool // The connection had carried an earlier request.
	Via     string
	Cause   error
}

func (e *Broken) Error() string {
	return e.Address + ": " + e.Cause.Error() + ": " + ErrBroken.Error()
}

// Unwrap lets errors.Is find ErrBroken.
func (e *Broken) Unwrap() error {
	return ErrBroken
}

const (
	// DefaultDialTimeout bounds the opening of a connection. Servers are a few
	// milliseconds away; one that takes longer is treated as unreachable.
	DefaultDialTimeout = 250 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the server does not
	// send a timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleFraction is the fraction of the server's timeout that is used. The rest allows
	// for the transit time of the next request and for the timeout being rounded to
	// whole seconds.
	idleFraction = 0.8
	// maxIdlePerAddress bounds the idle connections to one address.
	maxIdlePerAddress = 16
	// keepAliveIdle, keepAliveInterval and keepAliveCount make the kernel detect
	// connections whose peer no longer responds. One second is its finest unit.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// maxStaleResponses bounds the responses to other requests that are skipped.
	maxStaleResponses = 3
	// maxHeadBytes bounds the head of a response together with the interim responses
	// before it.
	maxHeadBytes = 64 << 10
	// maxStaleBodyBytes bounds the body of a response to another request.
	maxStaleBodyBytes = 1 << 20
	// freeHeadBytes of the memory of a head are not taken from the limit of all heads, and
	// headerLineBytes is the memory of a parsed line besides its text.
	freeHeadBytes   = 16 << 10
	headerLineBytes = 250
	// readBufferBytes is enough for a complete response of a plain service.
	readBufferBytes = 4 << 10
	// maxInlineBodyBytes is the largest body that is written before the response is
	// awaited. It fits a socket's buffers, so that writing it never waits for the server.
	maxInlineBodyBytes = 2 << 10
	// uploadEndTime is how long after the end of its connection the write of a request may take to return.
	uploadEndTime = 100 * time.Millisecond
)

// Options configures a Pool. Zero values select the defaults.
type Options struct {
	DialTimeout time.Duration
	Dial        func(ctx context.Context, address string) (net.Conn, error)
	Now         func() time.Time
	// TakeMemory takes memory for what is read of heads, and ReturnMemory returns it; nil for no
	// limit on all of them together.
	TakeMemory   func(size int64) error
	ReturnMemory func(size int64)
	OnOpen       func(address string) // Called for each new connection.
	// IsLeaving reports whether the VM that a connection goes through is about to end. That VM waits until no
	// connections go through it, so idle ones are closed; nil if no VM ever leaves.
	IsLeaving func(peer string) bool
}

// Request is one HTTP request to an address. Body is sent with its length. ID is the
// value that the server echoes in the header IDHeader, "" if it echoes none; responses with
// another value are skipped. A server may send a response twice, so no two requests in a row with
// the same ID share a connection.
type Request struct {
	Address  string
	HTTP     *http.Request
	Body     []byte
	ID       string
	IDHeader string
	// IsAbandoned reports, just before the request is written, whether it has become useless; nil if it can't.
	IsAbandoned func() bool
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	options Options

	// readAt is when something was last read on any connection, in Unix nanoseconds of Options.Now.
	readAt atomic.Int64

	mu   sync.Mutex
	idle map[string][]*connection
	open map[*connection]struct{} // All connections, idle and in use.
}

type connection struct {
	net.Conn
	pool       *Pool
	openedAt   time.Time
	readAt     atomic.Int64 // As that of the pool.
	sentAt     atomic.Int64 // When the request that it carries was sent; 0 if it carries none or its head has been read.
	options    *Options
	reader     *bufio.Reader
	remaining  int64 // Bytes that may still be read of the head or of a stale body.
	readsHead  bool
	headBytes  int64 // Memory of the head that is being read or whose response is open.
	headTaken  int64 // The part of headBytes that was taken from the limit.
	idleUntil  time.Time
	used       bool   // It has carried a request.
	sentBytes  int    // Of the last request; valid once its write has ended.
	lastID     string // Of the last request that it has carried; "" also for one without an id.
	unreusable bool
	closing    sync.Once
	closeErr   error
}

// Close returns when the connection is closed, also if another goroutine closes it. The Close of a
// net.Conn that is being closed returns at once.
func (c *connection) Close() error {
	c.closing.Do(func() {
		c.closeErr = c.Conn.Close()
		c.pool.mu.Lock()
		delete(c.pool.open, c)
		c.pool.mu.Unlock()
	})
	return c.closeErr
}

// Read reads from the connection, within the bound for a head or for a stale body while
// one is being read.
func (c *connection) Read(to []byte) (n int, err error) {
	if c.remaining <= 0 {
		return 0, errors.New("a head or the answer to another request is too long")
	}
	n, err = c.Conn.Read(to[:min(int64(len(to)), c.remaining)])
	if n > 0 {
		c.recordRead()
	}
	c.remaining -= int64(n)
	if memoryErr := c.countHead(to[:n]); memoryErr != nil {
		return 0, memoryErr
	}
	return n, err
}

func (c *connection) recordRead() {
	now := c.options.Now().UnixNano()
	c.readAt.Store(now)
	c.pool.readAt.Store(now)
}

// countHead counts the memory of what was read of a head. Heads of the usual size take none.
func (c *connection) countHead(read []byte) error {
	if !c.readsHead {
		return nil
	}
	c.headBytes += int64(len(read)) + headerLineBytes*int64(bytes.Count(read, []byte{'\n'}))
	lacking := c.headBytes - freeHeadBytes - c.headTaken
	if lacking <= 0 {
		return nil
	}
	if err := c.options.TakeMemory(lacking); err != nil {
		return errors.Annotate(err, "reading a head")
	}
	c.headTaken += lacking
	return nil
}

// releaseHead returns the memory of a head.
func (c *connection) releaseHead() {
	c.options.ReturnMemory(c.headTaken)
	c.headBytes, c.headTaken = 0, 0
}

// Response is a response whose body has not been read yet.
type Response struct {
	*http.Response
	pool       *Pool
	address    string
	id         string // Of the request.
	connection *connection
	written    *upload
	stop       func() bool
	complete   bool
	// namesRequest is whether the head echoed the request's ID.
	namesRequest bool
}

// New returns an empty pool.
func New(options Options) *Pool {
	if options.DialTimeout == 0 {
		options.DialTimeout = DefaultDialTimeout
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.OnOpen == nil {
		options.OnOpen = func(string) {}
	}
	if options.Dial == nil {
		options.Dial = Dial
	}
	if options.IsLeaving == nil {
		options.IsLeaving = func(string) bool { return false }
	}
	if options.TakeMemory == nil {
		options.TakeMemory, options.ReturnMemory = func(int64) error { return nil }, func(int64) {}
	}
	return &Pool{options: options, idle: map[string][]*connection{}, open: map[*connection]struct{}{}}
}

// Dial opens a connection whose loss the kernel detects.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	}}
	return dialer.DialContext(ctx, "tcp", address)
}

// Send writes the request and reads the head of its response.
func (p *Pool) Send(ctx context.Context, request Request) (response *Response, err error) {
	var c *connection
	if c, err = p.acquire(ctx, request); err != nil {
		return nil, &NotSent{Address: request.Address, Cause: err}
	}
	if ctx.Err() != nil || (request.IsAbandoned != nil && request.IsAbandoned()) {
		p.returnUnused(request.Address, c)
		return nil, &NotSent{Address: request.Address, Cause: errors.Trace(ErrAbandoned)}
	}
	c.sentAt.Store(p.options.Now().UnixNano())
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	written := &upload{done: make(chan struct{})}
	if len(request.Body) <= maxInlineBodyBytes {
		written.run(c, request)
	} else {
		go written.run(c, request)
	}
	var head *http.Response
	if head, err = c.readHead(request); err != nil {
		stop()
		_ = c.Close()
		c.releaseHead()
		<-written.done // The close has ended it.
		return nil, &Broken{Address: request.Address, Written: c.sentBytes, Reused: c.used, Via: c.via(), Cause: err}
	}
	c.sentAt.Store(0)
	response = &Response{Response: head, pool: p, address: request.Address, id: request.ID, connection: c, written: written, stop: stop,
		namesRequest: request.ID != "" && head.Header.Get(request.IDHeader) == request.ID}
	if !response.IsFramed() {
		head.Body = &unmarkedBody{ReadCloser: head.Body, written: written}
	}
	return response, nil
}

// upload is the write of a request.
type upload struct {
	done chan struct{}
	err  error // Valid once done is closed.
}

func (u *upload) run(c *connection, request Request) {
	u.err = c.write(request)
	close(u.done)
}

// isComplete reports whether the whole request has been written.
func (u *upload) isComplete() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// endsComplete is isComplete for a connection that has ended: a write that is done returns soon.
func (u *upload) endsComplete() bool {
	limit := time.NewTimer(uploadEndTime)
	defer limit.Stop()
	select {
	case <-u.done:
	case <-limit.C:
	}
	return u.isComplete()
}

// unmarkedBody is a body that ends with its connection. The kernel tells the error of a connection once: if the
// write of the request got it, the body seems to end.
type unmarkedBody struct {
	io.ReadCloser
	written *upload
}

func (b *unmarkedBody) Read(to []byte) (n int, err error) {
	if n, err = b.ReadCloser.Read(to); err == io.EOF && !b.written.endsComplete() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Check opens a connection to find out whether the address accepts any, and keeps it for
// the next request.
func (p *Pool) Check(ctx context.Context, address string) (err error) {
	var c *connection
	if c, err = p.connect(ctx, address); err != nil {
		return errors.Trace(err)
	}
	c.idleUntil = p.options.Now().Add(defaultIdleTimeout)
	p.keep(address, c)
	return nil
}

// HasIdle reports whether there is an idle connection to the address.
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

// IsSilent reports whether a request has waited since a time for its response, and nothing was read on any
// connection since then.
func (p *Pool) IsSilent(since time.Time) bool {
	if p.readAt.Load() > since.UnixNano() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		if sentAt := c.sentAt.Load(); sentAt != 0 && sentAt < since.UnixNano() {
			return true
		}
	}
	return false
}

// CloseSilent closes the connections that were opened before a time and on which nothing was read since
// then, idle ones too. It returns how many there were.
func (p *Pool) CloseSilent(since time.Time) (closed int) {
	silent := []*connection{}
	p.mu.Lock()
	for c := range p.open {
		if c.openedAt.Before(since) && c.readAt.Load() <= since.UnixNano() {
			silent = append(silent, c)
		}
	}
	for address, idle := range p.idle {
		p.idle[address] = slices.DeleteFunc(idle, func(c *connection) bool { return slices.Contains(silent, c) })
	}
	p.mu.Unlock()
	for _, c := range silent {
		_ = c.Close()
	}
	return len(silent)
}

// Sweep closes connections whose idle timeout has expired, and idle ones through a VM that is leaving.
func (p *Pool) Sweep() {
	now := p.options.Now()
	expired := []*connection{}
	p.mu.Lock()
	for address, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if now.Before(c.idleUntil) && !c.isThroughLeavingVM() {
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

// acquire returns the idle connection that was used last, since it is the least likely to
// have been closed meanwhile, or a new one.
func (p *Pool) acquire(ctx context.Context, request Request) (*connection, error) {
	for {
		c := p.pop(request.Address, request.ID)
		if c == nil {
			break
		}
		if p.options.Now().Before(c.idleUntil) && !c.isThroughLeavingVM() && c.isReusable() {
			return c, nil
		}
		_ = c.Close()
	}
	return p.connect(ctx, request.Address)
}

// pop removes and returns the newest idle connection that may carry a request with an ID.
func (p *Pool) pop(address, id string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	for i, c := range slices.Backward(idle) {
		if !c.used || c.lastID != id {
			p.idle[address] = slices.Delete(idle, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) connect(ctx context.Context, address string) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, p.options.DialTimeout)
	defer cancel()
	raw, err := p.options.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p.options.OnOpen(address)
	c := &connection{Conn: raw, pool: p, openedAt: p.options.Now(), options: &p.options, remaining: math.MaxInt64}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	p.mu.Lock()
	p.open[c] = struct{}{}
	p.mu.Unlock()
	return c, nil
}

// returnUnused keeps a connection on which nothing was sent.
func (p *Pool) returnUnused(address string, c *connection) {
	if c.idleUntil.IsZero() {
		c.idleUntil = p.options.Now().Add(defaultIdleTimeout)
	}
	p.keep(address, c)
}

func (p *Pool) keep(address string, c *connection) {
	p.mu.Lock()
	if len(p.idle[address]) < maxIdlePerAddress {
		p.idle[address] = append(p.idle[address], c)
		c = nil
	}
	p.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
}

// isReusable reports whether an idle connection is open and has nothing to read. Anything
// readable is the end of the connection or an unsolicited response.
func (c *connection) isReusable() bool {
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
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = peekErr == syscall.EAGAIN
		return true // Never wait: one peek is enough.
	})
	return err == nil && empty
}

// write sends head and body at once, so that a small request is one packet.
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
	c.sentBytes = 0
	if err := r.Write(&buffer); err != nil {
		return err
	}
	var err error
	c.sentBytes, err = c.Conn.Write(buffer.Bytes())
	return err
}

// readHead reads the head of the response. It skips interim responses, and responses to
// other requests that arrive before it.
func (c *connection) readHead(request Request) (*http.Response, error) {
	defer func() { c.remaining, c.readsHead = math.MaxInt64, false }()
	c.remaining, c.readsHead = maxHeadBytes, true
	for stale := 0; ; {
		head, err := http.ReadResponse(c.reader, request.HTTP)
		if err != nil {
			return nil, err
		}
		if head.StatusCode < http.StatusContinue {
			return nil, errors.Errorf("status %d is none", head.StatusCode)
		}
		if head.StatusCode < http.StatusOK {
			continue
		}
		echoed := head.Header.Get(request.IDHeader)
		if request.ID != "" && echoed == "" && c.used {
			return nil, errors.New("an answer names no request: it may be of an earlier one")
		}
		if echoed == "" || echoed == request.ID {
			return head, nil
		}
		if stale++; stale > maxStaleResponses {
			return nil, errors.New("only answers to other requests arrive")
		}
		c.unreusable = true
		c.remaining, c.readsHead = maxStaleBodyBytes, false
		if _, err = io.Copy(io.Discard, head.Body); err != nil {
			return nil, err
		}
		c.releaseHead()
		c.remaining, c.readsHead = maxHeadBytes, true
	}
}

// ReadAll reads the whole body. More than limit bytes are an error.
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

// MarkComplete records that the body was read to its end.
func (r *Response) MarkComplete() {
	r.complete = true
}

// Close ends the exchange. The connection is kept if the whole request was written, the
// whole response was read, and the server does not close it.
func (r *Response) Close() {
	c := r.connection
	c.releaseHead()
	if !r.stop() || !r.complete || c.unreusable || r.Response.Close || !r.IsFramed() || !r.written.isComplete() || c.reader.Buffered() > 0 || c.isThroughLeavingVM() {
		_ = c.Close()
		return
	}
	c.used, c.lastID = true, r.id
	c.idleUntil = r.pool.options.Now().Add(idleTimeout(r.Header))
	r.pool.keep(r.address, c)
}

// via returns the address of the VM through which the server is reached; "" for a direct connection.
func (c *connection) via() string {
	if detour, ok := c.Conn.(interface{ Via() string }); ok {
		return detour.Via()
	}
	return ""
}

func (c *connection) isThroughLeavingVM() bool {
	peer := c.via()
	return peer != "" && c.options.IsLeaving(peer)
}

// Via returns the address of the VM through which the response came; "" for a direct connection.
func (r *Response) Via() string {
	return r.connection.via()
}

// NamesRequest reports whether the response names the request that it answers.
func (r *Response) NamesRequest() bool {
	return r.namesRequest
}

// IsFramed reports whether the end of the body is marked. Otherwise it ends with the
// connection, which can't be distinguished from a loss of the server.
func (r *Response) IsFramed() bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0
}

// idleTimeout parses the timeout of a header such as "Keep-Alive: timeout=5".
func idleTimeout(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(idleFraction * float64(seconds) * float64(time.Second))
		}
	}
	return defaultIdleTimeout
}
