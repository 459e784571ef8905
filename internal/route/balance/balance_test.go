package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/core/restraint"
	"github.com/geraniumdeck/geraniumdeck/internal/route/balance"
)

var now = time.Unix(1000, 0)

func sameDataCentre(deck.DataCentre) balance.Distance { return balance.SameDataCentre }

func newBalancer(seed uint64, distance func(deck.DataCentre) balance.Distance, servers ...deck.Server) *balance.Balancer {
	b := balance.NewBalancer(distance, rand.New(rand.NewPCG(seed, 0)), &restraint.Table{})
	b.SetServers(now, servers)
	return b
}

func server(id string, slots int) deck.Server {
	return deck.Server{ID: deck.BackendName(id), Service: "llm", Address: id, Slots: slots, DataCentre: deck.DataCentre("dc-" + id)}
}

var requirements = balance.Requirements{Service: "llm"}

// Load pattern: many entry VMs with few calls each share engines with few slots. Guards against overloaded engines: a VM does
// not know the others' calls until the control leader distributes the totals.
func TestLoadSpreadsByTotalInFlight(t *testing.T) {
	is := is.New(t)
	const vms, engines, slots, calls = 40, 10, 4, 60
	var servers []deck.Server
	for i := range engines {
		servers = append(servers, server(fmt.Sprint("e", i), slots))
	}
	var balancers []*balance.Balancer
	for i := range vms {
		balancers = append(balancers, newBalancer(uint64(i), sameDataCentre, servers...))
	}
	sums := make(map[deck.BackendName]int)
	for i := range calls {
		b := balancers[i%vms]
		s, result := b.Pick(now, requirements)
		is.Equal(result, balance.Chosen)
		b.RecordCallStart(s.ID)
		sums[s.ID]++
		if i%5 != 0 {
			continue // the totals reach the VMs only after some calls
		}
		var all []deck.ServerCalls
		for id, n := range sums {
			all = append(all, deck.ServerCalls{Server: id, Calls: n, Near: n})
		}
		for _, other := range balancers {
			other.ReportInFlight()
			other.RecordInFlightTotals(now, all)
		}
	}
	for id, n := range sums {
		if n > 2*slots {
			t.Errorf("engine %s has %d calls", id, n)
		}
	}
}

// Load pattern: many entry VMs have the same report, by which one engine has fewer calls than the others, and each sends a
// call before the next report. Guards against all of them picking that engine.
func TestVMsWithSameReportDoNotHerd(t *testing.T) {
	is := is.New(t)
	const engines, slots, calls = 6, 12, 24
	var servers []deck.Server
	var sums []deck.ServerCalls
	for i := range engines {
		s := server(fmt.Sprint("e", i), slots)
		servers = append(servers, s)
		if i > 0 {
			sums = append(sums, deck.ServerCalls{Server: s.ID, Calls: 4, Near: 4})
		}
	}
	at := make(map[deck.BackendName]int)
	for i := range calls {
		b := newBalancer(uint64(i), sameDataCentre, servers...)
		b.RecordInFlightTotals(now, sums)
		s, _ := b.Pick(now, requirements)
		at[s.ID]++
	}
	is.True(at["e0"] > 0)
	is.True(at["e0"] <= slots)
}

// Load pattern: demand for a model exceeds the slots of its engines. Guards against calls that wait for a slot beyond their
// latency target, which makes the next ones late too.
func TestServerWithWaitBeyondMaxWaitIsFull(t *testing.T) {
	is := is.New(t)
	const slots = 12
	b := newBalancer(1, sameDataCentre, server("a", slots))
	for range 50 {
		b.RecordSlotTime("llm", 1200*time.Millisecond) // a slot becomes free every 100 ms
	}
	interactive := balance.Requirements{Service: "llm", MaxWait: 250 * time.Millisecond}
	batch := balance.Requirements{Service: "llm", MaxWait: time.Second}
	for range slots + 2 {
		_, result := b.Pick(now, interactive)
		is.Equal(result, balance.Chosen)
		b.RecordCallStart("a")
	}
	_, result := b.Pick(now, interactive)
	is.Equal(result, balance.AllFull)
	_, result = b.Pick(now, batch)
	is.Equal(result, balance.Chosen) // its longer MaxWait allows for the queue
}

// Load pattern: a server that all VMs have avoided is listed as usable again, and the list changes once more before the next
// call. Guards against all VMs returning to it at once.
func TestReturnToRecoveredServerIsStaggered(t *testing.T) {
	is := is.New(t)
	const vms = 40
	ejected := server("a", 8)
	ejected.Ejected = true
	returned := 0
	for i := range vms {
		b := newBalancer(uint64(i), sameDataCentre, ejected)
		b.SetServers(now, []deck.Server{server("a", 8)})
		b.SetServers(now, []deck.Server{server("a", 8), server("b", 8)})
		req := requirements
		req.Among = map[deck.BackendName]bool{"a": true}
		if _, result := b.Pick(now.Add(200*time.Millisecond), req); result == balance.Chosen {
			returned++
		}
	}
	is.True(returned < vms/4)
}

// Guards against calls to other regions while the local data centre has free slots, and against overloading the local one.
func TestLocalDataCentrePreferred(t *testing.T) {
	is := is.New(t)
	distance := func(dc deck.DataCentre) balance.Distance {
		if dc == "dc-a" {
			return balance.SameDataCentre
		}
		return balance.OtherRegion
	}
	b := newBalancer(1, distance, server("a", 32), server("b", 32))
	s, _ := b.Pick(now, requirements)
	is.Equal(s.ID, deck.BackendName("a"))
	for range 32 {
		b.RecordCallStart("a")
	}
	s, _ = b.Pick(now, requirements)
	is.Equal(s.ID, deck.BackendName("b")) // calls spill over from a full server
}

// Guards against calls to a server whose recent answers failed or whose streams have long gaps.
func TestFailingAndSlowServersAvoided(t *testing.T) {
	is := is.New(t)
	b := newBalancer(1, sameDataCentre, server("bad", 32), server("good", 32))
	for range 5 {
		b.RecordResult(now, "bad", true)
	}
	s, _ := b.Pick(now, requirements)
	is.Equal(s.ID, deck.BackendName("good"))
	b = newBalancer(1, sameDataCentre, server("slow", 32), server("good", 32))
	for range 5 {
		b.RecordEventGap(now, "slow", 150*time.Millisecond, 200*time.Millisecond)
	}
	s, _ = b.Pick(now, requirements)
	is.Equal(s.ID, deck.BackendName("good"))
}

// Guards against calls to a server that drains or could not be reached, and against a backoff that never ends.
func TestDownAndDrainingServersSkipped(t *testing.T) {
	is := is.New(t)
	draining := server("draining", 8)
	draining.Draining = true
	b := newBalancer(1, sameDataCentre, draining, server("down", 8))
	b.RecordUnreachable(now, "down")
	_, result := b.Pick(now, requirements)
	is.Equal(result, balance.NoServer)
	s, result := b.Pick(now.Add(time.Second), requirements)
	is.Equal(result, balance.Chosen)
	is.Equal(s.ID, deck.BackendName("down")) // the backoff has passed
}

// Guards against calls to an engine that denied an adapter although the list shows it, until an order has loaded it.
func TestAbsentAdapterNotPicked(t *testing.T) {
	is := is.New(t)
	s := server("a", 8)
	s.Models = []deck.HeldModel{{Name: "m", Adapters: []deck.AdapterName{"x"}}}
	b := newBalancer(1, sameDataCentre, s)
	req := balance.Requirements{Service: "llm", Model: "m", Adapter: "x"}
	_, result := b.Pick(now, req)
	is.Equal(result, balance.Chosen)
	b.RecordAbsent(now, "a", "m", "x")
	_, result = b.Pick(now, req)
	is.Equal(result, balance.AdapterAbsent)
	b.RecordPresent(now, "a", "m", "x")
	_, result = b.Pick(now, req)
	is.Equal(result, balance.Chosen)
	_, result = b.Pick(now, balance.Requirements{Service: "llm", Model: "other"})
	is.Equal(result, balance.ModelAbsent)
}

// Guards against retries beyond the budget, and against a budget that does not recover after its window.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	var b balance.RetryBudget
	b.SetLimits(10*time.Second, 0.2, 2)
	for range 10 {
		b.RecordCall(now, "svc")
	}
	n := 0
	for b.TakeRetry(now, "svc") {
		n++
	}
	is.Equal(n, 4) // a ratio of 0.2 of 10 calls, and 2 more
	is.True(!b.TakeRetry(now.Add(5*time.Second), "svc"))
	is.True(b.TakeRetry(now.Add(11*time.Second), "svc")) // the window has passed
}

// TestRetryBudgetReserve guards against optional retries that leave none for calls whose server has failed.
func TestRetryBudgetReserve(t *testing.T) {
	is := is.New(t)
	var b balance.RetryBudget
	b.SetLimits(10*time.Second, 0, 4)
	now := time.Unix(1000, 0)
	is.True(b.TakeRetryAbove(now, "svc", 0.5))
	is.True(b.TakeRetryAbove(now, "svc", 0.5))
	is.True(!b.TakeRetryAbove(now, "svc", 0.5)) // half of the budget is left for others
	is.True(b.TakeRetry(now, "svc"))
	is.True(b.TakeRetry(now, "svc"))
	is.True(!b.TakeRetry(now, "svc"))
}
