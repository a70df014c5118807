package admission

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// AdmitterOptions configures an Admitter. Headroom and Held describe the servers of a service.
// OnChange is called when the waiting streams of this VM change in a way that its peers have to
// know, OnAdmitted when a stream got a server, with the time since which it waited, zero if it
// did not, and OnRefused when one was refused.
type AdmitterOptions struct {
	Now        func() time.Time
	Draw       func() float64
	Headroom   func(service string, stream Stream) Headroom
	Held       func(service string) map[string]int
	OnChange   func()
	OnAdmitted func(service string, since time.Time)
	OnRefused  func(service string, reason Reason)
}

// NoHeadroom is the error of a stream that was refused.
type NoHeadroom struct {
	Refusal
}

// Error implements error.
func (e *NoHeadroom) Error() string {
	return fmt.Sprintf("no headroom on backend servers in time (%s)", e.Reason)
}

// Admitter lets new streams wait until servers have headroom for them. It is safe for concurrent use.
type Admitter struct {
	options AdmitterOptions

	mu        sync.Mutex
	queues    map[string]*Queue // By service.
	isStopped bool
}

// NewAdmitter returns an Admitter.
func NewAdmitter(options AdmitterOptions) *Admitter {
	return &Admitter{options: options, queues: map[string]*Queue{}}
}

// Attempt is how a stream gets a server. Take looks for one with headroom and reports whether there is
// one; if there is none and no error, the stream goes on waiting. Reserve reserves the memory of a
// server for a stream that needs much of it, and reports whether it did; Take uses it. IsReserved
// reports whether that memory is still reserved.
type Attempt struct {
	Take       func(copied bool) (taken bool, err error)
	Reserve    func() (reserved bool)
	IsReserved func() (reserved bool)
}

// Admit calls attempt.Take when a stream may look for a server with headroom. The error is that of
// Take, a *NoHeadroom, or that of the context.
func (a *Admitter) Admit(ctx context.Context, service string, stream Stream, attempt Attempt) error {
	q := a.queue(service)
	if q.IsIdle(stream.Rank) {
		taken, err := attempt.Take(q.GetsCopy(stream))
		if taken {
			q.Took(stream)
			a.options.OnAdmitted(service, time.Time{})
		}
		if taken || err != nil {
			return err
		}
	}
	w, refusal := q.Join(stream)
	if refusal != nil {
		return a.refuse(service, refusal)
	}
	a.options.OnChange()
	defer a.options.OnChange()
	defer q.Leave(w)
	return a.await(ctx, service, q, w, attempt)
}

// Stop refuses the waiting streams within recheckInterval, and from now on those without headroom at
// once: a VM that is leaving may not outlast them, and others can take them.
func (a *Admitter) Stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isStopped = true
}

// stopped returns the refusal of a stream that may not wait since this VM is leaving.
func (a *Admitter) stopped() *Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.isStopped {
		return nil
	}
	return &Refusal{Reason: Stopped, RetryAt: a.options.Now()}
}

// refuse reports a refusal and returns its error.
func (a *Admitter) refuse(service string, refusal *Refusal) error {
	a.options.OnRefused(service, refusal.Reason)
	return &NoHeadroom{Refusal: *refusal}
}

// await waits for the turn of a stream.
func (a *Admitter) await(ctx context.Context, service string, q *Queue, w *Waiter, attempt Attempt) error {
	since := a.options.Now()
	for {
		if q.MayTake(w) {
			taken, err := attempt.Take(q.GetsCopy(w.Stream))
			if taken {
				q.Took(w.Stream)
				a.options.OnAdmitted(service, since)
			}
			if taken || err != nil {
				return err
			}
			q.Missed(w)
		}
		if q.HasReserved(w) && !attempt.IsReserved() {
			q.Reserved(w, false)
		}
		if q.LacksHeadroom(w) && attempt.Reserve() {
			q.Reserved(w, true)
			a.options.OnChange()
		}
		if refusal := cmp.Or(a.stopped(), q.Recheck(w)); refusal != nil {
			return a.refuse(service, refusal)
		}
		timer := time.NewTimer(q.NextCheck(w).Sub(a.options.Now()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return context.Cause(ctx)
		case <-w.Wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (a *Admitter) queue(service string) *Queue {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.queues[service]
	if q == nil {
		headroom := func(stream Stream) Headroom { return a.options.Headroom(service, stream) }
		held := func() map[string]int { return a.options.Held(service) }
		q = NewQueue(a.options.Now, a.options.Draw, headroom, held)
		a.queues[service] = q
	}
	return q
}

// services returns the services with a queue, sorted.
func (a *Admitter) services() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	services := []string{}
	for service := range a.queues {
		services = append(services, service)
	}
	slices.SortFunc(services, strings.Compare)
	return services
}

// Wake lets the first streams look for headroom.
func (a *Admitter) Wake() {
	for _, service := range a.services() {
		a.queue(service).Wake()
	}
}

// Reports returns what this VM tells its cell; empty while nothing waits there.
func (a *Admitter) Reports() []Report {
	reports := []Report{}
	for _, service := range a.services() {
		if report, found := a.queue(service).Report(service); found {
			reports = append(reports, report)
		}
	}
	return reports
}

// MergeReports replaces what is known of a peer.
func (a *Admitter) MergeReports(peer string, reports []Report) {
	for _, service := range a.services() {
		if !slices.ContainsFunc(reports, func(r Report) bool { return r.Service == service }) {
			a.queue(service).ForgetPeer(peer)
		}
	}
	for _, report := range reports {
		if a.queue(report.Service).MergeReport(peer, report) {
			a.options.OnChange() // The peer needs to know what accounts hold here.
		}
	}
}

// ForgetPeers drops the reports of VMs that went down.
func (a *Admitter) ForgetPeers(peers []string) {
	for _, peer := range peers {
		a.MergeReports(peer, nil)
	}
}

// Waiting returns the number of streams of a service that wait on this VM.
func (a *Admitter) Waiting(service string) int {
	return a.queue(service).Len()
}

// Len returns the number of all streams that wait on this VM.
func (a *Admitter) Len() int {
	waiting := 0
	for _, service := range a.services() {
		waiting += a.Waiting(service)
	}
	return waiting
}
