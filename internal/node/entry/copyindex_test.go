package entry

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
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
