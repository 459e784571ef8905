package command

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/geraniumdeck/geraniumdeck/internal/core/deck"
	"github.com/geraniumdeck/geraniumdeck/internal/wire/ticket"
)

// MaxBytes is the largest size of an encoded command. The replicated log accepts no larger one; an operator has to split a
// ticket that exceeds it.
const MaxBytes = 256 << 10

var (
	outcomes = []deck.Outcome{deck.OutcomeUnknown, deck.OutcomeDone, deck.OutcomeNotRun}
	verdicts = []deck.TicketVerdict{
		deck.TicketUnknown, deck.TicketAccepted, deck.TicketRefused, deck.TicketConflict, deck.TicketSuperseded,
	}
	claimNames = map[deck.ClaimStatus]string{
		deck.ClaimUnavailable: "unavailable",
		deck.ClaimGranted:     "granted",
		deck.ClaimInProgress:  "in-progress",
		deck.ClaimFinished:    "finished",
		deck.ClaimUnknown:     "outcome-unknown",
		deck.ClaimMismatch:    "mismatch",
	}
)

// Encode returns the JSON form of an envelope.
func Encode(e Envelope) []byte {
	w := envelope{Command: e.Command.Name()}
	if !e.ProposedAt.IsZero() {
		w.ProposedAtMS = e.ProposedAt.UnixMilli()
	}
	switch c := e.Command.(type) {
	case ApplyTicket:
		w.Value = mustMarshal(applyTicket{Ticket: ticket.NewDocument(c.Ticket)})
	case BeginCall:
		w.Value = mustMarshal(beginCall{Key: c.Key, Digest: c.Digest, VM: string(c.VM), ClaimID: c.ClaimID})
	case FinishCall:
		w.Value = mustMarshal(finishCall{Key: c.Key, ClaimID: c.ClaimID, Answer: NewAnswer(c.Answer)})
	case ReportCrash:
		w.Value = mustMarshal(reportCrash{
			Digest: c.Digest, Backend: string(c.Backend), BootID: c.BootID, ReportID: c.ReportID, OnlySuspect: c.OnlySuspect,
			Parts: c.Parts,
		})
	case ReportSound:
		w.Value = mustMarshal(reportSound(c))
	}
	return mustMarshal(w)
}

// Decode parses the JSON form that Encode returns.
func Decode(data []byte) (Envelope, error) {
	var w envelope
	if err := json.Unmarshal(data, &w); err != nil {
		return Envelope{}, errors.Wrap(err, "command")
	}
	e := Envelope{}
	if w.ProposedAtMS != 0 {
		e.ProposedAt = time.UnixMilli(w.ProposedAtMS).UTC()
	}
	c, err := decodeCommand(w)
	e.Command = c
	return e, errors.Wrapf(err, "command %q", w.Command)
}

func decodeCommand(w envelope) (Command, error) {
	switch w.Command {
	case ApplyTicket{}.Name():
		var v applyTicket
		if err := json.Unmarshal(w.Value, &v); err != nil {
			return nil, err
		}
		t, err := v.Ticket.Ticket()
		return ApplyTicket{Ticket: t}, err
	case BeginCall{}.Name():
		var v beginCall
		err := json.Unmarshal(w.Value, &v)
		return BeginCall{Key: v.Key, Digest: v.Digest, VM: deck.VMName(v.VM), ClaimID: v.ClaimID}, err
	case FinishCall{}.Name():
		var v finishCall
		if err := json.Unmarshal(w.Value, &v); err != nil {
			return nil, err
		}
		a, err := v.Answer.Answer()
		return FinishCall{Key: v.Key, ClaimID: v.ClaimID, Answer: a}, err
	case ReportCrash{}.Name():
		var v reportCrash
		err := json.Unmarshal(w.Value, &v)
		return ReportCrash{
			Digest: v.Digest, Backend: deck.BackendName(v.Backend), BootID: v.BootID,
			ReportID: v.ReportID, OnlySuspect: v.OnlySuspect, Parts: v.Parts,
		}, err
	case ReportSound{}.Name():
		var v reportSound
		err := json.Unmarshal(w.Value, &v)
		return ReportSound(v), err
	case NoOp{}.Name():
		return NoOp{}, nil
	default:
		return nil, errors.New("not known")
	}
}

// NewAnswer returns the wire form of a plain service's response.
func NewAnswer(a deck.ServiceAnswer) Answer {
	return Answer{Outcome: a.Outcome.String(), Status: a.Status, Headers: a.Headers, Body: a.Body, Reason: a.Reason}
}

// Answer returns the domain form of the response; an unknown outcome is an error.
func (a Answer) Answer() (deck.ServiceAnswer, error) {
	for _, o := range outcomes {
		if o.String() == a.Outcome {
			return deck.ServiceAnswer{
				Outcome: o, Status: a.Status, Headers: a.Headers, Body: a.Body, Reason: a.Reason,
			}, nil
		}
	}
	return deck.ServiceAnswer{}, errors.Newf("outcome %q", a.Outcome)
}

// NewTicketAnswer returns the wire form of the response to a ticket.
func NewTicketAnswer(a deck.TicketAnswer) TicketAnswer {
	return TicketAnswer{
		Number: a.Number, Digest: string(a.Digest), Verdict: a.Verdict.String(), Version: a.Version, Reason: a.Reason,
	}
}

// Answer returns the domain form of the response to a ticket; an unknown verdict is an error.
func (a TicketAnswer) Answer() (deck.TicketAnswer, error) {
	for _, v := range verdicts {
		if v.String() == a.Verdict {
			return deck.TicketAnswer{
				Number: a.Number, Digest: deck.TicketDigest(a.Digest), Verdict: v, Version: a.Version, Reason: a.Reason,
			}, nil
		}
	}
	return deck.TicketAnswer{}, errors.Newf("verdict %q", a.Verdict)
}

// EncodeResult returns the JSON form of a result.
func EncodeResult(r Result) []byte {
	w := result{Claim: claimNames[r.Claim.Status], Recorded: r.Recorded, Reason: r.Reason}
	if r.Ticket != (deck.TicketAnswer{}) {
		a := NewTicketAnswer(r.Ticket)
		w.Ticket = &a
	}
	if r.Claim.Status == deck.ClaimFinished {
		a := NewAnswer(r.Claim.Answer)
		w.Answer = &a
	}
	return mustMarshal(w)
}

// DecodeResult parses the JSON form that EncodeResult returns.
func DecodeResult(data []byte) (Result, error) {
	var w result
	if err := json.Unmarshal(data, &w); err != nil {
		return Result{}, errors.Wrap(err, "result")
	}
	r := Result{Recorded: w.Recorded, Reason: w.Reason}
	var err error
	if w.Ticket != nil {
		if r.Ticket, err = w.Ticket.Answer(); err != nil {
			return Result{}, err
		}
	}
	if w.Answer != nil {
		if r.Claim.Answer, err = w.Answer.Answer(); err != nil {
			return Result{}, err
		}
	}
	r.Claim.Status, err = ParseClaimStatus(w.Claim)
	return r, err
}

// ClaimStatusName returns the name of a claim status as it is written in results and snapshots.
func ClaimStatusName(s deck.ClaimStatus) string {
	return claimNames[s]
}

// ParseClaimStatus returns the claim status with the name; an unknown name is an error.
func ParseClaimStatus(name string) (deck.ClaimStatus, error) {
	for s, n := range claimNames {
		if n == name {
			return s, nil
		}
	}
	return deck.ClaimUnavailable, errors.Newf("claim status %q", name)
}

// mustMarshal returns the JSON form of a wire type; wire types hold no value that JSON can't represent.
func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
