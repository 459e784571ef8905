package order

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

func testSpec(models int) deck.EngineSpec {
	s := deck.EngineSpec{WeightMegabytes: 230, AdapterSlots: 3, StoreLoadsPerS: 3}
	for i := range models {
		s.Models = append(s.Models, deck.EngineModel{
			Name: model(i), Megabytes: 70, AdapterMegabytes: 0.1, Adapters: 8, LoadTime: 3 * time.Second,
		})
	}
	return s
}

func model(i int) deck.ModelName {
	return deck.ModelName(fmt.Sprintf("m%d", i))
}

// run plays a controller in virtual time; f ends the play.
func run(t *testing.T, w *world, f func(c *Controller)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := NewController(Options{
			Self: "self", Watch: w, Clock: deck.SystemClock{}, Fresh: time.Second, Lease: 3 * time.Second, Fenced: !w.unfenced,
			Engines: w, List: w, Config: w.config, Publish: w.publish, Calls: func(deck.BackendName) int { return 0 }, Log: logr.Discard(),
		})
		var g errgroup.Group
		g.Go(func() error { return c.Run(ctx) })
		f(c)
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
		<-time.After(15 * time.Second) // orders that are carried out late
		w.set(func() {
			for _, b := range w.broken {
				t.Error(b)
			}
		})
	})
}

func ask(c *Controller, m int, tokens int) {
	c.TakeReport(deck.ViewRequest{Demand: []deck.CallDemand{{Service: "llm", Model: model(m), Tokens: tokens}}})
}

func TestEveryModelGetsAPlace(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, testSpec(6), 3, 1)
	run(t, w, func(*Controller) {
		<-time.After(20 * time.Second)
		for i := range 6 {
			is.True(w.copies(model(i)) >= 1)
		}
	})
}

// Guards against two holders within a lease where engines don't tell them apart.
func TestNewLeaderWaitsForTheLease(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, testSpec(2), 2, 1)
	w.unfenced = true
	run(t, w, func(*Controller) {
		<-time.After(2900 * time.Millisecond)
		is.Equal(w.ordered(), 0)
		<-time.After(time.Second)
		is.True(w.ordered() > 0)
	})
}

func TestNewLeaderWaitsShortlyBehindFences(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, testSpec(2), 2, 1)
	run(t, w, func(*Controller) {
		<-time.After(400 * time.Millisecond)
		is.Equal(w.ordered(), 0)
		<-time.After(time.Second)
		is.True(w.ordered() > 0)
	})
}

func TestNoOrderAfterTheLeadershipIsLost(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, testSpec(6), 3, 1)
	run(t, w, func(c *Controller) {
		<-time.After(4 * time.Second)
		w.set(func() { w.leads = false })
		n := w.ordered()
		ask(c, 1, 10000)
		<-time.After(5 * time.Second)
		is.Equal(w.ordered(), n)
	})
}

// Guards against loads that exceed the store's rate in any span of five seconds.
func TestStoreLoadsKeepTheRate(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, testSpec(24), 9, 1)
	var n [25]int
	run(t, w, func(*Controller) {
		for s := range n {
			n[s] = w.ordered()
			<-time.After(time.Second)
		}
	})
	for s := 5; s < len(n); s++ {
		is.True(float64(n[s]-n[s-5]) <= 3*5*1.1+3)
	}
	is.True(n[24] >= 24)
}

// Guards against an engine that is ordered to hold more than it can while orders are lost or carried out late, demand moves,
// and adapters are asked for all the time.
func TestLimitsHoldWhileOrdersAreLostAndLate(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w := newWorld(t, testSpec(7), 4, seed)
			w.lossy = 0.4
			random := rand.New(rand.NewPCG(seed, 2))
			run(t, w, func(c *Controller) {
				var g errgroup.Group
				for step := range 120 {
					ask(c, (step/30)%7, 5000)
					a := deck.AdapterName(fmt.Sprint("a", random.IntN(8)))
					m := model(random.IntN(7))
					g.Go(func() error {
						_, _ = c.PlaceFor(context.Background(), "dc", "llm", m, a) // what matters is what the engines see
						return nil
					})
					<-time.After(250 * time.Millisecond)
				}
				_ = g.Wait() // always nil
			})
		})
	}
}

func TestAdapterIsPlacedOnceForSeveralCallers(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, testSpec(1), 1, 1)
	run(t, w, func(c *Controller) {
		<-time.After(10 * time.Second) // the model is loaded
		before := w.ordered()
		var g errgroup.Group
		for range 5 {
			g.Go(func() error {
				p, err := c.PlaceFor(context.Background(), "dc", "llm", model(0), "a1")
				if err == nil && p.Server != "a" {
					return fmt.Errorf("adapter is at %q", p.Server)
				}
				return err
			})
		}
		is.NoErr(g.Wait())
		is.Equal(w.ordered(), before+1)
	})
}

// Guards against loads from the weight store that are counted for engines which took no order: after a crash the platform's
// list shows the former engines for some seconds, and others answer at their addresses.
func TestRestartedEnginesCostNoStoreLoads(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, testSpec(6), 4, 1)
	w.set(func() {
		for id, e := range w.engines {
			e.server.Born = 1
			e.restarted = id != "a"
		}
	})
	run(t, w, func(*Controller) {
		<-time.After(12 * time.Second)
		w.set(func() {
			is.Equal(w.orders, 3) // all at the engine that the list shows rightly
			is.Equal(len(w.engines["a"].models), 3)
		})
	})
}

// Load pattern: a model's copy makes way while calls for the model run, so that the engine takes no other order for seconds
// and refuses the calls that come.
func TestEntryVMsAreNotSentToAModelThatWaitsForItsRuns(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, testSpec(4), 2, 1)
	w.set(func() {
		for id, held := range map[deck.BackendName][]int{"a": {0, 2, 3}, "b": {0, 1, 3}} {
			e := w.engines[id]
			e.runs = 4 * time.Second
			for _, m := range held {
				e.models[model(m)] = make(map[deck.AdapterName]bool)
			}
		}
	})
	run(t, w, func(c *Controller) {
		for range 30 {
			ask(c, 2, 100000)
			ask(c, 0, 20)
			<-time.After(100 * time.Millisecond)
			w.set(func() {
				for _, e := range w.engines {
					is.True(e.leaving == "" || !w.shows(e.server.ID, e.leaving))
				}
			})
		}
		waited := false
		w.set(func() {
			for _, e := range w.engines {
				waited = waited || e.seq > 0
			}
		})
		is.True(waited) // a model had to make way
	})
}

// Guards against an engine that is left alone for the longest time an order may take because it went dark while it loaded a
// model, and came back empty.
func TestEngineThatWentDarkIsUsedAgain(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, testSpec(1), 1, 1)
	run(t, w, func(*Controller) {
		e := w.engines["a"]
		for loading := false; !loading; {
			<-time.After(50 * time.Millisecond)
			w.set(func() {
				loading = e.loading != ""
				e.dark = loading
			})
		}
		<-time.After(6 * time.Second)
		w.set(func() { e.dark, e.loading, e.seq, e.fence = false, "", 0, 0 })
		<-time.After(5 * time.Second) // a load takes three
		is.Equal(w.copies(model(0)), 1)
	})
}
