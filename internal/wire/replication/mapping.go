package replication

import (
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

var entryKinds = []string{deck.EntryNoOp: "no-op", deck.EntryCommand: "command", deck.EntryMembership: "membership"}

var messageKinds = []string{
	deck.MessageHello:           "hello",
	deck.MessageHelloAnswer:     "hello-answer",
	deck.MessagePreVote:         "pre-vote",
	deck.MessagePreVoteAnswer:   "pre-vote-answer",
	deck.MessageVote:            "vote",
	deck.MessageVoteAnswer:      "vote-answer",
	deck.MessageHeartbeat:       "heartbeat",
	deck.MessageHeartbeatAnswer: "heartbeat-answer",
	deck.MessageAppend:          "append",
	deck.MessageAppendAnswer:    "append-answer",
	deck.MessageSnapshot:        "snapshot",
	deck.MessageSnapshotAnswer:  "snapshot-answer",
	deck.MessageBarrier:         "barrier",
	deck.MessageBarrierAnswer:   "barrier-answer",
	deck.MessageTransfer:        "transfer",
}

// kindName returns the name at index i, or an empty string if there is none.
func kindName(names []string, i int) string {
	if i < 0 || i >= len(names) {
		return ""
	}
	return names[i]
}

func parseKind(names []string, name string) (int, error) {
	for i, n := range names {
		if n == name && n != "" {
			return i, nil
		}
	}
	return 0, errors.Newf("unknown kind %q", name)
}

func replicaToWire(id deck.ReplicaID) replicaJSON {
	return replicaJSON{VM: string(id.VM), Incarnation: strconv.FormatUint(id.Incarnation, 16)}
}

func replicaFromWire(r replicaJSON) (deck.ReplicaID, error) {
	n, err := strconv.ParseUint(r.Incarnation, 16, 64)
	return deck.ReplicaID{VM: deck.VMName(r.VM), Incarnation: n}, errors.Wrap(err, "incarnation")
}

func replicasToWire(ids []deck.ReplicaID) []replicaJSON {
	var out []replicaJSON
	for _, id := range ids {
		out = append(out, replicaToWire(id))
	}
	return out
}

func replicasFromWire(rs []replicaJSON) ([]deck.ReplicaID, error) {
	var out []deck.ReplicaID
	for _, r := range rs {
		id, err := replicaFromWire(r)
		if err != nil {
			return nil, err
		}
		out = append(out, id)
	}
	return out, nil
}

func membershipToWire(m deck.Membership) membershipJSON {
	return membershipJSON{Voters: replicasToWire(m.Voters), Learners: replicasToWire(m.Learners)}
}

func membershipFromWire(m membershipJSON) (deck.Membership, error) {
	voters, err := replicasFromWire(m.Voters)
	if err != nil {
		return deck.Membership{}, err
	}
	learners, err := replicasFromWire(m.Learners)
	return deck.Membership{Voters: voters, Learners: learners}, err
}

func optionalMembershipToWire(m deck.Membership) *membershipJSON {
	if m.IsEmpty() {
		return nil
	}
	w := membershipToWire(m)
	return &w
}

func optionalMembershipFromWire(m *membershipJSON) (deck.Membership, error) {
	if m == nil {
		return deck.Membership{}, nil
	}
	return membershipFromWire(*m)
}

func entriesToWire(entries []deck.LogEntry) []entryJSON {
	var out []entryJSON
	for _, e := range entries {
		out = append(out, entryJSON{
			Index: e.Index, Term: e.Term, Kind: kindName(entryKinds, int(e.Kind)),
			Command: e.Command, Membership: optionalMembershipToWire(e.Membership),
		})
	}
	return out
}

func entriesFromWire(entries []entryJSON) ([]deck.LogEntry, error) {
	var out []deck.LogEntry
	for _, w := range entries {
		kind, err := parseKind(entryKinds, w.Kind)
		if err != nil {
			return nil, errors.Wrapf(err, "entry %d", w.Index)
		}
		m, err := optionalMembershipFromWire(w.Membership)
		if err != nil {
			return nil, errors.Wrapf(err, "entry %d", w.Index)
		}
		out = append(out, deck.LogEntry{
			Index: w.Index, Term: w.Term, Kind: deck.EntryKind(kind), Command: w.Command, Membership: m,
		})
	}
	return out, checkConsecutive(out)
}

// checkConsecutive returns an error if the indexes of the entries have a gap; the log computes positions from them.
func checkConsecutive(entries []deck.LogEntry) error {
	for i := range entries {
		if entries[i].Index != entries[0].Index+uint64(i) {
			return errors.Newf("entry %d follows entry %d", entries[i].Index, entries[i-1].Index)
		}
	}
	return nil
}

func chunkToWire(c deck.SnapshotChunk) *chunkJSON {
	if c.Total == 0 && c.Offset == 0 && c.Checksum == 0 && c.Membership.IsEmpty() {
		return nil
	}
	return &chunkJSON{
		Offset: c.Offset, Total: c.Total, Checksum: c.Checksum,
		Membership: optionalMembershipToWire(c.Membership), Data: c.Data,
	}
}

func chunkFromWire(w *chunkJSON) (deck.SnapshotChunk, error) {
	if w == nil {
		return deck.SnapshotChunk{}, nil
	}
	if w.Offset < 0 || w.Total < 0 {
		return deck.SnapshotChunk{}, errors.New("chunk has a negative size")
	}
	m, err := optionalMembershipFromWire(w.Membership)
	return deck.SnapshotChunk{
		Offset: w.Offset, Total: w.Total, Checksum: w.Checksum, Membership: m, Data: w.Data,
	}, err
}
