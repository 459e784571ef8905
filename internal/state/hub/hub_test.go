package hub_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/hub"
)

// A fakeLog is the replicated log with a leader and term that the test sets, as one control VM sees it.
type fakeLog struct {
	mu     sync.Mutex
	leader deck.VMName
	self   deck.VMName
	term   uint64
}

func (l *fakeLog) Propose(context.Context, []byte) ([]byte, error) { return nil, errors.New("unused") }
func (l *fakeLog) Barrier(context.Context) error                   { return errors.New("unused") }

func (l *fakeLog) Status() deck.LogStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return deck.LogStatus{Self: deck.ReplicaID{VM: l.self}, Leader: deck.ReplicaID{VM: l.leader}}
}

func (l *fakeLog) Health(context.Context) ([]deck.ReplicaHealth, error) { return nil, nil }

func (l *fakeLog) LeaderTerm(time.Time, time.Duration) (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term, l.leader == l.self
}

func (l *fakeLog) set(leader deck.VMName, term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader, l.term = leader, term
}

func newPublisher(self, leader deck.VMName) (*hub.Publisher, *fakeLog) {
	l := &fakeLog{self: self, leader: leader, term: 1}
	return hub.NewPublisher(hub.Options{Log: l, Monitor: l, Clock: deck.SystemClock{}, Logger: logr.Discard()}), l
}

func document(version uint64) deck.RoutingDocument {
	return deck.RoutingDocument{Version: version, Body: fmt.Appendf(nil, "configuration %d", version)}
}

// Guards against answers that carry the whole list although the entry VM has a recent version, and against a list of an old
// term.
func TestOnlyChangesAreSent(t *testing.T) {
	is := is.New(t)
	p, _ := newPublisher("a", "a")
	ctx := context.Background()
	p.SetServers(1, []deck.Server{{ID: "x"}, {ID: "y"}})
	first := p.View(ctx, deck.ViewRequest{VM: "e"})
	is.True(first.FullList)
	is.Equal(len(first.Servers), 2)
	p.SetServers(1, []deck.Server{{ID: "x", Draining: true}})
	next := p.View(ctx, deck.ViewRequest{VM: "e", View: first.View})
	is.True(!next.FullList)
	is.Equal(len(next.Servers), 1)
	is.Equal(next.RemovedServers, []deck.BackendName{"y"})
	is.Equal(len(p.View(ctx, deck.ViewRequest{VM: "e", View: next.View}).Servers), 0)
	p.SetServers(2, []deck.Server{{ID: "x"}})
	is.True(!p.View(ctx, deck.ViewRequest{VM: "e", View: next.View}).FullList) // this VM does not lead the term of the list
}

// Guards against sending each change of an engine's adapters to all entry VMs; adapters change many times a second over all
// engines.
func TestAdapterChangesAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, _ := newPublisher("a", "a")
		row := func(adapters ...deck.AdapterName) []deck.Server {
			return []deck.Server{{ID: "x", Models: []deck.HeldModel{{Name: "m", Adapters: adapters}}}}
		}
		p.SetServers(1, row())
		v := p.View(context.Background(), deck.ViewRequest{VM: "e"}).View
		p.SetServers(1, row("a1"))
		is.Equal(len(p.View(context.Background(), deck.ViewRequest{VM: "e", View: v}).Servers), 0)
		<-time.After(5 * time.Second)
		p.SetServers(1, row("a1"))
		is.Equal(len(p.View(context.Background(), deck.ViewRequest{VM: "e", View: v}).Servers), 1)
	})
}

// Load pattern: the engines of a large system change their models fifty times a second while 300 entry VMs wait for changes. Guards
// against an answer to every VM at every change, which leaves the leader no time to confirm that it leads, and against VMs that
// learn of the last change late.
func TestListChangesAreSentAtABoundedRate(t *testing.T) {
	const (
		entryVMs = 300
		seconds  = 5
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		p, _ := newPublisher("a", "a")
		list := make([]deck.Server, 160)
		for i := range list {
			list[i].ID = deck.BackendName(fmt.Sprint("x", i))
		}
		p.SetServers(1, list)
		var g errgroup.Group
		var answers, current atomic.Int64
		for i := range entryVMs {
			g.Go(func() error {
				r := deck.ViewRequest{VM: deck.VMName(fmt.Sprint("e", i)), MaxWait: time.Second}
				for ctx.Err() == nil {
					a := p.View(ctx, r)
					answers.Add(1)
					r.View = a.View
					for _, s := range a.Servers {
						if s.ID == "x0" && s.Draining {
							current.Add(1)
						}
					}
					<-time.After(2 * time.Millisecond) // to and from the leader
				}
				return nil
			})
		}
		<-time.After(time.Second)
		answers.Store(0)
		for i := range 50 * seconds {
			list[i%len(list)].Models = []deck.HeldModel{{Name: "m", Version: i}}
			p.SetServers(1, append([]deck.Server(nil), list...))
			<-time.After(20 * time.Millisecond)
		}
		is.True(answers.Load() <= (300+50)*seconds)
		list[0].Draining = true
		p.SetServers(1, list)
		<-time.After(1100 * time.Millisecond)
		is.Equal(current.Load(), int64(entryVMs))
		cancel()
		is.NoErr(g.Wait())
	})
}

// Guards against a replica that does not lead and sends the whole document with each answer. After a restart of all VMs, entry
// VMs ask such replicas again and again; the documents fill narrow links and keep the entry VMs from starting.
func TestNonLeaderSendsOneDocument(t *testing.T) {
	is := is.New(t)
	p, l := newPublisher("b", "")
	p.SetConfig(document(7))
	ctx := context.Background()
	is.True(p.View(ctx, deck.ViewRequest{VM: "e"}).Config != nil) // no leader is known, and the VM has no document
	p.SetConfig(document(8))
	// The VM has a document, and this replica may be behind.
	is.True(p.View(ctx, deck.ViewRequest{VM: "e", ConfigVersion: 7}).Config == nil)
	l.set("a", 2)
	is.True(p.View(ctx, deck.ViewRequest{VM: "e"}).Config == nil) // the leader will send it
	is.True(p.View(ctx, deck.ViewRequest{VM: "e", AcceptStaleConfig: true}).Config != nil)
}

// Guards against totals of calls in flight that count an entry VM twice, or keep the calls of one that has gone.
func TestCallsAreSummedOverVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, _ := newPublisher("a", "a")
		ask := func(vm deck.VMName, dc deck.DataCentre, n int) []deck.ServerCalls {
			r := deck.ViewRequest{VM: vm, DataCentre: dc}
			if n > 0 {
				r.CallsInFlight = []deck.ServerCalls{{Server: "x", Calls: n}}
			}
			return p.View(context.Background(), r).CallsInFlight
		}
		ask("e1", "dc-1", 3)
		is.Equal(ask("e2", "dc-2", 4), []deck.ServerCalls{{Server: "x", Calls: 7, Near: 4}})
		is.Equal(ask("e1", "dc-1", 1), []deck.ServerCalls{{Server: "x", Calls: 5, Near: 1}})
		is.Equal(ask("e3", "dc-2", 2), []deck.ServerCalls{{Server: "x", Calls: 7, Near: 6}})
		<-time.After(6 * time.Second) // a VM that sends no requests has no calls
		is.Equal(ask("e1", "dc-1", 1), []deck.ServerCalls{{Server: "x", Calls: 1, Near: 1}})
		is.Equal(len(ask("e1", "dc-1", 0)), 0)
	})
}

// A memoryClient sends the requests of a subscriber to publishers in the same process.
type memoryClient struct {
	mu         sync.Mutex
	publishers map[deck.VMName]*hub.Publisher
}

func (c *memoryClient) RequestView(ctx context.Context, to deck.VMName, r deck.ViewRequest) (deck.ViewAnswer, error) {
	c.mu.Lock()
	p := c.publishers[to]
	c.mu.Unlock()
	if p == nil {
		<-ctx.Done() // a disconnected VM does not answer
		return deck.ViewAnswer{}, ctx.Err()
	}
	return p.View(ctx, r), nil
}

// disconnect makes a VM unreachable.
func (c *memoryClient) disconnect(vm deck.VMName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.publishers, vm)
}

// A recorder records what a subscriber puts into force.
type recorder struct {
	mu       sync.Mutex
	versions []uint64
	servers  []deck.Server
}

func (w *recorder) last() (version uint64, servers int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.versions) > 0 {
		version = w.versions[len(w.versions)-1]
	}
	return version, len(w.servers)
}

// A staticList is a fixed list of the platform.
type staticList []deck.Server

func (l staticList) ListServers(context.Context) ([]deck.Server, error) { return l, nil }

// runSubscriber runs a subscriber in virtual time while f runs.
func runSubscriber(t *testing.T, client *memoryClient, platformList staticList, f func(w *recorder, sub *hub.Subscriber)) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	w := &recorder{}
	sub := hub.NewSubscriber(hub.SubscriberOptions{
		Self: "e", Client: client, List: platformList, Logger: logr.Discard(),
		Seeds:  func() []deck.VMName { return []deck.VMName{"gone", "b", "a"} },
		Report: func(*deck.ViewRequest) {},
		Config: func(d deck.RoutingDocument) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.versions = append(w.versions, d.Version)
		},
		Servers: func(s []deck.Server) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.servers = s
		},
		VMs: func(int) {}, Calls: func([]deck.ServerCalls) {}, Blame: func(deck.BlameView) {},
	})
	var g errgroup.Group
	g.Go(func() error { return sub.Run(ctx) })
	g.Go(func() error { return sub.RunDirect(ctx) })
	f(w, sub)
	cancel()
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
}

// Guards against a subscriber that stays with a lost leader, or misses the changes that its successor publishes.
func TestSubscriberFindsTheLeaderAndItsSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, la := newPublisher("a", "a")
		b, lb := newPublisher("b", "a")
		for _, p := range []*hub.Publisher{a, b} {
			p.SetConfig(document(1))
			p.SetServers(1, []deck.Server{{ID: "x"}})
		}
		client := &memoryClient{publishers: map[deck.VMName]*hub.Publisher{"a": a, "b": b}}
		runSubscriber(t, client, nil, func(w *recorder, sub *hub.Subscriber) {
			<-time.After(2 * time.Second)
			leader, _ := sub.Leader()
			is.Equal(leader, deck.VMName("a"))
			a.SetConfig(document(2))
			<-time.After(10 * time.Millisecond) // the pending poll is answered at once
			version, _ := w.last()
			is.Equal(version, uint64(2))
			client.disconnect("a")
			la.set("b", 2)
			lb.set("b", 2)
			b.SetConfig(document(3))
			b.SetServers(2, []deck.Server{{ID: "x"}, {ID: "y"}})
			<-time.After(3 * time.Second)
			version, servers := w.last()
			is.Equal(version, uint64(3))
			is.Equal(servers, 2)
		})
	})
}

// Guards against an entry VM that goes back to an older document after a change of the leader.
func TestSubscriberNeverInstallsAnOlderDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, _ := newPublisher("a", "a")
		b, lb := newPublisher("b", "a")
		a.SetConfig(document(5))
		b.SetConfig(document(4))
		client := &memoryClient{publishers: map[deck.VMName]*hub.Publisher{"a": a, "b": b}}
		runSubscriber(t, client, nil, func(w *recorder, _ *hub.Subscriber) {
			<-time.After(2 * time.Second)
			client.disconnect("a")
			lb.set("b", 2) // stands for a fault: a replica that is behind is never elected
			<-time.After(5 * time.Second)
			is.Equal(w.versions, []uint64{5})
		})
	})
}

// Guards against a data centre that is cut off from every control VM and stays without a list of backend servers, although
// it can read the platform's list.
func TestSubscriberReadsTheListItselfWithoutALeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		runSubscriber(t, &memoryClient{}, staticList{{ID: "x"}, {ID: "y"}}, func(w *recorder, _ *hub.Subscriber) {
			<-time.After(3 * time.Second)
			_, servers := w.last()
			is.Equal(servers, 2)
		})
	})
}

// Guards against the ejection of most engines of a service, which overloads the few others, when most of them break connections
// for a moment, as after the loss of a data centre.
func TestEjectedShareIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, _ := newPublisher("a", "a")
		var list []deck.Server
		var ids []deck.BackendName
		for i := range 10 {
			id := deck.BackendName(rune('0' + i))
			list, ids = append(list, deck.Server{ID: id, Service: "svc"}), append(ids, id)
		}
		p.SetServers(1, list)
		var seen deck.ViewAnswer
		for i := range 6 {
			seen = p.View(context.Background(), deck.ViewRequest{VM: deck.VMName(rune('a' + i)), BrokenConnections: ids})
		}
		ejected := 0
		for _, s := range seen.Servers {
			if s.Ejected {
				ejected++
			}
		}
		is.Equal(ejected, 2)
		<-time.After(2 * time.Second)
		p.SetServers(1, list)
		for _, s := range p.View(context.Background(), deck.ViewRequest{VM: "z"}).Servers {
			is.True(!s.Ejected)
		}
	})
}
