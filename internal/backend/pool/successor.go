package pool

import (
	"context"
	"time"
)

// A crashed process is back at its address within seconds, mostly under a new id,
// and the platform lists that id. While the platform's store is away it can't: all
// requests that name the old id are refused, and the server would be lost until the
// store is back. The pool then asks the process at the address for its id.
//
// The address could by then belong to a server of another service. The platform
// keeps it free for a while after a process has ended, so the process there is of
// the same service if the old one was heard that short a time ago:
//
//	old process heard        process asked    answer            address may be reused
//	|-------------------------|----------------|-----------------|
//	0                                                            AddressKept

// Successors shapes the search for such processes. Identify asks the process at a
// server's address for its id, ListedAt is when the platform's list was last known
// to be current, and AddressKept is for how long the address of a process that ended
// is not given to another service. OnFound is told of each.
type Successors struct {
	Identify          func(ctx context.Context, server Server) (id string, err error)
	ListedAt          func() time.Time
	AddressReuseDelay time.Duration
	OnFound           func(old, successor Server, heardAgo time.Duration)
}

// ExpiryGrace is for how long after an outage of the platform's store entries may be
// missing, a published bound of the platform.
const ExpiryGrace = 2 * time.Second

const (
	// listOld is the age from which the list is taken to lack servers that started.
	// The platform's store tells a change within about 0.4 s.
	listOld = 500 * time.Millisecond
	// identifyLimit bounds the wait for a process's id.
	identifyLimit = 500 * time.Millisecond
	// pauseSeen is the time between two rechecks from which this process is taken to
	// have been paused. It may then read what a server sent long ago.
	pauseSeen = 500 * time.Millisecond
)

// startIdentify asks the process at the address of a server that ended for its id.
// Called with the lock held.
func (p *Pool) startIdentify(s *server) {
	search := p.options.Successors
	now := p.options.Now()
	if search.Identify == nil || !p.watches(s) || s.identifying || s.identified || !p.isListOld(now) || !p.mayBeSucceeded(s, now) {
		return
	}
	s.identifying = true
	old := s.Server
	p.options.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), identifyLimit)
		defer cancel()
		id, err := search.Identify(ctx, old)
		p.identified(s, id, err)
	})
}

// isListOld reports whether the platform's list may lack servers that started.
func (p *Pool) isListOld(now time.Time) bool {
	if p.options.Successors.ListedAt == nil {
		return true
	}
	return now.Sub(p.options.Successors.ListedAt()) > listOld
}

// mayBeSucceeded reports whether a process at the server's address is of the same
// service. Called with the lock held.
func (p *Pool) mayBeSucceeded(s *server, now time.Time) bool {
	if now.Sub(p.recheckedAt) > pauseSeen {
		return false // This process was paused and has not noted it yet.
	}
	kept := p.options.Successors.AddressReuseDelay
	return s.listed && !s.isLeaving() && !s.rests(now) && now.Before(s.answeredAt.Add(kept)) && now.After(p.pausedAt.Add(kept))
}

// identified takes in the id of the process at a server's address.
func (p *Pool) identified(s *server, id string, failure error) {
	p.mu.Lock()
	s.identifying = false
	s.identified = failure == nil
	now := p.options.Now()
	if failure != nil || !p.mayBeSucceeded(s, now) {
		p.mu.Unlock()
		return // It is asked again as long as it may be a successor.
	}
	found := p.succeed(s, id, now)
	old, heardAgo := s.Server, now.Sub(s.answeredAt)
	p.mu.Unlock()
	if found != nil {
		p.options.Successors.OnFound(old, found.Server, heardAgo)
	}
}

// ApplyPeerSuccessor takes in that a peer found the process that started in a server's place.
func (p *Pool) ApplyPeerSuccessor(serverID, successorID string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	s := p.servers[serverID]
	if s == nil || !s.listed || s.isLeaving() || !p.isListOld(now) {
		return
	}
	p.succeed(s, successorID, now)
}

// succeed has a server replaced by one of another id, unless that is known already.
// Called with the lock held.
func (p *Pool) succeed(s *server, id string, now time.Time) *server {
	if id == "" || p.servers[id] != nil {
		return nil
	}
	p.replace(s)
	found := &server{Server: s.Server, group: s.group, listed: true, foundAt: now, heardAt: now, leases: map[*Lease]bool{}}
	found.ID = id
	found.Started++ // It started later, which is all that is known.
	p.servers[id] = found
	return found
}

// isUnlisted reports whether the server was found and the list lacks it still.
func (s *server) isUnlisted() bool {
	return !s.foundAt.IsZero()
}

// dropUnlisted ends the use of a found server that is missing in the list although
// that has been current again for LapseGrace. Called with the lock held.
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

// seekSuccessor asks the process of a server that ended and is back for its id.
// Called with the lock held.
func (p *Pool) seekSuccessor(s *server) {
	if !s.endedAt.IsZero() && !s.down && !s.replaced {
		p.startIdentify(s)
	}
}

// notePause sees from the time between two rechecks whether this process was paused.
func (p *Pool) notePause(now time.Time) {
	if !p.recheckedAt.IsZero() && now.Sub(p.recheckedAt) > pauseSeen {
		p.pausedAt = now
	}
	p.recheckedAt = now
}
