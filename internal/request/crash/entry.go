package crash

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"
)

// entry holds the terminations under one trait, by process.
type entry map[string]termination

type termination struct {
	at        time.Time
	group     string
	dismissed bool
	tested    bool // A request ran there as a trial, and this trait was one of its suspects.
}

// isRecurring reports whether several processes terminated under the trait.
func (e entry) isRecurring() bool {
	return len(e) >= minRecurring
}

// digest returns 0 for an entry that is not recurring.
func (e entry) digest(trait Trait) (digest uint64) {
	if !e.isRecurring() {
		return 0
	}
	for process, known := range e {
		hash := fnv.New64a()
		fmt.Fprintf(hash, "%s\x00%s\x00%t\x00%t", trait, process, known.dismissed, known.tested) // Writes to a hash return no error.
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

// testedAt returns the processes that terminated under a trial of the trait, in order.
func (e entry) testedAt() (processes []string) {
	for process, known := range e {
		if known.tested && !known.dismissed {
			processes = append(processes, process)
		}
	}
	slices.Sort(processes)
	return processes
}

// newest returns the newest active terminations, count at most.
func (e entry) newest(count int) entry {
	processes := []string{}
	for process, known := range e {
		if !known.dismissed {
			processes = append(processes, process)
		}
	}
	slices.SortFunc(processes, func(a, b string) int { return cmp.Or(e[b].at.Compare(e[a].at), cmp.Compare(a, b)) })
	newest := entry{}
	for _, process := range processes[:min(len(processes), count)] {
		newest[process] = e[process]
	}
	return newest
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

// blockEnd returns when the block of a cause ends.
func (e entry) blockEnd(trait Trait) time.Time {
	block, growth, failures := float64(initialBlock), float64(blockGrowth), e.active()-terminationLimit
	if trait.IsPart() {
		block, growth, failures = float64(initialPartBlock), partBlockGrowth, e.failedTrials()
	}
	block *= math.Pow(growth, float64(failures))
	return e.last().Add(time.Duration(min(block, float64(retention))))
}

// failedTrials returns how often a server terminated after a time of initialPartBlock without an
// active termination. Many requests may have run with a part when it was first blocked, so their
// number says nothing.
func (e entry) failedTrials() (count int) {
	times := []time.Time{}
	for _, known := range e {
		if !known.dismissed {
			times = append(times, known.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	for i := 1; i < len(times); i++ {
		if times[i].Sub(times[i-1]) >= initialPartBlock {
			count++
		}
	}
	return count
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

func laterTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
