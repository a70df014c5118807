package spread_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
)

// TestBackoffsReachAllVMs guards against a VM of another cell that sends requests meanwhile.
func TestBackoffsReachAllVMs(t *testing.T) {
	for _, count := range []int{3, 64} {
		vms := fleet(t, newNetwork(), count)
		vms[0].AnnounceBackoff(pool.Backoff{ServerID: "a", Millis: 1000})
		waitFor(t, 2*time.Second, "all VMs are told", func() bool {
			for _, v := range vms[1:] {
				if _, told := v.backoffs.Load("a"); !told {
					return false
				}
			}
			return true
		})
		_, told := vms[0].backoffs.Load("a")
		qt.Check(t, told, qt.IsFalse, qt.Commentf("it knows it"))
	}
}
