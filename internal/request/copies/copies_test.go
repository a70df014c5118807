package copies_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/request/copies"
	"github.com/endivespoke/endivespoke/internal/request/relay"
)

func TestNewestGivesTheLastPut(t *testing.T) {
	now := time.Unix(1000, 0)
	known := copies.New(copies.Options{Now: func() time.Time { return now }})
	for i := range 10 {
		known.Put(fmt.Sprint("p", i), relay.Copy{RunID: fmt.Sprint("r", i)})
		now = now.Add(time.Second)
	}
	newest, changes := known.Newest(6500*time.Millisecond, 3)
	qt.Assert(t, newest, qt.DeepEquals, map[string]relay.Copy{"p9": {RunID: "r9"}, "p8": {RunID: "r8"}, "p7": {RunID: "r7"}})
	all, again := known.Newest(6500*time.Millisecond, 100)
	qt.Assert(t, all, qt.HasLen, 6)
	qt.Assert(t, again, qt.Equals, changes)
	known.Put("p9", relay.Copy{RunID: "r10"})
	_, again = known.Newest(6500*time.Millisecond, 100)
	qt.Assert(t, again, qt.Not(qt.Equals), changes)
}

func TestFillKeepsWhatIsKnown(t *testing.T) {
	known := copies.New(copies.Options{Now: time.Now})
	known.Put("p", relay.Copy{RunID: "new"})
	known.Fill("p", relay.Copy{RunID: "old"})
	known.Fill("q", relay.Copy{RunID: "other"})
	copied, _ := known.Find("p")
	qt.Assert(t, copied.RunID, qt.Equals, "new")
	copied, _ = known.Find("q")
	qt.Assert(t, copied.RunID, qt.Equals, "other")
}
