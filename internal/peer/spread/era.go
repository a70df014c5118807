package spread

import (
	"time"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
)

// A store that was restored from an older copy lacks rows that were written since, and has rows
// that were changed or removed since. Servers write theirs again within a heartbeat:
//
//	missing in the copy                used until graceUntil, as after an outage
//	ready in the copy, was leaving     leaving until its row changes, or holdUntil
//	in the copy, was removed           not used until its row changes, or holdUntil: the row of
//	                                   a server that is gone expires until then
//
// What was held back is not replicated: each VM holds to what it knew itself.

const (
	// holdHeartbeats is the time for which rows are held back, in heartbeats of the servers. The
	// store removes a row that was not renewed for three.
	holdHeartbeats = 4
	// defaultHold replaces it if the interval of heartbeats is not known.
	defaultHold = 5 * time.Second
)

// heldServer is a server whose row in the older copy is held back. Row is that row.
type heldServer struct {
	row     pool.Server
	removed bool // It was removed before; otherwise it was leaving.
}

// applyNewEra replaces the list by a full read of a new era. Other reads are ignored: they say
// nothing of the rows that did not change since.
func (s *servers) applyNewEra(changes *ServerChanges, reply StoreRows, now time.Time) (changed bool) {
	if !reply.Full {
		return false
	}
	changes.Base, changes.Full = 0, true
	for _, row := range reply.Rows {
		if !row.Deleted {
			changes.Rows = append(changes.Rows, row)
		}
	}
	rows, hash := s.merge(changes)
	return s.replace(changes, rows, hash, now)
}

// hold holds back the rows of a new era that are older than what was known before.
func (s *servers) hold(before map[string]ServerRow, now time.Time) {
	held := map[string]heldServer{}
	for id, row := range s.rows {
		known, found := before[id]
		earlier, wasHeld := s.held[id]
		switch {
		case row.Deleted:
		case found && known.Deleted, wasHeld && earlier.removed && earlier.row == known.Server:
			held[id] = heldServer{row: row.Server, removed: true}
		case found && known.Server.Leaving && !row.Server.Leaving && isSameProcess(known.Server, row.Server),
			wasHeld && !earlier.removed && earlier.row == known.Server && earlier.row == row.Server:
			held[id] = heldServer{row: row.Server}
		}
	}
	s.held = held
	s.holdUntil = now.Add(defaultHold)
	if s.heartbeat > 0 {
		s.holdUntil = now.Add(holdHeartbeats * s.heartbeat)
	}
}

func isSameProcess(a, b pool.Server) bool {
	return a.Address == b.Address && a.Started == b.Started
}

// heldBack returns the server of a row as it is to be used, and whether it is to be used at all.
func (s *servers) heldBack(row ServerRow) (server pool.Server, isListed bool) {
	server = row.Server
	if held, found := s.held[server.ID]; found && held.row == server {
		if held.removed {
			return server, false
		}
		server.Leaving = true
	}
	return server, !row.Deleted
}

// endHold ends the hold of rows. It reports whether there were any.
func (s *servers) endHold(now time.Time) (changed bool) {
	if len(s.held) == 0 || now.Before(s.holdUntil) {
		return false
	}
	s.held = map[string]heldServer{}
	s.cachedList = nil
	return true
}

// nextExpiry returns when endGrace or endHold has something to do; zero if neither has.
func (s *servers) nextExpiry() time.Time {
	switch {
	case len(s.expired) > 0 && (len(s.held) == 0 || s.graceUntil.Before(s.holdUntil)):
		return s.graceUntil
	case len(s.held) > 0:
		return s.holdUntil
	default:
		return time.Time{}
	}
}
