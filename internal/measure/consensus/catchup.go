package consensus

import (
	"context"
	"encoding/binary"
	"net"
	"net/http"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/api/peer"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/disk"
	"github.com/geraniumdeck/geraniumdeck/internal/state/replica"
)

// Sizes of the catch-up measurement.
const (
	ticketCount  = 500
	ticketBytes  = 2 << 10
	pollInterval = time.Millisecond
)

// MeasureCatchUp returns the time that a restarted replica takes to apply the 500 entries of 2 KiB that it is behind. It runs in
// real time with files under dir and HTTP on loopback; a replica takes a snapshot every snapshotEntries entries.
func MeasureCatchUp(ctx context.Context, dir string, snapshotEntries int) (time.Duration, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &cluster{dir: dir, snapshotEntries: snapshotEntries, addresses: make(map[deck.VMName]string)}
	if err := c.listen(ctx); err != nil {
		return 0, err
	}
	d, err := c.measure(ctx)
	cancel()
	return d, errors.CombineErrors(err, c.group.Wait())
}

// A cluster is three replica nodes that exchange messages over HTTP on loopback.
type cluster struct {
	dir             string
	snapshotEntries int
	addresses       map[deck.VMName]string
	listeners       []net.Listener
	group           errgroup.Group
}

var vmNames = []deck.VMName{"a", "b", "c"}

func (c *cluster) listen(ctx context.Context) error {
	for _, vm := range vmNames {
		l, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		c.addresses[vm] = l.Addr().String()
		c.listeners = append(c.listeners, l)
	}
	return nil
}

func (c *cluster) measure(ctx context.Context) (time.Duration, error) {
	var running []*runningNode
	for i := range vmNames {
		n, err := c.start(ctx, i)
		if err != nil {
			return 0, err
		}
		running = append(running, n)
	}
	if _, err := proposeToLeader(ctx, running); err != nil {
		return 0, err
	}
	lagging := running[2]
	lagging.stop()
	<-lagging.node.Done()
	var last uint64
	for range ticketCount {
		index, err := proposeToLeader(ctx, running[:2])
		if err != nil {
			return 0, err
		}
		last = index
	}
	return c.restartLast(ctx, last)
}

// restartLast restarts the third node and returns the time until it has applied the entry with the index last.
func (c *cluster) restartLast(ctx context.Context, last uint64) (time.Duration, error) {
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", c.addresses[vmNames[2]])
	if err != nil {
		return 0, errors.Wrap(err, "listen")
	}
	c.listeners[2] = l
	start := time.Now()
	n, err := c.start(ctx, 2)
	if err != nil {
		return 0, err
	}
	for n.node.Status().AppliedIndex < last {
		if err := waitPollInterval(ctx); err != nil {
			return 0, err
		}
	}
	return time.Since(start), nil
}

// A runningNode is a replica node with the function that stops it and its server.
type runningNode struct {
	node *replica.Node
	stop context.CancelFunc
}

func (c *cluster) start(ctx context.Context, i int) (*runningNode, error) {
	vm := vmNames[i]
	files, err := disk.OpenOSFiles(filepath.Join(c.dir, string(vm)))
	if err != nil {
		return nil, err
	}
	store, err := disk.Open(disk.Options{Files: files, Deployment: "measure", VM: vm})
	if err != nil {
		return nil, err
	}
	node, err := replica.NewNode(replica.Options{
		Config:    replica.Config{Deployment: "measure", Founders: vmNames, SnapshotEntries: c.snapshotEntries},
		Storage:   store,
		Transport: &peer.ReplicaClient{Address: c.address},
		Machine:   &recordingMachine{},
	})
	if err != nil {
		return nil, errors.CombineErrors(err, store.Close())
	}
	mux := http.NewServeMux()
	peer.RegisterReplica(mux, node, nil)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	ctx, stop := context.WithCancel(ctx)
	listener := c.listeners[i]
	c.group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	c.group.Go(func() error {
		err := node.Run(ctx)
		return errors.CombineErrors(err, errors.CombineErrors(server.Close(), store.Close()))
	})
	return &runningNode{node: node, stop: stop}, nil
}

func (c *cluster) address(vm deck.VMName) (string, bool) {
	a, ok := c.addresses[vm]
	return a, ok
}

// proposeToLeader commits a command of a ticket's size, trying each node until the leader accepts it, and returns its log index.
func proposeToLeader(ctx context.Context, nodes []*runningNode) (uint64, error) {
	for {
		for _, n := range nodes {
			value, err := n.node.Propose(ctx, make([]byte, ticketBytes))
			if err == nil {
				return binary.BigEndian.Uint64(value), nil
			}
		}
		if err := waitPollInterval(ctx); err != nil {
			return 0, err
		}
	}
}

func waitPollInterval(ctx context.Context) error {
	select {
	case <-time.After(pollInterval):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// A recordingMachine is a state machine that keeps every command, so that its snapshot is as large as the commands allow.
type recordingMachine struct{ commands []byte }

var _ deck.StateMachine = (*recordingMachine)(nil)

// Apply implements deck.StateMachine.Apply; it returns the log index in big-endian order.
func (m *recordingMachine) Apply(index uint64, command []byte) []byte {
	m.commands = append(m.commands, command...)
	return binary.BigEndian.AppendUint64(nil, index)
}

// Restore implements deck.StateMachine.Restore.
func (m *recordingMachine) Restore(snapshot []byte) error {
	m.commands = append([]byte(nil), snapshot...)
	return nil
}

// Snapshot implements deck.StateMachine.Snapshot.
func (m *recordingMachine) Snapshot() ([]byte, error) {
	return append([]byte(nil), m.commands...), nil
}
