package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// workerProcess is one backend server: an engine that streams numbered events under modelPrefix, and a
// plain service under the other prefixes. What it runs is written to standard output.
type workerProcess struct {
	id, service, zone, address, version, store string
	events                                     int
	gap                                        time.Duration
	prompt                                     time.Duration
	unframed                                   bool
	failing                                    float64 // Share of plain requests that run and fail.
	born                                       int64
	beats                                      atomic.Int64
	active                                     atomic.Int64
	out                                        sync.Mutex
}

func runWorker(args []string) {
	p := &workerProcess{born: time.Now().UnixMilli()}
	flags := flag.NewFlagSet("worker", flag.ExitOnError)
	flags.StringVar(&p.id, "id", "", "")
	flags.StringVar(&p.service, "service", "", "")
	flags.StringVar(&p.zone, "zone", "", "")
	flags.StringVar(&p.address, "address", "", "")
	flags.StringVar(&p.version, "version", "v1", "of the software")
	flags.StringVar(&p.store, "store", "", "address of the platform's store")
	flags.IntVar(&p.events, "events", 100, "events of a stream")
	flags.DurationVar(&p.gap, "gap", 100*time.Millisecond, "between two events")
	flags.DurationVar(&p.prompt, "prompt", 200*time.Millisecond, "time to read a prompt")
	flags.BoolVar(&p.unframed, "unframed", false, "streams end with their connection")
	flags.Float64Var(&p.failing, "failing", 0, "share of plain requests that run and fail with 503")
	_ = flags.Parse(args)
	go p.sendHeartbeats()
	server := &http.Server{Addr: p.address, Handler: p}
	fmt.Fprintln(os.Stderr, server.ListenAndServe())
	os.Exit(1)
}

// log writes a line for the record.
func (p *workerProcess) log(format string, args ...any) {
	p.out.Lock()
	defer p.out.Unlock()
	fmt.Printf(format+"\n", args...)
}

// sendHeartbeats writes the worker's row when it starts and then with each heartbeat. A row that the
// store did not take is written again after a quarter of a second.
func (p *workerProcess) sendHeartbeats() {
	for {
		pause := heartbeat
		if !p.writeRow() {
			pause = 250 * time.Millisecond
		}
		time.Sleep(pause)
	}
}

func (p *workerProcess) writeRow() (written bool) {
	value, _ := json.Marshal(map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": p.version, "slots": 48, "state": "ready",
		"cold_remaining_ms": 0, "seq": p.beats.Add(1), "born": p.born,
	})
	row, _ := json.Marshal(storeRow{Key: p.id, Value: value})
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+p.store+"/stand-in/row", "application/json", bytes.NewReader(row))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (p *workerProcess) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != p.id {
		p.log("request %s is for %s: 421", id, expected)
		w.Header().Set("X-Instance-Id", p.id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/health":
		w.Header().Set("X-Instance-Id", p.id)
		p.log("health check")
	case r.URL.Path == "/api/report":
		p.report(w)
	case strings.HasPrefix(r.URL.Path, "/api/"):
		p.log("call of %s", r.URL.Path)
		w.WriteHeader(http.StatusNotFound)
	case id == "":
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
	case p.service == "model":
		p.stream(w, r, id)
	default:
		p.answer(w, r, id)
	}
}

func (p *workerProcess) report(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "seq": 0, "queued": 0,
		"active": p.active.Load(), "kv_used": 0, "kv_total": 55000, "handles": 0, "state": "ready", "next": 0, "runs": []any{}, "born": p.born,
	})
}

// stream answers with numbered events after the one that the request names. The data names the version.
func (p *workerProcess) stream(w http.ResponseWriter, r *http.Request, id string) {
	p.active.Add(1)
	defer p.active.Add(-1)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	p.log("runs %s %s %s from event %d, version %s", id, r.Method, r.RequestURI, last+1, p.version)
	select {
	case <-time.After(p.prompt):
	case <-r.Context().Done():
		p.log("run %s is left by its caller", id)
		return
	}
	header := http.Header{"Content-Type": {"text/event-stream"}, "X-Response-Seal": {"seal." + p.id + "." + id}, "X-Weight-Versions": {"1"}, "X-Request-Id": {id}}
	var write func(text string) error
	if p.unframed {
		connection, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer connection.Close()
		head := bytes.Buffer{}
		head.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n")
		_ = header.Write(&head)
		head.WriteString("\r\n")
		_, _ = io.Copy(connection, &head)
		_ = buffered
		write = func(text string) error { _, err := io.WriteString(connection, text); return err }
	} else {
		for name, values := range header {
			w.Header()[name] = values
		}
		write = func(text string) error {
			if _, err := io.WriteString(w, text); err != nil {
				return err
			}
			return http.NewResponseController(w).Flush()
		}
	}
	for n := last + 1; n <= p.events; n++ {
		if err := write(fmt.Sprintf("id: %d\ndata: %d of %d from %s version %s\n\n", n, n, p.events, p.id, p.version)); err != nil {
			p.log("run %s is left by its caller at event %d", id, n)
			return
		}
		if n < p.events {
			time.Sleep(p.gap)
		}
	}
	p.log("run %s is complete", id)
}

func (p *workerProcess) answer(w http.ResponseWriter, r *http.Request, id string) {
	body, _ := io.ReadAll(r.Body)
	p.log("runs %s %s %s, %d bytes", id, r.Method, r.RequestURI, len(body))
	time.Sleep(15 * time.Millisecond)
	w.Header().Set("X-Response-Seal", "seal."+p.id+"."+id)
	if rand.Float64() < p.failing {
		p.log("run %s fails: 503", id)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintf(w, "answer to %s from %s", r.RequestURI, p.id)
}
