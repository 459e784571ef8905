package attempt

import (
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// The retry budget: a tenth of the requests of the window, and a floor without which a VM with little traffic could
// never retry.
const (
	budgetWindow  = 10
	budgetSlot    = time.Second
	budgetDivisor = 10
	budgetFloor   = 10
)

// A Budget limits retries and hedges of a VM. Its zero value needs a clock.
type Budget struct {
	Clock deck.Clock

	mu    sync.Mutex
	slots [budgetWindow]budgetCount
}

// A budgetCount counts one slot of the window.
type budgetCount struct {
	slot     int64
	requests int
	retries  int
}

// Request counts a request.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current().requests++
}

// Take counts a retry or hedge if the budget allows it.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.current()
	requests, retries := 0, 0
	for _, c := range b.slots {
		if c.slot > now.slot-budgetWindow {
			requests += c.requests
			retries += c.retries
		}
	}
	if retries >= max(budgetFloor, requests/budgetDivisor) {
		return false
	}
	now.retries++
	return true
}

// current returns the count of the present slot.
func (b *Budget) current() *budgetCount {
	slot := b.Clock.Now().UnixNano() / int64(budgetSlot)
	c := &b.slots[uint64(slot)%budgetWindow]
	if c.slot != slot {
		*c = budgetCount{slot: slot}
	}
	return c
}
