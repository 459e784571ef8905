package ingress

import (
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// crowdMemory is the time constant with which calls lose their weight; a peak lasts several seconds.
	refusalRateDecay = 2 * time.Second

	// crowdPrior are calls that count as served, so that a few refusals make no peak.
	priorCalls = 6.0

	// callersLimit is the share of the time that a caller has left up to which it is told to wait: callers heed a third, and
	// the times are spread.
	maxRetryAfterShare = 0.25
)

// A crowd estimates which share of the calls finds no place; its zero value has seen none.
type refusalRate struct {
	mu             sync.Mutex
	calls, refused float64
	updated        time.Time
}

// call counts a call that asks for a place.
func (c *refusalRate) recordCall(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decay(now)
	c.calls++
}

// refuse counts a call that found none, and returns when it should come back: the more calls are refused, the later, up to
// what callers heed. Callers that come back into the same peak are refused once more.
func (c *refusalRate) recordRefusal(now time.Time, remaining time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decay(now)
	c.refused++
	share := min(1, c.refused/(c.calls+priorCalls))
	latest := time.Duration(maxRetryAfterShare * float64(remaining))
	return max(fullRetryAfter, fullRetryAfter+time.Duration(share*float64(latest-fullRetryAfter)))
}

func (c *refusalRate) decay(now time.Time) {
	if !c.updated.IsZero() {
		w := deck.Fade(now.Sub(c.updated), refusalRateDecay)
		c.calls *= w
		c.refused *= w
	}
	c.updated = now
}
