package fairshare_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/fairshare"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
)

var (
	now   = time.Unix(1000, 0)
	group = fairshare.Group{Service: "llm", Priority: 1}
)

// minAdmitted is the share of its calls that a customer gets through at least while it asks for less than an equal part of the room.
const minAdmitted = 0.95

// A demand is the calls of each customer in a second, and the cost of each call.
type demand struct {
	rates map[deck.CustomerName]float64
	cost  map[deck.CustomerName]float64 // 1 if not named
}

// play sends the calls for 30 s, for which there is the given room a second, and returns the cost of the calls that arrived and of those
// that were admitted in the last 20 s, a second, by customer.
func play(d demand, room float64) (arrived, admitted map[deck.CustomerName]float64) {
	random := rand.New(rand.NewPCG(1, 1))
	var s fairshare.Shares
	arrived, admitted = make(map[deck.CustomerName]float64), make(map[deck.CustomerName]float64)
	total := 0.0
	for c, r := range d.rates {
		total += r * d.costOf(c)
	}
	const step, steps, warmUp = 10 * time.Millisecond, 3000, 1000
	for i := range steps {
		at := now.Add(time.Duration(i) * step)
		for n := range len(d.rates) {
			c := customer(n)
			if random.Float64() >= d.rates[c]*step.Seconds() {
				continue
			}
			s.Record(at, group, c, d.costOf(c))
			if i < warmUp {
				continue
			}
			part := d.costOf(c) / ((steps - warmUp) * step.Seconds())
			arrived[c] += part
			if random.Float64() <= s.Admitted(at, group, c, room/total) {
				admitted[c] += part
			}
		}
	}
	return arrived, admitted
}

func customer(n int) deck.CustomerName { return deck.CustomerName(fmt.Sprint("c", n)) }

func (d demand) costOf(c deck.CustomerName) float64 {
	if v, ok := d.cost[c]; ok {
		return v
	}
	return 1
}

// Load pattern: one of four customers sends 7.5 times its usual calls, and there is room for all at their usual rates. Guards against
// others that wait or are refused for it.
func TestSurgeOfOneCustomerLeavesOthersAlone(t *testing.T) {
	is := is.New(t)
	arrived, admitted := play(demand{rates: map[deck.CustomerName]float64{"c0": 75, "c1": 10, "c2": 10, "c3": 10}}, 60)
	for _, c := range []deck.CustomerName{"c1", "c2", "c3"} {
		is.True(admitted[c] >= minAdmitted*arrived[c])
	}
	is.True(admitted["c0"] >= 20) // what the others leave is used
	is.True(admitted["c0"] <= 40)
}

// Load pattern: 16 customers of skewed size ask for twice the room. Guards against small ones that are refused while large ones get
// several times as much.
func TestSkewedCustomersShareRoom(t *testing.T) {
	is := is.New(t)
	d := demand{rates: make(map[deck.CustomerName]float64)}
	total := 0.0
	for i := range 16 {
		d.rates[customer(i)] = 60 / math.Pow(float64(i+1), 1.2)
		total += d.rates[customer(i)]
	}
	arrived, admitted := play(d, total/2)
	for i := range 16 {
		c := customer(i)
		if d.rates[c] < total/2/16 {
			is.True(admitted[c] >= minAdmitted*arrived[c]) // it asks for less than an equal part
		}
	}
	is.True(admitted["c0"] < arrived["c0"]/2)
}

// Load pattern: a customer of one call a minute beside a flood. Guards against its starvation.
func TestRareCallIsSentBesideFlood(t *testing.T) {
	is := is.New(t)
	var s fairshare.Shares
	for i := range 5000 {
		s.Record(now.Add(time.Duration(i)*time.Millisecond), group, "flood", 1)
	}
	at := now.Add(5 * time.Second)
	s.Record(at, group, "rare", 1)
	is.Equal(s.Admitted(at, group, "rare", 0.05), 1.0)
	is.True(s.Admitted(at, group, "flood", 0.05) < 0.06)
}

// Load pattern: all customers ask for more than their part, one of them with calls four times as large. Guards against parts that count
// calls instead of the room that they take.
func TestPartsCountRoomNotCalls(t *testing.T) {
	is := is.New(t)
	_, admitted := play(demand{
		rates: map[deck.CustomerName]float64{"c0": 20, "c1": 20, "c2": 20}, cost: map[deck.CustomerName]float64{"c0": 4},
	}, 45)
	for _, c := range []deck.CustomerName{"c0", "c1", "c2"} {
		is.True(admitted[c] > 10 && admitted[c] < 20) // 15 each
	}
}

// Guards against shares that send more than there is room for, that leave room unused, or that favour a larger customer.
func TestSharesAreMaxMinFair(t *testing.T) {
	decktest.Check(t, func(t *rapid.T) {
		costs := rapid.SliceOfN(rapid.Float64Range(0.1, 100), 1, 20).Draw(t, "costs")
		room := rapid.Float64Range(0.01, 1).Draw(t, "room")
		var s fairshare.Shares
		total := 0.0
		for i, cost := range costs {
			s.Record(now, group, customer(i), cost)
			total += cost
		}
		sent, most := 0.0, 0.0
		for i, cost := range costs {
			part := cost * s.Admitted(now, group, customer(i), room)
			sent += part
			most = max(most, part)
		}
		if math.Abs(sent-room*total) > 1e-6*total {
			t.Fatalf("sent %g of %g, room for %g", sent, total, room*total)
		}
		for i, cost := range costs {
			part := cost * s.Admitted(now, group, customer(i), room)
			if part < most-1e-6*total && part < cost-1e-6*total {
				t.Fatalf("customer %d gets %g of %g, another one %g", i, part, cost, most)
			}
		}
	})
}
