package pool

import (
	"context"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/reach"
)

const (
	// checkTimeout bounds a health check. Servers are a few milliseconds away.
	checkTimeout = 200 * time.Millisecond
	// recheckInterval is the interval between checks of a server that is down.
	recheckInterval = 400 * time.Millisecond
	// unwatchedRecheckInterval is the same for a server that other VMs watch, in case all
	// its watchers are lost.
	unwatchedRecheckInterval = 3 * time.Second
	// peerLossTTL is how long a server is avoided that a peer reported down. Its watchers
	// report it again as long as it is down.
	peerLossTTL = 3 * time.Second
	// terminationTTL is how long a server whose process terminated is avoided under its
	// old entry. A restarted process has a new entry; the old one expires after three
	// missed heartbeats.
	terminationTTL = 5 * time.Second
	// suspicionTTL is how long the servers of a failure domain that lost one are avoided,
	// unless something is received from them. Their checks take up to checkTimeout.
	suspicionTTL = time.Second
	// announceInterval is the shortest interval between two announcements about a server.
	// It keeps VMs from announcing what a peer has just reported.
	announceInterval = 2 * time.Second
)

// startCheck starts a health check of the server unless one is running. Called with the
// lock held.
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
	if err != nil && p.options.Now().Sub(began) > checkTimeout+pauseThreshold {
		err = p.checkOnce(ctx, address) // This process was paused, and the timeout had expired when it resumed.
	}
	p.handleCheck(s, err)
	return err == nil
}

func (p *Pool) checkOnce(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	return p.options.Check(ctx, address)
}

// handleCheck applies the result of a health check.
func (p *Pool) handleCheck(s *server, failure error) {
	p.mu.Lock()
	now := p.options.Now()
	s.checking = false
	s.recheckAt = now.Add(p.recheckDelay(s))
	if errors.Is(failure, reach.ErrDoubtful) {
		p.mu.Unlock()
		return
	}
	changed := s.down != (failure != nil)
	wasSuspect := now.Before(s.avoidUntil) || p.isSuspect(s, now)
	s.down = failure != nil
	terminated := errors.Is(failure, syscall.ECONNREFUSED)
	if failure == nil {
		s.lastActivityAt, s.upAt = now, now
		s.avoidUntil = time.Time{}
	}
	if terminated {
		s.terminatedAt = now
		s.identified = false
	}
	if changed && s.down {
		s.recordLossTime(now)
		p.handleLoss(s, now)
	}
	p.findSuccessor(s)
	watched := p.cells > 1 && p.watches(s)
	announceDown := changed && s.down && now.Sub(s.peerLossAt) > announceInterval
	if watched {
		announceDown = s.down && (changed || now.Sub(s.announcedAt) > announceInterval)
	}
	if announceDown {
		s.announcedAt = now
	}
	announceUp := watched && failure == nil && (changed || wasSuspect)
	entry := s.Server
	p.mu.Unlock()
	if announceDown {
		p.options.AnnounceLoss(entry, terminated)
	}
	if announceUp {
		p.options.AnnounceUp(entry)
	}
	if !changed {
		return
	}
	reason := "accepts connections"
	if failure != nil {
		reason = failure.Error()
	}
	p.options.OnChange(entry, failure != nil, reason)
}

// watches reports whether this VM checks the server on behalf of others. Called with the
// lock held.
func (p *Pool) watches(s *server) bool {
	return p.cells <= 1 || p.options.Watches(s.group)
}

// recheckDelay returns the delay before the next check of a server that is down. VMs that
// don't watch the server learn from its watchers when it is up. Called with the lock
// held.
func (p *Pool) recheckDelay(s *server) time.Duration {
	if p.watches(s) {
		return recheckInterval
	}
	return unwatchedRecheckInterval
}

// recordLossTime keeps the first of several times at which the same loss was found.
func (s *server) recordLossTime(now time.Time) {
	if now.Sub(s.lossFoundAt) > terminationTTL {
		s.lossFoundAt = now
	}
}

// handleLoss notifies the leases of a server that is down and starts checks of the others
// of its failure domain, since they often fail together. Called with the lock held.
func (p *Pool) handleLoss(s *server, now time.Time) {
	p.signalLoss(s)
	if now.Sub(p.lossAt[s.group]) < suspicionTTL {
		return // They are being checked already.
	}
	p.lossAt[s.group] = now
	p.checkGroup(s, now.Sub(s.peerLossAt) < announceInterval)
}

// signalLoss notifies the leases on a server that it is down, and the streams whose
// copies it held. Called with the lock held.
func (p *Pool) signalLoss(s *server) {
	for lease := range s.leases {
		lease.signalDown()
	}
	p.signalCopiesLost(s)
}

// checkGroup starts checks of the servers that may have been lost together with one. Each
// VM checks those on which it has work. The others are checked by the VM that found the
// loss, which announces the results, and in a fleet of several cells by the watchers
// only: with 295 VMs and 48 servers in a failure domain, one loss would otherwise cost
// thousands of connections. Called with the lock held.
func (p *Pool) checkGroup(s *server, reportedByPeer bool) {
	all := p.watches(s) && (p.cells > 1 || !reportedByPeer)
	for _, other := range p.sortedServers() {
		if other.group == s.group && other.acceptsWork() && !other.down && (all || len(other.leases) > 0) {
			p.startCheck(other)
		}
	}
}

// signalCopiesLost notifies the streams whose copy a server held. Called with the lock
// held.
func (p *Pool) signalCopiesLost(holder *server) {
	for _, s := range p.servers {
		for lease := range s.leases {
			if lease.copyHolder == holder {
				lease.signalCopyLost()
			}
		}
	}
}

// ApplyPeerLoss applies a peer's report that a server is down. If its process terminated,
// this VM avoids the server, and checks it only if it has work there or watches it. A
// watcher announces the first loss in a group to all VMs at once and starts checks of the
// group.
func (p *Pool) ApplyPeerLoss(serverID string, terminated bool) {
	p.mu.Lock()
	s := p.servers[serverID]
	if s == nil || s.down {
		p.mu.Unlock()
		return
	}
	now := p.options.Now()
	watched := p.cells > 1 && p.watches(s)
	first := watched && now.Sub(p.lossAt[s.group]) >= suspicionTTL
	s.peerLossAt = now
	if terminated {
		s.terminatedAt = now
		s.recordLossTime(now)
		p.signalCopiesLost(s)
	}
	if terminated || first {
		p.lossAt[s.group] = now
	}
	switch {
	case first:
		p.checkGroup(s, true)
	case watched || len(s.leases) > 0 || (!terminated && p.cells <= 1):
		p.startCheck(s)
	case !terminated:
		s.avoidUntil = now.Add(peerLossTTL)
	}
	if first {
		s.announcedAt = now
	}
	entry := s.Server
	p.mu.Unlock()
	if first {
		p.options.AnnounceLoss(entry, terminated)
	}
}

// ApplyPeerUp applies a watcher's report that a server accepts connections. A VM whose
// own check found the server down checks it again.
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
	s.lastActivityAt = p.options.Now()
}

// Recheck starts checks of the servers that are down and still listed. It is to be called
// often.
//
// A server whose process terminated comes back under another entry. The old entry is
// checked only while the list may lack the new one, and after it has stayed listed for
// longer than terminationTTL.
func (p *Pool) Recheck(context.Context) {
	p.reportSent()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	p.detectPause(now)
	for _, s := range p.sortedServers() {
		p.dropUnlisted(s)
		p.findSuccessor(s)
		isGone := now.Sub(s.terminatedAt) < terminationTTL && !p.isListStale(now)
		if s.down && s.acceptsWork() && now.After(s.recheckAt) && !isGone {
			p.startCheck(s)
		}
	}
}
