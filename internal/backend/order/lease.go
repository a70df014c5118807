// Package order brings backend servers to their published state. One VM at a time sends
// orders to a server, under a lease whose number fences the orders of earlier holders.
//
// # Usage
//
//	controller := order.New(order.Options{Self: "vm-1", Table: table, Engines: engines, ...})
//	controller.CheckAll(ctx) // Every order.CheckInterval.
//
// Orders are level-triggered: the models that a server reports are compared with the
// published ones, and only a difference requires the lease, so that a system without
// changes writes nothing. Servers that check fencing numbers refuse a late order. For
// those that don't, the next holder waits until the lease and the last order under it
// have expired; a holder that is paused between its last check of the clock and the
// sending can still send one late order, which the next check corrects.
package order

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

const (
	// leaseDuration is how long a lease lasts.
	leaseDuration = 15 * time.Second
	// orderTimeout bounds one order from its sending to its completion at the server.
	orderTimeout = 5 * time.Second
)

// Lease is the value of a server's lease row. Number increases with each acquisition and
// is never reused.
type Lease struct {
	Holder string    `json:"holder"`
	Number uint64    `json:"number"`
	Until  time.Time `json:"until"`
}

// LeaseKey returns the table key of a server's lease.
func LeaseKey(server string) string {
	return "lease/" + server
}

// Acquire returns the lease that self may write over this one, if it may do so now. The
// lease of a server that checks fencing numbers may be acquired as soon as the holder is
// known to be down: the holder's late orders are refused there. Any other lease may be
// acquired only when no order under it can still be running.
func (l Lease) Acquire(self string, checksFencing, holderDown bool, now time.Time) (next Lease, ok bool) {
	freeAt := l.Until
	if !checksFencing {
		freeAt = freeAt.Add(orderTimeout)
	}
	isHolder := l.Holder == self
	expired := !now.Before(freeAt)
	if !isHolder && !expired && !(checksFencing && holderDown) {
		return Lease{}, false
	}
	return Lease{Holder: self, Number: l.Number + 1, Until: now.Add(leaseDuration)}, true
}

// MaySend reports whether there is time for one more order under the lease.
func (l Lease) MaySend(now time.Time) bool {
	return now.Before(l.Until.Add(-orderTimeout))
}

// Released returns the lease with its end set to now.
func (l Lease) Released(now time.Time) Lease {
	l.Until = now
	return l
}

func decodeLease(body []byte) (lease Lease, err error) {
	if len(body) == 0 {
		return Lease{}, nil
	}
	if err = json.Unmarshal(body, &lease); err != nil {
		return Lease{}, errors.Annotate(err, "lease row is not readable")
	}
	return lease, nil
}

// WeightLoads is the value of the row that bounds how many servers read the weight store
// concurrently, over all VMs.
type WeightLoads struct {
	Loads []WeightLoad `json:"loads"`
}

// WeightLoad is one server's slot, which expires at Until.
type WeightLoad struct {
	Server string    `json:"server"`
	Until  time.Time `json:"until"`
}

// WeightLoadsKey is the table key of that row.
const WeightLoadsKey = "weightLoads"

// Acquire returns the row with a slot for a server, if one is free.
func (w WeightLoads) Acquire(server string, limit int, now time.Time) (next WeightLoads, ok bool) {
	for _, load := range w.Loads {
		if load.Server != server && now.Before(load.Until) {
			next.Loads = append(next.Loads, load)
		}
	}
	if len(next.Loads) >= limit {
		return WeightLoads{}, false
	}
	next.Loads = append(next.Loads, WeightLoad{Server: server, Until: now.Add(leaseDuration)})
	return next, true
}

// Release returns the row without a server's slot.
func (w WeightLoads) Release(server string) (next WeightLoads) {
	for _, load := range w.Loads {
		if load.Server != server {
			next.Loads = append(next.Loads, load)
		}
	}
	return next
}
