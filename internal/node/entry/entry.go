// Package entry is one VM of the system on a platform that holds the
// configuration: it joins the peers, watches the store, accepts callers'
// requests and relays them.
//
// # Usage
//
//	vm := entry.New(entry.Options{Settings: settings, Logger: logger, Configuration: table, ...})
//	err := vm.Serve(ctx, listeners...)          // until the context ends, then gracefully
//	err = vm.Handle(ctx, incoming, sink)        // one request, from any listener
//	addresses := vm.Locate(failureDomain)       // where callers may connect
package entry

import (
	"context"
	cryptorand "crypto/rand"
	"maps"
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
	"github.com/endivespoke/endivespoke/internal/config/routing"
	"github.com/endivespoke/endivespoke/internal/node/caller"
	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/node/periodic"
	"github.com/endivespoke/endivespoke/internal/node/rescue"
	"github.com/endivespoke/endivespoke/internal/peer/spread"
	"github.com/endivespoke/endivespoke/internal/peer/wire"
	"github.com/endivespoke/endivespoke/internal/request/accept"
	"github.com/endivespoke/endivespoke/internal/request/budget"
	"github.com/endivespoke/endivespoke/internal/request/copies"
	"github.com/endivespoke/endivespoke/internal/request/crash"
	"github.com/endivespoke/endivespoke/internal/request/relay"
)

// Options is what a platform's adapter gives a VM.
type Options struct {
	Settings Settings
	Logger   hclog.Logger
	// The tables of the store, and the row of the configuration.
	Configuration    Table
	ConfigurationKey string
	Servers          Table
	VMs              Table
	Copies           Table
	// How the platform's rows and messages are read and written.
	DecodeConfiguration func(raw []byte) (*routing.Configuration, error)
	DecodeServer        func(id string, raw []byte) (pool.Server, bool)
	Encode              func(relay.Dispatch) *http.Request
	Decode              func(*http.Response) relay.Verdict
	// DecodeNotice reads what a server says of itself in any answer.
	DecodeNotice func(*http.Response) pool.ServerNotice
	IDHeader     string
	// EncodeMove asks a server to stop a run and to move its memory; DecodeMove
	// reads the name under which the run goes on from there.
	EncodeMove func(runID string, to pool.Server) (request *http.Request, body []byte)
	// EncodeCopy asks it to copy the memory of a run that goes on, answered in the same
	// way, and EncodeFree to drop that copy.
	EncodeCopy func(runID string, to pool.Server) (request *http.Request, body []byte)
	EncodeFree func(handle string) *http.Request
	DecodeMove func(status int, body []byte) (handle string, err error)
	// EncodeIdentify asks a server for its id, at its service's health path;
	// DecodeIdentify reads the id, "" if there is none.
	EncodeIdentify func(healthPath string) *http.Request
	DecodeIdentify func(*http.Response) (id string)
}

// VM is safe for concurrent use.
type VM struct {
	options     Options
	settings    atomic.Pointer[Settings]
	logger      hclog.Logger
	spread      *spread.Spread
	peers       *wire.Pool
	servers     *pool.Pool
	connections *http1.Pool
	relay       *relay.Relay
	copies      *copies.Copies
	crashes     *crash.Record
	counters    *counters
	bodies      *caller.Bodies
	answers     *caller.Bodies // Of plain requests, while they are read.
	callers     *caller.Connections
	tablesLost  atomic.Int64
	storeLost   atomic.Bool
	ranked      rankCache
	announced   atomic.Bool // This VM has a row in the store.
	copiesRead  atomic.Bool // What the VMs before this one knew of copies is known, or can't be.
	started     time.Time
	ready       chan struct{} // Closed when this VM takes requests for the first time.

	// cutting ends the streams of a VM that has to end before they do.
	cutting context.Context
	cut     context.CancelCauseFunc

	mu        sync.Mutex
	copied    map[string]spread.CopyLocation // Of the streams that run here, by CopyKey.
	budgets   map[string]*budget.Shared
	leavingAt time.Time // Zero until SIGTERM.
	active    int
}

// New makes a VM. It does nothing until it is served.
func New(options Options) *VM {
	v := &VM{
		options:  options,
		logger:   options.Logger,
		copied:   map[string]spread.CopyLocation{},
		budgets:  map[string]*budget.Shared{},
		counters: newCounters(),
		started:  time.Now(),
		ready:    make(chan struct{}),
	}
	v.settings.Store(&options.Settings)
	v.cutting, v.cut = context.WithCancelCause(context.Background())
	v.bodies = caller.NewBodies(int64(bodiesPart * float64(options.Settings.MemoryBytes)))
	v.answers = caller.NewBodies(int64(answersPart * float64(options.Settings.MemoryBytes)))
	v.callers = caller.NewConnections(v.Now)
	v.connections = http1.New(http1.Options{OnOpen: func(string) { v.counters.connections.Inc() }})
	v.servers = pool.New(pool.Options{
		Now:         v.Now,
		Draw:        rand.Float64,
		Check:       v.connections.Check,
		HasIdle:     v.connections.HasIdle,
		Go:          func(do func()) { rescue.Go(v.logger, "check of a server", do) },
		OnDeparture: v.serverSaidLeaving,
		OnChange:    v.serverChanged,
		Successors: pool.Successors{
			Identify:          v.identify,
			ListedAt:          func() time.Time { return v.spread.Snapshot().ServersAt },
			AddressReuseDelay: options.Settings.AddressReuseDelay,
			OnFound:           v.successorFound,
		},
		AnnounceLoss: func(server pool.Server, ended bool) {
			v.spread.AnnounceLoss(server.Group(), spread.LossReport{ServerID: server.ID, Terminated: ended})
		},
		AnnounceUp: func(server pool.Server) {
			v.spread.AnnounceLoss(server.Group(), spread.LossReport{ServerID: server.ID, Up: true})
		},
		Watches: func(group string) bool { return v.spread.Watches(group) },
	})
	v.peers = wire.NewPool(wire.PoolOptions{
		Self:   options.Settings.Name,
		OnAcks: func(string, []wire.Ack) {},
		OnDown: func(string) {},
		Go:     func(do func()) { rescue.Go(v.logger, "connection to a peer", do) },
	})
	v.copies = copies.New(copies.Options{Now: v.Now})
	v.crashes = crash.New(crash.Options{
		Now:              v.Now,
		Announce:         func(note crash.Report) { v.spread.AnnounceCrash(note) },
		HasTerminated:    v.servers.HasTerminated,
		CorrelatedLosses: v.servers.CorrelatedLosses,
		OnTerminated: func(content string, server pool.Server, after time.Duration) {
			event.EndHeldAgainst.Info(v.logger, "content", content, "server", server.ID, "afterMillis", after.Milliseconds())
		},
		OnDismissed: func(content, reason string) {
			event.EndsCleared.Info(v.logger, "content", content, "reason", reason)
		},
		OnBlocked: func(content string, ends int) {
			event.ContentRefused.Warn(v.logger, "content", content, "servers", ends)
		},
	})
	v.spread = spread.New(v.spreadOptions())
	v.relay = relay.New(relay.Options{
		Servers:            v.servers,
		Connections:        v.connections,
		Logger:             v.logger,
		Now:                v.Now,
		Encode:             options.Encode,
		Decode:             options.Decode,
		IDHeader:           options.IDHeader,
		ReadAnswer:         v.answers.Read,
		Move:               v.move,
		Renewals:           relay.Renewals{Copy: v.copyRun, Free: v.freeCopy},
		Withdraw:           v.spend,
		WithdrawPreventive: v.spendSpare,
		Refund:             func(service string) { v.budgetOf(service).Refund() },
		Copies:             relay.Copies{Put: v.putCopy, Find: v.findCopy},
		Crashes: relay.Crashes{
			Interrupted:  v.crashes.Interrupted,
			Completed:    v.crashes.Completed,
			BlockedUntil: v.crashes.BlockedUntil,
		},
		Counts:      relay.Counts{EndedEarly: v.counters.runEnded, Resumed: v.counters.resumed},
		LoadAdded:   v.spread.AnnounceLoads,
		LoadReduced: v.spread.AnnounceLoadsLater,
	})
	return v
}

// Now is a time of the steady clock: the time of day at the start plus what has
// passed since, so that steps of the time of day don't show.
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
		Disconnect:          v.peers.Disconnect,
		DecodeConfiguration: v.options.DecodeConfiguration,
		ServerHeartbeat:     s.ServerHeartbeat,
		OnConfiguration:     v.configurationChanged,
		OnServers:           v.servers.Update,
		Loads:               v.servers.Loads,
		OnLoads:             v.servers.MergePeerLoads,
		Copies:              v.copiesOfRunning,
		OnCopies:            v.heardCopies,
		OnCrashes:           v.crashes.Merge,
		CrashesHash:         v.crashes.Digest,
		Crashes:             v.crashes.Recurring,
		OnLosses:            func(notes []spread.LossReport) { spread.ApplyLossReports(v.servers, notes) },
		OnMembersLost:       v.servers.ForgetPeers,
		FindCopies:          v.knownCopies,
		Departures:          v.servers.Departures,
		OnDepartures:        v.servers.ApplyPeerDepartures,
		ServiceUsage:        v.uses,
		OnServiceUsage:      v.heardUses,
		OnCell:              v.cellChanged,
	}
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

// PeerHandler answers other VMs.
func (v *VM) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wire.Path, &wire.Server{OnSync: v.spread.OnMessage})
	return mux
}

func (v *VM) configurationChanged(configuration *routing.Configuration) {
	rooms := map[string]pool.Capacity{}
	for _, service := range configuration.Services {
		rooms[service.Name] = pool.Capacity{CacheTokens: service.CacheTokens, SupportsCopies: service.SupportsCopies, SupportsMoves: service.SupportsMoves}
	}
	v.servers.SetCapacities(rooms)
}

// cellChanged takes in which VMs and servers this VM shares its work with.
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

func (v *VM) serverSaidLeaving(server pool.Server) {
	event.ServerSaidLeaving.Info(v.logger, "server", server.ID, "address", server.Address, "listedAsLeaving", server.Leaving,
		"serversAgeMillis", v.Now().Sub(v.spread.Snapshot().ServersAt).Milliseconds())
	v.spread.AnnounceDeparture(server.Group(), pool.Departure{ServerID: server.ID, Started: server.Started})
}

// noteOf is how VMs tell each other of a copy, and copyOf the reverse.
func noteOf(copyKey string, copied relay.Copy) spread.CopyLocation {
	return spread.CopyLocation{CopyKey: copyKey, RunID: copied.RunID, ServerID: copied.ServerID, Address: copied.Address}
}

func copyOf(note spread.CopyLocation) relay.Copy {
	return relay.Copy{RunID: note.RunID, ServerID: note.ServerID, Address: note.Address}
}

func (v *VM) putCopy(copyKey string, copied relay.Copy) {
	v.copies.Put(copyKey, copied)
	note := noteOf(copyKey, copied)
	v.mu.Lock()
	v.copied[copyKey] = note
	v.mu.Unlock()
	v.spread.AnnounceCopy(note)
}

// forgetCopy ends the telling of a stream's copy once the stream has ended here.
func (v *VM) forgetCopy(copyKey string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.copied, copyKey)
}

// copiesOfRunning are those that another VM needs if this one is lost.
func (v *VM) copiesOfRunning() []spread.CopyLocation {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Collect(maps.Values(v.copied))
}

func (v *VM) heardCopies(notes []spread.CopyLocation) {
	for _, note := range notes {
		v.copies.Put(note.CopyKey, copyOf(note))
	}
}

// findCopy gives the copy of a stream that ran here, or at another VM of this cell. The
// keepers may know of others.
func (v *VM) findCopy(ctx context.Context, copyKey string) (copied relay.Copy, found bool) {
	if copied, found = v.copies.Find(copyKey); found {
		return copied, true
	}
	note, found := v.spread.LocateCopy(ctx, copyKey)
	return copyOf(note), found
}

func (v *VM) knownCopies(keys []string) []spread.CopyLocation {
	notes := []spread.CopyLocation{}
	for _, key := range keys {
		if copied, found := v.copies.Find(key); found {
			notes = append(notes, noteOf(key, copied))
		}
	}
	return notes
}

// budgetOf gives the service's budget for repeats, which all VMs share.
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
		})
		v.budgets[service] = known
	}
	return known
}

func (v *VM) spend(service string) bool {
	spent := v.budgetOf(service).Withdraw()
	v.spread.AnnounceLoads()
	return spent
}

func (v *VM) spendSpare(service string) bool {
	spent := v.budgetOf(service).WithdrawPreventive()
	v.spread.AnnounceLoads()
	return spent
}

// move asks a server to move a run's memory.
func (v *VM) move(ctx context.Context, runID string, from, to pool.Server) (relay.Copy, error) {
	request, body := v.options.EncodeMove(runID, to)
	return v.transfer(ctx, request, body, from, to)
}

// copyRun asks a server to copy the memory of a run that goes on.
func (v *VM) copyRun(ctx context.Context, runID string, from, to pool.Server) (relay.Copy, error) {
	request, body := v.options.EncodeCopy(runID, to)
	return v.transfer(ctx, request, body, from, to)
}

// freeCopy asks the source of a copy to drop it.
func (v *VM) freeCopy(ctx context.Context, copied relay.Copy, from pool.Server) error {
	_, _, err := v.askServer(ctx, from, v.options.EncodeFree(copied.RunID), nil)
	return err
}

// transfer sends a server the request to move or copy a run's memory.
func (v *VM) transfer(ctx context.Context, request *http.Request, body []byte, from, to pool.Server) (relay.Copy, error) {
	status, answer, err := v.askServer(ctx, from, request, body)
	if err != nil {
		return relay.Copy{}, err
	}
	var handle string
	if handle, err = v.options.DecodeMove(status, answer); err != nil {
		return relay.Copy{}, errors.Trace(err)
	}
	return relay.Copy{RunID: handle, ServerID: to.ID, Address: from.Address}, nil
}

// askServer sends a server a request that is no caller's, and reads the whole answer, so
// that the connection is kept.
func (v *VM) askServer(ctx context.Context, server pool.Server, request *http.Request, body []byte) (status int, answer []byte, err error) {
	response, err := v.connections.Send(ctx, http1.Request{Address: server.Address, HTTP: request, Body: body})
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	defer response.Close()
	v.servers.ApplyNotice(server, v.options.DecodeNotice(response.Response))
	if answer, err = response.ReadAll(moveAnswerLimit); err != nil {
		return 0, nil, errors.Trace(err)
	}
	return response.StatusCode, answer, nil
}

// moveAnswerLimit bounds a server's answer to a move, in bytes.
const moveAnswerLimit = 64 << 10

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
	response, err := v.connections.Send(ctx, http1.Request{Address: server.Address, HTTP: v.options.EncodeIdentify(service.HealthPath)})
	if err != nil {
		return "", errors.Trace(err)
	}
	defer response.Close()
	if v.options.DecodeNotice(response.Response).Leaving {
		return "", errors.New("the process there is leaving")
	}
	return v.options.DecodeIdentify(response.Response), nil
}

func (v *VM) successorFound(old, successor pool.Server, heardAgo time.Duration) {
	v.spread.AnnounceLoss(old.Group(), spread.LossReport{ServerID: old.ID, Terminated: true, SuccessorID: successor.ID})
	event.SuccessorFound.Info(v.logger, "server", old.ID, "successor", successor.ID, "address", successor.Address, "heardAgoMillis", heardAgo.Milliseconds(),
		"serversAgeMillis", v.Now().Sub(v.spread.Snapshot().ServersAt).Milliseconds())
}

// uses is what this VM tells others of its budgets.
func (v *VM) uses() []spread.ServiceUsage {
	v.mu.Lock()
	defer v.mu.Unlock()
	uses := []spread.ServiceUsage{}
	for service, known := range v.budgets {
		uses = append(uses, spread.ServiceUsage{Service: service, Usage: known.Usage()})
	}
	slices.SortFunc(uses, func(a, b spread.ServiceUsage) int { return strings.Compare(a.Service, b.Service) })
	return uses
}

func (v *VM) heardUses(peer string, uses []spread.ServiceUsage) {
	for _, use := range uses {
		v.budgetOf(use.Service).ApplyUsage(peer, use.Usage)
	}
}

// Locate lists the callers' addresses of the VMs that take requests. If there
// are more than an answer holds, each answer has others.
func (v *VM) Locate() []string {
	snapshot := v.spread.Snapshot()
	addresses := []string{}
	for _, member := range snapshot.Live {
		if member.Ready && !member.Leaving {
			addresses = append(addresses, member.CallerAddress)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(maxLocated, len(addresses))]
}

// maxLocated is the most addresses that callers take from one answer.
const maxLocated = 64

// LocateTTL is how long a locate answer may be kept. It is short, so that a VM
// that leaves gets no new connections soon; some callers keep it three times as long.
func (v *VM) LocateTTL() time.Duration {
	return min(time.Second, v.settings.Load().MaxLocateTTL)
}

// Ready reports whether this VM takes requests. One that has just started doesn't with an
// outdated picture, which may have keys that are withdrawn and servers that have left, until
// it has had the time to get a newer one.
func (v *VM) Ready() bool {
	snapshot := v.spread.Snapshot()
	known := snapshot.Configuration != nil && snapshot.ServersKnown
	now, bound := v.Now(), v.settings.Load().ConfigApplyLimit
	if now.Before(v.started.Add(startHold)) && (now.Sub(snapshot.ConfigurationAt) > bound || now.Sub(snapshot.ServersAt) > bound) {
		return false
	}
	return known && v.copiesKnown() && !v.IsLeaving()
}

// copiesKnown reports whether what the VMs before this one knew of copies is known, or
// is not waited for any longer.
func (v *VM) copiesKnown() bool {
	return v.copiesRead.Load() || v.Now().After(v.started.Add(keptReadLimit))
}

// IsLeaving reports whether SIGTERM came.
func (v *VM) IsLeaving() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.leavingAt.IsZero()
}

// TrackCaller is for the ConnState field of the server of callers' requests.
func (v *VM) TrackCaller(connection net.Conn, state http.ConnState) {
	v.callers.Track(connection, state)
}

// closeIdleCallers closes callers' connections that were idle for too long under
// the configuration in force.
func (v *VM) closeIdleCallers(context.Context) {
	if configuration := v.spread.Snapshot().Configuration; configuration != nil {
		v.callers.CloseIdle(configuration.Limits.IdleTimeout)
	}
}

// recheck looks at servers that are down, and at runs that were cut.
func (v *VM) recheck(ctx context.Context) {
	v.servers.Recheck(ctx)
	v.crashes.Poll()
}

// picture is the configuration that requests are accepted under.
func (v *VM) picture() accept.View {
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
		name: "configuration", vm: v, table: v.options.Configuration, peerHeardAt: v.spread.LastPeerReplyAt, learn: v.learnConfiguration,
		age:   func(s *spread.Snapshot) time.Time { return s.ConfigurationAt },
		found: func(s *spread.Snapshot) bool { return s.Configuration != nil },
	})
	supervisor.Add(&watcher{
		name: "servers", vm: v, table: v.options.Servers, peerHeardAt: v.spread.LastPeerReplyAt, learn: v.learnServers, pause: serversPause,
		age:   func(s *spread.Snapshot) time.Time { return s.ServersAt },
		found: func(s *spread.Snapshot) bool { return len(s.Servers) > 0 },
	})
	supervisor.Add(&discovery{vm: v})
	supervisor.Add(&keeper{vm: v})
	supervisor.Add(periodic.New("checks", checksEvery, v.recheck))
	supervisor.Add(periodic.New("idle connections", idleEvery, func(context.Context) { v.connections.Sweep() }))
	supervisor.Add(periodic.New("callers' connections", idleEvery, v.closeIdleCallers))
	supervisor.Add(&readiness{vm: v})
	return supervisor
}

// countLost counts the tables of the store that don't answer this VM, and tells the others
// whether there are any, if that changed.
func (v *VM) countLost(ctx context.Context, change int64) {
	lost := v.tablesLost.Add(change) > 0
	if v.storeLost.Swap(lost) != lost {
		v.spread.SetSelf(ctx, func(self *spread.Member) { self.StoreUnreachable = lost })
	}
}

// readiness tells the others whether this VM takes requests.
type readiness struct {
	vm   *VM
	told bool // What was told last.
	been bool // It has been ready.
}

// String names the service in the supervisor's messages.
func (r *readiness) String() string {
	return "readiness"
}

// Serve runs until the context ends. A VM that became ready is told soon: callers
// may know of no other.
func (r *readiness) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		ready := r.vm.Ready()
		r.note(ready)
		r.vm.spread.SetSelf(ctx, func(self *spread.Member) { self.Ready = ready })
		if ready {
			pause(ctx, readyPause)
			continue
		}
		if r.vm.Now().Before(r.vm.started.Add(startHold)) {
			pause(ctx, startPause)
			continue
		}
		pause(ctx, unreadyPause)
	}
	return ctx.Err()
}

// note logs a change, and lets the requests in that wait for the first one.
func (r *readiness) note(ready bool) {
	if ready == r.told {
		return
	}
	r.told = ready
	if ready && !r.been {
		r.been = true
		close(r.vm.ready)
	}
	snapshot := r.vm.spread.Snapshot()
	version := uint64(0)
	if snapshot.Configuration != nil {
		version = snapshot.Configuration.Version
	}
	event.ReadinessChanged.Info(r.vm.logger, "ready", ready, "configuration", version, "serversKnown", snapshot.ServersKnown,
		"copiesKnown", r.vm.copiesKnown(), "leaving", r.vm.IsLeaving(), "sinceStartMillis", r.vm.Now().Sub(r.vm.started).Milliseconds())
}

const (
	// checksEvery is how often servers that are down are looked at.
	checksEvery = 200 * time.Millisecond
	// idleEvery is how often idle connections are looked at.
	idleEvery = 500 * time.Millisecond
	// startPause, unreadyPause and readyPause are how often it is looked whether this VM
	// takes requests: while requests wait for its start, later, and once it does. SIGTERM
	// is told at once.
	startPause   = 5 * time.Millisecond
	unreadyPause = 20 * time.Millisecond
	readyPause   = 500 * time.Millisecond
)
