// Package crowd is a crowd of HTTP clients that misbehave: they open connections and send nothing, stop
// half-way, send or read slowly, and send large heads and bodies. It connects to loopback addresses
// only, and ends by itself.
//
// # Usage
//
//	for _, behaviour := range crowd.Behaviours {
//		behaviour.Run(crowd.Target{Address: address, Paths: []string{"/"}, Host: "a"})
//	}
//	peak, err := crowd.PeakMemory(pid)
package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// The settings of a process that a crowd presses, and its bounds. Crowds and bounds are fixed.
const (
	MemoryMB       = 96
	MaxDescriptors = 1200
	// MaxSockets are the sockets and pipes that it may have: 200 descriptors are left for files.
	MaxSockets = MaxDescriptors - 200
	// BodyBytes is the largest body that it accepts.
	BodyBytes = 4 << 20
)

const (
	// Clients is the size of a crowd that needs memory, and Connections of one that needs
	// descriptors.
	Clients     = 400
	Connections = 1200
	// runTime is how long a crowd lasts. A client whose connection is closed opens another one
	// after reconnectPause.
	runTime        = 4 * time.Second
	reconnectPause = 200 * time.Millisecond
	// bytePause is the pause between two bytes of a slow client.
	bytePause = 50 * time.Millisecond
)

// Target is where a crowd connects to, and what is in the heads that it sends. Each connection has the
// next of the paths.
type Target struct {
	Address       string
	Paths         []string
	Host          string
	Authorization string
}

// Client is one connection of a crowd.
type Client struct {
	net.Conn
	target Target
	path   string
}

// ShortFields are the fields of a head of 15 KB, which is inside the usual limits.
var ShortFields = func() string {
	fields := strings.Builder{}
	for i := range 2500 {
		fmt.Fprintf(&fields, "%s:\r\n", strconv.FormatInt(int64(1296+i), 36)) // From 100 on.
	}
	return fields.String()
}()

// head returns the beginning of a head, without the empty line.
func (c *Client) head(method string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: %s\r\n", method, c.path, c.target.Host, c.target.Authorization)
}

// write sends text, and returns false if the connection is closed or the crowd has ended.
func (c *Client) write(text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// hold keeps the connection open without reading until the crowd has ended.
func (c *Client) hold() {
	for c.isOpen() {
		time.Sleep(bytePause)
	}
}

// isOpen reports whether the VM has kept the connection and the crowd goes on.
func (c *Client) isOpen() bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	isOpen, one := false, [1]byte{}
	err = raw.Read(func(fd uintptr) bool {
		count, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isOpen = count > 0 || peekErr == syscall.EAGAIN
		return true
	})
	return err == nil && isOpen
}

func (c *Client) writeSlowly(text string) {
	for i := range text {
		if !c.write(text[i : i+1]) {
			return
		}
		time.Sleep(bytePause)
	}
}

// writeForever sends text until the connection is closed or the crowd has ended.
func (c *Client) writeForever(text string) {
	for c.write(text) {
	}
}

func (c *Client) readSlowly() {
	one := make([]byte, 1)
	for {
		if _, err := c.Read(one); err != nil {
			return
		}
		time.Sleep(bytePause)
	}
}

// Behaviour is what each connection of a crowd does.
type Behaviour struct {
	Name    string
	clients int
	do      func(c *Client)
}

// Behaviours are all kinds of misbehaviour.
var Behaviours = []Behaviour{
	{"connections that only open", Connections, func(c *Client) { c.hold() }},
	{"heads of short fields that stop short", Clients, func(c *Client) {
		c.write(c.head("POST") + ShortFields)
		c.hold()
	}},
	{"whole heads of short fields", Clients, func(c *Client) {
		for c.write(c.head("POST") + ShortFields + "Content-Length: 0\r\n\r\n") {
			time.Sleep(bytePause)
		}
	}},
	{"whole heads of short fields without their bodies", Clients, func(c *Client) {
		c.write(c.head("POST") + ShortFields + "Content-Length: 10\r\n\r\n123456789")
		c.hold()
	}},
	{"bodies in one piece", Clients, func(c *Client) {
		c.write(c.head("POST") + fmt.Sprintf("Content-Length: %d\r\n\r\n", BodyBytes) + strings.Repeat("a", BodyBytes-1))
		c.hold()
	}},
	{"bodies in small pieces", Clients, func(c *Client) {
		c.write(c.head("POST") + fmt.Sprintf("Content-Length: %d\r\n\r\n", BodyBytes))
		for piece, left := strings.Repeat("a", 4<<10), BodyBytes-(4<<10); left > 0 && c.write(piece); left -= len(piece) {
			time.Sleep(time.Millisecond)
		}
		c.hold()
	}},
	{"bodies in chunks with extensions", Clients, func(c *Client) {
		c.write(c.head("POST") + "Transfer-Encoding: chunked\r\n\r\n")
		for chunk, left := "1000;a="+strings.Repeat("b", 1000)+"\r\n"+strings.Repeat("a", 4<<10)+"\r\n", BodyBytes-(4<<10); left > 0 && c.write(chunk); left -= 4 << 10 {
		}
		c.hold()
	}},
	{"trailers of short fields", Clients, func(c *Client) {
		c.write(c.head("POST") + "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n1\r\na\r\n0\r\n" + ShortFields)
		c.hold()
	}},
	{"bodies far over the limit", Clients, func(c *Client) {
		c.write(c.head("POST") + "Content-Length: 1000000000\r\n\r\n")
		c.writeForever(strings.Repeat("a", 64<<10))
	}},
	{"chunks far over the limit", Clients, func(c *Client) {
		c.write(c.head("POST") + "Transfer-Encoding: chunked\r\n\r\n")
		c.writeForever("10000\r\n" + strings.Repeat("a", 64<<10) + "\r\n")
	}},
	{"heads without end", Clients, func(c *Client) {
		c.write(c.head("GET"))
		c.writeForever(ShortFields)
	}},
	{"requests sent ahead", Clients, func(c *Client) {
		c.writeForever(strings.Repeat(c.head("GET")+"\r\n", 50))
	}},
	{"senders of a byte now and then", Clients, func(c *Client) {
		c.writeSlowly(c.head("POST") + "Content-Length: 1000\r\n\r\n" + strings.Repeat("a", 1000))
	}},
	{"readers of a byte now and then", Clients, func(c *Client) {
		c.write(strings.Repeat(c.head("GET")+"\r\n", 50))
		c.readSlowly()
	}},
	{"closings half-way", Clients, func(c *Client) {
		c.write(c.head("POST") + "Content-Length: 100000\r\n\r\n" + strings.Repeat("a", 50_000))
		_ = c.Conn.(*net.TCPConn).CloseWrite() // Fails if the VM has closed the connection.
		c.hold()
	}},
	{"resets half-way", Clients, func(c *Client) {
		c.write(c.head("POST") + "Content-Length: 100000\r\n\r\n" + strings.Repeat("a", 50_000))
		_ = c.Conn.(*net.TCPConn).SetLinger(0) // Closes with a reset.
	}},
}

// All has each connection of a crowd do the next of the behaviours.
func All() Behaviour {
	next := atomic.Int64{}
	return Behaviour{"all kinds", Connections, func(c *Client) {
		Behaviours[int(next.Add(1))%len(Behaviours)].do(c)
	}}
}

// Run has the crowd press its target until it ends.
func (b Behaviour) Run(target Target) {
	end := time.Now().Add(runTime)
	clients := sync.WaitGroup{}
	for i := range b.clients {
		clients.Go(func() {
			for time.Now().Before(end) {
				b.Connect(target, i, end)
				time.Sleep(reconnectPause)
			}
		})
	}
	clients.Wait()
}

// Connect opens one connection and misbehaves on it until it is closed or the time has come.
func (b Behaviour) Connect(target Target, number int, end time.Time) {
	dialer := net.Dialer{Deadline: end}
	connection, err := dialer.Dial("tcp", target.Address)
	if err != nil {
		return // It was refused.
	}
	defer connection.Close()
	if connection.SetDeadline(end) == nil {
		b.do(&Client{connection, target, target.Paths[number%len(target.Paths)]})
	}
}

// OpenSockets counts the sockets and pipes of a process.
func OpenSockets(pid int) (count int64) {
	names, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid)) // The pattern is valid.
	for _, name := range names {
		target, err := os.Readlink(name)
		if err == nil && (strings.HasPrefix(target, "socket:") || strings.HasPrefix(target, "pipe:")) {
			count++
		}
	}
	return count
}

// PeakMemory returns the highest resident memory that a process has had, in bytes.
func PeakMemory(pid int) (peak int64, err error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Trace(err)
	}
	for line := range bytes.Lines(raw) {
		if value, found := bytes.CutPrefix(line, []byte("VmHWM:")); found {
			if _, err = fmt.Sscan(string(value), &peak); err != nil {
				return 0, errors.Trace(err)
			}
			return peak << 10, nil
		}
	}
	return 0, errors.Errorf("the status of process %d has no VmHWM", pid)
}
