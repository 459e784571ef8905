package ingress

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// enginePriority returns the priority of a call at an engine: interactive work goes before batch work. All interactive calls
// share one priority, since an engine preempts running calls for more urgent ones, and both then miss their targets. Batch work
// has the time to be preempted: there the customer's priority decides.
func enginePriority(r deck.Route, customer deck.Customer) int {
	if r.LatencyTarget <= maxInteractiveTarget {
		return interactivePriority
	}
	if customer.HasPriority {
		return min(batchPriority+max(0, customer.Priority), lastPriority)
	}
	return batchPriority
}

// Priorities at engines, from 0 (first) to 9 (last).
const (
	interactivePriority  = 2
	batchPriority        = 6 // of the customers that go first
	lastPriority         = 9
	maxInteractiveTarget = 1 * time.Second // interactive callers expect the first words within this time
)
