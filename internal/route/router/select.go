package router

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/admit"
	"github.com/geraniumdeck/geraniumdeck/internal/route/choose"
)

const (
	// spillAfter is how long a request without a deadline waits for a near server before it may go to a farther one.
	spillAfter = time.Second
	// A server of reduced weight is probed if it has not been used for this interval. It is shorter for batch work, so that
	// interactive work probes only if there is no batch work.
	batchProbeInterval       = 500 * time.Millisecond
	interactiveProbeInterval = 20 * time.Second
	// preemptInterval lets one preemption on a server take effect before the next.
	preemptInterval = 100 * time.Millisecond
	// preemptAfter is how long interactive work waits before it preempts batch work or a long request.
	preemptAfter = 30 * time.Millisecond
)

// tryReserve reserves a server for the request; it returns false if none has free capacity.
func (c *Core) tryReserve(h *Hold, now time.Time) bool {
	cs := c.candidates(h, now)
	i, ok := choose.Pick(cs, c.need(h, now), c.cfg.Rand)
	if !ok {
		c.preempt(h, cs, now)
		return false
	}
	c.reserve(h, c.server(cs[i].Backend), now)
	return true
}

// need returns the requirements of the request's next attempt. Interactive work may leave a full data centre early, before its
// deadline forces it to.
func (c *Core) need(h *Hold, now time.Time) choose.Need {
	need := choose.Need{Adapter: h.info.Adapter != "", Farthest: c.maxDistance(h, now), Probe: true}
	if need.Farthest == choose.SameDataCentre && h.info.Class == deck.Interactive {
		need.Farthest, need.Early = choose.Elsewhere, true
	}
	return need
}

// reserve adds an attempt of the request on the server.
func (c *Core) reserve(h *Hold, s *server, now time.Time) {
	a := &attempt{hold: h, server: s, startedAt: now, lastToken: now, lastSample: now}
	s.add(a)
	h.attempts = append(h.attempts, a)
	h.reserved = a
	h.admitted = true
	if h.info.Class == deck.Interactive {
		s.lastInteractive = now
	}
	h.avoid = nil
	c.health.ObserveStart(s.name, now)
	c.prefixHints.Sent(s.name, h.info.Prefixes)
}

// maxDistance returns how far away the request's server may be, whatever its load, while nearer servers exist. The request leaves
// the data centre only if waiting for nearer servers would miss the deadline, or take too long if it has none, since traffic to
// farther ones is billed.
func (c *Core) maxDistance(h *Hold, now time.Time) choose.Distance {
	latestStart := h.waitStart.Add(spillAfter)
	if !h.info.Deadline.IsZero() && !h.admitted {
		latestStart = h.info.Deadline.Add(-c.expectedFirstToken(h.info.Model))
	}
	if h.info.Class == deck.Batch && h.info.Deadline.IsZero() {
		return choose.SameDataCentre
	}
	q := c.queue(h.info.Model)
	wait := q.Wait(h.info.Class)
	if c.queued[h.id] != nil {
		wait = q.Interval(h.info.Class) // a queued request is tried only when it is next
	}
	if now.Add(wait).Before(latestStart.Add(-spillMargin)) {
		return choose.SameDataCentre
	}
	return choose.Elsewhere
}

// firstTokenEstimatePercent is the conservative estimate in percent of the mean time to a first token; it covers most of the
// variation.
const firstTokenEstimatePercent = 160

// spillMargin covers the round trip to another region.
const spillMargin = 150 * time.Millisecond

// candidates returns the servers that may run the request: those with the model's active version or, if there are none, with
// another one. The slice is valid until the next call.
func (c *Core) candidates(h *Hold, now time.Time) []choose.Candidate {
	st := c.cfg.State.State()
	model, _ := st.Model(h.info.Model)
	cs := c.scratch[:0]
	for _, active := range []bool{true, false} {
		for _, r := range c.cfg.Residency.Replicas(h.info.Model) {
			if !r.Ready || (r.Version == model.Active) != active {
				continue
			}
			b, ok := st.BackendServer(r.Backend)
			if !ok || b.Kind != deck.EngineBackend || c.leaving.Is(b, now) {
				continue
			}
			if cand, ok := c.candidate(h, b, now); ok {
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

// candidate returns the state of one server as the choice needs it; ok is false if the request already has an attempt there. The
// room is 0 if poison suspects would share the server.
func (c *Core) candidate(h *Hold, b deck.BackendServer, now time.Time) (choose.Candidate, bool) {
	s := c.server(b.Name)
	if h.attemptOn(b.Name) != nil {
		return choose.Candidate{}, false
	}
	weight := c.health.Weight(b.Name)
	probe := batchProbeInterval
	if h.info.Class == deck.Interactive {
		probe = interactiveProbeInterval
	}
	cand := choose.Candidate{
		Backend:    b.Name,
		Distance:   c.cfg.distance(b.DataCentre),
		HasAdapter: h.info.Adapter == "" || c.cfg.Residency.HasAdapter(b.Name, h.info.Adapter),
		Load:       s.load(now),
		Room:       s.room(h.info.Class, weight),
		FirstToken: c.health.FirstToken(b.Name),
		Gap:        c.health.Gap(b.Name),
		Weight:     weight,
		ProbeDue:   c.health.ProbeDue(b.Name, probe, now),
		Down:       now.Before(s.downUntil),
		Avoid:      contains(h.avoid, b.Name),
		PrefixHit:  c.prefixHints.Hit(b.Name, h.info.Prefixes),
	}
	if !c.suspects.MayShare(h.info.Digest, s, now) {
		cand.Room = 0
	}
	return cand, true
}

// preempt preempts an attempt on a candidate in this data centre for interactive work that has waited: the longest batch work or,
// if there is none, the longest straggler.
func (c *Core) preempt(h *Hold, cs []choose.Candidate, now time.Time) {
	if h.info.Class != deck.Interactive || now.Sub(h.waitStart) < preemptAfter {
		return
	}
	var victim *attempt
	for _, cand := range cs {
		s := c.servers[cand.Backend]
		if cand.Distance != choose.SameDataCentre || now.Sub(s.lastPreemption) < preemptInterval {
			continue
		}
		for _, a := range s.attempts {
			if a.hold.id == h.id || a.hold.reserved == a || !a.running().MayGiveWay(now) {
				continue
			}
			if victim == nil || a.running().Before(victim.running()) {
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
	h := a.hold
	a.server.lastPreemption = now
	h.protectedUntil = now.Add(admit.Protection(h.preemptions))
	h.preemptions++
	h.isPreempted = true
	close(h.preempted)
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
