package hub

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	staleAfter         = 2 * time.Second // without an answer of a leader for this time, the platform's list is read
	staleCheckInterval = 100 * time.Millisecond

	// A VM that has restarted has no list at all, and after a loss of power there is no leader for some seconds either.
	restartGrace  = 200 * time.Millisecond
	restartSpread = 300 * time.Millisecond // over which the restarted VMs spread their first reads

	minDirectInterval = 1 * time.Second // between two reads of the platform's list by one VM
	maxDirectInterval = time.Minute

	// directReadRate is how many reads per second all entry VMs together start. The platform limits their rate, and the next
	// leader reads the list as well.
	directReadRate = 8.0
)

// RunDirect reads the platform's list of backend servers while no leader answers, until ctx ends. The more entry VMs there are,
// and the longer no leader answers, the longer each of them waits between two reads.
func (s *Subscriber) RunDirect(ctx context.Context) error {
	var next time.Time // zero while a leader answers
	var interval time.Duration
	for ctx.Err() == nil {
		deck.Sleep(ctx, staleCheckInterval)
		now := time.Now()
		stale, entryVMs := s.staleness(now)
		switch {
		case !stale:
			next = time.Time{}
		case next.IsZero():
			interval = directInterval(entryVMs)
			spread := interval
			if s.hasNoList() {
				spread = restartSpread
			}
			next = now.Add(time.Duration(s.phase() * float64(spread)))
		}
		if next.IsZero() || now.Before(next) {
			continue
		}
		s.readDirect(ctx)
		next = now.Add(interval)
		interval = min(2*interval, maxDirectInterval)
	}
	return nil
}

// staleness reports whether no leader has answered for so long that the platform's list is needed, and how many entry VMs there
// were by the last answer.
func (s *Subscriber) staleness(now time.Time) (stale bool, entryVMs int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.lastLeaderContact.IsZero():
		stale = now.Sub(s.lastLeaderContact) > staleAfter
	case s.o.FirstStart:
		stale = now.Sub(s.started) > staleAfter
	default:
		stale = now.Sub(s.started) > restartGrace
	}
	return stale, s.entryVMs
}

// hasNoList reports whether this VM has restarted and has no list of backend servers yet.
func (s *Subscriber) hasNoList() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.o.FirstStart && len(s.servers) == 0
}

// directInterval returns the time between the first two reads of one VM.
func directInterval(entryVMs int) time.Duration {
	all := time.Duration(float64(entryVMs) / directReadRate * float64(time.Second))
	return min(maxDirectInterval, max(minDirectInterval, all))
}

// phase returns a number from 0 to 1 by the name of the VM, which spreads the VMs' first reads.
func (s *Subscriber) phase() float64 {
	const steps = 1 << 10
	return float64(xxhash.Sum64String(string(s.o.Self))%steps) / steps
}

func (s *Subscriber) readDirect(ctx context.Context) {
	s.mu.Lock()
	lastContact := s.lastLeaderContact
	s.mu.Unlock()
	list, err := s.o.List.ListServers(ctx)
	if err != nil {
		s.o.Logger.Info("platform's list of backend servers could not be read", "reason", err.Error())
		return
	}
	s.replaceServers(list, lastContact)
}

// replaceServers replaces the list by the platform's, unless a leader has confirmed its own since lastContact; the next answer of a
// leader replaces it as a whole.
func (s *Subscriber) replaceServers(list []deck.Server, lastContact time.Time) {
	s.mu.Lock()
	if s.lastLeaderContact != lastContact && s.viewVersion != (deck.ViewVersion{}) {
		s.mu.Unlock()
		s.o.Logger.Info("platform's list of backend servers dropped: a leader has answered meanwhile")
		return
	}
	s.viewVersion = deck.ViewVersion{}
	distinct := deck.DistinctServers(time.Now(), list, slices.Collect(maps.Values(s.servers)))
	s.servers = make(map[deck.BackendName]deck.Server, len(distinct))
	for _, server := range distinct {
		s.servers[server.ID] = server
	}
	s.mu.Unlock()
	s.publishServers()
}
