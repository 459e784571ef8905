package replica

import (
	"maps"
	"slices"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A committedEntry is an entry as the first replica that applied it saw it.
type committedEntry struct {
	term    uint64
	command string
	state   uint64 // of the state machine after the entry
}

// An oracle records the committed entries and the leaders of all replicas and fails at the first contradiction.
type oracle struct {
	fail             func(format string, args ...any)
	history          map[uint64]committedEntry
	firstAppliedTerm map[uint64]uint64 // term of the first replica that applied the entry; it was committed by then
	leaders          map[uint64]deck.ReplicaID
	acked            map[uint64]string // acknowledged commands by index
	last             uint64            // highest applied index
}

func newOracle(fail func(string, ...any)) oracle {
	return oracle{
		fail:             fail,
		history:          make(map[uint64]committedEntry),
		firstAppliedTerm: make(map[uint64]uint64),
		leaders:          make(map[uint64]deck.ReplicaID),
		acked:            make(map[uint64]string),
	}
}

// checkLeader checks that a term has one leader and that it holds every entry that was committed in an earlier term. A
// candidate that receives its votes late may briefly lead an old term and need not hold the entries of later terms.
func (o *oracle) checkLeader(r *simReplica) {
	if r.core.state != leader {
		return
	}
	term := r.core.ballot.Term
	if l, ok := o.leaders[term]; ok {
		if l != r.id {
			o.fail("term %d has leaders %s and %s", term, l, r.id)
		}
		return
	}
	o.leaders[term] = r.id
	for index := r.core.log.snapshot.Index + 1; index <= o.last; index++ {
		if t, ok := r.core.log.term(index); o.firstAppliedTerm[index] < term && (!ok || t != o.history[index].term) {
			o.fail("leader %s of term %d lacks committed entry %d", r.id, term, index)
		}
	}
}

// checkApplied checks that every replica applies the same entries in the same order.
func (o *oracle) checkApplied(r *simReplica, e deck.LogEntry) {
	now := committedEntry{e.Term, string(e.Command), r.state}
	if was, ok := o.history[e.Index]; !ok {
		o.firstAppliedTerm[e.Index] = r.core.ballot.Term
	} else if was != now {
		o.fail("replica %s applies %v as entry %d, which was %v", r.id, now, e.Index, was)
	}
	o.history[e.Index] = now
	o.last = max(o.last, e.Index)
}

func (o *oracle) checkRestored(r *simReplica, index uint64) {
	if was := o.history[index]; was.state != r.state {
		o.fail("replica %s restores state %x at entry %d, which was %x", r.id, r.state, index, was.state)
	}
}

func (o *oracle) recordAcknowledged(e deck.LogEntry) {
	o.acked[e.Index] = string(e.Command)
}

func (o *oracle) isAcknowledged(command string) bool {
	return slices.Contains(slices.Collect(maps.Values(o.acked)), command)
}

// checkBarriers checks that a read barrier covers every entry that any replica had applied when the barrier was started.
func (o *oracle) checkBarriers(r *simReplica, results []BarrierResult) {
	for _, b := range results {
		if b.Err == nil && b.Index < r.barriers[b.ID] {
			o.fail("barrier at %s covers entry %d; %d was applied before", r.id, b.Index, r.barriers[b.ID])
		}
	}
}

// checkFinalState checks that the replica's state contains every acknowledged entry.
func (o *oracle) checkFinalState(r *simReplica) {
	for index, command := range o.acked {
		if o.history[index].command != command || r.core.log.applied < index {
			o.fail("replica %s has applied %d entries; acknowledged entry %d (%s) is lost, entry is %v",
				r.id, r.core.log.applied, index, command, o.history[index])
		}
	}
	if r.state != o.history[r.core.log.applied].state {
		o.fail("replica %s has another state at entry %d", r.id, r.core.log.applied)
	}
}
