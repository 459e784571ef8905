package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
)

// BenchmarkRouteDecision measures the decisions for one request: admission, choice, one token and release. The model is on a
// third of the engines, up to 16, and each engine has reported work in flight.
func BenchmarkRouteDecision(b *testing.B) {
	for _, engines := range []int{18, 150, 600} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			src, clock := newSource(engines), &decktest.ManualClock{}
			src.replicas["m"] = src.replicas["m"][:min(16, engines/3)]
			core := NewCore(testConfig(src, clock))
			clock.Advance(time.Hour)
			for name := range src.state.BackendServers() {
				r := deck.EngineReport{Backend: src.state.BackendServers()[name].Name, Running: 10}
				core.ObserveReport(r, clock.Now())
			}
			info := deck.RequestInfo{Model: "m", Caller: "c", PrefixHashes: []uint64{1, 2, 3, 4}}
			notify := func(*deck.Refusal) {}
			b.ReportAllocs()
			for b.Loop() {
				req := core.Submit(info, notify)
				s, _ := core.TakeReserved(req)
				core.Observe(req, deck.Observation{Kind: deck.ObservedToken, Backend: s.Name, Tokens: 1})
				core.Release(req)
			}
		})
	}
}
