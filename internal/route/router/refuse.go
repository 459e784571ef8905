package router

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/admit"
)

const (
	// maxQueuedTotal bounds the memory of waiting requests over all models to a few MB.
	maxQueuedTotal = 4096
	// noBackendRetry is about the time that placement needs to restore a model.
	noBackendRetry = 5 * time.Second
	minRetry       = time.Second
	maxRetry       = 30 * time.Second
)

func refused(k deck.RefusalKind, reason string, retry time.Duration) *deck.Refusal {
	return &deck.Refusal{Kind: k, Reason: reason, RetryAfter: retry}
}

// refuseEarly returns the refusal of a request that would wait in vain; an answer that has started is never refused.
func (c *Core) refuseEarly(h *Hold, q *admit.Queue, now time.Time) *deck.Refusal {
	if h.admitted {
		return nil
	}
	class := h.info.Class
	if q.Waiting(class) >= admit.MaxQueued {
		return refused(deck.RefusedOverload, "queue is full", c.retryAfter(q, class))
	}
	last := h.item(now).LastStart(c.expectedFirstToken(h.info.Model))
	if now.Add(q.Wait(class)).After(last) {
		return refused(deck.RefusedOverload, "deadline can't be met", c.retryAfter(q, class))
	}
	if len(c.holds) >= maxQueuedTotal && (class == deck.Batch || !c.evictBatch()) {
		return refused(deck.RefusedOverload, "too many waiting requests", c.retryAfter(q, class))
	}
	return nil
}

// evictBatch refuses the newest waiting batch request of the longest queue in favour of interactive work; it returns false if none waits.
func (c *Core) evictBatch() bool {
	var longest *admit.Queue
	var model deck.ModelName
	for m, q := range c.waiting {
		n := q.Waiting(deck.Batch)
		if n == 0 {
			continue
		}
		if longest == nil || n > longest.Waiting(deck.Batch) || (n == longest.Waiting(deck.Batch) && m < model) {
			longest, model = q, m
		}
	}
	if longest == nil {
		return false
	}
	it, ok := longest.Newest(deck.Batch)
	if !ok {
		return false
	}
	h := c.holds[it.ID]
	c.unqueue(h)
	h.tell(refused(deck.RefusedOverload, "too many waiting requests", c.retryAfter(longest, deck.Batch)))
	return true
}

// retryAfter returns the time after which the present queue will have drained, spread so that the refused requests do
// not return together.
func (c *Core) retryAfter(q *admit.Queue, class deck.Class) time.Duration {
	d := q.Wait(class)
	if class == deck.Batch {
		d *= 2
	}
	d = max(minRetry, d)
	d += time.Duration(c.cfg.Rand.Float64() * float64(d))
	return min(maxRetry, d)
}
