package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/peer/spread"
	"github.com/endivespoke/endivespoke/internal/request/copies"
	"github.com/endivespoke/endivespoke/internal/request/relay"
)

// What the VMs know of each other's streams, so that a caller whose VM was lost can go on at
// another one. A run is announced when it is sent to a server, before its caller can have received
// anything of it. Equal requests of several callers can't be told apart when one of them returns,
// so the VMs that run them mark their key as ambiguous, also in the store: after a loss of all VMs
// the rows of package entry's copyIndex may lack a run of the last half second.

// localStreams are the streams that run on this VM, by copy key, and those that ended within
// copies.Retention: their callers may return.
type localStreams struct {
	running map[string]map[*relay.Request]spread.CopyLocation // The announcement of each.
	ended   []endedStream                                     // Oldest first.
}

type endedStream struct {
	location spread.CopyLocation
	expireAt time.Time
}

// joinTime is the time after its start in which a VM may miss announcements, as not all VMs know
// it yet. Of several equal requests it may then know one only, unless the others were in the store.
const joinTime = 2 * time.Second

// locationOf converts a record of the copies' index to its announcement, and recordOf the reverse.
func locationOf(copyKey string, record copies.Record) spread.CopyLocation {
	location := spread.CopyLocation{CopyKey: copyKey, RunID: record.Copy.RunID, ServerID: record.Copy.ServerID, Address: record.Copy.Address,
		Ambiguous: record.Ambiguous, Service: record.Service, Version: record.Version, ByOriginOnly: record.ByOriginOnly}
	if record.Origin != record.Copy.RunID {
		location.Origin = record.Origin
	}
	return location
}

func recordOf(location spread.CopyLocation) copies.Record {
	record := copies.Record{Origin: location.Origin, Copy: relay.Copy{RunID: location.RunID, ServerID: location.ServerID, Address: location.Address},
		Ambiguous: location.Ambiguous, Service: location.Service, Version: location.Version, ByOriginOnly: location.ByOriginOnly}
	if record.Origin == "" {
		record.Origin = location.RunID
	}
	return record
}

// putCopy records a run of a stream on this VM and the newest copy of its memory. A caller that
// returned although nothing is known of an earlier attempt shows that runs with the key are unknown
// here, which may be those of several callers.
func (v *VM) putCopy(request *relay.Request, copied relay.Copy) {
	record := copies.Record{Origin: request.Origin, Copy: copied, Service: request.Service, Version: request.Version, ByOriginOnly: request.SharesKey}
	if request.LastEventID != "" && !request.OriginKnown && !request.SharesKey {
		record.Ambiguous = true
		if request.Resumes == "" {
			record = copies.Record{Ambiguous: true}
		}
	}
	location := locationOf(request.CopyKey, record)
	if v.copies.Put(request.CopyKey, record) {
		location.Ambiguous = true
		v.ambiguous.add(request.CopyKey)
	}
	v.mu.Lock()
	running := v.localStreams.running
	if running[request.CopyKey] == nil {
		running[request.CopyKey] = map[*relay.Request]spread.CopyLocation{}
	}
	running[request.CopyKey][request] = location
	v.mu.Unlock()
	v.spread.AnnounceCopy(location)
}

// forgetCopy stops announcing a stream once it has ended on this VM. If its caller received
// nothing of it, other VMs forget it too: the caller's next attempt is then the only one again.
// If its caller received all of it, this VM finds no copy for its key.
func (v *VM) forgetCopy(request *relay.Request, hasBegun, isComplete bool) {
	if isComplete {
		v.copies.Complete(request.CopyKey, request.Origin)
	}
	v.mu.Lock()
	running := v.localStreams.running
	location, found := running[request.CopyKey][request]
	delete(running[request.CopyKey], request)
	if len(running[request.CopyKey]) == 0 {
		delete(running, request.CopyKey)
	}
	hasBegun = hasBegun || request.LastEventID != ""
	now := v.Now()
	ended := slices.IndexFunc(v.localStreams.ended, func(e endedStream) bool { return e.expireAt.After(now) })
	if ended < 0 {
		ended = len(v.localStreams.ended)
	}
	v.localStreams.ended = v.localStreams.ended[ended:]
	if found && hasBegun {
		v.localStreams.ended = append(v.localStreams.ended, endedStream{location: location, expireAt: now.Add(copies.Retention)})
	}
	v.mu.Unlock()
	if !found || hasBegun {
		return
	}
	v.copies.Withdraw(request.CopyKey, request.Origin)
	v.spread.AnnounceCopy(spread.CopyLocation{CopyKey: request.CopyKey, Origin: request.Origin, Withdrawn: true})
}

// localCopyLocations returns the announcements of the streams that run on this VM. Another VM
// needs them to resume the streams if this one fails.
func (v *VM) localCopyLocations() []spread.CopyLocation {
	v.mu.Lock()
	defer v.mu.Unlock()
	locations := []spread.CopyLocation{}
	for _, runs := range v.localStreams.running {
		for _, location := range runs {
			locations = append(locations, location)
		}
	}
	return locations
}

// recentCopyLocations returns also those that ended on this VM, for VMs that did not know its
// streams while they ran. Of equal requests it tells that there were several: the VM of the others
// may be lost.
func (v *VM) recentCopyLocations() []spread.CopyLocation {
	locations := v.localCopyLocations()
	now := v.Now()
	v.mu.Lock()
	for _, e := range v.localStreams.ended {
		if e.expireAt.After(now) {
			locations = append(locations, e.location)
		}
	}
	v.mu.Unlock()
	for i, location := range locations {
		if record, found := v.copies.Known(location.CopyKey); found && record.Ambiguous {
			locations[i].Ambiguous = true
		}
	}
	return locations
}

// mergeCopies applies the announcements of other VMs.
func (v *VM) mergeCopies(locations []spread.CopyLocation) {
	for _, location := range locations {
		record := recordOf(location)
		if location.Withdrawn {
			v.copies.Withdraw(location.CopyKey, record.Origin)
			continue
		}
		if !v.copies.Put(location.CopyKey, record) {
			continue
		}
		v.mu.Lock()
		runsHere := len(v.localStreams.running[location.CopyKey]) > 0
		v.mu.Unlock()
		if runsHere {
			v.ambiguous.add(location.CopyKey)
		}
	}
}

// findCopy returns what is known of the attempts of a request: of the one that began with the attempt
// origin, if its caller names that, and otherwise of the only one with the key. The VMs of a cell know
// each other's runs, and from the store those of VMs that were lost before they started; those of other
// cells are asked, and others of the cell too if a version is missing.
func (v *VM) findCopy(ctx context.Context, copyKey, origin string) (earlier relay.Earlier, found bool) {
	record, found := copies.Record{}, false
	if origin != "" {
		record, found = v.findNamed(ctx, copyKey, origin)
	} else {
		record, found = v.findOnly(ctx, copyKey)
	}
	return relay.Earlier{Origin: record.Origin, Copy: record.Copy, Service: record.Service, Version: record.Version}, found
}

// findNamed returns the record of the runs with a key whose request began with the attempt origin.
func (v *VM) findNamed(ctx context.Context, copyKey, origin string) (record copies.Record, found bool) {
	if record, found = v.copies.FindOrigin(copyKey, origin); found && record.Version != "" {
		return record, true
	}
	_, knowsVersions := v.servers.Versions()
	hasJoined := v.Now().Sub(v.started) > joinTime
	if hasJoined && v.knowsCell() && knowsVersions && v.spread.Snapshot().Cells <= 1 && !v.hasSeveralVersions(record.Service) {
		return record, found
	}
	locations, _, _ := v.spread.LocateCopies(ctx, spread.CopyQuery{CopyKey: copyKey, Origin: origin})
	for _, location := range locations {
		v.copies.PutOlder(copyKey, recordOf(location))
	}
	return v.copies.FindOrigin(copyKey, origin)
}

// hasSeveralVersions reports whether the streams of a service, or of any if it is empty, may be of several
// versions. The version of a run may then be in an announcement that is on its way or was lost.
func (v *VM) hasSeveralVersions(service string) bool {
	ages, _ := v.servers.Versions()
	for name, versions := range ages {
		if len(versions) > 1 && (service == "" || service == name) {
			return true
		}
	}
	return false
}

// knowsCell reports whether this VM knows the runs of its cell that ended before it started.
func (v *VM) knowsCell() bool {
	return v.Now().Sub(v.started) > copies.Retention || v.storedKeys.Load() != nil
}

// findOnly returns the record of the only request with a key.
func (v *VM) findOnly(ctx context.Context, copyKey string) (record copies.Record, found bool) {
	record, found = v.copies.Find(copyKey)
	stored := v.storedKeys.Load()
	if v.Now().Sub(v.started) < joinTime && (stored == nil || !(*stored)[copyKey]) {
		return copies.Record{}, false
	}
	knowsCell := v.knowsCell()
	if !found || !knowsCell || v.spread.Snapshot().Cells > 1 {
		locations, ownAnswered, othersAnswered := v.spread.LocateCopies(ctx, spread.CopyQuery{CopyKey: copyKey})
		for _, location := range locations {
			v.copies.PutOlder(copyKey, recordOf(location))
		}
		if !othersAnswered || !(knowsCell || ownAnswered) {
			return copies.Record{}, false
		}
		record, found = v.copies.Find(copyKey)
	}
	return record, found
}

// findCopyLocations answers another VM's query for runs. Known is false while this VM has not read
// those that ended before it started.
func (v *VM) findCopyLocations(queries []spread.CopyQuery) (locations []spread.CopyLocation, known bool) {
	for _, query := range queries {
		if record, found := v.copies.FindOrigin(query.CopyKey, query.Origin); found {
			locations = append(locations, locationOf(query.CopyKey, record))
		} else if record, found = v.copies.Known(query.CopyKey); found {
			locations = append(locations, locationOf(query.CopyKey, record))
		}
	}
	return locations, v.copyIndexRead.Load()
}

// knownVersions returns the versions that servers of each service were listed with lately, nil while
// this VM may not know them all.
func (v *VM) knownVersions() pool.VersionAges {
	ages, known := v.servers.Versions()
	if !known {
		return nil
	}
	return ages
}

const (
	// ambiguousBatchDelay batches the keys that a VM writes to the store.
	ambiguousBatchDelay = 10 * time.Millisecond
	// ambiguousRetryInterval is the time after a write that failed.
	ambiguousRetryInterval = 250 * time.Millisecond
	// ambiguousHold bounds how long the first event of a stream waits for the write. It is
	// below the delay of an event that callers notice.
	ambiguousHold = 80 * time.Millisecond
	// maxAmbiguousKeys bounds the keys of a row: an entry takes some 40 bytes, and a row of
	// the platform holds 64 KiB.
	maxAmbiguousKeys = 1000
	// ambiguousRowPrefix begins the key of a VM's row. The address of the VM follows, so that a
	// restarted VM replaces the row of the process before.
	ambiguousRowPrefix = "ambiguous-"
)

// ambiguousKeys writes the keys of equal requests of which one runs on this VM to the store. It is
// safe for concurrent use.
type ambiguousKeys struct {
	vm    *VM
	due   chan struct{}
	mu    sync.Mutex
	byKey map[string]*ambiguousKey
}

type ambiguousKey struct {
	addedAt time.Time
	written chan struct{} // Closed once the key is in the store.
}

func newAmbiguousKeys(vm *VM) *ambiguousKeys {
	return &ambiguousKeys{vm: vm, due: make(chan struct{}, 1), byKey: map[string]*ambiguousKey{}}
}

// add queues a key to be written, unless it is in the row already.
func (a *ambiguousKeys) add(copyKey string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.vm.Now()
	if known := a.byKey[copyKey]; known != nil {
		known.addedAt = now
		return
	}
	a.byKey[copyKey] = &ambiguousKey{addedAt: now, written: make(chan struct{})}
	select {
	case a.due <- struct{}{}:
	default: // A write is due already.
	}
}

// await waits until a key that was added is written, ambiguousHold at most.
func (a *ambiguousKeys) await(ctx context.Context, copyKey string) {
	a.mu.Lock()
	known := a.byKey[copyKey]
	a.mu.Unlock()
	if known == nil {
		return
	}
	limit := time.NewTimer(ambiguousHold)
	defer limit.Stop()
	select {
	case <-known.written:
	case <-limit.C:
	case <-ctx.Done():
	}
}

// String names the service in the supervisor's messages.
func (a *ambiguousKeys) String() string {
	return "keys of equal requests in the store"
}

// Serve runs until the context ends.
func (a *ambiguousKeys) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.due:
			sleep(ctx, ambiguousBatchDelay)
		case <-time.After(copyIndexInterval):
			if !a.isRowLost() {
				continue
			}
		}
		for !a.write(ctx) {
			if sleep(ctx, ambiguousRetryInterval); ctx.Err() != nil {
				return ctx.Err()
			}
		}
	}
}

// isRowLost reports whether the store came back without this VM's row.
func (a *ambiguousKeys) isRowLost() bool {
	return len(a.newest()) > 0 && !a.vm.written.has(a.rowKey())
}

func (a *ambiguousKeys) rowKey() string {
	return ambiguousRowPrefix + a.vm.settings.Load().PeerAddress
}

// write writes this VM's row and reports whether it succeeded.
func (a *ambiguousKeys) write(ctx context.Context) (done bool) {
	keys := a.newest()
	locations := make([]spread.CopyLocation, len(keys))
	for i, key := range keys {
		locations[i] = spread.CopyLocation{CopyKey: key, Ambiguous: true}
	}
	if err := a.vm.written.put(ctx, a.vm.options.Copies, a.rowKey(), encodeLocations(locations)); err != nil {
		a.vm.logger.Debug("the keys of equal requests could not be written", "error", err)
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.vm.Now()
	for _, key := range keys {
		known := a.byKey[key]
		if known == nil {
			continue
		}
		select {
		case <-known.written:
		default:
			close(known.written)
			event.EqualStreams.Info(a.vm.logger, "copyKey", key, "millis", now.Sub(known.addedAt).Milliseconds())
		}
	}
	return true
}

// newest removes the keys whose retention is over, and returns the newest of the others.
func (a *ambiguousKeys) newest() (keys []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	oldest := a.vm.Now().Add(-copies.Retention)
	for key, known := range a.byKey {
		if known.addedAt.Before(oldest) {
			delete(a.byKey, key)
			continue
		}
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(x, y string) int { return a.byKey[y].addedAt.Compare(a.byKey[x].addedAt) })
	return keys[:min(len(keys), maxAmbiguousKeys)]
}
