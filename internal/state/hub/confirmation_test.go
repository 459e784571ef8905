package hub_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/core/revocation"
	"github.com/geraniumdeck/geraniumdeck/internal/state/hub"
)

const revocationBound = 5 * time.Second

// A replica is a control VM whose read barriers take up to a heartbeat, and fail or wait as the test says.
type replica struct {
	publisher *hub.Publisher
	log       *fakeLog

	mu      sync.Mutex
	rand    *rand.Rand
	behind  bool // barriers wait: a new leader has not committed an entry of its own term yet, or no majority answers
	applied uint64
}

func newReplica(self, leader deck.VMName) *replica {
	p, l := newPublisher(self, leader)
	return &replica{publisher: p, log: l, rand: rand.New(rand.NewPCG(1, 1))}
}

// HeartbeatBarrier implements deck.HeartbeatBarrier.HeartbeatBarrier.
func (r *replica) HeartbeatBarrier(ctx context.Context) error {
	r.mu.Lock()
	wait := time.Duration(r.rand.Int64N(int64(350 * time.Millisecond)))
	r.mu.Unlock()
	for {
		if !deck.Sleep(ctx, wait) {
			return ctx.Err()
		}
		wait = 50 * time.Millisecond
		if _, leading := r.log.LeaderTerm(time.Time{}, 0); !leading {
			return errors.New("not leading")
		}
		r.mu.Lock()
		behind := r.behind
		r.mu.Unlock()
		if !behind {
			return nil
		}
	}
}

// apply applies a document that the log has committed.
func (r *replica) apply(version uint64) {
	r.publisher.SetConfig(document(version))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applied = version
}

func (r *replica) setBehind(behind bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.behind = behind
}

func (r *replica) version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.applied
}

// A slowClient delays requests and answers by random times.
type slowClient struct {
	memoryClient
	rand *rand.Rand // used by one subscriber
}

func (c *slowClient) RequestView(ctx context.Context, to deck.VMName, r deck.ViewRequest) (deck.ViewAnswer, error) {
	deck.Sleep(ctx, time.Duration(c.rand.Int64N(int64(80*time.Millisecond))))
	a, err := c.memoryClient.RequestView(ctx, to, r)
	deck.Sleep(ctx, time.Duration(c.rand.Int64N(int64(80*time.Millisecond))))
	return a, err
}

// A ledger knows when documents were acknowledged, and checks what is confirmed to an entry VM against it.
type ledger struct {
	mu      sync.Mutex
	acked   []time.Time // of documents 1, 2, ...
	inForce uint64
	late    int // confirmations that are not true
	count   int
}

func (l *ledger) ack() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acked = append(l.acked, time.Now())
}

func (l *ledger) install(d deck.RoutingDocument) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inForce = d.Version
}

// check records a confirmation.
func (l *ledger) check(version uint64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	if version > l.inForce || at.After(time.Now()) {
		l.late++
	}
	for i, acked := range l.acked {
		if acked.Before(at) && uint64(i+1) > l.inForce {
			l.late++
		}
	}
}

func (l *ledger) result() (confirmations, late int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count, l.late
}

// runConfirmed runs control VMs a, which leads, and b, and an entry VM with a guard while f runs.
func runConfirmed(t *testing.T, f func(is *is.I, a, b *replica, client *slowClient, l *ledger, g *revocation.Guard)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		a, b := newReplica("a", "a"), newReplica("b", "a")
		client := &slowClient{rand: rand.New(rand.NewPCG(2, 2))}
		client.publishers = map[deck.VMName]*hub.Publisher{"a": a.publisher, "b": b.publisher}
		l := &ledger{}
		guard := &revocation.Guard{Clock: deck.SystemClock{}, Bound: revocationBound}
		sub := hub.NewSubscriber(hub.SubscriberOptions{
			Self: "e", Client: client, List: staticList{}, Logger: logr.Discard(), Clock: deck.SystemClock{},
			Seeds: func() []deck.VMName { return []deck.VMName{"gone", "b", "a"} }, Report: func(*deck.ViewRequest) {}, Config: l.install,
			Servers: func([]deck.Server) {}, VMs: func(int) {}, Calls: func([]deck.ServerCalls) {}, Blame: func(deck.BlameView) {},
			Confirmed: func(version uint64, at time.Time) {
				l.check(version, at)
				guard.Confirm(at)
			},
		})
		var g errgroup.Group
		g.Go(func() error { return sub.Run(ctx) })
		for _, r := range []*replica{a, b} {
			c := hub.Confirmer{Log: r, Clock: deck.SystemClock{}, Publisher: r.publisher, Version: r.version}
			g.Go(func() error { return c.Run(ctx) })
		}
		f(is, a, b, client, l, guard)
		cancel()
		is.NoErr(g.Wait())
	})
}

// put makes the documents after the given one durable on the replicas, one each 300 ms.
func put(l *ledger, from, to uint64, replicas ...*replica) {
	for v := from; v <= to; v++ {
		for _, r := range replicas {
			r.apply(v)
		}
		l.ack()
		<-time.After(300 * time.Millisecond)
	}
}

// Guards against a confirmation that counts from a time at which a newer document had already been acknowledged, and against
// confirmations so old that an ordinary change of leader makes a VM refuse keys.
func TestConfirmationsAreTrueAndOutlastAChangeOfLeader(t *testing.T) {
	runConfirmed(t, func(is *is.I, a, b *replica, client *slowClient, l *ledger, g *revocation.Guard) {
		put(l, 1, 20, a, b)
		age, ok := g.Age()
		is.True(ok)
		is.True(age < 2*time.Second)
		is.True(g.Accepts())
		client.disconnect("a")
		for range 28 { // an election takes 2.8 s
			<-time.After(100 * time.Millisecond)
			is.True(g.Accepts())
		}
		a.log.set("b", 2)
		b.log.set("b", 2)
		for range 20 {
			<-time.After(100 * time.Millisecond)
			is.True(g.Accepts())
		}
		put(l, 21, 30, b)
		count, late := l.result()
		is.True(count > 10)
		is.Equal(late, 0)
	})
}

// Guards against a new leader that confirms its document before it has applied what its predecessor had acknowledged.
func TestNewLeaderConfirmsNothingUntilItHasCaughtUp(t *testing.T) {
	runConfirmed(t, func(is *is.I, a, b *replica, client *slowClient, l *ledger, g *revocation.Guard) {
		put(l, 1, 5, a, b)
		put(l, 6, 6, a) // not applied by b yet
		client.disconnect("a")
		b.setBehind(true)
		a.log.set("b", 2)
		b.log.set("b", 2)
		<-time.After(revocationBound)
		is.True(!g.Accepts())
		b.apply(6)
		b.setBehind(false)
		<-time.After(time.Second)
		is.True(g.Accepts())
		_, late := l.result()
		is.Equal(late, 0)
	})
}

// Guards against a leader that is cut off from the other replicas, takes itself for the leader, and confirms its document while its
// successor acknowledges newer ones.
func TestDeposedLeaderConfirmsNothingNew(t *testing.T) {
	runConfirmed(t, func(is *is.I, a, b *replica, _ *slowClient, l *ledger, g *revocation.Guard) {
		put(l, 1, 5, a, b)
		a.setBehind(true) // no majority answers its barriers
		b.log.set("b", 2)
		put(l, 6, 12, b)
		count, late := l.result()
		is.True(count > 5) // the VM still asks the deposed leader
		is.Equal(late, 0)
		<-time.After(revocationBound)
		is.True(!g.Accepts())
	})
}

// Guards against a VM that accepts keys although it is cut off or has only a replica's document, and against one that goes on refusing
// once it is in touch.
func TestVMWithoutALeaderIsNotConfirmed(t *testing.T) {
	for _, c := range []struct {
		name  string
		heard bool // a leader has answered the VM before
	}{{"cut off", true}, {"restarted while there is no leader", false}} {
		t.Run(c.name, func(t *testing.T) {
			runConfirmed(t, func(is *is.I, a, b *replica, _ *slowClient, l *ledger, g *revocation.Guard) {
				a.apply(1)
				b.apply(1)
				l.ack()
				if c.heard {
					<-time.After(2 * time.Second)
					is.True(g.Accepts())
				}
				a.log.set("", 1)
				b.log.set("", 1)
				<-time.After(revocationBound)
				is.True(!g.Accepts())
				_, ok := g.Age()
				is.Equal(ok, c.heard)
				a.log.set("a", 2)
				b.log.set("a", 2)
				<-time.After(2 * time.Second)
				is.True(g.Accepts())
			})
		})
	}
}

// Guards against a VM that joins late and has to wait for a whole poll, or longer, until it accepts keys.
func TestVMThatJoinsLateIsConfirmedSoon(t *testing.T) {
	runConfirmed(t, func(is *is.I, a, b *replica, _ *slowClient, l *ledger, g *revocation.Guard) {
		put(l, 1, 1, a, b)
		<-time.After(1200 * time.Millisecond) // three targets to ask, and a poll
		is.True(g.Accepts())
	})
}

// Load pattern: 1,000 entry VMs, whose polls would be held for four seconds each. Guards against confirmations that are so old that they
// don't outlast a change of leader.
func TestHoldIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		p, _ := newPublisher("a", "a")
		p.SetConfig(document(1))
		for i := range 1000 {
			p.View(ctx, deck.ViewRequest{VM: deck.VMName(string(rune('A' + i))), ConfigVersion: 1})
		}
		var mu sync.Mutex
		var longest time.Duration
		sub := hub.NewSubscriber(hub.SubscriberOptions{
			Self: "e", Client: &memoryClient{publishers: map[deck.VMName]*hub.Publisher{"a": p}}, List: staticList{},
			Logger: logr.Discard(), MaxHold: time.Second, Seeds: func() []deck.VMName { return []deck.VMName{"a"} },
			Report: func(r *deck.ViewRequest) {
				mu.Lock()
				defer mu.Unlock()
				longest = max(longest, r.MaxWait)
			},
			Config: func(deck.RoutingDocument) {}, Servers: func([]deck.Server) {}, VMs: func(int) {},
			Calls: func([]deck.ServerCalls) {}, Blame: func(deck.BlameView) {},
		})
		var g errgroup.Group
		g.Go(func() error { return sub.Run(ctx) })
		<-time.After(3 * time.Second)
		mu.Lock()
		is.Equal(longest, time.Second)
		mu.Unlock()
		cancel()
		is.NoErr(g.Wait())
	})
}

// Guards against a VM that takes an old document for recent while it installs the newer one of a leader that it has found again: it would
// refuse what the newer one has.
func TestOldDocumentIsNotRecentWhileANewerOneIsInstalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		p, log := newPublisher("a", "a")
		p.SetConfig(document(1))
		var sub *hub.Subscriber
		var ages []time.Duration // at the installation of each document
		sub = hub.NewSubscriber(hub.SubscriberOptions{
			Self: "e", Client: &memoryClient{publishers: map[deck.VMName]*hub.Publisher{"a": p}}, List: staticList{},
			Logger: logr.Discard(), Seeds: func() []deck.VMName { return []deck.VMName{"a"} }, Report: func(*deck.ViewRequest) {},
			Config:  func(deck.RoutingDocument) { ages = append(ages, sub.Age()) },
			Servers: func([]deck.Server) {}, VMs: func(int) {}, Calls: func([]deck.ServerCalls) {}, Blame: func(deck.BlameView) {},
		})
		var g errgroup.Group
		g.Go(func() error { return sub.Run(ctx) })
		<-time.After(time.Second)
		log.set("", 1)
		<-time.After(10 * time.Second)
		p.SetConfig(document(2))
		log.set("a", 2)
		<-time.After(time.Second)
		cancel()
		is.NoErr(g.Wait())
		is.Equal(len(ages), 2)
		is.True(ages[1] > 9*time.Second)
	})
}
