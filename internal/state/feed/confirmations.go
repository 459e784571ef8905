package feed

import (
	"cmp"
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// CutOffTimeout is the time without a confirmation after which a VM counts as cut off.
const CutOffTimeout = 6 * time.Second

// maxConfirmations limits the number of VMs whose confirmations are kept; a deployment has 340 VMs.
const maxConfirmations = 4096

// A confirmationRecord is the latest confirmation of a VM, received directly or through another VM.
type confirmationRecord struct {
	version uint64
	at      time.Time
}

// A Propagation groups VMs by whether they have a state version in force.
type Propagation struct {
	Confirmed []deck.VMName
	Waiting   []deck.VMName // confirmed a lower version within CutOffTimeout
	CutOff    []deck.VMName // confirmed nothing within CutOffTimeout
}

// recordConfirmations records the versions that a request confirms.
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

// recordConfirmation keeps the latest confirmation of a VM, also if its version is lower than before, as it is after a VM has
// lost its state. The caller holds s.mu.
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

// Confirmations returns the latest confirmation of each VM that is not cut off, sorted by VM.
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

// Propagation groups the given VMs by whether they confirmed a version.
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
