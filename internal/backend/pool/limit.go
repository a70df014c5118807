package pool

import (
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/peer/permit"
)

// A server may name a limit: the number of requests a second that it takes from all VMs together.
// Each request to such a server, whatever it is for, needs a permit from the server's bucket,
// which one VM keeps for all; see package permit. Calls and streams take theirs in acquire, all
// other requests in TakePermit. After a denial a server is not chosen until the next permit is due:
//
//	limit named      permit denied      wait is over     2 answers name no limit
//	|----------------|------------------|----------------|
//	permits needed   not a candidate    asked again      no permits needed

// ErrNoPermit means that a server takes no more requests at present.
const ErrNoPermit = errors.ConstError("the server's limit permits no request now")

// Purpose is why a request is sent to a server.
type Purpose string

// Purposes of requests to servers. All of them count against a server's limit.
const (
	PurposeCall     Purpose = "call"
	PurposeRetry    Purpose = "retry" // Of a call.
	PurposeHedge    Purpose = "hedge" // A second server for a call, while the first has not answered.
	PurposeStream   Purpose = "stream"
	PurposeResume   Purpose = "resume" // A stream that continues after an interruption.
	PurposeMove     Purpose = "move"   // Moves a run's memory to another server.
	PurposeCopy     Purpose = "copy"   // Copies it.
	PurposeFree     Purpose = "free"   // Drops a copy.
	PurposeIdentify Purpose = "identify"
)

// isPreventive reports whether a request serves no caller yet.
func (p Purpose) isPreventive() bool {
	return p == PurposeMove || p == PurposeCopy || p == PurposeFree
}

// Reply describes the answer of a server. Permit is that of the request, 0 if it had none.
type Reply struct {
	Purpose Purpose
	Status  int
	Refused bool // The server did not run the request.
	Permit  uint64
}

// kind distinguishes answers that may differ in what they report: of runs, of refusals, and of
// requests that run nothing.
func (r Reply) kind() string {
	switch {
	case r.Purpose.isPreventive() || r.Purpose == PurposeIdentify:
		return "order"
	case r.Refused:
		return "refusal"
	default:
		return "run"
	}
}

// LimitChange is a change of the limit of a server. Reply is the answer that named it; it is
// zero if a peer reported the change.
type LimitChange struct {
	Server        Server
	Limited       bool
	Limit, Before float64 // Requests a second; 0 if it names none.
	Reply         Reply
}

// ServerLimit is the limit of a server, as VMs announce it.
type ServerLimit struct {
	ServerID string  `cbor:"1,keyasint"`
	Started  int64   `cbor:"2,keyasint,omitempty"` // See Server.Started.
	Limit    float64 `cbor:"3,keyasint,omitempty"`
}

const (
	// maxPermitRequests and permitTimeout bound the requests for permits for one request: each
	// takes the latency between two VMs.
	maxPermitRequests = 8
	permitTimeout     = 100 * time.Millisecond
	// minPermitWait is the minimum time between a denial and the next request for a permit.
	minPermitWait = time.Millisecond
	// maxReturnDelay bounds the time after which a refused caller is asked to return.
	maxReturnDelay = time.Minute
	// limitLogInterval is the shortest time between two reports of a server's changing limit.
	limitLogInterval = time.Second
	// sentLogInterval is the time between two reports of the requests to limited servers.
	sentLogInterval = time.Second
)

// limitState is what this VM knows of a server's limit.
type limitState struct {
	limited     bool
	limit       float64         // Requests a second.
	deniedUntil time.Time       // No permit is available until then.
	interval    time.Duration   // Between two permits for this VM, while all VMs that asked lately go on.
	loggedAt    time.Time       // When a change was last reported.
	sent        map[Purpose]int // Requests that this VM sent since the last report.
	denied      int             // Requests since then that got no permit.
	// noPlaceUntil is until when a brittle server has no place for this VM; see brittle.go.
	noPlaceUntil time.Time
}

// Sent is what this VM sent to a server with a limit since the last report. Denied counts the
// requests that got no permit; those that came while it waited for the next one are not counted.
type Sent struct {
	Server    Server
	Limit     float64
	ByPurpose map[Purpose]int
	Denied    int
}

// isDenied reports whether the server's limit permits no request now.
func (l *limitState) isDenied(now time.Time) bool {
	return (l.limited && now.Before(l.deniedUntil)) || now.Before(l.noPlaceUntil)
}

// chooser chooses a server; withLimit reports whether servers that name a limit or are brittle are candidates.
type chooser func(now time.Time, withLimit bool) *server

// acquire takes a lease on the server that choose returns, once there is a permit for it. Both
// functions are called with the lock held. A server that is denied is no candidate the next time,
// and none with a limit is once the time for permits is over.
func (p *Pool) acquire(isStream, urgent bool, versions VersionRule, choose chooser, begin func(chosen *server, now time.Time) *Lease) (lease *Lease, err error) {
	until := p.options.Now().Add(permitTimeout)
	for requests := 0; requests < maxPermitRequests && !p.options.Now().After(until); requests++ {
		if lease, err = p.acquireOnce(isStream, urgent, true, versions, choose, begin); !errors.Is(err, ErrNoPermit) {
			return lease, err
		}
	}
	return p.acquireOnce(isStream, urgent, false, versions, choose, begin)
}

func (p *Pool) acquireOnce(isStream, urgent, withLimit bool, versions VersionRule, choose chooser, begin func(chosen *server, now time.Time) *Lease) (lease *Lease, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	chosen := choose(now, withLimit)
	if chosen == nil {
		return nil, errors.Trace(ErrNone)
	}
	serial := uint64(0)
	if chosen.limited {
		request := chosen.permitRequest()
		request.Urgent = urgent
		p.mu.Unlock()
		reply := p.options.TakePermit(request)
		p.mu.Lock()
		now = p.options.Now()
		if serial, err = p.applyPermit(chosen, request, reply); err != nil {
			return nil, err
		}
		if !p.mayStillTake(chosen, versions, now) {
			return nil, errors.Trace(ErrNoPermit) // It changed meanwhile. The permit is lost.
		}
	}
	var place uint64
	if place, err = p.takePlace(chosen, versions, isStream, now); err != nil {
		return nil, err
	}
	lease = begin(chosen, p.options.Now())
	lease.Permit, lease.place = serial, place
	return lease, nil
}

// mayStillTake reports whether a server that was chosen before the lock was released still takes requests.
// Called with the lock held.
func (p *Pool) mayStillTake(chosen *server, versions VersionRule, now time.Time) bool {
	isExcluded := p.versionFilter(chosen.Service, versions.unbounded()).excludes(chosen)
	return !isExcluded && p.servers[chosen.ID] == chosen && chosen.acceptsWork() && !chosen.down && !chosen.inBackoff(now)
}

// permitRequest returns the request for a permit. Called with the lock held.
func (s *server) permitRequest() permit.Request {
	return permit.Request{Key: permitKey(s.Server), Rate: s.limit}
}

func permitKey(s Server) string {
	return "server/" + s.Process()
}

// applyPermit applies the reply to a request for a permit. Called with the lock held.
func (p *Pool) applyPermit(s *server, request permit.Request, reply permit.Reply) (serial uint64, err error) {
	now := p.options.Now()
	switch {
	case reply.Unbounded:
		change := LimitChange{Server: s.Server, Before: s.limit}
		s.limitState = limitState{}
		p.options.Go(func() { p.options.OnLimit(change) })
		return 0, nil
	case reply.Granted:
		s.interval = permitInterval(s.limit, reply.Askers)
		return reply.Serial, nil
	case !request.Preventive:
		s.denied++
		s.interval = permitInterval(s.limit, reply.Askers)
		s.deniedUntil = now.Add(max(reply.Wait, minPermitWait))
	}
	return 0, errors.Trace(ErrNoPermit)
}

// permitInterval returns the time between two permits for one of the VMs that ask for them.
func permitInterval(limit float64, askers int) time.Duration {
	seconds := float64(max(askers, 1)) / max(limit, 1/maxReturnDelay.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// TakePermit takes the permit for a request that needs no lease. Serial is 0 if the server names
// no limit. The error is ErrNoPermit if the request must not be sent now.
func (p *Pool) TakePermit(to Server, purpose Purpose) (serial uint64, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[to.ID]
	if s == nil || !s.limited {
		return 0, nil
	}
	request := s.permitRequest()
	request.Preventive = purpose.isPreventive()
	p.mu.Unlock()
	reply := p.options.TakePermit(request)
	p.mu.Lock()
	return p.applyPermit(s, request, reply)
}

// RecordSent counts a request that is about to be sent to a server.
func (p *Pool) RecordSent(to Server, purpose Purpose) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.servers[to.ID]
	if known == nil || !known.limited {
		return
	}
	if known.sent == nil {
		known.sent = map[Purpose]int{}
	}
	known.sent[purpose]++
}

// ApplyLimit applies the limit that a server's answer names. That an answer names none is for the
// issuer of the permits to evaluate: the answer may be older than the limit.
func (p *Pool) ApplyLimit(from Server, reply Reply, notice ServerNotice) {
	p.mu.Lock()
	known := p.servers[from.ID]
	if known == nil || !known.isSameProcess(from) {
		p.mu.Unlock()
		return
	}
	observation := permit.Observation{Key: permitKey(known.Server), Serial: reply.Permit, Kind: reply.kind(), Bounded: notice.Limited, Rate: notice.Limit}
	change := LimitChange{Server: known.Server, Limited: true, Limit: notice.Limit, Before: known.limit, Reply: reply}
	isNew := notice.Limited && !known.limited
	hasChanged := isNew || (notice.Limited && known.limit != notice.Limit)
	now := p.options.Now()
	isLogged := isNew || (hasChanged && now.Sub(known.loggedAt) >= limitLogInterval)
	if isLogged {
		known.loggedAt = now
	}
	if notice.Limited {
		known.limited, known.limit = true, notice.Limit
	}
	p.mu.Unlock()
	if hasChanged || reply.Permit > 0 {
		p.options.ObservePermit(observation)
	}
	if isLogged {
		p.options.OnLimit(change)
	}
	if isNew {
		p.options.AnnounceLimit(change.Server, limitOf(change.Server, notice.Limit))
	}
}

func limitOf(s Server, limit float64) ServerLimit {
	return ServerLimit{ServerID: s.ID, Started: s.Started, Limit: limit}
}

// ApplyPeerLimits applies the limits that a peer reported. In a fleet of several cells the
// watchers of a server forward them.
func (p *Pool) ApplyPeerLimits(reported []ServerLimit) {
	changes, forward := []LimitChange{}, []LimitChange{}
	p.mu.Lock()
	for _, l := range reported {
		known := p.servers[l.ServerID]
		if known == nil || known.limited || !known.isProcess(l.Started) {
			continue
		}
		known.limited, known.limit = true, l.Limit
		change := LimitChange{Server: known.Server, Limited: true, Limit: l.Limit}
		changes = append(changes, change)
		if p.cells > 1 && p.watches(known) {
			forward = append(forward, change)
		}
	}
	p.mu.Unlock()
	for _, change := range changes {
		p.options.OnLimit(change)
	}
	for _, change := range forward {
		p.options.AnnounceLimit(change.Server, limitOf(change.Server, change.Limit))
	}
}

// Limits lists the limits that servers name, for VMs that join.
func (p *Pool) Limits() []ServerLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	limits := []ServerLimit{}
	for _, s := range p.servers {
		if s.limited && s.listed {
			limits = append(limits, limitOf(s.Server, s.limit))
		}
	}
	return limits
}

// ReturnAt returns when the next refused caller of a service is to return, if all servers that
// are up are in backoff or have no permit left. Callers are spread over the permits to come.
func (p *Pool) ReturnAt(service string, earliest time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	perSecond := 0.0 // Permits of this VM.
	for _, s := range p.servers {
		if s.Service == service && s.acceptsWork() && !s.down && s.limited && s.interval > 0 {
			perSecond += 1 / s.interval.Seconds()
		}
	}
	if perSecond == 0 {
		return earliest.Add(rand.N(returnSpread))
	}
	gap := max(min(time.Duration(float64(time.Second)/perSecond), maxReturnDelay), minPermitWait)
	at := earliest
	if next := p.returnAt[service].Add(gap); next.After(at) {
		at = next
	}
	if latest := now.Add(maxReturnDelay); at.After(latest) {
		at = latest
	}
	p.returnAt[service] = at
	return at.Add(rand.N(gap))
}

// returnSpread is the time over which callers return when servers end their backoff.
const returnSpread = 500 * time.Millisecond

// reportSent reports the requests that were sent to servers with a limit, once in
// sentLogInterval.
func (p *Pool) reportSent() {
	reports := []Sent{}
	p.mu.Lock()
	if now := p.options.Now(); now.Sub(p.sentReportedAt) >= sentLogInterval {
		p.sentReportedAt = now
		for _, s := range p.servers {
			if len(s.sent) > 0 || s.denied > 0 {
				reports = append(reports, Sent{Server: s.Server, Limit: s.limit, ByPurpose: s.sent, Denied: s.denied})
				s.sent, s.denied = nil, 0
			}
		}
	}
	p.mu.Unlock()
	for _, r := range reports {
		p.options.OnSent(r)
	}
}
