package relay_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/config/routing"
	"github.com/endivespoke/endivespoke/internal/request/relay"
)

// answerWith sends a signed response with a status, a type and a body.
func answerWith(status int, contentType, body string) script {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerSigned, "1")
		w.Header().Set("Content-Type", contentType)
		w.WriteHeader(status)
		_, _ = fmt.Fprint(w, body)
	}
}

// inTurn runs a script for each request of a rig, in the order of the requests; the last one also for
// all that follow.
func inTurn(scripts ...script) script {
	next := atomic.Int32{}
	return func(w http.ResponseWriter, r *http.Request) {
		scripts[min(int(next.Add(1)), len(scripts))-1](w, r)
	}
}

// unframed sends a signed stream without a length or chunks, which ends with its connection: after
// the events, or after more text.
func unframed(to int, more string, end func(net.Conn)) script {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer c.Close()
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 1\r\nContent-Type: text/event-stream\r\n\r\n", headerID, r.Header.Get(headerID), headerSigned)
		from := 0
		_, _ = fmt.Sscan(r.Header.Get(headerLast), &from) // "" is 0: from the start.
		for i := from + 1; i <= to; i++ {
			_, _ = fmt.Fprintf(c, "id: %d\ndata: word%d\n\n", i, i)
		}
		_, _ = fmt.Fprint(c, more)
		if end != nil {
			end(c)
		}
	}
}

// resetConnection makes the close of a connection a reset.
func resetConnection(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// TestErrorOfTheNextServerIsNoPartOfAStream has a stream break off after three events, and the next
// server answer with what is no continuation of it.
func TestErrorOfTheNextServerIsNoPartOfAStream(t *testing.T) {
	const head = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nerror"
	for name, next := range map[string]script{
		"failure":                       answerWith(http.StatusInternalServerError, "text/plain", "no engine"),
		"denial":                        answerWith(http.StatusBadRequest, "text/plain", "no such model"),
		"not found":                     answerWith(http.StatusNotFound, "text/event-stream", "id: 4\ndata: error\n\n"),
		"failure as a stream":           answerWith(http.StatusBadGateway, "text/event-stream", "id: 4\ndata: error\n\n"),
		"refusal":                       refuse,
		"success of another type":       answerWith(http.StatusOK, "application/json", `{"error":"no engine"}`),
		"text in a stream":              answerWith(http.StatusOK, "text/event-stream", "no engine\n\n"),
		"event without an id":           answerWith(http.StatusOK, "text/event-stream", "event: error\ndata: no engine\n\n"),
		"head in a stream":              answerWith(http.StatusOK, "text/event-stream", head),
		"head and a blank line":         answerWith(http.StatusOK, "text/event-stream", head+"\n\n"),
		"stream from the start":         answerWith(http.StatusOK, "text/event-stream", "id: 1\ndata: word1\n\nid: 2\ndata: word2\n\n"),
		"the last event again":          answerWith(http.StatusOK, "text/event-stream", "id: 3\ndata: word3\n\nid: 4\ndata: word4\n\n"),
		"empty success":                 answerWith(http.StatusOK, "text/plain", ""),
		"reset":                         reset,
		"unframed error":                unframed(3, "no engine\n\n", nil),
		"unframed head":                 unframed(3, head, nil),
		"unframed stream that is reset": unframed(4, "", resetConnection),
	} {
		t.Run(name, func(t *testing.T) {
			answers := inTurn(events(3, abort), next)
			g := newRig(t, map[string]script{"a1": answers, "b1": answers})
			c := &caller{}
			r := request(routing.KindStreaming)
			r.Route.MaxAttempts = 2
			err := g.relay.Stream(context.Background(), r, c.sink())
			var interrupted *relay.Interrupted
			qt.Assert(t, errors.As(err, &interrupted), qt.IsTrue, qt.Commentf("%v", err))
			qt.Check(t, c.status, qt.Equals, http.StatusOK)
			qt.Check(t, strings.HasPrefix(wordsTo(4), c.words()), qt.IsTrue, qt.Commentf("%s", c.words()))
			qt.Check(t, strings.Contains(c.body.String(), "error") || strings.Contains(c.body.String(), "engine"), qt.IsFalse, qt.Commentf("%s", c.body.String()))
		})
	}
}

// TestThirdServerCompletesAStreamAfterTwoErrors has two servers answer what is no continuation
// before one goes on.
func TestThirdServerCompletesAStreamAfterTwoErrors(t *testing.T) {
	wrong := []script{
		answerWith(http.StatusInternalServerError, "text/plain", "no engine"),
		answerWith(http.StatusOK, "text/event-stream", "no engine\n\n"),
		answerWith(http.StatusOK, "text/event-stream", "id: 1\ndata: word1\n\n"),
		unframed(3, "no engine\n\n", nil),
		unframed(4, "", resetConnection),
	}
	for i, first := range wrong {
		for j, second := range wrong {
			t.Run(fmt.Sprint(i, j), func(t *testing.T) {
				answers := inTurn(events(3, abort), first, second, events(6, complete))
				g := newRig(t, map[string]script{"a1": answers, "b1": answers, "c1": answers, "d1": answers})
				c := &caller{}
				r := request(routing.KindStreaming)
				r.Route.MaxAttempts = 6
				qt.Assert(t, g.relay.Stream(context.Background(), r, c.sink()), qt.IsNil)
				qt.Check(t, c.words(), qt.Equals, wordsTo(6))
			})
		}
	}
}

// TestErrorAfterAMoveIsNoPartOfTheStream has a stream moved after ten events, and the server that holds
// its memory answer what is no continuation, twice.
func TestErrorAfterAMoveIsNoPartOfTheStream(t *testing.T) {
	for name, wrong := range map[string]script{
		"failure":               answerWith(http.StatusInternalServerError, "text/plain", "no engine"),
		"failure as a stream":   answerWith(http.StatusBadGateway, "text/event-stream", "id: 11\ndata: error\n\n"),
		"text in a stream":      answerWith(http.StatusOK, "text/event-stream", "no engine\n\n"),
		"stream from the start": answerWith(http.StatusOK, "text/event-stream", "id: 1\ndata: word1\n\n"),
		"unframed head":         unframed(10, "HTTP/1.1 500 Internal Server Error\r\n\r\n", nil),
		"unframed and reset":    unframed(12, "", resetConnection),
	} {
		t.Run(name, func(t *testing.T) {
			stop := map[string]chan struct{}{"a1": make(chan struct{}), "b1": make(chan struct{}), "c1": make(chan struct{})}
			resumed := inTurn(wrong, wrong, events(30, complete))
			run := func(id string) script {
				return func(w http.ResponseWriter, r *http.Request) {
					if r.Header.Get(headerLast) != "" {
						resumed(w, r)
						return
					}
					events(10, complete)(w, r)
					<-stop[id]
					abort()
				}
			}
			g := newRig(t, map[string]script{"a1": run("a1"), "b1": run("b1"), "c1": run("c1")})
			g.stopRun = stop
			time.AfterFunc(100*time.Millisecond, func() { g.servers.ApplyPeerLoss(g.seen()[0].backup, true) })
			c := &caller{}
			r := request(routing.KindStreaming)
			r.Route.MaxAttempts = 6
			qt.Assert(t, g.relay.Stream(context.Background(), r, c.sink()), qt.IsNil)
			qt.Check(t, c.words(), qt.Equals, wordsTo(30))
			qt.Check(t, g.moves, qt.HasLen, 1)
		})
	}
}

// TestUnframedStreamEndsWithItsConnection has a stream without a length or chunks end with its
// connection: whole, inside an event, or by a reset.
func TestUnframedStreamEndsWithItsConnection(t *testing.T) {
	for _, c := range []struct {
		name   string
		first  script
		served int // Servers that it took.
	}{
		{"whole", unframed(6, "", nil), 1},
		{"cut inside an event", unframed(3, "id: 4\ndata: wo", nil), 2},
		{"cut after a line", unframed(3, "id: 4\ndata: word4\n", nil), 2},
		{"reset", unframed(3, "", resetConnection), 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			answers := inTurn(c.first, events(6, complete))
			g := newRig(t, map[string]script{"a1": answers, "b1": answers})
			got := &caller{}
			qt.Assert(t, g.relay.Stream(context.Background(), request(routing.KindStreaming), got.sink()), qt.IsNil)
			qt.Check(t, got.words(), qt.Equals, wordsTo(6))
			qt.Check(t, g.seen(), qt.HasLen, c.served)
		})
	}
}
