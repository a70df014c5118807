package rollout

import "slices"

// received are the tallies that a coordinator has received. Each process of a VM counts by itself.
type received struct {
	vms map[string]*vmTallies
}

// vmTallies are the tallies of one VM. Current is its newest process.
type vmTallies struct {
	processes map[uint64]*processTally
	current   *processTally
	// missingSince is when the VM was first seen not to be a member any more, in milliseconds; 0 if
	// it is one.
	missingSince int64
}

// processTally is the newest tally of one process, and the requests that it has told of by any means.
type processTally struct {
	tally    Tally
	told     bool // A tally was received, not only a request for a credit.
	requests int
}

func newReceived() *received {
	return &received{vms: map[string]*vmTallies{}}
}

func (r *received) process(vm string, instance uint64) *processTally {
	known := r.vms[vm]
	if known == nil {
		known = &vmTallies{processes: map[uint64]*processTally{}}
		r.vms[vm] = known
	}
	process := known.processes[instance]
	if process == nil {
		process = &processTally{}
		known.processes[instance] = process
		known.current = process
	}
	return process
}

// apply applies a tally and returns what was counted since the process's tally before it. Repeated
// tallies, and those that were overtaken, change nothing.
func (r *received) apply(tally Tally) (since Tally) {
	process := r.process(tally.VM, tally.Instance)
	last := process.tally
	isLate := tally.Sequence < last.Sequence || (tally.Sequence == last.Sequence && tally.Requests < last.Requests)
	if isLate {
		return Tally{}
	}
	process.tally, process.told = tally, true
	process.requests = max(process.requests, tally.Requests)
	since = tally
	since.Requests = max(tally.Requests-last.Requests, 0)
	since.Exposed = max(tally.Exposed-last.Exposed, 0)
	since.Routes = routesSince(tally.Routes, last.Routes)
	return since
}

// noteRequests applies the number of requests that a process tells when it asks for a credit.
func (r *received) noteRequests(vm string, instance uint64, requests int) {
	process := r.process(vm, instance)
	process.requests = max(process.requests, requests)
}

// requests returns the number of requests that all VMs have told of.
func (r *received) requests() int {
	total := 0
	for _, vm := range r.vms {
		for _, process := range vm.processes {
			total += process.requests
		}
	}
	return total
}

// observeMembers notes which VMs are gone, and since when.
func (r *received) observeMembers(members []string, now int64) {
	for name, vm := range r.vms {
		switch {
		case slices.Contains(members, name):
			vm.missingSince = 0
		case vm.missingSince == 0:
			vm.missingSince = now
		}
	}
}

// haveRetired reports whether no VM has work at servers of the old version: all members have told so
// under a state, and the other VMs have been gone long enough for their work to have ended.
func (r *received) haveRetired(members []string, serial uint64, now int64) bool {
	for _, member := range members {
		vm := r.vms[member]
		if vm == nil || !vm.current.told || vm.current.tally.Serial < serial || vm.current.tally.OldWork > 0 {
			return false
		}
	}
	for _, vm := range r.vms {
		if vm.missingSince > 0 && now-vm.missingSince < missingTime {
			return false
		}
	}
	return len(members) > 0
}

func routesSince(later, earlier []RouteTally) []RouteTally {
	before := map[string]RouteTally{}
	for _, route := range earlier {
		before[route.Route] = route
	}
	deltas := make([]RouteTally, 0, len(later))
	for _, route := range later {
		last := before[route.Route]
		deltas = append(deltas, RouteTally{Route: route.Route, Old: route.Old.since(last.Old), New: route.New.since(last.New)})
	}
	return deltas
}

// since returns what a cumulative sample counted since an earlier one.
func (s Sample) since(earlier Sample) Sample {
	return Sample{
		Answered:  max(s.Answered-earlier.Answered, 0),
		Failed:    max(s.Failed-earlier.Failed, 0),
		Latencies: subtractHistogram(s.Latencies, earlier.Latencies),
		Abandoned: subtractHistogram(s.Abandoned, earlier.Abandoned),
	}
}
