package entry

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestReloadAppliesChangeableSettings(t *testing.T) {
	g := newServerListRig(t)
	next := *g.vm.settings.Load()
	next.Seeds = []string{"10.0.0.9:1"}
	next.Grace = 9 * time.Second
	next.MaxLocateTTL = 300 * time.Millisecond
	next.CallerAddress = "10.0.0.1:9"
	next.RetryFraction = 0.1
	applied, fromNextStart := g.vm.Reload(context.Background(), next)
	qt.Assert(t, applied, qt.DeepEquals, []string{"seeds", "grace", "maxLocateLife"})
	qt.Assert(t, fromNextStart, qt.DeepEquals, []string{"callerAddress", "repeats"})
	current := g.vm.settings.Load()
	qt.Assert(t, current.Grace, qt.Equals, 9*time.Second)
	qt.Assert(t, current.CallerAddress, qt.Equals, "")
	qt.Assert(t, g.vm.LocateTTL(), qt.Equals, 300*time.Millisecond)
	applied, _ = g.vm.Reload(context.Background(), next)
	qt.Assert(t, applied, qt.HasLen, 0)
}
