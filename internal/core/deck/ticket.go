package deck

// A TicketDigest is the SHA-256 of a ticket's canonical content in lower-case hexadecimal.
type TicketDigest string

// A Ticket is a numbered change that carries the whole new state of each object it touches.
type Ticket struct {
	Number         uint64
	Models         []Model
	Adapters       []Adapter
	BackendServers []BackendServer
	Services       []Service
}

// A TicketVerdict says what became of a ticket.
type TicketVerdict int

// The verdicts; the zero value is TicketUnknown.
const (
	TicketUnknown    TicketVerdict = iota // no ticket of this number has been seen
	TicketAccepted                        // in force from the answer's state version on
	TicketRefused                         // invalid; the reason says why
	TicketConflict                        // the number stands with other content
	TicketSuperseded                      // an object was set by a higher number
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
	Digest  TicketDigest // of the ticket that stands under this number
	Verdict TicketVerdict
	Version uint64 // state version from which an accepted ticket is in force
	Reason  string // for an operator, empty if accepted
}
