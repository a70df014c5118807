// Package simulation plays streams on model engines in simulated time. The VMs in it
// decide with the real packages pool and placement; engines, the network and the
// relaying of a stream are models. A policy is tried here first, over many seeds, and
// then on a real system.
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
// An engine runs steps: each gives every running stream one token and reads one chunk
// of the oldest prompt that waits, and takes as long as the longer of the two. Memory is
// held for prompts, outputs and copies. A stream asks one VM, which chooses an engine; VMs
// tell each other their work. An engine that is lost is noticed by its broken connections
// or by silence, and its streams go on from their copies or read their prompts again.
//
// Short calls, budgets, the platform's store beyond the delay of its list, the loss of
// VMs and processor time are not modelled.
package simulation

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// moment is something that happens at a simulated time. Order breaks ties, so that a
// seed always plays the same.
type moment struct {
	at    time.Time
	order int
	do    func()
}

type moments []moment

func (m moments) Len() int { return len(m) }
func (m moments) Less(i, j int) bool {
	if !m[i].at.Equal(m[j].at) {
		return m[i].at.Before(m[j].at)
	}
	return m[i].order < m[j].order
}
func (m moments) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *moments) Push(x any)   { *m = append(*m, x.(moment)) }
func (m *moments) Pop() any {
	last := len(*m) - 1
	popped := (*m)[last]
	*m = (*m)[:last]
	return popped
}

// clock runs what is due in order. It is used by one goroutine.
type clock struct {
	now   time.Time
	queue moments
	order int
}

func newClock() *clock {
	return &clock{now: time.Unix(0, 0).UTC()}
}

// after has something done when a span has passed.
func (c *clock) after(span time.Duration, do func()) {
	c.order++
	heap.Push(&c.queue, moment{at: c.now.Add(max(span, 0)), order: c.order, do: do})
}

// run does all that is due before the end.
func (c *clock) run(end time.Time) {
	for len(c.queue) > 0 && c.queue[0].at.Before(end) {
		next := heap.Pop(&c.queue).(moment)
		c.now = next.at
		next.do()
	}
	c.now = end
}

// millis turns a model's milliseconds into a span.
func millis(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

// world is one play of a scenario under one policy.
type world struct {
	*clock
	scenario *Scenario
	policy   Policy
	random   *rand.Rand         // Of the VMs' decisions.
	drawn    *rand.Rand         // Of the load and the faults: they are the same for each policy.
	engines  map[string]*engine // By address.
	vms      []*vm
	streams  []*stream
	nextID   int
	messages int
}

// A seed gives two independent series of random numbers.
const (
	decisionStream = 1
	loadStream     = 2
)

func newRandom(seed, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, stream))
}

// play plays a scenario once.
func play(scenario *Scenario, policy Policy, seed uint64) Result {
	w := &world{
		clock:    newClock(),
		scenario: scenario,
		policy:   policy,
		random:   newRandom(seed, decisionStream),
		drawn:    newRandom(seed, loadStream),
		engines:  map[string]*engine{},
	}
	w.startEngines()
	w.startVMs()
	w.scheduleArrivals()
	w.scheduleFaults()
	begin := w.now
	w.run(begin.Add(scenario.length()))
	return w.result(begin)
}
