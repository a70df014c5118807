package relay

import (
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/http1"
	"github.com/endivespoke/endivespoke/internal/backend/pool"
)

// sendRecord is what the log tells of one send of a request.
type sendRecord struct {
	number   int // From 1, of this VM's sends of the request.
	sentAt   time.Time
	closedAt time.Time // When its connection was closed or returned to the pool.
	named    bool      // The answer names the request.
	via      string    // Address of the VM through which the answer came; "" if it came directly.
}

// placed returns the log fields of a send that begins.
func (r *sendRecord) placed(server pool.Server) []any {
	return []any{"send", r.number, "process", server.Process(), "sentMicros", r.sentAt.UnixMicro()}
}

// ended returns the log fields of a send that ended without an answer for the caller. They tell
// what the decision whether it may have run was based on.
func (r *sendRecord) ended(server pool.Server, verdict Verdict, err error) []any {
	written, reused := -1, false
	var broken *http1.Broken
	switch {
	case errors.As(err, &broken):
		written, reused, r.via = broken.Written, broken.Reused, broken.Via
	case errors.Is(err, http1.ErrNotSent):
		written = 0
	}
	return append(r.placed(server), "closedMicros", r.closedAt.UnixMicro(), "notSent", errors.Is(err, http1.ErrNotSent), "written", written, "reusedConnection", reused, "via", r.via,
		"status", verdict.Status, "notRun", verdict.NotRun, "replaced", verdict.Replaced, "named", r.named)
}
