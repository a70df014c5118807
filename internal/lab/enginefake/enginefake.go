// Package enginefake is a fake model engine with the OpenAI-compatible streaming API and
// the published extensions that the product uses: token ids in and out, priority, and
// background generations that are resumed with starting_after and cancelled by id (as in
// the Responses API).
//
// # Usage
//
//	engine := enginefake.New(enginefake.Options{TokenGap: 10 * time.Millisecond, Slots: 16})
//	http.Serve(listener, engine)
//	engine.SetFaults(enginefake.Faults{CrashAtToken: 40})
//
// The tokens are deterministic (see Expected), so that a test can compute the failure-free
// answer.
package enginefake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Options configures an engine. PrefillPerToken is the prefill time of one prompt token
// that is not in the prefix cache.
type Options struct {
	TokenGap        time.Duration
	PrefillPerToken time.Duration
	Slots           int
	BurstEvery      int           // Every BurstEvery-th gap is BurstGap; 0 for none.
	BurstGap        time.Duration // The pause between bursts.
	ChecksFencing   bool          // Refuse orders with an outdated fencing number.
	Salt            string        // Mixed into the seed, so that regeneration differs between engines.
}

// Faults configures fault injection. Token counts start when the faults are set and are
// over all requests of the engine. A zero field is no fault.
type Faults struct {
	CrashAtToken    int    `json:"dieAtToken"`      // Crash after this many more tokens.
	StallAtToken    int    `json:"silentAtToken"`   // After this many more tokens, open streams send nothing more; new ones work.
	PauseAtToken    int    `json:"pauseAtToken"`    // After this many more tokens, the engine pauses for PauseMillis.
	PauseMillis     int    `json:"pauseMillis"`     //
	CrashOnWord     string `json:"crashOnWord"`     // Crash on a prompt with this word, after CrashAfter output tokens.
	CrashAfter      int    `json:"crashAfter"`      //
	CrashBeforeEnd  bool   `json:"dieBeforeEnd"`    // Crash after the last token of a generation, before its finish event.
	RefuseNew       bool   `json:"refuseNew"`       // Answer new requests with 503.
	LoseStateOnNext bool   `json:"loseStateOnNext"` // Drop all generations, as after a restart.
}

// Stats counts the work done. Prompt tokens are either Prefilled or CacheHits, found in
// the prefix cache.
type Stats struct {
	Requests     int `json:"requests"`
	Resumes      int `json:"resumes"`
	Prefilled    int `json:"prefilled"`
	CacheHits    int `json:"cacheHits"`
	Generated    int `json:"generated"`
	Running      int `json:"running"`
	Waiting      int `json:"waiting"`
	Cancelled    int `json:"cancelled"`
	FenceRefused int `json:"fenceRefused"`
}

// generation is a background generation. It is kept after it has finished, so that it can
// be resumed.
type generation struct {
	id            string
	body          requestBody
	prompt        []int
	priority      int
	arrival       int
	tokens        []int
	finish        string
	cancelled     bool
	stalledBefore int           // Streams with a lower number send nothing more.
	changed       chan struct{} // Closed and replaced at every change.
	admitted      chan struct{} // Closed when the generation gets a slot.
}

// Engine is a fake engine. OnCrash, if set, is called once when the engine crashes: a
// process exits there, a test closes the listener. OnHeader, if set, is called with the
// header of each new request.
type Engine struct {
	Options  Options
	OnCrash  func()
	OnHeader func(header http.Header)

	mu          sync.Mutex
	faults      Faults
	stats       Stats
	generations map[string]*generation
	waiting     []*generation
	running     int
	arrivals    int
	streams     int
	dead        bool
	pausedUntil time.Time
	prefixes    map[uint64]bool
	orders      orders
	mux         *http.ServeMux
}

// New returns an engine without faults.
func New(options Options) *Engine {
	e := &Engine{Options: options, generations: map[string]*generation{}, prefixes: map[uint64]bool{}, mux: http.NewServeMux()}
	e.mux.HandleFunc("POST /v1/completions", e.startCompletion)
	e.mux.HandleFunc("POST /v1/chat/completions", e.startCompletion)
	e.mux.HandleFunc("GET /v1/completions/{id}", e.resume)
	e.mux.HandleFunc("POST /v1/completions/{id}/cancel", e.cancel)
	e.mux.HandleFunc("GET /load", e.load)
	e.mux.HandleFunc("GET /v1/models", e.listModels)
	e.mux.HandleFunc("POST /v1/models/{action}", e.order)
	e.mux.HandleFunc("PUT /faults", e.putFaults)
	return e
}

// ServeHTTP handles the requests of callers, and PUT /faults.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/faults" {
		e.waitWhilePaused()
	}
	if e.isDead() {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	if faults.LoseStateOnNext {
		e.generations = map[string]*generation{}
	}
}

// Stats returns the counts so far.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.Running = e.running
	stats.Waiting = len(e.waiting)
	return stats
}

// Kill crashes the engine: open streams are aborted, and no request is answered any more.
func (e *Engine) Kill() {
	e.mu.Lock()
	already := e.dead
	e.dead = true
	for _, g := range e.generations {
		g.wake()
	}
	e.mu.Unlock()
	if !already && e.OnCrash != nil {
		e.OnCrash()
	}
}

func (e *Engine) isDead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dead
}

func (e *Engine) waitWhilePaused() {
	for {
		e.mu.Lock()
		remaining := time.Until(e.pausedUntil)
		e.mu.Unlock()
		if remaining <= 0 {
			return
		}
		time.Sleep(remaining)
	}
}

// wake notifies all streams of the generation of a change. Callers hold mu.
func (g *generation) wake() {
	close(g.changed)
	g.changed = make(chan struct{})
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type requestBody struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  []message       `json:"messages"`
	Seed      int64           `json:"seed"`
	MaxTokens int             `json:"max_tokens"`
	Priority  int             `json:"priority"`
}

// promptTokens tokenizes a prompt given as text, as token ids or as messages.
func (b requestBody) promptTokens() ([]int, error) {
	if len(b.Messages) > 0 {
		var text strings.Builder
		for _, m := range b.Messages {
			fmt.Fprintf(&text, "<%s> %s ", m.Role, m.Content)
		}
		return Tokenize(text.String()), nil
	}
	var ids []int
	if err := json.Unmarshal(b.Prompt, &ids); err == nil {
		return ids, nil
	}
	var text string
	if err := json.Unmarshal(b.Prompt, &text); err != nil {
		return nil, err
	}
	return Tokenize(text), nil
}

func (e *Engine) startCompletion(w http.ResponseWriter, r *http.Request) {
	var body requestBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	prompt, err := body.promptTokens()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.OnHeader != nil {
		e.OnHeader(r.Header)
	}
	id := r.Header.Get("X-Request-Id")
	e.mu.Lock()
	if e.faults.RefuseNew {
		e.mu.Unlock()
		http.Error(w, "no capacity", http.StatusServiceUnavailable)
		return
	}
	if e.cannotRun(body.Model) {
		e.mu.Unlock()
		http.Error(w, "model is not loaded", http.StatusNotFound)
		return
	}
	g := &generation{id: id, body: body, prompt: prompt, priority: body.Priority, changed: make(chan struct{}), admitted: make(chan struct{})}
	e.arrivals++
	g.arrival = e.arrivals
	e.generations[id] = g
	e.stats.Requests++
	e.waiting = append(e.waiting, g)
	e.admit()
	e.mu.Unlock()
	go e.generate(g)
	e.stream(w, r, g, 0)
}

// admit assigns free slots to waiting generations, ordered by priority value and then by
// arrival. Callers hold mu.
func (e *Engine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *generation) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return a.arrival - b.arrival
	})
	for len(e.waiting) > 0 && (e.Options.Slots == 0 || e.running < e.Options.Slots) {
		e.running++
		close(e.waiting[0].admitted)
		e.waiting = e.waiting[1:]
	}
}

// generate produces the tokens of one generation at the engine's pace.
func (e *Engine) generate(g *generation) {
	<-g.admitted
	time.Sleep(e.prefill(g))
	m := newModel(g.body.Model, g.body.Seed+saltOf(e.Options.Salt), g.prompt)
	next := time.Now()
	for i := 0; i < g.body.MaxTokens; i++ {
		next = next.Add(e.gap(i))
		if late := time.Since(next); late > e.gap(i) {
			next = time.Now() // Tokens that were due during a pause are not caught up with.
		}
		time.Sleep(time.Until(next))
		e.waitWhilePaused()
		if !e.produce(g, m.next()) {
			break
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if g.finish == "" && !g.cancelled && !e.dead {
		g.finish = "length"
	}
	e.running--
	e.admit()
	g.wake()
}

func saltOf(salt string) int64 {
	if salt == "" {
		return 0
	}
	return int64(newModel(salt, 0, nil).state >> 32)
}

func (e *Engine) gap(index int) time.Duration {
	if e.Options.BurstEvery > 0 && index%e.Options.BurstEvery == e.Options.BurstEvery-1 {
		return e.Options.BurstGap
	}
	return e.Options.TokenGap
}

// prefill counts the prompt's tokens and returns the prefill time. Prefixes are cached in
// blocks of 16 tokens.
func (e *Engine) prefill(g *generation) time.Duration {
	const block = 16
	e.mu.Lock()
	defer e.mu.Unlock()
	m := newModel(g.body.Model, 0, nil)
	cached := 0
	for i, id := range g.prompt {
		m.absorb(id)
		if (i+1)%block != 0 {
			continue
		}
		if e.prefixes[m.state] && cached == i+1-block {
			cached = i + 1
		}
		e.prefixes[m.state] = true
	}
	e.stats.CacheHits += cached
	e.stats.Prefilled += len(g.prompt) - cached
	return time.Duration(len(g.prompt)-cached) * e.Options.PrefillPerToken
}

// produce appends one token and triggers the faults that are due. It reports whether the
// generation continues.
func (e *Engine) produce(g *generation, id int) bool {
	e.mu.Lock()
	if g.cancelled || e.dead {
		e.mu.Unlock()
		return false
	}
	g.tokens = append(g.tokens, id)
	e.stats.Generated++
	last := len(g.tokens) == g.body.MaxTokens
	crash := countdown(&e.faults.CrashAtToken)
	crash = crash || (e.faults.CrashBeforeEnd && last)
	crash = crash || (e.faults.CrashOnWord != "" && len(g.tokens) > e.faults.CrashAfter && slices.Contains(g.prompt, Tokenize(e.faults.CrashOnWord)[0]))
	if countdown(&e.faults.StallAtToken) {
		for _, other := range e.generations {
			other.stalledBefore = e.streams + 1
		}
	}
	if countdown(&e.faults.PauseAtToken) {
		e.pausedUntil = time.Now().Add(time.Duration(e.faults.PauseMillis) * time.Millisecond)
	}
	g.wake()
	e.mu.Unlock()
	if crash {
		time.Sleep(time.Millisecond) // Lets the streams send the last token.
		e.Kill()
		return false
	}
	return true
}

// countdown decrements a fault's counter and reports whether it reached zero.
func countdown(counter *int) bool {
	if *counter == 0 {
		return false
	}
	*counter--
	return *counter == 0
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e.Stats())
}

func (e *Engine) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(faults)
}
