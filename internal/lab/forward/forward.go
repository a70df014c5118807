// Package forward passes TCP connections on to a target and can make them fail
// in the ways that networks do.
//
// # Usage
//
//	f, err := forward.New("127.0.0.1:9000")
//	defer f.Close()
//	f.Address()          // connect here instead
//	f.Blackhole()        // open connections drop everything, new ones work
//	f.BlackholeOneWay()  // the same, only towards the side that connected
//	f.Reset()            // open connections are reset
//	f.Delay(d)           // everything takes longer by d
//	f.Block(func(first []byte) bool { ... }) // new connections that match hang too
package forward

import (
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// firstBytes is how much of a connection's beginning a rule is shown.
const firstBytes = 4096

// pair is one forwarded connection.
type pair struct {
	near, far net.Conn
	quietUp   bool // Nothing more goes to the target.
	quietDown bool // Nothing more goes back.
	first     []byte
}

// Forwarder passes connections on. It is safe for concurrent use.
type Forwarder struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	pairs map[*pair]bool
	rule  func(first []byte) bool
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

// Address is where to connect.
func (f *Forwarder) Address() string {
	return f.listener.Addr().String()
}

// Close ends the forwarder and all its connections.
func (f *Forwarder) Close() {
	_ = f.listener.Close() // It is only closed here.
	f.mu.Lock()
	defer f.mu.Unlock()
	for p := range f.pairs {
		p.close()
	}
}

func (p *pair) close() {
	_ = p.near.Close() // Both ends may have closed already.
	_ = p.far.Close()
}

// Blackhole makes every open connection silent for good, both ways. It gives how
// many connections there were.
func (f *Forwarder) Blackhole() int {
	return f.quiet(true, true)
}

// BlackholeOneWay makes every open connection silent for good towards the end
// that connected; what that end sends still arrives.
func (f *Forwarder) BlackholeOneWay() int {
	return f.quiet(false, true)
}

func (f *Forwarder) quiet(up, down bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for p := range f.pairs {
		p.quietUp = p.quietUp || up
		p.quietDown = p.quietDown || down
	}
	return len(f.pairs)
}

// Reset resets every open connection at both ends.
func (f *Forwarder) Reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for p := range f.pairs {
		for _, end := range []net.Conn{p.near, p.far} {
			if tcp, ok := end.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // It may have closed already.
			}
		}
		p.close()
	}
}

// Delay holds up everything that is passed from now on.
func (f *Forwarder) Delay(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = delay
}

func (f *Forwarder) wait() {
	f.mu.Lock()
	delay := f.delay
	f.mu.Unlock()
	time.Sleep(delay)
}

// Block makes every connection whose beginning matches the rule silent, open
// ones and new ones, until the rule is replaced. A nil rule blocks nothing; the
// connections that it made silent are then closed, as when a partition heals.
func (f *Forwarder) Block(rule func(first []byte) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rule = rule
	for p := range f.pairs {
		switch {
		case rule != nil && rule(p.first):
			p.quietUp, p.quietDown = true, true
		case rule == nil && p.quietUp:
			p.close()
		}
	}
}

func (f *Forwarder) accept() {
	for {
		near, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.serve(near)
	}
}

func (f *Forwarder) serve(near net.Conn) {
	far, err := net.Dial("tcp", f.target)
	if err != nil {
		_ = near.Close() // As if the target had refused.
		return
	}
	p := &pair{near: near, far: far}
	f.mu.Lock()
	f.pairs[p] = true
	f.mu.Unlock()
	var waiting sync.WaitGroup
	waiting.Add(2)
	go func() {
		defer waiting.Done()
		f.pass(near, far, p, true)
	}()
	go func() {
		defer waiting.Done()
		f.pass(far, near, p, false)
	}()
	waiting.Wait()
	p.close()
	f.mu.Lock()
	delete(f.pairs, p)
	f.mu.Unlock()
}

// pass copies one direction. A silent direction goes on reading and drops what
// it reads, so that the sender notices nothing.
func (f *Forwarder) pass(from, to net.Conn, p *pair, up bool) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		f.wait()
		if count > 0 && !f.isQuiet(p, up, buffer[:count]) {
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			f.passEnd(to, p, up)
			return
		}
	}
}

// passEnd passes the end of a direction on, unless it is silent.
func (f *Forwarder) passEnd(to net.Conn, p *pair, up bool) {
	if !f.isQuiet(p, up, nil) {
		_ = to.Close() // The other direction has nobody to talk to.
	}
}

func (f *Forwarder) isQuiet(p *pair, up bool, chunk []byte) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if up && len(p.first) < firstBytes {
		p.first = append(p.first, chunk...)
		if f.rule != nil && f.rule(p.first) {
			p.quietUp, p.quietDown = true, true
		}
	}
	if up {
		return p.quietUp
	}
	return p.quietDown
}
