package plan

import (
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// An engine is the planner's account of one engine and the models placed on it.
type engine struct {
	backend      deck.BackendServer
	used         deck.Bytes // resident memory of the models placed so far
	maxTransient deck.Bytes // largest transient memory of any model placed so far, including those removed since
	capacity     deck.Bytes
	hosted       map[deck.ModelName]bool
	rate         float64 // tokens per second
	work         work
}

// fits reports whether the footprint fits even while any one model of the engine is loading.
func (e *engine) fits(f footprint) bool {
	return !e.hosted[f.model] && e.used+f.resident+max(e.maxTransient, f.transient) <= e.capacity
}

func (e *engine) add(f footprint) {
	e.used += f.resident
	e.maxTransient = max(e.maxTransient, f.transient)
	e.hosted[f.model] = true
}

func (e *engine) slack() deck.Bytes {
	return e.capacity - e.used - e.maxTransient
}

// A footprint is the memory that one replica of a model needs with all its adapters.
type footprint struct {
	model     deck.ModelName
	resident  deck.Bytes
	transient deck.Bytes
	weight    deck.Bytes // read from the weight store
	replicas  int        // minimum per data centre
}

func (f footprint) total() deck.Bytes {
	return f.resident + f.transient
}

// spareModel is the name under which spare memory is reserved on an engine; no model has it.
const spareModel deck.ModelName = ""

// asSpare returns a footprint of the same size that reserves spare memory.
func (f footprint) asSpare() footprint {
	f.model = spareModel
	return f
}

// An engineSet holds the engines of a data centre and a segment tree of their slack, which finds the first engine with
// room in logarithmic time.
type engineSet struct {
	engines   []*engine
	slackTree []deck.Bytes // of 2*leaves nodes; each inner node holds the maximum of its children
	leaves    int          // number of leaves, a power of two
}

func newEngineSet(backends []deck.BackendServer) *engineSet {
	s := &engineSet{leaves: 1}
	for _, b := range backends {
		s.engines = append(s.engines, &engine{backend: b, capacity: b.MemoryBytes(), hosted: make(map[deck.ModelName]bool)})
	}
	for s.leaves < len(s.engines) {
		s.leaves *= 2
	}
	s.slackTree = make([]deck.Bytes, 2*s.leaves)
	for i := range s.slackTree {
		s.slackTree[i] = -1
	}
	for i := range s.engines {
		s.updateSlack(i)
	}
	return s
}

func (s *engineSet) updateSlack(i int) {
	at := s.leaves + i
	s.slackTree[at] = s.engines[i].slack()
	for at /= 2; at >= 1; at /= 2 {
		s.slackTree[at] = max(s.slackTree[2*at], s.slackTree[2*at+1])
	}
}

// nextWithSlack returns the index of the first engine at or after from with at least the given slack, or -1.
func (s *engineSet) nextWithSlack(from int, slack deck.Bytes) int {
	if from >= len(s.engines) {
		return -1
	}
	at := s.leaves + from
	for s.slackTree[at] < slack {
		for at&1 == 1 { // climb while at is a right child
			at /= 2
		}
		if at == 0 {
			return -1
		}
		at++
	}
	for at < s.leaves {
		at *= 2
		if s.slackTree[at] < slack {
			at++
		}
	}
	return at - s.leaves
}

// placeFirstFit places the footprint on the first engine with room and returns its index, or -1 if there is none.
func (s *engineSet) placeFirstFit(f footprint) int {
	for i := s.nextWithSlack(0, f.resident); i >= 0; i = s.nextWithSlack(i+1, f.resident) {
		if s.engines[i].fits(f) {
			s.addTo(i, f)
			return i
		}
	}
	return -1
}

func (s *engineSet) addTo(i int, f footprint) {
	s.engines[i].add(f)
	s.updateSlack(i)
}

func (s *engineSet) totalMemory() deck.Bytes {
	var sum deck.Bytes
	for _, e := range s.engines {
		sum += e.capacity
	}
	return sum
}
