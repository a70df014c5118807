package rollout

import "slices"

// Retired reports whether servers of a version of a service are to keep no work, and returns the rule
// for what leaves them: versions that a completed roll-out, or one in the stage retire, replaces,
// and those that were rolled back or given up.
func (f *Follower) Retired(service, version string) (rule Rule, retired bool) {
	s := f.service(service)
	if s == nil {
		return Rule{}, false
	}
	return s.retired(version)
}

func (s *followed) retired(version string) (rule Rule, retired bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.stage() {
	case StageRetire:
		return s.onlyNew(), version != s.order.To
	case StageCompleted:
		return s.avoidOld(), s.avoidOld().Avoids(version)
	case StageRolledBack:
		return s.avoidNew(), s.avoidNew().Avoids(version)
	default:
		if s.isKeepingRetire() {
			return s.avoidNew(), version != s.retiring
		}
		return s.avoidNew(), slices.Contains(s.rejected, version)
	}
}

// CurrentRule returns what a rule that Choose or Retired returned is to be now: the stage may have
// changed since. A rule for the new version is kept while the version may get requests, so that a
// send without a credit does not become one to it before the stage retire. It takes no credit and
// does not block, so that it can be called as a server is chosen.
func (f *Follower) CurrentRule(service string, rule Rule) Rule {
	s := f.service(service)
	if s == nil {
		return rule
	}
	return s.currentRule(rule)
}

func (s *followed) currentRule(rule Rule) Rule {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rule.Exact {
		return s.exactRule(rule)
	}
	switch stage := s.stage(); stage {
	case StageRetire:
		return s.onlyNew()
	case StageCompleted:
		return s.avoidOld()
	case StageCanary, StageLoad, StageShift:
		if rule.Prefer == s.order.To && rule.Prefer != "" && !s.suspended {
			return s.preferNew(rule.Servers)
		}
	}
	return s.avoidNew()
}

// exactRule returns the rule for a stream that has begun: it may go on at its version, unless that gets
// nothing more. Called with the lock held.
func (s *followed) exactRule(rule Rule) Rule {
	isOver := slices.Contains(s.rejected, rule.Only)
	switch s.stage() {
	case StageCompleted:
		isOver = s.avoidOld().Avoids(rule.Only)
	case StageRolledBack, StageCanary, StageLoad:
		isOver = isOver || (rule.Only == s.order.To && (s.suspended || s.state.Stage == StageRolledBack))
	}
	if isOver {
		rule.Avoid = []string{rule.Only}
	}
	return rule
}
