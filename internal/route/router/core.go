package router

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/core/restraint"
	"github.com/geraniumdeck/geraniumdeck/internal/route/admit"
	"github.com/geraniumdeck/geraniumdeck/internal/route/choose"
	"github.com/geraniumdeck/geraniumdeck/internal/route/health"
)

// A Core is a Router's state and decisions without goroutines or timers, so that a simulation can drive it in virtual time. Its
// methods may be called concurrently.
type Core struct {
	cfg         Config
	mu          sync.Mutex
	nextID      uint64
	servers     map[deck.BackendName]*server
	queues      map[deck.ModelName]*admit.Queue
	nonEmpty    map[deck.ModelName]*admit.Queue // queues with waiting requests
	lastRequest map[deck.ModelName]time.Time    // of known models
	queued      map[uint64]*Request             // waiting requests by item ID
	health      *health.Tracker
	leaving     health.LeavingServers
	suspects    health.Suspects
	prefixHints choose.PrefixHints
	draining    bool
	scratch     []choose.Candidate // reused by candidates
}

// NewCore returns a Core without observations.
func NewCore(cfg Config) *Core {
	if cfg.Health == (health.Policy{}) {
		cfg.Health = health.DefaultPolicy()
	}
	if cfg.Restraints == nil {
		cfg.Restraints = &restraint.Table{}
	}
	return &Core{
		cfg:         cfg,
		servers:     make(map[deck.BackendName]*server),
		queues:      make(map[deck.ModelName]*admit.Queue),
		nonEmpty:    make(map[deck.ModelName]*admit.Queue),
		lastRequest: make(map[deck.ModelName]time.Time),
		queued:      make(map[uint64]*Request),
		health:      health.NewTracker(cfg.Health),
	}
}

// Submit admits, queues or refuses a request. It calls notify once, with nil when the request may start and otherwise with the
// refusal. The call may come before Submit returns and is made with the core locked, so notify must not call the core.
func (c *Core) Submit(info deck.RequestInfo, notify func(*deck.Refusal)) *Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock.Now()
	c.nextID++
	req := &Request{id: c.nextID, info: info, arrived: now, waitStart: now, notify: notify, preempted: make(chan struct{})}
	if r := c.immediateRefusal(req, now); r != nil {
		req.endWait(r)
		return req
	}
	c.startOrQueue(req, now)
	return req
}

// immediateRefusal returns the refusal of a request that could not start even after a wait, or nil.
func (c *Core) immediateRefusal(req *Request, now time.Time) *deck.Refusal {
	if c.draining {
		return newRefusal(deck.RefusedDraining, "VM is shutting down", time.Second)
	}
	if _, ok := c.cfg.State.State().Model(req.info.Model); !ok {
		return newRefusal(deck.RefusedUnknownModel, "unknown model", 0)
	}
	c.lastRequest[req.info.Model] = now
	if req.info.Digest != "" && c.cfg.Poison.IsRefused(req.info.Digest) {
		return newRefusal(deck.RefusedPoison, "the request has crashed backend servers", 0)
	}
	if !req.info.Deadline.IsZero() && !now.Before(req.info.Deadline) {
		return newRefusal(deck.RefusedOverload, "deadline has passed", 0)
	}
	if len(c.candidates(req, now)) == 0 {
		return c.noCandidateRefusal(req.info.Model, now)
	}
	return nil
}

// startOrQueue tries to start an interactive request at once, and a batch request if its model's queue is empty or maxDistance
// lets it leave the data centre. A request that does not start is queued or refused. Waiting requests are tried whenever
// capacity becomes free, so a request that finds free capacity on arrival rarely takes it from them.
func (c *Core) startOrQueue(req *Request, now time.Time) {
	q := c.queue(req.info.Model)
	mayPass := q.Len() == 0 || c.requirements(req, now).Farthest > choose.SameDataCentre
	if mayPass && c.tryReserve(req, now) {
		q.Push(req.item(now))
		q.Start(req.id, now)
		req.endWait(nil)
		return
	}
	if r := c.queueRefusal(req, q, now); r != nil {
		req.endWait(r)
		return
	}
	c.enqueue(req, q, now)
	c.dispatchModel(req.info.Model, now)
}

// Reselect requests a server for another attempt of an admitted request; notify is called as for Submit. A refusal means that
// the model has no server left, or none of the software version if that is not nil.
func (c *Core) Reselect(req *Request, avoid []deck.BackendName, software *deck.SoftwareVersion, notify func(*deck.Refusal)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock.Now()
	req.notify = notify
	if req.released || !req.admitted {
		req.endWait(newRefusal(deck.RefusedOverload, "request is not admitted", 0))
		return
	}
	req.software = software
	if req.reserved != nil && !slices.Contains(avoid, req.reserved.server.name) {
		req.endWait(nil)
		return
	}
	c.endUnusableAttempts(req)
	req.avoid = avoid
	req.waitStart = now
	if len(c.candidates(req, now)) == 0 {
		req.endWait(c.noCandidateRefusal(req.info.Model, now))
		return
	}
	c.queue(req.info.Model).RemoveRunning(req.info.Caller)
	c.startOrQueue(req, now)
}

// endUnusableAttempts frees the capacity of a reserved but unused attempt and of preempted attempts before the next choice.
func (c *Core) endUnusableAttempts(req *Request) {
	if req.reserved != nil {
		c.endAttempt(req.reserved)
		req.reserved = nil
	}
	if req.isPreempted {
		for _, a := range slices.Clone(req.attempts) {
			c.endAttempt(a)
		}
		req.isPreempted = false
		req.preempted = make(chan struct{})
	}
}

// TakeReserved returns the reserved server after notify was called with nil; ok is false if none is reserved or the server
// takes no requests any more.
func (c *Core) TakeReserved(req *Request) (b deck.BackendServer, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := req.reserved
	if a == nil {
		return deck.BackendServer{}, false
	}
	req.reserved = nil
	now := c.cfg.Clock.Now()
	b, ok = c.cfg.State.State().BackendServer(a.server.name)
	if !ok || c.isLeaving(b, now) || !c.restraint(b.Name, now).Allows() {
		c.endAttempt(a)
		return deck.BackendServer{}, false
	}
	a.startedAt = now
	return b, true
}

// isLeaving reports whether the backend server is leaving, by any source. The caller holds the lock.
func (c *Core) isLeaving(b deck.BackendServer, now time.Time) bool {
	return c.leaving.Contains(b, now) || c.restraint(b.Name, now).Leaving
}

// restraint returns what keeps requests from the present incarnation of a server. The caller holds the lock.
func (c *Core) restraint(name deck.BackendName, now time.Time) restraint.Restraint {
	bootID := ""
	if s := c.servers[name]; s != nil {
		bootID = s.bootID
	}
	return c.cfg.Restraints.Restraint(now, name, bootID)
}

// Release removes the request from the router and ends its attempts; further calls have no effect.
func (c *Core) Release(req *Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if req.released {
		return
	}
	req.released = true
	now := c.cfg.Clock.Now()
	if c.queued[req.id] != nil {
		c.dequeue(req)
	} else if req.admitted {
		c.queue(req.info.Model).RemoveRunning(req.info.Caller)
	}
	req.notify = nil
	req.reserved = nil
	for _, a := range slices.Clone(req.attempts) {
		c.endAttempt(a)
		c.dispatch(a.server, now)
	}
}

// dequeue removes a waiting request from its queue.
func (c *Core) dequeue(req *Request) {
	c.queue(req.info.Model).Remove(req.id)
	c.unindex(req)
}

// endAttempt frees an attempt's capacity on its server; it returns false if the attempt has ended before.
func (c *Core) endAttempt(a *attempt) bool {
	if !a.server.remove(a) {
		return false
	}
	req := a.request
	req.attempts = slices.DeleteFunc(req.attempts, func(x *attempt) bool { return x == a })
	return true
}

// Tick refuses waiting requests that can't meet their deadline, adjusts server weights and starts the requests that find a
// server. It must be called every TickInterval.
func (c *Core) Tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock.Now()
	c.sampleOverdueTokens(now)
	c.health.Evaluate(now)
	for _, m := range slices.Sorted(maps.Keys(c.nonEmpty)) {
		c.expireQueue(m, c.nonEmpty[m], now)
	}
	c.refuseStranded(now)
	c.dispatch(nil, now)
}

func (c *Core) expireQueue(m deck.ModelName, q *admit.Queue, now time.Time) {
	for _, it := range q.Expire(now, c.expectedFirstToken(m)) {
		req := c.queued[it.ID]
		c.unindex(req)
		req.endWait(newRefusal(deck.RefusedOverload, "deadline can't be met", c.retryAfter(q, it.Class)))
	}
}

// refuseStranded ends the wait of requests for a server of their software version once none serves any more.
func (c *Core) refuseStranded(now time.Time) {
	var stranded []*Request
	for _, req := range c.queued {
		if req.software != nil && len(c.candidates(req, now)) == 0 {
			stranded = append(stranded, req)
		}
	}
	slices.SortFunc(stranded, func(a, b *Request) int { return cmp.Compare(a.id, b.id) })
	for _, req := range stranded {
		c.dequeue(req)
		c.queue(req.info.Model).AddRunning(req.info.Caller)
		req.endWait(c.noCandidateRefusal(req.info.Model, now))
	}
}

// A queueHead is the next request of a model's queue.
type queueHead struct {
	model deck.ModelName
	item  admit.Item
}

// dispatch starts waiting requests, the model with the most urgent one first. If a server is given, it tries only the models that
// the server holds, because nothing has changed for the others.
func (c *Core) dispatch(freed *server, now time.Time) {
	if len(c.nonEmpty) == 0 {
		return
	}
	heads := make([]queueHead, 0, len(c.nonEmpty))
	for m, q := range c.nonEmpty {
		if freed != nil && !c.holdsModel(freed.name, m) {
			continue
		}
		if it, ok := q.Next(now, nil); ok {
			heads = append(heads, queueHead{m, it})
		}
	}
	slices.SortFunc(heads, func(a, b queueHead) int {
		return cmp.Or(admit.Compare(a.item, b.item, now), cmp.Compare(a.model, b.model))
	})
	for _, h := range heads {
		c.dispatchModel(h.model, now)
	}
}

func (c *Core) holdsModel(b deck.BackendName, m deck.ModelName) bool {
	for _, r := range c.cfg.Residency.Replicas(m) {
		if r.Backend == b {
			return true
		}
	}
	return false
}

// maxConstrainedTries bounds how many requests with constraints (an adapter, servers to avoid, isolation) are tried for a model
// in one dispatch. Further ones are skipped, since they must not block unconstrained requests behind them.
const maxConstrainedTries = 4

// dispatchModel starts requests of one model while they find a server. Once an unconstrained request has found none, no other
// unconstrained request of its class or a lower one is tried. Interactive work is still tried after batch work, which may be
// first because it has aged: interactive work may use capacity that batch work may not.
func (c *Core) dispatchModel(m deck.ModelName, now time.Time) {
	q := c.queue(m)
	var tried []uint64
	noRoomFrom := deck.Batch + 1
	for {
		it, ok := q.Next(now, func(it admit.Item) bool {
			if c.unconstrained(c.queued[it.ID], now) {
				return it.Class >= noRoomFrom
			}
			return len(tried) >= maxConstrainedTries || slices.Contains(tried, it.ID)
		})
		if !ok {
			return
		}
		req := c.queued[it.ID]
		switch {
		case c.tryReserve(req, now):
			q.Start(it.ID, now)
			c.unindex(req)
			req.endWait(nil)
		case c.unconstrained(req, now):
			noRoomFrom = it.Class
		default:
			tried = append(tried, it.ID)
		}
	}
}

// unconstrained reports whether the request needs nothing of a server but its model.
func (c *Core) unconstrained(req *Request, now time.Time) bool {
	return req.info.Adapter == "" && req.software == nil && len(req.avoid) == 0 && c.suspects.Crashes(req.info.Digest, now) == 0
}

// enqueue adds a request to its queue and to the index of waiting requests.
func (c *Core) enqueue(req *Request, q *admit.Queue, now time.Time) {
	q.Push(req.item(now))
	c.queued[req.id] = req
	c.nonEmpty[req.info.Model] = q
}

// unindex removes a request that no longer waits from the index of waiting requests.
func (c *Core) unindex(req *Request) {
	delete(c.queued, req.id)
	if c.queue(req.info.Model).Len() == 0 {
		delete(c.nonEmpty, req.info.Model)
	}
}

func (c *Core) queue(m deck.ModelName) *admit.Queue {
	q := c.queues[m]
	if q == nil {
		q = &admit.Queue{}
		c.queues[m] = q
	}
	return q
}

func (c *Core) server(b deck.BackendName) *server {
	s := c.servers[b]
	if s == nil {
		s = &server{name: b}
		c.servers[b] = s
	}
	return s
}
