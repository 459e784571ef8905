package assign

import (
	"cmp"
	"math"
	"slices"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// initialSweeps bring the distribution within a few percent of the optimum, since each model is on a few engines only.
	initialSweeps = 8

	// updateSweeps adapt the distribution to one further copy.
	updateSweeps = 2
)

// A distribution divides each model's demand over the engines that hold it so that the busiest engines have as little work as
// possible. Entry VMs come close to that, since they choose the engine with the fewest calls.
type distribution struct {
	demand  Demand
	total   float64          // sum of demand
	models  []deck.ModelName // with demand and holders, in a fixed order
	holders map[deck.ModelName][]deck.BackendName
	share   map[assignment]float64
	work    map[deck.BackendName]float64 // divided by the engine's speed
	speed   map[deck.BackendName]float64
}

// An assignment is a copy of a model on an engine.
type assignment struct {
	model  deck.ModelName
	engine deck.BackendName
}

func newDistribution(engines []Engine, demand Demand) *distribution {
	s := &distribution{
		demand: demand, holders: make(map[deck.ModelName][]deck.BackendName), share: make(map[assignment]float64),
		work: make(map[deck.BackendName]float64, len(engines)), speed: make(map[deck.BackendName]float64, len(engines)),
	}
	for _, d := range demand {
		s.total += d
	}
	for _, e := range engines {
		s.speed[e.ID] = e.speed()
		for m := range e.Models {
			s.addHolder(m, e.ID)
		}
		if e.Loading != "" {
			s.addHolder(e.Loading, e.ID)
		}
	}
	slices.Sort(s.models)
	s.balance(initialSweeps)
	return s
}

// addHolder records that the engine holds the model, without distributing demand to it.
func (s *distribution) addHolder(m deck.ModelName, e deck.BackendName) {
	if s.demand[m] > 0 && len(s.holders[m]) == 0 {
		s.models = append(s.models, m)
	}
	s.holders[m] = append(s.holders[m], e)
}

// addCopy adds a holder of the model and rebalances.
func (s *distribution) addCopy(m deck.ModelName, e deck.BackendName) {
	s.addHolder(m, e)
	s.splitDemand(m)
	s.balance(updateSweeps)
}

// removeCopy removes a holder and divides its demand among the model's other holders.
func (s *distribution) removeCopy(m deck.ModelName, e deck.BackendName) {
	s.work[e] -= s.share[assignment{m, e}] / s.speed[e]
	delete(s.share, assignment{m, e})
	s.holders[m] = slices.DeleteFunc(s.holders[m], func(h deck.BackendName) bool { return h == e })
	s.splitDemand(m)
}

func (s *distribution) balance(sweeps int) {
	for range sweeps {
		for _, m := range s.models {
			s.splitDemand(m)
		}
	}
}

// splitDemand divides one model's demand over its holders by water-filling: those with the least other work are filled up to a
// common level.
func (s *distribution) splitDemand(m deck.ModelName) {
	holders := s.holders[m]
	if len(holders) == 0 {
		return
	}
	for _, e := range holders {
		s.work[e] -= s.share[assignment{m, e}] / s.speed[e]
	}
	slices.SortFunc(holders, func(a, b deck.BackendName) int {
		return cmp.Or(cmp.Compare(s.work[a], s.work[b]), cmp.Compare(a, b))
	})
	level := s.waterLevel(holders, s.demand[m])
	for _, e := range holders {
		work := max(0, level-s.work[e])
		s.share[assignment{m, e}] = work * s.speed[e]
		s.work[e] += work
	}
}

// waterLevel returns the level up to which the demand fills the engines, which are ordered by their other work.
func (s *distribution) waterLevel(holders []deck.BackendName, demand float64) float64 {
	sum, speed := demand, 0.0
	level := 0.0
	for i, e := range holders {
		sum += s.work[e] * s.speed[e]
		speed += s.speed[e]
		level = sum / speed
		if i+1 == len(holders) || level <= s.work[holders[i+1]] {
			break
		}
	}
	return level
}

// maxWork returns the work of the busiest engine that serves the model, or infinity for a model that no engine holds.
func (s *distribution) maxWork(m deck.ModelName) float64 {
	if len(s.holders[m]) == 0 {
		return math.Inf(1)
	}
	busiest := 0.0
	for _, e := range s.holders[m] {
		if s.share[assignment{m, e}] > 0 {
			busiest = max(busiest, s.work[e])
		}
	}
	return busiest
}

// averageWork returns the work of the average engine, given the number of engines.
func (s *distribution) averageWork(engines int) float64 {
	return s.total / float64(max(1, engines))
}
