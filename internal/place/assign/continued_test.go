package assign_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/assign"
)

// TestModelsOfInterruptedStreamsArePlaced guards against streams that can't go on because no engine of their software version holds the
// model any more, although one could load it, and against loads or evictions for streams that can go on or that would take a model's last
// copy.
func TestModelsOfInterruptedStreamsArePlaced(t *testing.T) {
	of := func(v deck.SoftwareVersion, e assign.Engine) assign.Engine {
		e.Software = v
		return e
	}
	needed := assign.Continued{Model: name(0), Software: "v1"}
	without := needed
	without.Unusable = []deck.BackendName{"a"}
	for _, tc := range []struct {
		name    string
		needed  assign.Continued
		engines []assign.Engine
		want    []assign.Action
	}{
		{"another version holds it", needed, []assign.Engine{of("v2", engine("a", 0)), of("v1", engine("b", 1)), of("v2", engine("c"))},
			[]assign.Action{{Engine: "b", Load: name(0), FromStore: true}}},
		{"its version holds it", needed, []assign.Engine{of("v1", engine("a", 0)), of("v1", engine("b", 1))}, nil},
		{"its version loads it", needed, []assign.Engine{of("v1", loading("a", 0)), of("v1", engine("b", 1))}, nil},
		{"its holder has crashed", without, []assign.Engine{of("v1", engine("a", 0)), of("v1", engine("b", 1))},
			[]assign.Action{{Engine: "b", Load: name(0), FromStore: true}}},
		{"its version has no engine", needed, []assign.Engine{of("v2", engine("a", 0)), of("v2", engine("b", 1))}, nil},
		{"a spare copy makes room", needed, []assign.Engine{of("v2", engine("a", 0, 1, 4)), of("v1", engine("b", 1, 2, 3))},
			[]assign.Action{{Engine: "b", Unload: []deck.ModelName{name(1)}, Load: name(0), FromStore: true}}},
		{"only last copies", needed, []assign.Engine{of("v2", engine("a", 0, 4)), of("v1", engine("b", 1, 2, 3))}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			demand := assign.Demand{}
			for m := range 5 {
				demand[name(m)] = 1000
			}
			plan := assign.NewPlan(spec(5), tc.engines, estimate(demand), 1, tc.needed)
			var got []assign.Action
			for _, a := range plan.Actions {
				if a.Load == name(0) {
					got = append(got, a)
				}
			}
			is.Equal(got, tc.want)
		})
	}
}

func loading(id string, m int) assign.Engine {
	e := engine(id)
	e.Loading = name(m)
	e.UsedMegabytes = 70
	return e
}
