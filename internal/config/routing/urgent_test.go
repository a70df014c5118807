package routing_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/config/routing"
)

// TestMostUrgent: an account's priority goes before the route's, and among requests of one priority
// the route decides.
func TestMostUrgent(t *testing.T) {
	shares := []routing.Share{{Service: "llm", Weight: 1}}
	content := routing.Content{Routes: []routing.Route{
		{Name: "drafts", Host: "h", Prefix: "/d/", Kind: routing.KindStreaming, Shares: shares, Priority: 2, LatencyObjective: 4 * time.Second},
		{Name: "digests", Host: "h", Prefix: "/s/", Kind: routing.KindStreaming, Shares: shares, Priority: 5, LatencyObjective: 3 * time.Second},
		{Name: "lookups", Host: "h", Prefix: "/l/", Kind: routing.KindIdempotent, Shares: shares, Priority: 0, LatencyObjective: time.Second},
	}}
	c := routing.New(content)
	rank, objective := c.MostUrgent("llm")
	qt.Check(t, rank, qt.Equals, c.Routes[0].Rank(2))
	qt.Check(t, objective, qt.Equals, 4*time.Second)
	content.Keyed, content.Keys = true, map[string]routing.Account{"k": {Name: "a", Priority: 3, HasPriority: true}, "l": {Name: "b", Priority: 1, HasPriority: true}}
	c = routing.New(content)
	rank, objective = c.MostUrgent("llm")
	qt.Check(t, rank, qt.Equals, c.Routes[0].Rank(1))
	qt.Check(t, objective, qt.Equals, 4*time.Second)
	qt.Check(t, c.Routes[0].Rank(1) < c.Routes[1].Rank(1), qt.IsTrue)
	qt.Check(t, c.Routes[1].Rank(1) < c.Routes[0].Rank(3), qt.IsTrue)
	rank, objective = c.MostUrgent("desk")
	qt.Check(t, rank == 0 && objective == 0, qt.IsTrue)
}
