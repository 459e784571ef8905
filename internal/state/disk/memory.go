package disk

import (
	"slices"
	"sync"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A Memory is an in-memory storage; Close keeps the content for the next Load.
type Memory struct {
	mu     sync.Mutex
	stored deck.StoredLog
}

var _ deck.Storage = (*Memory)(nil)

// NewMemory returns an empty storage for the replica.
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
		m.stored.Entries = entriesAfter(m.stored.Entries, m.stored.Snapshot.Index, *w.Snapshot)
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

// A FaultyStorage is a storage whose writes can be made to fail.
type FaultyStorage struct {
	deck.Storage

	mu    sync.Mutex
	fault func(w deck.LogWrite) error
}

var _ deck.Storage = (*FaultyStorage)(nil)

// SetFault sets a function that is called before each write and whose error prevents it; nil removes the fault.
func (f *FaultyStorage) SetFault(fault func(w deck.LogWrite) error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// Save implements deck.Storage.Save.
func (f *FaultyStorage) Save(w deck.LogWrite) error {
	f.mu.Lock()
	fault := f.fault
	f.mu.Unlock()
	if fault != nil {
		if err := fault(w); err != nil {
			return err
		}
	}
	return f.Storage.Save(w)
}
