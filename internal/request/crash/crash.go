// Package crash counts the backend servers that died when they began to run a
// content, so that a request which crashes servers is not sent to ever more.
//
// # Usage
//
//	counts := crash.New(crash.Options{Now: time.Now, Tell: spread.TellCrash})
//	counts.Note(content)
//	if counts.Condemned(content) { ... } // Refuse it, whatever VM saw the crashes.
package crash

import (
	"sync"
	"time"
)

const (
	// limit is how many servers may die with a content. The contract allows three
	// retries beyond the third crash, for VMs that have not heard of it.
	limit = 3
	// remembered is how long a content's crashes count. Callers send such requests
	// again within seconds.
	remembered = time.Minute
	// maxContents bounds the contents that are remembered.
	maxContents = 10_000
)

// Options shapes a Counts. Tell passes this VM's counts on to others, and OnCondemned is
// told of a content that is refused from now on.
type Options struct {
	Now         func() time.Time
	Tell        func(content string, count int)
	OnCondemned func(content string, count int)
}

// Counts is safe for concurrent use.
type Counts struct {
	options Options

	mu       sync.Mutex
	contents map[string]entry
}

type entry struct {
	count int
	until time.Time
}

// New makes an empty Counts.
func New(options Options) *Counts {
	if options.OnCondemned == nil {
		options.OnCondemned = func(string, int) {}
	}
	return &Counts{options: options, contents: map[string]entry{}}
}

// Note counts one more server that died with the content.
func (c *Counts) Note(content string) {
	c.options.Tell(content, c.raise(content, 0, 1))
}

// Heard takes in what another VM has counted.
func (c *Counts) Heard(content string, count int) {
	c.raise(content, count, 0)
}

// raise sets the count to at least the given one and adds to it.
func (c *Counts) raise(content string, atLeast, more int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	if len(c.contents) >= maxContents {
		c.contents = map[string]entry{} // Only lets a few more servers die.
	}
	known := c.contents[content]
	if now.After(known.until) {
		known = entry{}
	}
	before := known.count
	known.count = max(known.count, atLeast) + more
	if before < limit && known.count >= limit {
		c.options.OnCondemned(content, known.count)
	}
	known.until = now.Add(remembered)
	c.contents[content] = known
	return known.count
}

// Condemned reports whether the content may not be sent to a server any more.
func (c *Counts) Condemned(content string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.contents[content]
	return known.count >= limit && c.options.Now().Before(known.until)
}
