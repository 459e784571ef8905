package deck

import (
	"context"
	"time"
)

// A Log is the interface to the replicated log on one replica.
type Log interface {
	// Propose commits a command and returns the state machine's result; after an error the command may still be committed.
	Propose(ctx context.Context, command []byte) ([]byte, error)

	// Barrier returns once every command committed before the call is applied on this replica.
	Barrier(ctx context.Context) error

	// Status returns the replica's view of the log.
	Status() LogStatus
}

// A HeartbeatBarrier is a log whose leader can run a read barrier without extra messages.
type HeartbeatBarrier interface {
	// HeartbeatBarrier is a Log.Barrier that the leader's next heartbeat round confirms; it fails on other replicas.
	HeartbeatBarrier(ctx context.Context) error
}

// A StateMachine is deterministic state that the commands of the replicated log change.
type StateMachine interface {
	// Apply executes a committed command and returns its result.
	Apply(index uint64, command []byte) []byte

	// Restore replaces the state by a snapshot.
	Restore(snapshot []byte) error

	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
}

// A ReplicaID identifies a replica together with its stored data: a replica that lost its data folder gets a new incarnation.
type ReplicaID struct {
	VM          VMName
	Incarnation uint64
}

// A LogStatus is one replica's view of the log.
type LogStatus struct {
	Self              ReplicaID
	Leader            ReplicaID // zero if unknown
	Term              uint64
	CommitIndex       uint64
	AppliedIndex      uint64
	LastLeaderContact time.Time // of the last message from a current leader, or now at the leader; by the replica's clock
	Voters            []ReplicaID
	Learners          []ReplicaID
	FailureReason     string // why the replica no longer takes part; empty if it does
}
