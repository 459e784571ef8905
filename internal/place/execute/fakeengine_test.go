package execute

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A fakeEngine runs every operation that it receives, even beyond its memory, and records the memory in use.
type fakeEngine struct {
	mu            sync.Mutex
	backend       deck.BackendServer
	boot          int
	token         uint64
	executed      map[deck.OperationID]bool
	models        map[[2]string]*fakeModel
	adapters      map[deck.AdapterName]deck.Bytes
	extraBytes    deck.Bytes // memory in use that no ticket accounts for
	overcommitted deck.Bytes // largest excess over the capacity
	now           func() time.Time
	loadTime      time.Duration
}

type fakeModel struct {
	op      deck.Operation
	readyAt time.Time
}

func newFakeEngine(b deck.BackendServer, now func() time.Time) *fakeEngine {
	f := &fakeEngine{backend: b, now: now, loadTime: 2 * time.Second}
	f.restart()
	return f
}

func (f *fakeEngine) restart() {
	f.boot++
	f.executed = make(map[deck.OperationID]bool)
	f.models = make(map[[2]string]*fakeModel)
	f.adapters = make(map[deck.AdapterName]deck.Bytes)
}

func (f *fakeEngine) used() deck.Bytes {
	sum := f.extraBytes
	for _, m := range f.models {
		sum += m.op.ResidentBytes
		if f.now().Before(m.readyAt) {
			sum += m.op.TransientBytes
		}
	}
	for _, b := range f.adapters {
		sum += b
	}
	f.overcommitted = max(f.overcommitted, sum-f.backend.MemoryBytes())
	return sum
}

// run executes an operation. An engine that checks fencing rejects operations with an older token.
func (f *fakeEngine) run(op deck.Operation) deck.OperationResult {
	if f.backend.ChecksFencing && op.FencingToken < f.token {
		return deck.OperationResult{Outcome: deck.OutcomeNotRun, StaleToken: true, Reason: "stale"}
	}
	f.token = max(f.token, op.FencingToken)
	if f.executed[op.ID] {
		return deck.OperationResult{Outcome: deck.OutcomeDone}
	}
	f.executed[op.ID] = true
	key := [2]string{string(op.Model), string(op.Version)}
	switch op.Kind {
	case deck.OpLoadModel:
		if f.models[key] == nil {
			f.models[key] = &fakeModel{op: op, readyAt: f.now().Add(f.loadTime)}
		}
	case deck.OpUnloadModel:
		delete(f.models, key)
	case deck.OpLoadAdapter:
		f.adapters[op.Adapter] = op.ResidentBytes
	case deck.OpUnloadAdapter:
		delete(f.adapters, op.Adapter)
	case deck.OpSetRole:
		f.backend.Role = op.Role
	case deck.OpFence:
	}
	f.used()
	return deck.OperationResult{Outcome: deck.OutcomeDone}
}

func (f *fakeEngine) report() deck.EngineReport {
	r := deck.EngineReport{
		Backend:      f.backend.Name,
		BootID:       string(rune('a' + f.boot)),
		TakenAt:      f.now(),
		UsedBytes:    f.used(),
		Role:         f.backend.Role,
		FencingToken: f.token,
	}
	for k, m := range f.models {
		r.Models = append(r.Models, deck.ResidentModel{
			Model:   deck.ModelName(k[0]),
			Version: deck.VersionName(k[1]),
			Ready:   !f.now().Before(m.readyAt),
			Bytes:   m.op.ResidentBytes,
		})
	}
	for a := range f.adapters {
		r.Adapters = append(r.Adapters, a)
	}
	slices.Sort(r.Adapters)
	return r
}

// A directEngine calls a fakeEngine without a network.
type directEngine struct {
	deck.Engine
	fake *fakeEngine
}

func (d directEngine) SendOperation(_ context.Context, op deck.Operation) deck.OperationResult {
	d.fake.mu.Lock()
	defer d.fake.mu.Unlock()
	return d.fake.run(op)
}

func (d directEngine) Report(context.Context) (deck.EngineReport, error) {
	d.fake.mu.Lock()
	defer d.fake.mu.Unlock()
	return d.fake.report(), nil
}

type fixedLease struct{ lease deck.PlacementLease }

func (f fixedLease) Held() (deck.PlacementLease, bool) { return f.lease, true }

type fixedState struct{ state deck.State }

func (f fixedState) State() deck.State        { return f.state }
func (f fixedState) Changed() <-chan struct{} { return nil }
func (f fixedState) Proven() bool             { return true }

// testState returns a state with engines e0, e1, ... of 80 GiB in data centre dc and models m0, m1, ... of 10 GiB resident
// and 2 GiB transient memory.
func testState(engines, models int, checksFencing bool) deck.State {
	var t deck.Ticket
	for i := range engines {
		t.BackendServers = append(t.BackendServers, deck.BackendServer{
			Name:             deck.BackendName("e" + string(rune('0'+i))),
			DataCentre:       "dc",
			Accelerators:     1,
			AcceleratorBytes: 80 * deck.GiB,
			ChecksFencing:    checksFencing,
		})
	}
	for i := range models {
		t.Models = append(t.Models, testModel(deck.ModelName("m"+string(rune('0'+i))), "v1"))
	}
	return deck.State{}.WithTicket(t, 1)
}

func testModel(name deck.ModelName, versions ...deck.VersionName) deck.Model {
	m := deck.Model{Name: name, Active: versions[len(versions)-1]}
	for _, v := range versions {
		m.Versions = append(m.Versions, deck.ModelVersion{
			Name: v, WeightBytes: 8 * deck.GiB, KVReserveBytes: 2 * deck.GiB, TransientBytes: 2 * deck.GiB,
		})
	}
	return m
}
