package budget_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/endivespoke/endivespoke/internal/lab/property"
	"github.com/endivespoke/endivespoke/internal/request/budget"
)

func init() { property.Fix() }

// TestBudgetBoundsRepeats shows that whatever the order, repeats never exceed
// the part of the first tries plus the reserve.
func TestBudgetBoundsRepeats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := budget.Options{Part: rapid.Float64Range(0.01, 0.5).Draw(t, "part"), Reserve: float64(rapid.IntRange(1, 20).Draw(t, "reserve"))}
		b := budget.New(options)
		first, repeats := 0, 0
		for _, spend := range rapid.SliceOfN(rapid.Bool(), 0, 300).Draw(t, "moves") {
			if !spend {
				b.Earn()
				first++
			} else if b.Spend() {
				repeats++
			}
			property.Assert(t, float64(repeats) <= options.Part*float64(first)+options.Reserve+1e-6, qt.IsTrue)
		}
	})
}
