package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/endivespoke/endivespoke/internal/backend/placement"
)

// The events of two versions don't fit together, so a stream that has begun goes on at servers of its
// version only: its rule is exact. While a service's traffic moves to servers of another version, each
// other choice follows a rule that divides the servers of the service:
//
//	preferred   version Prefer, only Servers of them    chosen if one takes the work
//	permitted   other versions                          chosen otherwise
//	excluded    avoided versions, the rest of Prefer    never, while a permitted version is listed
//
// Which servers are excluded depends on the list only, so that it is the same on all VMs: a server
// that is down for one VM must not make it send work to an avoided version.

// IsZero reports whether the rule limits nothing.
func (r VersionRule) IsZero() bool {
	return !r.Exact && r.Prefer == "" && len(r.Avoid) == 0 && !r.AvoidOthers
}

// Equal reports whether two rules are the same.
func (r VersionRule) Equal(other VersionRule) bool {
	return r.Exact == other.Exact && r.Only == other.Only && r.Prefer == other.Prefer && r.AvoidOthers == other.AvoidOthers &&
		r.Servers == other.Servers && slices.Equal(r.Avoid, other.Avoid)
}

// unbounded returns the rule without its bound on servers, for the memory of a stream: it is little
// load, and a stream whose copy is out of bounds would have its prompt processed again.
func (r VersionRule) unbounded() VersionRule {
	r.Servers = 0
	return r
}

// Avoids reports whether the rule avoids a version.
func (r VersionRule) Avoids(version string) bool {
	return (r.AvoidOthers && version != r.Prefer) || slices.Contains(r.Avoid, version)
}

// versionFilter applies a rule to the servers of a service. A nil filter excludes none.
type versionFilter struct {
	rule VersionRule
	// bound has the preferred servers; nil if all servers of version Prefer are.
	bound map[*server]bool
}

// versionFilter returns the filter of what a rule is now, nil if it excludes and prefers no server.
// Called with the lock held.
func (p *Pool) versionFilter(service string, rule VersionRule) *versionFilter {
	rule = p.options.CurrentRule(service, rule)
	if rule.IsZero() {
		return nil
	}
	if rule.Exact {
		return &versionFilter{rule: VersionRule{Exact: true, Only: rule.Only, Avoid: rule.Avoid}}
	}
	hasPermitted, hasOther := false, false
	preferred := []*server{}
	for _, s := range p.servers {
		if s.Service != service || !s.acceptsWork() {
			continue
		}
		isPermitted := !rule.Avoids(s.Version)
		hasPermitted = hasPermitted || isPermitted
		hasOther = hasOther || (isPermitted && s.Version != rule.Prefer)
		if s.Version == rule.Prefer {
			preferred = append(preferred, s)
		}
	}
	if !hasPermitted {
		return nil
	}
	filter := &versionFilter{rule: rule}
	if rule.Servers > 0 && hasOther {
		filter.bound = firstByHash(preferred, rule.Servers)
	}
	return filter
}

// firstByHash returns the same servers on all VMs. One that joins or leaves replaces one other at
// most.
func firstByHash(servers []*server, count int) map[*server]bool {
	hashes := make(map[*server]uint64, len(servers))
	for _, s := range servers {
		hashes[s] = placement.Hash(s.ID)
	}
	slices.SortFunc(servers, func(a, b *server) int { return cmp.Or(cmp.Compare(hashes[a], hashes[b]), byID(a, b)) })
	first := map[*server]bool{}
	for _, s := range servers[:min(count, len(servers))] {
		first[s] = true
	}
	return first
}

// excludes reports whether a server of the service must not be chosen.
func (f *versionFilter) excludes(s *server) bool {
	return f != nil && (f.rule.Avoids(s.Version) || (f.rule.Exact && s.exactVersion() != f.rule.Only) || (f.bound != nil && s.Version == f.rule.Prefer && !f.bound[s]))
}

// hasPreference reports whether some of the servers are preferred to others.
func (f *versionFilter) hasPreference() bool {
	return f != nil && f.rule.Prefer != ""
}

// choices are servers that may take new work, with a candidate for each.
type choices struct {
	servers    []*server
	candidates []placement.Candidate
}

func (c *choices) add(s *server, candidate placement.Candidate) {
	c.servers = append(c.servers, s)
	c.candidates = append(c.candidates, candidate)
}

// ofExactVersion returns those of an exact version.
func (c *choices) ofExactVersion(version string) choices {
	found := choices{}
	for i, s := range c.servers {
		if s.exactVersion() == version {
			found.add(s, c.candidates[i])
		}
	}
	return found
}

// ofVersion returns those of a version.
func (c *choices) ofVersion(version string) choices {
	found := choices{}
	for i, s := range c.servers {
		if s.Version == version {
			found.add(s, c.candidates[i])
		}
	}
	return found
}

// notOfVersion returns those of other versions.
func (c *choices) notOfVersion(version string) choices {
	found := choices{}
	for i, s := range c.servers {
		if s.Version != version {
			found.add(s, c.candidates[i])
		}
	}
	return found
}

// inOrder returns what to choose from in turn: a later part is used if no server of the parts before
// it takes the work. The last part has all of them.
func (c *choices) inOrder(filter *versionFilter) []choices {
	if !filter.hasPreference() {
		return []choices{*c}
	}
	return []choices{c.ofVersion(filter.rule.Prefer), c.notOfVersion(filter.rule.Prefer), *c}
}

// OldWork counts the calls and streams of this VM at servers of a service that are not of a version,
// and the copies of its streams there. Servers that are no longer listed count until the work there
// has ended.
func (p *Pool) OldWork(service, keepVersion string) (count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		if s.Service != service {
			continue
		}
		if s.Version != keepVersion {
			count += len(s.leases)
		}
		for lease := range s.leases {
			if lease.copyHolder != nil && lease.copyHolder.Version != keepVersion {
				count++
			}
		}
	}
	return count
}

// UnusedAddresses returns the addresses of the servers of some versions where this VM has no work.
func (p *Pool) UnusedAddresses(service string, isVersion func(version string) bool) (addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		if s.Service == service && len(s.leases) == 0 && isVersion(s.Version) {
			addresses = append(addresses, s.Address)
		}
	}
	return addresses
}

// takesRequests reports whether a server takes requests now.
func (s *server) takesRequests(now time.Time) bool {
	return s.acceptsWork() && !s.down && !s.inBackoff(now) && !s.isDenied(now)
}
