package deck

import "context"

// A System is what operators see and change through a VM.
type System interface {
	// ApplyTicket submits a ticket; on error its fate is unknown and TicketStatus tells it later.
	ApplyTicket(ctx context.Context, t Ticket) (TicketAnswer, error)

	// ChangeReplica changes the membership of the replicated log.
	ChangeReplica(ctx context.Context, c ReplicaChange) error

	// Overview returns the system's state as this VM sees it.
	Overview(ctx context.Context) (Overview, error)

	// TicketStatus returns what became of a ticket and where it is in force.
	TicketStatus(ctx context.Context, number uint64) (TicketStatus, error)
}

// A TicketStatus says what became of a ticket and which VMs use it.
type TicketStatus struct {
	Answer      TicketAnswer
	Confirmed   []VMName
	Unconfirmed []VMName // reachable, but not yet at the ticket's state version
	CutOff      []VMName // not heard of lately
}

// InForce reports whether every VM that is not cut off has confirmed an accepted ticket.
func (s TicketStatus) InForce() bool {
	return s.Answer.Verdict == TicketAccepted && len(s.Unconfirmed) == 0 && len(s.Confirmed) > 0
}

// A ReplicaAction is a kind of membership change.
type ReplicaAction int

// The membership changes; the zero value is AddReplica.
const (
	AddReplica     ReplicaAction = iota // joins as learner
	PromoteReplica                      // a learner that holds everything committed becomes a voter
	RemoveReplica
)

// A ReplicaChange is a change of the replicated log's membership.
type ReplicaChange struct {
	Action  ReplicaAction
	Replica ReplicaID
}

// An Overview is the system's state as one VM sees it.
type Overview struct {
	Deployment string
	Log        LogStatus
	State      State
	Proven     bool // the state is as new as a majority of control replicas
	VMs        []VMView
	Places     []PlaceView
	AtRisk     []ModelName // models with fewer than two home data centres
	Leases     []PlacementLease
}

// A VMView is a VM in an Overview.
type VMView struct {
	Name       VMName
	DataCentre DataCentre
	Roles      []string
	Version    uint64 // state version in use, as far as known
	CutOff     bool
}

// A PlaceView is a replica of a model in an Overview.
type PlaceView struct {
	Model   ModelName
	Replica Replica
}
