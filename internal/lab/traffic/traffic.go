// Package traffic counts what the VMs of a fleet tell each other, by kind, while nothing
// happens, while streams run, and when VMs, a failure domain of servers or the
// configuration change. It plays real time with the real packages spread, pool and
// placement, on a network in memory with a fixed delay; it has no store, callers or engines.
//
// # Usage
//
//	result, err := traffic.Run(ctx, traffic.Options{VMs: 300, Servers: 256, PhaseLength: 4 * time.Second})
//	err = traffic.WriteTable(os.Stdout, []traffic.Result{result})
//
// A play of 300 VMs takes 30 s and some two cores. Counts differ by some percent from play
// to play.
package traffic

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
)

// Options shapes a play.
type Options struct {
	VMs         int
	Servers     int
	PhaseLength time.Duration // Of each phase after the start.
	Seed        uint64        // Of the times at which VMs and streams start.
}

// Result is one play.
type Result struct {
	Options
	Phases []Phase
}

// Phase is what one kind of change cost the fleet.
type Phase struct {
	Name    string
	Lasted  time.Duration
	Settled time.Duration // Until every VM knew of the change; 0 if nothing is known of that.
	Counts  map[string]Count
	Checks  int // Connections opened to learn whether a server is up.
}

// Count is of the messages of one kind; see package spread for the kinds.
type Count struct {
	Messages int
	Bytes    int
}

const (
	// failureDomains of VMs and of servers; the users' largest site has as many.
	failureDomains = 5
	// startsWithin is the time in which all VMs start.
	startsWithin = 100 * time.Millisecond
	// settleLimit bounds the wait until every VM knows of a change.
	settleLimit = 20 * time.Second
	// downFor is how long a failure domain of servers is lost.
	downFor = 1200 * time.Millisecond
	// restartedPart of the VMs restart, each after leavingFor.
	restartedPart = 0.05
	leavingFor    = 500 * time.Millisecond
)

// Run plays all phases.
func Run(ctx context.Context, options Options) (result Result, err error) {
	if options.VMs < 1 || options.Servers < failureDomains || options.PhaseLength < 2*downFor {
		return Result{}, errors.Errorf("a play needs a VM, %d servers and phases of %v", failureDomains, 2*downFor)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := newFleet(ctx, options)
	result.Options = options
	for _, phase := range []struct {
		name string
		play func() (settled time.Duration, err error)
	}{
		{"all start", f.startAll},
		{"first configuration and list of servers", f.learnAll},
		{"servers' heartbeats only", f.heartbeats},
		{"streams", f.streams},
		{"a failure domain of servers is lost", f.loseServers},
		{"the configuration changes", f.changeConfiguration},
		{"VMs restart", f.restartVMs},
	} {
		began := time.Now()
		f.reset()
		settled, err := phase.play()
		if err != nil {
			return Result{}, errors.Annotate(err, phase.name)
		}
		if rest := time.Until(began.Add(options.PhaseLength)); rest > 0 && phase.name != "all start" {
			time.Sleep(rest)
		}
		counts, checks := f.counted()
		result.Phases = append(result.Phases, Phase{Name: phase.name, Lasted: time.Since(began), Settled: settled, Counts: counts, Checks: checks})
	}
	return result, nil
}

// startAll starts the VMs, and waits until each knows all others.
func (f *fleet) startAll() (settled time.Duration, err error) {
	for i := range f.options.VMs {
		go func() {
			time.Sleep(time.Duration(f.drawn(i) * float64(startsWithin)))
			f.start(i)
		}()
	}
	return f.settle("every VM knows all", func(v *vm) bool { return len(v.Snapshot().Live) == f.options.VMs })
}

// learnAll gives two VMs what the store has, as the readers learn it.
func (f *fleet) learnAll() (settled time.Duration, err error) {
	f.publish(1)
	f.readers(func(v *vm) { v.ApplyServers(f.ctx, f.listed(), time.Now()) })
	return f.settle("every VM has the list", func(v *vm) bool {
		snapshot := v.Snapshot()
		return snapshot.Configuration != nil && len(snapshot.Servers) == f.options.Servers
	})
}

// heartbeats has the readers learn of servers' heartbeats from now on.
func (f *fleet) heartbeats() (settled time.Duration, err error) {
	go f.beat()
	return 0, nil
}

// streams has each VM run streams from now on.
func (f *fleet) streams() (settled time.Duration, err error) {
	for i := range f.options.VMs {
		go f.runStreams(i)
	}
	return 0, nil
}

// loseServers has one failure domain of servers refuse connections for a while.
func (f *fleet) loseServers() (settled time.Duration, err error) {
	f.setDown(true)
	for _, v := range f.all() {
		v.breakStreams()
	}
	time.Sleep(downFor)
	f.setDown(false)
	return 0, nil
}

// changeConfiguration has one VM read a newer configuration.
func (f *fleet) changeConfiguration() (settled time.Duration, err error) {
	f.publish(2)
	return f.settle("every VM has it", func(v *vm) bool { return v.Snapshot().Configuration.Version == 2 })
}

// restartVMs has some VMs leave, and start again as other processes.
func (f *fleet) restartVMs() (settled time.Duration, err error) {
	count := max(1, int(restartedPart*float64(f.options.VMs)))
	ids := map[string]bool{}
	for i := range count {
		i = f.options.VMs - 1 - i // Not the readers and the seeds.
		f.at(i).leave(f.ctx)
	}
	time.Sleep(leavingFor)
	for i := range count {
		ids[f.start(f.options.VMs-1-i).id] = true
	}
	return f.settle("every VM knows the new processes", func(v *vm) bool {
		known := 0
		for _, m := range v.Snapshot().Live {
			if ids[m.ID] {
				known++
			}
		}
		return known == count
	})
}

// settle waits until all VMs are as wanted, and tells how long that took.
func (f *fleet) settle(what string, done func(*vm) bool) (took time.Duration, err error) {
	began := time.Now()
	for time.Since(began) < settleLimit && f.ctx.Err() == nil {
		if f.isEach(done) {
			return time.Since(began), nil
		}
		time.Sleep(time.Millisecond)
	}
	return 0, errors.Errorf("not within %v: %s", settleLimit, what)
}

func (f *fleet) isEach(done func(*vm) bool) bool {
	vms := f.all()
	for _, v := range vms {
		if !done(v) {
			return false
		}
	}
	return len(vms) == f.options.VMs
}

// drawn is a number in [0, 1), the same for a seed and a VM in each play.
func (f *fleet) drawn(i int) float64 {
	return rand.New(rand.NewPCG(f.options.Seed, uint64(i))).Float64()
}
