package allowance

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	fleetVMs = 70
	fleetRTT = 60 * time.Millisecond // between regions

	// fleetWait is how long calls wait for credit: a round trip, and one that has begun already.
	fleetWait = 200 * time.Millisecond
)

// A leader grants credit after a round trip.
type leader struct {
	mu       sync.Mutex
	ledger   Ledger
	messages int
	gone     bool // nobody grants credit
}

// sent returns the number of messages that VMs have sent.
func (l *leader) sent() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.messages
}

// TakeCredit implements deck.CreditSource.TakeCredit.
func (l *leader) TakeCredit(ctx context.Context, r deck.CreditRequest) (deck.CreditAnswer, error) {
	deck.Sleep(ctx, fleetRTT/2)
	l.mu.Lock()
	l.messages++
	if l.gone {
		l.mu.Unlock()
		return deck.CreditAnswer{}, ErrNotLeading
	}
	a, _ := l.ledger.Take(time.Now(), r)
	l.mu.Unlock()
	deck.Sleep(ctx, fleetRTT/2)
	return a, ctx.Err()
}

// A fleet is the entry VMs of a test, with their leader and the decisions about their calls.
type fleet struct {
	leader leader
	bounds Bounds
	tables []*Table
	random *rand.Rand
	calls  sync.WaitGroup
	stop   func()

	mu       sync.Mutex
	asked    float64
	used     []spending
	refused  int
	unknown  int
	start    time.Time
	slowest  time.Duration
	waitTime time.Duration
}

// newFleet returns a fleet whose leader has led for so long that it expects no shares of another one. It must be used in a bubble.
func newFleet(t *testing.T, customers []deck.Customer) *fleet {
	f := &fleet{
		bounds: Bounds{Window: 8 * time.Second, Overshoot: 0.1}, random: rand.New(rand.NewPCG(1, 2)),
	}
	f.leader.ledger.Bounds = f.bounds
	f.leader.ledger.SetCustomers(time.Now(), customers)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for i := range fleetVMs {
		table := &Table{Self: deck.VMName(fmt.Sprint("vm", i)), Process: 1, Clock: deck.SystemClock{}, Source: &f.leader}
		f.tables = append(f.tables, table)
		running.Go(func() { _ = table.Run(ctx) }) // always nil
	}
	f.stop = func() {
		f.calls.Wait()
		cancel()
		running.Wait()
	}
	time.Sleep(2 * shareLife)
	f.start = time.Now()
	return f
}

// call lets one call ask for credit at a VM.
func (f *fleet) call(ctx context.Context, vm int, c deck.Customer, cost float64) {
	f.calls.Go(func() {
		begun := time.Now()
		d := f.tables[vm].Take(ctx, c, cost, fleetWait)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.asked += cost
		f.waitTime += time.Since(begun)
		f.slowest = max(f.slowest, time.Since(begun))
		switch {
		case d.Admitted:
			f.tables[vm].Sent(&d.Credit)
			f.used = append(f.used, spending{time.Since(f.start), cost})
		case d.Over:
			f.refused++
		default:
			f.unknown++
		}
	})
}

// play lets calls of random costs come at random times at VMs that pick chooses, at the given rate in units a second.
func (f *fleet) play(ctx context.Context, c deck.Customer, rate, cost float64, d time.Duration, pick func() int) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		deck.Sleep(ctx, time.Duration(f.random.ExpFloat64()*cost/rate*float64(time.Second)))
		f.call(ctx, pick(), c, cost*(0.5+f.random.Float64()))
	}
}

// usedUnits returns what the calls that ran count as.
func (f *fleet) usedUnits() float64 {
	sum := 0.0
	for _, u := range f.used {
		sum += u.amount
	}
	return sum
}

// checkWindows fails the test if some window holds more than the allowance.
func (f *fleet) checkWindows(t *testing.T, a deck.Allowance) {
	sum, first := 0.0, 0
	for _, e := range f.used {
		sum += e.amount
		for f.used[first].at < e.at-f.bounds.Window {
			sum -= f.used[first].amount
			first++
		}
		if allowed := allowedIn(a, f.bounds); sum > allowed {
			t.Fatalf("%.0f used in %v until %v, %.0f allowed", sum, f.bounds.Window, e.at, allowed)
		}
	}
}

// Load pattern: a customer sends 0.95 of its allowance, or far more, through one VM, a few or all, in calls of very different cost.
// Guards against calls within the allowance that are refused, and an allowance that can't be used to the full.
func TestAllowanceIsUsableThroughAnyVMs(t *testing.T) {
	const rate, cost = 100_000, 1000
	for _, senders := range []int{1, 6, fleetVMs} {
		for _, demand := range []float64{0.5, 0.95, 1.2, 4.2} {
			t.Run(fmt.Sprintf("%d VMs, demand %v", senders, demand), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := deck.Customer{Name: "c", Allowance: deck.Allowance{PerSecond: rate, Burst: rate}}
					f := newFleet(t, []deck.Customer{c})
					const length = 20 * time.Second
					f.play(t.Context(), c, demand*rate, cost, length, func() int { return f.random.IntN(senders) })
					f.stop()
					f.checkWindows(t, c.Allowance)
					usable := min(f.asked, 0.95*rate*length.Seconds())
					t.Logf("used %.3f of the allowance, %d calls over, %d unknown, mean wait %v, longest %v, %.0f messages a second",
						f.usedUnits()/rate/length.Seconds(), f.refused, f.unknown,
						f.waitTime/time.Duration(f.refused+f.unknown+len(f.used)), f.slowest, float64(f.leader.sent())/length.Seconds())
					if used := f.usedUnits(); used < usable {
						t.Errorf("%.0f used of %.0f", used, usable)
					}
					if demand < 1 && f.refused+f.unknown > 0 {
						t.Errorf("%d calls refused and %d not answered for within the allowance", f.refused, f.unknown)
					}
				})
			})
		}
	}
}

// Load pattern: all calls of a customer move to another VM every second, as callers do when a data centre is left. Guards against credit
// and shares that stay behind.
func TestAllowanceFollowsDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate, cost, length = 100_000, 1000, 20 * time.Second
		c := deck.Customer{Name: "c", Allowance: deck.Allowance{PerSecond: rate, Burst: rate}}
		f := newFleet(t, []deck.Customer{c})
		f.play(t.Context(), c, 0.95*rate, cost, length, func() int { return int(time.Since(f.start)/time.Second) % fleetVMs })
		f.stop()
		f.checkWindows(t, c.Allowance)
		t.Logf("used %.3f of the allowance, %d calls over, %d unknown", f.usedUnits()/rate/length.Seconds(), f.refused, f.unknown)
		if used := f.usedUnits(); used < 0.95*rate*length.Seconds() || f.refused+f.unknown > 0 {
			t.Errorf("%.0f used of %.0f; %d calls refused, %d not answered for", used, f.asked, f.refused, f.unknown)
		}
	})
}

// Load pattern: many customers of very different size, each well below its allowance, through all VMs. Guards against refused calls, and
// against more messages than the leader and the VMs' links can bear.
func TestSmallCustomersAreNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const customers, cost, length = 16, 600, 20 * time.Second
		var list []deck.Customer
		for i := range customers {
			rate := 2000 + 120_000/float64(i*i+1)
			list = append(list, deck.Customer{
				Name: deck.CustomerName(fmt.Sprint("customer-", i)), Allowance: deck.Allowance{PerSecond: rate, Burst: rate},
			})
		}
		f := newFleet(t, list)
		var playing sync.WaitGroup
		for _, c := range list {
			random := rand.New(rand.NewPCG(1, uint64(c.Allowance.PerSecond)))
			playing.Go(func() {
				for end := time.Now().Add(length); time.Now().Before(end); {
					mean := cost / (c.Allowance.PerSecond * 0.3)
					deck.Sleep(t.Context(), time.Duration(random.ExpFloat64()*mean*float64(time.Second)))
					f.call(t.Context(), random.IntN(fleetVMs), c, cost*(0.5+random.Float64()))
				}
			})
		}
		playing.Wait()
		f.stop()
		t.Logf("%d calls ran, %d over, %d unknown, mean wait %v, %.0f messages a second", len(f.used), f.refused, f.unknown,
			f.waitTime/time.Duration(len(f.used)), float64(f.leader.sent())/length.Seconds())
		if f.refused+f.unknown > 0 {
			t.Errorf("%d of %d calls refused, %d not answered for", f.refused, len(f.used), f.unknown)
		}
	})
}

// Load pattern: calls come for a while, then none. Guards against VMs that keep asking for credit, renewing what they hold or looking for a
// leader in calm.
func TestNoMessagesInCalm(t *testing.T) {
	for _, leaderFails := range []bool{false, true} {
		t.Run(fmt.Sprintf("leader fails %v", leaderFails), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const rate, cost = 100_000, 1000
				c := deck.Customer{Name: "c", Allowance: deck.Allowance{PerSecond: rate, Burst: rate}}
				f := newFleet(t, []deck.Customer{c})
				before := f.leader.sent()
				pick := func() int { return f.random.IntN(8) }
				f.play(t.Context(), c, rate/2, cost, 5*time.Second, pick)
				f.leader.mu.Lock()
				f.leader.gone = leaderFails
				f.leader.mu.Unlock()
				f.play(t.Context(), c, rate/2, cost, time.Second, pick)
				time.Sleep(2 * shareLife)
				inUse := f.leader.sent()
				time.Sleep(time.Minute)
				f.stop()
				t.Logf("%d messages in use, %d in calm", inUse-before, f.leader.sent()-inUse)
				if before > 0 || f.leader.sent() > inUse {
					t.Errorf("%d messages before the first call, %d in calm", before, f.leader.sent()-inUse)
				}
			})
		})
	}
}

// Load pattern: calls of a customer that the leader doesn't know, since it has been removed and this VM hasn't heard of it. Guards against
// VMs that ask again without a pause.
func TestUnknownCustomerIsAskedForSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, nil)
		c := deck.Customer{Name: "c", Allowance: deck.Allowance{PerSecond: 10}}
		d := f.tables[0].Take(t.Context(), c, 1, 4*time.Second)
		f.stop()
		if n := f.leader.sent(); d.Admitted || n > 40 {
			t.Errorf("%d requests in 4 s for a call with the decision %+v", n, d)
		}
	})
}
