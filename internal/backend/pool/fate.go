package pool

import "time"

const (
	// toldBefore is how long before a run's connection broke a peer may have told that the
	// server's process has ended.
	toldBefore = time.Second
	// readLate is how long after it has arrived this VM may read what a process sent.
	readLate = 100 * time.Millisecond
	// togetherSpan is the time within which servers that are lost together are found lost.
	togetherSpan = time.Second
	// fewestTogether is how many servers of a group are lost together at least. A request
	// that crashes servers is repeated at others soon, some of which may be in the same group.
	fewestTogether = 3
)

// HasTerminated reports whether the process of a server is gone whose run was cut at a moment.
// That may be known only later: from a check, from a peer, or since another process has its
// address or its entry. A process that was heard of after the cut has not ended by it.
func (p *Pool) HasTerminated(server Server, cutAt time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[server.ID]
	switch {
	case s == nil:
		return false
	case !s.isProcess(server):
		return true
	case s.answeredAt.After(cutAt.Add(readLate)):
		return false
	case s.replaced:
		return true
	}
	isDown := s.down || s.endedAt.After(cutAt.Add(-toldBefore))
	return isDown && !s.upAt.After(cutAt)
}

// CorrelatedLosses is how many servers of a group were lost at about the same time as one, itself
// included, if they are most of the group; 0 otherwise.
func (p *Pool) CorrelatedLosses(server Server) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[server.ID]
	if s == nil {
		return 0
	}
	all, lost := map[string]bool{}, map[string]bool{} // By address: some are back already.
	for _, other := range p.servers {
		if other.group != s.group {
			continue
		}
		all[other.Address] = true
		if !other.lostAt.IsZero() && other.lostAt.Sub(s.lostAt).Abs() <= togetherSpan {
			lost[other.Address] = true
		}
	}
	if len(lost) < fewestTogether || 2*len(lost) <= len(all) {
		return 0
	}
	return len(lost)
}
