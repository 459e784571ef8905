package feed

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Limits of a store.
const (
	maxDeltas       = 512     // a VM that missed more tickets gets the whole state
	maxPayloads     = 64      // names of payloads
	MaxPayloadBytes = 4 << 20 // residency of 1,400 models on 600 engines is far below this

	// MaxProofAge is the age of proof beyond which a source is left. It is below the 4 s in which a ticket has to be in
	// force, because a ticket may be accepted right after a source was isolated. A relay's proof is at most as old as
	// proofCheckInterval, defaultPollWait and two path times together.
	MaxProofAge = 3 * time.Second

	// maxClockDrift shortens times that were measured by another VM's clock.
	maxClockDrift = 0.01
)

// A Saver keeps the state in force on disk.
type Saver interface {
	// Save replaces the saved state durably.
	Save(s deck.State) error
}

// A Store holds the state in force on this VM and answers polls from it.
type Store struct {
	self  deck.VMName
	clock deck.Clock
	saver Saver // nil without a data folder

	maxDeltas int
	startTime time.Time // a proof from before does not cover what this VM may have had in force until then

	installMu sync.Mutex // held over the write to disk, so that installs keep their order

	mu                   sync.Mutex
	state                deck.State
	hasState             bool // a version was installed, loaded or proven
	provenAt             time.Time
	proven               bool
	deltas               []Delta
	payloads             map[string]Payload
	confirmations        map[deck.VMName]confirmationRecord
	changed              chan struct{} // closed when the state is replaced
	updates              chan struct{} // closed when the state or a payload is replaced
	confirmationAdvanced chan struct{} // holds a value after another VM has confirmed a higher version
	saveErrors           uint64
}

var _ deck.StateSource = (*Store)(nil)

// NewStore returns a store that serves with the given saved state until it learns a newer one; it does so only if known
// is set.
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

// SaveErrors returns how often the state could not be written to disk.
func (s *Store) SaveErrors() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.saveErrors
}

// ProofAge returns the time since which the state is no longer proven to be fresh; ok is false if it never was.
func (s *Store) ProofAge() (age time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.Now().Sub(s.provenAt), s.proven
}

// Readiness returns whether this VM can serve and a note for the readiness answer.
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

// Install puts a whole state in force unless it is older than the one in force.
func (s *Store) Install(next deck.State) {
	s.install(next, nil)
}

// Append puts the state after the deltas in force. The deltas must follow the state in force without a gap; those that
// it already contains are passed over.
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

// replace saves the state before it is in force, so that a restart does not go back behind it. The caller holds the
// installing lock and has checked that the state is newer.
func (s *Store) replace(next deck.State, deltas []Delta) {
	var err error
	if s.saver != nil {
		err = s.saver.Save(next)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.saveErrors++
	}
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

// Prove records that at the given time no version above the given one was committed. It counts only if that version is
// in force here.
func (s *Store) Prove(at time.Time, version uint64) {
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

// Payload returns the payload with the given name.
func (s *Store) Payload(name string) (Payload, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.payloads[name]
	return p, ok
}

// Wants reports whether the store lacks a payload or holds an older version of it.
func (s *Store) Wants(name string, v PayloadVersion) bool {
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

// News returns a channel that is closed when the state or a payload is replaced.
func (s *Store) News() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.updates
}

// Publish installs a payload unless it is older than the one held, and reports whether it did.
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
