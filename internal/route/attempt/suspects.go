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
	aloneAfter  = 2 // crashes after which a suspect runs alone
	refuseAfter = 3 // crashes after which a suspect is refused
	refuseAlone = 2 // the same if one of the crashes happened while it ran alone
	suspectTTL  = 10 * time.Minute
	maxSuspects = 4096
)

// Suspects counts the crashes that this VM saw for each request digest and keeps suspects apart. Its zero value needs a
// clock.
type Suspects struct {
	Clock deck.Clock

	mu      sync.Mutex
	order   uint64 // counts entries and crashes
	seen    map[string]*suspicion
	running map[deck.BackendName]map[*Run]struct{}
	left    chan struct{} // closed when a suspect leaves a backend server
}

// A suspicion is what is known about one digest.
type suspicion struct {
	crashes map[crashKey]uint64 // the order of its record
	alone   bool                // it ran alone at one of the crashes
	last    time.Time
}

// noteAlone notes that the digest ran alone at a crash and reports whether that is new.
func (v *suspicion) noteAlone(alone bool) bool {
	added := alone && !v.alone
	v.alone = v.alone || alone
	return added
}

// A crashKey tells one crash from another.
type crashKey struct {
	backend deck.BackendName
	boot    string
}

// A Run is an attempt of a request on a backend server.
type Run struct {
	s       *Suspects
	digest  string
	backend deck.BackendName
	alone   bool
	order   uint64
}

// Refused reports whether this VM's own count is enough to refuse the digest.
func (s *Suspects) Refused(digest string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.suspicion(digest)
	if v == nil {
		return false
	}
	return len(v.crashes) >= refuseAfter || v.alone && len(v.crashes) >= refuseAlone
}

// Suspect reports whether the digest was present at a crash.
func (s *Suspects) Suspect(digest string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspicion(digest) != nil
}

// TryEnter registers a run on the backend server, unless that would put a suspect that must run alone beside another.
func (s *Suspects) TryEnter(digest string, backend deck.BackendName) (*Run, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.enter(digest, backend)
}

// Enter is TryEnter that waits until the backend server is free.
func (s *Suspects) Enter(ctx context.Context, digest string, backend deck.BackendName) (*Run, error) {
	for {
		s.mu.Lock()
		r, ok := s.enter(digest, backend)
		if s.left == nil {
			s.left = make(chan struct{})
		}
		left := s.left
		s.mu.Unlock()
		if ok {
			return r, nil
		}
		select {
		case <-left:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// Clear forgets a digest that ran to its end.
func (s *Suspects) Clear(digest string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.seen, digest)
}

// Crash records that the run was present when its backend server crashed. It returns false if that is nothing new: the
// crash was already recorded for the digest, as happens when two callers send the same content.
func (r *Run) Crash(boot string) bool {
	s := r.s
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.suspicion(r.digest)
	if v == nil {
		v = s.add(r.digest)
	}
	if v.sawCrash(r) {
		return v.noteAlone(r.alone)
	}
	key := crashKey{r.backend, boot}
	if _, known := v.crashes[key]; known && boot != "" {
		return false // the process of the recorded crash still runs
	}
	s.order++
	if boot == "" {
		key.boot = "unknown-" + strconv.FormatUint(s.order, 10)
	}
	v.crashes[key] = s.order
	v.noteAlone(r.alone)
	v.last = s.Clock.Now()
	return true
}

// sawCrash reports whether a crash of the run's backend server was recorded after the run entered.
func (v *suspicion) sawCrash(r *Run) bool {
	for key, order := range v.crashes {
		if key.backend == r.backend && r.order < order {
			return true
		}
	}
	return false
}

// Alone reports whether the run began as the only suspect on its backend server because it must run alone.
func (r *Run) Alone() bool {
	return r.alone
}

// Leave ends the run; it may be called more than once.
func (r *Run) Leave() {
	s := r.s
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running[r.backend], r)
	if len(s.running[r.backend]) == 0 {
		delete(s.running, r.backend)
	}
	if s.left != nil {
		close(s.left)
		s.left = nil
	}
}

func (s *Suspects) enter(digest string, backend deck.BackendName) (*Run, bool) {
	alone := s.mustBeAlone(digest)
	suspect := s.suspicion(digest) != nil
	for other := range s.running[backend] {
		if other.digest == digest {
			continue
		}
		if suspect && other.alone || alone && s.suspicion(other.digest) != nil {
			return nil, false
		}
	}
	s.order++
	r := &Run{s: s, digest: digest, backend: backend, alone: alone, order: s.order}
	if s.running == nil {
		s.running = make(map[deck.BackendName]map[*Run]struct{})
	}
	if s.running[backend] == nil {
		s.running[backend] = make(map[*Run]struct{})
	}
	s.running[backend][r] = struct{}{}
	return r, true
}

func (s *Suspects) mustBeAlone(digest string) bool {
	v := s.suspicion(digest)
	return v != nil && len(v.crashes) >= aloneAfter
}

// suspicion returns the unexpired record of a digest.
func (s *Suspects) suspicion(digest string) *suspicion {
	v := s.seen[digest]
	if v == nil || s.Clock.Now().Sub(v.last) > suspectTTL {
		return nil
	}
	return v
}

// add starts a record; the oldest one goes if there are too many.
func (s *Suspects) add(digest string) *suspicion {
	if s.seen == nil {
		s.seen = make(map[string]*suspicion)
	}
	if len(s.seen) >= maxSuspects {
		s.dropOldest()
	}
	v := &suspicion{crashes: make(map[crashKey]uint64)}
	s.seen[digest] = v
	return v
}

func (s *Suspects) dropOldest() {
	oldest := ""
	for digest, v := range s.seen {
		if oldest == "" || v.last.Before(s.seen[oldest].last) {
			oldest = digest
		}
	}
	delete(s.seen, oldest)
}
