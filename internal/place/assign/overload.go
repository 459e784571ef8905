package assign

import (
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// overloadFactor is how many times the average engine's work an engine may have before its models get further copies.
	overloadFactor = 1.5

	// minWorkGap is how much less work than the busiest holder of a model an engine must have to justify loading a copy there,
	// in units of the average engine's work.
	minWorkGap = 0.5

	// minMovedWork is the least work that a further copy must take from the busiest engine, in the same unit.
	minMovedWork = 0.2
)

// mostOverloaded returns the model on the busiest engines that would profit from a further copy. An engine can be overloaded
// although each of its models has the copies that its demand justifies, if the copies are on the same engines.
func (p *planner) mostOverloaded() (best deck.EngineModel, ok bool) {
	bestWork := 0.0
	averageWork := p.current.averageWork(len(p.engines))
	for _, m := range p.spec.Models {
		if p.skipped[m.Name] || p.copies[m.Name] == 0 || p.copies[m.Name] >= len(p.engines) {
			continue
		}
		maxWork := p.current.maxWork(m.Name)
		if maxWork <= overloadFactor*averageWork || p.workWithCopy(m.Name) < minMovedWork*averageWork {
			continue
		}
		if !ok || maxWork > bestWork || maxWork == bestWork && p.workWithCopy(m.Name) > p.workWithCopy(best.Name) {
			best, bestWork, ok = m, maxWork, true
		}
	}
	return best, ok
}

// workWithCopy returns the work for each copy if the model had one more.
func (p *planner) workWithCopy(m deck.ModelName) float64 {
	return p.current.demand[m] / float64(p.copies[m]+1)
}

// offloadCandidate returns the action that places a copy of an overloaded model on an engine with less work: into free
// memory, or in place of models that have other copies or are evictable, and have little work on the engine.
func (p *planner) offloadCandidate(e Engine, m deck.EngineModel) (a Action, cost float64, ok bool) {
	gap := p.current.maxWork(m.Name) - p.current.work[e.ID]
	if gap < minWorkGap*p.current.averageWork(len(p.engines)) {
		return a, 0, false
	}
	a, cost = p.loadAction(e, m), p.cost(e, m)
	if p.fits(e, m) {
		return a, cost, p.leavesRoomForUnreachable(e, m)
	}
	victims, share, ok := p.victims(e, m.Megabytes, p.canLoseCopy, func(v deck.ModelName) float64 {
		return p.recent.share[assignment{v, e.ID}]
	})
	if !ok || minEvictionGain*share > gap {
		return a, 0, false
	}
	for _, v := range victims {
		if p.isActive(v) {
			cost += evictCost
		}
	}
	a.Unload = victims
	return a, cost, true
}
