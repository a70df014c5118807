package control

import (
	"time"

	"github.com/endivespoke/endivespoke/internal/config/object"
	"github.com/endivespoke/endivespoke/internal/config/revision"
	"github.com/endivespoke/endivespoke/internal/peer/wire"
)

// Snapshot is what traffic reads. It is never changed after it was published.
type Snapshot struct {
	Self         wire.Member
	Members      []wire.Member
	Head         revision.Head
	Set          *object.Set // Nil before the first configuration.
	FreshUntil   time.Time
	QuorumUntil  time.Time // Until when this VM counts as seeing most others.
	BlockedUntil map[string]time.Time
	Leaving      bool
	content      wire.Content // Head and Set as peers get them.
	accounts     map[string]*object.ClientAccount
	operators    map[string]string
}

// Accepting reports whether new requests may be taken: the configuration is
// known to be the newest or, while the store answers nobody, most VMs were seen
// a moment ago, none of them with a newer one. Both are deadlines, so that a VM
// that was paused does not go by what it saw before.
func (s *Snapshot) Accepting(now time.Time) bool {
	if s.Set == nil {
		return false
	}
	return now.Before(s.FreshUntil) || now.Before(s.QuorumUntil)
}

// Account finds the client account of a bearer token's hash.
func (s *Snapshot) Account(tokenHash string) *object.ClientAccount {
	return s.accounts[tokenHash]
}

// Operator finds the name of the operator with a bearer token's hash.
func (s *Snapshot) Operator(tokenHash string) string {
	return s.operators[tokenHash]
}

// Member finds a VM by id.
func (s *Snapshot) Member(id string) (wire.Member, bool) {
	for _, member := range s.Members {
		if member.ID == id {
			return member, true
		}
	}
	return wire.Member{}, false
}

// Live counts the VMs that are not down.
func (s *Snapshot) Live() int {
	live := 0
	for _, member := range s.Members {
		if member.State != wire.MemberDown {
			live++
		}
	}
	return live
}

// index prepares the lookups by token. Tokens are compared by their hashes, so
// the time that a comparison takes tells nothing about a token.
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
