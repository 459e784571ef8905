package deck

import "errors"

// An EntryKind says what a log entry contains.
type EntryKind int

// The kinds of log entry; the zero value is EntryNoOp.
const (
	EntryNoOp EntryKind = iota
	EntryCommand
	EntryMembership
)

// A LogEntry is one entry of the replicated log.
type LogEntry struct {
	Index      uint64 // 1 for the first entry
	Term       uint64
	Kind       EntryKind
	Command    []byte     // for EntryCommand
	Membership Membership // for EntryMembership
}

// A Ballot is the highest term that a replica has seen and its vote in that term.
type Ballot struct {
	Term uint64
	Vote ReplicaID // zero if it has not voted in the term
}

// A LogSnapshot is the state machine's state after the entry at Index.
type LogSnapshot struct {
	Index      uint64 // 0 for no snapshot
	Term       uint64 // term of the entry at Index
	Membership Membership
	Data       []byte
}

// A LogWrite is a set of changes; a crash before Save returns may leave none, all, or only the snapshot durable.
type LogWrite struct {
	Ballot   *Ballot      // nil if unchanged
	Snapshot *LogSnapshot // nil if unchanged; written before the entries
	Entries  []LogEntry   // consecutive; they replace every stored entry from the first one's index on
}

// IsEmpty reports whether there is nothing to write.
func (w LogWrite) IsEmpty() bool {
	return w.Ballot == nil && w.Snapshot == nil && len(w.Entries) == 0
}

// A StoredLog is the content of a replica's storage at the start of the replica.
type StoredLog struct {
	ID       ReplicaID
	Ballot   Ballot
	Snapshot LogSnapshot
	Entries  []LogEntry // consecutive, from Snapshot.Index+1 on
}

// ErrDiskFull means that a disk had no room for a change.
var ErrDiskFull = errors.New("the disk is full")

// A Storage keeps one replica's copy of the log.
type Storage interface {
	// Load returns the content that the storage had when it was opened.
	Load() (StoredLog, error)

	// Save returns once the changes are durable. After ErrDiskFull nothing has changed, and the same changes may be saved later;
	// after another error no further changes can be saved.
	Save(w LogWrite) error

	// Close releases the storage.
	Close() error
}
