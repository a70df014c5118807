package pool

import (
	"context"
	"math"
	"time"

	"github.com/endivespoke/endivespoke/internal/backend/placement"
)

const (
	// newestCallWeight is the weight of the newest call in a server's moving averages.
	newestCallWeight = 0.15
	// failureHalfLife is the time after which a server's failure rate counts half, so
	// that a server that gets no calls is tried again.
	failureHalfLife = 2 * time.Second
	// latencyHalfLife is the time after which a server's latency counts half, for the same
	// reason.
	latencyHalfLife = time.Second
)

// Lease is work on a server. Down is closed when the server is found down. CopyLost is
// closed when the holder of the stream's copy is lost, when both the server and the
// holder are leaving, or at once if there is no holder. Load is the state of the server
// at the time of the choice, for the log. CanMove reports whether the stream can be moved
// to another server.
type Lease struct {
	Server   Server
	Down     chan struct{}
	CopyLost chan struct{}
	Load     placement.Candidate
	CanMove  bool
	// Permit is the serial of the permit for the request, 0 if the server names no limit.
	Permit uint64

	place      uint64 // Serial of its place at a brittle server; 0 if it needs none.
	begun      bool   // That it runs has been reported for the place.
	refused    bool
	pool       *Pool
	server     *server
	stream     bool
	demand     placement.Demand
	started    bool // The first event has arrived, or the prompt need not be processed.
	copyHolder *server
	// copyLost is closed when the present holder is lost. It is CopyLost for the first
	// holder, and a channel of its own for each later one.
	copyLost       chan struct{}
	downClosed     bool // Down is closed.
	copyLostClosed bool // copyLost is closed.
	released       bool
	account        string
	chosenAt       time.Time
}

func (p *Pool) newLease(s *server, lease *Lease) *Lease {
	lease.Server = s.Server
	lease.Down = make(chan struct{})
	lease.CopyLost = make(chan struct{})
	lease.copyLost = lease.CopyLost
	lease.pool = p
	lease.server = s
	s.leases[lease] = true
	return lease
}

func (l *Lease) signalDown() {
	if !l.downClosed {
		l.downClosed = true
		close(l.Down)
	}
}

func (l *Lease) signalCopyLost() {
	if !l.copyLostClosed {
		l.copyLostClosed = true
		close(l.copyLost)
	}
}

// ReplaceCopyHolder chooses another holder for the stream's copy; nil if no server has
// capacity. The channel lost is closed when that holder is lost. CopyLost is about the
// first holder only.
func (l *Lease) ReplaceCopyHolder() (holder *Server, lost chan struct{}) {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.released {
		return nil, nil
	}
	l.releaseCopyHolder()
	chosen := p.chooseForCopy(Criteria{Service: l.Server.Service, Demand: l.demand}, l.server, p.options.Now())
	if chosen == nil {
		return nil, nil
	}
	chosen.copyTokens += l.demand.Tokens()
	l.copyHolder = chosen
	l.copyLost, l.copyLostClosed = make(chan struct{}), false
	entry := chosen.Server
	return &entry, l.copyLost
}

// Version returns the version of the server for what must not go to another version: a process that is
// not listed yet has one of its own; see Pool.ResolveVersion.
func (l *Lease) Version() string {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	return l.server.exactVersion()
}

// IsLeaving reports whether the stream's server is shutting down or no longer listed.
func (l *Lease) IsLeaving() bool {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	return l.server.isDeparting()
}

// IsDown reports whether the server was found down and not up again since.
func (l *Lease) IsDown() bool {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	return l.server.down
}

// IsGone reports whether the server's process is known to have ended. A server that is merely down
// may still run what it was sent, and answer on connections that are open.
func (l *Lease) IsGone() bool {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	return l.server.replaced || (l.server.down && !l.server.terminatedAt.IsZero())
}

// MarkStarted records that the first event of the stream arrived.
func (l *Lease) MarkStarted() {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.recordRead(l.pool.options.Now())
	l.started = true
	l.beginPlace()
}

// RecordActivity records that the server sent something.
func (l *Lease) RecordActivity() {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	now := l.pool.options.Now()
	l.server.lastActivityAt = now
	l.server.answeredAt = now
}

// Release returns the capacity that the lease holds. Further calls have no effect.
func (l *Lease) Release() {
	l.release()
	if l.stream {
		l.pool.options.OnHeadroom()
	}
}

func (l *Lease) release() {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	if l.released {
		return
	}
	l.released = true
	l.recordEnd(l.pool.options.Now())
	delete(l.server.leases, l)
	l.endPlace()
	if !l.stream {
		l.server.calls--
	}
	l.releaseCopyHolder()
}

// releaseCopyHolder returns the capacity held at the copy's holder. Called with the lock
// held.
func (l *Lease) releaseCopyHolder() {
	if l.copyHolder != nil {
		l.copyHolder.copyTokens -= l.demand.Tokens()
		l.copyHolder = nil
	}
}

// RecordCall records the duration and the outcome of a short call.
func (l *Lease) RecordCall(took time.Duration, failed bool) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	s := l.server
	now := l.pool.options.Now()
	s.lastActivityAt = now
	s.recordOutcome(now, failed)
	if failed {
		return
	}
	s.answeredAt = now
	s.recordLatency(now, float64(took)/float64(time.Millisecond))
}

// recordLatency adds a call to the average, in which older calls weigh the less the longer ago
// they were.
func (s *server) recordLatency(now time.Time, millis float64) {
	older := (1 - newestCallWeight) * halvings(now.Sub(s.latencyAt), latencyHalfLife)
	if s.latencyMillis == 0 {
		older = 0
	}
	s.latencyMillis = older*s.latencyMillis + (1-older)*millis
	s.latencyAt = now
}

// decayedLatency returns the latency that is expected of a server. It decays while the server
// gets no calls: otherwise one slow answer would exclude it for as long as others are quicker. The
// first call to it then measures it again, and no other is sent on the decayed value.
func (s *server) decayedLatency(now time.Time) float64 {
	if s.calls > 0 {
		return s.latencyMillis
	}
	return s.latencyMillis * halvings(now.Sub(s.latencyAt), latencyHalfLife)
}

func halvings(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-max(elapsed, 0).Seconds() / halfLife.Seconds())
}

func (s *server) recordOutcome(now time.Time, failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	rate := s.decayedFailures(now)
	s.failureRate = rate + newestCallWeight*(value-rate)
	s.failureAt = now
}

func (s *server) decayedFailures(now time.Time) float64 {
	halfLives := float64(now.Sub(s.failureAt)) / float64(failureHalfLife)
	return s.failureRate / (1 + halfLives)
}

// MarkReplaced records that another process has the server's address, and announces to
// peers that this one terminated.
func (l *Lease) MarkReplaced() {
	l.pool.mu.Lock()
	known := l.server.replaced
	l.pool.markReplaced(l.server)
	l.pool.startIdentify(l.server)
	l.pool.mu.Unlock()
	if !known {
		l.pool.options.AnnounceLoss(l.Server, true)
	}
}

// ReportBroken records that a connection to the server broke or that nothing arrives on
// it. The server is checked, unless a check is running already.
func (l *Lease) ReportBroken() {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.server.recordOutcome(l.pool.options.Now(), true)
	l.pool.startCheck(l.server)
}

// ReportUnreachable records that no connection to the server could be opened.
func (l *Lease) ReportUnreachable(cause error) {
	l.pool.handleCheck(l.server, cause)
}

// Check opens a connection to the server and reports whether it is up.
func (l *Lease) Check(ctx context.Context) (up bool) {
	return l.pool.check(ctx, l.server, l.Server.Address)
}

// CheckIfInactive checks the server if nothing was received from it since the given time.
func (l *Lease) CheckIfInactive(since time.Time) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	if l.server.lastActivityAt.Before(since) {
		l.pool.startCheck(l.server)
	}
}
