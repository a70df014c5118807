package control

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/peer/wire"
)

// TestNewestContentIsBlockedWhenTheListIsFull guards against a crashing content that is never blocked.
func TestNewestContentIsBlockedWhenTheListIsFull(t *testing.T) {
	s := &state{blocked: map[string]time.Time{}}
	for i := range maxBlocked + 2 {
		s.block(wire.BlockedContent{ContentHash: fmt.Sprint("content ", i), Until: time.Unix(int64(i), 0)})
	}
	qt.Check(t, s.blocked, qt.HasLen, maxBlocked)
	for i, blocked := range map[int]bool{0: false, 1: false, 2: true, maxBlocked: true, maxBlocked + 1: true} {
		_, found := s.blocked[fmt.Sprint("content ", i)]
		qt.Check(t, found, qt.Equals, blocked, qt.Commentf("content %d", i))
	}
	s.block(wire.BlockedContent{ContentHash: "content 9", Until: time.Unix(1, 0)})
	qt.Check(t, s.blocked["content 9"], qt.Equals, time.Unix(9, 0), qt.Commentf("an older report shortens no block"))
}
