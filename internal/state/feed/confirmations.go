package feed

import (
	"cmp"
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// CutOffTimeout is the time without a poll after which a VM counts as cut off.
const CutOffTimeout = 6 * time.Second

// maxConfirmations bounds the VMs of which confirmations are kept; a deployment has 340.
const maxConfirmations = 4096

// A confirmationRecord is the last that was heard of a VM, directly or through another VM.
type confirmationRecord struct {
	version uint64
	at      time.Time
}

// A Propagation says which VMs have a version in force.
type Propagation struct {
	Confirmed []deck.VMName
	Waiting   []deck.VMName // heard from, but still below the version
	CutOff    []deck.VMName // not heard from for CutOffTimeout
}

// recordConfirmations records the versions that a request tells.
func (s *Store) recordConfirmations(now time.Time, r Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordConfirmation(r.VM, confirmationRecord{r.After, now})
	for _, c := range r.Confirmed {
		if c.Age >= 0 && c.VM != s.self {
			s.recordConfirmation(c.VM, confirmationRecord{c.Version, now.Add(-c.Age)})
		}
	}
}

// recordConfirmation keeps the latest word of a VM; a VM that lost its memory says a lower version than before.
func (s *Store) recordConfirmation(vm deck.VMName, next confirmationRecord) {
	old, ok := s.confirmations[vm]
	if vm == "" || ok && old.at.After(next.at) || !ok && len(s.confirmations) >= maxConfirmations {
		return
	}
	s.confirmations[vm] = next
	if next.version <= old.version {
		return
	}
	select {
	case s.confirmationAdvanced <- struct{}{}:
	default:
	}
}

// Confirmations returns the VMs that were heard from within CutOffTimeout.
func (s *Store) Confirmations() []Confirmation {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	var out []Confirmation
	for vm, rec := range s.confirmations {
		age := now.Sub(rec.at)
		if age >= CutOffTimeout {
			continue
		}
		out = append(out, Confirmation{VM: vm, Version: rec.version, Age: age})
	}
	slices.SortFunc(out, func(a, b Confirmation) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// Propagation sorts the given VMs by what they said about a version.
func (s *Store) Propagation(vms []deck.VMName, version uint64) Propagation {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	var out Propagation
	for _, vm := range vms {
		rec, ok := s.confirmations[vm]
		if vm == s.self {
			rec, ok = confirmationRecord{s.state.Version(), now}, true
		}
		switch {
		case !ok || now.Sub(rec.at) >= CutOffTimeout:
			out.CutOff = append(out.CutOff, vm)
		case rec.version >= version:
			out.Confirmed = append(out.Confirmed, vm)
		default:
			out.Waiting = append(out.Waiting, vm)
		}
	}
	return out
}
