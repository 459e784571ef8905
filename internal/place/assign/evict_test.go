package assign_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/assign"
)

// mixedSpec returns engines of 200 GB for models of the sizes, in megabytes.
func mixedSpec(sizes ...float64) deck.EngineSpec {
	s := deck.EngineSpec{WeightMegabytes: 200_000}
	for i, size := range sizes {
		s.Models = append(s.Models, deck.EngineModel{Name: name(i), Megabytes: size})
	}
	return s
}

// mixedEngine returns an available engine that holds the models of the spec.
func mixedEngine(s deck.EngineSpec, id string, models ...int) assign.Engine {
	e := assign.Engine{
		ID: deck.BackendName(id), Available: true, CapacityMegabytes: s.WeightMegabytes,
		Models: map[deck.ModelName]bool{}, Cached: map[deck.ModelName]bool{},
	}
	for _, m := range models {
		e.Models[name(m)] = true
		e.UsedMegabytes += s.Models[m].Megabytes
	}
	return e
}

// used returns the memory of an engine after the action.
func used(s deck.EngineSpec, e assign.Engine, a assign.Action) float64 {
	total := e.UsedMegabytes
	for _, v := range a.Unload {
		m, _ := s.Model(v)
		total -= m.Megabytes
	}
	m, _ := s.Model(a.Load)
	return total + m.Megabytes
}

// Load pattern: demand moves to a large model while the engines are full of models of several sizes. Guards against a small model
// that makes way for a larger one, after which the engine's memory is overcommitted.
func TestSmallModelDoesNotMakeRoomForLargerOne(t *testing.T) {
	is := is.New(t)
	s := mixedSpec(72_700, 72_700, 34_300, 72_700)
	engines := []assign.Engine{
		mixedEngine(s, "a", 0, 1, 2), mixedEngine(s, "b", 0, 1, 2), mixedEngine(s, "c", 0, 1, 2), mixedEngine(s, "d", 3),
	}
	demand := assign.Demand{name(3): 5000, name(0): 100}
	actions := assign.NewPlan(s, engines, estimate(demand), 10).Actions
	is.True(len(actions) > 0)
	for _, a := range actions {
		for _, e := range engines {
			if e.ID == a.Engine {
				is.True(used(s, e, a) <= s.WeightMegabytes)
			}
		}
	}
}

// Load pattern: demand moves to a model that is larger than any idle model. Guards against a busy model that never gets a copy
// because no single eviction makes room for it.
func TestSeveralModelsMakeRoomForLargerOne(t *testing.T) {
	is := is.New(t)
	s := mixedSpec(60_000, 60_000, 60_000, 140_000)
	engines := []assign.Engine{mixedEngine(s, "a", 0, 1, 2), mixedEngine(s, "b", 0, 1, 2), mixedEngine(s, "c", 3)}
	actions := assign.NewPlan(s, engines, estimate(assign.Demand{name(3): 5000}), 10).Actions
	is.Equal(len(actions), 1) // the other engine keeps the only copies
	is.Equal(actions[0].Load, name(3))
	is.Equal(len(actions[0].Unload), 2)
}

// Load pattern: the only engine of a model is gone, and each of the others has too little free memory although all together have
// enough. Guards against a model that stays unreachable.
func TestOnlyCopiesMoveToMakeRoom(t *testing.T) {
	is := is.New(t)
	s := mixedSpec(60_000, 70_000, 80_000, 140_000)
	engines := []assign.Engine{mixedEngine(s, "a", 0), mixedEngine(s, "b", 1), mixedEngine(s, "c", 2)}
	for range 4 {
		for _, a := range assign.NewPlan(s, engines, estimate(assign.Demand{name(3): 500}), 10).Actions {
			for i := range engines {
				if engines[i].ID != a.Engine {
					continue
				}
				engines[i].UsedMegabytes = used(s, engines[i], a)
				is.True(engines[i].UsedMegabytes <= s.WeightMegabytes)
				for _, v := range a.Unload {
					delete(engines[i].Models, v)
				}
				engines[i].Models[a.Load] = true
			}
		}
	}
	held := copies(engines)
	for m := range 4 {
		is.True(held[name(m)] > 0)
	}
}

// Guards against a model larger than any engine, which would keep memory reserved for it and stop all second copies.
func TestModelLargerThanAnyEngineIsLeftOut(t *testing.T) {
	is := is.New(t)
	s := mixedSpec(60_000, 250_000)
	engines := []assign.Engine{mixedEngine(s, "a", 0), mixedEngine(s, "b")}
	plan := assign.NewPlan(s, engines, assign.DemandEstimate{}, 10)
	is.Equal(plan.UnreachableModels, 0)
	is.Equal(len(plan.Actions), 1)
	is.Equal(plan.Actions[0].Load, name(0))
}
