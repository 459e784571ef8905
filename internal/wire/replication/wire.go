package replication

// The wire types mirror the domain types. Incarnations are hexadecimal strings because JSON numbers lose precision above 2^53.

type replicaJSON struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
}

type membershipJSON struct {
	Voters   []replicaJSON `json:"voters,omitempty"`
	Learners []replicaJSON `json:"learners,omitempty"`
}

type entryJSON struct {
	Index      uint64          `json:"index"`
	Term       uint64          `json:"term"`
	Kind       string          `json:"kind"`
	Command    []byte          `json:"command,omitempty"`
	Membership *membershipJSON `json:"membership,omitempty"`
}

type ballotJSON struct {
	Term uint64       `json:"term"`
	Vote *replicaJSON `json:"vote,omitempty"`
}

type snapshotJSON struct {
	Index      uint64         `json:"index"`
	Term       uint64         `json:"term"`
	Membership membershipJSON `json:"membership"`
	Data       []byte         `json:"data,omitempty"`
}

type recordJSON struct {
	Ballot  *ballotJSON `json:"ballot,omitempty"`
	Entries []entryJSON `json:"entries,omitempty"`
}

type chunkJSON struct {
	Offset     int             `json:"offset,omitempty"`
	Total      int             `json:"total,omitempty"`
	Checksum   uint32          `json:"checksum,omitempty"`
	Membership *membershipJSON `json:"membership,omitempty"`
	Data       []byte          `json:"data,omitempty"`
}

type messageJSON struct {
	Kind       string      `json:"kind"`
	Deployment string      `json:"deployment"`
	From       replicaJSON `json:"from"`
	To         replicaJSON `json:"to"`
	Term       uint64      `json:"term,omitempty"`
	Index      uint64      `json:"index,omitempty"`
	LogTerm    uint64      `json:"log-term,omitempty"`
	Commit     uint64      `json:"commit,omitempty"`
	Round      uint64      `json:"round,omitempty"`
	Reject     bool        `json:"reject,omitempty"`
	Transfer   bool        `json:"transfer,omitempty"`
	Entries    []entryJSON `json:"entries,omitempty"`
	Chunk      *chunkJSON  `json:"chunk,omitempty"`
}

type identityJSON struct {
	Deployment string      `json:"deployment"`
	Replica    replicaJSON `json:"replica"`
}
