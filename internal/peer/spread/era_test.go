package spread

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
)

const eraHeartbeat = time.Second

func rowOf(id string, changed uint64, leaving bool) ServerRow {
	return ServerRow{Server: pool.Server{ID: id, Leaving: leaving}, Changed: changed}
}

func removed(id string, changed uint64) ServerRow {
	return ServerRow{Server: pool.Server{ID: id}, Changed: changed, Deleted: true}
}

func (s *servers) listedIDs() []string {
	ids := []string{}
	for _, server := range s.list() {
		ids = append(ids, fmt.Sprint(server.ID, map[bool]string{true: " leaving"}[server.Leaving]))
	}
	slices.Sort(ids)
	return ids
}

// TestOlderCopyBringsBackNoServerThatLeft applies a restore to a VM that reads the store and, by
// its list, to a peer.
func TestOlderCopyBringsBackNoServerThatLeft(t *testing.T) {
	now := time.Unix(1000, 0)
	reader, peer := newServers(nil, StoreVersion{}, eraHeartbeat), newServers(nil, StoreVersion{}, eraHeartbeat)
	share := func() { peer.apply(reader.changesSince(peer.base()), now) }
	read := func(era, rev uint64, full bool, rows ...ServerRow) {
		reader.applyStore(StoreRows{Version: StoreVersion{Era: era, Rev: rev}, Full: full, Rows: rows}, now)
		share()
	}
	expect := func(ids ...string) {
		t.Helper()
		for _, s := range []*servers{&reader, &peer} {
			s.endGrace(now)
			s.endHold(now)
			qt.Check(t, s.listedIDs(), qt.DeepEquals, ids)
		}
	}
	read(1, 5, true, rowOf("drains", 1, false), rowOf("gone", 2, false), rowOf("stays", 3, false))
	read(1, 9, false, rowOf("drains", 7, true), removed("gone", 8), rowOf("joined", 9, false))
	expect("drains leaving", "joined", "stays")
	read(2, 5, true, rowOf("drains", 1, false), rowOf("gone", 2, false), rowOf("stays", 3, false))
	expect("drains leaving", "joined", "stays")
	now = now.Add(500 * time.Millisecond)
	read(2, 6, false, rowOf("joined", 6, false)) // It has written its row again.
	expect("drains leaving", "joined", "stays")
	now = now.Add(500 * time.Millisecond)
	read(2, 7, false, rowOf("drains", 7, true))
	read(2, 8, false, removed("gone", 8)) // Within the grace period of missing rows.
	expect("drains leaving", "joined", "stays")
	now = now.Add(5 * time.Second)
	expect("drains leaving", "joined", "stays")
}
