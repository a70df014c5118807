package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/config/routing"
)

// slowly sends events up to a number with a pause before each.
func slowly(to int, pause time.Duration) script {
	return func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get(headerLast)) // "" is 0: from the start.
		w.Header().Set(headerSigned, "1")
		w.Header().Set("Content-Type", "text/event-stream")
		for i := last + 1; i <= to; i++ {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(pause):
			}
			fmt.Fprintf(w, "id: %d\ndata: word%d\n\n", i, i)
			w.(http.Flusher).Flush()
		}
	}
}

// TestSlowButHealthyStreamIsNotInterrupted has each server pause a little less than the gap
// objective, but longer than the first idle timeout.
func TestSlowButHealthyStreamIsNotInterrupted(t *testing.T) {
	const pause = 270 * time.Millisecond // Gap objective 400 ms, first idle timeout 200 ms.
	run := slowly(12, pause)
	g := newRig(t, map[string]script{"a1": run, "b1": run, "c1": run})
	c := &caller{}
	r := request(routing.KindStreaming)
	r.Deadline = r.Received.Add(20 * time.Second)
	qt.Assert(t, g.relay.Stream(context.Background(), r, c.sink()), qt.IsNil)
	qt.Assert(t, c.words(), qt.Equals, wordsTo(12))
	qt.Assert(t, len(g.seen()) <= 2, qt.IsTrue, qt.Commentf("%d runs", len(g.seen())))
}

// stalling sends 5 events, then the beginning and then the piece repeatedly. A run that
// continues after an event completes.
func stalling(beginning, piece string) script {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerLast) != "" {
			events(12, complete)(w, r)
			return
		}
		events(5, complete)(w, r)
		fmt.Fprint(w, beginning)
		for r.Context().Err() == nil {
			fmt.Fprint(w, piece)
			w.(http.Flusher).Flush()
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// TestStreamOfCommentsIsNoProgress checks that a stream leaves a server that has stalled but
// still sends comments.
func TestStreamOfCommentsIsNoProgress(t *testing.T) {
	stalled := stalling("", ": wait\n\n")
	g := newRig(t, map[string]script{"a1": stalled, "b1": stalled})
	c := &caller{}
	startedAt := time.Now()
	qt.Assert(t, g.relay.Stream(context.Background(), request(routing.KindStreaming), c.sink()), qt.IsNil)
	qt.Assert(t, c.words(), qt.Equals, wordsTo(12))
	qt.Assert(t, time.Since(startedAt) < 2*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(startedAt)))
}

// TestBytesWithoutAnEventAreNoProgress is TestStreamOfCommentsIsNoProgress with one event that
// never ends.
func TestBytesWithoutAnEventAreNoProgress(t *testing.T) {
	stalled := stalling("id: 6\ndata: ", "a")
	g := newRig(t, map[string]script{"a1": stalled, "b1": stalled})
	c := &caller{}
	qt.Assert(t, g.relay.Stream(context.Background(), request(routing.KindStreaming), c.sink()), qt.IsNil)
	qt.Assert(t, c.words(), qt.Equals, wordsTo(12))
}

// TestPauseOfThisVMEndsNoRun guards against abandoning a healthy server after this VM was paused
// for some seconds. When the VM continues, the idle timeout has expired, but the next event has
// arrived and is about to be read.
func TestPauseOfThisVMEndsNoRun(t *testing.T) {
	run := slowly(6, 350*time.Millisecond)
	g := newRig(t, map[string]script{"a1": run, "b1": run})
	c := &caller{}
	r := request(routing.KindStreaming)
	r.Route.GapObjective = 600 * time.Millisecond // Idle timeout 300 ms.
	paused := time.AfterFunc(400*time.Millisecond, func() { g.paused.Add(int64(4 * time.Second)) })
	defer paused.Stop()
	r.Deadline = r.Received.Add(20 * time.Second)
	qt.Assert(t, g.relay.Stream(context.Background(), r, c.sink()), qt.IsNil)
	qt.Assert(t, c.words(), qt.Equals, wordsTo(6))
	qt.Assert(t, len(g.seen()) <= 2, qt.IsTrue, qt.Commentf("%d runs", len(g.seen())))
}
