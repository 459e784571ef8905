package replica

import "github.com/geraniumdeck/geraniumdeck/internal/core/deck"

// startPreVote asks the voters, without a new term, whether they would vote for this replica.
func (c *Core) startPreVote() {
	if !c.canCampaign() {
		c.resetElectionTimer()
		return
	}
	c.scheduleCampaignRetry()
	c.campaignStartedAt = c.now
	c.state = preCandidate
	c.leaderID = deck.ReplicaID{}
	c.requestVotes(deck.MessagePreVote, c.ballot.Term+1, false)
	if c.hasVoteMajority() {
		c.startElection(false)
	}
}

// canCampaign reports whether the replica is a voter, or was one before its own removal that is not known to be committed.
//
// In the latter case it may be the only replica that holds the end of the log, so that no other replica can win.
func (c *Core) canCampaign() bool {
	if c.membership().IsVoter(c.self) {
		return true
	}
	n := len(c.memberships)
	return n > 1 && c.membershipIndex() > c.log.commit && c.memberships[n-2].IsVoter(c.self)
}

// startElection starts a new term and requests the votes of the voters.
func (c *Core) startElection(byTransfer bool) {
	c.ballot = deck.Ballot{Term: c.ballot.Term + 1, Vote: c.self}
	c.ballotChanged = true
	c.state = candidate
	c.leaderID = deck.ReplicaID{}
	c.campaignStartedAt = c.now
	c.scheduleCampaignRetry()
	c.requestVotes(deck.MessageVote, c.ballot.Term, byTransfer)
	if c.hasVoteMajority() {
		c.becomeLeader()
	}
}

func (c *Core) requestVotes(kind deck.ReplicaMessageKind, term uint64, byTransfer bool) {
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

func (c *Core) hasVoteMajority() bool {
	n := 0
	for _, id := range c.membership().Voters {
		if c.votes[id] {
			n++
		}
	}
	return n >= c.membership().Majority()
}

// hasRecentLeader reports whether the replica leads or received a message of a leader within ElectionTimeoutMin.
func (c *Core) hasRecentLeader() bool {
	return c.state == leader || c.now.Sub(c.lastLeaderContact) < ElectionTimeoutMin
}

func (c *Core) handlePreVote(m deck.ReplicaMessage) {
	grant := m.Term > c.ballot.Term && !c.hasRecentLeader() && !c.log.isNewerThan(m.Index, m.LogTerm) &&
		!c.hasCampaignPriority(m)
	a := deck.ReplicaMessage{Kind: deck.MessagePreVoteAnswer, To: m.From, Reject: !grant}
	if grant {
		a.Term = m.Term
		c.deferCampaign(m.From)
	}
	c.send(a)
}

// deferCampaign delays the next campaign of this replica, so that the other candidate has time to win.
func (c *Core) deferCampaign(candidateID deck.ReplicaID) {
	if (c.state == follower || c.state == preCandidate) && c.membership().IsVoter(candidateID) {
		c.state = follower
		c.electionDeadline = later(c.electionDeadline, c.now.Add(CampaignRetryMin))
	}
}

// hasCampaignPriority reports whether this replica also requests pre-votes, has an equal log and the lower VM name. The
// other candidate then gets no pre-vote, so that two candidates with equal logs do not split the votes.
func (c *Core) hasCampaignPriority(m deck.ReplicaMessage) bool {
	return c.state == preCandidate && c.now.Sub(c.campaignStartedAt) < CampaignRetryMin &&
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
	if c.hasVoteMajority() {
		c.startElection(false)
	}
}

func (c *Core) handleVote(m deck.ReplicaMessage) {
	// A replica that was partitioned must not depose a working leader by its higher term.
	if c.hasRecentLeader() && !m.Transfer {
		return
	}
	if m.Term > c.ballot.Term {
		c.becomeFollower(m.Term, deck.ReplicaID{})
	}
	mayVote := c.ballot.Vote.IsZero() || c.ballot.Vote == m.From
	grant := m.Term == c.ballot.Term && mayVote && c.leaderID.IsZero() && !c.log.isNewerThan(m.Index, m.LogTerm)
	if grant {
		c.ballot.Vote = m.From
		c.ballotChanged = true
		c.resetElectionTimer()
	}
	c.send(deck.ReplicaMessage{Kind: deck.MessageVoteAnswer, To: m.From, Reject: !grant})
}

func (c *Core) handleVoteAnswer(m deck.ReplicaMessage) {
	if c.state != candidate || m.Reject {
		return
	}
	c.votes[m.From] = true
	if c.hasVoteMajority() {
		c.becomeLeader()
	}
}

// handleTransfer starts an election at once at the leader's request.
func (c *Core) handleTransfer(m deck.ReplicaMessage) {
	if c.leaderID == m.From && c.canCampaign() {
		c.startElection(true)
	}
}
