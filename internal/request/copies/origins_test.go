package copies_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/request/copies"
)

func versioned(origin, service, version string) copies.Record {
	r := record(origin, origin)
	r.Service, r.Version = service, version
	return r
}

func TestEqualStreamsAreFoundByTheirOrigins(t *testing.T) {
	index := copies.New(copies.Options{Now: time.Now})
	index.Put("k", versioned("r1", "s", "v1"))
	index.Put("k", versioned("r2", "s", "v2"))
	index.Put("k", copies.Record{Ambiguous: true})
	for origin, version := range map[string]string{"r1": "v1", "r2": "v2"} {
		found, ok := index.FindOrigin("k", origin)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Check(t, found, qt.DeepEquals, versioned(origin, "s", version))
	}
	_, ok := index.FindOrigin("k", "r3")
	qt.Check(t, ok, qt.IsFalse)
	_, ok = index.Find("k")
	qt.Check(t, ok, qt.IsFalse)
}

func TestOriginOfAnotherRequestFindsNothing(t *testing.T) {
	index := copies.New(copies.Options{Now: time.Now})
	index.Put("k", versioned("r1", "s", "v1"))
	_, ok := index.FindOrigin("key of another account", "r1")
	qt.Check(t, ok, qt.IsFalse)
	index.Put("key of another account", versioned("r1", "s", "v2"))
	found, ok := index.FindOrigin("k", "r1")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Check(t, found.Version, qt.Equals, "v1")
}

func TestRequestSentToTwoVersionsHasNone(t *testing.T) {
	for _, c := range []struct {
		name          string
		put           func(index *copies.Copies, record copies.Record)
		second, third copies.Record
		want          string
	}{
		{"another version", putNewest, versioned("r1", "s", "v2"), versioned("r1", "s", "v2"), ""},
		{"another version, older", putOlder, versioned("r1", "s", "v2"), versioned("r1", "s", "v2"), ""},
		{"back at the first", putNewest, versioned("r1", "s", "v2"), versioned("r1", "s", "v1"), ""},
		{"the same version", putNewest, versioned("r1", "s", "v1"), versioned("r1", "s", "v1"), "v1"},
		{"before the first event", putNewest, versioned("r1", "s", ""), versioned("r1", "s", "v1"), "v1"},
		{"before the first event, late", putNewest, versioned("r1", "s", "v1"), versioned("r1", "s", ""), "v1"},
		{"before the first event, older", putOlder, versioned("r1", "s", ""), versioned("r1", "s", ""), "v1"},
		{"two versions, then none", putNewest, versioned("r1", "s", "v2"), versioned("r1", "s", ""), ""},
		{"another service", putNewest, versioned("r1", "other", "v2"), versioned("r1", "other", "v2"), "v2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			index := copies.New(copies.Options{Now: time.Now})
			index.Put("k", versioned("r1", "s", "v1"))
			c.put(index, c.second)
			c.put(index, c.third)
			found, ok := index.FindOrigin("k", "r1")
			qt.Assert(t, ok, qt.IsTrue)
			qt.Check(t, found.Version, qt.Equals, c.want)
		})
	}
}

func putNewest(index *copies.Copies, record copies.Record) { index.Put("k", record) }

func putOlder(index *copies.Copies, record copies.Record) { index.PutOlder("k", record) }

// TestVersionIsKnownFromTheFirstEventOn guards against the version of a send that failed before it.
func TestVersionIsKnownFromTheFirstEventOn(t *testing.T) {
	for _, put := range []func(*copies.Copies, copies.Record){putNewest, putOlder} {
		index := copies.New(copies.Options{Now: time.Now})
		index.Put("k", versioned("r1", "s", ""))
		found, ok := index.FindOrigin("k", "r1")
		qt.Assert(t, ok, qt.IsTrue)
		qt.Check(t, found.Version, qt.Equals, "")
		put(index, versioned("r1", "s", "v2"))
		found, ok = index.FindOrigin("k", "r1")
		qt.Assert(t, ok, qt.IsTrue)
		qt.Check(t, found.Version, qt.Equals, "v2")
	}
}

func TestOriginsExpire(t *testing.T) {
	now := time.Unix(1000, 0)
	index := copies.New(copies.Options{Now: func() time.Time { return now }})
	for i := range 3000 {
		index.Put("k", versioned(fmt.Sprint("r", i), "s", "v1"))
	}
	now = now.Add(copies.Retention - time.Second)
	index.Put("k", versioned("r7", "s", "v1"))
	qt.Check(t, index.Origins(5*time.Second, 10), qt.DeepEquals, []copies.Located{{CopyKey: "k", Record: versioned("r7", "s", "v1")}})
	now = now.Add(2 * time.Second)
	index.Put("k", versioned("new", "s", "v1"))
	for origin, want := range map[string]bool{"r6": false, "r7": true, "r8": false, "new": true} {
		_, found := index.FindOrigin("k", origin)
		qt.Check(t, found, qt.Equals, want, qt.Commentf(origin))
	}
	qt.Check(t, len(index.Origins(copies.Retention, 10_000)), qt.Equals, 2)
	qt.Check(t, len(index.Origins(copies.Retention, 1)), qt.Equals, 1)
}

func TestWithdrawnOriginIsForgotten(t *testing.T) {
	index := copies.New(copies.Options{Now: time.Now})
	index.Put("k", versioned("r1", "s", "v1"))
	index.Withdraw("another", "r1")
	_, found := index.FindOrigin("k", "r1")
	qt.Check(t, found, qt.IsTrue)
	index.Withdraw("k", "r1")
	_, found = index.FindOrigin("k", "r1")
	qt.Check(t, found, qt.IsFalse)
}

func TestRecordOfASharedKeyIsFoundByItsOriginOnly(t *testing.T) {
	index := copies.New(copies.Options{Now: time.Now})
	r := versioned("r1", "s", "v1")
	r.ByOriginOnly = true
	qt.Check(t, index.Put("k", r), qt.IsFalse)
	other := versioned("r2", "s", "v2")
	other.ByOriginOnly = true
	qt.Check(t, index.Put("k", other), qt.IsFalse)
	_, found := index.Find("k")
	qt.Check(t, found, qt.IsFalse)
	got, found := index.FindOrigin("k", "r1")
	qt.Check(t, found, qt.IsTrue)
	qt.Check(t, got, qt.DeepEquals, r)
}
