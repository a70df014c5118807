package spread_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/request/crash"
)

// exchangeLimit is the time within which crash reports must reach a VM, also one that was partitioned.
const exchangeLimit = 3 * time.Second

// TestPartitionedVMReceivesCrashReports lets VMs of two cells each see a server terminate while one
// VM is partitioned. It missed the announcements, which are sent once, and has to get the reports
// by exchanges.
func TestPartitionedVMReceivesCrashReports(t *testing.T) {
	n := newNetwork()
	vms := fleet(t, n, 50)
	qt.Assert(t, vms[0].Snapshot().Cells, qt.Equals, 2)
	partitioned := vms[7]
	n.setPartitioned(partitioned.address, true)
	for i, v := range vms[10:14] {
		v.crashes.Terminated("c", pool.Server{ID: fmt.Sprint("server ", i), FailureDomain: fmt.Sprint(i)}, time.Now())
		time.Sleep(20 * time.Millisecond)
	}
	refuses := func(v *vm) bool { return v.crashes.Check("c").Decision == crash.Refuse }
	waitFor(t, exchangeLimit, "all others refuse the content", func() bool {
		for _, v := range vms {
			if v != partitioned && !refuses(v) {
				return false
			}
		}
		return true
	})
	qt.Assert(t, refuses(partitioned), qt.IsFalse)
	n.setPartitioned(partitioned.address, false)
	waitFor(t, exchangeLimit, "the partitioned VM refuses the content", func() bool { return refuses(partitioned) })

	vms[20].crashes.Completed("c")
	waitFor(t, exchangeLimit, "all have the same reports", func() bool {
		for _, v := range vms {
			if refuses(v) || v.crashes.Digest() != vms[20].crashes.Digest() {
				return false
			}
		}
		return true
	})
}
