package crash

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// entry holds the terminations under one content, by process.
type entry map[string]termination

type termination struct {
	at        time.Time
	group     string
	dismissed bool
}

// isRecurring reports whether several processes terminated under the content.
func (e entry) isRecurring() bool {
	return len(e) >= minRecurring
}

// digest returns 0 for an entry that is not recurring.
func (e entry) digest(content string) (digest uint64) {
	if !e.isRecurring() {
		return 0
	}
	for process, known := range e {
		hash := fnv.New64a()
		fmt.Fprintf(hash, "%s\x00%s\x00%t", content, process, known.dismissed) // Writes to a hash return no error.
		digest += hash.Sum64()
	}
	return digest
}

// active returns the number of active terminations: those that are not dismissed.
func (e entry) active() int {
	count := 0
	for _, known := range e {
		if !known.dismissed {
			count++
		}
	}
	return count
}

// correlatedWith returns the number of processes of the same group that terminated within
// correlationWindow of one, itself included.
func (e entry) correlatedWith(one termination) (count int) {
	for _, other := range e {
		if other.group == one.group && other.at.Sub(one.at).Abs() <= correlationWindow {
			count++
		}
	}
	return count
}

// last returns when the newest active termination was, and zero if there is none.
func (e entry) last() time.Time {
	last := time.Time{}
	for _, known := range e {
		if !known.dismissed && known.at.After(last) {
			last = known.at
		}
	}
	return last
}

func (e entry) blockedUntil(now time.Time) (until time.Time, blocked bool) {
	count := e.active()
	if count < terminationLimit {
		return time.Time{}, false
	}
	block := min(initialBlock<<min(count-terminationLimit, maxDoublings), retention)
	until = e.last().Add(block)
	return until, now.Before(until)
}

func (e entry) hasExpired(now time.Time) bool {
	for _, known := range e {
		if known.isExpired(now) {
			return true
		}
	}
	return false
}

func (e termination) isExpired(now time.Time) bool {
	return now.Sub(e.at) >= retention
}

// expire drops expired terminations, and those beyond maxTerminations: dismissed ones first, in
// the same order on all VMs.
func (e entry) expire(now time.Time) {
	maps.DeleteFunc(e, func(_ string, known termination) bool { return known.isExpired(now) })
	if len(e) <= maxTerminations {
		return
	}
	processes := slices.SortedFunc(maps.Keys(e), func(a, b string) int {
		return cmp.Or(cmp.Compare(e[a].rank(), e[b].rank()), cmp.Compare(a, b))
	})
	for _, process := range processes[maxTerminations:] {
		delete(e, process)
	}
}

// rank orders active terminations before dismissed ones.
func (e termination) rank() int {
	if e.dismissed {
		return 1
	}
	return 0
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
