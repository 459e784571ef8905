package replica

import (
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A barrier is a read barrier that is pending at the leader.
type barrier struct {
	id              uint64
	requester       deck.ReplicaID // replica that requested the barrier
	index           uint64         // commit index when the round was started
	round           uint64         // heartbeat round that confirms the barrier; 0 until it has started
	awaitsHeartbeat bool           // joins the next heartbeat round instead of starting one
}

// Barrier starts a read barrier; its result is returned in Effects.Barriers with the ID.
func (c *Core) Barrier(now time.Time, id uint64) {
	c.advanceTime(now)
	switch {
	case c.state == leader:
		c.barriers = append(c.barriers, barrier{id: id, requester: c.self})
	case c.leaderID.IsZero():
		c.addBarrierResult(BarrierResult{ID: id, Err: deck.NotLeaderError{}})
	default:
		c.remoteBarriers[id] = c.now.Add(remoteBarrierTimeout)
		c.send(deck.ReplicaMessage{Kind: deck.MessageBarrier, To: c.leaderID, Round: id})
	}
}

// HeartbeatBarrier starts a read barrier that is confirmed by the leader's next heartbeat round, so that it sends no
// messages of its own. On a replica that does not lead it fails at once.
func (c *Core) HeartbeatBarrier(now time.Time, id uint64) {
	c.advanceTime(now)
	if c.state != leader {
		c.addBarrierResult(BarrierResult{ID: id, Err: deck.NotLeaderError{Leader: c.leaderID}})
		return
	}
	c.barriers = append(c.barriers, barrier{id: id, requester: c.self, awaitsHeartbeat: true})
}

func (c *Core) addBarrierResult(r BarrierResult) {
	c.barrierResults = append(c.barrierResults, r)
}

// startBarrierRound starts one heartbeat round for all new barriers. It waits until an entry of the leader's term is
// committed, because the commit index may be out of date before.
func (c *Core) startBarrierRound() {
	if c.state != leader || !c.hasCommittedInTerm() {
		return
	}
	pending := slices.ContainsFunc(c.barriers, func(b barrier) bool { return b.round == 0 && !b.awaitsHeartbeat })
	if !pending {
		return
	}
	c.startRound()
	c.assignBarrierRound()
	c.completeBarriers()
}

// assignBarrierRound assigns all new barriers to the round that was just started.
func (c *Core) assignBarrierRound() {
	if !c.hasCommittedInTerm() {
		return
	}
	for i := range c.barriers {
		if c.barriers[i].round == 0 {
			c.barriers[i].round = c.round
			c.barriers[i].index = c.log.commit
		}
	}
}

// completeBarriers confirms the barriers whose round a majority has answered.
func (c *Core) completeBarriers() {
	confirmed := c.majorityRound()
	c.barriers = slices.DeleteFunc(c.barriers, func(b barrier) bool {
		done := b.round != 0 && b.round <= confirmed
		if done {
			c.confirmBarrier(b)
		}
		return done
	})
}

func (c *Core) confirmBarrier(b barrier) {
	if b.requester == c.self {
		c.addBarrierResult(BarrierResult{ID: b.id, Index: b.index})
		return
	}
	c.send(deck.ReplicaMessage{Kind: deck.MessageBarrierAnswer, To: b.requester, Round: b.id, Index: b.index})
}

func (c *Core) failBarrier(b barrier) {
	if b.requester == c.self {
		c.addBarrierResult(BarrierResult{ID: b.id, Err: deck.NotLeaderError{Leader: c.leaderID}})
	}
}

func (c *Core) majorityRound() uint64 {
	m := c.membership()
	rounds := make([]uint64, 0, len(m.Voters))
	for _, id := range m.Voters {
		if id == c.self {
			rounds = append(rounds, c.round)
		} else if p := c.peers[id]; p != nil {
			rounds = append(rounds, p.round)
		}
	}
	slices.Sort(rounds)
	return rounds[len(rounds)-m.Majority()]
}

func (c *Core) handleBarrier(m deck.ReplicaMessage) {
	if c.state == leader && len(c.barriers) < maxRemoteBarriers {
		c.barriers = append(c.barriers, barrier{id: m.Round, requester: m.From})
	}
}

func (c *Core) handleBarrierAnswer(m deck.ReplicaMessage) {
	if _, ok := c.remoteBarriers[m.Round]; !ok {
		return
	}
	delete(c.remoteBarriers, m.Round)
	c.addBarrierResult(BarrierResult{ID: m.Round, Index: m.Index})
}

// expireRemoteBarriers fails the barriers that the leader has not answered within remoteBarrierTimeout.
func (c *Core) expireRemoteBarriers() {
	for id, until := range c.remoteBarriers {
		if !c.now.Before(until) {
			delete(c.remoteBarriers, id)
			c.addBarrierResult(BarrierResult{ID: id, Err: deck.NotLeaderError{Leader: c.leaderID}})
		}
	}
}
