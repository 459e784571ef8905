package replica

import "github.com/geraniumdeck/geraniumdeck/internal/core/deck"

// Effects are the actions that the caller of a core must carry out, in the order of the fields.
//
// Messages may only be sent once Save is durable, because responses acknowledge what Save contains. Between TakeEffects
// and MarkSaved, no other method of the core may be called.
type Effects struct {
	Save     deck.LogWrite
	Send     []deck.ReplicaMessage
	Restore  *deck.LogSnapshot // replaces the state of the state machine; nil for none
	Apply    []deck.LogEntry   // committed entries
	Barriers []BarrierResult
	Snapshot bool // a snapshot of the state machine is due; the caller passes it to Compact
}

// IsEmpty reports whether there is nothing to do.
func (e Effects) IsEmpty() bool {
	return e.Save.IsEmpty() && len(e.Send) == 0 && e.Restore == nil && len(e.Apply) == 0 &&
		len(e.Barriers) == 0 && !e.Snapshot
}

// A BarrierResult is the outcome of a read barrier.
type BarrierResult struct {
	ID    uint64
	Index uint64 // reads see every write before the barrier once this entry is applied
	Err   error  // nil if the barrier succeeded
}

// TakeEffects returns the effects that have accumulated since the last call and clears them.
func (c *Core) TakeEffects() Effects {
	c.startBarrierRound()
	e := Effects{Send: c.outgoing, Restore: c.snapshotToRestore, Barriers: c.barrierResults}
	e.Save.Snapshot = c.unsavedSnapshot
	e.Save.Entries = c.takeUnsavedEntries()
	if c.ballotChanged {
		b := c.ballot
		e.Save.Ballot = &b
	}
	e.Apply = c.takeCommittedEntries()
	e.Snapshot = c.snapshotDue()
	c.outgoing, c.snapshotToRestore, c.barrierResults, c.unsavedSnapshot, c.ballotChanged = nil, nil, nil, nil, false
	return e
}

// MarkSaved marks the Save of the effects as durable.
func (c *Core) MarkSaved(e Effects) {
	if n := len(e.Save.Entries); n > 0 {
		c.log.durable = e.Save.Entries[n-1].Index
	}
	if c.state == leader {
		c.advanceCommit()
	}
}

func (c *Core) takeUnsavedEntries() []deck.LogEntry {
	if c.log.firstUnsaved > c.log.last() {
		return nil
	}
	s := c.log.slice(c.log.firstUnsaved, c.log.last())
	c.log.firstUnsaved = c.log.last() + 1
	return s
}

func (c *Core) takeCommittedEntries() []deck.LogEntry {
	if c.log.applied >= c.log.commit {
		return nil
	}
	s := c.log.slice(c.log.applied+1, c.log.commit)
	c.log.applied = c.log.commit
	for _, e := range s {
		c.log.appliedBytes += entrySize(e)
	}
	return s
}
