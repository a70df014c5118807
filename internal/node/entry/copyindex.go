package entry

import (
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/node/rescue"
	"github.com/endivespoke/endivespoke/internal/peer/spread"
	"github.com/endivespoke/endivespoke/internal/request/copies"
	"github.com/endivespoke/endivespoke/internal/request/crash"
)

const (
	// copyIndexInterval is how often the locations of copies are written, if they changed.
	// Each call of the store has a price. After a loss of all VMs, streams of the last
	// half second have to process their prompts again.
	copyIndexInterval = 500 * time.Millisecond
	// copyIndexMaxAge is the age up to which the location of a copy is written. Streams
	// last 4 s to 10 s after up to 5 s in a queue, and locations for streams that have ended
	// are harmless.
	copyIndexMaxAge = 16 * time.Second
	// copyIndexMaxEntries bounds the entries of a row. An entry takes up to 100 bytes, and
	// a row of the platform holds 64 KiB.
	copyIndexMaxEntries = 600
	// copyIndexReaders is the rank below which VMs read the rows when they start, in a fleet
	// of one cell. In larger fleets the copy index VMs read them and answer the queries of
	// the others; see package spread.
	copyIndexReaders = 12
	// copyIndexReadTimeout is how long readiness of a starting VM waits for this read.
	copyIndexReadTimeout = 150 * time.Millisecond
	// minVersionsInterval is the first interval at which other VMs are asked for the versions that the store lacks,
	// and aloneTime how long after its start a VM that knows no other may find some.
	minVersionsInterval = 20 * time.Millisecond
	aloneTime           = 500 * time.Millisecond
	// copyIndexKey is the key of the first cell's row. Other cells add their number:
	// "running-3" is the row of the fourth cell.
	copyIndexKey = "running"
	// versionsKey is the key of the row of the versions that servers were listed with lately.
	versionsKey = "versions"
	// maxRowBytes bounds the value of a row; the platform's rows hold 64 KiB.
	maxRowBytes = 60 << 10
	// maxIDBytes bounds the ids of a location in a row.
	maxIDBytes = 1 << 10
	// suspectsKey is the key of the row of what may make requests crash servers. All VMs have
	// the same list, so one row serves all cells.
	suspectsKey = "crashes"
)

// copyIndex stores the locations of the copies of running streams, for the case that all
// VMs fail together: servers keep copies for some seconds, and callers reconnect as soon as
// VMs are available. The VMs of a cell announce all copies to each other, so one VM of each
// cell writes for it. The writer of the first cell also writes the suspects of crashes.
type copyIndex struct {
	vm             *VM
	writtenChanges int              // Change count of the copies at the last write.
	suspectsDigest uint64           // Checksum of the suspects of crashes at the last write.
	versions       pool.VersionAges // As they were written last.
}

// String names the service in the supervisor's messages.
func (c *copyIndex) String() string {
	return "copies in the store"
}

// Serve runs until the context ends.
func (c *copyIndex) Serve(ctx context.Context) error {
	c.vm.awaitPeers(ctx, seedTimeout)
	// A write before the read would replace what is to be read. After the retention nothing is left of that.
	for tries := 0; c.isReader(c.vm.spread.Snapshot()) && ctx.Err() == nil && c.vm.Now().Sub(c.vm.started) < copies.Retention; tries++ {
		err := c.read(ctx)
		if err == nil {
			break
		}
		if tries == 0 {
			event.CopiesUnread.Info(c.vm.logger, "error", err)
		}
		sleep(ctx, copyIndexInterval)
	}
	c.vm.copyIndexRead.Store(true)
	if c.vm.lacksVersions.Load() {
		rescue.Go(c.vm.logger, "versions from other VMs", func() { c.awaitVersions(ctx) })
	}
	for ctx.Err() == nil {
		snapshot := c.vm.spread.Snapshot()
		// Each cell has a writer; with more cells each of them writes less often.
		sleep(ctx, time.Duration(math.Sqrt(float64(snapshot.Cells))*float64(copyIndexInterval)))
		if snapshot = c.vm.spread.Snapshot(); !c.isWriter(snapshot) {
			continue
		}
		c.write(ctx, copyIndexRowKey(snapshot))
		if snapshot.Cell == 0 {
			c.writeSuspects(ctx)
			c.writeVersions(ctx)
		}
	}
	return ctx.Err()
}

func (c *copyIndex) isReader(snapshot *spread.Snapshot) bool {
	isIndexVM := slices.ContainsFunc(snapshot.CopyIndexVMs, func(m spread.Member) bool { return m.ID == snapshot.Self.ID })
	return isIndexVM || (snapshot.Cells <= 1 && c.vm.rank(snapshot) < copyIndexReaders)
}

// isWriter reports whether this VM writes for its cell: it is the first copy index VM of
// the cell that the store answers.
func (c *copyIndex) isWriter(snapshot *spread.Snapshot) bool {
	for _, member := range snapshot.CopyIndexVMs {
		if member.ID == snapshot.Self.ID {
			return !c.vm.storeUnreachable.Load()
		}
		isCellPeer := slices.ContainsFunc(snapshot.CellPeers, func(m spread.Member) bool { return m.ID == member.ID })
		if isCellPeer && !member.StoreUnreachable && !member.Leaving {
			return false
		}
	}
	return false
}

// copyIndexRowKey returns the key of the row of this VM's cell.
func copyIndexRowKey(snapshot *spread.Snapshot) string {
	if snapshot.Cell == 0 {
		return copyIndexKey
	}
	return fmt.Sprintf("%s-%d", copyIndexKey, snapshot.Cell)
}

// read restores the locations that earlier VMs wrote. Locations that peers announced since
// take precedence. It fails if the store doesn't answer.
func (c *copyIndex) read(ctx context.Context) error {
	rows, err := c.vm.options.Copies.Read(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	stored := map[string]bool{}
	defer c.vm.storedKeys.Store(&stored)
	var versions pool.VersionAges
	var versionsErr error
	for _, row := range rows.Rows {
		if row.Key == versionsKey {
			if versionsErr = cbor.Unmarshal(row.Value, &versions); versionsErr != nil {
				event.CopiesUnread.Info(c.vm.logger, "row", row.Key, "error", versionsErr)
			}
			continue
		}
		if row.Key == suspectsKey {
			c.readSuspects(row)
			continue
		}
		locations := []spread.CopyLocation{}
		if err = cbor.Unmarshal(row.Value, &locations); err != nil {
			event.CopiesUnread.Info(c.vm.logger, "row", row.Key, "error", err)
			continue
		}
		for _, location := range locations {
			c.vm.copies.PutOlder(location.CopyKey, recordOf(location))
			stored[location.CopyKey] = true
		}
	}
	if versions != nil && versionsErr == nil {
		c.vm.servers.AddVersions(versions)
	}
	c.vm.lacksVersions.Store(versions == nil && versionsErr == nil)
	return nil
}

// awaitVersions asks the other copy index VMs for the versions that the store lacks. If none of them knows any
// either, all of them have just started, and no stream has begun before.
func (c *copyIndex) awaitVersions(ctx context.Context) {
	for interval := minVersionsInterval; ctx.Err() == nil; interval = min(2*interval, copyIndexInterval) {
		mayLackPeers := len(c.vm.spread.Snapshot().Live) == 1 && c.vm.Now().Before(c.vm.started.Add(aloneTime))
		allAnswered := !mayLackPeers && c.vm.spread.AskForVersions(ctx)
		if _, known := c.vm.servers.Versions(); known || allAnswered {
			c.vm.servers.AddVersions(nil)
			c.vm.lacksVersions.Store(false)
			return
		}
		sleep(ctx, interval) // A VM that has just started too answers once it has read the store.
	}
}

// readSuspects restores the suspects of crashes with their ages at the time of the write. How long
// ago that was is not known, so a cause stays blocked for the time that remained when the row was
// written.
func (c *copyIndex) readSuspects(row Row) {
	reports := []crash.Report{}
	if err := cbor.Unmarshal(row.Value, &reports); err != nil {
		event.CopiesUnread.Info(c.vm.logger, "row", row.Key, "error", err)
		return
	}
	c.vm.crashes.Merge(reports)
	_, c.suspectsDigest = c.vm.crashes.Suspects()
}

func (c *copyIndex) writeSuspects(ctx context.Context) {
	reports, digest := c.vm.crashes.Suspects()
	if digest == c.suspectsDigest && (digest == 0 || c.vm.written.has(suspectsKey)) {
		return
	}
	value, err := cbor.Marshal(reports)
	if err != nil {
		panic(err) // Strings and numbers can always be encoded as CBOR.
	}
	if err = c.vm.written.put(ctx, c.vm.options.Copies, suspectsKey, value); err != nil {
		c.vm.logger.Debug("the suspects of crashes could not be written", "error", err)
		return // The next interval retries.
	}
	c.suspectsDigest = digest
}

func (c *copyIndex) write(ctx context.Context, key string) {
	known, changes := c.vm.copies.Newest(copyIndexMaxAge, copyIndexMaxEntries)
	if changes == c.writtenChanges && (len(known) == 0 || c.vm.written.has(key)) {
		return
	}
	locations := []spread.CopyLocation{}
	located := map[string]bool{}
	for _, l := range c.vm.copies.Origins(copyIndexMaxAge, copyIndexMaxEntries) {
		l.Record.Ambiguous = known[l.CopyKey].Ambiguous
		located[l.CopyKey] = true
		locations = append(locations, locationOf(l.CopyKey, l.Record))
	}
	for copyKey, record := range known {
		if !located[copyKey] {
			locations = append(locations, locationOf(copyKey, record))
		}
	}
	if err := c.vm.written.put(ctx, c.vm.options.Copies, key, encodeLocations(locations)); err != nil {
		c.vm.logger.Debug("the locations of copies could not be written", "error", err)
		return // The next interval retries.
	}
	c.writtenChanges = changes
}

// encodeLocations encodes the locations that fit into a row, the first ones if there are too many.
// Callers choose the ids of requests; one with a long id is left out.
func encodeLocations(locations []spread.CopyLocation) []byte {
	locations = slices.DeleteFunc(slices.Clone(locations), func(l spread.CopyLocation) bool {
		return len(l.Origin)+len(l.RunID) > maxIDBytes
	})
	for {
		value, err := cbor.Marshal(locations)
		if err != nil {
			panic(err) // Strings can always be encoded as CBOR.
		}
		if len(value) <= maxRowBytes {
			return value
		}
		locations = locations[:len(locations)*maxRowBytes/len(value)]
	}
}

// writeVersions writes the versions that servers were listed with lately: after a loss of all VMs, a
// stream of which nothing else is known may go on if there is only one.
func (c *copyIndex) writeVersions(ctx context.Context) {
	versions := c.vm.knownVersions()
	if versions == nil || (hasSameVersions(versions, c.versions) && c.vm.written.has(versionsKey)) {
		return
	}
	value, err := cbor.Marshal(versions)
	if err != nil {
		panic(err) // Strings can always be encoded as CBOR.
	}
	if err = c.vm.written.put(ctx, c.vm.options.Copies, versionsKey, value); err != nil {
		c.vm.logger.Debug("the versions of servers could not be written", "error", err)
		return // The next interval retries.
	}
	c.versions = versions
}

func hasSameVersions(a, b pool.VersionAges) bool {
	return maps.EqualFunc(a, b, func(x, y map[string]int64) bool {
		return maps.EqualFunc(x, y, func(int64, int64) bool { return true })
	})
}
