package health

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// IsolateAfterCrashes is the number of crashes from which a suspect runs only on a server without other suspects.
	IsolateAfterCrashes = 2
	suspectTTL          = 10 * time.Minute
	maxSuspects         = 4096
	// crashDedupWindow is shorter than an engine's restart, and longer than the time between the attempts' reports of one
	// crash.
	crashDedupWindow = 2 * time.Second
)

// A Suspects counts the crashes at which requests were in flight, by the digest of their content. Package router uses
// it to keep suspects on separate servers; attempt.Suspects and the poison store decide on refusals. The zero value is empty.
type Suspects struct {
	byDigest map[string]suspect
}

type suspect struct {
	crashes     int
	expires     time.Time
	lastBackend deck.BackendName // of the last crash
	lastCrash   time.Time
}

// ObserveCrash counts a crash of the server for the request with the digest. It returns false if the crash has been counted
// already: each of several attempts with the same content reports it.
func (s *Suspects) ObserveCrash(digest string, b deck.BackendName, now time.Time) bool {
	if digest == "" {
		return false
	}
	if s.byDigest == nil {
		s.byDigest = make(map[string]suspect)
	}
	r := s.byDigest[digest]
	if r.lastBackend == b && now.Sub(r.lastCrash) < crashDedupWindow {
		return false
	}
	if len(s.byDigest) >= maxSuspects {
		s.dropOldest(now)
	}
	n := s.Crashes(digest, now) + 1
	s.byDigest[digest] = suspect{crashes: n, expires: now.Add(suspectTTL), lastBackend: b, lastCrash: now}
	return true
}

// Crashes returns the number of crashes at which the request was in flight, 0 after suspectTTL without a crash.
func (s *Suspects) Crashes(digest string, now time.Time) int {
	r, ok := s.byDigest[digest]
	if !ok || now.After(r.expires) {
		return 0
	}
	return r.crashes
}

// A DigestSet iterates over the digests of the requests in flight on a server.
type DigestSet interface {
	// EachDigest calls f for each digest until f returns false.
	EachDigest(f func(digest string) bool)
}

// MayShare reports whether the request may run beside the others. A suspect with IsolateAfterCrashes or more crashes must not
// share a server with another suspect.
func (s *Suspects) MayShare(digest string, others DigestSet, now time.Time) bool {
	crashes := s.Crashes(digest, now)
	if crashes == 0 {
		return true
	}
	allowed := true
	others.EachDigest(func(d string) bool {
		other := s.Crashes(d, now)
		allowed = d == digest || other == 0 || max(crashes, other) < IsolateAfterCrashes
		return allowed
	})
	return allowed
}

// IsOnlySuspect reports whether no request but the one with the digest is a suspect.
func (s *Suspects) IsOnlySuspect(digest string, others DigestSet, now time.Time) bool {
	isOnly := true
	others.EachDigest(func(d string) bool {
		isOnly = d == digest || s.Crashes(d, now) == 0
		return isOnly
	})
	return isOnly
}

func (s *Suspects) dropOldest(now time.Time) {
	oldest := ""
	for d, r := range s.byDigest {
		if now.After(r.expires) {
			delete(s.byDigest, d)
			continue
		}
		if oldest == "" || r.expires.Before(s.byDigest[oldest].expires) {
			oldest = d
		}
	}
	if len(s.byDigest) >= maxSuspects {
		delete(s.byDigest, oldest)
	}
}
