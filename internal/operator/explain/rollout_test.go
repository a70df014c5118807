package explain_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/lab/golden"
	"github.com/endivespoke/endivespoke/internal/operator/explain"
)

// rolloutLog is a log of three VMs, of which vm-1 coordinates.
const rolloutLog = `
00 vm-1 901 "service":"desk","to":"v2","durationMillis":40000,"revision":5,"era":1,"from":"store"
01 vm-1 907 "service":"desk","to":"v2","foundStage":"","knownStage":""
02 vm-1 904 "service":"desk","to":"v2","stage":"canary","serial":1,"reason":"ordered"
05 vm-1 905 "service":"desk","to":"v2","reason":"no difference","serial":4
10 vm-1 901 "service":"desk","to":"v3","durationMillis":40000,"revision":9,"era":1,"from":"store"
11 vm-2 901 "service":"desk","to":"v3","durationMillis":40000,"revision":9,"era":1,"from":"peer"
11 vm-3 901 "service":"desk","to":"v3","durationMillis":40000,"revision":9,"era":1,"from":"peer"
11 vm-1 901 "service":"other","to":"v7","durationMillis":40000,"revision":8,"era":1,"from":"store"
12 vm-1 907 "service":"desk","to":"v3","foundStage":"completed","knownStage":""
13 vm-1 904 "service":"desk","to":"v3","stage":"canary","serial":1,"reason":"ordered"
`

const rolledBackLog = `20 vm-3 909 "service":"desk","revision":9,"era":1
21 vm-1 908 "service":"desk","to":"v3","stage":"rolledBack","serial":2,"isKnown":false,"error":"no answer"
21 vm-1 906 "service":"desk","to":"v3","reason":"route book: 6 of 20 failed, 0 of 180 of the old version","serial":2
22 vm-2 906 "service":"desk","to":"v3","reason":"route book: 6 of 20 failed, 0 of 180 of the old version","serial":2
23 vm-1 904 "service":"desk","to":"v3","stage":"rolledBack","serial":2,"reason":"route book: 6 of 20 failed, 0 of 180 of the old version"
`

// logOf returns the lines of a short form, SECOND VM EVENT FIELDS, as VMs log them.
func logOf(short string) string {
	text := strings.Builder{}
	for line := range strings.Lines(strings.TrimSpace(short)) {
		parts := strings.SplitN(strings.TrimSpace(line), " ", 4)
		fmt.Fprintf(&text, `{"@timestamp":"2026-12-04T12:00:%sZ","@message":"text","vm":%q,"event":%s,%s}`+"\n", parts[0], parts[1], parts[2], parts[3])
	}
	return text.String()
}

func TestGoldenRollout(t *testing.T) {
	found, err := explain.ReadRollout(strings.NewReader(logOf(rolloutLog+rolledBackLog)), "desk")
	qt.Assert(t, err, qt.IsNil)
	text := strings.Builder{}
	qt.Assert(t, found.Print(&text), qt.IsNil)
	golden.Compare(t, "testdata/rollout.golden", text.String())
}

func TestCauseOfARolloutsState(t *testing.T) {
	for _, c := range []struct{ more, want string }{
		{"", "version v3 is in stage canary: ordered"},
		{`30 vm-1 908 "service":"desk","stage":"load","error":"away"`, "version v3 is in stage canary: ordered; stage load could not be written since: away"},
		{`30 vm-1 905 "service":"desk","to":"v3","reason":"no difference"`, "version v3 is completed: no difference"},
		{`30 vm-1 903 "service":"desk","to":"v3","revision":12,"era":1`, "its order was removed, or replaced by one that can't be read"},
		{`30 vm-1 902 "service":"desk","key":"rollout/desk","revision":12`, "its order in row rollout/desk can't be read"},
		{`30 vm-1 901 "service":"desk","to":"v4","revision":12,"era":1`, "no VM has written a state"},
		{`30 vm-1 901 "service":"desk","to":"v4","revision":2,"era":2`, "no VM has written a state"},
	} {
		found, err := explain.ReadRollout(strings.NewReader(logOf(rolloutLog+c.more)), "desk")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, found.Cause, qt.Equals, c.want)
	}
	_, err := explain.ReadRollout(strings.NewReader(logOf(rolloutLog)), "none")
	qt.Check(t, err, qt.ErrorMatches, ".*none.*")
}
