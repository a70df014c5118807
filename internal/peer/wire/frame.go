// Package wire carries messages between the VMs of one system: CBOR frames on
// WebSocket connections. Each VM dials its own connection to a peer for what it
// sends and asks; the peer answers on that connection.
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
// A frame has a few optional parts. A peer that does not know a part skips it,
// so that versions can be mixed during a replacement of VMs.
package wire

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/endivespoke/endivespoke/internal/request/generation"
)

// Frame is one message. Call is set on a frame that wants an answer; the answer
// has the same number in Reply.
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
	Sync           []byte          `cbor:"10,keyasint,omitempty"` // Of package spread.
}

// Entry changes one copy at its holder. Open replaces the copy whole; NewRequest
// marks the first Open of a new request. Tokens start at Offset. State, when
// set, replaces everything of the journal but its tokens. KeepUntil, when set, is
// the new deadline for forgetting the copy; Drop forgets it now.
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
}

// StateOf extracts the state of a journal.
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
	}
}

// Apply puts the state into a journal.
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
}

// AckVerdict is a holder's answer to an entry.
type AckVerdict int

const (
	// AckUnset is never sent.
	AckUnset AckVerdict = iota
	// AckHeld means that the copy has Held tokens.
	AckHeld
	// AckNeedFull means that the holder lacks the copy or a part of it.
	AckNeedFull
	// AckFenced means that a later epoch owns the generation.
	AckFenced
	// AckExists means that the request already runs under another generation.
	AckExists
)

// Ack answers one entry.
type Ack struct {
	Generation string     `cbor:"1,keyasint"`
	Epoch      uint64     `cbor:"2,keyasint"`
	Verdict    AckVerdict `cbor:"3,keyasint"`
	Held       int        `cbor:"4,keyasint,omitempty"`
}

// Handover asks for the journal of a request, and fences whoever owned it. With
// Generation set, only that generation is meant.
type Handover struct {
	Request    generation.RequestID `cbor:"1,keyasint"`
	Generation string               `cbor:"2,keyasint,omitempty"`
}

// HandoverReply answers a Handover. Journal is nil when the peer has none; its
// epoch is the one that the new owner has to use. FromOwner marks an answer of
// the VM that owned the generation until now, which no copy can be ahead of.
type HandoverReply struct {
	Journal   *generation.Journal `cbor:"1,keyasint,omitempty"`
	FromOwner bool                `cbor:"2,keyasint,omitempty"`
}

// MemberState is what is known of a VM.
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

// Member is one VM as peers tell each other. A higher Incarnation goes before a
// lower one, and within one the higher State.
type Member struct {
	ID            string      `cbor:"1,keyasint"`
	Incarnation   uint64      `cbor:"2,keyasint"`
	State         MemberState `cbor:"3,keyasint"`
	FailureDomain string      `cbor:"4,keyasint,omitempty"`
	CallerAddress string      `cbor:"5,keyasint,omitempty"`
	PeerAddress   string      `cbor:"6,keyasint,omitempty"`
}

// BlockedContent is a request content that crashes engines, refused until a deadline.
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

// Heartbeat is a heartbeat, and its answer. FreshMillis is for how long from now on
// the sender's configuration is known to be the newest; the receiver counts it
// from when it asked, so that a late answer makes nothing look fresher.
type Heartbeat struct {
	From        string           `cbor:"1,keyasint"`
	Revision    uint64           `cbor:"2,keyasint"`
	Hash        string           `cbor:"3,keyasint,omitempty"`
	FreshMillis int64            `cbor:"4,keyasint,omitempty"`
	Members     []Member         `cbor:"5,keyasint,omitempty"`
	Blocked     []BlockedContent `cbor:"6,keyasint,omitempty"`
	Demands     []AccountDemand  `cbor:"7,keyasint,omitempty"`
}

// ContentRequest asks for a configuration by hash.
type ContentRequest struct {
	Hash string `cbor:"1,keyasint"`
}

// Content is a configuration with its head, or nothing.
type Content struct {
	Head []byte `cbor:"1,keyasint,omitempty"`
	Body []byte `cbor:"2,keyasint,omitempty"`
}

// encoding keeps times to the nanosecond, as deadlines need.
var encoding = mustEncoding()

func mustEncoding() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // The options are constants.
	}
	return mode
}

// Encode gives the bytes of a frame.
func Encode(frame Frame) ([]byte, error) {
	return encoding.Marshal(frame)
}

// Decode reads a frame. Any input either decodes or gives an error.
func Decode(body []byte) (frame Frame, err error) {
	err = cbor.Unmarshal(body, &frame)
	return frame, err
}
