package plan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A Placement is a replica that an engine holds.
type Placement struct {
	Backend deck.BackendName
	Model   deck.ModelName
	Since   time.Time // when it became ready; zero while it is loading
}

// An Input is all that a local plan depends on.
type Input struct {
	State       deck.State
	DataCentre  deck.DataCentre
	Homes       Homes
	Leaving     map[deck.BackendName]bool       // servers that leave, beside those that the state marks
	Current     []Placement                     // ordered by backend server and model
	Avoid       map[ReplicaID]bool              // places that were given up to make room
	Unavailable map[deck.BackendName]deck.Bytes // memory that can't be used for models
	Demand      map[deck.ModelName]Rates
	Rate        float64 // tokens per second of one accelerator; 0 stands for DefaultTokensPerSecond
	Now         time.Time
}

// A ReplicaID is a model on a backend server.
type ReplicaID struct {
	Backend deck.BackendName
	Model   deck.ModelName
}

// A Target says which models each engine of a data centre is to hold.
type Target struct {
	models  map[deck.BackendName][]deck.ModelName
	missing []deck.ModelName
}

// Models returns the models that the engine is to hold, ordered by name.
func (t Target) Models(b deck.BackendName) []deck.ModelName {
	return t.models[b]
}

// Includes reports whether the engine is to hold the model.
func (t Target) Includes(b deck.BackendName, m deck.ModelName) bool {
	_, ok := slices.BinarySearch(t.models[b], m)
	return ok
}

// Missing returns the home models without room on any engine.
func (t Target) Missing() []deck.ModelName {
	return t.missing
}

// Local computes the target of one data centre.
func Local(in Input) Target {
	footprints, err := computeFootprints(in.State)
	if err != nil {
		return Target{}
	}
	p := newPacking(in, footprints)
	p.keepCurrent()
	if !p.placeMissing() {
		p = newPacking(in, footprints)
		p.repack()
	}
	p.keepSurplus()
	p.balance()
	p.fillFreeMemory()
	return p.target()
}

// A packing is a local plan under construction.
type packing struct {
	in           Input
	footprints   []footprint // home models, largest first
	byModel      map[deck.ModelName]footprint
	engineSet    *engineSet
	engineIndex  map[deck.BackendName]int
	replicaCount map[deck.ModelName]int
	current      map[deck.ModelName][]Placement
	holders      map[deck.ModelName][]int // slots that hold the model, while replicas are added
	missing      []deck.ModelName
}

func newPacking(in Input, footprints []footprint) *packing {
	p := &packing{
		in:           in,
		byModel:      make(map[deck.ModelName]footprint, len(footprints)),
		engineIndex:  make(map[deck.BackendName]int),
		replicaCount: make(map[deck.ModelName]int),
		current:      make(map[deck.ModelName][]Placement),
	}
	for _, f := range footprints {
		p.byModel[f.model] = f
		if in.Homes.In(f.model, in.DataCentre) {
			p.footprints = append(p.footprints, f)
		}
	}
	p.engineSet = newEngineSet(p.stayingEngines())
	for i, e := range p.engineSet.engines {
		p.engineIndex[e.backend.Name] = i
		e.capacity -= in.Unavailable[e.backend.Name]
		p.engineSet.updateSlack(i)
		e.rate = cmp.Or(in.Rate, DefaultTokensPerSecond) * float64(e.backend.Accelerators)
	}
	for _, c := range in.Current {
		p.current[c.Model] = append(p.current[c.Model], c)
	}
	for _, cs := range p.current {
		slices.SortStableFunc(cs, func(a, b Placement) int { return compareReadySince(a.Since, b.Since) })
	}
	return p
}

// compareReadySince orders ready replicas by age and puts loading ones last.
func compareReadySince(a, b time.Time) int {
	if a.IsZero() != b.IsZero() {
		if a.IsZero() {
			return 1
		}
		return -1
	}
	return a.Compare(b)
}

func (p *packing) stayingEngines() []deck.BackendServer {
	var out []deck.BackendServer
	for _, b := range p.in.State.BackendServers() {
		if b.Kind == deck.EngineBackend && b.DataCentre == p.in.DataCentre && !b.Leaving && !p.in.Leaving[b.Name] {
			out = append(out, b)
		}
	}
	return out
}

// keepCurrent leaves the replicas of home models where they are, the oldest first, up to the number that each needs.
func (p *packing) keepCurrent() {
	for _, f := range p.footprints {
		for _, c := range p.current[f.model] {
			if p.replicaCount[f.model] < f.replicas {
				p.tryAdd(c.Backend, f)
			}
		}
	}
}

func (p *packing) tryAdd(b deck.BackendName, f footprint) {
	if i, ok := p.engineIndex[b]; ok && !p.in.Avoid[ReplicaID{b, f.model}] && p.engineSet.engines[i].fits(f) {
		p.engineSet.addTo(i, f)
		p.replicaCount[f.model]++
	}
}

// placeMissing places the home models that have no place yet on the engines with most room; it returns false if one has none.
func (p *packing) placeMissing() bool {
	for _, f := range p.footprints {
		for p.replicaCount[f.model] < f.replicas {
			i := p.engineSet.worstFit(f)
			if i < 0 {
				break
			}
			p.engineSet.addTo(i, f)
			p.replicaCount[f.model]++
		}
		if p.replicaCount[f.model] == 0 {
			return false
		}
	}
	return true
}

// repack fills the engines in the order in which Assign proved that the home models fit.
func (p *packing) repack() {
	spare := -1
	for pass := range 2 {
		if pass == 1 {
			spare = p.reserveSpare()
		}
		for _, f := range p.footprints {
			if home := p.in.Homes.Of(f.model); pass >= len(home) || home[pass] != p.in.DataCentre {
				continue
			}
			for range f.replicas {
				if p.engineSet.placeFirstFit(f) >= 0 {
					p.replicaCount[f.model]++
				}
			}
			if p.replicaCount[f.model] == 0 {
				p.missing = append(p.missing, f.model)
			}
		}
	}
	if spare >= 0 { // further replicas may use it, since they can go at any time
		p.remove(spare, spareModel)
	}
}

// reserveSpare sets memory for the largest home model aside before second homes take it, as Assign does, and returns its slot.
func (p *packing) reserveSpare() int {
	for _, f := range p.footprints {
		if p.in.Homes.Of(f.model)[0] == p.in.DataCentre {
			p.byModel[spareModel] = f.asSpare()
			return p.engineSet.placeFirstFit(f.asSpare())
		}
	}
	return -1
}

// keepSurplus leaves further replicas where memory allows, those with most demand first, because unloading them gains
// nothing.
func (p *packing) keepSurplus() {
	current := slices.Clone(p.in.Current)
	slices.SortStableFunc(current, func(a, b Placement) int {
		return cmp.Compare(p.demand(b.Model).required, p.demand(a.Model).required)
	})
	for _, c := range current {
		if f, ok := p.byModel[c.Model]; ok {
			p.tryAdd(c.Backend, f)
		}
	}
}

func (p *packing) target() Target {
	t := Target{models: make(map[deck.BackendName][]deck.ModelName, len(p.engineSet.engines)), missing: p.missing}
	for _, e := range p.engineSet.engines {
		t.models[e.backend.Name] = sortedKeys(e.hosted)
	}
	return t
}

func sortedKeys(set map[deck.ModelName]bool) []deck.ModelName {
	return slices.Sorted(maps.Keys(set))
}

// worstFit returns the slot with most slack, or the first with room if the need does not fit there, or -1.
func (s *engineSet) worstFit(f footprint) int {
	if len(s.engines) == 0 {
		return -1
	}
	at := 1
	for at < s.leaves {
		at *= 2
		if s.slackTree[at+1] > s.slackTree[at] {
			at++
		}
	}
	if i := at - s.leaves; s.engines[i].fits(f) {
		return i
	}
	for i := s.nextWithSlack(0, f.resident); i >= 0; i = s.nextWithSlack(i+1, f.resident) {
		if s.engines[i].fits(f) {
			return i
		}
	}
	return -1
}
