package spread_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/config/routing"
	"github.com/endivespoke/endivespoke/internal/peer/spread"
	"github.com/endivespoke/endivespoke/internal/request/admission"
	"github.com/endivespoke/endivespoke/internal/request/crash"
)

// network connects the VMs of a test. A partitioned VM reaches no other.
type network struct {
	mu          sync.Mutex
	vms         map[string]*vm // By address.
	partitioned map[string]bool
	bytes       int
	// refuses makes connections to VMs that have not started fail at once instead of time out.
	refuses bool
	// hangs are VMs that answer what is compared, but send no content.
	hangs map[string]bool
	// contentDelay holds back answers with a configuration.
	contentDelay time.Duration
	// losesPosts loses all messages without a reply.
	losesPosts atomic.Bool
	// rolloutBodies counts the messages and replies that have something of roll-outs, if
	// countsRollouts was set before the first VM started.
	countsRollouts bool
	rolloutBodies  atomic.Int64
}

type vm struct {
	*spread.Spread
	address       string
	mu            sync.Mutex
	versions      []uint64 // Of the configurations, as they came into force.
	decoded       int
	stop          context.CancelFunc
	loadsReceived atomic.Int64
	// lossesReceived counts messages with loss reports, and loadsFrom has the VMs that sent loads.
	lossesReceived atomic.Int64
	loadsFrom      sync.Map
	copies         sync.Map                            // Keys of the copies whose locations it has received.
	copied         atomic.Pointer[spread.CopyLocation] // Of the one stream that runs here.
	crashes        *crash.Record
	limits         sync.Map // IDs of the servers whose limits it has received, after the servers.
	backoffs       sync.Map // IDs of the servers whose backoffs it has received.
	servers        atomic.Int64
	named          atomic.Pointer[pool.ServerLimit] // The limit that a server named to it.
	rollouts       *rolloutsFake
	waits          atomic.Pointer[admission.Report] // What waits here for headroom.
	waitsElsewhere sync.Map                         // The last reports of each VM.
}

// findCopies returns the copies whose locations the VM has received.
func (v *vm) findCopies(queries []spread.CopyQuery) []spread.CopyLocation {
	found := []spread.CopyLocation{}
	for _, query := range queries {
		if _, known := v.copies.Load(query.CopyKey); known {
			found = append(found, spread.CopyLocation{CopyKey: query.CopyKey, ServerID: v.address, Origin: query.Origin})
		}
	}
	return found
}

func (v *vm) hasLoadsOf(other *vm) bool {
	_, found := v.loadsFrom.Load(other.Snapshot().Self.ID)
	return found
}

func (n *network) call(from string) func(context.Context, string, string, []byte) ([]byte, error) {
	return func(ctx context.Context, _, address string, body []byte) ([]byte, error) {
		n.mu.Lock()
		to := n.vms[address]
		reached := to != nil && !n.partitioned[from] && !n.partitioned[address]
		hangs, delay := n.hangs[address], n.contentDelay
		n.bytes += len(body)
		n.mu.Unlock()
		if to == nil && n.refuses {
			return nil, errors.New("connection refused")
		}
		if !reached {
			<-ctx.Done()
			return nil, errors.Trace(ctx.Err())
		}
		answer := to.OnMessage(body)
		if hangs && spread.HasConfiguration(answer) {
			<-ctx.Done()
			return nil, errors.Trace(ctx.Err())
		}
		if delay > 0 && spread.HasConfiguration(answer) {
			time.Sleep(delay)
		}
		if n.countsRollouts {
			n.countRollouts(body)
			n.countRollouts(answer)
		}
		n.mu.Lock()
		n.bytes += len(answer)
		n.mu.Unlock()
		return answer, nil
	}
}

func (n *network) setPartitioned(address string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[address] = partitioned
}

type configuration struct{ Version uint64 }

func raw(version uint64) []byte {
	body, err := json.Marshal(configuration{Version: version})
	if err != nil {
		panic(err)
	}
	return body
}

func (n *network) start(t *testing.T, name string, seeds ...string) *vm {
	v := &vm{address: name + ":1", rollouts: newRolloutsFake()}
	call := n.call(v.address)
	v.crashes = crash.New(crash.Options{Now: time.Now, Announce: func(report crash.Report) { v.AnnounceCrash(report) }})
	v.Spread = spread.New(spread.Options{
		Self:   spread.Member{ID: name, PeerAddress: v.address, FailureDomain: name[:1], Version: 1},
		Seeds:  seeds,
		Now:    time.Now,
		Logger: hclog.NewNullLogger(),
		Call:   call,
		Post: func(peer, address string, body []byte) {
			if n.losesPosts.Load() {
				return
			}
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
				defer cancel()
				_, _ = call(ctx, peer, address, body) // Posts may be lost.
			}()
		},
		Disconnect: func(string) {},
		DecodeConfiguration: func(raw []byte) (*routing.Configuration, error) {
			read := configuration{}
			if err := json.Unmarshal(raw, &read); err != nil {
				return nil, err
			}
			v.mu.Lock()
			defer v.mu.Unlock()
			v.decoded++
			return routing.New(routing.Content{Version: read.Version}), nil
		},
		OnConfiguration: func(c *routing.Configuration) {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.versions = append(v.versions, c.Version)
		},
		OnBackoffs: func(backoffs []pool.Backoff) {
			for _, b := range backoffs {
				v.backoffs.Store(b.ServerID, true)
			}
		},
		OnServers: func(servers []pool.Server) { v.servers.Store(int64(len(servers))) },
		Limits: func() []pool.ServerLimit {
			if limit := v.named.Load(); limit != nil {
				return []pool.ServerLimit{*limit}
			}
			return nil
		},
		Admission: func() []admission.Report {
			if report := v.waits.Load(); report != nil {
				return []admission.Report{*report}
			}
			return nil
		},
		OnAdmission: func(peer string, reports []admission.Report) { v.waitsElsewhere.Store(peer, reports) },

		Loads:   func() []pool.Load { return nil },
		OnLoads: func(peer string, _ []pool.Load) { v.loadsReceived.Add(1); v.loadsFrom.Store(peer, true) },
		Copies: func() []spread.CopyLocation {
			if location := v.copied.Load(); location != nil {
				return []spread.CopyLocation{*location}
			}
			return nil
		},
		OnCopies: func(locations []spread.CopyLocation) {
			for _, location := range locations {
				v.copies.Store(location.CopyKey, true)
			}
		},
		OnCrashes:    v.crashes.Merge,
		CrashesHash:  v.crashes.Digest,
		Crashes:      v.crashes.Recurring,
		OnLosses:     func([]spread.LossReport) { v.lossesReceived.Add(1) },
		ServiceUsage: func() []spread.ServiceUsage { return nil },
		Departures:   func() []pool.Departure { return nil },
		OnDepartures: func([]pool.Departure) {},
		OnLimits: func(limits []pool.ServerLimit) {
			for _, limit := range limits {
				if v.servers.Load() > 0 {
					v.limits.Store(limit.ServerID, true)
				}
			}
		},
		FindCopies:     func(queries []spread.CopyQuery) ([]spread.CopyLocation, bool) { return v.findCopies(queries), true },
		OnServiceUsage: func(string, []spread.ServiceUsage) {},
		Rollouts:       v.rollouts.connect(),
	})
	n.mu.Lock()
	n.vms[v.address] = v
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	v.stop = cancel
	t.Cleanup(cancel)
	go func() { _ = v.Serve(ctx) }()
	return v
}

func newNetwork() *network {
	return &network{vms: map[string]*vm{}, partitioned: map[string]bool{}, hangs: map[string]bool{}}
}

// fleet starts VMs with the first three as seeds, and waits until each lists all as live.
func fleet(t *testing.T, n *network, count int) []*vm {
	vms := []*vm{}
	for i := range count {
		vms = append(vms, n.start(t, fmt.Sprintf("%c%d", 'a'+i%3, i), "a0:1", "b1:1", "c2:1"))
	}
	waitFor(t, 5*time.Second, "each lists all as live", func() bool {
		for _, v := range vms {
			if len(v.Snapshot().Live) != count {
				return false
			}
		}
		return true
	})
	return vms
}

func waitFor(t *testing.T, limit time.Duration, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("not within %v: %s", limit, what)
}

func inForce(vms []*vm, version uint64) func() bool {
	return func() bool {
		for _, v := range vms {
			c := v.Snapshot().Configuration
			if c == nil || c.Version != version {
				return false
			}
		}
		return true
	}
}

// TestLoadsLaterAreBatched decreases loads every 5 ms, as when prefills finish and streams end.
// Peers get few messages of that, but are sent added loads at once.
func TestLoadsLaterAreBatched(t *testing.T) {
	vms := fleet(t, newNetwork(), 2)
	for range 60 {
		vms[0].AnnounceLoadsLater()
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	qt.Assert(t, vms[1].loadsReceived.Load() <= 4, qt.IsTrue, qt.Commentf("%d messages", vms[1].loadsReceived.Load()))
	qt.Assert(t, vms[1].loadsReceived.Load() > 0, qt.IsTrue)
	before := vms[1].loadsReceived.Load()
	vms[0].AnnounceLoads()
	waitFor(t, 100*time.Millisecond, "added loads are sent", func() bool { return vms[1].loadsReceived.Load() > before })
}

// TestUnchangedLoadsAreResent checks that loads are sent again without a change: they expire
// at the peers after three seconds, and a message may be lost.
func TestUnchangedLoadsAreResent(t *testing.T) {
	vms := fleet(t, newNetwork(), 2)
	before := vms[1].loadsReceived.Load()
	time.Sleep(3 * time.Second)
	received := vms[1].loadsReceived.Load() - before
	qt.Assert(t, received >= 2, qt.IsTrue, qt.Commentf("%d messages", received))
}

// TestLoadsAreNotResentAfterARecentAnnouncement checks that a VM that sends its loads often
// because they change does not send additional messages to keep them from expiring.
func TestLoadsAreNotResentAfterARecentAnnouncement(t *testing.T) {
	vms := fleet(t, newNetwork(), 3)
	time.Sleep(pool.LoadReportInterval) // Messages of the start have been sent by then.
	before := vms[1].loadsReceived.Load()
	const repeats = 4
	calls := int64(0)
	for end := time.Now().Add(repeats * pool.LoadReportInterval); time.Now().Before(end); time.Sleep(400 * time.Millisecond) {
		vms[0].AnnounceLoads()
		calls++
	}
	received := vms[1].loadsReceived.Load() - before
	// One message for each call of vms[0], and those that the idle vms[2] resends.
	qt.Check(t, received <= calls+repeats+2, qt.IsTrue, qt.Commentf("%d messages after %d calls", received, calls))
	qt.Check(t, received >= repeats, qt.IsTrue, qt.Commentf("%d messages after %d calls", received, calls))
}

// TestLoadsStayInCellAndLossesGoThroughWatchers runs 64 VMs, which form two cells. Loads are sent
// within the cell only. A loss is reported to the watchers; only they announce it to all.
func TestLoadsStayInCellAndLossesGoThroughWatchers(t *testing.T) {
	vms := fleet(t, newNetwork(), 64)
	qt.Assert(t, vms[0].Snapshot().Cells, qt.Equals, 2)
	cellPeers := 0
	for _, v := range vms[1:] {
		if v.Snapshot().Cell == vms[0].Snapshot().Cell {
			cellPeers++
		}
	}
	qt.Assert(t, cellPeers >= 29 && cellPeers <= 33, qt.IsTrue, qt.Commentf("%d VMs share the cell", cellPeers))
	receivers := func() (count int) {
		for _, v := range vms[1:] {
			if v.hasLoadsOf(vms[0]) {
				count++
			}
		}
		return count
	}
	for _, v := range vms {
		v.loadsFrom.Clear() // Cells were assigned differently while the fleet grew.
	}
	vms[0].AnnounceLoads()
	waitFor(t, time.Second, "the cell has the loads", func() bool { return receivers() == cellPeers })
	watchers := map[string]bool{}
	var watcher, other *vm
	for _, m := range vms[0].Watchers("s/a") {
		watchers[m.ID] = true
	}
	qt.Assert(t, watchers, qt.HasLen, 3)
	for _, v := range vms {
		if id := v.Snapshot().Self.ID; watchers[id] {
			watcher = v
		} else {
			other = v
		}
		qt.Assert(t, v.Watches("s/a"), qt.Equals, watchers[v.Snapshot().Self.ID])
	}
	received := func() (count int) {
		for _, v := range vms {
			if v.lossesReceived.Load() > 0 {
				count++
			}
		}
		return count
	}
	other.AnnounceLoss("s/a", spread.LossReport{ServerID: "s1"})
	waitFor(t, time.Second, "the watchers have the loss report", func() bool { return received() == len(watchers) })
	time.Sleep(100 * time.Millisecond)
	qt.Assert(t, received(), qt.Equals, len(watchers))
	watcher.AnnounceLoss("s/a", spread.LossReport{ServerID: "s1"})
	waitFor(t, time.Second, "all have the loss report", func() bool { return received() >= len(vms)-1 })
	qt.Assert(t, receivers(), qt.Equals, cellPeers)
}

// TestNewCellPeersReceiveCopies loses half of 64 VMs in two cells, so that the others form one
// cell. Those that were in the other cell may now be queried for copies, and have to know them.
func TestNewCellPeersReceiveCopies(t *testing.T) {
	n := newNetwork()
	vms := fleet(t, n, 64)
	owner := vms[0]
	owner.copied.Store(&spread.CopyLocation{CopyKey: "k", ServerID: "s"})
	owner.AnnounceCopy(*owner.copied.Load())
	for _, v := range vms[32:] {
		n.setPartitioned(v.address, true)
	}
	waitFor(t, 8*time.Second, "the others list 32 VMs", func() bool {
		return !slices.ContainsFunc(vms[:32], func(v *vm) bool { return len(v.Snapshot().Live) != 32 })
	})
	waitFor(t, time.Second, "all of them have the copy's location", func() bool {
		return !slices.ContainsFunc(vms[1:32], func(v *vm) bool { return len(v.findCopies([]spread.CopyQuery{{CopyKey: "k"}})) == 0 })
	})
}

// configBound is the time for a version to reach all VMs once one has read it: the smallest
// bound of the platform, 2 s, less the time until it is read.
const configBound = 1500 * time.Millisecond

func TestVersionReachesAllVMsInTime(t *testing.T) {
	for _, count := range []int{2, 9, 64} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			vms := fleet(t, newNetwork(), count)
			vms[0].ApplyConfiguration(context.Background(), raw(7), time.Now())
			waitFor(t, configBound, "version 7 everywhere", inForce(vms, 7))
			for _, v := range vms {
				v.mu.Lock()
				qt.Check(t, v.decoded, qt.Equals, 1, qt.Commentf("each VM decodes a content once"))
				v.mu.Unlock()
			}
		})
	}
}

func TestVersionsOnlyIncrease(t *testing.T) {
	vms := fleet(t, newNetwork(), 9)
	for i, version := range []uint64{3, 5, 4, 9, 8, 12} {
		vms[i].ApplyConfiguration(context.Background(), raw(version), time.Now())
	}
	waitFor(t, configBound, "version 12 everywhere", inForce(vms, 12))
	for _, v := range vms {
		v.mu.Lock()
		for i := 1; i < len(v.versions); i++ {
			qt.Check(t, v.versions[i] > v.versions[i-1], qt.IsTrue, qt.Commentf("%v", v.versions))
		}
		v.mu.Unlock()
	}
}

func TestLostVMIsRemovedAndReturns(t *testing.T) {
	n := newNetwork()
	vms := fleet(t, n, 6)
	n.setPartitioned("c5:1", true)
	waitFor(t, 3*time.Second, "the others list it as down", func() bool {
		for _, v := range vms[:5] {
			if len(v.Snapshot().Live) != 5 {
				return false
			}
		}
		return true
	})
	vms[0].ApplyConfiguration(context.Background(), raw(7), time.Now())
	n.setPartitioned("c5:1", false)
	waitFor(t, 3*time.Second, "each lists all as live again", func() bool {
		for _, v := range vms {
			if len(v.Snapshot().Live) != 6 {
				return false
			}
		}
		return true
	})
	waitFor(t, configBound, "version 7 everywhere", inForce(vms, 7))
}

// TestVMsThatStartTogetherFormOneFleet guards against a fleet that stays split after the start.
// Each VM contacts one seed, chosen by the test, and the first seed contacts the second before
// that has started. Each seed then has a fleet of its own, and would only contact the other seed
// again after 5 s.
func TestVMsThatStartTogetherFormOneFleet(t *testing.T) {
	n := newNetwork()
	n.refuses = true
	vms := []*vm{n.start(t, "a0", "a0:1", "b1:1")}
	vms = append(vms, n.start(t, "a2", "a0:1"))
	waitFor(t, time.Second, "the first seed has a peer", func() bool { return len(vms[0].Snapshot().Live) == 2 })
	vms = append(vms, n.start(t, "b1", "b1:1"), n.start(t, "b3", "b1:1"))
	waitFor(t, 1500*time.Millisecond, "each lists all as live", func() bool {
		return !slices.ContainsFunc(vms, func(v *vm) bool { return len(v.Snapshot().Live) != len(vms) })
	})
}

func TestNewProcessAtAnAddressSupersedesTheOld(t *testing.T) {
	n := newNetwork()
	vms := fleet(t, n, 3)
	vms[2].stop()
	again := n.start(t, "c2-again", "a0:1")
	n.mu.Lock()
	n.vms["c2:1"] = again
	n.mu.Unlock()
	again.SetSelf(context.Background(), func(self *spread.Member) { self.PeerAddress = "c2:1" })
	waitFor(t, 3*time.Second, "the old process is replaced", func() bool {
		live := vms[0].Snapshot().Live
		return len(live) == 3 && slices.ContainsFunc(live, func(m spread.Member) bool { return m.ID == "c2-again" })
	})
}

func TestLeavingServerReachesAllVMs(t *testing.T) {
	vms := fleet(t, newNetwork(), 9)
	server := pool.Server{ID: "s1", Address: "10.0.0.1:1", Service: "s"}
	ctx := context.Background()
	rows := []spread.ServerRow{{Server: server, Changed: 4}}
	vms[0].ApplyServers(ctx, spread.StoreRows{Version: spread.StoreVersion{Rev: 4}, Full: true, Rows: rows}, time.Now())
	server.Leaving = true
	rows = []spread.ServerRow{{Server: server, Changed: 6}}
	vms[1].ApplyServers(ctx, spread.StoreRows{Version: spread.StoreVersion{Rev: 6}, Rows: rows}, time.Now())
	vms[0].ApplyServers(ctx, spread.StoreRows{Version: spread.StoreVersion{Rev: 6}, Rows: rows}, time.Now())
	waitFor(t, configBound, "all list it as leaving", func() bool {
		for _, v := range vms {
			listed := v.Snapshot().Servers
			if len(listed) != 1 || !listed[0].Leaving {
				return false
			}
		}
		return true
	})
}

// TestIdleTrafficPerVM bounds the traffic of idle VMs: 14 KB/s each is the users' limit for
// control traffic at 430 VMs.
func TestIdleTrafficPerVM(t *testing.T) {
	n := newNetwork()
	vms := fleet(t, n, 64)
	vms[0].ApplyConfiguration(context.Background(), raw(7), time.Now())
	waitFor(t, configBound, "version 7 everywhere", inForce(vms, 7))
	time.Sleep(500 * time.Millisecond)
	n.mu.Lock()
	before := n.bytes
	n.mu.Unlock()
	const span = 2 * time.Second
	time.Sleep(span)
	n.mu.Lock()
	perVM := float64(n.bytes-before) / float64(len(vms)) / span.Seconds()
	n.mu.Unlock()
	t.Logf("%.0f bytes/s a VM", perVM)
	qt.Assert(t, perVM < 14_000, qt.IsTrue)
}

// TestDecodingAnyBytes checks that a message that cannot be decoded changes nothing.
func TestDecodingAnyBytes(t *testing.T) {
	v := newNetwork().start(t, "a0")
	v.ApplyConfiguration(context.Background(), raw(7), time.Now())
	rapid.Check(t, func(t *rapid.T) {
		v.OnMessage(rapid.SliceOf(rapid.Byte()).Draw(t, "body"))
		if c := v.Snapshot().Configuration; c == nil || c.Version != 7 {
			t.Fatal("the configuration changed")
		}
	})
}

// TestCopyIsFoundFromAnotherCell checks that locations of copies are announced within the cell
// only, and that a VM of another cell finds them through the copy index VMs.
func TestCopyIsFoundFromAnotherCell(t *testing.T) {
	vms := fleet(t, newNetwork(), 64)
	var otherCell *vm
	cellPeers := []*vm{}
	for _, v := range vms[1:] {
		if v.Snapshot().Cell == vms[0].Snapshot().Cell {
			cellPeers = append(cellPeers, v)
		} else {
			otherCell = v
		}
	}
	vms[0].AnnounceCopy(spread.CopyLocation{CopyKey: "k", ServerID: "s"})
	waitFor(t, time.Second, "the cell has the copy's location", func() bool {
		for _, v := range cellPeers {
			if _, known := v.copies.Load("k"); !known {
				return false
			}
		}
		return true
	})
	_, known := otherCell.copies.Load("k")
	qt.Assert(t, known, qt.IsFalse)
	locations, _, othersAnswered := otherCell.LocateCopies(context.Background(), spread.CopyQuery{CopyKey: "k", Origin: "r1"})
	qt.Assert(t, len(locations) > 0, qt.IsTrue)
	for _, location := range locations {
		qt.Assert(t, location.CopyKey, qt.Equals, "k")
		qt.Assert(t, location.Origin, qt.Equals, "r1")
	}
	qt.Assert(t, othersAnswered, qt.IsTrue)
	locations, ownAnswered, othersAnswered := otherCell.LocateCopies(context.Background(), spread.CopyQuery{CopyKey: "another"})
	qt.Assert(t, locations, qt.HasLen, 0)
	qt.Assert(t, ownAnswered && othersAnswered, qt.IsTrue)
}

// controlBytes is the users' limit for the control traffic of a VM in bytes per second.
const controlBytes = 14_000

// TestStartOfManyVMsSendsFewBytes starts 100 VMs together, which receive each other's entries in
// many messages. When each reply to a VM with another member hash had the whole list, they sent
// 18 KB/s each in this test, and megabytes on slow VMs.
func TestStartOfManyVMsSendsFewBytes(t *testing.T) {
	n := newNetwork()
	began := time.Now()
	fleet(t, n, 100)
	time.Sleep(time.Second)
	n.mu.Lock()
	defer n.mu.Unlock()
	sent := float64(n.bytes) / 100 / time.Since(began).Seconds()
	qt.Assert(t, sent < controlBytes, qt.IsTrue, qt.Commentf("%.0f bytes a second and VM", sent))
}
