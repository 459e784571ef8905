package assign_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/place/assign"
)

// spec returns engines with three places each for models of equal size.
func spec(models int) deck.EngineSpec {
	s := deck.EngineSpec{WeightMegabytes: 230}
	for i := range models {
		s.Models = append(s.Models, deck.EngineModel{Name: name(i), Megabytes: 70})
	}
	return s
}

func name(i int) deck.ModelName {
	return deck.ModelName(fmt.Sprintf("m%02d", i))
}

// engine returns an idle engine that holds models.
func engine(id string, models ...int) assign.Engine {
	e := assign.Engine{
		ID: deck.BackendName(id), Idle: true, Models: map[deck.ModelName]bool{}, AtHand: map[deck.ModelName]bool{},
		Used: 70 * float64(len(models)),
	}
	for _, m := range models {
		e.Models[name(m)] = true
	}
	return e
}

func outlook(d assign.Demand) assign.Outlook {
	return assign.Outlook{Now: d, Keep: d}
}

func TestCopiesFollowTheWorkAndKeepAReserve(t *testing.T) {
	is := is.New(t)
	s := spec(6)
	want := assign.Copies(s, 6, assign.Demand{name(0): 600, name(1): 200, name(2): 10})
	total := 0
	for _, n := range want {
		total += n
	}
	is.True(want[name(0)] > want[name(1)])    // more work, more copies
	is.Equal(want[name(2)], 1)                // little work is served by one copy
	is.Equal(want[name(5)], 1)                // a model without work stays reachable
	is.True(total <= 18-assign.Reserve(s, 6)) // room is left for a model whose demand rises
}

// Load pattern: demand moves to a model with one copy within seconds. All missing copies start at once, into free places.
func TestRisingModelGetsItsCopiesTogether(t *testing.T) {
	is := is.New(t)
	s := spec(4)
	engines := []assign.Engine{
		engine("a", 0, 1), engine("b", 0, 2), engine("c", 0, 3), engine("d", 0), engine("e", 0), engine("f", 0),
	}
	var loads int
	for _, a := range assign.Next(s, engines, outlook(assign.Demand{name(1): 1000, name(0): 50}), 10) {
		is.True(a.Unload == "")
		if a.Load == name(1) {
			loads++
		}
	}
	is.True(loads >= 3)
}

// Load pattern: a crash takes the only copy of several models while another model is short of copies.
func TestLostModelsKeepTheLastFreePlaces(t *testing.T) {
	is := is.New(t)
	s := spec(5) // m03 and m04 are held by nobody
	engines := []assign.Engine{engine("a", 0, 1), engine("b", 0, 1, 2), engine("c", 0, 1)}
	actions := assign.Next(s, engines, outlook(assign.Demand{name(2): 1000}), 10)
	loaded := map[deck.ModelName]int{}
	for _, a := range actions {
		if a.Load != "" {
			loaded[a.Load]++
		}
	}
	is.Equal(loaded[name(3)]+loaded[name(4)], 2) // both free places
	is.Equal(loaded[name(2)], 0)
}

func TestTheLastCopyIsNeverUnloaded(t *testing.T) {
	is := is.New(t)
	s := spec(6)
	engines := []assign.Engine{engine("a", 0, 1, 2), engine("b", 3, 4, 5)}
	is.Equal(len(assign.Next(s, engines, outlook(assign.Demand{name(0): 1000}), 10)), 0)
}

func TestStoreLoadsStopAtTheLimit(t *testing.T) {
	is := is.New(t)
	s := spec(4)
	warm := engine("c")
	warm.AtHand[name(0)] = true
	engines := []assign.Engine{engine("a", 0, 1, 2), engine("b"), warm}
	actions := assign.Next(s, engines, outlook(assign.Demand{name(0): 1000, name(3): 10}), 1)
	store := 0
	for _, a := range actions {
		if a.Store {
			store++
		}
	}
	is.Equal(store, 1)
	is.Equal(len(actions), 2) // the copy at hand costs no load from the store
}

func TestBusyEnginesGetNoOrder(t *testing.T) {
	is := is.New(t)
	e := engine("a")
	e.Idle = false
	is.Equal(len(assign.Next(spec(2), []assign.Engine{e}, outlook(assign.Demand{name(0): 1}), 5)), 0)
}

// Load pattern: the engines that hold the busiest models have all the work while others idle.
func TestFurtherCopiesGoToEnginesWithLittleWork(t *testing.T) {
	is := is.New(t)
	s := spec(4)
	engines := []assign.Engine{engine("a", 0, 1), engine("b", 0, 1), engine("c", 0, 2), engine("idle", 2, 3)}
	actions := assign.Next(s, engines, outlook(assign.Demand{name(0): 900, name(1): 300}), 1)
	is.True(len(actions) > 0)
	is.Equal(actions[0].Engine, deck.BackendName("idle"))
}
