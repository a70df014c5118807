package pool

import (
	"maps"
	"slices"
	"time"
)

// versionRetention is how long a version is remembered after its last server left the list. It exceeds
// the longest permitted duration of a stream, the time in which its caller returns included.
const versionRetention = 35 * time.Second

// versionHistory has the versions of which streams of a service may be, with the time up to which a
// server of each was listed.
type versionHistory struct {
	listedUntil map[string]time.Time
}

// recordVersions records the versions of the listed servers. Called with the lock held.
func (p *Pool) recordVersions(now time.Time) {
	for _, s := range p.servers {
		if s.listed && !s.isUnlisted() {
			p.recordVersion(s.Service, s.Version, now)
		}
	}
	for _, history := range p.versions {
		maps.DeleteFunc(history.listedUntil, func(_ string, until time.Time) bool { return now.Sub(until) > versionRetention })
	}
}

func (p *Pool) recordVersion(service, version string, now time.Time) {
	history := p.versions[service]
	if history == nil {
		history = &versionHistory{listedUntil: map[string]time.Time{}}
		p.versions[service] = history
	}
	history.listedUntil[version] = now
}

// OnlyVersion returns the version of all streams of a service that may still be returned to. It is not
// known if there may be several, or while the history of the versions is not.
func (p *Pool) OnlyVersion(service string) (version string, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	p.recordVersions(now)
	history := p.versions[service]
	if history == nil || len(history.listedUntil) != 1 || now.Before(p.versionsKnownAt) {
		return "", false
	}
	for version = range history.listedUntil {
	}
	return version, true
}

// Versions returns the versions of each service that were listed within the retention, sorted; known is
// false while some may be missing.
func (p *Pool) Versions() (byService map[string][]string, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	p.recordVersions(now)
	byService = map[string][]string{}
	for service, history := range p.versions {
		if len(history.listedUntil) > 0 {
			byService[service] = slices.Sorted(maps.Keys(history.listedUntil))
		}
	}
	return byService, !now.Before(p.versionsKnownAt)
}

// AddVersions adds the versions that another VM knew, or an earlier process of this one, with all that
// were listed within the retention. When they were listed last is not known.
func (p *Pool) AddVersions(byService map[string][]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	for service, versions := range byService {
		for _, version := range versions {
			p.recordVersion(service, version, now)
		}
	}
	if now.Before(p.versionsKnownAt) {
		p.versionsKnownAt = now
	}
}
