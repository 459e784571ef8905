package statemachine

import (
	"fmt"
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/ticket"
)

// MaxRefusals is the number of refusals that are retained; beyond it the oldest is dropped.
const MaxRefusals = 1024

// An acceptedTicket is the ticket accepted under a number, with the state version that it produced.
type acceptedTicket struct {
	Digest     deck.TicketDigest
	Version    uint64
	AcceptedAt time.Time
}

// A refusalKey identifies a refused ticket. A number may be refused with several contents.
type refusalKey struct {
	Number uint64
	Digest deck.TicketDigest
}

// An objectID identifies an object across all kinds.
type objectID struct {
	Kind string
	Name string
}

// A ticketTable holds the current state and the recorded answers to tickets.
type ticketTable struct {
	state        deck.State
	accepted     map[uint64]acceptedTicket
	refusals     map[refusalKey]deck.TicketAnswer
	refusalOrder []refusalKey        // oldest first
	lastSet      map[objectID]uint64 // number of the last ticket that set or removed the object
}

func newTicketTable() ticketTable {
	return ticketTable{
		accepted: make(map[uint64]acceptedTicket),
		refusals: make(map[refusalKey]deck.TicketAnswer),
		lastSet:  make(map[objectID]uint64),
	}
}

// apply accepts or refuses a ticket. An answer recorded for its number and digest takes precedence, so that a ticket that
// is submitted again gets the same answer regardless of the tickets accepted in between.
func (s *ticketTable) apply(index uint64, now time.Time, t deck.Ticket, feasible FeasibilityCheck) deck.TicketAnswer {
	digest := ticket.Digest(t)
	if a, ok := s.accepted[t.Number]; ok && a.Digest == digest {
		return acceptedAnswer(t.Number, a)
	}
	if a, ok := s.refusals[refusalKey{t.Number, digest}]; ok {
		return a
	}
	if a, ok := s.accepted[t.Number]; ok {
		return deck.TicketAnswer{
			Number: t.Number, Digest: a.Digest, Verdict: deck.TicketConflict,
			Reason: fmt.Sprintf("number %d stands with digest %s since %s", t.Number, a.Digest, a.AcceptedAt.Format(time.RFC3339)),
		}
	}
	if id, last, ok := s.supersededBy(t); ok {
		text := fmt.Sprintf("%s %q was set by ticket %d", id.Kind, id.Name, last)
		return s.refuse(t.Number, digest, deck.TicketSuperseded, text)
	}
	next := s.state.WithTicket(t, index)
	if err := validate(s.state, t, next, feasible); err != nil {
		return s.refuse(t.Number, digest, deck.TicketRefused, err.Error())
	}
	return s.accept(now, digest, t, next)
}

func (s *ticketTable) accept(now time.Time, digest deck.TicketDigest, t deck.Ticket, next deck.State) deck.TicketAnswer {
	a := acceptedTicket{Digest: digest, Version: next.Version(), AcceptedAt: now}
	s.accepted[t.Number] = a
	s.state = next
	for _, id := range objects(t) {
		s.lastSet[id] = t.Number
	}
	return acceptedAnswer(t.Number, a)
}

func (s *ticketTable) refuse(n uint64, digest deck.TicketDigest, v deck.TicketVerdict, reason string) deck.TicketAnswer {
	a := deck.TicketAnswer{Number: n, Digest: digest, Verdict: v, Reason: reason}
	s.recordRefusal(a)
	return a
}

func (s *ticketTable) recordRefusal(a deck.TicketAnswer) {
	key := refusalKey{a.Number, a.Digest}
	s.refusals[key] = a
	s.refusalOrder = append(s.refusalOrder, key)
	if len(s.refusalOrder) > MaxRefusals {
		delete(s.refusals, s.refusalOrder[0])
		s.refusalOrder = s.refusalOrder[1:]
	}
}

// supersededBy returns the first object of the ticket that a ticket with a higher number has set or removed, and that
// number.
func (s *ticketTable) supersededBy(t deck.Ticket) (objectID, uint64, bool) {
	for _, id := range objects(t) {
		if last := s.lastSet[id]; last > t.Number {
			return id, last, true
		}
	}
	return objectID{}, 0, false
}

func (s *ticketTable) lookup(number uint64) deck.TicketAnswer {
	if a, ok := s.accepted[number]; ok {
		return acceptedAnswer(number, a)
	}
	for i := len(s.refusalOrder) - 1; i >= 0; i-- {
		if s.refusalOrder[i].Number == number {
			return s.refusals[s.refusalOrder[i]]
		}
	}
	return deck.TicketAnswer{Number: number}
}

func acceptedAnswer(number uint64, a acceptedTicket) deck.TicketAnswer {
	return deck.TicketAnswer{Number: number, Digest: a.Digest, Verdict: deck.TicketAccepted, Version: a.Version}
}

// objects returns the objects that a ticket sets or removes, in the ticket's order.
func objects(t deck.Ticket) []objectID {
	var ids []objectID
	for _, m := range t.Models {
		ids = append(ids, objectID{"model", string(m.Name)})
	}
	for _, a := range t.Adapters {
		ids = append(ids, objectID{"adapter", string(a.Name)})
	}
	for _, b := range t.BackendServers {
		ids = append(ids, objectID{"backend server", string(b.Name)})
	}
	for _, v := range t.Services {
		ids = append(ids, objectID{"service", string(v.Name)})
	}
	return ids
}
