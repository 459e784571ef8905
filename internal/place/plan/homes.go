package plan

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// ErrInfeasible is the cause of every error of AssignHomes, CheckFeasible and CheckSpare. CheckSpare also returns it for a
// feasible state without spare memory.
var ErrInfeasible = errors.New("placement is infeasible")

// Homes maps each model to its home data centres, which must hold it; the zero value has no models.
type Homes struct {
	centres      map[deck.ModelName][]deck.DataCentre
	atRisk       []deck.ModelName
	withoutSpare []deck.DataCentre
}

// Of returns the home data centres of the model, in order of preference.
func (h Homes) Of(m deck.ModelName) []deck.DataCentre {
	return h.centres[m]
}

// In reports whether the data centre is a home of the model.
func (h Homes) In(m deck.ModelName, dc deck.DataCentre) bool {
	return slices.Contains(h.centres[m], dc)
}

// AtRisk returns the models with only one home data centre, ordered by name.
func (h Homes) AtRisk() []deck.ModelName {
	return slices.Clone(h.atRisk)
}

// WithoutSpare returns the data centres without spare memory for their largest model, ordered by name. In these, replacing
// a version or draining an engine would displace a model.
func (h Homes) WithoutSpare() []deck.DataCentre {
	return slices.Clone(h.withoutSpare)
}

// CheckSpare returns an error that names the first data centre without spare memory for its largest model. A state without
// spare memory may still be feasible.
func CheckSpare(s deck.State) error {
	h, err := AssignHomes(s)
	if err == nil && len(h.withoutSpare) > 0 {
		return errors.Wrapf(ErrInfeasible, "data centre %s has no spare memory for its largest model", h.withoutSpare[0])
	}
	return err
}

// CheckFeasible returns an error that names the first model that can't be placed, or nil if the state is feasible.
func CheckFeasible(s deck.State) error {
	_, err := AssignHomes(s)
	return err
}

// AssignHomes computes the home data centres of all models. It is deterministic, so that every VM computes the same homes from
// the same state.
func AssignHomes(s deck.State) (Homes, error) {
	footprints, err := computeFootprints(s)
	if err != nil {
		return Homes{}, err
	}
	sets := engineSets(s)
	h := Homes{centres: make(map[deck.ModelName][]deck.DataCentre, len(footprints))}
	for _, f := range footprints {
		if !h.addHome(f, sets) {
			return Homes{}, errors.Wrapf(ErrInfeasible, "model %s has no engine with room for %d bytes resident and %d transient",
				f.model, f.resident, f.transient)
		}
	}
	h.reserveSpares(footprints, sets)
	for _, f := range footprints {
		h.addHome(f, sets)
	}
	for _, f := range footprints {
		if len(h.centres[f.model]) < 2 {
			h.atRisk = append(h.atRisk, f.model)
		}
	}
	slices.Sort(h.atRisk)
	return h, nil
}

// reserveSpares reserves memory for the largest model of each data centre before second homes take it.
func (h *Homes) reserveSpares(footprints []footprint, sets map[deck.DataCentre]*engineSet) {
	done := make(map[deck.DataCentre]bool)
	for _, f := range footprints {
		for _, dc := range h.centres[f.model] {
			if !done[dc] && sets[dc].placeFirstFit(f.asSpare()) < 0 {
				h.withoutSpare = append(h.withoutSpare, dc)
			}
			done[dc] = true
		}
	}
	slices.Sort(h.withoutSpare)
}

// addHome adds the preferred data centre with room to the model's homes and places its replicas there. It returns false if
// no other data centre has room.
func (h *Homes) addHome(f footprint, sets map[deck.DataCentre]*engineSet) bool {
	for _, dc := range rankDataCentres(f.model, sets) {
		if h.In(f.model, dc) || sets[dc].placeFirstFit(f) < 0 {
			continue
		}
		for range f.replicas - 1 {
			sets[dc].placeFirstFit(f) // replicas after the first are placed only if memory allows
		}
		h.centres[f.model] = append(h.centres[f.model], dc)
		return true
	}
	return false
}

// rankDataCentres returns the data centres in the model's order of preference, by weighted rendezvous hashing.
func rankDataCentres(m deck.ModelName, sets map[deck.DataCentre]*engineSet) []deck.DataCentre {
	type rankedCentre struct {
		dc    deck.DataCentre
		score uint64
	}
	rows := make([]rankedCentre, 0, len(sets))
	for dc, s := range sets {
		rows = append(rows, rankedCentre{dc, score(m, dc, uint64(s.totalMemory()/deck.MiB))})
	}
	slices.SortFunc(rows, func(a, b rankedCentre) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.dc, b.dc))
	})
	out := make([]deck.DataCentre, len(rows))
	for i, r := range rows {
		out[i] = r.dc
	}
	return out
}

// engineSets groups the engines that are not leaving by data centre.
func engineSets(s deck.State) map[deck.DataCentre]*engineSet {
	byCentre := make(map[deck.DataCentre][]deck.BackendServer)
	for _, b := range s.BackendServers() {
		if b.Kind == deck.EngineBackend && !b.Leaving {
			byCentre[b.DataCentre] = append(byCentre[b.DataCentre], b)
		}
	}
	sets := make(map[deck.DataCentre]*engineSet, len(byCentre))
	for _, dc := range slices.Sorted(maps.Keys(byCentre)) {
		sets[dc] = newEngineSet(byCentre[dc])
	}
	return sets
}

// computeFootprints returns the footprints of all models, largest first.
func computeFootprints(s deck.State) ([]footprint, error) {
	adapters := make(map[deck.ModelName]deck.Bytes)
	for _, a := range s.Adapters() {
		adapters[a.Model] += a.Bytes
	}
	models := s.Models()
	footprints := make([]footprint, 0, len(models))
	for _, m := range models {
		v, ok := m.ActiveVersion()
		if !ok {
			return nil, errors.Wrapf(ErrInfeasible, "model %s does not list its active version %q", m.Name, m.Active)
		}
		footprints = append(footprints, footprint{
			model:     m.Name,
			resident:  v.ResidentBytes() + adapters[m.Name],
			transient: v.TransientBytes,
			weight:    v.WeightBytes,
			replicas:  max(1, m.MinReplicas),
		})
	}
	slices.SortStableFunc(footprints, func(a, b footprint) int { return cmp.Compare(b.total(), a.total()) })
	return footprints, nil
}
