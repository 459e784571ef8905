package attempt

import (
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// The retry budget: a tenth of the requests of the window, and a floor without which a VM with little traffic could
// never retry.
const (
	budgetSlots            = 10
	budgetSlotWidth        = time.Second
	budgetRequestsPerRetry = 10
	budgetMinRetries       = 10
)

// A Budget limits retries and hedges of a VM. Its zero value needs a clock.
type Budget struct {
	Clock deck.Clock

	mu    sync.Mutex
	slots [budgetSlots]slotCounts
}

// A budgetCount counts one slot of the window.
type slotCounts struct {
	slot     int64
	requests int
	retries  int
}

// Request counts a request.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentSlot().requests++
}

// Take counts a retry or hedge if the budget allows it.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.currentSlot()
	requests, retries := 0, 0
	for _, c := range b.slots {
		if c.slot > current.slot-budgetSlots {
			requests += c.requests
			retries += c.retries
		}
	}
	if retries >= max(budgetMinRetries, requests/budgetRequestsPerRetry) {
		return false
	}
	current.retries++
	return true
}

// current returns the count of the present slot.
func (b *Budget) currentSlot() *slotCounts {
	slot := b.Clock.Now().UnixNano() / int64(budgetSlotWidth)
	c := &b.slots[uint64(slot)%budgetSlots]
	if c.slot != slot {
		*c = slotCounts{slot: slot}
	}
	return c
}
