package decktest

import (
	"context"
	"sync"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A StateSource is a deck.StateSource whose state never changes and is always proven.
type StateSource struct {
	Current deck.State
}

var _ deck.StateSource = StateSource{}

// State implements deck.StateSource.State.
func (s StateSource) State() deck.State {
	return s.Current
}

// Changed implements deck.StateSource.Changed.
func (StateSource) Changed() <-chan struct{} {
	return nil
}

// Proven implements deck.StateSource.Proven.
func (StateSource) Proven() bool {
	return true
}

// A PoisonStore is an in-memory deck.PoisonStore; its zero value refuses no request.
type PoisonStore struct {
	mu      sync.Mutex
	refused map[string]bool
	reports []deck.CrashReport
	sound   []uint64
}

var _ deck.PoisonStore = (*PoisonStore)(nil)

// Refuse makes Refused report true for the digest.
func (s *PoisonStore) Refuse(digest string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refused == nil {
		s.refused = make(map[string]bool)
	}
	s.refused[digest] = true
}

// IsRefused implements deck.PoisonStore.IsRefused.
func (s *PoisonStore) IsRefused(digest string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused[digest]
}

// IsPartRefused implements deck.PoisonStore.IsPartRefused.
func (*PoisonStore) IsPartRefused(uint64) bool { return false }

// ReportCrash implements deck.PoisonStore.ReportCrash.
func (s *PoisonStore) ReportCrash(_ context.Context, r deck.CrashReport) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports = append(s.reports, r)
	return nil
}

// ReportSound implements deck.PoisonStore.ReportSound.
func (s *PoisonStore) ReportSound(_ context.Context, part uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sound = append(s.sound, part)
	return nil
}

// CrashReports returns the crash reports so far, in order.
func (s *PoisonStore) CrashReports() []deck.CrashReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reports
}
