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
	heartbeat = 1200 * time.Millisecond
	// outage is an outage of the store in which entries lapse.
	outage = 4 * heartbeat
)

// listRig is a VM's list of servers, fed with rows by hand.
type listRig struct {
	t  *testing.T
	vm *VM
	at time.Time
}

func newListRig(t *testing.T) *listRig {
	vm := New(Options{
		Settings:            Settings{Name: "vm-1", RetryWindow: 10 * time.Second, ServerHeartbeat: heartbeat},
		Logger:              hclog.NewNullLogger(),
		DecodeConfiguration: func([]byte) (*routing.Configuration, error) { return routing.New(routing.Content{Version: 1}), nil },
		DecodeServer: func(id string, raw []byte) (pool.Server, bool) {
			return pool.Server{ID: id, Service: "s", Leaving: string(raw) == "leaving"}, string(raw) != "odd"
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = vm.spread.Serve(ctx) }()
	return &listRig{t: t, vm: vm, at: vm.Now().Add(time.Hour)}
}

// row is what the store tells of a server; "" means that its entry is gone.
func (g *listRig) learn(version uint64, full bool, rows map[string]string) {
	told := Rows{Version: version}
	for id, value := range rows {
		told.Rows = append(told.Rows, Row{Key: id, Value: []byte(value), Version: version, Deleted: value == ""})
	}
	g.vm.learnServers(context.Background(), told, full, g.at)
}

func (g *listRig) listed() []string {
	ids := []string{}
	for _, server := range g.vm.spread.Snapshot().Servers {
		ids = append(ids, fmt.Sprint(server.ID, map[bool]string{true: " leaving"}[server.Leaving]))
	}
	slices.Sort(ids)
	return ids
}

func (g *listRig) expect(ids ...string) {
	g.t.Helper()
	qt.Assert(g.t, g.listed(), qt.DeepEquals, append([]string{}, ids...))
}

func TestEntryThatIsRemovedIsGoneAtOnce(t *testing.T) {
	g := newListRig(t)
	g.learn(5, true, map[string]string{"a": "ready", "b": "ready", "c": "ready"})
	g.learn(6, false, map[string]string{"b": ""})
	g.expect("a", "c")
}

func TestEntryOfAnotherWriterNamesNoServer(t *testing.T) {
	g := newListRig(t)
	g.learn(5, true, map[string]string{"a": "ready", "x": "odd"})
	g.expect("a")
	g.learn(6, false, map[string]string{"a": "odd"})
	g.expect()
	g.learn(7, false, map[string]string{"a": "ready"})
	g.expect("a")
}

// TestLapsedEntriesHaveTheirGrace: after an outage, entries that are missing are
// kept until the bound for their return, and dropped then.
func TestLapsedEntriesHaveTheirGrace(t *testing.T) {
	g := newListRig(t)
	g.learn(5, true, map[string]string{"a": "ready", "b": "ready", "c": "leaving"})
	g.at = g.at.Add(outage)
	g.learn(9, false, map[string]string{"a": "", "b": "", "c": ""})
	g.expect("a", "b") // One that was leaving has left.
	g.at = g.at.Add(pool.ExpiryGrace / 2)
	g.learn(12, false, map[string]string{"a": "ready"})
	g.expect("a", "b")
	g.at = g.at.Add(pool.ExpiryGrace)
	g.learn(13, false, nil)
	g.expect("a")
}

// TestEntryRemovedAfterTheReturnWaitsForTheSameBound: the grace is counted from the
// store's return and not from the removal. A server that left 1.8 s after one VM had
// reached the store again got work for 3.5 s.
func TestEntryRemovedAfterTheReturnWaitsForTheSameBound(t *testing.T) {
	g := newListRig(t)
	g.learn(5, true, map[string]string{"a": "ready", "b": "ready", "c": "ready"})
	g.at = g.at.Add(outage)
	g.learn(6, false, nil) // The store is back.
	g.at = g.at.Add(pool.ExpiryGrace - 200*time.Millisecond)
	g.learn(7, false, map[string]string{"a": ""})
	g.expect("a", "b", "c")
	g.at = g.at.Add(300 * time.Millisecond)
	g.learn(8, false, map[string]string{"b": ""})
	g.expect("c")
}

// TestReaderThatLostTheStoreAloneWithholdsNothing: the list stayed current, so that
// what is gone has left. A VM to which the store had not answered kept such servers for
// 2 s more, and the VMs that had the list from it did so too.
func TestReaderThatLostTheStoreAloneWithholdsNothing(t *testing.T) {
	g := newListRig(t)
	g.learn(5, true, map[string]string{"a": "ready", "b": "ready", "c": "ready"})
	for version := uint64(6); version < 12; version++ {
		g.at = g.at.Add(heartbeat)
		g.vm.spread.ApplyServers(context.Background(), spread.StoreRows{Version: version}, g.at) // As peers tell it.
	}
	g.at = g.at.Add(heartbeat)
	g.learn(12, false, map[string]string{"a": ""})
	g.expect("b", "c")
}

func TestManyEntriesGoneAtOnceHaveLapsed(t *testing.T) {
	g := newListRig(t)
	g.learn(5, true, map[string]string{"a": "ready", "b": "ready", "c": "ready"})
	g.learn(6, true, map[string]string{"c": "ready"})
	g.expect("a", "b", "c")
	g.at = g.at.Add(pool.ExpiryGrace + time.Millisecond)
	g.learn(7, false, nil)
	g.expect("c")
}

// TestOlderReadChangesNothing: a read that is behind what peers have told must
// not bring back a server that is leaving.
func TestOlderReadChangesNothing(t *testing.T) {
	g := newListRig(t)
	ctx := context.Background()
	leaving := pool.Server{ID: "a", Service: "s", Leaving: true}
	rows := []spread.ServerRow{{Server: leaving, Changed: 8}}
	g.vm.spread.ApplyServers(ctx, spread.StoreRows{Version: 8, Full: true, Rows: rows}, g.at)
	g.learn(6, true, map[string]string{"a": "ready"})
	g.expect("a leaving")
}

// TestVMThatStartsReadsOnceItsPeersKnowNothing: when all VMs were lost together they
// start together, and waiting for each other would only cost time.
func TestVMThatStartsReadsOnceItsPeersKnowNothing(t *testing.T) {
	vm := New(Options{Settings: Settings{Name: "vm-1"}, Logger: hclog.NewNullLogger()}) // Nothing runs.
	w := &watcher{vm: vm, age: func(s *spread.Snapshot) time.Time { return s.ConfigurationAt }}
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
	vm.started = now.Add(-joinLimit)
	qt.Check(t, waits(spread.Snapshot{Live: others, Fetching: true}), qt.IsFalse)
	vm.started = now.Add(-aloneLimit)
	qt.Check(t, waits(spread.Snapshot{Live: []spread.Member{self}}), qt.IsFalse)
}

// counted is a table of one row, and how often it is called.
type counted struct {
	reads, watches, writes atomic.Int64
}

func (c *counted) table() Table {
	return Table{
		Read: func(context.Context) (Rows, error) {
			c.reads.Add(1)
			return Rows{Version: 1, Rows: []Row{{Key: "row", Value: []byte("ready"), Version: 1}}}, nil
		},
		Watch: func(ctx context.Context, _ uint64, wait time.Duration) (Rows, error) {
			c.watches.Add(1)
			pause(ctx, wait)
			return Rows{Version: 1}, nil
		},
		Put: func(context.Context, string, []byte) error {
			c.writes.Add(1)
			return nil
		},
	}
}

// TestVMThatStartsCallsTheStoreLittle: of 295 VMs that start together most know no other
// for some 0.3 s. Each reads what it needs to serve at once, and nothing more until it knows
// whether it is one of the readers; one that stays alone goes on then.
func TestVMThatStartsCallsTheStoreLittle(t *testing.T) {
	tables := [4]counted{}
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
	pause(ctx, (aloneLimit+settleLimit)/2)
	calls := func() (count int64) {
		for i := range tables {
			count += tables[i].reads.Load() + tables[i].watches.Load() + tables[i].writes.Load()
		}
		return count
	}
	qt.Check(t, calls(), qt.Equals, int64(3), qt.Commentf("one for configuration, servers and copies"))
	pause(ctx, settleLimit)
	qt.Check(t, configuration.watches.Load(), qt.Equals, int64(1))
	qt.Check(t, servers.watches.Load(), qt.Equals, int64(1))
	qt.Check(t, vms.writes.Load(), qt.Equals, int64(1))
	qt.Check(t, vms.reads.Load(), qt.Equals, int64(1))
}

// TestFewVMsReadWhileTheStoreIsAway plays an outage of the store that gets old for all
// VMs of a large fleet: those that hear their peers leave the looking to a few.
func TestFewVMsReadWhileTheStoreIsAway(t *testing.T) {
	vm := New(Options{Settings: Settings{Name: "vm-1"}, Logger: hclog.NewNullLogger()}) // Nothing runs.
	current := vm.Now().Add(-4500 * time.Millisecond)                                   // As long as the platform's outages.
	live := []spread.Member{}
	for i := range 295 {
		live = append(live, spread.Member{ID: fmt.Sprintf("vm-%03d", i), FailureDomain: fmt.Sprint(i % 5), StoreUnreachable: i < 40})
	}
	vm.started = vm.started.Add(-time.Minute)
	now := vm.Now()
	reading := 0
	for _, self := range live {
		w := &watcher{vm: vm, failing: self.StoreUnreachable, failedAt: now.Add(-time.Second), age: func(s *spread.Snapshot) time.Time { return s.ConfigurationAt }}
		w.peerHeardAt = func() time.Time { return now }
		vm.ranked.live = nil // Of the VM before it.
		if !w.dueAt(&spread.Snapshot{Self: self, Live: live, Cells: 9, ConfigurationAt: current}).After(now) {
			reading++
		}
	}
	qt.Assert(t, reading >= readers && reading <= 40, qt.IsTrue, qt.Commentf("%d of 295 VMs read", reading))
}

func TestRankPutsFailureDomainsInTurn(t *testing.T) {
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
