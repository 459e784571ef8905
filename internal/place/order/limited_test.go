package order

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// TestModelsOfLimitedEngineGetFurtherCopies guards against models that are on one engine only and are refused beyond the limit that this
// names, although other engines have room, and against copies on an engine that can't serve their calls.
func TestModelsOfLimitedEngineGetFurtherCopies(t *testing.T) {
	const (
		tokensPerCall = 1000
		callsPerTick  = 5 // for each model
		tick          = 500 * time.Millisecond
		models        = 4
	)
	for _, tc := range []struct {
		name  string
		limit float64
		binds bool
	}{
		{"binds", 2, true},
		{"far more than comes", 1000, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			p := newFakePlatform(t, testSpec(models), 4, 1)
			p.limits = map[deck.BackendName]float64{"a": tc.limit}
			runController(t, p, func(c *Controller) {
				for range 80 {
					for m := range models {
						c.RecordReport(deck.ViewRequest{Demand: []deck.CallDemand{
							{Service: "llm", Model: model(m), Calls: callsPerTick, Tokens: callsPerTick * tokensPerCall},
						}})
					}
					<-time.After(tick)
				}
			})
			held := p.engines["a"].held()
			is.Equal(len(held) == 1, tc.binds) // it gets no further copies
			for _, m := range held {
				is.True(p.copies(m.Name) >= 2)
			}
		})
	}
}

// TestAdapterOfLimitedEngineIsLoadedElsewhere guards against calls for an adapter that are refused, because the only engine that holds it
// takes no more of them, although others hold its model.
func TestAdapterOfLimitedEngineIsLoadedElsewhere(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(t, testSpec(1), 2, 1)
	runController(t, p, func(c *Controller) {
		for range 40 {
			reportDemand(c, 0, 10_000)
			<-time.After(500 * time.Millisecond)
		}
		is.Equal(p.copies(model(0)), 2)
		place := func() deck.BackendName {
			placement, err := c.PlaceFor(context.Background(), "", deck.PlacementRequest{Service: "llm", Model: model(0), Adapter: "a1"})
			is.NoErr(err)
			return placement.Server
		}
		first := place()
		is.True(first != "")
		is.Equal(place(), first)
		p.locked(func() { p.limits = map[deck.BackendName]float64{first: 2} })
		second := place()
		is.True(second != "" && second != first)
		p.locked(func() { p.limits[second] = 2 })
		is.True(place() != "") // an engine with a limit takes some calls
	})
}
