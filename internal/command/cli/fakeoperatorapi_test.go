package cli

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/report/burn"
)

// Ticket numbers, named after the outcome that a fakeSystem reports for them.
const (
	ticketInForce     = 1
	ticketRefused     = 2
	ticketConflict    = 3
	ticketSuperseded  = 4
	ticketUnconfirmed = 5
	ticketNoMajority  = 6
)

// A fakeOperatorAPI is a deck.OperatorAPI whose answers depend only on the ticket number.
type fakeOperatorAPI struct{}

var _ deck.OperatorAPI = fakeOperatorAPI{}

// ApplyTicket implements deck.OperatorAPI.ApplyTicket.
func (fakeOperatorAPI) ApplyTicket(_ context.Context, t deck.Ticket) (deck.TicketAnswer, error) {
	if t.Number == ticketNoMajority {
		return deck.TicketAnswer{}, errors.New("no majority of control replicas")
	}
	return ticketAnswer(t.Number), nil
}

// ChangeReplica implements deck.OperatorAPI.ChangeReplica.
func (fakeOperatorAPI) ChangeReplica(_ context.Context, c deck.ReplicaChange) error {
	if c.Replica.VM != "control-1" {
		return errors.Newf("no VM %q", c.Replica.VM)
	}
	return nil
}

// Overview implements deck.OperatorAPI.Overview.
func (fakeOperatorAPI) Overview(context.Context) (deck.Overview, error) {
	t := deck.Ticket{Number: ticketInForce, Models: []deck.Model{{Name: "manual", Active: "v1"}}}
	self := deck.ReplicaID{VM: "control-1", Incarnation: 0x4f2a90c1}
	return deck.Overview{
		Deployment: "scripted",
		State:      deck.State{}.WithTicket(t, 41),
		Proven:     true,
		Log: deck.LogStatus{
			Self: self, Leader: self, Term: 3, CommitIndex: 42, AppliedIndex: 42, Voters: []deck.ReplicaID{self},
		},
		VMs:    []deck.VMView{{Name: "control-1", DataCentre: "north-a", Roles: []string{"control"}, StateVersion: 41}},
		AtRisk: []deck.ModelName{"manual"},
	}, nil
}

// TicketStatus implements deck.OperatorAPI.TicketStatus.
func (fakeOperatorAPI) TicketStatus(_ context.Context, number uint64) (deck.TicketStatus, error) {
	s := deck.TicketStatus{Answer: ticketAnswer(number)}
	switch number {
	case ticketInForce:
		s.Confirmed, s.CutOff = []deck.VMName{"control-1", "entry-1"}, []deck.VMName{"entry-2"}
	case ticketUnconfirmed:
		s.Confirmed, s.Unconfirmed = []deck.VMName{"control-1"}, []deck.VMName{"entry-1"}
	}
	return s, nil
}

func ticketAnswer(number uint64) deck.TicketAnswer {
	a := deck.TicketAnswer{Number: number}
	switch number {
	case ticketInForce, ticketUnconfirmed:
		a.Verdict, a.Version = deck.TicketAccepted, 41
	case ticketRefused:
		a.Verdict, a.Reason = deck.TicketRefused, "model manual has no place"
	case ticketConflict:
		a.Verdict, a.Reason = deck.TicketConflict, "the number stands with digest 5e0c"
	case ticketSuperseded:
		a.Verdict, a.Reason = deck.TicketSuperseded, "model manual was set by ticket 9"
	}
	return a
}

func burnReport() burn.Report {
	return burn.Report{Rows: []burn.Row{{
		Class: deck.Interactive, Target: 0.95, BudgetLeft: 0.5,
		Windows: []burn.Window{{Length: time.Hour, Total: 200, Bad: 5, Burn: 0.5}},
	}}}
}
