package pool

import (
	"context"
	"syscall"
	"time"

	"github.com/juju/errors"
)

const (
	// checkLimit bounds a check. Servers are a few milliseconds away.
	checkLimit = 200 * time.Millisecond
	// recheckEvery is the pause between checks of a server that is down.
	recheckEvery = 400 * time.Millisecond
	// endedLife is how long a server whose process was gone is avoided under its old
	// entry. A process that started again has a new one; the entry of the old one
	// lapses after three heartbeats.
	endedLife = 5 * time.Second
	// doubtLife is how long the servers of a failure domain that lost one are
	// avoided until they were heard of. Their checks need checkLimit.
	doubtLife = time.Second
	// tellPause keeps VMs from telling each other again what they were told.
	tellPause = 2 * time.Second
)

// startCheck opens a connection to learn whether the server is up. Called with
// the lock held.
func (p *Pool) startCheck(s *server) {
	if s.checking {
		return
	}
	s.checking = true
	address := s.Address
	p.options.Go(func() { p.check(context.Background(), s, address) })
}

func (p *Pool) check(ctx context.Context, s *server, address string) (up bool) {
	ctx, cancel := context.WithTimeout(ctx, checkLimit)
	defer cancel()
	err := p.options.Check(ctx, address)
	p.checked(s, err)
	return err == nil
}

// checked takes in what a check found.
func (p *Pool) checked(s *server, failure error) {
	p.mu.Lock()
	now := p.options.Now()
	s.checking = false
	s.recheckAt = now.Add(recheckEvery)
	changed := s.down != (failure != nil)
	s.down = failure != nil
	ended := errors.Is(failure, syscall.ECONNREFUSED)
	if failure == nil {
		s.heardAt = now
	}
	if ended {
		s.endedAt = now
		s.identified = false
	}
	if changed && s.down {
		p.lost(s, now)
	}
	p.seekSuccessor(s)
	tell := changed && s.down && now.Sub(s.toldAt) > tellPause
	described := s.Server
	p.mu.Unlock()
	if !changed {
		return
	}
	if tell {
		p.options.Tell(described.ID, ended)
	}
	reason := "accepts connections"
	if failure != nil {
		reason = failure.Error()
	}
	p.options.OnChange(described, failure != nil, reason)
}

// lost tells the leases of a server, and has the others of its failure domain
// checked: they often fail together. Called with the lock held.
//
// Only the VM that found the loss has them all checked, and tells what it finds. The
// others check those on which they have work: with 91 VMs and 18 servers in a failure
// domain, one loss would otherwise cost 1,600 connections.
func (p *Pool) lost(s *server, now time.Time) {
	for lease := range s.leases {
		lease.tellDown()
	}
	p.copiesLost(s)
	doubted := now.Sub(p.lossAt[s.group()]) < doubtLife
	if doubted {
		return // They are being checked already.
	}
	p.lossAt[s.group()] = now
	wasTold := now.Sub(s.toldAt) < tellPause
	for _, other := range p.ordered() {
		if other.group() == s.group() && other.takesWork() && !other.down && (!wasTold || len(other.leases) > 0) {
			p.startCheck(other)
		}
	}
}

// copiesLost tells the streams whose copy a server held. Called with the lock held.
func (p *Pool) copiesLost(holder *server) {
	for _, s := range p.servers {
		for lease := range s.leases {
			if lease.backup == holder {
				lease.tellCopyLost()
			}
		}
	}
}

// PeerLost takes in that a peer found a server down. Ended means that its process is
// gone: this VM then avoids it, and checks it only if it has work there.
func (p *Pool) PeerLost(serverID string, ended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[serverID]
	if s == nil || s.down {
		return
	}
	s.toldAt = p.options.Now()
	if ended {
		s.endedAt = s.toldAt
		p.lossAt[s.group()] = s.toldAt
		p.copiesLost(s)
		if len(s.leases) == 0 {
			return
		}
	}
	p.startCheck(s)
}

// Recheck checks the servers that are down and still listed. Call it often.
//
// One whose process is gone comes back as another entry. It is only checked while
// the list may lack that entry, and when the old one has stayed for too long.
func (p *Pool) Recheck(context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	p.notePause(now)
	for _, s := range p.ordered() {
		p.dropUnlisted(s)
		p.seekSuccessor(s)
		isGone := now.Sub(s.endedAt) < endedLife && !p.isListOld(now)
		if s.down && s.takesWork() && now.After(s.recheckAt) && !isGone {
			p.startCheck(s)
		}
	}
}
