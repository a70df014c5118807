package relay

import (
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/http1"
)

// EarlyEnd names how a run at a server ended before its answer was whole, for counters.
type EarlyEnd string

// How runs end early.
const (
	EndNotSent  EarlyEnd = "notSent"  // No connection to the server could be opened.
	EndRefused  EarlyEnd = "refused"  // The server said that it did not run it.
	EndReplaced EarlyEnd = "replaced" // Another server has the address.
	EndInactive EarlyEnd = "silent"   // Nothing came for too long, or the server was found down.
	EndFailed   EarlyEnd = "failed"   // The server answered with a failure of its own.
	EndBroken   EarlyEnd = "broken"   // The connection broke.
)

// Counts is told of decisions, for metrics.
type Counts struct {
	EndedEarly func(how EarlyEnd)
	// Resumed is told of a stream's pause until it went on at another server.
	Resumed func(fromCopy bool, pause time.Duration)
}

// earlyEnd names how a stream's run ended.
func (e *runEnd) earlyEnd() EarlyEnd {
	switch {
	case e.replaced:
		return EndReplaced
	case e.notRun:
		return EndRefused
	case e.silent:
		return EndInactive
	case e.notSent:
		return EndNotSent
	case e.failure || e.answer != nil:
		return EndFailed
	default:
		return EndBroken
	}
}

// earlyEnd names how a call's exchange ended.
func (r *callResult) earlyEnd() EarlyEnd {
	switch {
	case r.verdict.Replaced:
		return EndReplaced
	case r.verdict.NotRun:
		return EndRefused
	case errors.Is(r.err, http1.ErrNotSent):
		return EndNotSent
	case r.err != nil:
		return EndBroken
	default:
		return EndFailed
	}
}
