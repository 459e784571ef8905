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
	joinTimeout  = 1500 * time.Millisecond // of one request; it waits for one or two committed entries

	// leaderTimeout is how long a replica hears no leader before it asks whether it is still a member; an election takes up
	// to about this time.
	leaderTimeout = 3 * time.Second
)

// A Transport asks another VM to let a replica join.
type Transport interface {
	// AskJoin returns the leader that the VM knows, if it does not lead itself.
	AskJoin(ctx context.Context, to deck.VMName, id deck.ReplicaID) (leader deck.VMName, err error)
}

// A Joiner asks for membership as long as its replica is no member.
type Joiner struct {
	Log       deck.Log
	Transport Transport
	Seeds     func() []deck.VMName // VMs that may know the log's leader
	Clock     deck.Clock
	Logger    logr.Logger

	done          chan struct{}
	leaderHeardAt time.Time // when a leader was last known
	leaderHint    deck.VMName
	targetIndex   int
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

// Run works until ctx ends.
func (j *Joiner) Run(ctx context.Context) error {
	defer close(j.done)
	j.leaderHeardAt = j.Clock.Now()
	deck.Every(ctx, joinInterval, func(ctx context.Context) {
		if j.needsToJoin() {
			j.requestJoin(ctx)
		}
	})
	return nil
}

// needsToJoin reports whether the replica is not a member, or may have been removed without hearing of it.
func (j *Joiner) needsToJoin() bool {
	s := j.Log.Status()
	m := deck.Membership{Voters: s.Voters, Learners: s.Learners}
	member := m.IsVoter(s.Self) || m.IsLearner(s.Self)
	now := j.Clock.Now()
	if member && now.Sub(s.Heard) <= leaderTimeout {
		j.leaderHeardAt = now
		return false
	}
	return !member || now.Sub(j.leaderHeardAt) > leaderTimeout
}

// requestJoin asks one VM after the other, and the leader that one of them names first.
func (j *Joiner) requestJoin(ctx context.Context) {
	s := j.Log.Status()
	to, ok := j.nextTarget(s)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	leader, err := j.Transport.AskJoin(ctx, to, s.Self)
	j.leaderHint = leader
	if err != nil {
		j.Logger.Info("request to join was not granted", "asked", string(to), "leader", string(leader), "reason", err.Error())
		return
	}
	j.Logger.Info("joined the replicated log", "asked", string(to), "replica", s.Self.String())
}

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
