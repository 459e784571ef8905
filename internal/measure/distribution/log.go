package distribution

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A memoryLog is an in-memory replicated log whose followers apply each entry one latency after the leader.
type memoryLog struct {
	mu       sync.Mutex
	index    uint64
	latency  time.Duration
	leader   deck.VMName
	replicas map[deck.VMName]*memoryReplica
	group    *errgroup.Group
}

type memoryReplica struct {
	log     *memoryLog
	vm      deck.VMName
	machine deck.StateMachine
	entries chan entry
}

type entry struct {
	index      uint64
	data       []byte
	proposedAt time.Time
}

var _ deck.Log = (*memoryReplica)(nil)

// addReplica adds a replica; the first one becomes the leader.
func (l *memoryLog) addReplica(ctx context.Context, vm deck.VMName, m deck.StateMachine) *memoryReplica {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &memoryReplica{log: l, vm: vm, machine: m, entries: make(chan entry, 1024)}
	l.replicas[vm] = r
	if l.leader == "" {
		l.leader = vm
		return r
	}
	l.group.Go(func() error {
		r.applyEntries(ctx)
		return nil
	})
	return r
}

func (r *memoryReplica) applyEntries(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-r.entries:
			deck.Sleep(ctx, time.Until(e.proposedAt.Add(r.log.latency)))
			r.machine.Apply(e.index, e.data)
		}
	}
}

// Propose implements deck.Log.Propose.
func (r *memoryReplica) Propose(_ context.Context, data []byte) ([]byte, error) {
	l := r.log
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader != r.vm {
		return nil, errors.New("propose: replica is not the leader")
	}
	l.index++
	for _, o := range l.replicas {
		if o != r {
			o.entries <- entry{l.index, data, time.Now()}
		}
	}
	return r.machine.Apply(l.index, data), nil
}

// Barrier implements deck.Log.Barrier; it waits twice the latency, in which all earlier entries reach the follower.
func (r *memoryReplica) Barrier(ctx context.Context) error {
	deck.Sleep(ctx, 2*r.log.latency)
	return ctx.Err()
}

// Status implements deck.Log.Status.
func (r *memoryReplica) Status() deck.LogStatus {
	return deck.LogStatus{Self: deck.ReplicaID{VM: r.vm}, Leader: deck.ReplicaID{VM: r.log.leader}}
}
