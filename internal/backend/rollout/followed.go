package rollout

import (
	"maps"
	"slices"
	"sync"
)

const (
	// maxRoutes bounds the size of a tally. Further routes are counted as otherRoutes.
	maxRoutes   = 32
	otherRoutes = ""
)

// followed is what a VM knows of the roll-out of one service, and what it has counted for it.
type followed struct {
	mu        sync.Mutex
	newest    Order  // May be withdrawn.
	order     Order  // The newest that was not; zero if there is none.
	state     *State // Of order; nil if it is not known.
	rejected  []string
	assumed   []string // Those of rejected of whose orders this VM knows no end.
	retiring  string   // The version of an order that was replaced in the stage retire; empty once order has a state.
	share     float64  // Of first sends for which a credit is asked.
	suspended bool     // No credits until a later state is known.

	requests int
	exposed  int
	routes   map[string]*RouteTally
	sequence uint64
}

func (s *followed) applyOrder(order Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	isKnown := s.newest != Order{}
	switch {
	case isKnown && !order.isNewerThan(s.newest):
		return false
	case isKnown && order.isSameAs(s.newest):
		s.newest = order
		if !order.Withdrawn {
			s.order = order
		}
	case order.Withdrawn:
		s.newest = order
	default:
		s.replace(order)
	}
	return true
}

// replace begins with an order. Called with the lock held.
func (s *followed) replace(order Order) {
	if s.state != nil {
		s.rejected = append(s.rejected, s.state.rejectedBy(order.To)...)
	} else {
		s.rejected = append(s.rejected, s.order.To)
	}
	if s.state == nil || !s.state.Stage.IsFinal() {
		s.assumed = append(s.assumed, s.order.To)
	}
	if s.state != nil && s.state.Stage == StageRetire {
		s.retiring = s.order.To
	}
	s.rejected = withoutVersion(s.rejected, order.To)
	s.newest, s.order, s.state = order, order, nil
	s.share, s.suspended = initialShare, false
	s.requests, s.exposed, s.routes = 0, 0, map[string]*RouteTally{}
}

func (s *followed) applyState(state State) bool {
	changed := false
	if state.Order.isNewerThan(s.newestOrder()) {
		changed = s.applyOrder(state.Order)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !state.Order.isSameAs(s.order) || (s.state != nil && !state.isNewerThan(*s.state)) {
		return changed
	}
	if s.state == nil || s.state.Serial != state.Serial {
		s.suspended = false
	}
	s.state, s.retiring = &state, ""
	s.reject(state)
	return true
}

// reject notes the versions that a state of the order lists as rejected. One that was assumed to be,
// served when the order began and is not listed has been completed meanwhile: the state's writer knew
// how the order before had ended. Called with the lock held.
func (s *followed) reject(state State) {
	wasCompleted := func(version string) bool {
		return slices.Contains(s.assumed, version) && slices.Contains(state.From, version)
	}
	known := slices.DeleteFunc(slices.Clone(s.rejected), wasCompleted)
	s.rejected, s.assumed = withoutVersion(append(known, state.Rejected...), s.order.To), nil
}

func (s *followed) newestOrder() Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest
}

func (s *followed) newestState() (state State, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == nil {
		return State{}, false
	}
	return *s.state, true
}

func (s *followed) newVersion() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.order.To
}

// choose returns the rule for a send, and whether a credit is to be asked for first.
func (s *followed) choose(send Send, draw func() float64) (rule Rule, needsCredit bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if send == SendNew {
		s.requests++
	}
	switch stage := s.stage(); stage {
	case StageCanary, StageLoad:
		needsCredit = send == SendNew && !s.suspended && draw() < s.share
	case StageShift:
		if send == SendNew && draw() < controlShare {
			return s.avoidNew(), false
		}
		s.exposed++
	case StageRetire:
		s.exposed++
	}
	return s.usualRule(), needsCredit
}

func (s *followed) usual() Rule {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usualRule()
}

// usualRule returns the rule of sends without a credit that are not in the control group. Called with
// the lock held.
func (s *followed) usualRule() Rule {
	switch s.stage() {
	case StageShift:
		return s.preferNew(0)
	case StageRetire:
		return s.onlyNew()
	case StageCompleted:
		return s.avoidOld()
	default:
		return s.avoidNew()
	}
}

// stage returns the stage to keep to. An order whose state is not known has none, and one that was
// withdrawn neither, unless it has come to retire: completed may just be written, and until the
// rollback is, nothing may return to servers that would then stop. Called with the lock held.
func (s *followed) stage() Stage {
	if s.state == nil {
		return ""
	}
	stage := s.state.Stage
	if s.newest.Withdrawn && !stage.IsFinal() && stage != StageRetire {
		return ""
	}
	return stage
}

// isKeepingRetire reports whether this VM keeps to the stage retire of an order that was replaced: it may
// still be written as completed, until the state of the new order is. Called with the lock held.
func (s *followed) isKeepingRetire() bool {
	return s.retiring != "" && s.state == nil && !s.newest.Withdrawn
}

// avoidNew is the rule for sends that go to the old version. Called with the lock held.
func (s *followed) avoidNew() Rule {
	if s.isKeepingRetire() {
		return Rule{Prefer: s.retiring, Avoid: withoutVersion(s.rejected, s.retiring), AvoidOthers: true}
	}
	avoid := slices.Clone(s.rejected)
	if s.order.To != "" {
		avoid = append(avoid, s.order.To)
	}
	return Rule{Avoid: avoid}
}

// avoidOld is the rule once an order is completed. Called with the lock held.
func (s *followed) avoidOld() Rule {
	return Rule{Avoid: withoutVersion(slices.Concat(s.rejected, s.state.From), s.order.To)}
}

// preferNew is the rule for sends that go to the new version. Called with the lock held.
func (s *followed) preferNew(servers int) Rule {
	return Rule{Prefer: s.order.To, Avoid: slices.Clone(s.rejected), Servers: servers}
}

// onlyNew is the rule of the stage retire. Called with the lock held.
func (s *followed) onlyNew() Rule {
	rule := s.preferNew(0)
	rule.AvoidOthers = true
	return rule
}

func (s *followed) creditRequest(vm string, instance uint64) CreditRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return CreditRequest{Service: s.order.Service, Era: s.order.Era, Revision: s.order.Revision, VM: vm, Requests: s.requests, Instance: instance}
}

// applyCredit returns the rule that a credit allows. The order may have been replaced or withdrawn
// while the VM waited for it; then the credit is lost.
func (s *followed) applyCredit(request CreditRequest, reply CreditReply) Rule {
	s.mu.Lock()
	defer s.mu.Unlock()
	if request.Era != s.order.Era || request.Revision != s.order.Revision {
		return s.avoidNew()
	}
	s.share = nextShare(s.share, reply)
	if reply.Suspended {
		s.suspended = true
	}
	stage := s.stage()
	isUsable := stage != "" && stage != StageRolledBack
	if !reply.Granted || s.suspended || !isUsable {
		return s.avoidNew()
	}
	s.exposed++
	return s.preferNew(reply.Servers)
}

func (s *followed) record(result Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isUnderWay() || slices.Contains(s.rejected, result.Version) {
		return
	}
	route := s.route(result.Route)
	sample := &route.Old
	if result.Version == s.order.To {
		sample = &route.New
	}
	switch result.Outcome {
	case Answered:
		sample.Answered++
		sample.Latencies = addToBucket(sample.Latencies, result.Took)
	case Failed:
		sample.Failed++
	case Abandoned:
		sample.Abandoned = addToBucket(sample.Abandoned, result.Took)
	}
}

// route returns the counts of a route. Routes beyond maxRoutes are counted together. Called with the
// lock held.
func (s *followed) route(name string) *RouteTally {
	if s.routes[name] == nil && len(s.routes) >= maxRoutes {
		name = otherRoutes
	}
	if s.routes[name] == nil {
		s.routes[name] = &RouteTally{Route: name}
	}
	return s.routes[name]
}

// isUnderWay reports whether outcomes still matter. Called with the lock held.
func (s *followed) isUnderWay() bool {
	return !s.newest.Withdrawn && (s.state == nil || !s.state.Stage.IsFinal())
}

// tally returns what was counted; ok is false if no order is under way.
func (s *followed) tally() (tally Tally, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isUnderWay() {
		return Tally{}, false
	}
	s.sequence++
	tally = Tally{Service: s.order.Service, Era: s.order.Era, Revision: s.order.Revision, Requests: s.requests, Exposed: s.exposed, Sequence: s.sequence}
	if s.state != nil {
		tally.Serial = s.state.Serial
	}
	for _, name := range slices.Sorted(maps.Keys(s.routes)) {
		route := *s.routes[name]
		route.Old, route.New = route.Old.clone(), route.New.clone()
		tally.Routes = append(tally.Routes, route)
	}
	return tally, true
}

func (s Sample) clone() Sample {
	s.Latencies, s.Abandoned = slices.Clone(s.Latencies), slices.Clone(s.Abandoned)
	return s
}
