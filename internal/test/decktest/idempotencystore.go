package decktest

import (
	"context"
	"errors"
	"sync"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// An IdempotencyStore is an in-memory deck.IdempotencyStore; its zero value is empty.
type IdempotencyStore struct {
	// FailBegin and FailFinish, if not nil, are called with the key at each Begin and Finish; if they return true, the call
	// fails without effect.
	FailBegin, FailFinish func(key string) bool

	mu      sync.Mutex
	records map[string]*idempotencyRecord
}

var _ deck.IdempotencyStore = (*IdempotencyStore)(nil)

type idempotencyRecord struct {
	digest string
	status deck.ClaimStatus
	answer deck.ServiceAnswer
}

var errNoMajority = errors.New("no majority")

// Begin implements deck.IdempotencyStore.Begin.
func (s *IdempotencyStore) Begin(_ context.Context, key, digest string) deck.Claim {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.FailBegin != nil && s.FailBegin(key) {
		return deck.Claim{}
	}
	r, ok := s.records[key]
	switch {
	case !ok:
		if s.records == nil {
			s.records = make(map[string]*idempotencyRecord)
		}
		s.records[key] = &idempotencyRecord{digest: digest, status: deck.ClaimInProgress}
		return deck.Claim{Status: deck.ClaimGranted}
	case r.digest != digest:
		return deck.Claim{Status: deck.ClaimMismatch}
	default:
		return deck.Claim{Status: r.status, Answer: r.answer}
	}
}

// Finish implements deck.IdempotencyStore.Finish.
func (s *IdempotencyStore) Finish(_ context.Context, key string, answer deck.ServiceAnswer) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.FailFinish != nil && s.FailFinish(key) {
		return errNoMajority
	}
	r, ok := s.records[key]
	if !ok {
		return errors.New("finish: no record of the key")
	}
	switch answer.Outcome {
	case deck.OutcomeNotRun:
		delete(s.records, key)
	case deck.OutcomeDone:
		r.status, r.answer = deck.ClaimFinished, answer
	default:
		r.status = deck.ClaimUnknown
	}
	return nil
}

// ExpireInProgress gives the records in progress the status deck.ClaimUnknown, as if their calls had not finished in time.
func (s *IdempotencyStore) ExpireInProgress() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.records {
		if r.status == deck.ClaimInProgress {
			r.status = deck.ClaimUnknown
		}
	}
}
