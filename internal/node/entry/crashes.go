package entry

import (
	"time"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/peer/permit"
	"github.com/endivespoke/endivespoke/internal/request/crash"
)

// crashOptions connects the crash record to the server pool, the other VMs and the log.
func (v *VM) crashOptions() crash.Options {
	return crash.Options{
		Now:              v.Now,
		Announce:         func(report crash.Report) { v.spread.AnnounceCrash(report) },
		TakePermit:       v.takePermit,
		ReturnPermit:     func(key string) { v.spread.ObservePermit(permit.Observation{Key: key, Unused: true}) },
		HasTerminated:    v.servers.HasTerminated,
		CorrelatedLosses: v.servers.CorrelatedLosses,
		VMs:              func() int { return len(v.spread.Snapshot().Live) },
		OnTerminated: func(trait crash.Trait, server pool.Server, after time.Duration) {
			v.logTrait(event.EndHeldAgainst, trait, "server", server.ID, "afterMillis", after.Milliseconds())
		},
		OnDismissed: func(trait crash.Trait, reason string) {
			v.logTrait(event.EndsCleared, trait, "reason", reason)
		},
		OnSuspected: func(trait crash.Trait, alternatives []crash.Trait, terminations int) {
			v.logTrait(event.TraitSuspected, trait, "servers", terminations, "alternatives", alternatives)
		},
		OnBlocked: func(trait crash.Trait, terminations int) {
			v.logTrait(event.ContentRefused, trait, "servers", terminations)
		},
		OnTrial: func(trait crash.Trait, alternatives []crash.Trait) {
			v.logTrait(event.TraitTried, trait, "alternatives", alternatives)
		},
	}
}

// logTrait logs an event about a trait of requests.
func (v *VM) logTrait(e event.Event, trait crash.Trait, pairs ...any) {
	name, value := trait.Field()
	pairs = append([]any{name, value}, pairs...)
	if e == event.ContentRefused || e == event.TraitSuspected {
		e.Warn(v.logger, pairs...)
		return
	}
	e.Info(v.logger, pairs...)
}
