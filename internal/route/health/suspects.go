package health

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// IsolateAfterCrashes is the number of crashes after which a suspect runs on a server without other suspects.
	IsolateAfterCrashes = 2
	suspectTTL          = 10 * time.Minute
	maxSuspects         = 4096
	// crashDedupWindow is less than an engine needs to start again, and more than the attempts' news of one crash differ by.
	crashDedupWindow = 2 * time.Second
)

// A Suspects counts the crashes at which requests were present, by digest; its zero value is empty.
type Suspects struct {
	byDigest map[string]suspect
}

type suspect struct {
	crashes     int
	expires     time.Time
	lastBackend deck.BackendName // of the last crash
	lastCrash   time.Time
}

// ObserveCrash counts a crash of the server for the request with the digest; it returns false if the crash was counted
// before, since each of several attempts with the same content tells of it.
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

// Crashes returns the number of crashes at which the request was present.
func (s *Suspects) Crashes(digest string, now time.Time) int {
	r, ok := s.byDigest[digest]
	if !ok || now.After(r.expires) {
		return 0
	}
	return r.crashes
}

// A Beside iterates over the digests of the requests in flight on a server.
type Beside interface {
	// EachDigest calls f for each digest until f returns false.
	EachDigest(f func(digest string) bool)
}

// MayShare reports whether the request may run beside the others: one that must run alone shares with no suspect.
func (s *Suspects) MayShare(digest string, others Beside, now time.Time) bool {
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

// Alone reports whether no other suspect is among the others.
func (s *Suspects) Alone(digest string, others Beside, now time.Time) bool {
	alone := true
	others.EachDigest(func(d string) bool {
		alone = d == digest || s.Crashes(d, now) == 0
		return alone
	})
	return alone
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
