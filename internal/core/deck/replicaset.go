package deck

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors of the replicated log; a NotLeaderError is returned as a value of its own.
var (
	ErrCommandTooLarge  = errors.New("command exceeds the size limit of the replicated log")
	ErrLeadershipLost   = errors.New("replica stopped leading before the result was known")
	ErrLogBusy          = errors.New("too many uncommitted entries")
	ErrMembershipChange = errors.New("another membership change is not committed yet")
	ErrLearnerBehind    = errors.New("learner does not hold every committed entry yet")
	ErrReplicaStopped   = errors.New("replica has stopped")
)

// A NotLeaderError says that the replica does not lead and which one it believes does.
type NotLeaderError struct {
	Leader ReplicaID // zero if unknown
}

// Error implements error.
func (e NotLeaderError) Error() string {
	if e.Leader.IsZero() {
		return "replica is not the leader and knows none"
	}
	return fmt.Sprintf("replica is not the leader; leader is %s", e.Leader)
}

// A MembershipError says why a membership change is not possible.
type MembershipError struct {
	ID     ReplicaID
	Reason string
}

// Error implements error.
func (e MembershipError) Error() string {
	return fmt.Sprintf("replica %s: %s", e.ID, e.Reason)
}

// A RepairPhase says how far a replica's repair has come.
type RepairPhase int

// The phases of a repair; the zero value is RepairAbsent.
const (
	RepairAbsent     RepairPhase = iota // the replica is no member
	RepairCatchingUp                    // learner that does not hold everything committed
	RepairReady                         // learner that may be promoted
	RepairPromoting                     // the promotion is not committed yet
	RepairDone                          // voter by a committed entry
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
	Replica ReplicaID
	Phase   RepairPhase
	Held    uint64 // highest entry that the replica holds durably
	Needed  uint64 // highest committed entry
}

// A ReplicaSet changes the members of the replicated log, one at a time, at its leader.
type ReplicaSet interface {
	// AddLearner returns once the replica is a learner by a committed entry.
	AddLearner(ctx context.Context, id ReplicaID) error

	// Promote waits until the learner holds every committed entry and returns once it is a voter.
	Promote(ctx context.Context, id ReplicaID) error

	// Remove returns once the replica is no member by a committed entry.
	Remove(ctx context.Context, id ReplicaID) error

	// Repair returns the state of a replica's repair; only the leader knows it.
	Repair(ctx context.Context, id ReplicaID) (RepairStatus, error)
}

// A ReplicaHealth is the leader's view of another replica.
type ReplicaHealth struct {
	ID       ReplicaID
	Voter    bool
	CaughtUp bool      // it holds every committed entry
	Heard    time.Time // when the last message that it answered was sent; zero if it has answered none
}

// A ReplicaWatch tells how the replicas of the log are.
type ReplicaWatch interface {
	// Health returns the leader's view of the other replicas; other replicas return a NotLeaderError.
	Health(ctx context.Context) ([]ReplicaHealth, error)

	// Leads returns the term that this replica leads, if that was checked at most the given time before now.
	Leads(now time.Time, most time.Duration) (term uint64, ok bool)
}
