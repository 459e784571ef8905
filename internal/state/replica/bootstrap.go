package replica

import (
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A bootstrap is the state of a replica that holds no part of a log yet.
//
// The founder with the lowest VM name coordinates: once every founder has answered that its log is empty, the coordinator
// leads the first term with all of them as voters. A founder that lost its disk can't form a second log, because the logs
// of the other founders are no longer empty.
type bootstrap struct {
	emptyFounders map[deck.VMName]deck.ReplicaID // coordinator only: founders that answered that their log is empty
	maxTerm       uint64                         // highest term in the answers
	hellosSentAt  time.Time
	coordinator   deck.ReplicaID // the coordinator that this replica answered with an empty log
	logExists     bool           // a founder holds a log already
}

// hasLog reports whether the replica holds any part of a log.
func (c *Core) hasLog() bool {
	return c.log.last() > 0
}

// tickBootstrap continues the bootstrap and reports whether it was still pending.
func (c *Core) tickBootstrap() bool {
	if c.hasLog() {
		return false
	}
	if len(c.cfg.Founders) == 0 || slices.Min(c.cfg.Founders) != c.self.VM || c.bootstrap.logExists {
		return true
	}
	if len(c.bootstrap.emptyFounders) == len(c.cfg.Founders)-1 {
		c.bootstrapLog()
		return true
	}
	if c.bootstrap.hellosSentAt.IsZero() || c.now.Sub(c.bootstrap.hellosSentAt) >= HeartbeatInterval {
		c.bootstrap.hellosSentAt = c.now
		c.sendHellos()
	}
	return true
}

func (c *Core) sendHellos() {
	for _, vm := range c.cfg.Founders {
		if _, ok := c.bootstrap.emptyFounders[vm]; !ok && vm != c.self.VM {
			c.send(deck.ReplicaMessage{Kind: deck.MessageHello, To: deck.ReplicaID{VM: vm}})
		}
	}
}

func (c *Core) handleHello(m deck.ReplicaMessage) {
	if !c.hasLog() {
		c.bootstrap.coordinator = m.From
	}
	c.send(deck.ReplicaMessage{Kind: deck.MessageHelloAnswer, To: m.From, Reject: c.hasLog()})
}

func (c *Core) handleHelloAnswer(m deck.ReplicaMessage) {
	if c.hasLog() || !slices.Contains(c.cfg.Founders, m.From.VM) {
		return
	}
	if m.Reject {
		c.bootstrap.logExists = true
		return
	}
	if c.bootstrap.emptyFounders == nil {
		c.bootstrap.emptyFounders = make(map[deck.VMName]deck.ReplicaID)
	}
	c.bootstrap.emptyFounders[m.From.VM] = m.From
	c.bootstrap.maxTerm = max(c.bootstrap.maxTerm, m.Term)
}

// bootstrapLog starts the log with all founders as voters and this replica as the leader.
func (c *Core) bootstrapLog() {
	m := deck.Membership{Voters: []deck.ReplicaID{c.self}}
	for _, vm := range slices.Sorted(slices.Values(c.cfg.Founders)) {
		if vm != c.self.VM {
			m.Voters = append(m.Voters, c.bootstrap.emptyFounders[vm])
		}
	}
	c.ballot = deck.Ballot{Term: max(c.bootstrap.maxTerm, c.ballot.Term) + 1, Vote: c.self}
	c.ballotChanged = true
	c.memberships = []indexedMembership{{0, m}}
	c.campaignStartedAt = c.now
	c.votes = make(map[deck.ReplicaID]bool)
	for _, id := range m.Voters {
		c.votes[id] = true // no other replica can lead before these voters hold the membership
	}
	c.leaderID = c.self
	c.state = leader
	c.peers = make(map[deck.ReplicaID]*progress)
	c.roundStarts = make(map[uint64]time.Time)
	c.syncPeers()
	c.lastHeartbeat = c.now
	c.startRound()
	c.appendEntry(deck.LogEntry{Kind: deck.EntryMembership, Membership: m})
}

// fromStaleCoordinator reports whether the message comes from another incarnation of the coordinator that was answered.
func (c *Core) fromStaleCoordinator(m deck.ReplicaMessage) bool {
	a := c.bootstrap.coordinator
	return !c.hasLog() && !a.IsZero() && m.From.VM == a.VM && m.From != a
}
