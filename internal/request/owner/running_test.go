package owner

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/request/generation"
)

// newTestRunning gives a generation with some tokens, owned by nobody.
func newTestRunning(tokens int) *Running {
	journal := generation.New("g", generation.RequestID{}, generation.Spec{MaxTokens: 100})
	for i := range tokens {
		journal.Tokens = append(journal.Tokens, generation.Token{ID: i})
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Running{owner: &Owner{options: Options{Now: time.Now}}, journal: journal, ctx: ctx, cancel: cancel, opened: make(chan struct{})}
}

// TestCursorAheadOfAMovedGenerationIsNotARestart caught a caller being told to
// restart although another VM was only just taking its generation over.
func TestCursorAheadOfAMovedGenerationIsNotARestart(t *testing.T) {
	r := newTestRunning(3)
	changed := r.Attach()
	r.mu.Lock()
	r.moveLocked()
	r.mu.Unlock()
	err := r.Confirm(context.Background(), generation.Cursor{Offset: 5}, changed)
	qt.Assert(t, errors.Is(err, ErrMoved), qt.IsTrue)
}

func TestCursorAheadOfAGrowingJournalWaits(t *testing.T) {
	r := newTestRunning(3)
	changed := r.Attach()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	qt.Assert(t, r.Confirm(ctx, generation.Cursor{Offset: 5}, changed), qt.Equals, context.DeadlineExceeded)
}

// TestOnlyWhatTheHolderHasIsDelivered holds tokens back until they are acked.
func TestOnlyWhatTheHolderHasIsDelivered(t *testing.T) {
	r := newTestRunning(5)
	r.journal.Finish = "length"
	r.acked = 3
	tokens, end := r.ready(1)
	qt.Assert(t, tokens, qt.HasLen, 2)
	qt.Assert(t, end.Ended(), qt.IsFalse)
	r.acked = 5
	tokens, end = r.ready(3)
	qt.Assert(t, tokens, qt.HasLen, 2)
	qt.Assert(t, end.Finish, qt.Equals, "length")
}

// TestAdaptiveLimitFollowsTheGaps shows the bounds of the adaptive limit.
func TestAdaptiveLimitFollowsTheGaps(t *testing.T) {
	timing := DefaultTiming
	timing.Adaptive = true
	now := time.Unix(1000, 0)
	d := &detector{timing: timing}
	qt.Assert(t, d.limit(), qt.Equals, timing.FirstSilence)
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		d.heard(now)
	}
	qt.Assert(t, d.limit(), qt.Equals, minSilence)
	for i := range 100 {
		now = now.Add(time.Duration(20+i%2*380) * time.Millisecond)
		d.heard(now)
	}
	qt.Assert(t, d.limit(), qt.Equals, timing.Silence)
}

// TestFailedGenerationTellsItsFailure gives a caller who is ahead of a failed
// journal the failure, and not a restart that would hide it.
func TestFailedGenerationTellsItsFailure(t *testing.T) {
	r := newTestRunning(3)
	r.journal.Fail(generation.Failure{Code: "deadlinePassed"})
	r.acked = 3
	qt.Assert(t, r.Confirm(context.Background(), generation.Cursor{Offset: 5}, r.Attach()), qt.IsNil)
	_, end := r.ready(5)
	qt.Assert(t, end.Failure.Code, qt.Equals, "deadlinePassed")
}
