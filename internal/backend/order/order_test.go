package order_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/endivespoke/endivespoke/internal/backend/engine"
	"github.com/endivespoke/endivespoke/internal/backend/order"
	"github.com/endivespoke/endivespoke/internal/config/object"
	"github.com/endivespoke/endivespoke/internal/lab/enginefake"
	"github.com/endivespoke/endivespoke/internal/lab/platformfake"
	"github.com/endivespoke/endivespoke/internal/lab/property"
	"github.com/endivespoke/endivespoke/internal/platform/table"
)

func init() { property.FixSeed() }

type rig struct {
	engine   *enginefake.Engine
	platform *platformfake.Platform
	server   object.BackendServer
	base     string
	now      time.Time
}

func newRig(t *testing.T, checksFencing bool) *rig {
	r := &rig{engine: enginefake.New(enginefake.Options{}), platform: platformfake.New(), now: time.Unix(1000, 0)}
	engineServer := httptest.NewServer(r.engine)
	t.Cleanup(engineServer.Close)
	platformServer := httptest.NewServer(r.platform)
	t.Cleanup(platformServer.Close)
	r.base = platformServer.URL
	r.engine.Manage(checksFencing)
	r.server = object.BackendServer{Name: "e1", Address: strings.TrimPrefix(engineServer.URL, "http://"), Versions: []string{"m-1"}, ChecksFencing: checksFencing}
	return r
}

func (r *rig) controller(self string, options order.Options) *order.Controller {
	options.Self = self
	options.Table = table.New(r.base, http.DefaultClient)
	options.Engines = engine.New(http.DefaultClient)
	options.LoadsLimit = func() int { return 1 }
	options.Logger = hclog.NewNullLogger()
	options.Now = func() time.Time { return r.now }
	if options.HolderDown == nil {
		options.HolderDown = func(string) bool { return false }
	}
	return order.New(options)
}

func TestServerIsBroughtToItsPublishedState(t *testing.T) {
	r := newRig(t, true)
	c := r.controller("vm-1", order.Options{})
	ctx := context.Background()
	qt.Assert(t, c.Check(ctx, r.server), qt.IsNil)
	qt.Assert(t, r.engine.Models(), qt.DeepEquals, []string{"m-1"})
	writes := r.platform.Counts().TableWrites
	qt.Assert(t, c.Check(ctx, r.server), qt.IsNil)
	qt.Assert(t, r.platform.Counts().TableWrites, qt.Equals, writes) // No write without a difference.
	r.server.Versions = []string{"m-2"}
	qt.Assert(t, c.Check(ctx, r.server), qt.IsNil)
	qt.Assert(t, r.engine.Accepted(), qt.DeepEquals, []string{"load m-1 1", "load m-2 2", "unload m-1 2"})
}

// TestHolderPausedBeforeItsClockCheck lets the lease expire during the pause. Neither
// kind of server receives the late order.
func TestHolderPausedBeforeItsClockCheck(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		r := newRig(t, checksFencing)
		paused := r.controller("vm-1", order.Options{BeforeClockCheck: func() { r.now = r.now.Add(time.Minute) }})
		qt.Assert(t, paused.Check(context.Background(), r.server), qt.ErrorMatches, ".*no time left.*")
		qt.Assert(t, r.engine.Accepted(), qt.HasLen, 0)
	}
}

// TestHolderPausedJustBeforeSending lets another VM acquire the lease during the pause. A
// server that checks fencing numbers refuses the late order. Any other carries it out, as
// the operators' documentation states, and the next check corrects it.
func TestHolderPausedJustBeforeSending(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		r := newRig(t, checksFencing)
		ctx := context.Background()
		newer := r.server
		newer.Versions = []string{"m-2"}
		successor := r.controller("vm-2", order.Options{})
		paused := r.controller("vm-1", order.Options{BeforeSend: func() {
			r.now = r.now.Add(time.Minute)
			qt.Check(t, successor.Check(ctx, newer), qt.IsNil)
		}})
		err := paused.Check(ctx, r.server)
		if checksFencing {
			qt.Assert(t, errors.Is(err, engine.ErrFenced), qt.IsTrue)
			qt.Assert(t, r.engine.Models(), qt.DeepEquals, []string{"m-2"})
			continue
		}
		qt.Assert(t, r.engine.Models(), qt.DeepEquals, []string{"m-2", "m-1"})
		r.now = r.now.Add(time.Minute)
		qt.Assert(t, successor.Check(ctx, newer), qt.IsNil)
		qt.Assert(t, r.engine.Models(), qt.DeepEquals, []string{"m-2"})
	}
}

// TestLeaseRules draws holders that acquire the lease, pause and are found down. Numbers
// only increase, and without fencing no two holders' orders can overlap.
func TestLeaseRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		checksFencing := rapid.Bool().Draw(t, "checksFencing")
		lease := order.Lease{}
		lastSend := map[string]time.Time{}
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				self := rapid.SampledFrom([]string{"vm-1", "vm-2", "vm-3"}).Draw(t, "self")
				next, ok := lease.Acquire(self, checksFencing, rapid.Bool().Draw(t, "holderDown"), now)
				if !ok {
					return
				}
				property.Assert(t, next.Number > lease.Number, qt.IsTrue)
				if !checksFencing && lease.Holder != self {
					for holder, sent := range lastSend {
						property.Assert(t, holder == self || !now.Before(sent.Add(5*time.Second)), qt.IsTrue)
					}
				}
				lease = next
			},
			"send": func(t *rapid.T) {
				if lease.Number > 0 && lease.MaySend(now) {
					lastSend[lease.Holder] = now
				}
			},
			"the last instant comes": func(*rapid.T) {
				if last := lease.Until.Add(-time.Millisecond); now.Before(last) {
					now = last
				}
			},
			"the lease lapses": func(*rapid.T) {
				if now.Before(lease.Until) {
					now = lease.Until
				}
			},
			"time passes": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "millis")) * time.Millisecond)
			},
		})
	})
}

// TestWeightStoreReadsAreBounded draws servers that start and finish loading.
func TestWeightStoreReadsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		loads := order.WeightLoads{}
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				if next, ok := loads.Acquire(rapid.StringMatching("e[0-9]").Draw(t, "server"), limit, now); ok {
					loads = next
				}
			},
			"leave": func(t *rapid.T) {
				loads = loads.Release(rapid.StringMatching("e[0-9]").Draw(t, "server"))
			},
			"time passes": func(t *rapid.T) { now = now.Add(5 * time.Second) },
			"": func(t *rapid.T) {
				property.Assert(t, len(loads.Loads) <= limit, qt.IsTrue)
			},
		})
	})
}

func TestPlanKeepsWhatRuns(t *testing.T) {
	orders := order.Plan([]string{"b"}, []engine.LoadedModel{{ID: "a", Running: 1}, {ID: "c"}})
	qt.Assert(t, orders, qt.DeepEquals, []engine.Order{{Action: engine.LoadModel, Model: "b"}, {Action: engine.UnloadModel, Model: "c"}})
}
