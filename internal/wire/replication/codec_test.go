package replication

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
)

var (
	replicas = rapid.Custom(func(t *rapid.T) deck.ReplicaID {
		return deck.ReplicaID{VM: deck.VMName(rapid.String().Draw(t, "vm")), Incarnation: rapid.Uint64Min(1).Draw(t, "n")}
	})
	memberships = rapid.Custom(func(t *rapid.T) deck.Membership {
		return deck.Membership{
			Voters:   rapid.SliceOfN(replicas, 1, 5).Draw(t, "voters"),
			Learners: rapid.SliceOfN(replicas, 0, 2).Draw(t, "learners"),
		}
	})
	data = rapid.SliceOfN(rapid.Byte(), 1, 50)
)

func drawEntries(t *rapid.T, first uint64) []deck.LogEntry {
	var out []deck.LogEntry
	for i := range rapid.IntRange(0, 4).Draw(t, "entries") {
		e := deck.LogEntry{Index: first + uint64(i), Term: rapid.Uint64().Draw(t, "term")}
		e.Kind = deck.EntryKind(rapid.IntRange(0, 2).Draw(t, "kind"))
		switch e.Kind {
		case deck.EntryCommand:
			e.Command = data.Draw(t, "command")
		case deck.EntryMembership:
			e.Membership = memberships.Draw(t, "membership")
		}
		out = append(out, e)
	}
	return out
}

// TestRoundTrip guards against a field that the mapping drops and a number that loses precision in JSON.
func TestRoundTrip(t *testing.T) {
	decktest.Check(t, func(t *rapid.T) {
		n := rapid.Uint64Max(1 << 62)
		m := deck.ReplicaMessage{
			Kind:       deck.ReplicaMessageKind(rapid.IntRange(1, int(deck.MessageTransfer)).Draw(t, "kind")),
			Deployment: rapid.String().Draw(t, "deployment"), From: replicas.Draw(t, "from"), To: replicas.Draw(t, "to"),
			Term: n.Draw(t, "term"), Index: n.Draw(t, "index"), LogTerm: n.Draw(t, "log term"),
			CommitIndex: n.Draw(t, "commit"), Round: n.Draw(t, "round"),
			Reject: rapid.Bool().Draw(t, "reject"), Transfer: rapid.Bool().Draw(t, "transfer"),
			Chunk: deck.SnapshotChunk{
				Offset: rapid.IntMin(0).Draw(t, "offset"), Total: rapid.IntMin(1).Draw(t, "total"),
				Checksum: rapid.Uint32().Draw(t, "sum"), Membership: memberships.Draw(t, "m"), Data: data.Draw(t, "data"),
			},
		}
		m.Entries = drawEntries(t, m.Index+1)
		checkRoundTrip(t, m, EncodeMessage, DecodeMessage)
		s := deck.LogSnapshot{Index: m.Index, Term: m.Term, Membership: m.Chunk.Membership, Data: m.Chunk.Data}
		checkRoundTrip(t, s, EncodeSnapshot, DecodeSnapshot)
		w := deck.LogWrite{Ballot: &deck.Ballot{Term: m.Term, Vote: m.From}, Entries: m.Entries}
		encoded, err := EncodeRecord(w)
		decoded, err2 := DecodeRecord(encoded)
		got, want := fmt.Sprint(*decoded.Ballot, decoded.Entries), fmt.Sprint(*w.Ballot, w.Entries)
		if err != nil || err2 != nil || got != want {
			t.Fatalf("got %s, want %s, errors %v %v", got, want, err, err2)
		}
	})
}

func checkRoundTrip[T any](t *rapid.T, v T, encode func(T) ([]byte, error), decode func([]byte) (T, error)) {
	encoded, err := encode(v)
	decoded, err2 := decode(encoded)
	if got, want := fmt.Sprintf("%+v", decoded), fmt.Sprintf("%+v", v); err != nil || err2 != nil || got != want {
		t.Fatalf("got %s, want %s, errors %v %v", got, want, err, err2)
	}
}
