package ingress

import (
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// crowdMemory is the time constant with which calls lose their weight; a peak lasts several seconds.
	crowdMemory = 2 * time.Second

	// crowdPrior are calls that count as served, so that a few refusals make no peak.
	crowdPrior = 6.0

	// callersLimit is the share of the time that a caller has left up to which it is told to wait: callers heed a third, and
	// the times are spread.
	callersLimit = 0.25
)

// A crowd estimates which share of the calls finds no place; its zero value has seen none.
type crowd struct {
	mu             sync.Mutex
	calls, refused float64
	at             time.Time
}

// call counts a call that asks for a place.
func (c *crowd) call(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fade(now)
	c.calls++
}

// refuse counts a call that found none, and returns when it should come back: the more calls are refused, the later, up to
// what callers heed. Callers that come back into the same peak are refused once more.
func (c *crowd) refuse(now time.Time, remaining time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fade(now)
	c.refused++
	share := min(1, c.refused/(c.calls+crowdPrior))
	latest := time.Duration(callersLimit * float64(remaining))
	return max(fullRetry, fullRetry+time.Duration(share*float64(latest-fullRetry)))
}

func (c *crowd) fade(now time.Time) {
	if !c.at.IsZero() {
		w := deck.Fade(now.Sub(c.at), crowdMemory)
		c.calls *= w
		c.refused *= w
	}
	c.at = now
}
