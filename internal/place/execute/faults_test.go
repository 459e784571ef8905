package execute

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Guards against a fault that overcommits an engine or that keeps the engines from reaching the state in force.
func TestPlacementSurvivesFault(t *testing.T) {
	update := deck.Ticket{Models: []deck.Model{testModel("m0", "v2"), testModel("m1", "v2"), testModel("m2", "v2")}}
	for name, fault := range map[string]func(w *simulation){
		"no fault": func(w *simulation) { w.deliverAll() },
		"operations lost": func(w *simulation) {
			for len(w.ops) > 0 {
				w.loseOperation(0)
			}
		},
		"operations late": func(w *simulation) {
			for range 39 {
				w.advance(250 * time.Millisecond)
			}
			w.deliverAll()
		},
		"operations repeated": func(w *simulation) {
			for i := range w.ops {
				w.deliverOperation(i, true, true)
			}
			w.run(5 * time.Second)
		},
		"operations out of order": func(w *simulation) {
			w.advance(4 * time.Second)
			for len(w.ops) > 0 {
				w.deliverOperation(len(w.ops)-1, true, false)
			}
		},
		"answers lost": func(w *simulation) {
			for len(w.ops) > 0 {
				w.deliverOperation(0, false, false)
			}
		},
		"reports lost": func(w *simulation) {
			for len(w.reports) > 0 {
				w.loseReport(0)
			}
		},
		"reports out of order": func(w *simulation) {
			w.answerReport(0, false)
			w.run(3 * time.Second)
		},
		"engine restarts between operation and report": func(w *simulation) {
			for len(w.ops) > 0 {
				w.deliverOperation(0, true, false)
			}
			for _, b := range w.state.BackendServers() {
				w.restart(b.Name)
			}
		},
		"leader replaced": func(w *simulation) {
			w.replaceLeader()
			w.runCurrentLeader(9 * time.Second)
		},
		"ticket on top of an unfinished ticket": func(w *simulation) {
			w.apply(deck.Ticket{Models: []deck.Model{testModel("m0", "v3"), testModel("m3", "v2")}})
			w.deliverAll()
		},
		"report contradicts the ledger": func(w *simulation) {
			w.fakes["e0"].extraBytes = 5 * deck.GiB
			w.run(3 * time.Second)
			clear(w.fakes["e1"].models)
		},
		"weight store down": func(w *simulation) {
			w.loads = 0
			w.run(time.Minute)
			w.loads = 1
		},
		"data centre cut off, engine leaves": func(w *simulation) {
			w.loads = 1 // the own half of the share
			w.leaving = map[deck.BackendName]bool{"e2": true}
			w.run(time.Minute)
		},
	} {
		for _, checks := range []bool{true, false} {
			t.Run(name+", "+map[bool]string{true: "tokens checked", false: "tokens ignored"}[checks], func(t *testing.T) {
				is := is.New(t)
				w := newSimulation(testState(3, 5, checks))
				w.run(time.Minute)
				is.Equal(len(w.unplaced()), 0)
				is.True(w.apply(update))
				w.advance(time.Second)
				fault(w)
				w.run(2 * time.Minute)
				is.Equal(w.violations, nil)
				is.Equal(len(w.unplaced()), 0)
			})
		}
	}
}

// Guards against a new leader that fills memory which an old leader's late operation then takes.
func TestLeaderReplacedDuringTicket(t *testing.T) {
	for _, checks := range []bool{true, false} {
		for _, late := range []time.Duration{0, time.Second, 5 * time.Second, 9 * time.Second} {
			is := is.New(t)
			w := newSimulation(tightState(checks))
			w.run(15 * time.Second) // the first leader takes over
			w.loads = 2
			w.apply(deck.Ticket{Models: []deck.Model{testModel("m0", "v1"), testModel("m1", "v1")}})
			w.advance(time.Second)
			is.Equal(len(w.ops), 2)
			var next deck.Ticket
			for _, m := range w.state.Models() {
				next.Models = append(next.Models, deck.Model{Name: m.Name, Absent: true})
			}
			next.Models = append(next.Models, testModel("m3", "v1"), testModel("m4", "v1"))
			is.True(w.apply(next))
			w.replaceLeader()
			if late == 0 { // the old operations overtake the new leader's first ones
				w.runReportsOnly(20)
				w.deliverAll()
			}
			w.runCurrentLeader(late)
			for i := len(w.ops) - 1; i >= 0; i-- {
				w.deliverOperation(i, true, false)
			}
			w.run(2 * time.Minute)
			is.Equal(w.violations, nil)
			is.Equal(len(w.unplaced()), 0)
		}
	}
}

// tightState has one empty engine with room for two models and a transient need.
func tightState(checks bool) deck.State {
	s := testState(1, 0, checks)
	b, _ := s.BackendServer("e0")
	b.AcceleratorBytes = 34 * deck.GiB
	return s.WithTicket(deck.Ticket{BackendServers: []deck.BackendServer{b}}, 2)
}

// Guards against an engine that goes while a model has its only place there.
func TestLeavingEngineKeepsItsModelsUntilTheyArePlacedElsewhere(t *testing.T) {
	is := is.New(t)
	w := newSimulation(testState(3, 6, true))
	w.run(time.Minute)
	w.leaving = map[deck.BackendName]bool{"e0": true}
	before := len(w.fakes["e0"].models)
	is.True(before > 0)
	w.run(time.Minute)
	is.Equal(len(w.fakes["e0"].models), before) // answers still run there
	for _, m := range w.state.Models() {
		t, _ := w.ctl.Residency()
		is.True(slices.ContainsFunc(t.Replicas(m.Name), func(r deck.Replica) bool { return r.Ready && r.Backend != "e0" }))
	}
}

// Guards against a replica that goes soon after it came because the plan changed.
func TestUnwantedReplicaStaysForMinimumResidence(t *testing.T) {
	is := is.New(t)
	s := testState(2, 2, true)
	var t2 deck.Ticket
	for _, b := range s.BackendServers() {
		b.AcceleratorBytes = 27 * deck.GiB // two models and a transient need
		t2.BackendServers = append(t2.BackendServers, b)
	}
	w := newSimulation(s.WithTicket(t2, 2))
	w.run(time.Minute)
	is.Equal(len(w.fakes["e1"].models), 1)
	m, _ := w.state.Model("m0")
	w.fakes["e1"].run(deck.Operation{
		ID: "other", Kind: deck.OpLoadModel, Model: "m0", Version: "v1", FencingToken: w.token, ResidentBytes: m.Versions[0].ResidentBytes(),
	})
	w.run(10 * time.Second)
	// With its adapter m1 leaves no room for m0 beside it.
	w.state = w.state.WithTicket(deck.Ticket{Adapters: []deck.Adapter{{Name: "a", Model: "m1", Bytes: 6 * deck.GiB}}}, 3)
	w.run(90 * time.Second)
	is.Equal(w.ctl.target.Includes("e1", "m0"), false)
	is.Equal(len(w.fakes["e1"].models), 2)
	w.run(time.Minute)
	is.Equal(len(w.fakes["e1"].models), 1)
	is.Equal(len(w.unplaced()), 0)
}
