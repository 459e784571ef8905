package replica

import "github.com/geraniumdeck/geraniumdeck/internal/core/deck"

// campaign asks the voters whether this replica could win an election.
func (c *Core) campaign() {
	if !c.mayLead() {
		c.resetElection()
		return
	}
	c.retryCampaign()
	c.campaignedAt = c.now
	c.state = preCandidate
	c.lead = deck.ReplicaID{}
	c.askVotes(deck.MessagePreVote, c.ballot.Term+1, false)
	if c.won() {
		c.elect(false)
	}
}

// mayLead reports whether the replica is a voter, or was one before its own removal that is not known as committed.
//
// In the latter case it may be the only replica that holds the end of the log, so that no other can win.
func (c *Core) mayLead() bool {
	if c.membership().IsVoter(c.self) {
		return true
	}
	n := len(c.members)
	return n > 1 && c.membershipIndex() > c.log.commit && c.members[n-2].IsVoter(c.self)
}

// elect asks the voters for their votes in a new term.
func (c *Core) elect(byTransfer bool) {
	c.ballot = deck.Ballot{Term: c.ballot.Term + 1, Vote: c.self}
	c.ballotChanged = true
	c.state = candidate
	c.lead = deck.ReplicaID{}
	c.campaignedAt = c.now
	c.retryCampaign()
	c.askVotes(deck.MessageVote, c.ballot.Term, byTransfer)
	if c.won() {
		c.becomeLeader()
	}
}

func (c *Core) askVotes(kind deck.ReplicaMessageKind, term uint64, byTransfer bool) {
	c.votes = map[deck.ReplicaID]bool{c.self: true}
	for _, id := range c.membership().Voters {
		if id == c.self {
			continue
		}
		c.send(deck.ReplicaMessage{
			Kind: kind, To: id, Term: term, Transfer: byTransfer,
			Index: c.log.last(), LogTerm: c.log.lastTerm(),
		})
	}
}

func (c *Core) won() bool {
	n := 0
	for _, id := range c.membership().Voters {
		if c.votes[id] {
			n++
		}
	}
	return n >= c.membership().Majority()
}

// leaderIsRecent reports whether a leader was heard within the shortest election timeout.
func (c *Core) leaderIsRecent() bool {
	return c.state == leader || c.now.Sub(c.heardLeader) < ElectionTimeoutMin
}

func (c *Core) answerPreVote(m deck.ReplicaMessage) {
	grant := m.Term > c.ballot.Term && !c.leaderIsRecent() && !c.log.newerThan(m.Index, m.LogTerm) &&
		!c.standsBefore(m)
	a := deck.ReplicaMessage{Kind: deck.MessagePreVoteAnswer, To: m.From, Reject: !grant}
	if grant {
		a.Term = m.Term
		c.yieldTo(m.From)
	}
	c.send(a)
}

// yieldTo gives another candidate time to win before this replica stands too.
func (c *Core) yieldTo(other deck.ReplicaID) {
	if (c.state == follower || c.state == preCandidate) && c.membership().IsVoter(other) {
		c.state = follower
		c.electionDeadline = later(c.electionDeadline, c.now.Add(CampaignRetryMin))
	}
}

// standsBefore reports whether this replica asks for pre-votes too and goes first by name, so that two candidates with
// equal logs do not split the votes.
func (c *Core) standsBefore(m deck.ReplicaMessage) bool {
	return c.state == preCandidate && c.now.Sub(c.campaignedAt) < CampaignRetryMin &&
		m.Index == c.log.last() && m.LogTerm == c.log.lastTerm() && c.self.VM < m.From.VM
}

func (c *Core) handlePreVoteAnswer(m deck.ReplicaMessage) {
	if m.Reject {
		if m.Term > c.ballot.Term {
			c.becomeFollower(m.Term, deck.ReplicaID{})
		}
		return
	}
	if c.state != preCandidate || m.Term != c.ballot.Term+1 {
		return
	}
	c.votes[m.From] = true
	if c.won() {
		c.elect(false)
	}
}

func (c *Core) answerVote(m deck.ReplicaMessage) {
	// A replica that was cut off must not disturb a working leader by its higher term.
	if c.leaderIsRecent() && !m.Transfer {
		return
	}
	if m.Term > c.ballot.Term {
		c.becomeFollower(m.Term, deck.ReplicaID{})
	}
	free := c.ballot.Vote.IsZero() || c.ballot.Vote == m.From
	grant := m.Term == c.ballot.Term && free && c.lead.IsZero() && !c.log.newerThan(m.Index, m.LogTerm)
	if grant {
		c.ballot.Vote = m.From
		c.ballotChanged = true
		c.resetElection()
	}
	c.send(deck.ReplicaMessage{Kind: deck.MessageVoteAnswer, To: m.From, Reject: !grant})
}

func (c *Core) handleVoteAnswer(m deck.ReplicaMessage) {
	if c.state != candidate || m.Reject {
		return
	}
	c.votes[m.From] = true
	if c.won() {
		c.becomeLeader()
	}
}

// handleTransfer campaigns at once by order of the leader.
func (c *Core) handleTransfer(m deck.ReplicaMessage) {
	if c.lead == m.From && c.mayLead() {
		c.elect(true)
	}
}
