package main

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

// outcome is one attempt as its client sees it.
type outcome struct {
	id        string
	status    int // 0 if the connection ended without a head.
	complete  bool
	signed    bool
	lastEvent int
	fault     string // What is wrong with the events.
	body      string
	origins   []string // The runs that its events name, each once.
	sentAt    time.Time
	endedAt   time.Time
}

// client keeps one connection open for its requests.
type client struct {
	http *http.Client
}

func newClient() *client {
	return &client{http: &http.Client{Transport: &http.Transport{
		MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}}
}

type request struct {
	method    string
	path      string
	body      []byte
	deadline  time.Duration
	lastEvent int
	prefix    string
	tokens    string // X-Token-Counts.
}

// send sends one attempt to a machine and reads the whole answer.
func (c *client) send(g *rig, m *machine, q request) (o outcome) {
	o.id = fmt.Sprintf("q%06d", lastRequest.Add(1))
	o.sentAt = time.Now()
	defer func() {
		o.endedAt = time.Now()
		g.record.note("answered  %s: status %d, complete %v, signed %v, last event %d %s", o.id, o.status, o.complete, o.signed, o.lastEvent, o.fault)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+m.ip+":8740"+q.path, bytes.NewReader(q.body))
	if err != nil {
		panic(err)
	}
	r.Host = "ficu95.example"
	r.Header.Set("X-Request-Id", o.id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Token "+key)
	if strings.HasPrefix(q.path, "/stream/") {
		r.Header.Set("X-Model", "m")
		r.Header.Set("X-Token-Counts", cmp.Or(q.tokens, "450,780"))
		if q.prefix == "" {
			q.prefix = "5c1e07a2:200,a" + o.id[1:] + ":250"
			if q.tokens != "" {
				q.prefix = "5c1e07a2:200,a" + o.id[1:] + ":4800"
			}
		}
		r.Header.Set("X-Prompt-Prefix", q.prefix)
	}
	if q.lastEvent > 0 {
		r.Header.Set("Last-Event-Id", strconv.Itoa(q.lastEvent))
	}
	g.record.note("sent      %s to %s, %s %s", o.id, m.name, q.method, q.path)
	response, err := c.http.Do(r)
	if err != nil {
		o.fault = strings.ReplaceAll(err.Error(), "\n", " ")
		return o
	}
	defer response.Body.Close()
	o.status, o.signed = response.StatusCode, response.Header.Get("X-Response-Seal") != ""
	if !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		raw, err := io.ReadAll(response.Body)
		o.body, o.complete = string(raw), err == nil
		return o
	}
	o.lastEvent = q.lastEvent
	lines := bufio.NewReader(response.Body)
	for {
		line, err := lines.ReadString('\n')
		if text, found := strings.CutPrefix(line, "id: "); found {
			id, _ := strconv.Atoi(strings.TrimSpace(text))
			if id != o.lastEvent+1 && o.fault == "" {
				o.fault = fmt.Sprintf("event %d after %d", id, o.lastEvent)
			}
			o.lastEvent = id
		}
		if _, origin, found := strings.Cut(strings.TrimSpace(line), " of run "); found && !slices.Contains(o.origins, origin) {
			o.origins = append(o.origins, origin)
		}
		if err != nil {
			o.complete = err == io.EOF
			return o
		}
	}
}
