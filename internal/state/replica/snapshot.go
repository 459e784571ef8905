package replica

import (
	"hash/crc32"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// An incomingSnapshot is a snapshot of which a follower has received the first bytes.
type incomingSnapshot struct {
	from     deck.ReplicaID
	index    uint64
	term     uint64
	checksum uint32
	data     []byte
}

// snapshotDue reports whether enough entries or bytes were applied since the last snapshot.
func (c *Core) snapshotDue() bool {
	n := int(c.log.applied - c.log.snapshot.Index)
	return n > 0 && (n >= c.cfg.SnapshotEntries || c.log.appliedBytes >= c.cfg.SnapshotBytes)
}

// Compact replaces the applied entries by the given snapshot of the state machine.
func (c *Core) Compact(data []byte) {
	index := c.log.applied
	term, ok := c.log.term(index)
	if !ok || index <= c.log.snapshot.Index {
		return
	}
	s := deck.LogSnapshot{Index: index, Term: term, Membership: c.membershipAt(index), Data: data}
	c.log.compact(s)
	c.unsavedSnapshot = &s
	c.compactMemberships(index)
}

// compactMemberships removes the memberships before the one in effect at the index.
func (c *Core) compactMemberships(index uint64) {
	for len(c.memberships) > 1 && c.memberships[1].index <= index {
		c.memberships = c.memberships[1:]
	}
}

func (c *Core) sendSnapshotChunk(id deck.ReplicaID, p *progress) {
	if p.snapshot == nil {
		s := c.log.snapshot
		p.snapshot = &s
		p.checksum = crc32.Checksum(s.Data, castagnoli)
		p.nextOffset = 0
	}
	s := p.snapshot
	end := min(p.nextOffset+c.cfg.ChunkBytes, len(s.Data))
	p.inFlight, p.sentAt = true, c.now
	c.send(deck.ReplicaMessage{
		Kind: deck.MessageSnapshot, To: id, Index: s.Index, LogTerm: s.Term, Round: c.round,
		Chunk: deck.SnapshotChunk{
			Offset: p.nextOffset, Total: len(s.Data), Checksum: p.checksum,
			Membership: s.Membership, Data: s.Data[p.nextOffset:end],
		},
	})
}

func (c *Core) handleSnapshotAnswer(m deck.ReplicaMessage, p *progress) {
	if p.snapshot == nil || m.Index != p.snapshot.Index || m.Chunk.Offset > len(p.snapshot.Data) {
		return
	}
	if p.inFlight && m.Chunk.Offset == p.nextOffset {
		return // duplicate; the chunk at this offset is in flight
	}
	p.nextOffset = m.Chunk.Offset
	c.sendSnapshotChunk(m.From, p)
}

func (c *Core) handleSnapshotChunk(m deck.ReplicaMessage) {
	c.acceptLeader(m)
	if m.Index <= c.log.commit {
		c.send(deck.ReplicaMessage{Kind: deck.MessageAppendAnswer, To: m.From, Round: m.Round, Index: c.log.commit})
		return
	}
	in := c.incomingSnapshotFor(m)
	if in == nil {
		return
	}
	if m.Chunk.Offset == len(in.data) {
		in.data = append(in.data, m.Chunk.Data...)
	}
	if len(in.data) < m.Chunk.Total {
		c.requestSnapshotChunk(m, len(in.data))
		return
	}
	c.incoming = nil
	if len(in.data) != m.Chunk.Total || crc32.Checksum(in.data, castagnoli) != m.Chunk.Checksum {
		c.requestSnapshotChunk(m, 0)
		return
	}
	c.installSnapshot(deck.LogSnapshot{Index: m.Index, Term: m.LogTerm, Membership: m.Chunk.Membership, Data: in.data})
	c.send(deck.ReplicaMessage{Kind: deck.MessageAppendAnswer, To: m.From, Round: m.Round, Index: m.Index})
}

func (c *Core) requestSnapshotChunk(m deck.ReplicaMessage, offset int) {
	c.send(deck.ReplicaMessage{
		Kind: deck.MessageSnapshotAnswer, To: m.From, Round: m.Round, Index: m.Index,
		Chunk: deck.SnapshotChunk{Offset: offset},
	})
}

// incomingSnapshotFor returns the snapshot that the chunk belongs to, a new one if it differs from the current one; nil if
// the snapshot is too large or has no voters.
func (c *Core) incomingSnapshotFor(m deck.ReplicaMessage) *incomingSnapshot {
	if m.Chunk.Total > maxSnapshotBytes || m.Chunk.Total < 0 || len(m.Chunk.Membership.Voters) == 0 {
		return nil
	}
	in := c.incoming
	if in == nil || in.from != m.From || in.index != m.Index || in.term != m.LogTerm || in.checksum != m.Chunk.Checksum {
		c.incoming = &incomingSnapshot{from: m.From, index: m.Index, term: m.LogTerm, checksum: m.Chunk.Checksum}
	}
	return c.incoming
}

func (c *Core) installSnapshot(s deck.LogSnapshot) {
	c.log.restore(s)
	c.unsavedSnapshot = &s
	c.snapshotToRestore = &s
	c.loadMemberships()
}
