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

// TestFuzzCore guards the safety rules of section 4 against every mix of faults that the actions below can produce.
func TestFuzzCore(t *testing.T) {
	decktest.Check(t, func(t *rapid.T) {
		f := &fuzz{t: t, sim: newSim(t.Fatalf, fuzzVMs, 3)}
		actions := f.actions()
		for range fuzzSteps {
			actions[f.draw(len(actions))]()
		}
		f.finish()
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

func (f *fuzz) pick() *simReplica {
	return f.replicas[f.draw(len(f.replicas))]
}

// actions returns the possible steps; frequent ones appear repeatedly.
func (f *fuzz) actions() []func() {
	return []func(){
		f.quiet, f.quiet, f.quiet, f.quiet, f.quiet, f.quiet, f.proposeAnywhere, f.proposeAtLeader, f.proposeAtLeader,
		f.proposeAtLeader, f.scramble, f.scramble, f.scramble, f.drop, f.repeat, f.tickOne, f.tickOne, f.kill,
		f.restart, f.restart, f.restart, f.restart, f.cutLink, f.isolateOne, f.mend, f.mend, f.mend, f.freeze, f.thaw,
		f.thaw, f.thaw, f.loseDisk, f.changeMembers, f.changeMembers, f.changeMembers, f.repairOne, f.barrierAnywhere, f.handOver,
		f.inputsWithoutSettling, f.inputsWithoutSettling, f.stopClock, f.mendClock, f.mendClock, f.forceElection,
		f.forceElection,
	}
}

func (f *fuzz) quiet() { f.calm(1 + f.draw(25)) }

func (f *fuzz) command() string {
	f.n++
	return strconv.Itoa(f.n)
}

func (f *fuzz) proposeAt(r *simReplica) {
	if r == nil || r.core == nil || r.frozen {
		return
	}
	_ = f.propose(r, f.command())
	f.settle(r, f.point())
}

// point returns where the replica is killed, mostly nowhere.
func (f *fuzz) point() crashPoint {
	return crashPoint(max(0, f.draw(40)-35))
}

func (f *fuzz) proposeAnywhere() { f.proposeAt(f.pick()) }
func (f *fuzz) proposeAtLeader() { f.proposeAt(f.leader()) }

// scramble delivers some messages out of order.
func (f *fuzz) scramble() {
	for n := f.draw(12); n > 0 && len(f.network) > 0; n-- {
		f.deliver(f.draw(len(f.network)))
	}
}

func (f *fuzz) drop() {
	if len(f.network) > 0 {
		i := f.draw(len(f.network))
		f.network = slices.Delete(f.network, i, i+1)
	}
}

func (f *fuzz) repeat() {
	if len(f.network) > 0 {
		f.network = append(f.network, f.network[f.draw(len(f.network))])
	}
}

// tickOne lets one replica alone see that time has passed.
func (f *fuzz) tickOne() {
	f.now = f.now.Add(time.Duration(f.draw(1500)) * time.Millisecond)
	if r := f.pick(); r.core != nil && !r.frozen {
		r.core.Tick(f.clock(r))
		f.settle(r, f.point())
	}
}

// kill stops a replica while it handles a message, if there is one for it.
func (f *fuzz) kill() {
	if len(f.network) == 0 {
		return
	}
	m := f.network[f.draw(len(f.network))]
	r := f.vm(m.To.VM)
	if r.core == nil || r.frozen || f.cut[link{m.From.VM, m.To.VM}] {
		return
	}
	r.core.Step(f.clock(r), *m)
	f.settle(r, crashPoint(f.draw(int(beforeApply)+1)))
}

func (f *fuzz) restart() {
	if r := f.pick(); r.core == nil {
		f.start(r)
	}
}

func (f *fuzz) cutLink() { f.cut[link{f.pick().id.VM, f.pick().id.VM}] = true }

func (f *fuzz) isolateOne() { f.isolate(f.pick().id.VM) }

func (f *fuzz) mend() { clear(f.cut) }
func (f *fuzz) thaw() { f.pick().frozen = false }

// stopClock lets a replica believe that no time passes, so that it may lead without noticing that another does.
func (f *fuzz) stopClock() {
	if r := f.pick(); r.core != nil && r.stopped.IsZero() {
		r.stopped = f.now
	}
}

func (f *fuzz) mendClock() { f.pick().stopped = time.Time{} }

// forceElection lets a voter campaign at once; safety must not depend on who campaigns when.
func (f *fuzz) forceElection() {
	if r := f.pick(); r.core != nil && !r.frozen && r.core.formed() && r.core.mayLead() {
		r.core.elect(true)
		f.settle(r, f.point())
	}
}

func (f *fuzz) freeze() {
	r := f.pick()
	r.frozen = r.core != nil
}

// loseDisk replaces a replica's disk, unless too few replicas would remain for any majority.
func (f *fuzz) loseDisk() {
	r := f.pick()
	if f.draw(3) > 0 || !f.majorityWithout(r.id) {
		return
	}
	f.crash(r)
	f.newDisk(r)
	f.start(r)
}

// majorityWithout reports whether every stored membership keeps a majority of unharmed disks without the replica.
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
	c.loadMembership()
	return c.membership()
}

// changeMembers asks any replica for a membership change; only leaders can do it.
func (f *fuzz) changeMembers() {
	r, id := f.pick(), f.pick().id
	if l := f.leader(); l != nil && f.draw(3) > 0 {
		r = l
	}
	if r.core == nil || r.frozen {
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
	f.settle(r, f.point())
}

// repairOne does the next step of the repair of a replica that lost its disk.
func (f *fuzz) repairOne() {
	l := f.leader()
	if l == nil || l.frozen {
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
	f.settle(l, f.point())
}

func (f *fuzz) barrierAnywhere() {
	if r := f.pick(); r.core != nil && !r.frozen {
		f.barrier(r)
		f.settle(r, noCrash)
	}
}

func (f *fuzz) handOver() {
	if l := f.leader(); l != nil && !l.frozen {
		l.core.Transfer(f.clock(l))
		f.settle(l, noCrash)
	}
}

// inputsWithoutSettling gives a replica several inputs before one save, as group commit does.
func (f *fuzz) inputsWithoutSettling() {
	r := f.pick()
	if r.core == nil || r.frozen {
		return
	}
	for range f.draw(5) {
		_ = f.propose(r, f.command())
	}
	for i := 0; i < len(f.network); i++ {
		if m := f.network[i]; m.To.VM == r.id.VM && !f.cut[link{m.From.VM, m.To.VM}] && f.draw(2) == 0 {
			f.network = slices.Delete(f.network, i, i+1)
			i--
			r.core.Step(f.clock(r), *m)
		}
	}
	f.settle(r, f.point())
}

// finish repairs everything and checks that the log still works and nothing acknowledged is lost.
func (f *fuzz) finish() {
	f.heal()
	if !f.majorityWithout(deck.ReplicaID{}) {
		return
	}
	f.commit(f.command())
	f.checkVoters()
}
