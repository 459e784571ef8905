package assign

import (
	"slices"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// An Engine is the state of one engine as the planner knows it.
type Engine struct {
	ID                deck.BackendName
	DataCentre        deck.DataCentre
	Software          deck.SoftwareVersion
	Available         bool                       // it can take an order
	Speed             float64                    // share of other engines' work that it can do in the same time; 0 stands for 1
	Models            map[deck.ModelName]bool    // held
	Loading           deck.ModelName             // empty for none
	Unloading         bool                       // an unload waits for running requests to end
	CapacityMegabytes float64                    // for weights and adapters
	UsedMegabytes     float64                    // weights and adapters, including those being loaded or unloaded
	AdapterMegabytes  map[deck.ModelName]float64 // of the adapters of a held model, which an unload frees as well
	Cached            map[deck.ModelName]bool    // can be loaded from the engine's memory or disk, without the weight store
}

// speed returns the engine's speed.
func (e Engine) speed() float64 {
	if e.Speed == 0 {
		return 1
	}
	return e.Speed
}

// An Action changes the models of an engine.
type Action struct {
	Engine    deck.BackendName
	Unload    []deck.ModelName // evicted to make room, in this order
	Load      deck.ModelName   // empty for none
	FromStore bool             // the weights come from the weight store
}

// A Plan is the actions to start now, with figures on the state of the engines.
type Plan struct {
	Actions           []Action
	AverageWork       float64 // work of the average engine, in tokens a second
	BusiestWork       float64 // work of the busiest engine once the copies being loaded and planned are ready
	UnreachableModels int     // models that no engine holds or loads, except evictable ones
	FreePlaces        int     // models of average size that fit into the free memory
}

// NewPlan returns the actions to start now, at most one for each engine and at most storeLoads loads from the weight store. The continued
// models are needed by interrupted streams.
func NewPlan(spec deck.EngineSpec, engines []Engine, estimate DemandEstimate, storeLoads int, continued ...Continued) Plan {
	p := newPlanner(spec, engines, estimate)
	p.storeLoads = storeLoads
	p.placeContinued(continued)
	p.placeCopies(p.underReplicated(p.soonReadyCopies, noSoonReadyCopyWeight), p.cachedCandidate)
	p.placeCopies(p.underReplicated(p.copies, noCopyWeight), p.missingCopyCandidate)
	p.placeCopies(p.mostOverloaded, p.offloadCandidate)
	p.relocate()
	p.restoreReserve()
	p.placeSecondCopy()
	plan := Plan{
		Actions: p.actions, AverageWork: p.averageWork(), UnreachableModels: p.unreachable, FreePlaces: p.freePlaces(p.meanSize),
	}
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

	evictable       map[deck.ModelName]bool
	target          map[deck.ModelName]int // copies that the current demand justifies
	retain          map[deck.ModelName]int // copies that the recent demand justifies keeping
	copies          map[deck.ModelName]int // held, being loaded or planned
	readyCopies     map[deck.ModelName]int // held
	soonReadyCopies map[deck.ModelName]int // held, or loading from the engine's memory or disk
	dcCopies        map[modelDC]int        // in a data centre
	skipped         map[deck.ModelName]bool
	planned         map[deck.BackendName]bool
	free            map[deck.BackendName]float64 // megabytes, less those of planned copies
	size            map[deck.ModelName]float64   // megabytes
	meanSize        float64                      // of a model, in megabytes
	unreachable     int                          // models that no engine holds or loads, except evictable ones
	unreachableSize float64                      // of the largest of these, in megabytes
	actions         []Action
}

type modelDC struct {
	model deck.ModelName
	dc    deck.DataCentre
}

func newPlanner(spec deck.EngineSpec, engines []Engine, o DemandEstimate) *planner {
	evictable := evictableModels(spec, engines, o)
	p := &planner{
		spec: spec, engines: engines,
		current: newDistribution(engines, o.Current), recent: newDistribution(engines, o.Recent), evictable: evictable,
		target: targetCopies(spec, engines, o.Current, evictable), retain: targetCopies(spec, engines, o.Recent, evictable),
		copies: make(map[deck.ModelName]int), readyCopies: make(map[deck.ModelName]int),
		soonReadyCopies: make(map[deck.ModelName]int), dcCopies: make(map[modelDC]int),
		skipped: make(map[deck.ModelName]bool), planned: make(map[deck.BackendName]bool),
		free: make(map[deck.BackendName]float64, len(engines)), meanSize: meanSize(spec),
		size: make(map[deck.ModelName]float64, len(spec.Models)),
	}
	for _, m := range spec.Models {
		p.size[m.Name] = m.Megabytes
	}
	for _, e := range engines {
		p.free[e.ID] = e.CapacityMegabytes - e.UsedMegabytes
		for m := range e.Models {
			p.copies[m]++
			p.readyCopies[m]++
			p.soonReadyCopies[m]++
			p.dcCopies[modelDC{m, e.DataCentre}]++
		}
		if e.Loading != "" {
			p.copies[e.Loading]++
			if e.Cached[e.Loading] {
				p.soonReadyCopies[e.Loading]++
			}
			p.dcCopies[modelDC{e.Loading, e.DataCentre}]++
		}
	}
	p.countUnreachable()
	return p
}

// countUnreachable counts the models that no engine holds or loads.
func (p *planner) countUnreachable() {
	p.unreachable, p.unreachableSize = 0, 0
	for _, m := range p.spec.Models {
		if p.copies[m.Name] == 0 && !p.evictable[m.Name] {
			p.unreachable++
			p.unreachableSize = max(p.unreachableSize, m.Megabytes)
		}
	}
}

// freePlaces returns how many models of the size fit into the free memory of the engines.
func (p *planner) freePlaces(megabytes float64) int {
	n := 0
	for _, free := range p.free {
		n += places(free, megabytes)
	}
	return n
}

// leavesRoomForUnreachable reports whether the unreachable models still fit once the engine holds a copy of another model.
func (p *planner) leavesRoomForUnreachable(e Engine, m deck.EngineModel) bool {
	if p.unreachable == 0 {
		return true
	}
	size := p.unreachableSize
	left := p.freePlaces(size) - places(p.free[e.ID], size) + places(p.free[e.ID]-m.Megabytes, size)
	return left >= p.unreachable
}

// underReplicated returns a function that selects the most urgent model with fewer counted copies than its target.
func (p *planner) underReplicated(counted map[deck.ModelName]int, weightWithoutCopy float64) func() (deck.EngineModel, bool) {
	return func() (best deck.EngineModel, ok bool) {
		bestUrgency := 0.0
		for _, m := range p.spec.Models {
			if p.skipped[m.Name] || counted[m.Name] >= p.target[m.Name] {
				continue
			}
			if urgency := p.urgency(m.Name, counted, weightWithoutCopy); !ok || urgency > bestUrgency {
				best, bestUrgency, ok = m, urgency, true
			}
		}
		return best, ok
	}
}

// Weights of the demand for a model that has none of the copies counted by underReplicated.
const (
	noCopyWeight = 100.0 // no engine holds or loads it

	// noSoonReadyCopyWeight applies if no engine holds the model or is loading it from its memory or disk. For the seconds that
	// a load from the store takes, it weighs the few calls for the model, which find no engine, against the many calls for
	// other models, which find all request slots taken.
	noSoonReadyCopyWeight = 10.0
)

// urgency returns the work for each of the counted copies, or the demand times weightWithoutCopy if there are none.
func (p *planner) urgency(m deck.ModelName, counted map[deck.ModelName]int, weightWithoutCopy float64) float64 {
	if n := counted[m]; n > 0 {
		return p.current.demand[m] / float64(n)
	}
	return p.current.demand[m] * weightWithoutCopy
}

// A candidateFunc returns the action that would place a further copy of a model on an engine and the cost of that, or false if
// the engine is no candidate.
type candidateFunc func(Engine, deck.EngineModel) (a Action, cost float64, ok bool)

// placeCopies places copies of the models that choose returns until it returns none.
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

// minCopySpeed is the speed from which a further copy of a model on an engine relieves the others.
const minCopySpeed = 0.5

// placeCopy adds the action for a further copy of the model at the candidate of the least cost, if there is one.
func (p *planner) placeCopy(m deck.EngineModel, candidate candidateFunc) bool {
	return p.placeCopyOn(m, candidate, func(Engine) bool { return true })
}

// placeCopyOn is placeCopy with the engines that may be candidates.
func (p *planner) placeCopyOn(m deck.EngineModel, candidate candidateFunc, mayHold func(Engine) bool) bool {
	var best Action
	bestCost, found := 0.0, false
	for _, e := range p.engines {
		if !mayHold(e) || !e.Available || p.planned[e.ID] || e.Models[m.Name] || !e.Cached[m.Name] && p.storeLoads <= 0 {
			continue
		}
		if e.speed() < minCopySpeed && p.copies[m.Name] > 0 {
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

// addCopy adds an action to the plan and counts the copy that it loads.
func (p *planner) addCopy(a Action, m deck.EngineModel) {
	p.actions = append(p.actions, a)
	p.planned[a.Engine] = true
	p.copies[m.Name]++
	p.current.addCopy(m.Name, a.Engine)
	p.recent.addCopy(m.Name, a.Engine)
	p.free[a.Engine] -= m.Megabytes
	for _, v := range a.Unload {
		p.dropCopy(v, a.Engine)
	}
	p.countUnreachable()
	if a.FromStore {
		p.storeLoads--
	} else {
		p.soonReadyCopies[m.Name]++
	}
}

// dropCopy removes an unloaded copy from the counts.
func (p *planner) dropCopy(m deck.ModelName, e deck.BackendName) {
	p.copies[m]--
	p.readyCopies[m]--
	p.soonReadyCopies[m]--
	p.free[e] += p.size[m]
	p.current.removeCopy(m, e)
	p.recent.removeCopy(m, e)
}

// Costs that rank the engines for a further copy. They have no unit: only their ratios matter.
const (
	evictCost     = 2.5 // the load waits until another model's running requests have ended, usually two to five seconds
	storeCost     = 0.8 // the load takes seconds instead of half a second
	sameDCCost    = 0.5 // for each copy in the same data centre
	heldModelCost = 0.2 // for each model that the engine already holds
	workCost      = 1.0 // for the work of an average engine
)

// cost returns the cost of a further copy on the engine without that of an eviction.
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

// cachedCandidate returns the action that places a copy of an under-replicated model on an engine that can load it from its
// memory or disk. If the model has a copy that is or will soon be ready, only engines with little work are candidates. Such
// loads are planned first: they restore a restarted engine within seconds, whereas a load from the store would keep it
// from taking other orders.
func (p *planner) cachedCandidate(e Engine, m deck.EngineModel) (a Action, cost float64, ok bool) {
	if !e.Cached[m.Name] || p.soonReadyCopies[m.Name] > 0 && p.recent.work[e.ID] > p.averageWork() {
		return a, 0, false
	}
	a, cost, ok = p.missingCopyCandidate(e, m)
	return a, cost, ok && !slices.ContainsFunc(a.Unload, p.isActive)
}

// isActive reports whether the model has had enough demand recently that its unload would wait for running requests.
func (p *planner) isActive(m deck.ModelName) bool {
	return p.recent.demand[m] >= idleDemand
}

// missingCopyCandidate returns the action that places a copy of an under-replicated model on any engine, if need be in place of
// other models.
func (p *planner) missingCopyCandidate(e Engine, m deck.EngineModel) (a Action, cost float64, ok bool) {
	a, cost = p.loadAction(e, m), p.cost(e, m)
	if p.fits(e, m) {
		return a, cost, p.copies[m.Name] == 0 || p.leavesRoomForUnreachable(e, m)
	}
	allowed, gain := p.hasSurplusCopy, p.urgency(m.Name, p.copies, noCopyWeight)
	if p.copies[m.Name] == 0 && !p.evictable[m.Name] {
		allowed, gain = p.canLoseCopy, max(gain, p.averageWork())
	}
	victims, work, ok := p.victims(e, m.Megabytes, allowed, p.workWithoutCopy)
	inUse := slices.ContainsFunc(victims, p.isActive)
	if !ok || inUse && gain < minEvictionGain*work {
		return a, 0, false
	}
	for _, v := range victims {
		if p.recent.demand[v] > 0 {
			cost += evictCost
		}
	}
	a.Unload = victims
	return a, cost, true
}

// loadAction returns the action that loads the model without an eviction.
func (p *planner) loadAction(e Engine, m deck.EngineModel) Action {
	return Action{Engine: e.ID, Load: m.Name, FromStore: !e.Cached[m.Name]}
}

// fits reports whether the engine has room for the model.
func (p *planner) fits(e Engine, m deck.EngineModel) bool {
	return m.Megabytes <= p.free[e.ID]
}

// minEvictionGain is the factor by which the work that an eviction gains for a loaded model must exceed the work that the
// evicted copies had, because an engine that changes its models takes no other order for seconds. The gain of a model that no
// engine holds, and of restoreReserve, which loads no model, is at least the work of the average engine.
const minEvictionGain = 2.0

// workWithoutCopy returns the work for each copy if the model had one fewer.
func (p *planner) workWithoutCopy(m deck.ModelName) float64 {
	return p.recent.demand[m] / float64(max(1, p.copies[m]-1))
}

// hasSurplusCopy reports whether the model has more copies than it needs. A copy that is still loading does not make up for an
// evicted one.
func (p *planner) hasSurplusCopy(m deck.ModelName) bool {
	return p.canLoseCopy(m) && p.copies[m] > max(p.target[m], p.retain[m])
}

// canLoseCopy reports whether the model stays reachable, or needs no copy, if one of its copies is evicted.
func (p *planner) canLoseCopy(m deck.ModelName) bool {
	return p.readyCopies[m] > 1 || p.evictable[m]
}

// restoreReserve unloads surplus copies until enough memory is free or held by copies that can be evicted at once.
func (p *planner) restoreReserve() {
	size := max(p.meanSize, p.unreachableSize)
	missing := ReservedPlaces(p.spec, p.engines) + p.unreachable - p.freePlaces(size)
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
		if !e.Available || p.planned[e.ID] || p.free[e.ID] >= size {
			continue
		}
		victims, work, ok := p.victims(e, size, p.hasSurplusCopy, p.workWithoutCopy)
		if !ok || work*minEvictionGain > averageWork {
			continue
		}
		missing--
		if !slices.ContainsFunc(victims, p.isActive) {
			continue // no running requests delay their eviction once the memory is needed
		}
		unloading++
		p.actions = append(p.actions, Action{Engine: e.ID, Unload: victims})
		p.planned[e.ID] = true
		for _, v := range victims {
			p.dropCopy(v, e.ID)
		}
	}
}

const (
	// enginesPerUnload limits how many engines may wait at a time for a model's running requests to end just to free a slot: one
	// in this many, and one more. Such an engine takes no other order, not even for an adapter.
	enginesPerUnload = 30

	// idleDemand is the demand, in tokens a second, below which a model is idle: about one small request in ten seconds.
	idleDemand = 50.0

	// minHeldOrCached is how many engines should hold a model or have it cached, so that it loads within half a second when its
	// demand rises, and the loss of one engine leaves another that holds it or has it cached.
	minHeldOrCached = 2

	// reservedStoreLoads is how many loads from the weight store placeSecondCopy leaves for models in demand.
	reservedStoreLoads = 1
)

// averageWork returns the work of the average engine by the recent demand.
func (p *planner) averageWork() float64 {
	return p.recent.averageWork(len(p.engines))
}

// placeSecondCopy uses free memory for a second copy of a model, but only while there is no demand at all: during a load, an
// engine takes no orders for seconds, not even for adapters of the models in use.
func (p *planner) placeSecondCopy() {
	if len(p.actions) > 0 || p.storeLoads <= reservedStoreLoads || len(p.engines) == 0 || p.averageWork() > 0 {
		return
	}
	heldOrCached := make(map[deck.ModelName]int)
	for _, e := range p.engines {
		for _, m := range p.spec.Models {
			if e.Models[m.Name] || e.Cached[m.Name] || e.Loading == m.Name {
				heldOrCached[m.Name]++
			}
		}
	}
	var best deck.EngineModel
	found := false
	for _, m := range p.spec.Models {
		if heldOrCached[m.Name] >= minHeldOrCached || p.skipped[m.Name] || largeEnough(p.engines, m) == 0 {
			continue
		}
		if !found || heldOrCached[m.Name] < heldOrCached[best.Name] ||
			heldOrCached[m.Name] == heldOrCached[best.Name] && p.recent.demand[m.Name] > p.recent.demand[best.Name] {
			best, found = m, true
		}
	}
	if found {
		p.placeCopy(best, p.secondCopyCandidate)
	}
}

// secondCopyCandidate returns the action that places a second copy in free memory of the engine; its cost is the engine's work.
func (p *planner) secondCopyCandidate(e Engine, m deck.EngineModel) (a Action, cost float64, ok bool) {
	ok = !e.Cached[m.Name] && p.fits(e, m) && p.leavesRoomForUnreachable(e, m)
	return p.loadAction(e, m), p.recent.work[e.ID], ok
}
