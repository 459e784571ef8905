package peer

import (
	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/statemachine"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/command"
)

type ticketStatus struct {
	Ticket    command.TicketAnswer `json:"ticket"`
	Confirmed []string             `json:"confirmed,omitempty"`
	Waiting   []string             `json:"waiting,omitempty"`
	CutOff    []string             `json:"cut-off,omitempty"`
}

func newTicketStatus(s statemachine.TicketStatus) ticketStatus {
	return ticketStatus{
		Ticket:    command.NewTicketAnswer(s.Answer),
		Confirmed: convertNames[string](s.Confirmed),
		Waiting:   convertNames[string](s.Waiting),
		CutOff:    convertNames[string](s.CutOff),
	}
}

func (s ticketStatus) status() (statemachine.TicketStatus, error) {
	a, err := s.Ticket.Answer()
	return statemachine.TicketStatus{
		Answer:    a,
		Confirmed: convertNames[deck.VMName](s.Confirmed),
		Waiting:   convertNames[deck.VMName](s.Waiting),
		CutOff:    convertNames[deck.VMName](s.CutOff),
	}, err
}

// convertNames converts names from one string type to another.
func convertNames[T, F ~string](in []F) []T {
	var out []T
	for _, v := range in {
		out = append(out, T(v))
	}
	return out
}
