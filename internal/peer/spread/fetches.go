package spread

import "time"

// fetches are the fetches of one kind of content that are in progress.
type fetches struct {
	from    map[string]time.Time // Deadlines, by peer.
	startAt time.Time            // From then on another one may start.
}

// mayStart reports whether content that a peer has may be fetched from it: not again while a fetch from
// that peer is in progress, and for fetchPatience from no other peer either.
func (f *fetches) mayStart(peer string, now time.Time) bool {
	return now.After(f.from[peer]) && !now.Before(f.startAt)
}

func (f *fetches) start(peer string, now time.Time) {
	if f.from == nil {
		f.from = map[string]time.Time{}
	}
	f.from[peer] = now.Add(fetchTimeout)
	f.startAt = now.Add(fetchPatience)
}

func (f *fetches) end(peer string) {
	delete(f.from, peer)
	if len(f.from) == 0 {
		f.startAt = time.Time{}
	}
}

// received ends all fetches: their content has arrived.
func (f *fetches) received() {
	*f = fetches{}
}

func (f *fetches) areInProgress() bool {
	return len(f.from) > 0
}
