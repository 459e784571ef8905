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
	// A server whose attempts fail is left alone for a time that doubles from firstBackoff to maxBackoff.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 10 * time.Second
	// interactiveMemory is how long a server counts as used by interactive work after it was last given some.
	interactiveWindow = 5 * time.Second
)

// A server is what the router keeps of one backend server.
type server struct {
	name            deck.BackendName
	attempts        []*attempt
	byClass         [2]int
	limit           admit.Limit
	hasReport       bool
	reportedTotal   int // running and queued in the last report
	ownAtReport     int // own attempts when the report was requested
	requestedAt     time.Time
	bootID          string
	failures        int // in a row
	downUntil       time.Time
	lastInteractive time.Time // last time that interactive work was given to it
	lastPreemption  time.Time // last time that an attempt here was asked to give way
}

func (s *server) load(now time.Time) choose.Load {
	return choose.Load{
		Own:         len(s.attempts),
		Reported:    s.hasReport,
		Total:       s.reportedTotal,
		OwnAtReport: s.ownAtReport,
		ReportAge:   now.Sub(s.requestedAt),
	}
}

// work returns the own work in flight for the adaptive limit.
func (s *server) inFlight(now time.Time) admit.Work {
	return admit.Work{
		All:         len(s.attempts),
		Batch:       s.byClass[deck.Batch],
		Interactive: s.byClass[deck.Interactive] > 0 || now.Sub(s.lastInteractive) < interactiveWindow,
	}
}

// room returns how many attempts of the class may be added.
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

func (s *server) add(a *attempt) {
	s.attempts = append(s.attempts, a)
	s.byClass[a.hold.info.Class]++
}

func (s *server) remove(a *attempt) bool {
	i := slices.Index(s.attempts, a)
	if i < 0 {
		return false
	}
	s.attempts = slices.Delete(s.attempts, i, i+1)
	s.byClass[a.hold.info.Class]--
	return true
}

func (s *server) recordFailure(now time.Time) {
	s.downUntil = now.Add(min(maxBackoff, minBackoff<<min(s.failures, 5)))
	s.failures++
}

func (s *server) recordSuccess() {
	s.failures = 0
	s.downUntil = time.Time{}
}

var _ health.Beside = (*server)(nil)

// EachDigest implements health.Beside.EachDigest.
func (s *server) EachDigest(f func(digest string) bool) {
	for _, a := range s.attempts {
		if !f(a.hold.info.Digest) {
			return
		}
	}
}
