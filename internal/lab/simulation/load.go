package simulation

import (
	"fmt"
	"math"
	"slices"
)

func (w *world) engineCount() int {
	return len(w.scenario.Engines.FailureDomains) * w.scenario.Engines.PerFailureDomain
}

func address(number int) string {
	return fmt.Sprintf("engine-%d:1", number)
}

// scheduleArrivals draws the streams of the whole play, the same for each policy.
func (w *world) scheduleArrivals() {
	load := w.scenario.Load
	for at := 0.0; ; {
		at += -math.Log(1-w.drawn.Float64()) / load.StreamsPerSecond
		if at >= w.scenario.Seconds {
			return
		}
		s := &stream{
			world:  w,
			vm:     w.vms[w.drawn.IntN(len(w.vms))],
			number: len(w.streams),
			prompt: w.vary(load.PromptTokens, load.PromptSpread),
			tokens: w.vary(load.Events, load.EventsSpread) * w.scenario.Engines.TokensPerEvent,
			tried:  map[string]bool{},
		}
		s.left = s.tokens
		w.streams = append(w.streams, s)
		w.after(seconds(at), func() {
			s.askedAt = w.now
			s.vm.streams[s] = true
			s.place("")
		})
	}
}

// vary draws a whole number around a mean, at least 1.
func (w *world) vary(mean int, spread float64) int {
	return max(1, int(float64(mean)*(1+spread*(2*w.drawn.Float64()-1))))
}

func (w *world) scheduleFaults() {
	for _, fault := range w.scenario.Faults {
		hit := w.hit(fault)
		w.after(seconds(fault.AtSeconds), func() { w.strike(fault, hit) })
	}
}

// hit draws the numbers of the engines that a fault meets.
func (w *world) hit(fault Fault) []int {
	all := w.drawn.Perm(w.engineCount())
	if fault.FailureDomain != "" {
		return slices.DeleteFunc(all, func(i int) bool { return w.engines[address(i)].FailureDomain != fault.FailureDomain })
	}
	return all[:int(math.Round(fault.Share*float64(len(all))))]
}

func (w *world) strike(fault Fault, hit []int) {
	if fault.Kind == FaultEnd {
		for _, v := range w.vms {
			v.ended = true
		}
		return
	}
	for _, i := range hit {
		e := w.engines[address(i)]
		if fault.Kind == FaultLeaving {
			e.Leaving = true
		} else {
			e.lose(fault.Kind == FaultSilence)
		}
		if fault.ForSeconds > 0 {
			w.after(seconds(fault.ForSeconds), func() { w.replace(i) })
		}
	}
	w.after(millis(w.scenario.Network.ListMillis), w.list)
}

// replace starts another engine at an address.
func (w *world) replace(number int) {
	old := w.engines[address(number)]
	old.lose(false)
	w.startEngine(old.FailureDomain, number)
	w.after(millis(w.scenario.Network.ListMillis), w.list)
}
