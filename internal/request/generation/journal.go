// Package generation holds the aggregate of one long model generation: its
// journal of tokens and the rules that keep the answer whole.
//
// The rules are:
//
//   - a token is taken only from the current attempt and only at exactly the
//     next offset, so that none is missing, repeated or from elsewhere;
//   - an answer, once ended, never changes;
//   - a stream is continued for a caller only if the rolling hash in the
//     caller's cursor equals the journal's hash at that offset, so that two
//     generations are never mixed, whoever believes to own them;
//   - each take-over raises the epoch, which fences the earlier owner.
//
// # Usage
//
//	journal := generation.New(id, request, spec)
//	attempt := journal.Begin(server, engineRequestID)
//	verdict := journal.Append(attempt, offset, tokens)
//	verdict = journal.Complete(attempt, offset, "stop")
//	input := journal.Continuation() // what to send to the next engine
//
// The aggregate does no I/O and is not safe for concurrent use; its holder
// guards it.
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
	// ErrGenerationMismatch means that a cursor belongs to a generation other than the journal's.
	ErrGenerationMismatch = errors.ConstError("cursor and journal are of different generations")
	// ErrCursorAhead means that the cursor is past what the journal holds.
	ErrCursorAhead = errors.ConstError("cursor is ahead of the journal")
)

// Message is one turn of a chat prompt.
type Message struct {
	Role    string `json:"role" cbor:"1,keyasint"`
	Content string `json:"content" cbor:"2,keyasint"`
}

// Sampling is passed through to the engine as the caller gave it. Nil fields
// are left to the engine.
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

// Spec is what the caller asked for, with the version pinned at acceptance.
// Deadline bounds the whole generation. Rank is the engine priority.
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

// ContentHash names what the request makes an engine do, whatever its key.
func (s Spec) ContentHash() string {
	hash := sha256.New()
	_, _ = fmt.Fprintf(hash, "%s\x00%s\x00", s.Version, s.Prompt) // A hash never fails to write.
	for _, message := range s.Messages {
		_, _ = fmt.Fprintf(hash, "%s\x00%s\x00", message.Role, message.Content)
	}
	return hex.EncodeToString(hash.Sum(nil)[:16])
}

// SameBody reports whether two specs ask for the same answer. Deadlines may
// differ, since a caller that asks again sets a new one.
func (s Spec) SameBody(other Spec) bool {
	return s.Model == other.Model && s.Prompt == other.Prompt &&
		slices.Equal(s.Messages, other.Messages) && s.MaxTokens == other.MaxTokens
}

// SeedFor derives a sampling seed from the request's name, so that a VM that
// knows nothing of an earlier attempt regenerates with the same seed.
func SeedFor(request RequestID) int64 {
	sum := sha256.Sum256([]byte(request.Account + "\x00" + request.Key))
	return int64(binary.BigEndian.Uint64(sum[:]) >> 12) // Fits the integers of JSON readers.
}

// Failure is the final error of a generation.
type Failure struct {
	Code    string    `cbor:"1,keyasint"`
	Outcome string    `cbor:"2,keyasint"`
	Detail  string    `cbor:"3,keyasint"`
	RetryAt time.Time `cbor:"4,keyasint"`
}

// Journal is the state of one generation. Epoch counts its owners, Attempt the
// engine connections that could add tokens. Server and EngineRequest name the
// engine generation behind the current attempt, whose own first token has the
// offset EngineBase in the answer. Crashes lists the servers that
// died while they ran this request.
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
}

// Verdict says what became of an event that was offered to the journal.
type Verdict int

const (
	// VerdictUnset is never returned.
	VerdictUnset Verdict = iota
	// Taken events are now part of the answer.
	Taken
	// Late events are of an attempt that is no longer current.
	Late
	// Repeated events offer tokens that the journal has already.
	Repeated
	// Gap events skip at least one token.
	Gap
	// Closed means that the answer has ended.
	Closed
)

// New opens a journal in its first epoch.
func New(id string, request RequestID, spec Spec) *Journal {
	return &Journal{ID: id, Request: request, Spec: spec, Epoch: 1}
}

// Begin starts an attempt on a server's engine generation and makes every
// earlier attempt late. It returns the attempt's number.
func (j *Journal) Begin(server, engineRequest string) int {
	j.Attempt++
	j.Server = server
	j.EngineRequest = engineRequest
	return j.Attempt
}

// NextEngineRequest gives an id for a new engine generation, unique over all
// owners of this journal.
func (j *Journal) NextEngineRequest() string {
	j.Dispatches++
	return fmt.Sprintf("%s.%d.%d", j.ID, j.Epoch, j.Dispatches)
}

// Append offers tokens that start at offset.
func (j *Journal) Append(attempt, offset int, tokens []Token) Verdict {
	if verdict := j.judge(attempt, offset); verdict != Taken {
		return verdict
	}
	j.Tokens = append(j.Tokens, tokens...)
	return Taken
}

// Complete offers the end mark of an answer of length offset.
func (j *Journal) Complete(attempt, offset int, finish string) Verdict {
	if verdict := j.judge(attempt, offset); verdict != Taken {
		return verdict
	}
	j.Finish = finish
	return Taken
}

func (j *Journal) judge(attempt, offset int) Verdict {
	switch {
	case j.Ended():
		return Closed
	case attempt != j.Attempt:
		return Late
	case offset < len(j.Tokens):
		return Repeated
	case offset > len(j.Tokens):
		return Gap
	}
	return Taken
}

// LearnPrompt keeps the prompt's token ids, which a continuation needs.
func (j *Journal) LearnPrompt(ids []int) {
	if len(j.PromptTokens) == 0 && len(j.Tokens) == 0 {
		j.PromptTokens = ids
	}
}

// Fail ends the journal with a final error, unless it has ended.
func (j *Journal) Fail(failure Failure) {
	if !j.Ended() {
		j.Failure = &failure
	}
}

// Ended reports whether the answer is complete or has failed for good.
func (j *Journal) Ended() bool {
	return j.Finish != "" || j.Failure != nil
}

// CloseIfFull ends an answer that has all its tokens but whose end mark was
// lost. It reports whether the answer has ended.
func (j *Journal) CloseIfFull() bool {
	if !j.Ended() && len(j.Tokens) >= j.Spec.MaxTokens {
		j.Finish = "length"
	}
	return j.Ended()
}

// Input is what to send to an engine. TokenIDs, when set, is the prompt
// followed by the tokens so far, and replaces Prompt and Messages.
type Input struct {
	Prompt    string
	Messages  []Message
	TokenIDs  []int
	MaxTokens int
}

// CanContinue reports whether Continuation is exact. An engine that told no
// prompt tokens leaves an answer that nothing can go on with once it has begun.
func (j *Journal) CanContinue() bool {
	return len(j.Tokens) == 0 || len(j.PromptTokens) > 0
}

// Continuation gives the input that makes another engine go on exactly where
// the journal ends: it is conditioned on every token so far.
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

// Crashed notes that a server died while running this request.
func (j *Journal) Crashed(server string) {
	j.Crashes = append(j.Crashes, server)
}

// TakeOver raises the epoch for a new owner.
func (j *Journal) TakeOver(epoch uint64) {
	j.Epoch = max(epoch, j.Epoch+1)
}

// Clone gives an independent copy.
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

// Verify checks that a caller who holds the cursor has a prefix of exactly
// this journal's answer. It returns ErrGenerationMismatch or ErrCursorAhead otherwise. The
// generation's id is not compared: an answer regenerated token for token is
// the same answer.
func (j *Journal) Verify(cursor Cursor) error {
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
