// Package wire carries messages between the VMs of one fleet: CBOR frames on
// WebSocket connections. Each VM dials its own connection to a peer for its
// entries and calls; the peer replies on that connection.
//
// # Usage
//
//	pool := wire.NewPool(wire.PoolOptions{Self: "vm-1", Key: sharedKey, OnAcks: ..., OnDown: ...})
//	pool.Enqueue("vm-2", address, entry)                     // batched with others to that peer
//	reply, err := pool.Call(ctx, "vm-2", address, wire.Frame{Handover: &request})
//
//	server := &wire.Server{Key: sharedKey, OnEntries: ..., OnHandover: ..., OnHeartbeat: ...}
//	http.Handle(wire.Path, server)
//
// All parts of a frame are optional. A peer ignores parts that its version does
// not define, so that versions can be mixed during a rolling replacement of VMs.
package wire

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/endivespoke/endivespoke/internal/request/crash"
	"github.com/endivespoke/endivespoke/internal/request/generation"
)

// Frame is one message. Call is set on a frame that requires a reply, which has
// the same number in Reply.
type Frame struct {
	Call           uint64          `cbor:"1,keyasint,omitempty"`
	Reply          uint64          `cbor:"2,keyasint,omitempty"`
	Entries        []Entry         `cbor:"3,keyasint,omitempty"`
	Acks           []Ack           `cbor:"4,keyasint,omitempty"`
	Handover       *Handover       `cbor:"5,keyasint,omitempty"`
	HandoverReply  *HandoverReply  `cbor:"6,keyasint,omitempty"`
	Heartbeat      *Heartbeat      `cbor:"7,keyasint,omitempty"`
	ContentRequest *ContentRequest `cbor:"8,keyasint,omitempty"`
	Content        *Content        `cbor:"9,keyasint,omitempty"`
	Sync           []byte          `cbor:"10,keyasint,omitempty"` // Opaque; encoded by package spread.
}

// Entry changes one copy at its holder. Open replaces the whole copy; NewRequest
// marks the first Open of a new request, which the holder checks for a duplicate.
// Tokens start at Offset. State, when set, replaces the fields of the journal that
// it has. KeepUntil, when set, is the new time at which the copy expires; Drop
// removes it at once.
type Entry struct {
	Generation string              `cbor:"1,keyasint"`
	Epoch      uint64              `cbor:"2,keyasint"`
	Open       *generation.Journal `cbor:"3,keyasint,omitempty"`
	NewRequest bool                `cbor:"4,keyasint,omitempty"`
	Offset     int                 `cbor:"5,keyasint,omitempty"`
	Tokens     []generation.Token  `cbor:"6,keyasint,omitempty"`
	State      *State              `cbor:"7,keyasint,omitempty"`
	KeepUntil  time.Time           `cbor:"8,keyasint,omitzero"`
	Drop       bool                `cbor:"9,keyasint,omitempty"`
}

// State is a journal without its tokens, request and spec.
type State struct {
	Attempt       int                 `cbor:"1,keyasint"`
	Dispatches    int                 `cbor:"2,keyasint"`
	Server        string              `cbor:"3,keyasint,omitempty"`
	EngineRequest string              `cbor:"4,keyasint,omitempty"`
	PromptTokens  []int               `cbor:"5,keyasint,omitempty"`
	Finish        string              `cbor:"6,keyasint,omitempty"`
	Failure       *generation.Failure `cbor:"7,keyasint,omitempty"`
	Crashes       []string            `cbor:"8,keyasint,omitempty"`
	EngineBase    int                 `cbor:"9,keyasint,omitempty"`

	SoftwareVersion string `cbor:"10,keyasint,omitempty"`
	PinnedSoftware  bool   `cbor:"11,keyasint,omitempty"`
}

// StateOf returns the state of a journal.
func StateOf(journal *generation.Journal) *State {
	return &State{
		Attempt:       journal.Attempt,
		Dispatches:    journal.Dispatches,
		Server:        journal.Server,
		EngineRequest: journal.EngineRequest,
		PromptTokens:  journal.PromptTokens,
		Finish:        journal.Finish,
		Failure:       journal.Failure,
		Crashes:       journal.Crashes,
		EngineBase:    journal.EngineBase,

		SoftwareVersion: journal.SoftwareVersion,
		PinnedSoftware:  journal.PinnedSoftware,
	}
}

// Apply replaces the state of a journal.
func (s *State) Apply(journal *generation.Journal) {
	journal.Attempt = s.Attempt
	journal.Dispatches = s.Dispatches
	journal.Server = s.Server
	journal.EngineRequest = s.EngineRequest
	journal.PromptTokens = s.PromptTokens
	journal.Finish = s.Finish
	journal.Failure = s.Failure
	journal.Crashes = s.Crashes
	journal.EngineBase = s.EngineBase
	journal.SoftwareVersion = s.SoftwareVersion
	journal.PinnedSoftware = s.PinnedSoftware
}

// AckVerdict is the result of applying an entry.
type AckVerdict int

const (
	// AckUnset is never sent.
	AckUnset AckVerdict = iota
	// AckHeld means that the copy has Held tokens.
	AckHeld
	// AckNeedFull means that the holder lacks the copy or a part of it, and needs an Open.
	AckNeedFull
	// AckFenced means that a later epoch owns the generation.
	AckFenced
	// AckExists means that the request already runs under another generation.
	AckExists
)

// Ack acknowledges one entry.
type Ack struct {
	Generation string     `cbor:"1,keyasint"`
	Epoch      uint64     `cbor:"2,keyasint"`
	Verdict    AckVerdict `cbor:"3,keyasint"`
	Held       int        `cbor:"4,keyasint,omitempty"`
}

// Handover requests the journal of a request, and fences its previous owner. With
// Generation set, it applies to that generation only.
type Handover struct {
	Request    generation.RequestID `cbor:"1,keyasint"`
	Generation string               `cbor:"2,keyasint,omitempty"`
}

// HandoverReply is the reply to a Handover. Journal is nil if the peer has none;
// its epoch is the one that the new owner has to use. FromOwner marks a reply of
// the VM that owned the generation until now, which no copy can be ahead of.
type HandoverReply struct {
	Journal   *generation.Journal `cbor:"1,keyasint,omitempty"`
	FromOwner bool                `cbor:"2,keyasint,omitempty"`
}

// MemberState is the state of a VM in the membership.
type MemberState int

const (
	// MemberUnset is never sent.
	MemberUnset MemberState = iota
	// MemberLive VMs answer.
	MemberLive
	// MemberLeaving VMs answer, but are about to stop.
	MemberLeaving
	// MemberDown VMs do not answer.
	MemberDown
)

// Member is the membership entry of one VM. A higher Incarnation overrides a lower
// one, and within one the higher State.
type Member struct {
	ID            string      `cbor:"1,keyasint"`
	Incarnation   uint64      `cbor:"2,keyasint"`
	State         MemberState `cbor:"3,keyasint"`
	FailureDomain string      `cbor:"4,keyasint,omitempty"`
	CallerAddress string      `cbor:"5,keyasint,omitempty"`
	PeerAddress   string      `cbor:"6,keyasint,omitempty"`
}

// BlockedContent is a request content that crashes engines and is refused until a deadline.
type BlockedContent struct {
	ContentHash string    `cbor:"1,keyasint"`
	Until       time.Time `cbor:"2,keyasint"`
}

// AccountDemand is how much of an account's limits a VM uses.
type AccountDemand struct {
	Account string  `cbor:"1,keyasint"`
	Rate    float64 `cbor:"2,keyasint"`
	Running int     `cbor:"3,keyasint"`
}

// Heartbeat is a heartbeat or its reply. FreshMillis is for how long from now on
// the sender's configuration counts as current. The receiver of a reply counts it
// from when it sent the heartbeat, so that a delayed reply does not extend it.
type Heartbeat struct {
	From        string           `cbor:"1,keyasint"`
	Revision    uint64           `cbor:"2,keyasint"`
	Hash        string           `cbor:"3,keyasint,omitempty"`
	FreshMillis int64            `cbor:"4,keyasint,omitempty"`
	Members     []Member         `cbor:"5,keyasint,omitempty"`
	Blocked     []BlockedContent `cbor:"6,keyasint,omitempty"`
	Demands     []AccountDemand  `cbor:"7,keyasint,omitempty"`
	Crashes     []crash.Report   `cbor:"8,keyasint,omitempty"`
}

// ContentRequest requests a configuration by hash.
type ContentRequest struct {
	Hash string `cbor:"1,keyasint"`
}

// Content is a configuration with its head; empty if the peer does not have it.
type Content struct {
	Head []byte `cbor:"1,keyasint,omitempty"`
	Body []byte `cbor:"2,keyasint,omitempty"`
}

// encoding keeps times to the nanosecond, since deadlines need that precision.
var encoding = mustEncoding()

func mustEncoding() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // The options are constants.
	}
	return mode
}

// Encode returns the encoded frame.
func Encode(frame Frame) ([]byte, error) {
	return encoding.Marshal(frame)
}

// Decode decodes a frame. Invalid input gives an error, never a panic.
func Decode(body []byte) (frame Frame, err error) {
	err = cbor.Unmarshal(body, &frame)
	return frame, err
}
