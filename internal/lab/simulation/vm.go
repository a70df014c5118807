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
	// spreadTick is how often package spread looks whether peers must be told again.
	spreadTick = 250 * time.Millisecond
	// recheckEvery is how often VMs look at the servers that are down.
	recheckEvery = 200 * time.Millisecond
)

var errLost = errors.Wrap(errors.New("the engine is gone"), syscall.ECONNREFUSED)

// vm is one VM: a real pool of engines.
type vm struct {
	world    *world
	index    int
	cell     int
	servers  *pool.Pool
	streams  map[*stream]bool
	newsDue  bool
	easedDue bool
	toldAt   time.Time // When peers were last told of its work.
	ended    bool
}

func (w *world) startVMs() {
	for i := range w.scenario.VMs {
		v := &vm{world: w, index: i, streams: map[*stream]bool{}}
		v.servers = pool.New(pool.Options{
			Now:   func() time.Time { return w.now },
			Draw:  w.random.Float64,
			Check: func(_ context.Context, address string) error { return w.check(address) },
			Go: func(do func()) {
				w.after(2*millis(w.scenario.Network.HopMillis), do)
			},
			OnChange: v.serverChanged,
			AnnounceLoss: func(server pool.Server, ended bool) {
				v.tell(server, func(other *vm) { other.servers.ApplyPeerLoss(server.ID, ended) })
			},
			AnnounceUp: func(server pool.Server) {
				v.tell(server, func(other *vm) { other.servers.ApplyPeerUp(server.ID) })
			},
			Watches: v.watches,
		})
		v.servers.SetCapacities(map[string]pool.Capacity{serviceName: {
			CacheTokens:    w.scenario.Engines.MemoryTokens,
			SupportsCopies: !w.policy.NoCopies,
			SupportsMoves:  !w.policy.NoMoves,
		}})
		w.vms = append(w.vms, v)
	}
	w.formCells()
	w.list()
	w.recheck()
	w.tellAll()
}

// formCells splits the VMs as package spread does.
func (w *world) formCells() {
	count := w.policy.cells(len(w.vms))
	names := []string{}
	for _, v := range w.vms {
		names = append(names, v.name())
	}
	cells := placement.Cells(names, count)
	for _, v := range w.vms {
		v.cell = cells[v.name()]
		v.servers.SetCell(v.cell, count)
	}
}

// tellAll has each VM tell its work even if nothing changes, as package spread does.
func (w *world) tellAll() {
	for _, v := range w.vms {
		if w.now.Sub(v.toldAt) >= pool.LoadReportInterval {
			v.tellWork()
		}
	}
	w.after(spreadTick, w.tellAll)
}

// list has all VMs list the engines that are there.
func (w *world) list() {
	listed := []pool.Server{}
	for i := range w.engineCount() {
		if e := w.engines[address(i)]; !e.lost {
			listed = append(listed, e.Server)
		}
	}
	for _, v := range w.vms {
		v.servers.Update(listed)
	}
}

// recheck has the pools look at what is down, as VMs do all the time.
func (w *world) recheck() {
	for _, v := range w.vms {
		v.servers.Recheck(context.Background())
	}
	w.after(recheckEvery, w.recheck)
}

func (w *world) check(address string) error {
	if e := w.engines[address]; e == nil || e.lost {
		return errLost
	}
	return nil
}

// serverChanged has the streams on a server that is down go on elsewhere.
func (v *vm) serverChanged(server pool.Server, down bool, _ string) {
	if !down {
		return
	}
	for _, s := range v.ordered() {
		if r := s.run; r != nil && r.engine.ID == server.ID {
			v.world.after(0, func() { s.goOn(r, false) })
		}
	}
}

// watchersOfGroup is as in package spread.
const watchersOfGroup = 3

// watchers gives the VMs that watch a group of engines, all in a fleet of one cell.
func (w *world) watchers(group string) []*vm {
	if w.policy.cells(len(w.vms)) <= 1 {
		return w.vms
	}
	ranked := slices.Clone(w.vms)
	slices.SortFunc(ranked, func(a, b *vm) int {
		return cmp.Compare(placement.Hash(group+"|"+a.name()), placement.Hash(group+"|"+b.name()))
	})
	return ranked[:watchersOfGroup]
}

func (v *vm) watches(group string) bool {
	return slices.Contains(v.world.watchers(group), v)
}

// tell has all VMs hear of an engine if this VM watches it, and else its watchers.
func (v *vm) tell(server pool.Server, hear func(other *vm)) {
	group := server.Group()
	receivers := v.world.watchers(group)
	if v.watches(group) {
		receivers = v.world.vms
	}
	for _, other := range receivers {
		if other != v {
			v.world.messages++
			v.world.after(millis(v.world.scenario.Network.HopMillis)+v.world.policy.newsAfter(), func() { hear(other) })
		}
	}
}

// workChanged tells the peers of this VM's work, soon if it grew.
func (v *vm) workChanged() {
	if !v.newsDue {
		v.newsDue = true
		v.world.after(v.world.policy.newsAfter(), func() { v.newsDue = false; v.tellWork() })
	}
}

func (v *vm) workEased() {
	if !v.easedDue {
		v.easedDue = true
		v.world.after(v.world.policy.easedAfter(), func() { v.easedDue = false; v.tellWork() })
	}
}

func (v *vm) tellWork() {
	if v.world.policy.NoNews {
		return
	}
	v.toldAt = v.world.now
	loads := v.servers.Loads()
	for _, i := range v.world.told() {
		if other := v.world.vms[i]; other != v && other.cell == v.cell {
			v.world.messages++
			v.world.after(millis(v.world.scenario.Network.HopMillis), func() { other.servers.MergePeerLoads(v.name(), loads) })
		}
	}
}

// told gives the numbers of the VMs that hear of a VM's work.
func (w *world) told() []int {
	all := w.random.Perm(len(w.vms))
	if w.policy.Fanout == 0 {
		return all
	}
	return all[:min(w.policy.Fanout, len(all))]
}

func (v *vm) name() string {
	return fmt.Sprintf("vm-%d", v.index)
}

// ordered gives the VM's streams in the order in which they came.
func (v *vm) ordered() []*stream {
	return slices.SortedFunc(maps.Keys(v.streams), func(a, b *stream) int { return a.number - b.number })
}
