package entry

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/peer/spread"
)

const (
	// memoryPart of the VM's memory is the limit from which the collector works harder.
	memoryPart = 0.6
	// leavingTakes is the part of the grace in which a VM that leaves still takes
	// plain requests, for callers with an old locate answer.
	leavingTakes = 0.8
	// leavingLeast is the least time that a VM stays after SIGTERM, in lives of a
	// locate answer. Some callers keep one three times as long.
	leavingLeast = 3.2
	// leavingMost is the part of the grace after which what still runs is cut.
	leavingMost = 0.95
	// stopLimit bounds the end of the VM's parts. They keep nothing.
	stopLimit = 50 * time.Millisecond
	// toldWithin is how long a message to other VMs may take before streams are cut.
	toldWithin = 40 * time.Millisecond
	// cutLimit bounds the end of the streams that are cut. They only close connections.
	cutLimit = 60 * time.Millisecond
	// leavingPoll is how often it is looked whether all is done.
	leavingPoll = 20 * time.Millisecond
)

// Serve runs the VM until the context ends, and then until what runs has ended
// or the grace is nearly over. The listeners are served by the caller, who
// closes them after Serve returned.
func (v *VM) Serve(ctx context.Context) error {
	settings := v.settings.Load()
	debug.SetMemoryLimit(int64(memoryPart * float64(settings.MemoryBytes)))
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ended := v.supervisor().ServeBackground(running)
	event.VMStarted.Info(v.logger, "vm", settings.Name, "caller", settings.CallerAddress, "peer", settings.PeerAddress, "failureDomain", settings.FailureDomain, "metrics", settings.MetricsAddress)
	select {
	case <-ctx.Done():
		v.leave(running)
	case err := <-ended:
		return errors.Trace(err)
	}
	cancel()
	select {
	case <-ended:
	case <-time.After(stopLimit):
	}
	v.peers.Close()
	event.VMStopped.Info(v.logger, "vm", settings.Name, "stillRunning", v.running())
	return nil
}

// leave tells the others and waits for what runs.
func (v *VM) leave(ctx context.Context) {
	v.mu.Lock()
	v.leavingAt = v.Now()
	began := v.leavingAt
	v.mu.Unlock()
	settings := v.settings.Load()
	event.VMStopping.Info(v.logger, "vm", settings.Name, "running", v.running())
	v.spread.SetSelf(ctx, func(self *spread.Member) { self.Ready, self.Leaving = false, true })
	if v.announced.Load() {
		if err := v.options.VMs.Remove(ctx, settings.PeerAddress); err != nil {
			v.logger.Debug("this VM's row could not be removed", "error", err)
		}
	}
	least := began.Add(time.Duration(leavingLeast * float64(v.LocateTTL())))
	most := began.Add(time.Duration(leavingMost * float64(settings.Grace)))
	for v.Now().Before(most) {
		if v.Now().After(least) && v.running() == 0 {
			return
		}
		pause(ctx, leavingPoll)
	}
	v.cutStreams(ctx)
}

// errLeaving is why streams are cut that would not end before this VM has to.
const errLeaving = errors.ConstError("this VM has to end before the stream does")

// cutStreams ends what still runs. Callers come back to other VMs at once, which
// have to know by then where the copies of the streams' memory are.
func (v *VM) cutStreams(ctx context.Context) {
	for _, note := range v.copiesOfRunning() {
		v.spread.AnnounceCopy(note)
	}
	v.spread.AnnounceLoads()
	pause(ctx, toldWithin)
	v.cut(errLeaving)
	for end := v.Now().Add(cutLimit); v.running() > 0 && v.Now().Before(end); {
		pause(ctx, leavingPoll)
	}
}

func (v *VM) running() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.active
}

// takeUntil is until when a VM that leaves takes plain requests.
func (v *VM) takeUntil() time.Time {
	return v.leavingAt.Add(time.Duration(leavingTakes * float64(v.settings.Load().Grace)))
}
