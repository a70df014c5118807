// Package budget limits retries, so that failures do not multiply load.
//
// # Usage
//
//	retries := budget.New(budget.Options{Ratio: 0.1, Burst: 10})
//	retries.Deposit()          // for each first attempt
//	if retries.Withdraw() {    // before each retry
//		...
//	}
//
// It is a token bucket that first attempts fill: in the long run there are at most
// Ratio retries for each first attempt, plus a burst of Burst.
package budget

import "sync"

// Options configures a Budget. Ratio is the number of tokens that a first attempt
// deposits, and Burst is the capacity of the bucket.
type Options struct {
	Ratio float64
	Burst float64
}

// Budget is safe for concurrent use.
type Budget struct {
	options Options

	mu     sync.Mutex
	tokens float64
}

// New returns a budget whose bucket is full.
func New(options Options) *Budget {
	return &Budget{options: options, tokens: options.Burst}
}

// Deposit counts a first attempt.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.options.Ratio, b.options.Burst)
}

// Withdraw takes the token of one retry and reports whether there was one.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
