package allowance

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A termMonitor is a replica that leads a term, or none if it is 0.
type termMonitor struct {
	deck.ReplicaMonitor
	term atomic.Uint64
	seen atomic.Uint64 // the term of another leader
}

// Status implements deck.Log.Status.
func (m *termMonitor) Status() deck.LogStatus {
	return deck.LogStatus{Term: m.seen.Load(), Leader: deck.ReplicaID{VM: "leader"}}
}

// LeaderTerm implements deck.ReplicaMonitor.LeaderTerm.
func (m *termMonitor) LeaderTerm(time.Time, time.Duration) (term uint64, ok bool) {
	term = m.term.Load()
	return term, term > 0
}

// Guards against a leader that has no credit when the first calls come, a new one that grants what its predecessor has granted already, and
// a deposed one that still grants.
func TestLedgerFollowsLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		monitor := &termMonitor{}
		monitor.term.Store(1)
		config := &deck.RoutingConfig{Customers: []deck.Customer{{Name: "c", Allowance: deck.Allowance{PerSecond: 10, Burst: 10}}}}
		s := &SharedLedger{
			Monitor: monitor, Log: monitor, Clock: deck.SystemClock{}, Bounds: Bounds{Window: 8 * time.Second, Overshoot: 0.1},
			Config: func() *deck.RoutingConfig { return config },
		}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		running.Go(func() { _ = s.Run(ctx) }) // always nil
		time.Sleep(2 * shareLife)
		serial := uint64(0)
		take := func() float64 {
			serial++
			a, err := s.TakeCredit(ctx, deck.CreditRequest{VM: "vm", Serial: serial, Needs: []deck.CreditNeed{{
				Customer: "c", Calls: 1000, Least: 1,
			}}})
			is.NoErr(err)
			return a.Grants[0].Calls
		}
		is.True(take() >= 10) // the burst
		is.Equal(take(), 0.0)
		start := newTerms(config.Customers[0].Allowance, s.Bounds).start
		monitor.term.Store(2)
		granted := take()
		is.True(granted >= 1 && granted <= start) // the first leader was settled
		monitor.term.Store(3)
		is.Equal(take(), 0.0) // the second one wasn't
		time.Sleep(time.Second)
		is.True(take() >= 6) // beside what VMs may hold from before
		monitor.term.Store(0)
		monitor.seen.Store(4)
		time.Sleep(time.Minute)
		monitor.term.Store(6)
		is.Equal(take(), 0.0) // there may have been another leader
		monitor.term.Store(0)
		monitor.seen.Store(7)
		time.Sleep(time.Minute)
		monitor.term.Store(8)
		is.True(take() >= 1)
		monitor.term.Store(0)
		_, err := s.TakeCredit(ctx, deck.CreditRequest{})
		is.True(err != nil)
	})
}

// Guards against an allowance that is lowered and keeps its credit, one that is raised and doesn't get more at once, and a customer that is
// removed and keeps its account.
func TestLedgerFollowsTheConfiguration(t *testing.T) {
	is := is.New(t)
	customers := func(perSecond, burst float64) []deck.Customer {
		return []deck.Customer{{Name: "c", Allowance: deck.Allowance{PerSecond: perSecond, Burst: burst}}}
	}
	l := &Ledger{Bounds: Bounds{Window: 8 * time.Second}}
	now, serial := time.Unix(1000, 0), uint64(0)
	take := func() deck.CreditGrant {
		serial++
		a, ok := l.Take(now, deck.CreditRequest{VM: "vm", Serial: serial, Needs: []deck.CreditNeed{{Customer: "c", Calls: 1e6, Least: 1}}})
		is.True(ok)
		return a.Grants[0]
	}
	l.SetCustomers(now, customers(100, 1000))
	now = now.Add(time.Minute)
	l.SetCustomers(now, customers(10, 10))
	is.True(take().Calls <= 10)
	l.SetCustomers(now, customers(100, 1000))
	now = now.Add(time.Second)
	is.True(take().Calls >= 90)
	l.SetCustomers(now, customers(0, 0))
	is.Equal(take().Calls, 1e6)
	l.SetCustomers(now, nil)
	is.Equal(take(), deck.CreditGrant{})
	_, ok := l.Take(now, deck.CreditRequest{VM: "vm", Serial: serial})
	is.True(!ok) // a repeated message
}

// Guards against credit that is used after it has lapsed, when it may have been granted again.
func TestCreditLapses(t *testing.T) {
	for _, tc := range []struct {
		name   string
		after  time.Duration
		usable float64
	}{
		{"at once", 0, 7},
		{"after the lease of calls that wait", 500 * time.Millisecond, 4},
		{"after both", aheadTime, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			sent := time.Unix(1000, 0)
			p := &purse{}
			p.apply(sent.Add(100*time.Millisecond), sent, deck.CreditGrant{
				Calls: 3, Ahead: 4, Lease: 500 * time.Millisecond, AheadLease: aheadTime,
			})
			is.Equal(p.held(sent.Add(tc.after)), tc.usable)
		})
	}
}

// Guards against a leader that takes back credit which has lapsed, or more than it granted.
func TestLapsedCreditIsNotTakenBack(t *testing.T) {
	for _, tc := range []struct {
		name     string
		after    time.Duration
		returned float64
		back     float64
	}{
		{"in time", time.Second, 5, 5},
		{"too much", time.Second, 50, 10},
		{"late", aheadTime + 100*time.Millisecond, 5, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			a := newAccount(now.Add(-time.Minute), now.Add(-time.Minute))
			a.terms = terms{rate: 1, size: 100}
			a.bucket = 90
			is.Equal(a.grantAhead(now, "vm", 10), 10.0)
			a.takeBack(now.Add(tc.after), "vm", deck.CreditNeed{Returned: tc.returned})
			is.Equal(a.bucket, 80+tc.back)
		})
	}
}
