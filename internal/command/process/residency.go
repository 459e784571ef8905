package process

import (
	"bytes"
	"strings"
	"sync"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/feed"
	wire "github.com/geraniumdeck/geraniumdeck/internal/wire/residency"
)

// residencyPrefix is the prefix of the payload names under which the data centres' residency is published.
const residencyPrefix = "residency/"

// A residencyView combines the residency tables that the placement leaders of all data centres publish.
type residencyView struct {
	store       *feed.Store
	dataCentres []deck.DataCentre

	mu      sync.Mutex
	decoded map[deck.DataCentre]decodedTable
}

type decodedTable struct {
	version feed.PayloadVersion
	table   deck.ResidencyTable
}

var _ deck.Residency = (*residencyView)(nil)

// Replicas implements deck.Residency.Replicas.
func (r *residencyView) Replicas(m deck.ModelName) []deck.ModelReplica {
	var out []deck.ModelReplica
	for _, t := range r.latestTables() {
		out = append(out, t.Replicas(m)...)
	}
	return out
}

// HasAdapter implements deck.Residency.HasAdapter.
func (r *residencyView) HasAdapter(b deck.BackendName, a deck.AdapterName) bool {
	for _, t := range r.latestTables() {
		if t.HasAdapter(b, a) {
			return true
		}
	}
	return false
}

// latestTables returns the newest table of each data centre. If it cannot be decoded, the table before it stays in use.
func (r *residencyView) latestTables() []deck.ResidencyTable {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.decoded == nil {
		r.decoded = make(map[deck.DataCentre]decodedTable)
	}
	out := make([]deck.ResidencyTable, 0, len(r.dataCentres))
	for _, dc := range r.dataCentres {
		if p, ok := r.store.Payload(residencyPrefix + string(dc)); ok && r.decoded[dc].version.Less(p.Version) {
			if t, err := wire.Decode(payloadTable(p.Data)); err == nil {
				r.decoded[dc] = decodedTable{p.Version, t}
			}
		}
		out = append(out, r.decoded[dc].table)
	}
	return out
}

// leader returns the VM that last published the data centre's residency.
func (r *residencyView) leader(dc deck.DataCentre) deck.VMName {
	p, _ := r.store.Payload(residencyPrefix + string(dc))
	return payloadHolder(p.Data)
}

// leases returns the placement leases as far as the published tables show them.
func (r *residencyView) leases() []deck.PlacementLease {
	out := make([]deck.PlacementLease, 0, len(r.dataCentres))
	for _, dc := range r.dataCentres {
		p, _ := r.store.Payload(residencyPrefix + string(dc))
		out = append(out, deck.PlacementLease{DataCentre: dc, FencingToken: p.Version.Epoch, Holder: payloadHolder(p.Data)})
	}
	return out
}

// payloadHolder returns the name of the VM that published the payload, which is the payload's first line.
func payloadHolder(data []byte) deck.VMName {
	name, _, _ := strings.Cut(string(data), "\n")
	return deck.VMName(name)
}

// payloadTable returns the encoded table that follows the first line of the payload.
func payloadTable(data []byte) []byte {
	_, table, _ := bytes.Cut(data, []byte("\n"))
	return table
}

// encodeResidency returns a payload with the publisher's name and the encoded table.
func encodeResidency(holder deck.VMName, t deck.ResidencyTable) ([]byte, error) {
	table, err := wire.Encode(t)
	return append([]byte(string(holder)+"\n"), table...), err
}
