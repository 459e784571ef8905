package disk

import (
	"slices"
	"sync"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A Memory is a storage that survives only as long as the value; Close keeps the content for the next Load.
type Memory struct {
	mu     sync.Mutex
	stored deck.StoredLog
}

var _ deck.Storage = (*Memory)(nil)

// NewMemory returns an empty storage of the replica.
func NewMemory(id deck.ReplicaID) *Memory {
	return &Memory{stored: deck.StoredLog{ID: id}}
}

// Load implements deck.Storage.Load.
func (m *Memory) Load() (deck.StoredLog, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stored
	s.Entries = slices.Clone(s.Entries)
	return s, nil
}

// Save implements deck.Storage.Save.
func (m *Memory) Save(w deck.LogWrite) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if w.Ballot != nil {
		m.stored.Ballot = *w.Ballot
	}
	if w.Snapshot != nil {
		m.stored.Entries = continuing(m.stored.Entries, m.stored.Snapshot.Index, *w.Snapshot)
		m.stored.Snapshot = *w.Snapshot
	}
	if len(w.Entries) > 0 {
		keep := w.Entries[0].Index - m.stored.Snapshot.Index - 1
		m.stored.Entries = append(m.stored.Entries[:keep:keep], w.Entries...)
	}
	return nil
}

// Close implements deck.Storage.Close.
func (m *Memory) Close() error {
	return nil
}

// A FaultyStorage is a storage that asks before and after each write whether it fails.
type FaultyStorage struct {
	deck.Storage
	Before func(w deck.LogWrite) error // an error prevents the write; nil for none
	After  func(w deck.LogWrite) error // an error is returned although the write is durable; nil for none
}

var _ deck.Storage = (*FaultyStorage)(nil)

// Save implements deck.Storage.Save.
func (f *FaultyStorage) Save(w deck.LogWrite) error {
	if f.Before != nil {
		if err := f.Before(w); err != nil {
			return err
		}
	}
	if err := f.Storage.Save(w); err != nil {
		return err
	}
	if f.After != nil {
		return f.After(w)
	}
	return nil
}
