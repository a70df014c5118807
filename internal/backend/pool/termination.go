package pool

import "time"

const (
	// peerReportLead is how long before the interruption of a run a peer may have
	// reported that the server's process terminated.
	peerReportLead = time.Second
	// readDelay bounds the time between the arrival of a process's bytes and their being
	// read by this VM.
	readDelay = 100 * time.Millisecond
	// correlationWindow is the time within which correlated losses are detected.
	correlationWindow = time.Second
	// minCorrelatedLosses is the smallest number of lost servers of a group that counts
	// as a correlated failure. A request that crashes servers is soon retried at others,
	// some of which may be in the same group.
	minCorrelatedLosses = 3
)

// HasTerminated reports whether the process of a server terminated when a run there was
// interrupted. This may become known only later: from a health check, from a peer, or
// because another process has the server's address or entry. A process that answered
// after the interruption has not terminated.
func (p *Pool) HasTerminated(server Server, interruptedAt time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[server.ID]
	switch {
	case s == nil:
		return false
	case !s.isSameProcess(server):
		return true
	case s.answeredAt.After(interruptedAt.Add(readDelay)):
		return false
	case s.replaced:
		return true
	}
	isDown := s.down || s.terminatedAt.After(interruptedAt.Add(-peerReportLead))
	return isDown && !s.upAt.After(interruptedAt)
}

// CorrelatedLosses returns how many servers of a server's group were lost at about the
// same time as it, itself included, if they are most of the group; 0 otherwise.
func (p *Pool) CorrelatedLosses(server Server) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[server.ID]
	if s == nil {
		return 0
	}
	all, lost := map[string]bool{}, map[string]bool{} // By address, since some may be listed again under new IDs.
	for _, other := range p.servers {
		if other.group != s.group {
			continue
		}
		all[other.Address] = true
		if !other.lossFoundAt.IsZero() && other.lossFoundAt.Sub(s.lossFoundAt).Abs() <= correlationWindow {
			lost[other.Address] = true
		}
	}
	if len(lost) < minCorrelatedLosses || 2*len(lost) <= len(all) {
		return 0
	}
	return len(lost)
}
