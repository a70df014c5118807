package pool

import "time"

const (
	// toldBefore is how long before a run's connection broke a peer may have told that the
	// server's process has ended.
	toldBefore = time.Second
	// readLate is how long after it has arrived this VM may read what a process sent.
	readLate = 100 * time.Millisecond
)

// HasEnded reports whether the process of a server is gone whose run was cut at a moment.
// That may be known only later: from a check, from a peer, or since another process has its
// address or its entry. A process that was heard of after the cut has not ended by it.
func (p *Pool) HasEnded(server Server, cutAt time.Time) bool {
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
