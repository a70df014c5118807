package accept_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/config/routing"
	"github.com/endivespoke/endivespoke/internal/request/accept"
	"github.com/endivespoke/endivespoke/internal/request/relay"
)

var now = time.Unix(1000, 0)

func view(age time.Duration) accept.View {
	return accept.View{
		Configuration: routing.New(routing.Content{
			Version: 3,
			Routes: []routing.Route{
				{Name: "plans", Host: "a.example", Prefix: "/plans/", Kind: routing.KindStreaming, Priority: 4, Timeout: 2 * time.Second},
				{Name: "open", Host: "a.example", Prefix: "/open/", Public: true},
			},
			Limits: routing.Limits{HeaderBytes: 1000, BodyBytes: 100},
			Keyed:  true,
			Keys:   map[string]routing.Account{"k": {Name: "acme", Priority: 1, HasPriority: true}},
		}),
		CurrentAt:  now.Add(-age),
		StaleAfter: 2 * time.Second,
	}
}

func incoming(path, key string) accept.Incoming {
	return accept.Incoming{ID: "r", Host: "a.example", Path: path, Target: path, Key: key, Received: now}
}

func TestRouteAndAccountOfARequest(t *testing.T) {
	r, err := accept.Accept(view(0), incoming("/plans/1", "k"), now, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Account, qt.Equals, "acme")
	qt.Assert(t, r.Priority, qt.Equals, 1, qt.Commentf("the account's priority overrides the route's"))
	qt.Assert(t, r.Deadline, qt.Equals, now.Add(2*time.Second))
	r, err = accept.Accept(view(0), incoming("/open/1", ""), now, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Account, qt.Equals, "")
}

func TestCallersDeadlineGoesBeforeALaterTimeout(t *testing.T) {
	in := incoming("/plans/1", "k")
	in.Deadline = now.Add(time.Second)
	r, err := accept.Accept(view(0), in, now, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Deadline, qt.Equals, in.Deadline)
}

// TestDenialNeedsACurrentConfiguration checks that a VM whose configuration may be outdated
// does not deny what a newer version may permit.
func TestDenialNeedsACurrentConfiguration(t *testing.T) {
	for path, want := range map[string]error{"/none/1": accept.ErrNoRoute, "/plans/1": accept.ErrNoKey} {
		_, err := accept.Accept(view(time.Second), incoming(path, "other"), now, 0)
		qt.Check(t, errors.Is(err, want), qt.IsTrue, qt.Commentf(path))
		_, err = accept.Accept(view(3*time.Second), incoming(path, "other"), now, 0)
		var notRun *relay.NotRun
		qt.Check(t, errors.As(err, &notRun), qt.IsTrue, qt.Commentf(path))
	}
	_, err := accept.Accept(accept.View{}, incoming("/plans/1", "k"), now, 0)
	var notRun *relay.NotRun
	qt.Check(t, errors.As(err, &notRun), qt.IsTrue)
}

func TestLimitsOfTheConfiguration(t *testing.T) {
	in := incoming("/plans/1", "k")
	in.Body = make([]byte, 101)
	_, err := accept.Accept(view(0), in, now, 0)
	qt.Assert(t, errors.Is(err, accept.ErrTooLarge), qt.IsTrue)
	in = incoming("/plans/1", "k")
	in.HeadBytes = 1001
	_, err = accept.Accept(view(0), in, now, 0)
	qt.Assert(t, errors.Is(err, accept.ErrHeadTooLarge), qt.IsTrue)
}

func TestContentIsTheSameForEachAttempt(t *testing.T) {
	first, again, other := incoming("/plans/1", "k"), incoming("/plans/1", "k"), incoming("/plans/1", "k")
	again.ID, other.Body = "r2", []byte("x")
	hashes := []string{}
	for _, in := range []accept.Incoming{first, again, other} {
		r, err := accept.Accept(view(0), in, now, 0)
		qt.Assert(t, err, qt.IsNil)
		hashes = append(hashes, r.Content)
	}
	qt.Assert(t, hashes[0], qt.Equals, hashes[1])
	qt.Assert(t, hashes[0], qt.Not(qt.Equals), hashes[2])
}

// TestCopyKeyIsOfOneRequestOnly guards against a request that continues from the memory of
// another one: the last part of a prompt may belong to a session with several requests.
func TestCopyKeyIsOfOneRequestOnly(t *testing.T) {
	route := func(host string) routing.Route {
		return routing.Route{Name: host, Host: host, Prefix: "/", Kind: routing.KindStreaming, Public: true, Shares: []routing.Share{{Service: "m", Weight: 1}}}
	}
	configuration := routing.New(routing.Content{Version: 1, Routes: []routing.Route{route("h"), route("other")}})
	now := time.Unix(1000, 0)
	accepted := func(change func(*accept.Incoming)) *relay.Request {
		in := accept.Incoming{ID: "r1", Method: "POST", Host: "h", Path: "/a", Target: "/a", PromptKey: "session-1", Body: []byte("first question")}
		change(&in)
		request, err := accept.Accept(accept.View{Configuration: configuration, CurrentAt: now, StaleAfter: time.Second}, in, now, 0)
		qt.Assert(t, err, qt.IsNil)
		return request
	}
	key := func(change func(*accept.Incoming)) string { return accepted(change).CopyKey }
	first := key(func(*accept.Incoming) {})
	again := key(func(in *accept.Incoming) { in.ID, in.LastEventID = "r2", "7" })
	qt.Check(t, again, qt.Equals, first)
	qt.Check(t, first, qt.Not(qt.Equals), "")
	qt.Check(t, key(func(in *accept.Incoming) { in.Body = []byte("second question") }), qt.Not(qt.Equals), first)
	qt.Check(t, accepted(func(*accept.Incoming) {}).SharesKey, qt.IsFalse)
	qt.Check(t, accepted(func(in *accept.Incoming) { in.PromptKey = "" }).SharesKey, qt.IsTrue)
	qt.Check(t, key(func(in *accept.Incoming) { in.Host = "other" }), qt.Not(qt.Equals), first)
	qt.Check(t, key(func(in *accept.Incoming) { in.Variant = "another model" }), qt.Not(qt.Equals), first)
	otherPrompt := func(in *accept.Incoming) { in.PromptKey = "session-2" }
	qt.Check(t, key(otherPrompt), qt.Not(qt.Equals), first)
	qt.Check(t, accepted(otherPrompt).Content, qt.Equals, accepted(func(*accept.Incoming) {}).Content)
}

// BenchmarkAcceptStream accepts a stream with a body of 20 KB, which includes the hashes of what it
// says.
func BenchmarkAcceptStream(b *testing.B) {
	configuration := routing.New(routing.Content{Version: 1, Routes: []routing.Route{{
		Name: "s", Host: "h", Prefix: "/", Kind: routing.KindStreaming, Public: true, Shares: []routing.Share{{Service: "m", Weight: 1}},
	}}})
	now := time.Unix(1000, 0)
	view := accept.View{Configuration: configuration, CurrentAt: now, StaleAfter: time.Second}
	in := accept.Incoming{
		ID: "r1", Method: "POST", Host: "h", Path: "/a", Target: "/a", Body: make([]byte, 20<<10),
		PromptKey: "session-1", PromptParts: []string{"5c1e07a2", "91bd3f06"}, Variant: "m\n1460,80\n5c1e07a2:800,91bd3f06:410,e4402b7d:250",
	}
	b.ReportAllocs()
	for range b.N {
		if _, err := accept.Accept(view, in, now, 0); err != nil {
			b.Fatal(err)
		}
	}
}

// TestCallersReturnOnceTheStoreIsBack covers the loss of all VMs 2 s before an outage of the
// store ends. Streams with one retry left return after the outage, and calls as late as their
// deadline permits.
func TestCallersReturnOnceTheStoreIsBack(t *testing.T) {
	for _, c := range []struct{ left, earliest, latest time.Duration }{
		{25 * time.Second, 2 * time.Second, 2500 * time.Millisecond},
		{4 * time.Second, 960 * time.Millisecond, 1200 * time.Millisecond},
		{600 * time.Millisecond, 144 * time.Millisecond, 200 * time.Millisecond}, // Callers wait for a third of it at most.
		{-time.Second, 0, 0},
	} {
		for _, draw := range []float64{0, 0.5, 0.999} {
			in := incoming("/plans/1", "k")
			in.Deadline = now.Add(c.left)
			_, err := accept.Accept(accept.View{}, in, now, draw)
			var refusal *relay.NotRun
			qt.Assert(t, errors.As(err, &refusal), qt.IsTrue)
			pause := refusal.RetryAt.Sub(now)
			qt.Check(t, pause >= c.earliest && pause <= c.latest, qt.IsTrue, qt.Commentf("%v of %v", pause, c.left))
		}
	}
}
