package assign

import (
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// An Engine is what is known of one engine.
type Engine struct {
	ID         deck.BackendName
	DataCentre deck.DataCentre
	Idle       bool                    // it can take an order
	Models     map[deck.ModelName]bool // held
	Loading    deck.ModelName          // empty for none
	Unloading  bool                    // it waits for the runs of a model to end
	Used       float64                 // megabytes of weights and adapters, those on their way included
	AtHand     map[deck.ModelName]bool // copies in its memory or on its disk
}

// An Action changes the models of an engine.
type Action struct {
	Engine deck.BackendName
	Unload deck.ModelName // makes way; empty for none
	Load   deck.ModelName // empty for none
	Store  bool           // the weights come from the weight store
}

// A Plan says what to do now and how the engines stand.
type Plan struct {
	Actions     []Action
	Average     float64 // work of the average engine, in tokens a second
	Busiest     float64 // work of the busiest engine once the copies under way and planned are there
	Unreachable int     // models that no engine holds or loads
	Free        int     // places without a model
}

// Next returns the orders to send now, at most one for each engine. Loads from the weight store stop at the given number.
func Next(spec deck.EngineSpec, engines []Engine, outlook Outlook, storeLoads int) Plan {
	p := newPlanner(spec, engines, outlook)
	p.storeLoads = storeLoads
	p.each(p.lacking(p.soon, unreachableSoon), p.quick)
	p.each(p.lacking(p.have, unreachable), p.onEngine)
	p.each(p.mostPressed, p.relief)
	p.restoreReserve()
	p.spread()
	plan := Plan{Actions: p.actions, Average: p.average(), Unreachable: p.lost, Free: p.free}
	for _, load := range p.now.load {
		plan.Busiest = max(plan.Busiest, load)
	}
	return plan
}

type planner struct {
	spec       deck.EngineSpec
	engines    []Engine
	now        *shares
	kept       *shares
	storeLoads int

	parked  map[deck.ModelName]bool
	want    map[deck.ModelName]int // copies to have for the demand of now
	keep    map[deck.ModelName]int // copies not to unload
	have    map[deck.ModelName]int
	ready   map[deck.ModelName]int // copies that are not being loaded any more
	soon    map[deck.ModelName]int // copies that are ready or come from an engine's memory or disk
	near    map[nearby]int         // copies in a data centre
	skipped map[deck.ModelName]bool
	busy    map[deck.BackendName]bool
	lost    int // models that no engine holds
	free    int // free places
	actions []Action
}

// nearby names copies of a model in a data centre.
type nearby struct {
	model deck.ModelName
	dc    deck.DataCentre
}

func newPlanner(spec deck.EngineSpec, engines []Engine, o Outlook) *planner {
	parked := parkedModels(spec, engines, o)
	p := &planner{
		spec: spec, engines: engines, now: newShares(engines, o.Now), kept: newShares(engines, o.Keep), parked: parked,
		want: copies(spec, len(engines), o.Now, parked), keep: copies(spec, len(engines), o.Keep, parked),
		have: make(map[deck.ModelName]int), ready: make(map[deck.ModelName]int), soon: make(map[deck.ModelName]int),
		near: make(map[nearby]int), skipped: make(map[deck.ModelName]bool), busy: make(map[deck.BackendName]bool),
	}
	for _, e := range engines {
		p.free += places(spec, spec.WeightMegabytes-e.Used)
		for m := range e.Models {
			p.have[m]++
			p.ready[m]++
			p.soon[m]++
			p.near[nearby{m, e.DataCentre}]++
		}
		if e.Loading != "" {
			p.have[e.Loading]++
			if e.AtHand[e.Loading] {
				p.soon[e.Loading]++
			}
			p.near[nearby{e.Loading, e.DataCentre}]++
		}
	}
	for _, m := range spec.Models {
		if p.have[m.Name] == 0 && !parked[m.Name] {
			p.lost++
		}
	}
	return p
}

// lacking returns a choice of the model with too few copies, of those counted, whose copies have the most work.
func (p *planner) lacking(counted map[deck.ModelName]int, none float64) func() (deck.EngineModel, bool) {
	return func() (best deck.EngineModel, ok bool) {
		most := 0.0
		for _, m := range p.spec.Models {
			if p.skipped[m.Name] || counted[m.Name] >= p.want[m.Name] {
				continue
			}
			if pressure := p.pressure(m.Name, counted, none); !ok || pressure > most {
				best, most, ok = m, pressure, true
			}
		}
		return best, ok
	}
}

// Weights of the demand for a model without any of the copies that are counted.
const (
	unreachable = 100.0 // no engine holds or loads it

	// unreachableSoon is for the seconds that loads from the store take: a few calls that find no engine at all stand against
	// many that find all places taken.
	unreachableSoon = 10.0
)

// pressure returns the work for each of the copies that are counted, or the demand times a weight if there are none.
func (p *planner) pressure(m deck.ModelName, counted map[deck.ModelName]int, none float64) float64 {
	if n := counted[m]; n > 0 {
		return p.now.demand[m] / float64(n)
	}
	return p.now.demand[m] * none
}

// An option is a way to bring a further copy of a model to an engine, and what that costs.
type option func(Engine, deck.EngineModel) (a Action, cost float64, ok bool)

// each supplies the models that choose returns until it returns none.
func (p *planner) each(choose func() (deck.EngineModel, bool), o option) {
	clear(p.skipped)
	for {
		m, ok := choose()
		if !ok {
			return
		}
		if !p.supply(m, o) {
			p.skipped[m.Name] = true
		}
	}
}

// supply adds the order that brings a further copy of the model closer.
func (p *planner) supply(m deck.EngineModel, o option) bool {
	var best Action
	bestCost, found := 0.0, false
	for _, e := range p.engines {
		if !e.Idle || p.busy[e.ID] || e.Models[m.Name] || !e.AtHand[m.Name] && p.storeLoads <= 0 {
			continue
		}
		a, cost, ok := o(e, m)
		if ok && (!found || cost < bestCost) {
			best, bestCost, found = a, cost, true
		}
	}
	if found {
		p.add(best, m)
	}
	return found
}

// add takes an action into account.
func (p *planner) add(a Action, m deck.EngineModel) {
	p.actions = append(p.actions, a)
	p.busy[a.Engine] = true
	if p.have[m.Name] == 0 && !p.parked[m.Name] {
		p.lost--
	}
	p.have[m.Name]++
	p.now.add(m.Name, a.Engine)
	p.kept.add(m.Name, a.Engine)
	if a.Unload != "" {
		p.drop(a.Unload, a.Engine)
	} else {
		p.free--
	}
	if a.Store {
		p.storeLoads--
	} else {
		p.soon[m.Name]++
	}
}

// drop takes away a copy.
func (p *planner) drop(m deck.ModelName, e deck.BackendName) {
	p.have[m]--
	p.ready[m]--
	p.soon[m]--
	p.now.remove(m, e)
	p.kept.remove(m, e)
}

// Costs that order the engines for a further copy.
const (
	evictCost = 2.5 // the load waits until the runs of another model have ended, mostly for two to five seconds
	storeCost = 0.8 // the load takes seconds instead of half a second
	nearCost  = 0.5 // for each copy in the same data centre
	fillCost  = 0.2 // for each model that the engine holds already
	loadCost  = 1.0 // for work as much as an engine has on average
)

// cost returns what a further copy on the engine costs, without that of a model that makes way.
func (p *planner) cost(e Engine, m deck.EngineModel) float64 {
	cost := nearCost*float64(p.near[nearby{m.Name, e.DataCentre}]) + fillCost*float64(len(e.Models))
	if average := p.average(); average > 0 {
		cost += loadCost * p.kept.load[e.ID] / average
	}
	if !e.AtHand[m.Name] {
		cost += storeCost
	}
	return cost
}

// quick is the option for a model that lacks copies and is in the memory or on the disk of an engine with little work. These
// go first: an engine that comes back empty is as it was within seconds, and takes no other order during a load from the
// store.
func (p *planner) quick(e Engine, m deck.EngineModel) (a Action, cost float64, ok bool) {
	if !e.AtHand[m.Name] || p.soon[m.Name] > 0 && p.kept.load[e.ID] > p.average() {
		return a, 0, false
	}
	a, cost, ok = p.onEngine(e, m)
	return a, cost, ok && (a.Unload == "" || p.kept.demand[a.Unload] < idleDemand)
}

// onEngine is the option for a model that lacks copies.
func (p *planner) onEngine(e Engine, m deck.EngineModel) (a Action, cost float64, ok bool) {
	a, cost = p.load(e, m), p.cost(e, m)
	if p.fits(e, m) {
		return a, cost, p.have[m.Name] == 0 || p.free > p.lost // the last free places are for models that nobody can reach
	}
	victim, _, ok := p.victim(e, p.surplus, p.left)
	used := p.kept.demand[victim] >= idleDemand
	if !ok || used && p.pressure(m.Name, p.have, unreachable) < evictGain*p.left(victim) {
		return a, 0, false
	}
	if p.kept.demand[victim] > 0 {
		cost += evictCost
	}
	a.Unload = victim
	return a, cost, true
}

// load returns the action that loads the model without one that makes way.
func (p *planner) load(e Engine, m deck.EngineModel) Action {
	return Action{Engine: e.ID, Load: m.Name, Store: !e.AtHand[m.Name]}
}

// fits reports whether the engine has room for the model.
func (p *planner) fits(e Engine, m deck.EngineModel) bool {
	return e.Used+m.Megabytes <= p.spec.WeightMegabytes
}

// evictGain is how many times the work for each copy must be that of the model that makes way: an engine that changes its
// models takes no other order for seconds.
const evictGain = 2.0

// left returns the work for each copy of a model with one copy less.
func (p *planner) left(m deck.ModelName) float64 {
	return p.kept.demand[m] / float64(max(1, p.have[m]-1))
}

// victim returns the model with the least work of those on the engine that may go, and that work.
func (p *planner) victim(
	e Engine, may func(deck.ModelName) bool, work func(deck.ModelName) float64,
) (best deck.ModelName, least float64, ok bool) {
	for v := range e.Models {
		if !may(v) {
			continue
		}
		w := work(v)
		if p.ready[v] == 1 {
			w += idleDemand // a further copy goes first
		}
		if !ok || w < least || w == least && v < best {
			best, least, ok = v, w, true
		}
	}
	return best, least, ok
}

// surplus reports whether the model has a copy to spare. A copy that is being loaded can't replace one that is held.
func (p *planner) surplus(m deck.ModelName) bool {
	return p.spareable(m) && p.have[m] > max(p.want[m], p.keep[m])
}

// spareable reports whether the model stays reachable without one of its copies.
func (p *planner) spareable(m deck.ModelName) bool {
	return p.ready[m] > 1 || p.parked[m]
}

// restoreReserve unloads copies that are no longer wanted until enough places are free, or hold copies that nobody uses.
func (p *planner) restoreReserve() {
	missing := Reserve(p.spec, len(p.engines)) + p.lost - p.free
	average := p.average()
	unloading := 0
	for _, e := range p.engines {
		if e.Unloading {
			unloading++
		}
	}
	for _, e := range p.engines {
		if missing <= 0 || unloading > len(p.engines)/enginesPerUnload {
			return
		}
		if !e.Idle || p.busy[e.ID] || places(p.spec, p.spec.WeightMegabytes-e.Used) > 0 {
			continue
		}
		victim, _, ok := p.victim(e, p.surplus, p.left)
		if !ok || p.left(victim)*evictGain > average {
			continue
		}
		missing--
		if p.kept.demand[victim] < idleDemand {
			continue // it makes way at once when the place is needed
		}
		unloading++
		p.actions = append(p.actions, Action{Engine: e.ID, Unload: victim})
		p.busy[e.ID] = true
		p.drop(victim, e.ID)
	}
}

const (
	// enginesPerUnload bounds how many engines wait at a time until a model's runs have ended just to have a place free: such
	// an engine takes no other order, not even for an adapter.
	enginesPerUnload = 30

	// idleDemand in tokens a second is about one small request in ten seconds.
	idleDemand = 50.0

	// spreadCopies is how many engines should have a model in place or at hand, so that it is loaded within half a second
	// when its demand rises, and the loss of an engine makes nothing unreachable.
	spreadCopies = 2

	// spreadTokens of the weight store's burst are left for models that are asked for.
	spreadTokens = 1
)

// average returns the work of the average engine.
func (p *planner) average() float64 {
	return p.kept.average(len(p.engines))
}

// spread uses free places for second copies of models while nothing is asked for at all: a load takes its engine from the
// models in use for seconds.
func (p *planner) spread() {
	if len(p.actions) > 0 || p.storeLoads <= spreadTokens || p.free <= p.lost || len(p.engines) == 0 || p.average() > 0 {
		return
	}
	reach := make(map[deck.ModelName]int)
	for _, e := range p.engines {
		for _, m := range p.spec.Models {
			if e.Models[m.Name] || e.AtHand[m.Name] {
				reach[m.Name]++
			}
		}
	}
	var best deck.EngineModel
	found := false
	for _, m := range p.spec.Models {
		if reach[m.Name] >= spreadCopies || p.skipped[m.Name] {
			continue
		}
		if !found || reach[m.Name] < reach[best.Name] || reach[m.Name] == reach[best.Name] && p.kept.demand[m.Name] > p.kept.demand[best.Name] {
			best, found = m, true
		}
	}
	if found {
		p.supply(best, p.spreadTo)
	}
}

// spreadTo is the option for a second copy: a free place beside the models with the least work.
func (p *planner) spreadTo(e Engine, m deck.EngineModel) (a Action, cost float64, ok bool) {
	return p.load(e, m), p.kept.load[e.ID], !e.AtHand[m.Name] && p.fits(e, m)
}
