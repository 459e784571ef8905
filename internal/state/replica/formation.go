package replica

import (
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A formation is the state of a replica that is not part of a log yet.
//
// The first founder by name coordinates: once every founder has answered that its log is empty, it leads the first
// term with all of them as voters. A founder that lost its disk never forms a second log, because another founder's log
// is no longer empty.
type formation struct {
	founders  map[deck.VMName]deck.ReplicaID // at the coordinator: founders that answered
	term      uint64                         // highest term among the answers
	askedAt   time.Time
	answered  deck.ReplicaID // the coordinator that was told that the log is empty
	someFound bool           // a founder has a log already
}

// formed reports whether the replica holds any part of a log.
func (c *Core) formed() bool {
	return c.log.last() > 0
}

// tickFormation drives the formation; it reports whether the replica is still waiting for it.
func (c *Core) tickFormation() bool {
	if c.formed() {
		return false
	}
	if len(c.cfg.Founders) == 0 || slices.Min(c.cfg.Founders) != c.self.VM || c.formation.someFound {
		return true
	}
	if len(c.formation.founders) == len(c.cfg.Founders)-1 {
		c.form()
		return true
	}
	if c.formation.askedAt.IsZero() || c.now.Sub(c.formation.askedAt) >= HeartbeatInterval {
		c.formation.askedAt = c.now
		c.askFounders()
	}
	return true
}

func (c *Core) askFounders() {
	for _, vm := range c.cfg.Founders {
		if _, ok := c.formation.founders[vm]; !ok && vm != c.self.VM {
			c.send(deck.ReplicaMessage{Kind: deck.MessageHello, To: deck.ReplicaID{VM: vm}})
		}
	}
}

func (c *Core) answerHello(m deck.ReplicaMessage) {
	if !c.formed() {
		c.formation.answered = m.From
	}
	c.send(deck.ReplicaMessage{Kind: deck.MessageHelloAnswer, To: m.From, Reject: c.formed()})
}

func (c *Core) handleHelloAnswer(m deck.ReplicaMessage) {
	if c.formed() || !slices.Contains(c.cfg.Founders, m.From.VM) {
		return
	}
	if m.Reject {
		c.formation.someFound = true
		return
	}
	if c.formation.founders == nil {
		c.formation.founders = make(map[deck.VMName]deck.ReplicaID)
	}
	c.formation.founders[m.From.VM] = m.From
	c.formation.term = max(c.formation.term, m.Term)
}

// form starts the log with all founders as voters.
func (c *Core) form() {
	m := deck.Membership{Voters: []deck.ReplicaID{c.self}}
	for _, vm := range slices.Sorted(slices.Values(c.cfg.Founders)) {
		if vm != c.self.VM {
			m.Voters = append(m.Voters, c.formation.founders[vm])
		}
	}
	c.ballot = deck.Ballot{Term: max(c.formation.term, c.ballot.Term) + 1, Vote: c.self}
	c.ballotChanged = true
	c.members = []indexedMembership{{0, m}}
	c.campaignedAt = c.now
	c.votes = make(map[deck.ReplicaID]bool)
	for _, id := range m.Voters {
		c.votes[id] = true // no other replica can lead before these hold the membership
	}
	c.lead = c.self
	c.state = leader
	c.peers = make(map[deck.ReplicaID]*progress)
	c.roundTimes = make(map[uint64]time.Time)
	c.syncPeers()
	c.heartbeatAt = c.now
	c.startRound()
	c.appendEntry(deck.LogEntry{Kind: deck.EntryMembership, Membership: m})
}

// refusesFounder reports whether the message comes from an earlier life of the coordinator that was answered.
func (c *Core) refusesFounder(m deck.ReplicaMessage) bool {
	a := c.formation.answered
	return !c.formed() && !a.IsZero() && m.From.VM == a.VM && m.From != a
}
