package order

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/assign"
)

const (
	unloadTime  = 300 * time.Millisecond  // an unload waits for its runs; without any it ends at once
	watchPeriod = 150 * time.Millisecond  // between two reports while an order is carried out
	stale       = 200 * time.Millisecond  // usual age of what a report says
	watchLimit  = 20 * time.Second        // runs of an unloaded model end within a caller's deadline
	silentLimit = 1500 * time.Millisecond // without a report, after which the engine counts as gone for now
	listLag     = 2 * time.Second         // until the platform's list shows another engine at an address
)

// errRestarted means that an engine has started anew and holds nothing of before; the platform's list shows it soon.
var errRestarted = errors.New("engine has restarted")

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
	st, err := c.o.Engines.Report(ctx, server)
	if err == nil && st.Born != 0 && server.Born != 0 && st.Born != server.Born {
		return st, errRestarted
	}
	return st, err
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
	if o.Unload && o.Adapter == "" {
		e.dropped[o.Model] = true
	}
	c.mu.Unlock()
	octx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	outcome, err := c.o.Engines.Order(octx, server, o)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.o.Log.Info("order sent", "engine", string(server.ID), "model", string(o.Model), "adapter", string(o.Adapter),
		"unload", o.Unload, "outcome", outcome.String(), "fence", fence, "orders-accepted", o.After,
		"models", len(e.models), "adapters", e.adapters(), "error", deck.ErrorText(err))
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
	case deck.OrderMisplaced:
		e.known = false
		e.retryAt = time.Now().Add(listLag)
	default:
		e.known = false
		e.retryAt = time.Now().Add(retryPause)
	}
	return outcome
}

// changeModels carries out an action and waits until the engine has finished. Only the orders themselves take the engine's
// turn, so that reports can be read meanwhile.
func (c *Controller) changeModels(ctx context.Context, e *engine, a assign.Action, takes time.Duration) {
	c.publish() // entry VMs stop using a model that is about to go
	if a.Unload != "" && !c.unload(ctx, e, a) || a.Load != "" && !c.load(ctx, e, a, takes) {
		c.o.Log.Info("models of an engine did not change as planned", "engine", string(e.id), "unload", string(a.Unload),
			"load", string(a.Load))
	}
	c.mu.Lock()
	e.loading, e.leaving = "", ""
	c.mu.Unlock()
	c.publish()
}

// unload makes room; it reports whether a load may follow. An engine whose unloaded model has no runs takes the load at
// once, and another one refuses it until they have ended.
func (c *Controller) unload(ctx context.Context, e *engine, a assign.Action) bool {
	outcome := c.orderModel(ctx, e, deck.ModelOrder{Unload: true, Model: a.Unload})
	if outcome != deck.OrderAccepted && outcome != deck.OrderHolds {
		c.refund(e, a)
		return false
	}
	if a.Load == "" {
		c.await(ctx, e, unloadTime)
		return true
	}
	c.mu.Lock()
	delete(e.models, a.Unload)
	e.leaving = ""
	c.mu.Unlock()
	return true
}

func (c *Controller) load(ctx context.Context, e *engine, a assign.Action, takes time.Duration) bool {
	outcome := c.orderModel(ctx, e, deck.ModelOrder{Model: a.Load})
	if outcome == deck.OrderConflict && a.Unload != "" {
		c.await(ctx, e, unloadTime)
		outcome = c.orderModel(ctx, e, deck.ModelOrder{Model: a.Load})
	}
	if outcome != deck.OrderAccepted {
		c.mu.Lock()
		e.known = false
		c.mu.Unlock()
		if outcome != deck.OrderUnknown {
			c.refund(e, a)
		}
		return outcome == deck.OrderHolds
	}
	c.await(ctx, e, takes)
	return true
}

// refund gives a load from the weight store back that certainly does not begin.
func (c *Controller) refund(e *engine, a assign.Action) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if allowed := c.store[e.server.Service]; allowed != nil && a.FromStore {
		allowed.tokens++
	}
}

// orderModel sends an order about a model when it is its turn.
func (c *Controller) orderModel(ctx context.Context, e *engine, o deck.ModelOrder) deck.OrderOutcome {
	if !e.turn(ctx) {
		return deck.OrderUnknown
	}
	defer e.endTurn()
	return c.send(ctx, e, o)
}

// await polls the engine's report until it is no longer busy with the order.
func (c *Controller) await(ctx context.Context, e *engine, takes time.Duration) {
	until := time.Now().Add(watchLimit)
	wait := takes + stale
	heard := time.Now().Add(wait)
	for time.Now().Before(until) {
		if !deck.Sleep(ctx, wait) {
			return
		}
		wait = watchPeriod
		if !e.turn(ctx) {
			continue
		}
		st, err := c.report(ctx, e)
		c.mu.Lock()
		if err == nil {
			heard = time.Now()
		}
		gone := c.engines[e.id] != e || time.Since(heard) > silentLimit
		if gone {
			e.known = false
		}
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
