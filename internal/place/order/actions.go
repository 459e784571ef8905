package order

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/assign"
)

const (
	unloadTime          = 300 * time.Millisecond  // an unload waits for its runs; without any it ends at once
	pollInterval        = 150 * time.Millisecond  // between two reports while an order is carried out
	typicalReportLag    = 200 * time.Millisecond  // usual age of what a report says
	pollTimeout         = 20 * time.Second        // runs of an unloaded model end within a caller's deadline
	unresponsiveTimeout = 1500 * time.Millisecond // without a report, after which the engine counts as gone for now
	listLag             = 2 * time.Second         // until the platform's list shows another engine at an address
)

// errRestarted means that an engine has started anew and holds nothing of before; the platform's list shows it soon.
var errRestarted = errors.New("engine has restarted")

// scan reads an engine's report, so that orders can follow on what it holds.
func (c *Controller) refresh(ctx context.Context, e *engine) {
	defer func() {
		c.mu.Lock()
		e.refreshing = false
		c.mu.Unlock()
	}()
	if !e.lockSending(ctx) {
		return
	}
	defer e.unlockSending()
	st, err := c.fetchReport(ctx, e)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		e.retryAt = time.Now().Add(retryDelay)
		c.opts.Log.Info("engine's report could not be read", "engine", string(e.id), "reason", err.Error())
		return
	}
	e.applyReport(st, time.Now())
	if st.Busy {
		e.synced = false
		e.retryAt = time.Now().Add(retryDelay)
	}
}

func (c *Controller) fetchReport(ctx context.Context, e *engine) (deck.EngineState, error) {
	c.mu.Lock()
	server := e.server
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	st, err := c.opts.Engines.Report(ctx, server)
	if err == nil && st.Born != 0 && server.Born != 0 && st.Born != server.Born {
		return st, errRestarted
	}
	return st, err
}

// send sends one order, if this VM is still the holder, and notes what the answer tells.
func (c *Controller) sendOrder(ctx context.Context, e *engine, o deck.ModelOrder) deck.OrderOutcome {
	fence, ok := c.fencingToken()
	if !ok {
		return deck.OrderFenced
	}
	c.mu.Lock()
	o.After, o.Holder, o.Fence = e.ordersAccepted, c.opts.Self, fence
	server := e.server
	if o.Unload && o.Adapter == "" {
		e.unloadSent[o.Model] = true
	}
	c.mu.Unlock()
	orderCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	outcome, err := c.opts.Engines.Order(orderCtx, server, o)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opts.Log.Info("order sent", "engine", string(server.ID), "model", string(o.Model), "adapter", string(o.Adapter),
		"unload", o.Unload, "outcome", outcome.String(), "fence", fence, "orders-accepted", o.After,
		"models", len(e.models), "adapters", e.usedAdapterSlots(), "error", deck.ErrorText(err))
	switch outcome {
	case deck.OrderAccepted:
		e.ordersAccepted++
		e.acceptedAt = time.Now()
	case deck.OrderFenced:
		e.fenced = true
	case deck.OrderHolds:
		if o.Unload && o.Adapter != "" {
			e.ordersAccepted++ // an adapter without runs goes at once, and that counts as an order
			e.acceptedAt = time.Now()
		}
	case deck.OrderMisplaced:
		e.synced = false
		e.retryAt = time.Now().Add(listLag)
	default:
		e.synced = false
		e.retryAt = time.Now().Add(retryDelay)
	}
	return outcome
}

// changeModels carries out an action and waits until the engine has finished. Only the orders themselves take the engine's
// turn, so that reports can be read meanwhile.
func (c *Controller) runAction(ctx context.Context, e *engine, a assign.Action, expected time.Duration) {
	c.publish() // entry VMs stop using a model that is about to go
	if a.Unload != "" && !c.unloadModel(ctx, e, a) || a.Load != "" && !c.loadModel(ctx, e, a, expected) {
		c.opts.Log.Info("models of an engine did not change as planned", "engine", string(e.id), "unload", string(a.Unload),
			"load", string(a.Load))
	}
	c.mu.Lock()
	e.loading, e.unloading = "", ""
	c.mu.Unlock()
	c.publish()
}

// unload makes room; it reports whether a load may follow. An engine whose unloaded model has no runs takes the load at
// once, and another one refuses it until they have ended.
func (c *Controller) unloadModel(ctx context.Context, e *engine, a assign.Action) bool {
	outcome := c.sendModelOrder(ctx, e, deck.ModelOrder{Unload: true, Model: a.Unload})
	if outcome != deck.OrderAccepted && outcome != deck.OrderHolds {
		c.refund(e, a)
		return false
	}
	if a.Load == "" {
		c.awaitCompletion(ctx, e, unloadTime)
		return true
	}
	c.mu.Lock()
	delete(e.models, a.Unload)
	e.unloading = ""
	c.mu.Unlock()
	return true
}

func (c *Controller) loadModel(ctx context.Context, e *engine, a assign.Action, expected time.Duration) bool {
	outcome := c.sendModelOrder(ctx, e, deck.ModelOrder{Model: a.Load})
	if outcome == deck.OrderConflict && a.Unload != "" {
		c.awaitCompletion(ctx, e, unloadTime)
		outcome = c.sendModelOrder(ctx, e, deck.ModelOrder{Model: a.Load})
	}
	if outcome != deck.OrderAccepted {
		c.mu.Lock()
		e.synced = false
		c.mu.Unlock()
		if outcome != deck.OrderUnknown {
			c.refund(e, a)
		}
		return outcome == deck.OrderHolds
	}
	c.awaitCompletion(ctx, e, expected)
	return true
}

// refund gives a load from the weight store back that certainly does not begin.
func (c *Controller) refund(e *engine, a assign.Action) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if bucket := c.storeBuckets[e.server.Service]; bucket != nil && a.FromStore {
		bucket.tokens++
	}
}

// orderModel sends an order about a model when it is its turn.
func (c *Controller) sendModelOrder(ctx context.Context, e *engine, o deck.ModelOrder) deck.OrderOutcome {
	if !e.lockSending(ctx) {
		return deck.OrderUnknown
	}
	defer e.unlockSending()
	return c.sendOrder(ctx, e, o)
}

// await polls the engine's report until it is no longer busy with the order.
func (c *Controller) awaitCompletion(ctx context.Context, e *engine, expected time.Duration) {
	deadline := time.Now().Add(pollTimeout)
	wait := expected + typicalReportLag
	lastReport := time.Now().Add(wait)
	for time.Now().Before(deadline) {
		if !deck.Sleep(ctx, wait) {
			return
		}
		wait = pollInterval
		if !e.lockSending(ctx) {
			continue
		}
		st, err := c.fetchReport(ctx, e)
		c.mu.Lock()
		if err == nil {
			lastReport = time.Now()
		}
		gone := c.engines[e.id] != e || time.Since(lastReport) > unresponsiveTimeout
		if gone {
			e.synced = false
		}
		finished := err == nil && !st.Busy && st.OrdersAccepted >= e.ordersAccepted && time.Since(e.acceptedAt) > maxReportLag
		if finished {
			e.applyReport(st, time.Now())
		}
		c.mu.Unlock()
		e.unlockSending()
		if finished || gone {
			return
		}
	}
	c.mu.Lock()
	e.synced = false
	c.mu.Unlock()
}
