package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/admit"
	"github.com/geraniumdeck/geraniumdeck/internal/route/choose"
)

// Guards against new work on a leaving server, whichever source reports it first.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	sources := map[string]func(h *harness){
		"ticket": func(h *harness) { h.src.set(deck.BackendServer{Name: "e0", DataCentre: "dc1", Leaving: true}) },
		"list":   func(h *harness) { h.core.ObserveVMs([]deck.VMStatus{{VM: "e0", Leaving: true}}) },
		"report": func(h *harness) {
			h.core.ObserveReport(deck.EngineReport{Backend: "e0", Draining: true}, h.clock.Now())
		},
		"refusal": func(h *harness) {
			for {
				w, b := h.run(deck.RequestInfo{})
				if b == "e0" {
					h.observe(w, b, deck.ObservedDraining, 0)
					return
				}
				h.core.Release(w.request)
			}
		},
	}
	for name, notify := range sources {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, 2)
			reserved := h.submit(deck.RequestInfo{}) // may have reserved e0 before it is known to leave
			notify(h)
			if b, ok := h.core.TakeReserved(reserved.request); ok {
				is.Equal(b.Name, deck.BackendName("e1"))
			}
			h.clock.Advance(3 * time.Second)
			for range 7 {
				_, b := h.run(deck.RequestInfo{})
				is.Equal(b, deck.BackendName("e1"))
			}
			h.src.set(deck.BackendServer{Name: "e1", DataCentre: "dc1", Leaving: true})
			w := h.submit(deck.RequestInfo{})
			is.True(w.refusal != nil && w.refusal.Kind == deck.RefusedNoBackend)
		})
	}
}

// Guards against the use of a report that is too old, or that was requested before the last one and arrived after it.
func TestStaleReports(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 2)
	at := h.clock.Now()
	h.core.ObserveReport(deck.EngineReport{Backend: "e0", Running: 90}, at)
	h.core.ObserveReport(deck.EngineReport{Backend: "e0", Running: 500}, at.Add(-time.Second))
	is.Equal(h.core.server("e0").reportedTotal, 90)
	share := func() (e0 int) {
		for range 100 {
			w, b := h.run(deck.RequestInfo{})
			if b == "e0" {
				e0++
			}
			h.core.Release(w.request)
		}
		return e0
	}
	h.core.ObserveReport(deck.EngineReport{Backend: "e1", Running: 10}, at)
	is.Equal(share(), 0)
	h.clock.Advance(15 * time.Second) // both reports are too old to be used
	is.True(share() > 20)
}

// Guards against work on a failed server while another is left, and against refusing a model's requests when all have failed.
func TestFailedServerIsAvoided(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 2)
	w, lost := h.run(deck.RequestInfo{})
	h.observe(w, lost, deck.ObservedFailure, 0)
	for range 7 {
		_, b := h.run(deck.RequestInfo{})
		is.True(b != lost)
	}
	other, b := h.run(deck.RequestInfo{})
	h.observe(other, b, deck.ObservedFailure, 0)
	_, last := h.run(deck.RequestInfo{}) // both have failed, and one is still tried
	is.True(last != "")
}

// Guards against a retry on the server that has just failed, unless no other is left.
func TestRetryAvoidsFailedServer(t *testing.T) {
	is := is.New(t)
	for _, engines := range []int{2, 1} {
		h := newHarness(t, engines)
		w, b := h.run(deck.RequestInfo{})
		h.observe(w, b, deck.ObservedCancel, 0)
		h.core.Reselect(w.request, []deck.BackendName{b}, nil, w.notify)
		is.True(w.refusal == nil)
		is.Equal(h.take(w) == b, engines == 1)
	}
}

// generateTokens observes n tokens with the gap before each.
func (h *harness) generateTokens(w *submission, b deck.BackendName, n int, gap time.Duration) {
	for range n {
		h.clock.Advance(gap)
		h.observe(w, b, deck.ObservedToken, 1)
		h.core.Tick()
	}
}

// generateWithGaps runs one answer on each server for 3 s, with the server's time between tokens.
func (h *harness) generateWithGaps(gap map[deck.BackendName]time.Duration) {
	submissions := make(map[deck.BackendName]*submission)
	for len(submissions) < len(gap) {
		w, b := h.run(deck.RequestInfo{})
		if submissions[b] != nil {
			h.core.Release(w.request)
			continue
		}
		submissions[b] = w
	}
	for ms := range 3000 {
		h.clock.Advance(time.Millisecond)
		for b, w := range submissions {
			if ms%int(gap[b].Milliseconds()) == 0 {
				h.observe(w, b, deck.ObservedToken, 1)
			}
		}
		h.core.Tick()
	}
	for _, w := range submissions {
		h.core.Release(w.request)
	}
}

// Guards against reduced weights where no faster server exists to compare with, and against a model that loses its only server to
// a reduced weight.
func TestSlowServers(t *testing.T) {
	const fast, slow = 20 * time.Millisecond, 80 * time.Millisecond
	for name, c := range map[string]struct {
		gap  map[deck.BackendName]time.Duration
		full []deck.BackendName // keep their weight
		cut  []deck.BackendName // have their weight reduced
	}{
		"one slow": {
			map[deck.BackendName]time.Duration{"e0": fast, "e1": slow, "e2": fast},
			[]deck.BackendName{"e0", "e2"}, []deck.BackendName{"e1"},
		},
		"all slow": {
			map[deck.BackendName]time.Duration{"e0": slow, "e1": slow, "e2": slow},
			[]deck.BackendName{"e0", "e1", "e2"}, nil,
		},
		"last server": {map[deck.BackendName]time.Duration{"e0": slow}, []deck.BackendName{"e0"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, len(c.gap))
			h.generateWithGaps(c.gap)
			for _, b := range c.full {
				is.Equal(h.core.health.Weight(b), 1.0)
			}
			for _, b := range c.cut {
				is.True(h.core.health.Weight(b) < 0.2)
				h.src.replicas["m"] = []deck.ModelReplica{{Backend: b, Version: "v1", Ready: true}}
				_, got := h.run(deck.RequestInfo{})
				is.Equal(got, b) // a model's only server stays in use
			}
		})
	}
}

// Guards against one caller's many requests delaying those of other callers.
func TestFloodingCaller(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	var running []*submission
	for range admit.InitialLimit {
		w, _ := h.run(deck.RequestInfo{Caller: "flood"})
		running = append(running, w)
	}
	for range 200 {
		h.submit(deck.RequestInfo{Caller: "flood"})
	}
	other := h.submit(deck.RequestInfo{Caller: "other"})
	is.Equal(other.notified, 0)
	h.core.Release(running[0].request)
	is.Equal(other.notified, 1)
	is.True(other.refusal == nil)
}

// Guards against starting work whose deadline has passed, and against a refusal without a retry delay.
func TestDeadlinePassed(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	late := h.submit(deck.RequestInfo{Deadline: h.clock.Now()})
	is.True(late.refusal != nil && late.refusal.Kind == deck.RefusedOverload)
	for range admit.InitialLimit {
		h.run(deck.RequestInfo{})
	}
	waits := h.submit(deck.RequestInfo{Deadline: h.clock.Now().Add(time.Second)})
	h.clock.Advance(1100 * time.Millisecond)
	h.core.Tick()
	is.Equal(waits.notified, 1)
	is.True(waits.refusal != nil && waits.refusal.RetryAfter >= time.Second)
	is.Equal(len(h.core.queued), 0)
}

// Guards against estimates and prefix hints that outlive the engine process they describe.
func TestEngineRestart(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	w, b := h.run(deck.RequestInfo{PrefixHashes: []uint64{1, 2}})
	h.generateTokens(w, b, 5, 30*time.Millisecond)
	h.core.ObserveReport(deck.EngineReport{Backend: b, BootID: "1"}, h.clock.Now())
	is.True(h.core.health.Gap(b) > 0)
	is.Equal(h.core.prefixHints.Hit(b, []uint64{1, 2}), 1.0)
	h.core.ObserveReport(deck.EngineReport{Backend: b, BootID: "2"}, h.clock.Now().Add(time.Second))
	is.Equal(h.core.health.Gap(b), time.Duration(0))
	is.Equal(h.core.prefixHints.Hit(b, []uint64{1, 2}), 0.0)
}

// Guards against blaming innocent requests for the crashes of a poison request that ran beside them: after 2 crashes, suspects
// run on separate servers.
func TestPoisonSuspects(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 2)
	for range 2 {
		poison, b := h.run(deck.RequestInfo{Digest: "poison"})
		innocent := h.submit(deck.RequestInfo{Digest: "innocent"})
		h.core.reserveOn(innocent.request, b, h.clock.Now())
		h.observe(poison, b, deck.ObservedCrash, 0)
		h.observe(innocent, b, deck.ObservedCrash, 0)
		h.core.Release(poison.request)
		h.core.Release(innocent.request)
		h.clock.Advance(time.Minute)
	}
	_, first := h.run(deck.RequestInfo{Digest: "innocent"})
	for range 12 { // leaves the innocent request's server with the least work
		w := h.submit(deck.RequestInfo{})
		h.core.reserveOn(w.request, other(first), h.clock.Now())
	}
	for range 5 {
		w, b := h.run(deck.RequestInfo{Digest: "poison"})
		is.True(b != first)
		h.core.Release(w.request)
	}
	last, b := h.run(deck.RequestInfo{Digest: "poison"})
	is.True(h.core.suspects.IsOnlySuspect("poison", h.core.servers[b], h.clock.Now()))
	h.observe(last, b, deck.ObservedCrash, 0)
	is.Equal(h.core.suspects.Crashes("poison", h.clock.Now()), 3)
	h.src.refused = map[string]bool{"poison": true}
	is.Equal(h.submit(deck.RequestInfo{Digest: "poison"}).refusal.Kind, deck.RefusedPoison)
}

// other returns the other one of the servers e0 and e1.
func other(b deck.BackendName) deck.BackendName {
	if b == "e0" {
		return "e1"
	}
	return "e0"
}

// reserveOn adds an attempt on the given server, as if it had been chosen.
func (c *Core) reserveOn(req *Request, b deck.BackendName, now time.Time) {
	if req.reserved != nil {
		c.endAttempt(req.reserved)
	}
	c.reserve(req, c.server(b), now)
}

// Guards against billed traffic to another region while the local queue still meets the deadline.
func TestSpillOnlyNearDeadline(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 2)
	h.src.set(deck.BackendServer{Name: "e1", DataCentre: "dc3"})
	is.Equal(h.core.cfg.distance("dc3"), choose.OtherRegion)
	is.Equal(h.core.cfg.distance("dc2"), choose.SameRegion)
	for range admit.InitialLimit {
		_, b := h.run(deck.RequestInfo{})
		is.Equal(b, deck.BackendName("e0"))
	}
	w := h.submit(deck.RequestInfo{Deadline: h.clock.Now().Add(time.Second)})
	h.clock.Advance(500 * time.Millisecond)
	h.core.Tick()
	is.Equal(w.notified, 0)
	h.clock.Advance(400 * time.Millisecond)
	h.core.Tick()
	is.Equal(w.notified, 1)
	is.Equal(h.take(w), deck.BackendName("e1"))
}

// Guards against short requests that wait behind long ones, and against a preempted long answer that never runs again.
func TestLongAnswerIsPreempted(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	var long []*submission
	for range admit.InitialLimit {
		w, b := h.run(deck.RequestInfo{})
		h.observe(w, b, deck.ObservedToken, 2000+len(long))
		long = append(long, w)
	}
	victim := long[len(long)-1]
	short := h.submit(deck.RequestInfo{})
	h.clock.Advance(2 * preemptAfter)
	h.core.Tick()
	is.True(victim.request.isPreempted)
	h.observe(victim, "e0", deck.ObservedCancel, 0)
	is.Equal(short.notified, 1)
	victim.notified = 0
	h.core.Reselect(victim.request, nil, nil, victim.notify)
	is.Equal(victim.notified, 0)
	next := h.submit(deck.RequestInfo{})
	for range 10 { // short requests keep arriving, and the long answer must still get its turn
		if victim.notified == 1 {
			break
		}
		h.take(short)
		h.core.Release(short.request)
		short, next = next, h.submit(deck.RequestInfo{})
		h.clock.Advance(time.Second)
		h.core.Tick()
	}
	is.Equal(victim.notified, 1)
	is.True(victim.refusal == nil)
}

// Guards against aged batch work that finds no capacity and blocks interactive work that would.
func TestAgedBatchDoesNotBlockInteractive(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	var running []*submission
	for range admit.InitialLimit {
		w, _ := h.run(deck.RequestInfo{})
		running = append(running, w)
	}
	for range 2 * maxConstrainedTries {
		h.submit(deck.RequestInfo{Class: deck.Batch})
	}
	h.clock.Advance(time.Minute)
	short := h.submit(deck.RequestInfo{})
	is.Equal(short.notified, 0)
	for _, w := range running[:6] { // more than batch work may use
		h.core.Release(w.request)
	}
	is.Equal(short.notified, 1)
}

// Guards against work sent to a server that starts to leave between its reservation and the attempt.
func TestServerLeavesAfterReservation(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	w := h.submit(deck.RequestInfo{})
	is.Equal(w.notified, 1)
	h.core.ObserveVMs([]deck.VMStatus{{VM: "e0", Leaving: true}})
	_, ok := h.core.TakeReserved(w.request)
	is.True(!ok)
	is.Equal(len(h.core.server("e0").attempts), 0)
}

// Guards against suspects that wait for a server without other suspects and block ordinary requests behind them.
func TestSuspectsDoNotBlockOtherRequests(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1)
	digests := []string{"a", "b", "c", "d", "e", "f", "g"}
	for range 2 {
		for _, d := range digests {
			h.core.suspects.ObserveCrash(d, "e0", h.clock.Now())
		}
		h.clock.Advance(time.Minute)
	}
	h.run(deck.RequestInfo{Digest: digests[0]})
	for _, d := range digests[1:] {
		is.Equal(h.submit(deck.RequestInfo{Digest: d}).notified, 0)
	}
	h.run(deck.RequestInfo{})
}
