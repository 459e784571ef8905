package feed

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Limits of a store.
const (
	maxDeltas       = 512     // a VM that missed more tickets receives the whole state
	maxPayloads     = 64      // number of payload names
	MaxPayloadBytes = 4 << 20 // the residency of 1,400 models on 600 engines is far smaller

	// MaxProofAge is the age of proof beyond which a client fails over to another source. It is below the 4 s within which
	// a ticket must be in force, because a ticket may be accepted right after a source was isolated. The sum at
	// heartbeatProofInterval gives the age of a relay's proof.
	MaxProofAge = 3 * time.Second

	// maxClockDrift bounds the relative drift between two VMs' clocks; durations measured by another VM are corrected by it.
	maxClockDrift = 0.01
)

// A Saver persists the state in force.
type Saver interface {
	// Save durably replaces the saved state.
	Save(s deck.State) error
}

// A Store holds the state in force and the payloads of this VM, and answers polls.
type Store struct {
	self  deck.VMName
	clock deck.Clock
	saver Saver // nil without a data folder

	maxDeltas int
	startTime time.Time // earlier proofs are ignored: they do not cover what this VM may have had in force before

	installMu sync.Mutex // held during the write to disk, so that installs keep their order

	mu                   sync.Mutex
	state                deck.State
	hasState             bool // a state was loaded, installed or proven
	provenAt             time.Time
	proven               bool // a proof was recorded since the start; never reset
	deltas               []Delta
	payloads             map[string]Payload
	confirmations        map[deck.VMName]confirmationRecord
	changed              chan struct{} // closed when the state is replaced
	updates              chan struct{} // closed when the state or a payload is replaced
	confirmationAdvanced chan struct{} // receives a value when another VM confirms a higher version
	saveErrors           uint64
	unsaved              bool // the last write of the state to disk failed
}

var _ deck.StateSource = (*Store)(nil)

// NewStore returns a store with the given saved state. hasState reports whether there is a saved state; without one, the VM is
// not ready until a state is installed or proven.
func NewStore(self deck.VMName, clock deck.Clock, saver Saver, saved deck.State, hasState bool) *Store {
	return &Store{
		self: self, clock: clock, saver: saver, maxDeltas: maxDeltas, startTime: clock.Now(), state: saved, hasState: hasState,
		payloads: make(map[string]Payload), confirmations: make(map[deck.VMName]confirmationRecord),
		changed: make(chan struct{}), updates: make(chan struct{}), confirmationAdvanced: make(chan struct{}, 1),
	}
}

// State implements deck.StateSource.State.
func (s *Store) State() deck.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Changed implements deck.StateSource.Changed.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Proven implements deck.StateSource.Proven.
func (s *Store) Proven() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proven
}

// SaveErrors returns the number of failed writes of the state to disk.
func (s *Store) SaveErrors() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.saveErrors
}

// ProofAge returns the time since the last instant at which the state is proven to be up to date; ok is false without a proof.
func (s *Store) ProofAge() (age time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.Now().Sub(s.provenAt), s.proven
}

// Readiness returns whether this VM can serve, and a note for the readiness response.
func (s *Store) Readiness() (ready bool, note string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.proven:
		return true, ""
	case s.hasState:
		return true, "state-unproven"
	default:
		return false, "no-state"
	}
}

// Install puts a whole state in force if it is newer than the current one.
func (s *Store) Install(next deck.State) {
	s.install(next, nil)
}

// Append applies deltas to the state in force. They must follow it without a gap; deltas that it already contains are
// skipped.
func (s *Store) Append(deltas []Delta) error {
	s.installMu.Lock()
	defer s.installMu.Unlock()
	next := s.State()
	var fresh []Delta
	for _, d := range deltas {
		if d.Version <= next.Version() {
			continue
		}
		if d.Previous != next.Version() {
			return errors.Newf("delta from version %d does not follow version %d", d.Previous, next.Version())
		}
		next = next.WithTicket(d.Ticket, d.Version)
		fresh = append(fresh, d)
	}
	if len(fresh) > 0 {
		s.replace(next, fresh)
	}
	return nil
}

func (s *Store) install(next deck.State, deltas []Delta) {
	s.installMu.Lock()
	defer s.installMu.Unlock()
	if next.Version() > s.State().Version() {
		s.replace(next, deltas)
	}
}

// replace saves the state before putting it in force, so that a restart does not revert to an older one. The caller holds
// installMu and has checked that the state is newer.
func (s *Store) replace(next deck.State, deltas []Delta) {
	var err error
	if s.saver != nil {
		err = s.saver.Save(next)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordSaveLocked(err)
	if deltas == nil {
		s.deltas = nil
	}
	s.deltas = append(s.deltas, deltas...)
	if n := len(s.deltas) - s.maxDeltas; n > 0 {
		s.deltas = append([]Delta(nil), s.deltas[n:]...)
	}
	s.state, s.hasState = next, true
	close(s.changed)
	s.changed = make(chan struct{})
	s.notifyLocked()
}

// SaveAgain writes the state in force to disk if the last attempt failed.
func (s *Store) SaveAgain() {
	s.installMu.Lock()
	defer s.installMu.Unlock()
	s.mu.Lock()
	unsaved, current := s.unsaved, s.state
	s.mu.Unlock()
	if !unsaved {
		return
	}
	err := s.saver.Save(current)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordSaveLocked(err)
}

func (s *Store) recordSaveLocked(err error) {
	s.unsaved = err != nil
	if err != nil {
		s.saveErrors++
	}
}

// RecordProof records that this VM's state has every ticket that was committed before the given time, if its version is at
// least the given one. Callers that know this of the current state pass version 0. A time before the start of this process is
// ignored.
func (s *Store) RecordProof(at time.Time, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Version() < version || at.Before(s.startTime) {
		return
	}
	if !s.proven || at.After(s.provenAt) {
		s.provenAt = at
	}
	s.proven, s.hasState = true, true
}

// Payload returns the payload with the given name, and whether there is one.
func (s *Store) Payload(name string) (Payload, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.payloads[name]
	return p, ok
}

// NeedsPayload reports whether the store lacks a payload or holds an older version of it.
func (s *Store) NeedsPayload(name string, v PayloadVersion) bool {
	p, ok := s.Payload(name)
	return !ok || p.Version.Less(v)
}

// payloadVersions returns the versions of all payloads.
func (s *Store) payloadVersions() map[string]PayloadVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]PayloadVersion, len(s.payloads))
	for name, p := range s.payloads {
		out[name] = p.Version
	}
	return out
}

// Updates returns a channel that is closed when the state or a payload is replaced.
func (s *Store) Updates() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.updates
}

// Publish stores a payload and reports whether it did. It rejects one that is not newer than the stored version, is larger than
// MaxPayloadBytes, or would exceed maxPayloads.
func (s *Store) Publish(p Payload) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.payloads[p.Name]
	if ok && !old.Version.Less(p.Version) || len(p.Data) > MaxPayloadBytes {
		return false
	}
	if !ok && len(s.payloads) >= maxPayloads {
		return false
	}
	s.payloads[p.Name] = p
	s.notifyLocked()
	return true
}

func (s *Store) notifyLocked() {
	close(s.updates)
	s.updates = make(chan struct{})
}
