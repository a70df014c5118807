package simulation

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/placement"
	"github.com/endivespoke/endivespoke/internal/backend/pool"
)

const (
	// tickInterval is the interval at which package spread checks whether the load must be
	// announced again.
	tickInterval = 250 * time.Millisecond
	// recheckInterval is the interval at which VMs check the servers that are down.
	recheckInterval = 200 * time.Millisecond
)

var errEngineFailed = errors.Wrap(errors.New("the engine has failed"), syscall.ECONNREFUSED)

// vm is one VM with a real pool of engines.
type vm struct {
	sim              *simulation
	index            int
	cell             int
	servers          *pool.Pool
	streams          map[*stream]bool
	announceDue      bool
	announceLaterDue bool
	announcedAt      time.Time // Time of the last announcement of its load.
	ended            bool
}

func (sim *simulation) startVMs() {
	for i := range sim.scenario.VMs {
		v := &vm{sim: sim, index: i, streams: map[*stream]bool{}}
		v.servers = pool.New(pool.Options{
			Now:   func() time.Time { return sim.now },
			Draw:  sim.decisionRandom.Float64,
			Check: func(_ context.Context, address string) error { return sim.check(address) },
			Go: func(callback func()) {
				sim.after(2*millis(sim.scenario.Network.HopMillis), callback)
			},
			OnChange: v.serverChanged,
			AnnounceLoss: func(server pool.Server, ended bool) {
				v.announce(server, func(other *vm) { other.servers.ApplyPeerLoss(server.ID, ended) })
			},
			AnnounceUp: func(server pool.Server) {
				v.announce(server, func(other *vm) { other.servers.ApplyPeerUp(server.ID) })
			},
			Watches: v.watches,
		})
		v.servers.SetCapacities(map[string]pool.Capacity{serviceName: {
			CacheTokens:    sim.scenario.Engines.MemoryTokens,
			SupportsCopies: !sim.policy.NoCopies,
			SupportsMoves:  !sim.policy.NoMoves,
		}})
		sim.vms = append(sim.vms, v)
	}
	sim.formCells()
	sim.updateServerLists()
	sim.recheck()
	sim.announceStaleLoads()
}

// formCells assigns the VMs to cells as package spread does.
func (sim *simulation) formCells() {
	count := sim.policy.cells(len(sim.vms))
	names := []string{}
	for _, v := range sim.vms {
		names = append(names, v.name())
	}
	cells := placement.Cells(names, count)
	for _, v := range sim.vms {
		v.cell = cells[v.name()]
		v.servers.SetCell(v.cell, count)
	}
}

// announceStaleLoads makes each VM announce its load every LoadReportInterval even if it
// does not change, as package spread does.
func (sim *simulation) announceStaleLoads() {
	for _, v := range sim.vms {
		if sim.now.Sub(v.announcedAt) >= pool.LoadReportInterval {
			v.announceLoads()
		}
	}
	sim.after(tickInterval, sim.announceStaleLoads)
}

// updateServerLists gives all VMs the list of engines that have not failed.
func (sim *simulation) updateServerLists() {
	listed := []pool.Server{}
	for i := range sim.engineCount() {
		if e := sim.engines[address(i)]; !e.failed {
			listed = append(listed, e.Server)
		}
	}
	for _, v := range sim.vms {
		v.servers.Update(listed)
	}
}

// recheck makes the pools check the engines that are down, periodically as VMs do.
func (sim *simulation) recheck() {
	for _, v := range sim.vms {
		v.servers.Recheck(context.Background())
	}
	sim.after(recheckInterval, sim.recheck)
}

func (sim *simulation) check(address string) error {
	if e := sim.engines[address]; e == nil || e.failed {
		return errEngineFailed
	}
	return nil
}

// serverChanged fails over the streams of a server that is down.
func (v *vm) serverChanged(server pool.Server, down bool, _ string) {
	if !down {
		return
	}
	for _, s := range v.orderedStreams() {
		if r := s.run; r != nil && r.engine.ID == server.ID {
			v.sim.after(0, func() { s.failOver(r, false) })
		}
	}
}

// watchersOfGroup is the number of watchers of a group, as in package spread.
const watchersOfGroup = 3

// watchers returns the VMs that watch a group of engines: all in a fleet of one cell.
func (sim *simulation) watchers(group string) []*vm {
	if sim.policy.cells(len(sim.vms)) <= 1 {
		return sim.vms
	}
	ranked := slices.Clone(sim.vms)
	slices.SortFunc(ranked, func(a, b *vm) int {
		return cmp.Compare(placement.Hash(group+"|"+a.name()), placement.Hash(group+"|"+b.name()))
	})
	return ranked[:watchersOfGroup]
}

func (v *vm) watches(group string) bool {
	return slices.Contains(v.sim.watchers(group), v)
}

// announce sends a change of an engine's state to all VMs if this VM watches the engine's
// group, and otherwise to the watchers of the group.
func (v *vm) announce(server pool.Server, apply func(other *vm)) {
	group := server.Group()
	receivers := v.sim.watchers(group)
	if v.watches(group) {
		receivers = v.sim.vms
	}
	for _, other := range receivers {
		if other != v {
			v.sim.messages++
			v.sim.after(millis(v.sim.scenario.Network.HopMillis)+v.sim.policy.loadDelay(), func() { apply(other) })
		}
	}
}

// announceLoadsSoon announces this VM's load after it grew; announceLoadsLater after it
// shrank, with a longer delay.
func (v *vm) announceLoadsSoon() {
	if !v.announceDue {
		v.announceDue = true
		v.sim.after(v.sim.policy.loadDelay(), func() { v.announceDue = false; v.announceLoads() })
	}
}

func (v *vm) announceLoadsLater() {
	if !v.announceLaterDue {
		v.announceLaterDue = true
		v.sim.after(v.sim.policy.releaseDelay(), func() { v.announceLaterDue = false; v.announceLoads() })
	}
}

func (v *vm) announceLoads() {
	if v.sim.policy.NoLoadReports {
		return
	}
	v.announcedAt = v.sim.now
	loads := v.servers.Loads()
	for _, i := range v.sim.announceTargets() {
		if other := v.sim.vms[i]; other != v && other.cell == v.cell {
			v.sim.messages++
			v.sim.after(millis(v.sim.scenario.Network.HopMillis), func() { other.servers.MergePeerLoads(v.name(), loads) })
		}
	}
}

// announceTargets returns the numbers of the VMs that receive a VM's load, in random order.
func (sim *simulation) announceTargets() []int {
	all := sim.decisionRandom.Perm(len(sim.vms))
	if sim.policy.Fanout == 0 {
		return all
	}
	return all[:min(sim.policy.Fanout, len(all))]
}

func (v *vm) name() string {
	return fmt.Sprintf("vm-%d", v.index)
}

// orderedStreams returns the VM's streams in order of arrival.
func (v *vm) orderedStreams() []*stream {
	return slices.SortedFunc(maps.Keys(v.streams), func(a, b *stream) int { return a.number - b.number })
}
