// Package generation holds the state of one model generation: its journal of
// tokens and the rules that keep the answer consistent.
//
// The rules are:
//
//   - a token is appended only from the current attempt and only at exactly the
//     next offset, so that none is missing, duplicated or from another generation;
//   - an answer never changes after it has ended;
//   - a stream is continued for a caller only if the rolling hash in the
//     caller's cursor equals the journal's hash at that offset, so that two
//     generations are never mixed, even if several VMs act as the owner;
//   - an answer belongs to the software version of the engine that wrote its first
//     token: what engines of two versions write doesn't fit together;
//   - each take-over raises the epoch, which fences the earlier owner.
//
// # Usage
//
//	journal := generation.New(id, request, spec)
//	attempt := journal.BeginAttempt(server, engineRequestID)
//	verdict := journal.Append(attempt, offset, tokens)
//	verdict = journal.Complete(attempt, offset, "stop")
//	input := journal.Continuation() // the input for the next engine
//
// A Journal does no I/O and is not safe for concurrent use; its user must
// synchronize access.
package generation

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"
)

const (
	// ErrGenerationMismatch means that a cursor belongs to a generation other than
	// the journal's.
	ErrGenerationMismatch = errors.ConstError("cursor and journal are of different generations")
	// ErrCursorAhead means that the cursor is past the end of the journal.
	ErrCursorAhead = errors.ConstError("cursor is ahead of the journal")
)

// Message is one message of a chat prompt.
type Message struct {
	Role    string `json:"role" cbor:"1,keyasint"`
	Content string `json:"content" cbor:"2,keyasint"`
}

// Sampling holds sampling parameters, which are passed to the engine as the caller
// set them. The engine's defaults apply to nil fields.
type Sampling struct {
	Temperature *float64 `cbor:"1,keyasint,omitempty"`
	TopP        *float64 `cbor:"2,keyasint,omitempty"`
	Stop        []string `cbor:"3,keyasint,omitempty"`
}

// Token is one generated token with its text.
type Token struct {
	ID   int    `cbor:"1,keyasint"`
	Text string `cbor:"2,keyasint"`
}

// RequestID identifies a request: the key is unique within the client account.
type RequestID struct {
	Account string `cbor:"1,keyasint"`
	Key     string `cbor:"2,keyasint"`
}

// Spec is the requested generation, with the model version that was pinned at
// acceptance. Deadline bounds the whole generation. Rank is the engine priority.
type Spec struct {
	Model       string    `cbor:"1,keyasint"`
	Version     string    `cbor:"2,keyasint"`
	EngineModel string    `cbor:"3,keyasint"`
	Prompt      string    `cbor:"4,keyasint,omitempty"`
	Messages    []Message `cbor:"5,keyasint,omitempty"`
	MaxTokens   int       `cbor:"6,keyasint"`
	Seed        int64     `cbor:"7,keyasint"`
	Rank        int       `cbor:"8,keyasint"`
	Lookup      bool      `cbor:"9,keyasint,omitempty"`
	Sampling    Sampling  `cbor:"10,keyasint"`
	Deadline    time.Time `cbor:"11,keyasint"`
}

// ContentHash identifies the work that a request causes on an engine, independent
// of its key.
func (s Spec) ContentHash() string {
	hash := sha256.New()
	_, _ = fmt.Fprintf(hash, "%s\x00%s\x00", s.Version, s.Prompt) // A hash never fails to write.
	for _, message := range s.Messages {
		_, _ = fmt.Fprintf(hash, "%s\x00%s\x00", message.Role, message.Content)
	}
	return hex.EncodeToString(hash.Sum(nil)[:16])
}

// firstBeginning is the length of the shortest beginning of a prompt, in bytes; each further one is
// beginningGrowth times as long. Shorter prompts have none.
const (
	firstBeginning  = 256
	beginningGrowth = 4
)

// Beginnings identifies the beginnings of the prompt that other requests may share: all messages
// but the last ones, or, of a prompt without messages, the text up to some lengths.
func (s Spec) Beginnings() (ids []string) {
	hash := sha256.New()
	add := func(texts ...string) {
		for _, text := range texts {
			_, _ = fmt.Fprintf(hash, "%s\x00", text) // A hash never fails to write.
		}
		ids = append(ids, hex.EncodeToString(hash.Sum(nil)[:16]))
	}
	for i := 0; i+1 < len(s.Messages); i++ {
		add(s.Messages[i].Role, s.Messages[i].Content)
	}
	from := 0
	for length := firstBeginning; length < len(s.Prompt); length *= beginningGrowth {
		add(s.Prompt[from:length])
		from = length
	}
	return ids
}

// SameBody reports whether two specs request the same answer. Deadlines may
// differ, since a retry sets a new one.
func (s Spec) SameBody(other Spec) bool {
	return s.Model == other.Model && s.Prompt == other.Prompt &&
		slices.Equal(s.Messages, other.Messages) && s.MaxTokens == other.MaxTokens
}

// SeedFor derives a sampling seed from the request's id, so that a VM without any
// record of an earlier attempt regenerates the answer with the same seed.
func SeedFor(request RequestID) int64 {
	sum := sha256.Sum256([]byte(request.Account + "\x00" + request.Key))
	return int64(binary.BigEndian.Uint64(sum[:]) >> 12) // Fits in the 53 bits that JSON readers keep exact.
}

// Failure is the final error of a generation.
type Failure struct {
	Code    string    `cbor:"1,keyasint"`
	Outcome string    `cbor:"2,keyasint"`
	Detail  string    `cbor:"3,keyasint"`
	RetryAt time.Time `cbor:"4,keyasint"`
}

// Journal is the state of one generation. Epoch counts its owners, and Attempt the
// engine connections that could append tokens. Server and EngineRequest identify
// the engine generation of the current attempt; its first token has the offset
// EngineBase in the answer. Crashes lists the servers that crashed while running
// this request. SoftwareVersion is that of the engine generation. PinnedSoftware
// means that the answer belongs to it although the journal has no tokens.
type Journal struct {
	ID            string    `cbor:"1,keyasint"`
	Request       RequestID `cbor:"2,keyasint"`
	Spec          Spec      `cbor:"3,keyasint"`
	Epoch         uint64    `cbor:"4,keyasint"`
	Attempt       int       `cbor:"5,keyasint"`
	Dispatches    int       `cbor:"6,keyasint"`
	Server        string    `cbor:"7,keyasint,omitempty"`
	EngineRequest string    `cbor:"8,keyasint,omitempty"`
	PromptTokens  []int     `cbor:"9,keyasint,omitempty"`
	Tokens        []Token   `cbor:"10,keyasint,omitempty"`
	Finish        string    `cbor:"11,keyasint,omitempty"`
	Failure       *Failure  `cbor:"12,keyasint,omitempty"`
	Crashes       []string  `cbor:"13,keyasint,omitempty"`
	EngineBase    int       `cbor:"14,keyasint,omitempty"`

	SoftwareVersion string `cbor:"15,keyasint,omitempty"`
	PinnedSoftware  bool   `cbor:"16,keyasint,omitempty"`
}

// Verdict is the result of offering an event to the journal.
type Verdict int

const (
	// VerdictUnset is never returned.
	VerdictUnset Verdict = iota
	// Accepted means that the event is now part of the answer.
	Accepted
	// Stale means that the event is of an attempt that is no longer current.
	Stale
	// Duplicate means that the journal already has tokens at the event's offset.
	Duplicate
	// Gap means that at least one token before the event's offset is missing.
	Gap
	// Closed means that the answer has already ended.
	Closed
)

// New returns an empty journal in its first epoch.
func New(id string, request RequestID, spec Spec) *Journal {
	return &Journal{ID: id, Request: request, Spec: spec, Epoch: 1}
}

// BeginAttempt starts an attempt on a server's engine generation and makes every
// earlier attempt stale. It returns the attempt's number.
func (j *Journal) BeginAttempt(server, engineRequest string) int {
	j.Attempt++
	j.Server = server
	j.EngineRequest = engineRequest
	return j.Attempt
}

// HasSoftwareVersion reports whether the answer belongs to a software version, so that
// only engines of SoftwareVersion may continue it.
func (j *Journal) HasSoftwareVersion() bool {
	return j.PinnedSoftware || len(j.Tokens) > 0
}

// SetSoftwareVersion records the software version of the current attempt's engine. It
// does nothing if the answer belongs to a version.
func (j *Journal) SetSoftwareVersion(version string) {
	if !j.HasSoftwareVersion() {
		j.SoftwareVersion = version
	}
}

// PinSoftwareVersion binds an answer without tokens to the version that wrote what the
// caller has. It does nothing if the answer belongs to a version.
func (j *Journal) PinSoftwareVersion(cursor *Cursor) {
	if cursor != nil && cursor.Offset > 0 && !j.HasSoftwareVersion() {
		j.SoftwareVersion = cursor.SoftwareVersion
		j.PinnedSoftware = true
	}
}

// NextEngineRequestID returns an id for a new engine generation, unique over all
// owners of this journal.
func (j *Journal) NextEngineRequestID() string {
	j.Dispatches++
	return fmt.Sprintf("%s.%d.%d", j.ID, j.Epoch, j.Dispatches)
}

// Append offers tokens that start at offset.
func (j *Journal) Append(attempt, offset int, tokens []Token) Verdict {
	if verdict := j.check(attempt, offset); verdict != Accepted {
		return verdict
	}
	j.Tokens = append(j.Tokens, tokens...)
	return Accepted
}

// Complete offers the end of an answer of offset tokens.
func (j *Journal) Complete(attempt, offset int, finish string) Verdict {
	if verdict := j.check(attempt, offset); verdict != Accepted {
		return verdict
	}
	j.Finish = finish
	return Accepted
}

func (j *Journal) check(attempt, offset int) Verdict {
	switch {
	case j.Ended():
		return Closed
	case attempt != j.Attempt:
		return Stale
	case offset < len(j.Tokens):
		return Duplicate
	case offset > len(j.Tokens):
		return Gap
	}
	return Accepted
}

// SetPromptTokens records the prompt's token ids, which a continuation needs. It
// does nothing if they are set or if the answer has tokens.
func (j *Journal) SetPromptTokens(ids []int) {
	if len(j.PromptTokens) == 0 && len(j.Tokens) == 0 {
		j.PromptTokens = ids
	}
}

// Fail ends the journal with a final error. It does nothing if the journal has
// ended.
func (j *Journal) Fail(failure Failure) {
	if !j.Ended() {
		j.Failure = &failure
	}
}

// Ended reports whether the answer is complete or has failed permanently.
func (j *Journal) Ended() bool {
	return j.Finish != "" || j.Failure != nil
}

// CloseIfFull ends an answer that has all its tokens but whose final event was
// lost. It reports whether the answer has ended.
func (j *Journal) CloseIfFull() bool {
	if !j.Ended() && len(j.Tokens) >= j.Spec.MaxTokens {
		j.Finish = "length"
	}
	return j.Ended()
}

// Input is the prompt for an engine. TokenIDs, if set, holds the prompt's tokens
// followed by the answer's tokens so far, and replaces Prompt and Messages.
type Input struct {
	Prompt    string
	Messages  []Message
	TokenIDs  []int
	MaxTokens int
}

// CanContinue reports whether Continuation is exact. If an engine did not report
// the prompt's tokens, no other engine can continue the answer once it has tokens.
func (j *Journal) CanContinue() bool {
	return len(j.Tokens) == 0 || len(j.PromptTokens) > 0
}

// Continuation returns the input with which another engine continues exactly at
// the end of the journal: it is conditioned on every token so far.
func (j *Journal) Continuation() Input {
	if len(j.PromptTokens) == 0 {
		return Input{Prompt: j.Spec.Prompt, Messages: j.Spec.Messages, MaxTokens: j.Spec.MaxTokens}
	}
	ids := make([]int, 0, len(j.PromptTokens)+len(j.Tokens))
	ids = append(ids, j.PromptTokens...)
	for _, token := range j.Tokens {
		ids = append(ids, token.ID)
	}
	return Input{TokenIDs: ids, MaxTokens: j.Spec.MaxTokens - len(j.Tokens)}
}

// AddCrash records that a server crashed while running this request.
func (j *Journal) AddCrash(server string) {
	j.Crashes = append(j.Crashes, server)
}

// TakeOver raises the epoch for a new owner.
func (j *Journal) TakeOver(epoch uint64) {
	j.Epoch = max(epoch, j.Epoch+1)
}

// Clone returns an independent copy.
func (j *Journal) Clone() *Journal {
	copied := *j
	copied.PromptTokens = slices.Clone(j.PromptTokens)
	copied.Tokens = slices.Clone(j.Tokens)
	copied.Crashes = slices.Clone(j.Crashes)
	if j.Failure != nil {
		failure := *j.Failure
		copied.Failure = &failure
	}
	return &copied
}

// Verify checks that the tokens that a caller has received are a prefix of this
// journal's answer. The error is ErrGenerationMismatch or ErrCursorAhead. The
// generation's id is not compared: an answer that was regenerated token for token
// by the same software version is the same answer.
func (j *Journal) Verify(cursor Cursor) error {
	if cursor.Offset > 0 && cursor.SoftwareVersion != j.SoftwareVersion {
		return errors.Annotatef(ErrGenerationMismatch, "cursor of software version %q, journal of %q", cursor.SoftwareVersion, j.SoftwareVersion)
	}
	if cursor.Offset > len(j.Tokens) {
		return errors.Annotatef(ErrCursorAhead, "cursor at %d, journal at %d", cursor.Offset, len(j.Tokens))
	}
	hash := RollingHash{}
	for _, token := range j.Tokens[:cursor.Offset] {
		hash = hash.Add(token)
	}
	if hash.Sum() != cursor.Hash {
		return errors.Annotatef(ErrGenerationMismatch, "at offset %d", cursor.Offset)
	}
	return nil
}
