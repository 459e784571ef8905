package order

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/assign"
)

const (
	planPeriod       = 100 * time.Millisecond
	listPeriod       = 500 * time.Millisecond // a good part of the list's own lag
	listTimeout      = 1 * time.Second
	callTimeout      = 700 * time.Millisecond  // of an order or a report
	riseTimeConstant = 1500 * time.Millisecond // time constant of demand that rises; it moves within seconds
	fallTimeConstant = 6 * time.Second         // time constant of demand that falls, so that a pause costs no copies
	maxReportLag     = 500 * time.Millisecond  // how old an engine's report may be, with room
	sendLockTimeout  = 300 * time.Millisecond  // for orders before this one; each takes two ways between regions

	// fencedWait is how long a new holder waits where engines refuse an earlier holder's fencing token. An earlier leader
	// has stopped by its own clock before another one is elected; this is room for orders that it had sent.
	fencedHandoverDelay = 500 * time.Millisecond

	retryDelay = 500 * time.Millisecond // after a conflict or a lost answer
	logPeriod  = 1 * time.Second        // of the line about the placement

	// storeBurst is how many loads from the weight store may begin together beyond its rate. The users allow three beyond a
	// rate a tenth higher.
	storeBurst = 3.0
)

// Options are what a controller needs.
type Options struct {
	Self    deck.VMName
	Watch   deck.ReplicaWatch
	Clock   deck.Clock    // also counts while the VM is suspended
	Fresh   time.Duration // how old the check may be that this replica leads
	Lease   time.Duration // how long a new holder waits after an earlier one
	Fenced  bool          // engines refuse orders with an old fencing token, so that the wait can be short
	Engines deck.EngineControl
	List    deck.ServerList
	Config  func() *deck.RoutingConfig // nil before the first configuration
	Publish func(term uint64, list []deck.Server)
	Calls   func(deck.BackendName) int // of all entry VMs at a server
	Log     logr.Logger
}

// A Controller is the holder of orders while its replica leads.
type Controller struct {
	opts  Options
	done  chan struct{}
	group *errgroup.Group

	mu           sync.Mutex
	term         uint64    // 0 while the replica does not lead
	termSince    time.Time // when the term was first seen
	hasList      bool
	loggedAt     time.Time // last line about the placement
	servers      []deck.Server
	engines      map[deck.BackendName]*engine
	estimators   map[deck.ServiceName]*demandEstimator
	storeBuckets map[deck.ServiceName]*tokenBucket
	placing      map[adapterKey]chan struct{}
}

// An allowance limits loads from the weight store.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// NewController returns a controller that is ready to run.
func NewController(opts Options) *Controller {
	return &Controller{
		opts: opts, done: make(chan struct{}), engines: make(map[deck.BackendName]*engine),
		estimators: make(map[deck.ServiceName]*demandEstimator), storeBuckets: make(map[deck.ServiceName]*tokenBucket),
		placing: make(map[adapterKey]chan struct{}),
	}
}

// Done returns a channel that is closed when Run has returned.
func (c *Controller) Done() <-chan struct{} {
	return c.done
}

// Run works until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	defer close(c.done)
	c.mu.Lock()
	c.group, ctx = errgroup.WithContext(ctx)
	c.mu.Unlock()
	c.start(ctx, func(ctx context.Context) { deck.Every(ctx, planPeriod, c.planAll) })
	c.start(ctx, func(ctx context.Context) { deck.Every(ctx, listPeriod, c.readList) })
	return c.group.Wait()
}

// lead notes a change of the leader; it reports whether this replica leads.
func (c *Controller) updateLeadership() (term uint64, ok bool) {
	now := c.opts.Clock.Now()
	term, ok = c.opts.Watch.Leads(now, c.opts.Fresh)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ok {
		term = 0
	}
	if term == c.term {
		return term, ok
	}
	c.opts.Log.Info("holder of orders changed", "term", term, "before", c.term, "leading", ok)
	c.term, c.termSince, c.hasList = term, now, false
	clear(c.engines)
	clear(c.storeBuckets)
	return term, ok
}

// mayOrder returns the fencing token while this replica may send orders: an earlier holder's lease is over, and its own
// leadership was checked just now.
func (c *Controller) fencingToken() (fence uint64, ok bool) {
	now := c.opts.Clock.Now()
	term, ok := c.opts.Watch.Leads(now, c.opts.Fresh)
	c.mu.Lock()
	defer c.mu.Unlock()
	wait := c.opts.Lease
	if c.opts.Fenced {
		wait = min(wait, fencedHandoverDelay)
	}
	return term, ok && term == c.term && now.Sub(c.termSince) > wait
}

func (c *Controller) readList(ctx context.Context) {
	term, ok := c.updateLeadership()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := c.opts.List.ListServers(ctx)
	if err != nil {
		c.opts.Log.Info("platform's list of backend servers could not be read", "reason", err.Error())
		return
	}
	c.mu.Lock()
	if c.term == term {
		c.applyList(list)
	}
	c.mu.Unlock()
	c.publish()
}

// take brings the engines up to the list; the caller holds the lock.
func (c *Controller) applyList(list []deck.Server) {
	c.servers, c.hasList = list, true
	now := time.Now()
	seen := make(map[deck.BackendName]bool, len(list))
	for _, s := range list {
		seen[s.ID] = true
		e := c.engines[s.ID]
		if e == nil || e.server.Born != s.Born || e.server.Address != s.Address {
			e = newEngine(s)
			c.engines[s.ID] = e
		}
		e.server = s
		if !e.synced {
			e.setModels(s.Models, now)
		}
	}
	for id := range c.engines {
		if !seen[id] {
			delete(c.engines, id)
		}
	}
}

// publish hands the list with what the holder knows of the engines to the entry VMs.
func (c *Controller) publish() {
	c.mu.Lock()
	if c.term == 0 || !c.hasList {
		c.mu.Unlock()
		return
	}
	term := c.term
	list := make([]deck.Server, 0, len(c.servers))
	for _, s := range c.servers {
		if e := c.engines[s.ID]; e != nil {
			s = e.publishedServer()
		}
		list = append(list, s)
	}
	c.mu.Unlock()
	c.opts.Publish(term, list)
}

// TakeReport takes what an entry VM reports.
func (c *Controller) TakeReport(r deck.ViewRequest) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range r.Demand {
		c.estimatorOf(d.Service).recordDemand(now, d.Model, float64(d.Tokens))
	}
	for _, run := range r.Running {
		e := c.engines[run.Server]
		if e == nil {
			continue
		}
		if _, ok := e.models[run.Model][run.Adapter]; ok {
			e.models[run.Model][run.Adapter] = now
		}
	}
}

// demandOf returns the demand for a service's models; the caller holds the lock.
func (c *Controller) estimatorOf(s deck.ServiceName) *demandEstimator {
	d := c.estimators[s]
	if d == nil {
		d = &demandEstimator{}
		c.estimators[s] = d
	}
	return d
}

// step sends the orders that are due.
func (c *Controller) planAll(ctx context.Context) {
	if _, ok := c.updateLeadership(); !ok {
		return
	}
	cfg := c.opts.Config()
	if cfg == nil {
		return
	}
	if _, ok := c.fencingToken(); !ok {
		return
	}
	for _, s := range cfg.Services {
		if s.Engine != nil {
			c.planService(ctx, s)
		}
	}
}

func (c *Controller) planService(ctx context.Context, s deck.RoutedService) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.estimatorOf(s.Name)
	d.recordUtilisation(now, c.utilisation(s.Name))
	outlook := d.estimate(now)
	var engines []assign.Engine
	for _, id := range slices.Sorted(maps.Keys(c.engines)) {
		e := c.engines[id]
		if e.server.Service != s.Name || e.server.Draining {
			continue
		}
		if e.needsRefresh(now) {
			e.refreshing = true
			c.start(ctx, func(ctx context.Context) { c.refresh(ctx, e) })
		}
		engines = append(engines, e.snapshot(*s.Engine, now))
	}
	bucket := c.tokenBucket(s, now)
	plan := assign.NewPlan(*s.Engine, engines, outlook, int(bucket.tokens))
	c.logPlan(s.Name, engines, plan, now)
	for _, a := range plan.Actions {
		c.startAction(ctx, *s.Engine, a, bucket, outlook, now)
	}
}

// fill returns the calls at the service's engines in units of their places; the caller holds the lock.
func (c *Controller) utilisation(s deck.ServiceName) float64 {
	calls, slots := 0, 0
	for id, e := range c.engines {
		if e.server.Service == s && !e.server.Draining {
			calls += c.opts.Calls(id)
			slots += e.server.Slots
		}
	}
	return float64(calls) / float64(max(1, slots))
}

// logPlan tells from time to time what the plan rests on; the caller holds the lock.
func (c *Controller) logPlan(s deck.ServiceName, engines []assign.Engine, p assign.Plan, now time.Time) {
	if now.Sub(c.loggedAt) < logPeriod {
		return
	}
	c.loggedAt = now
	idle, loading := 0, 0
	for _, e := range engines {
		if e.Available {
			idle++
		}
		if e.Loading != "" {
			loading++
		}
	}
	c.opts.Log.Info("placement", "service", string(s), "engines", len(engines), "idle", idle, "loading", loading,
		"fill", c.estimatorOf(s).utilisation, "average-work", int(p.AverageWork), "busiest-work", int(p.BusiestWork), "unreachable-models", p.UnreachableModels,
		"free-places", p.FreeSlots)
}

// allowance returns the loads from the weight store that may begin; the caller holds the lock.
func (c *Controller) tokenBucket(s deck.RoutedService, now time.Time) *tokenBucket {
	a := c.storeBuckets[s.Name]
	if a == nil {
		a = &tokenBucket{refilledAt: now} // an earlier holder may have used the burst
		c.storeBuckets[s.Name] = a
	}
	a.tokens = min(storeBurst, a.tokens+now.Sub(a.refilledAt).Seconds()*s.Engine.StoreLoadsPerS)
	a.refilledAt = now
	return a
}

// carryOut starts the work on an action; the caller holds the lock.
func (c *Controller) startAction(
	ctx context.Context, spec deck.EngineSpec, a assign.Action, bucket *tokenBucket, o assign.DemandEstimate, now time.Time,
) {
	e := c.engines[a.Engine]
	if e == nil || !e.available(now) {
		return
	}
	expected := unloadTime
	if m, ok := spec.Model(a.Load); ok {
		expected = m.LoadTime
		if a.FromStore {
			bucket.tokens--
		} else {
			expected = max(m.DiskTime, m.WarmTime)
		}
	}
	e.unloading, e.loading = a.Unload, a.Load
	e.readyAt = now.Add(expected)
	c.opts.Log.Info("models of an engine change", "engine", string(a.Engine), "unload", string(a.Unload),
		"load", string(a.Load), "store", a.FromStore, "demand-now", int(o.Current[a.Load]), "demand-unloaded", int(o.Recent[a.Unload]),
		"orders-accepted", e.ordersAccepted)
	c.start(ctx, func(ctx context.Context) { c.runAction(ctx, e, a, expected) })
}

// start runs work in the controller's group.
func (c *Controller) start(ctx context.Context, work func(context.Context)) {
	c.group.Go(func() error {
		work(ctx)
		return nil
	})
}

func sortedModels(models map[deck.ModelName]map[deck.AdapterName]time.Time) []deck.HeldModel {
	var out []deck.HeldModel
	for name, adapters := range models {
		h := deck.HeldModel{Name: name}
		for a := range adapters {
			h.Adapters = append(h.Adapters, a)
		}
		slices.Sort(h.Adapters)
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b deck.HeldModel) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
