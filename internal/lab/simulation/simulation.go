// Package simulation is a discrete-event simulation of streams on model engines. Its VMs
// use the real packages pool and placement; engines, the network and the relaying of
// streams are modelled. A policy is evaluated here first, over many seeds, and then on a
// real system.
//
// # Usage
//
//	scenario, err := simulation.ReadScenario("examples/domain-losses.json")
//	results, err := simulation.Compare(ctx, scenario, simulation.Policies, seeds, workers)
//	simulation.WriteTable(os.Stdout, scenario, results)
//	err = simulation.WriteReport("report.html", scenario, results)
//
// # What is modelled
//
// An engine runs steps: each generates one token for every running stream and prefills one
// chunk of the oldest prompt, and takes as long as the longer of the two. Memory is
// reserved for prompts, outputs and copies. A stream is sent to one VM, which selects an
// engine; VMs announce their load to each other. A failed engine is detected by broken
// connections or by an idle timeout, and its streams continue from their copies or prefill
// their prompts again.
//
// Short calls, budgets, the platform's store beyond the delay of its list, the loss of
// VMs and processor time are not modelled.
package simulation

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// timer is a callback at a simulated time. The sequence number breaks ties, so that the
// result of a seed is reproducible.
type timer struct {
	at       time.Time
	sequence int
	callback func()
}

type timers []timer

func (m timers) Len() int { return len(m) }
func (m timers) Less(i, j int) bool {
	if !m[i].at.Equal(m[j].at) {
		return m[i].at.Before(m[j].at)
	}
	return m[i].sequence < m[j].sequence
}
func (m timers) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *timers) Push(x any)   { *m = append(*m, x.(timer)) }
func (m *timers) Pop() any {
	last := len(*m) - 1
	popped := (*m)[last]
	*m = (*m)[:last]
	return popped
}

// clock runs timers in the order of their times. It is used by one goroutine.
type clock struct {
	now      time.Time
	queue    timers
	sequence int
}

func newClock() *clock {
	return &clock{now: time.Unix(0, 0).UTC()}
}

// after schedules a callback after a span of simulated time.
func (c *clock) after(span time.Duration, callback func()) {
	c.sequence++
	heap.Push(&c.queue, timer{at: c.now.Add(max(span, 0)), sequence: c.sequence, callback: callback})
}

// run advances the time to the end and runs the timers that are due before it.
func (c *clock) run(end time.Time) {
	for len(c.queue) > 0 && c.queue[0].at.Before(end) {
		next := heap.Pop(&c.queue).(timer)
		c.now = next.at
		next.callback()
	}
	c.now = end
}

// millis converts milliseconds into a duration.
func millis(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

// simulation is the state of one trial: a scenario under one policy with one seed.
type simulation struct {
	*clock
	scenario       *Scenario
	policy         Policy
	decisionRandom *rand.Rand         // For the VMs' decisions.
	loadRandom     *rand.Rand         // For the load and the faults, which are the same for each policy.
	engines        map[string]*engine // By address.
	vms            []*vm
	streams        []*stream
	nextID         int
	messages       int
}

// A seed has two independent sequences of random numbers.
const (
	decisionSequence = 1
	loadSequence     = 2
)

func newRandom(seed, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, stream))
}

// runTrial simulates a scenario once.
func runTrial(scenario *Scenario, policy Policy, seed uint64) Result {
	sim := &simulation{
		clock:          newClock(),
		scenario:       scenario,
		policy:         policy,
		decisionRandom: newRandom(seed, decisionSequence),
		loadRandom:     newRandom(seed, loadSequence),
		engines:        map[string]*engine{},
	}
	sim.startEngines()
	sim.startVMs()
	sim.scheduleArrivals()
	sim.scheduleFaults()
	begin := sim.now
	sim.run(begin.Add(scenario.length()))
	return sim.result(begin)
}
