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
	// delay is of each message and connection, one way.
	delay = time.Millisecond
	// beatEvery is how often readers learn of servers' heartbeats.
	beatEvery = 350 * time.Millisecond
	// recheckEvery is how often a VM looks at the servers that are down.
	recheckEvery = 200 * time.Millisecond
	// seeds and readers are the first VMs.
	seedCount   = 3
	readerCount = 2
	service     = "model"
)

// A stream of the users' largest site: 73 streams a second on 295 VMs.
const (
	streamEvery  = 4 * time.Second
	firstEvent   = 1200 * time.Millisecond
	streamLasts  = 4 * time.Second
	promptTokens = 5200
	outputTokens = 1170
)

// fleet is the VMs, the network between them and the servers.
type fleet struct {
	ctx     context.Context
	options Options
	servers []pool.Server

	mu      sync.Mutex
	vms     map[string]*vm // By address.
	down    bool           // The servers of the first failure domain.
	version uint64         // Of the list of servers.
	counts  map[string]Count
	checks  int
	started int
}

// vm is one VM: its pool of servers and its spread, tied as in package entry.
type vm struct {
	*spread.Spread
	id      string
	address string
	servers *pool.Pool
	end     context.CancelFunc

	mu     sync.Mutex
	leases map[*pool.Lease]bool
}

func newFleet(ctx context.Context, options Options) *fleet {
	f := &fleet{ctx: ctx, options: options, vms: map[string]*vm{}, counts: map[string]Count{}, version: 1}
	for i := range options.Servers {
		f.servers = append(f.servers, pool.Server{
			ID: fmt.Sprint("server-", i), Address: fmt.Sprintf("10.1.%d.%d:80", i/250, i%250),
			Service: service, FailureDomain: fmt.Sprint(i % failureDomains), Slots: 8,
		})
	}
	return f
}

func addressOf(i int) string {
	return fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)
}

// start starts a VM, or another process at its address.
func (f *fleet) start(i int) *vm {
	ctx, end := context.WithCancel(f.ctx)
	f.mu.Lock()
	f.started++
	v := &vm{id: fmt.Sprintf("vm-%d.%d", i, f.started), address: addressOf(i), end: end, leases: map[*pool.Lease]bool{}}
	f.mu.Unlock()
	v.servers = pool.New(pool.Options{
		Now:   time.Now,
		Draw:  func() float64 { return 0.5 },
		Check: f.check,
		Successors: pool.Successors{
			Identify: func(context.Context, pool.Server) (string, error) { return "", errors.New("not played") },
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
		FindCopies:      func([]string) []spread.CopyLocation { return nil },
		Departures:      v.servers.Departures,
		OnDepartures:    v.servers.ApplyPeerDepartures,
		ServiceUsage:    func() []spread.ServiceUsage { return nil },
		OnServiceUsage:  func(string, []spread.ServiceUsage) {},
		OnCell:          v.servers.SetCell,
	}
}

func (v *vm) recheck(ctx context.Context) {
	ticker := time.NewTicker(recheckEvery)
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

// leave tells that the VM leaves, and ends it.
func (v *vm) leave(ctx context.Context) {
	v.SetSelf(ctx, func(self *spread.Member) { self.Ready, self.Leaving = false, true })
	time.AfterFunc(leavingFor/2, v.end)
}

// call carries a message to a VM and its answer back. Both count.
func (f *fleet) call(ctx context.Context, address string, body []byte) ([]byte, error) {
	f.count(body)
	time.Sleep(delay)
	to := f.reached(address)
	if to == nil {
		return nil, errors.Errorf("no VM is at %s", address)
	}
	answer := to.OnMessage(body)
	if len(answer) > 0 {
		f.count(answer)
	}
	time.Sleep(delay)
	return answer, ctx.Err()
}

func (f *fleet) post(address string, body []byte) {
	f.count(body)
	go func() {
		time.Sleep(delay)
		if to := f.reached(address); to != nil {
			to.OnMessage(body)
		}
	}()
}

func (f *fleet) reached(address string) *vm {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms[address]
}

func (f *fleet) at(i int) *vm {
	return f.reached(addressOf(i))
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

func (f *fleet) counted() (counts map[string]Count, checks int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.counts), f.checks
}

// check opens a connection to a server.
func (f *fleet) check(_ context.Context, address string) error {
	time.Sleep(2 * delay)
	at := slices.IndexFunc(f.servers, func(s pool.Server) bool { return s.Address == address })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checks++
	if f.down && f.servers[at].FailureDomain == "0" {
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
		do(f.at(i))
	}
}

// listed is the store's list of servers.
func (f *fleet) listed() spread.StoreRows {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := spread.StoreRows{Version: f.version, Full: true}
	for _, s := range f.servers {
		rows.Rows = append(rows.Rows, spread.ServerRow{Server: s, Changed: f.version})
	}
	return rows
}

// publish gives the readers a configuration of some 20 KB, as users have.
func (f *fleet) publish(version uint64) {
	raw := []byte(fmt.Sprint(version, " ", strings.Repeat("route ", 3500)))
	f.readers(func(v *vm) { v.ApplyConfiguration(f.ctx, raw, time.Now()) })
}

// beat has the readers learn newer versions of the same list.
func (f *fleet) beat() {
	for f.ctx.Err() == nil {
		f.mu.Lock()
		f.version++
		rows := spread.StoreRows{Version: f.version}
		f.mu.Unlock()
		f.readers(func(v *vm) {
			v.ApplyServers(f.ctx, rows, time.Now())
			v.ApplyConfiguration(f.ctx, nil, time.Now())
		})
		time.Sleep(beatEvery)
	}
}

// runStreams starts a stream at a VM each streamEvery.
func (f *fleet) runStreams(i int) {
	time.Sleep(time.Duration(f.drawn(i) * float64(streamEvery)))
	for n := 0; f.ctx.Err() == nil; n++ {
		v := f.at(i)
		go v.runStream(fmt.Sprintf("stream-%d-%d", i, n))
		time.Sleep(streamEvery)
	}
}

// runStream has a stream run to its end, at another server if its own is lost.
func (v *vm) runStream(key string) {
	need := placement.Demand{PromptTokens: promptTokens, OutputTokens: outputTokens}
	for end := time.Now().Add(streamLasts); time.Now().Before(end); {
		lease, holder, err := v.servers.AcquireForStream(pool.Criteria{Service: service, Demand: need})
		if err != nil {
			time.Sleep(recheckEvery)
			continue
		}
		v.track(lease, true)
		v.AnnounceLoads()
		select {
		case <-lease.Down:
		case <-time.After(firstEvent):
			lease.MarkStarted()
			v.AnnounceLoadsLater()
			if holder != nil {
				v.AnnounceCopy(spread.CopyLocation{CopyKey: key, RunID: key, ServerID: holder.ID, Address: holder.Address})
			}
			select {
			case <-lease.Down:
			case <-time.After(time.Until(end)):
			}
		}
		v.track(lease, false)
		lease.Release()
		v.AnnounceLoadsLater()
	}
}

func (v *vm) track(lease *pool.Lease, runs bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if runs {
		v.leases[lease] = true
	} else {
		delete(v.leases, lease)
	}
}

// breakStreams has the streams of the lost servers find that their connections broke.
func (v *vm) breakStreams() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for lease := range v.leases {
		if lease.Server.FailureDomain == "0" {
			lease.ReportBroken()
		}
	}
}
