package balance

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// slotTimeCalls is about how many of the last calls the estimate follows.
const slotTimeCalls = 50

// A slotTimeEstimate estimates how long calls of a service keep a place; its zero value has seen none.
type slotTimeEstimate struct {
	mean  time.Duration
	calls int
}

func (h *slotTimeEstimate) add(slotTime time.Duration) {
	h.calls = min(h.calls+1, slotTimeCalls)
	h.mean += (slotTime - h.mean) / time.Duration(h.calls)
}

// SawHeld takes how long a call that has ended kept its place at a server of the service.
func (b *Book) SawHeld(s deck.ServiceName, slotTime time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.slotTime[s] == nil {
		b.slotTime[s] = &slotTimeEstimate{}
	}
	b.slotTime[s].add(slotTime)
}

// SetVMs sets how many entry VMs share the servers; 0 for not known.
func (b *Book) SetVMs(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entryVMs = n
}
