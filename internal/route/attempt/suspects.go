package attempt

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// The rules for suspects: requests that were running on a backend server when it crashed.
const (
	aloneAfterCrashes         = 2 // crashes after which a suspect runs alone
	refuseAfterCrashes        = 3 // crashes after which a suspect is refused
	refuseAfterCrashesIfAlone = 2 // the same if one of the crashes happened while it ran alone
	suspectTTL                = 10 * time.Minute
	maxSuspects               = 4096
)

// Suspects counts the crashes that this VM saw for each request digest and keeps suspects apart. Its zero value needs a
// clock.
type Suspects struct {
	Clock deck.Clock

	mu       sync.Mutex
	seq      uint64 // counts entries and crashes
	records  map[string]*crashRecord
	permits  map[deck.BackendName]map[*Permit]struct{}
	released chan struct{} // closed when a suspect leaves a backend server
}

// A suspicion is what is known about one digest.
type crashRecord struct {
	crashes map[crashKey]uint64 // the order of its record
	alone   bool                // it ran alone at one of the crashes
	last    time.Time
}

// noteAlone notes that the digest ran alone at a crash and reports whether that is new.
func (v *crashRecord) markAlone(alone bool) bool {
	added := alone && !v.alone
	v.alone = v.alone || alone
	return added
}

// A crashKey tells one crash from another.
type crashKey struct {
	backend deck.BackendName
	bootID  string
}

// A Run is an attempt of a request on a backend server.
type Permit struct {
	s       *Suspects
	digest  string
	backend deck.BackendName
	alone   bool
	seq     uint64
}

// Refused reports whether this VM's own count is enough to refuse the digest.
func (s *Suspects) Refused(digest string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.crashRecord(digest)
	if v == nil {
		return false
	}
	return len(v.crashes) >= refuseAfterCrashes || v.alone && len(v.crashes) >= refuseAfterCrashesIfAlone
}

// Suspect reports whether the digest was present at a crash.
func (s *Suspects) IsSuspect(digest string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashRecord(digest) != nil
}

// TryEnter registers a run on the backend server, unless that would put a suspect that must run alone beside another.
func (s *Suspects) TryAcquire(digest string, backend deck.BackendName) (*Permit, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acquireLocked(digest, backend)
}

// Enter is TryEnter that waits until the backend server is free.
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

// Clear forgets a digest that ran to its end.
func (s *Suspects) Clear(digest string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.records, digest)
}

// Crash records that the run was present when its backend server crashed. It returns false if that is nothing new: the
// crash was already recorded for the digest, as happens when two callers send the same content.
func (r *Permit) RecordCrash(bootID string) bool {
	s := r.s
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.crashRecord(r.digest)
	if v == nil {
		v = s.addRecord(r.digest)
	}
	if v.crashedDuring(r) {
		return v.markAlone(r.alone)
	}
	key := crashKey{r.backend, bootID}
	if _, known := v.crashes[key]; known && bootID != "" {
		return false // the process of the recorded crash still runs
	}
	s.seq++
	if bootID == "" {
		key.bootID = "unknown-" + strconv.FormatUint(s.seq, 10)
	}
	v.crashes[key] = s.seq
	v.markAlone(r.alone)
	v.last = s.Clock.Now()
	return true
}

// sawCrash reports whether a crash of the run's backend server was recorded after the run entered.
func (v *crashRecord) crashedDuring(permit *Permit) bool {
	for key, seq := range v.crashes {
		if key.backend == permit.backend && permit.seq < seq {
			return true
		}
	}
	return false
}

// Alone reports whether the run began as the only suspect on its backend server because it must run alone.
func (r *Permit) Alone() bool {
	return r.alone
}

// Leave ends the run; it may be called more than once.
func (r *Permit) Release() {
	s := r.s
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.permits[r.backend], r)
	if len(s.permits[r.backend]) == 0 {
		delete(s.permits, r.backend)
	}
	if s.released != nil {
		close(s.released)
		s.released = nil
	}
}

func (s *Suspects) acquireLocked(digest string, backend deck.BackendName) (*Permit, bool) {
	alone := s.mustRunAlone(digest)
	suspect := s.crashRecord(digest) != nil
	for other := range s.permits[backend] {
		if other.digest == digest {
			continue
		}
		if suspect && other.alone || alone && s.crashRecord(other.digest) != nil {
			return nil, false
		}
	}
	s.seq++
	permit := &Permit{s: s, digest: digest, backend: backend, alone: alone, seq: s.seq}
	if s.permits == nil {
		s.permits = make(map[deck.BackendName]map[*Permit]struct{})
	}
	if s.permits[backend] == nil {
		s.permits[backend] = make(map[*Permit]struct{})
	}
	s.permits[backend][permit] = struct{}{}
	return permit, true
}

func (s *Suspects) mustRunAlone(digest string) bool {
	v := s.crashRecord(digest)
	return v != nil && len(v.crashes) >= aloneAfterCrashes
}

// suspicion returns the unexpired record of a digest.
func (s *Suspects) crashRecord(digest string) *crashRecord {
	v := s.records[digest]
	if v == nil || s.Clock.Now().Sub(v.last) > suspectTTL {
		return nil
	}
	return v
}

// add starts a record; the oldest one goes if there are too many.
func (s *Suspects) addRecord(digest string) *crashRecord {
	if s.records == nil {
		s.records = make(map[string]*crashRecord)
	}
	if len(s.records) >= maxSuspects {
		s.evictOldest()
	}
	v := &crashRecord{crashes: make(map[crashKey]uint64)}
	s.records[digest] = v
	return v
}

func (s *Suspects) evictOldest() {
	oldest := ""
	for digest, v := range s.records {
		if oldest == "" || v.last.Before(s.records[oldest].last) {
			oldest = digest
		}
	}
	delete(s.records, oldest)
}
