package relay_test

import (
	"context"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/config/routing"
	"github.com/endivespoke/endivespoke/internal/request/relay"
)

// TestReturnedStreamRunsAtAServiceOfItsRoute has a caller return with the last event that it has,
// while a copy of its run is at a server of another service than the one that was drawn for it. If
// its route leads to that service too, the stream goes on there; if the route has left it, the prompt
// is read again at the new service.
func TestReturnedStreamRunsAtAServiceOfItsRoute(t *testing.T) {
	for name, c := range map[string]struct {
		shares []routing.Share
		server string
		copied string
	}{
		"route has left the service": {[]routing.Share{{Service: "s", Weight: 1}}, "a1", ""},
		"route has no weight for it": {[]routing.Share{{Service: "s", Weight: 1}, {Service: "other", Weight: 0}}, "a1", ""},
		"route is split":             {[]routing.Share{{Service: "s", Weight: 1}, {Service: "other", Weight: 1}}, "b1", "run"},
	} {
		t.Run(name, func(t *testing.T) {
			g := newRig(t, map[string]script{"a1": events(10, complete), "b1": events(10, complete)})
			for i := range g.listed {
				if g.listed[i].ID == "b1" {
					g.listed[i].Service = "other"
				}
			}
			g.servers.SetCapacities(map[string]pool.Capacity{"s": {CacheTokens: 100_000, SupportsCopies: true}, "other": {CacheTokens: 100_000, SupportsCopies: true}})
			g.servers.Update(g.listed)
			r := request(routing.KindStreaming)
			r.Route.Shares = c.shares
			r.LastEventID, r.CopyKey = "4", "key"
			g.copies.Store("key", relay.Earlier{Origin: "r1", Copy: relay.Copy{RunID: "run", ServerID: "b1", Address: "b1:1"}})
			caller := &caller{}
			qt.Assert(t, g.relay.Stream(context.Background(), r, caller.sink()), qt.IsNil)
			seen := g.seen()
			qt.Assert(t, seen, qt.HasLen, 1)
			qt.Check(t, seen[0].server, qt.Equals, c.server)
			qt.Check(t, seen[0].copied, qt.Equals, c.copied)
			qt.Check(t, caller.words(), qt.Equals, strings.TrimPrefix(wordsTo(10), wordsTo(4)+" "))
		})
	}
}
