package feed

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/statemachine"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/command"
)

// A cluster is a deployment of 3+3+2 VMs with a control replica in each data centre, in a synctest bubble.
type cluster struct {
	t          *testing.T
	log        *decktest.FakeLog
	peers      []deck.Peer
	nodes      map[deck.VMName]*clusterNode
	lastTicket uint64

	heartbeats bool                                 // the leader proves its state by heartbeats
	polled     map[deck.VMName]map[deck.VMName]bool // sources of each VM; nil if they are not recorded

	mu  sync.Mutex
	cut map[[2]deck.VMName]bool // messages from the first VM to the second are dropped
}

type clusterNode struct {
	store   *Store
	machine *statemachine.Machine
	replica *decktest.LogReplica
	stop    func()
}

func newCluster(t *testing.T) *cluster {
	var peers []deck.Peer
	for i, dc := range []deck.DataCentre{"graz-a", "graz-a", "graz-a", "wien-b", "wien-b", "wien-b", "innsbruck-a", "innsbruck-a"} {
		p := deck.Peer{Name: deck.VMName(fmt.Sprint("vm", i)), DataCentre: dc, Control: i%3 == 0}
		peers = append(peers, p)
	}
	return newClusterOf(t, peers, false)
}

func newClusterOf(t *testing.T, peers []deck.Peer, heartbeats bool) *cluster {
	c := &cluster{
		t: t, log: decktest.NewFakeLog(), peers: peers, nodes: make(map[deck.VMName]*clusterNode),
		cut: make(map[[2]deck.VMName]bool), heartbeats: heartbeats,
	}
	for _, p := range c.peers {
		c.start(p, nil, deck.State{}, false)
	}
	t.Cleanup(func() {
		for _, n := range c.nodes {
			n.stop()
		}
	})
	return c
}

// start starts the process of a VM; a replica keeps its log.
func (c *cluster) start(p deck.Peer, saver Saver, saved deck.State, hasState bool) {
	n := &clusterNode{store: NewStore(p.Name, deck.SystemClock{}, saver, saved, hasState)}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	cfg := ClientConfig{Self: p, Peers: c.peers, Store: n.store, Transport: clusterTransport{c, p.Name}, Clock: deck.SystemClock{}}
	if p.Control {
		n.machine = statemachine.New(nil, StoreUpdater{Store: n.store})
		n.replica = c.log.AddReplica(p.Name, n.machine)
		cfg.Leader = func() deck.VMName { return n.replica.Status().Leader.VM }
		var log deck.Log = n.replica
		if c.heartbeats {
			log = heartbeatLog{n.replica}
		}
		g.Go(func() error { return Prover{Log: log, Store: n.store, Clock: deck.SystemClock{}}.Run(ctx) })
	}
	g.Go(func() error { return NewClient(cfg).Run(ctx) })
	n.stop = func() {
		cancel()
		_ = g.Wait()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[p.Name] = n
}

func (c *cluster) restart(vm deck.VMName) {
	c.nodes[vm].stop()
	c.start(c.peer(vm), nil, deck.State{}, false)
}

func (c *cluster) peer(vm deck.VMName) deck.Peer {
	return c.peers[slices.IndexFunc(c.peers, func(p deck.Peer) bool { return p.Name == vm })]
}

// isolate sets for each direction whether all messages to or from a VM are dropped.
func (c *cluster) isolate(vm deck.VMName, to, from bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		c.cut[[2]deck.VMName{p.Name, vm}] = to
		c.cut[[2]deck.VMName{vm, p.Name}] = from
	}
}

func (c *cluster) isCut(from, to deck.VMName) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut[[2]deck.VMName{from, to}]
}

func (c *cluster) store(vm deck.VMName) *Store {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[vm].store
}

// submit commits a ticket at the leader and returns its version.
func (c *cluster) submit() uint64 {
	c.lastTicket++
	x := deck.Ticket{
		Number:         c.lastTicket,
		BackendServers: []deck.BackendServer{decktest.NewEngine("e", "graz-a", deck.Bytes(c.lastTicket))},
	}
	leader := c.nodes["vm0"].replica.Status().Leader.VM
	if leader == "" {
		leader = c.nodes["vm3"].replica.Status().Leader.VM
	}
	p := statemachine.Proposer{Self: leader, Log: c.nodes[leader].replica, Clock: deck.SystemClock{}}
	data, err := p.Propose(c.t.Context(), command.Encode(command.Envelope{Command: command.ApplyTicket{Ticket: x}}))
	if err != nil {
		c.t.Fatal(err)
	}
	r, err := command.DecodeResult(data)
	if err != nil || r.Ticket.Verdict != deck.TicketAccepted {
		c.t.Fatal(r, err)
	}
	return r.Ticket.Version
}

// behind returns the VMs whose state is older than a version.
func (c *cluster) behind(version uint64) []deck.VMName {
	var out []deck.VMName
	for _, p := range c.peers {
		if c.store(p.Name).State().Version() < version {
			out = append(out, p.Name)
		}
	}
	return out
}

// awaitInForce waits, for a minute at most, until a version is in force on all VMs except the given ones, and returns the time
// that it took.
func (c *cluster) awaitInForce(version uint64, except ...deck.VMName) time.Duration {
	start := time.Now()
	for time.Since(start) < time.Minute {
		rest := slices.DeleteFunc(c.behind(version), func(vm deck.VMName) bool { return slices.Contains(except, vm) })
		if len(rest) == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// A clusterTransport carries the polls of one VM with a one-way delay of 25 ms.
type clusterTransport struct {
	c    *cluster
	self deck.VMName
}

func (t clusterTransport) Poll(ctx context.Context, source deck.Peer, r Request) (Response, error) {
	t.record(source.Name)
	if t.c.isCut(t.self, source.Name) || !deck.Sleep(ctx, 25*time.Millisecond) {
		<-ctx.Done()
		return Response{}, ctx.Err()
	}
	a := t.c.store(source.Name).Serve(ctx, r)
	if t.c.isCut(source.Name, t.self) || !deck.Sleep(ctx, 25*time.Millisecond) {
		<-ctx.Done()
		return Response{}, ctx.Err()
	}
	return a, nil
}

func (t clusterTransport) record(source deck.VMName) {
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	if t.c.polled == nil {
		return
	}
	if t.c.polled[t.self] == nil {
		t.c.polled[t.self] = make(map[deck.VMName]bool)
	}
	t.c.polled[t.self][source] = true
}

// A heartbeatLog proves the leader's state by the next heartbeat, which is sent within 350 ms and takes 50 ms.
type heartbeatLog struct {
	*decktest.LogReplica
}

func (l heartbeatLog) HeartbeatBarrier(ctx context.Context) error {
	if s := l.Status(); s.Leader.VM != s.Self.VM {
		return errors.New("not the leader")
	}
	deck.Sleep(ctx, 400*time.Millisecond)
	return ctx.Err()
}

func (t clusterTransport) Offer(ctx context.Context, to deck.Peer, name string, v PayloadVersion) (bool, error) {
	if t.c.isCut(t.self, to.Name) || t.c.isCut(to.Name, t.self) {
		<-ctx.Done()
		return false, ctx.Err()
	}
	return t.c.store(to.Name).NeedsPayload(name, v), nil
}

func (t clusterTransport) Publish(_ context.Context, to deck.Peer, p Payload) error {
	t.c.store(to.Name).Publish(p)
	return nil
}
