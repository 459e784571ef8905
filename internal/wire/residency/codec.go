package residency

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A Document is the wire form of a residency table.
type Document struct {
	Version  uint64                   `json:"version"`
	Models   map[string][]Replica     `json:"models,omitempty"`
	Adapters map[string][]AdapterName `json:"adapters,omitempty"`
}

// An AdapterName is the name of an adapter that is loaded on a backend server.
type AdapterName string

// A Replica is the wire form of a model version on one backend server.
type Replica struct {
	Backend string `json:"backend"`
	Version string `json:"version"`
	Ready   bool   `json:"ready,omitempty"`
}

// Decode returns the table that Encode encoded; unknown fields are errors.
func Decode(data []byte) (deck.ResidencyTable, error) {
	var d Document
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return deck.ResidencyTable{}, errors.Wrap(err, "residency")
	}
	return FromWire(d), nil
}

// Encode returns the table as JSON.
func Encode(t deck.ResidencyTable) ([]byte, error) {
	data, err := json.Marshal(ToWire(t))
	return data, errors.Wrap(err, "residency")
}

// FromWire returns the table that the document describes.
func FromWire(d Document) deck.ResidencyTable {
	replicas := make(map[deck.ModelName][]deck.ModelReplica, len(d.Models))
	for m, rows := range d.Models {
		for _, r := range rows {
			replicas[deck.ModelName(m)] = append(replicas[deck.ModelName(m)], deck.ModelReplica{
				Backend: deck.BackendName(r.Backend),
				Version: deck.VersionName(r.Version),
				Ready:   r.Ready,
			})
		}
	}
	adapters := make(map[deck.BackendName][]deck.AdapterName, len(d.Adapters))
	for b, rows := range d.Adapters {
		for _, a := range rows {
			adapters[deck.BackendName(b)] = append(adapters[deck.BackendName(b)], deck.AdapterName(a))
		}
	}
	return deck.NewResidencyTable(d.Version, replicas, adapters)
}

// ToWire returns the wire form of the table.
func ToWire(t deck.ResidencyTable) Document {
	d := Document{Version: t.Version(), Models: map[string][]Replica{}, Adapters: map[string][]AdapterName{}}
	for _, m := range t.Models() {
		for _, r := range t.Replicas(m) {
			d.Models[string(m)] = append(d.Models[string(m)], Replica{
				Backend: string(r.Backend),
				Version: string(r.Version),
				Ready:   r.Ready,
			})
		}
	}
	for _, b := range t.Backends() {
		for _, a := range t.AdaptersOn(b) {
			d.Adapters[string(b)] = append(d.Adapters[string(b)], AdapterName(a))
		}
	}
	return d
}
