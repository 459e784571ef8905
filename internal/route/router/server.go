package router

import (
	"slices"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/route/admit"
	"github.com/geraniumdeck/geraniumdeck/internal/route/choose"
	"github.com/geraniumdeck/geraniumdeck/internal/route/health"
)

const (
	// A server whose attempts fail is avoided for a time that doubles from minBackoff to maxBackoff.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 10 * time.Second
	// interactiveWindow is how long a server counts as used by interactive work after it was last chosen for some.
	interactiveWindow = 5 * time.Second
)

// A server is the router's state of one backend server.
type server struct {
	name             deck.BackendName
	attempts         []*attempt
	byClass          [2]int
	limit            admit.Limit
	hasReport        bool
	reportedTotal    int       // running and queued requests in the last report
	inFlightAtReport int       // attempts of this VM when the last report arrived
	requestedAt      time.Time // when the last report was requested
	bootID           string
	software         *deck.SoftwareVersion // by its last report or answer; nil if unknown
	softwareAt       time.Time             // when the report was requested or the answer observed
	failures         int                   // consecutive
	downUntil        time.Time
	lastInteractive  time.Time // when it was last chosen for interactive work
	lastPreemption   time.Time // when an attempt here was last preempted
}

func (s *server) load(now time.Time) choose.Load {
	return choose.Load{
		InFlight:         len(s.attempts),
		Reported:         s.hasReport,
		Total:            s.reportedTotal,
		InFlightAtReport: s.inFlightAtReport,
		ReportAge:        now.Sub(s.requestedAt),
	}
}

// inFlight returns this VM's work in flight on the server, for the adaptive limit.
func (s *server) inFlight(now time.Time) admit.InFlight {
	return admit.InFlight{
		All:               len(s.attempts),
		Batch:             s.byClass[deck.Batch],
		RecentInteractive: s.byClass[deck.Interactive] > 0 || now.Sub(s.lastInteractive) < interactiveWindow,
	}
}

// room returns how many more attempts of the class the server may take; it may be negative.
func (s *server) room(c deck.Class, weight float64) int {
	bound := func(c deck.Class) int {
		return max(1, int(float64(s.limit.Max(c))*weight))
	}
	n := bound(deck.Interactive) - len(s.attempts)
	if c == deck.Batch {
		n = min(n, bound(deck.Batch)-s.byClass[deck.Batch])
	}
	return n
}

// excludes reports whether the server is known to run another software version than the given one, unless that is nil.
func (s *server) excludes(software *deck.SoftwareVersion) bool {
	return software != nil && s.software != nil && *s.software != *software
}

// observeSoftware records what the server has said at the time about its software version.
func (s *server) observeSoftware(v *deck.SoftwareVersion, at time.Time) {
	if !at.Before(s.softwareAt) {
		s.software, s.softwareAt = v, at
	}
}

func (s *server) add(a *attempt) {
	s.attempts = append(s.attempts, a)
	s.byClass[a.request.info.Class]++
}

func (s *server) remove(a *attempt) bool {
	i := slices.Index(s.attempts, a)
	if i < 0 {
		return false
	}
	s.attempts = slices.Delete(s.attempts, i, i+1)
	s.byClass[a.request.info.Class]--
	return true
}

// recordFailure starts the next, longer backoff.
func (s *server) recordFailure(now time.Time) {
	s.downUntil = now.Add(min(maxBackoff, minBackoff<<min(s.failures, 5)))
	s.failures++
}

// recordSuccess ends the backoff and resets it.
func (s *server) recordSuccess() {
	s.failures = 0
	s.downUntil = time.Time{}
}

var _ health.DigestSet = (*server)(nil)

// EachDigest implements health.DigestSet.EachDigest.
func (s *server) EachDigest(f func(digest string) bool) {
	for _, a := range s.attempts {
		if !f(a.request.info.Digest) {
			return
		}
	}
}
