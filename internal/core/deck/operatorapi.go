package deck

import "context"

// An OperatorAPI is the interface that a VM offers to operators.
type OperatorAPI interface {
	// ApplyTicket submits a ticket. After an error the outcome is unknown; TicketStatus returns it later.
	ApplyTicket(ctx context.Context, t Ticket) (TicketAnswer, error)

	// ChangeReplica changes the membership of the replicated log.
	ChangeReplica(ctx context.Context, c ReplicaChange) error

	// Overview returns the system's state as this VM sees it.
	Overview(ctx context.Context) (Overview, error)

	// TicketStatus returns the outcome of a ticket and the VMs on which it is in force.
	TicketStatus(ctx context.Context, number uint64) (TicketStatus, error)
}

// A TicketStatus is the outcome of a ticket and its propagation to the VMs.
type TicketStatus struct {
	Answer      TicketAnswer
	Confirmed   []VMName
	Unconfirmed []VMName // reachable, but not yet at the ticket's state version
	CutOff      []VMName // without a recent confirmation of any version
}

// InForce reports whether every VM that is not cut off has confirmed an accepted ticket.
func (s TicketStatus) InForce() bool {
	return s.Answer.Verdict == TicketAccepted && len(s.Unconfirmed) == 0 && len(s.Confirmed) > 0
}

// A ReplicaAction is a kind of membership change.
type ReplicaAction int

// The membership changes; the zero value is AddReplica.
const (
	AddReplica     ReplicaAction = iota // adds the replica as a learner
	PromoteReplica                      // makes a learner that holds every committed entry a voter
	RemoveReplica
)

// A ReplicaChange is a change of the replicated log's membership.
type ReplicaChange struct {
	Action  ReplicaAction
	Replica ReplicaID
}

// An Overview is the system's state as one VM sees it.
type Overview struct {
	Deployment    string
	Log           LogStatus
	State         State
	Proven        bool // the state was shown to be as new as that of a majority of control replicas
	VMs           []VMView
	ModelReplicas []ModelReplicaView
	AtRisk        []ModelName // models with fewer than two home data centres
	Leases        []PlacementLease
}

// A VMView is a VM in an Overview.
type VMView struct {
	Name         VMName
	DataCentre   DataCentre
	Roles        []string
	StateVersion uint64 // last known state version in use
	CutOff       bool
}

// A ModelReplicaView is a replica of a model in an Overview.
type ModelReplicaView struct {
	Model   ModelName
	Replica ModelReplica
}
