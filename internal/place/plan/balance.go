package plan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Policy for adding replicas on demand. Package internal/measure/placement measures its effect.
const (
	// MinResidence is the time for which a ready replica is neither evicted for an added replica nor, if it has the active
	// version, unloaded because a new target lacks it, so that two engines don't pass a model back and forth. A replica that
	// is evicted for a model without a replica is exempt.
	MinResidence = 2 * time.Minute
	// DefaultTokensPerSecond is the throughput of one accelerator at full batches.
	DefaultTokensPerSecond = 540
	// kneeUtilisation is the utilisation above which first tokens are late.
	kneeUtilisation = 0.7
	// horizonSeconds is the time over which a further replica must gain more than it costs.
	horizonSeconds = 600
	// burstSeconds is the part of the horizon for which demand above the slow estimate is expected to last.
	burstSeconds = 30
	// storeBytesPerSecond is the rate at which one load reads from the weight store.
	storeBytesPerSecond = 8 * float64(deck.GiB)
	// coldCacheSeconds is the time for which a new replica recomputes prompts that another engine has in its prefix cache.
	coldCacheSeconds = 2
	// storeTimeCost is the cost of one second of reading from the weight store, in seconds of an engine's throughput.
	storeTimeCost = 3.0
	// maxAdditions bounds the replicas that one plan adds, and with them the planning time.
	maxAdditions = 8
)

// work is the demand on an engine, in tokens per second.
type work struct {
	required float64 // rate that the replicas must serve
	slow     float64 // slow estimate
}

func (w work) plus(o work, factor float64) work {
	return work{w.required + factor*o.required, w.slow + factor*o.slow}
}

// lateTokens returns the tokens that the engine serves late over the horizon with the work.
func (e *engine) lateTokens(w work) float64 {
	limit := kneeUtilisation * e.rate
	return burstSeconds*max(0, w.required-limit) + (horizonSeconds-burstSeconds)*max(0, w.slow-limit)
}

func (e *engine) utilisation() float64 {
	if e.rate == 0 {
		return 0
	}
	return e.work.required / e.rate
}

func (p *packing) demand(m deck.ModelName) work {
	r := p.in.Demand[m]
	return work{required: r.Required(), slow: r.Slow}
}

// computeWork computes the work of each engine, with each model's demand divided evenly over its replicas.
func (p *packing) computeWork() {
	p.holders = make(map[deck.ModelName][]int, len(p.byModel))
	for i, e := range p.engineSet.engines {
		e.work = work{}
		for m := range e.hosted {
			p.holders[m] = append(p.holders[m], i)
		}
	}
	for _, m := range slices.Sorted(maps.Keys(p.holders)) { // sorted, because sums of floats depend on the order
		p.addWork(m, 1)
	}
}

// balance adds replicas of models from the most utilised engines while each gains more than it costs.
func (p *packing) balance() {
	if len(p.in.Demand) == 0 {
		return
	}
	p.computeWork()
	exhausted := make(map[int]bool)
	for added := 0; added < maxAdditions; {
		busiest := p.mostUtilised(exhausted)
		if busiest < 0 {
			return
		}
		if p.offload(busiest) {
			added++
			continue
		}
		exhausted[busiest] = true
	}
}

// mostUtilised returns the most utilised engine above the knee that is not exhausted, or -1.
func (p *packing) mostUtilised(exhausted map[int]bool) int {
	best := -1
	for i, e := range p.engineSet.engines {
		if exhausted[i] || e.utilisation() <= kneeUtilisation {
			continue
		}
		if best < 0 || e.utilisation() > p.engineSet.engines[best].utilisation() {
			best = i
		}
	}
	return best
}

// offload adds a replica of one of the busiest engine's models elsewhere; it returns false if none gains more than it costs.
func (p *packing) offload(busiest int) bool {
	models := p.modelsByDemand(p.engineSet.engines[busiest])
	targets := p.leastUtilised()
	var best candidate
	for _, m := range models[:min(len(models), 4)] {
		for _, i := range targets {
			if c, ok := p.evaluate(m, i); ok && c.gain > best.gain {
				best = c
			}
		}
	}
	if best.gain <= 0 {
		return false
	}
	for _, m := range best.victims {
		p.remove(best.engine, m)
	}
	p.engineSet.addTo(best.engine, p.byModel[best.model])
	p.replicaCount[best.model]++
	p.updateWork(append(best.victims, best.model))
	return true
}

// updateWork recomputes the engines' work after the replicas of some models changed.
func (p *packing) updateWork(models []deck.ModelName) {
	for _, m := range models {
		p.addWork(m, -1)
		p.holders[m] = p.holders[m][:0]
	}
	for i, e := range p.engineSet.engines {
		for _, m := range models {
			if e.hosted[m] {
				p.holders[m] = append(p.holders[m], i)
			}
		}
	}
	for _, m := range models {
		p.addWork(m, 1)
	}
}

// addWork adds (sign 1) or subtracts (sign -1) the model's demand on the engines that hold it.
func (p *packing) addWork(m deck.ModelName, sign float64) {
	at := p.holders[m]
	for _, i := range at {
		e := p.engineSet.engines[i]
		e.work = e.work.plus(p.demand(m), sign/float64(len(at)))
	}
}

// modelsByDemand returns the engine's models in decreasing order of demand per replica.
func (p *packing) modelsByDemand(e *engine) []deck.ModelName {
	out := sortedKeys(e.hosted)
	share := func(m deck.ModelName) float64 { return p.demand(m).required / float64(max(1, len(p.holders[m]))) }
	slices.SortStableFunc(out, func(a, b deck.ModelName) int { return cmp.Compare(share(b), share(a)) })
	return out
}

// leastUtilised returns up to maxTargets engines in increasing order of utilisation.
func (p *packing) leastUtilised() []int {
	const maxTargets = 6
	var out []int
	for i := range p.engineSet.engines {
		at, _ := slices.BinarySearchFunc(out, i, func(a, b int) int {
			return cmp.Compare(p.engineSet.engines[a].utilisation(), p.engineSet.engines[b].utilisation())
		})
		if at < maxTargets {
			out = slices.Insert(out, at, i)
			out = out[:min(len(out), maxTargets)]
		}
	}
	return out
}

// A candidate is a further replica of a model and the replicas to evict for it.
type candidate struct {
	model   deck.ModelName
	engine  int
	victims []deck.ModelName
	gain    float64 // tokens served in time over the horizon, less the cost
}

// evaluate returns the candidate replica on the engine with its net gain; ok is false if the engine can't hold it.
func (p *packing) evaluate(m deck.ModelName, i int) (c candidate, ok bool) {
	e, f := p.engineSet.engines[i], p.byModel[m]
	if e.hosted[m] || p.in.Avoid[ReplicaID{e.backend.Name, m}] {
		return c, false
	}
	c = candidate{model: m, engine: i}
	if !e.fits(f) {
		if c.victims, ok = p.selectVictims(e, f); !ok {
			return c, false
		}
	}
	c.gain = p.gain(c) - p.cost(c)
	return c, true
}

// selectVictims returns the replicas with the least demand whose eviction makes room for the footprint, and whether enough
// can be evicted. A replica may be evicted if others remain and it has been ready for MinResidence.
func (p *packing) selectVictims(e *engine, f footprint) ([]deck.ModelName, bool) {
	models := p.modelsByDemand(e)
	slices.Reverse(models)
	free := e.capacity - e.used - max(e.maxTransient, f.transient)
	var out []deck.ModelName
	for _, m := range models {
		if free >= f.resident {
			break
		}
		if p.evictable(e.backend.Name, m) {
			out = append(out, m)
			free += p.byModel[m].resident
		}
	}
	return out, free >= f.resident
}

func (p *packing) evictable(b deck.BackendName, m deck.ModelName) bool {
	minReplicas := 0
	if p.in.Homes.In(m, p.in.DataCentre) {
		minReplicas = p.byModel[m].replicas
	}
	if p.replicaCount[m] <= max(1, minReplicas) {
		return false
	}
	for _, c := range p.current[m] {
		if c.Backend == b {
			return !c.Since.IsZero() && p.in.Now.Sub(c.Since) >= MinResidence
		}
	}
	return false // planned but not loaded yet
}

func (p *packing) remove(i int, m deck.ModelName) {
	e := p.engineSet.engines[i]
	delete(e.hosted, m)
	e.used -= p.byModel[m].resident
	p.engineSet.updateSlack(i)
	p.replicaCount[m]--
}

// gain returns the additional tokens that are served in time over the horizon with the candidate.
func (p *packing) gain(c candidate) float64 {
	change := make(map[int]work)
	p.addWorkChange(change, c.model, c.engine, 1)
	for _, m := range c.victims {
		p.addWorkChange(change, m, c.engine, -1)
	}
	var gain float64
	for _, i := range slices.Sorted(maps.Keys(change)) {
		e := p.engineSet.engines[i]
		gain += e.lateTokens(e.work) - e.lateTokens(e.work.plus(change[i], 1))
	}
	return gain
}

// addWorkChange adds to change the difference of each engine's work when the model gains (by 1) or loses (by -1) a replica
// on the given engine.
func (p *packing) addWorkChange(change map[int]work, m deck.ModelName, engine, by int) {
	d := p.demand(m)
	before, after := float64(len(p.holders[m])), float64(len(p.holders[m])+by)
	for _, i := range p.holders[m] {
		if i != engine {
			change[i] = change[i].plus(d, 1/after-1/before)
		}
	}
	if by > 0 {
		change[engine] = change[engine].plus(d, 1/after)
	} else {
		change[engine] = change[engine].plus(d, -1/before)
	}
}

// cost returns the cost of loading the candidate in tokens: the time of the weight store and the cold prefix cache.
func (p *packing) cost(c candidate) float64 {
	e := p.engineSet.engines[c.engine]
	seconds := float64(p.byModel[c.model].weight) / storeBytesPerSecond
	share := p.demand(c.model).required / float64(len(p.holders[c.model])+1)
	return storeTimeCost*seconds*e.rate + coldCacheSeconds*share
}
