package replica

import (
	"context"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Health implements deck.ReplicaMonitor.Health.
func (n *Node) Health(ctx context.Context) ([]deck.ReplicaHealth, error) {
	type answer struct {
		health []deck.ReplicaHealth
		err    error
	}
	result := make(chan answer, 1)
	err := n.enqueue(ctx, func(now time.Time) {
		h, err := n.core.Health(now)
		result <- answer{h, err}
	})
	if err != nil {
		return nil, err
	}
	select {
	case a := <-result:
		return a.health, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-n.done:
		return nil, deck.ErrReplicaStopped
	}
}

// LeaderTerm implements deck.ReplicaMonitor.LeaderTerm.
func (n *Node) LeaderTerm(now time.Time, maxAge time.Duration) (term uint64, ok bool) {
	s := n.status.Load()
	at := n.publishedAt.Load()
	if at == nil || now.Sub(*at) > maxAge || s.Leader != s.Self || s.FailureReason != "" {
		return 0, false
	}
	return s.Term, true
}

// Health returns the leader's view of the other replicas; on other replicas it returns a deck.NotLeaderError.
func (c *Core) Health(now time.Time) ([]deck.ReplicaHealth, error) {
	c.advanceTime(now)
	if c.state != leader {
		return nil, deck.NotLeaderError{Leader: c.leaderID}
	}
	m := c.membership()
	var out []deck.ReplicaHealth
	for _, id := range m.Members() {
		if id == c.self {
			continue
		}
		p := c.peers[id]
		h := deck.ReplicaHealth{ID: id, Voter: m.IsVoter(id), LastContact: p.lastContact}
		h.CaughtUp = p.match >= c.log.commit
		out = append(out, h)
	}
	return out, nil
}
