package feed

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/test/decktest"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/ticket"
)

// A simClock is the clock of one VM, with its own offset and rate.
type simClock struct {
	s      *feedSim
	offset time.Duration
	rate   float64
}

var simEpoch = time.Unix(1_000_000, 0)

func (c simClock) Now() time.Time {
	return simEpoch.Add(c.offset + time.Duration(float64(c.s.now)*c.rate))
}

// trueTime returns the true time at which the clock shows t.
func (c simClock) trueTime(t time.Time) time.Duration {
	return time.Duration(float64(t.Sub(simEpoch)-c.offset) / c.rate)
}

// A memorySaver keeps the saved state across restarts of a VM.
type memorySaver struct {
	saved    deck.State
	hasState bool
}

func (m *memorySaver) Save(s deck.State) error {
	m.saved, m.hasState = s, true
	return nil
}

type feedVM struct {
	name        deck.VMName
	clock       simClock
	disk        *memorySaver // nil without a data folder
	store       *Store
	incarnation int
	applied     int // log entries applied, on a control replica
	control     bool
	minVersion  uint64 // version below which the state must not fall in this incarnation
	maxVersion  uint64 // highest version in any incarnation
}

// An inFlightResponse is a response that has not reached the polling VM yet.
type inFlightResponse struct {
	to, incarnation int
	sent            time.Time
	response        Response
}

type commit struct {
	at    time.Duration
	state deck.State
	delta Delta
}

type feedSim struct {
	now      time.Duration
	vms      []*feedVM // two control replicas, then relays and others
	log      []commit
	inFlight []inFlightResponse

	maxDeltas int // at 1, responses often carry the whole state
}

func newFeedSim(t *rapid.T) *feedSim {
	s := &feedSim{maxDeltas: rapid.SampledFrom([]int{1, maxDeltas}).Draw(t, "deltas")}
	for i := range 5 {
		v := &feedVM{
			name: deck.VMName(fmt.Sprint("vm", i)), control: i < 2,
			clock: simClock{s, time.Duration(i) * time.Hour, 1 + rapid.Float64Range(-0.0048, 0.0048).Draw(t, "rate")},
		}
		if i%2 == 1 {
			v.disk = &memorySaver{}
		}
		s.vms = append(s.vms, v)
		s.restart(i)
	}
	return s
}

// restart starts a new process on a VM, which has only what is on its disk.
func (s *feedSim) restart(i int) {
	v := s.vms[i]
	v.incarnation++
	v.applied, v.minVersion = 0, 0
	if v.disk == nil {
		v.store = NewStore(v.name, v.clock, nil, deck.State{}, false)
	} else {
		v.minVersion = v.maxVersion
		v.store = NewStore(v.name, v.clock, v.disk, v.disk.saved, v.disk.hasState)
	}
	v.store.maxDeltas = s.maxDeltas
}

// commit commits the next ticket; version numbers have gaps, as there are other commands between tickets.
func (s *feedSim) commit() {
	previous := deck.State{}
	if len(s.log) > 0 {
		previous = s.log[len(s.log)-1].state
	}
	n := uint64(len(s.log) + 1)
	x := deck.Ticket{Number: n, Models: []deck.Model{decktest.NewModel(fmt.Sprint("m", n%3), deck.Bytes(n))}}
	next := previous.WithTicket(x, 3*n)
	s.log = append(s.log, commit{s.now, next, Delta{previous.Version(), 3 * n, x}})
}

// apply applies part of the log on a control replica, and proves its state if it has applied the whole log.
func (s *feedSim) apply(t *rapid.T, v *feedVM) {
	upTo := rapid.IntRange(v.applied, len(s.log)).Draw(t, "applied")
	for ; v.applied < upTo; v.applied++ {
		c := s.log[v.applied]
		StoreUpdater{Store: v.store}.OnTicketAccepted(c.delta.Previous, c.delta.Ticket, c.state)
	}
	if v.applied == len(s.log) {
		v.store.RecordProof(v.clock.Now(), 0)
	}
}

// poll sends a poll and computes the source's response, which arrives later, twice or never.
func (s *feedSim) poll(t *rapid.T, i int) {
	v, source := s.vms[i], s.vms[rapid.IntRange(0, len(s.vms)-1).Draw(t, "source")]
	if source == v {
		return
	}
	sent := v.clock.Now()
	r := Request{VM: v.name, After: v.store.State().Version(), Confirmed: v.store.Confirmations()}
	s.now += time.Duration(rapid.IntRange(0, 300).Draw(t, "path ms")) * time.Millisecond
	start := source.clock.Now()
	source.store.recordConfirmations(start, r)
	s.now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "held ms")) * time.Millisecond
	if rapid.IntRange(0, 2).Draw(t, "commits") == 0 {
		s.commit()
	}
	resp, _ := source.store.response(start, r)
	for range rapid.IntRange(0, 2).Draw(t, "copies") {
		s.inFlight = append(s.inFlight, inFlightResponse{i, v.incarnation, sent, resp})
	}
}

func (s *feedSim) deliver(t *rapid.T) {
	if len(s.inFlight) == 0 {
		return
	}
	k := rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "flight")
	f := s.inFlight[k]
	s.inFlight = append(s.inFlight[:k:k], s.inFlight[k+1:]...)
	if v := s.vms[f.to]; v.incarnation == f.incarnation {
		v.store.ApplyResponse(f.sent, f.response)
	}
}

// check compares the state of every VM with the log.
func (s *feedSim) check(t *rapid.T) {
	for _, v := range s.vms {
		state := v.store.State()
		if state.Version() < v.minVersion {
			t.Fatalf("%s reverted from version %d to version %d", v.name, v.minVersion, state.Version())
		}
		v.minVersion, v.maxVersion = state.Version(), max(v.maxVersion, state.Version())
		if n := state.Version() / 3; n > 0 {
			if want := s.log[n-1].state; string(ticket.EncodeState(state)) != string(ticket.EncodeState(want)) {
				t.Fatalf("%s has a wrong state at version %d", v.name, state.Version())
			}
		}
		s.checkProof(t, v)
	}
	s.checkConfirmations(t)
}

// checkProof fails if a ticket that was committed before the time of the proof is not in force.
func (s *feedSim) checkProof(t *rapid.T, v *feedVM) {
	age, ok := v.store.ProofAge()
	if !ok {
		return
	}
	proven := v.clock.trueTime(v.clock.Now().Add(-age))
	for _, c := range s.log {
		if c.at < proven-time.Microsecond && v.store.State().Version() < c.state.Version() {
			t.Fatalf("%s has a proof of %s but lacks version %d of %s", v.name, proven, c.state.Version(), c.at)
		}
	}
}

func (s *feedSim) checkConfirmations(t *rapid.T) {
	for _, v := range s.vms {
		for _, o := range s.vms {
			propagation := v.store.Propagation([]deck.VMName{o.name}, o.maxVersion+1)
			if len(propagation.Confirmed) > 0 {
				t.Fatalf("%s reports that %s confirmed version %d", v.name, o.name, o.maxVersion+1)
			}
		}
	}
}

// Guards against a state that reverts or differs from the log, a proof that is later than the state justifies, and a
// confirmation of a version that was never in force. Polls, delays, restarts and clock rates are random.
func TestFuzzFeed(t *testing.T) {
	decktest.Check(t, func(t *rapid.T) {
		s := newFeedSim(t)
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			who := rapid.IntRange(0, len(s.vms)-1).Draw(t, "vm")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				s.now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
				s.commit()
			case 2, 3:
				s.apply(t, s.vms[who%2])
			case 4, 5, 6:
				s.poll(t, who)
			case 7, 8:
				s.deliver(t)
			case 9:
				if rapid.Bool().Draw(t, "restart") {
					s.restart(who)
				}
			}
			s.check(t)
		}
	})
}
