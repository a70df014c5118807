// Package traffic counts the messages between the VMs of a fleet, by kind: when the fleet
// is idle, while streams run, and when VMs, a failure domain of servers or the configuration
// change, or the store is restored. It runs the packages spread, pool and placement in real
// time on an in-memory network with a fixed delay; there are no store, callers or engines.
//
// # Usage
//
//	result, err := traffic.Run(ctx, traffic.Options{VMs: 300, Servers: 256, PhaseLength: 4 * time.Second})
//	err = traffic.WriteTable(os.Stdout, []traffic.Result{result})
//
// A run with 300 VMs takes 30 s and about two cores. Counts vary by a few percent between
// runs.
package traffic

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
)

// Options configures a run.
type Options struct {
	VMs         int
	Servers     int
	PhaseLength time.Duration // Minimum duration of each phase but the first.
	Seed        uint64        // Seed of the times at which VMs and streams start.
}

// Result is the result of one run.
type Result struct {
	Options
	Phases []Phase
}

// Phase is the traffic of one phase.
type Phase struct {
	Name        string
	Duration    time.Duration
	Convergence time.Duration // Until every VM had the change; 0 if it isn't measured.
	Counts      map[string]Count
	Checks      int // Connections opened to check whether a server is up.
}

// Count is the traffic of one kind of message; see package spread for the kinds.
type Count struct {
	Messages int
	Bytes    int
}

const (
	// failureDomains is the number of failure domains of VMs and of servers, as on the
	// users' largest site.
	failureDomains = 5
	// startSpread is the time over which the starts of the VMs are spread.
	startSpread = 100 * time.Millisecond
	// convergenceLimit is the time within which every VM must have a change.
	convergenceLimit = 20 * time.Second
	// outageDuration is how long a failure domain of servers is down.
	outageDuration = 1200 * time.Millisecond
	// restartedFraction is the fraction of VMs that restart, leaveDuration after they
	// start to leave.
	restartedFraction = 0.05
	leaveDuration     = 500 * time.Millisecond
)

// Run runs all phases.
func Run(ctx context.Context, options Options) (result Result, err error) {
	if options.VMs < 1 || options.Servers < failureDomains || options.PhaseLength < 2*outageDuration {
		return Result{}, errors.Errorf("a run needs at least one VM, %d servers and phases of %v", failureDomains, 2*outageDuration)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := newFleet(ctx, options)
	result.Options = options
	for _, phase := range []struct {
		name string
		run  func() (convergence time.Duration, err error)
	}{
		{"all start", f.startAll},
		{"first configuration and list of servers", f.publishAll},
		{"servers' heartbeats only", f.heartbeats},
		{"streams", f.streams},
		{"a failure domain of servers is lost", f.loseServers},
		{"the configuration changes", f.changeConfiguration},
		{"VMs restart", f.restartVMs},
		{"the store is restored from an older copy", f.restoreStore},
	} {
		start := time.Now()
		f.reset()
		convergence, err := phase.run()
		if err != nil {
			return Result{}, errors.Annotate(err, phase.name)
		}
		if remaining := time.Until(start.Add(options.PhaseLength)); remaining > 0 && phase.name != "all start" {
			time.Sleep(remaining)
		}
		counts, checks := f.snapshotCounts()
		result.Phases = append(result.Phases, Phase{Name: phase.name, Duration: time.Since(start), Convergence: convergence, Counts: counts, Checks: checks})
	}
	return result, nil
}

// startAll starts the VMs, and waits until each has all as live members.
func (f *fleet) startAll() (convergence time.Duration, err error) {
	for i := range f.options.VMs {
		go func() {
			time.Sleep(time.Duration(f.randomFraction(i) * float64(startSpread)))
			f.start(i)
		}()
	}
	return f.waitUntilAll("every VM lists all as live", func(v *vm) bool { return len(v.Snapshot().Live) == f.options.VMs })
}

// publishAll delivers the store's configuration and servers to the readers, and waits until
// every VM has them.
func (f *fleet) publishAll() (convergence time.Duration, err error) {
	f.publish(1)
	f.readers(func(v *vm) { v.ApplyServers(f.ctx, f.serverRows(), time.Now()) })
	return f.waitUntilAll("every VM has the list", func(v *vm) bool {
		snapshot := v.Snapshot()
		return snapshot.Configuration != nil && len(snapshot.Servers) == f.options.Servers
	})
}

// heartbeats starts the delivery of servers' heartbeats to the readers.
func (f *fleet) heartbeats() (convergence time.Duration, err error) {
	go f.sendHeartbeats()
	return 0, nil
}

// streams starts the streams of each VM.
func (f *fleet) streams() (convergence time.Duration, err error) {
	for i := range f.options.VMs {
		go f.runStreams(i)
	}
	return 0, nil
}

// loseServers makes one failure domain of servers refuse connections for outageDuration.
func (f *fleet) loseServers() (convergence time.Duration, err error) {
	f.setDown(true)
	for _, v := range f.all() {
		v.breakStreams()
	}
	time.Sleep(outageDuration)
	f.setDown(false)
	return 0, nil
}

// changeConfiguration delivers a newer configuration to the readers, and waits until every
// VM has it.
func (f *fleet) changeConfiguration() (convergence time.Duration, err error) {
	f.publish(2)
	return f.waitUntilAll("every VM has it", func(v *vm) bool { return v.Snapshot().Configuration.Version == 2 })
}

// restartVMs makes some VMs leave and start again as new processes.
func (f *fleet) restartVMs() (convergence time.Duration, err error) {
	count := max(1, int(restartedFraction*float64(f.options.VMs)))
	ids := map[string]bool{}
	for i := range count {
		i = f.options.VMs - 1 - i // From the last VM on: readers and seeds come first.
		f.vmByIndex(i).leave(f.ctx)
	}
	time.Sleep(leaveDuration)
	for i := range count {
		ids[f.start(f.options.VMs-1-i).id] = true
	}
	return f.waitUntilAll("every VM lists the new processes as live", func(v *vm) bool {
		known := 0
		for _, m := range v.Snapshot().Live {
			if ids[m.ID] {
				known++
			}
		}
		return known == count
	})
}

// restoreStore delivers a list that is older by its version, in a new era and with one more
// server, and waits until every VM has it.
func (f *fleet) restoreStore() (convergence time.Duration, err error) {
	f.restoreServers()
	f.readers(func(v *vm) { v.ApplyServers(f.ctx, f.serverRows(), time.Now()) })
	return f.waitUntilAll("every VM lists the server that joined", func(v *vm) bool {
		return len(v.Snapshot().Servers) == f.options.Servers+1
	})
}

// waitUntilAll waits until a condition holds for all VMs, and returns how long that took.
func (f *fleet) waitUntilAll(condition string, holds func(*vm) bool) (elapsed time.Duration, err error) {
	start := time.Now()
	for time.Since(start) < convergenceLimit && f.ctx.Err() == nil {
		if f.allMatch(holds) {
			return time.Since(start), nil
		}
		time.Sleep(time.Millisecond)
	}
	return 0, errors.Errorf("not within %v: %s", convergenceLimit, condition)
}

func (f *fleet) allMatch(holds func(*vm) bool) bool {
	vms := f.all()
	for _, v := range vms {
		if !holds(v) {
			return false
		}
	}
	return len(vms) == f.options.VMs
}

// randomFraction returns a number in [0, 1) that depends only on the seed and the VM.
func (f *fleet) randomFraction(i int) float64 {
	return rand.New(rand.NewPCG(f.options.Seed, uint64(i))).Float64()
}
