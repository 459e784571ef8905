package choose

import (
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// maxReportAge is 5 polling intervals; an older report says nothing about the present load.
	maxReportAge = 10 * time.Second
	// affinityBound is the largest load and the largest latency factor, relative to the mean, at which a server with a cached
	// prefix is preferred.
	affinityBound = 1.25
	// affinityMinHit is the least additional share of the prompt that must be cached for a server to be preferred.
	affinityMinHit = 0.25
	// affinityGain is the share of a request's cost that a fully cached prompt saves.
	affinityGain = 0.5
	// spillShare is the load of a farther server, relative to the least loaded near one, below which work spills over to it.
	// Between equally loaded data centres an exchange of work wastes traffic and cached prefixes.
	spillShare = 0.8
	// earlySpillShare replaces spillShare while a wait for a near server would still meet the deadline. It is lower because
	// reports lag: from 0.6 on, overloaded data centres exchange work, and goodput at 1.5 times capacity falls below that at
	// 1.0.
	earlySpillShare = 0.5
	// healthyWeight is the least weight, and healthyGap the longest time between tokens, of a near server that keeps work from
	// farther ones. The weight alone is not enough: the only server of a model has no peers to be compared with, but a wait
	// for it is not worthwhile if it misses the 47 ms between tokens that users need.
	healthyWeight = 0.5
	healthyGap    = 47 * time.Millisecond
	// Bounds of the latency factor, so that a single outlier neither attracts nor repels all work.
	minLatencyFactor = 0.7
	maxLatencyFactor = 4.0
)

// Requirements holds the requirements and permissions of an attempt for the choice of a server.
type Requirements struct {
	Adapter  bool     // the server must hold the request's adapter
	Farthest Distance // servers beyond it are used only if there is no healthy nearer one
	MayWait  bool     // the deadline allows a wait, so a farther server is used only if it has much less work
	Probe    bool     // the request may probe a server of reduced weight
	Forced   bool     // a server without room is acceptable
}

// Pick returns the index of the candidate for the next attempt; ok is false if none has room.
func Pick(cs []Candidate, req Requirements, rnd deck.Rand) (index int, ok bool) {
	pool := eligible(cs, req)
	if len(pool) == 0 {
		return 0, false
	}
	if i, found := dueProbe(cs, pool, req); found {
		return i, true
	}
	a := draw(cs, pool, -1, rnd)
	b := a
	if len(pool) > 1 {
		b = draw(cs, pool, a, rnd)
	}
	s := newScorer(cs, pool)
	best := a
	if s.cost(cs[b]) < s.cost(cs[a]) {
		best = b
	}
	return s.withAffinity(cs, pool, best), true
}

// eligible returns the indices of the candidates to draw from. Those that are down or to be avoided are included only if no
// other candidate is usable.
func eligible(cs []Candidate, req Requirements) []int {
	for _, strict := range []bool{true, false} {
		pool, exists := nearestTiers(cs, req, strict)
		if exists {
			return pool
		}
	}
	return nil
}

// nearestTiers returns the indices of the candidates with room, nearest distance first, up to the first distance that has a
// healthy one; exists reports whether there is a usable candidate at all. A slow server does not keep work from farther
// ones, since a wait for it costs more than the traffic.
func nearestTiers(cs []Candidate, req Requirements, strict bool) (pool []int, exists bool) {
	nearLoad := noServerLoad
	spills := Load.worthSpill
	if req.MayWait && !localServerSlow(cs) {
		spills = Load.worthEarlySpill
	}
	for d := SameDataCentre; d < numDistances; d++ {
		if nearLoad != noServerLoad && (d > req.Farthest || anyHealthy(cs, pool)) {
			break
		}
		bound := nearLoad
		for i, c := range cs {
			if c.Distance != d || !usable(c, req, strict) {
				continue
			}
			exists = true
			if healthy(c) {
				nearLoad = min(nearLoad, c.Load.knownTotal())
			}
			if (c.Room > 0 || req.Forced) && spills(c.Load, bound) && !waitIsCheaper(cs, c, req) {
				pool = append(pool, i)
			}
		}
	}
	return pool, exists
}

// waitIsCheaper reports whether a server in another data centre is so slow that a wait for a healthy one at the same distance
// costs less.
func waitIsCheaper(cs []Candidate, c Candidate, req Requirements) bool {
	slow := c.Weight < healthyWeight && c.Gap > healthyGap
	if !req.MayWait || !slow || c.ProbeDue || c.Distance == SameDataCentre {
		return false
	}
	return slices.ContainsFunc(cs, func(o Candidate) bool {
		return o.Distance == c.Distance && healthy(o) && usable(o, req, true)
	})
}

func anyHealthy(cs []Candidate, pool []int) bool {
	for _, i := range pool {
		if healthy(cs[i]) {
			return true
		}
	}
	return false
}

// localServerSlow reports whether a server in the VM's own data centre has a reduced weight. The others take over its work and
// are full for as long as it is slow. The time between tokens does not count: under overload it is long everywhere, and an
// exchange of work between data centres then costs goodput.
func localServerSlow(cs []Candidate) bool {
	return slices.ContainsFunc(cs, func(c Candidate) bool {
		return c.Distance == SameDataCentre && c.Weight < healthyWeight
	})
}

// healthy reports whether the server is fast enough to be worth a wait.
func healthy(c Candidate) bool {
	return c.Weight >= healthyWeight && c.Gap <= healthyGap
}

func usable(c Candidate, req Requirements, strict bool) bool {
	if req.Adapter && !c.HasAdapter {
		return false
	}
	return !strict || (!c.Down && !c.Avoid)
}

func dueProbe(cs []Candidate, pool []int, req Requirements) (int, bool) {
	if !req.Probe {
		return 0, false
	}
	for _, i := range pool {
		if cs[i].ProbeDue {
			return i, true
		}
	}
	return 0, false
}

// draw returns the index of a random candidate other than except, in proportion to the weights.
func draw(cs []Candidate, pool []int, except int, rnd deck.Rand) int {
	total := 0.0
	for _, i := range pool {
		if i != except {
			total += cs[i].Weight
		}
	}
	x := rnd.Float64() * total
	last := 0
	for _, i := range pool {
		if i == except {
			continue
		}
		x -= cs[i].Weight
		last = i
		if x < 0 {
			break
		}
	}
	return last
}
