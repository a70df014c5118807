package budget_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/endivespoke/endivespoke/internal/lab/property"
	"github.com/endivespoke/endivespoke/internal/request/budget"
)

func init() { property.FixSeed() }

// TestBudgetBoundsRetries checks that in any order of deposits and withdrawals, the
// retries never exceed the ratio of the first attempts plus the burst.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := budget.Options{Ratio: rapid.Float64Range(0.01, 0.5).Draw(t, "ratio"), Burst: float64(rapid.IntRange(1, 20).Draw(t, "burst"))}
		b := budget.New(options)
		first, retries := 0, 0
		for _, withdraw := range rapid.SliceOfN(rapid.Bool(), 0, 300).Draw(t, "withdrawals") {
			if !withdraw {
				b.Deposit()
				first++
			} else if b.Withdraw() {
				retries++
			}
			property.Assert(t, float64(retries) <= options.Ratio*float64(first)+options.Burst+1e-6, qt.IsTrue)
		}
	})
}
