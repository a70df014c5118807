package crash

import (
	"maps"
	"slices"
	"time"

	"github.com/endivespoke/endivespoke/internal/peer/permit"
)

// trial is a run of a request with a suspect, for which all VMs share one permit in an interval. A
// request with several suspects needs the permit of each: which of them are alternatives may differ
// from VM to VM.
type trial struct {
	suspect      Trait
	alternatives []Trait
	interval     time.Duration
}

// isTest reports whether the run is to tell whether the suspect is the cause, instead of whether it
// still is.
func (t *trial) isTest() bool {
	return t.interval == testInterval
}

// permitKey returns the key of the trial's permits. A key has one rate.
func (t *trial) permitKey() string {
	if t.isTest() {
		return "test/" + string(t.suspect)
	}
	return "content/" + string(t.suspect)
}

// runningTrial is a request that was sent as a trial.
type runningTrial struct {
	tested     []Trait // The suspects.
	permitKeys []string
	startedAt  time.Time
}

// denial is the denial of a permit.
type denial struct {
	recheckAt time.Time // When this VM may ask again.
	until     time.Time // When there is a permit, unless one is returned before.
}

// candidate is a request that may be a trial, with its traits that are not cleared.
type candidate struct {
	content  Trait
	traits   []Trait
	repeated bool // Another request with the same content has come shortly before.
	at       time.Time
}

// Check decides whether a request with these traits may be sent to a server.
//
//   - It is refused if a cause is blocked and the request has all of its alternatives.
//   - Otherwise, if it has a cause or another suspect, or a content that recurs and has crashed some
//     servers, it may be sent as a trial: once in testInterval to tell whether the suspect is one
//     only by chance, and once in trialInterval after a block.
//   - It is held if another request is a better trial, or had the permit.
func (r *Record) Check(traits ...Trait) Verdict {
	return r.decide(traits, true)
}

// Recheck is Check for a request that was checked before: it was held, or is sent once more.
func (r *Record) Recheck(traits ...Trait) Verdict {
	return r.decide(traits, false)
}

// decide returns the verdict on a request, which counts as one more with its content if it is new.
func (r *Record) decide(traits []Trait, isNew bool) Verdict {
	now := r.options.Now()
	r.mu.Lock()
	if len(r.suspects) == 0 && r.traits[traits[0]].active() == 0 {
		r.mu.Unlock()
		return Verdict{}
	}
	findings := []finding{}
	if isNew {
		findings = r.countRequest(traits[0], now)
	}
	defer r.notify(findings) // After the lock is released.
	verdict, trials := r.check(traits, now)
	if verdict.Decision == Run && len(trials) == 0 {
		r.mu.Unlock()
		return verdict
	}
	tested := append(r.uncleared(traits, minRecurring, now), traits[0])
	own := r.candidate(traits, isNew, now)
	if len(trials) == 0 {
		r.mu.Unlock()
		return verdict
	}
	held := Verdict{Decision: Hold, Trait: trials[0].suspect, Until: now.Add(trials[0].interval), RecheckAt: now.Add(holdInterval)}
	startAt := time.Time{}
	for _, t := range trials {
		at := r.startOf(t)
		if at.After(now) {
			held.Trait, held.Until = t.suspect, laterTime(at, r.denials[t.permitKey()].until)
		}
		startAt = laterTime(startAt, at)
	}
	hasBetter := r.hasBetterCandidate(own, startAt)
	if !slices.ContainsFunc(trials, func(t trial) bool { return r.suspects[t.suspect] }) {
		// A recurring content whose parts are no suspects: other requests tell nothing of it.
		tested, hasBetter = traits[:1], false
	}
	mayStart := !hasBetter && !startAt.After(now)
	r.mu.Unlock()
	if !mayStart {
		return held
	}
	running := runningTrial{tested: tested, startedAt: now}
	for _, t := range trials {
		if wait := r.takePermit(t); wait > 0 {
			running.returnPermits(r.options.ReturnPermit)
			held.Trait, held.Until = t.suspect, now.Add(wait)
			r.mu.Lock()
			maps.DeleteFunc(r.denials, func(_ string, d denial) bool { return !d.until.After(now) })
			r.denials[t.permitKey()] = denial{recheckAt: now.Add(min(wait, permitRecheckInterval)), until: held.Until}
			r.mu.Unlock()
			return held
		}
		running.permitKeys = append(running.permitKeys, t.permitKey())
	}
	for _, t := range trials {
		r.options.OnTrial(t.suspect, t.alternatives)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trials[traits[0]] = running
	verdict.IsTrial = true
	return verdict
}

// Inconclusive records that a request which was to run as a trial showed nothing: it was not sent, or
// its server answered without running it to completion and did not terminate. Its permits are
// returned, so that another request may be the trial at once.
func (r *Record) Inconclusive(traits ...Trait) {
	r.mu.Lock()
	running := r.trials[traits[0]]
	delete(r.trials, traits[0])
	r.mu.Unlock()
	running.returnPermits(r.options.ReturnPermit)
}

func (t *runningTrial) returnPermits(toIssuer func(key string)) {
	for _, key := range t.permitKeys {
		toIssuer(key)
	}
}

// startOf returns when a trial may start: after the block and the last terminations of its suspect, and
// when a permit that was denied may be asked for again. Called with the lock held.
func (r *Record) startOf(t trial) (at time.Time) {
	at = r.denials[t.permitKey()].recheckAt
	if r.suspects[t.suspect] {
		at = laterTime(at, r.traits[t.suspect].last().Add(settleTime))
	}
	if !t.isTest() {
		at = laterTime(at, r.causes[t.suspect].until)
	}
	return at
}

// IsBlocked reports whether requests with these traits are refused, and by which trait.
func (r *Record) IsBlocked(traits ...Trait) (by Trait, blocked bool) {
	now := r.options.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.causes) == 0 {
		return "", false
	}
	verdict, _ := r.check(traits, now)
	return verdict.Trait, verdict.Decision == Refuse
}

// check returns the verdict on a request, and the trials that it is if it is not refused. Called
// with the lock held.
func (r *Record) check(traits []Trait, now time.Time) (verdict Verdict, trials []trial) {
	for _, trait := range slices.Backward(traits) {
		if !r.suspects[trait] {
			if !trait.IsPart() && r.traits[trait].active() >= minRecurring && r.repeated.has(trait, now) {
				trials = append(trials, trial{suspect: trait, alternatives: []Trait{trait}, interval: testInterval})
			}
			continue
		}
		c, isCause := r.causes[trait]
		switch {
		case !isCause:
			trials = append(trials, trial{suspect: trait, alternatives: []Trait{trait}, interval: testInterval})
		case !containsAll(traits, c.alternatives):
			trials = append(trials, trial{suspect: trait, alternatives: c.alternatives, interval: testInterval})
		case !now.Before(c.until):
			trials = append(trials, trial{suspect: trait, alternatives: c.alternatives, interval: trialInterval})
		case c.until.After(verdict.Until):
			verdict = Verdict{Decision: Refuse, Trait: trait, Until: c.until}
		}
	}
	if verdict.Decision == Refuse {
		return verdict, nil
	}
	// The likeliest cause first: if its permit is denied, those of suspects that sound requests
	// share are left to these.
	slices.SortStableFunc(trials, func(a, b trial) int { return r.traits[b.suspect].active() - r.traits[a.suspect].active() })
	return verdict, trials
}

// uncleared returns the traits under which at least as many servers as a minimum terminated, without
// parts that have completed at this VM. Called with the lock held.
func (r *Record) uncleared(traits []Trait, minTerminations int, now time.Time) (uncleared []Trait) {
	for _, trait := range traits {
		if r.traits[trait].active() >= minTerminations && !r.recent.has(trait, now) && !r.passed.has(trait, now) {
			uncleared = append(uncleared, trait)
		}
	}
	return uncleared
}

// countRequest counts a request with a content. That it comes again may change what a failed trial
// shows. Called with the lock held.
func (r *Record) countRequest(content Trait, now time.Time) []finding {
	if r.checked.has(content, now) {
		r.changed = r.changed || (r.tested[content] && !r.repeated.has(content, now))
		r.repeated.add(content, now)
	}
	r.checked.add(content, now)
	return r.attributeIfChanged()
}

// candidate returns a request as a candidate for trials, and adds it to the last ones if it is
// new. Called with the lock held.
func (r *Record) candidate(traits []Trait, isNew bool, now time.Time) candidate {
	// One termination makes a difference here: a content that crashed a server would fail the
	// trial of a sound part.
	c := candidate{content: traits[0], traits: r.uncleared(traits, 1, now), repeated: r.repeated.has(traits[0], now), at: now}
	if !isNew {
		return c
	}
	r.candidates = slices.DeleteFunc(r.candidates, func(earlier candidate) bool { return earlier.content == c.content })
	if len(r.candidates) >= maxCandidates {
		r.candidates = r.candidates[1:]
	}
	r.candidates = append(r.candidates, c)
	return c
}

// hasBetterCandidate reports whether one of the last requests is the likelier sound, so that its end
// tells more: it has some of the uncleared traits of this one and no others, and fewer of them or a
// content that has not come before. The content of a request that crashes servers comes again.
// From newContentWait after startAt, when the trial may start, a content is preferred as new for
// newContentWait only: its caller may not send it again. Called with the lock held.
func (r *Record) hasBetterCandidate(own candidate, startAt time.Time) (found bool) {
	r.candidates = slices.DeleteFunc(r.candidates, func(c candidate) bool { return own.at.Sub(c.at) > candidateWindow })
	for i := range r.candidates {
		other := &r.candidates[i]
		// What was learned since may have cleared some of them.
		other.traits = r.uncleared(other.traits, 1, own.at)
		isTest := len(r.uncleared(other.traits, minRecurring, own.at)) > 0
		mayBeGone := own.at.Sub(startAt) >= newContentWait && own.at.Sub(other.at) >= newContentWait
		isNewer := own.repeated && !other.repeated && !mayBeGone
		isLikelier := len(other.traits) < len(own.traits) || (len(other.traits) == len(own.traits) && isNewer)
		found = found || (isTest && isLikelier && containsAll(own.traits, other.traits))
	}
	return found
}

// takePermit takes the permit of a trial, and returns when to ask again if it gets none. The first
// trial of a suspect begins at once, but for that of a content that was blocked.
func (r *Record) takePermit(t trial) (wait time.Duration) {
	if r.options.TakePermit == nil {
		return 0
	}
	reply := r.options.TakePermit(permit.Request{Key: t.permitKey(), Rate: 1 / t.interval.Seconds(), Fresh: t.isTest() || t.suspect.IsPart()})
	if reply.Granted {
		return 0
	}
	return max(reply.Wait, 1)
}
