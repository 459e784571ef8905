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

// A fakeSource is the state source, the residency and the poison store of a test.
type fakeSource struct {
	state    deck.State
	replicas map[deck.ModelName][]deck.ModelReplica
	adapters map[deck.BackendName][]deck.AdapterName
	refused  map[string]bool
}

var (
	_ deck.StateSource = (*fakeSource)(nil)
	_ deck.Residency   = (*fakeSource)(nil)
	_ deck.PoisonStore = (*fakeSource)(nil)
)

func (*fakeSource) IsPartRefused(uint64) bool { return false }

func (*fakeSource) ReportSound(context.Context, uint64) error { return nil }

func (f *fakeSource) State() deck.State                             { return f.state }
func (f *fakeSource) Changed() <-chan struct{}                      { return nil }
func (f *fakeSource) Proven() bool                                  { return true }
func (f *fakeSource) Replicas(m deck.ModelName) []deck.ModelReplica { return f.replicas[m] }
func (f *fakeSource) IsRefused(digest string) bool                  { return f.refused[digest] }
func (f *fakeSource) HasAdapter(b deck.BackendName, a deck.AdapterName) bool {
	return slices.Contains(f.adapters[b], a)
}
func (f *fakeSource) ReportCrash(context.Context, deck.CrashReport) error {
	return nil
}

func (f *fakeSource) set(b deck.BackendServer) {
	f.state = f.state.WithTicket(deck.Ticket{BackendServers: []deck.BackendServer{b}}, f.state.Version()+1)
}

// A harness is a core with engines e0, e1, ... in one data centre that all hold the models m and n.
type harness struct {
	t     *testing.T
	core  *Core
	src   *fakeSource
	clock *decktest.ManualClock
}

func newHarness(t *testing.T, engines int) *harness {
	src, clock := newSource(engines), &decktest.ManualClock{}
	clock.Advance(time.Hour)
	return &harness{t, NewCore(testConfig(src, clock)), src, clock}
}

func newSource(engines int) *fakeSource {
	src := &fakeSource{replicas: make(map[deck.ModelName][]deck.ModelReplica)}
	t := deck.Ticket{Models: []deck.Model{{Name: "m", Active: "v1"}, {Name: "n", Active: "v1"}}}
	for i := range engines {
		b := deck.BackendName(fmt.Sprintf("e%d", i))
		t.BackendServers = append(t.BackendServers, deck.BackendServer{Name: b, DataCentre: "dc1"})
		for _, m := range t.Models {
			src.replicas[m.Name] = append(src.replicas[m.Name], deck.ModelReplica{Backend: b, Version: "v1", Ready: true})
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

// A submission is a submitted request and the outcome of its last Submit or Reselect.
type submission struct {
	request    *Request
	notified   int           // calls of notify
	refusal    *deck.Refusal // from the last call
	clock      deck.Clock
	notifiedAt time.Time // of the last call
}

func (w *submission) notify(ref *deck.Refusal) {
	w.notified, w.refusal, w.notifiedAt = w.notified+1, ref, w.clock.Now()
}

func (h *harness) submit(info deck.RequestInfo) *submission {
	if info.Model == "" {
		info.Model = "m"
	}
	w := &submission{clock: h.clock}
	w.request = h.core.Submit(info, w.notify)
	return w
}

// run submits a request that must start at once, and returns it with its server.
func (h *harness) run(info deck.RequestInfo) (*submission, deck.BackendName) {
	h.t.Helper()
	w := h.submit(info)
	if w.notified != 1 || w.refusal != nil {
		h.t.Fatalf("request did not start at once: notified %d times, refusal %+v", w.notified, w.refusal)
	}
	return w, h.take(w)
}

func (h *harness) take(w *submission) deck.BackendName {
	h.t.Helper()
	b, ok := h.core.TakeReserved(w.request)
	if !ok {
		h.t.Fatal("no server reserved")
	}
	return b.Name
}

func (h *harness) observe(w *submission, b deck.BackendName, k deck.ObservationKind, tokens int) {
	h.core.Observe(w.request, deck.Observation{Kind: k, Backend: b, Tokens: tokens})
}
