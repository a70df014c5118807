package relay_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/config/routing"
	"github.com/endivespoke/endivespoke/internal/peer/permit"
	"github.com/endivespoke/endivespoke/internal/request/crash"
)

// newCrashRecord returns a crash record whose trials need permits if the rig has an issuer.
func (g *rig) newCrashRecord(servers *pool.Pool) *crash.Record {
	options := crash.Options{Now: time.Now, Announce: func(crash.Report) {}, HasTerminated: servers.HasTerminated}
	if g.permits != nil {
		options.TakePermit = g.permits.Take
		options.ReturnPermit = func(key string) { g.permits.Observe(permit.Observation{Key: key, Unused: true}) }
	}
	return crash.New(options)
}

// The block of a part has ended, and the first request after it is neither run to completion nor
// crashes a server.
func TestRequestIsTriedAfterATrialThatShowedNothing(t *testing.T) {
	for _, kind := range []routing.Kind{routing.KindStreaming, routing.KindIdempotent} {
		for name, fault := range map[string]script{
			"server failed":  respond(http.StatusInternalServerError, "bad"),
			"server refused": refuse,
			"no server":      nil,
		} {
			t.Run(kind.String()+", "+name, func(t *testing.T) {
				hasFault := atomic.Bool{}
				g := newRig(t, map[string]script{"a1": func(w http.ResponseWriter, r *http.Request) {
					if hasFault.Load() {
						fault(w, r)
						return
					}
					events(3, complete)(w, r)
				}})
				g.permits = permit.NewIssuer(time.Now)
				g.relay = g.vm(g.servers)
				report := crash.Report{Trait: crash.Part(sharedPart)}
				for _, process := range []string{"process 1", "process 2", "process 3"} {
					report.Terminations = append(report.Terminations, crash.Termination{Process: process, Age: 6000})
				}
				g.crashes.Merge([]crash.Report{report})
				hasFault.Store(true)
				if fault == nil {
					g.servers.Update(nil)
				}
				qt.Assert(t, g.isServed(kind, "content 1"), qt.IsFalse)
				hasFault.Store(false)
				g.servers.Update(g.listed)
				qt.Check(t, g.isServed(kind, "content 2"), qt.IsTrue)
			})
		}
	}
}

// isServed sends a request with sharedPart and reports whether it is answered as a success.
func (g *rig) isServed(kind routing.Kind, content string) bool {
	r := requestWithPart(kind)
	r.Traits[0] = crash.Trait(content)
	if kind == routing.KindStreaming {
		c := &caller{}
		err := g.relay.Stream(context.Background(), r, c.sink())
		return err == nil && c.status == http.StatusOK
	}
	answer, err := g.relay.Call(context.Background(), r)
	return err == nil && answer.Status == http.StatusOK
}
