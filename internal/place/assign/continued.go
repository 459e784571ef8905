package assign

import (
	"cmp"
	"slices"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A Continued is a model that interrupted streams need on an engine of the software version that began them.
type Continued struct {
	Model    deck.ModelName
	Software deck.SoftwareVersion
	Unusable []deck.BackendName // engines of the version that can't continue streams at the moment
}

// mayRunOn reports whether the engine can continue the streams once it holds the model.
func (c Continued) mayRunOn(e Engine) bool {
	return e.Software == c.Software && !slices.Contains(c.Unusable, e.ID)
}

// Compare orders by model and software version.
func (c Continued) Compare(d Continued) int {
	return cmp.Or(cmp.Compare(c.Model, d.Model), cmp.Compare(c.Software, d.Software))
}

// placeContinued places the models that interrupted streams need and that no engine of their software version holds or loads. It goes
// before other placements, since the callers of these streams wait.
func (p *planner) placeContinued(needed []Continued) {
	for _, c := range needed {
		i := slices.IndexFunc(p.spec.Models, func(m deck.EngineModel) bool { return m.Name == c.Model })
		if i < 0 || p.holdsOrLoads(c) {
			continue
		}
		p.placeCopyOn(p.spec.Models[i], p.continuedCandidate, c.mayRunOn)
	}
}

// holdsOrLoads reports whether an engine that can continue the streams holds or loads the model.
func (p *planner) holdsOrLoads(c Continued) bool {
	return slices.ContainsFunc(p.engines, func(e Engine) bool {
		return c.mayRunOn(e) && (e.Models[c.Model] || e.Loading == c.Model)
	})
}

// continuedCandidate returns the action that places the model on the engine, if need be in place of models that stay reachable without
// this copy.
func (p *planner) continuedCandidate(e Engine, m deck.EngineModel) (a Action, cost float64, ok bool) {
	a, cost = p.loadAction(e, m), p.cost(e, m)
	if p.fits(e, m) {
		return a, cost, true
	}
	victims, _, ok := p.victims(e, m.Megabytes, p.canLoseCopy, p.workWithoutCopy)
	if !ok {
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
