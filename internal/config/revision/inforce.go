package revision

import (
	"time"

	"github.com/endivespoke/endivespoke/internal/config/object"
)

// FreshnessLimit is how long after a revision was seen to be the newest a VM may
// go on taking requests under it. It is what bounds a change's way to every VM.
const FreshnessLimit = 6 * time.Second

// InForce is the aggregate of the configuration that one VM uses. Its rules:
// the revision never goes down, and the freshness deadline belongs to the
// revision in force, never to one before it.
type InForce struct {
	Head       Head
	Set        *object.Set
	FreshUntil time.Time
}

// Offer puts a newer revision in force and reports whether it did. seenAt is
// when the revision was known to be the newest, or zero.
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

// Confirm notes that a revision was the newest one, good until a deadline. It
// does nothing for a revision other than the one in force.
func (f *InForce) Confirm(revision uint64, until time.Time) {
	if revision == f.Head.Revision && until.After(f.FreshUntil) {
		f.FreshUntil = until
	}
}
