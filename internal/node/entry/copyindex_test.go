package entry

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/peer/spread"
)

func TestUnreadableVersionsAreNotTakenForNone(t *testing.T) {
	vm, store := newEraVM(t)
	store.set(1, 5, Row{Key: versionsKey, Value: []byte("\xff\x00no row"), Version: 5})
	(&copyIndex{vm: vm}).read(context.Background())
	_, known := vm.servers.Versions()
	qt.Check(t, known, qt.IsFalse)
}

func TestRowsOfStreamsAreReadOnceTheStoreIsBack(t *testing.T) {
	vm, store := newEraVM(t)
	store.set(1, 5)
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
