package spread

import (
	"hash/fnv"
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
)

// What VMs tell each other of the servers is a function of the store's version alone:
// two VMs at one version list the same, whichever way the rows came. Whether an entry
// that is gone may have lapsed in an outage of the store is not part of that. Each VM
// judges it for itself and uses such a server a little longer:
//
//	store answers     outage          store answers
//	|-----------------x               x---------------------|
//	            currentAt             learned: a is gone    graceUntil
//	                                  a is used still       a is dropped

const (
	// goneKept is for how many store versions the mark of a server that is gone is
	// kept. A peer that is further behind asks for the whole list.
	goneKept = 20_000
	// silentHeartbeats is how long the list must not have been current, in heartbeats,
	// for entries to have lapsed: the store removes an entry after three, and up to one
	// may have passed before the outage.
	silentHeartbeats = 2
	// lapsePart is the part of all servers that, gone at once, is taken as lapsed
	// and not as left.
	lapsePart = 0.5
	// placeAhead is the part of the grace that is left for requests on their way: a
	// server that left when the store came back must get none after the grace.
	placeAhead = 100 * time.Millisecond
)

// StoreRows are what the store told of the servers: with Full all rows as of Version,
// else those that changed since an earlier read. A row that can't be read is told as
// gone.
type StoreRows struct {
	Version uint64
	Full    bool
	Rows    []ServerRow
}

// servers is the list of backend servers as this VM knows it. It is owned by
// the loop.
type servers struct {
	rows    map[string]ServerRow
	version uint64
	sum     uint64 // Of the rows that are there.
	// wholeWanted is set when a peer's changes did not give what it has itself. Marks
	// may be missing, so it is asked for the whole list.
	wholeWanted bool
	currentAt   time.Time // When it was last known to be the store's newest.
	// heartbeat is how often a server writes its entry; 0 if that is not known.
	heartbeat  time.Duration
	graceUntil time.Time
	lapsed     map[string]pool.Server // Gone, and used until graceUntil.
	listedNow  []pool.Server          // What is listed, kept until a row changes.
}

func newServers(listed []pool.Server, version uint64, heartbeat time.Duration) servers {
	s := servers{rows: map[string]ServerRow{}, version: version, heartbeat: heartbeat, lapsed: map[string]pool.Server{}}
	for _, server := range listed {
		s.rows[server.ID] = ServerRow{Server: server, Changed: version}
	}
	s.sum = sumOf(s.rows)
	return s
}

// noteCurrent takes in that the list was the store's newest at a moment.
func (s *servers) noteCurrent(at time.Time) {
	s.noteReturn(at)
	if at.After(s.currentAt) {
		s.currentAt = at
	}
}

// noteReturn begins the grace if a moment at which the store answered is the first
// after an outage.
func (s *servers) noteReturn(at time.Time) {
	if s.heartbeat > 0 && !s.currentAt.IsZero() && at.Sub(s.currentAt) > silentHeartbeats*s.heartbeat {
		s.graceUntil = at.Add(pool.ExpiryGrace - placeAhead)
	}
}

// learn turns the store's rows into changes and takes them in. Heartbeats, which change
// nothing, are left out.
func (s *servers) learn(told StoreRows, now time.Time) (changes *ServerChanges, changed bool) {
	changes = &ServerChanges{Base: s.version, Version: told.Version}
	if told.Version <= s.version {
		return changes, false // A peer was faster and told the same.
	}
	newest := map[string]ServerRow{} // The store may tell a row of each of its changes.
	for _, row := range told.Rows {
		newest[row.Server.ID] = row
	}
	for id, row := range newest {
		known, found := s.rows[id]
		if found && known.Deleted == row.Deleted && (row.Deleted || known.Server == row.Server) {
			continue
		}
		row.Changed = max(row.Changed, s.version+1)
		changes.Rows = append(changes.Rows, row)
	}
	if told.Full {
		changes.Rows = append(changes.Rows, s.marksOfUnseen(newest, told.Version)...)
	}
	rows, sum := s.merge(changes)
	return changes, s.take(changes, rows, sum, now)
}

// marksOfUnseen gives the marks of servers that a full read lacks.
func (s *servers) marksOfUnseen(seen map[string]ServerRow, version uint64) []ServerRow {
	marks := []ServerRow{}
	for id, known := range s.rows {
		if _, found := seen[id]; !found && !known.Deleted {
			marks = append(marks, ServerRow{Server: pool.Server{ID: id}, Changed: version, Deleted: true})
		}
	}
	return marks
}

// base is the version that a peer has to start from to bring this list up to its own;
// 0 for the whole list.
func (s *servers) base() uint64 {
	if s.wholeWanted {
		return 0
	}
	return s.version
}

// changesSince gives what a VM lacks that has the version base.
func (s *servers) changesSince(base uint64) *ServerChanges {
	changes := &ServerChanges{Base: base, Version: s.version, Full: base == 0, Sum: s.sum}
	for _, row := range s.rows {
		if changes.Full && !row.Deleted || !changes.Full && row.Changed > base {
			changes.Rows = append(changes.Rows, row)
		}
	}
	return changes
}

// apply takes in a peer's changes that continue the list. It reports whether the list
// of servers is another than before.
//
// A peer can lack marks: a server that came and went, or went and came, between two of
// its reads of the store has left no trace there. The sum shows it.
func (s *servers) apply(changes *ServerChanges, now time.Time) (changed bool) {
	if changes.Version <= s.version || (!changes.Full && changes.Base > s.version) {
		return false
	}
	rows, sum := s.merge(changes)
	if !changes.Full && sum != changes.Sum {
		s.wholeWanted = true
		return false
	}
	return s.take(changes, rows, sum, now)
}

// merge gives the rows after changes, and their sum.
func (s *servers) merge(changes *ServerChanges) (rows map[string]ServerRow, sum uint64) {
	if !changes.Full && len(changes.Rows) == 0 {
		return s.rows, s.sum
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
	return rows, sumOf(rows)
}

// take makes merged rows the list.
func (s *servers) take(changes *ServerChanges, rows map[string]ServerRow, sum uint64, now time.Time) (changed bool) {
	s.version = changes.Version
	if changes.Full {
		s.wholeWanted = false
	}
	if !changes.Full && len(changes.Rows) == 0 {
		return false
	}
	before := s.rows
	s.rows, s.sum, s.listedNow = rows, sum, nil
	s.keepLapsed(before, now)
	s.forgetMarks()
	return true
}

// sumOf is the same for lists with the same servers.
func sumOf(rows map[string]ServerRow) uint64 {
	sum := uint64(0)
	for _, row := range rows {
		if row.Deleted {
			continue
		}
		body, err := cbor.Marshal(row.Server)
		if err != nil {
			panic(err) // Every field has a type that CBOR can hold.
		}
		hash := fnv.New64a()
		_, _ = hash.Write(body) // A hash never fails to write.
		sum += hash.Sum64()
	}
	return sum
}

// keepLapsed keeps using those servers that are gone since the earlier rows and whose
// entries may have lapsed: after an outage of the store, or because so many are gone at
// once that there must have been one. A server that was leaving has left.
func (s *servers) keepLapsed(before map[string]ServerRow, now time.Time) {
	gone := []pool.Server{}
	for id, known := range before {
		if row, found := s.rows[id]; !known.Deleted && (!found || row.Deleted) {
			gone = append(gone, known.Server)
		}
	}
	if len(gone) > 1 && float64(len(gone)) > lapsePart*float64(len(before)) && !now.Before(s.graceUntil) {
		s.graceUntil = now.Add(pool.ExpiryGrace - placeAhead)
	}
	for id := range s.lapsed {
		if row, found := s.rows[id]; found && !row.Deleted {
			delete(s.lapsed, id) // It is back.
		}
	}
	if !now.Before(s.graceUntil) {
		return
	}
	for _, server := range gone {
		if !server.Leaving {
			s.lapsed[server.ID] = server
		}
	}
}

// endGrace drops the servers whose entries were not back in time. It reports whether
// there were any.
func (s *servers) endGrace(now time.Time) (changed bool) {
	if len(s.lapsed) == 0 || now.Before(s.graceUntil) {
		return false
	}
	s.lapsed = map[string]pool.Server{}
	s.listedNow = nil
	return true
}

// forgetMarks drops the marks that only peers far behind would need.
func (s *servers) forgetMarks() {
	for id, row := range s.rows {
		if row.Deleted && row.Changed+goneKept < s.version {
			delete(s.rows, id)
		}
	}
}

// listed gives the servers that are there. The list is shared and must not be
// changed.
func (s *servers) listed() []pool.Server {
	if s.listedNow == nil {
		s.listedNow = s.list()
	}
	return s.listedNow
}

func (s *servers) list() []pool.Server {
	listed := []pool.Server{}
	for _, row := range s.rows {
		if !row.Deleted {
			listed = append(listed, row.Server)
		}
	}
	for _, server := range s.lapsed {
		listed = append(listed, server)
	}
	return listed
}
