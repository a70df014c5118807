package explain_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/operator/explain"
)

// TestRefusedRequestShowsLinesOfItsContent checks that the context of a refused request
// has the lines on its content of other VMs, also those from before the context window, and
// none on another content.
func TestRefusedRequestShowsLinesOfItsContent(t *testing.T) {
	const logs = `{"@timestamp":"2026-12-04T12:00:01Z","@message":"held","vm":"vm-1","event":711,"content":"c","server":"s1"}
{"@timestamp":"2026-12-04T12:00:02Z","@message":"held","vm":"vm-2","event":711,"content":"other","server":"s1"}
{"@timestamp":"2026-12-04T12:00:03Z","@message":"refused","vm":"vm-2","event":710,"content":"c","servers":3}
{"@timestamp":"2026-12-04T12:00:09Z","@message":"ended","vm":"vm-3","event":701,"request":"r1","content":"c","outcome":"notRun","reason":"not run: it crashes the servers that run it","millis":1}
`
	found, err := explain.Read(strings.NewReader(logs), "r1")
	qt.Assert(t, err, qt.IsNil)
	texts := []string{}
	for _, line := range found.Context {
		texts = append(texts, line.VM+" "+line.Text)
	}
	qt.Check(t, texts, qt.DeepEquals, []string{"vm-1 held", "vm-2 refused"})
	qt.Check(t, found.Cause, qt.Contains, "crashes the servers")
}

func TestRestoreOfTheStoreIsShownWithItsEras(t *testing.T) {
	const logs = `{"@timestamp":"2026-12-04T12:00:08Z","@message":"restored","vm":"vm-3","event":808,"era":2,"before":1,"version":15,"versionBefore":23}
{"@timestamp":"2026-12-04T12:00:08Z","@message":"restored","vm":"vm-4","event":808,"era":2,"before":1,"version":15,"versionBefore":23}
{"@timestamp":"2026-12-04T12:00:09Z","@message":"ended","vm":"vm-3","event":701,"request":"r1","outcome":"notRun","reason":"not run","millis":1,"serversVersion":15,"storeEra":2}
`
	found, err := explain.Read(strings.NewReader(logs), "r1")
	qt.Assert(t, err, qt.IsNil)
	text := strings.Builder{}
	qt.Assert(t, found.Print(&text), qt.IsNil)
	qt.Check(t, text.String(), qt.Contains, "vm-3                 808 restored before=1 era=2 version=15 versionBefore=23")
	qt.Check(t, text.String(), qt.Contains, "serversVersion=15 storeEra=2")
	qt.Check(t, text.String(), qt.Not(qt.Contains), "vm-4")
}

// TestLinesOnThePartsOfARefusedRequest has lines on a part of its prompt of other VMs, and none on
// another part.
func TestLinesOnThePartsOfARefusedRequest(t *testing.T) {
	const logs = `{"@timestamp":"2026-12-04T12:00:01Z","@message":"held","vm":"vm-1","event":711,"part":"dd","server":"s1"}
{"@timestamp":"2026-12-04T12:00:02Z","@message":"held","vm":"vm-2","event":711,"part":"ee","server":"s1"}
{"@timestamp":"2026-12-04T12:00:03Z","@message":"refused","vm":"vm-2","event":710,"part":"dd","servers":3}
{"@timestamp":"2026-12-04T12:00:04Z","@message":"tried","vm":"vm-2","event":714,"part":"dd"}
{"@timestamp":"2026-12-04T12:00:09Z","@message":"ended","vm":"vm-3","event":701,"request":"r1","content":"c","parts":["aa","dd"],"outcome":"notRun","reason":"not run: part dd of its prompt crashes the servers that run it","millis":1}
`
	found, err := explain.Read(strings.NewReader(logs), "r1")
	qt.Assert(t, err, qt.IsNil)
	events := []int{}
	for _, line := range found.Context {
		events = append(events, line.Event)
	}
	qt.Check(t, events, qt.DeepEquals, []int{711, 710, 714})
	qt.Check(t, strings.Contains(found.Cause, "part dd of its prompt crashes the servers"), qt.IsTrue, qt.Commentf("%s", found.Cause))
}
