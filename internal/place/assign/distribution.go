package assign

import (
	"cmp"
	"math"
	"slices"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// firstSweeps bring the split of all demand within a few percent of the best one: a model is on a few engines only.
	initialSweeps = 8

	// nextSweeps adapt the split to one further copy.
	updateSweeps = 2
)

// shares split each model's demand over the engines that hold it so that the busiest engines have as little work as
// possible, which is what entry VMs do when they choose the engine with the fewest calls.
type distribution struct {
	demand  Demand
	total   float64          // of the demand
	models  []deck.ModelName // with demand and holders, in a fixed order
	holders map[deck.ModelName][]deck.BackendName
	share   map[assignment]float64
	work    map[deck.BackendName]float64
}

// A place is a model on an engine.
type assignment struct {
	model  deck.ModelName
	engine deck.BackendName
}

func newDistribution(engines []Engine, demand Demand) *distribution {
	s := &distribution{
		demand: demand, holders: make(map[deck.ModelName][]deck.BackendName), share: make(map[assignment]float64),
		work: make(map[deck.BackendName]float64, len(engines)),
	}
	for _, d := range demand {
		s.total += d
	}
	for _, e := range engines {
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

// hold notes that the engine holds the model.
func (s *distribution) addHolder(m deck.ModelName, e deck.BackendName) {
	if s.demand[m] > 0 && len(s.holders[m]) == 0 {
		s.models = append(s.models, m)
	}
	s.holders[m] = append(s.holders[m], e)
}

// add takes a further copy into account.
func (s *distribution) addCopy(m deck.ModelName, e deck.BackendName) {
	s.addHolder(m, e)
	s.splitDemand(m)
	s.balance(updateSweeps)
}

// remove takes away a copy.
func (s *distribution) removeCopy(m deck.ModelName, e deck.BackendName) {
	s.work[e] -= s.share[assignment{m, e}]
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

// split divides one model's demand over its holders: those with the least other work are filled up to a common level.
func (s *distribution) splitDemand(m deck.ModelName) {
	holders := s.holders[m]
	if len(holders) == 0 {
		return
	}
	for _, e := range holders {
		s.work[e] -= s.share[assignment{m, e}]
	}
	slices.SortFunc(holders, func(a, b deck.BackendName) int {
		return cmp.Or(cmp.Compare(s.work[a], s.work[b]), cmp.Compare(a, b))
	})
	level := s.waterLevel(holders, s.demand[m])
	for _, e := range holders {
		share := max(0, level-s.work[e])
		s.share[assignment{m, e}] = share
		s.work[e] += share
	}
}

// fillLevel returns the level up to which the demand fills the engines, which are ordered by their other work.
func (s *distribution) waterLevel(holders []deck.BackendName, demand float64) float64 {
	sum := demand
	level := 0.0
	for i, e := range holders {
		sum += s.work[e]
		level = sum / float64(i+1)
		if i+1 == len(holders) || level <= s.work[holders[i+1]] {
			break
		}
	}
	return level
}

// level returns the work of the busiest engine that serves the model; it is infinite for a model that no engine holds.
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

// average returns the work of the average engine.
func (s *distribution) averageWork(engines int) float64 {
	return s.total / float64(max(1, engines))
}
