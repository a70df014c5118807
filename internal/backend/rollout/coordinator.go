package rollout

// Coordinator decides on the roll-out of one service. It is safe for concurrent use.
type Coordinator struct {
	options CoordinatorOptions
}

// NewCoordinator returns a Coordinator without an order: it grants nothing and decides nothing.
func NewCoordinator(options CoordinatorOptions) *Coordinator {
	return &Coordinator{options: options}
}

// Begin takes up an order. Found is the state in its row, nil if there is none; it may be of an
// earlier order, or of this one before the store came back from an older copy, and known is the newest
// state that the VMs know.
func (c *Coordinator) Begin(order Order, found, known *State) {}

// Order returns the order that was taken up last.
func (c *Coordinator) Order() (order Order, ok bool) { return Order{}, false }

// ApplyTally applies what a VM has counted. Tallies of other orders are ignored.
func (c *Coordinator) ApplyTally(tally Tally) {}

// Grant decides on a credit.
func (c *Coordinator) Grant(request CreditRequest) CreditReply { return CreditReply{Suspended: true} }

// Decide returns the state that is due to be written, if any. Until Written reports it, it is due
// again.
func (c *Coordinator) Decide(view View) (next State, due bool) { return State{}, false }

// Written reports that the row holds a state: the one of Decide, or another VM's.
func (c *Coordinator) Written(state State) {}
