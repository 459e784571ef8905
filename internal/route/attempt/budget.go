package attempt

import (
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// The retry budget is a tenth of the requests in a sliding window, but at least budgetMinRetries: without a minimum, a VM
// with little traffic could never retry.
const (
	budgetSlots            = 10
	budgetSlotWidth        = time.Second
	budgetRequestsPerRetry = 10
	budgetMinRetries       = 10
)

// A Budget limits the retries and hedges of a VM to a share of its requests. Its zero value needs a clock.
type Budget struct {
	Clock deck.Clock

	mu    sync.Mutex
	slots [budgetSlots]slotCounts
}

// slotCounts holds the counts of one slot of the sliding window.
type slotCounts struct {
	slot     int64
	requests int
	retries  int
}

// RecordRequest records a request.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentSlot().requests++
}

// TryTake reports whether the budget allows another retry or hedge, and counts it if so.
func (b *Budget) TryTake() bool {
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

// currentSlot returns the counts of the current slot and resets them if they belong to an earlier window.
func (b *Budget) currentSlot() *slotCounts {
	slot := b.Clock.Now().UnixNano() / int64(budgetSlotWidth)
	c := &b.slots[uint64(slot)%budgetSlots]
	if c.slot != slot {
		*c = slotCounts{slot: slot}
	}
	return c
}
