package ticket

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// MaxBytes is the largest size of an encoded ticket that is accepted.
const MaxBytes = 4 << 20

// errTrailingContent means that further content follows the ticket; it would otherwise be ignored silently.
var errTrailingContent = errors.New("ticket: expected one ticket and nothing behind it")

// DecodeJSON returns the ticket in a JSON document; unknown fields are errors.
func DecodeJSON(data []byte) (deck.Ticket, error) {
	var d Document
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return deck.Ticket{}, errors.Wrap(err, "ticket")
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return deck.Ticket{}, errTrailingContent
	}
	return d.Ticket()
}

// DecodeYAML returns the ticket in a YAML document; unknown fields are errors, and errors name the line and column.
func DecodeYAML(data []byte) (deck.Ticket, error) {
	var d Document
	dec := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())
	if err := dec.Decode(&d); err != nil {
		return deck.Ticket{}, errors.New(yaml.FormatError(err, false, true))
	}
	if err := dec.Decode(&Document{}); !errors.Is(err, io.EOF) {
		return deck.Ticket{}, errTrailingContent
	}
	return d.Ticket()
}

// DecodeState parses the JSON form that EncodeState returns.
func DecodeState(data []byte) (deck.State, error) {
	var d StateDocument
	if err := json.Unmarshal(data, &d); err != nil {
		return deck.State{}, errors.Wrap(err, "state")
	}
	t, err := d.Objects.Ticket()
	if err != nil {
		return deck.State{}, err
	}
	return deck.State{}.WithTicket(t, d.Version), nil
}

// Digest returns the SHA-256 digest of the ticket's canonical JSON form, which does not depend on the order of its objects.
func Digest(t deck.Ticket) deck.TicketDigest {
	d := NewDocument(t)
	slices.SortFunc(d.Models, func(a, b Model) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(d.Adapters, func(a, b Adapter) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(d.BackendServers, func(a, b BackendServer) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(d.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	sum := sha256.Sum256(mustMarshal(d))
	return deck.TicketDigest(hex.EncodeToString(sum[:]))
}

// EncodeJSON returns the JSON form of a ticket.
func EncodeJSON(t deck.Ticket) []byte {
	return mustMarshal(NewDocument(t))
}

// EncodeState returns the JSON form of a state.
func EncodeState(s deck.State) []byte {
	t := deck.Ticket{
		Models:         s.Models(),
		Adapters:       s.Adapters(),
		BackendServers: s.BackendServers(),
		Services:       s.Services(),
	}
	return mustMarshal(StateDocument{Version: s.Version(), Objects: NewDocument(t)})
}

// mustMarshal returns the JSON form of a wire type; wire types hold no value that JSON can't represent.
func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
