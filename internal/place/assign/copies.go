package assign

import (
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Demand is the work requested of each model, in tokens a second.
type Demand map[deck.ModelName]float64

// A DemandEstimate is the demand for the models of a service and the load on its engines. Current decides which copies to add.
// Recent, which decays more slowly, decides which copies to keep: a pause in demand unloads nothing, and a model whose demand
// falls gets no further copies.
type DemandEstimate struct {
	Current     Demand
	Recent      Demand
	Utilisation float64 // calls at the engines divided by their request slots
	LateShare   float64 // share of streams with a first event or a gap between events that exceeded its target
}

// IsZero reports whether there has been no demand recently.
func (e DemandEstimate) IsZero() bool {
	for _, d := range e.Recent {
		if d > 0 {
			return false
		}
	}
	return true
}

const (
	// minCopyWork is the least work for each copy that justifies a further copy of a model, in units of the average engine's
	// work.
	minCopyWork = 0.35

	// reserveFraction of the places beyond one for each model is kept free, so that a model whose demand rises is loaded
	// without waiting for another model's running requests to end.
	reserveFraction = 0.3
)

// targetCopies returns how many engines should hold each model. Each model that is not evictable gets one; the remaining room,
// except for the reserve, goes to the models with the most work for each copy, as far as the copies fit on the engines.
func targetCopies(
	spec deck.EngineSpec, engines []Engine, demand Demand, evictable map[deck.ModelName]bool,
) map[deck.ModelName]int {
	var required []deck.EngineModel
	target := make(map[deck.ModelName]int, len(spec.Models))
	total := 0.0
	for _, m := range spec.Models {
		if !evictable[m.Name] {
			required = append(required, m)
			target[m.Name] = 1
		}
		total += demand[m.Name]
	}
	if len(engines) == 0 || total <= 0 {
		return target
	}
	pack := newPacking(engines, meanSize(spec))
	pack.addAll(required)
	minWork := total / float64(len(engines)) * minCopyWork
	reserve := ReservedPlaces(spec, engines)
	full := make(map[deck.ModelName]bool) // no engine has room for a further copy
	for pack.places > reserve {
		m, ok := mostWorkPerCopy(spec, demand, target, full, minWork)
		if !ok {
			break
		}
		if target[m.Name] < largeEnough(engines, m) && pack.add(m) {
			target[m.Name]++
		} else {
			full[m.Name] = true
		}
	}
	return target
}

// minCachedCopies is how many engines must be able to load a model from their memory or disk before its last loaded copy may be
// evicted.
const minCachedCopies = 2

// The last copy of an idle model may be evicted from either value on. Below both, the engines that already hold the busy models
// serve their callers in time, and further copies of these would serve fewer callers than the last copies of idle models. Engines
// with many slots are short of processing time long before they are short of slots.
const (
	minEvictUtilisation = 0.35
	minEvictLateShare   = 0.1
)

// evictableModels returns the idle models that need no loaded copy while there is other work, since at least minCachedCopies
// engines can load them within a second, and the models that no engine is large enough for.
func evictableModels(spec deck.EngineSpec, engines []Engine, o DemandEstimate) map[deck.ModelName]bool {
	evictable := make(map[deck.ModelName]bool)
	crowded := o.Utilisation >= minEvictUtilisation || o.LateShare >= minEvictLateShare
	for _, m := range spec.Models {
		if largeEnough(engines, m) == 0 {
			evictable[m.Name] = true
			continue
		}
		if !crowded || o.Recent[m.Name] >= idleDemand || o.Current[m.Name] >= idleDemand {
			continue
		}
		cached := 0
		for _, e := range engines {
			if e.Cached[m.Name] {
				cached++
			}
		}
		if cached >= minCachedCopies {
			evictable[m.Name] = true
		}
	}
	return evictable
}

// ReservedPlaces returns how many models of average size should fit into the memory that is kept free for models whose demand
// rises.
func ReservedPlaces(spec deck.EngineSpec, engines []Engine) int {
	pack := newPacking(engines, meanSize(spec))
	pack.addAll(spec.Models)
	return int(reserveFraction * float64(pack.places))
}

// mostWorkPerCopy returns the model with the most work for each copy, if that exceeds minWork, except those that are full.
func mostWorkPerCopy(
	spec deck.EngineSpec, demand Demand, target map[deck.ModelName]int, full map[deck.ModelName]bool, minWork float64,
) (best deck.EngineModel, ok bool) {
	bestWork := minWork
	for _, m := range spec.Models {
		work := demand[m.Name] / float64(max(1, target[m.Name]))
		if !full[m.Name] && work > bestWork {
			best, bestWork, ok = m, work, true
		}
	}
	return best, ok
}
