package rollout

import "slices"

// Reasons of states.
const (
	reasonBegun     = "the order was given"
	reasonEvidence  = "the outcomes are for the new version"
	reasonTime      = "the time for more outcomes is over"
	reasonRetired   = "no VM has work at servers of the old version"
	reasonWithdrawn = "the order was withdrawn"
	reasonNoServer  = "the new version had no server by the deadline"
	reasonLost      = "no server of the new version accepts work"
	reasonDeadline  = "the version was not judged by the deadline"
)

// Decide returns the state that is due to be written, if any. Until Written reports it, it is due
// again.
func (c *Coordinator) Decide(view View) (next State, due bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasOrder || c.superseded {
		return State{}, false
	}
	c.observe(view)
	if next, due = c.next(); !due {
		return State{}, false
	}
	if !c.order.Withdrawn && c.order.isNewerThan(next.Order) {
		next.Order = c.order
	}
	next.Serial = c.nextSerial()
	next.Writer = c.writer
	c.attempt = attempt{serial: next.Serial, base: c.exposed()}
	return next, true
}

// observe notes what a view shows. Called with the lock held.
func (c *Coordinator) observe(view View) {
	c.view = view
	if c.beganAt == 0 {
		c.beganAt = view.NowMillis
	}
	if c.stageAt == 0 && c.state != nil {
		c.stageAt = view.NowMillis
	}
	if view.NewServers > 0 {
		c.newServersAt = view.NowMillis
	}
	if !c.isMarked && c.elapsed() >= canaryMark {
		c.isMarked = true
		c.judgement.mark(c.elapsed())
	}
	c.received.observeMembers(view.Members, view.NowMillis)
	c.rate.observe(view.NowMillis, c.received.requests())
	if c.state != nil && !c.state.Stage.IsFinal() {
		c.judge()
	}
}

// nextSerial returns a serial above those of all states of the row that are known. Called with the
// lock held.
func (c *Coordinator) nextSerial() uint64 {
	serial := uint64(0)
	for _, state := range []*State{c.row, c.state} {
		if state != nil {
			serial = max(serial, state.Serial)
		}
	}
	return serial + 1
}

func (c *Coordinator) exposed() int {
	if c.state == nil {
		return 0
	}
	return c.state.Exposed
}

// next returns the state that is due, without its serial. Called with the lock held.
func (c *Coordinator) next() (next State, due bool) {
	switch {
	case c.state == nil && c.order.Withdrawn:
		return State{}, false
	case c.state == nil:
		return c.begin(), true
	case c.state.Stage.IsFinal():
		return *c.state, c.isRowBehind()
	}
	if reason := c.reasonToRollBack(); reason != "" {
		return c.enter(StageRolledBack, reason), true
	}
	if stage, reason := c.nextStage(); stage != c.state.Stage {
		if stage != StageLoad && c.judgement.leansAgainst(c.elapsed()) {
			return c.enter(StageRolledBack, c.judgement.reason(c.elapsed())), true
		}
		return c.enter(stage, reason), true
	}
	if exposed := c.reservation(); exposed > c.state.Exposed {
		next = *c.state
		next.Exposed = exposed
		return next, true
	}
	return *c.state, c.isRowBehind()
}

// isRowBehind reports whether the row does not hold the newest state, or holds it under the order as it
// was written before: the store came back from an older copy. Called with the lock held.
func (c *Coordinator) isRowBehind() bool {
	if c.row == nil || !c.concerns(*c.row) || c.state.isNewerThan(*c.row) {
		return true
	}
	return !c.order.Withdrawn && c.order.isNewerThan(c.row.Order)
}

// begin returns the first state of the order. Called with the lock held.
func (c *Coordinator) begin() State {
	now := c.view.NowMillis
	state := State{
		Order:     c.order,
		From:      slices.Clone(c.view.From),
		Stage:     StageCanary,
		StartedAt: now,
		Deadline:  now + max(c.order.DurationMillis, 0),
		Reason:    reasonBegun,
	}
	if c.row != nil {
		state.Rejected = c.row.rejectedBy(c.order.To)
	}
	return state
}

// enter returns the state in another stage. Called with the lock held.
func (c *Coordinator) enter(stage Stage, reason string) State {
	next := *c.state
	next.Stage, next.Reason = stage, reason
	return next
}

// reasonToRollBack returns why the roll-out has to be rolled back; empty if it has not. Called with
// the lock held.
func (c *Coordinator) reasonToRollBack() string {
	isOver := c.view.NowMillis >= c.state.Deadline
	isJudged := c.state.Stage == StageShift || c.state.Stage == StageRetire
	hasServers := c.view.NewServers > 0
	hadServers := c.newServersAt > 0
	switch {
	case c.order.Withdrawn:
		return reasonWithdrawn
	case c.against != "":
		return c.against
	case isOver && !hasServers:
		return reasonNoServer
	case isOver && !isJudged:
		return reasonDeadline
	case !hasServers && hadServers && c.fractionSince(c.newServersAt) >= serverlessTime:
		return reasonLost
	default:
		return ""
	}
}

// nextStage returns the stage to be in now, and why. Called with the lock held.
func (c *Coordinator) nextStage() (stage Stage, reason string) {
	stage = c.state.Stage
	if c.view.NewServers == 0 {
		return stage, ""
	}
	switch stage {
	case StageCanary:
		return c.afterCanary()
	case StageLoad:
		return c.afterLoad()
	case StageShift:
		return c.afterShift()
	case StageRetire:
		return c.afterRetire()
	default:
		return stage, ""
	}
}

func (c *Coordinator) afterCanary() (stage Stage, reason string) {
	elapsed := c.elapsed()
	latest := canaryLatest
	if c.judgement.newOutcomes() == 0 {
		latest = idleEnd
	}
	switch {
	case elapsed >= canaryEnd && c.isGood():
		return StageLoad, reasonEvidence
	case elapsed >= latest && !c.isUnknown():
		return StageLoad, reasonTime
	default:
		return StageCanary, ""
	}
}

func (c *Coordinator) afterLoad() (stage Stage, reason string) {
	inStage := c.inStage()
	switch {
	case inStage >= loadMin && c.isGood():
		return StageShift, reasonEvidence
	case inStage >= loadTime && !c.isUnknown():
		return StageShift, reasonTime
	default:
		return StageLoad, ""
	}
}

func (c *Coordinator) afterShift() (stage Stage, reason string) {
	inStage := c.inStage()
	switch {
	case inStage >= shiftMin && c.isGood():
		return StageRetire, reasonEvidence
	case inStage >= shiftTime:
		return StageRetire, reasonTime
	default:
		return StageShift, ""
	}
}

// afterRetire completes the roll-out once no VM has work at the old version. A coordinator that took
// over waits as long as for a VM that is gone, since it can't know which ones went before.
func (c *Coordinator) afterRetire() (stage Stage, reason string) {
	now := c.view.NowMillis
	knowsVMs := now-c.beganAt >= missingTime
	if knowsVMs && !c.isRowBehind() && c.received.haveRetired(c.view.Members, c.state.Serial, now) {
		return StageCompleted, reasonRetired
	}
	return StageRetire, ""
}

// isUnknown reports whether the service has requests, but hardly any outcome of the new version is known:
// VMs that knew more, or held the credits, were lost. Called with the lock held.
func (c *Coordinator) isUnknown() bool {
	return c.judgement.newOutcomes() < fewOutcomes && c.received.requests() >= fewOutcomes
}

// isGood reports whether there is evidence for the new version. Called with the lock held.
func (c *Coordinator) isGood() bool {
	return c.judgement.isGood(c.judgesSlowness()) && !c.judgement.leansAgainst(c.elapsed())
}

// reservation returns the number of credits that the row is to reserve. Called with the lock held.
func (c *Coordinator) reservation() int {
	if c.view.NewServers == 0 || stagePart(c.state.Stage) == 0 {
		return 0
	}
	now := c.moment()
	then := now.later(reserveTime, c.rate.perSecond)
	wanted := min(c.options.pacedCredits(then), c.options.maxCredits(now))
	if c.reserved > (wanted-c.issued())/2 {
		return 0
	}
	return wanted
}
