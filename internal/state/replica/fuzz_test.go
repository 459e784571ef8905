package replica

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
)

const (
	fuzzSteps = 1500 // actions in one check
	fuzzVMs   = 5
)

// TestFuzzCore guards the safety rules that the oracle checks against every mix of faults that the actions can produce.
func TestFuzzCore(t *testing.T) {
	decktest.Check(t, func(t *rapid.T) {
		f := &fuzz{t: t, sim: newSim(t.Fatalf, fuzzVMs, 3)}
		actions := f.actions()
		for range fuzzSteps {
			actions[f.draw(len(actions))]()
		}
		f.checkRecovery()
	})
}

type fuzz struct {
	*sim
	t *rapid.T
	n int
}

// draw returns a number below n.
func (f *fuzz) draw(n int) int {
	return rapid.IntRange(0, n-1).Draw(f.t, "n")
}

func (f *fuzz) pickReplica() *simReplica {
	return f.replicas[f.draw(len(f.replicas))]
}

// actions returns the possible steps; an action that appears more often is drawn more often.
func (f *fuzz) actions() []func() {
	return []func(){
		f.runSomeSteps, f.runSomeSteps, f.runSomeSteps, f.runSomeSteps, f.runSomeSteps, f.runSomeSteps,
		f.proposeAnywhere, f.proposeAtLeader, f.proposeAtLeader, f.proposeAtLeader, f.deliverOutOfOrder,
		f.deliverOutOfOrder, f.deliverOutOfOrder, f.dropMessage, f.duplicateMessage, f.tickOne, f.tickOne,
		f.crashDuringStep, f.restart, f.restart, f.restart, f.restart, f.cutLink, f.isolateOne, f.healLinks,
		f.healLinks, f.healLinks, f.pause, f.resume, f.resume, f.resume, f.loseDisk, f.changeMembers, f.changeMembers,
		f.changeMembers, f.repairOne, f.startBarrierAnywhere, f.transferLeadership, f.batchInputs, f.batchInputs,
		f.stopClock, f.resumeClock, f.resumeClock, f.forceElection, f.forceElection,
	}
}

func (f *fuzz) runSomeSteps() { f.runSteps(1 + f.draw(25)) }

func (f *fuzz) command() string {
	f.n++
	return strconv.Itoa(f.n)
}

func (f *fuzz) proposeAt(r *simReplica) {
	if r == nil || r.core == nil || r.paused {
		return
	}
	_ = f.propose(r, f.command())
	f.processEffects(r, f.randomCrashPoint())
}

// randomCrashPoint returns a point at which to crash the replica, mostly none.
func (f *fuzz) randomCrashPoint() crashPoint {
	return crashPoint(max(0, f.draw(40)-35))
}

func (f *fuzz) proposeAnywhere() { f.proposeAt(f.pickReplica()) }
func (f *fuzz) proposeAtLeader() { f.proposeAt(f.leader()) }

// deliverOutOfOrder delivers some messages out of order.
func (f *fuzz) deliverOutOfOrder() {
	for n := f.draw(12); n > 0 && len(f.network) > 0; n-- {
		f.deliverAt(f.draw(len(f.network)))
	}
}

func (f *fuzz) dropMessage() {
	if len(f.network) > 0 {
		i := f.draw(len(f.network))
		f.network = slices.Delete(f.network, i, i+1)
	}
}

func (f *fuzz) duplicateMessage() {
	if len(f.network) > 0 {
		f.network = append(f.network, f.network[f.draw(len(f.network))])
	}
}

// tickOne advances the time and ticks one replica only.
func (f *fuzz) tickOne() {
	f.now = f.now.Add(time.Duration(f.draw(1500)) * time.Millisecond)
	if r := f.pickReplica(); r.core != nil && !r.paused {
		r.core.Tick(f.clock(r))
		f.processEffects(r, f.randomCrashPoint())
	}
}

// crashDuringStep crashes a replica while it handles a message that is in flight to it, if there is one.
func (f *fuzz) crashDuringStep() {
	if len(f.network) == 0 {
		return
	}
	m := f.network[f.draw(len(f.network))]
	r := f.vm(m.To.VM)
	if r.core == nil || r.paused || f.cutLinks[link{m.From.VM, m.To.VM}] {
		return
	}
	r.core.Step(f.clock(r), *m)
	f.processEffects(r, crashPoint(f.draw(int(beforeApply)+1)))
}

func (f *fuzz) restart() {
	if r := f.pickReplica(); r.core == nil {
		f.start(r)
	}
}

func (f *fuzz) cutLink() { f.cutLinks[link{f.pickReplica().id.VM, f.pickReplica().id.VM}] = true }

func (f *fuzz) isolateOne() { f.isolate(f.pickReplica().id.VM) }

func (f *fuzz) healLinks() { clear(f.cutLinks) }
func (f *fuzz) resume()    { f.pickReplica().paused = false }

// stopClock stops the clock of a replica, so that it may keep leading after another replica became the leader.
func (f *fuzz) stopClock() {
	if r := f.pickReplica(); r.core != nil && r.stoppedClock.IsZero() {
		r.stoppedClock = f.now
	}
}

func (f *fuzz) resumeClock() { f.pickReplica().stoppedClock = time.Time{} }

// forceElection lets a voter campaign at once; safety must not depend on who campaigns when.
func (f *fuzz) forceElection() {
	if r := f.pickReplica(); r.core != nil && !r.paused && r.core.hasLog() && r.core.canCampaign() {
		r.core.startElection(true)
		f.processEffects(r, f.randomCrashPoint())
	}
}

func (f *fuzz) pause() {
	r := f.pickReplica()
	r.paused = r.core != nil
}

// loseDisk replaces a replica's disk, unless too few intact disks would remain for a majority.
func (f *fuzz) loseDisk() {
	r := f.pickReplica()
	if f.draw(3) > 0 || !f.majorityWithout(r.id) {
		return
	}
	f.crash(r)
	f.newDisk(r)
	f.start(r)
}

// majorityWithout reports whether every stored membership keeps a majority of intact disks without the replica.
func (f *fuzz) majorityWithout(lost deck.ReplicaID) bool {
	for _, r := range f.replicas {
		stored, _ := r.disk.Load()
		m := (&Core{log: newEntryLog(stored)}).storedMembership()
		intact := 0
		for _, id := range m.Voters {
			if id != lost && f.vm(id.VM).id == id {
				intact++
			}
		}
		if len(m.Voters) > 0 && intact < m.Majority() {
			return false
		}
	}
	return true
}

func (c *Core) storedMembership() deck.Membership {
	c.loadMemberships()
	return c.membership()
}

// changeMembers requests a membership change at any replica; only leaders accept it.
func (f *fuzz) changeMembers() {
	r, id := f.pickReplica(), f.pickReplica().id
	if l := f.leader(); l != nil && f.draw(3) > 0 {
		r = l
	}
	if r.core == nil || r.paused {
		return
	}
	switch f.draw(4) {
	case 0, 1:
		_, _, _ = r.core.AddLearner(f.clock(r), id)
	case 2:
		_, _, _ = r.core.Promote(f.clock(r), id)
	case 3:
		_, _, _ = r.core.Remove(f.clock(r), id)
	}
	f.processEffects(r, f.randomCrashPoint())
}

// repairOne runs the next step of the repair of a replica that lost its disk.
func (f *fuzz) repairOne() {
	l := f.leader()
	if l == nil || l.paused {
		return
	}
	for _, id := range l.core.membership().Members() {
		if f.vm(id.VM).id != id {
			_, _, _ = l.core.Remove(f.clock(l), id)
		}
	}
	for _, id := range l.core.membership().Learners {
		_, _, _ = l.core.Promote(f.clock(l), id)
	}
	f.processEffects(l, f.randomCrashPoint())
}

func (f *fuzz) startBarrierAnywhere() {
	if r := f.pickReplica(); r.core != nil && !r.paused {
		f.startBarrier(r)
		f.processEffects(r, noCrash)
	}
}

func (f *fuzz) transferLeadership() {
	if l := f.leader(); l != nil && !l.paused {
		l.core.TransferLeadership(f.clock(l))
		f.processEffects(l, noCrash)
	}
}

// batchInputs gives a replica several inputs before one save, as group commit does.
func (f *fuzz) batchInputs() {
	r := f.pickReplica()
	if r.core == nil || r.paused {
		return
	}
	for range f.draw(5) {
		_ = f.propose(r, f.command())
	}
	for i := 0; i < len(f.network); i++ {
		if m := f.network[i]; m.To.VM == r.id.VM && !f.cutLinks[link{m.From.VM, m.To.VM}] && f.draw(2) == 0 {
			f.network = slices.Delete(f.network, i, i+1)
			i--
			r.core.Step(f.clock(r), *m)
		}
	}
	f.processEffects(r, f.randomCrashPoint())
}

// checkRecovery ends all faults and checks that the log still commits and no acknowledged entry is lost.
func (f *fuzz) checkRecovery() {
	f.heal()
	if !f.majorityWithout(deck.ReplicaID{}) {
		return
	}
	f.commit(f.command())
	f.checkVoters()
}
