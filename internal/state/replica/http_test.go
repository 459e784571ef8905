package replica_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/api/peer"
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/disk"
	"github.com/geraniumdeck/geraniumdeck/internal/state/replica"
)

// A pipeNetwork connects HTTP clients and servers by net.Pipe, on which testing/synctest recognises blocked goroutines.
type pipeNetwork map[string]pipeListener

type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeNetwork(addresses ...string) pipeNetwork {
	n := make(pipeNetwork)
	for _, a := range addresses {
		n[a] = pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	}
	return n
}

func (l pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l pipeListener) Close() error   { close(l.closed); return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (n pipeNetwork) client() *http.Client {
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		near, far := net.Pipe()
		select {
		case n[address].conns <- far:
			return near, nil
		case <-n[address].closed:
			return nil, net.ErrClosed
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial}}
}

// A recordingMachine is a state machine that keeps the applied commands in order.
type recordingMachine struct{ commands string }

func (w *recordingMachine) Apply(_ uint64, command []byte) []byte {
	w.commands += string(command) + " "
	return []byte("ok " + string(command))
}

func (w *recordingMachine) Restore(snapshot []byte) error { w.commands = string(snapshot); return nil }
func (w *recordingMachine) Snapshot() ([]byte, error)     { return []byte(w.commands), nil }

// TestThreeReplicasOverHTTP guards against replicas that fail to bootstrap, elect, commit or restart with the HTTP
// transport and the storage on disk.
func TestThreeReplicasOverHTTP(t *testing.T) {
	dirs := map[deck.VMName]string{"a": t.TempDir(), "b": t.TempDir(), "c": t.TempDir()}
	for run := range 2 {
		synctest.Test(t, func(t *testing.T) { runOverHTTP(t, dirs, run) })
	}
}

func runOverHTTP(t *testing.T, dirs map[deck.VMName]string, run int) {
	is := is.New(t)
	network := newPipeNetwork("a:80", "b:80", "c:80")
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	nodes := make(map[deck.VMName]*replica.Node)
	machines := make(map[deck.VMName]*recordingMachine)
	for vm, dir := range dirs {
		machines[vm] = &recordingMachine{}
		nodes[vm] = startOverHTTP(ctx, t, &group, network, vm, dir, machines[vm])
	}
	for i := range 20 {
		got := propose(t, nodes, fmt.Sprintf("%d-%d", run, i))
		is.Equal(got, fmt.Sprintf("ok %d-%d", run, i))
	}
	for _, n := range nodes {
		is.NoErr(n.Barrier(ctx))
	}
	cancel()
	is.NoErr(group.Wait())
	for _, m := range machines {
		is.Equal(m.commands, machines["a"].commands) // the state machines agree
	}
	is.Equal(len(machines["a"].commands) > 0, true)
}

func startOverHTTP(
	ctx context.Context, t *testing.T, group *errgroup.Group, network pipeNetwork, vm deck.VMName, dir string, m *recordingMachine,
) *replica.Node {
	is := is.New(t)
	files, err := disk.OpenOSFiles(dir)
	is.NoErr(err)
	store, err := disk.Open(disk.Options{Files: files, Deployment: "test", VM: vm})
	is.NoErr(err)
	client := network.client()
	address := func(vm deck.VMName) (string, bool) { return string(vm) + ":80", true }
	node, err := replica.NewNode(replica.Options{
		Config:    replica.Config{Deployment: "test", Founders: []deck.VMName{"a", "b", "c"}},
		Storage:   store,
		Transport: &peer.ReplicaClient{Address: address, Client: client},
		Machine:   m,
	})
	is.NoErr(err)
	mux := http.NewServeMux()
	peer.RegisterReplica(mux, node, nil)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	group.Go(func() error { _ = server.Serve(network[string(vm)+":80"]); return nil })
	group.Go(func() error {
		err := node.Run(ctx)
		client.CloseIdleConnections()
		return errors.Join(err, server.Close(), store.Close())
	})
	return node
}

// propose proposes a command at each node in turn until one accepts it.
func propose(t *testing.T, nodes map[deck.VMName]*replica.Node, command string) string {
	for range 1000 {
		for _, n := range nodes {
			if value, err := n.Propose(t.Context(), []byte(command)); err == nil {
				return string(value)
			}
		}
		<-time.After(50 * time.Millisecond) // virtual time
	}
	t.Fatal("no leader accepts the command")
	return ""
}
