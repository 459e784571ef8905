package decktest

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Errors of a fake log's proposals.
var (
	ErrLogLost     = errors.New("the proposal was lost")
	ErrLogNoAnswer = errors.New("the answer was lost")
)

// A LogFault says what happens to a proposal.
type LogFault int

// The faults; after LogAnswerLost the command is committed, after LogLost it is not.
const (
	LogOK LogFault = iota
	LogLost
	LogAnswerLost
	LogDelayed // lost, and committed by the next call of CommitDelayed
)

// A Log is an in-memory replicated log with replicas that apply entries at once unless they lag.
type Log struct {
	mu       sync.Mutex
	entries  [][]byte
	delayed  [][]byte
	leader   deck.VMName
	replicas map[deck.VMName]*LogReplica
	fault    func() LogFault
}

// A LogReplica is one replica of a fake log.
type LogReplica struct {
	log          *Log
	vm           deck.VMName
	stateMachine deck.StateMachine
	applied      int
	lagging      bool
	partitioned  bool
}

var _ deck.Log = (*LogReplica)(nil)

// NewLog returns an empty fake log without replicas.
func NewLog() *Log {
	return &Log{replicas: make(map[deck.VMName]*LogReplica)}
}

// Join adds a replica that drives the state machine; the first one leads.
func (l *Log) Join(vm deck.VMName, m deck.StateMachine) *LogReplica {
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

// SetFault sets the function that decides on each proposal; nil means that none fails.
func (l *Log) SetFault(f func() LogFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
}

// Lead makes a VM the leader; an empty name leaves none.
func (l *Log) Lead(vm deck.VMName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader = vm
}

// Lag stops or resumes a replica's applying of entries.
func (l *Log) Lag(vm deck.VMName, lagging bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replicas[vm].lagging = lagging
	l.replicas[vm].catchUp()
}

// Cut isolates a replica from the others or reconnects it.
func (l *Log) Cut(vm deck.VMName, partitioned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replicas[vm].partitioned = partitioned
	l.replicas[vm].catchUp()
}

// CommitDelayed commits the proposals that were delayed.
func (l *Log) CommitDelayed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, data := range l.delayed {
		l.commit(nil, data)
	}
	l.delayed = nil
}

// commit appends an entry, applies it everywhere and returns the proposing replica's result.
func (l *Log) commit(by *LogReplica, data []byte) []byte {
	l.entries = append(l.entries, data)
	var result []byte
	for _, r := range l.replicas {
		if out := r.catchUp(); r == by {
			result = out
		}
	}
	return result
}

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
		return nil, ErrLogLost
	}
	fault := LogOK
	if r.log.fault != nil {
		fault = r.log.fault()
	}
	switch fault {
	case LogLost:
		return nil, ErrLogLost
	case LogDelayed:
		r.log.delayed = append(r.log.delayed, data)
		return nil, ErrLogLost
	case LogAnswerLost:
		r.log.commit(r, data)
		return nil, ErrLogNoAnswer
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
		return errors.New("no barrier")
	default:
		return nil
	}
}

// Status implements deck.Log.Status.
func (r *LogReplica) Status() deck.LogStatus {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	s := deck.LogStatus{
		Self: deck.ReplicaID{VM: r.vm, Incarnation: 1}, Commit: uint64(len(r.log.entries)), Applied: uint64(r.applied),
	}
	if !r.partitioned {
		s.Leader = deck.ReplicaID{VM: r.log.leader, Incarnation: 1}
	}
	return s
}
