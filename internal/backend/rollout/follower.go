package rollout

// Follower is one VM's view of the roll-outs. It is safe for concurrent use.
type Follower struct {
	options FollowerOptions
}

// NewFollower returns a Follower that knows of no order.
func NewFollower(options FollowerOptions) *Follower {
	return &Follower{options: options}
}

// ApplyOrders applies orders of operators. Of two for a service the one of the newer era and revision
// holds.
func (f *Follower) ApplyOrders(orders []Order) (changed bool) { return false }

// ApplyStates applies states that the coordinators have written.
func (f *Follower) ApplyStates(states []State) (changed bool) { return false }

// Orders returns the newest order of each service, and those that were withdrawn, sorted by service.
func (f *Follower) Orders() []Order { return nil }

// States returns the newest state of each order in Orders, sorted by service.
func (f *Follower) States() []State { return nil }

// Digest is equal on VMs with the same orders and states; 0 if there are none.
func (f *Follower) Digest() uint64 { return 0 }

// Choose returns the rule for a send to a service. It takes a credit if the rule needs one, which may
// block for a call to another VM.
func (f *Follower) Choose(service string, send Send) Rule { return Rule{} }

// Record counts the end of a send.
func (f *Follower) Record(result Result) {}

// Tallies returns what this VM has counted for the orders that are under way.
func (f *Follower) Tallies() []Tally { return nil }

// Retiring returns the version whose servers are to keep no work of a service, as all but it; ok is
// false if there is none.
func (f *Follower) Retiring(service string) (keep string, ok bool) { return "", false }
