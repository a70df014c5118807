// Package copies is an index of the streams that run, and of the servers that hold copies of
// their memory. With it, the stream of a lost VM can continue at another VM without reading its
// prompt again.
//
// A copy key is made of what a request says, so equal requests of several callers share one. The
// index therefore records whose memory a copy is: the origin of a run is the id of the first
// attempt of its request. Once a key has had two origins, nobody can tell which of the callers
// returns, and the key is ambiguous: no copy is found for it until none of its runs has been
// recorded for the retention.
//
//	Put(k, origin 1, copy 1)   Find(k) = origin 1, copy 1
//	Put(k, origin 2, copy 2)   Find(k) = none, for origin 1 too
//
// A caller that returns may name the origin of its stream. The index finds it then by that, also among
// equal requests, if the key is the one of the run: an origin that somebody else names finds nothing.
//
// A record also has the service and the version of the servers of its runs, as a stream goes on at servers
// of its version only. One whose runs had several before its caller received anything has none.
//
// # Usage
//
//	index := copies.New(copies.Options{Now: time.Now})
//	ambiguous := index.Put(copyKey, copies.Record{Origin: id, Version: version, Copy: relay.Copy{RunID: id, ServerID: server, Address: address}})
//	record, found := index.Find(copyKey)
//	record, found = index.FindOrigin(copyKey, id)
package copies

import (
	"sync"
	"time"

	"github.com/endivespoke/endivespoke/internal/request/relay"
)

const (
	// Retention is how long an entry is kept. It exceeds the longest permitted
	// duration of a stream.
	Retention = 30 * time.Second
	// maxEntries bounds the entries. An entry takes some 400 bytes.
	maxEntries = 100_000
	// minCompaction is the number of outdated stamps from which on they are removed.
	minCompaction = 1024
)

// Options configures a Copies.
type Options struct {
	Now func() time.Time
}

// Record is what is known of the runs with one copy key. Copy is zero if no server holds a copy.
// An Ambiguous record is of a key that several requests have; without an Origin it is of the key only.
// Version is that of the servers of Service that the runs were sent to, "" if it is not known. A record
// ByOriginOnly is of a key that many requests may have, and is found by its origin only.
type Record struct {
	Origin    string
	Copy      relay.Copy
	Service   string
	Version   string
	Ambiguous bool

	ByOriginOnly bool
}

// Copies is safe for concurrent use.
type Copies struct {
	options Options

	mu      sync.Mutex
	origins origins
	byKey   map[string]entry
	// stamps are the puts in order of time, and so in order of expiry. That of an entry which
	// was put again later is outdated. The stamps before first have expired.
	stamps []stamp
	first  int
	// lostUntil is until when an entry may be missing that was removed for lack of space.
	lostUntil time.Time
	changes   int // Number of entries put or withdrawn so far.
}

type entry struct {
	Record
	expiresAt time.Time
	serial    int // Of its stamp.
}

type stamp struct {
	key    string
	serial int
}

// New returns an empty Copies.
func New(options Options) *Copies {
	return &Copies{options: options, byKey: map[string]entry{}, origins: origins{byID: map[string]originEntry{}}}
}

// Put records a run and the newest copy of its memory. It reports whether the key is ambiguous.
func (c *Copies) Put(copyKey string, record Record) (ambiguous bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.put(copyKey, record, true)
}

// PutOlder records what may be older than what is known: a copy of the same request that is known
// already is kept.
func (c *Copies) PutOlder(copyKey string, record Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.put(copyKey, record, false)
}

func (c *Copies) put(copyKey string, record Record, isNewest bool) (ambiguous bool) {
	now := c.options.Now()
	c.expire(now)
	c.origins.put(copyKey, record, isNewest, now)
	if record.ByOriginOnly {
		c.changes++
		return false
	}
	known, found := c.byKey[copyKey]
	switch {
	case found && (known.Ambiguous || record.Ambiguous || known.Origin != record.Origin):
		record = Record{Ambiguous: true}
	case found && !isNewest:
		record = known.Record
	}
	c.changes++
	c.byKey[copyKey] = entry{Record: record, expiresAt: now.Add(Retention), serial: c.changes}
	c.stamps = append(c.stamps, stamp{key: copyKey, serial: c.changes})
	return record.Ambiguous
}

// expire removes the entries whose time is over, and the oldest ones if there are too many.
func (c *Copies) expire(now time.Time) {
	for c.first < len(c.stamps) {
		oldest := c.stamps[c.first]
		e, found := c.byKey[oldest.key]
		if found && e.serial == oldest.serial {
			if !now.After(e.expiresAt) {
				if len(c.byKey) < maxEntries {
					break
				}
				c.lostUntil = e.expiresAt
			}
			delete(c.byKey, oldest.key)
		}
		c.stamps[c.first] = stamp{}
		c.first++
	}
	if c.first >= minCompaction && c.first >= len(c.stamps)/2 {
		c.stamps = append([]stamp(nil), c.stamps[c.first:]...)
		c.first = 0
	}
}

// Withdraw removes a run whose caller has received nothing of it, and so can't return for the
// rest. An ambiguous key stays so.
func (c *Copies) Withdraw(copyKey, origin string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.origins.withdraw(copyKey, origin)
	if e, found := c.byKey[copyKey]; found && !e.Ambiguous && e.Origin == origin {
		delete(c.byKey, copyKey)
		c.changes++
	}
}

// Complete records that a request's caller has received its whole stream. A caller that returns with
// the key is another one, whose runs this VM may not know.
func (c *Copies) Complete(copyKey, origin string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, found := c.byKey[copyKey]; found && e.Origin == origin {
		e.Record = Record{Ambiguous: true}
		c.byKey[copyKey] = e
		c.changes++
	}
}

// Origins returns the records of the origins that were put within the given duration, the newest first,
// and at most as many as the limit.
func (c *Copies) Origins(within time.Duration, limit int) []Located {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.origins.newest(c.options.Now().Add(Retention-within), limit)
}

// FindOrigin returns the record of the runs with a key whose request began with the attempt origin.
func (c *Copies) FindOrigin(copyKey, origin string) (record Record, found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.origins.find(copyKey, origin, c.options.Now())
}

// Newest returns the records that were put within the given duration, the newest ones if
// there are more than the limit, and a number that grows with each change.
func (c *Copies) Newest(within time.Duration, limit int) (byKey map[string]Record, changes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	oldest := c.options.Now().Add(Retention - within) // Expiry of an entry that was put that long ago.
	byKey = map[string]Record{}
	for i := len(c.stamps) - 1; i >= c.first && len(byKey) < limit; i-- {
		e, found := c.byKey[c.stamps[i].key]
		if !found || e.serial != c.stamps[i].serial {
			continue
		}
		if !e.expiresAt.After(oldest) {
			break
		}
		byKey[c.stamps[i].key] = e.Record
	}
	return byKey, c.changes
}

// Known returns what is known of the runs with a key.
func (c *Copies) Known(copyKey string) (record Record, found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, found := c.byKey[copyKey]
	if !found || c.options.Now().After(e.expiresAt) {
		return Record{}, false
	}
	return e.Record, true
}

// Find returns the record of the only request with a key. While entries are missing for lack of
// space, another request with the key may be among them, and nothing is found.
func (c *Copies) Find(copyKey string) (record Record, found bool) {
	record, found = c.Known(copyKey)
	if !found || record.Ambiguous || c.isIncomplete() {
		return Record{}, false
	}
	return record, true
}

func (c *Copies) isIncomplete() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.options.Now().Before(c.lostUntil)
}
