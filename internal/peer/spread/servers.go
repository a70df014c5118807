package spread

import (
	"hash/fnv"
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
)

// The replicated server list is a function of the store's version alone: two VMs at one
// version have the same list, whichever way they received the rows. Whether a removed entry may
// have expired because of an outage of the store is not replicated. Each VM decides that for
// itself and keeps using such a server for a grace period:
//
//	store answers     outage          store answers
//	|-----------------x               x---------------------|
//	            currentAt             read: a is removed    graceUntil
//	                                  a is still used       a is dropped

const (
	// tombstoneVersions is the number of store versions for which a tombstone is kept. A peer
	// that is further behind has to fetch the whole list.
	tombstoneVersions = 20_000
	// outageHeartbeats is the shortest time, in heartbeats, without a current list after which
	// entries may have expired: the store removes an entry that was not renewed for three, of
	// which up to one may have passed before the outage.
	outageHeartbeats = 2
	// massExpiryFraction is the fraction of all servers above which a simultaneous removal is
	// treated as expiry and not as departure.
	massExpiryFraction = 0.5
	// graceMargin shortens the grace period for requests in flight: a server that left when the
	// store came back must not receive one after pool.ExpiryGrace.
	graceMargin = 100 * time.Millisecond
)

// StoreRows are rows of servers read from the store: with Full all rows as of Version,
// otherwise those that changed since an earlier read of the same era. A row that cannot be decoded
// is passed as deleted.
type StoreRows struct {
	Version StoreVersion
	Full    bool
	Rows    []ServerRow
}

// servers is this VM's replica of the server list. It is owned by the event loop.
type servers struct {
	rows    map[string]ServerRow
	version StoreVersion
	hash    uint64 // Of the rows that are not deleted.
	// needFull is set when a peer's changes did not reproduce its list. Tombstones may be
	// missing, so the next fetch requests the whole list.
	needFull  bool
	currentAt time.Time // When the list was last known to be the newest in the store.
	// heartbeat is the interval at which a server writes its entry; 0 if that is not known.
	heartbeat  time.Duration
	graceUntil time.Time
	expired    map[string]pool.Server // Removed from the store, but used until graceUntil.
	held       map[string]heldServer  // See hold.
	holdUntil  time.Time
	cachedList []pool.Server // Result of list, until a row changes.
}

func newServers(listed []pool.Server, version StoreVersion, heartbeat time.Duration) servers {
	s := servers{rows: map[string]ServerRow{}, version: version, heartbeat: heartbeat, expired: map[string]pool.Server{}, held: map[string]heldServer{}}
	for _, server := range listed {
		s.rows[server.ID] = ServerRow{Server: server, Changed: version.Rev}
	}
	s.hash = hashOf(s.rows)
	return s
}

// markCurrent records that the list was the newest in the store at a moment.
func (s *servers) markCurrent(at time.Time) {
	s.startGraceAfterOutage(at)
	if at.After(s.currentAt) {
		s.currentAt = at
	}
}

// startGraceAfterOutage starts the grace period if the store's answer at a moment is the first
// one after an outage.
func (s *servers) startGraceAfterOutage(at time.Time) {
	if s.heartbeat > 0 && !s.currentAt.IsZero() && at.Sub(s.currentAt) > outageHeartbeats*s.heartbeat {
		s.graceUntil = at.Add(pool.ExpiryGrace - graceMargin)
	}
}

// applyStore converts rows of the store into changes and applies them. Heartbeats, which only
// increment the version, are omitted.
func (s *servers) applyStore(reply StoreRows, now time.Time) (changes *ServerChanges, changed bool) {
	changes = &ServerChanges{Base: s.version.Rev, Version: reply.Version.Rev, Era: reply.Version.Era}
	if !reply.Version.After(s.version) {
		return changes, false // Already received from a peer, or of an older era.
	}
	if reply.Version.Era != s.version.Era && !s.version.IsZero() {
		return changes, s.applyNewEra(changes, reply, now)
	}
	newest := map[string]ServerRow{} // The store may return a row once for each change.
	for _, row := range reply.Rows {
		newest[row.Server.ID] = row
	}
	for id, row := range newest {
		known, found := s.rows[id]
		if found && known.Deleted == row.Deleted && (row.Deleted || known.Server == row.Server) {
			continue
		}
		row.Changed = max(row.Changed, s.version.Rev+1)
		changes.Rows = append(changes.Rows, row)
	}
	if reply.Full {
		changes.Rows = append(changes.Rows, s.tombstonesOfMissing(newest, reply.Version.Rev)...)
	}
	rows, hash := s.merge(changes)
	return changes, s.replace(changes, rows, hash, now)
}

// tombstonesOfMissing returns tombstones for servers that a full read does not contain.
func (s *servers) tombstonesOfMissing(seen map[string]ServerRow, version uint64) []ServerRow {
	tombstones := []ServerRow{}
	for id, known := range s.rows {
		if _, found := seen[id]; !found && !known.Deleted {
			tombstones = append(tombstones, ServerRow{Server: pool.Server{ID: id}, Changed: version, Deleted: true})
		}
	}
	return tombstones
}

// base is the version from which a peer's changes have to start to update this list; zero for
// the whole list.
func (s *servers) base() StoreVersion {
	if s.needFull {
		return StoreVersion{}
	}
	return s.version
}

// changesSince returns the changes that update a list at version base to this one: the whole list
// if base is zero or of another era.
func (s *servers) changesSince(base StoreVersion) *ServerChanges {
	if base.Era != s.version.Era {
		base = StoreVersion{}
	}
	changes := &ServerChanges{Base: base.Rev, Version: s.version.Rev, Era: s.version.Era, Full: base.Rev == 0, Sum: s.hash}
	for _, row := range s.rows {
		if changes.Full && !row.Deleted || !changes.Full && row.Changed > base.Rev {
			changes.Rows = append(changes.Rows, row)
		}
	}
	return changes
}

// apply applies a peer's changes if they continue the list. It reports whether the rows
// changed.
//
// A peer can lack tombstones: a server that was added and removed, or removed and added,
// between two of its reads of the store has left none there. The hash detects that.
func (s *servers) apply(changes *ServerChanges, now time.Time) (changed bool) {
	if !changes.version().After(s.version) {
		return false
	}
	if !changes.Full && (changes.Era != s.version.Era || changes.base().After(s.version)) {
		return false
	}
	rows, hash := s.merge(changes)
	if !changes.Full && hash != changes.Sum {
		s.needFull = true
		return false
	}
	return s.replace(changes, rows, hash, now)
}

// merge returns the rows after changes, and their hash.
func (s *servers) merge(changes *ServerChanges) (rows map[string]ServerRow, hash uint64) {
	if !changes.Full && len(changes.Rows) == 0 {
		return s.rows, s.hash
	}
	rows = map[string]ServerRow{}
	if !changes.Full {
		maps.Copy(rows, s.rows)
	}
	for _, row := range changes.Rows {
		if known, found := rows[row.Server.ID]; !found || row.Changed > known.Changed {
			rows[row.Server.ID] = row
		}
	}
	return rows, hashOf(rows)
}

// replace replaces the list by merged rows.
func (s *servers) replace(changes *ServerChanges, rows map[string]ServerRow, hash uint64, now time.Time) (changed bool) {
	isNewEra := changes.Era != s.version.Era && !s.version.IsZero()
	s.version = changes.version()
	if changes.Full {
		s.needFull = false
	}
	if !changes.Full && len(changes.Rows) == 0 {
		return false
	}
	before := s.rows
	s.rows, s.hash, s.cachedList = rows, hash, nil
	if isNewEra {
		s.hold(before, now)
		if until := now.Add(pool.ExpiryGrace - graceMargin); until.After(s.graceUntil) {
			s.graceUntil = until
		}
	}
	s.keepExpired(before, now)
	s.removeOldTombstones()
	return true
}

// hashOf is equal for lists of the same servers.
func hashOf(rows map[string]ServerRow) uint64 {
	hash := uint64(0)
	for _, row := range rows {
		if row.Deleted {
			continue
		}
		body, err := cbor.Marshal(row.Server)
		if err != nil {
			panic(err) // Every field has a type that CBOR can encode.
		}
		digest := fnv.New64a()
		_, _ = digest.Write(body) // Writes to a hash do not fail.
		hash += digest.Sum64()
	}
	return hash
}

// keepExpired keeps servers in use that were removed since the earlier rows and whose entries
// may have expired: after an outage of the store, or because so many were removed at once that
// there must have been one. A server that was leaving has departed.
func (s *servers) keepExpired(before map[string]ServerRow, now time.Time) {
	removed := []pool.Server{}
	for id, known := range before {
		if row, found := s.rows[id]; !known.Deleted && (!found || row.Deleted) {
			if held, found := s.held[id]; found && held.row == known.Server {
				continue // It has departed.
			}
			removed = append(removed, known.Server)
		}
	}
	if len(removed) > 1 && float64(len(removed)) > massExpiryFraction*float64(len(before)) && !now.Before(s.graceUntil) {
		s.graceUntil = now.Add(pool.ExpiryGrace - graceMargin)
	}
	for id := range s.expired {
		if row, found := s.rows[id]; found && !row.Deleted {
			delete(s.expired, id) // Its entry is back.
		}
	}
	if !now.Before(s.graceUntil) {
		return
	}
	for _, server := range removed {
		if !server.Leaving {
			s.expired[server.ID] = server
		}
	}
}

// endGrace drops the servers whose entries did not return within the grace period. It reports
// whether there were any.
func (s *servers) endGrace(now time.Time) (changed bool) {
	if len(s.expired) == 0 || now.Before(s.graceUntil) {
		return false
	}
	s.expired = map[string]pool.Server{}
	s.cachedList = nil
	return true
}

// removeOldTombstones drops tombstones older than tombstoneVersions.
func (s *servers) removeOldTombstones() {
	for id, row := range s.rows {
		if row.Deleted && row.Changed+tombstoneVersions < s.version.Rev {
			delete(s.rows, id)
		}
	}
}

// listed returns the servers in use. The list is shared and must not be changed.
func (s *servers) listed() []pool.Server {
	if s.cachedList == nil {
		s.cachedList = s.list()
	}
	return s.cachedList
}

func (s *servers) list() []pool.Server {
	listed := []pool.Server{}
	for _, row := range s.rows {
		if server, isListed := s.heldBack(row); isListed {
			listed = append(listed, server)
		}
	}
	for _, server := range s.expired {
		listed = append(listed, server)
	}
	return listed
}
