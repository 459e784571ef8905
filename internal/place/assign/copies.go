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
}

const (
	// minCopyWork is the least work for each copy that justifies a further copy of a model, in units of the average engine's
	// work.
	minCopyWork = 0.35

	// reserveFraction of the model slots beyond one for each model is kept free, so that a model whose demand rises is loaded
	// without waiting for another model's running requests to end.
	reserveFraction = 0.3
)

// targetCopies returns how many engines should hold each model. Each model that is not evictable gets one; the remaining slots,
// except for the reserve, go to the models with the most work for each copy.
func targetCopies(
	spec deck.EngineSpec, engines int, demand Demand, evictable map[deck.ModelName]bool,
) map[deck.ModelName]int {
	target := make(map[deck.ModelName]int, len(spec.Models))
	total := 0.0
	for _, m := range spec.Models {
		if !evictable[m.Name] {
			target[m.Name] = 1
		}
		total += demand[m.Name]
	}
	if engines == 0 || total <= 0 {
		return target
	}
	minWork := total / float64(engines) * minCopyWork
	for left := spareSlots(spec, engines) + len(evictable) - ReservedSlots(spec, engines); left > 0; left-- {
		m, ok := mostWorkPerCopy(spec, engines, demand, target, minWork)
		if !ok {
			break
		}
		target[m.Name]++
	}
	return target
}

// minCachedCopies is how many engines must be able to load a model from their memory or disk before its last loaded copy may be
// evicted.
const minCachedCopies = 2

// minEvictUtilisation is the utilisation from which on the last copy of an idle model may be evicted. Below it, the engines
// that already hold the busy models have request slots free, and further copies of these would serve fewer callers than the
// last copies of idle models.
const minEvictUtilisation = 0.35

// evictableModels returns the idle models that need no loaded copy while there is other work, since at least minCachedCopies
// engines can load them within a second.
func evictableModels(spec deck.EngineSpec, engines []Engine, o DemandEstimate) map[deck.ModelName]bool {
	evictable := make(map[deck.ModelName]bool)
	if o.Utilisation < minEvictUtilisation {
		return evictable
	}
	for _, m := range spec.Models {
		if o.Recent[m.Name] >= idleDemand || o.Current[m.Name] >= idleDemand {
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

// ReservedSlots returns how many model slots should be free for models whose demand rises.
func ReservedSlots(spec deck.EngineSpec, engines int) int {
	return int(reserveFraction * float64(max(0, spareSlots(spec, engines))))
}

// spareSlots returns the number of model slots beyond one for each model.
func spareSlots(spec deck.EngineSpec, engines int) int {
	return engines*modelSlots(spec, spec.WeightMegabytes) - len(spec.Models)
}

// modelSlots returns how many copies of the largest model fit into the given memory.
func modelSlots(spec deck.EngineSpec, megabytes float64) int {
	largest := 1.0
	for _, m := range spec.Models {
		largest = max(largest, m.Megabytes)
	}
	return int(megabytes / largest)
}

// mostWorkPerCopy returns the model with the most work for each copy, if that exceeds minWork.
func mostWorkPerCopy(
	spec deck.EngineSpec, engines int, demand Demand, target map[deck.ModelName]int, minWork float64,
) (best deck.EngineModel, ok bool) {
	bestWork := minWork
	for _, m := range spec.Models {
		work := demand[m.Name] / float64(max(1, target[m.Name]))
		if target[m.Name] < engines && work > bestWork {
			best, bestWork, ok = m, work, true
		}
	}
	return best, ok
}
