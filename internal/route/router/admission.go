package router

import (
	"context"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/admit"
)

// An admission implements deck.Admission.
type admission struct {
	core *Core
	hold *Hold
}

var _ deck.Admission = (*admission)(nil)

// Choose implements deck.Admission.Choose. It waits for a server with free capacity if all are busy.
func (a *admission) Choose(ctx context.Context, avoid []deck.BackendName) (deck.BackendServer, *deck.Refusal) {
	for {
		notified := make(chan *deck.Refusal, 1)
		a.core.Rechoose(a.hold, avoid, func(r *deck.Refusal) { notified <- r })
		select {
		case ref := <-notified:
			if ref != nil {
				return deck.BackendServer{}, ref
			}
			if b, ok := a.core.Take(a.hold); ok {
				return b, nil
			}
		case <-ctx.Done():
			a.core.CancelWait(a.hold)
			return deck.BackendServer{}, newRefusal(deck.RefusedOverload, "caller has gone", 0)
		}
	}
}

// Observe implements deck.Admission.Observe.
func (a *admission) Observe(o deck.Observation) {
	a.core.Observe(a.hold, o)
}

// Preempted implements deck.Admission.Preempted.
func (a *admission) Preempted() <-chan struct{} {
	return a.core.Preempted(a.hold)
}

// Priority implements deck.Admission.Priority.
func (a *admission) Priority() int {
	return a.core.Priority(a.hold)
}

// Release implements deck.Admission.Release.
func (a *admission) Release() {
	a.core.Release(a.hold)
}

// CancelWait cancels a Rechoose that is no longer waited for and frees the server that it may have reserved.
func (c *Core) CancelWait(h *Hold) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h.notify = nil
	if c.queued[h.id] != nil {
		c.dequeue(h)
		c.queue(h.info.Model).Resume(h.info.Caller)
	}
	if h.reserved != nil {
		s := h.reserved.server
		c.endAttempt(h.reserved)
		h.reserved = nil
		c.dispatch(s, c.cfg.Clock.Now())
	}
}

// Preempted returns the channel that is closed when the request must cancel its attempt and choose again.
func (c *Core) Preempted(h *Hold) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return h.preempted
}

// Priority returns the priority of the request's next attempt, as defined by admit.Priority.
func (c *Core) Priority(h *Hold) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	waited := time.Duration(0)
	if h.usedTokens > 0 || h.info.Class == deck.Batch {
		waited = c.cfg.Clock.Now().Sub(h.arrived)
	}
	return admit.Priority(h.info.Class, h.usedTokens, waited)
}
