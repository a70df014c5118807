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
	// recheckUnwatched is the same for a server that other VMs watch, in case that they are
	// all lost.
	recheckUnwatched = 3 * time.Second
	// toldLife is how long a server is avoided that a peer found down. Its watchers tell of
	// it again as long as it is.
	toldLife = 3 * time.Second
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
	began := p.options.Now()
	err := p.checkOnce(ctx, address)
	if err != nil && p.options.Now().Sub(began) > checkLimit+pauseSeen {
		err = p.checkOnce(ctx, address) // This process was paused: the limit had passed when it woke up.
	}
	p.checked(s, err)
	return err == nil
}

func (p *Pool) checkOnce(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, checkLimit)
	defer cancel()
	return p.options.Check(ctx, address)
}

// checked takes in what a check found.
func (p *Pool) checked(s *server, failure error) {
	p.mu.Lock()
	now := p.options.Now()
	s.checking = false
	s.recheckAt = now.Add(p.recheckPause(s))
	changed := s.down != (failure != nil)
	wasDoubted := now.Before(s.avoidUntil) || p.isDoubtful(s, now)
	s.down = failure != nil
	ended := errors.Is(failure, syscall.ECONNREFUSED)
	if failure == nil {
		s.heardAt, s.upAt = now, now
		s.avoidUntil = time.Time{}
	}
	if ended {
		s.endedAt = now
		s.identified = false
	}
	if changed && s.down {
		s.noteLost(now)
		p.lost(s, now)
	}
	p.seekSuccessor(s)
	watched := p.cells > 1 && p.watches(s)
	tellDown := changed && s.down && now.Sub(s.toldAt) > tellPause
	if watched {
		tellDown = s.down && (changed || now.Sub(s.announcedAt) > tellPause)
	}
	if tellDown {
		s.announcedAt = now
	}
	tellUp := watched && failure == nil && (changed || wasDoubted)
	described := s.Server
	p.mu.Unlock()
	if tellDown {
		p.options.AnnounceLoss(described, ended)
	}
	if tellUp {
		p.options.AnnounceUp(described)
	}
	if !changed {
		return
	}
	reason := "accepts connections"
	if failure != nil {
		reason = failure.Error()
	}
	p.options.OnChange(described, failure != nil, reason)
}

// watches reports whether this VM checks the server for others. Called with the lock held.
func (p *Pool) watches(s *server) bool {
	return p.cells <= 1 || p.options.Watches(s.group)
}

// recheckPause is the pause until a server that is down is checked again. Those who don't
// watch it hear from the watchers when it is up. Called with the lock held.
func (p *Pool) recheckPause(s *server) time.Duration {
	if p.watches(s) {
		return recheckEvery
	}
	return recheckUnwatched
}

// noteLost keeps the first of the moments at which a loss was found.
func (s *server) noteLost(now time.Time) {
	if now.Sub(s.lostAt) > endedLife {
		s.lostAt = now
	}
}

// lost tells the leases of a server, and has others of its failure domain checked: they
// often fail together. Called with the lock held.
func (p *Pool) lost(s *server, now time.Time) {
	p.endWork(s)
	if now.Sub(p.lossAt[s.group]) < doubtLife {
		return // They are being checked already.
	}
	p.lossAt[s.group] = now
	p.checkGroup(s, now.Sub(s.toldAt) < tellPause)
}

// endWork tells the work on a server that it is down, and the streams whose copies it held.
// Called with the lock held.
func (p *Pool) endWork(s *server) {
	for lease := range s.leases {
		lease.tellDown()
	}
	p.copiesLost(s)
}

// checkGroup has the servers checked that may have been lost with one. A VM checks those on
// which it has work. The others are checked by the VM that found the loss, which tells what
// it finds, and in a fleet of several cells by the watchers only: with 295 VMs and 48
// servers in a failure domain, one loss would otherwise cost thousands of connections.
// Called with the lock held.
func (p *Pool) checkGroup(s *server, wasTold bool) {
	all := p.watches(s) && (p.cells > 1 || !wasTold)
	for _, other := range p.ordered() {
		if other.group == s.group && other.takesWork() && !other.down && (all || len(other.leases) > 0) {
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

// ApplyPeerLoss takes in that a peer found a server down. Ended means that its process is
// gone: this VM then avoids it, and checks it only if it has work there or watches it. A
// watcher tells all of the first loss in a group at once, and has the group checked.
func (p *Pool) ApplyPeerLoss(serverID string, ended bool) {
	p.mu.Lock()
	s := p.servers[serverID]
	if s == nil || s.down {
		p.mu.Unlock()
		return
	}
	now := p.options.Now()
	watched := p.cells > 1 && p.watches(s)
	first := watched && now.Sub(p.lossAt[s.group]) >= doubtLife
	s.toldAt = now
	if ended {
		s.endedAt = now
		s.noteLost(now)
		p.copiesLost(s)
	}
	if ended || first {
		p.lossAt[s.group] = now
	}
	switch {
	case first:
		p.checkGroup(s, true)
	case watched || len(s.leases) > 0 || (!ended && p.cells <= 1):
		p.startCheck(s)
	case !ended:
		s.avoidUntil = now.Add(toldLife)
	}
	if first {
		s.announcedAt = now
	}
	described := s.Server
	p.mu.Unlock()
	if first {
		p.options.AnnounceLoss(described, ended)
	}
}

// ApplyPeerUp takes in that a watcher found that a server accepts connections. A VM that
// found it down itself checks it.
func (p *Pool) ApplyPeerUp(serverID string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[serverID]
	if s == nil {
		return
	}
	if s.down {
		p.startCheck(s)
		return
	}
	s.avoidUntil = time.Time{}
	s.heardAt = p.options.Now()
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
