package plan

import (
	"cmp"
	"maps"
	"slices"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Limits of the replicas added in free memory.
const (
	// maxFreeMemoryLoads bounds the replicas that one plan adds in free memory.
	maxFreeMemoryLoads = 2
	// minFreeMemoryRate is the slow demand per replica, in tokens per second, from which a load is worthwhile.
	minFreeMemoryRate = 20
)

// fillFreeMemory uses otherwise free memory for further replicas of the models with the most slow demand per replica. They
// are ready when demand rises, and each costs only its own load because nothing is evicted for it.
func (p *packing) fillFreeMemory() {
	if len(p.in.Demand) == 0 {
		return
	}
	share := func(m deck.ModelName) float64 { return p.demand(m).slow / float64(max(1, p.replicaCount[m])) }
	models := slices.DeleteFunc(slices.Sorted(maps.Keys(p.in.Demand)), func(m deck.ModelName) bool {
		return p.replicaCount[m] == 0 || share(m) < minFreeMemoryRate
	})
	slices.SortStableFunc(models, func(a, b deck.ModelName) int { return cmp.Compare(share(b), share(a)) })
	added := 0
	for _, m := range models {
		if added == maxFreeMemoryLoads {
			return
		}
		if i := p.engineSet.worstFit(p.byModel[m]); i >= 0 && !p.in.Avoid[ReplicaID{p.engineSet.engines[i].backend.Name, m}] {
			p.engineSet.addTo(i, p.byModel[m])
			p.replicaCount[m]++
			added++
		}
	}
}
