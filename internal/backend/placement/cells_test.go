package placement_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/endivespoke/endivespoke/internal/backend/placement"
	"github.com/endivespoke/endivespoke/internal/lab/property"
)

func TestSmallFleetsAreOneCell(t *testing.T) {
	for vms, cells := range map[int]int{0: 1, 1: 1, 9: 1, 47: 1, 48: 2, 64: 2, 91: 3, 430: 13} {
		qt.Check(t, placement.CellCount(vms), qt.Equals, cells, qt.Commentf("%d VMs", vms))
	}
}

// TestCellsAreEvenAndStable: cells differ by one member at most, and one member that is
// added moves at most one other between two cells.
func TestCellsAreEvenAndStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size, count := rapid.IntRange(1, 80).Draw(t, "size"), rapid.IntRange(1, 8).Draw(t, "count")
		group := []string{}
		for i := range size {
			group = append(group, fmt.Sprintf("10.%d.0.%d:80", rapid.IntRange(0, 3).Draw(t, "net"), i))
		}
		cells := placement.Cells(group, count)
		sizes := make([]int, count)
		for _, cell := range cells {
			sizes[cell]++
		}
		for _, size := range sizes {
			property.Assert(t, size >= len(group)/count && size <= (len(group)+count-1)/count, qt.IsTrue, qt.Commentf("%v", sizes))
		}
		after := placement.Cells(append(group, "10.9.0.1:80"), count)
		moved := make([]int, count+1)
		for member, cell := range cells {
			if after[member] != cell {
				moved[min(after[member], cell)]++
			}
		}
		for boundary, members := range moved {
			property.Assert(t, members <= 1, qt.IsTrue, qt.Commentf("%d members moved between cells %d and %d", members, boundary, boundary+1))
		}
	})
}
