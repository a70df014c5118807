package rollout

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

const (
	// initialShare is the share of its requests for which a VM asks for a credit before a
	// coordinator has told it a share.
	initialShare = 0.25
	// minShare keeps a VM asking after calls for credits that failed.
	minShare = 1.0 / 64
	// controlShare is the share of first sends that stay with the old version in the stage shift,
	// so that the versions can be compared.
	controlShare = 0.3
)

// Follower is one VM's view of the roll-outs. It is safe for concurrent use.
type Follower struct {
	options  FollowerOptions
	instance uint64

	mu sync.Mutex // Of changes to services.
	// services are by name. The map is replaced on a change, so that requests read it without a
	// lock; nil if there are no orders.
	services atomic.Pointer[map[string]*followed]
}

// NewFollower returns a Follower that knows of no order.
func NewFollower(options FollowerOptions) *Follower {
	return &Follower{options: options, instance: uint64(options.Draw() * (1 << 53))}
}

// ApplyOrders applies orders of operators. Of two for a service the one of the newer era and revision
// holds.
func (f *Follower) ApplyOrders(orders []Order) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, order := range orders {
		if f.applyOrder(order) {
			changed = true
		}
	}
	return changed
}

func (f *Follower) applyOrder(order Order) bool {
	if s := f.service(order.Service); s != nil {
		return s.applyOrder(order)
	}
	services := map[string]*followed{}
	if current := f.services.Load(); current != nil {
		maps.Copy(services, *current)
	}
	s := &followed{}
	s.applyOrder(order)
	services[order.Service] = s
	f.services.Store(&services)
	return true
}

// ApplyStates applies states that the coordinators have written.
func (f *Follower) ApplyStates(states []State) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, state := range states {
		if f.applyState(state) {
			changed = true
		}
	}
	return changed
}

func (f *Follower) applyState(state State) bool {
	s := f.service(state.Order.Service)
	if s == nil {
		f.applyOrder(state.Order)
		s = f.service(state.Order.Service)
	}
	return s.applyState(state)
}

// service returns what is known of a service's roll-out, nil if nothing is.
func (f *Follower) service(name string) *followed {
	services := f.services.Load()
	if services == nil {
		return nil
	}
	return (*services)[name]
}

// all returns all services with orders, sorted by name.
func (f *Follower) all() []*followed {
	services := f.services.Load()
	if services == nil {
		return nil
	}
	all := []*followed{}
	for _, name := range slices.Sorted(maps.Keys(*services)) {
		all = append(all, (*services)[name])
	}
	return all
}

// Orders returns the newest order of each service, and those that were withdrawn, sorted by service.
func (f *Follower) Orders() []Order {
	var orders []Order
	for _, s := range f.all() {
		orders = append(orders, s.newestOrder())
	}
	return orders
}

// States returns the newest state of each order in Orders, sorted by service. Of an order that was
// withdrawn it is that of the order before it.
func (f *Follower) States() []State {
	var states []State
	for _, s := range f.all() {
		if state, ok := s.newestState(); ok {
			states = append(states, state)
		}
	}
	return states
}

// Digest is equal on VMs with the same orders and states; 0 if there are none.
func (f *Follower) Digest() uint64 {
	all := f.all()
	if len(all) == 0 {
		return 0
	}
	var content []byte
	for _, s := range all {
		content = appendOrder(content, s.newestOrder())
		if state, ok := s.newestState(); ok {
			content = appendOrder(content, state.Order)
			content = strconv.AppendUint(content, state.Serial, 10)
			content = strconv.AppendQuote(content, string(state.Stage))
			content = strconv.AppendUint(content, uint64(state.Writer), 10)
		}
	}
	return max(xxhash.Sum64(content), 1)
}

func appendOrder(content []byte, order Order) []byte {
	content = strconv.AppendQuote(content, order.Service)
	content = strconv.AppendQuote(content, order.To)
	content = strconv.AppendInt(content, order.DurationMillis, 10)
	content = append(content, ' ')
	content = strconv.AppendUint(content, order.Era, 10)
	content = append(content, ' ')
	content = strconv.AppendUint(content, order.Revision, 10)
	return strconv.AppendBool(content, order.Withdrawn)
}

// Choose returns the rule for a send to a service. It takes a credit if the rule needs one, which may
// block for a call to another VM.
func (f *Follower) Choose(service string, send Send) Rule {
	s := f.service(service)
	if s == nil {
		return Rule{}
	}
	rule, needsCredit := s.choose(send, f.options.Draw)
	if !needsCredit {
		return rule
	}
	request := s.creditRequest(f.options.VM, f.instance)
	return s.applyCredit(request, f.options.TakeCredit(request))
}

// Usual returns the rule that most sends of a service follow. It is no send: nothing is counted, and
// no credit is asked for.
func (f *Follower) Usual(service string) Rule {
	s := f.service(service)
	if s == nil {
		return Rule{}
	}
	return s.usual()
}

// Record counts the end of a send.
func (f *Follower) Record(result Result) {
	if result.Outcome == NoEvidence {
		return
	}
	if s := f.service(result.Service); s != nil {
		s.record(result)
	}
}

// Tallies returns what this VM has counted for the orders that are under way.
func (f *Follower) Tallies() []Tally {
	var tallies []Tally
	for _, s := range f.all() {
		tally, ok := s.tally()
		if !ok {
			continue
		}
		tally.VM, tally.Instance = f.options.VM, f.instance
		if f.options.OldWork != nil {
			tally.OldWork = f.options.OldWork(tally.Service, s.newVersion())
		}
		tallies = append(tallies, tally)
	}
	return tallies
}

// Retiring returns the version whose servers are to keep no work of a service, as all but it; ok is
// false if there is none.
func (f *Follower) Retiring(service string) (keep string, ok bool) {
	s := f.service(service)
	if s == nil {
		return "", false
	}
	state, ok := s.newestState()
	if !ok || (state.Stage != StageRetire && state.Stage != StageCompleted) {
		return "", false
	}
	return state.Order.To, true
}

// nextShare returns the share for which a VM asks after a reply to a request for a credit. A reply
// without a share is that of a call that failed.
func nextShare(share float64, reply CreditReply) float64 {
	if reply.Share > 0 {
		return math.Min(reply.Share, 1)
	}
	return math.Max(share/2, math.Min(share, minShare))
}
