package replica

import (
	"slices"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// An entryLog holds the latest snapshot, the entries after it, and the indexes up to which they are saved and applied.
type entryLog struct {
	snapshot     deck.LogSnapshot
	entries      []deck.LogEntry // from snapshot.Index+1 on
	firstUnsaved uint64          // lowest index that was not returned for saving
	durable      uint64          // highest saved index
	commit       uint64
	applied      uint64 // highest index returned for applying

	appliedBytes int // size of the entries applied since the snapshot
}

func newEntryLog(s deck.StoredLog) entryLog {
	l := entryLog{snapshot: s.Snapshot, entries: slices.Clone(s.Entries)}
	l.commit = s.Snapshot.Index
	l.applied = s.Snapshot.Index
	l.durable = l.last()
	l.firstUnsaved = l.last() + 1
	return l
}

func entrySize(e deck.LogEntry) int {
	return len(e.Command) + entryOverheadBytes
}

func (l *entryLog) last() uint64 {
	return l.snapshot.Index + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index; ok is false if index is past the log or before the last entry of the snapshot.
func (l *entryLog) term(index uint64) (t uint64, ok bool) {
	switch {
	case index == l.snapshot.Index:
		return l.snapshot.Term, true
	case index < l.snapshot.Index || index > l.last():
		return 0, false
	default:
		return l.entries[index-l.snapshot.Index-1].Term, true
	}
}

// slice returns the entries from first to last, both inclusive; the log must hold them.
func (l *entryLog) slice(first, last uint64) []deck.LogEntry {
	return slices.Clone(l.entries[first-l.snapshot.Index-1 : last-l.snapshot.Index])
}

// batch returns the entries from first on that fit into one append message.
func (l *entryLog) batch(first uint64) []deck.LogEntry {
	size := 0
	last := first - 1
	for last < l.last() {
		size += entrySize(l.entries[last-l.snapshot.Index])
		if size > maxBatchBytes && last >= first {
			break
		}
		last++
	}
	return l.slice(first, last)
}

func (l *entryLog) append(e deck.LogEntry) {
	l.entries = append(l.entries, e)
}

// truncate removes the entries from index on.
func (l *entryLog) truncate(index uint64) {
	keep := index - l.snapshot.Index - 1
	l.entries = slices.Clone(l.entries[:keep])
	l.firstUnsaved = min(l.firstUnsaved, index)
	l.durable = min(l.durable, index-1)
}

// compact sets the snapshot and removes the entries that it covers.
func (l *entryLog) compact(s deck.LogSnapshot) {
	l.entries = slices.Clone(l.entries[s.Index-l.snapshot.Index:])
	l.snapshot = s
	l.appliedBytes = 0
}

// restore sets the snapshot in place of the entries that it covers; entries that do not continue it are removed.
func (l *entryLog) restore(s deck.LogSnapshot) {
	if t, ok := l.term(s.Index); ok && t == s.Term {
		l.compact(s)
	} else {
		l.entries = nil
		l.snapshot = s
		l.appliedBytes = 0
		l.durable = s.Index
		l.firstUnsaved = s.Index + 1
	}
	l.firstUnsaved = max(l.firstUnsaved, s.Index+1)
	l.durable = max(l.durable, s.Index)
	l.commit = max(l.commit, s.Index)
	l.applied = max(l.applied, s.Index)
}

// isNewerThan reports whether the log is more up to date than one whose last entry has the given index and term.
func (l *entryLog) isNewerThan(index, term uint64) bool {
	if l.lastTerm() != term {
		return l.lastTerm() > term
	}
	return l.last() > index
}
