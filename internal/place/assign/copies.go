package assign

import (
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Demand is the work asked of each model, in tokens a second.
type Demand map[deck.ModelName]float64

// An Outlook is the demand that decides which copies to add, and the demand that decides which ones to keep. The latter
// forgets more slowly, so that a pause costs no copies and a model that falls gets no further ones.
type Outlook struct {
	Now  Demand
	Keep Demand
	Fill float64 // calls at the engines, in units of their places
}

const (
	// minShare is the share of one engine's average work below which a further copy of a model is not worth its place.
	minShare = 0.35

	// reserveShare of the places beyond one for each model is kept free, so that a model whose demand rises is loaded
	// without waiting for another one's runs to end.
	reserveShare = 0.3
)

// copies returns how many engines should hold each model: one for each model that is not parked, and the places that are
// left but for a reserve go to the models with the most work for each copy.
func copies(spec deck.EngineSpec, engines int, demand Demand, parked map[deck.ModelName]bool) map[deck.ModelName]int {
	want := make(map[deck.ModelName]int, len(spec.Models))
	total := 0.0
	for _, m := range spec.Models {
		if !parked[m.Name] {
			want[m.Name] = 1
		}
		total += demand[m.Name]
	}
	if engines == 0 || total <= 0 {
		return want
	}
	least := total / float64(engines) * minShare
	for left := spare(spec, engines) + len(parked) - Reserve(spec, engines); left > 0; left-- {
		m, ok := neediest(spec, engines, demand, want, least)
		if !ok {
			break
		}
		want[m.Name]++
	}
	return want
}

// parkedCopies is how many engines must have a model in memory or on disk before its last place can go to a busy model.
const parkedCopies = 2

// parkedFill is the share of the engines' places that calls take from which on further copies of busy models serve more
// callers than the last copies of models that nobody asks for: below it the busy models' own engines have places free.
const parkedFill = 0.35

// parkedModels returns the models that almost nobody asks for and that two engines can load within a second: while there is
// other work they need no place.
func parkedModels(spec deck.EngineSpec, engines []Engine, o Outlook) map[deck.ModelName]bool {
	parked := make(map[deck.ModelName]bool)
	if o.Fill < parkedFill {
		return parked
	}
	for _, m := range spec.Models {
		if o.Keep[m.Name] >= idleDemand || o.Now[m.Name] >= idleDemand {
			continue
		}
		n := 0
		for _, e := range engines {
			if e.AtHand[m.Name] {
				n++
			}
		}
		if n >= parkedCopies {
			parked[m.Name] = true
		}
	}
	return parked
}

// Reserve returns how many places should be free for models whose demand rises.
func Reserve(spec deck.EngineSpec, engines int) int {
	return int(reserveShare * float64(max(0, spare(spec, engines))))
}

// spare returns the places beyond one for each model.
func spare(spec deck.EngineSpec, engines int) int {
	return engines*places(spec, spec.WeightMegabytes) - len(spec.Models)
}

// places returns how many of the largest model fit into the megabytes.
func places(spec deck.EngineSpec, megabytes float64) int {
	largest := 1.0
	for _, m := range spec.Models {
		largest = max(largest, m.Megabytes)
	}
	return int(megabytes / largest)
}

// neediest returns the model with the most work for each copy, if that exceeds the least amount.
func neediest(
	spec deck.EngineSpec, engines int, demand Demand, want map[deck.ModelName]int, least float64,
) (best deck.EngineModel, ok bool) {
	most := least
	for _, m := range spec.Models {
		each := demand[m.Name] / float64(max(1, want[m.Name]))
		if want[m.Name] < engines && each > most {
			best, most, ok = m, each, true
		}
	}
	return best, ok
}
