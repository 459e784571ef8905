package order

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// TestModelIsLoadedForAnInterruptedStream guards against a stream that waits in vain for an engine of its software version: a holder of
// another version, or one that the requesting VM can't use, does not help.
func TestModelIsLoadedForAnInterruptedStream(t *testing.T) {
	for _, unusable := range []bool{false, true} {
		is := is.New(t)
		p := newFakePlatform(t, testSpec(1), 3, 1)
		for id, e := range p.engines {
			e.server.Software = map[deck.BackendName]deck.SoftwareVersion{"a": "v1", "b": "v2", "c": "v1"}[id]
		}
		holder, other := deck.BackendName("b"), deck.BackendName("")
		if unusable {
			holder, other = "a", "c"
		}
		p.engines[holder].models[model(0)] = make(map[deck.AdapterName]bool)
		runController(t, p, func(c *Controller) {
			reportDemand(c, 0, 100) // no second copy is loaded while there is demand
			<-time.After(1500 * time.Millisecond)
			r := deck.PlacementRequest{Service: "llm", Model: model(0), Continued: &deck.StreamOrigin{Service: "llm", Software: "v1"}}
			if unusable {
				r.Unusable = []deck.BackendName{holder}
			}
			first, err := c.PlaceFor(context.Background(), "dc", r)
			is.NoErr(err)
			is.Equal(first.Server, deck.BackendName(""))
			is.True(first.ReadyIn > 0)
			<-time.After(first.ReadyIn + time.Second)
			then, err := c.PlaceFor(context.Background(), "dc", r)
			is.NoErr(err)
			is.True(then.Server != "" && then.Server != holder && (other == "" || then.Server == other))
		})
	}
}
