// Package copies is an index of the servers that hold copies of streams' memory. With
// it, the stream of a lost VM can continue at another VM without reading its prompt
// again.
//
// # Usage
//
//	index := copies.New(copies.Options{Now: time.Now})
//	index.Put(copyKey, relay.Copy{RunID: id, ServerID: server, Address: address})
//	copied, found := index.Find(copyKey)
package copies

import (
	"slices"
	"sync"
	"time"

	"github.com/endivespoke/endivespoke/internal/request/relay"
)

const (
	// retention is how long an entry is kept. It exceeds the longest permitted
	// duration of a stream.
	retention = 30 * time.Second
	// maxCopies bounds the entries.
	maxCopies = 20_000
)

// Options configures a Copies.
type Options struct {
	Now func() time.Time
}

// Copies is safe for concurrent use.
type Copies struct {
	options Options

	mu      sync.Mutex
	byKey   map[string]entry
	sweepAt time.Time // When expired entries are next removed.
	changes int       // Number of entries put so far.
}

type entry struct {
	relay.Copy
	expiresAt time.Time
}

// New returns an empty Copies.
func New(options Options) *Copies {
	return &Copies{options: options, byKey: map[string]entry{}}
}

// Put stores the newest copy of a request's memory.
func (c *Copies) Put(copyKey string, copied relay.Copy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.put(copyKey, copied)
}

func (c *Copies) put(copyKey string, copied relay.Copy) {
	now := c.options.Now()
	if now.After(c.sweepAt) || len(c.byKey) >= maxCopies {
		c.sweep(now)
	}
	c.byKey[copyKey] = entry{Copy: copied, expiresAt: now.Add(retention)}
	c.changes++
}

// PutIfAbsent remembers a copy that may be outdated, unless one is known for the request.
func (c *Copies) PutIfAbsent(copyKey string, copied relay.Copy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, found := c.byKey[copyKey]; !found {
		c.put(copyKey, copied)
	}
}

// Newest returns the copies that were put within the given duration, the newest ones if
// there are more than the limit, and a number that grows with each change.
func (c *Copies) Newest(within time.Duration, limit int) (byKey map[string]relay.Copy, changes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	oldest := c.options.Now().Add(retention - within) // Expiry of an entry that was put that long ago.
	keys := []string{}
	for key, e := range c.byKey {
		if e.expiresAt.After(oldest) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b string) int { return c.byKey[b].expiresAt.Compare(c.byKey[a].expiresAt) })
	byKey = map[string]relay.Copy{}
	for _, key := range keys[:min(limit, len(keys))] {
		byKey[key] = c.byKey[key].Copy
	}
	return byKey, c.changes
}

// sweep removes expired entries, and others while there are too many.
func (c *Copies) sweep(now time.Time) {
	c.sweepAt = now.Add(retention)
	for key, e := range c.byKey {
		if now.After(e.expiresAt) || len(c.byKey) >= maxCopies {
			delete(c.byKey, key)
		}
	}
}

// Find returns the newest copy of a request's memory.
func (c *Copies) Find(copyKey string) (copied relay.Copy, found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, found := c.byKey[copyKey]
	if !found || c.options.Now().After(e.expiresAt) {
		return relay.Copy{}, false
	}
	return e.Copy, true
}
