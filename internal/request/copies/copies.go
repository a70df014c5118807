// Package copies remembers which server holds the copy of a stream's memory, so
// that the stream of a VM that was lost can go on at another VM without reading
// its prompt again.
//
// # Usage
//
//	known := copies.New(copies.Options{Now: time.Now})
//	known.Put(copyKey, relay.Copy{RunID: id, ServerID: server, Address: address})
//	copied, found := known.Find(copyKey)
package copies

import (
	"slices"
	"sync"
	"time"

	"github.com/endivespoke/endivespoke/internal/request/relay"
)

const (
	// kept is how long a copy is remembered: longer than any stream may last.
	kept = 30 * time.Second
	// maxCopies bounds them.
	maxCopies = 20_000
)

// Options shapes a Copies.
type Options struct {
	Now func() time.Time
}

// Copies is safe for concurrent use.
type Copies struct {
	options Options

	mu      sync.Mutex
	byKey   map[string]entry
	sweeps  time.Time
	changes int
}

type entry struct {
	relay.Copy
	until time.Time
}

// New makes an empty Copies.
func New(options Options) *Copies {
	return &Copies{options: options, byKey: map[string]entry{}}
}

// Put remembers the newest copy of a request's memory.
func (c *Copies) Put(copyKey string, copied relay.Copy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.put(copyKey, copied)
}

func (c *Copies) put(copyKey string, copied relay.Copy) {
	now := c.options.Now()
	if now.After(c.sweeps) || len(c.byKey) >= maxCopies {
		c.sweep(now)
	}
	c.byKey[copyKey] = entry{Copy: copied, until: now.Add(kept)}
	c.changes++
}

// Fill remembers a copy that may be outdated, unless one is known for the request.
func (c *Copies) Fill(copyKey string, copied relay.Copy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, found := c.byKey[copyKey]; !found {
		c.put(copyKey, copied)
	}
}

// Newest gives the copies that were put within some time, at most so many, and a
// number that grows with each change.
func (c *Copies) Newest(within time.Duration, most int) (byKey map[string]relay.Copy, changes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	oldest := c.options.Now().Add(kept - within) // The deadline of one that was put then.
	keys := []string{}
	for key, e := range c.byKey {
		if e.until.After(oldest) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b string) int { return c.byKey[b].until.Compare(c.byKey[a].until) })
	byKey = map[string]relay.Copy{}
	for _, key := range keys[:min(most, len(keys))] {
		byKey[key] = c.byKey[key].Copy
	}
	return byKey, c.changes
}

func (c *Copies) sweep(now time.Time) {
	c.sweeps = now.Add(kept)
	for key, e := range c.byKey {
		if now.After(e.until) || len(c.byKey) >= maxCopies {
			delete(c.byKey, key)
		}
	}
}

// Find gives the newest copy of a request's memory.
func (c *Copies) Find(copyKey string) (copied relay.Copy, found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, found := c.byKey[copyKey]
	if !found || c.options.Now().After(e.until) {
		return relay.Copy{}, false
	}
	return e.Copy, true
}
