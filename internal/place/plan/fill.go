package plan

import (
	"cmp"
	"maps"
	"slices"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Policy of replicas in free memory.
const (
	// maxFills bounds the replicas that one plan adds in free memory.
	maxFills = 2
	// minFillRate is the slow demand of a replica, in tokens per second, that is worth a load.
	minFillRate = 20
)

// fill adds replicas of the models with most slow demand per replica in memory that nothing else needs. They are in place
// when demand rises, and each load is paid once, because nothing has to go for it.
func (p *packing) fill() {
	if len(p.in.Demand) == 0 {
		return
	}
	share := func(m deck.ModelName) float64 { return p.demand(m).slow / float64(max(1, p.count[m])) }
	models := slices.DeleteFunc(slices.Sorted(maps.Keys(p.in.Demand)), func(m deck.ModelName) bool {
		return p.count[m] == 0 || share(m) < minFillRate
	})
	slices.SortStableFunc(models, func(a, b deck.ModelName) int { return cmp.Compare(share(b), share(a)) })
	added := 0
	for _, m := range models {
		if added == maxFills {
			return
		}
		if i := p.shelf.roomiest(p.all[m]); i >= 0 && !p.in.Avoid[Place{p.shelf.slots[i].backend.Name, m}] {
			p.shelf.putAt(i, p.all[m])
			p.count[m]++
			added++
		}
	}
}
