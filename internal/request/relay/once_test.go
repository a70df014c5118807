package relay_test

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/endivespoke/endivespoke/internal/backend/http1"
	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/config/routing"
	nodecaller "github.com/endivespoke/endivespoke/internal/node/caller"
	"github.com/endivespoke/endivespoke/internal/request/relay"
)

// behaviour is what a server does with one request that arrives.
type behaviour string

// Of these, all but the ones that refuse or close before it run the request.
const (
	runs            behaviour = "runs"
	runsChunked     behaviour = "runs, unmarked end"
	runsLate        behaviour = "runs, answers late"
	fails           behaviour = "runs, answers 500"
	unsigned        behaviour = "runs, answers unsigned"
	refuses         behaviour = "refuses"
	refusesKept     behaviour = "refuses, keeps the connection"
	refusesUnread   behaviour = "refuses before the body"
	misdirected     behaviour = "another process answers 421"
	closesUnread    behaviour = "closes before the head"
	closesAfterHead behaviour = "closes after the head"
	closesAfterRun  behaviour = "runs, closes"
	closesMidHead   behaviour = "runs, closes in the head of its answer"
	closesMidBody   behaviour = "runs, closes in the body of its answer"
	closesKept      behaviour = "runs, answers, closes"
	addsRefusal     behaviour = "runs, answers, adds a refusal without an id"
	addsOldRefusal  behaviour = "runs, answers, adds a refusal of the same request"
	precedesRefusal behaviour = "runs, sends a refusal without an id before its answer"
	precedesOld     behaviour = "runs, sends a refusal of the earlier request before its answer"
	garbles         behaviour = "runs, sends bytes that are no answer"
	silent          behaviour = "runs, does not answer"
)

var drawnBehaviours = []behaviour{runs, runsChunked, runsLate, fails, unsigned, refuses, refusesKept, refusesUnread, misdirected, closesUnread, closesAfterHead,
	closesAfterRun, closesMidHead, closesMidBody, closesKept, addsRefusal, addsOldRefusal, precedesRefusal, precedesOld, garbles, silent}

// scriptedServers accept raw connections and follow drawn behaviours, in the order of arrivals at each.
type scriptedServers struct {
	mu          sync.Mutex
	ran         map[string]int // Runs by request id.
	behaviours  map[string][]behaviour
	connections []net.Conn
	listeners   []net.Listener
	closed      bool
	refusals    []string // Heads of refusals, in turn.
	working     sync.WaitGroup
}

func (s *scriptedServers) next(server string) (chosen behaviour, refusal string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	refusal = s.refusals[0]
	s.refusals = append(s.refusals[1:], refusal)
	if len(s.behaviours[server]) == 0 {
		return runs, refusal
	}
	chosen = s.behaviours[server][0]
	s.behaviours[server] = s.behaviours[server][1:]
	return chosen, refusal
}

func (s *scriptedServers) run(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran[id]++
}

func (s *scriptedServers) runsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

func (s *scriptedServers) listen(server string) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.listeners = append(s.listeners, listener)
	s.working.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.connections = append(s.connections, c)
			if s.closed {
				_ = c.Close()
			}
			s.mu.Unlock()
			s.working.Go(func() { s.serve(server, c) })
		}
	})
	return listener.Addr().String(), nil
}

func (s *scriptedServers) close() {
	for _, listener := range s.listeners {
		_ = listener.Close()
	}
	s.mu.Lock()
	s.closed = true
	for _, c := range s.connections {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.working.Wait()
}

// signedAnswer is the text of an answer that names a request.
func signedAnswer(status, id, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: 1\r\nContent-Length: %d\r\n\r\n%s", status, headerID, id, headerSigned, len(body), body)
}

func refusalOf(status, id string) string {
	named := ""
	if id != "" {
		named = headerID + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s%s: 1\r\nContent-Length: 0\r\n\r\n", status, named, headerNotRun)
}

// serve follows one behaviour for each request of a connection.
func (s *scriptedServers) serve(server string, c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	earlier := "r-none"
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		chosen, status := s.next(server)
		if chosen == closesUnread {
			return
		}
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get(headerID)
		switch chosen {
		case closesAfterHead:
			return
		case refusesUnread:
			_, _ = io.WriteString(c, refusalOf(status, id))
		}
		if _, err = io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		switch chosen {
		case refuses, misdirected:
			_, _ = io.WriteString(c, refusalOf(cmp.Or(map[behaviour]string{misdirected: "421 Misdirected"}[chosen], status), id))
			return
		case refusesKept:
			_, _ = io.WriteString(c, refusalOf(status, id))
		}
		if chosen == refusesKept || chosen == refusesUnread {
			earlier = id
			continue
		}
		s.run(id)
		full := signedAnswer("200 OK", id, "done "+id)
		parts, end := []string{full}, false
		switch chosen {
		case runsChunked:
			parts, end = []string{fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 1\r\n\r\ndone %s", headerID, id, headerSigned, id)}, true
		case runsLate:
			time.Sleep(2 * time.Millisecond)
		case fails:
			parts = []string{signedAnswer("500 Failed", id, "bad")}
		case unsigned:
			parts = []string{strings.Replace(full, headerSigned, "X-Other", 1)}
		case closesAfterRun:
			return
		case closesMidHead:
			parts, end = []string{full[:len(full)/2]}, true
		case closesMidBody:
			parts, end = []string{full[:len(full)-2]}, true
		case closesKept:
			end = true
		case addsRefusal:
			parts = []string{full, refusalOf(status, "")}
		case addsOldRefusal:
			parts = []string{full, refusalOf(status, id)}
		case precedesRefusal:
			parts = []string{refusalOf(status, ""), full}
		case precedesOld:
			parts = []string{refusalOf(status, earlier), full}
		case garbles:
			parts, end = []string{"\x00\x01 no answer\r\n\r\n"}, true
		case silent:
			_, _ = reader.ReadByte()
			return
		}
		for _, part := range parts {
			_, _ = io.WriteString(c, part)
		}
		if end {
			return
		}
		earlier = id
	}
}

// TestRequestThatIsNotIdempotentRunsAtMostOnce draws what each server does with each arrival. No
// request may run twice, and none that is reported as not run may have run.
func TestRequestThatIsNotIdempotentRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fake := &scriptedServers{ran: map[string]int{}, behaviours: map[string][]behaviour{}}
		defer fake.close()
		fake.refusals = rapid.Permutation([]string{"503 Full", "429 Busy", "421 Misdirected", "200 OK", "500 Failed"}).Draw(t, "refusals")
		connections := http1.New(http1.Options{})
		servers := pool.New(pool.Options{Now: time.Now, Draw: func() float64 { return 0 }, Check: connections.Check})
		listed := []pool.Server{}
		for i := range rapid.IntRange(1, 3).Draw(t, "servers") {
			id := fmt.Sprint("s", i)
			fake.behaviours[id] = rapid.SliceOfN(rapid.SampledFrom(drawnBehaviours), 0, 6).Draw(t, id)
			address, err := fake.listen(id)
			if err != nil {
				t.Fatal(err)
			}
			listed = append(listed, pool.Server{ID: id, Address: address, Service: "s", FailureDomain: id, Slots: 4})
		}
		if rapid.IntRange(0, 3).Draw(t, "unreachable") == 0 {
			_ = fake.listeners[0].Close()
		}
		if rapid.Bool().Draw(t, "checked") {
			_ = connections.Check(context.Background(), listed[0].Address) // Fails if the server is unreachable.
		}
		servers.SetCapacities(map[string]pool.Capacity{"s": {CacheTokens: 100_000}})
		servers.Update(listed)
		g := &rig{answers: nodecaller.NewBodies(64 << 20)}
		g.connections = connections
		vm := g.vm(servers)
		reported := map[string]error{}
		mu, callers := sync.Mutex{}, sync.WaitGroup{}
		lengths := rapid.SliceOfN(rapid.SampledFrom([]int{0, 1, 2000, 3 << 10, 300 << 10}), 1, 6).Draw(t, "lengths of bodies")
		together := rapid.Bool().Draw(t, "at the same time")
		for i, length := range lengths {
			r := request(routing.KindNonIdempotent)
			r.ID, r.Method, r.Body = fmt.Sprint("r", i), http.MethodPost, bytes.Repeat([]byte("x"), length)
			r.Deadline = r.Received.Add(200 * time.Millisecond)
			call := func() {
				_, err := vm.Call(context.Background(), r)
				mu.Lock()
				defer mu.Unlock()
				reported[r.ID] = err
			}
			if together {
				callers.Go(call)
			} else {
				call()
			}
		}
		callers.Wait()
		fake.close()
		for id, err := range reported {
			var notRun *relay.NotRun
			if count := fake.runsOf(id); count > 1 || (errors.As(err, &notRun) && count > 0) {
				t.Fatalf("%s ran %d times; its caller was told: %v", id, count, err)
			}
		}
	})
}

// TestRefusalThatNamesNoRequestIsNoPromise guards against a second run after bytes that belong to no request.
func TestRefusalThatNamesNoRequestIsNoPromise(t *testing.T) {
	for _, kind := range []routing.Kind{routing.KindNonIdempotent, routing.KindStreaming} {
		t.Run(kind.String(), func(t *testing.T) {
			runs := atomic.Int32{}
			run := func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				w.Header().Del(headerID)
				refuse(w, r)
			}
			g := newRig(t, map[string]script{"a1": run, "b1": run})
			r := request(kind)
			r.Route.Resumable = false
			err := g.send(context.Background(), r)
			var unknown *relay.Unknown
			qt.Assert(t, errors.As(err, &unknown), qt.IsTrue, qt.Commentf("%v", err))
			qt.Assert(t, runs.Load(), qt.Equals, int32(1))
		})
	}
}
