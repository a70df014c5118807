package entry

import (
	"context"
	"sync"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/node/event"
)

// The platform's store may come back from an older copy, which begins a new era; see
// spread.StoreVersion. A VM learns of it from any answer of the store, or from a peer's list of
// servers. Its watches then read their tables again, and its rows are written again.

// errOlderEra means that an answer of the store is of an older era than one before, or names none
// although others did. It may have been delayed, so nothing in it is used.
const errOlderEra = errors.ConstError("the store answered from an older era")

// checkEra records the era of an answer of the store. The error is errOlderEra.
func (v *VM) checkEra(era uint64) error {
	if known := v.storeEra.Load(); era < known {
		event.StoreEraOutdated.Warn(v.logger, "era", era, "known", known)
		return errors.Trace(errOlderEra)
	}
	v.raiseEra(era)
	return nil
}

// raiseEra records an era of the store if it is newer than the known one.
func (v *VM) raiseEra(era uint64) {
	for known := v.storeEra.Load(); era > known; known = v.storeEra.Load() {
		if v.storeEra.CompareAndSwap(known, era) {
			if known > 0 {
				v.counters.storeRestored()
			}
			return
		}
	}
}

// writtenRows keeps which rows this VM has written to the store in the present era. A new era has
// none: whoever writes a row asks has before, and writes it again.
type writtenRows struct {
	vm *VM

	mu       sync.Mutex
	era      uint64
	keys     map[string]bool
	outdated map[string]bool // Written in an earlier era and not since.
}

func newWrittenRows(vm *VM) *writtenRows {
	return &writtenRows{vm: vm, keys: map[string]bool{}, outdated: map[string]bool{}}
}

// has reports whether this VM has written the row with a key in the present era.
func (w *writtenRows) has(key string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.enter(w.vm.storeEra.Load())
	return w.keys[key]
}

// put writes a row.
func (w *writtenRows) put(ctx context.Context, table Table, key string, value []byte) error {
	era, err := table.Put(ctx, key, value)
	if err == nil {
		err = w.vm.checkEra(era)
	}
	if err != nil {
		return errors.Trace(err)
	}
	w.mu.Lock()
	w.enter(era)
	isRepeat := w.outdated[key]
	if w.era == era {
		w.keys[key] = true
		delete(w.outdated, key)
	}
	w.mu.Unlock()
	if isRepeat {
		event.StoreRowRewritten.Info(w.vm.logger, "key", key, "era", era)
	}
	return nil
}

// enter forgets the rows of earlier eras. Called with the lock held.
func (w *writtenRows) enter(era uint64) {
	if era <= w.era {
		return
	}
	if w.era > 0 {
		for key := range w.keys {
			w.outdated[key] = true
		}
		w.keys = map[string]bool{}
	}
	w.era = era
}
