// Package reach opens connections to backend servers, and finds out whether this VM can. A VM may be
// partitioned from all servers while its callers and its peers reach it: its connections then hang or are
// reset. A connection that can't be opened directly is opened through a peer.
//
// # Usage
//
//	dialer := reach.New(reach.Options{Direct: http1.Dial, Through: dialThroughPeer, Others: others, Now: time.Now, OnChange: ...})
//	connection, err := dialer.Dial(ctx, address)
//	if errors.Is(err, reach.ErrDoubtful) { ... } // It tells nothing of the server.
//	dialer.Probe(ctx, address) // Regularly while no server is heard from, or a partition is suspected or known.
//
// A dial that fails is the server's failure if another server is reached after it, or if a peer can't reach
// the server either. This VM is partitioned once three servers in a row can be reached through a peer only,
// until a direct connection to one succeeds again. While it is partitioned and no peer offers a way, a dial
// waits for one: peers may be starting.
package reach

import (
	"context"
	"maps"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/peer/tunnel"
)

// ErrDoubtful means that a dial has failed, and that this may be the fault of this VM.
const ErrDoubtful = errors.ConstError("this VM may be partitioned from the servers")

const (
	// directPatience is how long a direct dial may take before a peer is asked as well. Servers are a
	// few milliseconds away.
	directPatience = 60 * time.Millisecond
	// probePatience is how long a dial of another server may take that tells whose failure a dial was.
	probePatience = 60 * time.Millisecond
	// detourTimeout bounds the detour to a server whose direct probe may have used all its time.
	detourTimeout = 250 * time.Millisecond
	// probePause is the time between such dials while none succeeds.
	probePause = 100 * time.Millisecond
	// doubtfulServers is the number of servers in a row that are not reached from which on it may be this
	// VM's fault if no peer can tell.
	doubtfulServers = 2
	// waitInterval is how often a partitioned VM looks for a peer that offers a way.
	waitInterval = 20 * time.Millisecond
	// knownDownTTL is how long a failure that was the server's tells of later ones at its address, which another
	// server may get.
	knownDownTTL = 2 * time.Second
	// partitionServers is the number of servers in a row that only peers reach if this VM is partitioned. A
	// link that loses packets makes single dials fail.
	partitionServers = 3
	// pauseThreshold is how long after its deadline a dial fails in a process that was paused: it tells nothing.
	pauseThreshold = 100 * time.Millisecond
)

// Options configures a Dialer.
type Options struct {
	Direct func(ctx context.Context, address string) (net.Conn, error)
	// Through opens a connection through a peer. The error is tunnel.ErrUnavailable if no peer can tell
	// whether it is the server's.
	Through func(ctx context.Context, address string) (net.Conn, error)
	// Others returns the addresses of a few other servers than the one at an address.
	Others func(address string) []string
	Now    func() time.Time
	// OnChange is called when a partition of this VM is detected and when it has ended.
	OnChange func(change Change)
}

// Change is the start or the end of a partition from the servers. Silent means that packets are dropped, so that
// connections hang: those that were opened before Since and have received nothing after it are dead.
type Change struct {
	Partitioned bool
	Silent      bool
	Since       time.Time
}

// Dialer is safe for concurrent use.
type Dialer struct {
	options Options

	probing sync.Mutex
	probeAt time.Time // When other servers may be probed again, after none was reached. Guarded by probing.

	mu          sync.Mutex
	partitioned bool
	reachedAt   time.Time       // When a direct dial last succeeded.
	unreached   map[string]bool // Addresses that could not be dialled directly since.
	detoured    map[string]bool // Those of them that a peer reaches.
	silent      bool            // One of the failed dials was not even refused.
	since       time.Time       // When the first of them began.
	// knownDown is, by address, until when failures are known to be the server's.
	knownDown map[string]time.Time
}

// New returns a Dialer.
func New(options Options) *Dialer {
	return &Dialer{options: options, unreached: map[string]bool{}, detoured: map[string]bool{}, knownDown: map[string]time.Time{}}
}

// IsPartitioned reports whether this VM reaches servers through peers only.
func (d *Dialer) IsPartitioned() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.partitioned
}

// Dial opens a connection to a server. The error is ErrDoubtful if it tells nothing of the server.
func (d *Dialer) Dial(ctx context.Context, address string) (connection net.Conn, err error) {
	if d.IsPartitioned() {
		return d.awaitWay(ctx, address)
	}
	began := d.options.Now()
	direct := make(chan result, 1)
	go func() { direct <- resultOf(d.directToEnd(ctx, address)) }()
	patience := time.NewTimer(directPatience)
	defer patience.Stop()
	var failure error
	select {
	case r := <-direct:
		if r.err == nil || d.isServersFailure(ctx, address, began) {
			return r.connection, r.err
		}
		failure, direct = r.err, nil
	case <-patience.C:
	}
	through := make(chan result, 1)
	go func() { through <- resultOf(d.options.Through(ctx, address)) }()
	for {
		select {
		case r := <-direct:
			if r.err == nil {
				go discard(through)
				return r.connection, nil
			}
			failure, direct = r.err, nil
		case r := <-through:
			if r.err == nil {
				go d.settle(address, failure, direct)
				return r.connection, nil
			}
			if direct != nil {
				last := <-direct
				failure = last.err
				if last.err == nil {
					return last.connection, nil
				}
			}
			return nil, d.conclude(ctx, address, failure, r.err, began)
		}
	}
}

// awaitWay opens a connection through a peer, and waits while none offers a way.
func (d *Dialer) awaitWay(ctx context.Context, address string) (connection net.Conn, err error) {
	for d.IsPartitioned() {
		connection, err = d.options.Through(ctx, address)
		if err == nil || !errors.Is(err, tunnel.ErrUnavailable) {
			return connection, err
		}
		select {
		case <-ctx.Done():
			return nil, errors.Annotate(ErrDoubtful, err.Error())
		case <-time.After(waitInterval):
		}
	}
	return d.direct(ctx, address)
}

// conclude returns the error of a server that was reached neither directly nor through a peer.
func (d *Dialer) conclude(ctx context.Context, address string, failure, throughFailure error, began time.Time) error {
	if !errors.Is(throughFailure, tunnel.ErrUnavailable) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.rememberDown(address)
		return throughFailure
	}
	if d.isServersFailure(ctx, address, began) {
		return failure
	}
	if d.isDoubtful() {
		return errors.Annotatef(ErrDoubtful, "%v; through peers: %v", failure, throughFailure)
	}
	return failure
}

// rememberDown notes that failures at an address are the server's. Called with the lock held.
func (d *Dialer) rememberDown(address string) {
	now := d.options.Now()
	maps.DeleteFunc(d.knownDown, func(_ string, until time.Time) bool { return now.After(until) })
	d.knownDown[address] = now.Add(knownDownTTL)
}

// isServersFailure reports whether a dial that has begun at a time has failed for the server's fault: another
// server is reached after it.
func (d *Dialer) isServersFailure(ctx context.Context, address string, began time.Time) bool {
	d.mu.Lock()
	isKnown := d.options.Now().Before(d.knownDown[address])
	d.mu.Unlock()
	if isKnown {
		return true
	}
	d.probeOthers(ctx, address, began)
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.reachedAt.After(began) {
		return false
	}
	d.rememberDown(address)
	return true
}

// isDoubtful reports whether several servers in a row were not reached.
func (d *Dialer) isDoubtful() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.unreached) >= doubtfulServers
}

// probeOthers dials other servers until one has been reached after a time. The deadline of the dial that has
// failed may have passed. Dials that fail together share one probe.
func (d *Dialer) probeOthers(ctx context.Context, address string, after time.Time) {
	d.probing.Lock()
	defer d.probing.Unlock()
	if d.isDoubtful() && d.options.Now().Before(d.probeAt) {
		return
	}
	for _, other := range d.options.Others(address) {
		if d.ReachedAt().After(after) {
			return
		}
		probeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probePatience)
		connection, err := d.direct(probeCtx, other)
		cancel()
		if err == nil {
			_ = connection.Close()
			return
		}
	}
	d.probeAt = d.options.Now().Add(probePause)
}

// DialForPeer opens a direct connection on behalf of another VM. The error is tunnel.ErrUnavailable if it tells
// nothing of the server.
func (d *Dialer) DialForPeer(ctx context.Context, address string) (connection net.Conn, err error) {
	if d.IsPartitioned() {
		return nil, errors.Annotate(tunnel.ErrUnavailable, ErrDoubtful.Error())
	}
	began := d.options.Now()
	if connection, err = d.direct(ctx, address); err != nil && !d.isServersFailure(ctx, address, began) {
		return nil, errors.Annotatef(tunnel.ErrUnavailable, "%v: %v", ErrDoubtful, err)
	}
	return connection, err
}

// Probe opens a connection to find out whether a server can be reached directly. The connection is closed.
func (d *Dialer) Probe(ctx context.Context, address string) (reached bool) {
	connection, err := d.direct(ctx, address)
	if err == nil {
		_ = connection.Close()
		return true
	}
	if d.IsPartitioned() {
		return false
	}
	throughCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), detourTimeout)
	defer cancel()
	if detour, throughErr := d.options.Through(throughCtx, address); throughErr == nil {
		_ = detour.Close()
		d.settle(address, err, nil)
	}
	return false
}

// IsSuspected reports whether a server was reached through a peer only, and none directly since.
func (d *Dialer) IsSuspected() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.partitioned && len(d.detoured) > 0
}

// ReachedAt is when a server was last reached directly; zero if none ever was.
func (d *Dialer) ReachedAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reachedAt
}

// directToEnd dials directly and ignores cancellation: the outcome of the dial is evidence even if its
// connection is no longer needed.
func (d *Dialer) directToEnd(ctx context.Context, address string) (net.Conn, error) {
	if deadline, found := ctx.Deadline(); found {
		uncancelled, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
		defer cancel()
		return d.direct(uncancelled, address)
	}
	return d.direct(ctx, address)
}

type result struct {
	connection net.Conn
	err        error
}

func resultOf(connection net.Conn, err error) result {
	return result{connection: connection, err: err}
}

// discard closes a connection that came too late.
func discard(results <-chan result) {
	if r := <-results; r.err == nil {
		_ = r.connection.Close()
	}
}

// settle records that a peer reaches a server, once it is known that this VM does not.
func (d *Dialer) settle(address string, failure error, direct <-chan result) {
	if direct != nil {
		r := <-direct
		if r.err == nil {
			_ = r.connection.Close()
			return
		}
		failure = r.err
	}
	d.mu.Lock()
	if !d.unreached[address] {
		d.mu.Unlock()
		return // A dial has succeeded meanwhile.
	}
	d.detoured[address] = true
	d.silent = d.silent || !isRefusal(failure)
	changed := !d.partitioned && len(d.detoured) >= partitionServers
	d.partitioned = d.partitioned || changed
	change := Change{Partitioned: true, Silent: d.silent, Since: d.since}
	d.mu.Unlock()
	if changed {
		d.options.OnChange(change)
	}
}

func isRefusal(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// direct dials directly and records the outcome.
func (d *Dialer) direct(ctx context.Context, address string) (connection net.Conn, err error) {
	began := d.options.Now()
	connection, err = d.options.Direct(ctx, address)
	deadline, found := ctx.Deadline()
	wasPaused := found && d.options.Now().Sub(deadline) > pauseThreshold
	if err != nil && (wasPaused || errors.Is(err, context.Canceled)) {
		return nil, err // No evidence.
	}
	d.mu.Lock()
	if err != nil {
		if len(d.unreached) == 0 {
			d.since = began
		}
		d.unreached[address] = true
		d.mu.Unlock()
		return nil, err
	}
	changed := d.partitioned
	d.partitioned, d.silent = false, false
	d.reachedAt = d.options.Now()
	d.unreached, d.detoured = map[string]bool{}, map[string]bool{}
	delete(d.knownDown, address)
	d.mu.Unlock()
	if changed {
		d.options.OnChange(Change{})
	}
	return connection, nil
}
