package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/admit"
	"github.com/geraniumdeck/geraniumdeck/internal/route/choose"
)

// Guards against new work on a leaving server, whichever source tells of it first.
func TestLeavingServerGetsNothing(t *testing.T) {
	sources := map[string]func(r *rig){
		"ticket": func(r *rig) { r.src.set(deck.BackendServer{Name: "e0", DataCentre: "dc1", Leaving: true}) },
		"list":   func(r *rig) { r.core.ObserveVMs([]deck.VMStatus{{VM: "e0", Leaving: true}}) },
		"report": func(r *rig) {
			r.core.ObserveReport(deck.EngineReport{Backend: "e0", Draining: true}, r.clock.Now())
		},
		"refusal": func(r *rig) {
			for {
				w, b := r.run(deck.RequestInfo{})
				if b == "e0" {
					r.observe(w, b, deck.ObservedDraining, 0)
					return
				}
				r.core.Release(w.hold)
			}
		},
	}
	for name, tell := range sources {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, 2)
			held := r.submit(deck.RequestInfo{}) // may have reserved e0 before the news
			tell(r)
			if b, ok := r.core.Take(held.hold); ok {
				is.Equal(b.Name, deck.BackendName("e1"))
			}
			r.clock.Advance(3 * time.Second)
			for range 7 {
				_, b := r.run(deck.RequestInfo{})
				is.Equal(b, deck.BackendName("e1"))
			}
			r.src.set(deck.BackendServer{Name: "e1", DataCentre: "dc1", Leaving: true})
			w := r.submit(deck.RequestInfo{})
			is.True(w.ref != nil && w.ref.Kind == deck.RefusedNoBackend)
		})
	}
}

// Guards against a stale or reordered report that outweighs newer knowledge.
func TestReportsStaleOrWithGaps(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 2)
	at := r.clock.Now()
	r.core.ObserveReport(deck.EngineReport{Backend: "e0", Running: 90}, at)
	r.core.ObserveReport(deck.EngineReport{Backend: "e0", Running: 500}, at.Add(-time.Second))
	is.Equal(r.core.server("e0").total, 90)
	share := func() (e0 int) {
		for range 100 {
			w, b := r.run(deck.RequestInfo{})
			if b == "e0" {
				e0++
			}
			r.core.Release(w.hold)
		}
		return e0
	}
	r.core.ObserveReport(deck.EngineReport{Backend: "e1", Running: 10}, at)
	is.Equal(share(), 0)
	r.clock.Advance(15 * time.Second) // both reports are too old to count
	is.True(share() > 20)
}

// Guards against work on a lost server while another is left, and against an unreachable model when none is.
func TestLostServer(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 2)
	w, lost := r.run(deck.RequestInfo{})
	r.observe(w, lost, deck.ObservedFailure, 0)
	for range 7 {
		_, b := r.run(deck.RequestInfo{})
		is.True(b != lost)
	}
	other, b := r.run(deck.RequestInfo{})
	r.observe(other, b, deck.ObservedFailure, 0)
	_, last := r.run(deck.RequestInfo{}) // both failed: one is still tried
	is.True(last != "")
}

// Guards against a retry that returns to the server that has just failed, unless no other is left.
func TestRetryAvoids(t *testing.T) {
	is := is.New(t)
	for _, engines := range []int{2, 1} {
		r := newRig(t, engines)
		w, b := r.run(deck.RequestInfo{})
		r.observe(w, b, deck.ObservedCancel, 0)
		r.core.Rechoose(w.hold, []deck.BackendName{b}, w.notify)
		is.True(w.ref == nil)
		is.Equal(r.take(w) == b, engines == 1)
	}
}

// answer lets the server give n tokens with the gap between them.
func (r *rig) answer(w *wait, b deck.BackendName, n int, gap time.Duration) {
	for range n {
		r.clock.Advance(gap)
		r.observe(w, b, deck.ObservedToken, 1)
		r.core.Tick()
	}
}

// gaps lets answers run on all servers for 3 s with the servers' times between tokens.
func (r *rig) gaps(gap map[deck.BackendName]time.Duration) {
	holds := make(map[deck.BackendName]*wait)
	for len(holds) < len(gap) {
		w, b := r.run(deck.RequestInfo{})
		if holds[b] != nil {
			r.core.Release(w.hold)
			continue
		}
		holds[b] = w
	}
	for ms := range 3000 {
		r.clock.Advance(time.Millisecond)
		for b, w := range holds {
			if ms%int(gap[b].Milliseconds()) == 0 {
				r.observe(w, b, deck.ObservedToken, 1)
			}
		}
		r.core.Tick()
	}
	for _, w := range holds {
		r.core.Release(w.hold)
	}
}

// Guards against slow-server marks where there is nothing to compare with, and against a model without servers.
func TestSlowServers(t *testing.T) {
	const fast, slow = 20 * time.Millisecond, 80 * time.Millisecond
	for name, c := range map[string]struct {
		gap  map[deck.BackendName]time.Duration
		full []deck.BackendName // keep their weight
		cut  []deck.BackendName // have their weight reduced
	}{
		"one slow":    {map[deck.BackendName]time.Duration{"e0": fast, "e1": slow, "e2": fast}, []deck.BackendName{"e0", "e2"}, []deck.BackendName{"e1"}},
		"all slow":    {map[deck.BackendName]time.Duration{"e0": slow, "e1": slow, "e2": slow}, []deck.BackendName{"e0", "e1", "e2"}, nil},
		"last server": {map[deck.BackendName]time.Duration{"e0": slow}, []deck.BackendName{"e0"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, len(c.gap))
			r.gaps(c.gap)
			for _, b := range c.full {
				is.Equal(r.core.health.Weight(b), 1.0)
			}
			for _, b := range c.cut {
				is.True(r.core.health.Weight(b) < 0.2)
				r.src.replicas["m"] = []deck.Replica{{Backend: b, Version: "v1", Ready: true}}
				_, got := r.run(deck.RequestInfo{})
				is.Equal(got, b) // the last server of a model stays in use
			}
		})
	}
}

// Guards against one caller's flood that holds up the others.
func TestFloodingCaller(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1)
	var running []*wait
	for range admit.InitialLimit {
		w, _ := r.run(deck.RequestInfo{Caller: "flood"})
		running = append(running, w)
	}
	for range 200 {
		r.submit(deck.RequestInfo{Caller: "flood"})
	}
	other := r.submit(deck.RequestInfo{Caller: "other"})
	is.Equal(other.told, 0)
	r.core.Release(running[0].hold)
	is.Equal(other.told, 1)
	is.True(other.ref == nil)
}

// Guards against a run of work whose deadline has passed, and against a refusal without a retry time.
func TestDeadlinePassed(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1)
	late := r.submit(deck.RequestInfo{Deadline: r.clock.Now()})
	is.True(late.ref != nil && late.ref.Kind == deck.RefusedOverload)
	for range admit.InitialLimit {
		r.run(deck.RequestInfo{})
	}
	waits := r.submit(deck.RequestInfo{Deadline: r.clock.Now().Add(time.Second)})
	r.clock.Advance(1100 * time.Millisecond)
	r.core.Tick()
	is.Equal(waits.told, 1)
	is.True(waits.ref != nil && waits.ref.RetryAfter >= time.Second)
	is.Equal(len(r.core.holds), 0)
}

// Guards against estimates and prefix hints that outlive the engine process they describe.
func TestEngineRestart(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1)
	w, b := r.run(deck.RequestInfo{Prefixes: []uint64{1, 2}})
	r.answer(w, b, 5, 30*time.Millisecond)
	r.core.ObserveReport(deck.EngineReport{Backend: b, BootID: "1"}, r.clock.Now())
	is.True(r.core.health.Gap(b) > 0)
	is.Equal(r.core.hints.Hit(b, []uint64{1, 2}), 1.0)
	r.core.ObserveReport(deck.EngineReport{Backend: b, BootID: "2"}, r.clock.Now().Add(time.Second))
	is.Equal(r.core.health.Gap(b), time.Duration(0))
	is.Equal(r.core.hints.Hit(b, []uint64{1, 2}), 0.0)
}

// Guards against a poison request that is judged together with innocent ones: after 2 crashes suspects run apart.
func TestPoisonSuspects(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 2)
	for range 2 {
		poison, b := r.run(deck.RequestInfo{Digest: "poison"})
		innocent := r.submit(deck.RequestInfo{Digest: "innocent"})
		r.core.reserveOn(innocent.hold, b, r.clock.Now())
		r.observe(poison, b, deck.ObservedCrash, 0)
		r.observe(innocent, b, deck.ObservedCrash, 0)
		r.core.Release(poison.hold)
		r.core.Release(innocent.hold)
		r.clock.Advance(time.Minute)
	}
	_, first := r.run(deck.RequestInfo{Digest: "innocent"})
	for range 12 { // makes the innocent's server the one with the least work
		w := r.submit(deck.RequestInfo{})
		r.core.reserveOn(w.hold, other(first), r.clock.Now())
	}
	for range 5 {
		w, b := r.run(deck.RequestInfo{Digest: "poison"})
		is.True(b != first)
		r.core.Release(w.hold)
	}
	last, b := r.run(deck.RequestInfo{Digest: "poison"})
	is.True(r.core.suspects.Alone("poison", r.core.servers[b], r.clock.Now()))
	r.observe(last, b, deck.ObservedCrash, 0)
	is.Equal(r.core.suspects.Crashes("poison", r.clock.Now()), 3)
	r.src.refused = map[string]bool{"poison": true}
	is.Equal(r.submit(deck.RequestInfo{Digest: "poison"}).ref.Kind, deck.RefusedPoison)
}

// other returns the other one of two servers.
func other(b deck.BackendName) deck.BackendName {
	if b == "e0" {
		return "e1"
	}
	return "e0"
}

// reserveOn adds an attempt on the given server, as if it had been chosen.
func (c *Core) reserveOn(h *Hold, b deck.BackendName, now time.Time) {
	if h.reserved != nil {
		c.end(h.reserved)
	}
	c.reserve(h, c.server(b), now)
}

// Guards against billed traffic to another region while the local queue still meets the deadline.
func TestSpillOnlyNearDeadline(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 2)
	r.src.set(deck.BackendServer{Name: "e1", DataCentre: "dc3"})
	is.Equal(r.core.cfg.distance("dc3"), choose.Elsewhere)
	is.Equal(r.core.cfg.distance("dc2"), choose.SameRegion)
	for range admit.InitialLimit {
		_, b := r.run(deck.RequestInfo{})
		is.Equal(b, deck.BackendName("e0"))
	}
	w := r.submit(deck.RequestInfo{Deadline: r.clock.Now().Add(time.Second)})
	r.clock.Advance(500 * time.Millisecond)
	r.core.Tick()
	is.Equal(w.told, 0)
	r.clock.Advance(400 * time.Millisecond)
	r.core.Tick()
	is.Equal(w.told, 1)
	is.Equal(r.take(w), deck.BackendName("e1"))
}

// Guards against short work that waits behind long batch work, and against a straggler that is preempted for ever.
func TestStragglerGivesWay(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1)
	var long []*wait
	for range admit.InitialLimit {
		w, b := r.run(deck.RequestInfo{})
		r.observe(w, b, deck.ObservedToken, 2000+len(long))
		long = append(long, w)
	}
	victim := long[len(long)-1]
	short := r.submit(deck.RequestInfo{})
	r.clock.Advance(2 * preemptWait)
	r.core.Tick()
	is.True(victim.hold.givesWay)
	r.observe(victim, "e0", deck.ObservedCancel, 0)
	is.Equal(short.told, 1)
	victim.told = 0
	r.core.Rechoose(victim.hold, nil, victim.notify)
	is.Equal(victim.told, 0)
	next := r.submit(deck.RequestInfo{})
	for range 10 { // a stream of short work goes on, yet the straggler's turn comes
		if victim.told == 1 {
			break
		}
		r.take(short)
		r.core.Release(short.hold)
		short, next = next, r.submit(deck.RequestInfo{})
		r.clock.Advance(time.Second)
		r.core.Tick()
	}
	is.Equal(victim.told, 1)
	is.True(victim.ref == nil)
}

// Guards against aged batch work that has no room and holds up interactive work that has.
func TestAgedBatchBlocksNoInteractive(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1)
	var running []*wait
	for range admit.InitialLimit {
		w, _ := r.run(deck.RequestInfo{})
		running = append(running, w)
	}
	for range 2 * dispatchTries {
		r.submit(deck.RequestInfo{Class: deck.Batch})
	}
	r.clock.Advance(time.Minute)
	short := r.submit(deck.RequestInfo{})
	is.Equal(short.told, 0)
	for _, w := range running[:6] { // more than batch work may use
		r.core.Release(w.hold)
	}
	is.Equal(short.told, 1)
}

// Guards against work sent to a server that began to leave between the choice and the attempt.
func TestLeavesAfterChoice(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1)
	w := r.submit(deck.RequestInfo{})
	is.Equal(w.told, 1)
	r.core.ObserveVMs([]deck.VMStatus{{VM: "e0", Leaving: true}})
	_, ok := r.core.Take(w.hold)
	is.True(!ok)
	is.Equal(len(r.core.server("e0").attempts), 0)
}

// Guards against suspects that wait to run alone and hold up ordinary work behind them.
func TestSuspectsBlockNoOtherWork(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1)
	digests := []string{"a", "b", "c", "d", "e", "f", "g"}
	for range 2 {
		for _, d := range digests {
			r.core.suspects.ObserveCrash(d, "e0", r.clock.Now())
		}
		r.clock.Advance(time.Minute)
	}
	r.run(deck.RequestInfo{Digest: digests[0]})
	for _, d := range digests[1:] {
		is.Equal(r.submit(deck.RequestInfo{Digest: d}).told, 0)
	}
	r.run(deck.RequestInfo{})
}
