package generation_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/endivespoke/endivespoke/internal/lab/property"
	"github.com/endivespoke/endivespoke/internal/request/generation"
)

func init() { property.FixSeed() }

var request = generation.RequestID{Account: "a", Key: "k"}

func newJournal(maxTokens int) *generation.Journal {
	return generation.New("g", request, generation.Spec{Model: "m", Version: "v", Prompt: "p", MaxTokens: maxTokens, Deadline: time.Unix(1000, 0)})
}

// truth returns a token of the failure-free answer, which every engine continues
// exactly.
func truth(offset int) generation.Token {
	return generation.Token{ID: 1000 + offset*7%501, Text: string(rune('a' + offset%26))}
}

func tokens(from, count int) []generation.Token {
	made := []generation.Token{}
	for i := range count {
		made = append(made, truth(from+i))
	}
	return made
}

// TestJournalAgainstModel offers tokens of current and earlier attempts in any
// order, with losses, take-overs and ends. The journal must always be a prefix of
// the answer, and must not change after it has ended.
func TestJournalAgainstModel(t *testing.T) {
	const maxTokens = 40
	rapid.Check(t, func(t *rapid.T) {
		journal := newJournal(maxTokens)
		journal.BeginAttempt("server-0", journal.NextEngineRequestID())
		length := 0
		ended := false
		t.Repeat(map[string]func(*rapid.T){
			"tokens": func(t *rapid.T) {
				attempt := rapid.IntRange(max(1, journal.Attempt-2), journal.Attempt).Draw(t, "attempt")
				offset := rapid.IntRange(0, length+2).Draw(t, "offset")
				count := rapid.IntRange(1, 3).Draw(t, "count")
				verdict := journal.Append(attempt, offset, tokens(offset, count))
				taken := !ended && attempt == journal.Attempt && offset == length
				property.Assert(t, verdict == generation.Accepted, qt.Equals, taken)
				if taken {
					length += count
				}
			},
			"foreign tokens": func(t *rapid.T) {
				verdict := journal.Append(journal.Attempt-1, length, []generation.Token{{ID: 1, Text: "foreign"}})
				property.Assert(t, verdict, qt.Not(qt.Equals), generation.Accepted)
			},
			"loss": func(t *rapid.T) {
				journal.BeginAttempt("server", journal.NextEngineRequestID())
			},
			"take-over": func(t *rapid.T) {
				epoch := journal.Epoch
				journal = journal.Clone()
				journal.TakeOver(epoch + 1)
				property.Assert(t, journal.Epoch > epoch, qt.IsTrue)
			},
			"end": func(t *rapid.T) {
				offset := rapid.IntRange(0, length+1).Draw(t, "offset")
				if journal.Complete(journal.Attempt, offset, "stop") == generation.Accepted {
					property.Assert(t, offset, qt.Equals, length)
					ended = true
				}
			},
			"": func(t *rapid.T) {
				property.Assert(t, len(journal.Tokens), qt.Equals, length)
				for i, token := range journal.Tokens {
					property.Assert(t, token, qt.Equals, truth(i))
				}
				property.Assert(t, journal.Ended(), qt.Equals, ended)
			},
		})
	})
}

// TestVerifyAcceptsOnlyOwnPrefix checks that a cursor is accepted exactly when the
// tokens of the caller are a prefix of the journal.
func TestVerifyAcceptsOnlyOwnPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		journal := newJournal(100)
		journal.BeginAttempt("s", "e")
		journal.Append(1, 0, tokens(0, rapid.IntRange(1, 30).Draw(t, "length")))
		delivered := append([]generation.Token{}, journal.Tokens...)
		offset := rapid.IntRange(1, len(delivered)).Draw(t, "offset")
		changed := rapid.Bool().Draw(t, "changed")
		if changed {
			at := rapid.IntRange(0, offset-1).Draw(t, "at")
			delivered[at].ID++
		}
		hash := generation.RollingHash{}
		for _, token := range delivered[:offset] {
			hash = hash.Add(token)
		}
		err := journal.Verify(generation.Cursor{Offset: offset, Hash: hash.Sum()})
		property.Assert(t, errors.Is(err, generation.ErrGenerationMismatch), qt.Equals, changed)
		err = journal.Verify(generation.Cursor{Offset: len(journal.Tokens) + 1, Hash: hash.Sum()})
		property.Assert(t, errors.Is(err, generation.ErrCursorAhead), qt.IsTrue)
	})
}

// TestCursorOfAnotherSoftwareVersionIsNoPrefix guards against joining what two software versions wrote
// when the delivered tokens happen to be equal.
func TestCursorOfAnotherSoftwareVersionIsNoPrefix(t *testing.T) {
	journal := newJournal(10)
	journal.BeginAttempt("s", "e")
	journal.SetSoftwareVersion("1.0")
	journal.BeginAttempt("s", "e") // Nothing was written at the first.
	journal.SetSoftwareVersion("1.1")
	journal.Append(2, 0, tokens(0, 2))
	journal.BeginAttempt("s", "e")
	journal.SetSoftwareVersion("1.0")
	qt.Assert(t, journal.SoftwareVersion, qt.Equals, "1.1")
	hash := generation.RollingHash{}.Add(journal.Tokens[0]).Sum()
	for _, c := range []struct {
		cursor   generation.Cursor
		mismatch bool
	}{
		{generation.Cursor{Offset: 1, Hash: hash, SoftwareVersion: "1.1"}, false},
		{generation.Cursor{Offset: 1, Hash: hash, SoftwareVersion: "1.0"}, true},
		{generation.Cursor{Offset: 1, Hash: hash}, true},
		{generation.Cursor{}, false},
	} {
		qt.Check(t, errors.Is(journal.Verify(c.cursor), generation.ErrGenerationMismatch), qt.Equals, c.mismatch, qt.Commentf("%+v", c.cursor))
	}
}

func TestCursorPinsAnAnswerWithoutTokens(t *testing.T) {
	for _, c := range []struct {
		cursor *generation.Cursor
		pinned bool
	}{
		{nil, false},
		{&generation.Cursor{SoftwareVersion: "1.0"}, false},
		{&generation.Cursor{Offset: 1, SoftwareVersion: "1.0"}, true},
		{&generation.Cursor{Offset: 1}, true},
	} {
		journal := newJournal(10)
		journal.PinSoftwareVersion(c.cursor)
		qt.Check(t, journal.HasSoftwareVersion(), qt.Equals, c.pinned)
		journal.SetSoftwareVersion("1.1")
		qt.Check(t, journal.SoftwareVersion == "1.1", qt.Equals, !c.pinned)
	}
}

// TestCursorWithoutSoftwareVersionIsReadByEarlierBuilds guards against cursors that VMs of an earlier
// build refuse, and the other way round, while VMs are replaced.
func TestCursorWithoutSoftwareVersionIsReadByEarlierBuilds(t *testing.T) {
	sealer := generation.Sealer{Key: []byte("0123456789abcdef0123456789abcdef")}
	cursor := generation.Cursor{Generation: "g", Offset: 3, Hash: 9, Owner: "vm-1", Holder: "vm-2", Server: "s", EngineRequest: "g.1.1", EngineBase: 2}
	const sealed = "iGFnAwlkdm0tMWR2bS0yYXNlZy4xLjECJrQc7JFh6jm1h0Iy"
	qt.Assert(t, sealer.Seal("a", cursor), qt.Equals, sealed)
	opened, err := sealer.Open("a", sealed)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, opened, qt.Equals, cursor)
	cursor.SoftwareVersion = "1.0"
	opened, err = sealer.Open("a", sealer.Seal("a", cursor))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, opened, qt.Equals, cursor)
}

func TestContinuationIsConditionedOnEveryToken(t *testing.T) {
	journal := newJournal(10)
	qt.Assert(t, journal.Continuation(), qt.DeepEquals, generation.Input{Prompt: "p", MaxTokens: 10})
	journal.BeginAttempt("s", "e")
	journal.SetPromptTokens([]int{5, 6})
	journal.Append(1, 0, []generation.Token{{ID: 7}, {ID: 8}})
	qt.Assert(t, journal.Continuation(), qt.DeepEquals, generation.Input{TokenIDs: []int{5, 6, 7, 8}, MaxTokens: 8})
}

// TestNoContinuationWithoutPromptTokens guards against splicing two answers:
// without the prompt's token ids, no engine can continue an answer that has tokens
// exactly.
func TestNoContinuationWithoutPromptTokens(t *testing.T) {
	journal := newJournal(10)
	qt.Assert(t, journal.CanContinue(), qt.IsTrue)
	journal.BeginAttempt("s", "e")
	journal.Append(1, 0, tokens(0, 2))
	qt.Assert(t, journal.CanContinue(), qt.IsFalse)
}

func TestFullAnswerWithoutEndMarkIsClosed(t *testing.T) {
	journal := newJournal(2)
	journal.BeginAttempt("s", "e")
	qt.Assert(t, journal.CloseIfFull(), qt.IsFalse)
	journal.Append(1, 0, tokens(0, 2))
	qt.Assert(t, journal.CloseIfFull(), qt.IsTrue)
	qt.Assert(t, journal.Finish, qt.Equals, "length")
}

func TestCursorIsBoundToAccountAndKey(t *testing.T) {
	sealer := generation.Sealer{Key: []byte("0123456789abcdef0123456789abcdef")}
	cursor := generation.Cursor{Generation: "g", Offset: 3, Hash: 9, Owner: "vm-1", Holder: "vm-2", Server: "s", EngineRequest: "g.1.1"}
	text := sealer.Seal("a", cursor)
	opened, err := sealer.Open("a", text)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, opened, qt.Equals, cursor)
	_, err = sealer.Open("b", text)
	qt.Assert(t, errors.Is(err, generation.ErrInvalidCursor), qt.IsTrue)
	_, err = generation.Sealer{Key: []byte("another key")}.Open("a", text)
	qt.Assert(t, errors.Is(err, generation.ErrInvalidCursor), qt.IsTrue)
}

func FuzzCursor(f *testing.F) {
	sealer := generation.Sealer{Key: []byte("0123456789abcdef0123456789abcdef")}
	f.Add(sealer.Seal("a", generation.Cursor{Generation: "g", Offset: 1}))
	f.Add("AAAA")
	f.Fuzz(func(t *testing.T, text string) {
		cursor, err := sealer.Open("a", text)
		if err == nil && sealer.Seal("a", cursor) == "" {
			t.Fatal("an opened cursor can't be sealed")
		}
		if err != nil && !errors.Is(err, generation.ErrInvalidCursor) {
			t.Fatalf("unexpected error %v", err)
		}
	})
}

// TestBeginningsAreSharedByPromptsThatBeginAlike has prompts of messages and of text.
func TestBeginningsAreSharedByPromptsThatBeginAlike(t *testing.T) {
	text := strings.Repeat("wall ", 100)
	one, other := generation.Spec{Prompt: text + "one"}, generation.Spec{Prompt: text + "other"}
	qt.Check(t, one.Beginnings(), qt.HasLen, 1)
	qt.Check(t, one.Beginnings(), qt.DeepEquals, other.Beginnings())
	qt.Check(t, generation.Spec{Prompt: "short"}.Beginnings(), qt.HasLen, 0)
	qt.Check(t, generation.Spec{Prompt: strings.Repeat(text, 10)}.Beginnings(), qt.HasLen, 3)
	system, user := generation.Message{Role: "system", Content: "be brief"}, generation.Message{Role: "user", Content: "hello"}
	first := generation.Spec{Messages: []generation.Message{system, user}}
	second := generation.Spec{Messages: []generation.Message{system, user, user}}
	qt.Check(t, first.Beginnings(), qt.HasLen, 1)
	qt.Check(t, second.Beginnings()[0], qt.Equals, first.Beginnings()[0])
	qt.Check(t, second.Beginnings()[1], qt.Not(qt.Equals), first.Beginnings()[0])
	qt.Check(t, generation.Spec{Messages: []generation.Message{user, user}}.Beginnings()[0], qt.Not(qt.Equals), first.Beginnings()[0])
}
