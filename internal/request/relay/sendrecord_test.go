package relay_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/endivespoke/endivespoke/internal/config/routing"
	"github.com/endivespoke/endivespoke/internal/node/event"
)

// logLines collects the log of a relay.
type logLines struct {
	mu    sync.Mutex
	bytes bytes.Buffer
}

func (l *logLines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes.Write(line)
}

// of returns the fields of each line of an event.
func (l *logLines) of(t *testing.T, wanted event.Event) (lines []map[string]any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	decoder := json.NewDecoder(bytes.NewReader(l.bytes.Bytes()))
	for {
		line := map[string]any{}
		err := decoder.Decode(&line)
		if err == io.EOF {
			return lines
		}
		qt.Assert(t, err, qt.IsNil)
		if line["event"] == float64(wanted.Number) {
			lines = append(lines, line)
		}
	}
}

// newLoggedRig is newRig with a relay whose log is collected.
func newLoggedRig(t *testing.T, scripts map[string]script) (g *rig, lines *logLines) {
	g, lines = newRig(t, scripts), &logLines{}
	g.logger = hclog.New(&hclog.LoggerOptions{Output: lines, JSONFormat: true, Level: hclog.Info})
	g.relay = g.vm(g.servers)
	return g, lines
}

func TestLogTellsWhyASendCountsAsNotRun(t *testing.T) {
	t.Run("refused", func(t *testing.T) {
		g, lines := newLoggedRig(t, map[string]script{"a1": refuse, "b1": refuse})
		_, err := g.relay.Call(context.Background(), request(routing.KindNonIdempotent))
		qt.Assert(t, err, qt.ErrorMatches, "not run: .*")
		ended := lines.of(t, event.RunEnded)
		qt.Assert(t, ended, qt.HasLen, 2)
		for i, line := range ended {
			qt.Assert(t, line["send"], qt.Equals, float64(i+1))
			qt.Assert(t, []any{line["notSent"], line["notRun"], line["status"], line["named"]}, qt.DeepEquals, []any{false, true, float64(503), true})
		}
		resent := lines.of(t, event.RequestResent)
		qt.Assert(t, resent, qt.HasLen, 1)
		qt.Assert(t, resent[0]["process"], qt.Equals, ended[1]["process"])
		qt.Assert(t, resent[0]["sentMicros"].(float64) >= ended[0]["closedMicros"].(float64), qt.IsTrue)
	})
	t.Run("no connection", func(t *testing.T) {
		g, lines := newLoggedRig(t, map[string]script{"a1": refuse})
		qt.Assert(t, g.listeners["a1"].Close(), qt.IsNil)
		_, err := g.relay.Call(context.Background(), request(routing.KindNonIdempotent))
		qt.Assert(t, err, qt.ErrorMatches, "not run: .*")
		ended := lines.of(t, event.RunEnded)
		qt.Assert(t, ended, qt.HasLen, 1)
		qt.Assert(t, []any{ended[0]["notSent"], ended[0]["notRun"], ended[0]["written"]}, qt.DeepEquals, []any{true, false, float64(0)})
	})
}

func TestLogTellsWhatWasWrittenBeforeAConnectionBroke(t *testing.T) {
	g, lines := newLoggedRig(t, map[string]script{"a1": reset})
	_, err := g.relay.Call(context.Background(), request(routing.KindNonIdempotent))
	qt.Assert(t, err, qt.IsNotNil)
	ended := lines.of(t, event.RunEnded)
	qt.Assert(t, ended, qt.HasLen, 1)
	qt.Assert(t, ended[0]["written"].(float64) > 0, qt.IsTrue)
	qt.Assert(t, ended[0]["notSent"], qt.Equals, false)
	qt.Assert(t, ended[0]["notRun"], qt.Equals, false)
	qt.Assert(t, lines.of(t, event.RequestResent), qt.HasLen, 0)
}

func TestLogTellsWhetherAStreamsFormerConnectionWasClosedBeforeItsNextSend(t *testing.T) {
	run := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerLast) == "" {
			events(5, abort)(w, r)
		}
		events(12, complete)(w, r)
	}
	g, lines := newLoggedRig(t, map[string]script{"a1": run, "b1": run})
	r := request(routing.KindStreaming)
	r.Route.GapObjective = longGapObjective()
	qt.Assert(t, g.relay.Stream(context.Background(), r, (&caller{}).sink()), qt.IsNil)
	ended := lines.of(t, event.RunEnded)[0]
	qt.Assert(t, ended["send"], qt.Equals, float64(1))
	placed := lines.of(t, event.StreamPlaced)
	next := placed[len(placed)-1]
	qt.Assert(t, next["send"], qt.Equals, float64(2))
	qt.Assert(t, next["process"], qt.Not(qt.Equals), ended["process"])
	qt.Assert(t, ended["sentMicros"].(float64) <= ended["closedMicros"].(float64), qt.IsTrue)
	qt.Assert(t, ended["closedMicros"].(float64) <= next["sentMicros"].(float64), qt.IsTrue)
}

func TestLogTellsTwoVMsOfOneStreamApart(t *testing.T) {
	g, lines := newLoggedRig(t, map[string]script{"a1": slowly(12, 20*time.Millisecond), "b1": slowly(12, 20*time.Millisecond)})
	first := request(routing.KindStreaming)
	first.CopyKey = "key"
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	left := make(chan error, 1)
	go func() { left <- g.relay.Stream(ctx, first, (&caller{}).sink()) }()
	for len(lines.of(t, event.StreamPlaced)) == 0 {
		time.Sleep(time.Millisecond)
	}
	second := request(routing.KindStreaming)
	second.ID, second.CopyKey, second.LastEventID = "r2", "key", "1"
	qt.Assert(t, g.vm(g.servers).Stream(context.Background(), second, (&caller{}).sink()), qt.IsNil)
	leave()
	<-left
	byRequest := map[any]map[string]any{}
	for _, line := range lines.of(t, event.StreamPlaced) {
		if byRequest[line["request"]] == nil {
			byRequest[line["request"]] = line
		}
	}
	qt.Assert(t, byRequest, qt.HasLen, 2)
	for id, line := range byRequest {
		qt.Assert(t, line["origin"], qt.Equals, "r1")
		qt.Assert(t, line["send"], qt.Equals, float64(1))
		qt.Assert(t, line["process"], qt.Not(qt.Equals), "", qt.Commentf("%v", id))
	}
}
