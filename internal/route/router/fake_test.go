package router

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
)

// A fakeSource is the state in force, the residency and the poison store of a test.
type fakeSource struct {
	state    deck.State
	replicas map[deck.ModelName][]deck.Replica
	adapters map[deck.BackendName][]deck.AdapterName
	refused  map[string]bool
}

var (
	_ deck.StateSource = (*fakeSource)(nil)
	_ deck.Residency   = (*fakeSource)(nil)
	_ deck.PoisonStore = (*fakeSource)(nil)
)

func (f *fakeSource) State() deck.State                        { return f.state }
func (f *fakeSource) Changed() <-chan struct{}                 { return nil }
func (f *fakeSource) Proven() bool                             { return true }
func (f *fakeSource) Replicas(m deck.ModelName) []deck.Replica { return f.replicas[m] }
func (f *fakeSource) Refused(digest string) bool               { return f.refused[digest] }
func (f *fakeSource) HasAdapter(b deck.BackendName, a deck.AdapterName) bool {
	return slices.Contains(f.adapters[b], a)
}
func (f *fakeSource) ReportCrash(context.Context, string, deck.BackendName, string, bool) error {
	return nil
}

func (f *fakeSource) set(b deck.BackendServer) {
	f.state = f.state.WithTicket(deck.Ticket{BackendServers: []deck.BackendServer{b}}, f.state.Version()+1)
}

// A rig is a core with n engines e0, e1, ... in one data centre that all hold the models m and n.
type rig struct {
	t     *testing.T
	core  *Core
	src   *fakeSource
	clock *decktest.ManualClock
}

func newRig(t *testing.T, engines int) *rig {
	src, clock := newSource(engines), &decktest.ManualClock{}
	clock.Advance(time.Hour)
	return &rig{t, NewCore(testConfig(src, clock)), src, clock}
}

func newSource(engines int) *fakeSource {
	src := &fakeSource{replicas: make(map[deck.ModelName][]deck.Replica)}
	t := deck.Ticket{Models: []deck.Model{{Name: "m", Active: "v1"}, {Name: "n", Active: "v1"}}}
	for i := range engines {
		b := deck.BackendName(fmt.Sprintf("e%d", i))
		t.BackendServers = append(t.BackendServers, deck.BackendServer{Name: b, DataCentre: "dc1"})
		for _, m := range t.Models {
			src.replicas[m.Name] = append(src.replicas[m.Name], deck.Replica{Backend: b, Version: "v1", Ready: true})
		}
	}
	src.state = src.state.WithTicket(t, 1)
	return src
}

func testConfig(src *fakeSource, clock deck.Clock) Config {
	return Config{
		DataCentre: "dc1",
		Regions:    map[deck.DataCentre]deck.Region{"dc1": "r1", "dc2": "r1", "dc3": "r2"},
		Clock:      clock,
		Rand:       rand.New(rand.NewPCG(1, 2)),
		State:      src,
		Residency:  src,
		Poison:     src,
	}
}

// A wait is the outcome of a Submit or Rechoose.
type wait struct {
	hold  *Hold
	told  int
	ref   *deck.Refusal
	clock deck.Clock
	at    time.Time // when it was told last
}

func (w *wait) notify(r *deck.Refusal) { w.told, w.ref, w.at = w.told+1, r, w.clock.Now() }

func (r *rig) submit(info deck.RequestInfo) *wait {
	if info.Model == "" {
		info.Model = "m"
	}
	w := &wait{clock: r.clock}
	w.hold = r.core.Submit(info, w.notify)
	return w
}

// run submits a request that must start at once, and returns its server.
func (r *rig) run(info deck.RequestInfo) (*wait, deck.BackendName) {
	r.t.Helper()
	w := r.submit(info)
	if w.told != 1 || w.ref != nil {
		r.t.Fatalf("request did not start at once: told %d, %+v", w.told, w.ref)
	}
	return w, r.take(w)
}

func (r *rig) take(w *wait) deck.BackendName {
	r.t.Helper()
	b, ok := r.core.Take(w.hold)
	if !ok {
		r.t.Fatal("no server reserved")
	}
	return b.Name
}

func (r *rig) observe(w *wait, b deck.BackendName, k deck.ObservationKind, tokens int) {
	r.core.Observe(w.hold, deck.Observation{Kind: k, Backend: b, Tokens: tokens})
}
