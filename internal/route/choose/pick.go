package choose

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// staleReport is 5 polling intervals; an older report says nothing about the present load.
	staleReport = 10 * time.Second
	// affinityLoadBound is how far above the mean load a server with a cached prefix may be and still be preferred.
	affinityLoadBound = 1.25
	// affinityMinHit is the least cached share of a prompt that is worth a detour.
	affinityMinHit = 0.25
	// affinityGain is the share of a request's cost that a fully cached prompt saves.
	affinityGain = 0.5
	// Bounds of the latency factor; a single odd sample must neither attract nor repel all work.
	minLatencyFactor = 0.7
	maxLatencyFactor = 4.0
)

// A Need is what an attempt requires of the choice.
type Need struct {
	Adapter  bool     // an adapter must be present
	Farthest Distance // farther servers are used only if there is no nearer one at all
	Probe    bool     // the request may be used to try a server of reduced weight
	Forced   bool     // a server without room is acceptable
}

// Pick returns the index of the candidate for the next attempt; ok is false if none has room.
func Pick(cs []Candidate, need Need, rnd deck.Rand) (index int, ok bool) {
	pool := eligible(cs, need)
	if len(pool) == 0 {
		return 0, false
	}
	if i, found := probe(cs, pool, need); found {
		return i, true
	}
	a := draw(cs, pool, rnd)
	b := draw(cs, pool, rnd)
	if a == b && len(pool) > 1 {
		b = pool[(position(pool, a)+1+rnd.IntN(len(pool)-1))%len(pool)]
		if cs[b].Weight < rnd.Float64() {
			b = a
		}
	}
	s := newScorer(cs, pool)
	best := a
	if s.cost(cs[b]) < s.cost(cs[a]) {
		best = b
	}
	return s.withAffinity(cs, pool, best), true
}

// eligible returns the indices of the usable candidates of the nearest allowed distance.
func eligible(cs []Candidate, need Need) []int {
	for _, strict := range []bool{true, false} {
		pool, exists := tiers(cs, need, strict)
		if exists {
			return pool
		}
	}
	return nil
}

// tiers returns the nearest distance's candidates with room; exists reports whether a usable candidate exists at all.
func tiers(cs []Candidate, need Need, strict bool) (pool []int, exists bool) {
	for d := SameDataCentre; d < distances; d++ {
		if exists && d > need.Farthest {
			return nil, true
		}
		for i, c := range cs {
			if c.Distance != d || !usable(c, need, strict) {
				continue
			}
			exists = true
			if c.Room > 0 || need.Forced {
				pool = append(pool, i)
			}
		}
		if len(pool) > 0 {
			return pool, true
		}
	}
	return nil, exists
}

func usable(c Candidate, need Need, strict bool) bool {
	if need.Adapter && !c.HasAdapter {
		return false
	}
	return !strict || (!c.Down && !c.Avoid)
}

func probe(cs []Candidate, pool []int, need Need) (int, bool) {
	if !need.Probe {
		return 0, false
	}
	for _, i := range pool {
		if cs[i].ProbeDue {
			return i, true
		}
	}
	return 0, false
}

// draw returns a candidate at random in proportion to the weights.
func draw(cs []Candidate, pool []int, rnd deck.Rand) int {
	total := 0.0
	for _, i := range pool {
		total += cs[i].Weight
	}
	x := rnd.Float64() * total
	for _, i := range pool {
		x -= cs[i].Weight
		if x < 0 {
			return i
		}
	}
	return pool[len(pool)-1]
}

func position(pool []int, index int) int {
	for p, i := range pool {
		if i == index {
			return p
		}
	}
	return 0
}
