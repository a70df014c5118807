package measurement_test

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/lab/golden"
	"github.com/endivespoke/endivespoke/internal/lab/measurement"
)

func TestComparisonGolden(t *testing.T) {
	before := measurement.Run{Site: "north", Reason: "as it was", Days: []measurement.Day{
		{Name: "quiet", Worth: 0.9, Served: 0.99, Prices: 0.04},
		{Name: "loss", Worth: 0.5, Served: 0.8, Failed: 0.1},
		{Name: "drawn", Worth: 0.4},
	}}
	after := measurement.Run{Site: "north", Reason: "with copies", Days: []measurement.Day{
		{Name: "loss", Worth: 0.7, Served: 0.9, Failed: 0.05, BrokenRules: []string{"DRAIN"}},
		{Name: "quiet", Worth: 0.88, Served: 0.99, Prices: 0.05, AbortReason: "too slow"},
	}}
	table := bytes.Buffer{}
	qt.Assert(t, measurement.WriteComparison(&table, before, after), qt.IsNil)
	golden.Compare(t, "testdata/comparison.golden", table.String())
}

func TestRunsThatCannotBeComparedAreAnError(t *testing.T) {
	day := []measurement.Day{{Name: "quiet"}}
	err := measurement.WriteComparison(&bytes.Buffer{}, measurement.Run{Site: "north", Days: day}, measurement.Run{Site: "south", Days: day})
	qt.Assert(t, err, qt.ErrorMatches, "the runs are of different sites, north and south")
	err = measurement.WriteComparison(&bytes.Buffer{}, measurement.Run{Days: day}, measurement.Run{Days: []measurement.Day{{Name: "loss"}}})
	qt.Assert(t, err, qt.ErrorMatches, "the runs have no day in common")
}
