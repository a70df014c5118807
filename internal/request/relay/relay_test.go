package relay_test

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/http1"
	"github.com/endivespoke/endivespoke/internal/backend/placement"
	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/config/routing"
	nodecaller "github.com/endivespoke/endivespoke/internal/node/caller"
	"github.com/endivespoke/endivespoke/internal/peer/permit"
	"github.com/endivespoke/endivespoke/internal/request/admission"
	"github.com/endivespoke/endivespoke/internal/request/budget"
	"github.com/endivespoke/endivespoke/internal/request/crash"
	"github.com/endivespoke/endivespoke/internal/request/relay"
)

// The headers between the relay and the servers of these tests.
const (
	headerID     = "X-Id"
	headerNotRun = "X-Not-Run"
	headerSigned = "X-Signed"
	headerLast   = "X-Last"
	headerCopy   = "X-Copy"
	headerBackup = "X-Backup"
)

// arrival is one request as a server received it.
type arrival struct {
	server string
	last   string
	copied string
	backup string
}

// rig is a relay with scripted backend servers.
type rig struct {
	t         *testing.T
	relay     *relay.Relay
	servers   *pool.Pool
	crashes   *crash.Record
	answers   *nodecaller.Bodies
	retries   *budget.Shared
	mu        sync.Mutex
	arrivals  []arrival
	addresses map[string]string
	listeners map[string]net.Listener // By the server's id.
	listed    []pool.Server
	moves     []string // "from to" of each move.
	stopRun   map[string]chan struct{}
	copies    sync.Map // By CopyKey.
	onMove    func()   // Called after a run was moved, if set.
	moveError error    // Returned after a run was stopped, if set.
	copied    []string // "from to" of each copy of a running run, and "free handle" of each freed one.
	// copyFaults is how many copies are refused, and renews whether servers can copy.
	copyFaults int
	renews     bool
	paused     atomic.Int64 // Nanoseconds for which this VM was paused.
	// moveFaults is how many moves are refused for lack of capacity.
	moveFaults int
	earlyEnds  []relay.EarlyEnd
	// isUnreachable makes checks of servers time out.
	isUnreachable atomic.Bool
	resumed       []bool // For each resume, whether it was from a copy.
	versions      relay.Versions
	admitter      *admission.Admitter
	logger        hclog.Logger
	connections   *http1.Pool    // Of the relay, if set.
	permits       *permit.Issuer // Of trials, if set.
}

type script func(w http.ResponseWriter, r *http.Request)

// newRig starts one server for each script; "a1" is server 1 of failure domain a.
func newRig(t *testing.T, scripts map[string]script) *rig {
	g := &rig{t: t, addresses: map[string]string{}, listeners: map[string]net.Listener{}, answers: nodecaller.NewBodies(64 << 20)}
	connections := http1.New(http1.Options{})
	g.servers = pool.New(pool.Options{Now: time.Now, Draw: func() float64 { return 0 }, Check: func(ctx context.Context, address string) error {
		if g.isUnreachable.Load() {
			return context.DeadlineExceeded
		}
		return connections.Check(ctx, address)
	}})
	for id, run := range scripts {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			g.mu.Lock()
			g.arrivals = append(g.arrivals, arrival{id, r.Header.Get(headerLast), r.Header.Get(headerCopy), r.Header.Get(headerBackup)})
			g.mu.Unlock()
			w.Header().Set(headerID, r.Header.Get(headerID))
			run(w, r)
		}))
		t.Cleanup(server.CloseClientConnections)
		address := strings.TrimPrefix(server.URL, "http://")
		g.addresses[address] = id
		g.listeners[id] = server.Listener
		g.listed = append(g.listed, pool.Server{ID: id, Address: address, Service: "s", FailureDomain: id[:1], Slots: 4})
	}
	g.servers.SetCapacities(map[string]pool.Capacity{"s": {CacheTokens: 100_000, SupportsCopies: true, SupportsMoves: true}})
	g.servers.AddVersions(nil)
	g.servers.Update(g.listed)
	g.relay = g.vm(g.servers)
	return g
}

// vm returns the relay of another VM, which has the same index of copies.
func (g *rig) vm(servers *pool.Pool) *relay.Relay {
	connections := cmp.Or(g.connections, http1.New(http1.Options{}))
	g.retries = budget.NewShared(budget.SharedOptions{Ratio: 1, Allowance: 100, Window: time.Minute, Now: time.Now})
	g.crashes = g.newCrashRecord(servers)
	renewals := relay.Renewals{}
	if g.renews {
		renewals = relay.Renewals{Copy: g.copyRun, Free: g.freeCopy}
	}
	return relay.New(relay.Options{
		Renewals:           renewals,
		Versions:           g.versions,
		Servers:            servers,
		Admitter:           g.admitter,
		Connections:        connections,
		Logger:             cmp.Or(g.logger, hclog.NewNullLogger()),
		Now:                func() time.Time { return time.Now().Add(time.Duration(g.paused.Load())) },
		Encode:             encode,
		Decode:             decode,
		IDHeader:           headerID,
		ReadAnswer:         g.answers.Read,
		TakeMemory:         g.answers.Take,
		ReturnMemory:       g.answers.Return,
		Withdraw:           func(string) bool { return g.retries.Withdraw() },
		WithdrawPreventive: func(string) bool { return g.retries.WithdrawPreventive() },
		RetryAt:            func(string) time.Time { return g.retries.RetryAt() },
		Refund:             func(string) { g.retries.Refund() },
		Counts: relay.Counts{
			EndedEarly: func(how relay.EarlyEnd) { g.mu.Lock(); defer g.mu.Unlock(); g.earlyEnds = append(g.earlyEnds, how) },
			Resumed: func(fromCopy bool, _ time.Duration) {
				g.mu.Lock()
				defer g.mu.Unlock()
				g.resumed = append(g.resumed, fromCopy)
			},
		},
		LoadAdded:   func() {},
		LoadReduced: func() {},
		Move:        g.move,
		Copies: relay.Copies{
			Put: func(request *relay.Request, copied relay.Copy) {
				g.copies.Store(request.CopyKey, relay.Earlier{Origin: "r1", Copy: copied, Service: request.Service, Version: request.Version})
			},
			Find:           g.findCopy,
			AwaitAmbiguous: func(context.Context, string) {},
		},
		Crashes: relay.Crashes{
			Interrupted:  g.crashes.Interrupted,
			Completed:    g.crashes.Completed,
			Check:        g.crashes.Check,
			Recheck:      g.crashes.Recheck,
			IsBlocked:    g.crashes.IsBlocked,
			Inconclusive: g.crashes.Inconclusive,
		},
	})
}

func (g *rig) findCopy(_ context.Context, key, _ string) (earlier relay.Earlier, found bool) {
	stored, found := g.copies.Load(key)
	if !found {
		return relay.Earlier{}, false
	}
	return stored.(relay.Earlier), true
}

// move stops the run at a server whose script waits for stopRun.
func (g *rig) move(_ context.Context, runID string, from, to pool.Server) (relay.Copy, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.moveFaults > 0 {
		g.moveFaults--
		return relay.Copy{}, errors.New("server answered 503 to a move")
	}
	g.moves = append(g.moves, from.ID+" "+to.ID)
	close(g.stopRun[from.ID])
	if g.onMove != nil {
		g.onMove()
	}
	if g.moveError != nil {
		return relay.Copy{}, g.moveError
	}
	return relay.Copy{RunID: "handle of " + runID, ServerID: to.ID, Address: from.Address}, nil
}

func encode(d relay.Dispatch) *http.Request {
	header := http.Header{headerID: {d.Request.ID}, headerLast: {d.LastEventID}, headerBackup: {d.BackupID}}
	if d.CopyAddress != "" {
		header.Set(headerCopy, d.CopyRunID)
	}
	return &http.Request{Method: d.Request.Method, Host: "h", URL: &url.URL{Opaque: d.Request.Target}, Header: header}
}

func decode(response *http.Response) relay.Verdict {
	status := response.StatusCode
	return relay.Verdict{
		Status:     status,
		Header:     response.Header.Clone(),
		Success:    status < 300,
		Signed:     response.Header.Get(headerSigned) != "",
		NotRun:     response.Header.Get(headerNotRun) != "",
		EventsOnly: response.Header.Get("Content-Type") == "text/event-stream",
	}
}

func (g *rig) seen() []arrival {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]arrival{}, g.arrivals...)
}

func request(kind routing.Kind) *relay.Request {
	now := time.Now()
	return &relay.Request{
		ID:       "r1",
		Method:   http.MethodGet,
		Target:   "/x/1",
		Service:  "s",
		Content:  "content",
		Traits:   crash.Traits("content", nil),
		Received: now,
		Deadline: now.Add(5 * time.Second),
		Demand:   placement.Demand{PromptTokens: 1000, OutputTokens: 100},
		Route: &routing.Route{
			Kind:             kind,
			Resumable:        true,
			MaxAttempts:      5,
			LatencyObjective: 200 * time.Millisecond,
			GapObjective:     400 * time.Millisecond,
		},
	}
}

// Scripts of servers.

func respond(status int, body string) script {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerSigned, "1")
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	}
}

func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func reset(http.ResponseWriter, *http.Request) {
	panic(http.ErrAbortHandler)
}

func hang(_ http.ResponseWriter, r *http.Request) {
	<-r.Context().Done()
}

// events sends the events after the request's last one up to the given number, and then
// calls end.
func events(to int, end func()) script {
	return func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.Atoi(r.Header.Get(headerLast)) // "" is 0: from the start.
		w.Header().Set(headerSigned, "1")
		w.Header().Set("Content-Type", "text/event-stream")
		for i := from + 1; i <= to; i++ {
			fmt.Fprintf(w, "id: %d\ndata: word%d\n\n", i, i)
			w.(http.Flusher).Flush()
			time.Sleep(5 * time.Millisecond)
		}
		end()
	}
}

func complete() {}

func abort() { panic(http.ErrAbortHandler) }

// caller collects the answer of a stream.
type caller struct {
	status int
	body   strings.Builder
}

func (c *caller) sink() relay.Sink {
	return relay.Sink{
		Begin: func(status int, _ http.Header) { c.status = status },
		Event: func(event []byte) error { c.body.Write(event); return nil },
	}
}

// words returns the data of a stream: "word1 word2".
func (c *caller) words() string {
	words := []string{}
	for _, line := range strings.Split(c.body.String(), "\n") {
		if word, found := strings.CutPrefix(line, "data: "); found {
			words = append(words, word)
		}
	}
	return strings.Join(words, " ")
}

func wordsTo(last int) string {
	words := []string{}
	for i := 1; i <= last; i++ {
		words = append(words, fmt.Sprint("word", i))
	}
	return strings.Join(words, " ")
}

// Plain requests.

func TestIdempotentRequestIsRetriedAfterAFailure(t *testing.T) {
	g := newRig(t, map[string]script{"a1": respond(500, "bad"), "b1": respond(200, "good")})
	for range 5 {
		answer, err := g.relay.Call(context.Background(), request(routing.KindIdempotent))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(answer.Body), qt.Equals, "good")
	}
}

func TestIdempotentRequestUsesNoMoreThanItsAttempts(t *testing.T) {
	g := newRig(t, map[string]script{"a1": respond(500, "bad"), "b1": respond(500, "bad"), "c1": respond(500, "bad")})
	r := request(routing.KindIdempotent)
	r.Route.MaxAttempts = 2
	answer, err := g.relay.Call(context.Background(), r)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, answer.Status, qt.Equals, 500)
	qt.Assert(t, g.seen(), qt.HasLen, 2)
}

func TestSlowIdempotentRequestIsHedged(t *testing.T) {
	g := newRig(t, map[string]script{"a1": hang, "b1": respond(200, "good")})
	for range 3 {
		r := request(routing.KindIdempotent)
		answer, err := g.relay.Call(context.Background(), r)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(answer.Body), qt.Equals, "good")
		qt.Assert(t, time.Since(r.Received) < r.Route.LatencyObjective, qt.IsTrue)
	}
}

func TestActionIsNotRetriedAfterItWasSent(t *testing.T) {
	g := newRig(t, map[string]script{"a1": reset, "b1": reset})
	_, err := g.relay.Call(context.Background(), request(routing.KindNonIdempotent))
	var unknown *relay.Unknown
	qt.Assert(t, errors.As(err, &unknown), qt.IsTrue)
	qt.Assert(t, g.seen(), qt.HasLen, 1)
}

func TestActionIsRetriedAtAnotherServerIfItWasRefused(t *testing.T) {
	g := newRig(t, map[string]script{"a1": refuse, "b1": refuse, "c1": respond(200, "done")})
	answer, err := g.relay.Call(context.Background(), request(routing.KindNonIdempotent))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(answer.Body), qt.Equals, "done")
}

func TestActionThatAllRefuseHasNotRun(t *testing.T) {
	g := newRig(t, map[string]script{"a1": refuse, "b1": refuse})
	_, err := g.relay.Call(context.Background(), request(routing.KindNonIdempotent))
	var notRun *relay.NotRun
	qt.Assert(t, errors.As(err, &notRun), qt.IsTrue)
	qt.Assert(t, notRun.RetryAt.IsZero(), qt.IsFalse)
}

func TestUnsignedSuccessIsNoAnswer(t *testing.T) {
	unsigned := func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "whose?") }
	g := newRig(t, map[string]script{"a1": unsigned})
	_, err := g.relay.Call(context.Background(), request(routing.KindNonIdempotent))
	var unknown *relay.Unknown
	qt.Assert(t, errors.As(err, &unknown), qt.IsTrue)
}

// Streams.

func TestStreamContinuesFromItsCopy(t *testing.T) {
	interrupted := events(5, abort)
	whole := events(12, complete)
	var first sync.Once
	either := func(w http.ResponseWriter, r *http.Request) {
		run := whole
		first.Do(func() { run = interrupted })
		run(w, r)
	}
	g := newRig(t, map[string]script{"a1": either, "b1": either})
	c := &caller{}
	err := g.relay.Stream(context.Background(), request(routing.KindStreaming), c.sink())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.words(), qt.Equals, wordsTo(12))
	seen := g.seen()
	qt.Assert(t, seen, qt.HasLen, 2)
	qt.Assert(t, seen[1].server, qt.Equals, seen[0].backup)
	qt.Assert(t, seen[1].server[:1], qt.Not(qt.Equals), seen[0].server[:1], qt.Commentf("the copy is in the failure domain of the stream"))
	qt.Assert(t, seen[1].copied, qt.Equals, "r1")
	qt.Assert(t, seen[1].last, qt.Equals, "5")
}

func TestStreamReadsThePromptAgainIfTheCopyIsGone(t *testing.T) {
	var first sync.Once
	either := func(w http.ResponseWriter, r *http.Request) {
		run := events(12, complete)
		first.Do(func() { run = events(5, abort) })
		if r.Header.Get(headerCopy) != "" {
			run = refuse
		}
		run(w, r)
	}
	g := newRig(t, map[string]script{"a1": either, "b1": either})
	c := &caller{}
	err := g.relay.Stream(context.Background(), request(routing.KindStreaming), c.sink())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.words(), qt.Equals, wordsTo(12))
	qt.Assert(t, g.seen(), qt.HasLen, 3)
}

// TestFailedResumeIsRetriedAtTheSameServer guards against reading the prompt again, which
// takes a second, after a failure of the server with the copy. A server that fails some of
// its requests keeps the copy.
func TestFailedResumeIsRetriedAtTheSameServer(t *testing.T) {
	for failures, sends := range map[int]int{1: 3, 2: 4, 3: 5} {
		t.Run(fmt.Sprint(failures, " failures"), func(t *testing.T) {
			runs := atomic.Int64{}
			either := func(w http.ResponseWriter, r *http.Request) {
				switch run := int(runs.Add(1)); {
				case run == 1:
					events(5, abort)(w, r)
				case run <= 1+failures:
					respond(http.StatusInternalServerError, "failed")(w, r)
				default:
					events(12, complete)(w, r)
				}
			}
			g := newRig(t, map[string]script{"a1": either, "b1": either})
			c := &caller{}
			err := g.relay.Stream(context.Background(), request(routing.KindStreaming), c.sink())
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, c.words(), qt.Equals, wordsTo(12))
			seen := g.seen()
			qt.Assert(t, seen, qt.HasLen, sends)
			qt.Assert(t, seen[2].server, qt.Equals, seen[1].server)
			qt.Assert(t, seen[2].copied, qt.Equals, "r1")
			if failures == 3 {
				qt.Assert(t, seen[4].copied, qt.Equals, "") // The last attempt reads the prompt.
			}
		})
	}
}

// TestEarlyEndsAreCounted checks the counts of how runs ended and how streams were resumed.
func TestEarlyEndsAreCounted(t *testing.T) {
	runs := atomic.Int64{}
	either := func(w http.ResponseWriter, r *http.Request) {
		switch runs.Add(1) {
		case 1:
			events(5, abort)(w, r)
		case 2:
			refuse(w, r)
		default:
			events(12, complete)(w, r)
		}
	}
	g := newRig(t, map[string]script{"a1": either, "b1": either})
	c := &caller{}
	qt.Assert(t, g.relay.Stream(context.Background(), request(routing.KindStreaming), c.sink()), qt.IsNil)
	qt.Assert(t, g.earlyEnds, qt.DeepEquals, []relay.EarlyEnd{relay.EndBroken, relay.EndRefused})
	qt.Assert(t, g.resumed, qt.DeepEquals, []bool{false})

	g = newRig(t, map[string]script{"a1": respond(http.StatusInternalServerError, "failed")})
	_, err := g.relay.Call(context.Background(), request(routing.KindIdempotent))
	qt.Assert(t, err, qt.IsNil) // The failure is the answer.
	qt.Assert(t, g.earlyEnds[0], qt.Equals, relay.EndFailed)
}

// TestIdleStreamContinuesWithinItsGapObjective has the first server stop sending in the middle
// of an event while its connection stays open.
func TestIdleStreamContinuesWithinItsGapObjective(t *testing.T) {
	var first sync.Once
	either := func(w http.ResponseWriter, r *http.Request) {
		run := events(12, complete)
		first.Do(func() {
			run = func(w http.ResponseWriter, r *http.Request) {
				events(5, complete)(w, r)
				fmt.Fprint(w, "id: 6\nda")
				w.(http.Flusher).Flush()
				hang(w, r)
			}
		})
		run(w, r)
	}
	g := newRig(t, map[string]script{"a1": either, "b1": either})
	c := &caller{}
	longest := time.Duration(0)
	last := time.Time{}
	sink := c.sink()
	collect := sink.Event
	sink.Event = func(event []byte) error {
		if now := time.Now(); !last.IsZero() {
			longest = max(longest, now.Sub(last))
		}
		last = time.Now()
		return collect(event)
	}
	r := request(routing.KindStreaming)
	err := g.relay.Stream(context.Background(), r, sink)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.words(), qt.Equals, wordsTo(12))
	qt.Assert(t, longest < r.Route.GapObjective, qt.IsTrue, qt.Commentf("%v", longest))
}

func TestStreamThatIsNotResumableIsInterrupted(t *testing.T) {
	g := newRig(t, map[string]script{"a1": events(5, abort), "b1": events(5, abort)})
	r := request(routing.KindStreaming)
	r.Route.Resumable = false
	c := &caller{}
	err := g.relay.Stream(context.Background(), r, c.sink())
	var interrupted *relay.Interrupted
	qt.Assert(t, errors.As(err, &interrupted), qt.IsTrue)
	qt.Assert(t, g.seen(), qt.HasLen, 1)
}

func TestStreamUsesNoMoreThanItsAttempts(t *testing.T) {
	g := newRig(t, map[string]script{"a1": reset, "b1": reset, "c1": reset, "d1": reset})
	r := request(routing.KindStreaming)
	r.Route.MaxAttempts = 3
	c := &caller{}
	err := g.relay.Stream(context.Background(), r, c.sink())
	var unknown *relay.Unknown
	qt.Assert(t, errors.As(err, &unknown), qt.IsTrue)
	qt.Assert(t, g.seen(), qt.HasLen, 3)
}

func TestServersOwnFailureIsForwarded(t *testing.T) {
	g := newRig(t, map[string]script{"a1": respond(400, "no such model")})
	c := &caller{}
	err := g.relay.Stream(context.Background(), request(routing.KindStreaming), c.sink())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.status, qt.Equals, 400)
	qt.Assert(t, c.body.String(), qt.Equals, "no such model")
}

// TestStreamThatLostItsCopyIsMoved has the holder of the copy lost, before and after the first
// event. The stream continues at a third server, with a new copy.
func TestStreamThatLostItsCopyIsMoved(t *testing.T) {
	for name, lossAt := range map[string]time.Duration{"before the first event": 20 * time.Millisecond, "after it": 120 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			stop := map[string]chan struct{}{"a1": make(chan struct{}), "b1": make(chan struct{}), "c1": make(chan struct{})}
			run := func(id string) script {
				return func(w http.ResponseWriter, r *http.Request) {
					if r.Header.Get(headerCopy) != "" {
						events(30, complete)(w, r)
						return
					}
					time.Sleep(80 * time.Millisecond) // Reads the prompt.
					events(10, complete)(w, r)
					<-stop[id]
					abort()
				}
			}
			g := newRig(t, map[string]script{"a1": run("a1"), "b1": run("b1"), "c1": run("c1")})
			g.stopRun = stop
			go func() {
				for len(g.seen()) == 0 {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(lossAt)
				g.servers.ApplyPeerLoss(g.seen()[0].backup, true)
			}()
			c := &caller{}
			err := g.relay.Stream(context.Background(), request(routing.KindStreaming), c.sink())
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, c.words(), qt.Equals, wordsTo(30))
			seen := g.seen()
			qt.Assert(t, seen, qt.HasLen, 2)
			qt.Assert(t, g.moves, qt.DeepEquals, []string{seen[0].server + " " + seen[1].server})
			qt.Assert(t, seen[1].copied, qt.Equals, "handle of r1")
			qt.Assert(t, seen[1].server, qt.Not(qt.Equals), seen[0].backup)
		})
	}
}

// TestLostStreamIsNotReportedAsNotRun has the only server lost while it reads the prompt. No
// other server is listed, and the stream may have run.
func TestLostStreamIsNotReportedAsNotRun(t *testing.T) {
	var g *rig
	g = newRig(t, map[string]script{"a1": func(http.ResponseWriter, *http.Request) {
		g.servers.Update(nil)
		abort()
	}})
	c := &caller{}
	err := g.relay.Stream(context.Background(), request(routing.KindStreaming), c.sink())
	var unknown *relay.Unknown
	qt.Assert(t, errors.As(err, &unknown), qt.IsTrue, qt.Commentf("%v", err))
}

// TestRefusedActionReleasesItsLeases has more servers refuse than the request may be sent to.
// The lease of the server that is chosen last, but not sent to, must be released too.
func TestRefusedActionReleasesItsLeases(t *testing.T) {
	scripts := map[string]script{}
	for i := range 10 {
		scripts[fmt.Sprint("a", i)] = refuse
	}
	g := newRig(t, scripts)
	_, err := g.relay.Call(context.Background(), request(routing.KindNonIdempotent))
	var notRun *relay.NotRun
	qt.Assert(t, errors.As(err, &notRun), qt.IsTrue)
	qt.Assert(t, g.servers.Calls(), qt.Equals, 0)
}

// newSingleDomainRig lists the servers of one failure domain at first and the others later. The
// run on the first server waits to be moved.
func newSingleDomainRig(t *testing.T, othersAfter time.Duration) *rig {
	stop := make(chan struct{})
	run := untilStopped(stop, abort)
	g := newRig(t, map[string]script{"a1": run, "b1": run, "c1": run})
	g.stopRun = map[string]chan struct{}{"a1": stop}
	all := g.listed
	for _, server := range all {
		if server.ID == "a1" {
			g.servers.Update([]pool.Server{server})
		}
	}
	time.AfterFunc(othersAfter, func() { g.servers.Update(all) })
	return g
}

// TestFailedMoveIsRetried guards against a stream that stays without a copy for the rest of its
// run after a target without capacity refused one move.
func TestFailedMoveIsRetried(t *testing.T) {
	g := newSingleDomainRig(t, 100*time.Millisecond)
	g.moveFaults = 1
	c := &caller{}
	r := request(routing.KindStreaming)
	r.Route.GapObjective = 4 * time.Second
	qt.Assert(t, g.relay.Stream(context.Background(), r, c.sink()), qt.IsNil)
	qt.Assert(t, c.words(), qt.Equals, wordsTo(30))
	qt.Assert(t, g.seen(), qt.HasLen, 2)
	qt.Assert(t, g.seen()[1].copied, qt.Equals, "handle of r1")
}

// TestStreamWithoutACopyIsMovedOnceThereIsCapacity starts with one failure domain. The stream
// has no copy until servers of other failure domains are listed.
func TestStreamWithoutACopyIsMovedOnceThereIsCapacity(t *testing.T) {
	g := newSingleDomainRig(t, 300*time.Millisecond)
	c := &caller{}
	r := request(routing.KindStreaming)
	r.Route.GapObjective = 4 * time.Second
	err := g.relay.Stream(context.Background(), r, c.sink())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.words(), qt.Equals, wordsTo(30))
	qt.Assert(t, g.seen()[0].backup, qt.Equals, "")
	qt.Assert(t, g.seen()[1].backup, qt.Not(qt.Equals), "")
}

// TestLateMoveIsReleased has the caller leave while its stream is moved. The lease of the new
// server must be released.
func TestLateMoveIsReleased(t *testing.T) {
	stop := map[string]chan struct{}{"a1": make(chan struct{}), "b1": make(chan struct{}), "c1": make(chan struct{})}
	run := func(w http.ResponseWriter, r *http.Request) {
		events(10, complete)(w, r)
		<-r.Context().Done()
	}
	g := newRig(t, map[string]script{"a1": run, "b1": run, "c1": run})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.stopRun, g.onMove = stop, cancel
	time.AfterFunc(120*time.Millisecond, func() { g.servers.ApplyPeerLoss(g.seen()[0].backup, true) })
	c := &caller{}
	r := request(routing.KindStreaming)
	r.Route.GapObjective = 4 * time.Second
	err := g.relay.Stream(ctx, r, c.sink())
	var interrupted *relay.Interrupted
	qt.Assert(t, errors.As(err, &interrupted), qt.IsTrue)
	qt.Assert(t, g.moves, qt.HasLen, 1)
	qt.Assert(t, g.servers.Loads(), qt.HasLen, 0)
}

// TestStreamWhoseServerIsLostAfterItsLastEvent covers a caller that has every event but not the
// end of the answer. Another server has no event left to send and ends its answer regularly.
func TestStreamWhoseServerIsLostAfterItsLastEvent(t *testing.T) {
	got, err := runStream(t, []script{immediately(12, abort)}, false)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, wordsTo(12))
}
