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

// ErrInvalidCursor means that a cursor is malformed, was not sealed with this key,
// or was issued to another client account.
const ErrInvalidCursor = errors.ConstError("cursor is not valid")

const (
	// tagBytes is the length of a cursor's authentication tag.
	tagBytes = 12
	// MaxCursorBytes bounds the length of a cursor's text.
	MaxCursorBytes = 1024
)

// RollingHash is the running hash of an answer's tokens: FNV-1a over each token's
// id and text, with the state carried from token to token. The zero value is the
// hash of no tokens.
type RollingHash struct {
	state uint64
}

// Constants of the 64-bit FNV-1a hash (Fowler, Noll, Vo).
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Add returns the hash of the answer extended by token.
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

// Sum returns the value that is stored in cursors.
func (h RollingHash) Sum() uint64 {
	return h.state
}

// Cursor is a caller's position in an answer: the number of tokens received and
// their hash, and the location of the journal, its copy and the engine's
// generation when the cursor was issued. SoftwareVersion is that of the engines that
// wrote these tokens.
type Cursor struct {
	_             struct{} `cbor:",toarray"`
	Generation    string
	Offset        int
	Hash          uint64
	Owner         string
	Holder        string
	Server        string
	EngineRequest string
	EngineBase    int // Offset in the answer at which the engine's generation begins.

	SoftwareVersion string `cbor:"-"` // Follows the array, unless empty: earlier builds read arrays of this length only.
}

// Sealer encodes cursors as opaque, authenticated text and decodes them. The
// authentication tag (HMAC-SHA-256, truncated) covers the client account, so that
// the cursor of another account is invalid.
type Sealer struct {
	Key []byte
}

// Seal encodes a cursor as text that is safe in a header and in an SSE id field.
func (s Sealer) Seal(account string, cursor Cursor) string {
	return s.ForAccount(account).Seal(cursor)
}

// AccountSealer seals many cursors of one client account. It is not safe for
// concurrent use.
type AccountSealer struct {
	account string
	mac     hash.Hash
}

// ForAccount returns a sealer that shares the HMAC state among all cursors of an
// account.
func (s Sealer) ForAccount(account string) *AccountSealer {
	return &AccountSealer{account: account, mac: hmac.New(sha256.New, s.Key)}
}

// Seal encodes a cursor as text.
func (s *AccountSealer) Seal(cursor Cursor) string {
	body, err := cbor.Marshal(cursor)
	if err != nil {
		panic(err) // Strings and integers always encode.
	}
	if cursor.SoftwareVersion != "" {
		version, err := cbor.Marshal(cursor.SoftwareVersion)
		if err != nil {
			panic(err) // A string always encodes.
		}
		body = append(body, version...)
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

// Open decodes and verifies a cursor. Every error is ErrInvalidCursor.
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
	var rest []byte
	if rest, err = cbor.UnmarshalFirst(body, &cursor); err != nil || cursor.Offset < 0 {
		return Cursor{}, errors.Annotate(ErrInvalidCursor, "wrong shape")
	}
	if len(rest) > 0 {
		if err = cbor.Unmarshal(rest, &cursor.SoftwareVersion); err != nil {
			return Cursor{}, errors.Annotate(ErrInvalidCursor, "wrong shape")
		}
	}
	return cursor, nil
}

// HashFrom returns the hash whose Sum is the value stored in a cursor.
func HashFrom(sum uint64) RollingHash {
	return RollingHash{state: sum}
}
