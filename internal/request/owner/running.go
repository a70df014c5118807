package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/caller/problem"
	"github.com/endivespoke/endivespoke/internal/peer/wire"
	"github.com/endivespoke/endivespoke/internal/request/generation"
)

// Generation is one generation that this VM owns, running or ended. It is safe for
// concurrent use.
type Generation struct {
	owner          *Owner
	request        generation.RequestID
	spec           generation.Spec
	ctx            context.Context // Ends with the generation or its deadline.
	cancel         context.CancelFunc
	acceptedAt     time.Time
	contentHash    string
	keyGiven       bool          // The caller chose the key.
	holderAnswered chan struct{} // Closed at the holder's first answer.

	mu                sync.Mutex
	journal           *generation.Journal
	acked             int         // Tokens that the holder has, or that need no copy.
	holder            wire.Member // The zero value means that there is none.
	sentToHolder      int         // Tokens sent to the holder.
	maybeDuplicate    bool        // The holder should check for another generation of the request.
	duplicateFound    bool        // The holder found one.
	holderHasAnswered bool
	moved             bool // Another VM owns the generation now.
	callers           int
	graceEnds         time.Time // When the grace of a generation without callers ends.
	keepUntil         time.Time // Set when ended.
	subscribers       []chan struct{}
}

// End is how an answer ended. The zero value means that it has not ended.
type End struct {
	Finish  string
	Failure *generation.Failure
	Moved   bool
}

// Ended reports whether this VM delivers nothing more.
func (e End) Ended() bool {
	return e.Finish != "" || e.Failure != nil || e.Moved
}

// sameBody returns the generation for another request with its key, or a problem
// if the bodies differ.
func (g *Generation) sameBody(spec generation.Spec) (*Generation, *problem.Problem) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.spec.SameBody(spec) {
		return nil, &problem.Problem{Code: problem.KeyReused, Outcome: problem.NotRun, Detail: "the key was used before with another body"}
	}
	return g, nil
}

// Attach registers a caller and returns a channel that is signalled on each
// change. The caller must call Detach with this channel.
func (g *Generation) Attach() chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := make(chan struct{}, 1)
	g.subscribers = append(g.subscribers, changed)
	g.callers++
	return changed
}

// Detach unregisters a caller. The grace begins when the last caller detaches.
func (g *Generation) Detach(changed chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	at := slices.Index(g.subscribers, changed)
	g.subscribers = slices.Delete(g.subscribers, at, at+1)
	g.callers--
	g.graceEnds = g.owner.options.Now().Add(g.owner.options.Grace)
}

// notify signals every caller. Callers hold mu.
func (g *Generation) notify() {
	for _, changed := range g.subscribers {
		select {
		case changed <- struct{}{}:
		default:
		}
	}
}

// Next waits until tokens from offset on are deliverable, or for the end. The
// returned slice must not be modified. If the context ends or idle fires first,
// Next returns no tokens and a zero End.
func (g *Generation) Next(ctx context.Context, offset int, changed chan struct{}, idle <-chan time.Time) ([]generation.Token, End) {
	for {
		tokens, end := g.deliverable(offset)
		if len(tokens) > 0 || end.Ended() {
			return tokens, end
		}
		select {
		case <-changed:
		case <-idle:
			return nil, End{}
		case <-ctx.Done():
			return nil, End{}
		}
	}
}

// deliverable returns what may be delivered now: tokens that the holder has, and
// the end only after the last of them.
func (g *Generation) deliverable(offset int) ([]generation.Token, End) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.moved {
		return nil, End{Moved: true}
	}
	limit := min(g.acked, len(g.journal.Tokens))
	var tokens []generation.Token
	if offset < limit {
		tokens = g.journal.Tokens[offset:limit:limit]
	}
	if limit < len(g.journal.Tokens) {
		return tokens, End{}
	}
	return tokens, End{Finish: g.journal.Finish, Failure: g.journal.Failure}
}

// ErrMoved means that another VM owns the generation now.
const ErrMoved = errors.ConstError("another VM owns the generation")

// VerifyCursor waits until the journal reaches the caller's cursor and checks that
// the caller has a prefix of exactly this answer. The error is ErrMoved, one of
// generation.ErrGenerationMismatch and generation.ErrCursorAhead, or the
// context's.
func (g *Generation) VerifyCursor(ctx context.Context, cursor generation.Cursor, changed chan struct{}) error {
	for {
		if known, err := g.verifyCursorNow(cursor); known {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// verifyCursorNow checks a cursor if the journal reaches it or never will. While
// the journal is behind the cursor and still grows, the result is not known.
func (g *Generation) verifyCursorNow(cursor generation.Cursor) (known bool, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.moved {
		return true, errors.Trace(ErrMoved)
	}
	reached := len(g.journal.Tokens) >= cursor.Offset
	switch {
	case !reached && g.journal.Failure != nil:
		return true, nil // The caller is to receive the failure.
	case !reached && !g.journal.Ended():
		return false, nil
	}
	return true, g.journal.Verify(cursor)
}

// CursorTemplate returns a cursor without a position: its Offset and Hash are not
// set.
func (g *Generation) CursorTemplate() generation.Cursor {
	g.mu.Lock()
	defer g.mu.Unlock()
	return generation.Cursor{
		Generation:    g.journal.ID,
		Owner:         g.owner.options.Snapshot().Self.ID,
		Holder:        g.holder.ID,
		Server:        g.journal.Server,
		EngineRequest: g.journal.EngineRequest,
		EngineBase:    g.journal.EngineBase,

		SoftwareVersion: g.journal.SoftwareVersion,
	}
}

// ID returns the generation's id.
func (g *Generation) ID() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.journal.ID
}

// Spec returns the spec of the request.
func (g *Generation) Spec() generation.Spec {
	return g.spec
}

func (g *Generation) ended() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.journal.Ended() || g.moved
}

// busy reports whether a shutdown would interrupt the generation or a caller.
func (g *Generation) busy() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.callers > 0 || (!g.moved && !g.journal.Ended())
}

// expired reports whether the generation may be removed: it ended and its
// retention is over, or it has moved.
func (g *Generation) expired(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.callers > 0 {
		return false
	}
	if g.moved {
		return true
	}
	return g.journal.Ended() && now.After(g.keepUntil)
}

// abandoned reports whether a running generation has been without a caller for
// longer than the grace.
func (g *Generation) abandoned(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.callers == 0 && now.After(g.graceEnds) && !g.journal.Ended() && !g.moved
}

// AcceptedAt returns the time at which this VM accepted or took over the
// generation.
func (g *Generation) AcceptedAt() time.Time {
	return g.acceptedAt
}

// PromptTokens returns the number of the prompt's tokens, or 0 until an engine has
// reported them.
func (g *Generation) PromptTokens() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.journal.PromptTokens)
}
