package replica

import "sync/atomic"

// Counters holds the counts of a node's operations since its start, for metrics.
type Counters struct {
	Saves         uint64 // writes to the storage, one sync each
	SavedEntries  uint64
	SentMessages  uint64 // passed to the transport, delivered or not
	LostMessages  uint64 // not delivered by the transport, or dropped because a send queue was full
	LeaderChanges uint64 // changes of the known leader, including changes to none
	Snapshots     uint64 // taken by this replica; received ones are not counted
}

// nodeCounters holds the counters of a running node.
type nodeCounters struct {
	saves, savedEntries, sentMessages, lostMessages, leaderChanges, snapshots atomic.Uint64
}

// Counters returns the node's counters, which are read one by one and not as a consistent set.
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
