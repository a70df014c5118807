package vm_test

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/config/object"
	"github.com/endivespoke/endivespoke/internal/lab/crowd"
	"github.com/endivespoke/endivespoke/internal/lab/enginefake"
	"github.com/endivespoke/endivespoke/internal/lab/loopback"
	"github.com/endivespoke/endivespoke/internal/lab/platformfake"
	"github.com/endivespoke/endivespoke/internal/lab/servicefake"
	"github.com/endivespoke/endivespoke/internal/platform/vmlist"
)

// processRig is a VM in a process of its own, with the settings that package crowd fixes.
type processRig struct {
	*rig
	callerAddress, peerAddress, operatorAddress string

	process     *exec.Cmd
	ended       chan struct{}
	descriptors atomic.Int64 // The most sockets and pipes that were seen open.
	stopped     chan struct{}
	watching    sync.WaitGroup
}

func newProcessRig(t *testing.T, program string) *processRig {
	r := &processRig{
		rig:     &rig{t: t, platform: platformfake.New(), engine: enginefake.New(enginefake.Options{}), service: servicefake.New(), keyed: servicefake.New()},
		ended:   make(chan struct{}),
		stopped: make(chan struct{}),
	}
	addresses, err := loopback.Addresses(3)
	qt.Assert(t, err, qt.IsNil)
	r.callerAddress, r.peerAddress, r.operatorAddress = addresses[0], addresses[1], addresses[2]
	r.platform.SetVMs([]vmlist.VM{{ID: "vm-0", FailureDomain: "d", CallerAddress: r.callerAddress, PeerAddress: r.peerAddress, State: vmlist.StateLive}})
	r.start(program)
	request := r.request(r.operatorAddress, "op-token", "PUT", "/v1/admin/configuration", string(object.Encode(r.configuration())))
	r.eventually("the VM runs", func() bool {
		return r.send(r.request(r.operatorAddress, "", "GET", "/healthz", "")).status == http.StatusNoContent
	})
	reply := r.send(request)
	qt.Assert(t, reply.status, qt.Equals, http.StatusOK, qt.Commentf("%s", reply.body))
	r.eventually("the VM is ready", func() bool {
		return r.send(r.request(r.operatorAddress, "", "GET", "/readyz", "")).status == http.StatusOK
	})
	r.watching.Go(r.watchDescriptors)
	return r
}

// start runs the VM's process until the test ends.
func (r *processRig) start(program string) {
	r.process = exec.Command(program, "serve")
	r.process.Env = append(os.Environ(),
		"ENDIVESPOKE_ID=vm-0",
		"ENDIVESPOKE_FAILURE_DOMAIN=d",
		"ENDIVESPOKE_CALLER_LISTEN="+r.callerAddress,
		"ENDIVESPOKE_PEER_LISTEN="+r.peerAddress,
		"ENDIVESPOKE_OPERATOR_LISTEN="+r.operatorAddress,
		"ENDIVESPOKE_PLATFORM=http://"+r.serve(r.platform),
		"ENDIVESPOKE_PEER_KEY="+peerKey,
		"ENDIVESPOKE_BOOTSTRAP_HASH="+object.HashToken("op-token"),
		"ENDIVESPOKE_MEMORY_MB="+fmt.Sprint(crowd.MemoryMB),
		"ENDIVESPOKE_MAX_DESCRIPTORS="+fmt.Sprint(crowd.MaxDescriptors),
	)
	qt.Assert(r.t, r.process.Start(), qt.IsNil)
	go func() {
		_ = r.process.Wait() // A killed process returns an error.
		close(r.ended)
	}()
	r.t.Cleanup(func() {
		_ = r.process.Process.Kill() // Fails if it has ended.
		<-r.ended
	})
}

// watchDescriptors notes the most sockets and pipes that the VM has open.
func (r *processRig) watchDescriptors() {
	for {
		select {
		case <-r.stopped:
			return
		case <-time.After(20 * time.Millisecond):
			r.descriptors.Store(max(r.descriptors.Load(), crowd.OpenSockets(r.process.Process.Pid)))
		}
	}
}

// expectSound checks the VM after a crowd.
func (r *processRig) expectSound(t *testing.T) {
	r.eventually("the VM answers after the crowd", func() bool {
		return r.send(r.request(r.callerAddress, "a-token", "GET", "/v1/services/booking/calendar", "")).status == http.StatusOK &&
			r.send(r.request(r.operatorAddress, "", "GET", "/readyz", "")).status == http.StatusOK
	})
	close(r.stopped)
	r.watching.Wait()
	select {
	case <-r.ended:
		t.Fatalf("the VM ended: %v", r.process.ProcessState)
	default:
	}
	peak, err := crowd.PeakMemory(r.process.Process.Pid)
	qt.Assert(t, err, qt.IsNil)
	t.Logf("peak %d MB of %d MB, %d sockets and pipes of %d", peak>>20, crowd.MemoryMB, r.descriptors.Load(), crowd.MaxSockets)
	qt.Check(t, peak < crowd.MemoryMB<<20, qt.IsTrue, qt.Commentf("memory: %d MB", peak>>20))
	qt.Check(t, r.descriptors.Load() < crowd.MaxSockets, qt.IsTrue, qt.Commentf("descriptors: %d", r.descriptors.Load()))
}

// TestCrowdsEndNoVM guards against a VM that ends for lack of memory or descriptors because of callers
// outside of our control.
func TestCrowdsEndNoVM(t *testing.T) {
	program := filepath.Join(t.TempDir(), "endivespoke")
	output, err := exec.Command("go", "build", "-o", program, "../../../cmd/endivespoke").CombinedOutput() // The race detector takes memory.
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", output))
	callerPaths := []string{"/v1/completions", "/v1/services/booking/calendar", "/v1/entries", "/none"}
	press := func(name string, behaviour crowd.Behaviour, paths []string, address func(r *processRig) string) {
		t.Run(name, func(t *testing.T) {
			r := newProcessRig(t, program)
			behaviour.Run(crowd.Target{Address: address(r), Paths: paths, Host: "a", Authorization: "Bearer a-token"})
			r.expectSound(t)
		})
	}
	for _, behaviour := range append(crowd.Behaviours, crowd.All()) {
		press("callers/"+behaviour.Name, behaviour, callerPaths, func(r *processRig) string { return r.callerAddress })
	}
	press("peers", crowd.All(), []string{"/peer", "/none"}, func(r *processRig) string { return r.peerAddress })
	press("operators", crowd.All(), []string{"/v1/admin/configuration", "/metrics", "/readyz", "/none"}, func(r *processRig) string { return r.operatorAddress })
}
