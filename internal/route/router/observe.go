package router

import (
	"maps"
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Observe records an event of an attempt. Each attempt must be ended by one of deck.ObservedEnd, ObservedCancel, ObservedFailure,
// ObservedCrash and ObservedDraining, unless the request is released.
func (c *Core) Observe(req *Request, o deck.Observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock.Now()
	if o.Kind == deck.ObservedDraining {
		c.leaving.ObserveRefusal(o.Backend, now)
	}
	a := req.attemptOn(o.Backend)
	if a == nil {
		return
	}
	if o.Software != nil {
		a.server.observeSoftware(o.Software, now)
	}
	switch o.Kind {
	case deck.ObservedStart:
		a.startedAt, a.lastToken = now, now
	case deck.ObservedToken:
		c.observeToken(a, o.Tokens, now)
	case deck.ObservedStall:
		c.observeStall(a, now)
	default:
		c.observeEnd(a, o.Kind, now)
	}
}

func (c *Core) observeToken(a *attempt, tokens int, now time.Time) {
	s, req := a.server, a.request
	s.recordSuccess()
	a.stalled = false
	if !a.hasFirstToken {
		a.hasFirstToken = true
		if a.firstTokenIsComparable() {
			c.health.ObserveFirstToken(s.name, req.info.Model, now.Sub(a.startedAt), now)
		}
	} else if tokens > 0 {
		gap := now.Sub(a.lastToken) / time.Duration(tokens)
		c.health.ObserveGap(s.name, req.info.Model, gap, now)
		if s.limit.Observe(gap, s.inFlight(now), now) {
			c.dispatch(s, now)
		}
	}
	req.tokensGenerated += tokens
	a.lastToken, a.lastSample = now, now
}

// observeStall counts a second stall without a token in between as a failure; a single stall may be caused by the connection.
func (c *Core) observeStall(a *attempt, now time.Time) {
	if a.stalled {
		a.server.recordFailure(now)
	}
	a.stalled = true
}

func (c *Core) observeEnd(a *attempt, k deck.ObservationKind, now time.Time) {
	s := a.server
	switch k {
	case deck.ObservedEnd:
		s.recordSuccess()
	case deck.ObservedFailure:
		s.recordFailure(now)
	case deck.ObservedCrash:
		c.observeCrash(a, now)
	}
	if c.endAttempt(a) {
		c.dispatch(s, now)
	}
}

// observeCrash counts the crash for the attempt's own request only: each attempt in flight on a crashed server reports it, while
// a single reset connection must not make suspects of the server's other requests. The count serves to keep suspects on
// separate servers; the code that runs the attempt, which knows the boot id, reports the crash to the other VMs.
func (c *Core) observeCrash(a *attempt, now time.Time) {
	s := a.server
	s.recordFailure(now)
	c.health.Forget(s.name)
	c.prefixHints.Forget(s.name)
	c.suspects.ObserveCrash(a.request.info.Digest, s.name, now)
}

// sampleOverdueTokens records the wait for overdue tokens as samples, so that a server that has become slow is detected before
// its next token.
func (c *Core) sampleOverdueTokens(now time.Time) {
	for _, s := range c.servers {
		for _, a := range s.attempts {
			c.sampleOverdueToken(a, now)
		}
	}
}

func (c *Core) sampleOverdueToken(a *attempt, now time.Time) {
	s, waited := a.server, now.Sub(a.lastToken)
	if a.request.reserved == a || now.Sub(a.lastSample) < overdueSampleInterval {
		return
	}
	if !a.hasFirstToken && a.firstTokenIsComparable() && waited > 2*c.health.FirstToken(s.name) && c.health.FirstToken(s.name) > 0 {
		c.health.ObserveFirstToken(s.name, a.request.info.Model, waited, now)
		a.lastSample = now
	}
	if a.hasFirstToken && waited > 2*c.health.Gap(s.name) && c.health.Gap(s.name) > 0 {
		c.health.ObserveGap(s.name, a.request.info.Model, waited, now)
		a.lastSample = now
	}
}

// overdueSampleInterval is the shortest time between two samples of the wait for one token.
const overdueSampleInterval = 100 * time.Millisecond

// ObserveReport records an engine's report that was requested at the given time; it ignores one requested before the last report.
func (c *Core) ObserveReport(r deck.EngineReport, requestedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.server(r.Backend)
	s.observeSoftware(&r.Software, requestedAt)
	if s.hasReport && requestedAt.Before(s.requestedAt) {
		return
	}
	if s.bootID != "" && s.bootID != r.BootID {
		c.health.Forget(r.Backend)
		c.prefixHints.Forget(r.Backend)
	}
	s.bootID = r.BootID
	s.hasReport = true
	s.reportedTotal = r.Running + r.Queued
	s.inFlightAtReport = len(s.attempts)
	s.requestedAt = requestedAt
	c.leaving.ObserveReport(r, requestedAt)
}

// ObserveCacheEvents records prefix-cache events of an engine.
func (c *Core) ObserveCacheEvents(b deck.BackendName, ev deck.CacheEvents) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prefixHints.Observe(b, ev)
}

// IsListedAsLeaving reports whether the platform's list shows the backend server as leaving.
func (c *Core) IsListedAsLeaving(name deck.BackendName) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaving.Contains(deck.BackendServer{Name: name}, c.cfg.Clock.Now())
}

// ObserveVMs records the platform's list of VMs.
func (c *Core) ObserveVMs(rows []deck.VMStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving.ObserveList(rows)
}

// Drain makes the core refuse all further requests; waiting and running ones continue.
func (c *Core) Drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
}

// recentModelWindow is how long a model counts as used by this VM after its last request.
const recentModelWindow = time.Minute

// RecentModels returns the models that this VM has received requests for within recentModelWindow, ordered by name.
func (c *Core) RecentModels() []deck.ModelName {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock.Now()
	maps.DeleteFunc(c.lastRequest, func(_ deck.ModelName, at time.Time) bool { return now.Sub(at) > recentModelWindow })
	return slices.Sorted(maps.Keys(c.lastRequest))
}
