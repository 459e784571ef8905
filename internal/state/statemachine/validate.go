package statemachine

import (
	"net/netip"
	"strings"
	"unicode"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Limits of values in tickets.
const (
	maxNameBytes    = 200
	maxObjectBytes  = deck.Bytes(1) << 50 // 1 PiB, so that sums over the objects of an engine do not overflow
	maxAccelerators = 1 << 10
	maxReplicas     = 1 << 16
)

// validate checks a ticket against the current state and against the state that it would produce.
func validate(before deck.State, t deck.Ticket, next deck.State, feasible FeasibilityCheck) error {
	if t.Number == 0 {
		return errors.New("number 0 is not a ticket number")
	}
	if err := checkObjects(t); err != nil {
		return err
	}
	if err := checkRemovals(before, t); err != nil {
		return err
	}
	if err := checkValues(t); err != nil {
		return err
	}
	if err := checkReferences(next); err != nil {
		return err
	}
	return feasible(next)
}

func checkObjects(t deck.Ticket) error {
	ids := objects(t)
	if len(ids) == 0 {
		return errors.New("the ticket sets no object")
	}
	seen := make(map[objectID]bool, len(ids))
	for _, id := range ids {
		if seen[id] {
			return errors.Newf("%s %q is set twice", id.Kind, id.Name)
		}
		seen[id] = true
		if id.Name == "" || len(id.Name) > maxNameBytes || strings.ContainsFunc(id.Name, notPrintable) {
			return errors.Newf("%s %q: a name has 1 to %d printable bytes", id.Kind, id.Name, maxNameBytes)
		}
	}
	return nil
}

func notPrintable(r rune) bool {
	return !unicode.IsPrint(r) || r == unicode.ReplacementChar
}

// checkRemovals rejects the removal of an object that does not exist, because its name is usually misspelt.
func checkRemovals(before deck.State, t deck.Ticket) error {
	missing := func(kind string, name string) error {
		return errors.Newf("%s %q can't be removed: it does not exist", kind, name)
	}
	for _, m := range t.Models {
		if _, ok := before.Model(m.Name); m.Absent && !ok {
			return missing("model", string(m.Name))
		}
	}
	for _, a := range t.Adapters {
		if _, ok := before.Adapter(a.Name); a.Absent && !ok {
			return missing("adapter", string(a.Name))
		}
	}
	for _, b := range t.BackendServers {
		if _, ok := before.BackendServer(b.Name); b.Absent && !ok {
			return missing("backend server", string(b.Name))
		}
	}
	for _, v := range t.Services {
		if _, ok := before.Service(v.Name); v.Absent && !ok {
			return missing("service", string(v.Name))
		}
	}
	return nil
}

func checkValues(t deck.Ticket) error {
	for _, m := range t.Models {
		if err := checkModel(m); err != nil && !m.Absent {
			return errors.Wrapf(err, "model %q", m.Name)
		}
	}
	for _, a := range t.Adapters {
		if !a.Absent && !inRange(a.Bytes, 1) {
			return errors.Newf("adapter %q: %d bytes", a.Name, a.Bytes)
		}
	}
	for _, b := range t.BackendServers {
		if err := checkBackend(b); err != nil && !b.Absent {
			return errors.Wrapf(err, "backend server %q", b.Name)
		}
	}
	for _, v := range t.Services {
		if err := checkService(v); err != nil && !v.Absent {
			return errors.Wrapf(err, "service %q", v.Name)
		}
	}
	return nil
}

func checkModel(m deck.Model) error {
	if m.MinReplicas < 0 || m.MinReplicas > maxReplicas {
		return errors.Newf("%d replicas", m.MinReplicas)
	}
	seen := make(map[deck.VersionName]bool)
	for _, v := range m.Versions {
		if v.Name == "" || seen[v.Name] {
			return errors.Newf("version %q is empty or listed twice", v.Name)
		}
		seen[v.Name] = true
		ok := inRange(v.WeightBytes, 1) && inRange(v.KVReserveBytes, 0) &&
			inRange(v.TransientBytes, 0) && inRange(v.KVBytesPerToken, 0)
		if !ok {
			return errors.Newf("version %q has an impossible size", v.Name)
		}
	}
	if _, ok := m.ActiveVersion(); !ok {
		return errors.Newf("active version %q is not listed", m.Active)
	}
	return nil
}

func checkBackend(b deck.BackendServer) error {
	if b.DataCentre == "" {
		return errors.New("no data centre")
	}
	if _, err := netip.ParseAddrPort(b.Address); err != nil {
		return errors.Newf("address %q is not an IP number with a port", b.Address)
	}
	if b.Kind != deck.EngineBackend {
		return nil
	}
	if b.Accelerators < 1 || b.Accelerators > maxAccelerators || !inRange(b.AcceleratorBytes, 1) {
		return errors.Newf("%d accelerators of %d bytes", b.Accelerators, b.AcceleratorBytes)
	}
	return nil
}

func checkService(v deck.Service) error {
	if !strings.HasPrefix(v.Prefix, "/") {
		return errors.Newf("prefix %q does not start with /", v.Prefix)
	}
	if len(v.Backends) == 0 {
		return errors.New("no backend server")
	}
	seen := make(map[string]bool)
	for _, r := range v.Routes {
		if !strings.HasPrefix(r.Path, "/") || seen[r.Path] {
			return errors.Newf("route %q does not start with / or is listed twice", r.Path)
		}
		seen[r.Path] = true
	}
	return nil
}

func inRange(b, minimum deck.Bytes) bool {
	return b >= minimum && b <= maxObjectBytes
}

// checkReferences checks the references between the objects of a state, and that the prefixes of services are unique.
func checkReferences(s deck.State) error {
	for _, a := range s.Adapters() {
		if _, ok := s.Model(a.Model); !ok {
			return errors.Newf("adapter %q: model %q does not exist", a.Name, a.Model)
		}
	}
	prefixes := make(map[string]deck.ServiceName)
	for _, v := range s.Services() {
		if other, ok := prefixes[v.Prefix]; ok {
			return errors.Newf("services %q and %q share the prefix %q", other, v.Name, v.Prefix)
		}
		prefixes[v.Prefix] = v.Name
		for _, name := range v.Backends {
			b, ok := s.BackendServer(name)
			if !ok || b.Kind != deck.ServiceBackend {
				return errors.Newf("service %q: backend server %q does not exist or is an engine", v.Name, name)
			}
		}
	}
	return nil
}
