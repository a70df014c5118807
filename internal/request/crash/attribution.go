package crash

import (
	"cmp"
	"slices"
	"time"
)

// cause is a trait that terminations are attributed to. Alternatives are the traits that explain
// these terminations as well, itself included, in order; a request that has only some of them
// tells which of them it is.
type cause struct {
	until        time.Time // When its block ends.
	alternatives []Trait
}

// finding is a trait that became a cause, or the only one of its alternatives.
type finding struct {
	trait        Trait
	alternatives []Trait
	terminations int
}

// suspect is a trait with its active terminations, during attribution.
type suspect struct {
	trait    Trait
	known    entry
	limit    int      // Terminations that make it a cause.
	testedAt []string // The processes that terminated under trials of it.
}

// attribute determines the causes of the known terminations.
//
// A failed trial shows that one of its suspects is a cause: the one that the most trials failed of.
// The other causes are a greedy approximation of the smallest set of traits that covers all
// terminations. The heaviest suspect covers its own; the next one is a cause too if as many as its
// limit are not covered by heavier ones, and so on. Called with the lock held.
func (r *Record) attribute() (findings []finding) {
	r.changed = false
	before := r.causes
	r.causes = map[Trait]cause{}
	covered := map[string]bool{}
	tested, others := r.sortedSuspects()
	for _, s := range tested {
		r.causes[s.trait] = cause{until: s.known.blockEnd(s.trait), alternatives: r.testedWith(s, tested)}
		s.known.cover(covered)
	}
	for len(others) > 0 {
		end := slices.IndexFunc(others, func(s suspect) bool { return s.weight() < others[0].weight() })
		if end < 0 {
			end = len(others)
		}
		causes := slices.DeleteFunc(slices.Clone(others[:end]), func(s suspect) bool { return s.known.activeOutside(covered) < s.limit })
		for _, s := range causes {
			r.causes[s.trait] = cause{until: s.known.blockEnd(s.trait), alternatives: explainedBy(s, causes)}
			s.known.cover(covered)
		}
		others = others[end:]
	}
	for trait, c := range r.causes {
		if earlier, found := before[trait]; !found || (len(earlier.alternatives) > 1 && len(c.alternatives) == 1) {
			findings = append(findings, finding{trait: trait, alternatives: c.alternatives, terminations: r.traits[trait].active()})
		}
	}
	return findings
}

// sortedSuspects returns the suspects that trials show to be causes, and the others, each with the
// heaviest first. Called with the lock held.
func (r *Record) sortedSuspects() (tested, others []suspect) {
	all := make([]suspect, 0, len(r.suspects))
	for trait := range r.suspects {
		known := r.traits[trait]
		all = append(all, suspect{trait: trait, known: known, limit: r.limit(trait), testedAt: known.testedAt()})
	}
	slices.SortFunc(all, func(a, b suspect) int {
		return cmp.Or(cmp.Compare(b.weight(), a.weight()), cmp.Compare(a.trait, b.trait))
	})
	for _, s := range all {
		if len(s.testedAt) > 0 && !slices.ContainsFunc(all, s.failsOnlyWith) {
			tested = append(tested, s)
		} else {
			others = append(others, s)
		}
	}
	return tested, others
}

// limit returns the number of active terminations that make a trait a suspect. A part that requests
// ran to completion with at this VM is the likelier sound, so it takes twice as many.
func (r *Record) limit(trait Trait) int {
	if r.passed.has(trait, r.options.Now()) {
		return 2 * terminationLimit
	}
	return terminationLimit
}

// weight ranks suspects by how often the terminations reach the limit.
func (s *suspect) weight() int {
	return s.known.active() * 2 * terminationLimit / s.limit
}

// failsOnlyWith reports whether all failed trials of s were ones of another suspect, of which more
// have failed.
func (s *suspect) failsOnlyWith(other suspect) bool {
	if len(other.testedAt) <= len(s.testedAt) {
		return false
	}
	for _, process := range s.testedAt {
		if !slices.Contains(other.testedAt, process) {
			return false
		}
	}
	return true
}

// testedWith returns the traits of the suspects of which the same trials failed, s among them, and
// of the contents of these trials that have come again: contents that crash servers do. After
// maxFailedTrials it is s alone. Called with the lock held.
func (r *Record) testedWith(s suspect, tested []suspect) (traits []Trait) {
	if len(s.testedAt) >= maxFailedTrials {
		return []Trait{s.trait}
	}
	for _, other := range tested {
		if slices.Equal(other.testedAt, s.testedAt) {
			traits = append(traits, other.trait)
		}
	}
	now := r.options.Now()
	for content := range r.tested {
		if !slices.Contains(traits, content) && r.repeated.has(content, now) && slices.Equal(r.traits[content].testedAt(), s.testedAt) {
			traits = append(traits, content)
		}
	}
	slices.Sort(traits)
	return traits
}

// explainedBy returns those of the causes of one weight, s among them, that would be none if s
// covered its terminations.
func explainedBy(s suspect, causes []suspect) (traits []Trait) {
	covered := map[string]bool{}
	s.known.cover(covered)
	for _, other := range causes {
		if other.known.activeOutside(covered) < other.limit {
			traits = append(traits, other.trait)
		}
	}
	return traits
}

// activeOutside returns the number of active terminations that are not covered.
func (e entry) activeOutside(covered map[string]bool) (count int) {
	for process, known := range e {
		if !known.dismissed && !covered[process] {
			count++
		}
	}
	return count
}

func (e entry) cover(covered map[string]bool) {
	for process, known := range e {
		if !known.dismissed {
			covered[process] = true
		}
	}
}
