package revision

import (
	"time"

	"github.com/endivespoke/endivespoke/internal/config/object"
)

// FreshnessLimit is how long a VM may accept requests under a revision after it was
// last confirmed to be the newest. It bounds the time until a published change
// applies on every VM.
const FreshnessLimit = 6 * time.Second

// InForce is the configuration that a VM uses. Its invariants: the revision never
// decreases, and FreshUntil always belongs to the revision in force, never to an
// earlier one.
type InForce struct {
	Head       Head
	Set        *object.Set
	FreshUntil time.Time
}

// Offer puts a revision in force if it is newer, and reports whether it did. seenAt
// is when the revision was confirmed to be the newest, or zero.
func (f *InForce) Offer(head Head, set *object.Set, seenAt time.Time) bool {
	if head.Revision <= f.Head.Revision {
		return false
	}
	f.Head = head
	f.Set = set
	f.FreshUntil = time.Time{}
	if !seenAt.IsZero() {
		f.FreshUntil = seenAt.Add(FreshnessLimit)
	}
	return true
}

// Confirm extends FreshUntil after a revision was confirmed to be the newest. It
// does nothing if another revision is in force, or another content: a table that was
// restored from an older copy gives out revisions again.
func (f *InForce) Confirm(revision uint64, hash string, until time.Time) {
	if revision == f.Head.Revision && hash == f.Head.Hash && until.After(f.FreshUntil) {
		f.FreshUntil = until
	}
}
