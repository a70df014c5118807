package pool

import (
	"context"
	"time"

	"github.com/endivespoke/endivespoke/internal/backend/placement"
)

const (
	// callMemory is the weight of the newest call in a server's averages.
	callMemory = 0.15
	// failureHalfLife is how soon a server's failures count half, so that one that
	// gets no calls is tried again.
	failureHalfLife = 2 * time.Second
)

// Lease is work on a server. Down is closed when the server is found down, and
// CopyLost when the holder of the stream's copy is, or if there is none. Load is
// what was known of the server when it was chosen, for the log. Moves tells
// whether the stream can be moved.
type Lease struct {
	Server   Server
	Down     chan struct{}
	CopyLost chan struct{}
	Load     placement.Candidate
	CanMove  bool

	pool    *Pool
	server  *server
	stream  bool
	need    placement.Demand
	started bool // The first event has arrived.
	backup  *server
	// copyLost is closed when the present holder is lost: CopyLost, or that of a later one.
	copyLost chan struct{}
	told     bool // Down is closed.
	lost     bool // CopyLost is closed.
	ended    bool
}

func (p *Pool) lease(s *server, lease *Lease) *Lease {
	lease.Server = s.Server
	lease.Down = make(chan struct{})
	lease.CopyLost = make(chan struct{})
	lease.copyLost = lease.CopyLost
	lease.pool = p
	lease.server = s
	s.leases[lease] = true
	return lease
}

func (l *Lease) tellDown() {
	if !l.told {
		l.told = true
		close(l.Down)
	}
}

func (l *Lease) tellCopyLost() {
	if !l.lost {
		l.lost = true
		close(l.copyLost)
	}
}

// ReplaceCopyHolder gives the stream another holder for its copy; nil if none has room. Lost is
// closed when that is lost. CopyLost speaks of the first holder only.
func (l *Lease) ReplaceCopyHolder() (holder *Server, lost chan struct{}) {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.ended {
		return nil, nil
	}
	l.leaveHolder()
	chosen := p.chooseForCopy(Criteria{Service: l.Server.Service, Demand: l.need}, l.server, p.options.Now())
	if chosen == nil {
		return nil, nil
	}
	chosen.copies += l.need.Tokens()
	l.backup = chosen
	l.copyLost, l.lost = make(chan struct{}), false
	described := chosen.Server
	return &described, l.copyLost
}

// IsLeaving reports whether the stream's server ends soon.
func (l *Lease) IsLeaving() bool {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	return l.server.leaves()
}

// MarkStarted tells that the first event of the stream arrived.
func (l *Lease) MarkStarted() {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.started = true
}

// RecordActivity tells that the server sent something.
func (l *Lease) RecordActivity() {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	now := l.pool.options.Now()
	l.server.heardAt = now
	l.server.answeredAt = now
}

// Release gives the room back. Calling it again does nothing.
func (l *Lease) Release() {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	if l.ended {
		return
	}
	l.ended = true
	delete(l.server.leases, l)
	if !l.stream {
		l.server.calls--
	}
	l.leaveHolder()
}

// leaveHolder gives the room of the copy's holder back. Called with the lock held.
func (l *Lease) leaveHolder() {
	if l.backup != nil {
		l.backup.copies -= l.need.Tokens()
		l.backup = nil
	}
}

// RecordCall notes how a short call went.
func (l *Lease) RecordCall(took time.Duration, failed bool) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	s := l.server
	now := l.pool.options.Now()
	s.heardAt = now
	s.note(now, failed)
	if failed {
		return
	}
	s.answeredAt = now
	millis := float64(took) / float64(time.Millisecond)
	if s.latency == 0 {
		s.latency = millis
	}
	s.latency += callMemory * (millis - s.latency)
}

func (s *server) note(now time.Time, failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	rate := s.decayedFailures(now)
	s.failureRate = rate + callMemory*(value-rate)
	s.failureAt = now
}

func (s *server) decayedFailures(now time.Time) float64 {
	halves := float64(now.Sub(s.failureAt)) / float64(failureHalfLife)
	return s.failureRate / (1 + halves)
}

// MarkReplaced tells that another instance has the server's address. Peers are told
// that this one is gone.
func (l *Lease) MarkReplaced() {
	l.pool.mu.Lock()
	known := l.server.replaced
	l.pool.replace(l.server)
	l.pool.startIdentify(l.server)
	l.pool.mu.Unlock()
	if !known {
		l.pool.options.AnnounceLoss(l.Server, true)
	}
}

// ReportBroken tells that a connection to the server broke, or that nothing arrives on
// it. The server is checked, unless a check already runs.
func (l *Lease) ReportBroken() {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.server.note(l.pool.options.Now(), true)
	l.pool.startCheck(l.server)
}

// ReportUnreachable tells that no connection to the server could be opened.
func (l *Lease) ReportUnreachable(cause error) {
	l.pool.checked(l.server, cause)
}

// Check opens a connection to learn at once whether the server is up.
func (l *Lease) Check(ctx context.Context) (up bool) {
	return l.pool.check(ctx, l.server, l.Server.Address)
}

// CheckIfInactive checks the server if nothing was heard of it since a moment.
func (l *Lease) CheckIfInactive(since time.Time) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	if l.server.heardAt.Before(since) {
		l.pool.startCheck(l.server)
	}
}
