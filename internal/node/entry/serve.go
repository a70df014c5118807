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
	// memoryLimitFraction of the VM's memory is the soft limit of the Go runtime, above
	// which the garbage collector runs more often.
	memoryLimitFraction = 0.6
	// leavingAcceptFraction is the fraction of the grace period in which a leaving VM still
	// accepts plain requests, for callers with an old locate answer, and leavingLongCallsFraction
	// the same for requests whose deadline is after the VM's end.
	leavingAcceptFraction    = 0.8
	leavingLongCallsFraction = 0.375
	// leavingMinLocateTTLs is the minimum time that a VM runs after SIGTERM, in multiples of
	// the TTL of a locate answer. Some callers cache one three times as long.
	leavingMinLocateTTLs = 3.2
	// leavingMaxFraction is the fraction of the grace period after which running requests are
	// interrupted.
	leavingMaxFraction = 0.95
	// exitTime is left of the grace period for the exit of the process.
	exitTime = 50 * time.Millisecond
	// stopTimeout bounds the stop of the supervised services. They have no state to save.
	stopTimeout = 50 * time.Millisecond
	// announceTime is how long the announcements to other VMs may take before streams are
	// interrupted.
	announceTime = 40 * time.Millisecond
	// interruptTimeout bounds the end of interrupted streams. They only close connections.
	interruptTimeout = 60 * time.Millisecond
	// leavingPollInterval is how often a leaving VM checks for running requests.
	leavingPollInterval = 20 * time.Millisecond
)

// Serve runs the VM until the context ends, and then until the running requests have
// ended or the grace period is nearly over. Listeners are served by the calling code,
// which closes them after Serve has returned.
func (v *VM) Serve(ctx context.Context) error {
	settings := v.settings.Load()
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryBytes)))
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
	case <-time.After(stopTimeout):
	}
	v.peers.Close()
	event.VMStopped.Info(v.logger, "vm", settings.Name, "stillRunning", v.running())
	return nil
}

// leave announces the stop to the peers and waits for running requests.
func (v *VM) leave(ctx context.Context) {
	settings := v.settings.Load()
	stop := newStop(v.Now(), settings.Grace, v.LocateTTL())
	v.mu.Lock()
	v.stop = stop
	v.mu.Unlock()
	v.admitter.Stop()
	event.VMStopping.Info(v.logger, "vm", settings.Name, "running", v.running())
	v.spread.SetSelf(ctx, func(self *spread.Member) { self.Ready, self.Leaving = false, true })
	if v.written.has(settings.PeerAddress) {
		if err := v.options.VMs.Remove(ctx, settings.PeerAddress); err != nil {
			v.logger.Debug("this VM's row could not be removed", "error", err)
		}
	}
	for v.Now().Before(stop.latest) {
		if v.Now().After(stop.earliest) && v.closeIfIdle() {
			return
		}
		sleep(ctx, leavingPollInterval)
	}
	v.interruptRequests(ctx)
}

// closeIfIdle stops accepting requests if none is running, in one step: a request that is accepted
// between the two would be cut when the process exits. Requests of other VMs may be running on their
// connections through this one.
func (v *VM) closeIfIdle() (closed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.isClosed = v.active == 0 && v.tunnels.Open() == 0
	return v.isClosed
}

// CloseBy returns when the listeners have to be closed: shortly before the end of the grace period.
// It is zero if the VM is not leaving.
func (v *VM) CloseBy() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stop == nil {
		return time.Time{}
	}
	return v.stop.closeBy
}

// errLeaving is the cause with which requests are interrupted at the end of the grace period.
const errLeaving = errors.ConstError("this VM has to end before the stream does")

// interruptRequests ends the requests that still run, each with an answer if its head has not been
// sent. Callers of streams reconnect to other VMs at once, which need the locations of the streams'
// copies by then.
func (v *VM) interruptRequests(ctx context.Context) {
	v.mu.Lock()
	v.isClosed = true
	v.mu.Unlock()
	for _, location := range v.localCopyLocations() {
		v.spread.AnnounceCopy(location)
	}
	v.spread.AnnounceLoads()
	sleep(ctx, announceTime)
	v.cancelRequests(errLeaving)
	for end := v.Now().Add(interruptTimeout); v.running() > 0 && v.Now().Before(end); {
		sleep(ctx, leavingPollInterval)
	}
}

func (v *VM) running() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.active
}

// stop is the plan of a graceful stop, as of SIGTERM. Settings that are read again later do not
// change it.
type stop struct {
	streamsUntil time.Time // Until then the VM accepts new streams.
	// Until longCallsUntil it accepts plain requests that may outlast it, and until callsUntil
	// those that can't.
	longCallsUntil time.Time
	callsUntil     time.Time
	earliest       time.Time // From then on it may end.
	latest         time.Time // Then running requests are interrupted.
	closeBy        time.Time // Then all answers have to be written.
}

func newStop(began time.Time, grace, locateTTL time.Duration) *stop {
	return &stop{
		streamsUntil:   began.Add(time.Duration(leavingStreamsFraction * float64(grace))),
		longCallsUntil: began.Add(time.Duration(leavingLongCallsFraction * float64(grace))),
		callsUntil:     began.Add(time.Duration(leavingAcceptFraction * float64(grace))),
		earliest:       began.Add(time.Duration(leavingMinLocateTTLs * float64(locateTTL))),
		latest:         began.Add(time.Duration(leavingMaxFraction * float64(grace))),
		closeBy:        began.Add(grace - exitTime),
	}
}
