package plan

import (
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A slot is an engine as the planner fills it.
type slot struct {
	backend  deck.BackendServer
	used     deck.Bytes // resident memory of the models placed so far
	peak     deck.Bytes // largest transient need of one of them
	capacity deck.Bytes
	held     map[deck.ModelName]bool
	rate     float64 // tokens per second
	load     load
}

// fits reports whether the need fits while any one model of the slot is being loaded.
func (s *slot) fits(n need) bool {
	return !s.held[n.model] && s.used+n.resident+max(s.peak, n.transient) <= s.capacity
}

func (s *slot) put(n need) {
	s.used += n.resident
	s.peak = max(s.peak, n.transient)
	s.held[n.model] = true
}

func (s *slot) slack() deck.Bytes {
	return s.capacity - s.used - s.peak
}

// A need is the memory of one replica of a model with all its adapters.
type need struct {
	model     deck.ModelName
	resident  deck.Bytes
	transient deck.Bytes
	weight    deck.Bytes // read from the weight store
	replicas  int
}

func (n need) total() deck.Bytes {
	return n.resident + n.transient
}

// spareModel is the name under which a slot sets memory aside; no model has it.
const spareModel deck.ModelName = ""

// spare returns the same need under the name of the memory that is set aside.
func (n need) spare() need {
	n.model = spareModel
	return n
}

// A shelf is the engines of a data centre under a segment tree of their slack, so that the first engine with room is
// found in logarithmic time.
type shelf struct {
	slots []*slot
	tree  []deck.Bytes
	width int
}

func newShelf(backends []deck.BackendServer) *shelf {
	s := &shelf{width: 1}
	for _, b := range backends {
		s.slots = append(s.slots, &slot{backend: b, capacity: b.MemoryBytes(), held: make(map[deck.ModelName]bool)})
	}
	for s.width < len(s.slots) {
		s.width *= 2
	}
	s.tree = make([]deck.Bytes, 2*s.width)
	for i := range s.tree {
		s.tree[i] = -1
	}
	for i := range s.slots {
		s.update(i)
	}
	return s
}

func (s *shelf) update(i int) {
	at := s.width + i
	s.tree[at] = s.slots[i].slack()
	for at /= 2; at >= 1; at /= 2 {
		s.tree[at] = max(s.tree[2*at], s.tree[2*at+1])
	}
}

// next returns the first slot at or after the index with at least the given slack, or -1.
func (s *shelf) next(from int, slack deck.Bytes) int {
	if from >= len(s.slots) {
		return -1
	}
	at := s.width + from
	for s.tree[at] < slack {
		for at&1 == 1 { // climb while at is a right child
			at /= 2
		}
		if at == 0 {
			return -1
		}
		at++
	}
	for at < s.width {
		at *= 2
		if s.tree[at] < slack {
			at++
		}
	}
	return at - s.width
}

// place puts the need on the first slot with room and returns its index, or -1.
func (s *shelf) place(n need) int {
	for i := s.next(0, n.resident); i >= 0; i = s.next(i+1, n.resident) {
		if s.slots[i].fits(n) {
			s.putAt(i, n)
			return i
		}
	}
	return -1
}

func (s *shelf) putAt(i int, n need) {
	s.slots[i].put(n)
	s.update(i)
}

func (s *shelf) memory() deck.Bytes {
	var sum deck.Bytes
	for _, sl := range s.slots {
		sum += sl.capacity
	}
	return sum
}
