package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// attempt is one attempt of a client and what it received.
type attempt struct {
	id       string
	path     string
	status   int
	signed   bool
	events   []string // The data of the events.
	ids      []string
	body     string
	complete bool // The answer ended as the protocol marks its end.
	err      error
}

var oneShot = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// send sends one attempt to a process of the system and reads the whole answer.
func (l *lab) send(v *vm, id, method, path, body string, change func(http.Header)) *attempt {
	return l.sendUntil(context.Background(), v, id, method, path, body, change)
}

// sendUntil is send for a client that closes its connection when the context ends.
func (l *lab) sendUntil(ctx context.Context, v *vm, id, method, path, body string, change func(http.Header)) *attempt {
	a := &attempt{id: id, path: path}
	ctx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+v.front+path, strings.NewReader(body))
	if err != nil {
		panic(cannotRun(err.Error()))
	}
	request.Host = hostName
	request.Header = http.Header{"X-Request-Id": {id}, "X-Deadline-Ms": {"25000"}, "Authorization": {"Token " + clientKey}}
	if strings.HasPrefix(path, modelPrefix) {
		request.Header.Set("X-Model", "m")
		request.Header.Set("X-Token-Counts", "500,300")
		request.Header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:100,%x:400", id))
	}
	if change != nil {
		change(request.Header)
	}
	l.note("client sends %s %s %s to %s", id, method, path, v.name)
	response, err := oneShot.Do(request)
	if err != nil {
		a.err = err
		l.note("client: %s ends without an answer: %v", id, err)
		return a
	}
	defer response.Body.Close()
	a.status, a.signed = response.StatusCode, response.Header.Get("X-Response-Seal") != ""
	a.read(response.Body)
	l.note("client: %s ends: status %d, signed %v, complete %v, %d events (%s), Retry-After %q, body %.80q", id, a.status, a.signed, a.complete, len(a.events), a.sources(), response.Header.Get("Retry-After"), a.body)
	return a
}

func (a *attempt) read(body io.Reader) {
	reader := bufio.NewReader(body)
	for {
		line, err := reader.ReadString('\n')
		switch {
		case strings.HasPrefix(line, "id: ") && err == nil:
			a.ids = append(a.ids, strings.TrimSpace(line[len("id: "):]))
		case strings.HasPrefix(line, "data: ") && err == nil:
			a.events = append(a.events, strings.TrimSpace(line[len("data: "):]))
		default:
			a.body += strings.TrimSpace(line)
		}
		if err != nil {
			a.complete, a.err = err == io.EOF, err
			return
		}
	}
}

// sources lists in order from which workers and versions the events are.
func (a *attempt) sources() string {
	runs := []string{}
	for i, event := range a.events {
		_, source, _ := strings.Cut(event, " from ")
		if len(runs) == 0 || !strings.HasPrefix(runs[len(runs)-1], source+" at ") {
			runs = append(runs, source+" at "+a.ids[i])
		}
	}
	return strings.Join(runs, ", ")
}

// versions returns how many versions the events name.
func (a *attempt) versions() int {
	seen := map[string]bool{}
	for _, event := range a.events {
		_, version, _ := strings.Cut(event, " version ")
		seen[version] = true
	}
	return len(seen)
}

// requireStreams ends a case in which a stream has not begun.
func requireStreams(attempts []*attempt) {
	for _, a := range attempts {
		if len(a.events) == 0 {
			panic(cannotRun("stream " + a.id + " has not begun"))
		}
	}
}
