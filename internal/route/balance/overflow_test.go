package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/balance"
)

// A crowdedModel is a model for which all engines but a new one are full, as many entry VMs know by the same report.
type crowdedModel struct {
	balancers []*balance.Balancer
	random    *rand.Rand
}

const (
	crowdedVMs, crowdedEngines, crowdedSlots = 120, 7, 12

	crowdedMaxWait = 200 * time.Millisecond
	crowdedRate    = 60 // calls a second
)

func newCrowdedModel() *crowdedModel {
	c := &crowdedModel{random: rand.New(rand.NewPCG(1, 3))}
	var servers []deck.Server
	var totals []deck.ServerCalls
	for i := range crowdedEngines + 1 {
		s := server(fmt.Sprint("e", i), crowdedSlots)
		s.DataCentre = dataCentreName(i % 6)
		servers = append(servers, s)
		if i < crowdedEngines {
			totals = append(totals, deck.ServerCalls{Server: s.ID, Calls: 2 * crowdedSlots, Near: crowdedSlots / 3})
		}
	}
	for vm := range crowdedVMs {
		b := newBalancer(uint64(vm), func(deck.DataCentre) balance.Distance { return balance.OtherRegion }, servers...)
		b.SetEntryVMs(crowdedVMs)
		for range 50 {
			b.RecordSlotTime("llm", 600*time.Millisecond)
		}
		b.RecordInFlightTotals(now, totals)
		c.balancers = append(c.balancers, b)
	}
	for at := -8 * time.Second; at < 0; at += time.Second / crowdedRate {
		c.balancers[c.random.IntN(crowdedVMs)].RecordArrival(now.Add(at), "llm", "")
	}
	return c
}

// Load pattern: an engine has loaded a model for which all other engines are full, and VMs of all data centres send calls before they hear
// of each other's. Guards against calls that queue there for longer than their latency target allows.
func TestNewCopyIsNotFlooded(t *testing.T) {
	is := is.New(t)
	c := newCrowdedModel()
	sent, refused := 0, 0
	for at := time.Duration(0); at < 500*time.Millisecond; at += time.Second / crowdedRate {
		b := c.balancers[c.random.IntN(crowdedVMs)]
		req := balance.Requirements{Service: "llm", MaxWait: crowdedMaxWait, Draw: c.random.Float64()}
		if s, result := b.Pick(now.Add(at), req); result == balance.Chosen {
			b.RecordCallStart(s.ID)
			sent++
		} else {
			is.Equal(result, balance.AllFull)
			refused++
		}
		b.RecordArrival(now.Add(at), "llm", "")
	}
	is.True(sent > crowdedSlots/2)    // the room is used
	is.True(sent <= crowdedSlots*4/3) // slots, and those that become free within MaxWait
	is.True(refused > 0)
}

// Load pattern: the same, and the VM asks the engine for its load before it sends a call. Guards against calls that are refused by an
// estimate although the engine itself can say whether it has room.
func TestProbedCallsAreNotRefusedByEstimate(t *testing.T) {
	is := is.New(t)
	near := newBalancer(1, sameDataCentre, server("e7", crowdedSlots), server("e0", crowdedSlots))
	near.SetEntryVMs(crowdedVMs)
	near.RecordInFlightTotals(now, []deck.ServerCalls{{Server: "e0", Calls: 10 * crowdedSlots}})
	for range 50 {
		near.RecordArrival(now, "llm", "")
	}
	req := balance.Requirements{Service: "llm", MaxWait: crowdedMaxWait, Draw: 1}
	_, result := near.Pick(now, req)
	is.Equal(result, balance.AllFull)
	req.Probed = true
	s, result := near.Pick(now, req)
	is.Equal(result, balance.Chosen)
	is.Equal(s.ID, deck.BackendName("e7"))
}

// Load pattern: full servers turn away more calls than the others have room for. Guards against VMs that all ask the same of these for its
// load.
func TestServersWithoutRoomAreAskedInTurn(t *testing.T) {
	is := is.New(t)
	b := newBalancer(1, sameDataCentre, server("a", 4), server("b", 4), server("full", 4))
	b.SetEntryVMs(crowdedVMs)
	for range 50 {
		b.RecordArrival(now, requirements.Service, "")
	}
	b.RecordInFlightTotals(now, []deck.ServerCalls{{Server: "full", Calls: 100}})
	counts := make(map[deck.BackendName]int)
	for range 100 {
		s, result := b.Pick(now.Add(300*time.Millisecond), balance.Requirements{Service: "llm", Draw: 1, Probed: true})
		is.Equal(result, balance.Chosen)
		counts[s.ID]++
	}
	is.True(counts["a"] > 25 && counts["b"] > 25)
}

// Guards against VMs that refuse calls for lack of room long after the leader, which told them so, has been lost, and against VMs that all
// turn to one server as soon as it is.
func TestLoadsFadeWithoutLeader(t *testing.T) {
	is := is.New(t)
	b := newBalancer(1, sameDataCentre, server("a", 4), server("b", 4))
	busy := []deck.ServerCalls{{Server: "a", Calls: 40}, {Server: "b", Calls: 4}}
	for at := -3 * time.Second; at <= 0; at += 500 * time.Millisecond {
		b.RecordInFlightTotals(now.Add(at), busy)
	}
	chosen := func(after time.Duration) map[deck.BackendName]int {
		counts := make(map[deck.BackendName]int)
		for range 200 {
			s, result := b.Pick(now.Add(after), requirements)
			is.Equal(result, balance.Chosen)
			counts[s.ID]++
		}
		return counts
	}
	is.Equal(chosen(0)["a"], 0)
	is.Equal(chosen(time.Second)["a"], 0) // another leader is elected within this time
	later := chosen(10 * time.Second)
	is.True(later["a"] > 0 && later["b"] > 0)
}

// Load pattern: an engine has room for a part of the calls, most of which are one customer's. Guards against the others being refused.
func TestRoomGoesToAdmittedCalls(t *testing.T) {
	is := is.New(t)
	c := newCrowdedModel()
	b, at := c.balancers[0], now.Add(400*time.Millisecond)
	for range 10 {
		b.RecordArrival(now, "llm", "")
	}
	req := balance.Requirements{Service: "llm", MaxWait: crowdedMaxWait, Draw: 0.9}
	_, result := b.Pick(at, req)
	is.Equal(result, balance.AllFull)
	req.Admitted = func(room float64) float64 {
		is.True(room < 0.9)
		return 1
	}
	_, result = b.Pick(at, req)
	is.Equal(result, balance.Chosen)
}
