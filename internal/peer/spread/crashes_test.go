package spread_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
)

// inTouch is the shortest time after which a VM that was cut off must know what others know.
const inTouch = 3 * time.Second

// TestVMThatWasCutOffHearsOfCrashes has VMs of two cells see a server end each, while one VM
// is cut off. It gets no more notes of that once it is back.
func TestVMThatWasCutOffHearsOfCrashes(t *testing.T) {
	n := newNetwork()
	vms := fleet(t, n, 50)
	qt.Assert(t, vms[0].Snapshot().Cells, qt.Equals, 2)
	cut := vms[7]
	n.setCut(cut.address, true)
	for i, v := range vms[10:14] {
		v.crashes.Terminated("c", pool.Server{ID: fmt.Sprint("server ", i), FailureDomain: fmt.Sprint(i)}, time.Now())
		time.Sleep(20 * time.Millisecond)
	}
	refuses := func(v *vm) bool { _, refused := v.crashes.BlockedUntil("c"); return refused }
	within(t, inTouch, "all others refuse it", func() bool {
		for _, v := range vms {
			if v != cut && !refuses(v) {
				return false
			}
		}
		return true
	})
	qt.Assert(t, refuses(cut), qt.IsFalse)
	n.setCut(cut.address, false)
	within(t, inTouch, "the VM that was cut off refuses it", func() bool { return refuses(cut) })

	vms[20].crashes.Completed("c")
	within(t, inTouch, "all hold the same", func() bool {
		for _, v := range vms {
			if refuses(v) || v.crashes.Digest() != vms[20].crashes.Digest() {
				return false
			}
		}
		return true
	})
}
