package health

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	// AloneAfter is the number of crashes after which a suspect runs on a server without other suspects.
	AloneAfter  = 2
	suspectLife = 10 * time.Minute
	maxSuspects = 4096
	// sameCrash is less than an engine needs to start again, and more than the attempts' news of one crash differ by.
	sameCrash = 2 * time.Second
)

// A Suspects counts the crashes at which requests were present, by digest; its zero value is empty.
type Suspects struct {
	rows map[string]suspect
}

type suspect struct {
	crashes int
	expires time.Time
	backend deck.BackendName // of the last crash
	at      time.Time
}

// ObserveCrash counts a crash of the server for the request with the digest; it returns false if the crash was counted
// before, since each of several attempts with the same content tells of it.
func (s *Suspects) ObserveCrash(digest string, b deck.BackendName, now time.Time) bool {
	if digest == "" {
		return false
	}
	if s.rows == nil {
		s.rows = make(map[string]suspect)
	}
	r := s.rows[digest]
	if r.backend == b && now.Sub(r.at) < sameCrash {
		return false
	}
	if len(s.rows) >= maxSuspects {
		s.dropOldest(now)
	}
	n := s.Crashes(digest, now) + 1
	s.rows[digest] = suspect{crashes: n, expires: now.Add(suspectLife), backend: b, at: now}
	return true
}

// Crashes returns the number of crashes at which the request was present.
func (s *Suspects) Crashes(digest string, now time.Time) int {
	r, ok := s.rows[digest]
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
	own := s.Crashes(digest, now)
	if own == 0 {
		return true
	}
	may := true
	others.EachDigest(func(d string) bool {
		other := s.Crashes(d, now)
		may = d == digest || other == 0 || max(own, other) < AloneAfter
		return may
	})
	return may
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
	for d, r := range s.rows {
		if now.After(r.expires) {
			delete(s.rows, d)
			continue
		}
		if oldest == "" || r.expires.Before(s.rows[oldest].expires) {
			oldest = d
		}
	}
	if len(s.rows) >= maxSuspects {
		delete(s.rows, oldest)
	}
}
