package deck

import "context"

// A ReplicaMessageKind is the kind of a message between replicas.
type ReplicaMessageKind int

// The kinds of message between replicas.
const (
	MessageHello ReplicaMessageKind = iota + 1 // asks a founder of the log for its identity and whether its log is empty
	MessageHelloAnswer
	MessagePreVote
	MessagePreVoteAnswer
	MessageVote
	MessageVoteAnswer
	MessageHeartbeat
	MessageHeartbeatAnswer
	MessageAppend
	MessageAppendAnswer
	MessageSnapshot
	MessageSnapshotAnswer
	MessageBarrier // asks the leader for a read barrier
	MessageBarrierAnswer
	MessageTransfer // orders a voter to start an election at once
)

// IsAnswer reports whether messages of this kind answer another message.
func (k ReplicaMessageKind) IsAnswer() bool {
	switch k {
	case MessageHelloAnswer, MessagePreVoteAnswer, MessageVoteAnswer, MessageHeartbeatAnswer, MessageAppendAnswer,
		MessageSnapshotAnswer, MessageBarrierAnswer:
		return true
	default:
		return false
	}
}

// A ReplicaMessage is a one-way message between replicas; answers are messages of their own.
type ReplicaMessage struct {
	Kind        ReplicaMessageKind
	Deployment  string
	From        ReplicaID
	To          ReplicaID // incarnation is 0 only in MessageHello
	Term        uint64
	Index       uint64 // by kind: entry before Entries, last entry of a candidate, highest entry held, or snapshot index
	LogTerm     uint64 // term of the entry at Index
	CommitIndex uint64
	Round       uint64 // heartbeat round or barrier ID, repeated in the answer
	Reject      bool
	Transfer    bool // the election was ordered by the leader, which hands over
	Entries     []LogEntry
	Chunk       SnapshotChunk
}

// A SnapshotChunk is a part of a snapshot; in an answer only Offset is set, to the next byte requested.
type SnapshotChunk struct {
	Offset     int
	Total      int    // bytes of the whole snapshot
	Checksum   uint32 // CRC32C of the whole snapshot
	Membership Membership
	Data       []byte
}

// A ReplicaTransport carries messages to other replicas.
type ReplicaTransport interface {
	// Send delivers the message at most once; an error means that it may be lost.
	Send(ctx context.Context, m ReplicaMessage) error
}

// A ReplicaReceiver receives messages from other replicas.
type ReplicaReceiver interface {
	// Receive queues the message; an error means that it was dropped.
	Receive(ctx context.Context, m ReplicaMessage) error
}
