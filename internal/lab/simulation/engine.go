package simulation

import (
	"fmt"
	"time"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
)

// engine is one model engine. All engines have the same slots and memory.
type engine struct {
	pool.Server
	world    *world
	speed    float64
	lost     bool
	silent   bool // Lost, and its connections stay open.
	stepping bool
	waiting  []*run // No slot or no memory is free for them.
	prompts  []*run // In the order in which they came.
	running  []*run
	memory   int             // Tokens held, with copies.
	copies   map[*stream]int // Tokens of each copy.
}

// run is one stream's work on an engine.
type run struct {
	stream     *stream
	engine     *engine
	promptLeft int
	read       int // Prompt tokens read by this run.
	context    int // Tokens in its memory.
	tokensLeft int
	pending    int // Tokens since its last event.
	firstDue   time.Time
	began      bool // It had its first event here.
}

// startEngines starts the scenario's engines.
func (w *world) startEngines() {
	for _, domain := range w.scenario.Engines.FailureDomains {
		for range w.scenario.Engines.PerFailureDomain {
			w.startEngine(domain, len(w.engines))
		}
	}
}

// startEngine starts the engine of a number, which gives its address and its speed.
func (w *world) startEngine(domain string, number int) {
	w.nextID++
	speeds := w.scenario.Engines.Speeds
	w.engines[address(number)] = &engine{
		Server: pool.Server{
			ID:            fmt.Sprintf("%s#%d", address(number), w.nextID),
			Address:       address(number),
			Service:       serviceName,
			FailureDomain: domain,
			Slots:         w.scenario.Engines.Slots,
			Started:       w.now.UnixMilli() + 1,
		},
		world:  w,
		speed:  speeds[number%len(speeds)],
		copies: map[*stream]int{},
	}
}

// accept takes a run in.
func (e *engine) accept(r *run) {
	r.engine = e
	e.waiting = append(e.waiting, r)
	e.admit()
}

func (e *engine) admit() {
	for len(e.waiting) > 0 {
		r := e.waiting[0]
		need := r.context + r.promptLeft + r.tokensLeft
		full := e.memory+need > e.world.scenario.Engines.MemoryTokens
		if full || len(e.prompts)+len(e.running) >= e.Slots {
			break
		}
		e.memory += need
		e.waiting = e.waiting[1:]
		if r.promptLeft > 0 {
			e.prompts = append(e.prompts, r)
		} else {
			e.running = append(e.running, r)
		}
	}
	e.step()
}

// step begins a step if there is work and none runs.
func (e *engine) step() {
	if e.stepping || e.lost || len(e.prompts)+len(e.running) == 0 {
		return
	}
	e.stepping = true
	model := e.world.scenario.Engines
	context := 0
	for _, r := range e.running {
		context += r.context
	}
	took := model.StepMillis + model.PerRunMillis*float64(len(e.running)) + model.PerThousandMillis*float64(context)/1000
	chunk := 0
	if len(e.prompts) > 0 {
		chunk = min(model.ChunkTokens, e.prompts[0].promptLeft)
		took = max(took, float64(chunk)/model.PromptTokensPerMilli)
	}
	e.world.after(millis(e.speed*took), func() { e.stepped(chunk) })
}

// stepped ends a step.
func (e *engine) stepped(chunk int) {
	e.stepping = false
	if e.lost {
		return
	}
	for _, r := range append([]*run{}, e.running...) {
		e.decode(r)
	}
	if chunk > 0 && len(e.prompts) > 0 {
		e.read(e.prompts[0], chunk)
	}
	e.admit()
}

func (e *engine) decode(r *run) {
	if e.world.now.Before(r.firstDue) {
		return
	}
	r.context++
	r.tokensLeft--
	r.pending++
	if r.pending < e.world.scenario.Engines.TokensPerEvent && r.tokensLeft > 0 {
		return
	}
	r.pending = 0
	r.began = true
	last := r.tokensLeft == 0
	e.world.after(millis(e.world.scenario.Network.HopMillis), func() { r.stream.heard(r, last) })
	if last {
		e.drop(r)
	}
}

func (e *engine) read(r *run, chunk int) {
	r.promptLeft -= chunk
	r.context += chunk
	r.read += chunk
	if r.promptLeft > 0 {
		return
	}
	e.prompts = without(e.prompts, r)
	e.running = append(e.running, r)
	r.firstDue = e.world.now.Add(millis(e.world.scenario.Engines.FirstEventMillis))
}

// drop ends a run and frees what it holds.
func (e *engine) drop(r *run) {
	held := len(e.prompts) + len(e.running)
	e.prompts, e.running = without(e.prompts, r), without(e.running, r)
	e.waiting = without(e.waiting, r)
	if len(e.prompts)+len(e.running) < held {
		e.memory -= r.context + r.promptLeft + r.tokensLeft
	}
	e.admit()
}

// hold keeps a copy of a stream's memory, and letGo drops it.
func (e *engine) hold(s *stream, tokens int) {
	e.letGo(s)
	e.copies[s] = tokens
	e.memory += tokens
}

func (e *engine) letGo(s *stream) {
	e.memory -= e.copies[s]
	delete(e.copies, s)
}

// lose ends an engine's process, or silences it.
func (e *engine) lose(silent bool) {
	if e.lost {
		return
	}
	e.lost, e.silent = true, silent
	for _, runs := range [][]*run{e.running, e.prompts, e.waiting} {
		for _, r := range runs {
			e.world.after(millis(e.world.scenario.Network.HopMillis), func() { r.stream.engineLost(r) })
		}
	}
}

func without(runs []*run, gone *run) []*run {
	kept := runs[:0:0]
	for _, r := range runs {
		if r != gone {
			kept = append(kept, r)
		}
	}
	return kept
}
