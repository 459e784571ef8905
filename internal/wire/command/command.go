package command

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A Command is one of ApplyTicket, BeginCall, FinishCall, ReportCrash, ReportSound and NoOp. Each is idempotent: proposing it again
// unchanged has no further effect.
type Command interface {
	// Name returns the command's name as it is written in the log.
	Name() string
}

// An ApplyTicket applies a ticket to the durable state.
type ApplyTicket struct {
	Ticket deck.Ticket
}

// A BeginCall claims an idempotency key before a call is sent.
type BeginCall struct {
	Key     string
	Digest  string // of the request
	VM      deck.VMName
	ClaimID string // random ID, so that a repeated proposal recognises the record of the first one
}

// A FinishCall records the outcome of a claimed call; OutcomeNotRun releases the claim.
type FinishCall struct {
	Key     string
	ClaimID string
	Answer  deck.ServiceAnswer
}

// A ReportCrash records that a request was running on a backend server when that crashed.
type ReportCrash struct {
	Digest      string
	Backend     deck.BackendName
	BootID      string   // of the crashed process; empty if unknown
	ReportID    string   // random ID, so that the crash counts once if BootID is empty
	OnlySuspect bool     // no other suspect request was running there
	Parts       []uint64 // fingerprints of the parts of its prompt that may be to blame
}

// A ReportSound records that a backend server wrote an answer on a prompt with the part.
type ReportSound struct {
	Part uint64
}

// A NoOp has no effect on the state.
type NoOp struct{}

// An Envelope is a command with the time that the leader set when it proposed it.
type Envelope struct {
	ProposedAt time.Time // millisecond resolution; zero until the leader proposes the command
	Command    Command
}

// Name implements Command.Name.
func (ApplyTicket) Name() string { return "apply-ticket" }

// Name implements Command.Name.
func (BeginCall) Name() string { return "begin-call" }

// Name implements Command.Name.
func (FinishCall) Name() string { return "finish-call" }

// Name implements Command.Name.
func (ReportCrash) Name() string { return "report-crash" }

// Name implements Command.Name.
func (ReportSound) Name() string { return "report-sound" }

// Name implements Command.Name.
func (NoOp) Name() string { return "no-op" }

// A Result is the state machine's result of a command; only the fields for the command's kind are set.
type Result struct {
	Ticket   deck.TicketAnswer // for ApplyTicket
	Claim    deck.Claim        // for BeginCall
	Recorded bool              // for FinishCall, ReportCrash and ReportSound
	Reason   string            // why nothing was recorded
}
