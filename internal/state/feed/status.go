package feed

import (
	"cmp"
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// CutOffAfter is the time without a poll after which a VM counts as cut off.
const CutOffAfter = 6 * time.Second

// maxSightings bounds the VMs of which confirmations are kept; a deployment has 340.
const maxSightings = 4096

// A sighting is the last that was heard of a VM, directly or through another VM.
type sighting struct {
	version uint64
	at      time.Time
}

// A Spread says which VMs have a version in force.
type Spread struct {
	Confirmed []deck.VMName
	Waiting   []deck.VMName // heard from, but still below the version
	CutOff    []deck.VMName // not heard from for CutOffAfter
}

// confirm records the versions that a request tells.
func (s *Store) confirm(now time.Time, r Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sight(r.VM, sighting{r.After, now})
	for _, c := range r.Confirmed {
		if c.Age >= 0 && c.VM != s.self {
			s.sight(c.VM, sighting{c.Version, now.Add(-c.Age)})
		}
	}
}

// sight keeps the latest word of a VM; a VM that lost its memory says a lower version than before.
func (s *Store) sight(vm deck.VMName, n sighting) {
	old, ok := s.seen[vm]
	if vm == "" || ok && old.at.After(n.at) || !ok && len(s.seen) >= maxSightings {
		return
	}
	s.seen[vm] = n
	if n.version <= old.version {
		return
	}
	select {
	case s.raised <- struct{}{}:
	default:
	}
}

// Confirmations returns the VMs that were heard from within CutOffAfter.
func (s *Store) Confirmations() []Confirmation {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	var out []Confirmation
	for vm, n := range s.seen {
		age := now.Sub(n.at)
		if age >= CutOffAfter {
			continue
		}
		out = append(out, Confirmation{VM: vm, Version: n.version, Age: age})
	}
	slices.SortFunc(out, func(a, b Confirmation) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// Spread sorts the given VMs by what they said about a version.
func (s *Store) Spread(vms []deck.VMName, version uint64) Spread {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	var out Spread
	for _, vm := range vms {
		n, ok := s.seen[vm]
		if vm == s.self {
			n, ok = sighting{s.state.Version(), now}, true
		}
		switch {
		case !ok || now.Sub(n.at) >= CutOffAfter:
			out.CutOff = append(out.CutOff, vm)
		case n.version >= version:
			out.Confirmed = append(out.Confirmed, vm)
		default:
			out.Waiting = append(out.Waiting, vm)
		}
	}
	return out
}
