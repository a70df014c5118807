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
	// limitsEvery is the time between two reckonings of this VM's limits.
	limitsEvery = time.Second
	// loadsEvery is the time between two readings of the servers' loads.
	loadsEvery = time.Second
	// loadLimit bounds one reading.
	loadLimit = 500 * time.Millisecond
	// roomFactor is how much more than its part of the servers' room a VM uses, so
	// that no slot stays empty. What is beyond waits here, where accounts are
	// weighed against each other, and not in an engine's queue, where they aren't.
	roomFactor = 1.1
	// watchersPerServer VMs read the load of each backend server.
	watchersPerServer = 3
)

// reckonLimits keeps the admission limits in step with the configuration, the
// number of VMs and this VM's part of each account's traffic.
func (v *VM) reckonLimits(context.Context) {
	if snapshot := v.loop.Snapshot(); snapshot.Set != nil {
		v.gate.Configure(v.limitsOf(snapshot.Set, snapshot.Live()))
	}
}

// limitsOf reckons what this VM may take of each account's limits.
func (v *VM) limitsOf(set *object.Set, live int) admission.Limits {
	peers := min(live-1, gossip.MaxNeighbours)
	room := roomFactor * v.shares.Fraction(admission.AllAccounts, peers, live) * float64(slotsOf(set))
	reckoned := admission.Limits{Capacity: max(1, int(math.Ceil(room))), Accounts: map[string]admission.Limit{}}
	for _, account := range set.ClientAccounts {
		part := v.shares.Fraction(account.Name, peers, live)
		reckoned.Accounts[account.Name] = admission.Limit{
			Rate:       account.RequestsPerSecond * part,
			Concurrent: max(1, int(math.Ceil(float64(account.ConcurrentRequests)*part))),
			Weight:     account.Weight,
		}
	}
	return reckoned
}

// slotsOf counts what all backend servers run side by side.
func slotsOf(set *object.Set) int {
	slots := 0
	for _, server := range set.BackendServers {
		if server.State != object.ServerLeaving {
			slots += server.MaxConcurrent
		}
	}
	return slots
}

// readLoads reads the loads of the servers that this VM watches. Each server is
// watched by a few VMs, so that a large system doesn't flood its servers.
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

// watches reports whether this VM is one of the few that watch a server.
func watches(snapshot *control.Snapshot, server string) bool {
	return gossip.IsAmongFirst(snapshot.Self.ID, server, snapshot.Members, watchersPerServer)
}

// managedServers gives the servers that this VM gives orders to, with the names
// that engines know their versions by.
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
		wanted := []string{}
		for _, name := range server.Versions {
			if version, found := snapshot.Set.Version(name); found {
				wanted = append(wanted, version.EngineModel)
			}
		}
		server.Versions = wanted
		managed = append(managed, server)
	}
	return managed
}

func (v *VM) isDown(vm string) bool {
	member, found := v.loop.Snapshot().Member(vm)
	return found && member.State == wire.MemberDown
}

func (v *VM) readLoad(ctx context.Context, server object.BackendServer) {
	ctx, cancel := context.WithTimeout(ctx, loadLimit)
	defer cancel()
	load, err := v.engines.Load(ctx, server.Address)
	if err != nil {
		return // Requests find out soon enough; a lost reading says little.
	}
	v.fleet.RecordLoad(server.Name, load.Running+load.Waiting)
}
