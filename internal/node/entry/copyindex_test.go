package entry

import (
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/peer/spread"
	"github.com/endivespoke/endivespoke/internal/request/copies"
	"github.com/endivespoke/endivespoke/internal/request/relay"
)

// copiesFake is the table of the copies' index. Its first reads fail.
type copiesFake struct {
	mu       sync.Mutex
	failures int
	rows     map[string][]byte
	puts     []string // What each call did, in order.
}

func (f *copiesFake) table() Table {
	return Table{
		Read: func(context.Context) (Rows, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.failures > 0 {
				f.failures--
				f.puts = append(f.puts, "read failed")
				return Rows{}, errors.New("store is down")
			}
			f.puts = append(f.puts, "read")
			rows := Rows{}
			for key, value := range f.rows {
				rows.Rows = append(rows.Rows, Row{Key: key, Value: value})
			}
			return rows, nil
		},
		Put: func(_ context.Context, key string, value []byte) (uint64, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.puts = append(f.puts, "put "+key)
			f.rows[key] = value
			return 0, nil
		},
	}
}

func (f *copiesFake) calls() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string{}, f.puts...)
}

func encoded(t *testing.T, value any) []byte {
	raw, err := cbor.Marshal(value)
	qt.Assert(t, err, qt.IsNil)
	return raw
}

// TestStreamsOfLostVMsAreFoundOnceTheStoreIsBack starts a VM while the store is down, after a loss of all.
func TestStreamsOfLostVMsAreFoundOnceTheStoreIsBack(t *testing.T) {
	fake := &copiesFake{failures: 2, rows: map[string][]byte{}}
	fake.rows[copyIndexKey] = encoded(t, []spread.CopyLocation{{CopyKey: "k", Origin: "r1", Service: "s", Version: "v1"}})
	fake.rows[versionsKey] = encoded(t, pool.VersionAges{"s": {"v1": 0}})
	vm := New(Options{Settings: Settings{Name: "vm-1"}, Logger: hclog.NewNullLogger(), Copies: fake.table()})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = vm.spread.Serve(ctx) }()
	go func() { _ = (&copyIndex{vm: vm}).Serve(ctx) }()
	vm.putCopy(&relay.Request{ID: "r2", Origin: "r2", CopyKey: "k2", Service: "s", Version: "v1"}, relay.Copy{})
	qt.Check(t, vm.knownVersions(), qt.IsNil)
	found := relay.Earlier{}
	for end := time.Now().Add(20 * time.Second); found.Version == "" && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		found, _ = vm.findCopy(ctx, "k", "r1")
	}
	qt.Assert(t, found, qt.DeepEquals, relay.Earlier{Origin: "r1", Service: "s", Version: "v1"})
	qt.Check(t, hasSameVersions(vm.knownVersions(), pool.VersionAges{"s": {"v1": 0}}), qt.IsTrue)
	qt.Check(t, fake.calls()[:3], qt.DeepEquals, []string{"read failed", "read failed", "read"}, qt.Commentf("nothing is written before"))
}

func TestRowOfCopiesIsBounded(t *testing.T) {
	locations := []spread.CopyLocation{}
	for range 2000 {
		locations = append(locations, spread.CopyLocation{CopyKey: "0123456789abcdef0123456789abcdef", RunID: "0123456789abcdef", ServerID: "i-0123456789", Address: "10.100.100.100:65535", Service: "service", Version: "v1.22"})
	}
	value := encodeLocations(locations)
	qt.Check(t, len(value) <= maxRowBytes && len(value) > maxRowBytes/2, qt.IsTrue)
	decoded := []spread.CopyLocation{}
	qt.Assert(t, cbor.Unmarshal(value, &decoded), qt.IsNil)
	qt.Check(t, decoded, qt.DeepEquals, locations[:len(decoded)])
}

func TestUnreadableVersionsAreNotTakenForNone(t *testing.T) {
	vm, store := newEraVM(t)
	store.set(1, 5, Row{Key: versionsKey, Value: []byte("\xff\x00no row"), Version: 5})
	(&copyIndex{vm: vm}).read(context.Background())
	_, known := vm.servers.Versions()
	qt.Check(t, known, qt.IsFalse)
}

func TestRowsOfStreamsAreReadOnceTheStoreIsBack(t *testing.T) {
	vm, store := newEraVM(t)
	store.set(1, 5, Row{Key: versionsKey, Value: encoded(t, pool.VersionAges{"s": {"v1": 0}}), Version: 5})
	reads := atomic.Int64{}
	read := vm.options.Copies.Read
	vm.options.Copies.Read = func(ctx context.Context) (Rows, error) {
		if reads.Add(1) == 1 {
			return Rows{}, errors.New("the store does not answer")
		}
		return read(ctx)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = (&copyIndex{vm: vm}).Serve(ctx) }()
	known := false
	for end := time.Now().Add(5 * time.Second); !known && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		_, known = vm.servers.Versions()
	}
	qt.Check(t, known, qt.IsTrue)
}

func TestOneLongIDLeavesTheOtherStreamsInTheRow(t *testing.T) {
	long := spread.CopyLocation{CopyKey: "long", Origin: strings.Repeat("x", maxRowBytes)}
	written := []spread.CopyLocation{}
	err := cbor.Unmarshal(encodeLocations([]spread.CopyLocation{long, {CopyKey: "key", Origin: "r1", Version: "v1"}}), &written)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, slices.ContainsFunc(written, func(l spread.CopyLocation) bool { return l.CopyKey == "key" }), qt.IsTrue)
}

// TestVersionThatAnnouncementsLackIsAskedFor guards against the refusal of a returned stream whose version
// another VM knows.
func TestVersionThatAnnouncementsLackIsAskedFor(t *testing.T) {
	fake := &copiesFake{rows: map[string][]byte{versionsKey: encoded(t, pool.VersionAges{"s": {"v1": 0, "v2": 0}})}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	vms := []*VM{}
	seeds := []string{}
	for i := range 2 {
		server := httptest.NewUnstartedServer(nil)
		address := server.Listener.Addr().String()
		vm := New(Options{Settings: Settings{Name: fmt.Sprint("vm-", i), PeerAddress: address, Seeds: seeds}, Logger: hclog.NewNullLogger(), Copies: fake.table()})
		server.Config.Handler = vm.PeerHandler()
		server.Start()
		t.Cleanup(server.CloseClientConnections)
		go func() { _ = vm.spread.Serve(ctx) }()
		(&copyIndex{vm: vm}).read(ctx)
		vm.copyIndexRead.Store(true)
		vms, seeds = append(vms, vm), []string{address}
	}
	returned, other := vms[1], vms[0]
	for end := time.Now().Add(10 * time.Second); len(returned.spread.Snapshot().Live) < 2 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
	}
	returned.started = returned.started.Add(-time.Hour) // It has long joined.
	for _, isKnown := range []bool{true, false} {
		origin := fmt.Sprint("r-", isKnown)
		if isKnown {
			returned.copies.Put("k-"+origin, copies.Record{Origin: origin, Service: "s"})
		}
		other.copies.Put("k-"+origin, copies.Record{Origin: origin, Service: "s", Version: "v2"})
		found, _ := returned.findCopy(ctx, "k-"+origin, origin)
		qt.Check(t, found, qt.DeepEquals, relay.Earlier{Origin: origin, Service: "s", Version: "v2"})
	}
}
