package process

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/core/kernel"
	"github.com/geraniumdeck/geraniumdeck/internal/place/plan"
	"github.com/geraniumdeck/geraniumdeck/internal/state/statemachine"
)

// An operatorAPI implements the operators' requests and views on this VM.
type operatorAPI struct {
	deps      *deps
	commands  *statemachine.Client
	residency *residencyView
}

var _ deck.OperatorAPI = (*operatorAPI)(nil)

func addOperatorAPI(d *deps) error {
	c, err := kernel.Find[*statemachine.Client](d.kernel, nameCommands)
	if err != nil {
		return err
	}
	r, err := kernel.Find[*residencyView](d.kernel, nameResidency)
	if err != nil {
		return err
	}
	return d.kernel.Add(nameOperatorAPI, &operatorAPI{deps: d, commands: c, residency: r})
}

// ApplyTicket implements deck.OperatorAPI.ApplyTicket.
func (s *operatorAPI) ApplyTicket(ctx context.Context, t deck.Ticket) (deck.TicketAnswer, error) {
	return s.commands.SubmitTicket(ctx, t)
}

// ChangeReplica implements deck.OperatorAPI.ChangeReplica. It succeeds only on the VM that leads the log.
func (s *operatorAPI) ChangeReplica(ctx context.Context, c deck.ReplicaChange) error {
	if s.deps.control == nil {
		return errors.New("this VM holds no replica; ask the VM of the log's leader")
	}
	membership := deck.MembershipChanger(s.deps.control.node)
	switch c.Action {
	case deck.AddReplica:
		return membership.AddLearner(ctx, c.Replica)
	case deck.PromoteReplica:
		return membership.Promote(ctx, c.Replica)
	case deck.RemoveReplica:
		return membership.Remove(ctx, c.Replica)
	default:
		return errors.Newf("unknown membership change %d", c.Action)
	}
}

// Overview implements deck.OperatorAPI.Overview.
func (s *operatorAPI) Overview(context.Context) (deck.Overview, error) {
	st := s.deps.store.State()
	o := deck.Overview{
		Deployment: s.deps.settings.Deployment, State: st, Proven: s.deps.store.Proven(), Leases: s.residency.leases(),
	}
	if s.deps.control != nil {
		o.Log = s.deps.control.node.Status()
	}
	if homes, err := plan.AssignHomes(st); err == nil {
		o.AtRisk = homes.AtRisk()
	}
	for _, m := range st.Models() {
		for _, r := range s.residency.Replicas(m.Name) {
			o.ModelReplicas = append(o.ModelReplicas, deck.ModelReplicaView{Model: m.Name, Replica: r})
		}
	}
	o.VMs = s.vms()
	return o, nil
}

// vms returns all VMs with the state versions that they confirmed, directly or through the VMs that poll this one. A VM
// without a confirmation is shown as cut off.
func (s *operatorAPI) vms() []deck.VMView {
	confirmed := map[deck.VMName]uint64{s.deps.vm.Name: s.deps.store.State().Version()}
	for _, c := range s.deps.store.Confirmations() {
		confirmed[c.VM] = max(confirmed[c.VM], c.Version)
	}
	var out []deck.VMView
	for _, v := range s.deps.settings.VMs {
		view := deck.VMView{Name: v.Name, DataCentre: v.DataCentre}
		for _, r := range v.Roles {
			view.Roles = append(view.Roles, string(r))
		}
		version, ok := confirmed[v.Name]
		view.StateVersion, view.CutOff = version, !ok
		out = append(out, view)
	}
	return out
}

// TicketStatus implements deck.OperatorAPI.TicketStatus.
func (s *operatorAPI) TicketStatus(ctx context.Context, number uint64) (deck.TicketStatus, error) {
	st, err := s.commands.TicketStatus(ctx, number)
	return deck.TicketStatus{
		Answer: st.Answer, Confirmed: st.Confirmed, Unconfirmed: st.Waiting, CutOff: st.CutOff,
	}, err
}
