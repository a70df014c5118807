package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// worker is a backend server. Paths below /stream/ are answered with a stream of events, all
// others with one body. Faulty, if set, may answer a request in its own way and then returns true.
type worker struct {
	id      string
	service string
	zone    string
	address string
	slots   int
	work    time.Duration // Of a plain request.
	events  int           // Of a stream.
	gap     time.Duration // Between two events.
	prompt  time.Duration // The time to read a prompt.
	store   *store
	record  *record
	faulty  func(w http.ResponseWriter, r *http.Request, id string) bool
	// memory is kv_cache_tokens; 0 for no bound. With it, prompts are read one after the other at
	// tokensPerMilli, and the newest run is preempted when memory runs out.
	memory int
	// unframed streams have neither a length nor chunks and end with their connection.
	unframed bool

	mu      sync.Mutex
	server  *http.Server
	state   string
	seq     int
	born    int64
	stop    chan struct{}
	running map[string]*streamRun // By request id.
	loaded  []*streamRun          // The runs that are in memory, newest last.
	waiting []*streamRun          // The runs that wait for memory, first first.
	reading sync.Mutex            // Held while a prompt is read.
	isBusy  atomic.Bool           // A prompt is being read.
}

// The engine of cdmep-spoke's sheet.
const (
	tokensPerMilli = 5
	tokensPerEvent = 6
	// gapBesidePrompt is the time of an event beside a prompt that is read in chunks of 125 tokens:
	// six steps of 5.18 ms and 25 ms.
	gapBesidePrompt = 181 * time.Millisecond
)

// streamRun is a stream that a worker runs. Its memory is that of the run origin.
type streamRun struct {
	origin   string
	stop     chan struct{}
	created  atomic.Int64 // Events.
	tokens   int          // In memory, or needed to get there again. Guarded by the worker's mutex.
	isLoaded bool         // Guarded by the worker's mutex.
}

// copies has the copies of runs, by handle or by the run's request id.
var copies = struct {
	sync.Mutex
	at     map[string]string // Address of the holder.
	origin map[string]string // Request id of the run whose memory it is.
}{at: map[string]string{}, origin: map[string]string{}}

func (g *rig) startWorker(w *worker) *worker {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		g.giveUp("worker %s: %v", w.id, err)
	}
	w.address = listener.Addr().String()
	w.store, w.record = g.store, g.record
	if w.prompt == 0 {
		w.prompt = 100 * time.Millisecond
	}
	w.state, w.born, w.stop, w.running = "ready", time.Now().UnixMilli(), make(chan struct{}), map[string]*streamRun{}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	w.writeRow()
	go func() {
		for {
			select {
			case <-w.stop:
				return
			case <-time.After(heartbeat):
				w.writeRow()
			}
		}
	}()
	return w
}

func (w *worker) writeRow() {
	w.mu.Lock()
	w.seq++
	row := map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots,
		"state": w.state, "cold_remaining_ms": 0, "seq": w.seq, "born": w.born,
	}
	w.mu.Unlock()
	w.store.put("servers", w.id, row)
}

// drain reports that the worker leaves. It goes on serving what runs.
func (w *worker) drain() {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	w.writeRow()
	w.record.note("worker    %s is draining", w.id)
}

func (w *worker) isDraining() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state == "draining"
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if r.URL.Path == "/api/kv-move" {
		w.move(out, r)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/api/kv-handle/") {
		return
	}
	out.Header().Set("X-Request-Id", id)
	out.Header().Set("X-Instance-Id", w.id)
	if w.isDraining() {
		out.Header().Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/health" {
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	origin := id
	if from := r.Header.Get("Kv-From"); from != "" {
		_, handle, _ := strings.Cut(from, "/")
		copies.Lock()
		holder := copies.at[handle]
		origin = copies.origin[handle]
		if holder == w.address {
			delete(copies.at, handle) // A handle can be used once.
		}
		copies.Unlock()
		if holder != w.address {
			out.Header().Set("X-Not-Executed", "1")
			out.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	w.record.ran(w.id, id, r.URL.Path, r.Header.Get("Kv-From"), origin)
	out.Header().Set("X-Response-Seal", "seal."+w.id+"."+id)
	if w.faulty != nil && w.faulty(out, r, id) {
		return
	}
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		w.stream(out, r, id, origin)
		return
	}
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		return
	}
	fmt.Fprintf(out, "answer of %s to %s", w.id, id)
}

// stream sends the events after the one that the request names. Each names the run whose memory it
// was generated from.
func (w *worker) stream(out http.ResponseWriter, r *http.Request, id, origin string) {
	if backup := r.Header.Get("X-Kv-Backup"); backup != "" {
		copies.Lock()
		copies.at[id], copies.origin[id] = backup, origin
		copies.Unlock()
	}
	run := &streamRun{origin: origin, stop: make(chan struct{}), tokens: promptTokens(r)}
	if w.memory > 0 {
		defer w.unload(run)
		if !w.load(r.Context(), run) {
			return
		}
	} else if r.Header.Get("Kv-From") == "" {
		time.Sleep(w.prompt)
	}
	w.mu.Lock()
	w.running[id] = run
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		delete(w.running, id)
		w.mu.Unlock()
	}()
	write, closed := w.begin(out, r)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= w.events; i++ {
		if err := write(fmt.Sprintf("id: %d\ndata: event %d of run %s\n\n", i, i, origin)); err != nil {
			return
		}
		run.created.Store(int64(i))
		gap := w.gap
		if w.isBusy.Load() {
			gap = gapBesidePrompt
		}
		if w.memory > 0 && !w.grow(run) {
			w.record.note("worker    %s preempts %s after event %d, since memory runs out", w.id, id, i)
			isLoaded := w.load(r.Context(), run)
			w.record.note("worker    %s has read %s again: %v", w.id, id, isLoaded)
		}
		select {
		case <-r.Context().Done():
			w.record.note("worker    %s: the connection of %s was closed after event %d", w.id, id, i)
			return
		case <-run.stop: // The stream is closed without its end.
			w.record.movesStopped.Add(1)
			if w.unframed {
				closed()
				return
			}
			panic(http.ErrAbortHandler)
		case <-time.After(gap):
		}
	}
	closed()
}

// promptTokens returns the number of prompt tokens that a request names.
func promptTokens(r *http.Request) int {
	prompt, _, _ := strings.Cut(r.Header.Get("X-Token-Counts"), ",")
	tokens, _ := strconv.Atoi(prompt)
	return tokens
}

// load waits for memory and reads a run's tokens. It reports false if the caller is gone.
func (w *worker) load(ctx context.Context, run *streamRun) bool {
	w.mu.Lock()
	w.waiting = append(w.waiting, run)
	w.mu.Unlock()
	for !w.tryLoad(run) {
		select {
		case <-ctx.Done():
			w.unload(run)
			return false
		case <-time.After(5 * time.Millisecond):
		}
	}
	w.reading.Lock()
	defer w.reading.Unlock()
	w.isBusy.Store(true)
	defer w.isBusy.Store(false)
	w.mu.Lock()
	tokens := run.tokens
	w.mu.Unlock()
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration(tokens/tokensPerMilli) * time.Millisecond):
		return true
	}
}

// tryLoad takes memory for the run if it is the first that waits and fits.
func (w *worker) tryLoad(run *streamRun) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting[0] != run || w.used()+run.tokens > w.memory {
		return false
	}
	w.waiting = w.waiting[1:]
	w.loaded = append(w.loaded, run)
	run.isLoaded = true
	return true
}

// used returns the tokens in memory. Called with the lock held.
func (w *worker) used() int {
	sum := 0
	for _, run := range w.loaded {
		sum += run.tokens
	}
	return sum
}

// grow adds an event's tokens to a run, and reports whether the run is still in memory. The newest
// one isn't if memory runs out.
func (w *worker) grow(run *streamRun) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	run.tokens += tokensPerEvent
	for w.used() > w.memory {
		newest := w.loaded[len(w.loaded)-1]
		newest.isLoaded = false
		w.loaded = w.loaded[:len(w.loaded)-1]
	}
	return run.isLoaded
}

// unload frees the memory of a run that has ended.
func (w *worker) unload(run *streamRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	isRun := func(other *streamRun) bool { return other == run }
	w.loaded = slices.DeleteFunc(w.loaded, isRun)
	w.waiting = slices.DeleteFunc(w.waiting, isRun)
}

// begin sends the head of a stream and returns the functions that send its events and end it.
func (w *worker) begin(out http.ResponseWriter, r *http.Request) (write func(text string) error, end func()) {
	out.Header().Set("Content-Type", "text/event-stream")
	if !w.unframed {
		return func(text string) error {
			_, err := io.WriteString(out, text)
			out.(http.Flusher).Flush()
			return err
		}, func() {}
	}
	head := "HTTP/1.1 200 OK\r\nConnection: close\r\n"
	for name := range out.Header() {
		head += name + ": " + out.Header().Get(name) + "\r\n"
	}
	connection, _, err := out.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_, err = io.WriteString(connection, head+"\r\n")
	return func(text string) error {
			if err == nil {
				_, err = io.WriteString(connection, text)
			}
			return err
		}, func() {
			_ = connection.Close()
		}
}

func (w *worker) move(out http.ResponseWriter, r *http.Request) {
	call := struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}{}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	run := w.running[call.ID]
	if call.Last {
		delete(w.running, call.ID)
	}
	w.mu.Unlock()
	if run == nil {
		out.WriteHeader(http.StatusNotFound)
		return
	}
	if call.Last {
		close(run.stop)
	}
	time.Sleep(10 * time.Millisecond) // The memory is sent.
	handle := "m-" + call.ID
	copies.Lock()
	copies.at[handle], copies.origin[handle] = call.To, run.origin
	copies.Unlock()
	w.record.note("moved     %s from %s to the worker at %s, last %v, events so far %d", call.ID, w.id, call.To, call.Last, run.created.Load())
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(map[string]any{"handle": handle, "created": run.created.Load()})
}
