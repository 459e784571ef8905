package statemachine

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// FirstFit is a FeasibilityCheck by first-fit decreasing bin packing: it places the active version of each model on one
// engine that is not leaving. An engine must hold the resident bytes of its models and the largest transient bytes among
// them. The heuristic may reject a state that can be packed, but never accepts one that can't.
func FirstFit(s deck.State) error {
	bins := engineBins(s)
	items, err := modelItems(s)
	if err != nil {
		return err
	}
	for _, it := range items {
		i := slices.IndexFunc(bins, func(b bin) bool { return b.fits(it) })
		if i < 0 {
			return errors.Newf("model %q: no place for %d resident and %d transient bytes", it.model, it.resident, it.transient)
		}
		bins[i].add(it)
	}
	return checkOtherVersions(s)
}

// A bin is an engine's memory and the memory use of the models placed on it.
type bin struct {
	capacity  deck.Bytes
	resident  deck.Bytes
	transient deck.Bytes // largest of any placed model
}

// An item is the memory use of a model's active version.
type item struct {
	model     deck.ModelName
	resident  deck.Bytes
	transient deck.Bytes
}

func (b bin) fits(it item) bool {
	return b.resident+it.resident+max(b.transient, it.transient) <= b.capacity
}

func (b *bin) add(it item) {
	b.resident += it.resident
	b.transient = max(b.transient, it.transient)
}

func engineBins(s deck.State) []bin {
	var bins []bin
	for _, b := range s.BackendServers() {
		if b.Kind == deck.EngineBackend && !b.Leaving {
			bins = append(bins, bin{capacity: b.MemoryBytes()})
		}
	}
	return bins
}

func modelItems(s deck.State) ([]item, error) {
	var items []item
	for _, m := range s.Models() {
		v, ok := m.ActiveVersion()
		if !ok {
			return nil, errors.Newf("model %q: active version %q is not listed", m.Name, m.Active)
		}
		items = append(items, item{m.Name, v.ResidentBytes(), v.TransientBytes})
	}
	slices.SortStableFunc(items, func(a, b item) int { return cmp.Compare(b.resident, a.resident) })
	return items, nil
}

// checkOtherVersions rejects a version that fits on no engine by itself, even if it is not active.
func checkOtherVersions(s deck.State) error {
	largest := deck.Bytes(0)
	for _, b := range engineBins(s) {
		largest = max(largest, b.capacity)
	}
	for _, m := range s.Models() {
		for _, v := range m.Versions {
			if v.ResidentBytes()+v.TransientBytes > largest {
				return errors.Newf("model %q: version %q fits on no engine", m.Name, v.Name)
			}
		}
	}
	return nil
}
