// Package permit bounds what all VMs together do in a second: requests to a server that names
// a limit, or trials of a request that crashed servers.
//
// A bound on the fleet is kept in one place. Each key has an issuer, the VM that rendezvous
// hashing ranks first for it among those that are up. The issuer holds the token bucket of the
// key and issues a permit for each request; the other VMs ask it. Nothing is divided among VMs,
// so a rate below one a second is kept by any number of them, and one VM with all the load may
// use all of it.
//
// # Usage
//
//	issuer := permit.NewIssuer(time.Now)
//	reply := issuer.Take(permit.Request{Key: key, Rate: 6.1, VM: "vm-2"})
//	switch {
//	case reply.Unbounded: // The key has no bound now; no permit is needed.
//	case reply.Granted:   // Send one request now.
//	default:              // Ask again after reply.Wait.
//	}
//	issuer.Observe(permit.Observation{Key: key, Serial: reply.Serial, Kind: "run", Bounded: true, Rate: 5.8})
//
// An issuer that takes over a key knows nothing of the permits before. Its bucket starts empty,
// and the request tells it the rate. A bucket holds little, so that a change of the issuer, or
// two VMs that take themselves as the issuer for a moment, add only a few permits.
package permit

import (
	"maps"
	"sync"
	"time"
)

const (
	// burstTime is how long permits accumulate beyond one if nobody asks: as long as a VM with
	// requests may wait to ask again.
	burstTime = maxQueueWait
	// minRate, in permits a second, replaces lower rates, also 0: what a server that takes no
	// requests answers to one is the only sign that it takes some again.
	minRate = 0.05
	// debtTime is how many permits beyond one an urgent request may take in advance, as the time
	// in which they are added.
	debtTime = 250 * time.Millisecond
	// maxQueueWait bounds the wait that is added for VMs that were denied before, so that a VM
	// with much load asks again soon.
	maxQueueWait = 500 * time.Millisecond
	// askerWindow is how long a VM counts as one that needs permits after it has asked.
	askerWindow = 2 * time.Second
	// preventiveAfter is the time without a denied request after which preventive ones get
	// permits.
	preventiveAfter = time.Second
	// unboundedAfter is the number of permits in a row whose replies named no bound, after
	// which the bound has ended. A single one may have been sent before the bound was named.
	unboundedAfter = 2
	// unboundedAfterChange replaces it at an issuer that has seen no answer that names the bound:
	// it took the key over, and does not know which kinds of answers do.
	unboundedAfterChange = 4
	// retention is how long an unused key is kept, and expiryInterval how often unused keys are
	// removed.
	retention      = 10 * time.Minute
	expiryInterval = time.Minute
)

// Request asks for one permit. Rate is the rate that the requester knows of, in permits a second.
// An urgent request continues a stream, and may take a permit in advance. A preventive request
// serves no caller yet and gets a permit only if others leave it. A request for a fresh key gets the
// first permit at once: what it bounds has hardly begun.
type Request struct {
	Key        string  `cbor:"1,keyasint"`
	Rate       float64 `cbor:"2,keyasint"`
	VM         string  `cbor:"3,keyasint"`
	Preventive bool    `cbor:"4,keyasint,omitempty"`
	Urgent     bool    `cbor:"5,keyasint,omitempty"`
	Fresh      bool    `cbor:"6,keyasint,omitempty"`
	// Places, if not 0, asks for one of the server's places instead: it runs that many requests at once,
	// and falls over if it has to turn away more than Tolerated in a second; see places.go. Holder is the
	// id of the VM's process, and Lasting is set for a stream.
	Places    int    `cbor:"7,keyasint,omitempty"`
	Tolerated int    `cbor:"8,keyasint,omitempty"`
	Holder    string `cbor:"9,keyasint,omitempty"`
	Lasting   bool   `cbor:"10,keyasint,omitempty"`
}

// Reply answers a Request. Serial numbers the permits of a key, from 1. Askers is the number of
// VMs that asked for permits of the key lately. Unbounded means that the bound has ended: no
// permit is needed.
type Reply struct {
	Granted   bool          `cbor:"1,keyasint,omitempty"`
	Unbounded bool          `cbor:"2,keyasint,omitempty"`
	Serial    uint64        `cbor:"3,keyasint,omitempty"`
	Wait      time.Duration `cbor:"4,keyasint,omitempty"`
	Askers    int           `cbor:"5,keyasint,omitempty"`
}

// Observation is what the answer to a request with a permit says of the bound; Serial is 0 for a
// request that was sent without one. That an answer names no bound counts only if an answer of
// the same kind has named one.
type Observation struct {
	Key     string  `cbor:"1,keyasint"`
	Serial  uint64  `cbor:"2,keyasint,omitempty"`
	Kind    string  `cbor:"3,keyasint,omitempty"`
	Bounded bool    `cbor:"4,keyasint,omitempty"`
	Rate    float64 `cbor:"5,keyasint,omitempty"`
	// Place means that the request has a place. Ended releases the place, Served means that the server ran the
	// request, and Refused that the server was full.
	Place   bool `cbor:"6,keyasint,omitempty"`
	Ended   bool `cbor:"7,keyasint,omitempty"`
	Served  bool `cbor:"8,keyasint,omitempty"`
	Refused bool `cbor:"9,keyasint,omitempty"`
	// Unused returns a permit: what it was taken for was not done.
	Unused bool `cbor:"10,keyasint,omitempty"`
}

// Issuer issues the permits of the keys whose issuer this VM is. It is safe for concurrent use.
type Issuer struct {
	now func() time.Time

	mu       sync.Mutex
	buckets  map[string]*bucket
	places   map[string]*places
	expireAt time.Time
}

// bucket is the token bucket of one key.
type bucket struct {
	rate      float64 // Permits a second.
	tokens    float64
	updatedAt time.Time
	askedAt   map[string]time.Time // By VM.
	denied    time.Time            // The latest time at which a denied VM is to ask again.
	serial    uint64               // Of the last permit.
	kinds     map[string]bool      // The kinds of answers that have named the bound.
	unnamed   int                  // Permits in a row whose answers did not name it.
	unbounded bool
}

// NewIssuer returns an Issuer without keys.
func NewIssuer(now func() time.Time) *Issuer {
	return &Issuer{now: now, buckets: map[string]*bucket{}, places: map[string]*places{}}
}

// Take takes a permit from the bucket of a key.
func (i *Issuer) Take(request Request) Reply {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	if request.Places > 0 {
		return i.takePlace(request, now)
	}
	_, known := i.buckets[request.Key]
	b := i.bucket(request.Key, request.Rate, now)
	if request.Fresh && !known {
		b.tokens = 1
	}
	if b.unbounded {
		return Reply{Unbounded: true}
	}
	b.refill(now)
	mayTake := b.tokens >= 1
	switch {
	case request.Preventive:
		mayTake = b.tokens >= b.capacity() && now.Sub(b.denied) > preventiveAfter
	case request.Urgent:
		mayTake = b.tokens >= 1-b.debt()
	}
	if !request.Preventive {
		b.askedAt[request.VM] = now
	}
	reply := Reply{Askers: b.askers(now)}
	switch {
	case mayTake:
		b.tokens--
		b.serial++
		reply.Granted, reply.Serial = true, b.serial
	case request.Preventive:
		reply.Wait = max(b.interval(), preventiveAfter)
	default:
		reply.Wait = b.wait(now)
	}
	return reply
}

// Observe applies what an answer says of a bound.
func (i *Issuer) Observe(o Observation) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	if o.Place {
		i.observePlace(o, now)
		return
	}
	b := i.buckets[o.Key]
	switch {
	case o.Unused:
		if b != nil {
			b.refill(now)
			b.tokens = min(b.tokens+1, b.capacity())
		}
	case o.Bounded:
		if b == nil {
			b = i.bucket(o.Key, o.Rate, now)
		}
		b.refill(now)
		if b.unbounded {
			b.unbounded, b.tokens = false, 0
		}
		b.rate = max(o.Rate, minRate)
		b.tokens = min(b.tokens, b.capacity())
		b.kinds[o.Kind] = true
		b.unnamed = 0
	case b != nil && o.Serial > 0 && (b.kinds[o.Kind] || len(b.kinds) == 0):
		b.unnamed++
		b.unbounded = b.unnamed >= b.unboundedAfter()
	}
}

func (b *bucket) unboundedAfter() int {
	if len(b.kinds) == 0 {
		return unboundedAfterChange
	}
	return unboundedAfter
}

// bucket returns the bucket of a key, and creates an empty one if there is none.
func (i *Issuer) bucket(key string, rate float64, now time.Time) *bucket {
	i.expire(now)
	b := i.buckets[key]
	if b == nil {
		b = &bucket{rate: max(rate, minRate), updatedAt: now, askedAt: map[string]time.Time{}, kinds: map[string]bool{}}
		i.buckets[key] = b
	}
	return b
}

// expire removes the keys that were not used lately.
func (i *Issuer) expire(now time.Time) {
	if now.Before(i.expireAt) {
		return
	}
	i.expireAt = now.Add(expiryInterval)
	maps.DeleteFunc(i.buckets, func(_ string, b *bucket) bool { return now.Sub(b.updatedAt) > retention })
	maps.DeleteFunc(i.places, func(_ string, p *places) bool { return now.Sub(p.usedAt) > retention })
}

func (b *bucket) capacity() float64 {
	return 1 + b.rate*burstTime.Seconds()
}

func (b *bucket) debt() float64 {
	return 1 + b.rate*debtTime.Seconds()
}

func (b *bucket) refill(now time.Time) {
	b.tokens = min(b.capacity(), b.tokens+b.rate*max(now.Sub(b.updatedAt), 0).Seconds())
	b.updatedAt = now
}

func (b *bucket) askers(now time.Time) int {
	maps.DeleteFunc(b.askedAt, func(_ string, at time.Time) bool { return now.Sub(at) > askerWindow })
	return len(b.askedAt)
}

// interval is the time in which one token is added.
func (b *bucket) interval() time.Duration {
	return time.Duration(float64(time.Second) / b.rate)
}

// wait returns the time after which a VM that is denied is to ask again: when there is a token,
// after the VMs that were denied before it.
func (b *bucket) wait(now time.Time) time.Duration {
	ready := now.Add(time.Duration((1 - b.tokens) * float64(b.interval())))
	at := ready
	if next := b.denied.Add(b.interval()); b.denied.After(now) && next.After(at) {
		at = next
	}
	if latest := ready.Add(maxQueueWait); at.After(latest) {
		at = latest
	}
	b.denied = at
	return at.Sub(now)
}
