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

// Running is one generation that this VM owns, running or ended. It is safe
// for concurrent use.
type Running struct {
	owner       *Owner
	request     generation.RequestID
	spec        generation.Spec
	ctx         context.Context // Ends with the generation or its deadline.
	cancel      context.CancelFunc
	acceptedAt  time.Time
	contentHash string
	keyGiven    bool          // The caller chose the key.
	opened      chan struct{} // Closed at the holder's first word.

	mu          sync.Mutex
	journal     *generation.Journal
	acked       int         // Tokens that the holder has, or that need no copy.
	holder      wire.Member // The zero value means that there is none.
	holderSent  int         // Tokens offered to the holder.
	fresh       bool        // The holder should look for another generation of the request.
	exists      bool        // The holder found one.
	wasOpened   bool
	moved       bool // Another VM owns it now.
	callers     int
	gone        time.Time // When the grace of a generation without callers ends.
	keepUntil   time.Time // Set when ended.
	subscribers []chan struct{}
}

// End says how an answer ended. The zero value means that it goes on.
type End struct {
	Finish  string
	Failure *generation.Failure
	Moved   bool
}

// Ended reports whether there is nothing more to come here.
func (e End) Ended() bool {
	return e.Finish != "" || e.Failure != nil || e.Moved
}

// sameBody answers a request whose key is known already.
func (r *Running) sameBody(spec generation.Spec) (*Running, *problem.Problem) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.spec.SameBody(spec) {
		return nil, &problem.Problem{Code: problem.KeyReused, Outcome: problem.NotRun, Detail: "the key was used before with another body"}
	}
	return r, nil
}

// Attach counts a caller and returns the channel that is signalled on each
// change. Detach must be called with it in the end.
func (r *Running) Attach() chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := make(chan struct{}, 1)
	r.subscribers = append(r.subscribers, changed)
	r.callers++
	return changed
}

// Detach counts a caller out. When the last is gone, the grace begins.
func (r *Running) Detach(changed chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := slices.Index(r.subscribers, changed)
	r.subscribers = slices.Delete(r.subscribers, at, at+1)
	r.callers--
	r.gone = r.owner.options.Now().Add(r.owner.options.Grace)
}

// notify signals every caller. Callers hold mu.
func (r *Running) notify() {
	for _, changed := range r.subscribers {
		select {
		case changed <- struct{}{}:
		default:
		}
	}
}

// Next waits until there are deliverable tokens from offset on, or the end. The
// returned slice must not be changed. When the context ends or idle fires first,
// there are no tokens and no field of End is set.
func (r *Running) Next(ctx context.Context, offset int, changed chan struct{}, idle <-chan time.Time) ([]generation.Token, End) {
	for {
		tokens, end := r.ready(offset)
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

// ready gives what may be delivered now: tokens that the holder has, and the
// end only behind the last of them.
func (r *Running) ready(offset int) ([]generation.Token, End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.moved {
		return nil, End{Moved: true}
	}
	limit := min(r.acked, len(r.journal.Tokens))
	var tokens []generation.Token
	if offset < limit {
		tokens = r.journal.Tokens[offset:limit:limit]
	}
	if limit < len(r.journal.Tokens) {
		return tokens, End{}
	}
	return tokens, End{Finish: r.journal.Finish, Failure: r.journal.Failure}
}

// ErrMoved means that another VM owns the generation now.
const ErrMoved = errors.ConstError("another VM owns the generation")

// Confirm waits until the journal reaches the caller's cursor and checks that
// the caller has a prefix of exactly this answer. The error is ErrMoved, or one
// of generation.ErrGenerationMismatch and generation.ErrCursorAhead, or the context's.
func (r *Running) Confirm(ctx context.Context, cursor generation.Cursor, changed chan struct{}) error {
	for {
		if known, err := r.confirmNow(cursor); known {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// confirmNow checks a cursor if the journal reaches it or never will. A journal
// that is behind says nothing about the cursor: it may still be growing.
func (r *Running) confirmNow(cursor generation.Cursor) (known bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.moved {
		return true, errors.Trace(ErrMoved)
	}
	reached := len(r.journal.Tokens) >= cursor.Offset
	switch {
	case !reached && r.journal.Failure != nil:
		return true, nil // The failure is what the caller has to know.
	case !reached && !r.journal.Ended():
		return false, nil
	}
	return true, r.journal.Verify(cursor)
}

// Place gives what a cursor at an offset has to say about where things are.
func (r *Running) Place() generation.Cursor {
	r.mu.Lock()
	defer r.mu.Unlock()
	return generation.Cursor{
		Generation:    r.journal.ID,
		Owner:         r.owner.options.Snapshot().Self.ID,
		Holder:        r.holder.ID,
		Server:        r.journal.Server,
		EngineRequest: r.journal.EngineRequest,
		EngineBase:    r.journal.EngineBase,
	}
}

// ID is the generation's id.
func (r *Running) ID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.journal.ID
}

// Spec is what the caller asked for.
func (r *Running) Spec() generation.Spec {
	return r.spec
}

func (r *Running) ended() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.journal.Ended() || r.moved
}

// busy reports whether a stop would cut something.
func (r *Running) busy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.callers > 0 || (!r.moved && !r.journal.Ended())
}

// overAt reports whether the generation may be forgotten: it ended and was kept
// long enough, or it has moved.
func (r *Running) overAt(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.callers > 0 {
		return false
	}
	if r.moved {
		return true
	}
	return r.journal.Ended() && now.After(r.keepUntil)
}

// abandoned reports whether a running generation's caller has been gone for longer than the grace.
func (r *Running) abandoned(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.callers == 0 && now.After(r.gone) && !r.journal.Ended() && !r.moved
}

// AcceptedAt is when this VM took the generation.
func (r *Running) AcceptedAt() time.Time {
	return r.acceptedAt
}

// PromptTokens counts the prompt's tokens, 0 until an engine has told them.
func (r *Running) PromptTokens() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.journal.PromptTokens)
}
