package execute

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/plan"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
)

// Guards against any sequence of faults that overcommits an engine, removes a model's last replica or leaves a model without
// a replica after the faults end. The oracle sums the memory of each fake engine after every step.
func TestFuzzPlacement(t *testing.T) {
	decktest.Check(t, func(rt *rapid.T) {
		sim := newSimulation(fuzzState(rt))
		for _, b := range sim.state.BackendServers() {
			sim.fakes[b.Name].extraBytes = deck.Bytes(rapid.IntRange(0, 2).Draw(rt, "ballast")) * deck.GiB
		}
		for range rapid.IntRange(10, 120).Draw(rt, "steps") {
			fuzzStep(rt, sim)
			if len(sim.violations) > 0 {
				rt.Fatalf("%v: %v", sim.now, sim.violations)
			}
		}
		sim.leaving, sim.loads = nil, 3
		for range 10 {
			sim.run(30 * time.Second)
			if len(sim.withoutReadyReplica()) == 0 {
				break
			}
		}
		if len(sim.violations) > 0 {
			rt.Fatalf("%v: %v", sim.now, sim.violations)
		}
		if m := sim.withoutReadyReplica(); len(m) > 0 {
			rt.Fatalf("no ready replica after 5 min without faults: %v\n%s", m, sim.describe())
		}
	})
}

// fuzzState returns a state with three engines that check tokens or not, between one third full and nearly full.
func fuzzState(rt *rapid.T) deck.State {
	perEngine := rapid.IntRange(2, 4).Draw(rt, "models per engine")
	s := testState(3, rapid.IntRange(perEngine, 3*perEngine-1).Draw(rt, "models"), true)
	var t deck.Ticket
	for _, b := range s.BackendServers() {
		b.ChecksFencing = rapid.Bool().Draw(rt, "checks tokens")
		b.AcceleratorBytes = deck.Bytes(perEngine)*10*deck.GiB + 7*deck.GiB // room for one transient load, extra memory and adapters
		t.BackendServers = append(t.BackendServers, b)
	}
	for i := range rapid.IntRange(0, 2).Draw(rt, "adapters") {
		t.Adapters = append(t.Adapters, deck.Adapter{Name: deck.AdapterName(fmt.Sprintf("a%d", i)), Model: "m0", Bytes: deck.GiB})
	}
	return s.WithTicket(t, 1)
}

func fuzzStep(rt *rapid.T, sim *simulation) {
	index := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "index") }
	engine := deck.BackendName(fmt.Sprintf("e%d", index(3)))
	sim.advance(time.Duration(rapid.IntRange(1, 8).Draw(rt, "quarters")) * 250 * time.Millisecond)
	switch rapid.IntRange(0, 29).Draw(rt, "action") {
	case 0:
		sim.restart(engine)
	case 1:
		sim.replaceLeader()
	case 2, 3:
		fuzzTicket(rt, sim)
	case 4:
		sim.fakes[engine].loadTime = time.Duration(rapid.IntRange(0, 30).Draw(rt, "load time")) * time.Second
	case 5:
		sim.loads = rapid.IntRange(0, 4).Draw(rt, "loads")
	case 6:
		sim.leaving = map[deck.BackendName]bool{engine: rapid.Bool().Draw(rt, "leaving")}
	case 7:
		m := deck.ModelName(fmt.Sprintf("m%d", index(5)))
		sim.demand = map[deck.ModelName]plan.Rates{m: {Fast: 3000, Slow: 2000}}
	case 8, 9, 10:
		sim.deliverAll()
	case 11:
		sim.run(5 * time.Second)
	case 12, 13:
		fuzzTakeover(rt, sim)
	default:
		fuzzNetwork(rt, sim)
	}
}

// fuzzTakeover makes a new leader work on a new ticket while the old leader's operations are still in flight.
func fuzzTakeover(rt *rapid.T, sim *simulation) {
	sim.advance(time.Second)
	fuzzTicket(rt, sim)
	fuzzTicket(rt, sim)
	sim.replaceLeader()
	sim.runCurrentLeader(time.Duration(rapid.IntRange(1, 9).Draw(rt, "seconds")) * time.Second)
	for i := len(sim.ops) - 1; i >= 0; i-- {
		sim.deliverOperation(i, true, rapid.Bool().Draw(rt, "again"))
	}
}

// fuzzNetwork delivers, repeats, loses or delays messages in any order.
func fuzzNetwork(rt *rapid.T, sim *simulation) {
	for range rapid.IntRange(1, 6).Draw(rt, "messages") {
		kind := rapid.IntRange(0, 6).Draw(rt, "message")
		if kind < 4 && len(sim.ops) > 0 {
			i := rapid.IntRange(0, len(sim.ops)-1).Draw(rt, "operation")
			if kind == 0 {
				sim.loseOperation(i)
			} else {
				sim.deliverOperation(i, kind > 1, kind == 3)
			}
		}
		if kind >= 4 && len(sim.reports) > 0 {
			i := rapid.IntRange(0, len(sim.reports)-1).Draw(rt, "report")
			if kind == 4 {
				sim.loseReport(i)
			} else {
				sim.answerReport(i, kind == 6)
			}
		}
	}
}

func fuzzTicket(rt *rapid.T, sim *simulation) {
	name := deck.ModelName(fmt.Sprintf("m%d", rapid.IntRange(0, 5).Draw(rt, "model")))
	m, ok := sim.state.Model(name)
	kind := rapid.IntRange(0, 3).Draw(rt, "ticket")
	switch {
	case kind == 0 && ok:
		m.Absent = true
	case kind == 1 || !ok:
		m = testModel(name, "v1")
	default:
		v := deck.VersionName(fmt.Sprintf("v%d", rapid.IntRange(1, 3).Draw(rt, "version")))
		m = testModel(name, v)
	}
	sim.apply(deck.Ticket{Models: []deck.Model{m}})
}
