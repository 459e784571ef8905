package order

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// TestModelsOfLeavingEngineArePlacedElsewhere guards against models that no engine holds any more once an engine has left that said
// so to an entry VM, and against entry VMs that hear of it from the platform's list only.
func TestModelsOfLeavingEngineArePlacedElsewhere(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(t, testSpec(6), 3, 1)
	runController(t, p, func(c *Controller) {
		<-time.After(20 * time.Second)
		var leaving *fakeEngine
		var held []deck.HeldModel
		p.locked(func() {
			leaving = p.engines["a"]
			held = leaving.held()
		})
		is.True(len(held) > 0)
		c.RecordReport(deck.ViewRequest{Leaving: []deck.LeavingServer{{Server: "a", Incarnation: leaving.server.Incarnation()}}})
		<-time.After(15 * time.Second)
		p.locked(func() {
			for _, s := range p.published {
				is.Equal(s.Draining, s.ID == "a")
			}
			delete(p.engines, "a")
		})
		for _, m := range held {
			is.True(p.copies(m.Name) >= 1)
		}
	})
}

// TestNewIncarnationOfALeavingEngineIsUsed guards against an engine that is left empty because an earlier one with its ID has left.
func TestNewIncarnationOfALeavingEngineIsUsed(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(t, testSpec(2), 1, 1)
	runController(t, p, func(c *Controller) {
		<-time.After(10 * time.Second)
		c.RecordReport(deck.ViewRequest{Leaving: []deck.LeavingServer{{Server: "a", Incarnation: p.engines["a"].server.Incarnation()}}})
		<-time.After(time.Second)
		p.locked(func() {
			is.True(p.published[0].Draining)
			e := p.engines["a"]
			e.server.StartUnixMs, e.ordersAccepted, e.models = 7, 0, make(map[deck.ModelName]map[deck.AdapterName]bool)
		})
		<-time.After(10 * time.Second)
		p.locked(func() { is.True(!p.published[0].Draining) })
		is.Equal(p.copies(model(0)), 1)
	})
}

// TestEngineGetsNoOrdersInThePauseThatItAskedFor guards against orders and requests for reports to an engine that refuses them and
// says for how long.
func TestEngineGetsNoOrdersInThePauseThatItAskedFor(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(t, testSpec(4), 2, 1)
	p.engines["a"].pause = 3 * time.Second
	runController(t, p, func(*Controller) {
		<-time.After(15 * time.Second)
		p.locked(func() {
			is.Equal(p.inPause, 0)
			p.engines["a"].pause = 0
		})
		<-time.After(15 * time.Second)
		is.Equal(p.copies(model(3)), 1) // the other engine has room for three
	})
}
