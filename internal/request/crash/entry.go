package crash

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// entry is the ends under one content, by process.
type entry map[string]end

type end struct {
	at      time.Time
	group   string
	cleared bool
}

func (e entry) isSerious() bool {
	return len(e) >= seriousFrom
}

// sum is 0 for an entry that is not serious.
func (e entry) sum(content string) (sum uint64) {
	if !e.isSerious() {
		return 0
	}
	for process, known := range e {
		hash := fnv.New64a()
		fmt.Fprintf(hash, "%s\x00%s\x00%t", content, process, known.cleared) // A hash never fails to write.
		sum += hash.Sum64()
	}
	return sum
}

// counted is how many ends are not cleared.
func (e entry) counted() int {
	count := 0
	for _, known := range e {
		if !known.cleared {
			count++
		}
	}
	return count
}

// endedWith is how many processes ended together with one, itself included.
func (e entry) endedWith(one end) (count int) {
	for _, other := range e {
		if other.group == one.group && other.at.Sub(one.at).Abs() <= togetherSpan {
			count++
		}
	}
	return count
}

// last is when the newest end was that counts; zero if none does.
func (e entry) last() time.Time {
	last := time.Time{}
	for _, known := range e {
		if !known.cleared && known.at.After(last) {
			last = known.at
		}
	}
	return last
}

func (e entry) blockedUntil(now time.Time) (until time.Time, refused bool) {
	count := e.counted()
	if count < limit {
		return time.Time{}, false
	}
	refusal := min(firstRefusal<<min(count-limit, maxDoublings), keptFor)
	until = e.last().Add(refusal)
	return until, now.Before(until)
}

func (e entry) hasOld(now time.Time) bool {
	for _, known := range e {
		if known.isOld(now) {
			return true
		}
	}
	return false
}

func (e end) isOld(now time.Time) bool {
	return now.Sub(e.at) >= keptFor
}

// forget drops ends that are old, and those beyond maxEnds: cleared ones first, and the same
// on all VMs.
func (e entry) forget(now time.Time) {
	maps.DeleteFunc(e, func(_ string, known end) bool { return known.isOld(now) })
	if len(e) <= maxEnds {
		return
	}
	processes := slices.SortedFunc(maps.Keys(e), func(a, b string) int {
		return cmp.Or(cmp.Compare(e[a].rank(), e[b].rank()), cmp.Compare(a, b))
	})
	for _, process := range processes[maxEnds:] {
		delete(e, process)
	}
}

// rank orders ends that count before cleared ones.
func (e end) rank() int {
	if e.cleared {
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
