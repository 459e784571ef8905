package plan

import (
	"cmp"
	"maps"
	"slices"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Policy of replicas in free memory.
const (
	// maxFreeMemoryLoads bounds the replicas that one plan adds in free memory.
	maxFreeMemoryLoads = 2
	// minFreeMemoryRate is the slow demand of a replica, in tokens per second, that is worth a load.
	minFreeMemoryRate = 20
)

// fillFreeMemory adds replicas of the models with most slow demand per replica in memory that nothing else needs. They are in place
// when demand rises, and each load is paid once, because nothing has to go for it.
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
