package router

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/admit"
	"github.com/geraniumdeck/geraniumdeck/internal/route/choose"
)

const (
	// spillAfter is the wait for a near server after which a request without deadline goes to a farther one.
	spillAfter = time.Second
	// Servers of reduced weight are tried by batch work first and by interactive work if there is none.
	batchProbeInterval       = 500 * time.Millisecond
	interactiveProbeInterval = 20 * time.Second
	// preemptEvery lets the effect of one preemption on a server show before the next.
	preemptInterval = 100 * time.Millisecond
	// preemptWait is the wait of interactive work that makes longer work give way.
	preemptAfter = 30 * time.Millisecond
)

// start reserves a server for the request; it returns false if none has room.
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

// need returns what the request's next attempt requires. Interactive work may leave a full data centre early, before its
// deadline makes it.
func (c *Core) need(h *Hold, now time.Time) choose.Need {
	need := choose.Need{Adapter: h.info.Adapter != "", Farthest: c.maxDistance(h, now), Probe: true}
	if need.Farthest == choose.SameDataCentre && h.info.Class == deck.Interactive {
		need.Farthest, need.Early = choose.Elsewhere, true
	}
	return need
}

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

// farthest returns how far the request may go at any load while nearer servers exist: only if waiting for them would miss
// the deadline, since traffic to farther ones is billed.
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
		wait = q.Interval(h.info.Class) // it is tried because it is next
	}
	if now.Add(wait).Before(latestStart.Add(-spillMargin)) {
		return choose.SameDataCentre
	}
	return choose.Elsewhere
}

// firstTokenCaution is in percent of the mean time to a first token; it covers most of the variation around it.
const firstTokenMarginPercent = 160

// spillMargin covers the path to another region and back.
const spillMargin = 150 * time.Millisecond

// candidates returns the servers that may run the request; the slice is valid until the next call.
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

// candidate returns the view of one server; ok is false if a poison suspect may not share it.
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

// preempt asks the longest batch work or straggler on a nearby candidate to give way to waiting interactive work.
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

func (c *Core) preemptAttempt(a *attempt, now time.Time) {
	h := a.hold
	a.server.lastPreemption = now
	h.protectedUntil = now.Add(admit.Protection(h.preemptions))
	h.preemptions++
	h.isPreempted = true
	close(h.preempted)
}

// expectedFirstToken returns a cautious estimate from the least known time to a first token over the model's servers.
// Work that starts later than this allows mostly misses its deadline and wastes what it used.
func (c *Core) expectedFirstToken(m deck.ModelName) time.Duration {
	least := time.Duration(0)
	for _, r := range c.cfg.Residency.Replicas(m) {
		if d := c.health.FirstToken(r.Backend); d > 0 && (least == 0 || d < least) {
			least = d
		}
	}
	return least * firstTokenMarginPercent / 100
}

func contains(names []deck.BackendName, b deck.BackendName) bool {
	for _, n := range names {
		if n == b {
			return true
		}
	}
	return false
}
