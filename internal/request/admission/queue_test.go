package admission_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/request/admission"
)

// cellOfTest is the view of one queue: a clock, a cell with some headroom, and a draw that gives each
// VM no more than its whole shares and never reorders ranks.
type cellOfTest struct {
	clock
	headroom admission.Headroom
	held     map[string]int
}

func newQueue() (*admission.Queue, *cellOfTest) {
	c := &cellOfTest{clock: clock{at: time.Unix(1000, 0)}, held: map[string]int{}}
	q := admission.NewQueue(c.now, func() float64 { return 0.999 }, func(admission.Stream) admission.Headroom { return c.headroom }, func() map[string]int { return c.held })
	return q, c
}

// newStream returns a stream of 1,000 tokens that may wait for 4 s.
func (c *cellOfTest) newStream(account string, rank int) admission.Stream {
	return admission.Stream{Account: account, Rank: rank, PromptTokens: 900, OutputTokens: 100, FirstEventBy: c.at.Add(8 * time.Second), StartBy: c.at.Add(4 * time.Second), Since: c.at}
}

func join(t *testing.T, q *admission.Queue, stream admission.Stream) *admission.Waiter {
	t.Helper()
	w, refusal := q.Join(stream)
	qt.Assert(t, refusal, qt.IsNil)
	return w
}

// nextRound gives the VM new free headroom.
func (c *cellOfTest) nextRound(streams int) {
	c.at = c.at.Add(30 * time.Millisecond)
	c.headroom.Streams = streams
}

// TestOrderOfWaiters: rank goes first, then the account that holds less, then the older stream.
func TestOrderOfWaiters(t *testing.T) {
	q, c := newQueue()
	c.held["large"] = 50_000
	late := join(t, q, c.newStream("large", 2))
	c.at = c.at.Add(time.Millisecond)
	older := join(t, q, c.newStream("small", 2))
	c.at = c.at.Add(time.Millisecond)
	newer := join(t, q, c.newStream("small", 2))
	urgent := join(t, q, c.newStream("large", 1))
	for _, w := range []*admission.Waiter{urgent, older, newer, late} {
		c.nextRound(1)
		for _, other := range []*admission.Waiter{late, newer, older, urgent} {
			qt.Check(t, q.MayTake(other), qt.Equals, other == w)
		}
		q.Took(w.Stream)
		q.Leave(w)
	}
}

// TestHeadroomIsHeldBackForMoreUrgentWaitersElsewhere: they have more headroom than is free, then less.
func TestHeadroomIsHeldBackForMoreUrgentWaitersElsewhere(t *testing.T) {
	q, c := newQueue()
	w := join(t, q, c.newStream("a", 2))
	q.MergeReport("peer", admission.Report{Waiting: []admission.WaitingTokens{{Rank: 1, Account: "b", Tokens: 2000}}})
	c.nextRound(2)
	qt.Check(t, q.MayTake(w), qt.IsFalse)
	c.nextRound(3)
	qt.Check(t, q.MayTake(w), qt.IsTrue)
	c.nextRound(2)
	q.ForgetPeer("peer")
	qt.Check(t, q.MayTake(w), qt.IsTrue)
}

// TestReportsOfSilentVMsExpire: a VM that was frozen holds back headroom for some seconds only.
func TestReportsOfSilentVMsExpire(t *testing.T) {
	q, c := newQueue()
	q.MergeReport("peer", admission.Report{Waiting: []admission.WaitingTokens{{Rank: 1, Tokens: 1_000_000}}})
	qt.Check(t, q.IsIdle(2), qt.IsFalse)
	qt.Check(t, q.IsIdle(0), qt.IsTrue)
	c.at = c.at.Add(4 * time.Second)
	qt.Check(t, q.IsIdle(2), qt.IsTrue)
}

// TestEqualsShareTheHeadroom: of two VMs with the same waiters each takes half, and the one whose
// waiters are older takes nearly all.
func TestEqualsShareTheHeadroom(t *testing.T) {
	for _, test := range []struct {
		ageElsewhere time.Duration
		taken        int
	}{{0, 2}, {10 * time.Second, 0}} {
		q, c := newQueue()
		waiters := []*admission.Waiter{}
		for range 4 {
			waiters = append(waiters, join(t, q, c.newStream("a", 2)))
		}
		q.MergeReport("peer", admission.Report{Waiting: []admission.WaitingTokens{{Rank: 2, Account: "a", Tokens: 4000, MeanAgeMillis: test.ageElsewhere.Milliseconds()}}})
		c.nextRound(4)
		taken := 0
		for _, w := range waiters {
			if q.MayTake(w) {
				q.Took(w.Stream)
				q.Leave(w)
				taken++
			}
		}
		qt.Check(t, taken, qt.Equals, test.taken)
	}
}

// TestHopelessStreamsAreRefused: a second of the headroom that becomes free is needed by each stream,
// and callers wait for 4 s at most. The third on arrival would wait too long already, and those that
// wait do once more urgent ones have come.
func TestHopelessStreamsAreRefused(t *testing.T) {
	q, c := newQueue()
	c.headroom.FreedPerSecond = 1000
	first := join(t, q, c.newStream("a", 2))
	second := join(t, q, c.newStream("a", 2))
	_, refusal := q.Join(c.newStream("a", 2))
	qt.Assert(t, refusal, qt.IsNotNil)
	qt.Check(t, refusal.Reason, qt.Equals, admission.WouldMissDeadline)
	_, next := q.Join(c.newStream("a", 2))
	qt.Check(t, next.RetryAt.Sub(refusal.RetryAt) >= time.Second, qt.IsTrue, qt.Commentf("callers return as headroom becomes free"))
	c.nextRound(0)
	c.at = c.at.Add(time.Second)
	qt.Check(t, q.Recheck(first), qt.IsNil)
	qt.Check(t, q.Recheck(second), qt.IsNil)
	q.MergeReport("peer", admission.Report{Waiting: []admission.WaitingTokens{{Rank: 1, Tokens: 10_000}}})
	c.at = c.at.Add(time.Second)
	for _, w := range []*admission.Waiter{first, second} {
		refusal = q.Recheck(w)
		qt.Assert(t, refusal, qt.IsNotNil)
		qt.Check(t, refusal.Reason, qt.Equals, admission.Overtaken)
	}
}

// TestWithoutRatesNothingIsRefusedOnArrival: a VM that has just started knows no rates. Its
// streams wait until they have to have a server.
func TestWithoutRatesNothingIsRefusedOnArrival(t *testing.T) {
	q, c := newQueue()
	w := join(t, q, c.newStream("a", 2))
	for range 20 {
		join(t, q, c.newStream("a", 2))
	}
	c.at = c.at.Add(3900 * time.Millisecond)
	qt.Check(t, q.Recheck(w), qt.IsNil)
	c.at = c.at.Add(100 * time.Millisecond)
	qt.Assert(t, q.Recheck(w), qt.IsNotNil)
}

// TestLeastUrgentStreamsGetNoCopyWhileOthersWait: also if those wait at another VM.
func TestLeastUrgentStreamsGetNoCopyWhileOthersWait(t *testing.T) {
	q, c := newQueue()
	qt.Check(t, q.GetsCopy(c.newStream("a", 2)), qt.IsTrue)
	q.MergeReport("peer", admission.Report{Waiting: []admission.WaitingTokens{{Rank: 2, Tokens: 1000}}})
	qt.Check(t, q.GetsCopy(c.newStream("a", 1)), qt.IsTrue)
	qt.Check(t, q.GetsCopy(c.newStream("a", 2)), qt.IsFalse)
}

// TestStreamsGetCopiesWhereServersAreLost: a wait that a stream can bear costs no copy then, but
// copies cause no refusals.
func TestStreamsGetCopiesWhereServersAreLost(t *testing.T) {
	q, c := newQueue()
	c.headroom = admission.Headroom{FreedPerSecond: 1000, LostLately: true}
	q.Leave(join(t, q, c.newStream("a", 2)))
	q.MergeReport("peer", admission.Report{Waiting: []admission.WaitingTokens{{Rank: 2, Account: "a", Tokens: 500}}})
	qt.Check(t, q.GetsCopy(c.newStream("a", 2)), qt.IsTrue)
	q.MergeReport("peer", admission.Report{Waiting: []admission.WaitingTokens{{Rank: 2, Account: "a", Tokens: 5000}}})
	qt.Check(t, q.GetsCopy(c.newStream("a", 1)), qt.IsTrue)
	qt.Check(t, q.GetsCopy(c.newStream("a", 2)), qt.IsFalse)
	_, refusal := q.Join(c.newStream("a", 2))
	qt.Check(t, refusal, qt.IsNotNil)
}

// TestReportsOnlyWhileSomethingWaits: also a VM without waiters reports what its accounts hold then.
func TestReportsOnlyWhileSomethingWaits(t *testing.T) {
	q, c := newQueue()
	c.held["a"] = 7000
	_, found := q.Report("llm")
	qt.Check(t, found, qt.IsFalse)
	isFirst := q.MergeReport("peer", admission.Report{Waiting: []admission.WaitingTokens{{Rank: 2, Tokens: 1000}}})
	qt.Check(t, isFirst, qt.IsTrue)
	report, found := q.Report("llm")
	qt.Check(t, found, qt.IsTrue)
	qt.Check(t, report, qt.DeepEquals, admission.Report{Service: "llm", Waiting: []admission.WaitingTokens{}, Held: []admission.AccountTokens{{Account: "a", Tokens: 7000}}})
}

// TestWaitersTakeWhereHeadroomIsNoCriterion: the servers of the cell went down while streams waited, or
// the first of them is larger than any server. They look for a server in the next round.
func TestWaitersTakeWhereHeadroomIsNoCriterion(t *testing.T) {
	q, c := newQueue()
	first, second := join(t, q, c.newStream("a", 2)), join(t, q, c.newStream("a", 2))
	q.MergeReport("peer", admission.Report{Waiting: []admission.WaitingTokens{{Rank: 1, Tokens: 1_000_000}}})
	c.nextRound(0)
	qt.Check(t, q.MayTake(first), qt.IsFalse)
	c.headroom.Unbounded = true
	c.nextRound(0)
	for _, w := range []*admission.Waiter{first, second} {
		qt.Check(t, q.MayTake(w), qt.IsTrue)
		qt.Check(t, q.LacksHeadroom(w), qt.IsFalse)
		q.Took(w.Stream)
		q.Leave(w)
	}
}

// TestRetryOfUrgentCallersIsNotBehindOthers: many less urgent callers were refused, and are to return
// one after the other. A more urgent one that is refused then returns before them, and a further one
// of those after both.
func TestRetryOfUrgentCallersIsNotBehindOthers(t *testing.T) {
	q, c := newQueue()
	c.headroom.FreedPerSecond = 1000
	for range 2 {
		join(t, q, c.newStream("a", 0))
	}
	less := &admission.Refusal{}
	for range 3 {
		_, less = q.Join(c.newStream("a", 2))
		qt.Assert(t, less, qt.IsNotNil)
	}
	_, urgent := q.Join(c.newStream("a", 0))
	qt.Assert(t, urgent, qt.IsNotNil)
	qt.Check(t, urgent.RetryAt.Sub(c.at) < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", urgent.RetryAt.Sub(c.at)))
	_, next := q.Join(c.newStream("a", 2))
	qt.Check(t, next.RetryAt.After(less.RetryAt), qt.IsTrue)
}

// TestReservedStreamLeavesTheRoundToTheFirst: one that looks for the memory that it has reserved, while
// it is another's turn, takes nothing of what that one may send.
func TestReservedStreamLeavesTheRoundToTheFirst(t *testing.T) {
	q, c := newQueue()
	large := join(t, q, c.newStream("a", 2))
	q.Reserved(large, true)
	urgent := join(t, q, c.newStream("a", 1))
	c.nextRound(1)
	qt.Check(t, q.MayTake(large), qt.IsTrue)
	q.Missed(large)
	qt.Check(t, q.MayTake(urgent), qt.IsTrue)
	q.Missed(urgent)
	qt.Check(t, q.MayTake(urgent), qt.IsFalse)
}

// TestLargeStreamWaitsForTheRestInCalm: a server with little work lacks a fifth of what a stream needs,
// and frees that within a second. Its memory as a whole would take more than the stream may wait.
func TestLargeStreamWaitsForTheRestInCalm(t *testing.T) {
	q, c := newQueue()
	c.headroom = admission.Headroom{FreedPerSecond: 200, FreeTokens: 800}
	w := join(t, q, c.newStream("a", 2))
	c.at = c.at.Add(200 * time.Millisecond)
	qt.Check(t, q.MayTake(w), qt.IsFalse)
	qt.Check(t, q.Recheck(w), qt.IsNil)
	_, refusal := q.Join(c.newStream("a", 2))
	qt.Check(t, refusal, qt.IsNotNil, qt.Commentf("the free part is for the first"))
}

// TestHeadroomForAllIsTaken: an older equal at a VM that is frozen claims nearly all headroom, but needs little
// of it. There is enough for all, so that none waits.
func TestHeadroomForAllIsTaken(t *testing.T) {
	q, c := newQueue()
	waiters := []*admission.Waiter{}
	for range 4 {
		waiters = append(waiters, join(t, q, c.newStream("a", 2)))
	}
	q.MergeReport("frozen", admission.Report{Waiting: []admission.WaitingTokens{{Rank: 2, Account: "a", Tokens: 1000, MeanAgeMillis: 3000}}})
	c.nextRound(5)
	taken := 0
	for _, w := range waiters {
		if q.MayTake(w) {
			q.Took(w.Stream)
			q.Leave(w)
			taken++
		}
	}
	qt.Check(t, taken, qt.Equals, 4)
}
