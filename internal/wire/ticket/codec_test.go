package ticket

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
)

// TestDigestIgnoresOrder guards against a digest that depends on the order in which an operator lists objects.
func TestDigestIgnoresOrder(t *testing.T) {
	is := is.New(t)
	a := deck.Ticket{Number: 1, Models: []deck.Model{{Name: "a"}, {Name: "b"}}}
	b := deck.Ticket{Number: 1, Models: []deck.Model{{Name: "b"}, {Name: "a"}}}
	is.Equal(Digest(a), Digest(b))
	b.Models[0].MinReplicas = 2
	is.True(Digest(a) != Digest(b))
}

// TestRoundTrip guards against a field that the codec drops in one direction.
func TestRoundTrip(t *testing.T) {
	decktest.Check(t, func(t *rapid.T) {
		want := rapid.Make[deck.Ticket]().Draw(t, "ticket")
		for i := range want.Models {
			want.Models[i].Class = deck.Class(rapid.IntRange(0, 1).Draw(t, "class"))
		}
		for i := range want.BackendServers {
			want.BackendServers[i].Kind = deck.BackendKind(rapid.IntRange(0, 1).Draw(t, "kind"))
			want.BackendServers[i].Role = deck.EngineRole(rapid.IntRange(0, 2).Draw(t, "role"))
		}
		got, err := DecodeJSON(EncodeJSON(want))
		if err != nil {
			t.Fatal(err)
		}
		if Digest(got) != Digest(want) {
			t.Fatalf("got %+v want %+v", got, want)
		}
	})
}

// TestDecodeYAMLRejectsBadInput guards against unknown keys being ignored and against errors that don't name the position.
func TestDecodeYAMLRejectsBadInput(t *testing.T) {
	tests := map[string]struct{ in, want string }{
		"unknown key": {"number: 1\nmodles: []\n", "[2:1]"},
		"wrong type":  {"number: x\n", "[1:9]"},
		"bad class":   {"number: 1\nmodels:\n- name: m\n  class: urgent\n", "expected interactive or batch"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := DecodeYAML([]byte(tt.in))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tt.want))
		})
	}
}
