package assign

import (
	"cmp"
	"slices"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// places returns how many models of the size fit into the free memory of one engine.
func places(free, megabytes float64) int {
	return max(0, int(free/max(megabytes, 1)))
}

// meanSize returns the average size of the models in megabytes, 0 without models.
func meanSize(spec deck.EngineSpec) float64 {
	total := 0.0
	for _, m := range spec.Models {
		total += m.Megabytes
	}
	return total / float64(max(1, len(spec.Models)))
}

// largeEnough returns how many of the engines are large enough for the model.
func largeEnough(engines []Engine, m deck.EngineModel) int {
	n := 0
	for _, e := range engines {
		if m.Megabytes <= e.CapacityMegabytes {
			n++
		}
	}
	return n
}

// A packing is a trial placement of models on empty engines, which shows how many fit: memory that is counted in bytes only may be
// spread over engines in parts that are too small. It does not keep copies of one model apart.
type packing struct {
	size   float64   // for which places is counted, in megabytes
	places int       // models of that size that still fit
	free   []float64 // megabytes of each engine
}

func newPacking(engines []Engine, size float64) *packing {
	p := &packing{size: size, free: make([]float64, len(engines))}
	for i, e := range engines {
		p.free[i] = e.CapacityMegabytes
		p.places += places(e.CapacityMegabytes, size)
	}
	return p
}

// addAll adds one copy of each model, the largest first, as far as they fit.
func (p *packing) addAll(models []deck.EngineModel) {
	models = slices.Clone(models)
	slices.SortStableFunc(models, func(a, b deck.EngineModel) int { return cmp.Compare(b.Megabytes, a.Megabytes) })
	for _, m := range models {
		p.add(m)
	}
}

// add adds a copy of the model to the engine that it fills most, and reports whether there was one.
func (p *packing) add(m deck.EngineModel) bool {
	best := -1
	for i, free := range p.free {
		if free >= m.Megabytes && (best < 0 || free < p.free[best]) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	before := p.free[best]
	p.free[best] -= m.Megabytes
	p.places += places(p.free[best], p.size) - places(before, p.size)
	return true
}
