package balance

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// holdCalls is about how many of the last calls the estimate follows.
const holdCalls = 50

// A holdTime estimates how long calls of a service keep a place; its zero value has seen none.
type holdTime struct {
	mean  time.Duration
	calls int
}

func (h *holdTime) add(held time.Duration) {
	h.calls = min(h.calls+1, holdCalls)
	h.mean += (held - h.mean) / time.Duration(h.calls)
}

// SawHeld takes how long a call that has ended kept its place at a server of the service.
func (b *Book) SawHeld(s deck.ServiceName, held time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held[s] == nil {
		b.held[s] = &holdTime{}
	}
	b.held[s].add(held)
}

// SetVMs sets how many entry VMs share the servers; 0 for not known.
func (b *Book) SetVMs(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vms = n
}
