package join

import (
	"context"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

const (
	joinInterval = 300 * time.Millisecond
	joinTimeout  = 1500 * time.Millisecond // for one request, which waits for one or two entries to be committed

	// leaderTimeout is how long a member may hear from no leader before it counts as cut off. It asks to join after as long
	// again, as it may have been removed. An election takes up to about this time.
	leaderTimeout = 3 * time.Second
)

// A Transport sends join requests to other VMs.
type Transport interface {
	// AskJoin asks a VM to add a replica to the replicated log. If that VM does not lead, it returns an error and the leader
	// that the VM knows; empty if it knows none.
	AskJoin(ctx context.Context, to deck.VMName, id deck.ReplicaID) (leader deck.VMName, err error)
}

// A Joiner asks for membership in the replicated log while its replica is not a member.
type Joiner struct {
	Log       deck.Log
	Transport Transport
	Seeds     func() []deck.VMName // VMs that may know the log's leader
	Clock     deck.Clock
	Logger    logr.Logger

	done              chan struct{}
	lastLeaderContact time.Time   // when the replica was last a member in contact with a leader
	leaderHint        deck.VMName // leader that the last VM named; asked next
	targetIndex       int         // of the last VM that was asked in turn
}

// NewJoiner returns a joiner that is ready to run.
func NewJoiner(j Joiner) *Joiner {
	j.done = make(chan struct{})
	return &j
}

// Done returns a channel that is closed when Run has returned.
func (j *Joiner) Done() <-chan struct{} {
	return j.done
}

// Run checks the membership and asks to join until ctx ends.
func (j *Joiner) Run(ctx context.Context) error {
	defer close(j.done)
	j.lastLeaderContact = j.Clock.Now()
	deck.Every(ctx, joinInterval, func(ctx context.Context) {
		if j.needsToJoin() {
			j.requestJoin(ctx)
		}
	})
	return nil
}

// needsToJoin reports whether the replica is not a member, or may have been removed without learning of it.
func (j *Joiner) needsToJoin() bool {
	s := j.Log.Status()
	m := deck.Membership{Voters: s.Voters, Learners: s.Learners}
	member := m.IsVoter(s.Self) || m.IsLearner(s.Self)
	now := j.Clock.Now()
	if member && now.Sub(s.LastLeaderContact) <= leaderTimeout {
		j.lastLeaderContact = now
		return false
	}
	return !member || now.Sub(j.lastLeaderContact) > leaderTimeout
}

// requestJoin sends a join request to the next VM.
func (j *Joiner) requestJoin(ctx context.Context) {
	s := j.Log.Status()
	to, ok := j.nextTarget(s)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	leaderHint, err := j.Transport.AskJoin(ctx, to, s.Self)
	j.leaderHint = leaderHint
	if err != nil {
		j.Logger.Info("join request failed; retrying", "asked", string(to), "leader", string(leaderHint), "reason", err.Error())
		return
	}
	j.Logger.Info("joined the replicated log", "asked", string(to), "replica", s.Self.String())
}

// nextTarget returns the leader that the last VM named, or else the next VM in turn of the seeds and members; ok is false
// if there is none.
func (j *Joiner) nextTarget(s deck.LogStatus) (deck.VMName, bool) {
	if j.leaderHint != "" && j.leaderHint != s.Self.VM {
		to := j.leaderHint
		j.leaderHint = ""
		return to, true
	}
	targets := slices.Clone(j.Seeds())
	for _, id := range slices.Concat(s.Voters, s.Learners) {
		if !slices.Contains(targets, id.VM) {
			targets = append(targets, id.VM)
		}
	}
	targets = slices.DeleteFunc(targets, func(v deck.VMName) bool { return v == s.Self.VM })
	if len(targets) == 0 {
		return "", false
	}
	j.targetIndex++
	return targets[j.targetIndex%len(targets)], true
}
