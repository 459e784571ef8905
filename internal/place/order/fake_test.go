package order

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A world holds stand-in engines that check every order.
type world struct {
	t       *testing.T
	spec    deck.EngineSpec
	random  *rand.Rand
	lossy   float64 // share of orders without an answer that are carried out late, or never
	engines map[deck.BackendName]*fakeEngine

	mu       sync.Mutex
	term     uint64
	leads    bool
	unfenced bool // engines don't check fencing tokens
	broken   []string
	shown    []deck.Server // what entry VMs were told last
	orders   int
}

// A fakeEngine crashes nothing: it notes each order that breaks a rule.
type fakeEngine struct {
	server    deck.Server
	seq       uint64
	restarted bool // the list still shows the incarnation before
	dark      bool // it answers nothing, and the list still shows it
	models    map[deck.ModelName]map[deck.AdapterName]bool
	loading   deck.ModelName
	leaving   deck.ModelName // its runs have not ended
	runs      time.Duration  // how long runs take
	until     time.Time
	lastFrom  deck.VMName
	fence     uint64
}

var errLost = errors.New("answer lost")

func newWorld(t *testing.T, spec deck.EngineSpec, engines int, seed uint64) *world {
	w := &world{
		t: t, spec: spec, random: rand.New(rand.NewPCG(seed, 1)), engines: make(map[deck.BackendName]*fakeEngine), term: 1,
		leads: true,
	}
	for i := range engines {
		id := deck.BackendName(rune('a' + i))
		w.engines[id] = &fakeEngine{
			server: deck.Server{ID: id, Service: "llm", Address: "10.0.0.1:" + string(rune('1'+i)), Slots: 8},
			models: make(map[deck.ModelName]map[deck.AdapterName]bool),
		}
	}
	return w
}

func (w *world) config() *deck.RoutingConfig {
	return &deck.RoutingConfig{Version: 1, Services: []deck.RoutedService{{Name: "llm", Engine: &w.spec}}}
}

// ListServers implements deck.ServerList.
func (w *world) ListServers(context.Context) ([]deck.Server, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []deck.Server
	for _, e := range w.engines {
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
func (w *world) Report(_ context.Context, s deck.Server) (deck.EngineState, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.engines[s.ID]
	if e.dark {
		return deck.EngineState{}, errLost
	}
	e.settle()
	if e.restarted {
		return deck.EngineState{Born: e.server.Born + 1}, nil
	}
	return deck.EngineState{Models: e.held(), Busy: e.loading != "" || e.leaving != "", OrdersAccepted: e.seq}, nil
}

func (e *fakeEngine) settle() {
	if time.Now().Before(e.until) {
		return
	}
	if e.loading != "" {
		e.models[e.loading] = make(map[deck.AdapterName]bool)
	}
	delete(e.models, e.leaving)
	e.loading, e.leaving = "", ""
}

// Order implements deck.EngineControl; a lost order may be carried out up to 12 s later.
func (w *world) Order(_ context.Context, s deck.Server, o deck.ModelOrder) (deck.OrderOutcome, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orders++
	if w.engines[s.ID].dark {
		return deck.OrderUnknown, errLost
	}
	if w.random.Float64() >= w.lossy {
		return w.carryOut(s.ID, o), nil
	}
	if w.random.IntN(2) == 0 {
		late := 2*time.Second + time.Duration(w.random.Int64N(int64(10*time.Second)))
		time.AfterFunc(late, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.carryOut(s.ID, o)
		})
	}
	return deck.OrderUnknown, errLost
}

func (w *world) carryOut(id deck.BackendName, o deck.ModelOrder) deck.OrderOutcome {
	e := w.engines[id]
	e.settle()
	switch {
	case o.Fence < e.fence:
		return deck.OrderFenced
	case e.loading != "" || e.leaving != "" || o.After != e.seq:
		return deck.OrderConflict
	}
	if o.Fence == e.fence && e.lastFrom != o.Holder {
		w.broken = append(w.broken, "two holders with one fencing token")
	}
	e.fence, e.lastFrom = o.Fence, o.Holder
	outcome := e.apply(w.spec, o)
	w.check(e)
	return outcome
}

func (e *fakeEngine) apply(spec deck.EngineSpec, o deck.ModelOrder) deck.OrderOutcome {
	adapters, holds := e.models[o.Model]
	switch {
	case o.Adapter == "" && o.Unload:
		e.leaving, e.until = o.Model, time.Now().Add(e.runs)
		e.settle()
	case o.Adapter == "":
		if holds {
			return deck.OrderHolds
		}
		m, _ := spec.Model(o.Model)
		e.loading, e.until = o.Model, time.Now().Add(m.LoadTime)
	case o.Unload:
		delete(adapters, o.Adapter)
		e.seq++
		return deck.OrderHolds
	default:
		if adapters[o.Adapter] {
			return deck.OrderHolds
		}
		if holds {
			adapters[o.Adapter] = true
		}
	}
	e.seq++
	return deck.OrderAccepted
}

// check notes an engine that was ordered to hold more than it can.
func (w *world) check(e *fakeEngine) {
	used, adapters := 0.0, 0
	for m, held := range e.models {
		model, _ := w.spec.Model(m)
		used += model.Megabytes
		adapters += len(held)
	}
	if m, ok := w.spec.Model(e.loading); ok {
		used += m.Megabytes
	}
	if used > w.spec.WeightMegabytes {
		w.broken = append(w.broken, "weights exceed the engine's memory")
	}
	if adapters > w.spec.AdapterSlots {
		w.broken = append(w.broken, "adapters exceed the engine's places")
	}
}

// Health implements deck.ReplicaWatch.
func (w *world) Health(context.Context) ([]deck.ReplicaHealth, error) {
	return nil, nil
}

// Leads implements deck.ReplicaWatch.
func (w *world) Leads(time.Time, time.Duration) (uint64, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.term, w.leads
}

func (w *world) set(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func (w *world) copies(m deck.ModelName) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, e := range w.engines {
		e.settle()
		if _, ok := e.models[m]; ok {
			n++
		}
	}
	return n
}

func (w *world) ordered() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.orders
}

// publish takes what entry VMs are told.
func (w *world) publish(_ uint64, list []deck.Server) {
	w.set(func() { w.shown = list })
}

// shows reports whether entry VMs were told that the engine holds the model; the caller holds the lock.
func (w *world) shows(id deck.BackendName, m deck.ModelName) bool {
	for _, s := range w.shown {
		if s.ID == id && s.Holds(m, "") {
			return true
		}
	}
	return false
}
