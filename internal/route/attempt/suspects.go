package attempt

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Limits for suspects: requests that were running on a backend server when it crashed.
const (
	isolateAfterCrashes          = 2 // crashes after which a suspect is isolated: it runs without other suspects beside it
	refuseAfterCrashes           = 3 // crashes after which a suspect is refused
	refuseAfterCrashesIfIsolated = 2 // the same if the suspect was isolated at one of the crashes
	suspectTTL                   = 10 * time.Minute
	maxSuspects                  = 4096
)

// Suspects counts the crashes that this VM observed for each request digest, and isolates suspects from each other. Its zero
// value needs a clock.
type Suspects struct {
	Clock deck.Clock

	mu       sync.Mutex
	seq      uint64 // orders permits and crashes
	records  map[string]*crashRecord
	permits  map[deck.BackendName]map[*Permit]struct{}
	released chan struct{} // closed when a permit is released
}

// crashRecord holds the crashes of one digest.
type crashRecord struct {
	crashes   map[crashKey]uint64 // by crash; the value is its sequence number
	isolated  bool                // the request was isolated at one of the crashes
	lastCrash time.Time
}

// markIsolated records whether the request was isolated at a crash, and reports whether that is new.
func (r *crashRecord) markIsolated(isolated bool) bool {
	added := isolated && !r.isolated
	r.isolated = r.isolated || isolated
	return added
}

// crashKey identifies a crash of an engine process.
type crashKey struct {
	backend deck.BackendName
	bootID  string
}

// A Permit allows an attempt of a request to run on a backend server until it is released.
type Permit struct {
	s        *Suspects
	digest   string
	backend  deck.BackendName
	isolated bool
	seq      uint64
}

// IsRefused reports whether the crashes counted on this VM are enough to refuse the digest.
func (s *Suspects) IsRefused(digest string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.crashRecord(digest)
	if record == nil {
		return false
	}
	return len(record.crashes) >= refuseAfterCrashes || record.isolated && len(record.crashes) >= refuseAfterCrashesIfIsolated
}

// IsSuspect reports whether the digest has a crash on record.
func (s *Suspects) IsSuspect(digest string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashRecord(digest) != nil
}

// TryAcquire returns a permit for the backend server, or false if a suspect that must be isolated would share the server
// with another suspect.
func (s *Suspects) TryAcquire(digest string, backend deck.BackendName) (*Permit, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acquireLocked(digest, backend)
}

// Acquire is like TryAcquire but waits until a permit is available or ctx ends.
func (s *Suspects) Acquire(ctx context.Context, digest string, backend deck.BackendName) (*Permit, error) {
	for {
		s.mu.Lock()
		permit, ok := s.acquireLocked(digest, backend)
		if s.released == nil {
			s.released = make(chan struct{})
		}
		released := s.released
		s.mu.Unlock()
		if ok {
			return permit, nil
		}
		select {
		case <-released:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// Clear deletes the record of a digest whose request completed.
func (s *Suspects) Clear(digest string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.records, digest)
}

// RecordCrash records a crash of the backend server while the permit was held. It returns true if this has to be
// reported: the crash, or that the request was isolated at one, was not recorded for the digest before. Callers that send the
// same content record the same crash.
func (p *Permit) RecordCrash(bootID string) bool {
	s := p.s
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.crashRecord(p.digest)
	if record == nil {
		record = s.addRecord(p.digest)
	}
	if record.crashedDuring(p) {
		return record.markIsolated(p.isolated)
	}
	key := crashKey{p.backend, bootID}
	if _, known := record.crashes[key]; known && bootID != "" {
		return false // a process crashes only once, so this is the recorded crash
	}
	s.seq++
	if bootID == "" {
		key.bootID = "unknown-" + strconv.FormatUint(s.seq, 10)
	}
	record.crashes[key] = s.seq
	record.markIsolated(p.isolated)
	record.lastCrash = s.Clock.Now()
	return true
}

// crashedDuring reports whether a crash of the permit's backend server was recorded after the permit was acquired.
func (r *crashRecord) crashedDuring(permit *Permit) bool {
	for key, seq := range r.crashes {
		if key.backend == permit.backend && permit.seq < seq {
			return true
		}
	}
	return false
}

// Isolated reports whether the request had to be the only suspect on its backend server when the permit was acquired.
func (p *Permit) Isolated() bool {
	return p.isolated
}

// Release releases the permit; it may be called more than once.
func (p *Permit) Release() {
	s := p.s
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.permits[p.backend], p)
	if len(s.permits[p.backend]) == 0 {
		delete(s.permits, p.backend)
	}
	if s.released != nil {
		close(s.released)
		s.released = nil
	}
}

func (s *Suspects) acquireLocked(digest string, backend deck.BackendName) (*Permit, bool) {
	isolated := s.mustIsolate(digest)
	suspect := s.crashRecord(digest) != nil
	for other := range s.permits[backend] {
		if other.digest == digest {
			continue
		}
		if suspect && other.isolated || isolated && s.crashRecord(other.digest) != nil {
			return nil, false
		}
	}
	s.seq++
	permit := &Permit{s: s, digest: digest, backend: backend, isolated: isolated, seq: s.seq}
	if s.permits == nil {
		s.permits = make(map[deck.BackendName]map[*Permit]struct{})
	}
	if s.permits[backend] == nil {
		s.permits[backend] = make(map[*Permit]struct{})
	}
	s.permits[backend][permit] = struct{}{}
	return permit, true
}

func (s *Suspects) mustIsolate(digest string) bool {
	record := s.crashRecord(digest)
	return record != nil && len(record.crashes) >= isolateAfterCrashes
}

// crashRecord returns the unexpired record of a digest, or nil.
func (s *Suspects) crashRecord(digest string) *crashRecord {
	record := s.records[digest]
	if record == nil || s.Clock.Now().Sub(record.lastCrash) > suspectTTL {
		return nil
	}
	return record
}

// addRecord adds an empty record, and evicts the oldest one if there are too many.
func (s *Suspects) addRecord(digest string) *crashRecord {
	if s.records == nil {
		s.records = make(map[string]*crashRecord)
	}
	if len(s.records) >= maxSuspects {
		s.evictOldest()
	}
	record := &crashRecord{crashes: make(map[crashKey]uint64)}
	s.records[digest] = record
	return record
}

func (s *Suspects) evictOldest() {
	oldest := ""
	for digest, record := range s.records {
		if oldest == "" || record.lastCrash.Before(s.records[oldest].lastCrash) {
			oldest = digest
		}
	}
	delete(s.records, oldest)
}
