package balance

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// slotTimeCalls is about how many recent calls the mean covers.
const slotTimeCalls = 50

// A slotTimeEstimate is the moving average of how long calls of a service occupy a slot. The zero value has no samples.
type slotTimeEstimate struct {
	mean  time.Duration
	calls int
}

func (e *slotTimeEstimate) add(slotTime time.Duration) {
	e.calls = min(e.calls+1, slotTimeCalls)
	e.mean += (slotTime - e.mean) / time.Duration(e.calls)
}

// RecordSlotTime records how long a call that has ended occupied a slot at a server of the service.
func (b *Balancer) RecordSlotTime(s deck.ServiceName, slotTime time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.slotTime[s] == nil {
		b.slotTime[s] = &slotTimeEstimate{}
	}
	b.slotTime[s].add(slotTime)
}
