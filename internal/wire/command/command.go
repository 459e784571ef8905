package command

import (
	"time"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
)

// A Command is one of ApplyTicket, BeginCall, FinishCall, ReportCrash and NoOp; each may be proposed again unchanged.
type Command interface {
	// Name returns the command's name in the log.
	Name() string
}

// An ApplyTicket asks for a ticket to be accepted.
type ApplyTicket struct {
	Ticket deck.Ticket
}

// A BeginCall claims an idempotency key before a call is sent.
type BeginCall struct {
	Key    string
	Digest string // of the request
	VM     deck.VMName
	Claim  string // random, so that a proposal that is sent again recognises its own record
}

// A FinishCall records the outcome of a claimed call; OutcomeNotRun releases the claim.
type FinishCall struct {
	Key    string
	Claim  string
	Answer deck.ServiceAnswer
}

// A ReportCrash says that a request was running on a backend server that crashed.
type ReportCrash struct {
	Digest  string
	Backend deck.BackendName
	BootID  string // of the crashed process; empty if it is not known
	Report  string // random; counts the crash once where BootID is empty
	Alone   bool   // no other suspect was running there
}

// A NoOp changes nothing.
type NoOp struct{}

// An Envelope is a command with the time that the leader set when it proposed it.
type Envelope struct {
	At      time.Time // millisecond resolution; zero until the leader proposes the command
	Command Command
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
func (NoOp) Name() string { return "no-op" }

// A Result is the state machine's answer; the field for the command's kind is set.
type Result struct {
	Ticket   deck.TicketAnswer // for ApplyTicket
	Claim    deck.Claim        // for BeginCall
	Recorded bool              // for FinishCall and ReportCrash
	Reason   string            // why nothing was recorded
}
