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

// The model explores every order of a number of steps in which a store's list of
// servers changes, two VMs read it and three VMs tell each other. Answers of peers may
// be delivered late. It holds each VM against the store's list at the VM's version.
const (
	modelVMs     = 3
	modelReaders = 2
	modelChanges = 4
)

var modelDepth = flag.Int("spread.depth", 7, "steps that the model of the list of servers explores")

// modelState is one state of the exploration.
type modelState struct {
	history []map[string]pool.Server // The store's list by version; entry 0 is empty.
	since   [modelReaders]uint64     // What each reader read last; 0 if it reads all next.
	vms     [modelVMs]servers
	late    [modelVMs]*ServerChanges // An answer on its way to each VM.
}

func newModelState() modelState {
	m := modelState{history: []map[string]pool.Server{{}, {"y": {ID: "y"}}}}
	for i := range m.vms {
		m.vms[i] = newServers(nil, 0, 0)
	}
	return m
}

func (m modelState) clone() modelState {
	m.history = slices.Clone(m.history)
	for i := range m.vms {
		m.vms[i].rows = maps.Clone(m.vms[i].rows)
		m.vms[i].lapsed = map[string]pool.Server{} // No time passes in the model.
		m.vms[i].listedNow = nil
	}
	return m
}

func (m *modelState) newest() uint64 { return uint64(len(m.history) - 1) }

// key is the same for states that go on alike.
func (m *modelState) key() string {
	text := []byte{}
	for _, listed := range m.history {
		x, found := listed["x"]
		text = appendServer(text, x, found)
	}
	for _, since := range m.since {
		text = append(text, byte(since))
	}
	for i := range m.vms {
		text = append(text, byte(m.vms[i].version), asByte(m.vms[i].wholeWanted))
		text = appendRows(text, m.vms[i].rows)
		if late := m.late[i]; late != nil {
			rows := map[string]ServerRow{}
			for _, row := range late.Rows {
				rows[row.Server.ID] = row
			}
			text = appendRows(append(text, byte(late.Base), byte(late.Version), asByte(late.Full)), rows)
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

// write adds a version in which x is as given; nil removes it.
func (m *modelState) write(x *pool.Server) {
	next := maps.Clone(m.history[m.newest()])
	delete(next, "x")
	if x != nil {
		next["x"] = *x
	}
	m.history = append(m.history, next)
}

// read gives what the store tells a reader, as package platform reads it.
func (m *modelState) read(since uint64) StoreRows {
	now := m.history[m.newest()]
	told := StoreRows{Version: m.newest(), Full: since == 0}
	for _, id := range []string{"x", "y"} {
		server, found := now[id]
		changed := m.lastChange(id)
		switch {
		case found && changed > since:
			told.Rows = append(told.Rows, ServerRow{Server: server, Changed: changed})
		case !found && !told.Full && changed > since:
			told.Rows = append(told.Rows, ServerRow{Server: pool.Server{ID: id}, Changed: changed, Deleted: true})
		}
	}
	return told
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

// step is one thing that can happen in a state.
type step struct {
	name string
	do   func(m *modelState)
}

func (m *modelState) steps() []step {
	steps := m.storeSteps()
	for i := range modelReaders {
		steps = append(steps,
			step{fmt.Sprint("watch by ", i), func(m *modelState) { m.readBy(i) }},
			step{fmt.Sprint("history gone for ", i), func(m *modelState) { m.since[i] = 0; m.readBy(i) }})
	}
	for to := range modelVMs {
		if m.late[to] != nil {
			steps = append(steps, step{fmt.Sprint("late answer to ", to), func(m *modelState) { m.vms[to].apply(m.late[to], time.Time{}); m.late[to] = nil }})
		}
		for from := range modelVMs {
			if m.vms[from].version <= m.vms[to].version {
				continue
			}
			steps = append(steps,
				step{fmt.Sprint(from, " tells ", to), func(m *modelState) {
					m.vms[to].apply(m.vms[from].changesSince(m.vms[to].base()), time.Time{})
				}},
				step{fmt.Sprint(from, " tells ", to, " late"), func(m *modelState) { m.late[to] = m.vms[from].changesSince(m.vms[to].base()) }})
		}
	}
	return steps
}

func (m *modelState) storeSteps() []step {
	if m.newest() > modelChanges {
		return nil
	}
	x, found := m.history[m.newest()]["x"]
	steps := []step{{"heartbeat", func(m *modelState) { m.write(m.listedX()) }}}
	switch {
	case !found:
		steps = append(steps, step{"x joins", func(m *modelState) { m.write(&pool.Server{ID: "x"}) }})
	case !x.Leaving:
		steps = append(steps, step{"x is leaving", func(m *modelState) { m.write(&pool.Server{ID: "x", Leaving: true}) }})
		fallthrough
	default:
		steps = append(steps, step{"x is gone", func(m *modelState) { m.write(nil) }})
	}
	return steps
}

func (m *modelState) listedX() *pool.Server {
	if x, found := m.history[m.newest()]["x"]; found {
		return &x
	}
	return nil
}

func (m *modelState) readBy(reader int) {
	told := m.read(m.since[reader])
	m.vms[reader].learn(told, time.Time{})
	m.since[reader] = told.Version
}

// fault tells what is wrong in a state, "" if nothing is.
func (m *modelState) fault(before *modelState) string {
	for i := range m.vms {
		if m.vms[i].version < before.vms[i].version {
			return fmt.Sprintf("the version of VM %d went back", i)
		}
		listed := map[string]pool.Server{}
		for _, server := range m.vms[i].list() {
			listed[server.ID] = server
		}
		if want := m.history[m.vms[i].version]; !maps.Equal(listed, want) {
			return fmt.Sprintf("VM %d lists %v at version %d; the store's list was %v", i, listed, m.vms[i].version, want)
		}
	}
	return ""
}

// TestVersionsOfServersExhaustively: two VMs at one version list the same, that which
// the store held at it.
func TestVersionsOfServersExhaustively(t *testing.T) {
	type reached struct {
		state modelState
		way   []string
	}
	frontier := []reached{{state: newModelState()}}
	seen := map[string]bool{}
	for depth := range *modelDepth {
		next := []reached{}
		for _, at := range frontier {
			for _, step := range at.state.steps() {
				after := at.state.clone()
				step.do(&after)
				way := append(slices.Clone(at.way), step.name)
				qt.Assert(t, after.fault(&at.state), qt.Equals, "", qt.Commentf("after %q", way))
				if key := after.key(); !seen[key] {
					seen[key] = true
					next = append(next, reached{after, way})
				}
			}
		}
		frontier = next
		t.Logf("depth %d: %d states", depth+1, len(seen))
	}
}
