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
		rule = s.preferNew(0)
		rule.AvoidOthers = true
		return rule, version != s.order.To
	case StageCompleted:
		return s.avoidOld(), s.avoidOld().Avoids(version)
	case StageRolledBack:
		return s.avoidNew(), s.avoidNew().Avoids(version)
	default:
		return s.avoidNew(), slices.Contains(s.rejected, version)
	}
}
