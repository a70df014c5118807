package spread

import (
	"time"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
)

// goneKept is for how many store versions the mark of a server that is gone is
// kept. A peer that is further behind gets the whole list.
const goneKept = 20_000

// servers is the list of backend servers as this VM knows it. It is owned by
// the loop.
type servers struct {
	rows      map[string]ServerRow
	version   uint64
	currentAt time.Time     // When it was last known to be the store's newest.
	listedNow []pool.Server // What is listed, kept until a row changes.
}

func newServers(listed []pool.Server, version uint64) servers {
	s := servers{rows: map[string]ServerRow{}, version: version}
	for _, server := range listed {
		s.rows[server.ID] = ServerRow{Server: server, Changed: version}
	}
	return s
}

// changesSince gives what a VM lacks that has the version base.
func (s *servers) changesSince(base uint64) *ServerChanges {
	changes := &ServerChanges{Base: base, Version: s.version}
	changes.Full = base == 0 || base+goneKept < s.version
	for _, row := range s.rows {
		if changes.Full && !row.Gone || !changes.Full && row.Changed > base {
			changes.Rows = append(changes.Rows, row)
		}
	}
	return changes
}

// apply takes in changes that continue the list. It reports whether the list of
// servers is another than before.
func (s *servers) apply(changes *ServerChanges) (changed bool) {
	if changes.Version <= s.version || (!changes.Full && changes.Base > s.version) {
		return false
	}
	if changes.Full {
		s.rows = map[string]ServerRow{}
	}
	for _, row := range changes.Rows {
		if known, found := s.rows[row.Server.ID]; !found || row.Changed > known.Changed {
			s.rows[row.Server.ID] = row
		}
	}
	s.version = changes.Version
	s.listedNow = nil
	for id, row := range s.rows {
		if row.Gone && row.Changed+goneKept < s.version {
			delete(s.rows, id)
		}
	}
	return changes.Full || len(changes.Rows) > 0
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
		if !row.Gone {
			listed = append(listed, row.Server)
		}
	}
	return listed
}
