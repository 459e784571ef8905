package hedge

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	pressureDecay   = 2 * time.Second // time constant of the counts; a load peak lasts several seconds
	overloadShare   = 0.02            // of calls turned away from which on the servers count as overloaded
	priorTurnedAway = 10.0            // calls that are taken to have been served before there are any
)

// A pressure says how many of a service's calls were turned away lately.
type pressure struct {
	calls, turnedAway decayingCount
}

func (p *pressure) isOverload(now time.Time) bool {
	return p.turnedAway.value(now) > overloadShare*(p.calls.value(now)+priorTurnedAway)
}

// A decayingCount is a count that decays exponentially.
type decayingCount struct {
	decay   time.Duration
	sum     float64
	updated time.Time
}

func (c *decayingCount) inc(now time.Time) {
	c.sum = c.value(now) + 1
	c.updated = now
}

func (c *decayingCount) value(now time.Time) float64 {
	if c.updated.IsZero() {
		return 0
	}
	return c.sum * deck.Decay(now.Sub(c.updated), c.decay)
}
