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

// loadMembership reads the memberships from the snapshot and the entries.
func (c *Core) loadMembership() {
	s := c.log.snapshot
	c.members = []indexedMembership{{s.Index, s.Membership}}
	for _, e := range c.log.entries {
		if e.Kind == deck.EntryMembership {
			c.pushMembership(e.Index, e.Membership)
		}
	}
}

// membership returns the membership in effect, which is the last one in the log, committed or not.
func (c *Core) membership() deck.Membership {
	return c.members[len(c.members)-1].Membership
}

func (c *Core) membershipIndex() uint64 {
	return c.members[len(c.members)-1].index
}

// membershipAt returns the membership in effect at the entry.
func (c *Core) membershipAt(index uint64) deck.Membership {
	m := c.members[0].Membership
	for _, v := range c.members {
		if v.index <= index {
			m = v.Membership
		}
	}
	return m
}

func (c *Core) pushMembership(index uint64, m deck.Membership) {
	c.members = append(c.members, indexedMembership{index, m})
	if c.state == leader {
		c.syncPeers()
	}
}

// dropMemberships forgets the memberships that entries from the index on have set.
func (c *Core) dropMemberships(index uint64) {
	for len(c.members) > 1 && c.membershipIndex() >= index {
		c.members = c.members[:len(c.members)-1]
	}
}

// membershipCommitted ends the leadership of a replica that is no longer a voter.
func (c *Core) membershipCommitted() {
	if c.membershipIndex() <= c.log.commit && !c.membership().IsVoter(c.self) {
		c.becomeFollower(c.ballot.Term, deck.ReplicaID{})
	}
}

// mayChange reports why a membership change can't be appended now.
//
// A leader changes nothing before an entry of its own term is committed: otherwise it may not know of a change that
// an earlier leader committed, and two majorities without a common replica could arise.
func (c *Core) mayChange() error {
	if err := c.mayAppend(); err != nil {
		return err
	}
	if c.membershipIndex() > c.log.commit || !c.ownTermCommitted() {
		return deck.ErrMembershipChange
	}
	return nil
}

func (c *Core) ownTermCommitted() bool {
	t, ok := c.log.term(c.log.commit)
	return ok && t == c.ballot.Term
}

func (c *Core) change(m deck.Membership) (index, term uint64, err error) {
	return c.appendEntry(deck.LogEntry{Kind: deck.EntryMembership, Membership: m}), c.ballot.Term, nil
}

// AddLearner appends a membership with an additional learner.
func (c *Core) AddLearner(now time.Time, id deck.ReplicaID) (index, term uint64, err error) {
	c.advance(now)
	if err := c.mayChange(); err != nil {
		return 0, 0, err
	}
	if id.VM == "" || id.Incarnation == 0 {
		return 0, 0, deck.MembershipError{ID: id, Reason: "identity is incomplete"}
	}
	if c.membership().HasVM(id.VM) {
		return 0, 0, deck.MembershipError{ID: id, Reason: "a replica of this VM is a member; remove it first"}
	}
	return c.change(c.membership().WithLearner(id))
}

// Promote appends a membership in which a learner that holds everything committed is a voter.
func (c *Core) Promote(now time.Time, id deck.ReplicaID) (index, term uint64, err error) {
	c.advance(now)
	if err := c.mayChange(); err != nil {
		return 0, 0, err
	}
	if !c.membership().IsLearner(id) {
		return 0, 0, deck.MembershipError{ID: id, Reason: "not a learner"}
	}
	if c.peers[id].match < c.log.commit {
		return 0, 0, deck.ErrLearnerBehind
	}
	return c.change(c.membership().WithVoter(id))
}

// Remove appends a membership without the replica.
func (c *Core) Remove(now time.Time, id deck.ReplicaID) (index, term uint64, err error) {
	c.advance(now)
	if err := c.mayChange(); err != nil {
		return 0, 0, err
	}
	m := c.membership().Without(id)
	if len(m.Members()) == len(c.membership().Members()) {
		return 0, 0, deck.MembershipError{ID: id, Reason: "not a member"}
	}
	if len(m.Voters) == 0 {
		return 0, 0, deck.MembershipError{ID: id, Reason: "last voter"}
	}
	return c.change(m)
}

// Repair returns the leader's view of a replica's repair.
func (c *Core) Repair(id deck.ReplicaID) (deck.RepairStatus, error) {
	if c.state != leader {
		return deck.RepairStatus{}, deck.NotLeaderError{Leader: c.lead}
	}
	s := deck.RepairStatus{Replica: id, Needed: c.log.commit}
	if p := c.peers[id]; p != nil {
		s.Held = p.match
	}
	if id == c.self {
		s.Held = c.log.durable
	}
	s.Phase = c.repairPhase(id, s.Held)
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

// Transfer hands the leadership to the voter that answered of late and holds most of the log; ok is false if there is
// none.
func (c *Core) Transfer(now time.Time) (to deck.ReplicaID, ok bool) {
	c.advance(now)
	if c.state != leader {
		return deck.ReplicaID{}, false
	}
	for _, id := range c.membership().Voters {
		p := c.peers[id]
		if p == nil || c.now.Sub(p.heard) > 2*HeartbeatInterval {
			continue
		}
		if to.IsZero() || p.match > c.peers[to].match {
			to = id
		}
	}
	if to.IsZero() {
		return to, false
	}
	c.transferTo = to
	c.transferUntil = c.now.Add(leadTransferTimeout)
	c.finishTransfer(to)
	return to, true
}

// finishTransfer orders the chosen voter to campaign once it holds the whole log.
func (c *Core) finishTransfer(id deck.ReplicaID) {
	if c.transferTo == id && !id.IsZero() && c.peers[id] != nil && c.peers[id].match == c.log.last() {
		c.send(deck.ReplicaMessage{Kind: deck.MessageTransfer, To: id})
	}
}
