// Package budget bounds repeated work, so that failures don't multiply load.
//
// # Usage
//
//	retries := budget.New(budget.Options{Part: 0.1, Reserve: 10})
//	retries.Earn()          // for each first try
//	if retries.Spend() {    // before each repeated one
//		...
//	}
//
// It is a token bucket that first tries fill: over any longer time at most Part
// of them may be repeated, plus Reserve at once.
package budget

import "sync"

// Options shapes a Budget.
type Options struct {
	Part    float64
	Reserve float64
}

// Budget is safe for concurrent use.
type Budget struct {
	options Options

	mu     sync.Mutex
	tokens float64
}

// New makes a budget that starts with its reserve.
func New(options Options) *Budget {
	return &Budget{options: options, tokens: options.Reserve}
}

// Earn counts a first try.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.options.Part, b.options.Reserve)
}

// Spend takes room for one repeated try and reports whether there was any.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
