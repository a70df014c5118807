// Package entry implements one VM of the system on a platform that stores the
// configuration: it joins its peers, watches the store, accepts callers'
// requests and relays them to backend servers.
//
// # Usage
//
//	vm := entry.New(entry.Options{Settings: settings, Logger: logger, Configuration: table, ...})
//	err := vm.Serve(ctx)                        // until the context ends, then a graceful stop
//	err = vm.Handle(ctx, incoming, sink)        // one request, from any listener
//	addresses := vm.Locate()                    // addresses that callers may connect to
package entry

import (
	"context"
	cryptorand "crypto/rand"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/thejerf/suture/v4"

	"github.com/endivespoke/endivespoke/internal/backend/http1"
	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/backend/reach"
	"github.com/endivespoke/endivespoke/internal/config/routing"
	"github.com/endivespoke/endivespoke/internal/node/caller"
	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/node/periodic"
	"github.com/endivespoke/endivespoke/internal/node/rescue"
	"github.com/endivespoke/endivespoke/internal/peer/permit"
	"github.com/endivespoke/endivespoke/internal/peer/spread"
	"github.com/endivespoke/endivespoke/internal/peer/tunnel"
	"github.com/endivespoke/endivespoke/internal/peer/wire"
	"github.com/endivespoke/endivespoke/internal/request/accept"
	"github.com/endivespoke/endivespoke/internal/request/admission"
	"github.com/endivespoke/endivespoke/internal/request/budget"
	"github.com/endivespoke/endivespoke/internal/request/copies"
	"github.com/endivespoke/endivespoke/internal/request/crash"
	"github.com/endivespoke/endivespoke/internal/request/relay"
)

// Options configures a VM. The platform's adapter provides them.
type Options struct {
	Settings Settings
	Logger   hclog.Logger
	// Tables of the store, and the key of the configuration's row.
	Configuration    Table
	ConfigurationKey string
	Servers          Table
	VMs              Table
	Copies           Table
	Rollouts         RolloutStore
	// Codecs of the platform's rows and messages.
	DecodeConfiguration func(raw []byte) (*routing.Configuration, error)
	DecodeServer        func(id string, raw []byte) (pool.Server, bool)
	Encode              func(relay.Dispatch) *http.Request
	Decode              func(*http.Response) relay.Verdict
	// DecodeNotice reads what a server reports about itself in any response.
	DecodeNotice func(*http.Response) pool.ServerNotice
	IDHeader     string
	// DialServer opens a direct connection to a backend server; nil for http1.Dial.
	DialServer func(ctx context.Context, address string) (net.Conn, error)
	// EncodeMove encodes a request to stop a run and to move its memory to another server.
	// DecodeMove reads the handle under which the run can be continued there.
	EncodeMove func(runID string, to pool.Server) (request *http.Request, body []byte)
	// EncodeCopy encodes a request to copy the memory of a run that continues; DecodeMove
	// reads its response too. EncodeFree encodes a request to drop that copy.
	EncodeCopy func(runID string, to pool.Server) (request *http.Request, body []byte)
	EncodeFree func(handle string) *http.Request
	DecodeMove func(status int, body []byte) (handle string, err error)
	// EncodeIdentify encodes a request for a server's id at its service's health path.
	// DecodeIdentify reads the id, "" if there is none.
	EncodeIdentify func(healthPath string) *http.Request
	DecodeIdentify func(*http.Response) (id string)
}

// VM is safe for concurrent use.
type VM struct {
	options           Options
	settings          atomic.Pointer[Settings]
	logger            hclog.Logger
	spread            *spread.Spread
	peers             *wire.Pool
	servers           *pool.Pool
	connections       *http1.Pool
	reach             *reach.Dialer
	tunnels           *tunnel.Handler
	relay             *relay.Relay
	admitter          *admission.Admitter
	overloads         overloads
	copies            *copies.Copies
	crashes           *crash.Record
	rollouts          *rollouts
	counters          *counters
	bodies            *caller.Bodies
	answers           *caller.Bodies // What servers send, while it is read.
	callers           *caller.Connections
	ports             *caller.Ports
	unreachableTables atomic.Int64
	storeUnreachable  atomic.Bool
	ranked            rankCache
	serversRefresh    listRefresh
	storeEra          atomic.Uint64 // The newest era of the store that is known; 0 if none is.
	written           *writtenRows
	ambiguous         *ambiguousKeys
	copyIndexRead     atomic.Bool                     // The copies that earlier VMs stored are read, or can't be.
	lacksVersions     atomic.Bool                     // The store had no versions, and the other VMs have not all answered yet.
	storedKeys        atomic.Pointer[map[string]bool] // Of these copies; nil if they could not be read.
	started           time.Time
	probedAt          time.Time     // When servers were last probed; used by probeServers only.
	firstReady        chan struct{} // Closed when this VM first becomes ready.

	// stopContext ends the requests that are still running when the grace period is nearly over.
	stopContext    context.Context
	cancelRequests context.CancelCauseFunc

	mu           sync.Mutex
	localStreams localStreams
	budgets      map[string]*budget.Shared
	stop         *stop // Nil until SIGTERM.
	isClosed     bool  // No request is accepted any more.
	active       int
}

// New creates a VM. It is idle until Serve is called.
func New(options Options) *VM {
	v := &VM{
		options:      options,
		logger:       options.Logger,
		localStreams: localStreams{running: map[string]map[*relay.Request]spread.CopyLocation{}},
		budgets:      map[string]*budget.Shared{},
		counters:     newCounters(),
		overloads:    overloads{byService: map[string]*overload{}},
		started:      time.Now(),
		firstReady:   make(chan struct{}),
	}
	v.written = newWrittenRows(v)
	v.ambiguous = newAmbiguousKeys(v)
	v.settings.Store(&options.Settings)
	v.stopContext, v.cancelRequests = context.WithCancelCause(context.Background())
	v.bodies = caller.NewBodies(int64(bodiesFraction * float64(options.Settings.MemoryBytes)))
	v.bodies.FreeBytes = freeBodyBytes
	v.answers = caller.NewBodies(int64(answersFraction * float64(options.Settings.MemoryBytes)))
	v.answers.FreeBytes = freeAnswerBytes
	v.callers = caller.NewConnections(v.Now)
	v.ports = caller.NewPorts(v.Now, int64(caller.HeadsFraction*float64(options.Settings.MemoryBytes)))
	v.reach = v.newReach()
	v.tunnels = v.newTunnels()
	v.connections = http1.New(http1.Options{
		Dial:         v.reach.Dial,
		TakeMemory:   v.answers.Take,
		ReturnMemory: v.answers.Return,
		OnOpen:       func(string) { v.counters.connections.Inc() },
		IsLeaving:    v.isLeavingPeer,
	})
	v.admitter = v.newAdmitter()
	v.servers = pool.New(pool.Options{
		OnHeadroom: v.admitter.Wake,
		Now:        v.Now,
		Draw:       rand.Float64,
		Check:      v.connections.Check,
		HasIdle:    v.connections.HasIdle,
		CurrentRule: func(service string, rule pool.VersionRule) pool.VersionRule {
			return v.rollouts.follower.CurrentRule(service, rule)
		},
		Go:              func(do func()) { rescue.Go(v.logger, "check of a server", do) },
		OnDeparture:     v.serverLeaving,
		OnChange:        v.serverChanged,
		TakePermit:      v.takePermit,
		ObservePermit:   func(observation permit.Observation) { v.spread.ObservePermit(observation) },
		AnnounceLimit:   func(server pool.Server, limit pool.ServerLimit) { v.spread.AnnounceLimit(server.Group(), limit) },
		OnLimit:         v.serverLimitChanged,
		IsDetour:        func() bool { return v.tunnels.Open() > 0 },
		AnnounceBackoff: func(backoff pool.Backoff) { v.spread.AnnounceBackoff(backoff) },
		OnBrittle: func(service string, tolerated int) {
			event.ServersBrittle.Warn(v.logger, "service", service, "tolerated", tolerated)
		},
		OnSent: func(sent pool.Sent) {
			event.LimitedSent.Info(v.logger, "server", sent.Server.ID, "limit", sent.Limit, "sent", sent.ByPurpose, "denied", sent.Denied)
		},
		Successors: pool.Successors{
			Identify:          v.identify,
			ListedAt:          func() time.Time { return v.spread.Snapshot().ServersAt },
			AddressReuseDelay: options.Settings.AddressReuseDelay,
			OnFound:           v.successorFound,
		},
		AnnounceLoss: func(server pool.Server, terminated bool) {
			v.spread.AnnounceLoss(server.Group(), spread.LossReport{ServerID: server.ID, Terminated: terminated})
		},
		AnnounceUp: func(server pool.Server) {
			v.spread.AnnounceLoss(server.Group(), spread.LossReport{ServerID: server.ID, Up: true})
		},
		Watches: func(group string) bool { return v.spread.Watches(group) },
	})
	v.peers = wire.NewPool(wire.PoolOptions{
		OnAcks: func(string, []wire.Ack) {},
		OnDown: func(string) {},
		Go:     func(do func()) { rescue.Go(v.logger, "connection to a peer", do) },
	})
	v.copies = copies.New(copies.Options{Now: v.Now})
	v.crashes = crash.New(v.crashOptions())
	v.spread = spread.New(v.spreadOptions())
	v.rollouts = newRollouts(v)
	v.relay = relay.New(relay.Options{
		Servers:            v.servers,
		Admitter:           v.admitter,
		Connections:        v.connections,
		Logger:             v.logger,
		Now:                v.Now,
		Encode:             options.Encode,
		Decode:             options.Decode,
		IDHeader:           options.IDHeader,
		ReadAnswer:         v.answers.Read,
		TakeMemory:         v.answers.Take,
		ReturnMemory:       v.answers.Return,
		Move:               v.move,
		Renewals:           relay.Renewals{Copy: v.copyRun, Free: v.freeCopy},
		Withdraw:           v.withdraw,
		WithdrawPreventive: v.withdrawPreventive,
		RetryAt:            func(service string) time.Time { return v.budgetOf(service).RetryAt() },
		Refund:             func(service string) { v.budgetOf(service).Refund() },
		Copies:             relay.Copies{Put: v.putCopy, Find: v.findCopy, AwaitAmbiguous: v.ambiguous.await, AwaitAnnounced: v.spread.FlushAnnouncements},
		Crashes: relay.Crashes{
			Interrupted:  v.crashes.Interrupted,
			Completed:    v.crashes.Completed,
			Check:        v.crashes.Check,
			Recheck:      v.crashes.Recheck,
			IsBlocked:    v.crashes.IsBlocked,
			Inconclusive: v.crashes.Inconclusive,
		},
		Versions:    relay.Versions{Choose: v.chooseVersion, Usual: v.rollouts.follower.Usual, Record: v.recordResult, Retired: v.rollouts.follower.Retired, RefreshList: v.refreshServers},
		Counts:      relay.Counts{Sent: v.counters.sent, EndedEarly: v.counters.runEnded, Resumed: v.counters.resumed},
		LoadAdded:   v.spread.AnnounceLoads,
		LoadReduced: v.spread.AnnounceLoadsLater,
	})
	return v
}

// Now returns the wall-clock time at the start plus the monotonic time since, so that
// wall-clock adjustments have no effect.
func (v *VM) Now() time.Time {
	return v.started.Add(time.Since(v.started))
}

func (v *VM) spreadOptions() spread.Options {
	s := v.settings.Load()
	return spread.Options{
		Self: spread.Member{
			ID:            s.Name + "." + cryptorand.Text()[:8],
			CallerAddress: s.CallerAddress,
			PeerAddress:   s.PeerAddress,
			FailureDomain: s.FailureDomain,
			Version:       1,
		},
		Seeds:               s.Seeds,
		Now:                 v.Now,
		Logger:              v.logger,
		Call:                v.callPeer,
		Post:                v.postPeer,
		Flush:               v.peers.Flush,
		Disconnect:          v.peers.Disconnect,
		DecodeConfiguration: v.options.DecodeConfiguration,
		ServerHeartbeat:     s.ServerHeartbeat,
		OnConfiguration:     v.configurationChanged,
		OnServers:           v.servers.Update,
		Loads:               v.servers.Loads,
		OnLoads:             v.servers.MergePeerLoads,
		Admission:           v.admitter.Reports,
		OnAdmission:         v.admitter.MergeReports,
		Copies:              v.recentCopyLocations,
		OnCopies:            v.mergeCopies,
		OnCrashes:           v.crashes.Merge,
		CrashesHash:         v.crashes.Digest,
		Crashes:             v.crashes.Recurring,
		OnLosses:            func(reports []spread.LossReport) { spread.ApplyLossReports(v.servers, reports) },
		OnMembersLost:       v.forgetPeers,
		FindCopies:          v.findCopyLocations,
		Versions:            v.knownVersions,
		OnVersions:          v.servers.AddVersions,
		Departures:          v.servers.Departures,
		OnDepartures:        v.servers.ApplyPeerDepartures,
		Limits:              v.servers.Limits,
		OnLimits:            v.servers.ApplyPeerLimits,
		OnBackoffs:          v.servers.ApplyPeerBackoffs,
		ServiceUsage:        v.serviceUsage,
		OnServiceUsage:      v.applyServiceUsage,
		OnCell:              v.cellChanged,
		OnEra:               v.raiseEra,
		Rollouts:            v.spreadRollouts(),
	}
}

// forgetPeers drops what VMs reported that went down.
func (v *VM) forgetPeers(peers []string) {
	v.servers.ForgetPeers(peers)
	v.admitter.ForgetPeers(peers)
}

func (v *VM) callPeer(ctx context.Context, peer, address string, body []byte) ([]byte, error) {
	reply, err := v.peers.Call(ctx, peer, address, wire.Frame{Sync: body})
	if err != nil {
		return nil, errors.Trace(err)
	}
	return reply.Sync, nil
}

func (v *VM) postPeer(peer, address string, body []byte) {
	v.peers.Post(peer, address, wire.Frame{Sync: body})
}

// PeerHandler returns the HTTP handler for other VMs.
func (v *VM) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wire.Path, &wire.Server{OnSync: v.spread.OnMessage})
	mux.Handle(tunnel.Path, v.tunnels)
	return mux
}

func (v *VM) configurationChanged(configuration *routing.Configuration) {
	capacities := map[string]pool.Capacity{}
	for _, service := range configuration.Services {
		capacity := pool.Capacity{CacheTokens: service.CacheTokens, SupportsCopies: service.SupportsCopies, SupportsMoves: service.SupportsMoves}
		capacity.UrgentRank, capacity.UrgentObjective = configuration.MostUrgent(service.Name)
		capacities[service.Name] = capacity
	}
	v.servers.SetCapacities(capacities)
}

// cellChanged applies the cell whose VMs and servers this VM shares its work with.
func (v *VM) cellChanged(cell, cells int) {
	v.servers.SetCell(cell, cells)
	if cells > 1 {
		event.CellChanged.Info(v.logger, "cell", cell, "cells", cells)
	}
}

func (v *VM) serverChanged(server pool.Server, down bool, reason string) {
	if down {
		v.connections.CloseIdle(server.Address)
		v.counters.serverDown(reason)
		event.ServerDown.Warn(v.logger, "server", server.ID, "address", server.Address, "failureDomain", server.FailureDomain, "reason", reason)
		return
	}
	event.ServerUp.Info(v.logger, "server", server.ID, "address", server.Address)
}

func (v *VM) serverLeaving(server pool.Server) {
	event.ServerSaidLeaving.Info(v.logger, "server", server.ID, "address", server.Address, "listedAsLeaving", server.Leaving,
		"serversAgeMillis", v.Now().Sub(v.spread.Snapshot().ServersAt).Milliseconds())
	v.spread.AnnounceDeparture(server.Group(), pool.Departure{ServerID: server.ID, Started: server.Started})
}

// budgetOf returns the service's retry budget, which all VMs share.
func (v *VM) budgetOf(service string) *budget.Shared {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.budgets[service]
	if known == nil {
		settings := v.settings.Load()
		known = budget.NewShared(budget.SharedOptions{
			Ratio:     settings.RetryFraction,
			Allowance: settings.RetryAllowance,
			Window:    settings.RetryWindow,
			Cells:     func() int { return v.spread.Snapshot().Cells },
			Now:       v.Now,

			KnownSince: v.started,
		})
		v.budgets[service] = known
	}
	return known
}

func (v *VM) withdraw(service string) bool {
	withdrawn := v.budgetOf(service).Withdraw()
	v.spread.AnnounceLoads()
	return withdrawn
}

func (v *VM) withdrawPreventive(service string) bool {
	withdrawn := v.budgetOf(service).WithdrawPreventive()
	v.spread.AnnounceLoads()
	return withdrawn
}

// move asks a server to move a run's memory.
func (v *VM) move(ctx context.Context, runID string, from, to pool.Server) (relay.Copy, error) {
	request, body := v.options.EncodeMove(runID, to)
	return v.transfer(ctx, pool.PurposeMove, request, body, from, to)
}

// copyRun asks a server to copy the memory of a run that continues.
func (v *VM) copyRun(ctx context.Context, runID string, from, to pool.Server) (relay.Copy, error) {
	request, body := v.options.EncodeCopy(runID, to)
	return v.transfer(ctx, pool.PurposeCopy, request, body, from, to)
}

// freeCopy asks the source of a copy to drop it.
func (v *VM) freeCopy(ctx context.Context, copied relay.Copy, from pool.Server) error {
	_, _, err := v.sendToServer(ctx, pool.PurposeFree, from, v.options.EncodeFree(copied.RunID), nil)
	return err
}

// transfer sends a server the request to move or copy a run's memory.
func (v *VM) transfer(ctx context.Context, purpose pool.Purpose, request *http.Request, body []byte, from, to pool.Server) (relay.Copy, error) {
	status, answer, err := v.sendToServer(ctx, purpose, from, request, body)
	if err != nil {
		return relay.Copy{}, err
	}
	var handle string
	if handle, err = v.options.DecodeMove(status, answer); err != nil {
		return relay.Copy{}, errors.Trace(err)
	}
	return relay.Copy{RunID: handle, ServerID: to.ID, Address: from.Address}, nil
}

// sendToServer sends a server a request of the VM's own, and reads the whole response so
// that the connection can be reused.
func (v *VM) sendToServer(ctx context.Context, purpose pool.Purpose, server pool.Server, request *http.Request, body []byte) (status int, answer []byte, err error) {
	serial, err := v.servers.TakePermit(server, purpose)
	if err != nil {
		return 0, nil, err
	}
	v.servers.RecordSent(server, purpose)
	v.counters.sent(purpose)
	response, err := v.connections.Send(ctx, http1.Request{Address: server.Address, HTTP: request, Body: body, IDHeader: v.options.IDHeader})
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	defer response.Close()
	notice := v.options.DecodeNotice(response.Response)
	notice.Shared = response.Via() != ""
	v.servers.ApplyNotice(server, notice)
	v.servers.ApplyLimit(server, pool.Reply{Purpose: purpose, Status: response.StatusCode, Permit: serial}, notice)
	answer, release, err := v.answers.Read(response.Body, maxMoveAnswerBytes)
	defer release()
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	response.MarkComplete()
	return response.StatusCode, answer, nil
}

// maxMoveAnswerBytes bounds a server's response to a move.
const maxMoveAnswerBytes = 64 << 10

// identify asks the process at a server's address for its id.
func (v *VM) identify(ctx context.Context, server pool.Server) (id string, err error) {
	configuration := v.spread.Snapshot().Configuration
	if configuration == nil {
		return "", errors.New("no configuration is known")
	}
	service, found := configuration.Service(server.Service)
	if !found || service.HealthPath == "" {
		return "", errors.Errorf("service %s has no health path", server.Service)
	}
	serial, err := v.servers.TakePermit(server, pool.PurposeIdentify)
	if err != nil {
		return "", err
	}
	v.servers.RecordSent(server, pool.PurposeIdentify)
	v.counters.sent(pool.PurposeIdentify)
	response, err := v.connections.Send(ctx, http1.Request{Address: server.Address, HTTP: v.options.EncodeIdentify(service.HealthPath), IDHeader: v.options.IDHeader})
	if err != nil {
		return "", errors.Trace(err)
	}
	defer response.Close()
	notice := v.options.DecodeNotice(response.Response)
	notice.Shared = response.Via() != ""
	reply := pool.Reply{Purpose: pool.PurposeIdentify, Status: response.StatusCode, Permit: serial}
	if id = v.options.DecodeIdentify(response.Response); id == server.ID {
		v.servers.ApplyLimit(server, reply, notice)
	} else {
		v.servers.ApplySuccessorNotice(id, reply, notice)
	}
	if notice.Leaving {
		return "", errors.New("the server process is leaving")
	}
	return id, nil
}

func (v *VM) successorFound(old, successor pool.Server, heardAgo time.Duration) {
	v.spread.AnnounceLoss(old.Group(), spread.LossReport{ServerID: old.ID, Terminated: true, SuccessorID: successor.ID})
	event.SuccessorFound.Info(v.logger, "server", old.ID, "successor", successor.ID, "address", successor.Address, "heardAgoMillis", heardAgo.Milliseconds(),
		"serversAgeMillis", v.Now().Sub(v.spread.Snapshot().ServersAt).Milliseconds())
}

// serviceUsage returns the use of the retry budgets that this VM announces to its peers.
func (v *VM) serviceUsage() []spread.ServiceUsage {
	v.mu.Lock()
	defer v.mu.Unlock()
	usages := []spread.ServiceUsage{}
	for service, known := range v.budgets {
		usages = append(usages, spread.ServiceUsage{Service: service, Usage: known.Usage()})
	}
	slices.SortFunc(usages, func(a, b spread.ServiceUsage) int { return strings.Compare(a.Service, b.Service) })
	return usages
}

func (v *VM) applyServiceUsage(peer string, usages []spread.ServiceUsage) {
	for _, usage := range usages {
		v.budgetOf(usage.Service).ApplyUsage(peer, usage.Usage)
	}
}

// Ready reports whether this VM takes requests. During startHold a VM with stale data is
// not ready, since the data may contain revoked keys and servers that have left. After
// that it takes requests also with stale data.
func (v *VM) Ready() bool {
	snapshot := v.spread.Snapshot()
	known := snapshot.Configuration != nil && snapshot.ServersKnown
	now, bound := v.Now(), v.settings.Load().ConfigApplyLimit
	if now.Before(v.started.Add(startHold)) && (now.Sub(snapshot.ConfigurationAt) > bound || now.Sub(snapshot.ServersAt) > bound) {
		return false
	}
	return known && v.copyIndexKnown() && v.rolloutsKnown() && !v.IsLeaving()
}

// copyIndexKnown reports whether the copies and versions that earlier VMs stored have been read, or the
// wait for them has timed out.
func (v *VM) copyIndexKnown() bool {
	return (v.copyIndexRead.Load() && !v.lacksVersions.Load()) || v.Now().After(v.started.Add(copyIndexReadTimeout))
}

// IsLeaving reports whether SIGTERM has been received.
func (v *VM) IsLeaving() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.stop != nil
}

// recheck checks servers that are down, and runs that were interrupted.
func (v *VM) recheck(ctx context.Context) {
	v.servers.Recheck(ctx)
	v.crashes.Poll()
}

// view returns the configuration under which requests are accepted.
func (v *VM) view() accept.View {
	snapshot := v.spread.Snapshot()
	return accept.View{
		Configuration: snapshot.Configuration,
		CurrentAt:     snapshot.ConfigurationAt,
		StaleAfter:    v.settings.Load().ConfigApplyLimit,
	}
}

func (v *VM) supervisor() *suture.Supervisor {
	supervisor := suture.New("vm", suture.Spec{EventHook: func(e suture.Event) {
		event.ServiceRestarted.Warn(v.logger, "detail", e.String())
	}})
	supervisor.Add(v.spread)
	supervisor.Add(&watcher{
		name: "configuration", vm: v, table: v.options.Configuration, lastPeerReplyAt: v.spread.LastPeerReplyAt, apply: v.applyConfiguration,
		currentAt: func(s *spread.Snapshot) time.Time { return s.ConfigurationAt },
		hasRows:   func(s *spread.Snapshot) bool { return s.Configuration != nil },
	})
	supervisor.Add(&watcher{
		name: "servers", vm: v, table: v.options.Servers, lastPeerReplyAt: v.spread.LastPeerReplyAt, apply: v.applyServers, interval: serversBatchDelay,
		currentAt: func(s *spread.Snapshot) time.Time { return s.ServersAt },
		hasRows:   func(s *spread.Snapshot) bool { return len(s.Servers) > 0 },
	})
	supervisor.Add(&discovery{vm: v})
	supervisor.Add(&copyIndex{vm: v})
	supervisor.Add(v.ambiguous)
	supervisor.Add(periodic.New("checks", recheckInterval, v.recheck))
	supervisor.Add(periodic.New("probes of servers", probeCheckInterval, v.probeServers))
	supervisor.Add(periodic.New("idle connections", idleCheckInterval, v.sweepConnections))
	supervisor.Add(periodic.New("callers' connections", idleCheckInterval, v.closeOverdue))
	supervisor.Add(periodic.New("closed connections", closedReportInterval, v.reportClosed))
	supervisor.Add(&readiness{vm: v})
	if v.settings.Load().Rollouts {
		supervisor.Add(v.rollouts)
		supervisor.Add(periodic.New("tallies of roll-outs", tallyInterval, v.rollouts.postTallies))
	}
	return supervisor
}

// countUnreachableTables counts the tables of the store that do not answer this VM. It announces
// to the peers when the first one is lost and when all answer again.
func (v *VM) countUnreachableTables(ctx context.Context, change int64) {
	unreachable := v.unreachableTables.Add(change) > 0
	if v.storeUnreachable.Swap(unreachable) != unreachable {
		v.spread.SetSelf(ctx, func(self *spread.Member) { self.StoreUnreachable = unreachable })
	}
}

// readiness announces to the peers whether this VM takes requests.
type readiness struct {
	vm        *VM
	announced bool // The last announced state.
	wasReady  bool // This VM has been ready before.
}

// String names the service in the supervisor's messages.
func (r *readiness) String() string {
	return "readiness"
}

// Serve runs until the context ends. It polls often until the VM is ready, so that
// readiness is announced at once: callers may have no other VM.
func (r *readiness) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		ready := r.vm.Ready()
		r.update(ready)
		r.vm.spread.SetSelf(ctx, func(self *spread.Member) { self.Ready = ready })
		if ready {
			sleep(ctx, readyPollInterval)
			continue
		}
		if r.vm.Now().Before(r.vm.started.Add(startHold)) {
			sleep(ctx, startPollInterval)
			continue
		}
		sleep(ctx, unreadyPollInterval)
	}
	return ctx.Err()
}

// update logs a change, and releases the held requests when the VM first becomes ready.
func (r *readiness) update(ready bool) {
	if ready == r.announced {
		return
	}
	r.announced = ready
	if ready && !r.wasReady {
		r.wasReady = true
		close(r.vm.firstReady)
	}
	snapshot := r.vm.spread.Snapshot()
	version := uint64(0)
	if snapshot.Configuration != nil {
		version = snapshot.Configuration.Version
	}
	event.ReadinessChanged.Info(r.vm.logger, "ready", ready, "configuration", version, "serversKnown", snapshot.ServersKnown,
		"copiesKnown", r.vm.copyIndexKnown(), "leaving", r.vm.IsLeaving(), "sinceStartMillis", r.vm.Now().Sub(r.vm.started).Milliseconds())
}

const (
	// recheckInterval is how often servers that are down are checked.
	recheckInterval = 200 * time.Millisecond
	// idleCheckInterval is how often idle connections are checked against their timeout.
	idleCheckInterval = 500 * time.Millisecond
	// startPollInterval, unreadyPollInterval and readyPollInterval are how often readiness
	// is checked: while requests are held for the start, after that, and once the VM is
	// ready. SIGTERM is announced at once.
	startPollInterval   = 5 * time.Millisecond
	unreadyPollInterval = 20 * time.Millisecond
	readyPollInterval   = 500 * time.Millisecond
)
