package spread

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/lab/property"
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

// A restore is applied to a VM that reads the store and, by its list, to a peer.
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

// eraStore is a store that may be restored from an older copy.
type eraStore struct {
	era     uint64
	history []map[string]pool.Server // By revision.
}

func (e *eraStore) version() StoreVersion {
	return StoreVersion{Era: e.era, Rev: uint64(len(e.history) - 1)}
}

func (e *eraStore) list() map[string]pool.Server { return e.history[len(e.history)-1] }

func (e *eraStore) write(id string, server *pool.Server) {
	next := maps.Clone(e.list())
	delete(next, id)
	if server != nil {
		next[id] = *server
	}
	e.history = append(e.history, next)
}

// read returns all rows, or those that changed since a version of the same era, as removed ones too.
func (e *eraStore) read(since StoreVersion) StoreRows {
	reply := StoreRows{Version: e.version(), Full: since.Era != e.era}
	if reply.Full {
		since = StoreVersion{}
	}
	for i := range eraServers {
		id := fmt.Sprint("s", i)
		server, found := e.list()[id]
		switch changed := e.lastChange(id); {
		case changed <= since.Rev:
		case found:
			reply.Rows = append(reply.Rows, ServerRow{Server: server, Changed: changed})
		case !reply.Full:
			reply.Rows = append(reply.Rows, removed(id, changed))
		}
	}
	return reply
}

func (e *eraStore) lastChange(id string) uint64 {
	for rev := len(e.history) - 1; rev > 0; rev-- {
		now, is := e.history[rev][id]
		if before, was := e.history[rev-1][id]; is != was || now != before {
			return uint64(rev)
		}
	}
	return 0
}

// eraServers is the number of servers that join and leave.
const eraServers = 8

// VMs exchange lists while the store changes, comes back and answers late, and some are cut off.
func TestAllVMsAgreeOnTheNewestEra(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const readers = 2
		count := rapid.SampledFrom([]int{6, 30, 100, 430}).Draw(t, "VMs")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		now := time.Unix(1000, 0)
		store := &eraStore{era: 1, history: []map[string]pool.Server{{}, {"s0": {ID: "s0"}}}}
		vms, isCut := make([]servers, count), make([]bool, count)
		for i := range vms {
			vms[i] = newServers(nil, StoreVersion{}, eraHeartbeat)
		}
		since := make([]StoreVersion, readers)
		lateReads, lateReplies := make([][]StoreRows, readers), []*ServerChanges{}
		change := func(i int, apply func(vm *servers)) {
			before := vms[i].version
			apply(&vms[i])
			property.Assert(t, before.After(vms[i].version), qt.IsFalse, qt.Commentf("VM %d went from %v to %v", i, before, vms[i].version))
		}
		read := func(reader int) {
			reply := store.read(since[reader])
			if random.IntN(10) == 0 {
				lateReads[reader] = append(lateReads[reader], reply)
			}
			change(reader, func(vm *servers) { vm.applyStore(reply, now) })
			since[reader] = reply.Version
		}
		exchange := func(to, from int) {
			if isCut[to] || isCut[from] || !vms[from].version.After(vms[to].version) {
				return
			}
			reply := vms[from].changesSince(vms[to].base())
			if random.IntN(10) == 0 {
				lateReplies = append(lateReplies, reply)
			}
			change(to, func(vm *servers) { vm.apply(reply, now) })
		}
		for range 3000 {
			now = now.Add(10 * time.Millisecond)
			switch at := random.IntN(100); {
			case at < 4:
				id := fmt.Sprint("s", random.IntN(eraServers))
				store.write(id, &pool.Server{ID: id, Leaving: random.IntN(3) == 0})
			case at < 6:
				store.write(fmt.Sprint("s", random.IntN(eraServers)), nil)
			case at < 7 && store.era < 6:
				store.era++
				store.history = slices.Clone(store.history[:1+random.IntN(len(store.history))])
			case at < 15:
				read(random.IntN(readers))
			case at < 17:
				isCut[random.IntN(count)] = random.IntN(2) == 0
			case at < 19:
				reader := random.IntN(readers)
				if late := lateReads[reader]; len(late) > 0 {
					change(reader, func(vm *servers) { vm.applyStore(late[random.IntN(len(late))], now) })
				}
			case at < 22 && len(lateReplies) > 0:
				change(random.IntN(count), func(vm *servers) { vm.apply(lateReplies[random.IntN(len(lateReplies))], now) })
			default:
				exchange(random.IntN(count), random.IntN(count))
			}
		}
		clear(isCut)
		for reader := range readers {
			read(reader)
		}
		for range 30 { // Each VM asks one other in a round.
			for to := range vms {
				exchange(to, random.IntN(count))
			}
		}
		now = now.Add(time.Minute)
		for i := range vms {
			vms[i].endGrace(now)
			vms[i].endHold(now)
			listed := map[string]pool.Server{}
			for _, server := range vms[i].list() {
				listed[server.ID] = server
			}
			property.Assert(t, vms[i].version, qt.Equals, store.version())
			property.Assert(t, listed, qt.DeepEquals, store.list())
		}
	})
}
