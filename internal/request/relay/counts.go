package relay

import (
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/http1"
	"github.com/endivespoke/endivespoke/internal/backend/pool"
)

// EarlyEnd is how a run at a server ended before its answer was complete, for counters.
type EarlyEnd string

// Ways in which runs end early.
const (
	EndNotSent  EarlyEnd = "notSent"  // No connection to the server could be opened.
	EndRefused  EarlyEnd = "refused"  // The server answered that it had not run it.
	EndReplaced EarlyEnd = "replaced" // Another server has the address.
	EndInactive EarlyEnd = "silent"   // An event was overdue, or the server was found down.
	EndBlocked  EarlyEnd = "blocked"  // Requests with its traits crash servers, and it had not begun to answer.
	EndFailed   EarlyEnd = "failed"   // The server answered with a failure of its own.
	EndBroken   EarlyEnd = "broken"   // The connection broke.
)

// Counts is called for decisions of the relay, for metrics.
type Counts struct {
	// Sent is called for each request before it is sent to a server.
	Sent       func(purpose pool.Purpose)
	EndedEarly func(how EarlyEnd)
	// Resumed is called with the time from a stream's interruption to its next event.
	Resumed func(fromCopy bool, pause time.Duration)
}

// earlyEnd returns how a stream's run ended.
func (e *runResult) earlyEnd() EarlyEnd {
	switch {
	case e.replaced:
		return EndReplaced
	case e.notRun:
		return EndRefused
	case e.blocked:
		return EndBlocked
	case e.aborted:
		return EndInactive
	case e.notSent:
		return EndNotSent
	case e.failure || e.answer != nil:
		return EndFailed
	default:
		return EndBroken
	}
}

func (r *callResult) isNotSent() bool {
	return errors.Is(r.err, http1.ErrNotSent)
}

// earlyEnd returns how a call's exchange ended.
func (r *callResult) earlyEnd() EarlyEnd {
	switch {
	case r.verdict.Replaced:
		return EndReplaced
	case r.verdict.NotRun:
		return EndRefused
	case r.isNotSent():
		return EndNotSent
	case r.err != nil:
		return EndBroken
	default:
		return EndFailed
	}
}
