package router

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/admit"
	"github.com/geraniumdeck/geraniumdeck/internal/route/choose"
)

const (
	// spillAfter is how long a request that has no deadline or was admitted before waits for a near server before it may go to a
	// farther one.
	spillAfter = time.Second
	// A server of reduced weight is probed if it has not been used for this interval. It is shorter for batch work, so that
	// interactive work probes only if there is no batch work.
	batchProbeInterval       = 500 * time.Millisecond
	interactiveProbeInterval = 20 * time.Second
	// preemptInterval lets one preemption on a server take effect before the next.
	preemptInterval = 100 * time.Millisecond
	// preemptAfter is how long interactive work waits before it preempts batch work or a long answer.
	preemptAfter = 30 * time.Millisecond
)

// tryReserve reserves a server for the request. If none has room, it may preempt another request, and returns false.
func (c *Core) tryReserve(req *Request, now time.Time) bool {
	cs := c.candidates(req, now)
	i, ok := choose.Pick(cs, c.requirements(req, now), c.cfg.Rand)
	if !ok {
		c.preempt(req, cs, now)
		return false
	}
	c.reserve(req, c.server(cs[i].Backend), now)
	return true
}

// requirements returns the requirements of the request's next attempt. Interactive work may leave a full data centre early,
// before its deadline forces it to.
func (c *Core) requirements(req *Request, now time.Time) choose.Requirements {
	requirements := choose.Requirements{Adapter: req.info.Adapter != "", Farthest: c.maxDistance(req, now), Probe: true}
	if requirements.Farthest == choose.SameDataCentre && req.info.Class == deck.Interactive {
		requirements.Farthest, requirements.MayWait = choose.OtherRegion, true
	}
	return requirements
}

// reserve adds an attempt of the request on the server.
func (c *Core) reserve(req *Request, s *server, now time.Time) {
	a := &attempt{request: req, server: s, startedAt: now, lastToken: now, lastSample: now}
	s.add(a)
	req.attempts = append(req.attempts, a)
	req.reserved = a
	req.admitted = true
	if req.info.Class == deck.Interactive {
		s.lastInteractive = now
	}
	req.avoid = nil
	c.health.ObserveStart(s.name, now)
	c.prefixHints.RecordPrompt(s.name, req.info.PrefixHashes)
}

// maxDistance returns the farthest distance of a server that the request may use instead of a nearer one without room. It is
// beyond the data centre only if waiting for nearer servers would miss the deadline, or take too long if the request has none
// or was admitted before, since traffic between data centres is billed. Batch work without a deadline stays in the data centre.
func (c *Core) maxDistance(req *Request, now time.Time) choose.Distance {
	latestStart := req.waitStart.Add(spillAfter)
	if !req.info.Deadline.IsZero() && !req.admitted {
		latestStart = req.info.Deadline.Add(-c.expectedFirstToken(req.info.Model))
	}
	if req.info.Class == deck.Batch && req.info.Deadline.IsZero() {
		return choose.SameDataCentre
	}
	q := c.queue(req.info.Model)
	wait := q.ExpectedWait(req.info.Class)
	if c.queued[req.id] != nil {
		wait = q.StartInterval(req.info.Class) // a queued request is tried only when it is next
	}
	if now.Add(wait).Before(latestStart.Add(-spillMargin)) {
		return choose.SameDataCentre
	}
	return choose.OtherRegion
}

// firstTokenEstimatePercent is the conservative estimate in percent of the mean time to a first token; it covers most of the
// variation.
const firstTokenEstimatePercent = 160

// spillMargin covers the round trip to another region.
const spillMargin = 150 * time.Millisecond

// candidates returns the servers that may run the request: those with the model's active version or, if there are none, with
// another one. The slice is valid until the next call.
func (c *Core) candidates(req *Request, now time.Time) []choose.Candidate {
	st := c.cfg.State.State()
	model, _ := st.Model(req.info.Model)
	cs := c.scratch[:0]
	for _, active := range []bool{true, false} {
		for _, r := range c.cfg.Residency.Replicas(req.info.Model) {
			if !r.Ready || (r.Version == model.Active) != active {
				continue
			}
			b, ok := st.BackendServer(r.Backend)
			if !ok || b.Kind != deck.EngineBackend || c.isLeaving(b, now) || !c.restraint(b.Name, now).Allows() {
				continue
			}
			if cand, ok := c.candidate(req, b, now); ok {
				cs = append(cs, cand)
			}
		}
		if len(cs) > 0 {
			break
		}
	}
	c.scratch = cs
	return cs
}

// candidate returns the state of one server as the choice needs it; ok is false if the request already has an attempt there, or if it
// needs another software version. The room is 0 if poison suspects would share the server.
func (c *Core) candidate(req *Request, b deck.BackendServer, now time.Time) (choose.Candidate, bool) {
	s := c.server(b.Name)
	if req.attemptOn(b.Name) != nil || s.excludes(req.software) {
		return choose.Candidate{}, false
	}
	weight := c.health.Weight(b.Name)
	probe := batchProbeInterval
	if req.info.Class == deck.Interactive {
		probe = interactiveProbeInterval
	}
	cand := choose.Candidate{
		Backend:    b.Name,
		Distance:   c.cfg.distance(b.DataCentre),
		HasAdapter: req.info.Adapter == "" || c.cfg.Residency.HasAdapter(b.Name, req.info.Adapter),
		Load:       s.load(now),
		Room:       s.room(req.info.Class, weight),
		FirstToken: c.health.FirstToken(b.Name),
		Gap:        c.health.Gap(b.Name),
		Weight:     weight,
		ProbeDue:   c.health.ProbeDue(b.Name, probe, now),
		Down:       now.Before(s.downUntil),
		Avoid:      contains(req.avoid, b.Name) || req.software != nil && s.software == nil,
		PrefixHit:  c.prefixHints.Hit(b.Name, req.info.PrefixHashes),
	}
	if !c.suspects.MayShare(req.info.Digest, s, now) {
		cand.Room = 0
	}
	return cand, true
}

// preempt preempts an attempt on a candidate in this data centre for interactive work that has waited: the longest batch work or,
// if there is none, the longest answer of at least admit.LongAnswerTokens.
func (c *Core) preempt(req *Request, cs []choose.Candidate, now time.Time) {
	if req.info.Class != deck.Interactive || now.Sub(req.waitStart) < preemptAfter {
		return
	}
	var victim *attempt
	for _, cand := range cs {
		s := c.servers[cand.Backend]
		if cand.Distance != choose.SameDataCentre || now.Sub(s.lastPreemption) < preemptInterval {
			continue
		}
		for _, a := range s.attempts {
			if a.request.id == req.id || a.request.reserved == a || !a.runningRequest().Preemptible(now) {
				continue
			}
			if victim == nil || a.runningRequest().PreemptBefore(victim.runningRequest()) {
				victim = a
			}
		}
	}
	if victim != nil {
		c.preemptAttempt(victim, now)
	}
}

// preemptAttempt asks the attempt's request to cancel it, and protects the request for a while from another preemption.
func (c *Core) preemptAttempt(a *attempt, now time.Time) {
	req := a.request
	a.server.lastPreemption = now
	req.protectedUntil = now.Add(admit.PreemptionCooldown(req.preemptions))
	req.preemptions++
	req.isPreempted = true
	close(req.preempted)
}

// expectedFirstToken returns a conservative estimate of the time to a first token, from the lowest known one of the model's
// servers; 0 if none is known. Work that starts with less time left mostly misses its deadline and wastes capacity.
func (c *Core) expectedFirstToken(m deck.ModelName) time.Duration {
	least := time.Duration(0)
	for _, r := range c.cfg.Residency.Replicas(m) {
		if d := c.health.FirstToken(r.Backend); d > 0 && (least == 0 || d < least) {
			least = d
		}
	}
	return least * firstTokenEstimatePercent / 100
}

func contains(names []deck.BackendName, b deck.BackendName) bool {
	for _, n := range names {
		if n == b {
			return true
		}
	}
	return false
}
