package order

import (
	"context"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/assign"
)

const (
	unloadTime  = 300 * time.Millisecond // an unload waits for its runs; without any it ends at once
	watchPeriod = 250 * time.Millisecond // between two reports while an order is carried out
	watchLimit  = 20 * time.Second       // runs of an unloaded model end within a caller's deadline
)

// scan reads an engine's report, so that orders can follow on what it holds.
func (c *Controller) scan(ctx context.Context, e *engine) {
	defer func() {
		c.mu.Lock()
		e.scanning = false
		c.mu.Unlock()
	}()
	if !e.turn(ctx) {
		return
	}
	defer e.endTurn()
	st, err := c.report(ctx, e)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		e.retryAt = time.Now().Add(retryPause)
		c.o.Log.Info("engine's report could not be read", "engine", string(e.id), "reason", err.Error())
		return
	}
	e.take(st, time.Now())
	if st.Busy {
		e.known = false
		e.retryAt = time.Now().Add(retryPause)
	}
}

func (c *Controller) report(ctx context.Context, e *engine) (deck.EngineState, error) {
	c.mu.Lock()
	server := e.server
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.o.Engines.Report(ctx, server)
}

// send sends one order, if this VM is still the holder, and notes what the answer tells.
func (c *Controller) send(ctx context.Context, e *engine, o deck.ModelOrder) deck.OrderOutcome {
	fence, ok := c.mayOrder()
	if !ok {
		return deck.OrderFenced
	}
	c.mu.Lock()
	o.After, o.Holder, o.Fence = e.seq, c.o.Self, fence
	server := e.server
	c.mu.Unlock()
	octx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	outcome, err := c.o.Engines.Order(octx, server, o)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.o.Log.Info("order sent", "engine", string(server.ID), "model", string(o.Model), "adapter", string(o.Adapter),
		"unload", o.Unload, "outcome", outcome.String(), "fence", fence, "orders-accepted", o.After,
		"models", len(e.models), "adapters", e.adapters(), "error", errorText(err))
	switch outcome {
	case deck.OrderAccepted:
		e.seq++
		e.ordered = time.Now()
	case deck.OrderFenced:
		e.fenced = true
	case deck.OrderHolds:
		if o.Unload && o.Adapter != "" {
			e.seq++ // an adapter without runs goes at once, and that counts as an order
			e.ordered = time.Now()
		}
	default:
		e.known = false
		e.retryAt = time.Now().Add(retryPause)
	}
	return outcome
}

// changeModel loads or unloads a model and waits until the engine has finished. Only the order itself takes the engine's
// turn, so that adapters can be ordered meanwhile.
func (c *Controller) changeModel(ctx context.Context, e *engine, a assign.Action, takes time.Duration) {
	c.publish() // entry VMs stop using a model that is about to go
	outcome := deck.OrderConflict
	if e.turn(ctx) {
		outcome = c.send(ctx, e, deck.ModelOrder{Unload: a.Unload, Model: a.Model})
		e.endTurn()
	}
	if outcome == deck.OrderAccepted {
		c.await(ctx, e, takes)
	}
	c.mu.Lock()
	e.loading, e.leaving = "", ""
	if outcome == deck.OrderHolds {
		e.known = false
	}
	c.mu.Unlock()
	c.publish()
}

// await polls the engine's report until it is no longer busy with the order.
func (c *Controller) await(ctx context.Context, e *engine, takes time.Duration) {
	until := time.Now().Add(watchLimit)
	wait := takes
	for time.Now().Before(until) {
		if !sleep(ctx, wait) {
			return
		}
		wait = watchPeriod
		if !e.turn(ctx) {
			continue
		}
		st, err := c.report(ctx, e)
		c.mu.Lock()
		gone := c.engines[e.id] != e
		finished := err == nil && !st.Busy && st.OrdersAccepted >= e.seq && time.Since(e.ordered) > reportLag
		if finished {
			e.take(st, time.Now())
		}
		c.mu.Unlock()
		e.endTurn()
		if finished || gone {
			return
		}
	}
	c.mu.Lock()
	e.known = false
	c.mu.Unlock()
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
