package join

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	reconcileInterval = 200 * time.Millisecond

	// unresponsiveAfter is when a voter that does not answer may be replaced; a leader change takes longer than one heartbeat,
	// and the whole replacement has to end within a few seconds.
	unresponsiveAfter = 1500 * time.Millisecond

	// removeLearnerAfter is when a learner that does not answer is forgotten; it joins again when it comes back.
	removeLearnerAfter = 10 * time.Second

	changeTimeout = 2 * time.Second // of one membership change
)

// A Change is one membership change.
type Change int

// The steps; the zero value changes nothing.
const (
	NoChange Change = iota
	Promote
	Remove
)

// NextChange returns the next change that brings the voters to the wanted number of live replicas. The leader itself is not
// among the replicas and counts as one live voter; nobody counts as silent for the time before it led.
func NextChange(now, since time.Time, wanted int, replicas []deck.ReplicaHealth) (Change, deck.ReplicaID) {
	voters := 1
	var silent, ready, forgotten []deck.ReplicaHealth
	for _, r := range replicas {
		heard := r.Heard
		if heard.Before(since) {
			heard = since
		}
		quiet := now.Sub(heard)
		switch {
		case r.Voter:
			voters++
			if quiet > unresponsiveAfter {
				silent = append(silent, r)
			}
		case r.CaughtUp && quiet < unresponsiveAfter:
			ready = append(ready, r)
		case quiet > removeLearnerAfter && !r.Heard.IsZero(): // a learner that was just added has not answered yet
			forgotten = append(forgotten, r)
		}
	}
	slices.SortStableFunc(silent, func(a, b deck.ReplicaHealth) int { return a.Heard.Compare(b.Heard) })
	switch {
	case voters > wanted && len(silent) > 0:
		return Remove, silent[0].ID
	case voters > wanted:
		return Remove, newestVoter(replicas)
	case len(ready) > 0 && (voters < wanted || len(silent) > 0):
		return Promote, ready[0].ID
	case len(forgotten) > 0:
		return Remove, forgotten[0].ID
	default:
		return NoChange, deck.ReplicaID{}
	}
}

// newestVoter returns the voter that was promoted last.
func newestVoter(replicas []deck.ReplicaHealth) deck.ReplicaID {
	var id deck.ReplicaID
	for _, r := range replicas {
		if r.Voter {
			id = r.ID
		}
	}
	return id
}

// A Steward changes the membership while its replica leads.
type Steward struct {
	Set    deck.ReplicaSet
	Watch  deck.ReplicaWatch
	Clock  deck.Clock
	Wanted int // voters: twice the losses to bear, and one
	Log    logr.Logger

	done         chan struct{}
	ledTerm      uint64    // the last term that the replica led
	leadingSince time.Time // when that was first seen
}

// NewSteward returns a steward that is ready to run.
func NewSteward(s Steward) *Steward {
	s.done = make(chan struct{})
	return &s
}

// Done returns a channel that is closed when Run has returned.
func (s *Steward) Done() <-chan struct{} {
	return s.done
}

// Run works until ctx ends.
func (s *Steward) Run(ctx context.Context) error {
	defer close(s.done)
	deck.Every(ctx, reconcileInterval, s.reconcile)
	return nil
}

func (s *Steward) reconcile(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	health, err := s.Watch.Health(ctx)
	if err != nil {
		return // not the leader
	}
	now := s.Clock.Now()
	if term, ok := s.Watch.Leads(now, changeTimeout); ok && term != s.ledTerm {
		s.ledTerm, s.leadingSince = term, now
	}
	step, id := NextChange(now, s.leadingSince, s.Wanted, health)
	switch step {
	case NoChange:
		return
	case Promote:
		err = s.Set.Promote(ctx, id)
		s.Log.Info("learner promoted to voter", "replica", id.String(), "error", deck.ErrorText(err))
	case Remove:
		err = s.Set.Remove(ctx, id)
		s.Log.Info("replica removed", "replica", id.String(), "error", deck.ErrorText(err))
	}
}

// Join makes a replica that asks for it a learner, at the leader; an earlier life of the same VM is removed first.
func Join(ctx context.Context, set deck.ReplicaSet, status deck.LogStatus, id deck.ReplicaID) error {
	m := deck.Membership{Voters: status.Voters, Learners: status.Learners}
	if m.IsVoter(id) || m.IsLearner(id) {
		return nil
	}
	for _, old := range m.Members() {
		if old.VM != id.VM {
			continue
		}
		if err := set.Remove(ctx, old); err != nil {
			return errors.Wrap(err, "remove the earlier replica of the VM")
		}
	}
	return set.AddLearner(ctx, id)
}
