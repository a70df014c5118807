package entry

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/config/routing"
	"github.com/endivespoke/endivespoke/internal/peer/spread"
)

const (
	serverHeartbeat = 1200 * time.Millisecond
	// outage is the length of a store outage in which entries expire.
	outage = 4 * serverHeartbeat
)

// serverListRig tests a VM's list of servers, with store rows that the test supplies.
type serverListRig struct {
	t   *testing.T
	vm  *VM
	now time.Time
}

func newServerListRig(t *testing.T) *serverListRig {
	vm := New(Options{
		Settings:            Settings{Name: "vm-1", RetryWindow: 10 * time.Second, ServerHeartbeat: serverHeartbeat},
		Logger:              hclog.NewNullLogger(),
		DecodeConfiguration: func([]byte) (*routing.Configuration, error) { return routing.New(routing.Content{Version: 1}), nil },
		DecodeServer: func(id string, raw []byte) (pool.Server, bool) {
			return pool.Server{ID: id, Service: "s", Leaving: string(raw) == "leaving"}, string(raw) != "odd"
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = vm.spread.Serve(ctx) }()
	return &serverListRig{t: t, vm: vm, now: vm.Now().Add(time.Hour)}
}

// apply applies rows of the store. The value "" means that the entry was removed.
func (g *serverListRig) apply(version uint64, full bool, rows map[string]string) {
	changes := Rows{Version: spread.StoreVersion{Rev: version}}
	for id, value := range rows {
		changes.Rows = append(changes.Rows, Row{Key: id, Value: []byte(value), Version: version, Deleted: value == ""})
	}
	g.vm.applyServers(context.Background(), changes, full, g.now)
}

func (g *serverListRig) listed() []string {
	ids := []string{}
	for _, server := range g.vm.spread.Snapshot().Servers {
		ids = append(ids, fmt.Sprint(server.ID, map[bool]string{true: " leaving"}[server.Leaving]))
	}
	slices.Sort(ids)
	return ids
}

func (g *serverListRig) expect(ids ...string) {
	g.t.Helper()
	qt.Assert(g.t, g.listed(), qt.DeepEquals, append([]string{}, ids...))
}

func TestRemovedEntryDisappearsAtOnce(t *testing.T) {
	g := newServerListRig(t)
	g.apply(5, true, map[string]string{"a": "ready", "b": "ready", "c": "ready"})
	g.apply(6, false, map[string]string{"b": ""})
	g.expect("a", "c")
}

func TestEntryThatCannotBeDecodedListsNoServer(t *testing.T) {
	g := newServerListRig(t)
	g.apply(5, true, map[string]string{"a": "ready", "x": "odd"})
	g.expect("a")
	g.apply(6, false, map[string]string{"a": "odd"})
	g.expect()
	g.apply(7, false, map[string]string{"a": "ready"})
	g.expect("a")
}

// TestExpiredEntriesAreKeptForGracePeriod checks that after an outage missing entries are
// kept until the grace period for their return ends, and are dropped then.
func TestExpiredEntriesAreKeptForGracePeriod(t *testing.T) {
	g := newServerListRig(t)
	g.apply(5, true, map[string]string{"a": "ready", "b": "ready", "c": "leaving"})
	g.now = g.now.Add(outage)
	g.apply(9, false, map[string]string{"a": "", "b": "", "c": ""})
	g.expect("a", "b") // A server that was leaving has left.
	g.now = g.now.Add(pool.ExpiryGrace / 2)
	g.apply(12, false, map[string]string{"a": "ready"})
	g.expect("a", "b")
	g.now = g.now.Add(pool.ExpiryGrace)
	g.apply(13, false, nil)
	g.expect("a")
}

// TestEntryRemovedAfterOutageIsKeptUntilSameDeadline checks that the grace period starts
// when the store is available again, not at the removal. Counted from the removal, a
// server that left 1.8 s after one VM had reached the store again got work for 3.5 s.
func TestEntryRemovedAfterOutageIsKeptUntilSameDeadline(t *testing.T) {
	g := newServerListRig(t)
	g.apply(5, true, map[string]string{"a": "ready", "b": "ready", "c": "ready"})
	g.now = g.now.Add(outage)
	g.apply(6, false, nil) // The store is available again.
	g.now = g.now.Add(pool.ExpiryGrace - 200*time.Millisecond)
	g.apply(7, false, map[string]string{"a": ""})
	g.expect("a", "b", "c")
	g.now = g.now.Add(300 * time.Millisecond)
	g.apply(8, false, map[string]string{"b": ""})
	g.expect("c")
}

// TestReaderThatAloneLostStoreAppliesRemovalsAtOnce checks the case that peers keep the
// list current while the store does not answer one VM, so that a removed entry means that
// the server has left. Such a VM kept these servers for 2 s more, and so did the VMs that
// got the list from it.
func TestReaderThatAloneLostStoreAppliesRemovalsAtOnce(t *testing.T) {
	g := newServerListRig(t)
	g.apply(5, true, map[string]string{"a": "ready", "b": "ready", "c": "ready"})
	for version := uint64(6); version < 12; version++ {
		g.now = g.now.Add(serverHeartbeat)
		g.vm.spread.ApplyServers(context.Background(), spread.StoreRows{Version: spread.StoreVersion{Rev: version}}, g.now) // As received from peers.
	}
	g.now = g.now.Add(serverHeartbeat)
	g.apply(12, false, map[string]string{"a": ""})
	g.expect("b", "c")
}

func TestManyEntriesMissingAtOnceCountAsExpired(t *testing.T) {
	g := newServerListRig(t)
	g.apply(5, true, map[string]string{"a": "ready", "b": "ready", "c": "ready"})
	g.apply(6, true, map[string]string{"c": "ready"})
	g.expect("a", "b", "c")
	g.now = g.now.Add(pool.ExpiryGrace + time.Millisecond)
	g.apply(7, false, nil)
	g.expect("c")
}

// TestOlderReadIsIgnored checks that a read that is older than the data from peers does not
// undo that a server is leaving.
func TestOlderReadIsIgnored(t *testing.T) {
	g := newServerListRig(t)
	ctx := context.Background()
	leaving := pool.Server{ID: "a", Service: "s", Leaving: true}
	rows := []spread.ServerRow{{Server: leaving, Changed: 8}}
	g.vm.spread.ApplyServers(ctx, spread.StoreRows{Version: spread.StoreVersion{Rev: 8}, Full: true, Rows: rows}, g.now)
	g.apply(6, true, map[string]string{"a": "ready"})
	g.expect("a leaving")
}

// TestStartingVMReadsOncePeersHaveNoState covers the start of all VMs after a loss of all:
// waiting for each other would only cost time.
func TestStartingVMReadsOncePeersHaveNoState(t *testing.T) {
	vm := New(Options{Settings: Settings{Name: "vm-1"}, Logger: hclog.NewNullLogger()}) // No service runs.
	w := &watcher{vm: vm, currentAt: func(s *spread.Snapshot) time.Time { return s.ConfigurationAt }}
	self := spread.Member{ID: "vm-1"}
	others := []spread.Member{self, {ID: "vm-0"}, {ID: "vm-2"}, {ID: "vm-3"}}
	now := time.Now()
	waits := func(snapshot spread.Snapshot) bool {
		snapshot.Self = self
		return w.dueAt(&snapshot).After(now)
	}
	vm.started = now
	qt.Check(t, waits(spread.Snapshot{Live: []spread.Member{self}}), qt.IsTrue)
	qt.Check(t, waits(spread.Snapshot{Live: others, Fetching: true}), qt.IsTrue)
	qt.Check(t, waits(spread.Snapshot{Live: others}), qt.IsFalse)
	vm.started = now.Add(-joinTimeout)
	qt.Check(t, waits(spread.Snapshot{Live: others, Fetching: true}), qt.IsFalse)
	vm.started = now.Add(-seedTimeout)
	qt.Check(t, waits(spread.Snapshot{Live: []spread.Member{self}}), qt.IsFalse)
}

// countingTable is a table of one row that counts its calls.
type countingTable struct {
	reads, watches, writes atomic.Int64
}

func (c *countingTable) table() Table {
	return Table{
		Read: func(context.Context) (Rows, error) {
			c.reads.Add(1)
			return Rows{Version: spread.StoreVersion{Rev: 1}, Rows: []Row{{Key: "row", Value: []byte("ready"), Version: 1}}}, nil
		},
		Watch: func(ctx context.Context, _ uint64, wait time.Duration) (Rows, error) {
			c.watches.Add(1)
			sleep(ctx, wait)
			return Rows{Version: spread.StoreVersion{Rev: 1}}, nil
		},
		Put: func(context.Context, string, []byte) (uint64, error) {
			c.writes.Add(1)
			return 0, nil
		},
	}
}

// TestStartingVMMakesFewStoreCalls covers the common start of 295 VMs, most of which know
// of no other for about 0.3 s. Each reads once what it needs to serve, and nothing more
// until it knows whether it is a reader. A VM that stays alone then continues to read.
func TestStartingVMMakesFewStoreCalls(t *testing.T) {
	tables := [4]countingTable{}
	configuration, servers, vms, copies := &tables[0], &tables[1], &tables[2], &tables[3]
	vm := New(Options{
		Settings: Settings{Name: "vm-1", PeerAddress: "127.0.0.1:1"}, Logger: hclog.NewNullLogger(),
		ConfigurationKey:    "row",
		DecodeConfiguration: func([]byte) (*routing.Configuration, error) { return routing.New(routing.Content{Version: 1}), nil },
		DecodeServer:        func(id string, _ []byte) (pool.Server, bool) { return pool.Server{ID: id, Service: "s"}, true },
		Configuration:       configuration.table(), Servers: servers.table(), VMs: vms.table(), Copies: copies.table(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	vm.supervisor().ServeBackground(ctx)
	sleep(ctx, (seedTimeout+settleTime)/2)
	calls := func() (count int64) {
		for i := range tables {
			count += tables[i].reads.Load() + tables[i].watches.Load() + tables[i].writes.Load()
		}
		return count
	}
	qt.Check(t, calls(), qt.Equals, int64(3), qt.Commentf("one for configuration, servers and copies"))
	sleep(ctx, settleTime)
	qt.Check(t, configuration.watches.Load(), qt.Equals, int64(1))
	qt.Check(t, servers.watches.Load(), qt.Equals, int64(1))
	qt.Check(t, vms.writes.Load(), qt.Equals, int64(1))
	qt.Check(t, vms.reads.Load(), qt.Equals, int64(1))
}

// TestFewVMsReadDuringStoreOutage checks a store outage in which the data becomes stale on
// all VMs of a large fleet: of the VMs that hear from their peers only a few try to read.
func TestFewVMsReadDuringStoreOutage(t *testing.T) {
	vm := New(Options{Settings: Settings{Name: "vm-1"}, Logger: hclog.NewNullLogger()}) // No service runs.
	current := vm.Now().Add(-4500 * time.Millisecond)                                   // The length of the platform's outages.
	live := []spread.Member{}
	for i := range 295 {
		live = append(live, spread.Member{ID: fmt.Sprintf("vm-%03d", i), FailureDomain: fmt.Sprint(i % 5), StoreUnreachable: i < 40})
	}
	vm.started = vm.started.Add(-time.Minute)
	now := vm.Now()
	reading := 0
	for _, self := range live {
		w := &watcher{vm: vm, failing: self.StoreUnreachable, failedAt: now.Add(-time.Second), currentAt: func(s *spread.Snapshot) time.Time { return s.ConfigurationAt }}
		w.lastPeerReplyAt = func() time.Time { return now }
		vm.ranked.live = nil // It holds the rank of the previous VM.
		if !w.dueAt(&spread.Snapshot{Self: self, Live: live, Cells: 9, ConfigurationAt: current}).After(now) {
			reading++
		}
	}
	qt.Assert(t, reading >= storeReaders && reading <= 40, qt.IsTrue, qt.Commentf("%d of 295 VMs read", reading))
}

// TestVMThatAloneReachesTheStoreReadsInTime guards against changes that are late while the readers are
// partitioned from the store.
func TestVMThatAloneReachesTheStoreReadsInTime(t *testing.T) {
	for _, test := range []struct {
		vms, cells int
		applyLimit time.Duration
	}{
		{9, 1, 2 * time.Second},
		{91, 3, 3 * time.Second},
		{295, 9, 4 * time.Second},
	} {
		vm := New(Options{Settings: Settings{Name: "vm-1", ConfigApplyLimit: test.applyLimit}, Logger: hclog.NewNullLogger()}) // No service runs.
		vm.started = vm.started.Add(-time.Minute)
		now := vm.Now()
		live := []spread.Member{}
		for i := range test.vms {
			live = append(live, spread.Member{ID: fmt.Sprintf("vm-%03d", i), FailureDomain: fmt.Sprint(i % 4)})
		}
		for rank, self := range live[storeReaders:] {
			w := &watcher{vm: vm, currentAt: func(s *spread.Snapshot) time.Time { return s.ConfigurationAt }, lastPeerReplyAt: func() time.Time { return now.Add(test.applyLimit) }}
			vm.ranked.live = nil // It holds the rank of the previous VM.
			due := w.dueAt(&spread.Snapshot{Self: self, Live: live, Cells: test.cells, ConfigurationAt: now})
			qt.Assert(t, due.Before(now.Add(test.applyLimit)), qt.IsTrue, qt.Commentf("%d VMs, rank %d: read after %v", test.vms, rank+storeReaders, due.Sub(now)))
		}
	}
}

func TestRankAlternatesFailureDomains(t *testing.T) {
	live := []spread.Member{}
	for _, id := range []string{"a1", "a2", "a3", "b1"} {
		live = append(live, spread.Member{ID: id, FailureDomain: id[:1]})
	}
	ranks := map[string]int{}
	for _, m := range live {
		ranks[m.ID] = rankOf(m, live)
	}
	qt.Assert(t, ranks, qt.DeepEquals, map[string]int{"a1": 0, "b1": 1, "a2": 2, "a3": 3})
	live[0].StoreUnreachable = true
	qt.Assert(t, rankOf(live[1], live), qt.Equals, 0)
	qt.Assert(t, rankOf(live[0], live), qt.Equals, 3)
}

// TestAnswerReadAfterAPauseIsNotCurrent guards against a VM that takes an old configuration for the newest.
func TestAnswerReadAfterAPauseIsNotCurrent(t *testing.T) {
	const pause = 400 * time.Millisecond
	for name, test := range map[string]struct {
		synced bool
		held   time.Duration // How long the store may hold the request.
	}{
		"watch": {synced: true, held: watchTimeout},
		"read":  {},
	} {
		t.Run(name, func(t *testing.T) {
			vm := newServerListRig(t).vm
			answer := func() (Rows, error) {
				time.Sleep(test.held + pause)
				return Rows{Rows: []Row{{Value: []byte("{}"), Version: 2}}, Version: spread.StoreVersion{Rev: 2}}, nil
			}
			w := &watcher{name: "configuration", vm: vm, apply: vm.applyConfiguration, synced: test.synced, table: Table{
				Read:  func(context.Context) (Rows, error) { return answer() },
				Watch: func(context.Context, uint64, time.Duration) (Rows, error) { return answer() },
			}}
			qt.Assert(t, w.poll(context.Background()), qt.IsNil)
			age := vm.Now().Sub(vm.spread.Snapshot().ConfigurationAt)
			qt.Assert(t, age >= pause, qt.IsTrue, qt.Commentf("age %v", age))
		})
	}
}
