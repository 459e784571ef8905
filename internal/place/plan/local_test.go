package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

func testState(centres, engines, models int, capacity deck.Bytes) deck.State {
	var t deck.Ticket
	for c := range centres {
		for i := range engines {
			t.BackendServers = append(t.BackendServers, deck.BackendServer{
				Name: deck.BackendName(fmt.Sprintf("e%d-%d", c, i)), DataCentre: deck.DataCentre(fmt.Sprintf("dc%d", c)),
				Accelerators: 1, AcceleratorBytes: capacity,
			})
		}
	}
	for i := range models {
		t.Models = append(t.Models, deck.Model{Name: deck.ModelName(fmt.Sprintf("m%d", i)), Active: "v1", Versions: []deck.ModelVersion{
			{Name: "v1", WeightBytes: 10 * deck.GiB, TransientBytes: 2 * deck.GiB},
		}})
	}
	return deck.State{}.WithTicket(t, 1)
}

// Guards against accepting a ticket for which some model fits on no engine, and against a single home data centre where
// memory allows two.
func TestAssignHomesFillsSecondHomesWhereMemoryAllows(t *testing.T) {
	for _, tt := range []struct {
		models   int
		feasible bool
		atRisk   bool
		tight    bool
	}{
		{8, true, false, false}, // 24 replicas fit: two of each model and a spare in each data centre
		{15, true, true, false},
		{24, true, true, true},
		{25, false, false, false},
	} {
		is := is.New(t)
		s := testState(2, 4, tt.models, 33*deck.GiB)
		h, err := AssignHomes(s)
		is.Equal(err == nil, tt.feasible)
		is.Equal(CheckFeasible(s) == nil, tt.feasible)
		is.Equal(len(h.AtRisk()) > 0, tt.atRisk)
		is.Equal(len(h.WithoutSpare()) > 0, tt.tight)
	}
}

// Guards against replicas that move back and forth between engines because one is evicted soon after it was loaded.
func TestReplicaStaysForMinimumResidence(t *testing.T) {
	now := time.Unix(10000, 0)
	for _, tt := range []struct {
		age     time.Duration
		evicted bool
	}{{time.Minute, false}, {3 * time.Minute, true}} {
		is := is.New(t)
		s := testState(1, 2, 4, 34*deck.GiB)
		h, err := AssignHomes(s)
		is.NoErr(err)
		var current []Placement
		for _, p := range []ReplicaID{{"e0-0", "m0"}, {"e0-0", "m1"}, {"e0-1", "m1"}, {"e0-1", "m2"}, {"e0-1", "m3"}} {
			current = append(current, Placement{Backend: p.Backend, Model: p.Model, Since: now.Add(-tt.age)})
		}
		current[1].Since = now.Add(-time.Hour)
		target := ComputeTarget(Input{
			State: s, DataCentre: "dc0", Homes: h, Current: current, Now: now,
			Demand: map[deck.ModelName]Rates{"m0": {Fast: 900, Slow: 900}},
		})
		is.Equal(target.Includes("e0-1", "m0"), tt.evicted) // m0 replaces the second replica of m1
		is.Equal(target.Includes("e0-1", "m1"), !tt.evicted)
	}
}
