package replica

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// TestPartitionedReplicaKeepsTerm guards against a replica that raises its term during a partition and deposes a working
// leader after it.
func TestPartitionedReplicaKeepsTerm(t *testing.T) {
	is := is.New(t)
	s := newSim(t.Fatalf, 3, 3)
	s.commit("1")
	l := s.awaitLeader()
	term := l.core.ballot.Term
	other := s.replicas[0]
	if other == l {
		other = s.replicas[1]
	}
	s.isolate(other.id.VM)
	s.runSteps(400)
	is.Equal(other.core.ballot.Term, term) // no term without a majority of pre-votes
	s.heal()
	s.runSteps(100)
	is.Equal(s.leader(), l)
	is.Equal(l.core.ballot.Term, term)
}

// TestVoteConditions guards against a vote or pre-vote that the conditions for granting it do not allow.
func TestVoteConditions(t *testing.T) {
	stored := deck.StoredLog{
		ID:     deck.ReplicaID{VM: "a", Incarnation: 1},
		Ballot: deck.Ballot{Term: 5},
		Entries: []deck.LogEntry{
			{Index: 1, Term: 1, Kind: deck.EntryMembership, Membership: deck.Membership{Voters: voters()}},
			{Index: 2, Term: 4},
		},
	}
	ask := deck.ReplicaMessage{
		Deployment: "sim", From: voters()[1], To: stored.ID, Kind: deck.MessageVote, Term: 6, Index: 2, LogTerm: 4,
	}
	tests := map[string]struct {
		after  time.Duration // since the start
		modify func(m *deck.ReplicaMessage)
		grant  bool
	}{
		"granted":                          {time.Minute, func(*deck.ReplicaMessage) {}, true},
		"candidate's log shorter":          {time.Minute, func(m *deck.ReplicaMessage) { m.Index = 1; m.LogTerm = 1 }, false},
		"candidate's log longer but older": {time.Minute, func(m *deck.ReplicaMessage) { m.Index = 9; m.LogTerm = 3 }, false},
		"old term":                         {time.Minute, func(m *deck.ReplicaMessage) { m.Term = 4 }, false},
		"to another incarnation":           {time.Minute, func(m *deck.ReplicaMessage) { m.To.Incarnation = 7 }, false},
		"other deployment":                 {time.Minute, func(m *deck.ReplicaMessage) { m.Deployment = "x" }, false},
		"leader may be alive":              {time.Second, func(*deck.ReplicaMessage) {}, false},
		"pre-vote, leader is alive":        {time.Second, func(m *deck.ReplicaMessage) { m.Kind = deck.MessagePreVote }, false},
		"pre-vote":                         {time.Minute, func(m *deck.ReplicaMessage) { m.Kind = deck.MessagePreVote }, true},
		"ordered by the leader":            {time.Second, func(m *deck.ReplicaMessage) { m.Transfer = true }, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m, start := ask, time.Unix(1, 0)
			tt.modify(&m)
			c := New(Config{Deployment: "sim", Stored: stored}, start)
			c.Step(start.Add(tt.after), m)
			is.New(t).Equal(grants(c.TakeEffects()), tt.grant)
		})
	}
}

func voters() []deck.ReplicaID {
	return []deck.ReplicaID{{VM: "a", Incarnation: 1}, {VM: "b", Incarnation: 2}, {VM: "c", Incarnation: 3}}
}

func grants(e Effects) bool {
	return len(e.Send) == 1 && !e.Send[0].Reject
}

// TestVoteSurvivesRestart guards against a replica that votes for a second candidate in the same term after a restart.
func TestVoteSurvivesRestart(t *testing.T) {
	is := is.New(t)
	s := newSim(t.Fatalf, 3, 3)
	a := s.replicas[0]
	ask := deck.ReplicaMessage{
		Deployment: "sim", From: s.replicas[1].id, To: a.id, Kind: deck.MessageVote, Term: 9, Index: 1, LogTerm: 1,
	}
	s.now = s.now.Add(time.Minute)
	a.core.Step(s.now, ask)
	s.processEffects(a, noCrash)
	s.start(a)
	s.network = nil
	s.now = s.now.Add(time.Minute)
	ask.From = s.replicas[2].id
	a.core.Step(s.now, ask)
	is.True(!grants(a.core.TakeEffects()))
}

// TestEarlierTermIsNotCommittedByCount guards against the commit of an entry of an earlier term only because a majority
// holds it: a later leader may still replace it.
func TestEarlierTermIsNotCommittedByCount(t *testing.T) {
	is := is.New(t)
	s := newSim(t.Fatalf, 3, 3)
	a := s.replicas[0]
	_ = a.disk.Save(deck.LogWrite{Entries: []deck.LogEntry{{Index: 2, Term: 1}}})
	s.start(a)
	s.now = s.now.Add(time.Minute)
	a.core.advanceTime(s.now)
	a.core.startElection(false)
	s.processEffects(a, noCrash)
	answer := deck.ReplicaMessage{
		Deployment: "sim", From: s.replicas[1].id, To: a.id, Kind: deck.MessageVoteAnswer, Term: a.core.ballot.Term,
	}
	a.core.Step(s.now, answer)
	s.processEffects(a, noCrash)
	answer.Kind, answer.Index = deck.MessageAppendAnswer, 2
	a.core.Step(s.now, answer)
	is.Equal(a.core.log.commit, uint64(0)) // entry 2 is on a majority, but of an earlier term
	answer.Index = 3
	a.core.Step(s.now, answer)
	is.Equal(a.core.log.commit, uint64(3))
}

// TestLearnersDoNotCountForMajority guards against a commit or a leadership for which learners are counted.
func TestLearnersDoNotCountForMajority(t *testing.T) {
	is := is.New(t)
	s := newSim(t.Fatalf, 5, 3)
	for _, r := range s.replicas[3:] {
		s.changeMembership(func(c *Core) (uint64, uint64, error) { return c.AddLearner(s.now, r.id) })
	}
	s.commit("1")
	l := s.awaitLeader()
	for _, r := range s.replicas[:3] {
		if r != l {
			s.crash(r)
		}
	}
	commit := l.core.log.commit
	is.NoErr(s.propose(l, "2"))
	s.processEffects(l, noCrash)
	s.runSteps(40)
	is.Equal(l.core.log.commit, commit)
	is.True(l.core.state != leader) // responses of learners do not extend the leadership
}

// TestLostDiskDoesNotCountForMajority guards against a replica that lost its disk and still counts as a voter.
func TestLostDiskDoesNotCountForMajority(t *testing.T) {
	is := is.New(t)
	s := newSim(t.Fatalf, 3, 3)
	s.commit("1")
	s.crash(s.replicas[0])
	s.crash(s.replicas[1])
	s.newDisk(s.replicas[1])
	s.start(s.replicas[1])
	s.runSteps(400)
	is.Equal(s.leader(), nil) // one of three is left
	s.start(s.replicas[0])
	s.commit("2")
}

// TestMembershipChangeConditions guards against concurrent membership changes, the promotion of a learner that is behind
// and a second replica of one VM.
func TestMembershipChangeConditions(t *testing.T) {
	is := is.New(t)
	s := newSim(t.Fatalf, 5, 3)
	for i := range 30 {
		s.commit(string(rune('A' + i)))
	}
	l := s.awaitLeader()
	d, e := s.replicas[3].id, s.replicas[4].id
	s.cutLinks[link{l.id.VM, d.VM}] = true
	_, _, err := l.core.AddLearner(s.now, d)
	is.NoErr(err)
	_, _, err = l.core.AddLearner(s.now, e)
	is.Equal(err, deck.ErrMembershipChange) // one at a time
	_, _, err = l.core.Remove(s.now, s.replicas[0].id)
	is.Equal(err, deck.ErrMembershipChange)
	s.processEffects(l, noCrash)
	s.runSteps(5)
	_, _, err = l.core.Promote(s.now, d)
	is.Equal(err, deck.ErrLearnerBehind)
	status, err := l.core.RepairStatus(d)
	is.NoErr(err)
	is.Equal(status.Phase, deck.RepairCatchingUp)
	var refused deck.MembershipError
	_, _, err = l.core.Promote(s.now, e)
	is.True(errors.As(err, &refused)) // not a learner
	_, _, err = l.core.AddLearner(s.now, deck.ReplicaID{VM: "a", Incarnation: 99})
	is.True(errors.As(err, &refused)) // the old identity must be removed first
	s.heal()
	s.changeMembership(func(c *Core) (uint64, uint64, error) { return c.Promote(s.now, d) })
}

// TestNewLeaderRefusesMembershipChange guards against two majorities without a common replica: a leader that has committed
// no entry of its term may not know of a change that its predecessor committed.
func TestNewLeaderRefusesMembershipChange(t *testing.T) {
	is := is.New(t)
	s := newSim(t.Fatalf, 3, 3)
	s.commit("1")
	s.runSteps(10)
	s.crash(s.awaitLeader())
	s.runUntil("a leader", func() bool { return s.leader() != nil })
	l := s.leader()
	is.True(!l.core.hasCommittedInTerm())
	_, _, err := l.core.Remove(s.now, s.replicas[0].id)
	is.Equal(err, deck.ErrMembershipChange)
	s.startBarrier(l)
	s.processEffects(l, noCrash)
	own := l.core.log.last()
	s.runSteps(10)
	is.Equal(len(l.barrierResults), 1)
	is.True(l.barrierResults[0].Index >= own) // a barrier waits for the commit too
}

// TestBarrierNeedsMajority guards against a stale read at a partitioned leader that does not know of its successor.
func TestBarrierNeedsMajority(t *testing.T) {
	is := is.New(t)
	s := newSim(t.Fatalf, 3, 3)
	s.commit("1")
	l := s.awaitLeader()
	s.isolate(l.id.VM)
	s.network = nil
	s.startBarrier(l)
	s.processEffects(l, noCrash)
	is.Equal(len(l.barrierResults), 0)
	s.runSteps(40)
	is.Equal(len(l.barrierResults), 1)
	is.Equal(l.barrierResults[0].Err, deck.NotLeaderError{})
}

// TestLeadershipTransfer guards against a leadership transfer that takes an election timeout.
func TestLeadershipTransfer(t *testing.T) {
	is := is.New(t)
	s := newSim(t.Fatalf, 3, 3)
	s.commit("1")
	old := s.awaitLeader()
	to, ok := old.core.TransferLeadership(s.now)
	is.True(ok)
	is.Equal(s.propose(old, "late"), deck.NotLeaderError{Leader: to})
	s.processEffects(old, noCrash)
	s.runSteps(3)
	is.Equal(s.leader().id, to)
}

// TestLogIsBounded guards against entries or memberships that accumulate although snapshots cover them.
func TestLogIsBounded(t *testing.T) {
	is := is.New(t)
	s := newSim(t.Fatalf, 4, 3)
	for range 10 {
		s.repair(deck.ReplicaID{}, s.replicas[3].id)
		s.commit("x" + s.now.String())
		s.changeMembership(func(c *Core) (uint64, uint64, error) { return c.Remove(s.now, s.replicas[3].id) })
	}
	for _, r := range s.replicas[:3] {
		is.True(len(r.core.log.entries) <= 2*s.config.SnapshotEntries)
		is.True(len(r.core.memberships) <= 2*s.config.SnapshotEntries)
	}
}

// TestFounderWithLostDiskFormsNoSecondLog guards against two logs of one deployment: the coordinating founder restarts with
// an empty disk while the other founders hold a log.
func TestFounderWithLostDiskFormsNoSecondLog(t *testing.T) {
	is := is.New(t)
	s := newEmptySim(t.Fatalf, 3)
	s.config.Founders = []deck.VMName{"a", "b", "c"}
	s.startAll()
	s.commit("1")
	s.crash(s.replicas[0])
	s.newDisk(s.replicas[0])
	s.start(s.replicas[0])
	s.runSteps(200)
	is.True(!s.replicas[0].core.hasLog())
	s.commit("2")
}
