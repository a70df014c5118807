package spread_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/request/admission"
)

// TestWaitingStreamsAreReportedWithTheLoads: peers receive what waits, and that nothing does any
// more.
func TestWaitingStreamsAreReportedWithTheLoads(t *testing.T) {
	vms := fleet(t, newNetwork(), 2)
	report := admission.Report{Service: "llm", Waiting: []admission.WaitingTokens{{Rank: 2, Account: "a", Tokens: 6200, MeanAgeMillis: 40}}, Held: []admission.AccountTokens{{Account: "a", Tokens: 12_400}}}
	reported := func() []admission.Report {
		received, found := vms[1].waitsElsewhere.Load(vms[0].Snapshot().Self.ID)
		if !found {
			return nil
		}
		return received.([]admission.Report)
	}
	vms[0].waits.Store(&report)
	vms[0].AnnounceLoadsLater()
	waitFor(t, 2*time.Second, "the peer has the report", func() bool { return len(reported()) > 0 })
	qt.Check(t, reported(), qt.DeepEquals, []admission.Report{report})
	vms[0].waits.Store(nil)
	vms[0].AnnounceLoadsLater()
	waitFor(t, 2*time.Second, "the peer knows that nothing waits", func() bool { return len(reported()) == 0 })
}
