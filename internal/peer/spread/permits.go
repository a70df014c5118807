package spread

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/peer/permit"
)

const (
	// permitTimeout bounds a request for a permit. The latency between VMs is a few
	// milliseconds, and a request that gets no permit has to go to another server.
	permitTimeout = 60 * time.Millisecond
	// otherIssuerWait is when a VM asks again whose view differs from that of the VM that it
	// asked. Views converge in about that time.
	otherIssuerWait = 50 * time.Millisecond
	// noIssuerWait is when a VM asks again whose issuer does not reply, or that is partitioned.
	noIssuerWait = 100 * time.Millisecond
)

// issuer returns the VM that issues the permits of a key.
func (s *Spread) issuer(key string) (issuer Member, isSelf bool) {
	issuer = s.Watchers(key)[0]
	return issuer, issuer.ID == s.options.Self.ID
}

// TakePermit asks the issuer of a key for a permit. The error means that it did not reply; the
// reply is then a denial.
func (s *Spread) TakePermit(request permit.Request) (reply permit.Reply, err error) {
	issuer, isSelf := s.issuer(request.Key)
	if request.Places > 0 {
		request.Holder = s.options.Self.ID
	}
	if isSelf {
		if s.isPartitioned() {
			return permit.Reply{Wait: noIssuerWait}, errors.New("this VM may be partitioned from the others")
		}
		return s.permits.Take(request), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), permitTimeout)
	defer cancel()
	m := message{From: s.options.Self.ID, Permit: &request}
	body, err := s.options.Call(ctx, issuer.ID, issuer.PeerAddress, m.encode())
	s.recordPermitReply(issuer.ID, err == nil || ctx.Err() == nil)
	if err != nil {
		return permit.Reply{Wait: noIssuerWait}, errors.Annotatef(err, "asking %s for a permit", issuer.ID)
	}
	received, err := decode(body)
	if err != nil || received.PermitReply == nil {
		return permit.Reply{Wait: noIssuerWait}, errors.Errorf("%s replied with no permit: %v", issuer.ID, err)
	}
	return *received.PermitReply, nil
}

// recordPermitReply closes the connection to an issuer that has not replied for callTimeout: it may
// be dead without an error.
func (s *Spread) recordPermitReply(issuerID string, replied bool) {
	now := s.options.Now()
	s.permitsMu.Lock()
	defer s.permitsMu.Unlock()
	since, found := s.unansweredSince[issuerID]
	switch {
	case replied:
		delete(s.unansweredSince, issuerID)
	case !found:
		s.unansweredSince[issuerID] = now
	case now.Sub(since) > callTimeout:
		delete(s.unansweredSince, issuerID)
		s.options.Disconnect(issuerID)
	}
}

// issuePermit replies to a peer's request for a permit. A VM that is not the issuer of the key in
// its own view issues none, so that two VMs seldom issue permits of a key.
func (s *Spread) issuePermit(request permit.Request) permit.Reply {
	if _, isSelf := s.issuer(request.Key); !isSelf {
		return permit.Reply{Wait: otherIssuerWait}
	}
	return s.permits.Take(request)
}

// ObservePermit reports to the issuer of a key what an answer says of its bound.
func (s *Spread) ObservePermit(observation permit.Observation) {
	issuer, isSelf := s.issuer(observation.Key)
	if isSelf {
		s.permits.Observe(observation)
		return
	}
	m := message{From: s.options.Self.ID, Observation: &observation}
	s.options.Post(issuer.ID, issuer.PeerAddress, m.encode())
}

// isPartitioned reports whether this VM may be cut off from the others, which then choose another
// issuer. A VM whose only peer does not answer takes that as down.
func (s *Spread) isPartitioned() bool {
	return len(s.Snapshot().Live) > 2 && s.options.Now().Sub(s.LastPeerReplyAt()) > partitionedAfter
}
