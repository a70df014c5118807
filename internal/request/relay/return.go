package relay

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/node/event"
)

// streamVersion is the version at which a stream goes on: that of the server of the last run. From the
// first event on it is fixed, as the events of two versions don't fit together.
type streamVersion struct {
	name    string
	isFixed atomic.Bool
}

// fixedRule returns the rule for the servers at which a stream of a fixed version may go on. The version
// of a process that was not listed may have become known.
func (s *stream) fixedRule() pool.VersionRule {
	return pool.VersionRule{Exact: true, Only: s.relay.options.Servers.ResolveVersion(s.version.name)}
}

// beginVersion notes the version of a run that is about to be sent. It is announced to other VMs only if
// no other version can write the first event: a VM may miss that the request was sent again elsewhere.
func (s *stream) beginVersion(lease *pool.Lease) {
	if s.version.isFixed.Load() {
		return
	}
	s.version.name, s.request.Version = lease.Version(), ""
	if only, known := s.relay.options.Servers.OnlyVersionOfLate(s.request.Service); known && only == s.version.name {
		s.request.Version = only
	}
}

// confirmVersion fixes the version of the server that wrote the first event.
func (s *stream) confirmVersion() {
	if !s.version.isFixed.Swap(true) {
		s.request.Version = s.version.name
	}
}

// takeUp prepares a stream whose caller has returned with the last event that it has: it finds the
// attempt before, with the version and the memory of its run, if it can be told from equal requests of
// others. It returns the refusal of a stream that might otherwise go on at another version.
func (s *stream) takeUp(ctx context.Context) (refusal *NotRun) {
	request := s.request
	earlier, found := Earlier{}, false
	if request.CopyKey != "" && (request.Resumes != "" || !request.SharesKey) {
		earlier, found = s.relay.options.Copies.Find(ctx, request.CopyKey, request.Resumes)
	}
	defer func() {
		event.StreamReturned.Info(s.relay.options.Logger, "request", request.ID, "resumes", request.Resumes, "found", found,
			"service", request.Service, "version", request.Version, "lastEvent", request.LastEventID, "refused", refusal != nil)
	}()
	if !found {
		request.Origin = cmp.Or(request.Resumes, request.Origin)
		return s.fixOnlyVersion(ctx)
	}
	request.Origin, request.OriginKnown = earlier.Origin, true
	s.isRecorded, s.recordedService, s.recordedVersion = true, earlier.Service, earlier.Version
	service := cmp.Or(earlier.Service, s.relay.options.Servers.ServiceOf(earlier.Copy.ServerID))
	if service != request.Service && !request.Route.LeadsTo(service) {
		return nil // The route has left the service since.
	}
	request.Service, s.resumeFrom = service, earlier.Copy
	if earlier.Version != "" {
		s.fixVersion(earlier.Version)
		return nil
	}
	refusal = s.fixOnlyVersion(ctx)
	if refusal == nil && earlier.Service != "" && s.version.name != "" {
		return s.versionUnknown() // The record is of two versions, or of servers that name none.
	}
	return refusal
}

func (s *stream) fixVersion(version string) {
	s.version.name, s.request.Version = version, version
	s.version.isFixed.Store(true)
}

// fixOnlyVersion fixes the version of a returned stream of which no version is known, if there is only
// one that its events can be of. Otherwise the stream is refused.
func (s *stream) fixOnlyVersion(ctx context.Context) *NotRun {
	if _, mayBeOnly := s.relay.options.Servers.OnlyVersion(s.request.Service, time.Time{}); !mayBeOnly {
		return s.versionUnknown()
	}
	if !s.relay.options.Versions.RefreshList(ctx, s.request.Received) {
		refusal := s.versionUnknown()
		refusal.RetryAt = s.relay.options.Now().Add(retryDelay)
		return refusal
	}
	only, isOnly := s.relay.options.Servers.OnlyVersion(s.request.Service, s.request.Received)
	if !isOnly {
		return s.versionUnknown()
	}
	s.fixVersion(only)
	return nil
}

// versionUnknown refuses a stream that might go on at a wrong version. A VM that has just started may
// still learn the version.
func (s *stream) versionUnknown() *NotRun {
	refusal := &NotRun{Kind: RefusalVersion, Reason: "the version of the servers that began the stream is not known, and service " + s.request.Service + " may have several"}
	if _, known := s.relay.options.Servers.Versions(); !known {
		refusal.RetryAt = s.relay.options.Now().Add(retryDelay)
	}
	return refusal
}
