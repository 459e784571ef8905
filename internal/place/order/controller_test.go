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
	s := deck.EngineSpec{WeightMegabytes: 230, AdapterSlots: 3, StoreLoadsPerSecond: 3}
	for i := range models {
		s.Models = append(s.Models, deck.EngineModel{
			Name: model(i), Megabytes: 70, AdapterMegabytes: 0.1, AdapterCount: 8, LoadTime: 3 * time.Second,
		})
	}
	return s
}

func model(i int) deck.ModelName {
	return deck.ModelName(fmt.Sprintf("m%d", i))
}

// runController runs a controller in virtual time until f returns, and fails the test if an order broke a rule.
func runController(t *testing.T, p *fakePlatform, f func(c *Controller)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := NewController(Options{
			Self: "self", Monitor: p, Clock: deck.SystemClock{}, MaxLeadershipAge: time.Second,
			HandoverDelay: 3 * time.Second, EnginesCheckFencing: !p.unfenced,
			Engines: p, Servers: p, Config: p.config, Publish: p.publish, CallsInFlight: func(deck.BackendName) int { return 0 },
			Log: logr.Discard(), Restraints: &p.restraints, Limit: p.limit,
		})
		var g errgroup.Group
		g.Go(func() error { return c.Run(ctx) })
		f(c)
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
		<-time.After(15 * time.Second) // for delayed orders
		p.locked(func() {
			for _, v := range p.violations {
				t.Error(v)
			}
		})
	})
}

func reportDemand(c *Controller, m int, tokens int) {
	c.RecordReport(deck.ViewRequest{Demand: []deck.CallDemand{{Service: "llm", Model: model(m), Tokens: tokens}}})
}

func TestEveryModelIsLoaded(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(t, testSpec(6), 3, 1)
	runController(t, p, func(*Controller) {
		<-time.After(20 * time.Second)
		for i := range 6 {
			is.True(p.copies(model(i)) >= 1)
		}
	})
}

// Guards against orders from two leaders within a lease when engines don't check fencing tokens.
func TestNewLeaderWaitsForPreviousLease(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(t, testSpec(2), 2, 1)
	p.unfenced = true
	runController(t, p, func(*Controller) {
		<-time.After(2900 * time.Millisecond)
		is.Equal(p.ordersSent(), 0)
		<-time.After(time.Second)
		is.True(p.ordersSent() > 0)
	})
}

func TestNewLeaderWaitsBrieflyIfEnginesCheckFencing(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(t, testSpec(2), 2, 1)
	runController(t, p, func(*Controller) {
		<-time.After(400 * time.Millisecond)
		is.Equal(p.ordersSent(), 0)
		<-time.After(time.Second)
		is.True(p.ordersSent() > 0)
	})
}

func TestNoOrderAfterLeadershipIsLost(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(t, testSpec(6), 3, 1)
	runController(t, p, func(c *Controller) {
		<-time.After(4 * time.Second)
		p.locked(func() { p.leads = false })
		n := p.ordersSent()
		reportDemand(c, 1, 10000)
		<-time.After(5 * time.Second)
		is.Equal(p.ordersSent(), n)
	})
}

// Guards against loads that exceed the store's rate and burst in any window of five seconds.
func TestStoreLoadsStayWithinRate(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(t, testSpec(24), 9, 1)
	var n [25]int
	runController(t, p, func(*Controller) {
		for s := range n {
			n[s] = p.ordersSent()
			<-time.After(time.Second)
		}
	})
	for s := 5; s < len(n); s++ {
		is.True(float64(n[s]-n[s-5]) <= 3*5*1.1+3)
	}
	is.True(n[24] >= 24)
}

// Load pattern: demand moves to other models while all engines run long requests that end together. Guards against loads that were
// planned one after the other and begin together, more than the weight store allows.
func TestLoadsThatWaitForUnloadsBeginWithinRate(t *testing.T) {
	const (
		engines = 14
		models  = 56
		window  = 5 * time.Second
	)
	is := is.New(t)
	p := newFakePlatform(t, testSpec(models), engines, 1)
	n := 0
	for _, e := range p.engines {
		for _, m := range []int{0, 1, 2 + n} {
			e.models[model(m)] = make(map[deck.AdapterName]bool)
		}
		n++
	}
	runController(t, p, func(c *Controller) {
		end := time.Now().Add(12 * time.Second)
		for step := range 240 {
			p.locked(func() {
				for _, e := range p.engines {
					e.requestTime = max(0, time.Until(end))
				}
			})
			for m := range models {
				if m > 1 {
					reportDemand(c, m, 500+10*((m+step)%7))
				}
			}
			<-time.After(100 * time.Millisecond)
		}
	})
	is.True(len(p.loadStarts) > engines)
	for i, first := range p.loadStarts {
		inWindow := 0
		for _, t := range p.loadStarts[i:] {
			if t.Sub(first) < window {
				inWindow++
			}
		}
		is.True(float64(inWindow) <= 3*window.Seconds()*1.1+3)
	}
}

// Guards against orders that exceed an engine's memory or adapter slots while orders are lost or executed late, demand moves
// between models, and adapters are requested continuously.
func TestEngineLimitsHoldWithLostAndDelayedOrders(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			p := newFakePlatform(t, testSpec(7), 4, seed)
			p.lossRate = 0.4
			random := rand.New(rand.NewPCG(seed, 2))
			runController(t, p, func(c *Controller) {
				var g errgroup.Group
				for step := range 120 {
					reportDemand(c, (step/30)%7, 5000)
					a := deck.AdapterName(fmt.Sprint("a", random.IntN(8)))
					m := model(random.IntN(7))
					g.Go(func() error {
						r := deck.PlacementRequest{Service: "llm", Model: m, Adapter: a}
						_, _ = c.PlaceFor(context.Background(), "dc", r) // the fake engines check the orders
						return nil
					})
					<-time.After(250 * time.Millisecond)
				}
				_ = g.Wait() // always nil
			})
		})
	}
}

// Guards against a few late streams that count as crowding, and against lateness that is never forgotten.
func TestLateShareFollowsReportedStreams(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(t, testSpec(1), 1, 1)
	runController(t, p, func(c *Controller) {
		share := func() float64 {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.estimatorOf("llm").lateShare(time.Now())
		}
		report := func(streams, late int) {
			c.RecordReport(deck.ViewRequest{Demand: []deck.CallDemand{{
				Service: "llm", Model: model(0), Streams: streams, LateStreams: late,
			}}})
		}
		report(1, 1)
		is.True(share() < 0.05)
		report(200, 100)
		is.True(share() > 0.4)
		<-time.After(time.Minute)
		is.True(share() < 0.05)
	})
}

func TestConcurrentCallersShareOneAdapterLoad(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(t, testSpec(1), 1, 1)
	runController(t, p, func(c *Controller) {
		<-time.After(10 * time.Second) // the model is loaded
		before := p.ordersSent()
		var g errgroup.Group
		for range 5 {
			g.Go(func() error {
				placement, err := c.PlaceFor(context.Background(), "dc", deck.PlacementRequest{Service: "llm", Model: model(0), Adapter: "a1"})
				if err == nil && placement.Server != "a" {
					return fmt.Errorf("adapter is at %q", placement.Server)
				}
				return err
			})
		}
		is.NoErr(g.Wait())
		is.Equal(p.ordersSent(), before+1)
	})
}

// Guards against using up the weight store's tokens for engines that took no order. After a crash, the platform's list shows
// the former engines for some seconds, while other engines answer at their addresses.
func TestRestartedEnginesUseNoStoreLoads(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(t, testSpec(6), 4, 1)
	p.locked(func() {
		for id, e := range p.engines {
			e.server.StartUnixMs = 1
			e.restarted = id != "a"
		}
	})
	runController(t, p, func(*Controller) {
		<-time.After(12 * time.Second)
		p.locked(func() {
			is.Equal(p.orderCount, 3) // all to the engine that the list shows correctly
			is.Equal(len(p.engines["a"].models), 3)
		})
	})
}

// Load pattern: a copy of a model is unloaded while requests for the model are running. For seconds the engine takes no other
// order and refuses new calls for the model, so that entry VMs must not be sent to it.
func TestUnloadingModelIsNotPublished(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(t, testSpec(4), 2, 1)
	p.locked(func() {
		for id, held := range map[deck.BackendName][]int{"a": {0, 2, 3}, "b": {0, 1, 3}} {
			e := p.engines[id]
			e.requestTime = 4 * time.Second
			for _, m := range held {
				e.models[model(m)] = make(map[deck.AdapterName]bool)
			}
		}
	})
	runController(t, p, func(c *Controller) {
		for range 30 {
			reportDemand(c, 2, 100000)
			reportDemand(c, 0, 20)
			<-time.After(100 * time.Millisecond)
			p.locked(func() {
				for _, e := range p.engines {
					is.True(e.unloading == "" || !p.publishedHolds(e.server.ID, e.unloading))
				}
			})
		}
		accepted := false
		p.locked(func() {
			for _, e := range p.engines {
				accepted = accepted || e.ordersAccepted > 0
			}
		})
		is.True(accepted) // a model was unloaded
	})
}

// Guards against an engine that stays unused for the longest time an order may take, after it stopped answering during a load
// and restarted empty.
func TestUnresponsiveEngineIsUsedAgain(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(t, testSpec(1), 1, 1)
	runController(t, p, func(*Controller) {
		e := p.engines["a"]
		for loading := false; !loading; {
			<-time.After(50 * time.Millisecond)
			p.locked(func() {
				loading = e.loading != ""
				e.unresponsive = loading
			})
		}
		<-time.After(6 * time.Second)
		p.locked(func() { e.unresponsive, e.loading, e.ordersAccepted, e.fencingToken = false, "", 0, 0 })
		<-time.After(5 * time.Second) // a load takes 3 s
		is.Equal(p.copies(model(0)), 1)
	})
}

// Load pattern: the platform starts its engines one after the other, with the busiest model on most of them. Guards against an
// eviction of these copies for models that only engines hold which the list does not show yet.
func TestEnginesMissingFromListCauseNoEviction(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(t, testSpec(9), 4, 1)
	for i, id := range []deck.BackendName{"a", "b", "c", "d"} {
		for _, m := range []int{0, 1 + 2*i, 2 + 2*i} {
			p.engines[id].models[model(m)] = make(map[deck.AdapterName]bool)
		}
	}
	engines := p.engines
	p.engines = make(map[deck.BackendName]*fakeEngine)
	runController(t, p, func(*Controller) {
		for _, id := range []deck.BackendName{"a", "b", "c", "d"} {
			<-time.After(800 * time.Millisecond)
			p.locked(func() { p.engines[id] = engines[id] })
		}
		<-time.After(10 * time.Second)
		is.Equal(p.copies(model(0)), 4)
		is.Equal(p.ordersSent(), 0)
	})
}

// TestSecondEntryOfAnEngineIsIgnored guards against a second entry with the ID of an engine, at another address, with which each reading
// of the list takes the engine for a new one of which nothing is known, or entry VMs send its calls to the other address.
func TestSecondEntryOfAnEngineIsIgnored(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(t, testSpec(1), 1, 1)
	second := p.engines["a"].server
	second.Address = "10.0.0.9:9"
	runController(t, p, func(*Controller) {
		<-time.After(time.Second)
		p.locked(func() { p.others = []deck.Server{second} })
		<-time.After(15 * time.Second)
		is.Equal(p.copies(model(0)), 1)
		p.locked(func() {
			is.Equal(len(p.published), 1)
			is.Equal(p.published[0].Address, p.engines["a"].server.Address)
			is.True(p.published[0].Holds(model(0), ""))
		})
	})
}
