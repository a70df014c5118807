package spread

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
)

// The model explores every order of a number of steps in which the store's list of servers
// changes, two VMs read it and three VMs exchange changes. The store may come back from an older
// copy. Replies of peers and of the store may arrive late. It compares each VM's list with that of
// the store at the VM's version.
const (
	modelVMs     = 3
	modelReaders = 2
	modelChanges = 4
)

var modelDepth = flag.Int("spread.depth", 7, "steps that the model of the list of servers explores")

// modelState is one state of the exploration.
type modelState struct {
	history []map[string]pool.Server // The store's list by revision; entry 0 is empty.
	// earlier has the histories of the eras before, which begin at 1.
	earlier  [][]map[string]pool.Server
	since    [modelReaders]StoreVersion // The version that each reader read last; zero if its next read is a full one.
	vms      [modelVMs]servers
	late     [modelVMs]*ServerChanges // A reply in flight to each VM.
	lateRead [modelReaders]*StoreRows // A reply of the store in flight to each reader.
	restores int                      // How often the store may come back from an older copy.
}

func newModelState() modelState {
	m := modelState{history: []map[string]pool.Server{{}, {"y": {ID: "y"}}}}
	for i := range m.vms {
		m.vms[i] = newServers(nil, StoreVersion{}, 0)
	}
	return m
}

func (m modelState) clone() modelState {
	m.history = slices.Clone(m.history)
	for i := range m.vms {
		m.vms[i].rows = maps.Clone(m.vms[i].rows)
		m.vms[i].expired = map[string]pool.Server{} // No time passes in the model.
		m.vms[i].held = map[string]heldServer{}
		m.vms[i].cachedList = nil
	}
	return m
}

func (m *modelState) newest() uint64 { return uint64(len(m.history) - 1) }

func (m *modelState) era() uint64 { return uint64(len(m.earlier) + 1) }

// listAt returns the store's list at a version.
func (m *modelState) listAt(version StoreVersion) map[string]pool.Server {
	switch {
	case version.IsZero():
		return map[string]pool.Server{}
	case version.Era == m.era():
		return m.history[version.Rev]
	default:
		return m.earlier[version.Era-1][version.Rev]
	}
}

// key is equal for states with the same behaviour from then on.
func (m *modelState) key() string {
	text := []byte{}
	for _, listed := range m.history {
		x, found := listed["x"]
		text = appendServer(text, x, found)
	}
	for _, earlier := range m.earlier {
		text = append(text, 'e')
		for _, listed := range earlier {
			x, found := listed["x"]
			text = appendServer(text, x, found)
		}
	}
	for i, since := range m.since {
		text = append(text, byte(since.Era), byte(since.Rev))
		if late := m.lateRead[i]; late != nil {
			text = append(text, 'r', byte(late.Version.Era), byte(late.Version.Rev), asByte(late.Full), byte(len(late.Rows)))
		}
	}
	for i := range m.vms {
		text = append(text, byte(m.vms[i].version.Era), byte(m.vms[i].version.Rev), asByte(m.vms[i].needFull))
		text = appendRows(text, m.vms[i].rows)
		if late := m.late[i]; late != nil {
			rows := map[string]ServerRow{}
			for _, row := range late.Rows {
				rows[row.Server.ID] = row
			}
			text = appendRows(append(text, byte(late.Era), byte(late.Base), byte(late.Version), asByte(late.Full)), rows)
		}
		text = append(text, '|')
	}
	return string(text)
}

func appendRows(text []byte, rows map[string]ServerRow) []byte {
	for _, id := range []string{"x", "y"} {
		row, found := rows[id]
		text = appendServer(append(text, byte(row.Changed), asByte(row.Deleted)), row.Server, found)
	}
	return text
}

func appendServer(text []byte, server pool.Server, found bool) []byte {
	return append(text, asByte(found), asByte(server.Leaving))
}

func asByte(is bool) byte {
	if is {
		return 1
	}
	return 0
}

// write adds a version with the given x; nil removes x.
func (m *modelState) write(x *pool.Server) {
	next := maps.Clone(m.history[m.newest()])
	delete(next, "x")
	if x != nil {
		next["x"] = *x
	}
	m.history = append(m.history, next)
}

// read returns the store's reply to a reader, in the form that package platform returns.
func (m *modelState) read(since uint64) StoreRows {
	now := m.history[m.newest()]
	reply := StoreRows{Version: StoreVersion{Era: m.era(), Rev: m.newest()}, Full: since == 0}
	for _, id := range []string{"x", "y"} {
		server, found := now[id]
		changed := m.lastChange(id)
		switch {
		case found && changed > since:
			reply.Rows = append(reply.Rows, ServerRow{Server: server, Changed: changed})
		case !found && !reply.Full && changed > since:
			reply.Rows = append(reply.Rows, ServerRow{Server: pool.Server{ID: id}, Changed: changed, Deleted: true})
		}
	}
	return reply
}

func (m *modelState) lastChange(id string) uint64 {
	for version := m.newest(); version > 0; version-- {
		now, is := m.history[version][id]
		before, was := m.history[version-1][id]
		if is != was || now != before {
			return version
		}
	}
	return 0
}

// step is one possible transition.
type step struct {
	name string
	do   func(m *modelState)
}

func (m *modelState) steps() []step {
	steps := m.storeSteps()
	for i := range modelReaders {
		steps = append(steps,
			step{fmt.Sprint("watch by ", i), func(m *modelState) { m.readBy(i) }},
			step{fmt.Sprint("history gone for ", i), func(m *modelState) { m.since[i] = StoreVersion{}; m.readBy(i) }})
		if m.lateRead[i] == nil && len(m.earlier) < m.restores {
			steps = append(steps, step{fmt.Sprint("read by ", i, " that is answered late"), func(m *modelState) { reply := m.replyTo(i); m.lateRead[i] = &reply }})
		}
		if m.lateRead[i] != nil && m.lateRead[i].Version.Era != m.era() {
			steps = append(steps, step{fmt.Sprint("late answer of the store to ", i), func(m *modelState) {
				m.vms[i].applyStore(*m.lateRead[i], time.Time{})
				m.lateRead[i] = nil
			}})
		}
	}
	for to := range modelVMs {
		if m.late[to] != nil {
			steps = append(steps, step{fmt.Sprint("late reply to ", to), func(m *modelState) { m.vms[to].apply(m.late[to], time.Time{}); m.late[to] = nil }})
		}
		for from := range modelVMs {
			if !m.vms[from].version.After(m.vms[to].version) {
				continue
			}
			steps = append(steps,
				step{fmt.Sprint(from, " sends changes to ", to), func(m *modelState) {
					m.vms[to].apply(m.vms[from].changesSince(m.vms[to].base()), time.Time{})
				}},
				step{fmt.Sprint(from, " sends changes to ", to, " late"), func(m *modelState) { m.late[to] = m.vms[from].changesSince(m.vms[to].base()) }})
		}
	}
	return steps
}

func (m *modelState) storeSteps() []step {
	steps := []step{}
	if len(m.earlier) < m.restores {
		for rev := uint64(1); rev < m.newest(); rev++ {
			steps = append(steps, step{fmt.Sprint("restore of ", rev), func(m *modelState) {
				m.earlier = append(slices.Clone(m.earlier), m.history)
				m.history = slices.Clone(m.history[:rev+1])
			}})
		}
	}
	if m.newest() > modelChanges {
		return steps
	}
	x, found := m.history[m.newest()]["x"]
	steps = append(steps, step{"heartbeat", func(m *modelState) { m.write(m.listedX()) }})
	switch {
	case !found:
		steps = append(steps, step{"x joins", func(m *modelState) { m.write(&pool.Server{ID: "x"}) }})
	case !x.Leaving:
		steps = append(steps, step{"x is leaving", func(m *modelState) { m.write(&pool.Server{ID: "x", Leaving: true}) }})
		fallthrough
	default:
		steps = append(steps, step{"x is removed", func(m *modelState) { m.write(nil) }})
	}
	return steps
}

func (m *modelState) listedX() *pool.Server {
	if x, found := m.history[m.newest()]["x"]; found {
		return &x
	}
	return nil
}

// replyTo returns the store's reply to a reader, which reads the whole table in a new era.
func (m *modelState) replyTo(reader int) StoreRows {
	if m.since[reader].Era != m.era() {
		return m.read(0)
	}
	return m.read(m.since[reader].Rev)
}

func (m *modelState) readBy(reader int) {
	reply := m.replyTo(reader)
	m.vms[reader].applyStore(reply, time.Time{})
	m.since[reader] = reply.Version
}

// fault describes a violated invariant; "" if there is none.
func (m *modelState) fault(before *modelState) string {
	for i := range m.vms {
		if before.vms[i].version.After(m.vms[i].version) {
			return fmt.Sprintf("the version of VM %d decreased", i)
		}
		listed := map[string]pool.Server{}
		for id, row := range m.vms[i].rows {
			if !row.Deleted {
				listed[id] = row.Server
			}
		}
		if want := m.listAt(m.vms[i].version); !maps.Equal(listed, want) {
			return fmt.Sprintf("VM %d lists %v at version %d; the store's list was %v", i, listed, m.vms[i].version, want)
		}
	}
	return ""
}

// TestServerListsExhaustively checks that each VM lists exactly the servers that the store had at
// the VM's version.
func TestServerListsExhaustively(t *testing.T) {
	exploreServerLists(t, 0, *modelDepth)
}

// TestServerListsExhaustivelyOverARestore does so over a restore of the store from any older copy.
func TestServerListsExhaustivelyOverARestore(t *testing.T) {
	exploreServerLists(t, 1, *modelDepth-1)
}

func exploreServerLists(t *testing.T, restores, depths int) {
	type reached struct {
		state modelState
		path  []string
	}
	first := newModelState()
	first.restores = restores
	frontier := []reached{{state: first}}
	seen := map[string]bool{}
	for depth := range depths {
		next := []reached{}
		for _, at := range frontier {
			for _, step := range at.state.steps() {
				after := at.state.clone()
				step.do(&after)
				path := append(slices.Clone(at.path), step.name)
				qt.Assert(t, after.fault(&at.state), qt.Equals, "", qt.Commentf("after %q", path))
				if key := after.key(); !seen[key] {
					seen[key] = true
					next = append(next, reached{after, path})
				}
			}
		}
		frontier = next
		t.Logf("depth %d: %d states", depth+1, len(seen))
	}
}
