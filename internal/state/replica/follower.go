package replica

import "github.com/geraniumdeck/geraniumdeck/internal/core/deck"

func (c *Core) handleHeartbeat(m deck.ReplicaMessage) {
	c.acceptLeader(m)
	c.commitUpTo(m.CommitIndex)
	c.send(deck.ReplicaMessage{Kind: deck.MessageHeartbeatAnswer, To: m.From, Round: m.Round})
}

func (c *Core) handleAppend(m deck.ReplicaMessage) {
	c.acceptLeader(m)
	a := deck.ReplicaMessage{Kind: deck.MessageAppendAnswer, To: m.From, Round: m.Round}
	if m.Index < c.log.commit {
		m = c.skipCommitted(m)
	}
	if term, ok := c.log.term(m.Index); !ok || term != m.LogTerm {
		a.Reject = true
		a.Index = c.conflictHint(m.Index)
		c.send(a)
		return
	}
	c.mergeEntries(m.Entries)
	held := m.Index + uint64(len(m.Entries))
	c.commitUpTo(min(m.CommitIndex, held))
	a.Index = held
	c.send(a)
}

// skipCommitted removes the entries that are committed here from the message; they equal the leader's.
func (c *Core) skipCommitted(m deck.ReplicaMessage) deck.ReplicaMessage {
	cut := min(c.log.commit-m.Index, uint64(len(m.Entries)))
	m.Entries = m.Entries[cut:]
	m.Index = c.log.commit
	m.LogTerm, _ = c.log.term(c.log.commit)
	return m
}

// conflictHint returns the last index before the conflict at which the leader's log may equal this one.
func (c *Core) conflictHint(index uint64) uint64 {
	if index > c.log.last() {
		return c.log.last()
	}
	term, _ := c.log.term(index)
	hint := index - 1
	for hint > c.log.commit {
		if t, _ := c.log.term(hint); t != term {
			break
		}
		hint--
	}
	return hint
}

func (c *Core) mergeEntries(entries []deck.LogEntry) {
	for _, e := range entries {
		term, ok := c.log.term(e.Index)
		if ok && term == e.Term {
			continue
		}
		if ok {
			c.log.truncate(e.Index)
			c.truncateMemberships(e.Index)
		}
		c.log.append(e)
		if e.Kind == deck.EntryMembership {
			c.appendMembership(e.Index, e.Membership)
		}
	}
}

func (c *Core) commitUpTo(index uint64) {
	index = min(index, c.log.last())
	if index > c.log.commit {
		c.log.commit = index
	}
}
