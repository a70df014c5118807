// Package replica stores volatile copies of other VMs' journals while their
// requests run. A copy is lost with its VM and removed with its request; correctness
// never depends on one.
//
// # Usage
//
//	store := replica.New()
//	acks := store.Apply(entries, time.Now())     // from a journal's owner
//	journal := store.Handover(request, time.Now()) // to a new owner; fences the earlier one
//	store.Expire(time.Now())                     // about once a second
package replica

import (
	"sync"
	"time"

	"github.com/endivespoke/endivespoke/internal/peer/wire"
	"github.com/endivespoke/endivespoke/internal/request/generation"
)

type heldCopy struct {
	journal   *generation.Journal
	fence     uint64 // Entries of lower epochs are refused.
	keepUntil time.Time
}

// Store holds the copies of one VM. It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	copies    map[string]*heldCopy
	byRequest map[generation.RequestID]string
}

// New makes an empty store.
func New() *Store {
	return &Store{copies: map[string]*heldCopy{}, byRequest: map[generation.RequestID]string{}}
}

// Len returns the number of copies.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.copies)
}

// Apply applies the entries of owners to their copies and acknowledges each one.
func (s *Store) Apply(entries []wire.Entry, now time.Time) []wire.Ack {
	s.mu.Lock()
	defer s.mu.Unlock()
	acks := make([]wire.Ack, 0, len(entries))
	for _, entry := range entries {
		verdict := s.apply(entry, now)
		ack := wire.Ack{Generation: entry.Generation, Epoch: entry.Epoch, Verdict: verdict}
		if held := s.copies[entry.Generation]; verdict == wire.AckHeld && held != nil {
			ack.Held = len(held.journal.Tokens)
		}
		acks = append(acks, ack)
	}
	return acks
}

func (s *Store) apply(entry wire.Entry, now time.Time) wire.AckVerdict {
	held := s.copies[entry.Generation]
	if held != nil && entry.Epoch < held.fence {
		return wire.AckFenced
	}
	switch {
	case entry.Drop:
		s.remove(entry.Generation)
		return wire.AckHeld
	case entry.Open != nil:
		return s.open(entry, now)
	case held == nil || entry.Offset > len(held.journal.Tokens):
		return wire.AckNeedFull
	}
	held.fence = entry.Epoch
	held.journal.Epoch = entry.Epoch
	if !entry.KeepUntil.IsZero() {
		held.keepUntil = entry.KeepUntil
	}
	known := len(held.journal.Tokens) - entry.Offset
	if known < len(entry.Tokens) {
		held.journal.Tokens = append(held.journal.Tokens, entry.Tokens[known:]...)
	}
	if entry.State != nil {
		entry.State.Apply(held.journal)
	}
	return wire.AckHeld
}

func (s *Store) open(entry wire.Entry, now time.Time) wire.AckVerdict {
	request := entry.Open.Request
	if other := s.copies[s.byRequest[request]]; entry.NewRequest && other != nil && other.journal.ID != entry.Generation && now.Before(other.keepUntil) {
		return wire.AckExists
	}
	s.copies[entry.Generation] = &heldCopy{journal: entry.Open, fence: entry.Epoch, keepUntil: entry.KeepUntil}
	s.byRequest[request] = entry.Generation
	return wire.AckHeld
}

func (s *Store) remove(id string) {
	held := s.copies[id]
	if held == nil {
		return
	}
	if s.byRequest[held.journal.Request] == id {
		delete(s.byRequest, held.journal.Request)
	}
	delete(s.copies, id)
}

// Handover returns the journal of a request for a new owner, in a new epoch, and
// refuses entries of every earlier epoch from then on. It returns nil if there is
// no copy.
func (s *Store) Handover(request wire.Handover, now time.Time) *generation.Journal {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.byRequest[request.Request]
	held := s.copies[id]
	if held == nil || !now.Before(held.keepUntil) {
		return nil
	}
	if request.Generation != "" && request.Generation != id {
		return nil
	}
	held.fence++
	journal := held.journal.Clone()
	journal.Epoch = held.fence
	return journal
}

// Expire removes the copies whose KeepUntil has passed.
func (s *Store) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, held := range s.copies {
		if !now.Before(held.keepUntil) {
			s.remove(id)
		}
	}
}
