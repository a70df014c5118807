package rollout_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/backend/rollout"
)

// Times of the fleet in the tests, in milliseconds.
const (
	tickMillis   = 50
	tallyMillis  = 250
	orderMillis  = 12_000
	spreadMillis = 150 // From the writing of a state until the VMs follow it.
)

// version is what a test's new version is like.
type version struct {
	fails    float64 // Share of its answers that fail more than those of the old version.
	slower   float64
	badFrom  float64 // Fraction of the order's time.
	badRoute bool    // On one route only.
	inShift  bool    // Not before nearly all traffic goes to it.
}

func (v version) isBad() bool { return v.fails > 0 || v.slower > 0 }

// fleet is some VMs that follow the roll-out of one service, with its coordinator.
type fleet struct {
	random      *rand.Rand
	now         int64
	vms         []*rollout.Follower
	coordinator *rollout.Coordinator
	row         *rollout.State
	events      map[int64][]func() // By time.
	oldWork     []int

	rate    float64
	routes  int
	failing float64
	version version

	requests, exposed, bad, credits int
}

func newFleet(seed uint64, vms int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 7)), events: map[int64][]func(){}, oldWork: make([]int, vms), now: 1_000}
	f.coordinator = rollout.NewCoordinator(rollout.CoordinatorOptions{ExposureShare: 0.1, ExposureSlack: 50})
	for n := range vms {
		f.vms = append(f.vms, rollout.NewFollower(rollout.FollowerOptions{
			VM:   vmName(n),
			Draw: f.random.Float64,
			TakeCredit: func(request rollout.CreditRequest) rollout.CreditReply {
				f.credits++
				return f.coordinator.Grant(request)
			},
			OldWork: func(string, string) int { return f.oldWork[n] },
		}))
	}
	return f
}

func vmName(n int) string { return fmt.Sprint("vm-", n) }

func (f *fleet) members() []string {
	var members []string
	for n := range f.vms {
		members = append(members, vmName(n))
	}
	return members
}

// play plays an order to its deadline and returns the state that the row holds then.
func (f *fleet) play() rollout.State {
	order := rollout.Order{Service: service, To: "v2", DurationMillis: orderMillis, Era: 1, Revision: 1}
	for _, vm := range f.vms {
		vm.ApplyOrders([]rollout.Order{order})
	}
	f.coordinator.Begin(order, nil, nil)
	start := f.now
	for ; f.now < start+orderMillis; f.now += tickMillis {
		for _, event := range f.events[f.now] {
			event()
		}
		delete(f.events, f.now)
		if (f.now-start)%tallyMillis == 0 {
			f.decide()
		}
		if f.row != nil && f.row.Stage.IsFinal() {
			return *f.row
		}
		f.sendAll(float64(f.now-start) / orderMillis)
	}
	return *f.row
}

func (f *fleet) decide() {
	for _, vm := range f.vms {
		for _, tally := range vm.Tallies() {
			f.coordinator.ApplyTally(tally)
		}
	}
	view := rollout.View{NowMillis: f.now, Members: f.members(), NewServers: 3, OldServers: 3, From: []string{"v1"}}
	next, due := f.coordinator.Decide(view)
	if !due {
		return
	}
	f.row = &next
	f.coordinator.Written(next)
	f.at(spreadMillis, func() {
		for _, vm := range f.vms {
			vm.ApplyStates([]rollout.State{next})
		}
	})
}

// at runs an event after a time, rounded up to a tick.
func (f *fleet) at(millis float64, event func()) {
	ticks := int64(math.Ceil(millis / tickMillis))
	at := f.now + max(ticks, 1)*tickMillis
	f.events[at] = append(f.events[at], event)
}

func (f *fleet) sendAll(elapsed float64) {
	expected := f.rate * tickMillis / 1000
	number := int(expected)
	if f.random.Float64() < expected-float64(number) {
		number++
	}
	for range number {
		f.send(elapsed)
	}
}

func (f *fleet) send(elapsed float64) {
	n := f.random.IntN(len(f.vms))
	vm, route := f.vms[n], f.random.IntN(f.routes)
	rule := vm.Choose(service, rollout.SendNew)
	result := rollout.Result{Service: service, Route: fmt.Sprint("route ", route), Version: "v1", Outcome: rollout.Answered}
	isNew := rule.Prefer == "v2"
	isBad := isNew && elapsed >= f.version.badFrom && (route == 0 || !f.version.badRoute)
	if f.version.inShift {
		isBad = isBad && (f.row.Stage == rollout.StageShift || f.row.Stage == rollout.StageRetire)
	}
	took := 30 * math.Exp(0.35*f.random.NormFloat64())
	f.requests++
	switch {
	case isNew:
		f.exposed++
		result.Version = "v2"
	default:
		f.oldWork[n]++
	}
	if f.random.Float64() < f.failing || (isBad && f.random.Float64() < f.version.fails) {
		result.Outcome = rollout.Failed
	}
	if isBad && f.version.slower > 0 {
		took *= f.version.slower
	}
	if isBad && (result.Outcome == rollout.Failed || f.version.slower > 0) {
		f.at(took, func() { f.bad++ })
	}
	result.Took = time.Duration(took * float64(time.Millisecond))
	f.at(took, func() {
		vm.Record(result)
		if !isNew {
			f.oldWork[n]--
		}
	})
}

// TestDuty plays orders of 12 seconds on six VMs: a good version is completed by 0.8 of the time, and a
// bad one is rolled back within the allowed exposure, before its 50th bad answer.
func TestDuty(t *testing.T) {
	const runs = 20
	versions := map[string]version{
		"good":           {},
		"half fails":     {fails: 0.5},
		"slow":           {slower: 4},
		"fails late":     {fails: 0.5, badFrom: 0.4},
		"slow late":      {slower: 4, badFrom: 0.4},
		"fails on one":   {fails: 0.5, badRoute: true},
		"slow on one":    {slower: 4, badRoute: true},
		"fails always":   {fails: 1},
		"fails and slow": {fails: 0.5, slower: 4},
		"fails in shift": {fails: 0.5, inShift: true},
	}
	// The least share of the runs in which a bad version is found, where there are too few outcomes to
	// find it always.
	minFound := map[float64]map[string]float64{
		4: {
			"half fails": 0.7, "slow": 0.7, "fails always": 0.9, "fails and slow": 0.7,
			"fails late": 0, "slow late": 0, "fails on one": 0, "slow on one": 0, "fails in shift": 0,
		},
		40: {"fails in shift": 0.6},
	}
	for _, rate := range []float64{4, 40, 180} {
		for _, routes := range []int{1, 3} {
			for name, version := range versions {
				if routes == 1 && version.badRoute {
					continue
				}
				t.Run(fmt.Sprintf("%s, %v a second, %d routes", name, rate, routes), func(t *testing.T) {
					t.Parallel()
					right, latest, maxBad, maxExposed := 0, 0.0, 0, 0.0
					for run := range runs {
						f := newFleet(uint64(run), 6)
						f.rate, f.routes, f.version, f.failing = rate, routes, version, 0.01
						state := f.play()
						allowed := 0.1*float64(f.requests) + 50
						if version.inShift {
							allowed = 0.1*rate*orderMillis/1000 + 50 // With the requests until the deadline.
						}
						if version.isBad() {
							qt.Check(t, float64(f.exposed) <= allowed, qt.IsTrue, qt.Commentf("run %d: %d of %v", run, f.exposed, allowed))
						}
						maxExposed = max(maxExposed, float64(f.exposed)/allowed)
						maxBad = max(maxBad, f.bad)
						latest = max(latest, float64(f.now-1_000)/orderMillis)
						if version.isBad() == (state.Stage == rollout.StageRolledBack) && state.Stage.IsFinal() {
							right++
						} else {
							t.Logf("run %d: %s, %s", run, state.Stage, state.Reason)
						}
					}
					t.Logf("right %d of %d, ended by %.2f, most bad answers %d, exposure %.2f of what is allowed", right, runs, latest, maxBad, maxExposed)
					wanted, isRare := minFound[rate][name]
					if !isRare {
						wanted = 1
					}
					qt.Assert(t, float64(right)/runs >= wanted, qt.IsTrue)
					maxAllowedBad := 50
					if version.inShift {
						maxAllowedBad += int(rate / 2) // Until all VMs follow the rollback.
					}
					qt.Assert(t, maxBad <= maxAllowedBad, qt.IsTrue)
					if !version.isBad() {
						qt.Assert(t, latest <= 0.8, qt.IsTrue)
					}
				})
			}
		}
	}
}
