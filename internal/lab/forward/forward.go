// Package forward is a TCP proxy that injects network faults: dropped data, resets,
// delays and partitions.
//
// # Usage
//
//	f, err := forward.New("127.0.0.1:9000")
//	defer f.Close()
//	f.Address()          // connect here instead of to the target
//	f.Blackhole()        // open connections drop everything, new ones work
//	f.BlackholeOneWay()  // the same, only towards the side that connected
//	f.Reset()            // open connections are reset
//	f.Delay(d)           // every chunk is delayed by d
//	f.Block(func(prefix []byte) bool { ... }) // matching connections drop everything, new ones too
package forward

import (
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// prefixBytes is the length up to which the first bytes of a connection are collected for
// the match function of Block.
const prefixBytes = 4096

// pair is one forwarded connection: the accepted connection and the one to the target.
type pair struct {
	downstream, upstream net.Conn
	dropUpstream         bool // Data to the target is dropped.
	dropDownstream       bool // Data from the target is dropped.
	prefix               []byte
}

// Forwarder forwards connections to a target. It is safe for concurrent use.
type Forwarder struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	pairs map[*pair]bool
	match func(prefix []byte) bool
	delay time.Duration
}

// New listens on a free loopback port for connections to the target.
func New(target string) (f *Forwarder, err error) {
	f = &Forwarder{target: target, pairs: map[*pair]bool{}}
	if f.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, errors.Trace(err)
	}
	go f.accept()
	return f, nil
}

// Address returns the address on which the forwarder listens.
func (f *Forwarder) Address() string {
	return f.listener.Addr().String()
}

// Close stops the forwarder and closes all its connections.
func (f *Forwarder) Close() {
	_ = f.listener.Close() // Fails only if it is closed already.
	f.mu.Lock()
	defer f.mu.Unlock()
	for p := range f.pairs {
		p.close()
	}
}

func (p *pair) close() {
	_ = p.downstream.Close() // Both connections may be closed already.
	_ = p.upstream.Close()
}

// Blackhole makes every open connection drop all data for good, in both directions. It
// returns how many connections there were.
func (f *Forwarder) Blackhole() int {
	return f.blackhole(true, true)
}

// BlackholeOneWay makes every open connection drop all data for good towards the side
// that connected; what that side sends still arrives. It returns how many connections
// there were.
func (f *Forwarder) BlackholeOneWay() int {
	return f.blackhole(false, true)
}

func (f *Forwarder) blackhole(toUpstream, toDownstream bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for p := range f.pairs {
		p.dropUpstream = p.dropUpstream || toUpstream
		p.dropDownstream = p.dropDownstream || toDownstream
	}
	return len(f.pairs)
}

// Reset resets every open connection at both ends.
func (f *Forwarder) Reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for p := range f.pairs {
		for _, conn := range []net.Conn{p.downstream, p.upstream} {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // Close then sends a reset. Fails only if the connection is closed already.
			}
		}
		p.close()
	}
}

// Delay delays every chunk that is forwarded from now on.
func (f *Forwarder) Delay(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = delay
}

func (f *Forwarder) sleepDelay() {
	f.mu.Lock()
	delay := f.delay
	f.mu.Unlock()
	time.Sleep(delay)
}

// Block makes open and new connections whose first bytes match drop all data, until the
// match function is replaced. A nil function blocks nothing, and closes the connections
// that drop data to the target, as when a partition heals.
func (f *Forwarder) Block(match func(prefix []byte) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.match = match
	for p := range f.pairs {
		switch {
		case match != nil && match(p.prefix):
			p.dropUpstream, p.dropDownstream = true, true
		case match == nil && p.dropUpstream:
			p.close()
		}
	}
}

func (f *Forwarder) accept() {
	for {
		downstream, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.serve(downstream)
	}
}

func (f *Forwarder) serve(downstream net.Conn) {
	upstream, err := net.Dial("tcp", f.target)
	if err != nil {
		_ = downstream.Close() // The client sees a closed connection, as if the target had refused it.
		return
	}
	p := &pair{downstream: downstream, upstream: upstream}
	f.mu.Lock()
	f.pairs[p] = true
	f.mu.Unlock()
	var copying sync.WaitGroup
	copying.Add(2)
	go func() {
		defer copying.Done()
		f.copyOneWay(downstream, upstream, p, true)
	}()
	go func() {
		defer copying.Done()
		f.copyOneWay(upstream, downstream, p, false)
	}()
	copying.Wait()
	p.close()
	f.mu.Lock()
	delete(f.pairs, p)
	f.mu.Unlock()
}

// copyOneWay copies one direction. A direction that drops data goes on reading, so that
// the sender sees no back-pressure and no error.
func (f *Forwarder) copyOneWay(from, to net.Conn, p *pair, toUpstream bool) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		f.sleepDelay()
		if count > 0 && !f.isDropped(p, toUpstream, buffer[:count]) {
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			f.propagateClose(to, p, toUpstream)
			return
		}
	}
}

// propagateClose closes the receiving connection after its source has ended, unless the
// direction drops data.
func (f *Forwarder) propagateClose(to net.Conn, p *pair, toUpstream bool) {
	if !f.isDropped(p, toUpstream, nil) {
		_ = to.Close() // Closes both directions: half-closed connections are not supported.
	}
}

// isDropped reports whether a direction drops data. The match function is applied to
// each chunk towards the target until prefixBytes have arrived.
func (f *Forwarder) isDropped(p *pair, toUpstream bool, chunk []byte) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if toUpstream && len(p.prefix) < prefixBytes {
		p.prefix = append(p.prefix, chunk...)
		if f.match != nil && f.match(p.prefix) {
			p.dropUpstream, p.dropDownstream = true, true
		}
	}
	if toUpstream {
		return p.dropUpstream
	}
	return p.dropDownstream
}
