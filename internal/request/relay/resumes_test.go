package relay_test

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/http1"
	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/config/routing"
	"github.com/endivespoke/endivespoke/internal/request/relay"
)

// behaviours are the ways in which a server handles a send in the exhaustive test.
var behaviours = []struct {
	name string
	run  script
}{
	{"complete", immediately(12, complete)},
	{"reset before an event", reset},
	{"interrupted after two events", immediately(2, abort)},
	{"fail", respond(http.StatusInternalServerError, "failed")},
	{"refuse", refuse},
}

// immediately sends the next count events, up to the twelfth, without pauses.
func immediately(count int, end func()) script {
	return func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get(headerLast))
		w.Header().Set(headerSigned, "1")
		w.Header().Set("Content-Type", "text/event-stream")
		for i := last + 1; i <= min(last+count, 12); i++ {
			fmt.Fprintf(w, "id: %d\ndata: word%d\n\n", i, i)
			w.(http.Flusher).Flush()
		}
		end()
	}
}

// exhaustiveSends is how many sends are explored. Later ones complete.
const exhaustiveSends = 4

// TestResumesExhaustively runs every sequence of behaviours of two servers for the first sends of
// a stream, with and without the loss of its VM after the first event, upon which the caller
// reconnects to another VM. The caller must receive every event once and in order.
func TestResumesExhaustively(t *testing.T) {
	scenarios := 0
	for code := range int(math.Pow(float64(len(behaviours)), exhaustiveSends)) {
		for _, vmLost := range []bool{false, true} {
			names := []string{}
			plan := []script{}
			for rest := code; len(plan) < exhaustiveSends; rest /= len(behaviours) {
				b := behaviours[rest%len(behaviours)]
				names, plan = append(names, b.name), append(plan, b.run)
			}
			scenario := qt.Commentf("sends: %q, VM lost: %v", names, vmLost)
			got, err := runStream(t, plan, vmLost)
			qt.Assert(t, err, qt.IsNil, scenario)
			qt.Assert(t, got, qt.Equals, wordsTo(12), scenario)
			scenarios++
		}
	}
	t.Logf("%d scenarios of %d sends by two servers and two VMs", scenarios, exhaustiveSends)
}

// runStream relays one stream. Its first sends are handled by the scripts of the plan.
func runStream(t *testing.T, plan []script, vmLost bool) (words string, err error) {
	sends := atomic.Int64{}
	either := func(w http.ResponseWriter, r *http.Request) {
		send := int(sends.Add(1)) - 1
		if send >= len(plan) {
			immediately(12, complete)(w, r)
			return
		}
		plan[send](w, r)
	}
	g := newRig(t, map[string]script{"a1": either, "b1": either})
	c := &caller{}
	stream := func(vm *relay.Relay, sink relay.Sink) error {
		r := request(routing.KindStreaming)
		r.CopyKey = "copy"
		r.LastEventID = c.last()
		return vm.Stream(context.Background(), r, sink)
	}
	if !vmLost {
		err = stream(g.relay, c.sink())
		return c.words(), err
	}
	firstSink := c.sink()
	firstSink.Event = func(event []byte) error {
		if c.body.Len() > 0 {
			return errors.New("the VM is lost")
		}
		c.body.Write(event)
		return nil
	}
	if err = stream(g.relay, firstSink); err == nil {
		return c.words(), nil // A server's own failure was forwarded, or there was one event only.
	}
	other := pool.New(pool.Options{Now: time.Now, Draw: func() float64 { return 0 }, Check: http1.New(http1.Options{}).Check})
	other.SetCapacities(map[string]pool.Capacity{"s": {CacheTokens: 100_000, SupportsCopies: true, SupportsMoves: true}})
	other.AddVersions(nil)
	other.Update(g.listed)
	err = stream(g.vm(other), c.sink())
	return c.words(), err
}

// last returns the id of the last event that the caller has.
func (c *caller) last() string {
	count := strings.Count(c.body.String(), "id: ")
	if count == 0 {
		return ""
	}
	return strconv.Itoa(count)
}
