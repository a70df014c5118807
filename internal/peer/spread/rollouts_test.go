package spread_test

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/endivespoke/endivespoke/internal/backend/rollout"
	"github.com/endivespoke/endivespoke/internal/peer/spread"
)

// rolloutsFake keeps the newest order and state of each service, as a Follower does.
type rolloutsFake struct {
	mu      sync.Mutex
	orders  map[string]rollout.Order
	states  map[string]rollout.State
	tallies map[string]rollout.Tally // By VM and service.
	granted atomic.Int64
}

func newRolloutsFake() *rolloutsFake {
	return &rolloutsFake{orders: map[string]rollout.Order{}, states: map[string]rollout.State{}, tallies: map[string]rollout.Tally{}}
}

func (f *rolloutsFake) connect() spread.Rollouts {
	return spread.Rollouts{
		Digest:    f.digest,
		News:      f.news,
		OnNews:    f.apply,
		OnTallies: f.applyTallies,
		Grant: func(rollout.CreditRequest) rollout.CreditReply {
			f.granted.Add(1)
			return rollout.CreditReply{Granted: true}
		},
	}
}

func (f *rolloutsFake) apply(news spread.RolloutNews) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, order := range news.Orders {
		if order.Revision > f.orders[order.Service].Revision {
			f.orders[order.Service] = order
		}
	}
	for _, state := range news.States {
		if state.Serial > f.states[state.Order.Service].Serial {
			f.states[state.Order.Service] = state
		}
	}
}

func (f *rolloutsFake) applyTallies(tallies []rollout.Tally) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, tally := range tallies {
		f.tallies[tally.VM+" "+tally.Service] = tally
	}
}

func (f *rolloutsFake) news() spread.RolloutNews {
	f.mu.Lock()
	defer f.mu.Unlock()
	return spread.RolloutNews{
		Orders: slices.SortedFunc(maps.Values(f.orders), func(a, b rollout.Order) int { return cmp.Compare(a.Service, b.Service) }),
		States: slices.SortedFunc(maps.Values(f.states), func(a, b rollout.State) int { return cmp.Compare(a.Order.Service, b.Order.Service) }),
	}
}

func (f *rolloutsFake) digest() uint64 {
	news := f.news()
	if news.IsEmpty() {
		return 0 // As on all VMs of the other tests.
	}
	digest := fnv.New64a()
	fmt.Fprint(digest, news)
	return digest.Sum64()
}

func (f *rolloutsFake) hasTallyOf(vm string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, found := f.tallies[vm+" desk"]
	return found
}

// countRollouts counts a message that has something of roll-outs: a digest or a part of its own.
func (n *network) countRollouts(body []byte) {
	m := map[int]any{}
	if err := cbor.Unmarshal(body, &m); err != nil {
		return // No reply.
	}
	summary, _ := m[3].(map[any]any)
	_, hasDigest := summary[uint64(9)]
	for key := range m {
		if key >= 24 || hasDigest {
			n.rolloutBodies.Add(1)
			return
		}
	}
}

var (
	testOrder = rollout.Order{Service: "desk", To: "v2", DurationMillis: 40_000, Revision: 5}
	testState = rollout.State{Order: testOrder, From: []string{"v1"}, Stage: rollout.StageCanary, Serial: 1}
	testNews  = spread.RolloutNews{Orders: []rollout.Order{testOrder}, States: []rollout.State{testState}}
)

// tell gives a VM news as from the store.
func (v *vm) tell(news spread.RolloutNews) {
	v.rollouts.apply(news)
	v.AnnounceRollouts(news)
}

func haveAlike(vms []*vm) func() bool {
	return func() bool {
		return !slices.ContainsFunc(vms, func(v *vm) bool {
			return v.rollouts.digest() == 0 || v.rollouts.digest() != vms[0].rollouts.digest()
		})
	}
}

func coordinatorOf(vms []*vm) *vm {
	i := slices.IndexFunc(vms, func(v *vm) bool { _, isSelf := v.Coordinator("desk"); return isSelf })
	return vms[max(i, 0)]
}

func TestOrdersAndStatesReachAllVMs(t *testing.T) {
	n := newNetwork()
	n.countsRollouts = true
	vms := fleet(t, n, 3)
	qt.Check(t, n.rolloutBodies.Load(), qt.Equals, int64(0))
	vms[1].tell(testNews)
	waitFor(t, exchangeLimit, "all have the order", haveAlike(vms))
	qt.Check(t, n.rolloutBodies.Load() > 0, qt.IsTrue)

	n.losesPosts.Store(true) // Announcements are lost.
	next := testState
	next.Stage, next.Serial = rollout.StageLoad, 2
	vms[2].tell(spread.RolloutNews{States: []rollout.State{next}})
	waitFor(t, exchangeLimit, "all have the next state", haveAlike(vms))
	starting := n.start(t, "c9", "a0:1", "b1:1", "c2:1")
	waitFor(t, exchangeLimit, "a starting VM has both", haveAlike(append(vms, starting)))
	qt.Check(t, starting.rollouts.news().States, qt.DeepEquals, []rollout.State{next})
}

func TestOrdersReachAllVMsOfSeveralCells(t *testing.T) {
	vms := fleet(t, newNetwork(), 60)
	vms[7].tell(testNews)
	waitFor(t, exchangeLimit, "all have the order", haveAlike(vms))
}

func TestTalliesReachTheWatchersOfARollout(t *testing.T) {
	vms := fleet(t, newNetwork(), 9)
	for _, v := range vms {
		v.PostTallies("desk", []rollout.Tally{{VM: v.address, Service: "desk", Revision: 5}})
	}
	watchers := vms[0].RolloutWatchers("desk")
	qt.Check(t, watchers, qt.HasLen, 3)
	for _, watcher := range watchers {
		i := slices.IndexFunc(vms, func(v *vm) bool { return v.Snapshot().Self.ID == watcher.ID })
		waitFor(t, exchangeLimit, "a watcher has all tallies", func() bool {
			return !slices.ContainsFunc(vms, func(v *vm) bool { return !vms[i].rollouts.hasTallyOf(v.address) })
		})
	}
}

func TestCreditsAreGrantedByTheCoordinator(t *testing.T) {
	n := newNetwork()
	vms := fleet(t, n, 9)
	for _, v := range vms {
		reply, err := v.TakeCredit(rollout.CreditRequest{Service: "desk", Revision: 5, VM: v.address})
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, reply.Granted, qt.IsTrue)
	}
	coordinator := coordinatorOf(vms)
	qt.Check(t, coordinator.rollouts.granted.Load(), qt.Equals, int64(len(vms)))

	others := slices.DeleteFunc(slices.Clone(vms), func(v *vm) bool { return v == coordinator })
	n.setPartitioned(coordinator.address, true)
	_, err := others[0].TakeCredit(rollout.CreditRequest{Service: "desk"})
	qt.Check(t, err, qt.IsNotNil)
	waitFor(t, exchangeLimit, "another VM grants credits", func() bool {
		reply, err := others[0].TakeCredit(rollout.CreditRequest{Service: "desk"})
		return err == nil && reply.Granted
	})
	waitFor(t, exchangeLimit, "the partitioned VM grants itself none", func() bool {
		reply, err := coordinator.TakeCredit(rollout.CreditRequest{Service: "desk"})
		return err != nil && !reply.Granted
	})
}

// TestVMThatDoesNotCoordinateGrantsNothing has a VM whose view of the fleet differs from the others'.
func TestVMThatDoesNotCoordinateGrantsNothing(t *testing.T) {
	vms := fleet(t, newNetwork(), 3)
	coordinator := coordinatorOf(vms)
	for _, v := range vms {
		v.rollouts.granted.Store(0)
	}
	other := vms[(slices.Index(vms, coordinator)+1)%len(vms)]
	request := struct {
		From   string                 `cbor:"1,keyasint"`
		Credit *rollout.CreditRequest `cbor:"26,keyasint"`
	}{"x", &rollout.CreditRequest{Service: "desk"}}
	body, err := cbor.Marshal(request)
	qt.Assert(t, err, qt.IsNil)
	reply := struct {
		Credit *rollout.CreditReply `cbor:"27,keyasint"`
	}{}
	qt.Assert(t, cbor.Unmarshal(other.OnMessage(body), &reply), qt.IsNil)
	qt.Check(t, *reply.Credit, qt.Equals, rollout.CreditReply{})
	qt.Check(t, other.rollouts.granted.Load(), qt.Equals, int64(0))
}

func TestVMThatTheStoreDoesNotAnswerDoesNotCoordinate(t *testing.T) {
	vms := fleet(t, newNetwork(), 3)
	first := coordinatorOf(vms)
	setUnreachable := func(unreachable bool) {
		first.SetSelf(context.Background(), func(self *spread.Member) { self.StoreUnreachable = unreachable })
	}
	isAgreed := func(wantFirst bool) func() bool {
		return func() bool {
			return !slices.ContainsFunc(vms, func(v *vm) bool {
				coordinator, _ := v.Coordinator("desk")
				return (coordinator.ID == first.Snapshot().Self.ID) != wantFirst
			})
		}
	}
	setUnreachable(true)
	waitFor(t, exchangeLimit, "another VM coordinates", isAgreed(false))
	setUnreachable(false)
	waitFor(t, exchangeLimit, "it coordinates again", isAgreed(true))
}
