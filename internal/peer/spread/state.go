package spread

import (
	"slices"
	"strings"
	"time"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/config/routing"
)

const (
	// deadAfter is how long a member's beat may stand still until it is taken as
	// down. Beats come every tick and pass a few VMs on their way.
	deadAfter = 1500 * time.Millisecond
	// forgetAfter is how long a member that is down is remembered and tried again.
	forgetAfter = 30 * time.Second
	// goneKept is for how many store versions the mark of a server that is gone is
	// kept. A peer that is further behind gets the whole list.
	goneKept = 20_000
)

type member struct {
	Member
	heardAt time.Time
	down    bool // A connection to it was refused after its last beat.
	// What the member had when it last told.
	configVersion  uint64
	serversVersion uint64
}

// state is owned by the loop's goroutine.
type state struct {
	self      Member
	members   map[string]*member
	seeds     []string
	config    *routing.Configuration
	configRaw []byte
	configAt  time.Time // When this was last known to be the newest.

	servers        map[string]ServerRow
	serversVersion uint64
	serversAt      time.Time
}

func (m *member) isLive(now time.Time) bool {
	return !m.down && now.Sub(m.heardAt) < deadAfter
}

// hear takes in what is told of members. It reports whether one is new or
// changed in what callers' addresses depend on.
func (s *state) hear(told []Member, now time.Time) (changed bool) {
	for _, t := range told {
		if t.ID == s.self.ID {
			continue
		}
		known := s.members[t.ID]
		if known == nil {
			known = &member{Member: t, heardAt: now}
			s.members[t.ID] = known
			changed = true
			continue
		}
		if t.Beat <= known.Beat {
			continue
		}
		changed = changed || known.down || t.Ready != known.Ready || t.Leaving != known.Leaving
		known.Member = t
		known.heardAt = now
		known.down = false
	}
	return changed
}

// forget drops members that have been down for long, and earlier lives of an
// address that has a newer one.
func (s *state) forget(now time.Time) {
	newest := map[string]*member{}
	for _, m := range s.members {
		if other := newest[m.PeerAddress]; other == nil || m.heardAt.After(other.heardAt) {
			newest[m.PeerAddress] = m
		}
	}
	for id, m := range s.members {
		superseded := newest[m.PeerAddress] != m || m.PeerAddress == s.self.PeerAddress
		if now.Sub(m.heardAt) > forgetAfter || (superseded && !m.isLive(now)) {
			delete(s.members, id)
		}
	}
}

// told lists the members that others should hear of, this VM first.
func (s *state) told(now time.Time) []Member {
	members := []Member{s.self}
	for _, m := range s.members {
		if m.isLive(now) {
			members = append(members, m.Member)
		}
	}
	return members
}

// live lists this VM and the live others by ID.
func (s *state) live(now time.Time) []Member {
	members := s.told(now)
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return members
}

// summary is a message without news.
func (s *state) summary(now time.Time) message {
	m := message{
		From:           s.self.ID,
		Members:        s.told(now),
		ConfigAge:      ageOf(s.configAt, now),
		ServersAge:     ageOf(s.serversAt, now),
		ServersVersion: s.serversVersion,
	}
	if s.config != nil {
		m.ConfigVersion = s.config.Version
	}
	return m
}

// withNews adds what a peer lacks that has these versions.
func (s *state) withNews(m message, configVersion, serversVersion uint64) message {
	if s.config != nil && s.config.Version > configVersion {
		m.Config = s.configRaw
	}
	if s.serversVersion > serversVersion {
		m.Servers = s.serverChanges(serversVersion)
	}
	return m
}

func (s *state) serverChanges(base uint64) *ServerChanges {
	changes := &ServerChanges{Base: base, Version: s.serversVersion}
	changes.Full = base == 0 || base+goneKept < s.serversVersion
	for _, row := range s.servers {
		if changes.Full && !row.Gone || !changes.Full && row.Changed > base {
			changes.Rows = append(changes.Rows, row)
		}
	}
	return changes
}

// applyServers takes in changes that continue the list it has. It reports
// whether the list of servers is another than before.
func (s *state) applyServers(changes *ServerChanges) (changed bool) {
	if changes == nil || changes.Version <= s.serversVersion || (!changes.Full && changes.Base > s.serversVersion) {
		return false
	}
	if changes.Full {
		s.servers = map[string]ServerRow{}
	}
	for _, row := range changes.Rows {
		if known, found := s.servers[row.Server.ID]; !found || row.Changed > known.Changed {
			s.servers[row.Server.ID] = row
		}
	}
	s.serversVersion = changes.Version
	for id, row := range s.servers {
		if row.Gone && row.Changed+goneKept < s.serversVersion {
			delete(s.servers, id)
		}
	}
	return changes.Full || len(changes.Rows) > 0
}

// listed gives the servers that are there.
func (s *state) listed() []pool.Server {
	servers := []pool.Server{}
	for _, row := range s.servers {
		if !row.Gone {
			servers = append(servers, row.Server)
		}
	}
	return servers
}
