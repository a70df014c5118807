// Package order brings backend servers to their published state. For each
// server one VM at a time gives orders, under a lease whose number fences the
// orders of those before it.
//
// # Usage
//
//	controller := order.New(order.Options{Self: "vm-1", Table: table, Engines: engines, ...})
//	controller.LookAtAll(ctx) // every order.LookEvery
//
// Orders are level-triggered: what a server reports is compared with what is
// published, and only a difference takes the lease, so that a quiet system
// writes nothing. Servers that check fencing numbers refuse a late order. For
// those that don't, the successor waits until the lease and the last order
// under it have lapsed; a holder that is paused between its last look at the
// clock and the sending can still give one late order, which the next look
// corrects.
package order

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

const (
	// leaseTerm is how long a lease lasts.
	leaseTerm = 15 * time.Second
	// orderLimit bounds one order from its sending to its end at the server.
	orderLimit = 5 * time.Second
)

// Lease is the value of a server's lease row. Number grows with each holder and
// is never used twice.
type Lease struct {
	Holder string    `json:"holder"`
	Number uint64    `json:"number"`
	Until  time.Time `json:"until"`
}

// LeaseKey is the table key of a server's lease.
func LeaseKey(server string) string {
	return "lease/" + server
}

// Acquire gives the lease that self may write over this one, if it may now. A
// server that checks numbers may change hands as soon as the holder is known to
// be down: the holder's late orders are refused there. Any other changes hands
// only when no order under the lease can still be under way.
func (l Lease) Acquire(self string, checksFencing, holderDown bool, now time.Time) (next Lease, ok bool) {
	free := l.Until
	if !checksFencing {
		free = free.Add(orderLimit)
	}
	mine := l.Holder == self
	lapsed := !now.Before(free)
	if !mine && !lapsed && !(checksFencing && holderDown) {
		return Lease{}, false
	}
	return Lease{Holder: self, Number: l.Number + 1, Until: now.Add(leaseTerm)}, true
}

// MaySend reports whether there is time for one more order under the lease.
func (l Lease) MaySend(now time.Time) bool {
	return now.Before(l.Until.Add(-orderLimit))
}

// Released gives the lease with its rest given up.
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

// WeightLoads is the value of the row that bounds how many servers read the
// weight store at once, over all VMs.
type WeightLoads struct {
	Loads []WeightLoad `json:"loads"`
}

// WeightLoad is one server's place, which lapses by itself.
type WeightLoad struct {
	Server string    `json:"server"`
	Until  time.Time `json:"until"`
}

// WeightLoadsKey is the table key of that row.
const WeightLoadsKey = "weightLoads"

// Enter gives the row with a place for a server, if there is one.
func (w WeightLoads) Enter(server string, limit int, now time.Time) (next WeightLoads, ok bool) {
	for _, load := range w.Loads {
		if load.Server != server && now.Before(load.Until) {
			next.Loads = append(next.Loads, load)
		}
	}
	if len(next.Loads) >= limit {
		return WeightLoads{}, false
	}
	next.Loads = append(next.Loads, WeightLoad{Server: server, Until: now.Add(leaseTerm)})
	return next, true
}

// Leave gives the row without a server's place.
func (w WeightLoads) Leave(server string) (next WeightLoads) {
	for _, load := range w.Loads {
		if load.Server != server {
			next.Loads = append(next.Loads, load)
		}
	}
	return next
}
