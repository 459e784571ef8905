package feed

import (
	"context"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/state/statemachine"
)

// A TicketReader reports, on the control leader, the verdict on a ticket and which VMs have it in force.
type TicketReader struct {
	Self    deck.VMName
	Log     deck.Log
	Machine *statemachine.Machine
	Store   *Store
	Peers   []deck.Peer
}

// TicketStatus returns the current status of a ticket. On a VM that does not lead the log it fails with a
// statemachine.NotLeaderError.
func (r TicketReader) TicketStatus(ctx context.Context, number uint64) (statemachine.TicketStatus, error) {
	if leader := r.Log.Status().Leader.VM; leader != r.Self {
		return statemachine.TicketStatus{}, &statemachine.NotLeaderError{Leader: leader}
	}
	if err := r.Log.Barrier(ctx); err != nil {
		return statemachine.TicketStatus{}, err
	}
	s := statemachine.TicketStatus{Answer: r.Machine.Ticket(number)}
	if s.Answer.Verdict != deck.TicketAccepted {
		return s, nil
	}
	vms := make([]deck.VMName, 0, len(r.Peers))
	for _, p := range r.Peers {
		vms = append(vms, p.Name)
	}
	propagation := r.Store.Propagation(vms, s.Answer.Version)
	s.Confirmed, s.Waiting, s.CutOff = propagation.Confirmed, propagation.Waiting, propagation.CutOff
	return s, nil
}
