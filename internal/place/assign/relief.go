package assign

import (
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// pressedLevel is how many times the average engine's work an engine may have before its models get further copies.
	pressedLevel = 1.5

	// minGap is how much less work an engine must have than the busiest one that serves a model, in units of the average
	// engine's work, so that a copy there is worth a load.
	minGap = 0.5

	// minMoved is the least work that a further copy must take from the busiest engine, in the same unit.
	minMoved = 0.2
)

// mostPressed returns the model on the busiest engines that would make good use of a further copy. Models that have the
// copies which their share of the work asks for may still stand on the same engines.
func (p *planner) mostPressed() (best deck.EngineModel, ok bool) {
	bestLevel := 0.0
	average := p.now.average(len(p.engines))
	for _, m := range p.spec.Models {
		if p.skipped[m.Name] || p.have[m.Name] == 0 || p.have[m.Name] >= len(p.engines) {
			continue
		}
		level := p.now.level(m.Name)
		if level <= pressedLevel*average || p.perCopy(m.Name) < minMoved*average {
			continue
		}
		if !ok || level > bestLevel || level == bestLevel && p.perCopy(m.Name) > p.perCopy(best.Name) {
			best, bestLevel, ok = m, level, true
		}
	}
	return best, ok
}

// perCopy returns the work for each copy if there was one more.
func (p *planner) perCopy(m deck.ModelName) float64 {
	return p.now.demand[m] / float64(p.have[m]+1)
}

// relief is the option for a model on the busiest engines: a place that is free, or whose model has other copies and almost
// no work there.
func (p *planner) relief(e Engine, m deck.EngineModel) (a Action, cost float64, ok bool) {
	gap := p.now.level(m.Name) - p.now.load[e.ID]
	if gap < minGap*p.now.average(len(p.engines)) {
		return a, 0, false
	}
	a, cost = p.load(e, m), p.cost(e, m)
	if p.fits(e, m) {
		return a, cost, p.free > p.lost
	}
	victim, part, ok := p.victim(e, p.spareable, func(v deck.ModelName) float64 { return p.kept.part[place{v, e.ID}] })
	if !ok || evictGain*part > gap {
		return a, 0, false
	}
	if p.kept.demand[victim] >= idleDemand {
		cost += evictCost
	}
	a.Unload = victim
	return a, cost, true
}
