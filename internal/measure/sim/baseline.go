package sim

// A baselinePolicy sends each request without queueing to an engine with the request's model, in the VM's own data centre if
// there is one there.
type baselinePolicy struct {
	vm          *vm
	leastLoaded bool // fewest requests of this VM in flight instead of round robin
	turns       map[*model]int
	inFlight    map[*engine]int
}

var _ policy = (*baselinePolicy)(nil)

func newBaselinePolicy(v *vm, leastLoaded bool) *baselinePolicy {
	return &baselinePolicy{vm: v, leastLoaded: leastLoaded, turns: make(map[*model]int), inFlight: make(map[*engine]int)}
}

// handleRequest implements policy.handleRequest.
func (b *baselinePolicy) handleRequest(r *request) {
	var candidates []*engine
	for _, e := range r.model.replicaEngines {
		if e.dc == b.vm.dc {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		candidates = r.model.replicaEngines
	}
	turn := b.turns[r.model]
	b.turns[r.model]++
	e := candidates[(turn+b.vm.index)%len(candidates)]
	if b.leastLoaded {
		for i := range candidates {
			c := candidates[(turn+b.vm.index+i)%len(candidates)]
			if b.inFlight[c] < b.inFlight[e] {
				e = c
			}
		}
	}
	b.inFlight[e]++
	r.attempt = attempt{}
	b.vm.start(r, e, 0)
}

// handleToken implements policy.handleToken.
func (b *baselinePolicy) handleToken(*request) {}

// endRequest implements policy.endRequest.
func (b *baselinePolicy) endRequest(r *request, _ bool) {
	b.inFlight[r.attempt.engine]--
}
