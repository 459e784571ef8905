package replication

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// EncodeMessage returns the message as JSON.
func EncodeMessage(m deck.ReplicaMessage) ([]byte, error) {
	w := messageJSON{
		Kind: kindName(messageKinds, int(m.Kind)), Deployment: m.Deployment,
		From: replicaToWire(m.From), To: replicaToWire(m.To), Term: m.Term,
		Index: m.Index, LogTerm: m.LogTerm, Commit: m.CommitIndex, Round: m.Round,
		Reject: m.Reject, Transfer: m.Transfer,
		Entries: entriesToWire(m.Entries), Chunk: chunkToWire(m.Chunk),
	}
	return json.Marshal(w)
}

// DecodeMessage returns the message that EncodeMessage encoded; entries that are not consecutive are an error.
func DecodeMessage(data []byte) (deck.ReplicaMessage, error) {
	var w messageJSON
	if err := json.Unmarshal(data, &w); err != nil {
		return deck.ReplicaMessage{}, errors.Wrap(err, "replica message")
	}
	m, err := messageFromWire(w)
	return m, errors.Wrap(err, "replica message")
}

func messageFromWire(w messageJSON) (deck.ReplicaMessage, error) {
	kind, err := parseKind(messageKinds, w.Kind)
	if err != nil {
		return deck.ReplicaMessage{}, err
	}
	m := deck.ReplicaMessage{
		Kind: deck.ReplicaMessageKind(kind), Deployment: w.Deployment, Term: w.Term,
		Index: w.Index, LogTerm: w.LogTerm, CommitIndex: w.Commit, Round: w.Round,
		Reject: w.Reject, Transfer: w.Transfer,
	}
	if m.From, err = replicaFromWire(w.From); err != nil {
		return deck.ReplicaMessage{}, err
	}
	if m.To, err = replicaFromWire(w.To); err != nil {
		return deck.ReplicaMessage{}, err
	}
	if m.Entries, err = entriesFromWire(w.Entries); err != nil {
		return deck.ReplicaMessage{}, err
	}
	if len(m.Entries) > 0 && m.Entries[0].Index != m.Index+1 {
		return deck.ReplicaMessage{}, errors.Newf("entry %d follows entry %d", m.Entries[0].Index, m.Index)
	}
	m.Chunk, err = chunkFromWire(w.Chunk)
	return m, err
}

// EncodeRecord returns the ballot and entries of a log write as JSON, without its snapshot.
func EncodeRecord(r deck.LogWrite) ([]byte, error) {
	w := recordJSON{Entries: entriesToWire(r.Entries)}
	if r.Ballot != nil {
		w.Ballot = &ballotJSON{Term: r.Ballot.Term}
		if !r.Ballot.Vote.IsZero() {
			v := replicaToWire(r.Ballot.Vote)
			w.Ballot.Vote = &v
		}
	}
	return json.Marshal(w)
}

// DecodeRecord returns the log write that EncodeRecord encoded.
func DecodeRecord(data []byte) (deck.LogWrite, error) {
	var w recordJSON
	if err := json.Unmarshal(data, &w); err != nil {
		return deck.LogWrite{}, errors.Wrap(err, "log record")
	}
	entries, err := entriesFromWire(w.Entries)
	if err != nil {
		return deck.LogWrite{}, errors.Wrap(err, "log record")
	}
	r := deck.LogWrite{Entries: entries}
	if w.Ballot != nil {
		r.Ballot = &deck.Ballot{Term: w.Ballot.Term}
		if w.Ballot.Vote != nil {
			r.Ballot.Vote, err = replicaFromWire(*w.Ballot.Vote)
		}
	}
	return r, errors.Wrap(err, "log record")
}

// EncodeSnapshot returns the snapshot as JSON.
func EncodeSnapshot(s deck.LogSnapshot) ([]byte, error) {
	return json.Marshal(snapshotJSON{
		Index: s.Index, Term: s.Term, Membership: membershipToWire(s.Membership), Data: s.Data,
	})
}

// DecodeSnapshot returns the snapshot that EncodeSnapshot encoded.
func DecodeSnapshot(data []byte) (deck.LogSnapshot, error) {
	var w snapshotJSON
	if err := json.Unmarshal(data, &w); err != nil {
		return deck.LogSnapshot{}, errors.Wrap(err, "snapshot")
	}
	m, err := membershipFromWire(w.Membership)
	return deck.LogSnapshot{Index: w.Index, Term: w.Term, Membership: m, Data: w.Data}, errors.Wrap(err, "snapshot")
}

// EncodeReplica returns the deployment's name and a replica's identity as JSON.
func EncodeReplica(deployment string, id deck.ReplicaID) ([]byte, error) {
	return json.Marshal(identityJSON{Deployment: deployment, Replica: replicaToWire(id)})
}

// DecodeReplica returns the deployment and identity that EncodeReplica encoded.
func DecodeReplica(data []byte) (deployment string, id deck.ReplicaID, err error) {
	var w identityJSON
	if err := json.Unmarshal(data, &w); err != nil {
		return "", deck.ReplicaID{}, errors.Wrap(err, "replica identity")
	}
	id, err = replicaFromWire(w.Replica)
	return w.Deployment, id, errors.Wrap(err, "replica identity")
}
