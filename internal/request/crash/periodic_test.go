package crash_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/request/crash"
)

// TestCurrentHasTheNewestAndTheMostFrequentCrashes has contents crash at different times.
func TestCurrentHasTheNewestAndTheMostFrequentCrashes(t *testing.T) {
	at := time.Unix(1000, 0)
	record := crash.New(crash.Options{Now: func() time.Time { return at }, Announce: func(crash.Report) {}})
	terminate := func(trait crash.Trait, servers ...string) {
		for _, id := range servers {
			record.Terminated(trait, server(id), at)
		}
	}
	terminate("twice", "a", "b")
	terminate("thrice", "a", "b", "c")
	terminate("once", "a")
	at = at.Add(time.Minute)
	since := at
	at = at.Add(time.Second)
	terminate("earlier", "d")
	at = at.Add(time.Second)
	terminate("later", "e")

	traits := func(maxFresh, maxRecurring int) (traits []crash.Trait) {
		for _, report := range record.Current(since, maxFresh, maxRecurring) {
			traits = append(traits, report.Trait)
		}
		return traits
	}
	qt.Check(t, traits(9, 9), qt.DeepEquals, []crash.Trait{"later", "earlier", "thrice", "twice"})
	qt.Check(t, traits(1, 1), qt.DeepEquals, []crash.Trait{"later", "thrice"})
	qt.Check(t, record.RecurringContents(), qt.DeepEquals, []crash.Trait{"thrice", "twice"})
	count, last := record.Count("later")
	qt.Check(t, count, qt.Equals, 1)
	qt.Check(t, last.Equal(at), qt.IsTrue)

	record.Completed("thrice")
	qt.Check(t, record.RecurringContents(), qt.DeepEquals, []crash.Trait{"twice"})
}
