package assign

import (
	"cmp"
	"slices"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A victim is a model that may be evicted from an engine.
type victim struct {
	model     deck.ModelName
	megabytes float64 // with its adapters
	work      float64
	rank      float64 // the least is evicted first
}

// victims returns the models to evict so that the engine has room for the megabytes: one if that is enough, otherwise several,
// those with the least work among the allowed ones. work is their sum.
func (p *planner) victims(
	e Engine, megabytes float64, allowed func(deck.ModelName) bool, workOf func(deck.ModelName) float64,
) (models []deck.ModelName, work float64, ok bool) {
	missing := megabytes - p.free[e.ID]
	var candidates []victim
	for m := range e.Models {
		if !allowed(m) {
			continue
		}
		v := victim{model: m, megabytes: p.size[m] + e.AdapterMegabytes[m], work: workOf(m)}
		v.rank = v.work
		if p.readyCopies[m] == 1 {
			v.rank += idleDemand // prefer to evict models that have other copies
		}
		candidates = append(candidates, v)
	}
	slices.SortFunc(candidates, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.model, b.model))
	})
	chosen := leastVictims(candidates, missing)
	for _, v := range chosen {
		models = append(models, v.model)
		work += v.work
	}
	return models, work, len(chosen) > 0
}

// leastVictims returns the candidates of the least total rank that free the missing megabytes: one alone, or several of the first
// in their order. It returns none if all together don't free enough.
func leastVictims(candidates []victim, missing float64) []victim {
	var several []victim
	freed, rank := 0.0, 0.0
	for _, v := range candidates {
		if freed >= missing {
			break
		}
		several = append(several, v)
		freed += v.megabytes
		rank += v.rank
	}
	if freed < missing {
		return nil
	}
	several = slices.DeleteFunc(several, func(v victim) bool {
		superfluous := freed-v.megabytes >= missing
		if superfluous {
			freed -= v.megabytes
			rank -= v.rank
		}
		return superfluous
	})
	single := slices.IndexFunc(candidates, func(v victim) bool { return v.megabytes >= missing })
	if single >= 0 && candidates[single].rank <= rank {
		return candidates[single : single+1]
	}
	return several
}

// relocate prepares the load of a model that no engine holds and that fits nowhere: it loads the only copies that occupy an
// engine's memory on other engines as well, so that they can be evicted once the new copies are ready.
func (p *planner) relocate() {
	for _, m := range p.spec.Models {
		if p.storeLoads <= reservedStoreLoads {
			return
		}
		if p.copies[m.Name] > 0 || p.evictable[m.Name] || p.freePlaces(m.Megabytes) > 0 {
			continue
		}
		if moves := p.leastMoves(m); len(moves) > 0 {
			p.addMoves(moves)
		}
	}
}

// A move is a model and another engine that has room for it.
type move struct {
	model deck.ModelName
	to    Engine
}

// leastMoves returns the fewest moves after which one engine can make room for the model. It returns none if no moves help, or
// if the copies that the model waits for are already being loaded.
func (p *planner) leastMoves(m deck.EngineModel) []move {
	var best []move
	found := false
	for _, e := range p.engines {
		if m.Megabytes > e.CapacityMegabytes || p.planned[e.ID] || e.Loading != "" {
			continue
		}
		if moves, ok := p.movesFrom(e, m.Megabytes); ok && (!found || len(moves) < len(best)) {
			best, found = moves, true
		}
	}
	return best
}

// movesFrom returns the moves after which the engine can free the megabytes, or false if there are none. Models with other copies
// need no move.
func (p *planner) movesFrom(e Engine, megabytes float64) (moves []move, ok bool) {
	free := p.free[e.ID]
	var sole []deck.ModelName
	for m := range e.Models {
		if p.copies[m] > 1 || p.evictable[m] {
			free += p.size[m] + e.AdapterMegabytes[m]
		} else {
			sole = append(sole, m)
		}
	}
	slices.SortFunc(sole, func(a, b deck.ModelName) int {
		return cmp.Or(cmp.Compare(p.recent.demand[a], p.recent.demand[b]), cmp.Compare(a, b))
	})
	taken := make(map[deck.BackendName]float64)
	for _, m := range sole {
		if free >= megabytes {
			break
		}
		if to, found := p.engineWithRoom(e, m, taken); found {
			taken[to.ID] += p.size[m]
			moves = append(moves, move{m, to})
			free += p.size[m] + e.AdapterMegabytes[m]
		}
	}
	return moves, free >= megabytes
}

// engineWithRoom returns the engine with the least sufficient room for a model of the engine from.
func (p *planner) engineWithRoom(from Engine, m deck.ModelName, taken map[deck.BackendName]float64) (best Engine, ok bool) {
	for _, e := range p.engines {
		free := p.free[e.ID] - taken[e.ID]
		if e.ID == from.ID || !e.Available || p.planned[e.ID] || taken[e.ID] > 0 || e.Models[m] || free < p.size[m] {
			continue
		}
		if !ok || free < p.free[best.ID] {
			best, ok = e, true
		}
	}
	return best, ok
}

// addMoves adds the loads of the moves to the plan, as far as the weight store allows.
func (p *planner) addMoves(moves []move) {
	for _, v := range moves {
		if !v.to.Cached[v.model] && p.storeLoads <= 0 {
			return
		}
		m := deck.EngineModel{Name: v.model, Megabytes: p.size[v.model]}
		p.addCopy(p.loadAction(v.to, m), m)
	}
}
