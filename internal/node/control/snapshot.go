package control

import (
	"time"

	"github.com/endivespoke/endivespoke/internal/config/object"
	"github.com/endivespoke/endivespoke/internal/config/revision"
	"github.com/endivespoke/endivespoke/internal/peer/wire"
)

// Snapshot is the state that request handling reads. It is immutable once published.
type Snapshot struct {
	Self         wire.Member
	Members      []wire.Member
	Head         revision.Head
	Set          *object.Set // Nil before the first configuration.
	FreshUntil   time.Time
	QuorumUntil  time.Time // Until when this VM counts as connected to a quorum.
	BlockedUntil map[string]time.Time
	Leaving      bool
	content      wire.Content // Head and Set, encoded for peers.
	accounts     map[string]*object.ClientAccount
	operators    map[string]string
}

// Accepting reports whether new requests may be accepted: the configuration is
// known to be the newest or, during a store outage, a quorum of VMs answered
// recently and none of them has a newer one. Both conditions are deadlines, so that
// a VM that was paused does not rely on its state before the pause.
func (s *Snapshot) Accepting(now time.Time) bool {
	if s.Set == nil {
		return false
	}
	return now.Before(s.FreshUntil) || now.Before(s.QuorumUntil)
}

// Account returns the client account with a bearer token of this hash, or nil.
func (s *Snapshot) Account(tokenHash string) *object.ClientAccount {
	return s.accounts[tokenHash]
}

// Operator returns the name of the operator with a bearer token of this hash, or "".
func (s *Snapshot) Operator(tokenHash string) string {
	return s.operators[tokenHash]
}

// Member returns a VM by its id.
func (s *Snapshot) Member(id string) (wire.Member, bool) {
	for _, member := range s.Members {
		if member.ID == id {
			return member, true
		}
	}
	return wire.Member{}, false
}

// Live returns the number of VMs that are not down.
func (s *Snapshot) Live() int {
	live := 0
	for _, member := range s.Members {
		if member.State != wire.MemberDown {
			live++
		}
	}
	return live
}

// index builds the lookup tables by token hash. Since only hashes are compared,
// the timing of a comparison reveals nothing about a token.
func (s *Snapshot) index() {
	s.accounts = map[string]*object.ClientAccount{}
	s.operators = map[string]string{}
	for i := range s.Set.ClientAccounts {
		account := &s.Set.ClientAccounts[i]
		for _, hash := range account.TokenHashes {
			s.accounts[hash] = account
		}
	}
	for _, operator := range s.Set.Operators {
		for _, hash := range operator.TokenHashes {
			s.operators[hash] = operator.Name
		}
	}
}
