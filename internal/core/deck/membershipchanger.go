package deck

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors of the replicated log, besides NotLeaderError and MembershipError.
var (
	ErrCommandTooLarge  = errors.New("command exceeds the size limit of the replicated log")
	ErrLeadershipLost   = errors.New("replica stopped leading before the result was known")
	ErrLogBusy          = errors.New("too many uncommitted entries")
	ErrMembershipChange = errors.New("another membership change is not committed yet")
	ErrLearnerBehind    = errors.New("learner does not hold every committed entry yet")
	ErrReplicaStopped   = errors.New("replica has stopped")
)

// A NotLeaderError reports that the replica is not the leader, and which replica is, as far as it knows.
type NotLeaderError struct {
	Leader ReplicaID // zero if unknown
}

// Error implements error.
func (e NotLeaderError) Error() string {
	if e.Leader.IsZero() {
		return "replica is not the leader; leader is unknown"
	}
	return fmt.Sprintf("replica is not the leader; leader is %s", e.Leader)
}

// A MembershipError reports why a membership change is not possible.
type MembershipError struct {
	ID     ReplicaID
	Reason string
}

// Error implements error.
func (e MembershipError) Error() string {
	return fmt.Sprintf("replica %s: %s", e.ID, e.Reason)
}

// A RepairPhase is the progress of a replica's repair.
type RepairPhase int

// The phases of a repair; the zero value is RepairAbsent.
const (
	RepairAbsent     RepairPhase = iota // the replica is not a member
	RepairCatchingUp                    // learner that lacks committed entries
	RepairReady                         // learner that may be promoted
	RepairPromoting                     // the promotion is not committed yet
	RepairDone                          // voter according to a committed entry
)

// String returns the phase's name as used in answers to operators.
func (p RepairPhase) String() string {
	names := [...]string{"absent", "catching-up", "ready", "promoting", "done"}
	if p < 0 || int(p) >= len(names) {
		return "invalid"
	}
	return names[p]
}

// A RepairStatus is the leader's view of a replica's repair.
type RepairStatus struct {
	Replica      ReplicaID
	Phase        RepairPhase
	DurableIndex uint64 // highest entry that the replica holds durably
	CommitIndex  uint64 // highest committed entry
}

// A MembershipChanger changes the membership of the replicated log, one replica at a time. The changes only succeed at the
// leader.
type MembershipChanger interface {
	// AddLearner adds the replica as a learner and returns once the change is committed.
	AddLearner(ctx context.Context, id ReplicaID) error

	// Promote waits until the learner holds every committed entry and returns once it is a voter.
	Promote(ctx context.Context, id ReplicaID) error

	// Remove removes the replica and returns once the change is committed.
	Remove(ctx context.Context, id ReplicaID) error

	// RepairStatus returns the status of a replica's repair; other replicas than the leader return a NotLeaderError.
	RepairStatus(ctx context.Context, id ReplicaID) (RepairStatus, error)
}

// A ReplicaHealth is the leader's view of another replica.
type ReplicaHealth struct {
	ID          ReplicaID
	Voter       bool
	CaughtUp    bool      // it holds every committed entry
	LastContact time.Time // send time of the last message that it answered; zero if it has answered none
}

// A ReplicaMonitor reports the health of the log's replicas.
type ReplicaMonitor interface {
	// Health returns the leader's view of the other replicas; other replicas return a NotLeaderError.
	Health(ctx context.Context) ([]ReplicaHealth, error)

	// LeaderTerm returns the term that this replica leads; ok is false unless its leadership was checked at most maxAge before
	// now.
	LeaderTerm(now time.Time, maxAge time.Duration) (term uint64, ok bool)
}
