package plan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A Placement is a replica that an engine holds or is loading.
type Placement struct {
	Backend deck.BackendName
	Model   deck.ModelName
	Since   time.Time // when it became ready; zero while it is loading
}

// An Input holds everything that a data centre's target depends on.
type Input struct {
	State           deck.State
	DataCentre      deck.DataCentre
	Homes           Homes
	Leaving         map[deck.BackendName]bool       // servers that leave, in addition to those that the state marks
	Current         []Placement                     // ordered by backend server and model
	Avoid           map[ReplicaID]bool              // replicas that were evicted to make room
	Unavailable     map[deck.BackendName]deck.Bytes // memory that is not available for models
	Demand          map[deck.ModelName]Rates
	TokensPerSecond float64 // of one accelerator; 0 for DefaultTokensPerSecond
	Now             time.Time
}

// A ReplicaID identifies a replica by its backend server and model.
type ReplicaID struct {
	Backend deck.BackendName
	Model   deck.ModelName
}

// A Target is the set of models that each engine of a data centre should hold.
type Target struct {
	models  map[deck.BackendName][]deck.ModelName
	missing []deck.ModelName
}

// Models returns the models that the engine should hold, ordered by name.
func (t Target) Models(b deck.BackendName) []deck.ModelName {
	return t.models[b]
}

// Includes reports whether the engine should hold the model.
func (t Target) Includes(b deck.BackendName, m deck.ModelName) bool {
	_, ok := slices.BinarySearch(t.models[b], m)
	return ok
}

// Missing returns the home models for which no engine has room.
func (t Target) Missing() []deck.ModelName {
	return t.missing
}

// ComputeTarget computes the target of one data centre. The target is empty if a model does not list its active version.
func ComputeTarget(in Input) Target {
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

// A packing assigns models to the engines of one data centre while the target is computed.
type packing struct {
	in           Input
	footprints   []footprint // of the home models, largest first
	byModel      map[deck.ModelName]footprint
	engineSet    *engineSet
	engineIndex  map[deck.BackendName]int
	replicaCount map[deck.ModelName]int
	current      map[deck.ModelName][]Placement
	holders      map[deck.ModelName][]int // engines that hold the model; set by computeWork
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
		e.rate = cmp.Or(in.TokensPerSecond, DefaultTokensPerSecond) * float64(e.backend.Accelerators)
	}
	for _, c := range in.Current {
		p.current[c.Model] = append(p.current[c.Model], c)
	}
	for _, cs := range p.current {
		slices.SortStableFunc(cs, func(a, b Placement) int { return compareReadySince(a.Since, b.Since) })
	}
	return p
}

// compareReadySince orders ready replicas oldest first and puts loading ones last.
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

// keepCurrent keeps current replicas of home models, oldest first, up to the minimum number of each model.
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

// placeMissing places the missing replicas of home models on the engines with the most free memory; it returns false if a
// model has no replica afterwards.
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

// repack places the home models in the order of AssignHomes, in which they are known to fit.
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
	if spare >= 0 { // surplus replicas may use it because they can be evicted at any time
		p.remove(spare, spareModel)
	}
}

// reserveSpare reserves memory for the largest home model before second homes take it, as AssignHomes does. It returns the index
// of the engine, or -1.
func (p *packing) reserveSpare() int {
	for _, f := range p.footprints {
		if p.in.Homes.Of(f.model)[0] == p.in.DataCentre {
			p.byModel[spareModel] = f.asSpare()
			return p.engineSet.placeFirstFit(f.asSpare())
		}
	}
	return -1
}

// keepSurplus keeps further current replicas where memory allows, those with the most demand first, because unloading them
// gains nothing.
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

// worstFit returns the index of the engine with the most slack, or of the first with room if the footprint does not fit on
// that one, or -1.
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
