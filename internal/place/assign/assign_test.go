package assign_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/assign"
)

// spec returns engines with three slots each for models of equal size.
func spec(models int) deck.EngineSpec {
	s := deck.EngineSpec{WeightMegabytes: 230}
	for i := range models {
		s.Models = append(s.Models, deck.EngineModel{Name: name(i), Megabytes: 70})
	}
	return s
}

func name(i int) deck.ModelName {
	return deck.ModelName(fmt.Sprintf("m%02d", i))
}

// engine returns an available engine that holds the models.
func engine(id string, models ...int) assign.Engine {
	e := assign.Engine{
		ID: deck.BackendName(id), Available: true, Models: map[deck.ModelName]bool{}, Cached: map[deck.ModelName]bool{},
		CapacityMegabytes: 230, UsedMegabytes: 70 * float64(len(models)),
	}
	for _, m := range models {
		e.Models[name(m)] = true
	}
	return e
}

func estimate(d assign.Demand) assign.DemandEstimate {
	return assign.DemandEstimate{Current: d, Recent: d}
}

// settle applies the planned actions at once, and plans again until there are none.
func settle(t *testing.T, s deck.EngineSpec, engines []assign.Engine, est assign.DemandEstimate) []assign.Engine {
	t.Helper()
	for range 100 {
		actions := assign.NewPlan(s, engines, est, 1).Actions
		if len(actions) == 0 {
			return engines
		}
		for _, a := range actions {
			i := slices.IndexFunc(engines, func(e assign.Engine) bool { return e.ID == a.Engine })
			e := &engines[i]
			for _, m := range a.Unload {
				delete(e.Models, m)
				e.Cached[m] = true
			}
			if a.Load != "" {
				e.Models[a.Load] = true
			}
			e.UsedMegabytes = 70 * float64(len(e.Models))
		}
	}
	t.Fatal("placement has not converged after 100 plans")
	return nil
}

// copies counts the engines that hold each model.
func copies(engines []assign.Engine) map[deck.ModelName]int {
	counts := map[deck.ModelName]int{}
	for _, e := range engines {
		for m := range e.Models {
			counts[m]++
		}
	}
	return counts
}

// busiest returns the work of the busiest engine in units of the average engine's work, if each small piece of the demand goes
// to the holder with the least work.
func busiest(engines []assign.Engine, d assign.Demand) float64 {
	const pieces = 200
	work := map[deck.BackendName]float64{}
	total := 0.0
	for range pieces {
		for m, demand := range d {
			var best deck.BackendName
			for _, e := range engines {
				if e.Models[m] && (best == "" || work[e.ID] < work[best]) {
					best = e.ID
				}
			}
			work[best] += demand / pieces
			total += demand / pieces
		}
	}
	maxWork := 0.0
	for _, l := range work {
		maxWork = max(maxWork, l)
	}
	return maxWork / (total / float64(len(engines)))
}

func TestCopiesMatchDemandAndLeaveReserve(t *testing.T) {
	is := is.New(t)
	s := spec(6)
	engines := []assign.Engine{
		engine("a", 0), engine("b", 1), engine("c", 2), engine("d", 3), engine("e", 4), engine("f", 5),
	}
	demand := assign.Demand{name(0): 600, name(1): 200, name(2): 10}
	engines = settle(t, s, engines, estimate(demand))
	held := copies(engines)
	total := 0
	for _, n := range held {
		total += n
	}
	is.True(held[name(0)] > held[name(1)])                 // more work, more copies
	is.Equal(held[name(2)], 1)                             // little work is served by one copy
	is.Equal(held[name(5)], 1)                             // a model without demand stays reachable
	is.True(total <= 18-assign.ReservedPlaces(s, engines)) // slots are left for a model whose demand rises
}

// Load pattern: every busy model has the copies that its demand justifies, but they are on the same engines, while the other
// engines hold idle models.
func TestBusyModelsSpreadFromSharedEngines(t *testing.T) {
	is := is.New(t)
	s := spec(11)
	engines := []assign.Engine{
		engine("a", 0, 1, 2), engine("b", 0, 1, 2), engine("c", 0, 1, 3), engine("d", 4, 5), engine("e", 6, 7),
		engine("f", 8, 9, 10),
	}
	demand := assign.Demand{name(0): 500, name(1): 500, name(2): 500}
	is.True(busiest(engines, demand) > 1.9)
	is.True(busiest(settle(t, s, engines, estimate(demand)), demand) <= 1.55)
}

// Load pattern: demand moves to a model with one copy within seconds. All missing copies must start loading at once, into free
// slots.
func TestMissingCopiesLoadConcurrently(t *testing.T) {
	is := is.New(t)
	s := spec(4)
	engines := []assign.Engine{
		engine("a", 0, 1), engine("b", 0, 2), engine("c", 0, 3), engine("d", 0), engine("e", 0), engine("f", 0),
	}
	var loads int
	for _, a := range assign.NewPlan(s, engines, estimate(assign.Demand{name(1): 1000, name(0): 50}), 10).Actions {
		is.Equal(len(a.Unload), 0)
		if a.Load == name(1) {
			loads++
		}
	}
	is.True(loads >= 3)
}

// Load pattern: a crash loses the only copy of several models while another model has too few copies.
func TestUnreachableModelsGetLastFreeSlots(t *testing.T) {
	is := is.New(t)
	s := spec(5) // no engine holds m03 and m04
	engines := []assign.Engine{engine("a", 0, 1), engine("b", 0, 1, 2), engine("c", 0, 1)}
	actions := assign.NewPlan(s, engines, estimate(assign.Demand{name(2): 1000}), 10).Actions
	loaded := map[deck.ModelName]int{}
	for _, a := range actions {
		if a.Load != "" {
			loaded[a.Load]++
		}
	}
	is.Equal(loaded[name(3)]+loaded[name(4)], 2) // both free slots
	is.Equal(loaded[name(2)], 0)
}

// Load pattern: engines restart empty after a crash, with their models on their disks, while busy models have too few copies.
func TestCachedModelsOfEmptyEnginesLoadFirst(t *testing.T) {
	is := is.New(t)
	s := spec(9)
	restarted := []assign.Engine{engine("x"), engine("y"), engine("z")}
	for i := range restarted {
		restarted[i].Cached[name(3+i)] = true // no engine holds m03 to m05
	}
	engines := append([]assign.Engine{engine("a", 0, 1, 2), engine("b", 6, 7, 8)}, restarted...)
	demand := assign.Demand{name(0): 900, name(1): 800, name(2): 700, name(3): 5, name(4): 5, name(5): 5}
	cachedLoads := 0
	for _, a := range assign.NewPlan(s, engines, estimate(demand), 10).Actions {
		if !a.FromStore {
			cachedLoads++
		}
	}
	is.Equal(cachedLoads, 3)
}

// Load pattern: all engines are full, with more copies than the current demand justifies. If many engines waited for running
// requests to end at once, few would take orders.
func TestFewEnginesUnloadToRestoreReserve(t *testing.T) {
	is := is.New(t)
	s := spec(6)
	var engines []assign.Engine
	for i := range 20 {
		engines = append(engines, engine(fmt.Sprintf("e%02d", i), 0, 1, 2+i%4))
	}
	demand := assign.Demand{name(0): 2000, name(1): 2000, name(2): 200, name(3): 200, name(4): 200, name(5): 200}
	est := assign.DemandEstimate{Current: demand, Recent: demand}
	waiting := 0
	for _, a := range assign.NewPlan(s, engines, est, 10).Actions {
		if a.Load == "" {
			waiting++
		}
	}
	is.True(waiting <= 1)
}

// Load pattern: a few models have all the demand, and most slots hold idle models.
func TestIdleModelsAreEvictedForBusyModels(t *testing.T) {
	is := is.New(t)
	s := spec(12)
	engines := []assign.Engine{
		engine("a", 0, 1, 2), engine("b", 3, 4, 5), engine("c", 6, 7, 8), engine("d", 9, 10, 11),
	}
	demand := assign.Demand{name(0): 900, name(1): 600, name(2): 60}
	est := assign.DemandEstimate{Current: demand, Recent: demand, Utilisation: 0.6}
	is.Equal(len(assign.NewPlan(s, engines, est, 10).Actions), 0) // no other engine could load them soon
	for i := range engines {
		for m := 3; m < 12; m++ {
			engines[i].Cached[name(m)] = m%4 == i || (m+1)%4 == i
		}
	}
	is.Equal(len(assign.NewPlan(s, engines, estimate(demand), 10).Actions), 0) // the busy models' engines have request slots free
	engines = settle(t, s, engines, est)
	is.True(busiest(engines, demand) <= 1.5)
	is.True(copies(engines)[name(2)] >= 1)
	cached := map[deck.ModelName]int{}
	for _, e := range engines {
		for m := range e.Cached {
			cached[m]++
		}
	}
	for m := 3; m < 12; m++ {
		is.True(copies(engines)[name(m)] > 0 || cached[name(m)] >= 2)
	}
}

// Load pattern: streams of the busy models pause for too long on engines that have most of their request slots free. Guards against
// a measure of crowding by slots alone, with which idle models hold the memory for further copies.
func TestIdleModelsAreEvictedWhereStreamsAreLate(t *testing.T) {
	is := is.New(t)
	s := spec(12)
	engines := []assign.Engine{
		engine("a", 0, 1, 2), engine("b", 3, 4, 5), engine("c", 6, 7, 8), engine("d", 9, 10, 11),
	}
	for i := range engines {
		for m := 3; m < 12; m++ {
			engines[i].Cached[name(m)] = true
		}
	}
	demand := assign.Demand{name(0): 900, name(1): 600, name(2): 60}
	est := assign.DemandEstimate{Current: demand, Recent: demand, Utilisation: 0.1, LateShare: 0.2}
	engines = settle(t, s, engines, est)
	is.True(copies(engines)[name(0)] > 1)
	is.True(busiest(engines, demand) <= 1.5)
}

func TestLastCopyIsKeptIfNotCached(t *testing.T) {
	is := is.New(t)
	s := spec(6)
	engines := []assign.Engine{engine("a", 0, 1, 2), engine("b", 3, 4, 5)}
	is.Equal(len(assign.NewPlan(s, engines, estimate(assign.Demand{name(0): 1000}), 10).Actions), 0)
}

func TestStoreLoadsAreLimited(t *testing.T) {
	is := is.New(t)
	s := spec(4)
	warm := engine("c")
	warm.Cached[name(0)] = true
	engines := []assign.Engine{engine("a", 0, 1, 2), engine("b"), warm}
	actions := assign.NewPlan(s, engines, estimate(assign.Demand{name(0): 1000, name(3): 10}), 1).Actions
	storeLoads := 0
	for _, a := range actions {
		if a.FromStore {
			storeLoads++
		}
	}
	is.Equal(storeLoads, 1)
	is.Equal(len(actions), 2) // the cached copy needs no load from the store
}

func TestUnavailableEngineGetsNoAction(t *testing.T) {
	is := is.New(t)
	e := engine("a")
	e.Available = false
	is.Equal(len(assign.NewPlan(spec(2), []assign.Engine{e}, estimate(assign.Demand{name(0): 1}), 5).Actions), 0)
}

// Load pattern: the engines that hold the busiest models have all the work while others are idle.
func TestFurtherCopiesGoToLeastLoadedEngine(t *testing.T) {
	is := is.New(t)
	s := spec(4)
	engines := []assign.Engine{engine("a", 0, 1), engine("b", 0, 1), engine("c", 0, 2), engine("idle", 2, 3)}
	actions := assign.NewPlan(s, engines, estimate(assign.Demand{name(0): 900, name(1): 300}), 1).Actions
	is.True(len(actions) > 0)
	is.Equal(actions[0].Engine, deck.BackendName("idle"))
}

// Load pattern: an engine takes far fewer calls than the others and is the only one with a busy model. Guards against a plan that takes
// its share of the work for that of any engine, and against further copies of other models there.
func TestSlowEngineIsRelieved(t *testing.T) {
	for _, speed := range []float64{1, 0.2} {
		is := is.New(t)
		s := spec(4)
		engines := []assign.Engine{engine("a", 0), engine("b", 1), engine("c", 2), engine("d", 3)}
		engines[0].Speed = speed
		demand := assign.Demand{name(0): 1000, name(1): 1000, name(2): 1000, name(3): 1000}
		settled := settle(t, s, engines, estimate(demand))
		is.True(copies(settled)[name(0)] >= 2)
		is.Equal(len(settled[0].Models) == 1, speed < 1)
	}
}
