package order

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/core/restraint"
)

// A fakePlatform implements the replicated log's watch, the server list and engines, and checks every order.
type fakePlatform struct {
	t        *testing.T
	spec     deck.EngineSpec
	random   *rand.Rand
	lossRate float64 // fraction of orders without an answer, which are executed late or never
	engines  map[deck.BackendName]*fakeEngine

	mu         sync.Mutex
	term       uint64
	leads      bool
	unfenced   bool // the controller is told that engines don't check fencing tokens; the fake engines still do
	violations []string
	published  []deck.Server // last published to the entry VMs
	orderCount int
	loadStarts []time.Time // when engines accepted orders to load a model
	restraints restraint.Table
	inPause    int // orders and requests for reports to an engine that wants none

	limits map[deck.BackendName]float64 // that engines name
	others []deck.Server                // entries of other writers, which the list has first
}

// A fakeEngine is an engine of a fakePlatform.
type fakeEngine struct {
	server         deck.Server
	ordersAccepted uint64
	restarted      bool // the list still shows the previous incarnation
	unresponsive   bool // it answers nothing, but the list still shows it
	models         map[deck.ModelName]map[deck.AdapterName]bool
	loading        deck.ModelName
	unloading      deck.ModelName // until its running requests have ended
	requestTime    time.Duration  // how long running requests take to end
	busyUntil      time.Time
	lastHolder     deck.VMName
	pause          time.Duration // that it asks for when it refuses a request; 0 if it refuses none
	pausedUntil    time.Time
	fencingToken   uint64
}

var errNoAnswer = errors.New("answer lost")

func newFakePlatform(t *testing.T, spec deck.EngineSpec, engines int, seed uint64) *fakePlatform {
	p := &fakePlatform{
		t: t, spec: spec, random: rand.New(rand.NewPCG(seed, 1)), engines: make(map[deck.BackendName]*fakeEngine), term: 1,
		leads: true,
	}
	for i := range engines {
		id := deck.BackendName(rune('a' + i))
		p.engines[id] = &fakeEngine{
			server: deck.Server{ID: id, Service: "llm", Address: "10.0.0.1:" + string(rune('1'+i)), Slots: 8},
			models: make(map[deck.ModelName]map[deck.AdapterName]bool),
		}
	}
	return p
}

func (p *fakePlatform) config() *deck.RoutingConfig {
	return &deck.RoutingConfig{Version: 1, Services: []deck.RoutedService{{Name: "llm", Engine: &p.spec}}}
}

// limit returns the limit that an engine names.
func (p *fakePlatform) limit(s deck.Server) (limit float64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit, ok = p.limits[s.ID]
	return limit, ok
}

// ListServers implements deck.ServerList.
func (p *fakePlatform) ListServers(context.Context) ([]deck.Server, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := slices.Clone(p.others)
	for _, e := range p.engines {
		s := e.server
		s.Models = e.held()
		out = append(out, s)
	}
	return out, nil
}

func (e *fakeEngine) held() []deck.HeldModel {
	var out []deck.HeldModel
	for m, adapters := range e.models {
		h := deck.HeldModel{Name: m, Version: 1}
		for a := range adapters {
			h.Adapters = append(h.Adapters, a)
		}
		out = append(out, h)
	}
	return out
}

// Report implements deck.EngineControl.
func (p *fakePlatform) Report(_ context.Context, s deck.Server) (deck.EngineState, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.engines[s.ID]
	if p.refuses(e) || e.unresponsive {
		return deck.EngineState{}, errNoAnswer
	}
	e.finishDue()
	if e.restarted {
		return deck.EngineState{StartUnixMs: e.server.StartUnixMs + 1}, nil
	}
	return deck.EngineState{Models: e.held(), Busy: e.loading != "" || e.unloading != "", OrdersAccepted: e.ordersAccepted}, nil
}

// refuses reports whether the engine refuses the request, which it may do with a pause. The caller holds the lock.
func (p *fakePlatform) refuses(e *fakeEngine) bool {
	now := time.Now()
	if now.Before(e.pausedUntil) {
		p.inPause++
		return true
	}
	if e.pause == 0 {
		return false
	}
	e.pausedUntil = now.Add(e.pause)
	p.restraints.ObserveNotice(now, e.server.ID, e.server.Incarnation(), deck.ServerNotice{Pause: e.pause})
	return true
}

func (e *fakeEngine) finishDue() {
	if time.Now().Before(e.busyUntil) {
		return
	}
	if e.loading != "" {
		e.models[e.loading] = make(map[deck.AdapterName]bool)
	}
	delete(e.models, e.unloading)
	e.loading, e.unloading = "", ""
}

// SendOrder implements deck.EngineControl; a lost order may be executed up to 12 s later.
func (p *fakePlatform) SendOrder(_ context.Context, s deck.Server, o deck.ModelOrder) (deck.OrderOutcome, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orderCount++
	if p.refuses(p.engines[s.ID]) || p.engines[s.ID].unresponsive {
		return deck.OrderUnknown, errNoAnswer
	}
	if p.random.Float64() >= p.lossRate {
		return p.execute(s.ID, o), nil
	}
	if p.random.IntN(2) == 0 {
		delay := 2*time.Second + time.Duration(p.random.Int64N(int64(10*time.Second)))
		time.AfterFunc(delay, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.execute(s.ID, o)
		})
	}
	return deck.OrderUnknown, errNoAnswer
}

func (p *fakePlatform) execute(id deck.BackendName, o deck.ModelOrder) deck.OrderOutcome {
	e := p.engines[id]
	e.finishDue()
	switch {
	case o.FencingToken < e.fencingToken:
		return deck.OrderFenced
	case e.loading != "" || e.unloading != "" || o.ExpectOrdersAccepted != e.ordersAccepted:
		return deck.OrderConflict
	}
	if o.FencingToken == e.fencingToken && e.lastHolder != o.LeaseHolder {
		p.violations = append(p.violations, "two leaders sent orders with one fencing token")
	}
	e.fencingToken, e.lastHolder = o.FencingToken, o.LeaseHolder
	outcome := e.apply(p.spec, o)
	if outcome == deck.OrderAccepted && !o.Unload && o.Adapter == "" {
		p.loadStarts = append(p.loadStarts, time.Now())
	}
	p.checkLimits(e)
	return outcome
}

func (e *fakeEngine) apply(spec deck.EngineSpec, o deck.ModelOrder) deck.OrderOutcome {
	adapters, holds := e.models[o.Model]
	switch {
	case o.Adapter == "" && o.Unload:
		e.unloading, e.busyUntil = o.Model, time.Now().Add(e.requestTime)
		e.finishDue()
	case o.Adapter == "":
		if holds {
			return deck.OrderSatisfied
		}
		m, _ := spec.Model(o.Model)
		e.loading, e.busyUntil = o.Model, time.Now().Add(m.LoadTime)
	case o.Unload:
		delete(adapters, o.Adapter)
		e.ordersAccepted++
		return deck.OrderSatisfied
	default:
		if adapters[o.Adapter] {
			return deck.OrderSatisfied
		}
		if holds {
			adapters[o.Adapter] = true
		}
	}
	e.ordersAccepted++
	return deck.OrderAccepted
}

// checkLimits records a violation if the engine was ordered to hold more than fits.
func (p *fakePlatform) checkLimits(e *fakeEngine) {
	used, adapters := 0.0, 0
	for m, held := range e.models {
		model, _ := p.spec.Model(m)
		used += model.Megabytes
		adapters += len(held)
	}
	if m, ok := p.spec.Model(e.loading); ok {
		used += m.Megabytes
	}
	if used > p.spec.WeightMegabytes {
		p.violations = append(p.violations, "weights exceed the engine's memory")
	}
	if adapters > p.spec.AdapterSlots {
		p.violations = append(p.violations, "adapters exceed the engine's adapter slots")
	}
}

// Health implements deck.ReplicaMonitor.
func (p *fakePlatform) Health(context.Context) ([]deck.ReplicaHealth, error) {
	return nil, nil
}

// LeaderTerm implements deck.ReplicaMonitor.
func (p *fakePlatform) LeaderTerm(time.Time, time.Duration) (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.term, p.leads
}

func (p *fakePlatform) locked(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

func (p *fakePlatform) copies(m deck.ModelName) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, e := range p.engines {
		e.finishDue()
		if _, ok := e.models[m]; ok {
			n++
		}
	}
	return n
}

func (p *fakePlatform) ordersSent() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.orderCount
}

// publish records the list published to the entry VMs.
func (p *fakePlatform) publish(_ uint64, list []deck.Server) {
	p.locked(func() { p.published = list })
}

// publishedHolds reports whether the last published list shows the model on the engine; the caller holds the lock.
func (p *fakePlatform) publishedHolds(id deck.BackendName, m deck.ModelName) bool {
	for _, s := range p.published {
		if s.ID == id && s.Holds(m, "") {
			return true
		}
	}
	return false
}
