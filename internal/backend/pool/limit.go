package pool

import (
	"maps"
	"time"
)

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

// LimitChange is a change of the limit that a server names. Reply is what the answer that
// showed it replied to.
type LimitChange struct {
	Server        Server
	Limited       bool
	Limit, Before float64 // Requests a second; 0 if it names none.
	Reply         Reply
}

// Reply describes the answer of a server.
type Reply struct {
	Purpose Purpose
	Status  int
	Refused bool // The server did not run the request.
}

const (
	// limitLogInterval is the shortest time between two reports of a server's changing limit.
	limitLogInterval = time.Second
	// sentLogInterval is the time between two reports of the requests to limited servers.
	sentLogInterval = time.Second
)

// RecordSent counts a request that is about to be sent to a server.
func (p *Pool) RecordSent(server Server, purpose Purpose) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.servers[server.ID]
	if known == nil || !known.limited {
		return
	}
	if known.sent == nil {
		known.sent = map[Purpose]int{}
	}
	known.sent[purpose]++
}

// ApplyLimit applies the limit that a server's answer names.
func (p *Pool) ApplyLimit(from Server, reply Reply, notice ServerNotice) {
	p.mu.Lock()
	known := p.servers[from.ID]
	if known == nil || !known.isSameProcess(from) || (known.limited == notice.Limited && known.limit == notice.Limit) {
		p.mu.Unlock()
		return
	}
	now := p.options.Now()
	isDue := known.limited != notice.Limited || now.Sub(known.limitLoggedAt) >= limitLogInterval
	if isDue {
		known.limitLoggedAt = now
	}
	change := LimitChange{Server: known.Server, Limited: notice.Limited, Limit: notice.Limit, Before: known.limit, Reply: reply}
	known.limited, known.limit = notice.Limited, notice.Limit
	p.mu.Unlock()
	if isDue {
		p.options.OnLimit(change)
	}
}

// reportSent reports the requests that were sent to servers with a limit, once in
// sentLogInterval.
func (p *Pool) reportSent() {
	type report struct {
		server Server
		limit  float64
		sent   map[Purpose]int
	}
	reports := []report{}
	p.mu.Lock()
	if now := p.options.Now(); now.Sub(p.sentReportedAt) >= sentLogInterval {
		p.sentReportedAt = now
		for _, s := range p.sortedServers() {
			if len(s.sent) > 0 {
				reports = append(reports, report{server: s.Server, limit: s.limit, sent: maps.Clone(s.sent)})
				s.sent = nil
			}
		}
	}
	p.mu.Unlock()
	for _, r := range reports {
		p.options.OnSent(r.server, r.limit, r.sent)
	}
}
