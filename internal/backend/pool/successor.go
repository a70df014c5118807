package pool

import (
	"context"
	"time"
)

// A crashed process is back at its address within seconds, mostly under a new id, which
// the platform then lists. While the platform's store is unavailable the list can't be
// updated: all requests that name the old id are refused, and the server would be
// unusable until the store is back. The pool then requests the id of the process at the
// address.
//
// By then the address could belong to a server of another service. The platform keeps it
// unassigned for AddressReuseDelay after a process has terminated, so the process there
// is of the same service if the old one was active less than that time ago:
//
//	old process active       id requested     answer            address may be reused
//	|-------------------------|----------------|-----------------|
//	0                                                            AddressReuseDelay

// Successors configures the search for such processes. Identify requests the id of the
// process at a server's address. ListedAt returns when the platform's list was last known
// to be current. AddressReuseDelay is how long the address of a terminated process is not
// given to another service. OnFound is called for each successor that is found.
type Successors struct {
	Identify          func(ctx context.Context, server Server) (id string, err error)
	ListedAt          func() time.Time
	AddressReuseDelay time.Duration
	OnFound           func(old, successor Server, sinceAnswer time.Duration)
}

// ExpiryGrace is how long after an outage of the platform's store entries may still be
// missing, a published bound of the platform.
const ExpiryGrace = 2 * time.Second

const (
	// listStaleAfter is the age from which the list is assumed to lack servers that
	// started. The platform's store announces a change within about 0.4 s.
	listStaleAfter = 500 * time.Millisecond
	// identifyTimeout bounds the request for a process's id.
	identifyTimeout = 500 * time.Millisecond
	// pauseThreshold is the time between two rechecks from which this process is assumed
	// to have been paused. It may then read data that a server sent long ago.
	pauseThreshold = 500 * time.Millisecond
)

// startIdentify starts a request for the id of the process at the address of a server
// that terminated. Called with the lock held.
func (p *Pool) startIdentify(s *server) {
	search := p.options.Successors
	now := p.options.Now()
	if search.Identify == nil || !p.watches(s) || s.identifying || s.identified || !p.isListStale(now) || !p.canHaveSuccessor(s, now) {
		return
	}
	s.identifying = true
	old := s.Server
	p.options.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), identifyTimeout)
		defer cancel()
		id, err := search.Identify(ctx, old)
		p.handleIdentity(s, id, err)
	})
}

// isListStale reports whether the platform's list may lack servers that started.
func (p *Pool) isListStale(now time.Time) bool {
	if p.options.Successors.ListedAt == nil {
		return true
	}
	return now.Sub(p.options.Successors.ListedAt()) > listStaleAfter
}

// canHaveSuccessor reports whether a process at the server's address is certain to be of
// the same service. Called with the lock held.
func (p *Pool) canHaveSuccessor(s *server, now time.Time) bool {
	if now.Sub(p.recheckedAt) > pauseThreshold {
		return false // This process was paused, which Recheck has not detected yet.
	}
	kept := p.options.Successors.AddressReuseDelay
	return s.listed && !s.isLeaving() && !s.inBackoff(now) && now.Before(s.answeredAt.Add(kept)) && now.After(p.pausedAt.Add(kept))
}

// handleIdentity applies the id of the process at a server's address.
func (p *Pool) handleIdentity(s *server, id string, failure error) {
	p.mu.Lock()
	s.identifying = false
	s.identified = failure == nil
	now := p.options.Now()
	if failure != nil || !p.canHaveSuccessor(s, now) {
		p.mu.Unlock()
		return // It is retried as long as there may be a successor.
	}
	found := p.addSuccessor(s, id, now)
	old, sinceAnswer := s.Server, now.Sub(s.answeredAt)
	successor := Server{}
	if found != nil {
		successor = found.Server // The list may change it once the lock is released.
	}
	p.mu.Unlock()
	p.applyEarlyNotices()
	if found != nil {
		p.options.Successors.OnFound(old, successor, sinceAnswer)
	}
}

// ApplyPeerSuccessor applies a peer's report of the process that started in a server's
// place.
func (p *Pool) ApplyPeerSuccessor(serverID, successorID string) {
	p.mu.Lock()
	now := p.options.Now()
	if s := p.servers[serverID]; s != nil && s.listed && !s.isLeaving() && p.isListStale(now) {
		p.addSuccessor(s, successorID, now)
	}
	p.mu.Unlock()
	p.applyEarlyNotices()
}

// addSuccessor replaces a server by one with another id, unless that one is known
// already. Called with the lock held.
func (p *Pool) addSuccessor(s *server, id string, now time.Time) *server {
	if id == "" || p.servers[id] != nil {
		return nil
	}
	p.markReplaced(s)
	found := &server{Server: s.Server, group: s.group, listed: true, foundAt: now, lastActivityAt: now, leases: map[*Lease]bool{}}
	found.ID = id
	found.Started++ // The real start time is unknown, but later.
	found.versionUnknown = true
	p.servers[id] = found
	return found
}

// isUnlisted reports whether the server was found as a successor and is not in the list
// yet.
func (s *server) isUnlisted() bool {
	return !s.foundAt.IsZero()
}

// dropUnlisted drops a server that was found as a successor and is still missing in the
// list ExpiryGrace after the list became current again. Called with the lock held.
func (p *Pool) dropUnlisted(s *server) {
	if !s.isUnlisted() {
		return
	}
	listedAt := p.options.Successors.ListedAt()
	switch {
	case !listedAt.After(s.foundAt):
	case s.dropAt.IsZero():
		s.dropAt = listedAt.Add(ExpiryGrace)
	case listedAt.After(s.dropAt):
		s.foundAt = time.Time{}
		s.listed = false
		if len(s.leases) == 0 {
			delete(p.servers, s.ID)
		}
	}
}

// findSuccessor requests the id of the process at the address of a server that terminated
// and accepts connections again. Called with the lock held.
func (p *Pool) findSuccessor(s *server) {
	if !s.terminatedAt.IsZero() && !s.down && !s.replaced {
		p.startIdentify(s)
	}
}

// detectPause derives from the time between two rechecks whether this process was paused.
func (p *Pool) detectPause(now time.Time) {
	if !p.recheckedAt.IsZero() && now.Sub(p.recheckedAt) > pauseThreshold {
		p.pausedAt = now
	}
	p.recheckedAt = now
}
