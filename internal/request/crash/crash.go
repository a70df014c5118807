// Package crash holds under which requests backend servers ended, so that a request that
// crashes each server that runs it is not sent to ever more.
//
// Requests are alike if their content is: the caller's account, the path and the body. A
// content is refused once limit processes have ended under it since it last ran to its end.
// Of several that were there, the one that was there most often is held for it. Processes end
// for other reasons too. Not held against a content is the end of a server that
// said it would leave, of one that was lost with most of its failure domain, unless the content
// ran on most of those, and any if the content ran to its end at this VM a moment before.
//
// # Usage
//
//	record := crash.New(crash.Options{Now: time.Now, Tell: spread.AnnounceCrash, HasEnded: servers.HasEnded})
//	record.Cut(content, server, began, time.Now())        // A run of it was cut at a server.
//	record.Look()                                         // Call it often.
//	record.Survived(content)                              // It has run to its end.
//	until, refused := record.RefusedUntil(content)        // Before each send.
//	record.Heard(notes)                                   // What other VMs tell.
//	if peerSum != record.Sum() { tell(record.Serious()) } // A peer has missed some of it.
//
// What VMs tell each other may be late, come twice and in any order. A content's entry is
// therefore a set of processes that only grows, each of which may be cleared once and for all
// (an observed-remove set, Shapiro et al. 2011): who hears the same notes holds the same.
package crash

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
)

const (
	// limit is how many processes may end under a content. The contract allows three
	// sends beyond the third crash, for VMs that have not heard of it.
	limit = 3
	// firstRefusal is for how long a content is refused after its last crash. Then it may
	// run again, and one more crash refuses it for twice as long, up to keptFor.
	firstRefusal = time.Minute
	// togetherSpan is within which time servers are lost together, and togetherAfter is when
	// all of them were found lost: a check takes up to 200 ms.
	togetherSpan  = time.Second
	togetherAfter = 400 * time.Millisecond
	// recentFor and maxRecent bound the contents that are remembered as having run to their
	// end a moment before, twice over.
	recentFor = 5 * time.Second
	maxRecent = 2048
	// keptFor is how long the end of a process is remembered.
	keptFor = 10 * time.Minute
	// maxDoublings bounds how often the refusal gets longer: 16 minutes are over keptFor.
	maxDoublings = 4
	// maxContents bounds the contents that are remembered, and evictedPart of them makes
	// room for others at a time.
	maxContents = 10_000
	evictedPart = 0.1
	// knownAfter is how long after a run was cut it may be found that its server has ended: a
	// server that is silent is back within seconds, as another process.
	knownAfter = 6 * time.Second
	// maxCuts bounds the cuts that wait for that.
	maxCuts = 4096
	// forgetEvery is how often what is old is dropped.
	forgetEvery = 10 * time.Second
	// seriousFrom is from how many ends on VMs compare what they hold of a content, and
	// mostSerious bounds the contents that one tells another then.
	seriousFrom = 2
	mostSerious = 256
	// maxEnds bounds the processes that are remembered for one content.
	maxEnds = 32
)

// Options shapes a Record. Tell passes on what is new here.
type Options struct {
	Now      func() time.Time
	Announce func(note Report)
	// HasTerminated reports whether the process of a server is gone at which a run was cut, and
	// LostWith how many servers were lost with it that are most of its failure domain; 0 for
	// a loss that is not of that kind.
	HasTerminated    func(server pool.Server, cutAt time.Time) bool
	CorrelatedLosses func(server pool.Server) int
	// OnTerminated is told of each end that is held against a content, OnCleared of those that no
	// longer are, and OnRefused of a content that is refused from now on, and how many
	// processes have ended under it.
	OnTerminated func(content string, server pool.Server, after time.Duration)
	OnDismissed  func(content, reason string)
	OnBlocked    func(content string, ends int)
}

// Report is what VMs tell each other of a content.
type Report struct {
	Content      string        `cbor:"1,keyasint"`
	Terminations []Termination `cbor:"3,keyasint"`
}

// Termination is a server's process that ended under a content, so many milliseconds ago. A cleared
// one counts no more: the content has run to its end since, or the server was lost with most of
// its failure domain.
type Termination struct {
	Process   string `cbor:"1,keyasint"`
	Age       int64  `cbor:"2,keyasint,omitempty"`
	Dismissed bool   `cbor:"3,keyasint,omitempty"`
	Group     string `cbor:"4,keyasint,omitempty"` // Of servers that are likely to fail together.
}

// Record is safe for concurrent use.
type Record struct {
	options Options

	mu       sync.Mutex
	contents map[string]entry
	sum      uint64               // Of the serious entries.
	suspects map[string]bool      // The contents under which limit processes ended.
	endedAt  map[string]time.Time // When the first run was cut that ended with a process.
	forgetAt time.Time
	cuts     []cut // In the order of their time.
	ended    []cut // Those whose servers have ended, until togetherAfter.
	recent   generations
}

// New makes an empty Record.
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
	return &Record{options: options, contents: map[string]entry{}, suspects: map[string]bool{}, endedAt: map[string]time.Time{}}
}

// Terminated notes that a server's process ended under the content at a moment.
func (r *Record) Terminated(content string, server pool.Server, at time.Time) {
	r.mu.Lock()
	refused := r.merge(content, map[string]end{server.Process(): {at: at, group: server.Group()}})
	note := r.note(content)
	r.mu.Unlock()
	r.options.Announce(note)
	if refused > 0 {
		r.options.OnBlocked(content, refused)
	}
}

// Completed notes that the content has run to its end at a server: it doesn't crash each.
func (r *Record) Completed(content string) {
	r.mu.Lock()
	r.recent.add(content, r.options.Now())
	known := r.contents[content]
	if known.counted() == 0 {
		r.mu.Unlock()
		return
	}
	cleared := map[string]end{}
	for process, e := range known {
		e.cleared = true
		cleared[process] = e
	}
	r.merge(content, cleared)
	note := r.note(content)
	r.mu.Unlock()
	r.options.Announce(note)
	r.options.OnDismissed(content, "it has run to its end")
}

// Merge takes in what another VM told.
func (r *Record) Merge(notes []Report) {
	now := r.options.Now()
	for _, note := range notes {
		told := map[string]end{}
		for _, e := range note.Terminations {
			age := min(max(e.Age, 0), keptFor.Milliseconds())
			told[e.Process] = end{at: now.Add(-time.Duration(age) * time.Millisecond), group: e.Group, cleared: e.Dismissed}
		}
		r.mu.Lock()
		refused := r.merge(note.Content, told)
		r.mu.Unlock()
		if refused > 0 {
			r.options.OnBlocked(note.Content, refused)
		}
	}
}

// BlockedUntil reports whether the content may not be sent to a server, and until when.
func (r *Record) BlockedUntil(content string) (until time.Time, refused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.blockedUntil(content, r.options.Now())
}

// blockedUntil is RefusedUntil with the lock held.
func (r *Record) blockedUntil(content string, now time.Time) (until time.Time, refused bool) {
	if !r.suspects[content] || r.counted(content) < limit {
		return time.Time{}, false
	}
	return r.contents[content].blockedUntil(now)
}

// counted is how many processes ended under a content, without those that also ended under
// one that has been there more often: that explains them. Called with the lock held.
func (r *Record) counted(content string) (count int) {
	known := r.contents[content]
	all := known.counted()
	for process, e := range known {
		if !e.cleared && !r.isExplained(process, all) {
			count++
		}
	}
	return count
}

func (r *Record) isExplained(process string, all int) bool {
	for suspect := range r.suspects {
		other := r.contents[suspect]
		if e, found := other[process]; found && !e.cleared && other.counted() > all {
			return true
		}
	}
	return false
}

// merge takes in ends. It gives how many count if the content is refused by that and was not
// before. Called with the lock held.
func (r *Record) merge(content string, told map[string]end) (refused int) {
	now := r.options.Now()
	known := r.contents[content]
	_, was := r.blockedUntil(content, now)
	merged := entry{}
	maps.Copy(merged, known)
	for process, e := range told {
		before, found := merged[process]
		if found {
			// The earlier time is nearer to the truth: each VM that tells it adds the way.
			e = end{at: minTime(before.at, e.at), group: before.group, cleared: before.cleared || e.cleared}
		}
		merged[process] = e
		r.noteEnd(process, e.at)
	}
	merged.forget(now)
	if r.contents[content] == nil && len(r.contents) >= maxContents {
		r.evict()
	}
	r.set(content, merged)
	if _, is := r.blockedUntil(content, now); is && !was {
		return merged.counted()
	}
	return 0
}

// noteEnd keeps the first of the moments. Called with the lock held.
func (r *Record) noteEnd(process string, at time.Time) {
	if before, found := r.endedAt[process]; found && !at.Before(before) {
		return
	}
	if len(r.endedAt) >= maxContents {
		r.endedAt = map[string]time.Time{} // Only has a few more ends held against contents.
	}
	r.endedAt[process] = at
}

// set replaces a content's entry. Called with the lock held.
func (r *Record) set(content string, known entry) {
	r.sum += known.sum(content) - r.contents[content].sum(content)
	r.contents[content] = known
	r.suspects[content] = known.counted() >= limit
	if !r.suspects[content] {
		delete(r.suspects, content)
	}
	if len(known) == 0 {
		delete(r.contents, content)
	}
}

// evict makes room: contents under which the fewest processes ended go first, the oldest of
// them before others. Called with the lock held.
func (r *Record) evict() {
	type place struct {
		content string
		counted int
		last    time.Time
	}
	places := make([]place, 0, len(r.contents))
	for content, known := range r.contents {
		places = append(places, place{content: content, counted: known.counted(), last: known.last()})
	}
	slices.SortFunc(places, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.counted, b.counted), a.last.Compare(b.last))
	})
	for _, p := range places[:int(evictedPart*float64(len(places)))] {
		r.set(p.content, nil)
	}
}

// note is what is told of a content. Called with the lock held.
func (r *Record) note(content string) Report {
	now := r.options.Now()
	note := Report{Content: content}
	for process, e := range r.contents[content] {
		note.Terminations = append(note.Terminations, Termination{Process: process, Age: max(now.Sub(e.at).Milliseconds(), 0), Dismissed: e.cleared, Group: e.group})
	}
	slices.SortFunc(note.Terminations, func(a, b Termination) int { return cmp.Compare(a.Process, b.Process) })
	return note
}

// Digest is the same for VMs that hold the same of all contents under which several processes
// ended. Those under which one did are many in a loss of servers, and each VM that sees the
// next end tells what it knows of the one before.
func (r *Record) Digest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sum
}

// Recurring lists what Sum is of, for a VM that has another one; mostSerious at most.
func (r *Record) Recurring() []Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	notes := []Report{}
	for content, known := range r.contents {
		if known.isSerious() {
			notes = append(notes, r.note(content))
		}
	}
	slices.SortFunc(notes, func(a, b Report) int {
		return cmp.Or(cmp.Compare(len(b.Terminations), len(a.Terminations)), cmp.Compare(a.Content, b.Content))
	})
	return notes[:min(len(notes), mostSerious)]
}

// Blocked lists the contents that are refused, mostSerious at most, and gives a sum that is
// another one if they are others.
func (r *Record) Blocked() (notes []Report, sum uint64) {
	now := r.options.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for content := range r.suspects {
		if _, refused := r.blockedUntil(content, now); refused && len(notes) < mostSerious {
			notes = append(notes, r.note(content))
			sum += r.contents[content].sum(content)
		}
	}
	return notes, sum
}

// forget drops what is old. Called by Look every forgetEvery.
func (r *Record) forget(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.forgetAt) {
		return
	}
	r.forgetAt = now.Add(forgetEvery)
	maps.DeleteFunc(r.endedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= keptFor })
	for content, known := range r.contents {
		if known.hasOld(now) {
			left := maps.Clone(known)
			left.forget(now)
			r.set(content, left)
		}
	}
}
