package admission

import (
	"slices"
	"sync"
	"time"
)

const (
	// roundInterval is the time between two divisions of the free headroom among the VMs of a cell.
	// Within it they receive what the others have taken.
	roundInterval = 25 * time.Millisecond
	// recheckInterval is how often a waiting stream is checked for whether it is still in time.
	recheckInterval = 100 * time.Millisecond
	// arrivalFraction of the time that a caller waits is what its stream is expected to wait at most
	// when it arrives. The rest is for more urgent ones that arrive later.
	arrivalFraction = 0.5
	// rankFraction of the rounds serve a random rank of those that wait first, so that a more
	// urgent rank that takes all headroom does not starve the others.
	rankFraction = 0.05
	// newestWeight is the weight of the newest stream in what each rank lately got.
	newestWeight = 0.05
	// minRetryDelay and maxRetryDelay bound the time after which a refused caller is asked to
	// return.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

// Stream is a new stream that needs headroom on a server. It is refused if it has no server until
// StartBy. Since is when its caller began to wait, which may be before this attempt.
type Stream struct {
	Account      string
	Rank         int
	PromptTokens int
	OutputTokens int
	FirstEventBy time.Time
	StartBy      time.Time
	Since        time.Time
}

// Tokens returns the memory that the stream occupies at its end.
func (s *Stream) Tokens() int {
	return max(s.PromptTokens+s.OutputTokens, 1)
}

// Headroom is the headroom on the servers of a VM's cell: the number of streams like the given one that
// fit, and the rate in tokens at which memory is freed, 0 if that is not known.
type Headroom struct {
	Streams        int
	FreedPerSecond float64
	LostLately     bool // A server was lost lately, so that more may be.
	FreeTokens     int  // The most free memory of a server.
	Unbounded      bool // Streams needn't wait for headroom: no server is up, or none could ever fit one.
}

// Waiter is a stream that waits for headroom. Wake receives a value when it may be its turn.
type Waiter struct {
	Stream
	Wake      chan struct{}
	recheckAt time.Time
	sequence  int
	// reserved means that memory of a server is reserved for it, which it tries at each check.
	reserved bool
}

// Queue decides which of the streams of one service on one VM gets headroom, and when. The VMs of a
// cell report to each other what waits there, and each takes a share of the headroom that becomes
// free. Queue is safe for concurrent use. Headroom and Held describe the cell and this VM; both may
// be called with Queue's lock held.
type Queue struct {
	Now      func() time.Time
	Draw     func() float64 // Random numbers in [0, 1).
	Headroom func(Stream) Headroom
	Held     func() map[string]int // Tokens of the running streams of this VM, by account.

	mu            sync.Mutex
	waiting       []*Waiter
	peers         map[string]peerReport
	lastSequence  int
	held          map[string]int // Tokens of the running streams of the cell, by account.
	freed         float64        // Headroom.FreedPerSecond of the last round.
	freeTokens    int            // Headroom.FreeTokens of the last round.
	roundUntil    time.Time
	lacksHeadroom bool // No server has headroom for the first stream in this round.
	allotment     int  // Streams that this VM may still send in this round.
	isReordered   bool // In this round the rank preferred goes first.
	preferred     int
	retryAt       map[int]time.Time // When the caller that was refused last is to return, by rank.
	served        map[int]float64   // Tokens of the latest streams that got a server, by rank.
}

// NewQueue returns an empty queue.
func NewQueue(now func() time.Time, draw func() float64, headroom func(Stream) Headroom, held func() map[string]int) *Queue {
	return &Queue{Now: now, Draw: draw, Headroom: headroom, Held: held, peers: map[string]peerReport{}, held: map[string]int{}, retryAt: map[int]time.Time{}, served: map[int]float64{}}
}

// IsIdle reports whether nothing waits in the cell that goes before a new stream of a rank.
func (q *Queue) IsIdle(rank int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, w := range q.waiting {
		if w.Rank <= rank {
			return false
		}
	}
	for _, entry := range q.peerWaiting(q.Now()) {
		if entry.Rank <= rank {
			return false
		}
	}
	return true
}

// GetsCopy reports whether a stream that begins now gets a copy of its memory, which takes as much
// headroom as a stream. While others wait, the least urgent ones get none. Where servers are being lost
// they do, unless streams of their rank are refused meanwhile: a copy protects one stream only.
func (q *Queue) GetsCopy(stream Stream) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Now()
	waits, least := false, 0
	for _, entry := range append(q.ownWaiting(), q.peerWaiting(now)...) {
		least = max(least, entry.Rank)
		waits = true
	}
	if !waits || stream.Rank < least {
		return true
	}
	if !q.Headroom(stream).LostLately {
		return false
	}
	stream.StartBy = now.Add(stream.StartBy.Sub(stream.Since))
	stream.Since = now
	w := &Waiter{Stream: stream, sequence: q.lastSequence + 1}
	return !q.isTooLate(w, q.expectedWait(w, 0, now), now)
}

// isTooLate reports whether a stream that arrives now would wait longer than is of use.
func (q *Queue) isTooLate(w *Waiter, wait time.Duration, now time.Time) bool {
	limit := time.Duration(arrivalFraction * float64(w.StartBy.Sub(w.Since)))
	return wait > min(limit, w.StartBy.Sub(now))
}

// Join queues a stream, or refuses it if it is expected to wait too long.
func (q *Queue) Join(stream Stream) (*Waiter, *Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Now()
	headroom := q.Headroom(stream)
	q.freed, q.freeTokens = headroom.FreedPerSecond, headroom.FreeTokens
	q.updateHeld(now)
	q.lastSequence++
	w := &Waiter{Stream: stream, Wake: make(chan struct{}, 1), recheckAt: now.Add(recheckInterval), sequence: q.lastSequence}
	wait := q.expectedWait(w, headroom.Streams, now)
	if !headroom.Unbounded && q.isTooLate(w, wait, now) {
		return nil, q.refuse(w, WouldMissDeadline, wait, now)
	}
	q.waiting = append(q.waiting, w)
	return w, nil
}

// MayTake reports whether it is the stream's turn to look for a server with headroom.
func (q *Queue) MayTake(w *Waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now := q.Now(); !now.Before(q.roundUntil) {
		q.startRound(now)
	}
	if q.first() != w {
		q.wakeFirst()
		return w.reserved
	}
	return q.allotment > 0 || w.reserved
}

// LacksHeadroom reports whether it is the stream's turn, but no server of the cell has headroom for it. It
// may then reserve memory.
func (q *Queue) LacksHeadroom(w *Waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !w.reserved && q.first() == w && q.lacksHeadroom
}

// Reserved records whether memory is reserved for a stream.
func (q *Queue) Reserved(w *Waiter, reserved bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w.reserved = reserved
}

// HasReserved reports whether memory is reserved for a stream, as far as is recorded.
func (q *Queue) HasReserved(w *Waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return w.reserved
}

// Took records that a stream found a server.
func (q *Queue) Took(stream Stream) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.allotment = max(q.allotment-1, 0)
	q.held[stream.Account] += stream.Tokens()
	for rank := range q.served {
		q.served[rank] *= 1 - newestWeight
	}
	q.served[stream.Rank] += float64(stream.Tokens())
}

// Missed records that a waiting stream found no server when it looked for one.
func (q *Queue) Missed(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.first() == w {
		q.allotment = 0
	}
}

// Recheck returns the refusal of a waiting stream that can't get headroom in time any more, and nil
// if it goes on waiting.
func (q *Queue) Recheck(w *Waiter) *Refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Now()
	if now.Before(w.recheckAt) && now.Before(w.StartBy) {
		return nil
	}
	w.recheckAt = now.Add(recheckInterval)
	wait := q.expectedWait(w, 0, now)
	switch {
	case !now.Before(w.StartBy):
		return q.refuse(w, WaitedTooLong, wait, now)
	case now.Add(wait).After(w.StartBy):
		return q.refuse(w, Overtaken, wait, now)
	default:
		return nil
	}
}

// Leave removes a stream from the queue, whether it has a server or not.
func (q *Queue) Leave(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if at := slices.Index(q.waiting, w); at >= 0 {
		q.waiting = slices.Delete(q.waiting, at, at+1)
	}
	q.wakeFirst()
}

// Wake lets the first stream look for headroom, for instance since some was freed.
func (q *Queue) Wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wakeFirst()
}

// NextCheck returns when a waiting stream is to be looked at again, unless it is woken before.
func (q *Queue) NextCheck(w *Waiter) time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	next := w.recheckAt
	if w.StartBy.Before(next) {
		next = w.StartBy
	}
	if q.first() == w && q.roundUntil.Before(next) {
		next = q.roundUntil
	}
	return next
}

// Len returns the number of waiting streams.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

func (q *Queue) wakeFirst() {
	if len(q.waiting) == 0 {
		return
	}
	select {
	case q.first().Wake <- struct{}{}:
	default: // It is woken already.
	}
}

// first returns the waiter whose turn it is on this VM; nil if none waits.
func (q *Queue) first() *Waiter {
	var first *Waiter
	for _, w := range q.waiting {
		if first == nil || q.goesBefore(w, first) {
			first = w
		}
	}
	return first
}

func (q *Queue) goesBefore(a, b *Waiter) bool {
	if q.isReordered && a.Rank != b.Rank && (a.Rank == q.preferred || b.Rank == q.preferred) {
		return a.Rank == q.preferred
	}
	return q.placeOf(a).isBefore(q.placeOf(b))
}

func (q *Queue) placeOf(w *Waiter) place {
	return place{rank: w.Rank, usage: float64(q.held[w.Account]), since: w.Since, sequence: w.sequence}
}

// startRound decides which stream of this VM is the first, and how many it may send until the next
// round. It leaves as much headroom as those need that go before the first one at other VMs, and
// shares the rest with their equals there, unless there is enough for all. What is left over by all of
// them is divided in the next round.
func (q *Queue) startRound(now time.Time) {
	q.roundUntil = now.Add(roundInterval)
	q.allotment = 0
	q.updateHeld(now)
	if len(q.waiting) == 0 {
		return
	}
	q.isReordered = q.Draw() < rankFraction
	q.preferred = q.waiting[int(q.Draw()*float64(len(q.waiting)))].Rank
	first := q.first()
	headroom := q.Headroom(first.Stream)
	q.freed, q.freeTokens = headroom.FreedPerSecond, headroom.FreeTokens
	q.lacksHeadroom = headroom.Streams == 0 && !headroom.Unbounded
	if headroom.Unbounded {
		q.allotment = len(q.waiting)
		return
	}
	elsewhere := q.aheadOf(first, q.peerWaiting(now), 0)
	before := elsewhere.urgent + elsewhere.inRank
	if q.isReordered {
		before = elsewhere.inRank
	}
	left := float64(headroom.Streams) - float64(before)/float64(first.Tokens())
	if left <= 0 {
		return
	}
	if !q.isReordered && left*float64(first.Tokens()) >= float64(elsewhere.equal+q.tokensOf(first.Rank)) {
		q.allotment = int(left)
		return
	}
	own, others := q.claims(first.Rank, now)
	if sum := elsewhere.inRank + elsewhere.equal; sum > 0 {
		others *= float64(elsewhere.equal) / float64(sum)
	}
	share := left * own / (own + others)
	q.allotment = int(share)
	if q.Draw() < share-float64(q.allotment) {
		q.allotment++
	}
}

// tokensOf returns what the streams of a rank need that wait on this VM.
func (q *Queue) tokensOf(rank int) (tokens int) {
	for _, w := range q.waiting {
		if w.Rank == rank {
			tokens += w.Tokens()
		}
	}
	return tokens
}

// ahead is what goes before a stream, in tokens: streams of more urgent ranks and of its own rank.
// Equal are those of its own rank that don't.
type ahead struct {
	urgent int
	inRank int
	equal  int
}

// aheadOf sorts what waits by whether it goes before a stream whose account holds lead tokens more
// than now. Of another account those go before it that raise what that account holds up to what
// its own holds.
func (q *Queue) aheadOf(w *Waiter, waiting []WaitingTokens, lead int) (sum ahead) {
	for _, entry := range waiting {
		switch {
		case entry.Rank < w.Rank:
			sum.urgent += entry.Tokens
		case entry.Rank > w.Rank:
		case entry.Account == w.Account:
			sum.equal += entry.Tokens
		default:
			before := min(max(q.held[w.Account]+lead-q.held[entry.Account], 0), entry.Tokens)
			sum.inRank += before
			sum.equal += entry.Tokens - before
		}
	}
	return sum
}

// expectedWait estimates how long a stream waits if there is headroom for some streams already.
func (q *Queue) expectedWait(w *Waiter, free int, now time.Time) time.Duration {
	if q.freed <= 0 {
		return 0
	}
	sameAccount := 0
	for _, other := range q.waiting {
		if other != w && other.Rank == w.Rank && other.Account == w.Account && q.placeOf(other).isBefore(q.placeOf(w)) {
			sameAccount += other.Tokens()
		}
	}
	fromPeers := q.peerWaiting(now)
	for _, entry := range fromPeers {
		if entry.Rank == w.Rank && entry.Account == w.Account {
			sameAccount += int(w.earlierFraction(now) * float64(entry.Tokens))
		}
	}
	sum := q.aheadOf(w, append(q.ownWaiting(), fromPeers...), sameAccount+w.Tokens())
	inRank := sum.inRank + sameAccount + w.Tokens()
	left := sum.urgent + inRank - free*w.Tokens()
	if free == 0 && q.freeTokens < w.Tokens() {
		left -= q.freeTokens // It lacks the rest only.
	}
	if left <= 0 {
		return 0
	}
	inTurn := expectedWait(float64(left), q.freed*q.leftFor(w.Rank), time.Second)
	reordered := expectedWait(float64(inRank), rankFraction*q.freed, time.Second)
	return min(inTurn, reordered)
}

// leftFor returns the fraction of the freed headroom that streams more urgent than a rank leave to it,
// as far as they lately did.
func (q *Queue) leftFor(rank int) float64 {
	total, urgent := 0.0, 0.0
	for r, tokens := range q.served {
		total += tokens
		if r < rank {
			urgent += tokens
		}
	}
	if total == 0 {
		return 1
	}
	return max(1-urgent/total, rankFraction)
}

// earlierFraction estimates the fraction of what waits elsewhere that arrived before the stream:
// arrivals are taken to be even over the time that a stream may wait.
func (w *Waiter) earlierFraction(now time.Time) float64 {
	whole, left := w.StartBy.Sub(w.Since), w.StartBy.Sub(now)
	if whole <= 0 || left <= 0 {
		return 0
	}
	return float64(left) / float64(whole)
}

// refuse returns the refusal of a stream that would have to wait for a time. Callers are asked to
// return when headroom is expected for them, spread over the headroom that becomes free: after those of their own
// rank and more urgent ones that were refused before.
func (q *Queue) refuse(w *Waiter, reason Reason, wait time.Duration, now time.Time) *Refusal {
	at := now.Add(max(wait-w.StartBy.Sub(now), minRetryDelay))
	if q.freed > 0 {
		gap := expectedWait(float64(w.Tokens()*(1+len(q.peers))), q.freed, time.Second)
		for rank, last := range q.retryAt {
			if next := last.Add(gap); rank <= w.Rank && next.After(at) {
				at = next
			}
		}
	}
	if latest := now.Add(maxRetryDelay); at.After(latest) {
		at = latest
	}
	q.retryAt[w.Rank] = at
	return &Refusal{Reason: reason, RetryAt: at.Add(time.Duration(q.Draw() * float64(minRetryDelay)))}
}
