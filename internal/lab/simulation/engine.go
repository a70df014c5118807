package simulation

import (
	"fmt"
	"time"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
)

// engine models one model engine. All engines have the same slots and memory.
type engine struct {
	pool.Server
	sim        *simulation
	speed      float64
	failed     bool
	hung       bool // Failed with its connections left open.
	stepping   bool
	waiting    []*run // Runs without a slot or memory.
	prefilling []*run // In order of admission.
	running    []*run
	memory     int             // Tokens reserved for runs and copies.
	copies     map[*stream]int // Size of each copy in tokens.
}

// run is one stream's work on an engine.
type run struct {
	stream       *stream
	engine       *engine
	promptLeft   int
	prefilled    int // Prompt tokens that this run has prefilled.
	context      int // Tokens in the engine's memory.
	tokensLeft   int
	pending      int // Tokens since the last event.
	firstTokenAt time.Time
	started      bool // Its first event was sent.
}

// startEngines starts the scenario's engines.
func (sim *simulation) startEngines() {
	for _, domain := range sim.scenario.Engines.FailureDomains {
		for range sim.scenario.Engines.PerFailureDomain {
			sim.startEngine(domain, len(sim.engines))
		}
	}
}

// startEngine starts the engine with a number, which determines its address and speed.
func (sim *simulation) startEngine(domain string, number int) {
	sim.nextID++
	speeds := sim.scenario.Engines.Speeds
	sim.engines[address(number)] = &engine{
		Server: pool.Server{
			ID:            fmt.Sprintf("%s#%d", address(number), sim.nextID),
			Address:       address(number),
			Service:       serviceName,
			FailureDomain: domain,
			Slots:         sim.scenario.Engines.Slots,
			Started:       sim.now.UnixMilli() + 1,
		},
		sim:    sim,
		speed:  speeds[number%len(speeds)],
		copies: map[*stream]int{},
	}
}

// accept adds a run to the queue.
func (e *engine) accept(r *run) {
	r.engine = e
	e.waiting = append(e.waiting, r)
	e.admit()
}

// admit moves waiting runs into the batch, in order, while slots and memory are free.
func (e *engine) admit() {
	for len(e.waiting) > 0 {
		r := e.waiting[0]
		demand := r.context + r.promptLeft + r.tokensLeft
		full := e.memory+demand > e.sim.scenario.Engines.MemoryTokens
		if full || len(e.prefilling)+len(e.running) >= e.Slots {
			break
		}
		e.memory += demand
		e.waiting = e.waiting[1:]
		if r.promptLeft > 0 {
			e.prefilling = append(e.prefilling, r)
		} else {
			e.running = append(e.running, r)
		}
	}
	e.step()
}

// step starts a step if there is work and no step is in progress.
func (e *engine) step() {
	if e.stepping || e.failed || len(e.prefilling)+len(e.running) == 0 {
		return
	}
	e.stepping = true
	model := e.sim.scenario.Engines
	context := 0
	for _, r := range e.running {
		context += r.context
	}
	duration := model.StepMillis + model.PerRunMillis*float64(len(e.running)) + model.PerThousandMillis*float64(context)/1000
	chunk := 0
	if len(e.prefilling) > 0 {
		chunk = min(model.ChunkTokens, e.prefilling[0].promptLeft)
		duration = max(duration, float64(chunk)/model.PromptTokensPerMilli)
	}
	e.sim.after(millis(e.speed*duration), func() { e.finishStep(chunk) })
}

// finishStep applies the results of a step: a token for each running stream and a chunk
// of the oldest prompt.
func (e *engine) finishStep(chunk int) {
	e.stepping = false
	if e.failed {
		return
	}
	for _, r := range append([]*run{}, e.running...) {
		e.decode(r)
	}
	if chunk > 0 && len(e.prefilling) > 0 {
		e.prefill(e.prefilling[0], chunk)
	}
	e.admit()
}

// decode adds one token to a run, and sends an event for every TokensPerEvent tokens.
func (e *engine) decode(r *run) {
	if e.sim.now.Before(r.firstTokenAt) {
		return
	}
	r.context++
	r.tokensLeft--
	r.pending++
	if r.pending < e.sim.scenario.Engines.TokensPerEvent && r.tokensLeft > 0 {
		return
	}
	r.pending = 0
	r.started = true
	last := r.tokensLeft == 0
	e.sim.after(millis(e.sim.scenario.Network.HopMillis), func() { r.stream.receiveEvent(r, last) })
	if last {
		e.removeRun(r)
	}
}

func (e *engine) prefill(r *run, chunk int) {
	r.promptLeft -= chunk
	r.context += chunk
	r.prefilled += chunk
	if r.promptLeft > 0 {
		return
	}
	e.prefilling = withoutRun(e.prefilling, r)
	e.running = append(e.running, r)
	r.firstTokenAt = e.sim.now.Add(millis(e.sim.scenario.Engines.FirstEventMillis))
}

// removeRun removes a run and frees its slot and memory.
func (e *engine) removeRun(r *run) {
	held := len(e.prefilling) + len(e.running)
	e.prefilling, e.running = withoutRun(e.prefilling, r), withoutRun(e.running, r)
	e.waiting = withoutRun(e.waiting, r)
	if len(e.prefilling)+len(e.running) < held {
		e.memory -= r.context + r.promptLeft + r.tokensLeft
	}
	e.admit()
}

// storeCopy stores a copy of a stream's memory, in place of an earlier one.
func (e *engine) storeCopy(s *stream, tokens int) {
	e.deleteCopy(s)
	e.copies[s] = tokens
	e.memory += tokens
}

func (e *engine) deleteCopy(s *stream) {
	e.memory -= e.copies[s]
	delete(e.copies, s)
}

// fail makes the engine crash or, if hung is set, stop sending on its open connections.
func (e *engine) fail(hung bool) {
	if e.failed {
		return
	}
	e.failed, e.hung = true, hung
	for _, runs := range [][]*run{e.running, e.prefilling, e.waiting} {
		for _, r := range runs {
			e.sim.after(millis(e.sim.scenario.Network.HopMillis), func() { r.stream.onEngineFailure(r) })
		}
	}
}

func withoutRun(runs []*run, gone *run) []*run {
	kept := runs[:0:0]
	for _, r := range runs {
		if r != gone {
			kept = append(kept, r)
		}
	}
	return kept
}
