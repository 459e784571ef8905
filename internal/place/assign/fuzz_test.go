package assign_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/assign"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
)

// A fleet carries out plans and checks each order against the engines' memory. Orders may be lost, engines may be slow to carry
// them out, and may crash.
type fleet struct {
	t       *rapid.T
	spec    deck.EngineSpec
	engines []*fleetEngine
	moves   int
}

// A fleetEngine is an engine of a fleet.
type fleetEngine struct {
	assign.Engine
	stepsLeft int  // until the order has been carried out
	slow      bool // its orders are carried out later than others
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{t: t}
	sizes := rapid.SliceOfN(rapid.Float64Range(5, 140), 1, 5).Draw(t, "sizes")
	for i := range rapid.IntRange(1, 60).Draw(t, "models") {
		size := rapid.SampledFrom(sizes).Draw(t, "size")
		f.spec.Models = append(f.spec.Models, deck.EngineModel{Name: name(i), Megabytes: size})
	}
	capacities := rapid.SliceOfN(rapid.Float64Range(60, 400), 1, 3).Draw(t, "capacities")
	for i := range rapid.IntRange(1, 30).Draw(t, "engines") {
		f.engines = append(f.engines, &fleetEngine{Engine: assign.Engine{
			ID: deck.BackendName(fmt.Sprintf("e%02d", i)), CapacityMegabytes: rapid.SampledFrom(capacities).Draw(t, "capacity"),
			Models: map[deck.ModelName]bool{}, Cached: map[deck.ModelName]bool{},
		}})
	}
	for _, m := range f.spec.Models { // the platform's first placement, which leaves some models out
		e := rapid.SampledFrom(f.engines).Draw(t, "first engine")
		if f.used(e)+m.Megabytes <= e.CapacityMegabytes {
			e.Models[m.Name] = true
		}
	}
	return f
}

// used returns the memory of the models that the engine holds and loads.
func (f *fleet) used(e *fleetEngine) float64 {
	total := 0.0
	for _, m := range f.spec.Models {
		if e.Models[m.Name] || e.Loading == m.Name {
			total += m.Megabytes
		}
	}
	return total
}

// plan starts the actions of one plan.
func (f *fleet) plan(est assign.DemandEstimate, storeLoads int, lossRate float64) {
	engines := make([]assign.Engine, len(f.engines))
	for i, e := range f.engines {
		e.UsedMegabytes = f.used(e)
		e.Available = e.Loading == ""
		engines[i] = e.Engine
	}
	for _, a := range assign.NewPlan(f.spec, engines, est, storeLoads).Actions {
		i := slices.IndexFunc(f.engines, func(e *fleetEngine) bool { return e.ID == a.Engine })
		e := f.engines[i]
		if !e.Available {
			f.t.Fatalf("engine %s gets an order while it carries one out", e.ID)
		}
		if lossRate > 0 && rapid.Float64Range(0, 1).Draw(f.t, "loss") < lossRate {
			continue
		}
		f.start(e, a)
	}
}

func (f *fleet) start(e *fleetEngine, a assign.Action) {
	e.Available = false
	for _, m := range a.Unload {
		if !e.Models[m] {
			f.t.Fatalf("engine %s is told to unload %s, which it does not hold", e.ID, m)
		}
		delete(e.Models, m)
		e.Cached[m] = true
	}
	e.Loading, e.stepsLeft = a.Load, 2
	if a.Load != "" {
		f.moves++
	}
	if e.slow {
		e.stepsLeft = 6
	}
	if used := f.used(e); used > e.CapacityMegabytes {
		f.t.Fatalf("engine %s of %.1f MB is ordered to hold %.1f MB", e.ID, e.CapacityMegabytes, used)
	}
}

// advance carries out the orders in progress by one step.
func (f *fleet) advance() {
	for _, e := range f.engines {
		e.stepsLeft--
		if e.stepsLeft > 0 {
			continue
		}
		if e.Loading != "" {
			e.Models[e.Loading] = true
			e.Cached[e.Loading] = true
			e.Loading = ""
		}
	}
}

// crash empties an engine, which keeps its disk.
func (f *fleet) crash(e *fleetEngine) {
	clear(e.Models)
	e.Loading, e.stepsLeft = "", 0
}

// missing returns the models that no engine holds or loads although one could hold it.
func (f *fleet) missing() []deck.ModelName {
	var out []deck.ModelName
	for _, m := range f.spec.Models {
		held := slices.ContainsFunc(f.engines, func(e *fleetEngine) bool { return e.Models[m.Name] || e.Loading == m.Name })
		possible := slices.ContainsFunc(f.engines, func(e *fleetEngine) bool { return e.CapacityMegabytes >= m.Megabytes })
		if possible && !held {
			out = append(out, m.Name)
		}
	}
	return out
}

// ample reports whether the models fit even if half of each engine's memory were lost to models that don't fit beside each other.
func (f *fleet) ample() bool {
	largest, total := 0.0, 0.0
	for _, m := range f.spec.Models {
		largest = max(largest, m.Megabytes)
		total += m.Megabytes
	}
	capacity := 0.0
	for _, e := range f.engines {
		if e.CapacityMegabytes >= 2*largest {
			capacity += e.CapacityMegabytes
		}
	}
	return total <= capacity/2-largest
}

// Guards against plans that overcommit the memory of an engine when models differ in size, models that stay without a copy
// although there is room, and plans that never settle.
func TestFuzzPlansKeepEngineMemory(t *testing.T) {
	decktest.Check(t, checkPlansKeepEngineMemory)
}

func checkPlansKeepEngineMemory(t *rapid.T) {
	f := newFleet(t)
	lossRate := rapid.Float64Range(0, 0.4).Draw(t, "loss rate")
	demand := assign.Demand{}
	for range rapid.IntRange(5, 40).Draw(t, "steps") {
		switch rapid.IntRange(0, 9).Draw(t, "event") {
		case 0:
			f.crash(rapid.SampledFrom(f.engines).Draw(t, "crashed"))
		case 1:
			e := rapid.SampledFrom(f.engines).Draw(t, "slow")
			e.slow = !e.slow
		case 2, 3:
			m := rapid.SampledFrom(f.spec.Models).Draw(t, "model in demand")
			demand[m.Name] = rapid.Float64Range(0, 5000).Draw(t, "demand")
		}
		est := assign.DemandEstimate{
			Current: demand, Recent: demand, Utilisation: rapid.SampledFrom([]float64{0.1, 0.9}).Draw(t, "utilisation"),
		}
		f.plan(est, rapid.IntRange(0, 5).Draw(t, "store loads"), lossRate)
		f.advance()
	}
	f.settle()
}

// settle plans without demand and faults until nothing changes any more.
func (f *fleet) settle() {
	const planLimit = 600
	f.moves = 0
	quiet := 0
	for range planLimit {
		before := f.moves
		f.plan(assign.DemandEstimate{}, 3, 0)
		f.advance()
		if quiet++; f.moves != before {
			quiet = 0
		}
		if quiet > 8 {
			break
		}
	}
	if quiet <= 8 {
		f.t.Fatalf("placement still changes after %d plans", planLimit)
	}
	if missing := f.missing(); f.ample() && len(missing) > 0 {
		f.t.Fatalf("models %v have no copy", missing)
	}
	if limit := 3 * (len(f.spec.Models) + len(f.engines)); f.moves > limit {
		f.t.Fatalf("%d loads without demand for %d models on %d engines", f.moves, len(f.spec.Models), len(f.engines))
	}
}
