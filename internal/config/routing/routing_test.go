package routing_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/endivespoke/endivespoke/internal/config/routing"
)

func TestLongestPrefixOfHostMatches(t *testing.T) {
	c := routing.New(routing.Content{Version: 1, Routes: []routing.Route{
		{Name: "short", Host: "a.example", Prefix: "/jobs/"},
		{Name: "long", Host: "a.example", Prefix: "/jobs/plans/"},
		{Name: "other host", Host: "b.example", Prefix: "/jobs/plans/new/"},
	}})
	for path, want := range map[string]string{
		"/jobs/1":           "short",
		"/jobs/plans/1":     "long",
		"/jobs/plans/new/1": "long",
		"/jobs/plans":       "short",
	} {
		route, found := c.Match("a.example", path)
		qt.Assert(t, found, qt.IsTrue, qt.Commentf(path))
		qt.Assert(t, route.Name, qt.Equals, want, qt.Commentf(path))
	}
	_, found := c.Match("a.example", "/job")
	qt.Assert(t, found, qt.IsFalse)
	_, found = c.Match("c.example", "/jobs/1")
	qt.Assert(t, found, qt.IsFalse)
}

// TestShareIsProportionalToWeight selects services with evenly spaced draws from
// [0, 1) and counts them.
func TestShareIsProportionalToWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := rapid.IntRange(0, 100).Draw(t, "first")
		second := rapid.IntRange(1, 100).Draw(t, "second")
		route := routing.Route{Shares: []routing.Share{
			{Service: "first", Weight: float64(first)},
			{Service: "second", Weight: float64(second)},
		}}
		const draws = 1000
		counts := map[string]int{}
		for i := range draws {
			counts[route.Service((float64(i)+0.5)/draws)]++
		}
		want := float64(first) / float64(first+second) * draws
		if got := float64(counts["first"]); got < want-1 || got > want+1 {
			t.Fatalf("weight %d of %d got %v of %d draws", first, first+second, got, draws)
		}
	})
}

func TestUnknownKindIsNeverRetried(t *testing.T) {
	qt.Assert(t, (&routing.Route{}).Retryable(), qt.IsFalse)
	qt.Assert(t, (&routing.Route{Kind: routing.KindStreaming}).Retryable(), qt.IsFalse)
	qt.Assert(t, (&routing.Route{Kind: routing.KindStreaming, Resumable: true}).Retryable(), qt.IsTrue)
	qt.Assert(t, (&routing.Route{Kind: routing.KindNonIdempotent, Resumable: true}).Retryable(), qt.IsFalse)
}

// TestRouteWithoutObjectivesHasDefaults guards against objectives of 0, with which
// requests would be hedged at once and a stalled stream would never be detected.
func TestRouteWithoutObjectivesHasDefaults(t *testing.T) {
	c := routing.New(routing.Content{Version: 1, Routes: []routing.Route{
		{Host: "a.example", Prefix: "/look/", Kind: routing.KindIdempotent},
		{Host: "a.example", Prefix: "/stream/", Kind: routing.KindStreaming},
	}})
	look, _ := c.Match("a.example", "/look/1")
	qt.Assert(t, look.LatencyObjective > 0, qt.IsTrue)
	stream, _ := c.Match("a.example", "/stream/1")
	qt.Assert(t, stream.GapObjective > 0, qt.IsTrue)
}
