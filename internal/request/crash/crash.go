// Package crash records which server processes terminated while they ran a request, and
// blocks requests that crash each server that runs them.
//
// Requests have the same content if their client account, path and body are equal. A content
// is blocked once terminationLimit processes have terminated under it since it last ran to
// completion. If a process ran several contents when it terminated, the one with the most
// terminations accounts for it. Processes also terminate for other reasons, so these
// terminations are not counted against a content:
//
//   - that of a server that had announced its departure;
//   - that of a server that was lost with most of its failure domain, unless the content ran
//     on most of the servers lost;
//   - any, if the content ran to completion at this VM a moment before.
//
// # Usage
//
//	record := crash.New(crash.Options{Now: time.Now, Announce: spread.AnnounceCrash, HasTerminated: servers.HasTerminated})
//	record.Interrupted(content, server, startedAt, time.Now())    // A run of it was interrupted at a server.
//	record.Poll()                                                 // At short intervals.
//	record.Completed(content)                                     // It has run to completion.
//	until, blocked := record.BlockedUntil(content)                // Before each send.
//	record.Merge(reports)                                         // From other VMs.
//	if peerDigest != record.Digest() { send(record.Recurring()) } // A peer lacks some reports.
//
// Reports of other VMs may be late, duplicated and out of order. The entry of a content is
// therefore a set of processes that only grows, each of which may be dismissed, which is final
// (an observed-remove set, Shapiro et al. 2011): VMs that merged the same reports hold the same
// entries.
package crash

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/peer/permit"
)

const (
	// terminationLimit is the number of processes that may terminate under a content. The
	// contract permits three sends after the third crash, for VMs that it was not yet
	// reported to.
	terminationLimit = 3
	// initialBlock is how long a content is blocked after its last crash. Then it may run
	// again, and each further crash blocks it for twice as long, up to retention.
	initialBlock = time.Minute
	// trialInterval is the shortest time between two runs, at all VMs together, of a content
	// whose block has ended. It covers detectionTimeout and the report to the other VMs.
	trialInterval = 10 * time.Second
	// correlationWindow is the time within which the losses of a correlated failure are
	// detected, and correlationDelay the time after which all of them are: a check takes up
	// to 200 ms.
	correlationWindow = time.Second
	correlationDelay  = 400 * time.Millisecond
	// recentPeriod and maxRecent bound each of the two sets of recently completed contents.
	recentPeriod = 5 * time.Second
	maxRecent    = 2048
	// retention is how long the termination of a process is kept.
	retention = 10 * time.Minute
	// maxDoublings bounds the doublings of initialBlock: 16 minutes exceed retention.
	maxDoublings = 4
	// maxContents bounds the contents that are kept. If there are more, evictedFraction of
	// them are evicted at once.
	maxContents     = 10_000
	evictedFraction = 0.1
	// detectionTimeout is how long after the interruption of a run its server may be found to
	// have terminated: a server that stopped responding is restarted within seconds, as
	// another process.
	detectionTimeout = 6 * time.Second
	// maxInterruptions bounds the interruptions that are pending for that long.
	maxInterruptions = 4096
	// expiryInterval is how often expired terminations are removed.
	expiryInterval = 10 * time.Second
	// minRecurring is the number of terminations from which a content is part of the digest
	// that VMs compare, and maxReports bounds the contents in one reply to a difference.
	minRecurring = 2
	maxReports   = 256
	// maxTerminations bounds the processes that are kept for one content.
	maxTerminations = 32
)

// Options configures a Record. Announce sends a report that changed here to other VMs.
type Options struct {
	Now      func() time.Time
	Announce func(report Report)
	// TakePermit takes the permit that a content needs to run after its block has ended, from
	// the bucket that all VMs share; nil for a fleet of one VM, which needs none.
	TakePermit func(request permit.Request) permit.Reply
	// HasTerminated reports whether the server process at which a run was interrupted has
	// terminated. CorrelatedLosses returns how many servers were lost together with one,
	// itself included, if they are most of its failure domain, and 0 otherwise.
	HasTerminated    func(server pool.Server, interruptedAt time.Time) bool
	CorrelatedLosses func(server pool.Server) int
	// OnTerminated is called for each termination that is counted against a content, some time
	// after the interruption. OnDismissed is called when terminations are no longer counted
	// against a content, and OnBlocked when a content becomes blocked, with the number of
	// processes that terminated under it.
	OnTerminated func(content string, server pool.Server, after time.Duration)
	OnDismissed  func(content, reason string)
	OnBlocked    func(content string, terminations int)
}

// Report lists the terminations under a content, as VMs exchange it.
type Report struct {
	Content      string        `cbor:"1,keyasint"`
	Terminations []Termination `cbor:"3,keyasint"`
}

// Termination is a server process that terminated under a content. Age is the time since, in
// milliseconds. A dismissed termination no longer counts: the content has run to completion
// since, or the server was lost with most of its failure domain.
type Termination struct {
	Process   string `cbor:"1,keyasint"`
	Age       int64  `cbor:"2,keyasint,omitempty"`
	Dismissed bool   `cbor:"3,keyasint,omitempty"`
	Group     string `cbor:"4,keyasint,omitempty"` // Service and failure domain; see pool.Server.Group.
}

// Record is safe for concurrent use.
type Record struct {
	options Options

	mu           sync.Mutex
	contents     map[string]entry
	digest       uint64               // Of the recurring entries.
	suspects     map[string]bool      // The contents under which terminationLimit processes terminated.
	terminatedAt map[string]time.Time // By process, when its termination interrupted the first run.
	expireAt     time.Time
	pending      []interruption // Those whose servers are not known to have terminated, oldest first.
	resolved     []interruption // Those whose servers have terminated, until correlationDelay.
	recent       recentContents
}

// New returns an empty Record.
func New(options Options) *Record {
	if options.CorrelatedLosses == nil {
		options.CorrelatedLosses = func(pool.Server) int { return 0 }
	}
	if options.OnTerminated == nil {
		options.OnTerminated = func(string, pool.Server, time.Duration) {}
	}
	if options.OnDismissed == nil {
		options.OnDismissed = func(string, string) {}
	}
	if options.OnBlocked == nil {
		options.OnBlocked = func(string, int) {}
	}
	return &Record{options: options, contents: map[string]entry{}, suspects: map[string]bool{}, terminatedAt: map[string]time.Time{}}
}

// Terminated records that a server process terminated under the content, and announces it.
func (r *Record) Terminated(content string, server pool.Server, at time.Time) {
	r.mu.Lock()
	terminations := r.merge(content, map[string]termination{server.Process(): {at: at, group: server.Group()}})
	report := r.report(content)
	r.mu.Unlock()
	r.options.Announce(report)
	if terminations > 0 {
		r.options.OnBlocked(content, terminations)
	}
}

// Completed records that the content has run to completion at a server, and dismisses its
// terminations: it does not crash every server.
func (r *Record) Completed(content string) {
	r.mu.Lock()
	r.recent.add(content, r.options.Now())
	known := r.contents[content]
	if known.active() == 0 {
		r.mu.Unlock()
		return
	}
	dismissed := map[string]termination{}
	for process, e := range known {
		e.dismissed = true
		dismissed[process] = e
	}
	r.merge(content, dismissed)
	report := r.report(content)
	r.mu.Unlock()
	r.options.Announce(report)
	r.options.OnDismissed(content, "it has run to its end")
}

// Merge adds reports of another VM.
func (r *Record) Merge(reports []Report) {
	now := r.options.Now()
	for _, report := range reports {
		reported := map[string]termination{}
		for _, e := range report.Terminations {
			age := min(max(e.Age, 0), retention.Milliseconds())
			reported[e.Process] = termination{at: now.Add(-time.Duration(age) * time.Millisecond), group: e.Group, dismissed: e.Dismissed}
		}
		r.mu.Lock()
		terminations := r.merge(report.Content, reported)
		r.mu.Unlock()
		if terminations > 0 {
			r.options.OnBlocked(report.Content, terminations)
		}
	}
}

// BlockedUntil reports whether the content may not be sent to any server, and until when. After
// a block all VMs together may send it once in trialInterval, until a run of it has completed.
func (r *Record) BlockedUntil(content string) (until time.Time, blocked bool) {
	now := r.options.Now()
	r.mu.Lock()
	until, blocked = r.blockedUntil(content, now)
	needsPermit := !blocked && r.suspects[content] && r.attributed(content) >= terminationLimit
	r.mu.Unlock()
	if !needsPermit || r.options.TakePermit == nil {
		return until, blocked
	}
	reply := r.options.TakePermit(permit.Request{Key: "content/" + content, Rate: 1 / trialInterval.Seconds()})
	if reply.Granted {
		return time.Time{}, false
	}
	return now.Add(reply.Wait), true
}

// blockedUntil is BlockedUntil with the lock held.
func (r *Record) blockedUntil(content string, now time.Time) (until time.Time, blocked bool) {
	if !r.suspects[content] || r.attributed(content) < terminationLimit {
		return time.Time{}, false
	}
	return r.contents[content].blockedUntil(now)
}

// attributed returns the number of active terminations under a content, without those that
// another content with more terminations explains. Called with the lock held.
func (r *Record) attributed(content string) (count int) {
	known := r.contents[content]
	all := known.active()
	for process, e := range known {
		if !e.dismissed && !r.isExplainedByAnother(process, all) {
			count++
		}
	}
	return count
}

// isExplainedByAnother reports whether a process also terminated under a suspect with more
// active terminations than count. Called with the lock held.
func (r *Record) isExplainedByAnother(process string, count int) bool {
	for suspect := range r.suspects {
		other := r.contents[suspect]
		if e, found := other[process]; found && !e.dismissed && other.active() > count {
			return true
		}
	}
	return false
}

// merge adds terminations, by process. If the content becomes blocked by them, it returns the
// number of active ones, and 0 otherwise. Called with the lock held.
func (r *Record) merge(content string, reported map[string]termination) (count int) {
	now := r.options.Now()
	known := r.contents[content]
	_, wasBlocked := r.blockedUntil(content, now)
	merged := entry{}
	maps.Copy(merged, known)
	for process, e := range reported {
		before, found := merged[process]
		if found {
			// The earlier time is the more accurate one: each VM that passes it on adds the transit time.
			e = termination{at: minTime(before.at, e.at), group: before.group, dismissed: before.dismissed || e.dismissed}
		}
		merged[process] = e
		r.recordTermination(process, e.at)
	}
	merged.expire(now)
	if r.contents[content] == nil && len(r.contents) >= maxContents {
		r.evict()
	}
	r.set(content, merged)
	if _, isBlocked := r.blockedUntil(content, now); isBlocked && !wasBlocked {
		return merged.active()
	}
	return 0
}

// recordTermination keeps the earliest time of a process's termination. Called with the lock
// held.
func (r *Record) recordTermination(process string, at time.Time) {
	if before, found := r.terminatedAt[process]; found && !at.Before(before) {
		return
	}
	if len(r.terminatedAt) >= maxContents {
		r.terminatedAt = map[string]time.Time{} // Costs only that a few more terminations are counted.
	}
	r.terminatedAt[process] = at
}

// set replaces a content's entry. Called with the lock held.
func (r *Record) set(content string, known entry) {
	r.digest += known.digest(content) - r.contents[content].digest(content)
	r.contents[content] = known
	r.suspects[content] = known.active() >= terminationLimit
	if !r.suspects[content] {
		delete(r.suspects, content)
	}
	if len(known) == 0 {
		delete(r.contents, content)
	}
}

// evict drops the contents with the fewest active terminations, and among these the ones whose
// last termination is the oldest. Called with the lock held.
func (r *Record) evict() {
	type candidate struct {
		content string
		active  int
		last    time.Time
	}
	candidates := make([]candidate, 0, len(r.contents))
	for content, known := range r.contents {
		candidates = append(candidates, candidate{content: content, active: known.active(), last: known.last()})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.active, b.active), a.last.Compare(b.last))
	})
	for _, p := range candidates[:int(evictedFraction*float64(len(candidates)))] {
		r.set(p.content, nil)
	}
}

// report returns the report of a content. Called with the lock held.
func (r *Record) report(content string) Report {
	now := r.options.Now()
	report := Report{Content: content}
	for process, e := range r.contents[content] {
		report.Terminations = append(report.Terminations, Termination{Process: process, Age: max(now.Sub(e.at).Milliseconds(), 0), Dismissed: e.dismissed, Group: e.group})
	}
	slices.SortFunc(report.Terminations, func(a, b Termination) int { return cmp.Compare(a.Process, b.Process) })
	return report
}

// Digest returns the same value for VMs whose entries of all contents with several terminations
// are equal. Contents with one termination are left out: a loss of servers leaves many of them,
// and a VM that detects the next termination announces the one before with it.
func (r *Record) Digest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.digest
}

// Recurring returns the reports that Digest covers, for a VM with another digest: maxReports at
// most, those with the most terminations first.
func (r *Record) Recurring() []Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	reports := []Report{}
	for content, known := range r.contents {
		if known.isRecurring() {
			reports = append(reports, r.report(content))
		}
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(len(b.Terminations), len(a.Terminations)), cmp.Compare(a.Content, b.Content))
	})
	return reports[:min(len(reports), maxReports)]
}

// Blocked returns the reports of the blocked contents, maxReports at most, and a digest of
// them that changes when they do.
func (r *Record) Blocked() (reports []Report, digest uint64) {
	now := r.options.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for content := range r.suspects {
		if _, blocked := r.blockedUntil(content, now); blocked && len(reports) < maxReports {
			reports = append(reports, r.report(content))
			digest += r.contents[content].digest(content)
		}
	}
	return reports, digest
}

// expire removes expired terminations, once in expiryInterval.
func (r *Record) expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.expireAt) {
		return
	}
	r.expireAt = now.Add(expiryInterval)
	maps.DeleteFunc(r.terminatedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= retention })
	for content, known := range r.contents {
		if known.hasExpired(now) {
			left := maps.Clone(known)
			left.expire(now)
			r.set(content, left)
		}
	}
}
