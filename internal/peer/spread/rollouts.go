package spread

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/rollout"
)

// Orders and states of roll-outs spread like crash reports: they are announced to all VMs when they
// change, and VMs whose digests differ exchange them. Tallies go to the watchers of a service's
// roll-out, one of which coordinates it; the others may have to succeed it.

// creditTimeout bounds a request for a credit. A request without a credit goes to a server of the old
// version, so its caller only waits for the reply.
const creditTimeout = 60 * time.Millisecond

// RolloutNews are orders and states of roll-outs. NowMillis is the time of the store's steady clock
// in an era as the sender estimates it; 0 if it does not know it.
type RolloutNews struct {
	Orders    []rollout.Order `cbor:"1,keyasint,omitempty"`
	States    []rollout.State `cbor:"2,keyasint,omitempty"`
	NowMillis int64           `cbor:"3,keyasint,omitempty"`
	Era       uint64          `cbor:"4,keyasint,omitempty"` // Of NowMillis.
}

// IsEmpty reports whether there are none.
func (n RolloutNews) IsEmpty() bool {
	return len(n.Orders)+len(n.States) == 0
}

// Rollouts connects a Spread to the roll-outs that its VM follows. Digest is equal on VMs that have
// the same orders and states, and 0 if there are none. News returns all of them. Grant decides on a
// credit; it is called only while this VM is the coordinator of the service in its own view.
type Rollouts struct {
	Digest    func() uint64
	News      func() RolloutNews
	OnNews    func(news RolloutNews)
	OnTallies func(tallies []rollout.Tally)
	Grant     func(request rollout.CreditRequest) rollout.CreditReply
}

// withDefaults returns functions for a VM that follows no roll-outs in place of nil.
func (r Rollouts) withDefaults() Rollouts {
	if r.Digest == nil {
		r.Digest = func() uint64 { return 0 }
	}
	if r.News == nil {
		r.News = func() RolloutNews { return RolloutNews{} }
	}
	if r.OnNews == nil {
		r.OnNews = func(RolloutNews) {}
	}
	if r.OnTallies == nil {
		r.OnTallies = func([]rollout.Tally) {}
	}
	if r.Grant == nil {
		r.Grant = func(rollout.CreditRequest) rollout.CreditReply { return rollout.CreditReply{} }
	}
	return r
}

// rolloutKey is the key by which the VMs that watch a service's roll-out are ranked.
func rolloutKey(service string) string {
	return "rollout/" + service
}

// RolloutWatchers returns the VMs that get the tallies of a service's roll-out, by rank.
func (s *Spread) RolloutWatchers(service string) []Member {
	return s.Watchers(rolloutKey(service))
}

// Coordinator returns the VM that coordinates a service's roll-out: the first watcher that the store
// answers.
func (s *Spread) Coordinator(service string) (coordinator Member, isSelf bool) {
	watchers := s.RolloutWatchers(service)
	coordinator = watchers[0]
	if i := slices.IndexFunc(watchers, func(m Member) bool { return !m.StoreUnreachable && !m.Leaving }); i >= 0 {
		coordinator = watchers[i]
	}
	return coordinator, coordinator.ID == s.options.Self.ID
}

// AnnounceRollouts announces orders and states that changed to all VMs.
func (s *Spread) AnnounceRollouts(news RolloutNews) {
	if !news.IsEmpty() {
		s.enqueue(announcement{rollouts: &news})
	}
}

// PostTallies sends this VM's tallies of a service to the VMs that watch its roll-out.
func (s *Spread) PostTallies(service string, tallies []rollout.Tally) {
	m := message{From: s.options.Self.ID, Tallies: tallies}
	others := []Member{}
	for _, watcher := range s.RolloutWatchers(service) {
		if watcher.ID == s.options.Self.ID {
			s.options.Rollouts.OnTallies(tallies)
			continue
		}
		others = append(others, watcher)
	}
	if len(others) > 0 {
		s.post(others, &m)
	}
}

// TakeCredit asks the coordinator of a service for a credit. The error means that it did not reply;
// the reply is then a denial.
func (s *Spread) TakeCredit(request rollout.CreditRequest) (reply rollout.CreditReply, err error) {
	coordinator, isSelf := s.Coordinator(request.Service)
	if isSelf {
		if s.isPartitioned() {
			return rollout.CreditReply{}, errors.New("this VM may be partitioned from the others")
		}
		return s.options.Rollouts.Grant(request), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), creditTimeout)
	defer cancel()
	m := message{From: s.options.Self.ID, Credit: &request}
	body, err := s.options.Call(ctx, coordinator.ID, coordinator.PeerAddress, m.encode())
	s.recordPermitReply(coordinator.ID, err == nil || ctx.Err() == nil)
	if err != nil {
		return rollout.CreditReply{}, errors.Annotatef(err, "asking %s for a credit", coordinator.ID)
	}
	received, err := decode(body)
	if err != nil || received.CreditReply == nil {
		return rollout.CreditReply{}, errors.Errorf("%s replied with no credit: %v", coordinator.ID, err)
	}
	return *received.CreditReply, nil
}

// grantCredit replies to a peer's request for a credit. A VM that does not coordinate the roll-out in
// its own view grants none.
func (s *Spread) grantCredit(request rollout.CreditRequest) rollout.CreditReply {
	if _, isSelf := s.Coordinator(request.Service); !isSelf {
		return rollout.CreditReply{}
	}
	return s.options.Rollouts.Grant(request)
}

// applyRollouts handles the parts of a message about roll-outs.
func (s *Spread) applyRollouts(received message) {
	if received.Rollouts != nil {
		s.options.Rollouts.OnNews(*received.Rollouts)
	}
	if len(received.Tallies) > 0 {
		s.options.Rollouts.OnTallies(received.Tallies)
	}
}
