package restraint_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/core/restraint"
	"github.com/geraniumdeck/geraniumdeck/internal/test/noticerules"
)

const simStep = 10 * time.Millisecond

// A grantor is the leader that grants permits, as VMs reach it.
type grantor struct {
	permits *restraint.Permits // nil while nobody leads
	vms     int
	lost    func() bool // whether a request or its answer is lost
}

// TakePermit implements deck.PermitSource.TakePermit.
func (g *grantor) TakePermit(_ context.Context, r deck.PermitRequest) (deck.PermitAnswer, error) {
	if g.permits == nil {
		return deck.PermitAnswer{}, restraint.ErrNotLeading
	}
	a := g.permits.Take(time.Now(), g.vms, r)
	if g.lost() {
		return deck.PermitAnswer{}, errors.New("answer lost")
	}
	return a, nil
}

// Load pattern: VMs want to send far more requests to a server than it takes from all of them, steadily or rarely each, while answers
// of the leader are lost, leaders change, and for a time nobody leads. Guards against more requests than the limit allows in any
// window, and against a server that gets much less than it takes.
func TestPermitsDivideALimit(t *testing.T) {
	for _, tc := range []struct {
		name     string
		vms      int
		senders  int // VMs that have requests
		limit    float64
		demand   float64 // requests a second that all senders want to send
		loss     float64
		leaders  time.Duration // from one leader to the next; 0 for one leader
		noLeader bool
		minShare float64 // of the limit
	}{
		{"few VMs", 8, 8, 3, 30, 0, 0, false, 0.85},
		{"one sender", 8, 1, 3, 30, 0, 0, false, 0.85},
		{"many VMs with few requests", 300, 300, 3, 10, 0, 0, false, 0.75},
		{"many VMs with many requests", 300, 300, 3, 1500, 0, 0, false, 0.75},
		{"large limit", 8, 8, 200, 1000, 0, 0, false, 0.85},
		{"large limit of one sender", 8, 1, 200, 1000, 0, 0, false, 0.5},
		{"lost answers", 8, 8, 6, 60, 0.1, 0, false, 0.7},
		{"new leaders", 8, 8, 6, 60, 0, 3 * time.Second, false, 0.7},
		{"no leader, few VMs", 8, 8, 6, 60, 0, 0, true, 0.2},
		{"no leader, many VMs", 300, 300, 6, 60, 0, 0, true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const length = 40 * time.Second
				random := rand.New(rand.NewPCG(1, uint64(tc.vms)))
				g := &grantor{permits: &restraint.Permits{}, vms: tc.vms, lost: func() bool { return random.Float64() < tc.loss }}
				if tc.noLeader {
					g.permits = nil
				}
				var tables []*restraint.Table
				for i := range tc.vms {
					table := &restraint.Table{Self: deck.VMName(fmt.Sprintf("vm%d", i)), Permits: g}
					table.SetVMs(time.Now(), tc.vms)
					tables = append(tables, table)
				}
				said := deck.ServerNotice{Limited: true, Limit: tc.limit}
				for _, table := range tables[:tc.senders] {
					table.ObserveNotice(time.Now(), "e", "1", said)
				}
				var sent []time.Time
				nextLeader := time.Now().Add(tc.leaders)
				for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(simStep) {
					if tc.leaders > 0 && time.Now().After(nextLeader) {
						g.permits, nextLeader = &restraint.Permits{}, time.Now().Add(tc.leaders)
					}
					for n := tc.demand * simStep.Seconds(); n > 0; n-- {
						if random.Float64() >= n {
							continue
						}
						table := tables[random.IntN(tc.senders)]
						r := table.Restraint(time.Now(), "e", "1")
						if r.Allows() && table.Admit(t.Context(), "e", "1") {
							sent = append(sent, time.Now())
							table.ObserveNotice(time.Now(), "e", "1", said)
						}
					}
				}
				if most, allowed := noticerules.MostInWindow(sent), noticerules.LimitAllows(tc.limit); float64(most) > allowed {
					t.Errorf("%d requests in %v, %.0f allowed", most, noticerules.LimitWindow, allowed)
				}
				if rate := float64(len(sent)) / length.Seconds(); rate < tc.minShare*tc.limit {
					t.Errorf("%.2f requests a second of %v", rate, tc.limit)
				}
			})
		})
	}
}

// Guards against a limit that ends with an answer that was on its way before the server named it, or with a liveness check.
func TestLimitEndsOnlyWithANewerAnswer(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return now.Add(time.Duration(seconds) * time.Second) }
	for _, tc := range []struct {
		name    string
		said    deck.ServerNotice
		limited bool
	}{
		{"answer to an earlier request", deck.ServerNotice{SentAt: at(0)}, true},
		{"liveness check", deck.ServerNotice{}, true},
		{"answer to a later request", deck.ServerNotice{SentAt: at(2)}, false},
		{"another limit", deck.ServerNotice{SentAt: at(2), Limited: true, Limit: 1}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var table restraint.Table
			table.ObserveNotice(at(1), "e", "1", deck.ServerNotice{Limited: true, Limit: 3})
			table.ObserveNotice(at(3), "e", "1", tc.said)
			if limited := table.Restraint(at(3), "e", "1").Limited; limited != tc.limited {
				t.Errorf("limited is %v", limited)
			}
			if table.Restraint(at(3), "e", "2").Limited {
				t.Error("another incarnation is limited")
			}
		})
	}
}

// A leavingCaller is a permit source that answers only once its caller has left.
type leavingCaller struct{ asked int }

// TakePermit implements deck.PermitSource.TakePermit.
func (l *leavingCaller) TakePermit(ctx context.Context, _ deck.PermitRequest) (deck.PermitAnswer, error) {
	l.asked++
	<-ctx.Done()
	return deck.PermitAnswer{}, ctx.Err()
}

// Guards against a server that is used less because callers leave while a permit is asked for: nobody has said that there is none.
func TestCallerWhoLeavesDelaysNoPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &leavingCaller{}
		table := &restraint.Table{Self: "vm0", Permits: source}
		table.SetVMs(time.Now(), 8)
		table.ObserveNotice(time.Now(), "e", "1", deck.ServerNotice{Limited: true, Limit: 3})
		ctx, leave := context.WithCancel(t.Context())
		leave()
		if table.Admit(ctx, "e", "1") {
			t.Error("the request of a caller who has left is admitted")
		}
		if !table.Restraint(time.Now(), "e", "1").Allows() {
			t.Error("the next request has to wait")
		}
		if table.Admit(t.Context(), "e", "1"); source.asked != 2 {
			t.Errorf("permits were asked for %d times", source.asked)
		}
	})
}

// Guards against VMs that keep to a limit after another one has heard that it has ended, and against an end that is older than what a VM
// has heard, or may be.
func TestEndOfALimitIsToldToOtherVMs(t *testing.T) {
	now := time.Unix(1000, 0)
	ask := func(age time.Duration) deck.PermitRequest {
		return deck.PermitRequest{VM: "a", Server: "e", Incarnation: "1", Limit: 3, Age: age}
	}
	end := func(age time.Duration) deck.PermitRequest {
		return deck.PermitRequest{VM: "b", Server: "e", Incarnation: "1", Age: age, Ended: true}
	}
	for _, tc := range []struct {
		name  string
		heard []deck.PermitRequest
		ended bool
	}{
		{"after the limit was heard", []deck.PermitRequest{ask(5 * time.Second), end(time.Second)}, true},
		{"before it was heard", []deck.PermitRequest{ask(time.Second), end(2 * time.Second)}, false},
		{"at about the same time", []deck.PermitRequest{ask(time.Second), end(900 * time.Millisecond)}, false},
		{"named again", []deck.PermitRequest{ask(5 * time.Second), end(2 * time.Second), ask(time.Second)}, false},
		{"heard before, asked after", []deck.PermitRequest{ask(5 * time.Second), end(2 * time.Second), ask(4 * time.Second)}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var p restraint.Permits
			for _, r := range tc.heard {
				p.Take(now, 8, r)
			}
			if a := p.Take(now, 8, ask(5*time.Second)); a.Ended != tc.ended {
				t.Errorf("ended is %v", a.Ended)
			}
		})
	}
}

// noPermits grants no permits, although there is a leader.
type noPermits struct{}

// TakePermit implements deck.PermitSource.TakePermit.
func (noPermits) TakePermit(context.Context, deck.PermitRequest) (deck.PermitAnswer, error) {
	return deck.PermitAnswer{Wait: 10 * time.Millisecond}, nil
}

// Guards against VMs that take large parts of a limit for themselves after a time without a leader: the next one hears of the VMs one by
// one, and tells the first of them that there are few.
func TestNewLeaderCountsFewVMsAtFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms = 8
		said := deck.ServerNotice{Limited: true, Limit: 3}
		sent := 0
		var tables []*restraint.Table
		for range vms {
			table := &restraint.Table{Permits: noPermits{}}
			table.SetVMs(time.Now(), vms)
			table.ObserveNotice(time.Now(), "e", "1", said)
			tables = append(tables, table)
		}
		time.Sleep(15 * time.Second) // nobody leads
		for range 20 {
			for i, table := range tables {
				table.SetVMs(time.Now(), 1+i/4)
				if table.Admit(t.Context(), "e", "1") {
					sent++
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
		if sent > 0 {
			t.Errorf("%d requests without a permit", sent)
		}
		time.Sleep(15 * time.Second)
		tables[0].SetVMs(time.Now(), 1) // the other VMs have ended
		tables[0].Admit(t.Context(), "e", "1")
		time.Sleep(time.Second)
		if !tables[0].Admit(t.Context(), "e", "1") {
			t.Error("the only VM does not use its part of the limit")
		}
	})
}
