package entry

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/peer/spread"
	"github.com/endivespoke/endivespoke/internal/request/crash"
)

const (
	// keepEvery is how often the places of copies are written, if they changed. Each
	// call of the store is priced; streams of the last half second read their prompts again.
	keepEvery = 500 * time.Millisecond
	// keptFor is how old the entry of a copy that is written may be. Streams last 4 s to
	// 10 s, and entries of those that have ended do no harm.
	keptFor = 12 * time.Second
	// keptMost bounds the entries of the row. One takes up to 100 bytes, and a row of
	// the platform holds 64 KiB.
	keptMost = 600
	// keptReaders is up to which rank VMs of a fleet of one cell read the rows when they
	// start; in larger ones the keepers do, whom the others ask; see package spread.
	keptReaders = 12
	// keptReadLimit is how long a VM that starts waits for them at most until it is ready.
	keptReadLimit = 150 * time.Millisecond
	// keptKey is the row, of the first cell in a fleet of several: "running-3" is that of
	// the fourth.
	keptKey = "running"
	// crashesKey is the row with the contents that are refused, of all cells: all VMs know of
	// them.
	crashesKey = "crashes"
)

// keeper keeps in the store where the copies of running streams are, for the case
// that all VMs are lost together: servers keep copies for some seconds, and callers
// come back as soon as VMs are there. The VMs of a cell tell each other of all copies, so
// one of each cell writes for it. The first cell's also writes which requests crash servers.
type keeper struct {
	vm         *VM
	written    int    // How often copies had changed when they were last written.
	crashesSum uint64 // Of the contents that were refused when they were last written.
}

// String names the service in the supervisor's messages.
func (k *keeper) String() string {
	return "copies in the store"
}

// Serve runs until the context ends.
func (k *keeper) Serve(ctx context.Context) error {
	k.vm.awaitPeers(ctx, aloneLimit)
	if k.reads(k.vm.spread.Snapshot()) {
		k.read(ctx)
	}
	k.vm.copiesRead.Store(true)
	for ctx.Err() == nil {
		snapshot := k.vm.spread.Snapshot()
		// With several cells there are as many writers, and each writes less often.
		pause(ctx, time.Duration(math.Sqrt(float64(snapshot.Cells))*float64(keepEvery)))
		if snapshot = k.vm.spread.Snapshot(); !k.writes(snapshot) {
			continue
		}
		k.write(ctx, keyOf(snapshot))
		if snapshot.Cell == 0 {
			k.writeCrashes(ctx)
		}
	}
	return ctx.Err()
}

func (k *keeper) reads(snapshot *spread.Snapshot) bool {
	isKeeper := slices.ContainsFunc(snapshot.CopyIndexVMs, func(m spread.Member) bool { return m.ID == snapshot.Self.ID })
	return isKeeper || (snapshot.Cells <= 1 && k.vm.rank(snapshot) < keptReaders)
}

// writes reports whether this VM writes for its cell: the first keeper there that the store
// answers.
func (k *keeper) writes(snapshot *spread.Snapshot) bool {
	for _, keeper := range snapshot.CopyIndexVMs {
		if keeper.ID == snapshot.Self.ID {
			return !k.vm.storeLost.Load()
		}
		isMate := slices.ContainsFunc(snapshot.CellPeers, func(m spread.Member) bool { return m.ID == keeper.ID })
		if isMate && !keeper.StoreUnreachable && !keeper.Leaving {
			return false
		}
	}
	return false
}

// keyOf is the row of the VM's cell.
func keyOf(snapshot *spread.Snapshot) string {
	if snapshot.Cell == 0 {
		return keptKey
	}
	return fmt.Sprintf("%s-%d", keptKey, snapshot.Cell)
}

// read learns what the VMs before this one knew. What peers told since goes first.
func (k *keeper) read(ctx context.Context) {
	rows, err := k.vm.options.Copies.Read(ctx)
	if err != nil {
		event.CopiesUnread.Info(k.vm.logger, "error", err)
		return
	}
	for _, row := range rows.Rows {
		if row.Key == crashesKey {
			k.readCrashes(row)
			continue
		}
		notes := []spread.CopyLocation{}
		if err = cbor.Unmarshal(row.Value, &notes); err != nil {
			event.CopiesUnread.Info(k.vm.logger, "row", row.Key, "error", err)
			continue
		}
		for _, note := range notes {
			k.vm.copies.PutIfAbsent(note.CopyKey, copyOf(note))
		}
	}
}

// readCrashes takes their ages as they were when the row was written. How long ago that was
// isn't known, so a content is refused for what was left of its refusal then.
func (k *keeper) readCrashes(row Row) {
	notes := []crash.Report{}
	if err := cbor.Unmarshal(row.Value, &notes); err != nil {
		event.CopiesUnread.Info(k.vm.logger, "row", row.Key, "error", err)
		return
	}
	k.vm.crashes.Merge(notes)
	_, k.crashesSum = k.vm.crashes.Blocked()
}

func (k *keeper) writeCrashes(ctx context.Context) {
	notes, sum := k.vm.crashes.Blocked()
	if sum == k.crashesSum {
		return
	}
	value, err := cbor.Marshal(notes)
	if err != nil {
		panic(err) // Texts and numbers always have CBOR.
	}
	if err = k.vm.options.Copies.Put(ctx, crashesKey, value); err != nil {
		k.vm.logger.Debug("the requests that crash servers could not be written", "error", err)
		return // The next turn tries again.
	}
	k.crashesSum = sum
}

func (k *keeper) write(ctx context.Context, key string) {
	known, changes := k.vm.copies.Newest(keptFor, keptMost)
	if changes == k.written {
		return
	}
	notes := make([]spread.CopyLocation, 0, len(known))
	for copyKey, copied := range known {
		notes = append(notes, noteOf(copyKey, copied))
	}
	value, err := cbor.Marshal(notes)
	if err != nil {
		panic(err) // Texts always have CBOR.
	}
	if err = k.vm.options.Copies.Put(ctx, key, value); err != nil {
		k.vm.logger.Debug("the places of copies could not be written", "error", err)
		return // The next turn tries again.
	}
	k.written = changes
}
