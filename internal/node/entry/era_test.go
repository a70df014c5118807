package entry

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/config/routing"
	"github.com/endivespoke/endivespoke/internal/peer/spread"
)

// eraTable answers with the rows and the version that a test sets.
type eraTable struct {
	mu      sync.Mutex
	version spread.StoreVersion
	rows    []Row
	puts    []uint64 // The eras of the writes.
}

func (e *eraTable) set(era, rev uint64, rows ...Row) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version, e.rows = spread.StoreVersion{Era: era, Rev: rev}, rows
}

func (e *eraTable) table() Table {
	answer := func() (Rows, error) {
		e.mu.Lock()
		defer e.mu.Unlock()
		return Rows{Version: e.version, Rows: e.rows}, nil
	}
	return Table{
		Read: func(context.Context) (Rows, error) { return answer() },
		Watch: func(ctx context.Context, since uint64, _ time.Duration) (Rows, error) {
			sleep(ctx, 10*time.Millisecond)
			rows, err := answer()
			if rows.Version.Rev <= since {
				rows.Rows = nil
			}
			return rows, err
		},
		Put: func(context.Context, string, []byte) (uint64, error) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.puts = append(e.puts, e.version.Era)
			return e.version.Era, nil
		},
	}
}

func newEraVM(t *testing.T) (*VM, *eraTable) {
	servers := &eraTable{}
	table := servers.table()
	vm := New(Options{
		Settings: Settings{Name: "vm-1", PeerAddress: "127.0.0.1:1", ServerHeartbeat: serverHeartbeat}, Logger: hclog.NewNullLogger(),
		DecodeConfiguration: func([]byte) (*routing.Configuration, error) { return routing.New(routing.Content{Version: 1}), nil },
		DecodeServer:        func(id string, _ []byte) (pool.Server, bool) { return pool.Server{ID: id, Service: "s"}, true },
		Configuration:       table, Servers: table, VMs: table, Copies: table,
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = vm.spread.Serve(ctx) }()
	return vm, servers
}

func eraWatcher(vm *VM) *watcher {
	return &watcher{name: "servers", vm: vm, table: vm.options.Servers, apply: vm.applyServers}
}

func row(id string, version uint64) Row { return Row{Key: id, Version: version} }

// TestAnswersOfAnOlderEraAreNotUsed has a store whose answers name eras 2, 1, none and 3.
func TestAnswersOfAnOlderEraAreNotUsed(t *testing.T) {
	vm, store := newEraVM(t)
	w := eraWatcher(vm)
	ctx := context.Background()
	listed := func() (ids []string) {
		for _, s := range vm.spread.Snapshot().Servers {
			ids = append(ids, s.ID)
		}
		return ids
	}
	store.set(2, 5, row("a", 5))
	qt.Assert(t, w.poll(ctx), qt.IsNil)
	qt.Assert(t, listed(), qt.DeepEquals, []string{"a"})
	for _, older := range []uint64{1, 0} {
		store.set(older, 900, row("b", 900))
		qt.Check(t, errors.Is(w.poll(ctx), errOlderEra), qt.IsTrue)
		w.synced = false
		qt.Check(t, errors.Is(w.poll(ctx), errOlderEra), qt.IsTrue)
		qt.Check(t, listed(), qt.DeepEquals, []string{"a"})
	}
	store.set(3, 2, row("a", 1), row("c", 2))
	w.synced, w.since = true, spread.StoreVersion{Era: 2, Rev: 1} // Its connection is kept.
	qt.Assert(t, w.poll(ctx), qt.IsNil)                           // It applies nothing of the answer as a change.
	qt.Check(t, listed(), qt.DeepEquals, []string{"a"})
	qt.Assert(t, w.poll(ctx), qt.IsNil)
	qt.Check(t, listed(), qt.HasLen, 2)
}

func TestRowsAreWrittenOnceInEachEra(t *testing.T) {
	vm, store := newEraVM(t)
	d := &discovery{vm: vm}
	ctx := context.Background()
	for era := uint64(1); era <= 3; era++ {
		store.set(era, 5)
		vm.raiseEra(era)
		for range 3 {
			d.announce(ctx)
		}
	}
	qt.Check(t, store.puts, qt.DeepEquals, []uint64{1, 2, 3})
	store.set(2, 9) // The answer to a write that the next restore lost.
	vm.raiseEra(4)
	d.announce(ctx)
	qt.Check(t, vm.written.has("127.0.0.1:1"), qt.IsFalse)
}
