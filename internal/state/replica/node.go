package replica

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	inputQueueSize = 1024 // messages and calls queued for the node's loop
	maxInputBatch  = 256  // inputs that share one sync

	// tickPeriod is shorter than ElectionTimeoutMin with 1% clock drift minus LeadershipTimeout (88 ms), so that a leader steps
	// down before another is elected.
	tickPeriod = 50 * time.Millisecond
)

// Options configures a node; a zero Log discards log lines, a nil Clock is the system clock.
type Options struct {
	Config    // Stored is loaded from Storage
	Storage   deck.Storage
	Transport deck.ReplicaTransport
	Machine   deck.StateMachine
	Clock     deck.Clock
	Log       logr.Logger
}

// A Node runs one replica of the log.
type Node struct {
	opts   Options
	core   *Core
	inputs chan func(now time.Time)
	done   chan struct{}
	status atomic.Pointer[deck.LogStatus]

	publishedAt atomic.Pointer[time.Time] // time of the core at status

	counters nodeCounters

	group     *errgroup.Group
	ctx       context.Context // of the senders, set by Run
	outbox    map[queueKey]chan deck.ReplicaMessage
	proposals map[uint64]pendingProposal

	barrierID         uint64
	pendingBarriers   map[uint64]chan error // by ID
	confirmedBarriers map[chan error]uint64 // the entry that must be applied first
	failure           error                 // why the replica no longer participates; nil if it does

	// Effects whose changes wait for room on the disk; nil if none do. Until they are saved the replica takes no part in the log, as if
	// it were suspended.
	unsaved *Effects
}

var (
	_ deck.Log               = (*Node)(nil)
	_ deck.ReplicaReceiver   = (*Node)(nil)
	_ deck.MembershipChanger = (*Node)(nil)
	_ deck.ReplicaMonitor    = (*Node)(nil)
)

// NewNode returns a node that continues the stored log; it participates once Run is called.
func NewNode(o Options) (*Node, error) {
	if o.Clock == nil {
		o.Clock = deck.SystemClock{}
	}
	stored, err := o.Storage.Load()
	if err != nil {
		return nil, errors.Wrap(err, "load replicated log")
	}
	o.Stored = stored
	n := &Node{
		opts:              o,
		core:              New(o.Config, o.Clock.Now()),
		inputs:            make(chan func(time.Time), inputQueueSize),
		done:              make(chan struct{}),
		outbox:            make(map[queueKey]chan deck.ReplicaMessage),
		proposals:         make(map[uint64]pendingProposal),
		pendingBarriers:   make(map[uint64]chan error),
		confirmedBarriers: make(map[chan error]uint64),
	}
	n.publishStatus()
	return n, nil
}

// Done returns a channel that is closed when the node has stopped.
func (n *Node) Done() <-chan struct{} {
	return n.done
}

// Status implements deck.Log.Status.
func (n *Node) Status() deck.LogStatus {
	return *n.status.Load()
}

// Receive implements deck.ReplicaReceiver.Receive; it drops the message instead of blocking, because lost messages are resent.
func (n *Node) Receive(_ context.Context, m deck.ReplicaMessage) error {
	select {
	case <-n.done:
		return deck.ErrReplicaStopped
	case n.inputs <- func(now time.Time) { n.step(now, m) }:
		return nil
	default:
		return deck.ErrLogBusy
	}
}

func (n *Node) step(now time.Time, m deck.ReplicaMessage) {
	if n.unavailable() == nil {
		n.core.Step(now, m)
	}
}

// unavailable returns why the replica takes no part in the log; nil if it does.
func (n *Node) unavailable() error {
	if n.failure == nil && n.unsaved != nil {
		return deck.ErrDiskFull
	}
	return n.failure
}

// Propose implements deck.Log.Propose; on a replica that does not lead it returns a deck.NotLeaderError.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return n.appendAndWait(ctx, func(now time.Time) (uint64, uint64, error) {
		return n.core.Propose(now, command)
	})
}

// appendAndWait runs an operation that appends an entry and waits until the entry is applied.
func (n *Node) appendAndWait(ctx context.Context, op func(now time.Time) (index, term uint64, err error)) ([]byte, error) {
	w := pendingProposal{result: make(chan applyResult, 1)}
	err := n.enqueue(ctx, func(now time.Time) {
		if err := errors.CombineErrors(n.unavailable(), ctx.Err()); err != nil {
			w.result <- applyResult{err: err}
			return
		}
		index, term, err := op(now)
		if err != nil {
			w.result <- applyResult{err: err}
			return
		}
		w.term = term
		n.proposals[index] = w
	})
	if err != nil {
		return nil, err
	}
	select {
	case a := <-w.result:
		return a.value, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-n.done:
		return nil, deck.ErrReplicaStopped
	}
}

// enqueue queues a function for the node's loop.
func (n *Node) enqueue(ctx context.Context, f func(now time.Time)) error {
	select {
	case n.inputs <- f:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-n.done:
		return deck.ErrReplicaStopped
	}
}

// Barrier implements deck.Log.Barrier; a follower requests the barrier from the leader.
func (n *Node) Barrier(ctx context.Context) error {
	return n.barrier(ctx, n.core.Barrier)
}

// HeartbeatBarrier implements deck.HeartbeatBarrier.HeartbeatBarrier.
func (n *Node) HeartbeatBarrier(ctx context.Context) error {
	return n.barrier(ctx, n.core.HeartbeatBarrier)
}

func (n *Node) barrier(ctx context.Context, start func(now time.Time, id uint64)) error {
	result := make(chan error, 1)
	err := n.enqueue(ctx, func(now time.Time) {
		if err := n.unavailable(); err != nil {
			result <- err
			return
		}
		n.barrierID++
		n.pendingBarriers[n.barrierID] = result
		start(now, n.barrierID)
	})
	if err != nil {
		return err
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-n.done:
		return deck.ErrReplicaStopped
	}
}
