package process

import (
	"bytes"
	"strings"
	"sync"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/feed"
	wire "github.com/geraniumdeck/geraniumdeck/internal/wire/residency"
)

// residencyPrefix starts the names of the feed's payloads that carry a data centre's residency.
const residencyPrefix = "residency/"

// A residency joins the tables which the placement leaders of all data centres publish.
type residency struct {
	store *feed.Store
	dcs   []deck.DataCentre

	mu     sync.Mutex
	tables map[deck.DataCentre]knownTable
}

type knownTable struct {
	version feed.PayloadVersion
	table   deck.ResidencyTable
}

var _ deck.Residency = (*residency)(nil)

// Replicas implements deck.Residency.Replicas.
func (r *residency) Replicas(m deck.ModelName) []deck.Replica {
	var out []deck.Replica
	for _, t := range r.all() {
		out = append(out, t.Replicas(m)...)
	}
	return out
}

// HasAdapter implements deck.Residency.HasAdapter.
func (r *residency) HasAdapter(b deck.BackendName, a deck.AdapterName) bool {
	for _, t := range r.all() {
		if t.HasAdapter(b, a) {
			return true
		}
	}
	return false
}

// all returns the newest table of each data centre; a table that can't be decoded keeps its predecessor in use.
func (r *residency) all() []deck.ResidencyTable {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tables == nil {
		r.tables = make(map[deck.DataCentre]knownTable)
	}
	out := make([]deck.ResidencyTable, 0, len(r.dcs))
	for _, dc := range r.dcs {
		if p, ok := r.store.Payload(residencyPrefix + string(dc)); ok && r.tables[dc].version.Less(p.Version) {
			if t, err := wire.Decode(tableOf(p.Data)); err == nil {
				r.tables[dc] = knownTable{p.Version, t}
			}
		}
		out = append(out, r.tables[dc].table)
	}
	return out
}

// leader returns the VM that last published the data centre's residency.
func (r *residency) leader(dc deck.DataCentre) deck.VMName {
	p, _ := r.store.Payload(residencyPrefix + string(dc))
	return holderOf(p.Data)
}

// leases returns what the published tables tell about the placement leaders.
func (r *residency) leases() []deck.PlacementLease {
	out := make([]deck.PlacementLease, 0, len(r.dcs))
	for _, dc := range r.dcs {
		p, _ := r.store.Payload(residencyPrefix + string(dc))
		out = append(out, deck.PlacementLease{DataCentre: dc, FencingToken: p.Version.Epoch, Holder: holderOf(p.Data)})
	}
	return out
}

// holderOf returns the publisher's name, which stands before the table in the payload's first line.
func holderOf(data []byte) deck.VMName {
	name, _, _ := strings.Cut(string(data), "\n")
	return deck.VMName(name)
}

// tableOf returns the encoded table behind the publisher's name.
func tableOf(data []byte) []byte {
	_, table, _ := bytes.Cut(data, []byte("\n"))
	return table
}

// encodeResidency returns a payload of the table with its publisher's name.
func encodeResidency(holder deck.VMName, t deck.ResidencyTable) ([]byte, error) {
	table, err := wire.Encode(t)
	return append([]byte(string(holder)+"\n"), table...), err
}
