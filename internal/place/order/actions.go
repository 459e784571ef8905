package order

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/assign"
)

const (
	unloadTime          = 300 * time.Millisecond  // usual; an unload waits for running requests, and ends at once without any
	pollInterval        = 150 * time.Millisecond  // between two reports while an order is in progress
	typicalReportLag    = 200 * time.Millisecond  // usual age of the state in a report
	pollTimeout         = 20 * time.Second        // running requests of an unloaded model end within a caller's deadline
	unresponsiveTimeout = 1500 * time.Millisecond // without a report, after which the engine is taken to be gone
	listLag             = 2 * time.Second         // until the platform's list shows another engine at an address
)

// errRestarted is returned for a report of another incarnation of the engine, which holds none of the earlier models. The
// platform's list shows it after a short delay.
var errRestarted = errors.New("engine has restarted")

// errPaused is returned for a report that was not requested, because the engine wants no requests for a while.
var errPaused = errors.New("engine has asked for a pause")

// refresh reads an engine's report, after which orders can be sent to it.
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
	c.mu.Lock()
	acceptedAt := e.acceptedAt
	c.mu.Unlock()
	if time.Since(acceptedAt) <= maxReportLag {
		return // an order was accepted while this waited for the send lock
	}
	st, err := c.fetchReport(ctx, e)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		e.retryAt = time.Now().Add(retryDelay)
		c.opts.Log.Info("failed to read an engine's report", "engine", string(e.id), "reason", err.Error())
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
	if !c.pausedUntil(server).IsZero() {
		return deck.EngineState{}, errPaused
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	st, err := c.opts.Engines.Report(ctx, server)
	if err == nil && st.StartUnixMs != 0 && server.StartUnixMs != 0 && st.StartUnixMs != server.StartUnixMs {
		return st, errRestarted
	}
	if err == nil && st.Draining {
		c.opts.Restraints.ObserveNotice(time.Now(), server.ID, server.Incarnation(), deck.ServerNotice{Leaving: true})
	}
	return st, err
}

// pausedUntil returns when the engine takes requests again; zero if it takes them now.
func (c *Controller) pausedUntil(s deck.Server) time.Time {
	return c.opts.Restraints.PausedUntil(time.Now(), s.ID, s.Incarnation())
}

// sendOrder sends one order, if this VM may still send any, and updates the engine from the outcome.
func (c *Controller) sendOrder(ctx context.Context, e *engine, o deck.ModelOrder) deck.OrderOutcome {
	token, ok := c.fencingToken()
	if !ok {
		return deck.OrderFenced
	}
	spec, _ := c.spec(e.service)
	c.mu.Lock()
	if until := c.pausedUntil(e.server); !until.IsZero() {
		e.retryAt = until
		c.mu.Unlock()
		return deck.OrderConflict
	}
	if !o.Unload && !e.fits(spec, o) {
		e.synced = false
		e.retryAt = time.Now().Add(retryDelay)
		c.mu.Unlock()
		c.opts.Log.Info("load not ordered: it would exceed the engine's memory or adapter slots", "engine", string(e.id),
			"model", string(o.Model), "adapter", string(o.Adapter))
		return deck.OrderConflict
	}
	if !o.Unload && o.Adapter != "" {
		e.adaptersLoading[deck.AdapterRef{Model: o.Model, Adapter: o.Adapter}] = true
	}
	o.ExpectOrdersAccepted, o.LeaseHolder, o.FencingToken = e.ordersAccepted, c.opts.Self, token
	server := e.server
	if o.Unload && o.Adapter == "" {
		e.unloadSent[o.Model] = true
	}
	c.mu.Unlock()
	orderCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	outcome, err := c.opts.Engines.SendOrder(orderCtx, server, o)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opts.Log.Info("order sent", "engine", string(server.ID), "model", string(o.Model), "adapter", string(o.Adapter),
		"unload", o.Unload, "outcome", outcome.String(), "fence", token, "orders-accepted", o.ExpectOrdersAccepted,
		"models", len(e.models), "adapters", e.usedAdapterSlots(), "error", deck.ErrorText(err))
	switch outcome {
	case deck.OrderAccepted:
		e.ordersAccepted++
		e.acceptedAt = time.Now()
	case deck.OrderFenced:
		e.fenced = true
	case deck.OrderSatisfied:
		if o.Unload && o.Adapter != "" {
			e.ordersAccepted++ // an adapter without running requests is unloaded at once, and the engine counts the order
			e.acceptedAt = time.Now()
		}
	case deck.OrderOtherServer:
		e.synced = false
		e.retryAt = time.Now().Add(listLag)
	default:
		e.synced = false
		e.retryAt = time.Now().Add(retryDelay)
	}
	return outcome
}

// runAction runs an action and waits until the engine has finished. It holds the send lock only while it sends an order, so
// that reports can be read in between.
func (c *Controller) runAction(ctx context.Context, e *engine, a assign.Action, expected time.Duration) {
	c.publish() // entry VMs stop sending calls for a model that is about to be unloaded
	ok := c.unloadModels(ctx, e, a.Unload)
	switch {
	case !ok:
		c.refund(e, a)
	case a.Load != "":
		ok = c.loadModel(ctx, e, a, expected)
	default:
		c.awaitCompletion(ctx, e, unloadTime)
	}
	if !ok {
		c.opts.Log.Info("failed to change the models of an engine as planned", "engine", string(e.id), "unload", a.Unload,
			"load", string(a.Load))
	}
	c.mu.Lock()
	e.acting, e.loading = false, ""
	clear(e.unloading)
	c.mu.Unlock()
	c.publish()
}

// unloadModels unloads the models one after the other and reports whether the engine has accepted all the orders.
func (c *Controller) unloadModels(ctx context.Context, e *engine, models []deck.ModelName) bool {
	for i, m := range models {
		outcome := c.sendOrderAfter(ctx, i > 0, e, func() deck.OrderOutcome {
			return c.sendModelOrder(ctx, e, deck.ModelOrder{Unload: true, Model: m})
		})
		if outcome != deck.OrderAccepted && outcome != deck.OrderSatisfied {
			return false
		}
		c.mu.Lock()
		delete(e.models, m)
		delete(e.unloading, m)
		c.mu.Unlock()
	}
	return true
}

func (c *Controller) loadModel(ctx context.Context, e *engine, a assign.Action, expected time.Duration) bool {
	outcome := c.sendOrderAfter(ctx, len(a.Unload) > 0, e, func() deck.OrderOutcome { return c.sendLoad(ctx, e, a) })
	if outcome != deck.OrderAccepted {
		c.mu.Lock()
		e.synced = false
		c.mu.Unlock()
		if outcome != deck.OrderUnknown {
			c.refund(e, a)
		}
		return outcome == deck.OrderSatisfied
	}
	c.awaitCompletion(ctx, e, expected)
	return true
}

// sendOrderAfter sends an order for a model, after an unload if afterUnload is set. An engine accepts it at once if the unloaded
// model has no running requests, and refuses it until they have ended otherwise.
func (c *Controller) sendOrderAfter(
	ctx context.Context, afterUnload bool, e *engine, send func() deck.OrderOutcome,
) deck.OrderOutcome {
	outcome := send()
	if outcome == deck.OrderConflict && afterUnload {
		c.awaitCompletion(ctx, e, unloadTime)
		outcome = send()
	}
	return outcome
}

// sendLoad sends the order to load the action's model, once the rate of loads that begin allows it. Loads that were planned seconds
// apart would otherwise begin together when the unloads before them end.
func (c *Controller) sendLoad(ctx context.Context, e *engine, a assign.Action) deck.OrderOutcome {
	if a.FromStore && !c.awaitStoreStart(ctx, e.service) {
		return deck.OrderConflict
	}
	outcome := c.sendModelOrder(ctx, e, deck.ModelOrder{Model: a.Load})
	if a.FromStore && outcome != deck.OrderAccepted && outcome != deck.OrderUnknown {
		c.mu.Lock()
		defer c.mu.Unlock()
		if bucket := c.storeStarts[e.service]; bucket != nil {
			bucket.tokens++
		}
	}
	return outcome
}

// awaitStoreStart waits until a load from the weight store may begin; it returns false if the service is no longer configured or ctx ends.
func (c *Controller) awaitStoreStart(ctx context.Context, s deck.ServiceName) bool {
	for {
		spec, ok := c.spec(s)
		if !ok || spec.StoreLoadsPerSecond <= 0 {
			return false
		}
		c.mu.Lock()
		bucket := refill(c.storeStarts, s, spec, time.Now())
		missing := 1 - bucket.tokens
		if missing <= 0 {
			bucket.tokens--
		}
		c.mu.Unlock()
		if missing <= 0 {
			return true
		}
		wait := time.Duration(missing / spec.StoreLoadsPerSecond * float64(time.Second))
		if !deck.Sleep(ctx, max(wait, time.Millisecond)) {
			return false
		}
	}
}

// refund puts the token for a load from the weight store back into the bucket; the load must be known not to start.
func (c *Controller) refund(e *engine, a assign.Action) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if bucket := c.storeBuckets[e.server.Service]; bucket != nil && a.FromStore {
		bucket.tokens++
	}
}

// sendModelOrder acquires the engine's send lock and sends an order for a model.
func (c *Controller) sendModelOrder(ctx context.Context, e *engine, o deck.ModelOrder) deck.OrderOutcome {
	if !e.lockSending(ctx) {
		return deck.OrderUnknown
	}
	defer e.unlockSending()
	return c.sendOrder(ctx, e, o)
}

// awaitCompletion polls the engine's report until the order has finished, the engine is taken to be gone or pollTimeout has
// passed.
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
