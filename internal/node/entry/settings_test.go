package entry

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestReloadTakesOverWhatMayChange(t *testing.T) {
	g := newListRig(t)
	next := *g.vm.settings.Load()
	next.Seeds = []string{"10.0.0.9:1"}
	next.Grace = 9 * time.Second
	next.MaxLocateTTL = 300 * time.Millisecond
	next.CallerAddress = "10.0.0.1:9"
	next.RetryFraction = 0.1
	taken, fromNextStart := g.vm.Reload(context.Background(), next)
	qt.Assert(t, taken, qt.DeepEquals, []string{"seeds", "grace", "maxLocateLife"})
	qt.Assert(t, fromNextStart, qt.DeepEquals, []string{"callerAddress", "repeats"})
	in := g.vm.settings.Load()
	qt.Assert(t, in.Grace, qt.Equals, 9*time.Second)
	qt.Assert(t, in.CallerAddress, qt.Equals, "")
	qt.Assert(t, g.vm.LocateTTL(), qt.Equals, 300*time.Millisecond)
	taken, _ = g.vm.Reload(context.Background(), next)
	qt.Assert(t, taken, qt.HasLen, 0)
}
