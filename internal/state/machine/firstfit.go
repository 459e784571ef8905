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
	engines := engineRooms(s)
	needs, err := modelNeeds(s)
	if err != nil {
		return err
	}
	for _, n := range needs {
		i := slices.IndexFunc(engines, func(r room) bool { return r.fits(n) })
		if i < 0 {
			return errors.Newf("model %q: no place for %d resident and %d transient bytes", n.model, n.resident, n.transient)
		}
		engines[i].add(n)
	}
	return checkOtherVersions(s)
}

// A room is the memory of an engine and what is placed on it.
type room struct {
	capacity  deck.Bytes
	resident  deck.Bytes
	transient deck.Bytes // largest of any placed model
}

type need struct {
	model     deck.ModelName
	resident  deck.Bytes
	transient deck.Bytes
}

func (r room) fits(n need) bool {
	return r.resident+n.resident+max(r.transient, n.transient) <= r.capacity
}

func (r *room) add(n need) {
	r.resident += n.resident
	r.transient = max(r.transient, n.transient)
}

func engineRooms(s deck.State) []room {
	var rooms []room
	for _, b := range s.BackendServers() {
		if b.Kind == deck.EngineBackend && !b.Leaving {
			rooms = append(rooms, room{capacity: b.MemoryBytes()})
		}
	}
	return rooms
}

func modelNeeds(s deck.State) ([]need, error) {
	var needs []need
	for _, m := range s.Models() {
		v, ok := m.ActiveVersion()
		if !ok {
			return nil, errors.Newf("model %q: active version %q is not listed", m.Name, m.Active)
		}
		needs = append(needs, need{m.Name, v.ResidentBytes(), v.TransientBytes})
	}
	slices.SortStableFunc(needs, func(a, b need) int { return cmp.Compare(b.resident, a.resident) })
	return needs, nil
}

// checkOtherVersions refuses a version that no engine could ever hold, even if it is not active yet.
func checkOtherVersions(s deck.State) error {
	largest := deck.Bytes(0)
	for _, r := range engineRooms(s) {
		largest = max(largest, r.capacity)
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
