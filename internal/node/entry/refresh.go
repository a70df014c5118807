package entry

import (
	"context"
	"sync"
	"time"
)

// listRefresh serializes requests for the list of servers besides those of the watch.
type listRefresh struct {
	mu          sync.Mutex
	requestedAt time.Time // Of the last one.
	answered    bool
}

// refreshServers requests the list of servers from the store, unless it has done so at asOf or later, and
// reports whether the store answered. What peers tell of the list's age is not enough: a VM that was paused
// reads it late. One request serves all that wait for it.
func (v *VM) refreshServers(ctx context.Context, asOf time.Time) (current bool) {
	last := &v.serversRefresh
	last.mu.Lock()
	defer last.mu.Unlock()
	if !last.requestedAt.Before(asOf) {
		return last.answered
	}
	last.requestedAt, last.answered = v.Now(), false
	ctx = context.WithoutCancel(ctx) // Others wait for the answer too.
	rows, err := v.options.Servers.Read(ctx)
	if err == nil {
		err = v.checkEra(rows.Version.Era)
	}
	if err != nil {
		v.logger.Debug("the list of servers could not be refreshed", "error", err)
		return false
	}
	v.applyServers(ctx, rows, true, last.requestedAt)
	last.answered = true
	return true
}
