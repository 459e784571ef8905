package assign

import (
	"cmp"
	"slices"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Demand is the work asked of each model, in tokens a second.
type Demand map[deck.ModelName]float64

// minShare is the share of one engine's average work below which a further copy of a model is not worth its place.
const minShare = 0.5

// Copies returns how many engines should hold each model: one for each model, and the places that are left go to the
// models with the most work for each copy.
func Copies(spec deck.EngineSpec, engines int, demand Demand) map[deck.ModelName]int {
	want := make(map[deck.ModelName]int, len(spec.Models))
	total := 0.0
	for _, m := range spec.Models {
		want[m.Name] = 1
		total += demand[m.Name]
	}
	if engines == 0 || total <= 0 {
		return want
	}
	average := total / float64(engines)
	for left := engines*placesEach(spec) - len(spec.Models); left > 0; left-- {
		m, ok := neediest(spec, engines, demand, want, average*minShare)
		if !ok {
			break
		}
		want[m.Name]++
	}
	return want
}

// placesEach returns how many of the largest model fit on one engine.
func placesEach(spec deck.EngineSpec) int {
	largest := 1.0
	for _, m := range spec.Models {
		largest = max(largest, m.Megabytes)
	}
	return int(spec.WeightMegabytes / largest)
}

// neediest returns the model with the most work for each copy, if that exceeds the least amount.
func neediest(
	spec deck.EngineSpec, engines int, demand Demand, want map[deck.ModelName]int, least float64,
) (best deck.EngineModel, ok bool) {
	most := least
	for _, m := range spec.Models {
		each := demand[m.Name] / float64(want[m.Name])
		if want[m.Name] < engines && each > most {
			best, most, ok = m, each, true
		}
	}
	return best, ok
}

// An Engine is what is known of one engine.
type Engine struct {
	ID         deck.BackendName
	DataCentre deck.DataCentre
	Idle       bool                    // it can take an order
	Models     map[deck.ModelName]bool // held or being loaded
	Used       float64                 // megabytes of weights and adapters, those on their way included
	AtHand     map[deck.ModelName]bool // copies in its memory or on its disk
}

// An Action is an order to an engine.
type Action struct {
	Engine deck.BackendName
	Model  deck.ModelName
	Unload bool
	Store  bool // the weights come from the weight store
}

// Next returns the orders to send now: at most one for each engine, and at most one copy more for each model. Loads from
// the weight store stop at the given number.
func Next(spec deck.EngineSpec, engines []Engine, demand Demand, storeLoads int) []Action {
	p := newPlanner(spec, engines, demand)
	var out []Action
	for _, m := range p.lacking() {
		a, ok := p.supply(m, storeLoads > 0)
		if !ok {
			continue
		}
		if a.Store {
			storeLoads--
		}
		p.busy[a.Engine] = true
		out = append(out, a)
	}
	return out
}

type planner struct {
	spec    deck.EngineSpec
	engines []Engine
	demand  Demand
	want    map[deck.ModelName]int
	have    map[deck.ModelName]int
	near    map[place]int // copies in a data centre
	size    map[deck.ModelName]float64
	busy    map[deck.BackendName]bool
}

type place struct {
	model deck.ModelName
	dc    deck.DataCentre
}

func newPlanner(spec deck.EngineSpec, engines []Engine, demand Demand) *planner {
	p := &planner{
		spec: spec, engines: engines, demand: demand, want: Copies(spec, len(engines), demand),
		have: make(map[deck.ModelName]int), near: make(map[place]int), size: make(map[deck.ModelName]float64),
		busy: make(map[deck.BackendName]bool),
	}
	for _, m := range spec.Models {
		p.size[m.Name] = m.Megabytes
	}
	for _, e := range engines {
		for m := range e.Models {
			p.have[m]++
			p.near[place{m, e.DataCentre}]++
		}
	}
	return p
}

// lacking returns the models with too few copies: first those that are asked for and have none, then by the work for each
// copy.
func (p *planner) lacking() []deck.EngineModel {
	var out []deck.EngineModel
	for _, m := range p.spec.Models {
		if p.have[m.Name] < p.want[m.Name] {
			out = append(out, m)
		}
	}
	slices.SortStableFunc(out, func(a, b deck.EngineModel) int {
		return cmp.Compare(p.pressure(b.Name), p.pressure(a.Name))
	})
	return out
}

// unreachable weighs the demand for a model that no engine holds.
const unreachable = 100.0

func (p *planner) pressure(m deck.ModelName) float64 {
	if p.have[m] == 0 {
		return p.demand[m] * unreachable
	}
	return p.demand[m] / float64(p.have[m])
}

// supply returns the order that brings a further copy of the model closer.
func (p *planner) supply(m deck.EngineModel, store bool) (Action, bool) {
	var best Action
	bestCost, found := 0.0, false
	for _, e := range p.engines {
		if !e.Idle || p.busy[e.ID] || e.Models[m.Name] || !e.AtHand[m.Name] && !store {
			continue
		}
		a, cost, ok := p.onEngine(e, m)
		if ok && (!found || cost < bestCost) {
			best, bestCost, found = a, cost, true
		}
	}
	return best, found
}

// Costs that order the engines for a further copy.
const (
	evictCost = 1.0 // an unload before the load
	storeCost = 0.8 // the load takes seconds instead of half a second
	nearCost  = 0.5 // for each copy in the same data centre
)

func (p *planner) onEngine(e Engine, m deck.EngineModel) (a Action, cost float64, ok bool) {
	cost = nearCost * float64(p.near[place{m.Name, e.DataCentre}])
	if !e.AtHand[m.Name] {
		cost += storeCost
	}
	if e.Used+m.Megabytes <= p.spec.WeightMegabytes {
		return Action{Engine: e.ID, Model: m.Name, Store: !e.AtHand[m.Name]}, cost, true
	}
	victim, ok := p.victim(e, m)
	if !ok {
		return a, 0, false
	}
	return Action{Engine: e.ID, Model: victim, Unload: true}, cost + evictCost, true
}

// victim returns the model on the engine that has copies to spare and the least work for each, if the lacking model has
// more work for each copy than the victim would have without this one.
func (p *planner) victim(e Engine, m deck.EngineModel) (deck.ModelName, bool) {
	var best deck.ModelName
	least := 0.0
	for v := range e.Models {
		if p.have[v] <= p.want[v] || p.have[v] < 2 {
			continue
		}
		each := p.demand[v] / float64(p.have[v]-1)
		if best == "" || each < least || each == least && v < best {
			best, least = v, each
		}
	}
	return best, best != "" && (p.pressure(m.Name) > least || p.have[m.Name] == 0)
}
