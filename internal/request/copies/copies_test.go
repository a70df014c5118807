package copies_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/request/copies"
	"github.com/endivespoke/endivespoke/internal/request/relay"
)

func TestNewestReturnsTheLastPut(t *testing.T) {
	now := time.Unix(1000, 0)
	index := copies.New(copies.Options{Now: func() time.Time { return now }})
	for i := range 10 {
		index.Put(fmt.Sprint("p", i), relay.Copy{RunID: fmt.Sprint("r", i)})
		now = now.Add(time.Second)
	}
	newest, changes := index.Newest(6500*time.Millisecond, 3)
	qt.Assert(t, newest, qt.DeepEquals, map[string]relay.Copy{"p9": {RunID: "r9"}, "p8": {RunID: "r8"}, "p7": {RunID: "r7"}})
	all, again := index.Newest(6500*time.Millisecond, 100)
	qt.Assert(t, all, qt.HasLen, 6)
	qt.Assert(t, again, qt.Equals, changes)
	index.Put("p9", relay.Copy{RunID: "r10"})
	_, again = index.Newest(6500*time.Millisecond, 100)
	qt.Assert(t, again, qt.Not(qt.Equals), changes)
}

func TestPutIfAbsentKeepsTheStoredCopy(t *testing.T) {
	index := copies.New(copies.Options{Now: time.Now})
	index.Put("p", relay.Copy{RunID: "new"})
	index.PutIfAbsent("p", relay.Copy{RunID: "old"})
	index.PutIfAbsent("q", relay.Copy{RunID: "other"})
	copied, _ := index.Find("p")
	qt.Assert(t, copied.RunID, qt.Equals, "new")
	copied, _ = index.Find("q")
	qt.Assert(t, copied.RunID, qt.Equals, "other")
}
