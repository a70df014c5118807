package pool

import (
	"maps"
	"time"
)

// A process that started at the address of another one answers requests for the old one with its
// own id. What it reports of itself then is kept until it is listed: it would get requests without
// regard to its limit until it has answered one.

const (
	// earlyNoticeRetention is how long the notice of a server that is not listed is kept, and
	// maxEarlyNotices bounds their number.
	earlyNoticeRetention = time.Minute
	maxEarlyNotices      = 256
)

// earlyNotice is what a server reported of itself before it was listed.
type earlyNotice struct {
	reply      Reply
	notice     ServerNotice
	receivedAt time.Time
}

// ApplySuccessorNotice applies what a server reported of itself in an answer to a request for the
// process that was at its address before. The id is that of the server, "" if it did not report it.
func (p *Pool) ApplySuccessorNotice(id string, reply Reply, notice ServerNotice) {
	p.mu.Lock()
	now := p.options.Now()
	maps.DeleteFunc(p.early, func(_ string, e earlyNotice) bool { return now.Sub(e.receivedAt) > earlyNoticeRetention })
	delete(p.early, id)
	if id != "" && notice != (ServerNotice{}) && len(p.early) < maxEarlyNotices {
		p.early[id] = earlyNotice{reply: reply, notice: notice, receivedAt: now}
	}
	p.mu.Unlock()
	p.applyEarlyNotices()
}

// applyEarlyNotices applies the notices of the servers that are known now.
func (p *Pool) applyEarlyNotices() {
	known := map[string]Server{}
	due := map[string]earlyNotice{}
	p.mu.Lock()
	for id, e := range p.early {
		if s := p.servers[id]; s != nil {
			known[id], due[id] = s.Server, e
			delete(p.early, id)
		}
	}
	p.mu.Unlock()
	for id, e := range due {
		p.ApplyNotice(known[id], e.notice)
		// Not as a refusal, and without the permit, which was for the process before: answers to
		// runs that name no limit any more are to end it.
		p.ApplyLimit(known[id], Reply{Purpose: e.reply.Purpose, Status: e.reply.Status}, e.notice)
	}
}
