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

	// unresponsiveAfter is how long a voter does not answer before it may be replaced. It is about four heartbeats
	// (replica.HeartbeatInterval), as the whole replacement has to end within 4 s.
	unresponsiveAfter = 1500 * time.Millisecond

	// removeLearnerAfter is how long a learner does not answer before it is removed; it joins again when it comes back.
	removeLearnerAfter = 10 * time.Second

	changeTimeout = 2 * time.Second // for one membership change; also the maximum age of the check that the replica leads
)

// A Change is a kind of membership change.
type Change int

// The membership changes.
const (
	NoChange Change = iota
	Promote
	Remove
)

// NextChange returns the next change towards the wanted number of responsive voters, and the replica to change. The leader
// itself is not among the replicas and counts as a responsive voter. The time before leadingSince, when it became the
// leader, does not count as time without answers.
func NextChange(now, leadingSince time.Time, wanted int, replicas []deck.ReplicaHealth) (Change, deck.ReplicaID) {
	voters := 1
	var unresponsive, promotable, removable []deck.ReplicaHealth
	for _, r := range replicas {
		lastContact := r.LastContact
		if lastContact.Before(leadingSince) {
			lastContact = leadingSince
		}
		silence := now.Sub(lastContact)
		switch {
		case r.Voter:
			voters++
			if silence > unresponsiveAfter {
				unresponsive = append(unresponsive, r)
			}
		case r.CaughtUp && silence < unresponsiveAfter:
			promotable = append(promotable, r)
		case silence > removeLearnerAfter && !r.LastContact.IsZero(): // a learner that was just added has not answered yet
			removable = append(removable, r)
		}
	}
	slices.SortStableFunc(unresponsive, func(a, b deck.ReplicaHealth) int { return a.LastContact.Compare(b.LastContact) })
	switch {
	case voters > wanted && len(unresponsive) > 0:
		return Remove, unresponsive[0].ID
	case voters > wanted:
		return Remove, newestVoter(replicas)
	case len(promotable) > 0 && (voters < wanted || len(unresponsive) > 0):
		return Promote, promotable[0].ID
	case len(removable) > 0:
		return Remove, removable[0].ID
	default:
		return NoChange, deck.ReplicaID{}
	}
}

// newestVoter returns the voter that was promoted last, which is the last voter of the list.
func newestVoter(replicas []deck.ReplicaHealth) deck.ReplicaID {
	var id deck.ReplicaID
	for _, r := range replicas {
		if r.Voter {
			id = r.ID
		}
	}
	return id
}

// A MembershipController keeps the wanted number of voters while its replica leads: it promotes learners and removes replicas
// that no longer answer.
type MembershipController struct {
	Membership   deck.MembershipChanger
	Monitor      deck.ReplicaMonitor
	Clock        deck.Clock
	WantedVoters int // number of voters: 2f+1 to tolerate the loss of f
	Log          logr.Logger

	done         chan struct{}
	term         uint64    // last term that the replica led
	leadingSince time.Time // when the replica was first seen to lead that term
}

// NewMembershipController returns a controller that is ready to run.
func NewMembershipController(c MembershipController) *MembershipController {
	c.done = make(chan struct{})
	return &c
}

// Done returns a channel that is closed when Run has returned.
func (c *MembershipController) Done() <-chan struct{} {
	return c.done
}

// Run reconciles the membership until ctx ends.
func (c *MembershipController) Run(ctx context.Context) error {
	defer close(c.done)
	deck.Every(ctx, reconcileInterval, c.reconcile)
	return nil
}

// reconcile makes the next membership change, if one is needed and the replica leads.
func (c *MembershipController) reconcile(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	health, err := c.Monitor.Health(ctx)
	if err != nil {
		return // not the leader
	}
	now := c.Clock.Now()
	if term, ok := c.Monitor.LeaderTerm(now, changeTimeout); ok && term != c.term {
		c.term, c.leadingSince = term, now
	}
	change, id := NextChange(now, c.leadingSince, c.WantedVoters, health)
	switch change {
	case NoChange:
		return
	case Promote:
		err = c.Membership.Promote(ctx, id)
		c.Log.Info("tried to promote a learner to voter", "replica", id.String(), "error", deck.ErrorText(err))
	case Remove:
		err = c.Membership.Remove(ctx, id)
		c.Log.Info("tried to remove a replica", "replica", id.String(), "error", deck.ErrorText(err))
	}
}

// Join adds a replica as a learner; the caller must lead. An earlier replica of the same VM is removed first. It does
// nothing if the replica is a member already.
func Join(ctx context.Context, membership deck.MembershipChanger, status deck.LogStatus, id deck.ReplicaID) error {
	m := deck.Membership{Voters: status.Voters, Learners: status.Learners}
	if m.IsVoter(id) || m.IsLearner(id) {
		return nil
	}
	for _, old := range m.Members() {
		if old.VM != id.VM {
			continue
		}
		if err := membership.Remove(ctx, old); err != nil {
			return errors.Wrap(err, "remove the earlier replica of the joining VM")
		}
	}
	return membership.AddLearner(ctx, id)
}
