package traffic

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/placement"
	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/config/routing"
	"github.com/endivespoke/endivespoke/internal/peer/spread"
	"github.com/endivespoke/endivespoke/internal/request/crash"
)

const (
	// networkDelay is the one-way delay of messages and connections.
	networkDelay = time.Millisecond
	// heartbeatInterval is the interval at which readers read servers' heartbeats.
	heartbeatInterval = 350 * time.Millisecond
	// recheckInterval is the interval at which a VM checks the servers that are down.
	recheckInterval = 200 * time.Millisecond
	// The first seedCount VMs are seeds, and the first readerCount read the store.
	seedCount   = 3
	readerCount = 2
	service     = "model"
)

// The load and the streams of the users' largest site: 73 streams per second on 295 VMs.
const (
	streamInterval  = 4 * time.Second
	firstEventDelay = 1200 * time.Millisecond
	streamDuration  = 4 * time.Second
	promptTokens    = 5200
	outputTokens    = 1170
)

// fleet simulates the VMs, the network between them and the servers.
type fleet struct {
	ctx     context.Context
	options Options
	servers []pool.Server

	mu      sync.Mutex
	vms     map[string]*vm      // By address.
	down    bool                // The servers of failure domain "0" refuse connections.
	version spread.StoreVersion // Of the list of servers.
	counts  map[string]Count
	checks  int
	started int
}

// vm is one VM: its pool and its spread, connected as in package entry.
type vm struct {
	*spread.Spread
	id      string
	address string
	servers *pool.Pool
	stop    context.CancelFunc

	mu     sync.Mutex
	leases map[*pool.Lease]bool
}

func newFleet(ctx context.Context, options Options) *fleet {
	f := &fleet{ctx: ctx, options: options, vms: map[string]*vm{}, counts: map[string]Count{}, version: spread.StoreVersion{Era: 1, Rev: 1}}
	for i := range options.Servers {
		f.servers = append(f.servers, serverAt(i))
	}
	return f
}

func serverAt(i int) pool.Server {
	return pool.Server{
		ID: fmt.Sprint("server-", i), Address: fmt.Sprintf("10.1.%d.%d:80", i/250, i%250),
		Service: service, FailureDomain: fmt.Sprint(i % failureDomains), Slots: 8,
	}
}

func addressOf(i int) string {
	return fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)
}

// start starts a VM, or a new process at its address.
func (f *fleet) start(i int) *vm {
	ctx, stop := context.WithCancel(f.ctx)
	f.mu.Lock()
	f.started++
	v := &vm{id: fmt.Sprintf("vm-%d.%d", i, f.started), address: addressOf(i), stop: stop, leases: map[*pool.Lease]bool{}}
	f.mu.Unlock()
	v.servers = pool.New(pool.Options{
		Now:   time.Now,
		Draw:  func() float64 { return 0.5 },
		Check: f.check,
		Successors: pool.Successors{
			Identify: func(context.Context, pool.Server) (string, error) { return "", errors.New("not simulated") },
			ListedAt: time.Now,
			OnFound:  func(pool.Server, pool.Server, time.Duration) {},
		},
		AnnounceLoss: func(s pool.Server, ended bool) {
			v.AnnounceLoss(s.Group(), spread.LossReport{ServerID: s.ID, Terminated: ended})
		},
		AnnounceUp: func(s pool.Server) { v.AnnounceLoss(s.Group(), spread.LossReport{ServerID: s.ID, Up: true}) },
		Watches:    func(group string) bool { return v.Watches(group) },
	})
	v.Spread = spread.New(f.spreadOptions(v, i))
	v.servers.SetCapacities(map[string]pool.Capacity{service: {CacheTokens: 55_000, SupportsCopies: true, SupportsMoves: true}})
	f.mu.Lock()
	f.vms[v.address] = v
	f.mu.Unlock()
	go func() { _ = v.Serve(ctx) }()
	go v.recheck(ctx)
	return v
}

func (f *fleet) spreadOptions(v *vm, i int) spread.Options {
	seeds := []string{}
	for seed := range min(seedCount, f.options.VMs) {
		seeds = append(seeds, addressOf(seed))
	}
	return spread.Options{
		Self:   spread.Member{ID: v.id, PeerAddress: v.address, FailureDomain: fmt.Sprint(i % failureDomains), Version: 1, Ready: true},
		Seeds:  seeds,
		Now:    time.Now,
		Logger: hclog.NewNullLogger(),
		Call: func(ctx context.Context, _, address string, body []byte) ([]byte, error) {
			return f.call(ctx, address, body)
		},
		Post:       func(_, address string, body []byte) { f.post(address, body) },
		Disconnect: func(string) {},
		DecodeConfiguration: func(raw []byte) (*routing.Configuration, error) {
			text, _, _ := strings.Cut(string(raw), " ")
			version, err := strconv.ParseUint(text, 10, 64)
			return routing.New(routing.Content{Version: version}), errors.Trace(err)
		},
		OnConfiguration: func(*routing.Configuration) {},
		OnServers:       v.servers.Update,
		Loads:           v.servers.Loads,
		OnLoads:         v.servers.MergePeerLoads,
		Copies:          func() []spread.CopyLocation { return nil },
		OnCopies:        func([]spread.CopyLocation) {},
		OnCrashes:       func([]crash.Report) {},
		OnLosses:        func(notes []spread.LossReport) { spread.ApplyLossReports(v.servers, notes) },
		OnMembersLost:   v.servers.ForgetPeers,
		FindCopies:      func([]spread.CopyQuery) ([]spread.CopyLocation, bool) { return nil, true },
		Departures:      v.servers.Departures,
		OnDepartures:    v.servers.ApplyPeerDepartures,
		ServiceUsage:    func() []spread.ServiceUsage { return nil },
		OnServiceUsage:  func(string, []spread.ServiceUsage) {},
		OnCell:          v.servers.SetCell,
	}
}

func (v *vm) recheck(ctx context.Context) {
	ticker := time.NewTicker(recheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			v.servers.Recheck(ctx)
		}
	}
}

// leave announces that the VM is leaving, and stops it after half of leaveDuration.
func (v *vm) leave(ctx context.Context) {
	v.SetSelf(ctx, func(self *spread.Member) { self.Ready, self.Leaving = false, true })
	time.AfterFunc(leaveDuration/2, v.stop)
}

// call delivers a message to a VM and returns its answer. Both are counted.
func (f *fleet) call(ctx context.Context, address string, body []byte) ([]byte, error) {
	f.count(body)
	time.Sleep(networkDelay)
	to := f.vmAt(address)
	if to == nil {
		return nil, errors.Errorf("no VM is at %s", address)
	}
	answer := to.OnMessage(body)
	if len(answer) > 0 {
		f.count(answer)
	}
	time.Sleep(networkDelay)
	return answer, ctx.Err()
}

func (f *fleet) post(address string, body []byte) {
	f.count(body)
	go func() {
		time.Sleep(networkDelay)
		if to := f.vmAt(address); to != nil {
			to.OnMessage(body)
		}
	}()
}

func (f *fleet) vmAt(address string) *vm {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms[address]
}

func (f *fleet) vmByIndex(i int) *vm {
	return f.vmAt(addressOf(i))
}

func (f *fleet) all() []*vm {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Values(f.vms))
}

func (f *fleet) count(body []byte) {
	kind := spread.KindOf(body)
	f.mu.Lock()
	defer f.mu.Unlock()
	count := f.counts[kind]
	count.Messages++
	count.Bytes += len(body)
	f.counts[kind] = count
}

func (f *fleet) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts, f.checks = map[string]Count{}, 0
}

func (f *fleet) snapshotCounts() (counts map[string]Count, checks int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.counts), f.checks
}

// check simulates opening a connection to a server.
func (f *fleet) check(_ context.Context, address string) error {
	time.Sleep(2 * networkDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	index := slices.IndexFunc(f.servers, func(s pool.Server) bool { return s.Address == address })
	f.checks++
	if f.down && f.servers[index].FailureDomain == "0" {
		return errors.Trace(syscall.ECONNREFUSED)
	}
	return nil
}

func (f *fleet) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *fleet) readers(do func(*vm)) {
	for i := range min(readerCount, f.options.VMs) {
		do(f.vmByIndex(i))
	}
}

// serverRows returns the store's list of servers.
func (f *fleet) serverRows() spread.StoreRows {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := spread.StoreRows{Version: f.version, Full: true}
	for _, s := range f.servers {
		rows.Rows = append(rows.Rows, spread.ServerRow{Server: s, Changed: f.version.Rev})
	}
	return rows
}

// restoreServers begins a new era, whose list has one more server.
func (f *fleet) restoreServers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version = spread.StoreVersion{Era: f.version.Era + 1, Rev: 1}
	f.servers = append(f.servers, serverAt(len(f.servers)))
}

// publish delivers a configuration to the readers. It has about 20 KB, as users' have.
func (f *fleet) publish(version uint64) {
	raw := []byte(fmt.Sprint(version, " ", strings.Repeat("route ", 3500)))
	f.readers(func(v *vm) { v.ApplyConfiguration(f.ctx, raw, time.Now()) })
}

// sendHeartbeats delivers newer versions of the unchanged list to the readers.
func (f *fleet) sendHeartbeats() {
	for f.ctx.Err() == nil {
		f.mu.Lock()
		f.version.Rev++
		rows := spread.StoreRows{Version: f.version}
		f.mu.Unlock()
		f.readers(func(v *vm) {
			v.ApplyServers(f.ctx, rows, time.Now())
			v.ApplyConfiguration(f.ctx, nil, time.Now())
		})
		time.Sleep(heartbeatInterval)
	}
}

// runStreams starts a stream on a VM every streamInterval.
func (f *fleet) runStreams(i int) {
	time.Sleep(time.Duration(f.randomFraction(i) * float64(streamInterval)))
	for n := 0; f.ctx.Err() == nil; n++ {
		v := f.vmByIndex(i)
		go v.runStream(fmt.Sprintf("stream-%d-%d", i, n))
		time.Sleep(streamInterval)
	}
}

// runStream simulates a stream to its end. If its server is lost, it continues on another.
func (v *vm) runStream(key string) {
	demand := placement.Demand{PromptTokens: promptTokens, OutputTokens: outputTokens}
	for deadline := time.Now().Add(streamDuration); time.Now().Before(deadline); {
		lease, holder, err := v.servers.AcquireForStream(pool.Criteria{Service: service, Demand: demand})
		if err != nil {
			time.Sleep(recheckInterval)
			continue
		}
		v.trackLease(lease, true)
		location := spread.CopyLocation{CopyKey: key, Origin: key}
		if holder != nil {
			location = spread.CopyLocation{CopyKey: key, RunID: key, ServerID: holder.ID, Address: holder.Address}
		}
		v.AnnounceCopy(location)
		v.AnnounceLoads()
		select {
		case <-lease.Down:
		case <-time.After(firstEventDelay):
			lease.MarkStarted()
			v.AnnounceLoadsLater()
			select {
			case <-lease.Down:
			case <-time.After(time.Until(deadline)):
			}
		}
		v.trackLease(lease, false)
		lease.Release()
		v.AnnounceLoadsLater()
	}
}

func (v *vm) trackLease(lease *pool.Lease, running bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if running {
		v.leases[lease] = true
	} else {
		delete(v.leases, lease)
	}
}

// breakStreams reports broken connections for the streams on servers of failure domain "0".
func (v *vm) breakStreams() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for lease := range v.leases {
		if lease.Server.FailureDomain == "0" {
			lease.ReportBroken()
		}
	}
}
