package vm

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/endivespoke/endivespoke/internal/config/object"
	"github.com/endivespoke/endivespoke/internal/node/control"
	"github.com/endivespoke/endivespoke/internal/peer/gossip"
	"github.com/endivespoke/endivespoke/internal/peer/wire"
	"github.com/endivespoke/endivespoke/internal/request/admission"
)

const (
	// limitsInterval is the time between two updates of this VM's admission limits.
	limitsInterval = time.Second
	// loadsInterval is the time between two reads of the servers' loads.
	loadsInterval = time.Second
	// loadTimeout bounds one read.
	loadTimeout = 500 * time.Millisecond
	// capacityFactor scales a VM's share of the servers' capacity, so that no slot stays
	// empty. Further requests wait in the VM's queue, which is weighted by account, and
	// not in an engine's queue, which is not.
	capacityFactor = 1.1
	// watchersPerServer is the number of VMs that read the load of each backend server.
	watchersPerServer = 3
)

// updateLimits adapts the admission limits to the configuration, the number of VMs
// and this VM's share of each account's traffic.
func (v *VM) updateLimits(context.Context) {
	if snapshot := v.loop.Snapshot(); snapshot.Set != nil {
		v.gate.Configure(v.limitsOf(snapshot.Set, snapshot.Live()))
	}
}

// limitsOf computes this VM's share of each account's limits.
func (v *VM) limitsOf(set *object.Set, live int) admission.Limits {
	peers := min(live-1, gossip.MaxNeighbours)
	capacity := capacityFactor * v.shares.Fraction(admission.AllAccounts, peers, live) * float64(slotsOf(set))
	limits := admission.Limits{Capacity: max(1, int(math.Ceil(capacity))), Accounts: map[string]admission.Limit{}}
	for _, account := range set.ClientAccounts {
		share := v.shares.Fraction(account.Name, peers, live)
		limits.Accounts[account.Name] = admission.Limit{
			Rate:       account.RequestsPerSecond * share,
			Concurrent: max(1, int(math.Ceil(float64(account.ConcurrentRequests)*share))),
			Weight:     account.Weight,
		}
	}
	return limits
}

// slotsOf returns the number of requests that all backend servers can run concurrently.
func slotsOf(set *object.Set) int {
	slots := 0
	for _, server := range set.BackendServers {
		if server.State != object.ServerLeaving {
			slots += server.MaxConcurrent
		}
	}
	return slots
}

// readLoads reads the loads of the servers that this VM watches. Only a few VMs watch
// each server, so that the VMs of a large system do not overload it.
func (v *VM) readLoads(ctx context.Context) {
	snapshot := v.loop.Snapshot()
	if snapshot.Set == nil {
		return
	}
	var waiting sync.WaitGroup
	defer waiting.Wait()
	for _, server := range snapshot.Set.BackendServers {
		if len(server.Versions) == 0 || !watches(snapshot, server.Name) {
			continue
		}
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			v.readLoad(ctx, server)
		}()
	}
}

// watches reports whether this VM is one of the watchers of a server.
func watches(snapshot *control.Snapshot, server string) bool {
	return gossip.IsAmongFirst(snapshot.Self.ID, server, snapshot.Members, watchersPerServer)
}

// managedServers returns the servers that this VM sends orders to, with the engines'
// model names as their versions.
func (v *VM) managedServers() []object.BackendServer {
	snapshot := v.loop.Snapshot()
	managed := []object.BackendServer{}
	if snapshot.Set == nil || !snapshot.Accepting(time.Now()) {
		return managed
	}
	for _, server := range snapshot.Set.BackendServers {
		if !server.Managed || !gossip.IsAmongFirst(snapshot.Self.ID, "orders/"+server.Name, snapshot.Members, 1) {
			continue
		}
		models := []string{}
		for _, name := range server.Versions {
			if version, found := snapshot.Set.Version(name); found {
				models = append(models, version.EngineModel)
			}
		}
		server.Versions = models
		managed = append(managed, server)
	}
	return managed
}

func (v *VM) isDown(vm string) bool {
	member, found := v.loop.Snapshot().Member(vm)
	return found && member.State == wire.MemberDown
}

func (v *VM) readLoad(ctx context.Context, server object.BackendServer) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	load, err := v.engines.Load(ctx, server.Address)
	if err != nil {
		return // Failed requests reveal a server that is down; one missed read is harmless.
	}
	v.fleet.RecordLoad(server.Name, load.Running+load.Waiting)
}
