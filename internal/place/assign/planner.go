package assign

import (
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// An Engine is what is known of one engine.
type Engine struct {
	ID            deck.BackendName
	DataCentre    deck.DataCentre
	Available     bool                    // it can take an order
	Models        map[deck.ModelName]bool // held
	Loading       deck.ModelName          // empty for none
	Unloading     bool                    // it waits for the runs of a model to end
	UsedMegabytes float64                 // megabytes of weights and adapters, those on their way included
	Cached        map[deck.ModelName]bool // copies in its memory or on its disk
}

// An Action changes the models of an engine.
type Action struct {
	Engine    deck.BackendName
	Unload    deck.ModelName // makes way; empty for none
	Load      deck.ModelName // empty for none
	FromStore bool           // the weights come from the weight store
}

// A Plan says what to do now and how the engines stand.
type Plan struct {
	Actions           []Action
	AverageWork       float64 // work of the average engine, in tokens a second
	BusiestWork       float64 // work of the busiest engine once the copies under way and planned are there
	UnreachableModels int     // models that no engine holds or loads
	FreeSlots         int     // places without a model
}

// Next returns the orders to send now, at most one for each engine. Loads from the weight store stop at the given number.
func NewPlan(spec deck.EngineSpec, engines []Engine, estimate DemandEstimate, storeLoads int) Plan {
	p := newPlanner(spec, engines, estimate)
	p.storeLoads = storeLoads
	p.placeCopies(p.underReplicated(p.soonCopies, noSoonCopyWeight), p.cachedCandidate)
	p.placeCopies(p.underReplicated(p.copies, noCopyWeight), p.missingCopyCandidate)
	p.placeCopies(p.mostOverloaded, p.offloadCandidate)
	p.restoreReserve()
	p.spread()
	plan := Plan{Actions: p.actions, AverageWork: p.averageWork(), UnreachableModels: p.unreachable, FreeSlots: p.freeSlots}
	for _, work := range p.current.work {
		plan.BusiestWork = max(plan.BusiestWork, work)
	}
	return plan
}

type planner struct {
	spec       deck.EngineSpec
	engines    []Engine
	current    *distribution
	recent     *distribution
	storeLoads int

	evictable   map[deck.ModelName]bool
	target      map[deck.ModelName]int // copies to have for the demand of now
	retain      map[deck.ModelName]int // copies not to unload
	copies      map[deck.ModelName]int
	readyCopies map[deck.ModelName]int // copies that are not being loaded any more
	soonCopies  map[deck.ModelName]int // copies that are ready or come from an engine's memory or disk
	dcCopies    map[modelDC]int        // copies in a data centre
	skipped     map[deck.ModelName]bool
	planned     map[deck.BackendName]bool
	unreachable int // models that no engine holds
	freeSlots   int // free places
	actions     []Action
}

// nearby names copies of a model in a data centre.
type modelDC struct {
	model deck.ModelName
	dc    deck.DataCentre
}

func newPlanner(spec deck.EngineSpec, engines []Engine, o DemandEstimate) *planner {
	evictable := evictableModels(spec, engines, o)
	p := &planner{
		spec: spec, engines: engines, current: newDistribution(engines, o.Current), recent: newDistribution(engines, o.Recent), evictable: evictable,
		target: targetCopies(spec, len(engines), o.Current, evictable), retain: targetCopies(spec, len(engines), o.Recent, evictable),
		copies: make(map[deck.ModelName]int), readyCopies: make(map[deck.ModelName]int), soonCopies: make(map[deck.ModelName]int),
		dcCopies: make(map[modelDC]int), skipped: make(map[deck.ModelName]bool), planned: make(map[deck.BackendName]bool),
	}
	for _, e := range engines {
		p.freeSlots += modelSlots(spec, spec.WeightMegabytes-e.UsedMegabytes)
		for m := range e.Models {
			p.copies[m]++
			p.readyCopies[m]++
			p.soonCopies[m]++
			p.dcCopies[modelDC{m, e.DataCentre}]++
		}
		if e.Loading != "" {
			p.copies[e.Loading]++
			if e.Cached[e.Loading] {
				p.soonCopies[e.Loading]++
			}
			p.dcCopies[modelDC{e.Loading, e.DataCentre}]++
		}
	}
	for _, m := range spec.Models {
		if p.copies[m.Name] == 0 && !evictable[m.Name] {
			p.unreachable++
		}
	}
	return p
}

// lacking returns a choice of the model with too few copies, of those counted, whose copies have the most work.
func (p *planner) underReplicated(counted map[deck.ModelName]int, noneWeight float64) func() (deck.EngineModel, bool) {
	return func() (best deck.EngineModel, ok bool) {
		bestUrgency := 0.0
		for _, m := range p.spec.Models {
			if p.skipped[m.Name] || counted[m.Name] >= p.target[m.Name] {
				continue
			}
			if urgency := p.urgency(m.Name, counted, noneWeight); !ok || urgency > bestUrgency {
				best, bestUrgency, ok = m, urgency, true
			}
		}
		return best, ok
	}
}

// Weights of the demand for a model without any of the copies that are counted.
const (
	noCopyWeight = 100.0 // no engine holds or loads it

	// unreachableSoon is for the seconds that loads from the store take: a few calls that find no engine at all stand against
	// many that find all places taken.
	noSoonCopyWeight = 10.0
)

// pressure returns the work for each of the copies that are counted, or the demand times a weight if there are none.
func (p *planner) urgency(m deck.ModelName, counted map[deck.ModelName]int, noneWeight float64) float64 {
	if n := counted[m]; n > 0 {
		return p.current.demand[m] / float64(n)
	}
	return p.current.demand[m] * noneWeight
}

// An option is a way to bring a further copy of a model to an engine, and what that costs.
type candidateFunc func(Engine, deck.EngineModel) (a Action, cost float64, ok bool)

// each supplies the models that choose returns until it returns none.
func (p *planner) placeCopies(choose func() (deck.EngineModel, bool), candidate candidateFunc) {
	clear(p.skipped)
	for {
		m, ok := choose()
		if !ok {
			return
		}
		if !p.placeCopy(m, candidate) {
			p.skipped[m.Name] = true
		}
	}
}

// supply adds the order that brings a further copy of the model closer.
func (p *planner) placeCopy(m deck.EngineModel, candidate candidateFunc) bool {
	var best Action
	bestCost, found := 0.0, false
	for _, e := range p.engines {
		if !e.Available || p.planned[e.ID] || e.Models[m.Name] || !e.Cached[m.Name] && p.storeLoads <= 0 {
			continue
		}
		a, cost, ok := candidate(e, m)
		if ok && (!found || cost < bestCost) {
			best, bestCost, found = a, cost, true
		}
	}
	if found {
		p.addCopy(best, m)
	}
	return found
}

// add takes an action into account.
func (p *planner) addCopy(a Action, m deck.EngineModel) {
	p.actions = append(p.actions, a)
	p.planned[a.Engine] = true
	if p.copies[m.Name] == 0 && !p.evictable[m.Name] {
		p.unreachable--
	}
	p.copies[m.Name]++
	p.current.addCopy(m.Name, a.Engine)
	p.recent.addCopy(m.Name, a.Engine)
	if a.Unload != "" {
		p.dropCopy(a.Unload, a.Engine)
	} else {
		p.freeSlots--
	}
	if a.FromStore {
		p.storeLoads--
	} else {
		p.soonCopies[m.Name]++
	}
}

// drop takes away a copy.
func (p *planner) dropCopy(m deck.ModelName, e deck.BackendName) {
	p.copies[m]--
	p.readyCopies[m]--
	p.soonCopies[m]--
	p.current.removeCopy(m, e)
	p.recent.removeCopy(m, e)
}

// Costs that order the engines for a further copy.
const (
	evictCost     = 2.5 // the load waits until the runs of another model have ended, mostly for two to five seconds
	storeCost     = 0.8 // the load takes seconds instead of half a second
	sameDCCost    = 0.5 // for each copy in the same data centre
	heldModelCost = 0.2 // for each model that the engine holds already
	workCost      = 1.0 // for work as much as an engine has on average
)

// cost returns what a further copy on the engine costs, without that of a model that makes way.
func (p *planner) cost(e Engine, m deck.EngineModel) float64 {
	cost := sameDCCost*float64(p.dcCopies[modelDC{m.Name, e.DataCentre}]) + heldModelCost*float64(len(e.Models))
	if averageWork := p.averageWork(); averageWork > 0 {
		cost += workCost * p.recent.work[e.ID] / averageWork
	}
	if !e.Cached[m.Name] {
		cost += storeCost
	}
	return cost
}

// quick is the option for a model that lacks copies and is in the memory or on the disk of an engine with little work. These
// go first: an engine that comes back empty is as it was within seconds, and takes no other order during a load from the
// store.
func (p *planner) cachedCandidate(e Engine, m deck.EngineModel) (a Action, cost float64, ok bool) {
	if !e.Cached[m.Name] || p.soonCopies[m.Name] > 0 && p.recent.work[e.ID] > p.averageWork() {
		return a, 0, false
	}
	a, cost, ok = p.missingCopyCandidate(e, m)
	return a, cost, ok && (a.Unload == "" || p.recent.demand[a.Unload] < idleDemand)
}

// onEngine is the option for a model that lacks copies.
func (p *planner) missingCopyCandidate(e Engine, m deck.EngineModel) (a Action, cost float64, ok bool) {
	a, cost = p.loadAction(e, m), p.cost(e, m)
	if p.fits(e, m) {
		return a, cost, p.copies[m.Name] == 0 || p.freeSlots > p.unreachable // the last free places are for models that nobody can reach
	}
	victim, _, ok := p.victim(e, p.hasSurplusCopy, p.workWithoutCopy)
	inUse := p.recent.demand[victim] >= idleDemand
	if !ok || inUse && p.urgency(m.Name, p.copies, noCopyWeight) < minEvictionGain*p.workWithoutCopy(victim) {
		return a, 0, false
	}
	if p.recent.demand[victim] > 0 {
		cost += evictCost
	}
	a.Unload = victim
	return a, cost, true
}

// load returns the action that loads the model without one that makes way.
func (p *planner) loadAction(e Engine, m deck.EngineModel) Action {
	return Action{Engine: e.ID, Load: m.Name, FromStore: !e.Cached[m.Name]}
}

// fits reports whether the engine has room for the model.
func (p *planner) fits(e Engine, m deck.EngineModel) bool {
	return e.UsedMegabytes+m.Megabytes <= p.spec.WeightMegabytes
}

// evictGain is how many times the work for each copy must be that of the model that makes way: an engine that changes its
// models takes no other order for seconds.
const minEvictionGain = 2.0

// left returns the work for each copy of a model with one copy less.
func (p *planner) workWithoutCopy(m deck.ModelName) float64 {
	return p.recent.demand[m] / float64(max(1, p.copies[m]-1))
}

// victim returns the model with the least work of those on the engine that may go, and that work.
func (p *planner) victim(
	e Engine, allowed func(deck.ModelName) bool, work func(deck.ModelName) float64,
) (best deck.ModelName, least float64, ok bool) {
	for v := range e.Models {
		if !allowed(v) {
			continue
		}
		w := work(v)
		if p.readyCopies[v] == 1 {
			w += idleDemand // a further copy goes first
		}
		if !ok || w < least || w == least && v < best {
			best, least, ok = v, w, true
		}
	}
	return best, least, ok
}

// surplus reports whether the model has a copy to spare. A copy that is being loaded can't replace one that is held.
func (p *planner) hasSurplusCopy(m deck.ModelName) bool {
	return p.canLoseCopy(m) && p.copies[m] > max(p.target[m], p.retain[m])
}

// spareable reports whether the model stays reachable without one of its copies.
func (p *planner) canLoseCopy(m deck.ModelName) bool {
	return p.readyCopies[m] > 1 || p.evictable[m]
}

// restoreReserve unloads copies that are no longer wanted until enough places are free, or hold copies that nobody uses.
func (p *planner) restoreReserve() {
	missing := ReservedSlots(p.spec, len(p.engines)) + p.unreachable - p.freeSlots
	averageWork := p.averageWork()
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
		if !e.Available || p.planned[e.ID] || modelSlots(p.spec, p.spec.WeightMegabytes-e.UsedMegabytes) > 0 {
			continue
		}
		victim, _, ok := p.victim(e, p.hasSurplusCopy, p.workWithoutCopy)
		if !ok || p.workWithoutCopy(victim)*minEvictionGain > averageWork {
			continue
		}
		missing--
		if p.recent.demand[victim] < idleDemand {
			continue // it makes way at once when the place is needed
		}
		unloading++
		p.actions = append(p.actions, Action{Engine: e.ID, Unload: victim})
		p.planned[e.ID] = true
		p.dropCopy(victim, e.ID)
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
	minReachableEngines = 2

	// spreadTokens of the weight store's burst are left for models that are asked for.
	spreadTokenReserve = 1
)

// average returns the work of the average engine.
func (p *planner) averageWork() float64 {
	return p.recent.averageWork(len(p.engines))
}

// spread uses free places for second copies of models while nothing is asked for at all: a load takes its engine from the
// models in use for seconds.
func (p *planner) spread() {
	if len(p.actions) > 0 || p.storeLoads <= spreadTokenReserve || p.freeSlots <= p.unreachable || len(p.engines) == 0 || p.averageWork() > 0 {
		return
	}
	reachable := make(map[deck.ModelName]int)
	for _, e := range p.engines {
		for _, m := range p.spec.Models {
			if e.Models[m.Name] || e.Cached[m.Name] {
				reachable[m.Name]++
			}
		}
	}
	var best deck.EngineModel
	found := false
	for _, m := range p.spec.Models {
		if reachable[m.Name] >= minReachableEngines || p.skipped[m.Name] {
			continue
		}
		if !found || reachable[m.Name] < reachable[best.Name] || reachable[m.Name] == reachable[best.Name] && p.recent.demand[m.Name] > p.recent.demand[best.Name] {
			best, found = m, true
		}
	}
	if found {
		p.placeCopy(best, p.spreadCandidate)
	}
}

// spreadTo is the option for a second copy: a free place beside the models with the least work.
func (p *planner) spreadCandidate(e Engine, m deck.EngineModel) (a Action, cost float64, ok bool) {
	return p.loadAction(e, m), p.recent.work[e.ID], !e.Cached[m.Name] && p.fits(e, m)
}
