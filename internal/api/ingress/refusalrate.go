package ingress

import (
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// refusalRateDecay is the time constant of the exponential decay of the counts; a load peak lasts several seconds.
	refusalRateDecay = 2 * time.Second

	// priorCalls is added to the calls, as if that many had been served, so that a few refusals don't count as a peak.
	priorCalls = 6.0

	// maxRetryAfterShare bounds the retry delay, before jitter, to a share of the caller's remaining time, but not below
	// fullRetryAfter. Callers accept delays up to a third of their remaining time; the longest delay with jitter is 0.375 of it.
	maxRetryAfterShare = 0.25
)

// refusalRates are the refusal rates of services; the zero value has counted no calls.
type refusalRates struct {
	mu        sync.Mutex
	byService map[deck.ServiceName]*refusalRate
}

// of returns the rate of a service.
func (r *refusalRates) of(s deck.ServiceName) *refusalRate {
	r.mu.Lock()
	defer r.mu.Unlock()
	rate := r.byService[s]
	if rate == nil {
		if r.byService == nil {
			r.byService = make(map[deck.ServiceName]*refusalRate)
		}
		rate = &refusalRate{}
		r.byService[s] = rate
	}
	return rate
}

// A refusalRate estimates the share of a service's calls that are refused because all slots are taken or no server takes more within
// its limit; its zero value has counted none.
type refusalRate struct {
	mu             sync.Mutex
	calls, refused float64
	updated        time.Time
}

// recordCall counts a call that needs a slot.
func (c *refusalRate) recordCall(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decay(now)
	c.calls++
}

// recordRefusal counts a refused call and returns its retry delay, which grows from the least one with the share of refused calls up to
// maxRetryAfterShare: callers that return within the same peak would be refused again.
func (c *refusalRate) recordRefusal(now time.Time, remaining, least time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decay(now)
	c.refused++
	share := min(1, c.refused/(c.calls+priorCalls))
	latest := time.Duration(maxRetryAfterShare * float64(remaining))
	return max(least, least+time.Duration(share*float64(latest-least)))
}

func (c *refusalRate) decay(now time.Time) {
	if !c.updated.IsZero() {
		w := deck.Decay(now.Sub(c.updated), refusalRateDecay)
		c.calls *= w
		c.refused *= w
	}
	c.updated = now
}
