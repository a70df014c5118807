// Package rollout moves the traffic of a service to servers of another version, or back. It
// decides and does no I/O: node/entry reads and writes the rows and talks to the other VMs. The
// design is in docs/design/rollouts.md.
//
// # Usage
//
// Each VM follows the roll-outs that it knows of:
//
//	f := rollout.NewFollower(rollout.FollowerOptions{VM: id, Draw: rand.Float64, TakeCredit: askCoordinator})
//	f.ApplyOrders(orders)                   // from the store or a peer
//	f.ApplyStates(states)
//	rule := f.Choose("booking", rollout.SendNew)
//	f.Record(rollout.Result{Service: "booking", Route: "book", Version: "v2", Outcome: rollout.Answered, Took: took})
//	tallies := f.Tallies()                  // to the coordinator
//
// The coordinator of a service, one VM, moves its roll-out from stage to stage:
//
//	c := rollout.NewCoordinator(rollout.CoordinatorOptions{ExposureShare: 0.1, ExposureSlack: 50})
//	c.Begin(order, found)                   // with the state that its row holds, if any
//	c.ApplyTally(tally)
//	reply := c.Grant(request)               // a credit for one request to the new version
//	next, due := c.Decide(view)             // a state to write under a condition
//	c.Written(next)
package rollout

import (
	"time"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
)

// Order is an operator's order to move the traffic of a service to servers of version To within a
// time. Era and Revision are those of the store when it was written.
type Order struct {
	Service        string `json:"service" cbor:"1,keyasint"`
	To             string `json:"to" cbor:"2,keyasint"`
	DurationMillis int64  `json:"durationMillis" cbor:"3,keyasint"`
	Era            uint64 `json:"era" cbor:"4,keyasint,omitempty"`
	Revision       uint64 `json:"revision" cbor:"5,keyasint"`
	// Withdrawn means that the operator has removed the order, or replaced it by one that can't be
	// read.
	Withdrawn bool `json:"withdrawn,omitempty" cbor:"6,keyasint,omitempty"`
}

// Stage is the stage of a roll-out.
type Stage string

// The stages in their order. Completed and RolledBack are final.
const (
	StageCanary     Stage = "canary"
	StageLoad       Stage = "load"
	StageShift      Stage = "shift"
	StageRetire     Stage = "retire"
	StageCompleted  Stage = "completed"
	StageRolledBack Stage = "rolledBack"
)

// IsFinal reports whether no stage follows.
func (s Stage) IsFinal() bool {
	return s == StageCompleted || s == StageRolledBack
}

// State is the state of one order as its row in the store holds it. StartedAt and Deadline are in
// milliseconds of the store's steady clock. Serial counts the writes of this state, from 1.
type State struct {
	Order     Order    `json:"order" cbor:"1,keyasint"`
	From      []string `json:"from" cbor:"2,keyasint"` // The versions that served when it began.
	Stage     Stage    `json:"stage" cbor:"3,keyasint"`
	Serial    uint64   `json:"serial" cbor:"4,keyasint"`
	StartedAt int64    `json:"startedAt" cbor:"5,keyasint"`
	Deadline  int64    `json:"deadline" cbor:"6,keyasint"`
	// Exposed counts the credits that may have been issued: a coordinator reserves some by a write
	// before it issues them.
	Exposed int    `json:"exposed" cbor:"7,keyasint,omitempty"`
	Reason  string `json:"reason" cbor:"8,keyasint,omitempty"`
	// Writer identifies the Coordinator that wrote this state.
	Writer uint32 `json:"writer,omitempty" cbor:"9,keyasint,omitempty"`
	// Rejected are the versions of earlier orders that were replaced or rolled back. They get no
	// requests.
	Rejected []string `json:"rejected,omitempty" cbor:"10,keyasint,omitempty"`
}

// Send is what a request is to be sent for.
type Send int

const (
	// SendNew is the first send of a request.
	SendNew Send = iota
	// SendAgain is a retry, a hedge, or a stream that goes on elsewhere.
	SendAgain
)

// Outcome is how a send ended, as far as it tells something about the server's version.
type Outcome int

const (
	// NoEvidence is an end that the version is not to blame for: a refusal, a broken connection, a
	// caller that left early.
	NoEvidence Outcome = iota
	// Answered is a complete answer, or the first event of a stream.
	Answered
	// Failed is an answer that says that the server failed.
	Failed
	// Abandoned is a send whose answer was no longer waited for, after Took.
	Abandoned
)

// Result is the end of one send.
type Result struct {
	Service string
	Route   string
	Version string
	Outcome Outcome
	Took    time.Duration
}

// Sample counts the outcomes of one version on one route. Latencies and Abandoned are histograms of
// what was answered and of what was abandoned; see BucketOf.
type Sample struct {
	Answered  int   `cbor:"1,keyasint,omitempty"`
	Failed    int   `cbor:"2,keyasint,omitempty"`
	Latencies []int `cbor:"3,keyasint,omitempty"`
	Abandoned []int `cbor:"4,keyasint,omitempty"`
}

// RouteTally has the samples of a route.
type RouteTally struct {
	Route string `cbor:"1,keyasint"`
	Old   Sample `cbor:"2,keyasint"`
	New   Sample `cbor:"3,keyasint"`
}

// Tally is what one VM has counted for an order since it learned of it.
type Tally struct {
	VM       string       `cbor:"1,keyasint"`
	Service  string       `cbor:"2,keyasint"`
	Era      uint64       `cbor:"3,keyasint,omitempty"` // Of the order.
	Revision uint64       `cbor:"4,keyasint"`           // Of the order.
	Requests int          `cbor:"5,keyasint"`           // First sends of requests, to either version.
	Exposed  int          `cbor:"6,keyasint,omitempty"` // Sends to the new version.
	Routes   []RouteTally `cbor:"7,keyasint,omitempty"`
	// Serial is that of the state that this VM follows, and OldWork the number of its requests,
	// streams and copies at servers that are not of the new version.
	Serial  uint64 `cbor:"8,keyasint,omitempty"`
	OldWork int    `cbor:"9,keyasint,omitempty"`
	// Instance identifies the process of the VM, which counts from 0 when it starts, and Sequence
	// numbers its tallies.
	Instance uint64 `cbor:"10,keyasint,omitempty"`
	Sequence uint64 `cbor:"11,keyasint,omitempty"`
}

// CreditRequest asks the coordinator of a service for one request to the new version.
type CreditRequest struct {
	Service  string `cbor:"1,keyasint"`
	Era      uint64 `cbor:"2,keyasint,omitempty"`
	Revision uint64 `cbor:"3,keyasint"`
	VM       string `cbor:"4,keyasint"`
	Requests int    `cbor:"5,keyasint"` // As in the VM's Tally.
	Instance uint64 `cbor:"6,keyasint,omitempty"`
}

// CreditReply answers a CreditRequest. Suspended means that there is evidence against the version:
// the VM sends it nothing until it knows of a later state. Share is the share of its requests for
// which the VM is to ask for a credit, and Servers the number of servers of the new version among
// which the request is to choose; 0 for all.
type CreditReply struct {
	Granted   bool    `cbor:"1,keyasint,omitempty"`
	Suspended bool    `cbor:"2,keyasint,omitempty"`
	Share     float64 `cbor:"3,keyasint,omitempty"`
	Servers   int     `cbor:"4,keyasint,omitempty"`
}

// FollowerOptions configures a Follower. OldWork counts this VM's work at servers of a service that
// are not of a version.
type FollowerOptions struct {
	VM         string
	Draw       func() float64
	TakeCredit func(request CreditRequest) CreditReply
	OldWork    func(service, newVersion string) int
}

// CoordinatorOptions configures a Coordinator. Until the deadline a new version that is not known to
// be good may get ExposureShare of all requests and ExposureSlack more.
type CoordinatorOptions struct {
	ExposureShare float64
	ExposureSlack int
}

// View is what a coordinator decides by. NowMillis is the time of the store's steady clock. Members
// are the VMs that are up; NewServers and OldServers count the servers that accept work.
type View struct {
	NowMillis  int64
	Members    []string
	NewServers int
	OldServers int
	// From are the versions of the servers that are not of the new version.
	From []string
}

// Rule is the rule for the choice of a server; see pool.VersionRule.
type Rule = pool.VersionRule
