package statemachine

import (
	"sync"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/command"
)

// A FeasibilityCheck returns an error if the models of a state do not fit on its engines. It must be a pure function of the
// state, because every replica runs it and all must get the same result.
type FeasibilityCheck func(deck.State) error

// An Observer is notified of changes in the order in which they are applied.
type Observer interface {
	// OnTicketAccepted is called after a ticket was accepted; s is the new state and previous the version of the state before it.
	OnTicketAccepted(previous uint64, t deck.Ticket, s deck.State)

	// OnRestore is called after a snapshot replaced the state.
	OnRestore(s deck.State)

	// OnPoisonChange is called after a change of the refused digests or of the expiry of one, and after OnRestore; index is
	// the log index of the last change.
	OnPoisonChange(index uint64, refused []RefusedDigest)
}

// A Machine is the state machine of the replicated log. Apply and Restore are called by one goroutine; the other methods
// are safe for concurrent use.
type Machine struct {
	feasible FeasibilityCheck
	observer Observer

	mu      sync.RWMutex
	now     time.Time // latest time of any applied command; a new leader with a slower clock does not set it back
	tickets ticketTable
	calls   callTable
	poison  poisonTable
}

var _ deck.StateMachine = (*Machine)(nil)

// New returns an empty machine; a nil feasibility check means FirstFit and a nil observer means none.
func New(feasible FeasibilityCheck, observer Observer) *Machine {
	if feasible == nil {
		feasible = FirstFit
	}
	return &Machine{
		feasible: feasible, observer: observer,
		tickets: newTicketTable(), calls: newCallTable(), poison: newPoisonTable(),
	}
}

// Apply implements deck.StateMachine.Apply.
func (m *Machine) Apply(index uint64, data []byte) []byte {
	e, err := command.Decode(data)
	if err != nil {
		return command.EncodeResult(command.Result{Reason: err.Error()})
	}
	m.mu.Lock()
	if e.ProposedAt.After(m.now) {
		m.now = e.ProposedAt
	}
	m.calls.expire(m.now)
	result, notify := m.execute(index, e.Command)
	m.mu.Unlock()
	if notify != nil && m.observer != nil {
		notify(m.observer)
	}
	return command.EncodeResult(result)
}

// execute runs a command and returns its result, and a function that notifies the observer or nil if nothing changed.
func (m *Machine) execute(index uint64, c command.Command) (command.Result, func(Observer)) {
	switch c := c.(type) {
	case command.ApplyTicket:
		previous := m.tickets.state.Version()
		answer := m.tickets.apply(index, m.now, c.Ticket, m.feasible)
		state := m.tickets.state
		if state.Version() == previous {
			return command.Result{Ticket: answer}, nil
		}
		return command.Result{Ticket: answer}, func(o Observer) { o.OnTicketAccepted(previous, c.Ticket, state) }
	case command.BeginCall:
		return command.Result{Claim: m.calls.begin(m.now, c)}, nil
	case command.FinishCall:
		err := m.calls.finish(m.now, c)
		return command.Result{Recorded: err == nil, Reason: reasonText(err)}, nil
	case command.ReportCrash:
		changed := m.poison.recordCrash(m.now, index, c)
		changed = m.poison.recordPartCrash(m.now, index, c) || changed
		return m.poisonResult(index, changed)
	case command.ReportSound:
		return m.poisonResult(index, m.poison.recordSound(m.now, index, c.Part))
	default:
		return command.Result{}, nil
	}
}

// poisonResult returns the result of a report, and the notification if it changed the refused digests.
func (m *Machine) poisonResult(index uint64, changed bool) (command.Result, func(Observer)) {
	if !changed {
		return command.Result{Recorded: true}, nil
	}
	digests := m.poison.refused(m.now)
	return command.Result{Recorded: true}, func(o Observer) { o.OnPoisonChange(index, digests) }
}

// State returns the state that this replica has applied.
func (m *Machine) State() deck.State {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.tickets.state
}

// Ticket returns the answer recorded for the ticket with the given number; the verdict is TicketUnknown if there is none.
func (m *Machine) Ticket(number uint64) deck.TicketAnswer {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.tickets.lookup(number)
}

// RefusedDigests returns the request digests that are refused as of the latest command's time, in ascending order.
func (m *Machine) RefusedDigests() []RefusedDigest {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.poison.refused(m.now)
}

func reasonText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
