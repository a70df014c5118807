package owner

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/request/generation"
)

// newTestGeneration returns a generation with some tokens that is in no registry.
func newTestGeneration(tokens int) *Generation {
	journal := generation.New("g", generation.RequestID{}, generation.Spec{MaxTokens: 100})
	for i := range tokens {
		journal.Tokens = append(journal.Tokens, generation.Token{ID: i})
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Generation{owner: &Owner{options: Options{Now: time.Now}}, journal: journal, ctx: ctx, cancel: cancel, holderAnswered: make(chan struct{})}
}

// TestCursorAheadOfAMovedGenerationIsNotARestart guards against a caller being
// told to restart while another VM is taking its generation over.
func TestCursorAheadOfAMovedGenerationIsNotARestart(t *testing.T) {
	g := newTestGeneration(3)
	changed := g.Attach()
	g.mu.Lock()
	g.markMovedLocked()
	g.mu.Unlock()
	err := g.VerifyCursor(context.Background(), generation.Cursor{Offset: 5}, changed)
	qt.Assert(t, errors.Is(err, ErrMoved), qt.IsTrue)
}

func TestCursorAheadOfAGrowingJournalWaits(t *testing.T) {
	g := newTestGeneration(3)
	changed := g.Attach()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	qt.Assert(t, g.VerifyCursor(ctx, generation.Cursor{Offset: 5}, changed), qt.Equals, context.DeadlineExceeded)
}

// TestOnlyWhatTheHolderHasIsDelivered checks that tokens are held back until the
// holder has acknowledged them.
func TestOnlyWhatTheHolderHasIsDelivered(t *testing.T) {
	g := newTestGeneration(5)
	g.journal.Finish = "length"
	g.acked = 3
	tokens, end := g.deliverable(1)
	qt.Assert(t, tokens, qt.HasLen, 2)
	qt.Assert(t, end.Ended(), qt.IsFalse)
	g.acked = 5
	tokens, end = g.deliverable(3)
	qt.Assert(t, tokens, qt.HasLen, 2)
	qt.Assert(t, end.Finish, qt.Equals, "length")
}

// TestAdaptiveTimeoutFollowsTheGaps checks the bounds of the adaptive timeout.
func TestAdaptiveTimeoutFollowsTheGaps(t *testing.T) {
	timing := DefaultTiming
	timing.Adaptive = true
	now := time.Unix(1000, 0)
	d := &idleDetector{timing: timing}
	qt.Assert(t, d.timeout(), qt.Equals, timing.FirstEventTimeout)
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		d.observe(now)
	}
	qt.Assert(t, d.timeout(), qt.Equals, minIdleTimeout)
	for i := range 100 {
		now = now.Add(time.Duration(20+i%2*380) * time.Millisecond)
		d.observe(now)
	}
	qt.Assert(t, d.timeout(), qt.Equals, timing.IdleTimeout)
}

// TestFailedGenerationReturnsItsFailure checks that a caller whose cursor is ahead
// of a failed journal receives the failure, and not a restart that would hide it.
func TestFailedGenerationReturnsItsFailure(t *testing.T) {
	g := newTestGeneration(3)
	g.journal.Fail(generation.Failure{Code: "deadlinePassed"})
	g.acked = 3
	qt.Assert(t, g.VerifyCursor(context.Background(), generation.Cursor{Offset: 5}, g.Attach()), qt.IsNil)
	_, end := g.deliverable(5)
	qt.Assert(t, end.Failure.Code, qt.Equals, "deadlinePassed")
}
