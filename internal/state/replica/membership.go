package replica

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// An indexedMembership is a membership with the index of the entry that set it.
type indexedMembership struct {
	index uint64
	deck.Membership
}

// loadMemberships rebuilds the memberships from the snapshot and the entries.
func (c *Core) loadMemberships() {
	s := c.log.snapshot
	c.memberships = []indexedMembership{{s.Index, s.Membership}}
	for _, e := range c.log.entries {
		if e.Kind == deck.EntryMembership {
			c.appendMembership(e.Index, e.Membership)
		}
	}
}

// membership returns the membership in effect, which is the last one in the log, committed or not.
func (c *Core) membership() deck.Membership {
	return c.memberships[len(c.memberships)-1].Membership
}

func (c *Core) membershipIndex() uint64 {
	return c.memberships[len(c.memberships)-1].index
}

// membershipAt returns the membership in effect at the index.
func (c *Core) membershipAt(index uint64) deck.Membership {
	m := c.memberships[0].Membership
	for _, v := range c.memberships {
		if v.index <= index {
			m = v.Membership
		}
	}
	return m
}

func (c *Core) appendMembership(index uint64, m deck.Membership) {
	c.memberships = append(c.memberships, indexedMembership{index, m})
	if c.state == leader {
		c.syncPeers()
	}
}

// truncateMemberships removes the memberships set by entries from index on.
func (c *Core) truncateMemberships(index uint64) {
	for len(c.memberships) > 1 && c.membershipIndex() >= index {
		c.memberships = c.memberships[:len(c.memberships)-1]
	}
}

// stepDownIfRemoved ends the leadership if the committed membership no longer has this replica as a voter.
func (c *Core) stepDownIfRemoved() {
	if c.membershipIndex() <= c.log.commit && !c.membership().IsVoter(c.self) {
		c.becomeFollower(c.ballot.Term, deck.ReplicaID{})
	}
}

// checkMembershipChange returns why a membership change can't be appended now, nil if it can.
//
// A leader appends no change before an entry of its own term is committed: until then it may not know of a change that
// an earlier leader committed, and two majorities without a common replica would be possible.
func (c *Core) checkMembershipChange() error {
	if err := c.checkAppend(); err != nil {
		return err
	}
	if c.membershipIndex() > c.log.commit || !c.hasCommittedInTerm() {
		return deck.ErrMembershipChange
	}
	return nil
}

func (c *Core) hasCommittedInTerm() bool {
	t, ok := c.log.term(c.log.commit)
	return ok && t == c.ballot.Term
}

func (c *Core) appendMembershipChange(m deck.Membership) (index, term uint64, err error) {
	return c.appendEntry(deck.LogEntry{Kind: deck.EntryMembership, Membership: m}), c.ballot.Term, nil
}

// AddLearner appends a membership with the replica as an additional learner.
func (c *Core) AddLearner(now time.Time, id deck.ReplicaID) (index, term uint64, err error) {
	c.advanceTime(now)
	if err := c.checkMembershipChange(); err != nil {
		return 0, 0, err
	}
	if id.VM == "" || id.Incarnation == 0 {
		return 0, 0, deck.MembershipError{ID: id, Reason: "identity is incomplete"}
	}
	if c.membership().HasVM(id.VM) {
		return 0, 0, deck.MembershipError{ID: id, Reason: "a replica of this VM is a member; remove it first"}
	}
	return c.appendMembershipChange(c.membership().WithLearner(id))
}

// Promote appends a membership in which the learner, which must hold every committed entry, is a voter.
func (c *Core) Promote(now time.Time, id deck.ReplicaID) (index, term uint64, err error) {
	c.advanceTime(now)
	if err := c.checkMembershipChange(); err != nil {
		return 0, 0, err
	}
	if !c.membership().IsLearner(id) {
		return 0, 0, deck.MembershipError{ID: id, Reason: "not a learner"}
	}
	if c.peers[id].match < c.log.commit {
		return 0, 0, deck.ErrLearnerBehind
	}
	return c.appendMembershipChange(c.membership().WithVoter(id))
}

// Remove appends a membership without the replica.
func (c *Core) Remove(now time.Time, id deck.ReplicaID) (index, term uint64, err error) {
	c.advanceTime(now)
	if err := c.checkMembershipChange(); err != nil {
		return 0, 0, err
	}
	m := c.membership().Without(id)
	if len(m.Members()) == len(c.membership().Members()) {
		return 0, 0, deck.MembershipError{ID: id, Reason: "not a member"}
	}
	if len(m.Voters) == 0 {
		return 0, 0, deck.MembershipError{ID: id, Reason: "last voter"}
	}
	return c.appendMembershipChange(m)
}

// RepairStatus returns the leader's view of the replica's repair; on other replicas it returns a deck.NotLeaderError.
func (c *Core) RepairStatus(id deck.ReplicaID) (deck.RepairStatus, error) {
	if c.state != leader {
		return deck.RepairStatus{}, deck.NotLeaderError{Leader: c.leaderID}
	}
	s := deck.RepairStatus{Replica: id, CommitIndex: c.log.commit}
	if p := c.peers[id]; p != nil {
		s.DurableIndex = p.match
	}
	if id == c.self {
		s.DurableIndex = c.log.durable
	}
	s.Phase = c.repairPhase(id, s.DurableIndex)
	return s, nil
}

func (c *Core) repairPhase(id deck.ReplicaID, held uint64) deck.RepairPhase {
	m := c.membership()
	switch {
	case m.IsVoter(id) && c.membershipIndex() > c.log.commit:
		return deck.RepairPromoting
	case m.IsVoter(id):
		return deck.RepairDone
	case m.IsLearner(id) && held >= c.log.commit:
		return deck.RepairReady
	case m.IsLearner(id):
		return deck.RepairCatchingUp
	default:
		return deck.RepairAbsent
	}
}

// TransferLeadership starts a transfer to the voter that holds the most entries among those that answered within two
// heartbeat intervals; ok is false if there is none.
func (c *Core) TransferLeadership(now time.Time) (to deck.ReplicaID, ok bool) {
	c.advanceTime(now)
	if c.state != leader {
		return deck.ReplicaID{}, false
	}
	for _, id := range c.membership().Voters {
		p := c.peers[id]
		if p == nil || c.now.Sub(p.lastContact) > 2*HeartbeatInterval {
			continue
		}
		if to.IsZero() || p.match > c.peers[to].match {
			to = id
		}
	}
	if to.IsZero() {
		return to, false
	}
	c.transferTarget = to
	c.transferDeadline = c.now.Add(leadTransferTimeout)
	c.sendTransferIfCaughtUp(to)
	return to, true
}

// sendTransferIfCaughtUp requests an election from the transfer target once it holds the whole log.
func (c *Core) sendTransferIfCaughtUp(id deck.ReplicaID) {
	if c.transferTarget == id && !id.IsZero() && c.peers[id] != nil && c.peers[id].match == c.log.last() {
		c.send(deck.ReplicaMessage{Kind: deck.MessageTransfer, To: id})
	}
}
