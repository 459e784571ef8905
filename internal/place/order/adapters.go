package order

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/assign"
)

const (
	adapterLoadTime    = 8 * time.Millisecond // of one adapter while few others are loading
	maxAdapterLoads    = 4                    // on one engine at a time
	maxAdapterAttempts = 3                    // engines that are tried for one adapter

	// minAdapterIdle is how long an adapter must have been unused before it may be evicted. It is longer than the interval of
	// the entry VMs' reports of the adapters in use, since an unload waits for running requests.
	minAdapterIdle = 1200 * time.Millisecond
)

type adapterKey struct {
	service  deck.ServiceName
	model    deck.ModelName
	adapter  deck.AdapterName
	pinned   bool                 // for a stream that only engines of the software version can continue
	software deck.SoftwareVersion // if pinned
}

func newAdapterKey(r deck.PlacementRequest) adapterKey {
	key := adapterKey{service: r.Service, model: r.Model, adapter: r.Adapter}
	if r.Continued != nil {
		key.pinned, key.software = true, r.Continued.Software
	}
	return key
}

// PlaceFor places a model or adapter on an engine for callers in a data centre. It waits for the load of an adapter. For a
// model it records the demand, so that the next plan can load it. It fails if this VM may not send orders.
func (c *Controller) PlaceFor(ctx context.Context, from deck.DataCentre, r deck.PlacementRequest) (deck.Placement, error) {
	if _, ok := c.fencingToken(); !ok {
		return deck.Placement{}, errors.New("this VM holds no orders now")
	}
	spec, ok := c.spec(r.Service)
	if !ok {
		return deck.Placement{}, errors.Newf("no engines in service %q", r.Service)
	}
	holder, ok := c.findHolder(from, r)
	if ok && (r.Adapter == "" || !c.isLimited(holder.Server)) {
		return holder, nil
	}
	if r.Adapter == "" {
		c.recordMiss(r)
		return c.estimateReady(spec, r), nil
	}
	key := newAdapterKey(r)
	if c.awaitPlacement(ctx, key) {
		p, _ := c.findHolder(from, r)
		return p, nil
	}
	defer c.endPlacement(key)
	return c.placeAdapter(ctx, spec, from, r, holder), nil
}

// isLimited reports whether the engine has named a limit that entry VMs need.
func (c *Controller) isLimited(id deck.BackendName) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.engines[id]
	return e != nil && c.limited(e)
}

// limited is isLimited for an engine of the list; the caller holds the lock.
func (c *Controller) limited(e *engine) bool {
	if c.opts.Limit == nil {
		return false
	}
	_, ok := c.opts.Limit(e.server)
	return ok
}

func (c *Controller) spec(s deck.ServiceName) (deck.EngineSpec, bool) {
	cfg := c.opts.Config()
	if cfg == nil {
		return deck.EngineSpec{}, false
	}
	service, ok := cfg.Service(s)
	if !ok || service.Engine == nil {
		return deck.EngineSpec{}, false
	}
	return *service.Engine, true
}

// awaitPlacement waits for the end of another request for the same adapter, and reports whether there was one. If there was
// none, the caller must call endPlacement.
func (c *Controller) awaitPlacement(ctx context.Context, key adapterKey) bool {
	c.mu.Lock()
	ended, ok := c.placing[key]
	if !ok {
		c.placing[key] = make(chan struct{})
		c.mu.Unlock()
		return false
	}
	c.mu.Unlock()
	select {
	case <-ended:
	case <-ctx.Done():
	}
	return true
}

func (c *Controller) endPlacement(key adapterKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.placing[key])
	delete(c.placing, key)
}

// findHolder returns an engine that already holds the model and adapter, preferably one without a limit, in the callers' data centre.
func (c *Controller) findHolder(from deck.DataCentre, r deck.PlacementRequest) (deck.Placement, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best *engine
	for _, e := range c.engines {
		adapters, ok := e.models[r.Model]
		if !ok || e.unloading[r.Model] || !r.Allows(e.server) {
			continue
		}
		if _, ok := adapters[r.Adapter]; r.Adapter != "" && !ok {
			continue
		}
		if best == nil || !c.limited(e) && (c.limited(best) || e.server.DataCentre == from) {
			best = e
		}
	}
	if best == nil {
		return deck.Placement{}, false
	}
	if r.Adapter != "" {
		best.models[r.Model][r.Adapter] = time.Now()
	}
	return deck.Placement{Server: best.id}, true
}

// missTokens is the demand recorded for a call that found no engine, about a small request. The next plan then takes the model
// into account before the entry VM's own report arrives.
const missTokens = 500

// maxLoadOverrun is how late a load may be before its end is no longer estimated: it waits for running requests, or the engine
// has ended.
const maxLoadOverrun = 500 * time.Millisecond

// recordMiss records the demand of a call for a model that no engine holds which could run the call.
func (c *Controller) recordMiss(r deck.PlacementRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.estimatorOf(r.Service).recordDemand(now, r.Model, missTokens)
	if r.Continued != nil {
		needed := assign.Continued{Model: r.Model, Software: r.Continued.Software, Unusable: r.Unusable}
		c.continued[r.Service] = c.continued[r.Service].with(now, needed)
	}
}

// estimateReady estimates when an engine will hold the model; ReadyIn is 0 if that is unknown.
func (c *Controller) estimateReady(spec deck.EngineSpec, r deck.PlacementRequest) deck.Placement {
	m := r.Model
	model, _ := spec.Model(m)
	c.mu.Lock()
	defer c.mu.Unlock()
	var p deck.Placement
	now := time.Now()
	for _, e := range c.engines {
		if !r.Allows(e.server) {
			continue
		}
		var remaining time.Duration
		switch {
		case e.loading == m && now.Sub(e.readyAt) < maxLoadOverrun:
			remaining = max(e.readyAt.Sub(now), pollInterval)
		case e.cached[m] && e.available(now):
			remaining = planPeriod + max(model.DiskLoadTime, model.WarmLoadTime) + typicalReportLag
		case r.Continued != nil: // the next plan that can loads the model from the store
			remaining = planPeriod + model.LoadTime + typicalReportLag
		default:
			continue
		}
		if p.ReadyIn == 0 || remaining < p.ReadyIn {
			p.ReadyIn = remaining
		}
	}
	return p
}

// placeAdapter loads the adapter on an engine that holds its model. If an engine holds it already, only one without a limit would help.
func (c *Controller) placeAdapter(
	ctx context.Context, spec deck.EngineSpec, from deck.DataCentre, r deck.PlacementRequest, holder deck.Placement,
) deck.Placement {
	tried := make(map[*engine]bool)
	for range maxAdapterAttempts {
		e, ok := c.selectAdapterEngine(spec, from, r, tried)
		if !ok || holder.Server != "" && c.isLimited(e.id) {
			break
		}
		tried[e] = true
		if c.loadAdapter(ctx, spec, e, newAdapterKey(r)) {
			c.publish()
			return deck.Placement{Server: e.id}
		}
	}
	if holder.Server != "" {
		return holder
	}
	if r.Continued != nil {
		c.recordMiss(r) // no engine of the software version holds the model
	}
	return c.estimateReady(spec, r)
}

// selectAdapterEngine returns the engine not yet tried that has the least cost, by used adapter slots, eviction, distance and limits.
func (c *Controller) selectAdapterEngine(
	spec deck.EngineSpec, from deck.DataCentre, r deck.PlacementRequest, tried map[*engine]bool,
) (best *engine, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	bestCost := 0.0
	for _, e := range c.engines {
		if tried[e] || !r.Allows(e.server) || !e.canLoadAdapter(r.Model) {
			continue
		}
		cost := float64(e.usedAdapterSlots() + len(e.sendLock))
		if !e.fitsAdapter(spec, r.Model) {
			if _, found := e.lruAdapter(now); !found {
				continue
			}
			cost += evictAdapterCost
		}
		if e.server.DataCentre != from {
			cost += remoteAdapterCost
		}
		if c.limited(e) {
			cost += limitedAdapterCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best, best != nil
}

// canLoadAdapter reports whether an order for an adapter of the model may be sent. An engine that is loading or unloading a
// model refuses it.
func (e *engine) canLoadAdapter(m deck.ModelName) bool {
	_, holds := e.models[m]
	return holds && e.synced && !e.fenced && !e.server.Draining && len(e.unloading) == 0 && e.loading == "" &&
		len(e.adaptersLoading) < maxAdapterLoads
}

// Costs in units of one used adapter slot.
const (
	evictAdapterCost  = 4.0
	remoteAdapterCost = 3.0

	// limitedAdapterCost is more than that of any other engine, since an engine with a limit may take hardly any calls.
	limitedAdapterCost = 1000.0
)

// lruAdapter returns the least recently used adapter, if it has been unused for minAdapterIdle.
func (e *engine) lruAdapter(now time.Time) (ref deck.AdapterRef, ok bool) {
	oldest := now.Add(-minAdapterIdle)
	for m, adapters := range e.models {
		for a, used := range adapters {
			if used.Before(oldest) {
				ref, oldest, ok = deck.AdapterRef{Model: m, Adapter: a}, used, true
			}
		}
	}
	return ref, ok
}

// loadAdapter sends the orders and waits for the usual time of a load. It makes room only after it holds the engine's send
// lock, since earlier orders may take slots.
func (c *Controller) loadAdapter(ctx context.Context, spec deck.EngineSpec, e *engine, key adapterKey) bool {
	if !e.lockSending(ctx) {
		return false
	}
	defer e.unlockSending()
	// An order that has begun continues after the caller has left, so that its outcome is known.
	ctx = context.WithoutCancel(ctx)
	if !c.makeRoom(ctx, spec, e, key.model) {
		return false
	}
	outcome := c.sendOrder(ctx, e, deck.ModelOrder{Model: key.model, Adapter: key.adapter})
	loading := outcome == deck.OrderAccepted || outcome == deck.OrderSatisfied
	if loading {
		deck.Sleep(ctx, adapterLoadTime)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if outcome != deck.OrderUnknown { // an order without an answer may still take its room, until a report shows the outcome
		delete(e.adaptersLoading, deck.AdapterRef{Model: key.model, Adapter: key.adapter})
	}
	if !loading {
		return false
	}
	held, ok := e.models[key.model]
	if ok {
		held[key.adapter] = time.Now()
	}
	return ok
}

// makeRoom evicts an adapter if the engine has no room for another of the model, and reports whether there is room now.
func (c *Controller) makeRoom(ctx context.Context, spec deck.EngineSpec, e *engine, m deck.ModelName) bool {
	c.mu.Lock()
	ok := e.canLoadAdapter(m)
	free := e.fitsAdapter(spec, m)
	victim, found := e.lruAdapter(time.Now())
	c.mu.Unlock()
	if !ok || free {
		return ok
	}
	return found && c.evictAdapter(ctx, e, victim)
}

// evictAdapter unloads an adapter and reports whether its slot is already free.
func (c *Controller) evictAdapter(ctx context.Context, e *engine, a deck.AdapterRef) bool {
	c.mu.Lock()
	delete(e.models[a.Model], a.Adapter)
	e.adaptersUnloading[a] = true
	c.mu.Unlock()
	outcome := c.sendOrder(ctx, e, deck.ModelOrder{Unload: true, Model: a.Model, Adapter: a.Adapter})
	c.mu.Lock()
	defer c.mu.Unlock()
	if outcome == deck.OrderSatisfied {
		delete(e.adaptersUnloading, a)
		return true // unless the evicted adapter is smaller than the new one, which is checked before the order
	}
	return false // the adapter is unloaded once its running requests have ended; a later report shows it
}
