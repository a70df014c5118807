// Package crash records which server processes terminated while they ran requests, and blocks
// requests that crash each server that runs them.
//
// # Which trait is the cause
//
// A server that terminates takes all its runs with it, and requests that crash servers need not be
// alike: they may share only a part of their prompts. So a termination counts against each trait
// of the requests whose runs had just begun there: their contents and the parts of their prompts.
// A run to completion, or one that outlived its start, clears the traits of its request. That is spectrum-based fault localization
// (Abreu et al. 2009) with servers for test cases: the cause is a trait that never completes and
// that explains terminations which no other trait explains better; see attribution.go.
//
// Traits that always occurred together can't be told apart by what is known. Then a request that
// has all of them is blocked, and one that has only some of them is a test that tells which of them
// it is (adaptive group testing). All VMs together run one such test at a time.
//
// The content of a request that crashes servers comes again, and that of a sound one mostly does not.
// So a content that recurs is a test of itself before it reaches the limit, it is the last choice for
// the test of a part, and a failed test of a part may be due to a content that has come again since.
//
// A trait is blocked once terminationLimit processes have terminated under it since a request with
// it last ran to completion. Processes also terminate for other reasons, so these terminations are
// not counted:
//
//   - that of a server that had announced its departure;
//   - that of a server that was lost with most of its failure domain, unless requests with one of
//     the traits ran on most of the servers lost;
//   - any, if a request with the trait ran to completion at this VM a moment before.
//
// # Usage
//
//	record := crash.New(crash.Options{Now: time.Now, Announce: spread.AnnounceCrash, HasTerminated: servers.HasTerminated})
//	traits := crash.Traits(contentHash, promptParts)
//	verdict := record.Check(traits...)                            // Before the first send.
//	verdict = record.Recheck(traits...)                           // Before others, and after a hold.
//	record.Interrupted(traits, server, startedAt, time.Now())     // A run was interrupted at a server.
//	record.Poll()                                                 // At short intervals.
//	record.Completed(traits...)                                   // A request has run to completion.
//	record.Inconclusive(traits...)                                // It did not run, or its server failed it.
//	record.Merge(reports)                                         // From other VMs.
//	if peerDigest != record.Digest() { send(record.Recurring()) } // A peer lacks some reports.
//
// Reports of other VMs may be late, duplicated and out of order. The entry of a trait is
// therefore a set of processes that only grows, each of which may be dismissed, which is final
// (an observed-remove set, Shapiro et al. 2011): VMs that merged the same reports hold the same
// entries.
package crash

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/peer/permit"
)

const (
	// terminationLimit is the number of processes that may terminate under a trait; see
	// Record.limit. The contract permits three sends after the third crash under a content, for
	// VMs that it was not yet reported to, and after the fifth under a part.
	terminationLimit = 3
	// initialBlock is how long a content is blocked after its last crash. Then it may run again,
	// and each further crash blocks it for blockGrowth times as long, up to retention.
	initialBlock = time.Minute
	blockGrowth  = 2
	// initialPartBlock is how long a part is first blocked: many requests may share a sound one
	// that servers were lost under by chance. Each trial that fails blocks it for partBlockGrowth
	// times as long. The contract permits three after the fifth crash.
	initialPartBlock = 5 * time.Second
	partBlockGrowth  = 6
	// trialInterval is the shortest time between two runs, at all VMs together, of requests with
	// a trait whose block has ended. It covers detectionTimeout and the report to the other VMs.
	trialInterval = 10 * time.Second
	// testInterval is the same for requests that tell which of several traits is the cause: the
	// time in which a long prompt is read and the outcome is reported to the other VMs.
	testInterval = 3 * time.Second
	// holdInterval is the time between two checks of a held request: a trial of another one may
	// have ended meanwhile.
	holdInterval = 100 * time.Millisecond
	// maxFailedTrials is the number of failed trials after which a suspect is refused although
	// another one may be the cause. The contract permits three sends.
	maxFailedTrials = 2
	// minTrialLosses is the number of servers that are lost together from which on a trial among
	// them shows nothing.
	minTrialLosses = 4
	// settleTime is how long after a termination no trial of its traits starts: runs that are
	// refused by now are ended meanwhile, and would crash the server of the trial.
	settleTime = 500 * time.Millisecond
	// candidateWindow and maxCandidates bound the requests that a trial is chosen among.
	candidateWindow = 10 * time.Second
	maxCandidates   = 32
	// permitRecheckInterval bounds the time until a VM asks again for a permit that it was denied:
	// another VM may have returned it.
	permitRecheckInterval = 500 * time.Millisecond
	// newContentWait is how long a trial that may start waits for one whose content is new.
	newContentWait = time.Second
	// correlationWindow is the time within which the losses of a correlated failure are
	// detected, and correlationDelay the time after which all of them are: a check takes up
	// to 200 ms.
	correlationWindow = time.Second
	correlationDelay  = 400 * time.Millisecond
	// recentPeriod and maxRecent bound the sets of traits that completed recently, passedPeriod
	// and maxPassed those of parts that have completed before. maxRecent also bounds the sets of
	// contents that came within candidateWindow.
	recentPeriod = 5 * time.Second
	maxRecent    = 2048
	passedPeriod = 5 * time.Minute
	maxPassed    = 8192
	// retention is how long the termination of a process is kept.
	retention = 10 * time.Minute
	// maxKnown bounds the traits that are kept. If there are more, evictedFraction of them are
	// evicted at once.
	maxKnown        = 10_000
	evictedFraction = 0.1
	// detectionTimeout is how long after the interruption of a run its server may be found to
	// have terminated: a server that stopped responding is restarted within seconds, as
	// another process.
	detectionTimeout = 6 * time.Second
	// maxInterruptions bounds the interruptions that are pending for that long.
	maxInterruptions = 4096
	// expiryInterval is how often expired terminations are removed.
	expiryInterval = 10 * time.Second
	// minRecurring is the number of terminations from which trials take a trait into account, and
	// from which it is part of the digest that VMs compare. maxReports bounds the traits in one
	// reply to a difference.
	minRecurring = 2
	maxReports   = 256
	// maxStored bounds the traits that are written to the store and maxStoredTerminations the
	// terminations of each. A row of the store holds 64 KiB, and a termination takes 80 bytes.
	maxStored             = 64
	maxStoredTerminations = 8
	// maxTerminations bounds the processes that are kept for one trait.
	maxTerminations = 32
	// dismissingVMs is how many VMs, on average, dismiss a suspect part at once when it completes
	// at many: a few, in case that announcements are lost.
	dismissingVMs = 4
)

// Options configures a Record. Announce sends a report that changed here to other VMs.
type Options struct {
	Now      func() time.Time
	Announce func(report Report)
	// TakePermit takes the permit that a request needs to run as a trial or a test of a trait,
	// from the bucket that all VMs share; nil for a fleet of one VM, which needs none.
	TakePermit func(request permit.Request) permit.Reply
	// ReturnPermit returns a permit to the issuer of its key; nil if TakePermit is.
	ReturnPermit func(key string)
	// HasTerminated reports whether the server process at which a run was interrupted has
	// terminated. CorrelatedLosses returns how many servers were lost together with one,
	// itself included, if they are most of its failure domain, and 0 otherwise.
	HasTerminated    func(server pool.Server, interruptedAt time.Time) bool
	CorrelatedLosses func(server pool.Server) int
	// VMs returns the number of VMs that are up, and Draw a random number in [0, 1).
	VMs  func() int
	Draw func() float64
	// OnTerminated is called for each termination that is counted against a trait, some time
	// after the interruption. OnDismissed is called when terminations are no longer counted
	// against a trait. OnSuspected is called when several traits explain the same terminations
	// equally well, and OnBlocked when one of them is the cause, with the number of processes
	// that terminated under it. OnTrial is called when a request is to run as a trial or a test.
	OnTerminated func(trait Trait, server pool.Server, after time.Duration)
	OnDismissed  func(trait Trait, reason string)
	OnSuspected  func(trait Trait, alternatives []Trait, terminations int)
	OnBlocked    func(trait Trait, terminations int)
	OnTrial      func(trait Trait, alternatives []Trait)
}

// Report lists the terminations under a trait, as VMs exchange it.
type Report struct {
	Trait        Trait         `cbor:"1,keyasint"`
	Terminations []Termination `cbor:"3,keyasint"`
}

// Termination is a server process that terminated under a trait. Age is the time since, in
// milliseconds. A dismissed termination no longer counts: a request with the trait has run to
// completion since, or the server was lost with most of its failure domain.
type Termination struct {
	Process   string `cbor:"1,keyasint"`
	Age       int64  `cbor:"2,keyasint,omitempty"`
	Dismissed bool   `cbor:"3,keyasint,omitempty"`
	Group     string `cbor:"4,keyasint,omitempty"` // Service and failure domain; see pool.Server.Group.
	// Tested means that a request ran there as a trial, and that this trait was one of its suspects.
	Tested bool `cbor:"5,keyasint,omitempty"`
}

// Decision is what may be done with a request.
type Decision int

// The decisions. A request that is held is to be checked again at Verdict.RecheckAt.
const (
	Run Decision = iota
	Refuse
	Hold
)

// Verdict is the decision on a request, and the trait that it is based on. Until is when its block
// ends or, for a held request, when the next trial is due.
type Verdict struct {
	Decision  Decision
	Trait     Trait
	Until     time.Time
	RecheckAt time.Time
	IsTrial   bool // The request runs as a trial; see Record.Inconclusive.
}

// Record is safe for concurrent use.
type Record struct {
	options Options

	mu           sync.Mutex
	traits       map[Trait]entry
	digest       uint64                 // Of the recurring entries.
	suspects     map[Trait]bool         // The traits under which as many processes as their limit terminated.
	tested       map[Trait]bool         // The contents of trials that failed.
	causes       map[Trait]cause        // Those of them that the terminations are attributed to.
	changed      bool                   // The suspects or their terminations have changed since.
	denials      map[string]denial      // Of permits, by their keys.
	trials       map[Trait]runningTrial // By the requests' contents.
	candidates   []candidate            // The suspects of the last requests, newest last.
	terminatedAt map[string]time.Time   // By process, when its termination interrupted the first run.
	expireAt     time.Time
	pending      []interruption // Those whose servers are not known to have terminated, oldest first.
	resolved     []interruption // Those whose servers have terminated, until correlationDelay.
	recent       recentTraits
	passed       recentTraits // Parts of prompts only.
	checked      recentTraits // Contents of requests that came while they had terminations or there were suspects.
	repeated     recentTraits // Those of them that came several times.
}

// New returns an empty Record.
func New(options Options) *Record {
	if options.CorrelatedLosses == nil {
		options.CorrelatedLosses = func(pool.Server) int { return 0 }
	}
	if options.ReturnPermit == nil {
		options.ReturnPermit = func(string) {}
	}
	if options.VMs == nil {
		options.VMs = func() int { return 1 }
	}
	if options.Draw == nil {
		options.Draw = rand.Float64
	}
	if options.OnTerminated == nil {
		options.OnTerminated = func(Trait, pool.Server, time.Duration) {}
	}
	if options.OnDismissed == nil {
		options.OnDismissed = func(Trait, string) {}
	}
	if options.OnSuspected == nil {
		options.OnSuspected = func(Trait, []Trait, int) {}
	}
	if options.OnBlocked == nil {
		options.OnBlocked = func(Trait, int) {}
	}
	if options.OnTrial == nil {
		options.OnTrial = func(Trait, []Trait) {}
	}
	return &Record{
		options:      options,
		traits:       map[Trait]entry{},
		suspects:     map[Trait]bool{},
		tested:       map[Trait]bool{},
		causes:       map[Trait]cause{},
		denials:      map[string]denial{},
		trials:       map[Trait]runningTrial{},
		terminatedAt: map[string]time.Time{},
		recent:       recentTraits{period: recentPeriod, limit: maxRecent},
		passed:       recentTraits{period: passedPeriod, limit: maxPassed},
		checked:      recentTraits{period: candidateWindow, limit: maxRecent},
		repeated:     recentTraits{period: candidateWindow, limit: maxRecent},
	}
}

// Terminated records that a server process terminated under the trait, and announces it.
func (r *Record) Terminated(trait Trait, server pool.Server, at time.Time) {
	r.terminated([]Trait{trait}, nil, server, at)
}

// terminated is Terminated for several traits, some of which may have been tested.
func (r *Record) terminated(traits, tested []Trait, server pool.Server, at time.Time) {
	reports := []Report{}
	r.mu.Lock()
	for _, trait := range traits {
		r.merge(trait, map[string]termination{server.Process(): {at: at, group: server.Group(), tested: slices.Contains(tested, trait)}})
		reports = append(reports, r.report(trait, r.traits[trait]))
	}
	findings := r.attributeIfChanged()
	r.mu.Unlock()
	for _, report := range reports {
		r.options.Announce(report)
	}
	r.notify(findings)
}

// Completed records that a request with these traits has run to completion at a server, and
// dismisses the traits' terminations: none of them crashes every server.
func (r *Record) Completed(traits ...Trait) {
	now := r.options.Now()
	known := []Trait{}
	r.mu.Lock()
	for _, trait := range traits {
		delete(r.trials, trait)
		r.recent.add(trait, now)
		if trait.IsPart() {
			r.passed.add(trait, now)
		}
		if r.traits[trait].active() > 0 {
			known = append(known, trait)
		}
	}
	r.mu.Unlock()
	r.dismiss(known)
}

// dismiss dismisses the terminations of traits that ran to completion here.
func (r *Record) dismiss(traits []Trait) {
	if len(traits) == 0 {
		return
	}
	reports := []Report{}
	r.mu.Lock()
	for _, trait := range traits {
		dismissed := map[string]termination{}
		for process, e := range r.traits[trait] {
			if !e.dismissed {
				e.dismissed = true
				dismissed[process] = e
			}
		}
		r.merge(trait, dismissed)
		reports = append(reports, r.report(trait, dismissed))
	}
	findings := r.attributeIfChanged()
	r.mu.Unlock()
	for _, report := range reports {
		r.options.Announce(report)
		r.options.OnDismissed(report.Trait, "it has run to its end")
	}
	r.notify(findings)
}

// soundSuspects returns parts that other VMs report several terminations of and that ran to
// completion here a moment before. In a large fleet, a random few VMs dismiss them at a time.
// Called with the lock held.
func (r *Record) soundSuspects(now time.Time) (sound []Trait) {
	for trait := range r.suspects {
		if trait.IsPart() && r.recent.has(trait, now) && r.options.Draw()*float64(r.options.VMs()) < dismissingVMs {
			sound = append(sound, trait)
		}
	}
	return sound
}

// Merge adds reports of another VM.
func (r *Record) Merge(reports []Report) {
	now := r.options.Now()
	r.mu.Lock()
	for _, report := range reports {
		reported := map[string]termination{}
		for _, e := range report.Terminations {
			age := min(max(e.Age, 0), retention.Milliseconds())
			reported[e.Process] = termination{at: now.Add(-time.Duration(age) * time.Millisecond), group: e.Group, dismissed: e.Dismissed, tested: e.Tested}
		}
		r.merge(report.Trait, reported)
	}
	var sound []Trait
	if r.changed {
		sound = r.soundSuspects(now)
	}
	findings := r.attributeIfChanged()
	r.mu.Unlock()
	r.notify(findings)
	r.dismiss(sound)
}

// attributeIfChanged determines the causes anew if the suspects have changed. Called with the lock
// held.
func (r *Record) attributeIfChanged() []finding {
	if !r.changed {
		return nil
	}
	return r.attribute()
}

// notify calls the hooks for what attribute has found.
func (r *Record) notify(findings []finding) {
	for _, f := range findings {
		if len(f.alternatives) > 1 {
			r.options.OnSuspected(f.trait, f.alternatives, f.terminations)
			continue
		}
		r.options.OnBlocked(f.trait, f.terminations)
	}
}

// merge adds terminations, by process. Called with the lock held.
func (r *Record) merge(trait Trait, reported map[string]termination) {
	now := r.options.Now()
	merged := entry{}
	maps.Copy(merged, r.traits[trait])
	for process, e := range reported {
		before, found := merged[process]
		if found {
			// The earlier time is the more accurate one: each VM that passes it on adds the transit time.
			e = termination{at: minTime(before.at, e.at), group: before.group, dismissed: before.dismissed || e.dismissed, tested: before.tested || e.tested}
		}
		merged[process] = e
		r.recordTermination(process, e.at)
	}
	merged.expire(now)
	if r.traits[trait] == nil && len(r.traits) >= maxKnown {
		r.evict()
	}
	r.set(trait, merged)
}

// recordTermination keeps the earliest time of a process's termination. Called with the lock
// held.
func (r *Record) recordTermination(process string, at time.Time) {
	if before, found := r.terminatedAt[process]; found && !at.Before(before) {
		return
	}
	if len(r.terminatedAt) >= maxKnown {
		r.terminatedAt = map[string]time.Time{} // Costs only that a few more terminations are counted.
	}
	r.terminatedAt[process] = at
}

// set replaces a trait's entry. Called with the lock held.
func (r *Record) set(trait Trait, known entry) {
	r.digest += known.digest(trait) - r.traits[trait].digest(trait)
	wasSuspect := r.suspects[trait]
	r.traits[trait] = known
	r.suspects[trait] = known.active() >= r.limit(trait)
	r.changed = r.changed || wasSuspect || r.suspects[trait]
	if !r.suspects[trait] {
		delete(r.suspects, trait)
	}
	delete(r.tested, trait)
	if !trait.IsPart() && len(known.testedAt()) > 0 {
		r.tested[trait] = true
	}
	if len(known) == 0 {
		delete(r.traits, trait)
	}
}

// evict drops the traits with the fewest active terminations, and among these the ones whose
// last termination is the oldest. Called with the lock held.
func (r *Record) evict() {
	type evictee struct {
		trait  Trait
		active int
		last   time.Time
	}
	evictees := make([]evictee, 0, len(r.traits))
	for trait, known := range r.traits {
		evictees = append(evictees, evictee{trait: trait, active: known.active(), last: known.last()})
	}
	slices.SortFunc(evictees, func(a, b evictee) int {
		return cmp.Or(cmp.Compare(a.active, b.active), a.last.Compare(b.last))
	})
	for _, p := range evictees[:int(evictedFraction*float64(len(evictees)))] {
		r.set(p.trait, nil)
	}
}

// report returns the report of some of a trait's terminations. Called with the lock held.
func (r *Record) report(trait Trait, terminations map[string]termination) Report {
	now := r.options.Now()
	report := Report{Trait: trait}
	for process, e := range terminations {
		report.Terminations = append(report.Terminations, Termination{Process: process, Age: max(now.Sub(e.at).Milliseconds(), 0), Dismissed: e.dismissed, Group: e.group, Tested: e.tested})
	}
	slices.SortFunc(report.Terminations, func(a, b Termination) int { return cmp.Compare(a.Process, b.Process) })
	return report
}

// Digest returns the same value for VMs whose entries of all traits with several terminations
// are equal. Traits with one termination are left out: a loss of servers leaves many of them,
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
	for trait, known := range r.traits {
		if known.isRecurring() {
			reports = append(reports, r.report(trait, known))
		}
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(len(b.Terminations), len(a.Terminations)), cmp.Compare(a.Trait, b.Trait))
	})
	return reports[:min(len(reports), maxReports)]
}

// Suspects returns the reports of the traits under which as many processes as their limit have
// terminated, also after their blocks, and a digest of them that changes when they do: maxStored at
// most, those with the most terminations first, and of each the newest maxStoredTerminations that
// count. Those that another trait explains are among them: that one may turn out to be sound.
func (r *Record) Suspects() (reports []Report, digest uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for trait := range r.suspects {
		reports = append(reports, r.report(trait, r.traits[trait].newest(maxStoredTerminations)))
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(len(b.Terminations), len(a.Terminations)), cmp.Compare(a.Trait, b.Trait))
	})
	reports = reports[:min(len(reports), maxStored)]
	for _, report := range reports {
		digest += r.traits[report.Trait].digest(report.Trait)
	}
	return reports, digest
}

// expire removes expired terminations, once in expiryInterval.
func (r *Record) expire(now time.Time) {
	r.mu.Lock()
	if now.Before(r.expireAt) {
		r.mu.Unlock()
		return
	}
	r.expireAt = now.Add(expiryInterval)
	maps.DeleteFunc(r.trials, func(_ Trait, t runningTrial) bool { return now.Sub(t.startedAt) >= retention })
	maps.DeleteFunc(r.terminatedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= retention })
	for trait, known := range r.traits {
		if known.hasExpired(now) {
			left := maps.Clone(known)
			left.expire(now)
			r.set(trait, left)
		}
	}
	findings := r.attributeIfChanged()
	r.mu.Unlock()
	r.notify(findings)
}
