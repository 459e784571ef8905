package plan

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// ErrInfeasible is the cause of every refusal by Feasible.
var ErrInfeasible = errors.New("placement is infeasible")

// Homes says which data centres must hold each model; its zero value holds no model.
type Homes struct {
	centres map[deck.ModelName][]deck.DataCentre
	atRisk  []deck.ModelName
	tight   []deck.DataCentre
}

// Of returns the home data centres of the model, the preferred one first.
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

// Tight returns the data centres without a spare place for their largest model, ordered by name. There, a version can't
// be replaced and an engine can't be drained without taking a model's place.
func (h Homes) Tight() []deck.DataCentre {
	return slices.Clone(h.tight)
}

// Changeable returns an error that names a data centre without a spare place; a feasible state may have none.
func Changeable(s deck.State) error {
	h, err := Assign(s)
	if err == nil && len(h.tight) > 0 {
		return errors.Wrapf(ErrInfeasible, "data centre %s has no spare place for its largest model", h.tight[0])
	}
	return err
}

// Feasible returns an error that names the first model without a place if the state in force can't be placed.
func Feasible(s deck.State) error {
	_, err := Assign(s)
	return err
}

// Assign computes the home data centres from the state in force; equal states give equal homes on every VM.
func Assign(s deck.State) (Homes, error) {
	needs, err := needsOf(s)
	if err != nil {
		return Homes{}, err
	}
	shelves := shelvesOf(s)
	h := Homes{centres: make(map[deck.ModelName][]deck.DataCentre, len(needs))}
	for _, n := range needs {
		if !h.settle(n, shelves) {
			return Homes{}, errors.Wrapf(ErrInfeasible, "model %s has no engine with room for %d bytes resident and %d transient",
				n.model, n.resident, n.transient)
		}
	}
	h.spare(needs, shelves)
	for _, n := range needs {
		h.settle(n, shelves)
	}
	for _, n := range needs {
		if len(h.centres[n.model]) < 2 {
			h.atRisk = append(h.atRisk, n.model)
		}
	}
	slices.Sort(h.atRisk)
	return h, nil
}

// spare sets memory for the largest model of each data centre aside, before second homes take it.
func (h *Homes) spare(needs []need, shelves map[deck.DataCentre]*shelf) {
	done := make(map[deck.DataCentre]bool)
	for _, n := range needs {
		for _, dc := range h.centres[n.model] {
			if !done[dc] && shelves[dc].place(n.spare()) < 0 {
				h.tight = append(h.tight, dc)
			}
			done[dc] = true
		}
	}
	slices.Sort(h.tight)
}

// settle places all replicas that a further home of the model needs in the preferred data centre with room.
func (h *Homes) settle(n need, shelves map[deck.DataCentre]*shelf) bool {
	for _, dc := range ranked(n.model, shelves) {
		if h.In(n.model, dc) || shelves[dc].place(n) < 0 {
			continue
		}
		for range n.replicas - 1 {
			shelves[dc].place(n) // further replicas are kept only where memory allows
		}
		h.centres[n.model] = append(h.centres[n.model], dc)
		return true
	}
	return false
}

func ranked(m deck.ModelName, shelves map[deck.DataCentre]*shelf) []deck.DataCentre {
	type row struct {
		dc       deck.DataCentre
		distance uint64
	}
	rows := make([]row, 0, len(shelves))
	for dc, s := range shelves {
		rows = append(rows, row{dc, distance(m, dc, uint64(s.memory()/deck.MiB))})
	}
	slices.SortFunc(rows, func(a, b row) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.dc, b.dc))
	})
	out := make([]deck.DataCentre, len(rows))
	for i, r := range rows {
		out[i] = r.dc
	}
	return out
}

// shelvesOf groups the engines that stay by data centre.
func shelvesOf(s deck.State) map[deck.DataCentre]*shelf {
	by := make(map[deck.DataCentre][]deck.BackendServer)
	for _, b := range s.BackendServers() {
		if b.Kind == deck.EngineBackend && !b.Leaving {
			by[b.DataCentre] = append(by[b.DataCentre], b)
		}
	}
	shelves := make(map[deck.DataCentre]*shelf, len(by))
	for _, dc := range slices.Sorted(maps.Keys(by)) {
		shelves[dc] = newShelf(by[dc])
	}
	return shelves
}

// needsOf returns the needs of all models, largest first.
func needsOf(s deck.State) ([]need, error) {
	adapters := make(map[deck.ModelName]deck.Bytes)
	for _, a := range s.Adapters() {
		adapters[a.Model] += a.Bytes
	}
	models := s.Models()
	needs := make([]need, 0, len(models))
	for _, m := range models {
		v, ok := m.ActiveVersion()
		if !ok {
			return nil, errors.Wrapf(ErrInfeasible, "model %s does not list its active version %q", m.Name, m.Active)
		}
		needs = append(needs, need{
			model:     m.Name,
			resident:  v.ResidentBytes() + adapters[m.Name],
			transient: v.TransientBytes,
			weight:    v.WeightBytes,
			replicas:  max(1, m.MinReplicas),
		})
	}
	slices.SortStableFunc(needs, func(a, b need) int { return cmp.Compare(b.total(), a.total()) })
	return needs, nil
}
