package crash_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/request/crash"
)

// TestCrashesCountOverVMs has each of three VMs see one server die.
func TestCrashesCountOverVMs(t *testing.T) {
	now := time.Unix(0, 0)
	vms := make([]*crash.Counts, 3)
	for i := range vms {
		vms[i] = crash.New(crash.Options{
			Now: func() time.Time { return now },
			Tell: func(content string, count int) {
				for j, other := range vms {
					if j != i {
						other.Heard(content, count)
					}
				}
			},
		})
	}
	for _, vm := range vms {
		for _, other := range vms {
			qt.Assert(t, other.Condemned("c"), qt.IsFalse)
		}
		vm.Note("c")
	}
	for _, vm := range vms {
		qt.Assert(t, vm.Condemned("c"), qt.IsTrue)
		qt.Assert(t, vm.Condemned("other"), qt.IsFalse)
	}
	now = now.Add(2 * time.Minute)
	qt.Assert(t, vms[0].Condemned("c"), qt.IsFalse)
}
