package simulation

import (
	"fmt"
	"math"
	"slices"
)

func (sim *simulation) engineCount() int {
	return len(sim.scenario.Engines.FailureDomains) * sim.scenario.Engines.PerFailureDomain
}

func address(number int) string {
	return fmt.Sprintf("engine-%d:1", number)
}

// scheduleArrivals schedules a Poisson process of streams. It is the same for each policy.
func (sim *simulation) scheduleArrivals() {
	load := sim.scenario.Load
	for at := 0.0; ; {
		at += -math.Log(1-sim.loadRandom.Float64()) / load.StreamsPerSecond
		if at >= sim.scenario.Seconds {
			return
		}
		s := &stream{
			sim:    sim,
			vm:     sim.vms[sim.loadRandom.IntN(len(sim.vms))],
			number: len(sim.streams),
			prompt: sim.randomAround(load.PromptTokens, load.PromptSpread),
			tokens: sim.randomAround(load.Events, load.EventsSpread) * sim.scenario.Engines.TokensPerEvent,
			tried:  map[string]bool{},
		}
		s.left = s.tokens
		sim.streams = append(sim.streams, s)
		sim.after(seconds(at), func() {
			s.requestedAt = sim.now
			s.vm.streams[s] = true
			s.place("")
		})
	}
}

// randomAround returns an evenly distributed integer around a mean, at least 1.
func (sim *simulation) randomAround(mean int, spread float64) int {
	return max(1, int(float64(mean)*(1+spread*(2*sim.loadRandom.Float64()-1))))
}

func (sim *simulation) scheduleFaults() {
	for _, fault := range sim.scenario.Faults {
		targets := sim.faultTargets(fault)
		sim.after(seconds(fault.AtSeconds), func() { sim.injectFault(fault, targets) })
	}
}

// faultTargets returns the numbers of the engines that a fault affects: those of its
// failure domain, or a random share of all.
func (sim *simulation) faultTargets(fault Fault) []int {
	all := sim.loadRandom.Perm(sim.engineCount())
	if fault.FailureDomain != "" {
		return slices.DeleteFunc(all, func(i int) bool { return sim.engines[address(i)].FailureDomain != fault.FailureDomain })
	}
	return all[:int(math.Round(fault.Share*float64(len(all))))]
}

func (sim *simulation) injectFault(fault Fault, targets []int) {
	if fault.Kind == FaultEnd {
		for _, v := range sim.vms {
			v.ended = true
		}
		return
	}
	for _, i := range targets {
		e := sim.engines[address(i)]
		if fault.Kind == FaultLeaving {
			e.Leaving = true
		} else {
			e.fail(fault.Kind == FaultHang)
		}
		if fault.ForSeconds > 0 {
			sim.after(seconds(fault.ForSeconds), func() { sim.replaceEngine(i) })
		}
	}
	sim.after(millis(sim.scenario.Network.ListMillis), sim.updateServerLists)
}

// replaceEngine stops the engine with a number and starts another at its address.
func (sim *simulation) replaceEngine(number int) {
	old := sim.engines[address(number)]
	old.fail(false)
	sim.startEngine(old.FailureDomain, number)
	sim.after(millis(sim.scenario.Network.ListMillis), sim.updateServerLists)
}
