package replica

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/disk"
)

// A crashPoint is a point at which a replica crashes while it carries out effects.
type crashPoint int

const (
	noCrash crashPoint = iota
	beforeSave
	afterSave
	duringSend
	beforeApply
)

// maxInFlight bounds the messages on the network.
const maxInFlight = 100

type link struct{ from, to deck.VMName }

// A simReplica is one VM's replica with its disk; core is nil while it is down.
type simReplica struct {
	id             deck.ReplicaID
	disk           deck.Storage
	files          *disk.MemoryFiles // under the disk; nil for a disk in memory
	core           *Core
	state          uint64 // the state machine's state: a hash of the applied commands
	paused         bool
	stoppedClock   time.Time         // time that its clock shows; zero if the clock runs
	proposedTerms  map[uint64]uint64 // terms of the proposals without a result, by index
	barriers       map[uint64]uint64 // lowest entry that each barrier's result must cover, by barrier ID
	barrierResults []BarrierResult
}

// A sim runs replicas in virtual time on a network that loses, duplicates and reorders messages.
type sim struct {
	fail     func(format string, args ...any)
	now      time.Time
	replicas []*simReplica
	network  []*deck.ReplicaMessage // messages in flight, oldest first
	cutLinks map[link]bool
	oracle   oracle
	sequence uint64 // latest number used for an incarnation, a random seed or a barrier ID
	config   Config
	useFiles bool // new disks are stores on files that lose bytes that are not synced

	saves        int                                               // carried out so far
	messageFault func(m deck.ReplicaMessage) []deck.ReplicaMessage // replaces a message in flight; nil for none
	crashAt      func(r *simReplica, save int) crashPoint          // returns the crash point of a save; nil for none

	beforeStep func() // called at each step of runSteps; nil for none
}

// newSim returns running replicas of the VMs a, b, ... of which the first ones are the voters of an existing log.
func newSim(fail func(string, ...any), vms, voters int) *sim {
	s := newEmptySim(fail, vms)
	var m deck.Membership
	for _, r := range s.replicas[:voters] {
		m.Voters = append(m.Voters, r.id)
	}
	for _, r := range s.replicas[:voters] {
		founding := deck.LogEntry{Index: 1, Term: 1, Kind: deck.EntryMembership, Membership: m}
		_ = r.disk.Save(deck.LogWrite{Ballot: &deck.Ballot{Term: 1}, Entries: []deck.LogEntry{founding}})
	}
	s.startAll()
	return s
}

// newEmptySim returns replicas with empty disks that are not started.
func newEmptySim(fail func(string, ...any), vms int) *sim {
	s := &sim{
		fail:     fail,
		now:      time.Unix(1, 0),
		cutLinks: make(map[link]bool),
		oracle:   newOracle(fail),
		config:   Config{Deployment: "sim", SnapshotEntries: 8, ChunkBytes: 5},
	}
	for i := range vms {
		r := &simReplica{id: deck.ReplicaID{VM: deck.VMName(rune('a' + i))}}
		s.replicas = append(s.replicas, r)
		s.newDisk(r)
	}
	return s
}

// startAll starts every replica that is down.
func (s *sim) startAll() {
	for _, r := range s.replicas {
		if r.core == nil {
			s.start(r)
		}
	}
}

// newDisk gives the replica an empty disk and a new incarnation.
func (s *sim) newDisk(r *simReplica) {
	s.sequence++
	r.id.Incarnation = s.sequence
	r.disk = disk.NewMemory(r.id)
	if s.useFiles {
		r.files = &disk.MemoryFiles{}
		s.reopen(r, 0)
	}
}

// reopen opens the replica's files after a crash that left torn bytes of an unfinished write.
func (s *sim) reopen(r *simReplica, torn int) {
	r.files.Crash(torn)
	store, err := disk.Open(disk.Options{
		Files: r.files, Deployment: "sim", VM: r.id.VM, Incarnation: func() uint64 { return r.id.Incarnation },
	})
	if err != nil {
		s.fail("reopen %s: %v", r.id, err)
		return
	}
	r.disk = store
}

func (s *sim) start(r *simReplica) {
	if r.files != nil {
		s.reopen(r, int(s.sequence%64))
	}
	cfg := s.config
	cfg.Stored, _ = r.disk.Load()
	s.sequence++
	cfg.Rand = rand.NewPCG(s.sequence, 1)
	r.core = New(cfg, s.now)
	r.state, r.proposedTerms, r.barriers = 0, make(map[uint64]uint64), make(map[uint64]uint64)
	s.processEffects(r, noCrash)
}

func (s *sim) crash(r *simReplica) {
	r.core = nil
	r.paused = false
	r.stoppedClock = time.Time{}
}

// clock returns the time that the replica reads; safety must not depend on it.
func (s *sim) clock(r *simReplica) time.Time {
	if !r.stoppedClock.IsZero() {
		return r.stoppedClock
	}
	return s.now
}

// processEffects carries out the replica's effects as a node does; it crashes at the given point of the first ones.
func (s *sim) processEffects(r *simReplica, at crashPoint) {
	for r.core != nil {
		e := r.core.TakeEffects()
		if e.IsEmpty() {
			return
		}
		s.performEffects(r, e, at)
	}
}

func (s *sim) performEffects(r *simReplica, e Effects, at crashPoint) {
	s.saves++
	if s.crashAt != nil {
		at = s.crashAt(r, s.saves)
	}
	if at == beforeSave {
		s.crash(r)
		return
	}
	_ = r.disk.Save(e.Save)
	if at == afterSave {
		s.crash(r)
		return
	}
	r.core.MarkSaved(e)
	s.oracle.checkLeader(r)
	if at == duringSend {
		e.Send = e.Send[:len(e.Send)/2]
	}
	s.transmit(e.Send)
	if at == duringSend || at == beforeApply {
		s.crash(r)
		return
	}
	s.apply(r, e)
}

func (s *sim) apply(r *simReplica, e Effects) {
	if e.Restore != nil {
		r.state, _ = strconv.ParseUint(string(e.Restore.Data), 16, 64)
		s.oracle.checkRestored(r, e.Restore.Index)
	}
	for _, entry := range e.Apply {
		r.state = nextState(r.state, entry)
		s.oracle.checkApplied(r, entry)
		if r.proposedTerms[entry.Index] == entry.Term {
			s.oracle.recordAcknowledged(entry)
		}
	}
	s.oracle.checkBarriers(r, e.Barriers)
	r.barrierResults = append(r.barrierResults, e.Barriers...)
	if e.Snapshot {
		r.core.Compact([]byte(fmt.Sprintf("%016x", r.state)))
	}
}

func nextState(state uint64, e deck.LogEntry) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%x %d %d %s", state, e.Index, e.Kind, e.Command)
	return h.Sum64()
}

// transmit puts messages on the network, which drops the oldest ones when it is full.
func (s *sim) transmit(messages []deck.ReplicaMessage) {
	for _, m := range messages {
		sent := []deck.ReplicaMessage{m}
		if s.messageFault != nil {
			sent = s.messageFault(m)
		}
		for i := range sent {
			s.network = append(s.network, &sent[i])
		}
	}
	if n := len(s.network) - maxInFlight; n > 0 {
		s.network = slices.Delete(s.network, 0, n)
	}
}

// deliverAt takes message i from the network and delivers it.
func (s *sim) deliverAt(i int) {
	m := s.network[i]
	s.network = slices.Delete(s.network, i, i+1)
	s.deliver(m)
}

// deliver passes a message to its replica; it is lost if the replica is down or the link is cut.
func (s *sim) deliver(m *deck.ReplicaMessage) {
	r := s.vm(m.To.VM)
	if r.core == nil || s.cutLinks[link{m.From.VM, m.To.VM}] {
		return
	}
	if r.paused {
		s.network = append(s.network, m)
		return
	}
	r.core.Step(s.clock(r), *m)
	s.processEffects(r, noCrash)
}

// runSteps advances the time by steps of 50 ms in which every message arrives in order.
func (s *sim) runSteps(steps int) {
	for range steps {
		s.now = s.now.Add(50 * time.Millisecond)
		if s.beforeStep != nil {
			s.beforeStep()
		}
		for _, r := range s.replicas {
			if r.core != nil && !r.paused {
				r.core.Tick(s.clock(r))
				s.processEffects(r, noCrash)
			}
		}
		arriving := s.network
		s.network = nil
		for _, m := range arriving {
			s.deliver(m)
		}
	}
}

// runUntil advances the time until the condition holds; it fails after a minute.
func (s *sim) runUntil(what string, cond func() bool) {
	for range 1200 {
		if cond() {
			return
		}
		s.runSteps(1)
	}
	s.fail("not reached within a minute: %s\n%s", what, s.describe())
}

// describe returns a line for each replica.
func (s *sim) describe() string {
	var b strings.Builder
	for _, r := range s.replicas {
		if r.core == nil {
			_, _ = fmt.Fprintf(&b, "%s down\n", r.id)
			continue
		}
		st, l := r.core.Status(), r.core.log
		_, _ = fmt.Fprintf(&b, "%s role %d frozen %t log %d..%d of term %d %+v\n",
			r.id, r.core.state, r.paused, l.snapshot.Index, l.last(), l.lastTerm(), st)
	}
	return b.String()
}

// heal ends all partitions, pauses and stopped clocks and starts every replica.
func (s *sim) heal() {
	clear(s.cutLinks)
	for _, r := range s.replicas {
		r.paused, r.stoppedClock = false, time.Time{}
	}
	s.startAll()
}

// isolate cuts the links between a VM and all others.
func (s *sim) isolate(vm deck.VMName) {
	for _, r := range s.replicas {
		s.cutLinks[link{vm, r.id.VM}] = true
		s.cutLinks[link{r.id.VM, vm}] = true
	}
}

// changeMembership requests a membership change from the leader until it is committed.
func (s *sim) changeMembership(op func(c *Core) (index, term uint64, err error)) {
	var index uint64
	s.runUntil("a membership change", func() bool {
		l := s.leader()
		if l == nil {
			return false
		}
		if i, _, err := op(l.core); err == nil {
			index = i
			s.processEffects(l, noCrash)
		}
		return index > 0 && l.core != nil && l.core.log.applied >= index
	})
}

// repair replaces the old identity of a replica by its new one.
func (s *sim) repair(old, id deck.ReplicaID) {
	if !old.IsZero() {
		s.changeMembership(func(c *Core) (uint64, uint64, error) { return c.Remove(s.now, old) })
	}
	s.changeMembership(func(c *Core) (uint64, uint64, error) { return c.AddLearner(s.now, id) })
	s.changeMembership(func(c *Core) (uint64, uint64, error) { return c.Promote(s.now, id) })
}

func (s *sim) vm(name deck.VMName) *simReplica {
	return s.replicas[int(name[0]-'a')]
}

// leader returns the leader of the highest term, nil if there is none.
func (s *sim) leader() *simReplica {
	var l *simReplica
	for _, r := range s.replicas {
		if r.core != nil && r.core.state == leader && (l == nil || r.core.ballot.Term > l.core.ballot.Term) {
			l = r
		}
	}
	return l
}

// awaitLeader advances the time until a leader has committed an entry of its term.
func (s *sim) awaitLeader() *simReplica {
	s.runUntil("a leader", func() bool { l := s.leader(); return l != nil && l.core.hasCommittedInTerm() })
	return s.leader()
}

// propose proposes a command at the replica without carrying out the effects.
func (s *sim) propose(r *simReplica, command string) error {
	index, term, err := r.core.Propose(s.clock(r), []byte(command))
	if err == nil {
		r.proposedTerms[index] = term
	}
	return err
}

// commit proposes the command at the leader and again at each new leader until it is acknowledged.
func (s *sim) commit(command string) {
	var proposedIn uint64
	s.runUntil("commit of "+command, func() bool {
		l := s.leader()
		if l == nil || !l.core.hasCommittedInTerm() {
			return false
		}
		if term := l.core.ballot.Term; term != proposedIn && s.propose(l, command) == nil {
			proposedIn = term
			s.processEffects(l, noCrash)
		}
		return s.oracle.isAcknowledged(command)
	})
}

// checkVoters waits until every running voter has applied all entries and checks that no acknowledged one is missing.
func (s *sim) checkVoters() {
	for _, id := range s.awaitLeader().core.membership().Voters {
		r := s.vm(id.VM)
		if r.id != id || r.core == nil {
			continue
		}
		s.runUntil("all entries at "+id.String(), func() bool { return r.core.log.applied >= s.oracle.last })
		s.oracle.checkFinalState(r)
	}
}

func (s *sim) startBarrier(r *simReplica) {
	s.sequence++
	r.barriers[s.sequence] = s.oracle.last
	if s.sequence%2 == 0 {
		r.core.HeartbeatBarrier(s.clock(r), s.sequence)
		return
	}
	r.core.Barrier(s.clock(r), s.sequence)
}
