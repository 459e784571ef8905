package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/execute"
)

// A productionPolicy runs the production placement controller, as the placement leader of each data centre does.
type productionPolicy struct {
	controllers map[deck.DataCentre]*execute.Controller
}

func (p *productionPolicy) place(s *simulation, now time.Time) {
	if p.controllers == nil {
		p.controllers = make(map[deck.DataCentre]*execute.Controller)
	}
	for i := range s.dep.dataCentres {
		dc := dataCentreName(i)
		c, ok := p.controllers[dc]
		if !ok {
			c = execute.NewController(dc)
			p.controllers[dc] = c
		}
		p.stepController(s, dc, c, now)
	}
}

func (p *productionPolicy) stepController(s *simulation, dc deck.DataCentre, c *execute.Controller, now time.Time) {
	byName := make(map[deck.BackendName]*engine)
	for _, e := range s.enginesIn(dc) {
		byName[e.backend.Name] = e
	}
	out := c.Step(execute.Input{
		Now:              now,
		Lease:            deck.PlacementLease{DataCentre: dc, Holder: "vm", FencingToken: 1, Expires: now.Add(time.Hour)},
		Held:             true,
		State:            s.state,
		LoadLimit:        max(1, s.dep.concurrentLoads/s.dep.dataCentres),
		AdapterLoadLimit: 8,
		Demand:           s.estimates[dc].Rates(now),
		TokensPerSecond:  acceleratorTokensPerSecond,
	})
	for _, send := range out.Sends {
		byName[send.Backend.Name].apply(send.Operation, now)
		c.RecordResult(send.Backend.Name, send.Operation, deck.OperationResult{Outcome: deck.OutcomeDone}, now)
	}
	for _, b := range out.Reports {
		c.RecordReport(b.Name, byName[b.Name].report(now), now)
	}
}

// A greedyPolicy adds replicas to the least loaded engine at every step for as long as that lowers the load of the most loaded
// one.
type greedyPolicy struct{}

func (greedyPolicy) place(s *simulation, now time.Time) {
	for i := range s.dep.dataCentres {
		dc := dataCentreName(i)
		engines := s.enginesIn(dc)
		rates := s.estimates[dc].Rates(now)
		demandRates := make(map[deck.ModelName]float64, len(rates))
		for m, r := range rates {
			demandRates[m] = r.Fast
		}
		for countLoading(engines, now) < max(1, s.dep.concurrentLoads/s.dep.dataCentres) {
			if !greedyMove(s, engines, demandRates, now) {
				break
			}
		}
	}
}

// greedyMove loads a replica of the most loaded engine's busiest model on the least loaded engine, where replicas with the least
// demand are evicted if necessary. It returns false without a load if that would not lower the highest load.
func greedyMove(s *simulation, engines []*engine, demandRates map[deck.ModelName]float64, now time.Time) bool {
	replicaCount := make(map[deck.ModelName]int)
	for _, e := range engines {
		for m := range e.replicas {
			replicaCount[m]++
		}
	}
	demandPerReplica := func(m deck.ModelName) float64 { return demandRates[m] / float64(max(1, replicaCount[m])) }
	demand := func(e *engine) float64 {
		var total float64
		for _, m := range sortedModels(e) {
			total += demandPerReplica(m)
		}
		return total
	}
	byLoad := slices.Clone(engines)
	slices.SortStableFunc(byLoad, func(a, b *engine) int { return cmp.Compare(demand(a), demand(b)) })
	busiest, idlest := byLoad[len(byLoad)-1], byLoad[0]
	models := sortedModels(busiest)
	slices.SortStableFunc(models, func(a, b deck.ModelName) int { return cmp.Compare(demandPerReplica(b), demandPerReplica(a)) })
	for _, m := range models {
		if idlest.replicas[m] != nil {
			continue
		}
		after := demandRates[m] / float64(replicaCount[m]+1)
		if demand(idlest)+after >= demand(busiest) || after < 1 {
			return false
		}
		return loadWithEviction(s, idlest, m, replicaCount, demandPerReplica, now)
	}
	return false
}

func loadWithEviction(
	s *simulation, e *engine, m deck.ModelName, replicaCount map[deck.ModelName]int,
	demandPerReplica func(deck.ModelName) float64, now time.Time,
) bool {
	op := s.operation(deck.OpLoadModel, m)
	need := op.ResidentBytes + op.TransientBytes
	free := e.backend.MemoryBytes() - e.report(now).UsedBytes
	models := sortedModels(e)
	slices.SortStableFunc(models, func(a, b deck.ModelName) int { return cmp.Compare(demandPerReplica(a), demandPerReplica(b)) })
	var evicted []deck.ModelName
	for _, victim := range models {
		if free < need && replicaCount[victim] > 1 && e.isReady(victim, now) {
			evicted = append(evicted, victim)
			free += e.replicas[victim].op.ResidentBytes
		}
	}
	if free < need {
		return false
	}
	for _, victim := range evicted {
		e.apply(s.operation(deck.OpUnloadModel, victim), now)
	}
	e.apply(op, now)
	return true
}

// A staticPolicy gives each model replicas in proportion to its mean demand before the start and changes nothing after that.
type staticPolicy struct{ done bool }

func (p *staticPolicy) place(s *simulation, now time.Time) {
	if p.done {
		return
	}
	p.done = true
	replicas := make([]int, len(s.modelNames))
	for i := range replicas {
		replicas[i] = 1
	}
	for range len(s.modelNames) * len(s.engines) {
		best := 0
		for i := range replicas {
			if s.modelRates[i]/float64(replicas[i]) > s.modelRates[best]/float64(replicas[best]) {
				best = i
			}
		}
		replicas[best]++
		if !loadOnEmptiest(s, s.modelNames[best], now) {
			replicas[best] = 1 << 20 // no engine has room for another replica
		}
	}
}

func loadOnEmptiest(s *simulation, m deck.ModelName, now time.Time) bool {
	op := s.operation(deck.OpLoadModel, m)
	var best *engine
	for _, e := range s.engines {
		fits := e.backend.MemoryBytes()-e.report(now).UsedBytes >= op.ResidentBytes+op.TransientBytes
		if fits && e.replicas[m] == nil && (best == nil || e.report(now).UsedBytes < best.report(now).UsedBytes) {
			best = e
		}
	}
	if best == nil {
		return false
	}
	best.apply(op, now.Add(-time.Hour))
	return true
}
