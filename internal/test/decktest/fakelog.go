package decktest

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Errors of proposals to a Log.
var (
	ErrProposalLost         = errors.New("proposal lost")
	ErrProposalResponseLost = errors.New("response to the proposal lost")
)

// A ProposalFault says what happens to a proposal.
type ProposalFault int

// The faults of a proposal.
const (
	NoProposalFault      ProposalFault = iota
	ProposalLost                       // not committed; the proposer gets ErrProposalLost
	ProposalResponseLost               // committed, but the proposer gets ErrProposalResponseLost
	ProposalDelayed                    // the proposer gets ErrProposalLost; the next call of CommitDelayed commits it
)

// A FakeLog is an in-memory replicated log; its replicas apply an entry as soon as it is committed, unless they lag or are
// partitioned.
type FakeLog struct {
	mu       sync.Mutex
	entries  [][]byte
	delayed  [][]byte
	leader   deck.VMName
	replicas map[deck.VMName]*LogReplica
	fault    func() ProposalFault
}

// A LogReplica is one replica of a FakeLog.
type LogReplica struct {
	log          *FakeLog
	vm           deck.VMName
	stateMachine deck.StateMachine
	applied      int
	lagging      bool
	partitioned  bool
}

var _ deck.Log = (*LogReplica)(nil)

// NewFakeLog returns an empty FakeLog without replicas.
func NewFakeLog() *FakeLog {
	return &FakeLog{replicas: make(map[deck.VMName]*LogReplica)}
}

// AddReplica adds a replica that applies entries to the state machine; the first replica becomes the leader.
func (l *FakeLog) AddReplica(vm deck.VMName, m deck.StateMachine) *LogReplica {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &LogReplica{log: l, vm: vm, stateMachine: m}
	l.replicas[vm] = r
	if l.leader == "" {
		l.leader = vm
	}
	r.catchUp()
	return r
}

// SetFault sets the function that is called at each proposal and returns its fault; with nil no proposal fails.
func (l *FakeLog) SetFault(f func() ProposalFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
}

// SetLeader makes a VM the leader; with an empty name the log has no leader.
func (l *FakeLog) SetLeader(vm deck.VMName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader = vm
}

// SetLagging stops a replica from applying entries, or lets it catch up.
func (l *FakeLog) SetLagging(vm deck.VMName, lagging bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replicas[vm].lagging = lagging
	l.replicas[vm].catchUp()
}

// SetPartitioned partitions a replica from the others, or reconnects it and lets it catch up.
func (l *FakeLog) SetPartitioned(vm deck.VMName, partitioned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replicas[vm].partitioned = partitioned
	l.replicas[vm].catchUp()
}

// CommitDelayed commits the proposals with the fault ProposalDelayed.
func (l *FakeLog) CommitDelayed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, data := range l.delayed {
		l.commit(nil, data)
	}
	l.delayed = nil
}

// commit appends an entry, applies it on all replicas that can apply it and returns the result of the proposing replica.
func (l *FakeLog) commit(proposer *LogReplica, data []byte) []byte {
	l.entries = append(l.entries, data)
	var result []byte
	for _, r := range l.replicas {
		if out := r.catchUp(); r == proposer {
			result = out
		}
	}
	return result
}

// catchUp applies the entries that the replica has not applied yet and returns the result of the last one.
func (r *LogReplica) catchUp() []byte {
	var result []byte
	for !r.lagging && !r.partitioned && r.applied < len(r.log.entries) {
		r.applied++
		result = r.stateMachine.Apply(uint64(r.applied), r.log.entries[r.applied-1])
	}
	return result
}

// Propose implements deck.Log.Propose.
func (r *LogReplica) Propose(ctx context.Context, data []byte) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	if r.log.leader != r.vm || r.partitioned {
		return nil, ErrProposalLost
	}
	fault := NoProposalFault
	if r.log.fault != nil {
		fault = r.log.fault()
	}
	switch fault {
	case ProposalLost:
		return nil, ErrProposalLost
	case ProposalDelayed:
		r.log.delayed = append(r.log.delayed, data)
		return nil, ErrProposalLost
	case ProposalResponseLost:
		r.log.commit(r, data)
		return nil, ErrProposalResponseLost
	default:
		return r.log.commit(r, data), nil
	}
}

// Barrier implements deck.Log.Barrier.
func (r *LogReplica) Barrier(ctx context.Context) error {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case r.partitioned || r.lagging || r.log.leader == "":
		return errors.New("barrier: no leader, or the replica is partitioned or lags")
	default:
		return nil
	}
}

// Status implements deck.Log.Status.
func (r *LogReplica) Status() deck.LogStatus {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	s := deck.LogStatus{
		Self: deck.ReplicaID{VM: r.vm, Incarnation: 1}, CommitIndex: uint64(len(r.log.entries)), AppliedIndex: uint64(r.applied),
	}
	if !r.partitioned {
		s.Leader = deck.ReplicaID{VM: r.log.leader, Incarnation: 1}
	}
	return s
}
