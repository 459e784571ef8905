package execute

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Guards against a single fault during a ticket that overcommits an engine's memory or prevents the engines from reaching
// the state in force.
func TestPlacementSurvivesFault(t *testing.T) {
	update := deck.Ticket{Models: []deck.Model{testModel("m0", "v2"), testModel("m1", "v2"), testModel("m2", "v2")}}
	for name, fault := range map[string]func(sim *simulation){
		"no fault": func(sim *simulation) { sim.deliverAll() },
		"operations lost": func(sim *simulation) {
			for len(sim.ops) > 0 {
				sim.loseOperation(0)
			}
		},
		"operations late": func(sim *simulation) {
			for range 39 {
				sim.advance(250 * time.Millisecond)
			}
			sim.deliverAll()
		},
		"operations repeated": func(sim *simulation) {
			for i := range sim.ops {
				sim.deliverOperation(i, true, true)
			}
			sim.run(5 * time.Second)
		},
		"operations out of order": func(sim *simulation) {
			sim.advance(4 * time.Second)
			for len(sim.ops) > 0 {
				sim.deliverOperation(len(sim.ops)-1, true, false)
			}
		},
		"answers lost": func(sim *simulation) {
			for len(sim.ops) > 0 {
				sim.deliverOperation(0, false, false)
			}
		},
		"reports lost": func(sim *simulation) {
			for len(sim.reports) > 0 {
				sim.loseReport(0)
			}
		},
		"reports out of order": func(sim *simulation) {
			sim.answerReport(0, false)
			sim.run(3 * time.Second)
		},
		"engine restarts between operation and report": func(sim *simulation) {
			for len(sim.ops) > 0 {
				sim.deliverOperation(0, true, false)
			}
			for _, b := range sim.state.BackendServers() {
				sim.restart(b.Name)
			}
		},
		"leader replaced": func(sim *simulation) {
			sim.replaceLeader()
			sim.runCurrentLeader(9 * time.Second)
		},
		"ticket on top of an unfinished ticket": func(sim *simulation) {
			sim.apply(deck.Ticket{Models: []deck.Model{testModel("m0", "v3"), testModel("m3", "v2")}})
			sim.deliverAll()
		},
		"report contradicts the ledger": func(sim *simulation) {
			sim.fakes["e0"].extraBytes = 5 * deck.GiB
			sim.run(3 * time.Second)
			clear(sim.fakes["e1"].models)
		},
		"weight store down": func(sim *simulation) {
			sim.loads = 0
			sim.run(time.Minute)
			sim.loads = 1
		},
		"data centre cut off, engine leaves": func(sim *simulation) {
			sim.loads = 1 // the owned half of the share
			sim.leaving = map[deck.BackendName]bool{"e2": true}
			sim.run(time.Minute)
		},
	} {
		for _, checks := range []bool{true, false} {
			t.Run(name+", "+map[bool]string{true: "tokens checked", false: "tokens ignored"}[checks], func(t *testing.T) {
				is := is.New(t)
				sim := newSimulation(testState(3, 5, checks))
				sim.run(time.Minute)
				is.Equal(len(sim.withoutReadyReplica()), 0)
				is.True(sim.apply(update))
				sim.advance(time.Second)
				fault(sim)
				sim.run(2 * time.Minute)
				is.Equal(sim.violations, nil)
				is.Equal(len(sim.withoutReadyReplica()), 0)
			})
		}
	}
}

// Guards against a new leader that loads models into memory which a late operation of the old leader then also uses.
func TestLeaderReplacedDuringTicket(t *testing.T) {
	for _, checks := range []bool{true, false} {
		for _, late := range []time.Duration{0, time.Second, 5 * time.Second, 9 * time.Second} {
			is := is.New(t)
			sim := newSimulation(tightState(checks))
			sim.run(15 * time.Second) // the first leader takes over
			sim.loads = 2
			sim.apply(deck.Ticket{Models: []deck.Model{testModel("m0", "v1"), testModel("m1", "v1")}})
			sim.advance(time.Second)
			is.Equal(len(sim.ops), 2)
			var next deck.Ticket
			for _, m := range sim.state.Models() {
				next.Models = append(next.Models, deck.Model{Name: m.Name, Absent: true})
			}
			next.Models = append(next.Models, testModel("m3", "v1"), testModel("m4", "v1"))
			is.True(sim.apply(next))
			sim.replaceLeader()
			if late == 0 { // the old operations arrive before the new leader's first ones
				sim.runReportsOnly(20)
				sim.deliverAll()
			}
			sim.runCurrentLeader(late)
			for i := len(sim.ops) - 1; i >= 0; i-- {
				sim.deliverOperation(i, true, false)
			}
			sim.run(2 * time.Minute)
			is.Equal(sim.violations, nil)
			is.Equal(len(sim.withoutReadyReplica()), 0)
		}
	}
}

// tightState returns a state with one empty engine that has room for two models and the transient memory of one.
func tightState(checks bool) deck.State {
	s := testState(1, 0, checks)
	b, _ := s.BackendServer("e0")
	b.AcceleratorBytes = 34 * deck.GiB
	return s.WithTicket(deck.Ticket{BackendServers: []deck.BackendServer{b}}, 2)
}

// Guards against a leaving engine that holds the only replica of a model or unloads models while answers still run on it.
func TestLeavingEngineKeepsItsModelsUntilTheyArePlacedElsewhere(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(testState(3, 6, true))
	sim.run(time.Minute)
	sim.leaving = map[deck.BackendName]bool{"e0": true}
	before := len(sim.fakes["e0"].models)
	is.True(before > 0)
	sim.run(time.Minute)
	is.Equal(len(sim.fakes["e0"].models), before) // answers may still run there
	for _, m := range sim.state.Models() {
		t, _ := sim.controller.Residency()
		is.True(slices.ContainsFunc(t.Replicas(m.Name), func(r deck.ModelReplica) bool { return r.Ready && r.Backend != "e0" }))
	}
}

// Guards against unloading a replica soon after it was loaded because the target changed.
func TestUnwantedReplicaStaysForMinimumResidence(t *testing.T) {
	is := is.New(t)
	s := testState(2, 2, true)
	var t2 deck.Ticket
	for _, b := range s.BackendServers() {
		b.AcceleratorBytes = 27 * deck.GiB // two models and the transient memory of one
		t2.BackendServers = append(t2.BackendServers, b)
	}
	sim := newSimulation(s.WithTicket(t2, 2))
	sim.run(time.Minute)
	is.Equal(len(sim.fakes["e1"].models), 1)
	m, _ := sim.state.Model("m0")
	sim.fakes["e1"].run(deck.Operation{
		ID: "other", Kind: deck.OpLoadModel, Model: "m0", Version: "v1", FencingToken: sim.token, ResidentBytes: m.Versions[0].ResidentBytes(),
	})
	sim.run(10 * time.Second)
	// With its adapter, m1 leaves no room for m0 on the same engine.
	sim.state = sim.state.WithTicket(deck.Ticket{Adapters: []deck.Adapter{{Name: "a", Model: "m1", Bytes: 6 * deck.GiB}}}, 3)
	sim.run(90 * time.Second)
	is.Equal(sim.controller.target.Includes("e1", "m0"), false)
	is.Equal(len(sim.fakes["e1"].models), 2)
	sim.run(time.Minute)
	is.Equal(len(sim.fakes["e1"].models), 1)
	is.Equal(len(sim.withoutReadyReplica()), 0)
}
