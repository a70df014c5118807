package pool

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// versionRetention is how long a version is remembered after its last server left the list. It exceeds
	// the longest permitted duration of a stream, the time in which its caller returns included.
	versionRetention = 35 * time.Second
	// versionsStaleAfter is the age from which the list may lack versions at which streams have begun.
	versionsStaleAfter = 3 * time.Second
	// unlistedPrefix begins the version of a process that is not listed yet; its server ID follows. No
	// other process has that version.
	unlistedPrefix = "unlisted "
)

// VersionAges has, by service, the versions at which streams may have begun, with the milliseconds since
// a server of each was last listed.
type VersionAges map[string]map[string]int64

// exactVersion returns the version of a server for what must not go to another version.
func (s *server) exactVersion() string {
	if s.versionUnknown {
		return unlistedPrefix + s.ID
	}
	return s.Version
}

// ResolveVersion returns the version of a process that was not listed when a stream began there, if it
// is listed now. Other versions, and one that is still not known, are returned as they are.
func (p *Pool) ResolveVersion(version string) string {
	id, isUnlisted := strings.CutPrefix(version, unlistedPrefix)
	if !isUnlisted {
		return version
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[id]; s != nil {
		return s.exactVersion()
	}
	return version
}

// listedAt returns when the list was current last. Called with the lock held.
func (p *Pool) listedAt(now time.Time) time.Time {
	if p.options.Successors.ListedAt == nil {
		return now
	}
	if at := p.options.Successors.ListedAt(); at.Before(now) {
		return at
	}
	return now
}

// recordVersions records the versions of the listed servers. Called with the lock held.
func (p *Pool) recordVersions(now time.Time) {
	for _, s := range p.servers {
		if s.listed && !s.versionUnknown {
			p.recordVersion(s.Service, s.Version, p.listedAt(now))
		}
	}
	for _, listedUntil := range p.versions {
		maps.DeleteFunc(listedUntil, func(_ string, until time.Time) bool { return now.Sub(until) > versionRetention })
	}
}

func (p *Pool) recordVersion(service, version string, until time.Time) {
	if p.versions[service] == nil {
		p.versions[service] = map[string]time.Time{}
	}
	if until.After(p.versions[service][version]) {
		p.versions[service][version] = until
	}
}

// OnlyVersion returns the version of all streams of a service that may still be returned to. It is not
// known if there may be several, while the history of the versions is not known, or if the list is older than
// asOf. That a version is not listed is evidence of its absence only if the list was requested later than
// a stream may have begun there: this VM may have been out of step until now.
func (p *Pool) OnlyVersion(service string, asOf time.Time) (version string, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	p.recordVersions(now)
	versions := slices.Collect(maps.Keys(p.versions[service]))
	if len(versions) != 1 || now.Before(p.versionsKnownAt) || p.listedAt(now).Before(asOf) {
		return "", false
	}
	return versions[0], true
}

// OnlyVersionOfLate is OnlyVersion by a list that may lack what joined lately.
func (p *Pool) OnlyVersionOfLate(service string) (version string, known bool) {
	return p.OnlyVersion(service, p.options.Now().Add(-versionsStaleAfter))
}

// Versions returns the versions that servers were listed with within the retention; known is false while
// some may be missing.
func (p *Pool) Versions() (ages VersionAges, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	p.recordVersions(now)
	ages = VersionAges{}
	for service, listedUntil := range p.versions {
		ages[service] = make(map[string]int64, len(listedUntil))
		for version, until := range listedUntil {
			ages[service][version] = now.Sub(until).Milliseconds()
		}
	}
	return ages, !now.Before(p.versionsKnownAt)
}

// AddVersions adds the versions that another VM knows, or an earlier process of this one knew, which were
// all that were listed within the retention. Ages may have grown since.
func (p *Pool) AddVersions(ages VersionAges) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	for service, versions := range ages {
		for version, age := range versions {
			p.recordVersion(service, version, now.Add(-time.Duration(max(age, 0))*time.Millisecond))
		}
	}
	if now.Before(p.versionsKnownAt) {
		p.versionsKnownAt = now
	}
}
