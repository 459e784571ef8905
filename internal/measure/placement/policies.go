package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/execute"
)

// A production policy is the controller that a placement leader runs, one in each data centre.
type production struct {
	controllers map[deck.DataCentre]*execute.Controller
}

func (p *production) place(s *sim, now time.Time) {
	if p.controllers == nil {
		p.controllers = make(map[deck.DataCentre]*execute.Controller)
	}
	for i := range s.d.centres {
		dc := centre(i)
		c, ok := p.controllers[dc]
		if !ok {
			c = execute.NewController(dc)
			p.controllers[dc] = c
		}
		p.step(s, dc, c, now)
	}
}

func (p *production) step(s *sim, dc deck.DataCentre, c *execute.Controller, now time.Time) {
	byName := make(map[deck.BackendName]*engine)
	for _, e := range s.in(dc) {
		byName[e.backend.Name] = e
	}
	out := c.Step(execute.Input{
		Now:              now,
		Lease:            deck.PlacementLease{DataCentre: dc, Holder: "vm", FencingToken: 1, Expires: now.Add(time.Hour)},
		Held:             true,
		State:            s.state,
		LoadLimit:        max(1, s.d.loads/s.d.centres),
		AdapterLoadLimit: 8,
		Demand:           s.estimates[dc].Rates(now),
		TokensPerSecond:  acceleratorRate,
	})
	for _, send := range out.Sends {
		byName[send.Backend.Name].operate(send.Operation, now)
		c.RecordResult(send.Backend.Name, send.Operation, deck.OperationResult{Outcome: deck.OutcomeDone}, now)
	}
	for _, b := range out.Reports {
		c.RecordReport(b.Name, byName[b.Name].report(now), now)
	}
}

// A greedy policy moves a replica to the coolest engine at every step for as long as the hottest one gains by it.
type greedy struct{}

func (greedy) place(s *sim, now time.Time) {
	for i := range s.d.centres {
		dc := centre(i)
		engines := s.in(dc)
		rates := s.estimates[dc].Rates(now)
		rate := make(map[deck.ModelName]float64, len(rates))
		for m, r := range rates {
			rate[m] = r.Fast
		}
		for loading(engines, now) < max(1, s.d.loads/s.d.centres) {
			if !greedyMove(s, engines, rate, now) {
				break
			}
		}
	}
}

// greedyMove copies the busiest model of the most loaded engine to the least loaded one, where copies with least demand
// make room; it returns false if that would not lower the peak.
func greedyMove(s *sim, engines []*engine, rate map[deck.ModelName]float64, now time.Time) bool {
	places := make(map[deck.ModelName]int)
	for _, e := range engines {
		for m := range e.models {
			places[m]++
		}
	}
	share := func(m deck.ModelName) float64 { return rate[m] / float64(max(1, places[m])) }
	sum := func(e *engine) float64 {
		var total float64
		for _, m := range sortedModels(e) {
			total += share(m)
		}
		return total
	}
	byLoad := slices.Clone(engines)
	slices.SortStableFunc(byLoad, func(a, b *engine) int { return cmp.Compare(sum(a), sum(b)) })
	hot, cool := byLoad[len(byLoad)-1], byLoad[0]
	models := sortedModels(hot)
	slices.SortStableFunc(models, func(a, b deck.ModelName) int { return cmp.Compare(share(b), share(a)) })
	for _, m := range models {
		if cool.models[m] != nil {
			continue
		}
		after := rate[m] / float64(places[m]+1)
		if sum(cool)+after >= sum(hot) || after < 1 {
			return false
		}
		return greedyCopy(s, cool, m, places, share, now)
	}
	return false
}

func greedyCopy(s *sim, e *engine, m deck.ModelName, places map[deck.ModelName]int, share func(deck.ModelName) float64, now time.Time) bool {
	op := s.operation(deck.OpLoadModel, m)
	need := op.ResidentBytes + op.TransientBytes
	free := e.backend.MemoryBytes() - e.report(now).UsedBytes
	models := sortedModels(e)
	slices.SortStableFunc(models, func(a, b deck.ModelName) int { return cmp.Compare(share(a), share(b)) })
	var out []deck.ModelName
	for _, old := range models {
		if free < need && places[old] > 1 && e.ready(old, now) {
			out = append(out, old)
			free += e.models[old].op.ResidentBytes
		}
	}
	if free < need {
		return false
	}
	for _, old := range out {
		e.operate(s.operation(deck.OpUnloadModel, old), now)
	}
	e.operate(op, now)
	return true
}

// A static policy gives each model replicas in proportion to its mean demand before the start and moves nothing.
type static struct{ done bool }

func (p *static) place(s *sim, now time.Time) {
	if p.done {
		return
	}
	p.done = true
	replicas := make([]int, len(s.names))
	for i := range replicas {
		replicas[i] = 1
	}
	for range len(s.names) * len(s.engines) {
		best := 0
		for i := range replicas {
			if s.weights[i]/float64(replicas[i]) > s.weights[best]/float64(replicas[best]) {
				best = i
			}
		}
		replicas[best]++
		if !staticCopy(s, s.names[best], now) {
			replicas[best] = 1 << 20 // no engine has room for another one
		}
	}
}

func staticCopy(s *sim, m deck.ModelName, now time.Time) bool {
	op := s.operation(deck.OpLoadModel, m)
	var best *engine
	for _, e := range s.engines {
		fits := e.backend.MemoryBytes()-e.report(now).UsedBytes >= op.ResidentBytes+op.TransientBytes
		if fits && e.models[m] == nil && (best == nil || e.report(now).UsedBytes < best.report(now).UsedBytes) {
			best = e
		}
	}
	if best == nil {
		return false
	}
	best.operate(op, now.Add(-time.Hour))
	return true
}
