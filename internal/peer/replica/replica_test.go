package replica_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/endivespoke/endivespoke/internal/lab/property"
	"github.com/endivespoke/endivespoke/internal/peer/replica"
	"github.com/endivespoke/endivespoke/internal/peer/wire"
	"github.com/endivespoke/endivespoke/internal/request/generation"
)

func init() { property.FixSeed() }

var (
	now     = time.Unix(1000, 0)
	later   = now.Add(time.Minute)
	request = generation.RequestID{Account: "a", Key: "k"}
)

func open(id string, epoch uint64, newRequest bool) wire.Entry {
	journal := generation.New(id, request, generation.Spec{MaxTokens: 100})
	journal.Epoch = epoch
	return wire.Entry{Generation: id, Epoch: epoch, Open: journal, NewRequest: newRequest, KeepUntil: later}
}

func apply(store *replica.Store, entry wire.Entry) wire.Ack {
	return store.Apply([]wire.Entry{entry}, now)[0]
}

func token(offset int) generation.Token {
	return generation.Token{ID: offset}
}

// TestCopyIsAlwaysAPrefix sends entries that overlap, repeat or leave gaps. The copy
// stays a prefix of the journal, and an ack never reports more tokens than it has.
func TestCopyIsAlwaysAPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := replica.New()
		apply(store, open("g", 1, true))
		held := 0
		t.Repeat(map[string]func(*rapid.T){
			"tokens": func(t *rapid.T) {
				offset := rapid.IntRange(0, held+2).Draw(t, "offset")
				count := rapid.IntRange(1, 4).Draw(t, "count")
				entry := wire.Entry{Generation: "g", Epoch: 1, Offset: offset, KeepUntil: later}
				for i := range count {
					entry.Tokens = append(entry.Tokens, token(offset+i))
				}
				ack := apply(store, entry)
				if offset > held {
					property.Assert(t, ack.Verdict, qt.Equals, wire.AckNeedFull)
					return
				}
				held = max(held, offset+count)
				property.Assert(t, ack.Held, qt.Equals, held)
			},
		})
		journal := store.Handover(wire.Handover{Request: request}, now)
		property.Assert(t, len(journal.Tokens), qt.Equals, held)
		for i, have := range journal.Tokens {
			property.Assert(t, have, qt.Equals, token(i))
		}
	})
}

func TestHandoverFencesTheEarlierOwner(t *testing.T) {
	store := replica.New()
	apply(store, open("g", 1, true))
	first := store.Handover(wire.Handover{Request: request}, now)
	second := store.Handover(wire.Handover{Request: request}, now)
	qt.Assert(t, []uint64{first.Epoch, second.Epoch}, qt.DeepEquals, []uint64{2, 3})
	entry := wire.Entry{Generation: "g", Epoch: 1, Tokens: []generation.Token{token(0)}, KeepUntil: later}
	qt.Assert(t, apply(store, entry).Verdict, qt.Equals, wire.AckFenced)
	entry.Epoch = 2
	qt.Assert(t, apply(store, entry).Verdict, qt.Equals, wire.AckFenced)
	entry.Epoch = 3
	qt.Assert(t, apply(store, entry).Verdict, qt.Equals, wire.AckHeld)
	qt.Assert(t, apply(store, open("g", 1, false)).Verdict, qt.Equals, wire.AckFenced)
}

func TestDuplicateGenerationIsDetected(t *testing.T) {
	store := replica.New()
	apply(store, open("g", 1, true))
	qt.Assert(t, apply(store, open("h", 1, true)).Verdict, qt.Equals, wire.AckExists)
	store.Expire(later.Add(time.Second))
	qt.Assert(t, apply(store, open("h", 1, true)).Verdict, qt.Equals, wire.AckHeld)
}

func TestMissingCopyNeedsFull(t *testing.T) {
	store := replica.New()
	entry := wire.Entry{Generation: "g", Epoch: 1, Offset: 3, KeepUntil: later}
	qt.Assert(t, apply(store, entry).Verdict, qt.Equals, wire.AckNeedFull)
	qt.Assert(t, store.Handover(wire.Handover{Request: request}, now), qt.IsNil)
}

// TestCopyKeepsTheSoftwareVersion guards against a new owner that goes on at another software version.
func TestCopyKeepsTheSoftwareVersion(t *testing.T) {
	journal := generation.New("g", request, generation.Spec{MaxTokens: 100})
	store := replica.New()
	apply(store, open("g", 1, true))
	attempt := journal.BeginAttempt("s", "e")
	journal.SetSoftwareVersion("1.0")
	state := wire.Entry{Generation: "g", Epoch: 1, State: wire.StateOf(journal), KeepUntil: later}
	qt.Assert(t, apply(store, state).Verdict, qt.Equals, wire.AckHeld)
	journal.Append(attempt, 0, []generation.Token{token(0)})
	apply(store, wire.Entry{Generation: "g", Epoch: 1, Tokens: journal.Tokens, KeepUntil: later})
	held := store.Handover(wire.Handover{Request: request}, now)
	held.SetSoftwareVersion("1.1")
	qt.Assert(t, held.SoftwareVersion, qt.Equals, "1.0")
}
