package replica

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// runLifecycle runs a log through all its operations: bootstrap, commits, snapshots, a learner that needs a snapshot in
// chunks, its promotion, a barrier at a follower, a leadership transfer and a repair.
func runLifecycle(s *sim) {
	s.config.Founders = []deck.VMName{"a", "b", "c"}
	s.startAll()
	s.runSteps(20)
	s.startAll()
	for i := range 20 {
		s.commit("before " + strconv.Itoa(i))
	}
	s.repair(deck.ReplicaID{}, s.vm("d").id)
	s.runUntil("a barrier at a follower", func() bool { return s.barrierSucceeds(s.vm("d")) })
	l := s.awaitLeader()
	l.core.TransferLeadership(s.now)
	s.processEffects(l, noCrash)
	s.commit("after transfer")
	old := s.vm("b").id
	s.crash(s.vm("b"))
	s.newDisk(s.vm("b"))
	s.start(s.vm("b"))
	s.repair(old, s.vm("b").id)
	s.commit("after repair")
	s.messageFault, s.crashAt = nil, nil
	s.heal()
	s.commit("last")
	s.checkVoters()
}

// barrierSucceeds starts a barrier at intervals and reports whether one has succeeded.
func (s *sim) barrierSucceeds(r *simReplica) bool {
	if r.core == nil {
		return false
	}
	if len(r.barriers) == 0 || s.now.UnixMilli()%1000 == 0 {
		s.startBarrier(r)
		s.processEffects(r, noCrash)
	}
	for _, b := range r.barrierResults {
		if b.Err == nil {
			return true
		}
	}
	return false
}

// TestFaultsOfEachMessageKind guards against a log that depends on the delivery, order or uniqueness of one kind of
// message: it loses, repeats or reorders the messages of each kind.
func TestFaultsOfEachMessageKind(t *testing.T) {
	for kind := deck.MessageHello; kind <= deck.MessageTransfer; kind++ {
		for name, fault := range messageFaults() {
			t.Run(fmt.Sprintf("%d/%s", kind, name), func(t *testing.T) {
				s := newEmptySim(t.Fatalf, 4)
				seen := 0
				s.messageFault = func(m deck.ReplicaMessage) []deck.ReplicaMessage {
					if m.Kind != kind {
						return []deck.ReplicaMessage{m}
					}
					seen++
					return fault(seen, m)
				}
				runLifecycle(s)
				is.New(t).True(seen > 0) // the run sends this kind of message
			})
		}
	}
}

// messageFaults returns functions that return the messages to deliver in place of the n-th message of a kind.
func messageFaults() map[string]func(n int, m deck.ReplicaMessage) []deck.ReplicaMessage {
	var held []deck.ReplicaMessage
	var random *rand.Rand
	return map[string]func(n int, m deck.ReplicaMessage) []deck.ReplicaMessage{
		"first three lost": func(n int, m deck.ReplicaMessage) []deck.ReplicaMessage {
			if n <= 3 {
				return nil
			}
			return []deck.ReplicaMessage{m}
		},
		"half lost": func(n int, m deck.ReplicaMessage) []deck.ReplicaMessage {
			if n == 1 {
				random = rand.New(rand.NewPCG(1, uint64(m.Kind)))
			}
			if random.IntN(2) == 0 { // losing every second message would always hit the same replica
				return nil
			}
			return []deck.ReplicaMessage{m}
		},
		"repeated": func(_ int, m deck.ReplicaMessage) []deck.ReplicaMessage {
			return []deck.ReplicaMessage{m, m, m}
		},
		"late and out of order": func(n int, m deck.ReplicaMessage) []deck.ReplicaMessage {
			if n == 1 {
				held = nil
			}
			held = append([]deck.ReplicaMessage{m}, held...)
			if len(held) < 3 {
				return nil
			}
			out := held
			held = nil
			return out
		},
	}
}

// TestCrashAtEverySave guards against a state between write, sync, response and apply from which a replica can't continue:
// it crashes replicas at each of these points of each save.
func TestCrashAtEverySave(t *testing.T) {
	for at := beforeSave; at <= beforeApply; at++ {
		for save := 1; save <= 120; save++ {
			s := newEmptySim(t.Fatalf, 4)
			if s.useFiles = save%8 == 0; s.useFiles {
				for _, r := range s.replicas {
					s.newDisk(r)
				}
			}
			s.crashAt = func(_ *simReplica, n int) crashPoint {
				if n%120 == save-1 {
					return at
				}
				return noCrash
			}
			down := 0
			s.beforeStep = func() {
				if down++; down%20 == 0 { // a replica is down for at most one second
					s.startAll()
				}
			}
			runLifecycle(s)
		}
	}
}

// TestPausedLeaderStepsDown guards against a leader that accepts proposals or barriers after a pause longer than the
// election timeout, during which another replica became the leader.
func TestPausedLeaderStepsDown(t *testing.T) {
	is := is.New(t)
	s := newSim(t.Fatalf, 3, 3)
	s.commit("1")
	old := s.awaitLeader()
	old.paused = true
	s.runUntil("another leader", func() bool { l := s.leader(); return l != old && l.core.hasCommittedInTerm() })
	s.commit("2")
	old.paused = false
	is.Equal(s.propose(old, "stale"), deck.NotLeaderError{}) // the first call after the pause ends the leadership
	s.startBarrier(old)
	s.processEffects(old, noCrash)
	is.True(old.barrierResults[len(old.barrierResults)-1].Err != nil)
	s.commit("3")
}

// TestOneWayPartition guards against a leader that keeps leading although a majority no longer receives its messages, or
// it no longer receives theirs.
func TestOneWayPartition(t *testing.T) {
	for _, outgoing := range []bool{true, false} {
		s := newSim(t.Fatalf, 3, 3)
		s.commit("1")
		old := s.awaitLeader()
		for _, r := range s.replicas {
			l := link{from: r.id.VM, to: old.id.VM}
			if outgoing {
				l = link{from: old.id.VM, to: r.id.VM}
			}
			s.cutLinks[l] = true
		}
		cutAt := s.now
		s.runUntil("the old leader stops", func() bool { return old.core.state != leader })
		if d := s.now.Sub(cutAt); d > LeadershipTimeout+50*time.Millisecond {
			t.Fatalf("leader stopped after %s", d)
		}
		if outgoing { // the replicas that receive nothing from the leader elect another one
			s.commit("2")
		}
		s.heal()
		s.commit("3")
	}
}

// TestSecondFailureAfterRepair guards against a repair that is reported as done before the replica holds every committed
// entry: the loss of another replica would then lose entries.
func TestSecondFailureAfterRepair(t *testing.T) {
	is := is.New(t)
	s := newSim(t.Fatalf, 3, 3)
	for i := range 30 {
		s.commit(strconv.Itoa(i))
	}
	lost := s.replicas[2]
	if s.awaitLeader() == lost {
		lost = s.replicas[1]
	}
	old := lost.id
	s.crash(lost)
	s.newDisk(lost)
	s.start(lost)
	s.repair(old, lost.id)
	status, err := s.awaitLeader().core.RepairStatus(lost.id)
	is.NoErr(err)
	is.Equal(status.Phase, deck.RepairDone)
	s.crash(s.awaitLeader())
	s.commit("after the second failure")
	s.checkVoters()
}
