package distribution

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/api/peer"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/feed"
	"github.com/geraniumdeck/geraniumdeck/internal/state/statemachine"
)

// A deployment is a set of VMs in this process that poll each other over HTTP on loopback.
type deployment struct {
	peers     []deck.Peer
	stores    []*feed.Store
	feedBytes []*atomic.Int64 // sent and received by the feed polls of each VM
	proposer  statemachine.Proposer
	group     *errgroup.Group
	cancel    context.CancelFunc
	servers   []*http.Server
	listeners []net.Listener
}

// deploymentPeers returns the VMs of a deployment of the given size: three data centres with one control replica each, or, from
// 64 VMs on, ten data centres with seven control replicas in all.
func deploymentPeers(vms int) []deck.Peer {
	dataCentres, replicas := 3, 3
	if vms >= 64 {
		dataCentres, replicas = 10, 7
	}
	var peers []deck.Peer
	for i := range vms {
		dc := i % dataCentres
		peers = append(peers, deck.Peer{
			Name: deck.VMName(fmt.Sprintf("vm%03d", i)), DataCentre: deck.DataCentre(fmt.Sprint("dc", dc)),
			Region: deck.Region(fmt.Sprint("region", dc%3)), Control: i < replicas,
		})
	}
	return peers
}

// startDeployment starts the VMs of a deployment; latency is the one-way latency between data centres.
func startDeployment(ctx context.Context, vms int, latency time.Duration) (*deployment, error) {
	ctx, cancel := context.WithCancel(ctx)
	d := &deployment{peers: deploymentPeers(vms), group: new(errgroup.Group), cancel: cancel}
	for i := range d.peers {
		var cfg net.ListenConfig
		l, err := cfg.Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			d.stop()
			return nil, err
		}
		d.listeners = append(d.listeners, l)
		d.peers[i].Address = l.Addr().String()
	}
	log := &memoryLog{latency: latency, replicas: make(map[deck.VMName]*memoryReplica), group: d.group}
	for i, p := range d.peers {
		d.startVM(ctx, i, p, log)
	}
	return d, nil
}

func (d *deployment) startVM(ctx context.Context, i int, p deck.Peer, log *memoryLog) {
	clock := deck.SystemClock{}
	store := feed.NewStore(p.Name, clock, nil, deck.State{}, false)
	count := new(atomic.Int64)
	d.stores, d.feedBytes = append(d.stores, store), append(d.feedBytes, count)
	mux := http.NewServeMux()
	peer.RegisterFeed(mux, store)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	d.servers = append(d.servers, server)
	listener := d.listeners[i]
	d.group.Go(func() error {
		_ = server.Serve(listener) // returns when the deployment is stopped
		return nil
	})
	cfg := feed.ClientConfig{
		Self: p, Peers: d.peers, Store: store, Clock: clock,
		Transport: delayedTransport{peer.FeedClient{HTTP: countingClient(count)}, p, log.latency},
	}
	if p.Control {
		m := statemachine.New(nil, feed.StoreUpdater{Store: store})
		replica := log.addReplica(ctx, p.Name, m)
		cfg.Leader = func() deck.VMName { return log.leader }
		d.group.Go(func() error { return feed.Prover{Log: replica, Store: store, Clock: clock}.Run(ctx) })
		if p.Name == log.leader {
			d.proposer = statemachine.Proposer{Self: p.Name, Log: replica, Clock: clock}
		}
	}
	d.group.Go(func() error { return feed.NewClient(cfg).Run(ctx) })
}

// stop stops all VMs and waits for them.
func (d *deployment) stop() {
	d.cancel()
	for _, s := range d.servers {
		_ = s.Close()
	}
	for _, l := range d.listeners {
		_ = l.Close()
	}
	_ = d.group.Wait()
}

// A delayedTransport delays polls between data centres by the latency in each direction.
type delayedTransport struct {
	peer.FeedClient
	self    deck.Peer
	latency time.Duration
}

// Poll implements feed.Transport.Poll.
func (f delayedTransport) Poll(ctx context.Context, source deck.Peer, r feed.Request) (feed.Response, error) {
	remote := source.DataCentre != f.self.DataCentre
	if remote {
		deck.Sleep(ctx, f.latency)
	}
	resp, err := f.FeedClient.Poll(ctx, source, r)
	if remote {
		deck.Sleep(ctx, f.latency)
	}
	return resp, err
}

// countingClient returns a client that counts the bytes on its connections.
func countingClient(count *atomic.Int64) *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return countingConn{c, count}, nil
		},
	}}
}

type countingConn struct {
	net.Conn
	count *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count.Add(int64(n))
	return n, err
}
