package event_test

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/node/event"
)

// TestCatalogue compares docs/EVENTS.md with the events of the code.
func TestCatalogue(t *testing.T) {
	page, err := os.ReadFile("../../../docs/EVENTS.md")
	qt.Assert(t, err, qt.IsNil)
	documented := []string{}
	for _, row := range regexp.MustCompile(`(?m)^\| (\d+) \| ([^|]+) \|`).FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, row[1]+" "+row[2])
	}
	defined := []string{}
	for _, e := range event.All() {
		defined = append(defined, fmt.Sprintf("%d %s", e.Number, e.Text))
	}
	qt.Assert(t, documented, qt.DeepEquals, defined)
}
