package replica

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// membershipRetryInterval is the time between attempts of a membership change that waits for an uncommitted change or for
// a learner to catch up.
const membershipRetryInterval = 100 * time.Millisecond

// AddLearner implements deck.MembershipChanger.AddLearner.
func (n *Node) AddLearner(ctx context.Context, id deck.ReplicaID) error {
	return n.retryMembershipChange(ctx, func(now time.Time) (uint64, uint64, error) { return n.core.AddLearner(now, id) })
}

// Promote implements deck.MembershipChanger.Promote.
func (n *Node) Promote(ctx context.Context, id deck.ReplicaID) error {
	return n.retryMembershipChange(ctx, func(now time.Time) (uint64, uint64, error) { return n.core.Promote(now, id) })
}

// Remove implements deck.MembershipChanger.Remove.
func (n *Node) Remove(ctx context.Context, id deck.ReplicaID) error {
	return n.retryMembershipChange(ctx, func(now time.Time) (uint64, uint64, error) { return n.core.Remove(now, id) })
}

// retryMembershipChange retries a membership change while another change is uncommitted or the learner is behind.
func (n *Node) retryMembershipChange(ctx context.Context, op func(now time.Time) (index, term uint64, err error)) error {
	for {
		_, err := n.appendAndWait(ctx, op)
		if !errors.Is(err, deck.ErrMembershipChange) && !errors.Is(err, deck.ErrLearnerBehind) {
			return err
		}
		select {
		case <-time.After(membershipRetryInterval):
		case <-ctx.Done():
			return errors.CombineErrors(err, ctx.Err())
		}
	}
}

// RepairStatus implements deck.MembershipChanger.RepairStatus.
func (n *Node) RepairStatus(ctx context.Context, id deck.ReplicaID) (deck.RepairStatus, error) {
	type answer struct {
		status deck.RepairStatus
		err    error
	}
	result := make(chan answer, 1)
	err := n.enqueue(ctx, func(time.Time) {
		s, err := n.core.RepairStatus(id)
		result <- answer{s, errors.CombineErrors(n.failure, err)}
	})
	if err != nil {
		return deck.RepairStatus{}, err
	}
	select {
	case a := <-result:
		return a.status, a.err
	case <-ctx.Done():
		return deck.RepairStatus{}, ctx.Err()
	case <-n.done:
		return deck.RepairStatus{}, deck.ErrReplicaStopped
	}
}
