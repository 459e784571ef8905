package process

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/core/kernel"
	"github.com/geraniumdeck/geraniumdeck/internal/place/plan"
	"github.com/geraniumdeck/geraniumdeck/internal/state/statemachine"
)

// A system is the operators' view of the deployment from this VM.
type system struct {
	parts     *parts
	commands  *statemachine.Client
	residency *residency
}

var _ deck.System = (*system)(nil)

func addSystem(p *parts) error {
	c, err := kernel.Find[*statemachine.Client](p.kernel, nameCommands)
	if err != nil {
		return err
	}
	r, err := kernel.Find[*residency](p.kernel, nameResidency)
	if err != nil {
		return err
	}
	return p.kernel.Add(nameSystem, &system{parts: p, commands: c, residency: r})
}

// ApplyTicket implements deck.System.ApplyTicket.
func (s *system) ApplyTicket(ctx context.Context, t deck.Ticket) (deck.TicketAnswer, error) {
	return s.commands.SubmitTicket(ctx, t)
}

// ChangeReplica implements deck.System.ChangeReplica; only the VM of the log's leader can do it.
func (s *system) ChangeReplica(ctx context.Context, c deck.ReplicaChange) error {
	if s.parts.control == nil {
		return errors.New("this VM holds no replica; ask the VM of the log's leader")
	}
	set := deck.ReplicaSet(s.parts.control.node)
	switch c.Action {
	case deck.AddReplica:
		return set.AddLearner(ctx, c.Replica)
	case deck.PromoteReplica:
		return set.Promote(ctx, c.Replica)
	case deck.RemoveReplica:
		return set.Remove(ctx, c.Replica)
	default:
		return errors.Newf("unknown membership change %d", c.Action)
	}
}

// Overview implements deck.System.Overview.
func (s *system) Overview(context.Context) (deck.Overview, error) {
	st := s.parts.store.State()
	o := deck.Overview{
		Deployment: s.parts.settings.Deployment, State: st, Proven: s.parts.store.Proven(), Leases: s.residency.leases(),
	}
	if s.parts.control != nil {
		o.Log = s.parts.control.node.Status()
	}
	if homes, err := plan.AssignHomes(st); err == nil {
		o.AtRisk = homes.AtRisk()
	}
	for _, m := range st.Models() {
		for _, r := range s.residency.Replicas(m.Name) {
			o.Places = append(o.Places, deck.PlaceView{Model: m.Name, Replica: r})
		}
	}
	o.VMs = s.vms()
	return o, nil
}

// vms returns the VMs with the state versions that they confirmed to this VM or to those that poll it.
func (s *system) vms() []deck.VMView {
	heard := map[deck.VMName]uint64{s.parts.vm.Name: s.parts.store.State().Version()}
	for _, c := range s.parts.store.Confirmations() {
		heard[c.VM] = max(heard[c.VM], c.Version)
	}
	var out []deck.VMView
	for _, v := range s.parts.settings.VMs {
		view := deck.VMView{Name: v.Name, DataCentre: v.DataCentre}
		for _, r := range v.Roles {
			view.Roles = append(view.Roles, string(r))
		}
		version, ok := heard[v.Name]
		view.Version, view.CutOff = version, !ok
		out = append(out, view)
	}
	return out
}

// TicketStatus implements deck.System.TicketStatus.
func (s *system) TicketStatus(ctx context.Context, number uint64) (deck.TicketStatus, error) {
	st, err := s.commands.TicketStatus(ctx, number)
	return deck.TicketStatus{
		Answer: st.Answer, Confirmed: st.Confirmed, Unconfirmed: st.Waiting, CutOff: st.CutOff,
	}, err
}
