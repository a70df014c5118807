// Package tunnel carries connections to backend servers through another VM, for a VM that is
// partitioned from the servers. The connection behaves like a direct one: what is decided of
// a request stays with the VM that sends it, and the VM in between knows of no requests.
//
// # Usage
//
//	mux.Handle(tunnel.Path, &tunnel.Handler{IsAllowed: isListed, Dial: dial, MaxTunnels: 200})
//
//	connection, err := tunnel.Dial(ctx, peerAddress, serverAddress)
//	if errors.Is(err, tunnel.ErrUnavailable) { ... } // Another peer may be able to.
//
// A tunnel begins as an HTTP/1.1 upgrade. Then bytes to the server are sent as they are. Those from
// the server are sent in chunks, each after its length in two bytes; length 0 is the server's end of
// the connection. Without it, a lost tunnel would look like the end of an answer that has neither a length
// nor chunks.
package tunnel

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Path is the URL path at which a VM accepts tunnels.
const Path = "/tunnel"

// ErrUnavailable means that the peer could not be reached or takes no tunnel. It says nothing of the
// server.
const ErrUnavailable = errors.ConstError("the peer provides no tunnel")

const (
	headerServer = "Endivespoke-Server"
	headerWait   = "Endivespoke-Dial-Millis" // For how long the peer may try to reach the server.
	protocol     = "endivespoke-tunnel"

	lengthBytes = 2
	// chunkBytes is the largest chunk. Each tunnel holds two buffers of that size.
	chunkBytes = 4 << 10
	// lastWriteTimeout is how long after the server's end of a connection a write to it may take.
	lastWriteTimeout = 100 * time.Millisecond
	// maxDialTimeout bounds the time that a sender may ask for.
	maxDialTimeout = time.Second
)

// Handler accepts tunnels of other VMs.
type Handler struct {
	// IsAllowed reports whether tunnels may lead to an address.
	IsAllowed func(address string) bool
	// Dial opens a direct connection, never one through another tunnel: two VMs that are both cut off
	// would pass it to each other. Its error is ErrUnavailable if it tells nothing of the server.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// MaxTunnels bounds the open tunnels.
	MaxTunnels int64
	// OnOpen is called for each tunnel that was opened.
	OnOpen func(address string)

	open atomic.Int64
}

// Open returns the number of open tunnels.
func (h *Handler) Open() int64 {
	return h.open.Load()
}

// ServeHTTP serves one tunnel until it ends.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.open.Add(1) > h.MaxTunnels {
		h.open.Add(-1)
		http.Error(w, "too many tunnels", http.StatusServiceUnavailable)
		return
	}
	defer h.open.Add(-1)
	address := r.Header.Get(headerServer)
	millis, err := strconv.Atoi(r.Header.Get(headerWait))
	if err != nil || millis <= 0 || !h.IsAllowed(address) {
		http.Error(w, "no such server", http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(millis)*time.Millisecond, maxDialTimeout))
	server, err := h.Dial(ctx, address)
	cancel()
	switch {
	case errors.Is(err, ErrUnavailable):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	case errors.Is(err, syscall.ECONNREFUSED):
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
		return
	}
	defer server.Close()
	sender, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer sender.Close()
	if _, err = io.WriteString(sender, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+protocol+"\r\n\r\n"); err != nil {
		return
	}
	h.OnOpen(address)
	writes := &serverWriter{Conn: server}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.CopyBuffer(writes, struct{ io.Reader }{sender}, make([]byte, chunkBytes))
		_ = server.Close() // The sender has no use for an answer any more.
	}()
	sendChunks(sender, server, writes)
	_ = sender.Close()
	<-done
}

// serverWriter writes to a server, and knows whether that has failed. The kernel tells the error of a connection
// once: if a write got it, the server seems to end the connection.
type serverWriter struct {
	net.Conn
	mu     sync.Mutex // Held during a write.
	failed bool
}

// Write writes to the server.
func (w *serverWriter) Write(data []byte) (n int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n, err = w.Conn.Write(data); err != nil {
		w.failed = true
	}
	return n, err
}

// ReadFrom hides that of the connection, which would not write here.
func (w *serverWriter) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{w}, r)
}

// hasFailed waits for the write in progress, which ends soon if the connection has ended.
func (w *serverWriter) hasFailed() bool {
	_ = w.SetWriteDeadline(time.Now().Add(lastWriteTimeout))
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failed
}

// sendChunks sends what the server sends, until one of the connections ends.
func sendChunks(sender io.Writer, server io.Reader, writes *serverWriter) {
	chunk := make([]byte, lengthBytes+chunkBytes)
	for {
		n, err := server.Read(chunk[lengthBytes:])
		if n > 0 {
			binary.BigEndian.PutUint16(chunk, uint16(n))
			if _, writeErr := sender.Write(chunk[:lengthBytes+n]); writeErr != nil {
				return
			}
		}
		if err == io.EOF && !writes.hasFailed() {
			_, _ = sender.Write(make([]byte, lengthBytes)) // If it is lost, the sender takes the connection as broken.
			return
		}
		if err != nil {
			return
		}
	}
}

// Conn is a connection to a server through a peer.
type Conn struct {
	*net.TCPConn
	peer  string
	left  int // Bytes of the current chunk that were not read yet.
	ended bool
}

// Via returns the address of the peer.
func (c *Conn) Via() string {
	return c.peer
}

// Read reads what the server has sent. The error is io.EOF only if the server closed its connection.
func (c *Conn) Read(to []byte) (n int, err error) {
	if c.ended {
		return 0, io.EOF
	}
	if c.left == 0 {
		length := [lengthBytes]byte{}
		if _, err = io.ReadFull(c.TCPConn, length[:]); err != nil {
			return 0, brokenTunnel(err)
		}
		if c.left = int(binary.BigEndian.Uint16(length[:])); c.left == 0 {
			c.ended = true
			return 0, io.EOF
		}
	}
	n, err = c.TCPConn.Read(to[:min(len(to), c.left)])
	c.left -= n
	return n, brokenTunnel(err)
}

// brokenTunnel returns the error of a tunnel that ended without the server's end.
func brokenTunnel(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// WriteTo hides that of the embedded connection, which would not read chunks.
func (c *Conn) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{c})
}

// Dial opens a connection to a server through a peer, until the context's deadline. The error is
// ErrUnavailable if the peer is not able to. If the server refuses connections, it is ECONNREFUSED, as of a
// direct dial.
func Dial(ctx context.Context, dial func(ctx context.Context, address string) (net.Conn, error), peer, server string) (connection net.Conn, err error) {
	raw, err := dial(ctx, peer)
	if err != nil {
		return nil, errors.Annotate(ErrUnavailable, err.Error())
	}
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		_ = raw.Close()
		return nil, errors.Annotate(ErrUnavailable, "no TCP connection")
	}
	stop := context.AfterFunc(ctx, func() { _ = tcp.SetDeadline(time.Unix(1, 0)) })
	err = open(ctx, tcp, server)
	if !stop() && err == nil {
		err = errors.Annotate(ErrUnavailable, "time is up")
	}
	if err != nil {
		_ = tcp.Close()
		return nil, err
	}
	return &Conn{TCPConn: tcp, peer: peer}, nil
}

// open asks the peer for the tunnel.
func open(ctx context.Context, peer *net.TCPConn, server string) error {
	wait := maxDialTimeout
	if deadline, found := ctx.Deadline(); found {
		wait = time.Until(deadline)
	}
	request := "GET " + Path + " HTTP/1.1\r\nHost: peer\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n" +
		headerServer + ": " + server + "\r\n" + headerWait + ": " + strconv.FormatInt(max(wait.Milliseconds(), 1), 10) + "\r\n\r\n"
	if _, err := io.WriteString(peer, request); err != nil {
		return errors.Annotate(ErrUnavailable, err.Error())
	}
	reader := bufio.NewReader(peer) // The server sends nothing before a request.
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return errors.Annotate(ErrUnavailable, err.Error())
	}
	switch {
	case response.StatusCode == http.StatusBadGateway:
		return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	case response.StatusCode == http.StatusGatewayTimeout:
		return errors.Errorf("%s does not answer the peer either", server)
	case response.StatusCode != http.StatusSwitchingProtocols:
		return errors.Annotatef(ErrUnavailable, "status %d", response.StatusCode)
	case reader.Buffered() > 0:
		return errors.Annotate(ErrUnavailable, "data before the first request")
	}
	return nil
}
