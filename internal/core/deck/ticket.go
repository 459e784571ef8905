package deck

// A TicketDigest is the SHA-256 of a ticket's canonical content in lower-case hexadecimal.
type TicketDigest string

// A Ticket is a numbered change that contains the complete new state of each object that it changes.
type Ticket struct {
	Number         uint64
	Models         []Model
	Adapters       []Adapter
	BackendServers []BackendServer
	Services       []Service
}

// A TicketVerdict is the outcome of a ticket.
type TicketVerdict int

// The verdicts; the zero value is TicketUnknown.
const (
	TicketUnknown    TicketVerdict = iota // no ticket with this number has been received
	TicketAccepted                        // in force from the answer's state version on
	TicketRefused                         // invalid; the reason says why
	TicketConflict                        // a ticket with this number and other content is recorded
	TicketSuperseded                      // a ticket with a higher number has set one of the objects
)

// String returns the verdict's name as used in answers.
func (v TicketVerdict) String() string {
	switch v {
	case TicketAccepted:
		return "accepted"
	case TicketRefused:
		return "refused"
	case TicketConflict:
		return "conflict"
	case TicketSuperseded:
		return "superseded"
	default:
		return "unknown"
	}
}

// A TicketAnswer is the system's answer to a ticket.
type TicketAnswer struct {
	Number  uint64
	Digest  TicketDigest // of the recorded ticket with this number
	Verdict TicketVerdict
	Version uint64 // state version from which an accepted ticket is in force
	Reason  string // for an operator, empty if accepted
}
