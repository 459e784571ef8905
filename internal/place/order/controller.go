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
	"github.com/geraniumdeck/geraniumdeck/internal/core/restraint"
	"github.com/geraniumdeck/geraniumdeck/internal/place/assign"
)

const (
	planPeriod       = 100 * time.Millisecond // between two plans, unless planning takes long
	planTimeShare    = 0.1                    // of the time, that planning may take
	listPeriod       = 500 * time.Millisecond // between two reads of the platform's list, whose own lag is of the same order
	listTimeout      = 2 * time.Second
	callTimeout      = 700 * time.Millisecond  // of an order or a report
	riseTimeConstant = 1500 * time.Millisecond // of rising demand, which can move between models within seconds
	fallTimeConstant = 6 * time.Second         // of falling demand, so that a pause unloads no copies
	maxReportLag     = 500 * time.Millisecond  // upper bound on the age of an engine's report, with a margin
	sendLockTimeout  = 300 * time.Millisecond  // for earlier orders to the engine; each takes a round trip between regions

	// fencedHandoverDelay is how long a new leader waits before its first order if engines refuse earlier fencing tokens. By
	// its own clock, the earlier leader has stopped before another one is elected; the delay covers orders still in transit.
	fencedHandoverDelay = 500 * time.Millisecond

	retryDelay = 500 * time.Millisecond // after a conflict or a lost answer
	logPeriod  = 1 * time.Second        // of the log line about the plan

	// storeBurst is how many loads from the weight store may start at once, in addition to EngineSpec.StoreLoadsPerSecond. The
	// users' limit is a burst of three in addition to 1.1 times that rate.
	storeBurst = 3.0
)

// Options are the dependencies and settings of a controller.
type Options struct {
	Self                deck.VMName
	Monitor             deck.ReplicaMonitor
	Clock               deck.Clock    // also counts while the VM is suspended
	MaxLeadershipAge    time.Duration // maximum age of the last check that this replica leads
	HandoverDelay       time.Duration // how long a new leader waits before its first order
	EnginesCheckFencing bool          // engines refuse orders with an old fencing token, so that a shorter wait is enough
	Engines             deck.EngineControl
	Servers             deck.ServerList
	Config              func() *deck.RoutingConfig // nil before the first configuration
	Publish             func(term uint64, list []deck.Server)
	CallsInFlight       func(deck.BackendName) int // at a server, of all entry VMs
	Restraints          *restraint.Table           // what servers have said to any VM about the requests that they take
	Log                 logr.Logger

	// Limit returns how many requests a second a server takes from all VMs together; ok is false if it has named no limit that they
	// need. A nil Limit stands for none.
	Limit func(deck.Server) (limit float64, ok bool)
}

// A Controller plans placements and sends orders to engines while its replica leads.
type Controller struct {
	opts  Options
	done  chan struct{}
	group *errgroup.Group

	mu           sync.Mutex
	term         uint64    // 0 while the replica does not lead
	termSince    time.Time // when the term was first seen
	hasList      bool      // a list was read in this term
	loggedAt     time.Time // last log line about the plan
	listGrewAt   time.Time // when the list last became longer in this term
	servers      []deck.Server
	engines      map[deck.BackendName]*engine
	estimators   map[deck.ServiceName]*demandEstimator
	storeBuckets map[deck.ServiceName]*tokenBucket // for loads to be planned
	storeStarts  map[deck.ServiceName]*tokenBucket // for loads to begin
	tooLarge     map[deck.ModelName]bool           // models already logged as too large for any engine
	placing      map[adapterKey]chan struct{}      // closed when the placement has ended
	continued    map[deck.ServiceName]continuedModels
}

// A tokenBucket limits the rate of loads from the weight store.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// NewController returns a controller; call Run to start it.
func NewController(opts Options) *Controller {
	return &Controller{
		opts: opts, done: make(chan struct{}), engines: make(map[deck.BackendName]*engine),
		estimators: make(map[deck.ServiceName]*demandEstimator), storeBuckets: make(map[deck.ServiceName]*tokenBucket),
		storeStarts: make(map[deck.ServiceName]*tokenBucket),
		continued:   make(map[deck.ServiceName]continuedModels),
		placing:     make(map[adapterKey]chan struct{}), tooLarge: make(map[deck.ModelName]bool),
	}
}

// Done returns a channel that is closed when Run has returned.
func (c *Controller) Done() <-chan struct{} {
	return c.done
}

// Run plans and sends orders until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	defer close(c.done)
	c.mu.Lock()
	c.group, ctx = errgroup.WithContext(ctx)
	c.mu.Unlock()
	c.start(ctx, c.planLoop)
	c.start(ctx, func(ctx context.Context) { deck.Every(ctx, listPeriod, c.readList) })
	return c.group.Wait()
}

// updateLeadership resets the state after a change of the term, and returns the term and whether this replica leads it.
func (c *Controller) updateLeadership() (term uint64, ok bool) {
	now := c.opts.Clock.Now()
	term, ok = c.opts.Monitor.LeaderTerm(now, c.opts.MaxLeadershipAge)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ok {
		term = 0
	}
	if term == c.term {
		return term, ok
	}
	c.opts.Log.Info("leadership of the replicated log changed", "term", term, "before", c.term, "leading", ok)
	c.term, c.termSince, c.hasList, c.listGrewAt = term, now, false, time.Time{}
	clear(c.engines)
	clear(c.storeBuckets)
	clear(c.storeStarts)
	return term, ok
}

// fencingToken returns the fencing token if this replica may send orders: an earlier leader's lease is over, and its own
// leadership was checked within Options.MaxLeadershipAge.
func (c *Controller) fencingToken() (token uint64, ok bool) {
	now := c.opts.Clock.Now()
	term, ok := c.opts.Monitor.LeaderTerm(now, c.opts.MaxLeadershipAge)
	c.mu.Lock()
	defer c.mu.Unlock()
	wait := c.opts.HandoverDelay
	if c.opts.EnginesCheckFencing {
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
	started := time.Now()
	list, err := c.opts.Servers.ListServers(ctx)
	if err != nil {
		c.opts.Log.Info("failed to read the platform's list of backend servers", "reason", err.Error())
		return
	}
	if taken := time.Since(started); taken > listPeriod {
		c.opts.Log.Info("reading the platform's list of backend servers was slow", "taken-ms", taken.Milliseconds())
	}
	c.mu.Lock()
	if c.term == term {
		c.applyList(list)
	}
	c.mu.Unlock()
	c.publish()
}

// applyList updates the engines from the platform's list; the caller holds the lock.
func (c *Controller) applyList(list []deck.Server) {
	now := time.Now()
	list = deck.DistinctServers(now, list, c.servers)
	if c.hasList && len(list) > len(c.servers) {
		c.listGrewAt = now
	}
	for i, s := range list {
		list[i].Draining = s.Draining || c.opts.Restraints.Restraint(now, s.ID, s.Incarnation()).Leaving
	}
	c.servers, c.hasList = list, true
	seen := make(map[deck.BackendName]bool, len(list))
	for _, s := range list {
		seen[s.ID] = true
		e := c.engines[s.ID]
		if e == nil || e.server.StartUnixMs != s.StartUnixMs || e.server.Address != s.Address {
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

// publish sends the entry VMs the platform's list, updated with the controller's own knowledge of the engines' models.
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

// RecordReport records the demand, the adapters in use and the leaving servers that an entry VM reports.
func (c *Controller) RecordReport(r deck.ViewRequest) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range r.Demand {
		c.estimatorOf(d.Service).recordDemand(now, d.Model, float64(d.Tokens))
		c.estimatorOf(d.Service).recordCalls(now, d.Calls, d.Tokens)
		c.estimatorOf(d.Service).recordStreams(now, d.Streams, d.LateStreams)
	}
	for _, l := range r.Leaving {
		c.opts.Restraints.ObserveNotice(now, l.Server, l.Incarnation, deck.ServerNotice{Leaving: true})
	}
	for _, use := range r.AdaptersInUse {
		e := c.engines[use.Server]
		if e == nil {
			continue
		}
		if _, ok := e.models[use.Model][use.Adapter]; ok {
			e.models[use.Model][use.Adapter] = now
		}
	}
}

// estimatorOf returns the estimator of a service's demand; the caller holds the lock.
func (c *Controller) estimatorOf(s deck.ServiceName) *demandEstimator {
	d := c.estimators[s]
	if d == nil {
		d = &demandEstimator{}
		c.estimators[s] = d
	}
	return d
}

// planLoop plans until ctx ends. With many engines and models a plan takes long, and the leader's other work needs the processor,
// too: the answers of its peers confirm that it leads.
func (c *Controller) planLoop(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		c.planAll(ctx)
		taken := time.Since(started)
		deck.Sleep(ctx, max(planPeriod-taken, time.Duration(float64(taken)*(1/planTimeShare-1))))
	}
}

// planAll plans each service and starts the planned actions.
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
	demand := d.estimate(now)
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
	c.setSpeeds(engines, demand, d.tokensPerCall())
	c.logTooLarge(s)
	if demand.IsZero() && now.Sub(c.listGrewAt) < listLag {
		return // models that seem to have no copy may be on engines that the list does not show yet
	}
	bucket := refill(c.storeBuckets, s.Name, *s.Engine, now)
	plan := assign.NewPlan(*s.Engine, engines, demand, int(bucket.tokens), c.continued[s.Name].at(now)...)
	c.logPlan(s.Name, engines, plan, now)
	for _, a := range plan.Actions {
		c.startAction(ctx, *s.Engine, a, bucket, demand, now)
	}
}

// minSpeed is the speed of an engine that takes hardly any requests.
const minSpeed = 0.01

// setSpeeds sets how much of the average engine's work the engines can take that have named limits, given the mean number of tokens of
// a call; the caller holds the lock.
func (c *Controller) setSpeeds(engines []assign.Engine, demand assign.DemandEstimate, tokensPerCall float64) {
	total := 0.0
	for _, d := range demand.Current {
		total += d
	}
	if c.opts.Limit == nil || total == 0 || tokensPerCall == 0 {
		return
	}
	for i, e := range engines {
		if limit, ok := c.opts.Limit(c.engines[e.ID].server); ok {
			engines[i].Speed = min(1, max(minSpeed, limit*tokensPerCall*float64(len(engines))/total))
		}
	}
}

// utilisation returns the calls at the service's engines divided by their request slots; the caller holds the lock.
func (c *Controller) utilisation(s deck.ServiceName) float64 {
	calls, slots := 0, 0
	for id, e := range c.engines {
		if e.server.Service == s && !e.server.Draining {
			calls += c.opts.CallsInFlight(id)
			slots += e.server.Slots
		}
	}
	return float64(calls) / float64(max(1, slots))
}

// logTooLarge logs the models that no engine of the service is large enough for, once each; the caller holds the lock.
func (c *Controller) logTooLarge(s deck.RoutedService) {
	for _, m := range s.Engine.Models {
		if m.Megabytes > s.Engine.WeightMegabytes && !c.tooLarge[m.Name] {
			c.tooLarge[m.Name] = true
			c.opts.Log.Info("model is larger than the memory of an engine and can't be served", "service", string(s.Name),
				"model", string(m.Name), "megabytes", m.Megabytes, "engine-megabytes", s.Engine.WeightMegabytes)
		}
	}
}

// logPlan logs the state behind a service's plan, at most once in logPeriod for all services together, so that only the first
// service to be planned in a period is logged; the caller holds the lock.
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
		"fill", c.estimatorOf(s).utilisation, "late-share", c.estimatorOf(s).lateShare(now), "average-work", int(p.AverageWork), "busiest-work", int(p.BusiestWork),
		"unreachable-models", p.UnreachableModels, "free-places", p.FreePlaces)
}

// refill returns the service's token bucket, refilled at the rate of the weight store; the caller holds the controller's lock.
func refill(buckets map[deck.ServiceName]*tokenBucket, s deck.ServiceName, spec deck.EngineSpec, now time.Time) *tokenBucket {
	b := buckets[s]
	if b == nil {
		b = &tokenBucket{refilledAt: now} // an earlier leader may have used the burst
		buckets[s] = b
	}
	b.tokens = min(storeBurst, b.tokens+now.Sub(b.refilledAt).Seconds()*spec.StoreLoadsPerSecond)
	b.refilledAt = now
	return b
}

// startAction starts an action if its engine is still available; the caller holds the lock.
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
			expected = max(m.DiskLoadTime, m.WarmLoadTime)
		}
	}
	e.acting, e.loading = true, a.Load
	demandUnloaded := 0.0
	for _, m := range a.Unload {
		e.unloading[m] = true
		demandUnloaded += o.Recent[m]
	}
	e.readyAt = now.Add(expected)
	c.opts.Log.Info("changing the models of an engine", "engine", string(a.Engine), "unload", a.Unload,
		"load", string(a.Load), "store", a.FromStore, "demand-now", int(o.Current[a.Load]),
		"demand-unloaded", int(demandUnloaded), "orders-accepted", e.ordersAccepted)
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
