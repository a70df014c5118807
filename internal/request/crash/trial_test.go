package crash_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/peer/permit"
	"github.com/endivespoke/endivespoke/internal/request/crash"
)

// Callers send the content to each of six VMs in each second; a crash is reported a second later.
func TestBlockedContentIsTriedOnceByAllVMsTogether(t *testing.T) {
	f := &fleet{now: time.Unix(0, 0)}
	issuer := permit.NewIssuer(func() time.Time { return f.now })
	for i := range 6 {
		f.vms = append(f.vms, crash.New(crash.Options{
			Now:      func() time.Time { return f.now },
			Announce: func(report crash.Report) { f.waiting = append(f.waiting, report) },
			TakePermit: func(request permit.Request) permit.Reply {
				request.VM = fmt.Sprint("vm-", i)
				return issuer.Take(request)
			},
		}))
	}
	for i := range 3 {
		f.vms[i].Terminated("c", server(fmt.Sprint("server ", i)), f.now)
	}
	sends := 0
	for second := range 170 { // The blocks last 60 s and then 120 s.
		f.now = time.Unix(int64(second), 0)
		f.deliver()
		for _, vm := range f.vms {
			until, blocked := vm.BlockedUntil("c")
			if !blocked {
				sends++
				vm.Terminated("c", server(fmt.Sprint("server of send ", sends)), f.now)
				continue
			}
			qt.Assert(t, until.After(f.now), qt.IsTrue)
		}
	}
	qt.Assert(t, sends, qt.Equals, 1)
	for f.now = f.now.Add(time.Minute); blocks(f.vms[0], "c"); f.now = f.now.Add(time.Second) {
		qt.Assert(t, f.now.Before(time.Unix(300, 0)), qt.IsTrue)
	}
	f.vms[0].Completed("c")
	f.deliver()
	for _, vm := range f.vms {
		qt.Check(t, blocks(vm, "c"), qt.IsFalse)
	}
}
