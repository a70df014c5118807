package generation

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"hash"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// ErrInvalidCursor means that a cursor was not made by this system, or for another
// client account.
const ErrInvalidCursor = errors.ConstError("cursor is not valid")

const (
	// tagBytes is the length of a cursor's authentication tag.
	tagBytes = 12
	// MaxCursorBytes bounds the text of a cursor.
	MaxCursorBytes = 1024
)

// RollingHash chains the tokens of an answer: FNV-1a over each token's id and
// text, the state carried on. The zero value is the hash of no tokens.
type RollingHash struct {
	state uint64
}

// Constants of the 64-bit FNV-1a hash (Fowler, Noll, Vo).
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Add gives the hash of the answer that is one token longer.
func (h RollingHash) Add(token Token) RollingHash {
	state := h.state ^ fnvOffset
	for shift := 0; shift < 32; shift += 8 {
		state = (state ^ uint64(byte(token.ID>>shift))) * fnvPrime
	}
	for i := 0; i < len(token.Text); i++ {
		state = (state ^ uint64(token.Text[i])) * fnvPrime
	}
	return RollingHash{state: state}
}

// Sum gives the value that cursors carry.
func (h RollingHash) Sum() uint64 {
	return h.state
}

// Cursor is a caller's place in an answer: how many tokens it has and what
// they hash to, and where the journal, its copy and the engine's generation
// were when it was made.
type Cursor struct {
	_             struct{} `cbor:",toarray"`
	Generation    string
	Offset        int
	Hash          uint64
	Owner         string
	Holder        string
	Server        string
	EngineRequest string
	EngineBase    int // Where in the answer the engine's generation began.
}

// Sealer turns cursors into opaque text and back. The text is bound to the
// client account, so that another account's cursor is not valid.
type Sealer struct {
	Key []byte
}

// Seal gives the text of a cursor, safe in a header and in an SSE id field.
func (s Sealer) Seal(account string, cursor Cursor) string {
	return s.ForAccount(account).Seal(cursor)
}

// AccountSealer seals many cursors of one client account. It belongs to one
// goroutine.
type AccountSealer struct {
	account string
	mac     hash.Hash
}

// ForAccount gives a sealer that keeps the work that all cursors of an account share.
func (s Sealer) ForAccount(account string) *AccountSealer {
	return &AccountSealer{account: account, mac: hmac.New(sha256.New, s.Key)}
}

// Seal gives the text of a cursor.
func (s *AccountSealer) Seal(cursor Cursor) string {
	body, err := cbor.Marshal(cursor)
	if err != nil {
		panic(err) // Strings and integers always encode.
	}
	return base64.RawURLEncoding.EncodeToString(append(body, s.tag(body)...))
}

func (s *AccountSealer) tag(body []byte) []byte {
	s.mac.Reset()
	_, _ = io.WriteString(s.mac, s.account) // A hash never fails to write.
	_, _ = s.mac.Write([]byte{0})
	_, _ = s.mac.Write(body)
	return s.mac.Sum(nil)[:tagBytes]
}

// Open reads a cursor's text. Every failure is ErrInvalidCursor.
func (s Sealer) Open(account, text string) (cursor Cursor, err error) {
	if len(text) > MaxCursorBytes {
		return Cursor{}, errors.Annotate(ErrInvalidCursor, "too long")
	}
	var sealed []byte
	if sealed, err = base64.RawURLEncoding.DecodeString(text); err != nil || len(sealed) < tagBytes {
		return Cursor{}, errors.Annotate(ErrInvalidCursor, "not base64")
	}
	body := sealed[:len(sealed)-tagBytes]
	if !hmac.Equal(s.ForAccount(account).tag(body), sealed[len(body):]) {
		return Cursor{}, errors.Annotate(ErrInvalidCursor, "wrong tag")
	}
	if err = cbor.Unmarshal(body, &cursor); err != nil || cursor.Offset < 0 {
		return Cursor{}, errors.Annotate(ErrInvalidCursor, "wrong shape")
	}
	return cursor, nil
}

// HashFrom continues from the value that a cursor carries.
func HashFrom(sum uint64) RollingHash {
	return RollingHash{state: sum}
}
