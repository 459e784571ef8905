package plan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Policy of replicas for demand. The figures behind the constants are in the commit messages of package
// internal/measure/placement.
const (
	// MinResidence keeps two engines from passing a model back and forth.
	MinResidence = 2 * time.Minute
	// DefaultRate is the token rate of one accelerator at full batches.
	DefaultRate = 540
	// knee is the utilisation above which first tokens are late.
	knee = 0.7
	// horizon is the time over which a move must pay.
	horizon = 600
	// burst is the part of the horizon, in seconds, for which demand above the slow estimate is expected to last.
	burst = 30
	// storeBytesPerSecond is the rate at which one load reads weights.
	storeBytesPerSecond = 8 * float64(deck.GiB)
	// coldSeconds is the time for which a new replica computes prompts that another engine has cached.
	coldSeconds = 2
	// storeWeight is the share of an engine's rate that a second of the weight store is worth.
	storeWeight = 3.0
	// maxAdditions bounds the replicas that one plan adds, and with them its time.
	maxAdditions = 8
)

// load is the demand of a slot's models in tokens per second.
type load struct {
	wanted float64
	slow   float64
}

func (l load) plus(o load, factor float64) load {
	return load{l.wanted + factor*o.wanted, l.slow + factor*o.slow}
}

// loss returns the tokens that the slot serves late over the horizon.
func (s *slot) loss(l load) float64 {
	limit := knee * s.rate
	return burst*max(0, l.wanted-limit) + (horizon-burst)*max(0, l.slow-limit)
}

func (s *slot) utilisation() float64 {
	if s.rate == 0 {
		return 0
	}
	return s.load.wanted / s.rate
}

func (p *packing) demand(m deck.ModelName) load {
	r := p.in.Demand[m]
	return load{wanted: r.Wanted(), slow: r.Slow}
}

// spread computes the load of each slot with the demand of a model divided evenly over its replicas.
func (p *packing) spread() {
	p.places = make(map[deck.ModelName][]int, len(p.all))
	for i, s := range p.shelf.slots {
		s.load = load{}
		for m := range s.held {
			p.places[m] = append(p.places[m], i)
		}
	}
	for _, m := range slices.Sorted(maps.Keys(p.places)) { // in a fixed order, since sums of floats depend on it
		p.share(m, 1)
	}
}

// balance adds replicas of the models on the most loaded engines while that gains more than it costs.
func (p *packing) balance() {
	if len(p.in.Demand) == 0 {
		return
	}
	p.spread()
	closed := make(map[int]bool)
	for added := 0; added < maxAdditions; {
		hot := p.hottest(closed)
		if hot < 0 {
			return
		}
		if p.relieve(hot) {
			added++
			continue
		}
		closed[hot] = true
	}
}

func (p *packing) hottest(closed map[int]bool) int {
	best := -1
	for i, s := range p.shelf.slots {
		if closed[i] || s.utilisation() <= knee {
			continue
		}
		if best < 0 || s.utilisation() > p.shelf.slots[best].utilisation() {
			best = i
		}
	}
	return best
}

// relieve adds a replica of one of the slot's models elsewhere; it returns false if none gains more than it costs.
func (p *packing) relieve(hot int) bool {
	models := p.byShare(p.shelf.slots[hot])
	cool := p.coolest()
	var best addition
	for _, m := range models[:min(len(models), 4)] {
		for _, i := range cool {
			if a, ok := p.consider(m, i); ok && a.gain > best.gain {
				best = a
			}
		}
	}
	if best.gain <= 0 {
		return false
	}
	for _, m := range best.evicted {
		p.drop(best.slot, m)
	}
	p.shelf.putAt(best.slot, p.all[best.model])
	p.count[best.model]++
	p.spreadModels(append(best.evicted, best.model))
	return true
}

// spreadModels recomputes the loads after the places of some models changed.
func (p *packing) spreadModels(models []deck.ModelName) {
	for _, m := range models {
		p.share(m, -1)
		p.places[m] = p.places[m][:0]
	}
	for i, s := range p.shelf.slots {
		for _, m := range models {
			if s.held[m] {
				p.places[m] = append(p.places[m], i)
			}
		}
	}
	for _, m := range models {
		p.share(m, 1)
	}
}

func (p *packing) share(m deck.ModelName, sign float64) {
	at := p.places[m]
	for _, i := range at {
		s := p.shelf.slots[i]
		s.load = s.load.plus(p.demand(m), sign/float64(len(at)))
	}
}

// byShare returns the slot's models, those with the largest demand per replica first.
func (p *packing) byShare(s *slot) []deck.ModelName {
	out := sortedKeys(s.held)
	share := func(m deck.ModelName) float64 { return p.demand(m).wanted / float64(max(1, len(p.places[m]))) }
	slices.SortStableFunc(out, func(a, b deck.ModelName) int { return cmp.Compare(share(b), share(a)) })
	return out
}

// coolest returns the few slots with the least utilisation.
func (p *packing) coolest() []int {
	const few = 6
	var out []int
	for i := range p.shelf.slots {
		at, _ := slices.BinarySearchFunc(out, i, func(a, b int) int {
			return cmp.Compare(p.shelf.slots[a].utilisation(), p.shelf.slots[b].utilisation())
		})
		if at < few {
			out = slices.Insert(out, at, i)
			out = out[:min(len(out), few)]
		}
	}
	return out
}

// An addition is a further replica with the replicas that make room for it.
type addition struct {
	model   deck.ModelName
	slot    int
	evicted []deck.ModelName
	gain    float64 // tokens over the horizon, less the cost
}

// consider returns the addition of a replica on the slot; ok is false if the slot can't hold it.
func (p *packing) consider(m deck.ModelName, i int) (a addition, ok bool) {
	s, n := p.shelf.slots[i], p.all[m]
	if s.held[m] || p.in.Avoid[Place{s.backend.Name, m}] {
		return a, false
	}
	a = addition{model: m, slot: i}
	if !s.fits(n) {
		if a.evicted, ok = p.room(s, n); !ok {
			return a, false
		}
	}
	a.gain = p.gain(a) - p.cost(a)
	return a, true
}

// room returns the replicas with the least demand that can go so that the need fits. Only replicas that have another
// place and the minimum residence may go.
func (p *packing) room(s *slot, n need) ([]deck.ModelName, bool) {
	models := p.byShare(s)
	slices.Reverse(models)
	free := s.capacity - s.used - max(s.peak, n.transient)
	var out []deck.ModelName
	for _, m := range models {
		if free >= n.resident {
			break
		}
		if p.evictable(s.backend.Name, m) {
			out = append(out, m)
			free += p.all[m].resident
		}
	}
	return out, free >= n.resident
}

func (p *packing) evictable(b deck.BackendName, m deck.ModelName) bool {
	least := 0
	if p.in.Homes.In(m, p.in.DataCentre) {
		least = p.all[m].replicas
	}
	if p.count[m] <= max(1, least) {
		return false
	}
	for _, c := range p.current[m] {
		if c.Backend == b {
			return !c.Since.IsZero() && p.in.Now.Sub(c.Since) >= MinResidence
		}
	}
	return false // planned, but not loaded yet
}

func (p *packing) drop(i int, m deck.ModelName) {
	s := p.shelf.slots[i]
	delete(s.held, m)
	s.used -= p.all[m].resident
	p.shelf.update(i)
	p.count[m]--
}

// gain returns the tokens that the addition serves in time over the horizon.
func (p *packing) gain(a addition) float64 {
	change := make(map[int]load)
	p.shift(change, a.model, a.slot, 1)
	for _, m := range a.evicted {
		p.shift(change, m, a.slot, -1)
	}
	var gain float64
	for _, i := range slices.Sorted(maps.Keys(change)) {
		s := p.shelf.slots[i]
		gain += s.loss(s.load) - s.loss(s.load.plus(change[i], 1))
	}
	return gain
}

// shift adds the change of each slot's load when the model gains (1) or loses (-1) a replica on the slot.
func (p *packing) shift(change map[int]load, m deck.ModelName, slot, by int) {
	d := p.demand(m)
	before, after := float64(len(p.places[m])), float64(len(p.places[m])+by)
	for _, i := range p.places[m] {
		if i != slot {
			change[i] = change[i].plus(d, 1/after-1/before)
		}
	}
	if by > 0 {
		change[slot] = change[slot].plus(d, 1/after)
	} else {
		change[slot] = change[slot].plus(d, -1/before)
	}
}

// cost returns the tokens that the load is worth: the weight store's time and the cold prefix cache.
func (p *packing) cost(a addition) float64 {
	s := p.shelf.slots[a.slot]
	seconds := float64(p.all[a.model].weight) / storeBytesPerSecond
	share := p.demand(a.model).wanted / float64(len(p.places[a.model])+1)
	return storeWeight*seconds*s.rate + coldSeconds*share
}
