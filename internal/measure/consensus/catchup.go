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
	ticketCount = 500
	ticketBytes = 2 << 10
	pollPeriod  = time.Millisecond
)

// CatchUp measures in real time, with disks under the folder and HTTP on loopback, how long a restarted replica that is
// 500 entries of 2 KB behind takes until it has applied them; a snapshot is taken every snapshotEntries entries.
func CatchUp(ctx context.Context, dir string, snapshotEntries int) (time.Duration, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &site{dir: dir, snapshotEntries: snapshotEntries, addresses: make(map[deck.VMName]string)}
	if err := s.listen(ctx); err != nil {
		return 0, err
	}
	d, err := s.measure(ctx)
	cancel()
	return d, errors.CombineErrors(err, s.group.Wait())
}

// A site is three nodes on loopback.
type site struct {
	dir             string
	snapshotEntries int
	addresses       map[deck.VMName]string
	listeners       []net.Listener
	group           errgroup.Group
}

var vms = []deck.VMName{"a", "b", "c"}

func (s *site) listen(ctx context.Context) error {
	for _, vm := range vms {
		l, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		s.addresses[vm] = l.Addr().String()
		s.listeners = append(s.listeners, l)
	}
	return nil
}

func (s *site) measure(ctx context.Context) (time.Duration, error) {
	var running []*member
	for i := range vms {
		m, err := s.start(ctx, i)
		if err != nil {
			return 0, err
		}
		running = append(running, m)
	}
	if _, err := proposeAnywhere(ctx, running); err != nil {
		return 0, err
	}
	behind := running[2]
	behind.stop()
	<-behind.node.Done()
	var last uint64
	for range ticketCount {
		index, err := proposeAnywhere(ctx, running[:2])
		if err != nil {
			return 0, err
		}
		last = index
	}
	return s.restart(ctx, last)
}

// restart starts the last replica again and returns the time until it has applied the entry.
func (s *site) restart(ctx context.Context, last uint64) (time.Duration, error) {
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", s.addresses[vms[2]])
	if err != nil {
		return 0, errors.Wrap(err, "listen")
	}
	s.listeners[2] = l
	start := time.Now()
	m, err := s.start(ctx, 2)
	if err != nil {
		return 0, err
	}
	for m.node.Status().Applied < last {
		if err := pause(ctx); err != nil {
			return 0, err
		}
	}
	return time.Since(start), nil
}

// A member is a node with its listener and storage.
type member struct {
	node *replica.Node
	stop context.CancelFunc
}

func (s *site) start(ctx context.Context, i int) (*member, error) {
	vm := vms[i]
	files, err := disk.OpenOSFiles(filepath.Join(s.dir, string(vm)))
	if err != nil {
		return nil, err
	}
	store, err := disk.Open(disk.Options{Files: files, Deployment: "measure", VM: vm})
	if err != nil {
		return nil, err
	}
	node, err := replica.NewNode(replica.Options{
		Config:    replica.Config{Deployment: "measure", Founders: vms, SnapshotEntries: s.snapshotEntries},
		Storage:   store,
		Transport: &peer.ReplicaClient{Address: s.address},
		Machine:   &history{},
	})
	if err != nil {
		return nil, errors.CombineErrors(err, store.Close())
	}
	mux := http.NewServeMux()
	peer.RegisterReplica(mux, node, nil)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	ctx, stop := context.WithCancel(ctx)
	listener := s.listeners[i]
	s.group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	s.group.Go(func() error {
		err := node.Run(ctx)
		return errors.CombineErrors(err, errors.CombineErrors(server.Close(), store.Close()))
	})
	return &member{node: node, stop: stop}, nil
}

func (s *site) address(vm deck.VMName) (string, bool) {
	a, ok := s.addresses[vm]
	return a, ok
}

// proposeAnywhere commits a ticket-sized command at whichever member leads and returns its index.
func proposeAnywhere(ctx context.Context, members []*member) (uint64, error) {
	for {
		for _, m := range members {
			value, err := m.node.Propose(ctx, make([]byte, ticketBytes))
			if err == nil {
				return binary.BigEndian.Uint64(value), nil
			}
		}
		if err := pause(ctx); err != nil {
			return 0, err
		}
	}
}

func pause(ctx context.Context) error {
	select {
	case <-time.After(pollPeriod):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// A history is a state machine that keeps every command, as large a snapshot as the commands can make.
type history struct{ data []byte }

var _ deck.StateMachine = (*history)(nil)

// Apply implements deck.StateMachine.Apply; the result is the index.
func (h *history) Apply(index uint64, command []byte) []byte {
	h.data = append(h.data, command...)
	return binary.BigEndian.AppendUint64(nil, index)
}

// Restore implements deck.StateMachine.Restore.
func (h *history) Restore(snapshot []byte) error {
	h.data = append([]byte(nil), snapshot...)
	return nil
}

// Snapshot implements deck.StateMachine.Snapshot.
func (h *history) Snapshot() ([]byte, error) {
	return append([]byte(nil), h.data...), nil
}
