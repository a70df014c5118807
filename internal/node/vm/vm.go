// Package vm assembles the components of one VM and runs them under a
// supervisor: the control loop, the owner's sweeper, the load reader and the
// listeners for callers, peers and operators.
//
// # Usage
//
//	machine, err := vm.New(checked, logger)
//	err = machine.Serve(ctx)      // until ctx ends, then a graceful stop
//	machine.CallerAddress()       // HOST:PORT, with the bound port if port 0 was configured
package vm

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/pprof"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/thejerf/suture/v4"

	"github.com/endivespoke/endivespoke/internal/backend/engine"
	"github.com/endivespoke/endivespoke/internal/backend/fleet"
	"github.com/endivespoke/endivespoke/internal/backend/order"
	"github.com/endivespoke/endivespoke/internal/backend/service"
	"github.com/endivespoke/endivespoke/internal/caller/locate"
	"github.com/endivespoke/endivespoke/internal/caller/openai"
	"github.com/endivespoke/endivespoke/internal/caller/services"
	"github.com/endivespoke/endivespoke/internal/config/object"
	"github.com/endivespoke/endivespoke/internal/config/revision"
	"github.com/endivespoke/endivespoke/internal/node/caller"
	"github.com/endivespoke/endivespoke/internal/node/control"
	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/node/periodic"
	"github.com/endivespoke/endivespoke/internal/node/settings"
	"github.com/endivespoke/endivespoke/internal/node/trace"
	"github.com/endivespoke/endivespoke/internal/operator/admin"
	"github.com/endivespoke/endivespoke/internal/peer/permit"
	"github.com/endivespoke/endivespoke/internal/peer/replica"
	"github.com/endivespoke/endivespoke/internal/peer/wire"
	platformobject "github.com/endivespoke/endivespoke/internal/platform/object"
	"github.com/endivespoke/endivespoke/internal/platform/table"
	"github.com/endivespoke/endivespoke/internal/platform/vmlist"
	"github.com/endivespoke/endivespoke/internal/request/action"
	"github.com/endivespoke/endivespoke/internal/request/admission"
	"github.com/endivespoke/endivespoke/internal/request/budget"
	"github.com/endivespoke/endivespoke/internal/request/crash"
	"github.com/endivespoke/endivespoke/internal/request/generation"
	"github.com/endivespoke/endivespoke/internal/request/owner"
)

const (
	// platformTimeout bounds one request to the platform.
	platformTimeout = 3 * time.Second
	// platformIdleTimeout is short, so that a connection that no longer responds is soon
	// discarded.
	platformIdleTimeout = 5 * time.Second
	// dialTimeout bounds the opening of a connection to a backend server.
	dialTimeout = 500 * time.Millisecond
	// stopTimeout bounds the closing of listeners at the end of a graceful stop.
	stopTimeout = 5 * time.Second
	// readHeaderTimeout bounds how long a caller may take to send its headers.
	readHeaderTimeout = 10 * time.Second
	// answersBytes bounds what engines and services send while it is read, but for buffers up
	// to freeAnswerBytes.
	answersBytes    = 128 << 20
	freeAnswerBytes = 8 << 10
)

// VM is the process of one entry VM.
type VM struct {
	settings  settings.Checked
	logger    hclog.Logger
	loop      *control.Loop
	crashes   *crash.Record
	permits   *permit.Issuer
	fleet     *fleet.Fleet
	gate      *admission.Gate
	shares    *admission.Shares
	pool      *wire.Pool
	store     *replica.Store
	owner     *owner.Owner
	services  *services.Handler
	orders    *order.Controller
	engines   *engine.Client
	publisher *revision.Publisher
	caller    *listener
	peer      *listener
	operator  *listener
	ports     *caller.Ports
	bodies    *caller.Bodies // Of requests.

	// FaultPoint, when set before Serve, is called before each step of an action.
	FaultPoint func(op action.Op)
}

// New binds the listeners and creates the components. Nothing runs until Serve is called.
func New(checked settings.Checked, logger hclog.Logger) (machine *VM, err error) {
	v := &VM{settings: checked, logger: logger}
	if v.caller, err = listen("callerListener", checked.CallerListen); err != nil {
		return nil, errors.Trace(err)
	}
	if v.peer, err = listen("peerListener", checked.PeerListen); err != nil {
		return nil, errors.Trace(err)
	}
	if v.operator, err = listen("operatorListener", checked.OperatorListen); err != nil {
		return nil, errors.Trace(err)
	}
	v.build()
	return v, nil
}

// CallerAddress returns the address that callers are given.
func (v *VM) CallerAddress() string {
	if v.settings.CallerAddress != "" {
		return v.settings.CallerAddress
	}
	return v.caller.address
}

// PeerAddress returns the address that other VMs are given.
func (v *VM) PeerAddress() string {
	if v.settings.PeerAddress != "" {
		return v.settings.PeerAddress
	}
	return v.peer.address
}

// OperatorAddress returns the address that operators connect to.
func (v *VM) OperatorAddress() string {
	return v.operator.address
}

// Snapshot returns the control state, for tests and tools.
func (v *VM) Snapshot() *control.Snapshot {
	return v.loop.Snapshot()
}

// build creates the components, from the clients of the platform up to the handlers
// of callers' requests.
func (v *VM) build() {
	platform := &http.Client{Timeout: platformTimeout, Transport: &http.Transport{IdleConnTimeout: platformIdleTimeout, MaxIdleConnsPerHost: 16}}
	rows := table.New(v.settings.Platform, platform)
	v.publisher = &revision.Publisher{Table: rows, Objects: platformobject.New(v.settings.Platform, platform), Now: time.Now}
	v.fleet = fleet.New(fleet.Options{Now: time.Now, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))})
	v.gate = admission.New(admission.Options{Now: time.Now})
	v.shares = admission.NewShares(time.Now)
	v.store = replica.New()
	v.ports = caller.NewPorts(time.Now, int64(caller.HeadsFraction*float64(v.memoryBytes())))
	v.bodies = caller.NewBodies(int64(bodiesFraction * float64(v.memoryBytes())))
	v.bodies.FreeBytes = freeBodyBytes
	memory := caller.NewBodies(min(answersBytes, int64(answersFraction*float64(v.memoryBytes()))))
	memory.FreeBytes = freeAnswerBytes
	v.engines = engine.New(&http.Client{Transport: singleUseConnections()})
	v.engines.Memory = memory
	v.pool = wire.NewPool(wire.PoolOptions{
		Self:   v.settings.ID,
		Key:    v.settings.Key,
		OnAcks: func(peer string, acks []wire.Ack) { v.owner.OnAcks(peer, acks) },
		OnDown: func(peer string) { v.owner.OnDown(peer) },
	})
	v.permits = permit.NewIssuer(time.Now)
	v.crashes = crash.New(crash.Options{
		Now:          time.Now,
		Announce:     func(crash.Report) {}, // Heartbeats carry the reports.
		TakePermit:   v.takePermit,
		ReturnPermit: func(key string) { v.permits.Observe(permit.Observation{Key: key, Unused: true}) },
		VMs:          func() int { return len(v.loop.Snapshot().Members) },
		OnBlocked: func(trait crash.Trait, terminations int) {
			if trait.IsPart() { // Contents are blocked by the owner of a request, after more crashes.
				_, beginning := trait.Field()
				event.ContentCondemned.Warn(v.logger, "part", beginning, "servers", terminations)
			}
		},
	})
	v.loop = control.New(control.Options{
		Self:            v.self(),
		Pool:            v.pool,
		Publisher:       v.publisher,
		List:            vmlist.New(v.settings.Platform, platform),
		Logger:          v.logger,
		Now:             time.Now,
		OnConfiguration: v.applyConfiguration,
		OnDown:          func(peer string) { go v.owner.OnDown(peer) },
		Demands:         v.demands,
		OnDemands:       v.mergeDemands,
		Crashes:         v.crashes.Current,
		OnCrashes:       v.crashes.Merge,
	})
	v.owner = owner.New(owner.Options{
		Engines:      v.engines,
		Fleet:        v.fleet,
		Gate:         v.gate,
		Pool:         v.pool,
		Store:        v.store,
		Snapshot:     v.loop.Snapshot,
		BlockContent: v.loop.Block,
		Crashes:      v.crashes,
		Logger:       v.logger,
		Now:          time.Now,
		Grace:        v.settings.Grace,
		Timing:       v.timing(),
	})
	v.orders = order.New(order.Options{
		Self:       v.settings.ID,
		Table:      rows,
		Engines:    v.engines,
		Servers:    v.managedServers,
		LoadsLimit: func() int { return v.loop.Snapshot().Set.WeightStore.LoadsLimit() },
		HolderDown: v.isDown,
		Logger:     v.logger,
		Now:        time.Now,
	})
	v.services = services.New(services.Options{
		Table:         rows,
		Services:      &service.Client{HTTP: &http.Client{Transport: singleUseConnections()}, Memory: memory},
		Fleet:         v.fleet,
		Gate:          v.gate,
		HedgeBudget:   budget.New(budget.Options{Ratio: 0.1, Burst: 10}),
		Snapshot:      v.loop.Snapshot,
		RecordArrival: v.shares.RecordArrival,
		Logger:        v.logger,
		Now:           time.Now,
		FaultPoint:    func(op action.Op) { v.faultPoint(op) },
	})
}

func (v *VM) faultPoint(op action.Op) {
	if v.FaultPoint != nil {
		v.FaultPoint(op)
	}
}

// singleUseConnections returns a transport that opens a connection for each request: an
// idle connection may no longer respond, and a new one costs one round trip.
func singleUseConnections() *http.Transport {
	return &http.Transport{
		DisableKeepAlives: true,
		DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}
}

func (v *VM) timing() owner.Timing {
	timing := owner.DefaultTiming
	timing.Adaptive = v.settings.AdaptiveSilence
	timing.RestartFromZero = v.settings.BaselineRecovery == "restart"
	timing.FailoverOnlyByTimer = v.settings.BaselineRecovery == "timer"
	return timing
}

func (v *VM) self() wire.Member {
	return wire.Member{
		ID:            v.settings.ID,
		Incarnation:   uint64(time.Now().UnixMilli()), // Higher than that of the VM's previous process.
		State:         wire.MemberLive,
		FailureDomain: v.settings.FailureDomain,
		CallerAddress: v.CallerAddress(),
		PeerAddress:   v.PeerAddress(),
	}
}

// applyConfiguration applies a configuration before request handling reads it.
func (v *VM) applyConfiguration(set *object.Set, live int) {
	v.fleet.Update(set)
	v.gate.Configure(v.limitsOf(set, live))
}

func (v *VM) demands() []wire.AccountDemand {
	demands := []wire.AccountDemand{}
	for _, demand := range v.shares.Demands() {
		demands = append(demands, wire.AccountDemand{Account: demand.Account, Rate: demand.Rate})
	}
	return demands
}

func (v *VM) mergeDemands(from string, received []wire.AccountDemand) {
	demands := make([]admission.AccountDemand, 0, len(received))
	for _, demand := range received {
		demands = append(demands, admission.AccountDemand{Account: demand.Account, Rate: demand.Rate})
	}
	v.shares.MergeDemands(from, demands)
}

// Serve runs the VM until the context ends, and then stops it gracefully: it
// announces the stop to the other VMs, accepts requests until every locate answer
// with its address has expired, waits for running requests, and then closes its
// listeners.
func (v *VM) Serve(ctx context.Context) (err error) {
	var stopTracing func(context.Context) error
	if stopTracing, err = trace.Start(ctx, v.settings.TraceEndpoint, v.settings.ID); err != nil {
		return errors.Trace(err)
	}
	if v.settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(v.settings.MemoryBytes)))
	}
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ended := v.supervisor().ServeBackground(running)
	event.VMStarted.Info(v.logger, "vm", v.settings.ID, "caller", v.CallerAddress(), "peer", v.PeerAddress(), "operator", v.OperatorAddress())
	select {
	case <-ctx.Done():
		v.leave()
	case err = <-ended:
		return errors.Trace(err)
	}
	v.closeListeners()
	cancel()
	<-ended
	v.pool.Close()
	event.VMStopped.Info(v.logger, "vm", v.settings.ID)
	stopCtx, cancelStop := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelStop()
	return errors.Trace(stopTracing(stopCtx))
}

func (v *VM) leave() {
	event.VMStopping.Info(v.logger, "vm", v.settings.ID)
	v.loop.Leave()
	time.Sleep(v.settings.LeaveWait)
	ctx, cancel := context.WithTimeout(context.Background(), v.settings.DrainLimit)
	defer cancel()
	v.owner.Drain(ctx)
	v.caller.shutdown(ctx) // Waits for actions and lookups.
	v.services.Drain()
}

func (v *VM) closeListeners() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	v.caller.shutdown(ctx)
	v.operator.shutdown(ctx)
}

func (v *VM) supervisor() *suture.Supervisor {
	supervisor := suture.New("vm", suture.Spec{EventHook: func(e suture.Event) {
		event.ServiceRestarted.Warn(v.logger, "detail", e.String())
	}})
	v.caller.handler, v.caller.accept = v.readsBodies(v.callerRoutes()), v.bound(callersPart)
	v.peer.handler, v.peer.accept = v.readsBodies(v.peerRoutes()), v.bound(peersPart)
	v.operator.handler, v.operator.accept = v.readsBodies(v.operatorRoutes()), v.bound(operatorsPart)
	v.caller.useTLS(v.settings.TLSCertificate, v.settings.TLSKey)
	v.operator.useTLS(v.settings.TLSCertificate, v.settings.TLSKey)
	supervisor.Add(v.loop)
	supervisor.Add(periodic.New("sweeper", owner.SweepInterval, v.owner.Sweep))
	supervisor.Add(periodic.New("limits", limitsInterval, v.updateLimits))
	supervisor.Add(periodic.New("loads", loadsInterval, v.readLoads))
	supervisor.Add(periodic.New("orders", order.CheckInterval, v.orders.CheckAll))
	supervisor.Add(periodic.New("overdue connections", overdueInterval, v.closeOverdue))
	supervisor.Add(periodic.New("closed connections", closedReportInterval, v.reportClosed))
	supervisor.Add(v.peer)
	supervisor.Add(v.operator)
	supervisor.Add(v.caller)
	return supervisor
}

func (v *VM) callerRoutes() http.Handler {
	mux := http.NewServeMux()
	handler := &openai.Handler{
		Owner:         v.owner,
		Snapshot:      v.loop.Snapshot,
		RecordArrival: v.shares.RecordArrival,
		Sealer:        generation.Sealer{Key: v.settings.Key},
		Now:           time.Now,
	}
	handler.Register(mux)
	v.services.Register(mux)
	mux.HandleFunc("GET /v1/entries", locate.Handler(v.loop.Snapshot, time.Now))
	return mux
}

func (v *VM) peerRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wire.Path, &wire.Server{
		Key:         v.settings.Key,
		OnEntries:   func(_ string, entries []wire.Entry) []wire.Ack { return v.store.Apply(entries, time.Now()) },
		OnHandover:  v.owner.OnHandover,
		OnHeartbeat: v.loop.OnHeartbeat,
		OnContent:   v.loop.OnContent,
	})
	return mux
}

func (v *VM) operatorRoutes() http.Handler {
	mux := http.NewServeMux()
	handler := &admin.Handler{
		Publisher:     v.publisher,
		Loop:          v.loop,
		Fleet:         v.fleet,
		Owner:         v.owner,
		BootstrapHash: v.settings.BootstrapHash,
		Logger:        v.logger,
		Now:           time.Now,
	}
	handler.Register(mux)
	mux.HandleFunc("GET /metrics", v.writeMetrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /readyz", v.ready)
	if v.settings.Pprof {
		mux.HandleFunc("/debug/pprof/", pprof.Index)
		mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	}
	return mux
}

func (v *VM) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	active, kept := v.owner.Counts()
	running, waiting := v.gate.Load()
	set := metrics.NewSet()
	gauge := func(name string, value float64) {
		set.NewGauge(name, func() float64 { return value })
	}
	gauge("endivespoke_generations_active", float64(active))
	gauge("endivespoke_generations_kept", float64(kept))
	gauge("endivespoke_copies_held", float64(v.store.Len()))
	gauge("endivespoke_admission_running", float64(running))
	gauge("endivespoke_admission_waiting", float64(waiting))
	gauge("endivespoke_request_heads_bytes", float64(v.ports.HeldByHeads()))
	gauge("endivespoke_request_bodies_bytes", float64(v.bodies.Held()))
	for port, open := range v.ports.Open() {
		gauge(fmt.Sprintf("endivespoke_connections_open{port=%q}", port), float64(open))
	}
	gauge("endivespoke_peer_sent_bytes", float64(v.pool.SentBytes()))
	gauge("endivespoke_configuration_revision", float64(v.loop.Snapshot().Head.Revision))
	set.WritePrometheus(w)
	metrics.WritePrometheus(w, true)
}

type readiness struct {
	Ready    bool   `json:"ready"`
	Revision uint64 `json:"revision"`
	Leaving  bool   `json:"leaving"`
}

func (v *VM) ready(w http.ResponseWriter, _ *http.Request) {
	snapshot := v.loop.Snapshot()
	state := readiness{
		Ready:    snapshot.Accepting(time.Now()) && !snapshot.Leaving,
		Revision: snapshot.Head.Revision,
		Leaving:  snapshot.Leaving,
	}
	w.Header().Set("Content-Type", "application/json")
	if !state.Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(state) // The client may have disconnected.
}
