package replica

import "sync/atomic"

// Counters are what a node has done since its start, for metrics.
type Counters struct {
	Saves         uint64 // writes to the storage, one sync each
	SavedEntries  uint64
	SentMessages  uint64 // messages, delivered or not
	LostMessages  uint64 // messages that the transport could not deliver or the queue could not hold
	LeaderChanges uint64 // changes of the leader that this replica follows, to none included
	Snapshots     uint64 // taken here, not those received
}

// nodeCounters are the counters of a running node.
type nodeCounters struct {
	saves, savedEntries, sentMessages, lostMessages, leaderChanges, snapshots atomic.Uint64
}

// Counters returns the node's counters; they are read one after another while the node runs.
func (n *Node) Counters() Counters {
	return Counters{
		Saves:         n.counters.saves.Load(),
		SavedEntries:  n.counters.savedEntries.Load(),
		SentMessages:  n.counters.sentMessages.Load(),
		LostMessages:  n.counters.lostMessages.Load(),
		LeaderChanges: n.counters.leaderChanges.Load(),
		Snapshots:     n.counters.snapshots.Load(),
	}
}
