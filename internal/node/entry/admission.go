package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/endivespoke/endivespoke/internal/backend/placement"
	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/request/admission"
)

// overloadLogInterval is the time between two log lines about the streams of a service that wait
// for headroom.
const overloadLogInterval = time.Second

// overload counts what became of the new streams of a service since its last log line.
type overload struct {
	loggedAt time.Time
	admitted int // After a wait.
	refused  int
}

// overloads are the services whose streams wait, for the log.
type overloads struct {
	mu        sync.Mutex
	byService map[string]*overload
}

func (v *VM) newAdmitter() *admission.Admitter {
	return admission.NewAdmitter(admission.AdmitterOptions{
		Now:  v.Now,
		Draw: rand.Float64,
		Headroom: func(service string, stream admission.Stream) admission.Headroom {
			demand := placement.Demand{PromptTokens: stream.PromptTokens, OutputTokens: stream.OutputTokens}
			return admission.Headroom(v.servers.Headroom(service, pool.Need{Demand: demand, Rank: stream.Rank, FirstEventBy: stream.FirstEventBy, Versions: v.rollouts.follower.Usual(service)}))
		},
		Held:       func(service string) map[string]int { return v.servers.HeldByAccount(service) },
		OnChange:   func() { v.spread.AnnounceLoadsLater() },
		OnAdmitted: v.streamAdmitted,
		OnRefused:  v.streamRefused,
	})
}

// streamAdmitted counts a new stream that got a server, and logs it if it had to wait.
func (v *VM) streamAdmitted(service string, since time.Time) {
	if since.IsZero() {
		v.counters.admitted(0, false)
		return
	}
	v.counters.admitted(v.Now().Sub(since), true)
	v.logOverload(service, func(o *overload) { o.admitted++ })
}

// streamRefused counts a new stream that got no server in time, and logs it.
func (v *VM) streamRefused(service string, reason admission.Reason) {
	v.counters.refusedHeadroom(reason)
	v.logOverload(service, func(o *overload) { o.refused++ })
}

// logOverload adds to the counts of a service, and logs them at most once in overloadLogInterval.
func (v *VM) logOverload(service string, add func(*overload)) {
	waiting := v.admitter.Waiting(service)
	now := v.Now()
	v.overloads.mu.Lock()
	defer v.overloads.mu.Unlock()
	known := v.overloads.byService[service]
	if known == nil {
		known = &overload{}
		v.overloads.byService[service] = known
	}
	add(known)
	if now.Sub(known.loggedAt) < overloadLogInterval {
		return
	}
	event.StreamsWait.Info(v.logger, "service", service, "waiting", waiting, "admitted", known.admitted, "refused", known.refused)
	*known = overload{loggedAt: now}
}
