package router

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/admit"
)

const (
	// maxQueuedTotal bounds the memory of waiting requests over all models to a few MB.
	maxQueuedTotal = 4096
	// noBackendRetryAfter is about the time that placement takes to restore a model.
	noBackendRetryAfter = 5 * time.Second
	minRetryAfter       = time.Second
	maxRetryAfter       = 30 * time.Second
)

func newRefusal(k deck.RefusalKind, reason string, retry time.Duration) *deck.Refusal {
	return &deck.Refusal{Kind: k, Reason: reason, RetryAfter: retry}
}

// noCandidateRefusal returns the refusal of a request for a model that no server may run now.
func (c *Core) noCandidateRefusal(m deck.ModelName, now time.Time) *deck.Refusal {
	var first time.Time // when the first server that holds the model takes requests again
	for _, r := range c.cfg.Residency.Replicas(m) {
		until := c.restraint(r.Backend, now).Until
		if r.Ready && !until.IsZero() && (first.IsZero() || until.Before(first)) {
			first = until
		}
	}
	if first.IsZero() {
		return newRefusal(deck.RefusedNoBackend, "no reachable backend server holds the model", noBackendRetryAfter)
	}
	return newRefusal(deck.RefusedOverload, "the backend servers that hold the model take no requests for a while", first.Sub(now))
}

// queueRefusal returns the refusal of a request that must not be queued, because it would miss its deadline or the queues are
// full, or nil. A request that has been admitted before is never refused.
func (c *Core) queueRefusal(req *Request, q *admit.Queue, now time.Time) *deck.Refusal {
	if req.admitted {
		return nil
	}
	class := req.info.Class
	if q.Waiting(class) >= admit.MaxQueued {
		return newRefusal(deck.RefusedOverload, "queue is full", c.retryAfter(q, class))
	}
	latestStart := req.item(now).LatestStart(c.expectedFirstToken(req.info.Model))
	if now.Add(q.ExpectedWait(class)).After(latestStart) {
		return newRefusal(deck.RefusedOverload, "deadline can't be met", c.retryAfter(q, class))
	}
	if len(c.queued) >= maxQueuedTotal && (class == deck.Batch || !c.evictBatch()) {
		return newRefusal(deck.RefusedOverload, "too many waiting requests", c.retryAfter(q, class))
	}
	return nil
}

// evictBatch refuses the newest batch request of the longest queue to make room for interactive work; it returns false if none
// waits.
func (c *Core) evictBatch() bool {
	var longest *admit.Queue
	var model deck.ModelName
	for m, q := range c.nonEmpty {
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
	req := c.queued[it.ID]
	c.dequeue(req)
	req.endWait(newRefusal(deck.RefusedOverload, "too many waiting requests", c.retryAfter(longest, deck.Batch)))
	return true
}

// retryAfter returns the expected time until the present queue has drained, or twice that time for batch work, with jitter so
// that refused requests don't return together.
func (c *Core) retryAfter(q *admit.Queue, class deck.Class) time.Duration {
	d := q.ExpectedWait(class)
	if class == deck.Batch {
		d *= 2
	}
	d = max(minRetryAfter, d)
	d += time.Duration(c.cfg.Rand.Float64() * float64(d))
	return min(maxRetryAfter, d)
}
