package crash_test

import (
	"fmt"
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

// TestCrashesSeenAtOnceAddUp has three VMs see one server each die before they hear of the
// others.
func TestCrashesSeenAtOnceAddUp(t *testing.T) {
	now := time.Unix(0, 0)
	vms := make([]*crash.Counts, 3)
	waiting := []func(){}
	for i := range vms {
		vms[i] = crash.New(crash.Options{
			Now: func() time.Time { return now },
			Tell: func(content string, count int) {
				waiting = append(waiting, func() {
					for _, other := range vms {
						other.Heard(content, count)
					}
				})
			},
		})
	}
	for _, vm := range vms {
		vm.Note("c")
	}
	for _, deliver := range waiting {
		deliver()
	}
	for _, vm := range vms {
		qt.Check(t, vm.Condemned("c"), qt.IsTrue)
	}
}

// TestManyContentsDropNoCondemnedOne has one server die under more contents than are kept.
func TestManyContentsDropNoCondemnedOne(t *testing.T) {
	now := time.Unix(0, 0)
	vm := crash.New(crash.Options{Now: func() time.Time { return now }, Tell: func(string, int) {}})
	for range 3 {
		vm.Note("c")
	}
	for i := range 20_000 {
		vm.Note(fmt.Sprint("other ", i))
	}
	qt.Check(t, vm.Condemned("c"), qt.IsTrue)
}
