package assign

import (
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Demand is the work asked of each model, in tokens a second.
type Demand map[deck.ModelName]float64

// An Outlook is the demand that decides which copies to add, and the demand that decides which ones to keep. The latter
// forgets more slowly, so that a pause costs no copies and a model that falls gets no further ones.
type DemandEstimate struct {
	Current     Demand
	Recent      Demand
	Utilisation float64 // calls at the engines, in units of their places
}

const (
	// minShare is the share of one engine's average work below which a further copy of a model is not worth its place.
	minCopyWork = 0.35

	// reserveShare of the places beyond one for each model is kept free, so that a model whose demand rises is loaded
	// without waiting for another one's runs to end.
	reserveFraction = 0.3
)

// copies returns how many engines should hold each model: one for each model that is not parked, and the places that are
// left but for a reserve go to the models with the most work for each copy.
func targetCopies(spec deck.EngineSpec, engines int, demand Demand, evictable map[deck.ModelName]bool) map[deck.ModelName]int {
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

// parkedCopies is how many engines must have a model in memory or on disk before its last place can go to a busy model.
const minCachedCopies = 2

// parkedFill is the share of the engines' places that calls take from which on further copies of busy models serve more
// callers than the last copies of models that nobody asks for: below it the busy models' own engines have places free.
const minEvictUtilisation = 0.35

// parkedModels returns the models that almost nobody asks for and that two engines can load within a second: while there is
// other work they need no place.
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

// Reserve returns how many places should be free for models whose demand rises.
func ReservedSlots(spec deck.EngineSpec, engines int) int {
	return int(reserveFraction * float64(max(0, spareSlots(spec, engines))))
}

// spare returns the places beyond one for each model.
func spareSlots(spec deck.EngineSpec, engines int) int {
	return engines*modelSlots(spec, spec.WeightMegabytes) - len(spec.Models)
}

// places returns how many of the largest model fit into the megabytes.
func modelSlots(spec deck.EngineSpec, megabytes float64) int {
	largest := 1.0
	for _, m := range spec.Models {
		largest = max(largest, m.Megabytes)
	}
	return int(megabytes / largest)
}

// neediest returns the model with the most work for each copy, if that exceeds the least amount.
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
