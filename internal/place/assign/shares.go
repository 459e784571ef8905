package assign

import (
	"cmp"
	"math"
	"slices"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// firstSweeps bring the split of all demand within a few percent of the best one: a model is on a few engines only.
	firstSweeps = 8

	// nextSweeps adapt the split to one further copy.
	nextSweeps = 2
)

// shares split each model's demand over the engines that hold it so that the busiest engines have as little work as
// possible, which is what entry VMs do when they choose the engine with the fewest calls.
type shares struct {
	demand  Demand
	total   float64          // of the demand
	models  []deck.ModelName // with demand and holders, in a fixed order
	holders map[deck.ModelName][]deck.BackendName
	part    map[place]float64
	load    map[deck.BackendName]float64
}

// A place is a model on an engine.
type place struct {
	model  deck.ModelName
	engine deck.BackendName
}

func newShares(engines []Engine, demand Demand) *shares {
	s := &shares{
		demand: demand, holders: make(map[deck.ModelName][]deck.BackendName), part: make(map[place]float64),
		load: make(map[deck.BackendName]float64, len(engines)),
	}
	for _, d := range demand {
		s.total += d
	}
	for _, e := range engines {
		for m := range e.Models {
			s.hold(m, e.ID)
		}
		if e.Loading != "" {
			s.hold(e.Loading, e.ID)
		}
	}
	slices.Sort(s.models)
	s.balance(firstSweeps)
	return s
}

// hold notes that the engine holds the model.
func (s *shares) hold(m deck.ModelName, e deck.BackendName) {
	if s.demand[m] > 0 && len(s.holders[m]) == 0 {
		s.models = append(s.models, m)
	}
	s.holders[m] = append(s.holders[m], e)
}

// add takes a further copy into account.
func (s *shares) add(m deck.ModelName, e deck.BackendName) {
	s.hold(m, e)
	s.split(m)
	s.balance(nextSweeps)
}

// remove takes away a copy.
func (s *shares) remove(m deck.ModelName, e deck.BackendName) {
	s.load[e] -= s.part[place{m, e}]
	delete(s.part, place{m, e})
	s.holders[m] = slices.DeleteFunc(s.holders[m], func(h deck.BackendName) bool { return h == e })
	s.split(m)
}

func (s *shares) balance(sweeps int) {
	for range sweeps {
		for _, m := range s.models {
			s.split(m)
		}
	}
}

// split divides one model's demand over its holders: those with the least other work are filled up to a common level.
func (s *shares) split(m deck.ModelName) {
	holders := s.holders[m]
	if len(holders) == 0 {
		return
	}
	for _, e := range holders {
		s.load[e] -= s.part[place{m, e}]
	}
	slices.SortFunc(holders, func(a, b deck.BackendName) int {
		return cmp.Or(cmp.Compare(s.load[a], s.load[b]), cmp.Compare(a, b))
	})
	level := s.fillLevel(holders, s.demand[m])
	for _, e := range holders {
		part := max(0, level-s.load[e])
		s.part[place{m, e}] = part
		s.load[e] += part
	}
}

// fillLevel returns the level up to which the demand fills the engines, which are ordered by their other work.
func (s *shares) fillLevel(holders []deck.BackendName, demand float64) float64 {
	sum := demand
	level := 0.0
	for i, e := range holders {
		sum += s.load[e]
		level = sum / float64(i+1)
		if i+1 == len(holders) || level <= s.load[holders[i+1]] {
			break
		}
	}
	return level
}

// level returns the work of the busiest engine that serves the model; it is infinite for a model that no engine holds.
func (s *shares) level(m deck.ModelName) float64 {
	if len(s.holders[m]) == 0 {
		return math.Inf(1)
	}
	most := 0.0
	for _, e := range s.holders[m] {
		if s.part[place{m, e}] > 0 {
			most = max(most, s.load[e])
		}
	}
	return most
}

// average returns the work of the average engine.
func (s *shares) average(engines int) float64 {
	return s.total / float64(max(1, engines))
}
