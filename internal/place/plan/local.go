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
	State      deck.State
	DataCentre deck.DataCentre
	Homes      Homes
	Leaving    map[deck.BackendName]bool       // servers that leave, beside those that the state marks
	Current    []Placement                     // ordered by backend server and model
	Avoid      map[Place]bool                  // places that were given up to make room
	Taken      map[deck.BackendName]deck.Bytes // memory that can't be used for models
	Demand     map[deck.ModelName]Rates
	Rate       float64 // tokens per second of one accelerator; 0 stands for DefaultRate
	Now        time.Time
}

// A Place is a model on a backend server.
type Place struct {
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

// Wants reports whether the engine is to hold the model.
func (t Target) Wants(b deck.BackendName, m deck.ModelName) bool {
	_, ok := slices.BinarySearch(t.models[b], m)
	return ok
}

// Missing returns the home models without room on any engine.
func (t Target) Missing() []deck.ModelName {
	return t.missing
}

// Local computes the target of one data centre.
func Local(in Input) Target {
	needs, err := needsOf(in.State)
	if err != nil {
		return Target{}
	}
	p := newPacking(in, needs)
	p.keep()
	if !p.pack() {
		p = newPacking(in, needs)
		p.repack()
	}
	p.keepSurplus()
	p.balance()
	p.fill()
	return p.target()
}

// A packing is a local plan under construction.
type packing struct {
	in      Input
	needs   []need // home models, largest first
	all     map[deck.ModelName]need
	shelf   *shelf
	index   map[deck.BackendName]int
	count   map[deck.ModelName]int
	current map[deck.ModelName][]Placement
	places  map[deck.ModelName][]int // slots that hold the model, while replicas are added
	missing []deck.ModelName
}

func newPacking(in Input, needs []need) *packing {
	p := &packing{
		in:      in,
		all:     make(map[deck.ModelName]need, len(needs)),
		index:   make(map[deck.BackendName]int),
		count:   make(map[deck.ModelName]int),
		current: make(map[deck.ModelName][]Placement),
	}
	for _, n := range needs {
		p.all[n.model] = n
		if in.Homes.In(n.model, in.DataCentre) {
			p.needs = append(p.needs, n)
		}
	}
	p.shelf = newShelf(p.staying())
	for i, s := range p.shelf.slots {
		p.index[s.backend.Name] = i
		s.capacity -= in.Taken[s.backend.Name]
		p.shelf.update(i)
		s.rate = cmp.Or(in.Rate, DefaultRate) * float64(s.backend.Accelerators)
	}
	for _, c := range in.Current {
		p.current[c.Model] = append(p.current[c.Model], c)
	}
	for _, cs := range p.current {
		slices.SortStableFunc(cs, func(a, b Placement) int { return oldest(a.Since, b.Since) })
	}
	return p
}

// oldest orders ready replicas by age and puts loading ones last.
func oldest(a, b time.Time) int {
	if a.IsZero() != b.IsZero() {
		if a.IsZero() {
			return 1
		}
		return -1
	}
	return a.Compare(b)
}

func (p *packing) staying() []deck.BackendServer {
	var out []deck.BackendServer
	for _, b := range p.in.State.BackendServers() {
		if b.Kind == deck.EngineBackend && b.DataCentre == p.in.DataCentre && !b.Leaving && !p.in.Leaving[b.Name] {
			out = append(out, b)
		}
	}
	return out
}

// keep leaves the replicas of home models where they are, the oldest first, up to the number that each needs.
func (p *packing) keep() {
	for _, n := range p.needs {
		for _, c := range p.current[n.model] {
			if p.count[n.model] < n.replicas {
				p.put(c.Backend, n)
			}
		}
	}
}

func (p *packing) put(b deck.BackendName, n need) {
	if i, ok := p.index[b]; ok && !p.in.Avoid[Place{b, n.model}] && p.shelf.slots[i].fits(n) {
		p.shelf.putAt(i, n)
		p.count[n.model]++
	}
}

// pack places the home models that have no place yet on the engines with most room; it returns false if one has none.
func (p *packing) pack() bool {
	for _, n := range p.needs {
		for p.count[n.model] < n.replicas {
			i := p.shelf.roomiest(n)
			if i < 0 {
				break
			}
			p.shelf.putAt(i, n)
			p.count[n.model]++
		}
		if p.count[n.model] == 0 {
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
			spare = p.spare()
		}
		for _, n := range p.needs {
			if home := p.in.Homes.Of(n.model); pass >= len(home) || home[pass] != p.in.DataCentre {
				continue
			}
			for range n.replicas {
				if p.shelf.place(n) >= 0 {
					p.count[n.model]++
				}
			}
			if p.count[n.model] == 0 {
				p.missing = append(p.missing, n.model)
			}
		}
	}
	if spare >= 0 { // further replicas may use it, since they can go at any time
		p.drop(spare, spareModel)
	}
}

// spare sets memory for the largest home model aside before second homes take it, as Assign does, and returns its slot.
func (p *packing) spare() int {
	for _, n := range p.needs {
		if p.in.Homes.Of(n.model)[0] == p.in.DataCentre {
			p.all[spareModel] = n.spare()
			return p.shelf.place(n.spare())
		}
	}
	return -1
}

// keepSurplus leaves further replicas where memory allows, those with most demand first, because unloading them gains
// nothing.
func (p *packing) keepSurplus() {
	current := slices.Clone(p.in.Current)
	slices.SortStableFunc(current, func(a, b Placement) int {
		return cmp.Compare(p.demand(b.Model).wanted, p.demand(a.Model).wanted)
	})
	for _, c := range current {
		if n, ok := p.all[c.Model]; ok {
			p.put(c.Backend, n)
		}
	}
}

func (p *packing) target() Target {
	t := Target{models: make(map[deck.BackendName][]deck.ModelName, len(p.shelf.slots)), missing: p.missing}
	for _, s := range p.shelf.slots {
		t.models[s.backend.Name] = sortedKeys(s.held)
	}
	return t
}

func sortedKeys(set map[deck.ModelName]bool) []deck.ModelName {
	return slices.Sorted(maps.Keys(set))
}

// roomiest returns the slot with most slack, or the first with room if the need does not fit there, or -1.
func (s *shelf) roomiest(n need) int {
	if len(s.slots) == 0 {
		return -1
	}
	at := 1
	for at < s.width {
		at *= 2
		if s.tree[at+1] > s.tree[at] {
			at++
		}
	}
	if i := at - s.width; s.slots[i].fits(n) {
		return i
	}
	for i := s.next(0, n.resident); i >= 0; i = s.next(i+1, n.resident) {
		if s.slots[i].fits(n) {
			return i
		}
	}
	return -1
}
