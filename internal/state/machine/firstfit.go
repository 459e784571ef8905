package machine

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// FirstFit is a feasibility check by first-fit decreasing: it places the active version of each model on one engine
// that is not leaving. An engine must hold the resident bytes of its models and the largest transient need among them.
// Like any first-fit packing it may miss a packing that exists; it never accepts one that does not.
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

// A bin is the memory of an engine and what is placed on it.
type bin struct {
	capacity  deck.Bytes
	resident  deck.Bytes
	transient deck.Bytes // largest of any placed model
}

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

// checkOtherVersions refuses a version that no engine could ever hold, even if it is not active yet.
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
