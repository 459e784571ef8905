package sim

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/choose"
	"github.com/geraniumdeck/geraniumdeck/internal/route/router"
)

const (
	pollInterval = 2 * time.Second
	// Sizes on the wire of a prompt token and of the event that carries an answer token.
	promptTokenBytes = 4
	tokenEventBytes  = 200
)

// An attempt is the current attempt to serve a request on an engine.
type attempt struct {
	vm            *vm
	routerRequest *router.Request
	engine        *engine
	seq           *sequence
	preempted     <-chan struct{}
}

// A policy makes the routing decisions of one VM.
type policy interface {
	// handleRequest accepts a request from a caller.
	handleRequest(r *request)

	// handleToken handles a token that was delivered for the request.
	handleToken(r *request)

	// endRequest handles the end of a request that is complete or that its caller abandoned.
	endRequest(r *request, complete bool)
}

// A vm is an entry VM.
type vm struct {
	policy
	index int
	dc    int
	fleet *fleet
}

// addVMs adds the deployment's entry VMs, each with the policy that build returns.
func (f *fleet) addVMs(build func(v *vm) policy) {
	for dc, n := range f.dep.vms {
		for range n {
			v := &vm{index: len(f.vms), dc: dc, fleet: f}
			v.policy = build(v)
			f.vms = append(f.vms, v)
		}
	}
}

// start sends an attempt for the request to the engine.
func (v *vm) start(r *request, e *engine, priority int) {
	f := v.fleet
	q := &sequence{req: r, vm: v, priority: priority, produced: r.delivered}
	r.attempt.vm, r.attempt.engine, r.attempt.seq = v, e, q
	if r.class == deck.Interactive {
		f.attempts++
	}
	v.countTransfer(e, r.prompt*promptTokenBytes)
	f.sched.after(f.path(v.dc, e.dc), func() {
		if !q.done {
			e.submit(q)
		}
	})
}

func (v *vm) countTransfer(e *engine, bytes int) {
	v.fleet.bytes += bytes
	if e.dc != v.dc {
		v.fleet.crossRegionBytes += bytes
	}
}

// receiveTokens delivers one token of each sequence whose attempt is still current, and ends completed requests.
func (v *vm) receiveTokens(qs []*sequence) {
	for _, q := range qs {
		r := q.req
		if r.attempt.seq != q {
			continue
		}
		v.countTransfer(r.attempt.engine, tokenEventBytes)
		v.deliverToken(r)
		v.handleToken(r)
		if r.delivered >= r.output {
			r.attempt.seq = nil
			v.endRequest(r, true)
			if r.onComplete != nil {
				r.onComplete()
			}
		}
	}
}

func (v *vm) deliverToken(r *request) {
	now := v.fleet.sched.now
	r.delivered++
	if r.firstTokenAt == 0 {
		r.firstTokenAt = now
	}
	r.lastTokenAt = now
	if r.class == deck.Batch {
		v.fleet.batchTokens++
	}
}

// cancelAttempt cancels the request's current attempt, if there is one; the engine learns of it after the network latency.
func (v *vm) cancelAttempt(r *request) {
	q, e := r.attempt.seq, r.attempt.engine
	if q == nil {
		return
	}
	r.attempt.seq = nil
	v.fleet.sched.after(v.fleet.path(v.dc, e.dc), func() { e.cancel(q) })
}

// abandon ends the request because its caller no longer waits for it.
func (v *vm) abandon(r *request) {
	v.cancelAttempt(r)
	v.endRequest(r, false)
}

// A corePolicy is the production policy; it calls the routing core as an entry VM does.
type corePolicy struct {
	vm         *vm
	core       *router.Core
	eventsRead map[deck.BackendName]uint64 // number of cache events read from each engine
}

var _ policy = (*corePolicy)(nil)

// newCorePolicy returns the production policy and schedules its ticks and its polling of engines.
func newCorePolicy(v *vm, cfg router.Config) *corePolicy {
	f := v.fleet
	cfg.DataCentre = f.dep.dataCentres[v.dc]
	cfg.Regions = make(map[deck.DataCentre]deck.Region)
	for _, dc := range f.dep.dataCentres {
		cfg.Regions[dc] = deck.Region(dc)
	}
	cfg.Clock, cfg.State, cfg.Residency, cfg.Poison = f.sched, f, f, emptyPoisonStore{}
	cfg.Rand = newRand(f.otherRand.Uint64(), 1)
	p := &corePolicy{vm: v, core: router.NewCore(cfg), eventsRead: make(map[deck.BackendName]uint64)}
	f.sched.every(time.Duration(v.index)*time.Millisecond, router.TickInterval, p.core.Tick)
	p.startPolling()
	return p
}

// startPolling schedules the polling of the VM's subset of engines, spread evenly over the poll interval.
func (p *corePolicy) startPolling() {
	f := p.vm.fleet
	var all []deck.BackendName
	for _, e := range f.engines {
		all = append(all, e.name)
	}
	var models [][]deck.BackendName
	for _, m := range f.models {
		var replicaEngines []deck.BackendName
		for _, e := range m.replicaEngines {
			replicaEngines = append(replicaEngines, e.name)
		}
		models = append(models, replicaEngines)
	}
	name := deck.VMName(string(rune('a' + p.vm.index)))
	subset := choose.Subset(name, all, models)
	for i, b := range subset {
		e := f.engineByName[b]
		start := pollInterval * time.Duration(i) / time.Duration(len(subset))
		f.sched.every(start, pollInterval, func() { p.pollEngine(e) })
	}
}

func (p *corePolicy) pollEngine(e *engine) {
	if r, ok := e.laggedReport(p.vm.fleet.reportLag); ok {
		p.core.ObserveReport(r, e.sched.Now())
	}
	after := p.eventsRead[e.name]
	p.core.ObserveCacheEvents(e.name, deck.CacheEvents{Events: e.events[after:], LastSequence: uint64(len(e.events))})
	p.eventsRead[e.name] = uint64(len(e.events))
}

// handleRequest implements policy.handleRequest.
func (p *corePolicy) handleRequest(r *request) {
	info := deck.RequestInfo{
		Caller:       r.caller,
		Model:        r.model.name,
		Class:        r.class,
		PrefixHashes: r.prefixes,
		PromptTokens: r.prompt,
	}
	sched := p.vm.fleet.sched
	if r.class == deck.Interactive {
		info.Deadline = sched.Now().Add(firstTokenSLO - 2*p.vm.fleet.dep.clientLatency)
	}
	r.attempt = attempt{vm: p.vm}
	r.attempt.routerRequest = p.core.Submit(info, p.admissionCallback(r, r.sends))
}

// admissionCallback returns the function that the core calls when the request is admitted or refused. A call that belongs to
// an earlier send of the request is ignored.
func (p *corePolicy) admissionCallback(r *request, sends int) func(*deck.Refusal) {
	return func(ref *deck.Refusal) {
		p.vm.fleet.sched.after(0, func() {
			if r.sends != sends || r.attempt.vm != p.vm {
				return
			}
			if ref != nil {
				p.vm.fleet.refusals++
				p.vm.fleet.retry(r, ref.RetryAfter)
				return
			}
			p.startAttempt(r)
		})
	}
}

func (p *corePolicy) startAttempt(r *request) {
	b, ok := p.core.TakeReserved(r.attempt.routerRequest)
	if !ok {
		p.core.Reselect(r.attempt.routerRequest, nil, nil, p.admissionCallback(r, r.sends))
		return
	}
	r.attempt.preempted = p.core.Preempted(r.attempt.routerRequest)
	p.vm.start(r, p.vm.fleet.engineByName[b.Name], p.core.Priority(r.attempt.routerRequest))
	p.recordObservation(r, deck.ObservedStart)
}

func (p *corePolicy) recordObservation(r *request, k deck.ObservationKind) {
	o := deck.Observation{Kind: k, Backend: r.attempt.engine.name, At: p.vm.fleet.sched.Now()}
	if k == deck.ObservedToken {
		o.Tokens = 1
	}
	p.core.Observe(r.attempt.routerRequest, o)
}

// handleToken implements policy.handleToken; it cancels the attempt of a preempted request and selects an engine anew.
func (p *corePolicy) handleToken(r *request) {
	p.recordObservation(r, deck.ObservedToken)
	if r.delivered >= r.output {
		return
	}
	select {
	case <-r.attempt.preempted:
		p.vm.fleet.preemptions++
		p.vm.cancelAttempt(r)
		p.recordObservation(r, deck.ObservedCancel)
		p.core.Reselect(r.attempt.routerRequest, nil, nil, p.admissionCallback(r, r.sends))
	default:
	}
}

// endRequest implements policy.endRequest.
func (p *corePolicy) endRequest(r *request, complete bool) {
	if complete {
		p.recordObservation(r, deck.ObservedEnd)
	}
	p.core.Release(r.attempt.routerRequest)
	r.attempt.vm = nil
}
