package replica

import (
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A progress is the leader's view of another replica's log.
type progress struct {
	match       uint64            // highest index that the replica holds durably and at which its log equals the leader's
	next        uint64            // index of the next entry to send
	inFlight    bool              // a batch or chunk has been sent and not answered
	sentAt      time.Time         // when it was sent
	lastContact time.Time         // when the latest answered round was started
	round       uint64            // latest answered round
	snapshot    *deck.LogSnapshot // being sent; nil for none
	checksum    uint32            // CRC32C of the snapshot
	nextOffset  int               // of the next chunk
}

func (c *Core) becomeLeader() {
	c.state = leader
	c.leaderID = c.self
	c.peers = make(map[deck.ReplicaID]*progress)
	c.roundStarts = make(map[uint64]time.Time)
	c.transferTarget = deck.ReplicaID{}
	c.syncPeers()
	c.lastHeartbeat = c.now
	c.startRound()
	c.appendEntry(deck.LogEntry{Kind: deck.EntryNoOp})
}

func (c *Core) clearLeaderState() {
	for _, b := range c.barriers {
		c.failBarrier(b)
	}
	c.barriers = nil
	c.peers = nil
	c.transferTarget = deck.ReplicaID{}
}

// syncPeers adds and removes peers according to the current membership.
func (c *Core) syncPeers() {
	m := c.membership()
	for _, id := range m.Members() {
		if _, ok := c.peers[id]; !ok && id != c.self {
			c.peers[id] = &progress{next: c.log.last() + 1, lastContact: c.initialContact(id)}
		}
	}
	for id := range c.peers {
		if !m.IsVoter(id) && !m.IsLearner(id) {
			delete(c.peers, id)
		}
	}
}

// initialContact returns the time of the latest contact that a new leader assumes: its campaign if the replica voted for
// it, zero otherwise.
func (c *Core) initialContact(id deck.ReplicaID) time.Time {
	if c.votes[id] {
		return c.campaignStartedAt
	}
	return time.Time{}
}

func (c *Core) tickLeader() {
	if !c.transferTarget.IsZero() && !c.now.Before(c.transferDeadline) {
		c.transferTarget = deck.ReplicaID{}
	}
	if c.now.Sub(c.lastHeartbeat) >= HeartbeatInterval {
		c.runHeartbeatRound()
	}
}

// runHeartbeatRound starts a new heartbeat round and resends what was not answered.
func (c *Core) runHeartbeatRound() {
	c.lastHeartbeat = c.now
	c.startRound()
	c.assignBarrierRound()
	c.completeBarriers()
	for _, id := range c.peerIDs() {
		p := c.peers[id]
		p.inFlight = p.inFlight && c.now.Sub(p.sentAt) < resendInterval
		c.replicate(id)
	}
}

func (c *Core) startRound() {
	c.round++
	c.roundStarts[c.round] = c.now
	for r, at := range c.roundStarts {
		if c.now.Sub(at) > LeadershipTimeout {
			delete(c.roundStarts, r)
		}
	}
	for _, id := range c.peerIDs() {
		c.sendHeartbeat(id)
	}
}

func (c *Core) sendHeartbeat(id deck.ReplicaID) {
	commit := min(c.peers[id].match, c.log.commit)
	c.send(deck.ReplicaMessage{Kind: deck.MessageHeartbeat, To: id, CommitIndex: commit, Round: c.round})
}

// peerIDs returns the peers in membership order, so that runs with the same seed are identical.
func (c *Core) peerIDs() []deck.ReplicaID {
	return slices.DeleteFunc(c.membership().Members(), func(id deck.ReplicaID) bool {
		return c.peers[id] == nil
	})
}

// replicate sends the entries or the snapshot that the replica lacks, unless a batch or chunk is in flight.
func (c *Core) replicate(id deck.ReplicaID) {
	p := c.peers[id]
	if p.inFlight || p.match >= c.log.last() {
		return
	}
	if p.next <= c.log.snapshot.Index || p.snapshot != nil {
		c.sendSnapshotChunk(id, p)
		return
	}
	prev := p.next - 1
	term, _ := c.log.term(prev)
	p.inFlight, p.sentAt = true, c.now
	c.send(deck.ReplicaMessage{
		Kind: deck.MessageAppend, To: id, Index: prev, LogTerm: term, CommitIndex: c.log.commit, Round: c.round,
		Entries: c.log.batch(p.next),
	})
}

// ReportSendFailure marks the batch or chunk in flight to the replica as lost, so that the next heartbeat resends it.
func (c *Core) ReportSendFailure(id deck.ReplicaID) {
	if p := c.peers[id]; p != nil {
		p.inFlight = false
	}
}

func (c *Core) replicateAll() {
	for _, id := range c.peerIDs() {
		c.replicate(id)
	}
}

func (c *Core) appendEntry(e deck.LogEntry) uint64 {
	e.Index = c.log.last() + 1
	e.Term = c.ballot.Term
	c.log.append(e)
	if e.Kind == deck.EntryMembership {
		c.appendMembership(e.Index, e.Membership)
	}
	c.replicateAll()
	return e.Index
}

// Propose appends a command to the leader's log and returns the index and term of its entry.
func (c *Core) Propose(now time.Time, command []byte) (index, term uint64, err error) {
	c.advanceTime(now)
	if err := c.checkAppend(); err != nil {
		return 0, 0, err
	}
	if len(command) > MaxCommandBytes {
		return 0, 0, deck.ErrCommandTooLarge
	}
	index = c.appendEntry(deck.LogEntry{Kind: deck.EntryCommand, Command: command})
	return index, c.ballot.Term, nil
}

func (c *Core) checkAppend() error {
	if c.state != leader {
		return deck.NotLeaderError{Leader: c.leaderID}
	}
	if !c.transferTarget.IsZero() {
		return deck.NotLeaderError{Leader: c.transferTarget}
	}
	if c.log.last()-c.log.commit >= maxUncommittedEntries {
		return deck.ErrLogBusy
	}
	return nil
}

func (c *Core) handleFollowerAnswer(m deck.ReplicaMessage) {
	p := c.peers[m.From]
	if c.state != leader || p == nil {
		return
	}
	if at, ok := c.roundStarts[m.Round]; ok {
		p.round = max(p.round, m.Round)
		p.lastContact = later(p.lastContact, at)
		c.completeBarriers()
	}
	switch m.Kind {
	case deck.MessageAppendAnswer:
		c.handleAppendAnswer(m, p)
	case deck.MessageSnapshotAnswer:
		c.handleSnapshotAnswer(m, p)
	}
}

func (c *Core) handleAppendAnswer(m deck.ReplicaMessage, p *progress) {
	if p.inFlight && !m.Reject && m.Index <= p.match {
		return // duplicate or late; the batch in flight has not been answered
	}
	p.inFlight = false
	if m.Reject {
		// The index in the rejection is the last that may be equal; next never falls to match, which is known to be equal.
		p.next = max(min(m.Index+1, p.next-1), p.match+1)
		c.replicate(m.From)
		return
	}
	if p.snapshot != nil && m.Index >= p.snapshot.Index {
		p.snapshot = nil
	}
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	c.advanceCommit()
	if c.state != leader {
		return
	}
	c.sendTransferIfCaughtUp(m.From)
	if c.peers[m.From] != nil {
		c.replicate(m.From)
	}
}

// advanceCommit commits the entries that a majority holds durably, if the last of them belongs to the leader's term.
func (c *Core) advanceCommit() {
	index := c.majorityMatch()
	if term, ok := c.log.term(index); !ok || term != c.ballot.Term || index <= c.log.commit {
		return
	}
	c.log.commit = index
	c.stepDownIfRemoved()
	if c.state != leader {
		return
	}
	for _, id := range c.peerIDs() {
		c.sendHeartbeat(id)
	}
}

func (c *Core) majorityMatch() uint64 {
	m := c.membership()
	held := make([]uint64, 0, len(m.Voters))
	for _, id := range m.Voters {
		if id == c.self {
			held = append(held, c.log.durable)
		} else if p := c.peers[id]; p != nil {
			held = append(held, p.match)
		}
	}
	slices.Sort(held)
	return held[len(held)-m.Majority()]
}

// majorityContact returns the latest time at which a majority of the voters is known to have followed this leader.
func (c *Core) majorityContact() time.Time {
	m := c.membership()
	times := make([]time.Time, 0, len(m.Voters))
	for _, id := range m.Voters {
		if id == c.self {
			times = append(times, c.now)
		} else if p := c.peers[id]; p != nil {
			times = append(times, p.lastContact)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[len(times)-m.Majority()]
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
