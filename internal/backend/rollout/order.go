package rollout

import "slices"

// isNewerThan reports whether an order was written later.
func (o Order) isNewerThan(other Order) bool {
	if o.Era != other.Era {
		return o.Era > other.Era
	}
	return o.Revision > other.Revision
}

// isSameAs reports whether two orders are one. After the store came back from an older copy, the
// operator writes orders again, which gives them another era and revision.
func (o Order) isSameAs(other Order) bool {
	isWrittenAgain := o.Era != other.Era
	isEqual := o.Era == other.Era && o.Revision == other.Revision
	return (isEqual || isWrittenAgain) && o.hasContentOf(other)
}

func (o Order) hasContentOf(other Order) bool {
	return o.Service == other.Service && o.To == other.To && o.DurationMillis == other.DurationMillis && o.Withdrawn == other.Withdrawn
}

// isNewerThan orders the states of one order. A final state is not replaced by one that is not,
// whatever the store came back with.
func (s State) isNewerThan(other State) bool {
	switch {
	case s.Stage.IsFinal() != other.Stage.IsFinal():
		return s.Stage.IsFinal()
	case s.Serial != other.Serial:
		return s.Serial > other.Serial
	case s.Order.Era != other.Order.Era:
		return s.Order.Era > other.Order.Era
	case s.Stage != other.Stage:
		return s.Stage.rank() > other.Stage.rank()
	default:
		return s.Writer > other.Writer
	}
}

func (s Stage) rank() int {
	return slices.Index([]Stage{StageCanary, StageLoad, StageShift, StageRetire, StageCompleted, StageRolledBack}, s)
}

// rejectedBy returns the versions that get no requests once a state's order is replaced by one to
// another version.
func (s State) rejectedBy(to string) []string {
	rejected := slices.Clone(s.Rejected)
	if s.Stage != StageCompleted {
		rejected = append(rejected, s.Order.To)
	}
	return withoutVersion(rejected, to)
}

// withoutVersion returns sorted versions without one of them; nil if none are left.
func withoutVersion(versions []string, version string) []string {
	kept := slices.DeleteFunc(slices.Clone(versions), func(v string) bool { return v == version || v == "" })
	if len(kept) == 0 {
		return nil
	}
	slices.Sort(kept)
	return slices.Compact(kept)
}
