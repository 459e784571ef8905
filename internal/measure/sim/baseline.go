package sim

// A baseline sends each request at once to an engine of the nearest data centre that holds its model.
type baseline struct {
	vm       *vm
	least    bool // least own work in flight instead of round robin
	next     map[*model]int
	inFlight map[*engine]int
}

var _ policy = (*baseline)(nil)

func newBaseline(v *vm, least bool) *baseline {
	return &baseline{vm: v, least: least, next: make(map[*model]int), inFlight: make(map[*engine]int)}
}

// arrive implements policy.arrive.
func (b *baseline) arrive(r *request) {
	var local []*engine
	for _, e := range r.model.places {
		if e.dc == b.vm.dc {
			local = append(local, e)
		}
	}
	if len(local) == 0 {
		local = r.model.places
	}
	turn := b.next[r.model]
	b.next[r.model]++
	e := local[(turn+b.vm.index)%len(local)]
	if b.least {
		for i := range local {
			c := local[(turn+b.vm.index+i)%len(local)]
			if b.inFlight[c] < b.inFlight[e] {
				e = c
			}
		}
	}
	b.inFlight[e]++
	r.attempt = attempt{}
	b.vm.start(r, e, 0)
}

// token implements policy.token.
func (b *baseline) token(*request) {}

// over implements policy.over.
func (b *baseline) over(r *request, _ bool) {
	b.inFlight[r.attempt.engine]--
}
