package crash

import (
	"cmp"
	"slices"
	"time"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
)

// Current returns reports for VMs that exchange them at intervals instead of when they change:
// of the traits under which a process has terminated since a time, newest first, and of those under
// which several processes did, those with the most first, each up to a number of traits.
func (r *Record) Current(since time.Time, maxFresh, maxRecurring int) []Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	fresh, recurring := []Trait{}, []Trait{}
	for trait, known := range r.traits {
		switch {
		case known.last().After(since):
			fresh = append(fresh, trait)
		case known.isRecurring():
			recurring = append(recurring, trait)
		}
	}
	slices.SortFunc(fresh, func(a, b Trait) int {
		return cmp.Or(r.traits[b].last().Compare(r.traits[a].last()), cmp.Compare(a, b))
	})
	slices.SortFunc(recurring, func(a, b Trait) int {
		return cmp.Or(cmp.Compare(len(r.traits[b]), len(r.traits[a])), cmp.Compare(a, b))
	})
	reports := []Report{}
	for _, trait := range slices.Concat(fresh[:min(len(fresh), maxFresh)], recurring[:min(len(recurring), maxRecurring)]) {
		reports = append(reports, r.report(trait, r.traits[trait]))
	}
	return reports
}

// Count returns how many processes terminated under a trait, and when the last one did: the zero time
// if there is none.
func (r *Record) Count(trait Trait) (terminations int, last time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.traits[trait]
	return known.active(), known.last()
}

// RecurringContents returns the contents under which several processes terminated, those with the
// most first, in the same order on VMs that have merged the same reports.
func (r *Record) RecurringContents() []Trait {
	r.mu.Lock()
	defer r.mu.Unlock()
	contents := []Trait{}
	for trait, known := range r.traits {
		if !trait.IsPart() && known.active() >= minRecurring {
			contents = append(contents, trait)
		}
	}
	slices.SortFunc(contents, func(a, b Trait) int {
		return cmp.Or(cmp.Compare(r.traits[b].active(), r.traits[a].active()), cmp.Compare(a, b))
	})
	return contents
}

// TerminatedServers returns the IDs of the servers of which a process has terminated since a time.
func (r *Record) TerminatedServers(since time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := []string{}
	for process, at := range r.terminatedAt {
		if at.After(since) {
			ids = append(ids, pool.ProcessServerID(process))
		}
	}
	return ids
}
