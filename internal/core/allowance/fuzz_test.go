package allowance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
)

const tick = 10 * time.Millisecond

// A vmClock runs at its own rate and from its own start.
type vmClock struct {
	s      *sim
	offset time.Duration
	rate   float64
}

// Now implements deck.Clock.Now.
func (c vmClock) Now() time.Time {
	return time.Unix(1_000_000, 0).Add(c.offset + time.Duration(float64(c.s.now)*c.rate))
}

// A simVM is an entry VM with at most one request in flight.
type simVM struct {
	table  *Table
	clock  vmClock
	cut    bool          // neither requests nor answers pass
	frozen time.Duration // until when the VM stands still
	demand float64       // calls in a tick
	cost   float64
	wait   time.Duration // for which calls wait for a server that doesn't come; 0 if there are servers
	held   []heldCall
	sent   *simRequest
	nextAt time.Duration // when the VM may send again after a failure
}

// A simRequest is a request on its way to the leader, or its answer on its way back.
type simRequest struct {
	vm      int
	r       deck.CreditRequest
	asked   []chan struct{}
	sentAt  time.Time // by the VM's clock
	sent    time.Duration
	arrives time.Duration
	answer  *deck.CreditAnswer
}

// A spending is an amount that a VM has let run.
type spending struct {
	at     time.Duration
	amount float64
}

// A sim plays VMs and the leader that they ask, over an unreliable network.
type sim struct {
	now      time.Duration
	customer deck.Customer
	bounds   Bounds
	vms      []*simVM
	clock    vmClock       // of the leader
	ledger   *Ledger       // nil while nobody leads
	leads    time.Duration // since when the last leader has led
	transit  []*simRequest
	spent    []spending
	process  uint64
	random   *rand.Rand // for what happens very often
	lossy    bool       // messages are lost now and then, and late
}

func newSim(t *rapid.T) *sim {
	s := &sim{
		customer: deck.Customer{Name: "c", Allowance: deck.Allowance{
			PerSecond: rapid.SampledFrom([]float64{0.5, 20, 1000, 50000}).Draw(t, "rate"),
		}},
		bounds: Bounds{
			Window:    rapid.SampledFrom([]time.Duration{2, 8}).Draw(t, "window") * time.Second,
			Overshoot: rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "overshoot"),
		},
	}
	a := &s.customer.Allowance
	a.Burst = a.PerSecond * rapid.SampledFrom([]float64{0, 0.5, 2}).Draw(t, "burst")
	s.bounds.Slack = a.PerSecond * rapid.SampledFrom([]float64{0, 0.2, 1}).Draw(t, "slack")
	s.lossy = rapid.Bool().Draw(t, "lossy")
	s.random = rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "random")))
	s.clock = vmClock{s, time.Hour, 1}
	for range rapid.IntRange(1, 10).Draw(t, "vms") {
		s.vms = append(s.vms, &simVM{clock: vmClock{
			s, time.Duration(rapid.IntRange(0, 1000).Draw(t, "offset")) * time.Second,
			rapid.SampledFrom([]float64{0.996, 1, 1.004}).Draw(t, "clock"),
		}})
		s.restart(t, len(s.vms)-1)
	}
	s.lead()
	return s
}

func (s *sim) lead() {
	s.ledger = &Ledger{Bounds: s.bounds, Follows: s.now-s.leads >= s.bounds.settledTime()}
	s.leads = s.now
	s.ledger.SetCustomers(s.clock.Now(), []deck.Customer{s.customer})
}

// restart replaces the process of a VM; what it held is lost.
func (s *sim) restart(t *rapid.T, i int) {
	s.process++
	v := s.vms[i]
	v.table = &Table{Self: deck.VMName(fmt.Sprint("vm", i)), Process: s.process, Clock: v.clock}
	v.sent = nil
	v.cost = s.customer.Allowance.PerSecond * rapid.SampledFrom([]float64{0.02, 0.002, 0.2}).Draw(t, "cost")
	v.demand = rapid.SampledFrom([]float64{5, 0.6, 5, 0.05, 0}).Draw(t, "demand")
}

// run lets time pass.
func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += tick {
		s.deliver()
		for i, v := range s.vms {
			if s.now < v.frozen {
				continue
			}
			s.giveBack(v)
			s.call(v)
			s.exchange(i)
		}
	}
}

func (s *sim) call(v *simVM) {
	n := int(v.demand)
	if f := v.demand - float64(n); f > 0 && s.random.Float64() < f {
		n++
	}
	for range n {
		v.table.record(s.customer.Name, v.cost)
		now := v.clock.Now()
		if d, _ := v.table.try(now, s.customer.Name, v.cost, false); d.Admitted {
			if v.wait > 0 {
				v.held = append(v.held, heldCall{d.Credit, s.now + v.wait})
				continue
			}
			s.spent = append(s.spent, spending{s.now, v.cost})
			if s.random.IntN(30) == 0 {
				v.table.Return(&d.Credit)
				s.spent = s.spent[:len(s.spent)-1]
			}
			v.table.Sent(&d.Credit)
		}
	}
}

// giveBack ends calls that have waited for a server.
func (s *sim) giveBack(v *simVM) {
	for len(v.held) > 0 && (v.held[0].until <= s.now || v.wait == 0) {
		v.table.Return(&v.held[0].credit)
		v.held = v.held[1:]
	}
}

func (s *sim) exchange(i int) {
	v := s.vms[i]
	if v.sent != nil {
		if s.now-v.sent.sent > answerTimeout {
			v.table.handleFailure(v.sent.r, v.sent.asked)
			v.sent, v.nextAt = nil, s.now+retryInterval
		}
		return
	}
	if s.now < v.nextAt {
		return
	}
	now := v.clock.Now()
	r, asked := v.table.nextRequest(now)
	if len(r.Needs) == 0 {
		return
	}
	v.sent = &simRequest{vm: i, r: r, asked: asked, sentAt: now, sent: s.now, arrives: s.now + s.delay()}
	if !v.cut && !s.loses() {
		s.transit = append(s.transit, v.sent)
	}
}

func (s *sim) loses() bool {
	return s.lossy && s.random.IntN(10) == 0
}

func (s *sim) delay() time.Duration {
	if !s.lossy {
		return 3 * tick
	}
	return []time.Duration{1, 30, 60, 1, 30, 120, 400}[s.random.IntN(7)] * time.Millisecond
}

// deliver delivers what has arrived; requests may be handled after their VM has given up.
func (s *sim) deliver() {
	var left []*simRequest
	for _, m := range s.transit {
		v := s.vms[m.vm]
		switch {
		case m.arrives > s.now, m.answer != nil && s.now < v.frozen:
			left = append(left, m)
		case m.answer != nil:
			if v.sent == m && !v.cut {
				v.table.handleAnswer(v.clock.Now(), m.sentAt, m.r, *m.answer, m.asked)
				v.sent = nil
			}
		case s.ledger != nil:
			answer, ok := s.ledger.Take(s.clock.Now(), m.r)
			if ok && !s.loses() {
				m.answer, m.arrives = &answer, s.now+s.delay()
				left = append(left, m)
			}
		}
	}
	s.transit = left
}

func (s *sim) step(t *rapid.T) {
	i := rapid.IntRange(0, len(s.vms)-1).Draw(t, "vm")
	v := s.vms[i]
	switch rapid.IntRange(0, 9).Draw(t, "step") {
	case 0:
		v.cut = !v.cut
	case 1:
		s.lead()
	case 2:
		s.ledger = nil
	case 3:
		s.restart(t, i)
	case 4:
		v.frozen = s.now + time.Duration(rapid.IntRange(50, 4000).Draw(t, "frozen"))*time.Millisecond
	case 5:
		for _, o := range s.vms {
			o.cut = v.cut
		}
	case 6:
		v.demand = rapid.SampledFrom([]float64{5, 0.6, 5, 0.05, 0}).Draw(t, "demand")
	case 7:
		if s.ledger == nil {
			s.lead()
		}
	}
	s.run(time.Duration(rapid.SampledFrom([]int{1500, 4000, 50, 400}).Draw(t, "ms")) * time.Millisecond)
}

// check fails the test if some window holds more than the allowance.
func (s *sim) check(t *rapid.T) (most float64) {
	sum, first := 0.0, 0
	allowed := allowedIn(s.customer.Allowance, s.bounds)
	for _, e := range s.spent {
		sum += e.amount
		for s.spent[first].at < e.at-s.bounds.Window {
			sum -= s.spent[first].amount
			first++
		}
		most = max(most, sum/allowed)
		if sum > allowed*(1+1e-9) {
			t.Fatalf("%v used in %v until %v, %v allowed", sum, s.bounds.Window, e.at, allowed)
		}
	}
	return most
}

// allowedIn returns what may be used of an allowance in one window.
func allowedIn(a deck.Allowance, b Bounds) float64 {
	return (a.PerSecond*b.Window.Seconds()+a.Burst)*(1+b.Overshoot) + b.Slack
}

// Guards against windows of time in which VMs together let more of a customer's calls run than its allowance, with lost and late messages,
// VMs that restart, stand still or are cut off, clocks that differ in speed, and leaders that fail and change.
func TestFuzzAllowance(t *testing.T) {
	most := 0.0
	decktest.Check(t, func(t *rapid.T) {
		s := newSim(t)
		for range rapid.IntRange(6, 16).Draw(t, "steps") {
			s.step(t)
		}
		most = max(most, s.check(t))
	})
	if most < 0.7 {
		t.Errorf("at most %.2f of an allowance was used, so that no bound was tested", most)
	}
	t.Logf("at most %.3f of an allowance used", most)
}

// Load pattern: all VMs want far more than a customer's allowance when some of them lose the leader, and often its successor. Guards
// against shares of VMs that are cut off which come on top of what the others get.
func TestFuzzCutOffVMs(t *testing.T) {
	shared := 0
	decktest.Check(t, func(t *rapid.T) {
		s := newSim(t)
		s.lossy, s.bounds = false, Bounds{Window: 8 * time.Second}
		s.customer.Allowance.Burst = 0
		s.lead()
		for _, v := range s.vms {
			v.demand, v.cost = 2, 0.0125*s.customer.Allowance.PerSecond
		}
		s.run(shareLife + time.Second) // until shares of another leader would have ended
		for _, v := range s.vms {
			v.cut = rapid.IntRange(0, 2).Draw(t, "cut") > 0
		}
		if rapid.Bool().Draw(t, "new leader") {
			s.ledger = nil
			s.run(time.Duration(rapid.IntRange(0, 2000).Draw(t, "without a leader")) * time.Millisecond)
			s.lead()
		}
		s.run(s.bounds.Window + 2*time.Second)
		s.check(t)
		for _, v := range s.vms {
			if v.cut && v.table.usesShare {
				shared++
			}
		}
	})
	if shared == 0 {
		t.Error("no VM used its share")
	}
}

// Load pattern: all VMs want far more than a customer's allowance after a quiet time, while one leader follows the other. Guards against
// new leaders that grant what VMs hold from those before, or each begin with credit.
func TestFuzzLeaderChanges(t *testing.T) {
	most := 0.0
	decktest.Check(t, func(t *rapid.T) {
		s := newSim(t)
		s.lossy, s.bounds = false, Bounds{Window: 8 * time.Second}
		s.lead()
		demand := func(calls float64) {
			for _, v := range s.vms {
				v.demand, v.cost = calls, 0.01*s.customer.Allowance.PerSecond
			}
		}
		demand(float64(rapid.IntRange(0, 10).Draw(t, "usual")) / 100)
		s.run(s.bounds.settledTime() + time.Second)
		demand(4)
		for range rapid.IntRange(1, 5).Draw(t, "changes") {
			s.run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			s.ledger = nil
			s.run(time.Duration(rapid.IntRange(0, 500).Draw(t, "without a leader")) * time.Millisecond)
			s.lead()
		}
		s.run(3 * time.Second)
		most = max(most, s.check(t))
	})
	t.Logf("at most %.3f of an allowance used", most)
}
