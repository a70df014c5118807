package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/config/routing"
	"github.com/endivespoke/endivespoke/internal/request/relay"
)

// versioned sends the next count events, up to the twelfth, with the version in their data.
func versioned(version string, count int, end func()) script {
	return func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get(headerLast))
		w.Header().Set(headerSigned, "1")
		w.Header().Set("Content-Type", "text/event-stream")
		for i := last + 1; i <= min(last+count, 12); i++ {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, version)
			w.(http.Flusher).Flush()
		}
		end()
	}
}

// newMixedRig returns a rig with two servers each of the versions old and new. Send returns the script
// of the next send at a version.
func newMixedRig(t *testing.T, send func(version string) script) *rig {
	scripts := map[string]script{}
	for _, version := range []string{"old", "new"} {
		for _, domain := range []string{"a", "b"} {
			scripts[domain+"-"+version] = func(w http.ResponseWriter, r *http.Request) { send(version)(w, r) }
		}
	}
	return newVersionRig(t, &rolloutFake{}, scripts)
}

// versionsOf returns the version of each event that the caller has, without repetitions in a row.
func versionsOf(c *caller) (versions []string) {
	for _, line := range strings.Split(c.body.String(), "\n") {
		version, isData := strings.CutPrefix(line, "data: ")
		if isData && (len(versions) == 0 || versions[len(versions)-1] != version) {
			versions = append(versions, version)
		}
	}
	return versions
}

func mixedRequest(last string) *relay.Request {
	r := request(routing.KindStreaming)
	r.CopyKey, r.LastEventID, r.Resumes = "copy", last, "r1"
	return r
}

func (g *rig) unlist(version string) {
	kept := []pool.Server{}
	for _, s := range g.listed {
		if s.Version != version {
			kept = append(kept, s)
		}
	}
	g.listed = kept
	g.servers.Update(kept)
}

func TestInterruptedStreamIsNotJoinedFromTwoVersions(t *testing.T) {
	first, sends := "", atomic.Int64{}
	g := newMixedRig(t, func(version string) script {
		switch sends.Add(1) {
		case 1:
			first = version
			return versioned(version, 3, abort)
		case 2:
			return refuse
		default:
			return versioned(version, 12, complete)
		}
	})
	got := &caller{}
	qt.Assert(t, g.relay.Stream(context.Background(), mixedRequest(""), got.sink()), qt.IsNil)
	qt.Check(t, got.last(), qt.Equals, "12")
	qt.Check(t, versionsOf(got), qt.DeepEquals, []string{first})
}

func TestStreamIsCutIfItsVersionIsGone(t *testing.T) {
	var g *rig
	g = newMixedRig(t, func(version string) script {
		return func(w http.ResponseWriter, r *http.Request) {
			versioned(version, 3, complete)(w, r)
			g.unlist(version)
			abort()
		}
	})
	got := &caller{}
	err := g.relay.Stream(context.Background(), mixedRequest(""), got.sink())
	var interrupted *relay.Interrupted
	qt.Assert(t, errors.As(err, &interrupted), qt.IsTrue, qt.Commentf("%v", err))
	qt.Check(t, got.last(), qt.Equals, "3")
	qt.Check(t, g.seen(), qt.HasLen, 1)
}

func TestReturnedStreamGoesOnAtItsVersionOnly(t *testing.T) {
	for _, c := range []struct {
		name    string
		known   *relay.Earlier
		without string // This version isn't listed any more.
		want    string // Refused if empty.
		copied  string
		refusal relay.Refusal
	}{
		{name: "known", known: &relay.Earlier{Version: "new"}, want: "new"},
		{name: "with a copy", known: &relay.Earlier{Version: "new", Copy: relay.Copy{RunID: "run", ServerID: "b-new", Address: "b"}}, want: "new", copied: "run"},
		{name: "with a copy at another version", known: &relay.Earlier{Version: "new", Copy: relay.Copy{RunID: "run", ServerID: "b-old", Address: "b"}}, want: "new"},
		{name: "its version is gone", known: &relay.Earlier{Version: "new"}, without: "new", refusal: relay.RefusalNoServer},
		{name: "not known", known: nil, refusal: relay.RefusalVersion},
		{name: "of two versions", known: &relay.Earlier{}, refusal: relay.RefusalVersion},
		{name: "not known, and one version has just left", known: nil, without: "old", refusal: relay.RefusalVersion},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newMixedRig(t, func(version string) script { return versioned(version, 12, complete) })
			if c.without != "" {
				g.unlist(c.without)
			}
			if c.known != nil {
				c.known.Origin, c.known.Service = "r1", "s"
				g.copies.Store("copy", *c.known)
			}
			got := &caller{}
			err := g.relay.Stream(context.Background(), mixedRequest("4"), got.sink())
			if c.want == "" {
				var refusal *relay.NotRun
				qt.Assert(t, errors.As(err, &refusal), qt.IsTrue, qt.Commentf("%v", err))
				qt.Check(t, refusal.Kind, qt.Equals, c.refusal)
				qt.Check(t, refusal.RetryAt.IsZero(), qt.IsTrue)
				qt.Check(t, g.seen(), qt.HasLen, 0)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, versionsOf(got), qt.DeepEquals, []string{c.want})
			qt.Check(t, g.seen()[0].copied, qt.Equals, c.copied)
		})
	}
}

func TestReturnedStreamOfTheOnlyVersionGoesOn(t *testing.T) {
	g := newRig(t, map[string]script{"a1": events(12, complete), "b1": events(12, complete)})
	got := &caller{}
	qt.Assert(t, g.relay.Stream(context.Background(), mixedRequest("4"), got.sink()), qt.IsNil)
	qt.Check(t, strings.HasPrefix(got.words(), "word5"), qt.IsTrue)
}

// TestAnswerAndTriesHaveOneVersion plays random losses of servers and VMs: the caller returns to another
// VM with the last event that it has, up to four times.
func TestAnswerAndTriesHaveOneVersion(t *testing.T) {
	completed, joined := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		ends := rapid.SliceOfN(rapid.IntRange(0, 5), 24, 24).Draw(rt, "ends")
		isKnown := rapid.Bool().Draw(rt, "isKnown")
		sends := 0
		var g *rig
		g = newMixedRig(t, func(version string) script {
			g.mu.Lock()
			defer g.mu.Unlock()
			end := ends[sends%len(ends)]
			sends++
			switch end {
			case 0:
				return versioned(version, 12, complete)
			case 1:
				return versioned(version, 2, abort)
			case 2:
				return versioned(version, 1, complete)
			case 3:
				return refuse
			case 4:
				return reset
			default:
				return respond(http.StatusInternalServerError, "failed")
			}
		})
		got := &caller{}
		for range 4 {
			if !isKnown {
				g.copies.Clear()
			}
			if err := g.relay.Stream(context.Background(), mixedRequest(got.last()), got.sink()); err == nil {
				break
			}
		}
		versions := versionsOf(got)
		if len(versions) > 1 {
			joined++
			rt.Fatalf("events of versions %q", versions)
		}
		if got.last() == "12" {
			completed++
		}
	})
	t.Logf("%d streams were complete, %d joined", completed, joined)
}

func TestStreamWhoseRouteLeftItsServiceHasOneVersionOfTheNewOne(t *testing.T) {
	g := newMixedRig(t, func(version string) script { return versioned(version, 3, abort) })
	listed := g.listed
	g.servers.SetCapacities(map[string]pool.Capacity{"s": {}})
	g.copies.Store("copy", relay.Earlier{Origin: "r1", Service: "left", Version: "old"})
	g.unlist("new")
	got := &caller{}
	r := mixedRequest("4")
	r.Route.MaxAttempts = 1
	qt.Assert(t, g.relay.Stream(context.Background(), r, got.sink()), qt.IsNotNil)
	qt.Assert(t, versionsOf(got), qt.DeepEquals, []string{"old"})
	g.listed = listed
	g.unlist("old")
	qt.Assert(t, g.relay.Stream(context.Background(), mixedRequest(got.last()), got.sink()), qt.IsNotNil)
	qt.Check(t, versionsOf(got), qt.DeepEquals, []string{"old"})
}

func TestRecordWithoutAVersionIsNotTakenForTheOnlyOneListed(t *testing.T) {
	g := newMixedRig(t, func(version string) script { return versioned(version, 12, complete) })
	only := pool.New(pool.Options{Now: time.Now, Draw: func() float64 { return 0 }})
	only.AddVersions(nil)
	g.unlist("new")
	only.Update(g.listed)
	g.copies.Store("copy", relay.Earlier{Origin: "r1", Service: "s"})
	got := &caller{}
	err := g.vm(only).Stream(context.Background(), mixedRequest("4"), got.sink())
	var refusal *relay.NotRun
	qt.Assert(t, errors.As(err, &refusal), qt.IsTrue, qt.Commentf("%v, events of %v", err, versionsOf(got)))
	qt.Check(t, refusal.Kind, qt.Equals, relay.RefusalVersion)
}

func TestRequestIsSentAgainAtItsVersionAfterTheLossOfASilentServer(t *testing.T) {
	for range 8 {
		var g *rig
		sends := atomic.Int64{}
		g = newMixedRig(t, func(version string) script {
			if sends.Add(1) > 1 {
				return versioned(version, 12, complete)
			}
			return func(w http.ResponseWriter, r *http.Request) {
				g.terminate(g.seen()[0].server)
				g.servers.ApplyPeerLoss(g.seen()[0].server, true)
				hang(w, r)
			}
		})
		got := &caller{}
		qt.Assert(t, g.relay.Stream(context.Background(), mixedRequest(""), got.sink()), qt.IsNil)
		seen := g.versionsSeen()
		qt.Assert(t, seen, qt.HasLen, 2)
		qt.Assert(t, seen[1], qt.Equals, seen[0], qt.Commentf("another server of %s is listed", seen[0]))
	}
}

func TestStreamOfAProcessThatIsListedLaterIsTakenUp(t *testing.T) {
	var g *rig
	listed := []pool.Server{}
	sends := atomic.Int64{}
	g = newVersionRig(t, &rolloutFake{}, map[string]script{"b-old": versioned("old", 12, complete), "a-old": func(w http.ResponseWriter, r *http.Request) {
		if sends.Add(1) > 1 {
			versioned("new", 12, complete)(w, r)
			return
		}
		versioned("new", 3, func() { g.servers.Update(listed) })(w, r)
		r.Header.Set(headerLast, "3")
		versioned("new", 3, abort)(w, r)
	}})
	for _, s := range g.listed {
		if s.ID == "a-old" {
			g.servers.Update([]pool.Server{s})
			s.ID, s.Version = "a-found", "new"
		}
		listed = append(listed, s)
	}
	g.servers.ApplyPeerSuccessor("a-old", "a-found")
	got := &caller{}
	r := mixedRequest("")
	r.Route.MaxAttempts = 1
	qt.Assert(t, g.relay.Stream(context.Background(), r, got.sink()), qt.IsNotNil)
	qt.Assert(t, got.last(), qt.Equals, "6")
	qt.Assert(t, g.relay.Stream(context.Background(), mixedRequest("6"), got.sink()), qt.IsNil)
	qt.Check(t, versionsOf(got), qt.DeepEquals, []string{"new"})
}
