package allowance

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// Errors of a SharedLedger.
var (
	ErrNotLeading = errors.New("this VM does not lead the replicated log")
	ErrOutdated   = errors.New("a later request of the VM has been answered")
)

// updateInterval is the time between two checks whether this VM leads.
const updateInterval = 500 * time.Millisecond

// A SharedLedger grants credit while its VM leads the replicated log. Monitor, Log, Clock and Config are required.
type SharedLedger struct {
	Monitor          deck.ReplicaMonitor
	Log              interface{ Status() deck.LogStatus } // tells who leads
	Clock            deck.Clock
	MaxLeadershipAge time.Duration // maximum age of the last check that this replica leads
	Bounds           Bounds
	Config           func() *deck.RoutingConfig // the routing configuration in force; nil if there is none yet

	mu     sync.Mutex
	term   uint64 // of the ledger
	config *deck.RoutingConfig
	ledger Ledger

	seenTerm  uint64    // last term in which this VM has seen a leader, itself included; 0 for none
	seenSince time.Time // when it saw one in that term first
}

var _ deck.CreditSource = (*SharedLedger)(nil)

// TakeCredit implements deck.CreditSource.TakeCredit.
func (s *SharedLedger) TakeCredit(_ context.Context, r deck.CreditRequest) (deck.CreditAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	if !s.update(now) {
		return deck.CreditAnswer{}, ErrNotLeading
	}
	answer, ok := s.ledger.Take(now, r)
	if !ok {
		return deck.CreditAnswer{}, ErrOutdated
	}
	return answer, nil
}

// Run starts the ledger when its VM begins to lead, although nobody asks for credit yet, and otherwise watches who leads, until ctx ends.
func (s *SharedLedger) Run(ctx context.Context) error {
	deck.Every(ctx, updateInterval, func(context.Context) {
		s.mu.Lock()
		defer s.mu.Unlock()
		now := s.Clock.Now()
		if status := s.Log.Status(); !s.update(now) && !status.Leader.IsZero() {
			s.see(now, status.Term)
		}
	})
	return nil
}

// update replaces the ledger and its customers if the term or the configuration has changed; it returns false if this VM doesn't lead.
// The caller holds the lock.
func (s *SharedLedger) update(now time.Time) bool {
	config := s.Config()
	term, leads := s.Monitor.LeaderTerm(now, s.MaxLeadershipAge)
	if !leads || config == nil || term < s.term {
		return false
	}
	if term != s.term {
		follows := s.seenTerm > 0 && term == s.seenTerm+1 && now.Sub(s.seenSince) >= s.Bounds.settledTime()
		s.term, s.config, s.ledger = term, nil, Ledger{Bounds: s.Bounds, Follows: follows}
		s.see(now, term)
	}
	if config != s.config {
		s.config = config
		s.ledger.SetCustomers(now, config.Customers)
	}
	return true
}

// see records that there is a leader in the given term. A term has one leader, so that there is no other one between two terms that
// follow each other. The caller holds the lock.
func (s *SharedLedger) see(now time.Time, term uint64) {
	if term > s.seenTerm {
		s.seenTerm, s.seenSince = term, now
	}
}
