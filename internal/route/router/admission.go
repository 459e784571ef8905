package router

import (
	"context"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/admit"
)

// An admission implements deck.Admission.
type admission struct {
	core    *Core
	request *Request
}

var _ deck.Admission = (*admission)(nil)

// Choose implements deck.Admission.Choose. It waits for a server with free capacity if all are busy.
func (a *admission) Choose(
	ctx context.Context, avoid []deck.BackendName, software *deck.SoftwareVersion,
) (deck.BackendServer, *deck.Refusal) {
	for {
		notified := make(chan *deck.Refusal, 1)
		a.core.Reselect(a.request, avoid, software, func(r *deck.Refusal) { notified <- r })
		select {
		case ref := <-notified:
			if ref != nil {
				return deck.BackendServer{}, ref
			}
			if b, ok := a.core.TakeReserved(a.request); ok {
				return b, nil
			}
		case <-ctx.Done():
			a.core.CancelWait(a.request)
			return deck.BackendServer{}, newRefusal(deck.RefusedOverload, "caller has gone", 0)
		}
	}
}

// Observe implements deck.Admission.Observe.
func (a *admission) Observe(o deck.Observation) {
	a.core.Observe(a.request, o)
}

// Preempted implements deck.Admission.Preempted.
func (a *admission) Preempted() <-chan struct{} {
	return a.core.Preempted(a.request)
}

// Priority implements deck.Admission.Priority.
func (a *admission) Priority() int {
	return a.core.Priority(a.request)
}

// Release implements deck.Admission.Release.
func (a *admission) Release() {
	a.core.Release(a.request)
}

// CancelWait cancels a Reselect that is no longer waited for and frees the server that it may have reserved.
func (c *Core) CancelWait(req *Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req.notify = nil
	if c.queued[req.id] != nil {
		c.dequeue(req)
		c.queue(req.info.Model).AddRunning(req.info.Caller)
	}
	if req.reserved != nil {
		s := req.reserved.server
		c.endAttempt(req.reserved)
		req.reserved = nil
		c.dispatch(s, c.cfg.Clock.Now())
	}
}

// Preempted returns the channel that is closed when the request must cancel its attempt and choose again.
func (c *Core) Preempted(req *Request) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return req.preempted
}

// Priority returns the priority of the request's next attempt, as defined by admit.Priority. The time since arrival includes
// the time that the request ran; it counts as 0 for an interactive request without tokens.
func (c *Core) Priority(req *Request) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sinceArrival := time.Duration(0)
	if req.tokensGenerated > 0 || req.info.Class == deck.Batch {
		sinceArrival = c.cfg.Clock.Now().Sub(req.arrived)
	}
	return admit.Priority(req.info.Class, req.tokensGenerated, sinceArrival)
}
